"""Spaces the requests to a backend server so that they keep a rate.

Load pattern: an overloaded server takes fewer requests a second than arrive for it,
often less than one for each entry, for as long as it says so.
"""

from dataclasses import dataclass

from fighitch.types import Seconds

# Requests that may be sent together, as the requests of this time at the rate: timers
# and status messages are not more precise.
_BURST_TIME: Seconds = 0.1
# A server that takes no request still gets one in this time, as only a response shows
# that it takes requests again.
_PROBE_INTERVAL: Seconds = 5.0


@dataclass(slots=True)
class RequestPacer:
    """Allows a request when the requests before it have used up their time.

    In any window, it allows at most the requests of its rate, and a burst of one and
    the requests of ``_BURST_TIME``.

    Attributes:
        interval: Time between two requests at the rate.
    """

    interval: Seconds
    # Time at which all requests so far, spaced by the interval, are over.
    _free_at: Seconds

    @classmethod
    def for_rate(
        cls, rate: float, now: Seconds, *, senders: int = 1, phase: float = 0.0
    ) -> "RequestPacer":
        """Returns a pacer for the equal share of one of several senders.

        Args:
            rate: Requests per second of all senders together.
            now: Current time.
            senders: Number of senders.
            phase: Part of the interval before the first request, 0 to 1. Senders with
                different phases do not send their first requests together.
        """
        interval = senders * min(
            _PROBE_INTERVAL, 1 / rate if rate > 0 else float("inf")
        )
        return cls(interval, now + phase * interval)

    def set_rate(self, rate: float, now: Seconds, *, senders: int = 1) -> None:
        """Changes the rate; the number of places that are taken stays."""
        interval = self.for_rate(rate, now, senders=senders).interval
        taken = (self._free_at - now) / self.interval
        if taken > 0:
            self._free_at = now + taken * interval
        self.interval = interval

    def delay(self, now: Seconds, *, ahead: int = 0) -> Seconds:
        """Returns the time until a request may be sent.

        Args:
            now: Current time.
            ahead: Number of requests that go first.
        """
        due = max(self._free_at, now - _BURST_TIME) + ahead * self.interval
        return max(0.0, due - now)

    def take(self, now: Seconds) -> Seconds:
        """Takes the place of one request; returns the time until it may be sent."""
        delay = self.delay(now)
        self._free_at = max(self._free_at, now - _BURST_TIME) + self.interval
        return delay
