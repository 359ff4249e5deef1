"""Queue of one priority rank: round robin between callers, ready requests only.

A request is ready if its adapter version is loaded. Every operation takes at most
logarithmic time in the number of waiting requests. A change in the readiness of an
adapter version takes one step for each caller that waits for it.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TypeAlias

from fighitch.core.messages import AdapterVersion
from fighitch.types import CallerName, Seconds


@dataclass(frozen=True, slots=True)
class WorkItem:
    """A queued or running request.

    Attributes:
        number: Identifier of the request within this sidecar.
        caller: Caller that the request is accounted to.
        rank: Priority rank; 0 is the most urgent.
        adapter_version: Version that must be ready; None for a plain service.
        deadline: Time after which the response is of no use.
        enqueued: Time of arrival.
        preemptible: Whether it may be preempted by other requests.
    """

    number: int
    caller: CallerName
    rank: int
    adapter_version: AdapterVersion | None
    deadline: Seconds
    enqueued: Seconds
    preemptible: bool = False


_Version: TypeAlias = AdapterVersion | None
# Key of a per-caller queue. Preempted requests are queued under None and precede all
# callers.
_QueueKey: TypeAlias = CallerName | None


class _CallerQueue:
    """Requests of one caller, in one FIFO per adapter version; oldest ready first."""

    def __init__(self, is_ready: Callable[[_Version], bool]) -> None:
        self._is_ready = is_ready
        self._fifos: dict[_Version, OrderedDict[int, WorkItem]] = {}
        # Heap of the heads of ready FIFOs. A stale entry is dropped when it reaches the
        # top.
        self._heads: list[tuple[int, _Version]] = []

    def __bool__(self) -> bool:
        return bool(self._fifos)

    def add(self, sequence: int, work: WorkItem) -> None:
        fifo = self._fifos.setdefault(work.adapter_version, OrderedDict())
        fifo[sequence] = work
        if len(fifo) == 1:
            self.push_head_if_ready(work.adapter_version)

    def remove(self, sequence: int, work: WorkItem) -> bool:
        """Removes a request; returns whether its FIFO is now empty."""
        fifo = self._fifos[work.adapter_version]
        was_head = next(iter(fifo)) == sequence
        del fifo[sequence]
        if not fifo:
            del self._fifos[work.adapter_version]
            return True
        if was_head:
            self.push_head_if_ready(work.adapter_version)
        return False

    def push_head_if_ready(self, version: _Version) -> None:
        """Adds the head of a version's FIFO to the heap if the version is ready."""
        if self._is_ready(version):
            heapq.heappush(self._heads, (next(iter(self._fifos[version])), version))

    def head(self) -> tuple[int, WorkItem] | None:
        """Returns the oldest ready request with its sequence number."""
        while self._heads:
            sequence, version = self._heads[0]
            fifo = self._fifos.get(version)
            if fifo and next(iter(fifo)) == sequence and self._is_ready(version):
                return sequence, fifo[sequence]
            heapq.heappop(self._heads)
        return None


class RankQueue:
    """Waiting requests of one rank."""

    def __init__(self, is_ready: Callable[[_Version], bool]) -> None:
        self._is_ready = is_ready
        self._caller_queues: dict[_QueueKey, _CallerQueue] = {}
        self._ready_callers: OrderedDict[CallerName, None] = OrderedDict()
        self._by_version: dict[_Version, OrderedDict[int, WorkItem]] = {}
        self._keys_by_version: dict[_Version, set[_QueueKey]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def has_ready(self) -> bool:
        """Whether any waiting request can be dispatched."""
        return bool(self._ready_callers) or self._next_requeued() is not None

    def versions(self) -> Iterator[tuple[_Version, int, Seconds]]:
        """Iterates over (version, number of waiting requests, oldest arrival)."""
        for version, fifo in self._by_version.items():
            yield version, len(fifo), next(iter(fifo.values())).enqueued

    def waiting_for(self, version: _Version) -> tuple[WorkItem, ...]:
        """Returns the requests that wait for a version."""
        return tuple(self._by_version.get(version, {}).values())

    def count(self, versions: Iterable[_Version]) -> int:
        """Returns the number of requests that wait for one of the versions."""
        return sum(len(self._by_version.get(version, ())) for version in versions)

    def add(self, sequence: int, work: WorkItem, *, requeued: bool = False) -> None:
        """Queues a request.

        Args:
            sequence: Sequence number; increases with every addition.
            work: Request to queue.
            requeued: Whether it is queued before all callers.
        """
        key = None if requeued else work.caller
        queue = self._caller_queues.setdefault(key, _CallerQueue(self._is_ready))
        queue.add(sequence, work)
        self._by_version.setdefault(work.adapter_version, OrderedDict())[sequence] = (
            work
        )
        self._keys_by_version.setdefault(work.adapter_version, set()).add(key)
        self._length += 1
        self._update_ready_callers(key)

    def remove(self, sequence: int, work: WorkItem, *, requeued: bool = False) -> None:
        """Removes a request that was added with the same arguments."""
        key = None if requeued else work.caller
        version = work.adapter_version
        del self._by_version[version][sequence]
        if not self._by_version[version]:
            del self._by_version[version]
        if self._caller_queues[key].remove(sequence, work):
            self._keys_by_version[version].discard(key)
            if not self._keys_by_version[version]:
                del self._keys_by_version[version]
        if not self._caller_queues[key]:
            del self._caller_queues[key]
        self._length -= 1
        self._update_ready_callers(key)

    def pop(self) -> WorkItem | None:
        """Removes and returns the next ready request."""
        requeued = self._next_requeued()
        if requeued is not None:
            self.remove(*requeued, requeued=True)
            return requeued[1]
        if not self._ready_callers:
            return None
        caller = next(iter(self._ready_callers))
        found = self._caller_queues[caller].head()
        if found is None:
            return None
        self._ready_callers.move_to_end(caller)
        self.remove(*found)
        return found[1]

    def readiness_changed(self, version: _Version) -> None:
        """Updates the queue after a version became ready or stopped being ready."""
        for key in tuple(self._keys_by_version.get(version, ())):
            self._caller_queues[key].push_head_if_ready(version)
            self._update_ready_callers(key)

    def _next_requeued(self) -> tuple[int, WorkItem] | None:
        queue = self._caller_queues.get(None)
        return queue.head() if queue else None

    def _update_ready_callers(self, key: _QueueKey) -> None:
        if key is None:
            return
        queue = self._caller_queues.get(key)
        if queue is None or queue.head() is None:
            self._ready_callers.pop(key, None)
            return
        self._ready_callers.setdefault(key, None)
