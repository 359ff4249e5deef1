"""Adapters that waiting work needs, in the order in which engines should hold them."""

from dataclasses import dataclass

from fighitch.core.gateway.model import AdapterName
from fighitch.types import Seconds


@dataclass(slots=True)
class WaitingAdapter:
    """An adapter that work waits for, whether the engine holds it or not.

    Attributes:
        adapter: The adapter.
        version: Oldest version that all the work may run on.
        on_time: Requests that can still be on time.
        rank: Most urgent rank among these, or among all if none can be on time.
        target_time: Earliest aim among the same.
    """

    adapter: AdapterName
    version: int = 0
    on_time: int = 0
    rank: int = 0
    target_time: Seconds = 0.0
    _seen: bool = False

    def note(
        self, *, version: int, rank: int, target_time: Seconds, on_time: bool
    ) -> None:
        """Takes a request that waits for the adapter."""
        self.version = max(self.version, version)
        if not self._seen or (on_time and not self.on_time):
            self.rank, self.target_time = rank, target_time
        elif on_time or not self.on_time:
            self.rank = min(self.rank, rank)
            self.target_time = min(self.target_time, target_time)
        self._seen = True
        self.on_time += on_time

    def order(self) -> tuple[bool, int, int, Seconds]:
        """Returns the place in the order of loads; the lowest goes first."""
        return self.on_time == 0, self.rank, -self.on_time, self.target_time
