"""Model of the weight store's limits, without threads or a clock of its own.

Loads share the bandwidth of the store: up to ``max_in_transit`` loads run at full
speed; with more, all of them slow down proportionally. Loads above the full-speed rate
take longer, and loads above the maximum rate are rejected.
"""

import heapq
from collections.abc import Hashable
from enum import Enum

import msgspec

from fighitch.types import Seconds
from standins.rates import SlidingWindowLimiter
from standins.settings import PositiveFloat, PositiveInt


class WeightStoreParameters(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of the weight store.

    Attributes:
        loads_per_second: Maximum number of loads that start within any second.
        full_speed_loads_per_second: Number of these loads that run at full speed.
        reduced_speed: Speed of the other loads as a fraction of full speed.
        max_in_transit: Number of concurrent loads that the bandwidth supports.
        load_seconds: Duration of a load at full speed.
        refuses_above_rate: Whether a load above the maximum rate is rejected; if not,
            it is only counted as a violation.
    """

    loads_per_second: PositiveFloat = 7.0
    full_speed_loads_per_second: PositiveFloat = 2.0
    reduced_speed: PositiveFloat = 0.5
    max_in_transit: PositiveInt = 16
    load_seconds: PositiveFloat = 0.25
    refuses_above_rate: bool = True


class Admission(Enum):
    """Outcome of the admission of a load."""

    FULL_SPEED = "full_speed"
    REDUCED_SPEED = "reduced_speed"
    REFUSED = "refused"


class WeightStoreModel:
    """Loads in progress and counts of limit violations."""

    def __init__(self, parameters: WeightStoreParameters) -> None:
        self._parameters = parameters
        self._rate_limiter = SlidingWindowLimiter(parameters.loads_per_second)
        self._full_speed_limiter = SlidingWindowLimiter(
            parameters.full_speed_loads_per_second
        )
        # All loads progress at the same speed, so a load ends when the common progress
        # has increased by the work of the load.
        self._progress = 0.0
        self._end_heap: list[tuple[float, int, Hashable]] = []
        self._now: Seconds = 0.0
        self._starts = 0
        self._peak_in_transit = 0
        self._rate_violations = 0
        self._transit_violations = 0
        self._slow_factor = 1.0

    @property
    def in_transit(self) -> int:
        """Number of loads in progress."""
        return len(self._end_heap)

    @property
    def starts(self) -> int:
        """Number of loads started."""
        return self._starts

    @property
    def peak_in_transit(self) -> int:
        """Maximum number of concurrent loads so far."""
        return self._peak_in_transit

    @property
    def rate_violations(self) -> int:
        """Number of starts above the maximum rate, rejected or not."""
        return self._rate_violations

    @property
    def transit_violations(self) -> int:
        """Number of starts that exceeded the limit of concurrent loads."""
        return self._transit_violations

    def set_slow_factor(self, factor: float, now: Seconds) -> list[Hashable]:
        """Multiplies the duration of all loads by ``factor`` from now on.

        Returns:
            The keys of the loads that have ended.
        """
        ended = self.advance(now)
        self._slow_factor = factor
        return ended

    def retry_after(self, now: Seconds) -> Seconds:
        """Returns the time until the maximum rate permits a start."""
        return self._rate_limiter.retry_after(now)

    def start(self, key: Hashable, now: Seconds) -> Admission:
        """Starts a load; call ``advance`` with the same time first.

        Args:
            key: Key that ``advance`` returns when the load ends.
            now: Current time in seconds.

        Returns:
            How the load was admitted.
        """
        self._now = max(self._now, now)
        if self._rate_limiter.try_acquire(now) > 0:
            self._rate_violations += 1
            if self._parameters.refuses_above_rate:
                return Admission.REFUSED
        is_full_speed = self._full_speed_limiter.try_acquire(now) <= 0
        speed = 1.0 if is_full_speed else self._parameters.reduced_speed
        end = self._progress + self._parameters.load_seconds / speed
        self._starts += 1
        heapq.heappush(self._end_heap, (end, self._starts, key))
        self._peak_in_transit = max(self._peak_in_transit, self.in_transit)
        if self.in_transit > self._parameters.max_in_transit:
            self._transit_violations += 1
        return Admission.FULL_SPEED if is_full_speed else Admission.REDUCED_SPEED

    def next_event_at(self) -> Seconds | None:
        """Returns when the next load ends, or None if none is in progress."""
        if not self._end_heap:
            return None
        return (
            self._now
            + max(0.0, self._end_heap[0][0] - self._progress) / self._current_speed()
        )

    def advance(self, now: Seconds) -> list[Hashable]:
        """Advances the loads to the current time.

        Args:
            now: Current time in seconds.

        Returns:
            The keys of the loads that ended, in order of their end.
        """
        ended = []
        while (due := self.next_event_at()) is not None and due <= now:
            end, _, key = heapq.heappop(self._end_heap)
            self._progress = max(self._progress, end)
            self._now = max(self._now, due)
            ended.append(key)
        if self._end_heap and now > self._now:
            self._progress += (now - self._now) * self._current_speed()
        self._now = max(self._now, now)
        return ended

    def _current_speed(self) -> float:
        share = self._parameters.max_in_transit / max(1, self.in_transit)
        return min(1.0, share) / self._slow_factor
