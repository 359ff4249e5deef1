"""Adapter versions that a sidecar wants loaded: those waited for or in demand."""

from collections import OrderedDict

from fighitch.core.messages import AdapterVersion
from fighitch.core.sidecar.admission import AdmissionQueue
from fighitch.core.sidecar.demand import DemandEstimator
from fighitch.core.sidecar.slots import Wanted
from fighitch.types import Seconds

# Popularity shifts without warning; a minute of history follows it soon enough.
_DEMAND_HALF_LIFE: Seconds = 60.0


class WantedVersions:
    """Demand for adapter versions at one engine."""

    def __init__(self, queue: AdmissionQueue, *, max_recent: int) -> None:
        """Takes the queue whose waiting work is wanted first.

        Args:
            queue: Waiting work.
            max_recent: Most versions without waiting work that are considered.
        """
        self._queue = queue
        self._max_recent = max_recent
        self._demand: DemandEstimator[AdapterVersion] = DemandEstimator(
            _DEMAND_HALF_LIFE
        )
        self._recent: OrderedDict[AdapterVersion, int] = OrderedDict()

    def record(
        self, version: AdapterVersion, *, rank: int, value: float, now: Seconds
    ) -> None:
        """Counts a request for a version, weighted with the value of its rank."""
        self._demand.record(version, now, value)
        self._recent[version] = rank
        self._recent.move_to_end(version)
        if len(self._recent) > self._max_recent:
            self._recent.popitem(last=False)

    def list(self, now: Seconds) -> list[Wanted]:
        """Returns what is waited for, one entry a version, then what is in demand."""
        found: dict[AdapterVersion, Wanted] = {}
        for rank, version, waiting, oldest_wait in self._queue.waited_for(now):
            known = found.get(version)
            found[version] = Wanted(
                adapter_version=version,
                rank=min(rank, known.rank) if known else rank,
                waiting=waiting + (known.waiting if known else 0),
                value=self._demand.rate(version, now),
                oldest_wait=max(oldest_wait, known.oldest_wait if known else 0.0),
            )
        idle = [
            Wanted(version, rank, 0, self._demand.rate(version, now), 0.0)
            for version, rank in self._recent.items()
            if version not in found
        ]
        return [*found.values(), *idle]
