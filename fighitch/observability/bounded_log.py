"""Structured log on standard output that never blocks and whose volume is bounded.

Lines that the reader does not take in time, or that exceed the rate, are dropped and
counted; the count is logged with the next line that is written.
"""

import os
import select
import sys
import time
from collections.abc import Callable
from typing import Any

import logbook

from fighitch.observability.logs import LINE_FORMAT, format_event
from fighitch.types import Seconds

# A request's line has about 280 bytes, so that a process writes at most 34 KB/s.
LINES_PER_SECOND = 120
_BURST_LINES = 400
_STANDARD_OUTPUT = 1


class NonBlockingHandler(logbook.Handler):
    """Writes records to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int, *, level: str = "INFO") -> None:
        """Takes the descriptor.

        Args:
            descriptor: File descriptor to write to.
            level: Least severe level to write.
        """
        super().__init__(level=logbook.lookup_level(level))
        self.formatter = logbook.StringFormatter(LINE_FORMAT)
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or drops it if the reader is behind."""
        line = self.format(record).encode()[: select.PIPE_BUF - 1] + b"\n"
        # A pipe that is writable takes PIPE_BUF bytes at once. The descriptor stays in
        # blocking mode, as the flag would be shared with other processes.
        if not self._poll.poll(0):
            self.dropped += 1
            return
        try:
            os.write(self._descriptor, line)
        except OSError:
            # Nobody reads the log any more; serving goes on.
            self.dropped += 1


class BoundedLog:
    """Writes events of one process through logbook."""

    def __init__(
        self,
        instance: str,
        *,
        descriptor: int = _STANDARD_OUTPUT,
        lines_per_second: float = LINES_PER_SECOND,
        clock: Callable[[], Seconds] = time.monotonic,
    ) -> None:
        """Opens the log.

        Args:
            instance: Name of the instance, in every line.
            descriptor: File descriptor to write to.
            lines_per_second: Bound of the volume.
            clock: Steady clock.
        """
        logbook.set_datetime_format("utc")
        self._handler = NonBlockingHandler(descriptor)
        self._logger = logbook.Logger(instance)
        self._logger.handlers = [self._handler]
        self._instance = instance
        self._rate = lines_per_second
        self._clock = clock
        self._tokens = float(_BURST_LINES)
        self._filled = clock()
        self._suppressed = 0

    @property
    def dropped(self) -> int:
        """Lines that were not written."""
        return self._handler.dropped + self._suppressed

    def event(self, name: str, *, level: str = "info", **fields: Any) -> None:
        """Writes one event, unless the volume is exhausted."""
        now = self._clock()
        refill = (now - self._filled) * self._rate
        self._tokens = min(float(_BURST_LINES), self._tokens + refill)
        self._filled = now
        if self._tokens < 1:
            self._suppressed += 1
            return
        self._tokens -= 1
        pairs = [("instance", self._instance), *fields.items()]
        if self.dropped:
            pairs.append(("lines_dropped", self.dropped))
        dropped_before = self._handler.dropped
        self._logger.log(level.upper(), format_event(name, pairs))
        if self._handler.dropped == dropped_before:
            self._suppressed = self._handler.dropped = 0

    def accept_failed(self, error: OSError) -> None:
        """Writes that a connection could not be accepted."""
        self.event("accept_failed", detail=error)


def write_startup_error(message: str) -> None:
    """Writes a message of a process that can't start to standard error."""
    sys.stderr.write(message + "\n")
