"""Times by which a request must be sent to a server and answered."""

from collections.abc import Callable

from fighitch.runtime.event_loop import EventLoop, Timer
from fighitch.types import Seconds

# A request with less time left until its deadline is not sent to a server.
_MIN_TIME_LEFT: Seconds = 0.02


class RequestDeadline:
    """Ends a request in time, also if its entry stops before.

    Load pattern: an entry stops while requests wait for servers that are full, or run
    for longer than the entry may.
    """

    def __init__(
        self,
        loop: EventLoop,
        answer_by: Seconds,
        *,
        on_send_due: Callable[[], None],
        on_answer_due: Callable[[], None],
    ) -> None:
        """Starts the timer of the answer.

        Args:
            loop: Event loop that runs the timers.
            answer_by: Time by which the caller must have an answer.
            on_send_due: Called when it is too late to send the request to a server.
            on_answer_due: Called when the caller must have an answer.
        """
        self._loop = loop
        self._answer_by = answer_by
        self._send_by = answer_by
        self._on_send_due = on_send_due
        self._on_answer_due = on_answer_due
        self._send_timer: Timer | None = None
        self._answer_timer = self._call_at(answer_by, on_answer_due)

    @property
    def answer_by(self) -> Seconds:
        """Time by which the caller must have an answer."""
        return self._answer_by

    @property
    def time_left(self) -> Seconds:
        """Time until the caller must have an answer."""
        return self._answer_by - self._loop.now()

    @property
    def may_send(self) -> bool:
        """Whether a server that gets the request now is expected to answer in time."""
        return self._loop.now() < self._send_by

    @property
    def has_time_to_send(self) -> bool:
        """Whether the request may still be sent to a server."""
        return self.may_send and self.time_left >= _MIN_TIME_LEFT

    def bring_forward(self, answer_by: Seconds, *, run_time: Seconds) -> None:
        """Makes an earlier time the deadline; a later one changes nothing.

        Args:
            answer_by: Time by which the caller must have an answer.
            run_time: Time that a server needs for the request. With less time left, a
                rejection that lets the caller go elsewhere is better than an answer
                that is cut off.
        """
        if answer_by >= self._answer_by:
            return
        self.cancel()
        self._answer_by = answer_by
        self._send_by = answer_by - run_time
        self._answer_timer = self._call_at(answer_by, self._on_answer_due)
        self._send_timer = self._call_at(self._send_by, self._on_send_due)

    def cancel(self) -> None:
        """Cancels the timers."""
        self._answer_timer.cancel()
        if self._send_timer is not None:
            self._send_timer.cancel()

    def _call_at(self, time: Seconds, callback: Callable[[], None]) -> Timer:
        return self._loop.call_later(max(0.0, time - self._loop.now()), callback)
