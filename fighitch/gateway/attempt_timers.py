"""Timers of one attempt of a request at a backend server."""

from collections.abc import Callable

from fighitch.core.gateway.attempts import attempt_timeout
from fighitch.core.gateway.model import Route, WorkKind
from fighitch.runtime.event_loop import EventLoop, Timer
from fighitch.types import Seconds

# Margin after the time at which callers leave a stream without events, so that a caller
# ends the request first.
_EVENT_TIMEOUT_MARGIN: Seconds = 0.5
# Time before that, in which an answer still reaches the caller.
_ANSWER_TIME: Seconds = 0.25


class AttemptTimers:
    """Tells when a server is silent, and when a stream has no event for too long.

    Load pattern: a stalled server keeps a stream open with comments and never sends
    another event, and the caller does not leave.
    """

    def __init__(
        self,
        loop: EventLoop,
        route: Route,
        *,
        on_silent: Callable[[], None],
        on_caller_leaving: Callable[[], None],
        on_event_timeout: Callable[[], None],
    ) -> None:
        """Starts no timer yet.

        Args:
            loop: Event loop that runs the timers.
            route: Route of the request.
            on_silent: Called if the server makes no progress for as long as a
                repeatable request waits before another server is looked for.
            on_caller_leaving: Called shortly before the caller leaves a stream that has
                no event.
            on_event_timeout: Called if a stream has no event for longer than callers
                wait.
        """
        self._loop = loop
        self._route = route
        self._on_silent = on_silent
        self._on_caller_leaving = on_caller_leaving
        self._on_event_timeout = on_event_timeout
        self._silence_timer: Timer | None = None
        self._leaving_timer: Timer | None = None
        self._event_timer: Timer | None = None

    def start(
        self, time_left: Seconds, *, may_retry: bool, waited: Seconds = 0.0
    ) -> None:
        """Starts the timers of an attempt, or of its next event.

        Args:
            time_left: Time left until the deadline of the request.
            may_retry: Whether another server may run the request too.
            waited: Time for which the caller has waited for the event.
        """
        self.cancel()
        if may_retry:
            self.start_silence_timer(time_left)
        timeout = self._route.caller_event_timeout
        if self._route.kind is WorkKind.STREAMING and timeout < float("inf"):
            self._leaving_timer = self._loop.call_later(
                max(0.0, timeout - waited - _ANSWER_TIME), self._on_caller_leaving
            )
            self._event_timer = self._loop.call_later(
                timeout + _EVENT_TIMEOUT_MARGIN, self._on_event_timeout
            )

    def start_silence_timer(self, time_left: Seconds) -> None:
        """Starts the time limit of a silence; see ``start``."""
        self._silence_timer = self._loop.call_later(
            attempt_timeout(self._route, time_left), self._on_silent
        )

    def restart_silence_timer(self, time_left: Seconds) -> None:
        """Starts the time limit again unless too little time is left to act on it."""
        # Another attempt needs as much time as this one still gets.
        if time_left >= 2 * attempt_timeout(self._route, time_left):
            self.start_silence_timer(time_left)

    def cancel(self) -> None:
        """Cancels all timers."""
        for timer in (self._silence_timer, self._leaving_timer, self._event_timer):
            if timer is not None:
                timer.cancel()
        self._silence_timer = self._leaving_timer = self._event_timer = None
