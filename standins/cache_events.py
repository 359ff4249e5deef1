"""Log of the cache events that an engine publishes with delays and losses."""

import random
from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec

from fighitch.types import Seconds

_MAX_RETAINED_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A published event that becomes visible to readers at ``due``."""

    sequence: int
    due: Seconds
    data: bytes


class CacheEventLog:
    """Cache events of ``GET /events``; callers must hold the driver's lock."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_sequence = 0
        self._retained: deque[CacheEvent] = deque(maxlen=_MAX_RETAINED_EVENTS)

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next event."""
        return self._next_sequence

    def publish(
        self, event: dict[str, Any], *, due: Seconds, drop_share: float
    ) -> None:
        """Publishes an event, or consumes a sequence number without publishing it.

        Args:
            event: Fields of the event.
            due: Time at which the event becomes visible to readers.
            drop_share: Probability that the event is dropped.
        """
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._rng.random() < drop_share:
            return
        data = msgspec.json.encode({"sequence": sequence, **event})
        self._retained.append(CacheEvent(sequence, due, b"data: " + data + b"\n\n"))

    def first_from(self, sequence: int) -> CacheEvent | None:
        """Returns the oldest retained event at or after a sequence number."""
        first = None
        for item in reversed(self._retained):
            if item.sequence < sequence:
                break
            first = item
        return first
