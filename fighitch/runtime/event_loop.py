"""One thread that owns its sockets and timers and calls their owners."""

import heapq
import itertools
import selectors
import socket
import time
from collections.abc import Callable

from fighitch.types import Seconds

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
_LONGEST_WAIT: Seconds = 1.0


class Timer:
    """A call at a later time."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Drops the call."""
        self.callback = None


class EventLoop:
    """Waits for sockets and timers."""

    def __init__(self, clock: Callable[[], Seconds] = time.monotonic) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[Seconds, int, Timer]] = []
        self._order = itertools.count()
        self._running = False
        self.on_error: Callable[[BaseException], None] | None = None

    def now(self) -> Seconds:
        """Returns the time of the steady clock."""
        return self._clock()

    def call_later(self, delay: Seconds, callback: Callable[[], None]) -> Timer:
        """Calls a function once after a delay."""
        timer = Timer(callback)
        due = self._clock() + delay
        heapq.heappush(self._timers, (due, next(self._order), timer))
        return timer

    def call_every(self, interval: Seconds, callback: Callable[[], None]) -> None:
        """Calls a function for as long as the loop runs."""

        def repeat() -> None:
            self.call_later(interval, repeat)
            callback()

        self.call_later(interval, repeat)

    def watch(
        self, sock: socket.socket, events: int, callback: Callable[[int], None]
    ) -> None:
        """Registers a socket or changes what is awaited of it; 0 awaits nothing."""
        registered = sock.fileno() in self._selector.get_map()
        if not events:
            if registered:
                self._selector.unregister(sock)
        elif registered:
            self._selector.modify(sock, events, callback)
        else:
            self._selector.register(sock, events, callback)

    def forget(self, sock: socket.socket) -> None:
        """Unregisters a socket; does nothing if it is not registered."""
        if sock.fileno() >= 0 and sock.fileno() in self._selector.get_map():
            self._selector.unregister(sock)

    def stop(self) -> None:
        """Lets ``run`` return after the current callbacks."""
        self._running = False

    def run(self) -> None:
        """Runs until ``stop`` is called."""
        self._running = True
        while self._running:
            self.run_once(_LONGEST_WAIT)

    def run_once(self, longest_wait: Seconds) -> None:
        """Waits once and makes the calls that are due."""
        for key, events in self._selector.select(self._wait_time(longest_wait)):
            self._call(key.data, events)
        now = self._clock()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self._call(callback)

    def _wait_time(self, longest: Seconds) -> Seconds:
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return longest
        return min(longest, max(0.0, self._timers[0][0] - self._clock()))

    def _call(self, callback: Callable[..., None], *arguments: int) -> None:
        try:
            callback(*arguments)
        except Exception as error:
            # One faulty callback must not end the process and every request in it.
            if self.on_error is None:
                raise
            self.on_error(error)
