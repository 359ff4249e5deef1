"""Tracks which adapter versions should be loaded on an engine."""

from collections import OrderedDict

from fighitch.core.messages import AdapterVersion
from fighitch.core.sidecar.admission import AdmissionQueue
from fighitch.core.sidecar.slots import AdapterDemand
from fighitch.types import Seconds

# Rank of loads for starved ranks; more urgent than every other rank.
_STARVED_RANK = -1


class DemandTracker:
    """Current and recent demand for adapter versions on one engine."""

    def __init__(self, queue: AdmissionQueue, *, max_recent: int) -> None:
        """Creates a tracker without recent demand.

        Args:
            queue: Waiting requests, whose versions come first.
            max_recent: Maximum number of versions without waiting requests to track.
        """
        self._queue = queue
        self._max_recent = max_recent
        self._recent: OrderedDict[AdapterVersion, tuple[int, float]] = OrderedDict()

    def record(self, version: AdapterVersion, *, rank: int, value: float) -> None:
        """Records a request for a version, with its rank and its response's value."""
        self._recent[version] = (rank, value)
        self._recent.move_to_end(version)
        if len(self._recent) > self._max_recent:
            self._recent.popitem(last=False)

    def demands(self, now: Seconds) -> list[AdapterDemand]:
        """Returns the demand per version: waiting requests first, then recent use."""
        waiting_demand: dict[AdapterVersion, AdapterDemand] = {}
        for rank, version, waiting, oldest_wait in self._queue.waiting_versions(now):
            if self._queue.can_defer_load(rank, oldest_wait):
                continue
            previous = waiting_demand.get(version)
            value = self._queue.value(rank)
            if self._queue.is_starved_of_load(rank, oldest_wait):
                rank, value = _STARVED_RANK, self._queue.highest_value
            waiting_demand[version] = AdapterDemand(
                adapter_version=version,
                rank=min(rank, previous.rank) if previous else rank,
                waiting=waiting + (previous.waiting if previous else 0),
                value=max(value, previous.value if previous else 0.0),
                oldest_wait=max(oldest_wait, previous.oldest_wait if previous else 0.0),
            )
        recent = [
            AdapterDemand(version, rank, 0, value, 0.0)
            for version, (rank, value) in self._recent.items()
            if version not in waiting_demand
        ]
        return [*waiting_demand.values(), *recent]
