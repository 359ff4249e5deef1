"""Demand of queued requests for one adapter, with the load priority of the adapter."""

from dataclasses import dataclass, field

from fighitch.core.gateway.model import AdapterName
from fighitch.types import Seconds


@dataclass(slots=True)
class AdapterDemand:
    """Queued requests for one adapter, whether it is loaded or not.

    Attributes:
        adapter: The adapter.
        version: Oldest version that all these requests accept.
        on_time_requests: Number of requests that can still meet their latency target.
        rank: Most urgent rank among these, or among all requests if there are none.
        target_time: Earliest target time among the same requests.
        accounts: Client accounts of the same requests; an empty name stands for none.
    """

    adapter: AdapterName
    version: int = 0
    on_time_requests: int = 0
    rank: int = 0
    target_time: Seconds = 0.0
    accounts: set[str] = field(default_factory=set)
    _has_requests: bool = False

    def add_request(
        self,
        *,
        version: int,
        rank: int,
        target_time: Seconds,
        on_time: bool,
        account: str = "",
    ) -> None:
        """Adds a queued request for the adapter.

        Args:
            version: Oldest version that the request accepts; 0 for any.
            rank: Priority rank of the request.
            target_time: Time by which its first event meets the latency target.
            on_time: Whether the request can still meet its latency target.
            account: Client account of the request; empty for none.
        """
        self.version = max(self.version, version)
        if not self._has_requests or (on_time and not self.on_time_requests):
            self.rank, self.target_time = rank, target_time
            self.accounts = {account}
        elif on_time or not self.on_time_requests:
            self.rank = min(self.rank, rank)
            self.target_time = min(self.target_time, target_time)
            self.accounts.add(account)
        self._has_requests = True
        self.on_time_requests += on_time

    def sort_key(self) -> tuple[bool, int, int, Seconds]:
        """Returns the sort key for the order of loads; the lowest is loaded first."""
        return (
            self.on_time_requests == 0,
            self.rank,
            -self.on_time_requests,
            self.target_time,
        )
