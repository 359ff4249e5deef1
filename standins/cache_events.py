"""The stream of cache events that an engine publishes, late and with gaps."""

import random
from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec

from fighitch.types import Seconds

_MAX_KEPT_CACHE_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A published event; readers see it from ``due`` on."""

    sequence: int
    due: Seconds
    data: bytes


class CacheEvents:
    """Cache events for ``GET /events``; use with the driver's lock held."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next = 0
        self._kept: deque[CacheEvent] = deque(maxlen=_MAX_KEPT_CACHE_EVENTS)

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next event."""
        return self._next

    def publish(
        self, event: dict[str, Any], *, due: Seconds, drop_share: float
    ) -> None:
        """Publishes an event, or skips its sequence number if it is dropped.

        Args:
            event: Content.
            due: Time from which readers see it.
            drop_share: Probability that it is dropped.
        """
        sequence = self._next
        self._next += 1
        if self._rng.random() < drop_share:
            return
        data = msgspec.json.encode({"sequence": sequence, **event})
        self._kept.append(CacheEvent(sequence, due, b"data: " + data + b"\n\n"))

    def first_from(self, sequence: int) -> CacheEvent | None:
        """Returns the first kept event from a sequence number on."""
        first = None
        for item in reversed(self._kept):
            if item.sequence < sequence:
                break
            first = item
        return first
