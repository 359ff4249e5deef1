"""Waiting work of one rank: round robin between callers, ready work first.

Every operation is at most logarithmic in the number of waiting requests. A change of
readiness of an adapter version costs one step for each caller that waits for it.
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
    """What the queue knows of a request.

    Attributes:
        number: Identifies the request in this sidecar.
        caller: Caller that it counts for.
        rank: 0 is the most urgent.
        adapter_version: Version that must be ready; None for a plain service.
        deadline: Time after which the answer is worthless.
        enqueued: Time of arrival.
        preemptible: Whether it may be paused for other work.
    """

    number: int
    caller: CallerName
    rank: int
    adapter_version: AdapterVersion | None
    deadline: Seconds
    enqueued: Seconds
    preemptible: bool = False


_Version: TypeAlias = AdapterVersion | None
# Preempted work is queued under no caller and goes before all callers.
_Owner: TypeAlias = CallerName | None


class _OwnerQueue:
    """Work of one caller in lanes by adapter version; the oldest ready lane is next."""

    def __init__(self, is_ready: Callable[[_Version], bool]) -> None:
        self._is_ready = is_ready
        self._lanes: dict[_Version, OrderedDict[int, WorkItem]] = {}
        # Heads of ready lanes; outdated entries are dropped when they reach the top.
        self._heads: list[tuple[int, _Version]] = []

    def __bool__(self) -> bool:
        return bool(self._lanes)

    def add(self, order: int, work: WorkItem) -> None:
        lane = self._lanes.setdefault(work.adapter_version, OrderedDict())
        lane[order] = work
        if len(lane) == 1:
            self.offer(work.adapter_version)

    def remove(self, order: int, work: WorkItem) -> bool:
        """Removes work; returns whether its lane is now empty."""
        lane = self._lanes[work.adapter_version]
        was_head = next(iter(lane)) == order
        del lane[order]
        if not lane:
            del self._lanes[work.adapter_version]
            return True
        if was_head:
            self.offer(work.adapter_version)
        return False

    def offer(self, version: _Version) -> None:
        """Makes a lane eligible if its version is ready."""
        if self._is_ready(version):
            heapq.heappush(self._heads, (next(iter(self._lanes[version])), version))

    def head(self) -> tuple[int, WorkItem] | None:
        """Returns the oldest ready work with its order."""
        while self._heads:
            order, version = self._heads[0]
            lane = self._lanes.get(version)
            if lane and next(iter(lane)) == order and self._is_ready(version):
                return order, lane[order]
            heapq.heappop(self._heads)
        return None


class RankQueue:
    """Waiting work of one rank."""

    def __init__(self, is_ready: Callable[[_Version], bool]) -> None:
        self._is_ready = is_ready
        self._owners: dict[_Owner, _OwnerQueue] = {}
        self._ring: OrderedDict[CallerName, None] = OrderedDict()
        self._by_version: dict[_Version, OrderedDict[int, WorkItem]] = {}
        self._owners_by_version: dict[_Version, set[_Owner]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def has_ready(self) -> bool:
        """Whether some work could be dispatched."""
        return bool(self._ring) or self._next_resumed() is not None

    def versions(self) -> Iterator[tuple[_Version, int, Seconds]]:
        """Iterates over (version, number waiting, oldest arrival)."""
        for version, lane in self._by_version.items():
            yield version, len(lane), next(iter(lane.values())).enqueued

    def waiting_for(self, version: _Version) -> tuple[WorkItem, ...]:
        """Returns the work that waits for a version."""
        return tuple(self._by_version.get(version, {}).values())

    def count(self, versions: Iterable[_Version]) -> int:
        """Returns the number of requests that wait for one of the versions."""
        return sum(len(self._by_version.get(version, ())) for version in versions)

    def add(self, order: int, work: WorkItem, *, resumed: bool = False) -> None:
        """Queues work.

        Args:
            order: Increases with every addition.
            work: Work to queue.
            resumed: Whether it goes before all callers.
        """
        owner = None if resumed else work.caller
        queue = self._owners.setdefault(owner, _OwnerQueue(self._is_ready))
        queue.add(order, work)
        self._by_version.setdefault(work.adapter_version, OrderedDict())[order] = work
        self._owners_by_version.setdefault(work.adapter_version, set()).add(owner)
        self._length += 1
        self._update_ring(owner)

    def remove(self, order: int, work: WorkItem, *, resumed: bool = False) -> None:
        """Removes work that was added with the same arguments."""
        owner = None if resumed else work.caller
        version = work.adapter_version
        del self._by_version[version][order]
        if not self._by_version[version]:
            del self._by_version[version]
        if self._owners[owner].remove(order, work):
            self._owners_by_version[version].discard(owner)
            if not self._owners_by_version[version]:
                del self._owners_by_version[version]
        if not self._owners[owner]:
            del self._owners[owner]
        self._length -= 1
        self._update_ring(owner)

    def pop(self) -> WorkItem | None:
        """Removes and returns the next ready work."""
        resumed = self._next_resumed()
        if resumed is not None:
            self.remove(*resumed, resumed=True)
            return resumed[1]
        if not self._ring:
            return None
        caller = next(iter(self._ring))
        found = self._owners[caller].head()
        if found is None:
            return None
        self._ring.move_to_end(caller)
        self.remove(*found)
        return found[1]

    def readiness_changed(self, version: _Version) -> None:
        """Tells that a version became ready or is no longer ready."""
        for owner in tuple(self._owners_by_version.get(version, ())):
            self._owners[owner].offer(version)
            self._update_ring(owner)

    def _next_resumed(self) -> tuple[int, WorkItem] | None:
        queue = self._owners.get(None)
        return queue.head() if queue else None

    def _update_ring(self, owner: _Owner) -> None:
        if owner is None:
            return
        queue = self._owners.get(owner)
        if queue is None or queue.head() is None:
            self._ring.pop(owner, None)
            return
        self._ring.setdefault(owner, None)
