"""Adapter versions that a sidecar wants loaded: those waited for or in demand."""

from collections import OrderedDict

from fighitch.core.messages import AdapterVersion
from fighitch.core.sidecar.admission import AdmissionQueue
from fighitch.core.sidecar.slots import Wanted
from fighitch.types import Seconds

# Goes before every rank.
_OWED_RANK = -1


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
        self._recent: OrderedDict[AdapterVersion, tuple[int, float]] = OrderedDict()

    def record(self, version: AdapterVersion, *, rank: int, value: float) -> None:
        """Notes a request for a version with the rank and the worth of its answer."""
        self._recent[version] = (rank, value)
        self._recent.move_to_end(version)
        if len(self._recent) > self._max_recent:
            self._recent.popitem(last=False)

    def list(self, now: Seconds) -> list[Wanted]:
        """Returns what is waited for, one entry a version, then what is in demand."""
        found: dict[AdapterVersion, Wanted] = {}
        for rank, version, waiting, oldest_wait in self._queue.waited_for(now):
            if self._queue.can_defer_load(rank, oldest_wait):
                continue
            known = found.get(version)
            value = self._queue.value(rank)
            if self._queue.is_owed_load(rank, oldest_wait):
                rank, value = _OWED_RANK, self._queue.highest_value
            found[version] = Wanted(
                adapter_version=version,
                rank=min(rank, known.rank) if known else rank,
                waiting=waiting + (known.waiting if known else 0),
                value=max(value, known.value if known else 0.0),
                oldest_wait=max(oldest_wait, known.oldest_wait if known else 0.0),
            )
        idle = [
            Wanted(version, rank, 0, value, 0.0)
            for version, (rank, value) in self._recent.items()
            if version not in found
        ]
        return [*found.values(), *idle]
