"""Demand of queued requests for one adapter, with the load priority of the adapter."""

from dataclasses import dataclass

from fighitch.core.gateway.model import AdapterName
from fighitch.types import Seconds


@dataclass(slots=True)
class AdapterDemand:
    """Queued requests for one adapter, whether it is loaded or not.

    Attributes:
        adapter: The adapter.
        version: Oldest version that all these requests accept.
        on_time: Number of requests that can still meet their latency target.
        rank: Most urgent rank among these, or among all requests if there are none.
        target_time: Earliest target time among the same requests.
    """

    adapter: AdapterName
    version: int = 0
    on_time: int = 0
    rank: int = 0
    target_time: Seconds = 0.0
    _has_requests: bool = False

    def add_request(
        self, *, version: int, rank: int, target_time: Seconds, on_time: bool
    ) -> None:
        """Adds a queued request for the adapter."""
        self.version = max(self.version, version)
        if not self._has_requests or (on_time and not self.on_time):
            self.rank, self.target_time = rank, target_time
        elif on_time or not self.on_time:
            self.rank = min(self.rank, rank)
            self.target_time = min(self.target_time, target_time)
        self._has_requests = True
        self.on_time += on_time

    def sort_key(self) -> tuple[bool, int, int, Seconds]:
        """Returns the sort key for the order of loads; the lowest is loaded first."""
        return self.on_time == 0, self.rank, -self.on_time, self.target_time
