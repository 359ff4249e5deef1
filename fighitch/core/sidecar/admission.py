"""Admission: which request goes next, which is refused, which gives way.

A rank with waiting work that runs less than its floor goes first; then the most urgent
rank. Room that a floor reserves for another rank is lent to preemptible work only, so
that it can be taken back at once.

Floors are rounded up to whole slots. On a small batch the rounding can leave no slot
without a floor, and the order above would starve ranks with a small floor or none. Then
ranks take turns in proportion to their floors, and the rest goes to the most urgent.
"""

import heapq
import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from fighitch.core.demand import DemandEstimator
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.invariants import check
from fighitch.core.messages import AdapterVersion
from fighitch.core.sidecar.rank_queue import RankQueue, WorkItem
from fighitch.types import Seconds

# Weight of the newest sample: about the last ten requests decide the estimate.
_SERVICE_TIME_WEIGHT = 0.1
# Follows a change of load within seconds without jumping at every request.
_DRAIN_HALF_LIFE: Seconds = 5.0
_MIN_RETRY_AFTER: Seconds = 0.1
_MAX_RETRY_AFTER: Seconds = 10.0
# Waiting requests of a rank below which nothing is refused because of its target.
_SHORT_QUEUE = 8
# Share of its target that preemptible work may wait for a load that can be deferred.
_DEFERRED_SHARE = 0.25
# Share of its target after which preemptible work may use permits of other sidecars.
# All that arrived at the start of a flood passes the first limit at once.
_BORROWING_SHARE = 0.5
# A rank below its floor goes before urgent loads after it has waited this long.
_OWED_SECONDS: Seconds = 1.0
# Keeps 0.1 * 10 from being rounded up to 2 slots.
_ROUNDING = 1e-9
# Outdated entries of the deadline heap are tolerated up to this number.
_MIN_HEAP_TO_COMPACT = 64


@dataclass(frozen=True, slots=True)
class RankPolicy:
    """What a rank is owed.

    Attributes:
        floor: Share of batch room kept for the rank, from 0 to 1.
        queue_limit: Most waiting requests.
        value: Worth of one answer in time, relative to other ranks.
        preemptible: Whether its work may be paused.
        idempotent: Whether its work may run more than once.
        target: Agreed time to the first token, in seconds.
    """

    floor: float = 0.0
    queue_limit: int = 256
    value: float = 1.0
    preemptible: bool = False
    idempotent: bool = True
    target: Seconds = math.inf


@dataclass(frozen=True, slots=True)
class Preemption:
    """Running work that gives way, and the rank that takes its room."""

    victim: WorkItem
    rank: int


class _Turns:
    """Smooth weighted round robin between ranks."""

    def __init__(self) -> None:
        self._credits: dict[int, float] = {}

    def next(self, shares: Mapping[int, float]) -> int | None:
        """Returns the rank whose turn it is; the most urgent of equals."""
        return max(
            shares,
            key=lambda rank: (self._credits.get(rank, 0.0) + shares[rank], -rank),
            default=None,
        )

    def take(self, rank: int, shares: Mapping[int, float]) -> None:
        """Counts a turn; ranks that do not wait lose their credit."""
        self._credits = {
            one: self._credits.get(one, 0.0) + share for one, share in shares.items()
        }
        self._credits[rank] -= sum(shares.values())


@dataclass(frozen=True, slots=True)
class _Waiting:
    order: int
    work: WorkItem
    resumed: bool


class AdmissionQueue:
    """Waiting and running work of one backend server."""

    def __init__(
        self, *, batch_size: int, policies: Mapping[int, RankPolicy] | None = None
    ) -> None:
        """Starts empty.

        Args:
            batch_size: Requests that run at once.
            policies: Policy by rank; ranks without one have no floor.
        """
        self._ready: set[AdapterVersion] = set()
        self._queues: dict[int, RankQueue] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._running: dict[int, dict[int, WorkItem]] = {}
        self._deadlines: list[tuple[Seconds, int]] = []
        self._service_times: dict[int, Seconds] = {}
        self._drain: DemandEstimator[int] = DemandEstimator(_DRAIN_HALF_LIFE)
        self._next_order = 0
        self._turns = _Turns()
        self.configure(batch_size=batch_size, policies=policies or {})

    # --- State ---

    @property
    def batch_size(self) -> int:
        """Requests that run at once."""
        return self._batch_size

    @property
    def ready_versions(self) -> frozenset[AdapterVersion]:
        """Versions on which work may be dispatched."""
        return frozenset(self._ready)

    def running_by_rank(self) -> tuple[int, ...]:
        """Returns the number of running requests by rank."""
        return self._by_rank(self._running)

    def queued_by_rank(self) -> tuple[int, ...]:
        """Returns the number of waiting requests by rank."""
        return self._by_rank(self._queues)

    def floor_slots(self, rank: int) -> int:
        """Returns how many running requests the rank is owed when work waits."""
        return self._floor_slots.get(rank, 0)

    @property
    def highest_value(self) -> float:
        """Worth of one answer of the most valuable rank."""
        return max((policy.value for policy in self._policies.values()), default=1.0)

    def value(self, rank: int) -> float:
        """Returns the worth of one answer of a rank in time."""
        return self._policy(rank).value

    def can_defer_load(self, rank: int, oldest_wait: Seconds) -> bool:
        """Returns whether a load for waiting work of a rank gains nothing yet.

        Preemptible work waits for its adapter until a part of its target has passed,
        as long as the batch is full, half of it runs such work, or other work of the
        rank can use the room. Loads are scarce, and more requests then share one.
        """
        policy = self._policy(rank)
        if not policy.preemptible or oldest_wait > _DEFERRED_SHARE * policy.target:
            return False
        if self.is_owed_load(rank, oldest_wait):
            return False
        is_half_of_batch = 2 * self._running_count(rank) >= self._batch_size
        return is_half_of_batch or self._free() <= 0 or self._queue(rank).has_ready

    def is_owed_load(self, rank: int, oldest_wait: Seconds) -> bool:
        """Returns whether a rank misses its floor for want of an adapter.

        It runs less than its floor, all its work waits for loads, and more urgent work
        would take the room.
        """
        if oldest_wait < _OWED_SECONDS or not self._below_floor(rank):
            return False
        if self._queue(rank).has_ready:
            return False
        return any(
            other < rank and queue.has_ready for other, queue in self._queues.items()
        )

    def may_borrow_for(self, rank: int, oldest_wait: Seconds) -> bool:
        """Returns whether waiting work of a rank may use permits of other sidecars.

        Preemptible work above its floor uses own permits only, so that in a flood of it
        some permits of the fleet are free when more urgent work needs a load.
        """
        policy = self._policy(rank)
        if not policy.preemptible or oldest_wait > _BORROWING_SHARE * policy.target:
            return True
        return self._running_count(rank) <= self.floor_slots(rank)

    def waited_for(
        self, now: Seconds
    ) -> Iterator[tuple[int, AdapterVersion, int, Seconds]]:
        """Iterates over (rank, version, number waiting, longest wait)."""
        for rank, queue in self._queues.items():
            for version, count, oldest in queue.versions():
                if version is not None:
                    yield rank, version, count, now - oldest

    def waiting_for(self, version: AdapterVersion) -> tuple[WorkItem, ...]:
        """Returns the work that waits for a version, most urgent first."""
        return tuple(
            work
            for rank in sorted(self._queues)
            for work in self._queues[rank].waiting_for(version)
        )

    # --- Changes ---

    def configure(self, *, batch_size: int, policies: Mapping[int, RankPolicy]) -> None:
        """Takes new limits; work that waits or runs is kept."""
        self._batch_size = batch_size
        self._policies = dict(policies)
        self._floor_slots = {
            rank: math.ceil(policy.floor * batch_size - _ROUNDING)
            for rank, policy in self._policies.items()
        }
        # Rounding leaves no slot without a floor.
        self._is_short = sum(self._floor_slots.values()) >= batch_size and (
            sum(policy.floor for policy in self._policies.values()) < 1 - _ROUNDING
        )
        for rank in self._policies:
            self._queue(rank)

    def set_ready(self, version: AdapterVersion, is_ready: bool) -> None:
        """Tells whether work on a version may be dispatched."""
        if (version in self._ready) == is_ready:
            return
        if is_ready:
            self._ready.add(version)
        else:
            self._ready.discard(version)
        for queue in self._queues.values():
            queue.readiness_changed(version)

    def admit(self, work: WorkItem, *, now: Seconds) -> Failure | None:
        """Queues work, or says why it cannot be served in time.

        Args:
            work: New work.
            now: Current time.

        Returns:
            None if it was queued.
        """
        refusal = (
            self._over_limit(work, now)
            or self._too_late(work, now)
            or self._over_target(work, now)
        )
        if refusal is not None:
            return refusal
        self._add(work, resumed=False)
        return None

    def requeue(self, work: WorkItem) -> None:
        """Queues work at the head of its rank that was admitted before."""
        self._add(work, resumed=True)

    def remove(self, number: int) -> WorkItem | None:
        """Removes waiting work; returns None if it does not wait."""
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return None
        self._queues[waiting.work.rank].remove(
            waiting.order, waiting.work, resumed=waiting.resumed
        )
        return waiting.work

    def expire(self, now: Seconds) -> list[WorkItem]:
        """Removes and returns the waiting work whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heapq.heappop(self._deadlines)
            work = self.remove(number)
            if work is not None:
                expired.append(work)
        return expired

    def pop(self, *, now: Seconds, rank: int | None = None) -> WorkItem | None:
        """Moves the next work from waiting to running.

        Args:
            now: Current time.
            rank: Rank to take it from, after ``preemption``; None to choose it.

        Returns:
            The work, or None if there is no room or nothing that may use it.
        """
        if self._free() <= 0:
            return None
        chosen = self._next_rank() if rank is None else rank
        work = self._queues[chosen].pop() if chosen is not None else None
        if work is None or chosen is None:
            return None
        self._turns.take(chosen, self._shares(self._ready_ranks(chosen)))
        del self._waiting[work.number]
        self._running.setdefault(chosen, {})[work.number] = work
        self._drain.record(chosen, now)
        return work

    def release(self, work: WorkItem, *, service_time: Seconds | None = None) -> None:
        """Frees the room of running work.

        Args:
            work: Work that no longer runs.
            service_time: Time that it ran, if it ran to its end.
        """
        found = self._running.get(work.rank, {}).pop(work.number, None)
        check(found is not None, "finished_work_was_running", number=work.number)
        if service_time is None:
            return
        known = self._service_times.get(work.rank, service_time)
        self._service_times[work.rank] = known + _SERVICE_TIME_WEIGHT * (
            service_time - known
        )

    def preemption(self) -> Preemption | None:
        """Returns the running work that should give way, if any.

        The youngest preemptible stream of the least urgent rank that runs more than
        its floor gives way, if the batch is full and work waits that is more urgent or
        below its own floor.
        """
        rank = self._next_rank() if self._free() <= 0 else None
        if rank is None:
            return None
        is_owed = self._below_floor(rank)
        for candidate in sorted(self._running, reverse=True):
            is_lower = candidate > rank or (is_owed and candidate < rank)
            if not is_lower or not self._above_floor(candidate):
                continue
            streams = [w for w in self._running[candidate].values() if w.preemptible]
            if streams:
                youngest = max(streams, key=lambda work: (work.enqueued, work.number))
                return Preemption(youngest, rank)
        return None

    # --- Choice of rank ---

    def _next_rank(self) -> int | None:
        ready = self._ready_ranks()
        if self._is_short:
            eligible = [rank for rank in ready if self._has_room_for(rank)]
            return self._turns.next(self._shares(eligible))
        for rank in ready:
            if self._below_floor(rank):
                return rank
        return next((rank for rank in ready if self._may_use_free_room(rank)), None)

    def _ready_ranks(self, *others: int) -> list[int]:
        ready = {rank for rank, queue in self._queues.items() if queue.has_ready}
        return sorted(ready.union(others))

    def _shares(self, ranks: Sequence[int]) -> dict[int, float]:
        """Returns the share of turns of each rank; the first is the most urgent."""
        shares = {rank: self._policy(rank).floor for rank in ranks}
        if ranks:
            shares[ranks[0]] += max(0.0, 1 - sum(shares.values()))
        return shares

    def _may_use_free_room(self, rank: int) -> bool:
        if self._policy(rank).preemptible:
            return True
        reserved = sum(
            max(0, self.floor_slots(other) - self._running_count(other))
            for other in self._queues
            if other != rank
        )
        # One slot is never reserved, or floors that add up to the whole batch would
        # stop a rank without a floor on an idle backend server.
        reserved = min(reserved, self._batch_size - 1)
        return self._free() + self._reclaimable() > reserved

    def _reclaimable(self) -> int:
        return sum(
            min(
                sum(work.preemptible for work in running.values()),
                max(0, len(running) - self.floor_slots(rank)),
            )
            for rank, running in self._running.items()
        )

    def _below_floor(self, rank: int) -> bool:
        return self._running_count(rank) < self.floor_slots(rank)

    def _above_floor(self, rank: int) -> bool:
        return self._running_count(rank) > self.floor_slots(rank)

    # --- Early refusal ---

    def _over_limit(self, work: WorkItem, now: Seconds) -> Failure | None:
        limit = self._policy(work.rank).queue_limit
        waiting = len(self._queue(work.rank))
        if waiting < limit:
            return None
        return Failure(
            ErrorKind.OVERLOADED,
            f"{waiting} requests of rank {work.rank} wait, the limit is {limit}; "
            "repeat after the stated time",
            retry_after=self._retry_after(work.rank, waiting / 2, now),
        )

    def _too_late(self, work: WorkItem, now: Seconds) -> Failure | None:
        if work.deadline <= now:
            return self._deadline_failure(work, now, 0.0)
        wait = self._expected_wait(work)
        needed = wait + self._service_times.get(work.rank, 0.0)
        if wait == 0 or now + needed <= work.deadline:
            return None
        return self._deadline_failure(work, now, now + needed - work.deadline)

    def _over_target(self, work: WorkItem, now: Seconds) -> Failure | None:
        """Refuses what would only wait beyond its target.

        A longer queue does not raise the throughput; it only makes every answer late.
        A few waiting requests are a short delay and no flood: refusing them would turn
        a delay after a fault into a loss.
        """
        if len(self._queue(work.rank)) < max(self._batch_size, _SHORT_QUEUE):
            return None
        target = self._policy(work.rank).target
        wait = self._expected_wait(work)
        if wait <= target:
            return None
        return Failure(
            ErrorKind.OVERLOADED,
            f"rank {work.rank} waits for {wait:.3f} s, its target is {target:.3f} s; "
            "repeat after the stated time",
            retry_after=min(max(wait - target, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER),
        )

    def _deadline_failure(
        self, work: WorkItem, now: Seconds, excess: Seconds
    ) -> Failure:
        return Failure(
            ErrorKind.DEADLINE_EXCEEDED,
            f"{work.deadline - now:.3f} s remain, {excess:.3f} s less than the queue "
            f"of rank {work.rank} needs; allow more time or repeat later",
            retry_after=min(max(excess, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER),
        )

    def _expected_wait(self, work: WorkItem) -> Seconds:
        """Returns the time until work that is queued now is dispatched."""
        version = work.adapter_version
        if self._free() > 0 and self._is_ready(version):
            own = self._queue(work.rank)
            if not own.has_ready and self._has_room_for(work.rank):
                return 0.0
        # Work that waits for a load takes no room from other work.
        ahead = sum(
            queue.count(self._ready_versions()) * self._service_times.get(rank, 0.0)
            for rank, queue in self._queues.items()
            if rank <= work.rank
        )
        own_time = self._service_times.get(work.rank, 0.0)
        kept = sum(
            self.floor_slots(rank)
            for rank, queue in self._queues.items()
            if rank > work.rank and (queue or self._running_count(rank))
        )
        by_rank = (ahead + own_time) / max(1, self._batch_size - kept)
        slots = self.floor_slots(work.rank)
        if not slots:
            return by_rank
        own_ready = self._queue(work.rank).count(self._ready_versions())
        by_floor = (own_ready + 1) * own_time / slots
        return min(by_rank, by_floor)

    def _has_room_for(self, rank: int) -> bool:
        return self._below_floor(rank) or self._may_use_free_room(rank)

    def _retry_after(self, rank: int, excess: float, now: Seconds) -> Seconds:
        rate = self._drain.rate(rank, now)
        if rate <= 0:
            return _MAX_RETRY_AFTER
        return min(max(excess / rate, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER)

    # --- Parts ---

    def _add(self, work: WorkItem, *, resumed: bool) -> None:
        check(
            work.number not in self._waiting
            and work.number not in self._running.get(work.rank, {}),
            "work_is_queued_once",
            number=work.number,
        )
        self._next_order += 1
        self._queue(work.rank).add(self._next_order, work, resumed=resumed)
        self._waiting[work.number] = _Waiting(self._next_order, work, resumed)
        heapq.heappush(self._deadlines, (work.deadline, work.number))
        self._compact_deadlines()

    def _compact_deadlines(self) -> None:
        limit = max(_MIN_HEAP_TO_COMPACT, 2 * len(self._waiting))
        if len(self._deadlines) <= limit:
            return
        self._deadlines = [
            (item.work.deadline, number) for number, item in self._waiting.items()
        ]
        heapq.heapify(self._deadlines)

    def _queue(self, rank: int) -> RankQueue:
        if rank not in self._queues:
            self._queues[rank] = RankQueue(self._is_ready)
        return self._queues[rank]

    def _is_ready(self, version: AdapterVersion | None) -> bool:
        return version is None or version in self._ready

    def _ready_versions(self) -> Iterator[AdapterVersion | None]:
        yield None
        yield from self._ready

    def _policy(self, rank: int) -> RankPolicy:
        return self._policies.get(rank, _NO_POLICY)

    def _running_count(self, rank: int) -> int:
        return len(self._running.get(rank, ()))

    def _free(self) -> int:
        return self._batch_size - sum(map(len, self._running.values()))

    def _by_rank(self, parts: Mapping[int, RankQueue | dict]) -> tuple[int, ...]:
        ranks = max([*self._queues, *self._running], default=-1) + 1
        return tuple(len(parts.get(rank, ())) for rank in range(ranks))


_NO_POLICY = RankPolicy()
