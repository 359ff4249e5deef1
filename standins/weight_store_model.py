"""A model of the weight store's limits, without threads or a clock of its own.

Loads share the store's bandwidth: up to ``max_in_transit`` loads progress at full
speed, and beyond that all progress proportionally slower. Loads that start above the
full-speed rate take longer, and those above the allowed rate are refused.
"""

import heapq
from collections.abc import Hashable
from enum import Enum

import msgspec

from fighitch.types import Seconds
from standins.rates import SlidingWindow
from standins.settings import PositiveFloat, PositiveInt


class WeightStoreParameters(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of the weight store.

    Attributes:
        loads_per_second: Loads that may start within any second.
        full_speed_loads_per_second: How many of them run at full speed.
        reduced_speed: Speed of the others, as a share of full speed.
        max_in_transit: Loads in progress that the bandwidth suffices for.
        load_seconds: Duration of a load at full speed.
        refuses_above_rate: Whether a start above the rate is refused; if not, it is
            only counted as a violation.
    """

    loads_per_second: PositiveFloat = 7.0
    full_speed_loads_per_second: PositiveFloat = 2.0
    reduced_speed: PositiveFloat = 0.5
    max_in_transit: PositiveInt = 16
    load_seconds: PositiveFloat = 0.25
    refuses_above_rate: bool = True


class Admission(Enum):
    """How a load was accepted."""

    FULL_SPEED = "full_speed"
    REDUCED_SPEED = "reduced_speed"
    REFUSED = "refused"


class WeightStoreModel:
    """Loads in transit and the counts of violations."""

    def __init__(self, parameters: WeightStoreParameters) -> None:
        self._parameters = parameters
        self._allowed = SlidingWindow(parameters.loads_per_second)
        self._full_speed = SlidingWindow(parameters.full_speed_loads_per_second)
        # Every load progresses at the same speed, so a load ends when the progress
        # common to all has grown by the load's work.
        self._progress = 0.0
        self._ends: list[tuple[float, int, Hashable]] = []
        self._now: Seconds = 0.0
        self._starts = 0
        self._peak_in_transit = 0
        self._rate_violations = 0
        self._transit_violations = 0
        self._slow_factor = 1.0

    @property
    def in_transit(self) -> int:
        """Number of loads in progress."""
        return len(self._ends)

    @property
    def starts(self) -> int:
        """Number of loads that were started."""
        return self._starts

    @property
    def peak_in_transit(self) -> int:
        """Most loads that were in progress at once."""
        return self._peak_in_transit

    @property
    def rate_violations(self) -> int:
        """Starts above the allowed rate, refused or not."""
        return self._rate_violations

    @property
    def transit_violations(self) -> int:
        """Starts that brought the loads in transit above the limit."""
        return self._transit_violations

    def set_slow_factor(self, factor: float, now: Seconds) -> list[Hashable]:
        """Makes all loads take ``factor`` times as long from now on.

        Returns:
            The keys of the loads that ended by now.
        """
        ended = self.advance(now)
        self._slow_factor = factor
        return ended

    def retry_after(self, now: Seconds) -> Seconds:
        """Returns the time until a start is within the allowed rate."""
        return self._allowed.wait(now)

    def start(self, key: Hashable, now: Seconds) -> Admission:
        """Starts a load. Call ``advance`` with the same time before.

        Args:
            key: Returned by ``advance`` when the load ends.
            now: Current time in seconds.

        Returns:
            How it was accepted.
        """
        self._now = max(self._now, now)
        if self._allowed.take(now) > 0:
            self._rate_violations += 1
            if self._parameters.refuses_above_rate:
                return Admission.REFUSED
        is_full_speed = self._full_speed.take(now) <= 0
        speed = 1.0 if is_full_speed else self._parameters.reduced_speed
        end = self._progress + self._parameters.load_seconds / speed
        self._starts += 1
        heapq.heappush(self._ends, (end, self._starts, key))
        self._peak_in_transit = max(self._peak_in_transit, self.in_transit)
        if self.in_transit > self._parameters.max_in_transit:
            self._transit_violations += 1
        return Admission.FULL_SPEED if is_full_speed else Admission.REDUCED_SPEED

    def next_event_at(self) -> Seconds | None:
        """Returns when the next load ends; None if none is in transit."""
        if not self._ends:
            return None
        return self._now + max(0.0, self._ends[0][0] - self._progress) / self._speed()

    def advance(self, now: Seconds) -> list[Hashable]:
        """Lets the loads progress until now.

        Args:
            now: Current time in seconds.

        Returns:
            The keys of the loads that ended, in order.
        """
        ended = []
        while (due := self.next_event_at()) is not None and due <= now:
            end, _, key = heapq.heappop(self._ends)
            self._progress = max(self._progress, end)
            self._now = max(self._now, due)
            ended.append(key)
        if self._ends and now > self._now:
            self._progress += (now - self._now) * self._speed()
        self._now = max(self._now, now)
        return ended

    def _speed(self) -> float:
        share = self._parameters.max_in_transit / max(1, self.in_transit)
        return min(1.0, share) / self._slow_factor
