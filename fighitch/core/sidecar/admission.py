"""Admission control and scheduling of the requests of one backend server.

Priority ranks share the slots of the batch. A rank's floor is the share of slots that
it is guaranteed while it has waiting requests. Ranks below their floor are dispatched
first, then the most urgent rank. Slots reserved by the floor of another rank are given
to preemptible requests only, so that they can be reclaimed at once.

Floors are rounded up to whole slots. In a small batch, rounding can reserve every slot,
and the order above would starve ranks with a small floor or none. In that case the
ranks are scheduled by weighted round robin: each rank's weight is its floor, and the
remaining weight goes to the most urgent rank.
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

# Weight of the newest sample in the moving average of service times; the average covers
# about the last ten requests.
_SERVICE_TIME_WEIGHT = 0.1
# Follows a change in load within seconds and smooths out single requests.
_DISPATCH_RATE_HALF_LIFE: Seconds = 5.0
_MIN_RETRY_AFTER: Seconds = 0.1
_MAX_RETRY_AFTER: Seconds = 10.0
# Requests of a rank are not rejected because of its latency target while fewer than
# this many wait.
_MIN_QUEUE_TO_SHED = 8
# Fraction of its latency target that preemptible work may wait before its adapter is
# loaded.
_LOAD_DEFERRAL_FRACTION = 0.25
# Fraction of its latency target after which preemptible work may use load permits of
# other sidecars. It exceeds the deferral fraction because all requests that arrive at
# the start of a burst reach that one at the same time.
_BORROW_AFTER_FRACTION = 0.5
# Loads for a rank below its floor take precedence over more urgent loads once a request
# has waited this long.
_STARVATION_SECONDS: Seconds = 1.0
# Keeps a product such as 0.1 * 10 from being rounded up to 2 slots.
_ROUNDING_TOLERANCE = 1e-9
# The deadline heap may hold stale entries up to this size without being compacted.
_MIN_HEAP_TO_COMPACT = 64


@dataclass(frozen=True, slots=True)
class RankPolicy:
    """Scheduling policy of a priority rank.

    Attributes:
        floor: Fraction of the batch slots guaranteed to the rank, from 0 to 1.
        queue_limit: Maximum number of waiting requests.
        value: Value of a response within its deadline, relative to other ranks.
        preemptible: Whether running requests may be preempted.
        idempotent: Whether requests may be executed more than once.
        latency_target: Latency target for the first token, in seconds.
    """

    floor: float = 0.0
    queue_limit: int = 256
    value: float = 1.0
    preemptible: bool = False
    idempotent: bool = True
    latency_target: Seconds = math.inf


@dataclass(frozen=True, slots=True)
class Preemption:
    """A running request to preempt and the rank that receives its slot."""

    victim: WorkItem
    rank: int


class _WeightedRoundRobin:
    """Smooth weighted round-robin scheduling of ranks."""

    def __init__(self) -> None:
        self._credits: dict[int, float] = {}

    def next(self, weights: Mapping[int, float]) -> int | None:
        """Returns the rank to serve next; ties go to the more urgent rank."""
        return max(
            weights,
            key=lambda rank: (self._credits.get(rank, 0.0) + weights[rank], -rank),
            default=None,
        )

    def charge(self, rank: int, weights: Mapping[int, float]) -> None:
        """Charges a rank for one dispatch; drops the credit of ranks not waiting."""
        self._credits = {
            key: self._credits.get(key, 0.0) + weight for key, weight in weights.items()
        }
        self._credits[rank] -= sum(weights.values())


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A waiting request and the arguments with which its rank's queue holds it."""

    sequence: int
    work: WorkItem
    requeued: bool


class AdmissionQueue:
    """Waiting and running requests of one backend server."""

    def __init__(
        self, *, batch_size: int, policies: Mapping[int, RankPolicy] | None = None
    ) -> None:
        """Creates an empty queue.

        Args:
            batch_size: Maximum number of requests that run at the same time.
            policies: Policy by rank; ranks without one have no floor.
        """
        self._ready: set[AdapterVersion] = set()
        self._queues: dict[int, RankQueue] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._running: dict[int, dict[int, WorkItem]] = {}
        self._deadlines: list[tuple[Seconds, int]] = []
        self._service_times: dict[int, Seconds] = {}
        self._dispatch_rates: DemandEstimator[int] = DemandEstimator(
            _DISPATCH_RATE_HALF_LIFE
        )
        self._next_sequence = 0
        self._round_robin = _WeightedRoundRobin()
        self.configure(batch_size=batch_size, policies=policies or {})

    # --- State ---

    @property
    def batch_size(self) -> int:
        """Maximum number of requests that run at the same time."""
        return self._batch_size

    @property
    def ready_versions(self) -> frozenset[AdapterVersion]:
        """Adapter versions for which requests may be dispatched."""
        return frozenset(self._ready)

    def running_by_rank(self) -> tuple[int, ...]:
        """Returns the number of running requests by rank."""
        return self._count_by_rank(self._running)

    def queued_by_rank(self) -> tuple[int, ...]:
        """Returns the number of waiting requests by rank."""
        return self._count_by_rank(self._queues)

    def floor_slots(self, rank: int) -> int:
        """Returns the number of slots guaranteed to a rank with waiting requests."""
        return self._floor_slots.get(rank, 0)

    @property
    def highest_value(self) -> float:
        """Highest value of a response over all ranks."""
        return max((policy.value for policy in self._policies.values()), default=1.0)

    def value(self, rank: int) -> float:
        """Returns the value of a response of a rank within its deadline."""
        return self._policy(rank).value

    def can_defer_load(self, rank: int, oldest_wait: Seconds) -> bool:
        """Returns whether an adapter load for a rank can be deferred.

        Preemptible requests wait for their adapter until a fraction of their latency
        target has passed, as long as the batch is full, the rank occupies at least half
        of it, or the rank has other requests that are ready to run. Loads are
        rate-limited, and deferring one lets more requests share it.
        """
        policy = self._policy(rank)
        if (
            not policy.preemptible
            or oldest_wait > _LOAD_DEFERRAL_FRACTION * policy.latency_target
        ):
            return False
        if self.is_starved_of_load(rank, oldest_wait):
            return False
        fills_half_of_batch = 2 * self._running_count(rank) >= self._batch_size
        return (
            fills_half_of_batch
            or self._free_slots() <= 0
            or self._queue(rank).has_ready
        )

    def is_starved_of_load(self, rank: int, oldest_wait: Seconds) -> bool:
        """Returns whether a rank is below its floor because no adapter is loaded.

        This is the case when the rank runs fewer requests than its floor, all of its
        waiting requests need a load, and more urgent requests are ready to take the
        free slots.
        """
        if oldest_wait < _STARVATION_SECONDS or not self._is_below_floor(rank):
            return False
        if self._queue(rank).has_ready:
            return False
        return any(
            other < rank and queue.has_ready for other, queue in self._queues.items()
        )

    def may_borrow_permits(self, rank: int, oldest_wait: Seconds) -> bool:
        """Returns whether a rank may use load permits of other sidecars.

        A preemptible rank at or above its floor uses only this sidecar's own permits,
        so that a burst of preemptible requests leaves permits in the fleet for more
        urgent loads.
        """
        policy = self._policy(rank)
        if (
            not policy.preemptible
            or oldest_wait > _BORROW_AFTER_FRACTION * policy.latency_target
        ):
            return True
        return self._running_count(rank) <= self.floor_slots(rank)

    def waiting_versions(
        self, now: Seconds
    ) -> Iterator[tuple[int, AdapterVersion, int, Seconds]]:
        """Iterates over (rank, version, number of waiting requests, longest wait)."""
        for rank, queue in self._queues.items():
            for version, count, oldest in queue.versions():
                if version is not None:
                    yield rank, version, count, now - oldest

    def waiting_for(self, version: AdapterVersion) -> tuple[WorkItem, ...]:
        """Returns the requests that wait for a version, most urgent rank first."""
        return tuple(
            work
            for rank in sorted(self._queues)
            for work in self._queues[rank].waiting_for(version)
        )

    # --- Changes ---

    def configure(self, *, batch_size: int, policies: Mapping[int, RankPolicy]) -> None:
        """Applies new limits; waiting and running requests are unaffected."""
        self._batch_size = batch_size
        self._policies = dict(policies)
        self._floor_slots = {
            rank: math.ceil(policy.floor * batch_size - _ROUNDING_TOLERANCE)
            for rank, policy in self._policies.items()
        }
        # Rounding up has reserved every slot although the floors add up to less than 1.
        self._is_fully_reserved = sum(self._floor_slots.values()) >= batch_size and (
            sum(policy.floor for policy in self._policies.values())
            < 1 - _ROUNDING_TOLERANCE
        )
        for rank in self._policies:
            self._queue(rank)

    def set_ready(self, version: AdapterVersion, is_ready: bool) -> None:
        """Sets whether requests for a version may be dispatched."""
        if (version in self._ready) == is_ready:
            return
        if is_ready:
            self._ready.add(version)
        else:
            self._ready.discard(version)
        for queue in self._queues.values():
            queue.readiness_changed(version)

    def admit(self, work: WorkItem, *, now: Seconds) -> Failure | None:
        """Queues a request, or rejects it if it cannot be served in time.

        Args:
            work: New request.
            now: Current time.

        Returns:
            None if the request was queued, else the reason for the rejection.
        """
        rejection = (
            self._check_queue_limit(work, now)
            or self._check_deadline(work, now)
            or self._check_latency_target(work, now)
        )
        if rejection is not None:
            return rejection
        self._add(work, requeued=False)
        return None

    def requeue(self, work: WorkItem) -> None:
        """Returns a request that was admitted before to the head of its rank."""
        self._add(work, requeued=True)

    def remove(self, number: int) -> WorkItem | None:
        """Removes a waiting request; returns None if it is not waiting."""
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return None
        self._queues[waiting.work.rank].remove(
            waiting.sequence, waiting.work, requeued=waiting.requeued
        )
        return waiting.work

    def expire(self, now: Seconds) -> list[WorkItem]:
        """Removes and returns the waiting requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heapq.heappop(self._deadlines)
            work = self.remove(number)
            if work is not None:
                expired.append(work)
        return expired

    def pop(self, *, now: Seconds, rank: int | None = None) -> WorkItem | None:
        """Moves the next request from waiting to running.

        Args:
            now: Current time.
            rank: Rank to dispatch from, after ``find_preemption``; None to choose one.

        Returns:
            The request, or None if no slot is free or no request may use one.
        """
        if self._free_slots() <= 0:
            return None
        chosen = self._next_rank() if rank is None else rank
        work = self._queues[chosen].pop() if chosen is not None else None
        if work is None or chosen is None:
            return None
        self._round_robin.charge(
            chosen, self._round_robin_weights(self._ready_ranks(chosen))
        )
        del self._waiting[work.number]
        self._running.setdefault(chosen, {})[work.number] = work
        self._dispatch_rates.record(chosen, now)
        return work

    def release(self, work: WorkItem, *, service_time: Seconds | None = None) -> None:
        """Frees the slot of a request that no longer runs.

        Args:
            work: Request that no longer runs.
            service_time: Time it took if it ran to completion; updates the estimate of
                its rank's service time.
        """
        found = self._running.get(work.rank, {}).pop(work.number, None)
        check(found is not None, "finished_work_was_running", number=work.number)
        if service_time is None:
            return
        average = self._service_times.get(work.rank, service_time)
        self._service_times[work.rank] = average + _SERVICE_TIME_WEIGHT * (
            service_time - average
        )

    def find_preemption(self) -> Preemption | None:
        """Returns the running request that should be preempted, if any.

        A preemption happens when the batch is full and the next rank to dispatch is
        more urgent than the victim's rank or below its own floor. The victim is the
        youngest preemptible request of the least urgent rank that is above its floor.
        """
        rank = self._next_rank() if self._free_slots() <= 0 else None
        if rank is None:
            return None
        is_below_floor = self._is_below_floor(rank)
        for candidate in sorted(self._running, reverse=True):
            is_lower = candidate > rank or (is_below_floor and candidate < rank)
            if not is_lower or not self._is_above_floor(candidate):
                continue
            victims = [w for w in self._running[candidate].values() if w.preemptible]
            if victims:
                youngest = max(victims, key=lambda work: (work.enqueued, work.number))
                return Preemption(youngest, rank)
        return None

    # --- Choice of rank ---

    def _next_rank(self) -> int | None:
        ready = self._ready_ranks()
        if self._is_fully_reserved:
            eligible = [rank for rank in ready if self._has_slot_for(rank)]
            return self._round_robin.next(self._round_robin_weights(eligible))
        for rank in ready:
            if self._is_below_floor(rank):
                return rank
        return next(
            (rank for rank in ready if self._may_use_unreserved_slot(rank)), None
        )

    def _ready_ranks(self, *others: int) -> list[int]:
        ready = {rank for rank, queue in self._queues.items() if queue.has_ready}
        return sorted(ready.union(others))

    def _round_robin_weights(self, ranks: Sequence[int]) -> dict[int, float]:
        """Returns the round-robin weight of each rank; the first is most urgent."""
        weights = {rank: self._policy(rank).floor for rank in ranks}
        if ranks:
            weights[ranks[0]] += max(0.0, 1 - sum(weights.values()))
        return weights

    def _may_use_unreserved_slot(self, rank: int) -> bool:
        if self._policy(rank).preemptible:
            return True
        reserved = sum(
            max(0, self.floor_slots(other) - self._running_count(other))
            for other in self._queues
            if other != rank
        )
        # One slot always stays unreserved. Otherwise floors that add up to the whole
        # batch would block a rank without a floor even on an idle backend server.
        reserved = min(reserved, self._batch_size - 1)
        return self._free_slots() + self._preemptible_slots() > reserved

    def _preemptible_slots(self) -> int:
        return sum(
            min(
                sum(work.preemptible for work in running.values()),
                max(0, len(running) - self.floor_slots(rank)),
            )
            for rank, running in self._running.items()
        )

    def _is_below_floor(self, rank: int) -> bool:
        return self._running_count(rank) < self.floor_slots(rank)

    def _is_above_floor(self, rank: int) -> bool:
        return self._running_count(rank) > self.floor_slots(rank)

    # --- Load shedding ---

    def _check_queue_limit(self, work: WorkItem, now: Seconds) -> Failure | None:
        limit = self._policy(work.rank).queue_limit
        waiting = len(self._queue(work.rank))
        if waiting < limit:
            return None
        return Failure(
            ErrorKind.OVERLOADED,
            f"{waiting} requests of rank {work.rank} are queued, the limit is {limit}; "
            "retry after the stated time",
            # The time in which about half of the queue is dispatched.
            retry_after=self._retry_after(work.rank, waiting / 2, now),
        )

    def _check_deadline(self, work: WorkItem, now: Seconds) -> Failure | None:
        if work.deadline <= now:
            return self._deadline_failure(work, now, 0.0)
        wait = self._expected_wait(work)
        needed_time = wait + self._service_times.get(work.rank, 0.0)
        if wait == 0 or now + needed_time <= work.deadline:
            return None
        return self._deadline_failure(work, now, now + needed_time - work.deadline)

    def _check_latency_target(self, work: WorkItem, now: Seconds) -> Failure | None:
        """Rejects a request whose expected wait exceeds its latency target.

        A longer queue does not raise throughput, it only delays responses. Short
        queues are exempt: they are a brief delay, not an overload, and rejecting their
        requests would turn a delay after a fault into failed requests.
        """
        if len(self._queue(work.rank)) < max(self._batch_size, _MIN_QUEUE_TO_SHED):
            return None
        latency_target = self._policy(work.rank).latency_target
        wait = self._expected_wait(work)
        if wait <= latency_target:
            return None
        return Failure(
            ErrorKind.OVERLOADED,
            f"the expected wait of rank {work.rank} is {wait:.3f} s, its target is "
            f"{latency_target:.3f} s; retry after the stated time",
            retry_after=min(
                max(wait - latency_target, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER
            ),
        )

    def _deadline_failure(
        self, work: WorkItem, now: Seconds, excess: Seconds
    ) -> Failure:
        return Failure(
            ErrorKind.DEADLINE_EXCEEDED,
            f"{work.deadline - now:.3f} s remain, {excess:.3f} s less than the queue "
            f"of rank {work.rank} needs; set a later deadline or retry later",
            retry_after=min(max(excess, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER),
        )

    def _expected_wait(self, work: WorkItem) -> Seconds:
        """Estimates the time until a request queued now is dispatched.

        The estimate is the shorter of two times: that of all ready requests ahead, in
        its own and more urgent ranks, on the slots that less urgent ranks do not
        reserve; and that of the ready requests of its own rank on the rank's floor.
        """
        version = work.adapter_version
        if self._free_slots() > 0 and self._is_ready(version):
            own_queue = self._queue(work.rank)
            if not own_queue.has_ready and self._has_slot_for(work.rank):
                return 0.0
        # Requests that wait for a load occupy no slot, so they are not counted.
        service_time_ahead = sum(
            queue.count(self._ready_versions()) * self._service_times.get(rank, 0.0)
            for rank, queue in self._queues.items()
            if rank <= work.rank
        )
        own_service_time = self._service_times.get(work.rank, 0.0)
        reserved = sum(
            self.floor_slots(rank)
            for rank, queue in self._queues.items()
            if rank > work.rank and (queue or self._running_count(rank))
        )
        wait_by_rank = (service_time_ahead + own_service_time) / max(
            1, self._batch_size - reserved
        )
        slots = self.floor_slots(work.rank)
        if not slots:
            return wait_by_rank
        own_ready = self._queue(work.rank).count(self._ready_versions())
        wait_on_floor = (own_ready + 1) * own_service_time / slots
        return min(wait_by_rank, wait_on_floor)

    def _has_slot_for(self, rank: int) -> bool:
        return self._is_below_floor(rank) or self._may_use_unreserved_slot(rank)

    def _retry_after(self, rank: int, request_count: float, now: Seconds) -> Seconds:
        """Returns the time in which a rank dispatches a number of requests."""
        rate = self._dispatch_rates.rate(rank, now)
        if rate <= 0:
            return _MAX_RETRY_AFTER
        return min(max(request_count / rate, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER)

    # --- Helpers ---

    def _add(self, work: WorkItem, *, requeued: bool) -> None:
        check(
            work.number not in self._waiting
            and work.number not in self._running.get(work.rank, {}),
            "work_is_queued_once",
            number=work.number,
        )
        self._next_sequence += 1
        self._queue(work.rank).add(self._next_sequence, work, requeued=requeued)
        self._waiting[work.number] = _Waiting(self._next_sequence, work, requeued)
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
        return self._policies.get(rank, _DEFAULT_POLICY)

    def _running_count(self, rank: int) -> int:
        return len(self._running.get(rank, ()))

    def _free_slots(self) -> int:
        return self._batch_size - sum(map(len, self._running.values()))

    def _count_by_rank(self, parts: Mapping[int, RankQueue | dict]) -> tuple[int, ...]:
        ranks = max([*self._queues, *self._running], default=-1) + 1
        return tuple(len(parts.get(rank, ())) for rank in range(ranks))


_DEFAULT_POLICY = RankPolicy()
