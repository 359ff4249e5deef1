"""Single-threaded event loop: calls back when a socket is ready or a timer is due."""

import heapq
import itertools
import selectors
import socket
import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from functools import partial

from fighitch.types import Seconds

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
_MAX_WAIT: Seconds = 1.0
# If the callbacks of a round take longer, timers that became due meanwhile wait until
# the sockets have been polled again.
_MAX_POLL_AGE: Seconds = 0.02
# Time that the callbacks of deferrable sockets may take before the other sockets and
# the timers have their turn again.
_MAX_DEFERRABLE_TIME: Seconds = 0.02
# Smallest number of timers at which cancelled ones are removed before they are due.
_MIN_PURGE_TIMERS = 1_024


@dataclass(frozen=True, slots=True)
class _Watcher:
    """What is called when a socket is ready."""

    callback: Callable[[int], None]
    is_deferrable: bool


class Timer:
    """A pending callback that can be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancels the callback."""
        self.callback = None


class EventLoop:
    """Dispatches socket and timer events to callbacks.

    Sockets of clients, of which many may be ready at once, are deferrable: they take
    turns in the order in which they became ready, and leave time for all other sockets
    and for timers.
    """

    def __init__(self, clock: Callable[[], Seconds] = time.monotonic) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[Seconds, int, Timer]] = []
        self._purge_at = _MIN_PURGE_TIMERS
        self._sequence = itertools.count()
        self._running = False
        self._polled_at: Seconds = clock()
        # Callbacks that wait for their turn, with the time of the poll that found their
        # sockets ready, by the descriptor of the socket or another key.
        self._deferred: dict[Hashable, tuple[Callable[[], None], Seconds]] = {}
        self.on_error: Callable[[BaseException], None] | None = None

    @property
    def polled_at(self) -> Seconds:
        """Time until which input counts as read when timers run.

        A peer is silent only if nothing arrived until then: what it sent during a long
        callback is still unread.
        """
        return self._polled_at

    @property
    def deferrable_polled_at(self) -> Seconds:
        """Time until which the input of deferrable sockets counts as read."""
        for _, polled_at in self._deferred.values():
            return polled_at
        return self._polled_at

    def is_deferred(self, sock: socket.socket) -> bool:
        """Returns whether a socket is ready and waits for its turn."""
        return sock.fileno() in self._deferred

    def now(self) -> Seconds:
        """Returns the monotonic time in seconds."""
        return self._clock()

    def call_later(self, delay: Seconds, callback: Callable[[], None]) -> Timer:
        """Schedules a single call after a delay in seconds."""
        if len(self._timers) >= self._purge_at:
            self._purge_cancelled()
        timer = Timer(callback)
        due = self._clock() + delay
        heapq.heappush(self._timers, (due, next(self._sequence), timer))
        return timer

    def _purge_cancelled(self) -> None:
        """Removes cancelled timers.

        A caller with many small requests cancels a long timer for each of them.
        """
        self._timers = [item for item in self._timers if item[2].callback is not None]
        heapq.heapify(self._timers)
        self._purge_at = max(_MIN_PURGE_TIMERS, 2 * len(self._timers))

    def call_every(self, interval: Seconds, callback: Callable[[], None]) -> None:
        """Calls a function repeatedly, an interval apart, while the loop runs."""

        def repeat() -> None:
            self.call_later(interval, repeat)
            callback()

        self.call_later(interval, repeat)

    def defer(self, callback: Callable[[], None]) -> None:
        """Calls a function once, in turn with the callbacks of deferrable sockets."""
        self._deferred[object()] = callback, self._polled_at

    def watch(
        self,
        sock: socket.socket,
        events: int,
        callback: Callable[[int], None],
        *,
        is_deferrable: bool = False,
    ) -> None:
        """Registers a socket for events or changes them; 0 unregisters it.

        Args:
            sock: Non-blocking socket.
            events: ``READ``, ``WRITE``, both or 0.
            callback: Called with the events for which the socket is ready.
            is_deferrable: Whether the callback may wait while many others are called.
        """
        # The selector reports the socket again if it is still ready for the events.
        self._deferred.pop(sock.fileno(), None)
        registered = sock.fileno() in self._selector.get_map()
        watcher = _Watcher(callback, is_deferrable)
        if not events:
            if registered:
                self._selector.unregister(sock)
        elif registered:
            self._selector.modify(sock, events, watcher)
        else:
            self._selector.register(sock, events, watcher)

    def forget(self, sock: socket.socket) -> None:
        """Unregisters a socket if it is registered."""
        self._deferred.pop(sock.fileno(), None)
        if sock.fileno() >= 0 and sock.fileno() in self._selector.get_map():
            self._selector.unregister(sock)

    def stop(self) -> None:
        """Makes ``run`` return after the current callbacks."""
        self._running = False

    def run(self) -> None:
        """Runs until ``stop`` is called."""
        self._running = True
        while self._running:
            self.run_once(_MAX_WAIT)

    def run_once(self, max_wait: Seconds) -> None:
        """Waits for events once and runs the callbacks that are due."""
        wait_time = 0.0 if self._deferred else self._wait_time(max_wait)
        ready = self._selector.select(wait_time)
        self._polled_at = self._clock()
        for key, events in ready:
            watcher = key.data
            turn = partial(watcher.callback, events)
            if not watcher.is_deferrable:
                self._call(turn)
            elif key.fd not in self._deferred:
                self._deferred[key.fd] = turn, self._polled_at
        self._run_deferred()
        now = self._clock()
        if now - self._polled_at > _MAX_POLL_AGE:
            # A timeout must not expire while the input that ends it is unread.
            now = self._polled_at
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self._call(callback)

    def _run_deferred(self) -> None:
        """Calls deferred callbacks, the longest wait first, for a limited time."""
        end = self._clock() + _MAX_DEFERRABLE_TIME
        while self._deferred:
            key = next(iter(self._deferred))
            callback, _ = self._deferred.pop(key)
            self._call(callback)
            if self._clock() >= end:
                return

    def _wait_time(self, max_wait: Seconds) -> Seconds:
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return max_wait
        return min(max_wait, max(0.0, self._timers[0][0] - self._clock()))

    def _call(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as error:
            # An exception in one callback must not end the process and every request in
            # it.
            if self.on_error is None:
                raise
            self.on_error(error)
