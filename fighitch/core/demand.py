"""Demand as an exponentially decayed rate.

Each key holds a weighted count that halves once per half-life. A steady stream of ``r``
events per second settles at a count of ``r * half_life / ln 2``, so the rate follows
from the count alone.
"""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

from fighitch.types import Seconds

KeyT = TypeVar("KeyT", bound=Hashable)

# Idle adapters need no entry; this covers the active part of 22,000 adapters twice.
DEFAULT_MAX_KEYS = 4_096


class DemandEstimator(Generic[KeyT]):
    """Estimates how often each key is used, with a bounded number of keys."""

    def __init__(self, half_life: Seconds, *, max_keys: int = DEFAULT_MAX_KEYS) -> None:
        """Starts without keys.

        Args:
            half_life: Seconds after which a recorded event counts half.
            max_keys: Most keys kept; beyond it, the half in least demand is dropped.

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
        """Counts one event.

        Args:
            key: What was used.
            now: Time of the event, in seconds.
            weight: How much the event counts.
        """
        self._counts[key] = (self._count(key, now) + weight, now)
        if len(self._counts) > self._max_keys:
            self._drop_least(now)

    def rate(self, key: KeyT, now: Seconds) -> float:
        """Returns the weighted events per second of a key; 0 if it is not known."""
        return self._count(key, now) * math.log(2) / self._half_life

    def _count(self, key: KeyT, now: Seconds) -> float:
        count, at = self._counts.get(key, (0.0, now))
        return count * 0.5 ** (max(0.0, now - at) / self._half_life)

    def _drop_least(self, now: Seconds) -> None:
        # Dropping half at once keeps the mean cost of a record constant.
        by_count = sorted(self._counts, key=lambda key: self._count(key, now))
        for key in by_count[: len(by_count) - self._max_keys // 2]:
            del self._counts[key]
