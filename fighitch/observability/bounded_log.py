"""Non-blocking, rate-limited structured log on standard output.

Lines are dropped and counted if the pipe is full or the rate limit is exceeded; the
next line that is written reports the count.
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

# The line of a request has about 280 bytes, so a process writes at most 34 KB/s.
LINES_PER_SECOND = 120
_BURST_LINES = 400
_STANDARD_OUTPUT = 1


class NonBlockingHandler(logbook.Handler):
    """Writes records to a file descriptor without blocking on its reader."""

    def __init__(self, descriptor: int, *, level: str = "INFO") -> None:
        """Registers the descriptor for polling.

        Args:
            descriptor: File descriptor to write to.
            level: Lowest level to write.
        """
        super().__init__(level=logbook.lookup_level(level))
        self.formatter = logbook.StringFormatter(LINE_FORMAT)
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or drops it if the pipe is full."""
        line = self.format(record).encode()[: select.PIPE_BUF - 1] + b"\n"
        # A writable pipe accepts PIPE_BUF bytes at once. The descriptor stays in
        # blocking mode because the flag would apply to other processes that share it.
        if not self._poll.poll(0):
            self.dropped += 1
            return
        try:
            os.write(self._descriptor, line)
        except OSError:
            # The reader has closed the pipe; the process continues to serve.
            self.dropped += 1


class BoundedLog:
    """Writes the events of one process through logbook, at a limited rate."""

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
            instance: Name of the instance, included in each line.
            descriptor: File descriptor to write to.
            lines_per_second: Rate limit.
            clock: Monotonic clock.
        """
        logbook.set_datetime_format("utc")
        self._handler = NonBlockingHandler(descriptor)
        self._logger = logbook.Logger(instance)
        self._logger.handlers = [self._handler]
        self._instance = instance
        self._rate = lines_per_second
        self._clock = clock
        self._tokens = float(_BURST_LINES)
        self._refilled_at = clock()
        self._rate_limited = 0

    @property
    def dropped(self) -> int:
        """Number of dropped lines since the last line that was written."""
        return self._handler.dropped + self._rate_limited

    def event(self, name: str, *, level: str = "info", **fields: Any) -> None:
        """Writes one event, or drops it if the rate limit is exceeded."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(float(_BURST_LINES), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self._rate_limited += 1
            return
        self._tokens -= 1
        pairs = [("instance", self._instance), *fields.items()]
        if self.dropped:
            pairs.append(("lines_dropped", self.dropped))
        dropped_before = self._handler.dropped
        self._logger.log(level.upper(), format_event(name, pairs))
        if self._handler.dropped == dropped_before:
            self._rate_limited = self._handler.dropped = 0

    def accept_failed(self, error: OSError) -> None:
        """Logs that a connection could not be accepted."""
        self.event("accept_failed", detail=error)


def write_startup_error(message: str) -> None:
    """Writes the error of a process that cannot start to standard error."""
    sys.stderr.write(message + "\n")
