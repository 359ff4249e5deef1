"""Demand estimation by exponentially decayed counts.

The weighted count of a key halves once per half-life. A steady stream of ``r`` events
per second converges to a count of ``r * half_life / ln 2``, so the rate can be computed
from the count alone.
"""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

from fighitch.types import Seconds

KeyT = TypeVar("KeyT", bound=Hashable)

# Idle adapters need no count; this is twice the number of adapters that are active at a
# time in a fleet of 22,000 adapters.
DEFAULT_MAX_KEYS = 4_096


class DemandEstimator(Generic[KeyT]):
    """Estimates the rate of events per key for a bounded number of keys."""

    def __init__(self, half_life: Seconds, *, max_keys: int = DEFAULT_MAX_KEYS) -> None:
        """Creates an estimator without keys.

        Args:
            half_life: Time in seconds after which the weight of an event has halved.
            max_keys: Maximum number of keys; if it is exceeded, the half of the keys
                with the lowest demand is evicted.

        Raises:
            ValueError: If an argument is not positive.
        """
        if half_life <= 0 or max_keys <= 0:
            raise ValueError(
                f"half_life {half_life} and max_keys {max_keys} must be positive"
            )
        self._half_life = half_life
        self._max_keys = max_keys
        self._counts: dict[KeyT, tuple[float, Seconds]] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def record(self, key: KeyT, now: Seconds, weight: float = 1.0) -> None:
        """Records an event.

        Args:
            key: Key that the event concerns, such as an adapter.
            now: Time of the event, in seconds.
            weight: Weight of the event.
        """
        self._counts[key] = (self._count(key, now) + weight, now)
        if len(self._counts) > self._max_keys:
            self._evict_least_used(now)

    def rate(self, key: KeyT, now: Seconds) -> float:
        """Estimates the weighted events per second of a key; 0 for an unknown key."""
        return self._count(key, now) * math.log(2) / self._half_life

    def _count(self, key: KeyT, now: Seconds) -> float:
        count, counted_at = self._counts.get(key, (0.0, now))
        return count * 0.5 ** (max(0.0, now - counted_at) / self._half_life)

    def _evict_least_used(self, now: Seconds) -> None:
        # Evicting half of the keys at once amortises the cost of sorting.
        by_count = sorted(self._counts, key=lambda key: self._count(key, now))
        for key in by_count[: len(by_count) - self._max_keys // 2]:
            del self._counts[key]
