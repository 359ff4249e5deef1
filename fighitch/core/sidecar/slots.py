"""Adapter slots of one engine: tracks residency and plans loads and evictions.

A slot is loading, ready or unloading. Only ready adapter versions can serve requests,
and only versions without a pin can be unloaded. The eviction policy compares the
expected value of the next uses: the exponentially decayed rate of use, weighted by the
value of the rank that used the version.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from fighitch.core.demand import DemandEstimator
from fighitch.core.messages import AdapterVersion
from fighitch.types import Seconds

# Adapter popularity shifts over minutes. A half-life of one minute follows these shifts
# and still bridges a short gap in demand.
DEMAND_HALF_LIFE_SECONDS = 60.0
# Time for which requests stall if an evicted adapter is needed again: permits become
# available about once per second, and a load takes a fraction of a second. The value of
# a resident adapter is that of the requests expected in this time.
RELOAD_COST_SECONDS = 2.0
# Factor by which the value of a candidate must exceed that of the adapter it replaces.
# Prevents thrashing between adapters of similar demand.
HYSTERESIS = 1.25
# Waiting time after which a request counts twice. Ageing prevents starvation by an
# adapter in constant demand.
AGEING_SECONDS = 2.0
# Exponential back-off before a failed load is retried on this engine.
LOAD_BACKOFF_SECONDS = 5.0
MAX_LOAD_BACKOFF_SECONDS = 120.0
# Engine reports lag behind. The slot table is corrected only after this many reports in
# a row show the same difference.
REPORTS_TO_RECONCILE = 3


@dataclass(frozen=True, slots=True)
class AdapterDemand:
    """Demand for an adapter version.

    Attributes:
        adapter_version: Version that is in demand.
        rank: Most urgent rank that needs it; 0 is the most urgent.
        waiting: Number of requests waiting for it; 0 makes the load a prefetch.
        value: Value of one response of that rank.
        oldest_wait: Longest wait of these requests, in seconds.
    """

    adapter_version: AdapterVersion
    rank: int
    waiting: int
    value: float
    oldest_wait: Seconds


@dataclass(frozen=True, slots=True)
class SlotPlan:
    """Commands to send to the engine now.

    Attributes:
        loads: Versions to load; each load needs a permit.
        unloads: Versions to unload.
        drains: Versions in use that accept no new requests and are unloaded once their
            last pin is released; preemptible requests on them should be preempted.
    """

    loads: tuple[AdapterVersion, ...] = ()
    unloads: tuple[AdapterVersion, ...] = ()
    drains: tuple[AdapterVersion, ...] = ()


class _State(Enum):
    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclass(slots=True)
class _Slot:
    state: _State
    pins: int = 0
    # Pins of preemptible requests, by rank.
    preemptible: Counter[int] = field(default_factory=Counter)
    is_draining: bool = False

    def is_preemptible_by(self, rank: int) -> bool:
        """Returns whether a rank may preempt every request that pins the slot."""
        return self.pins == self.preemptible.total() and all(
            rank < other for other in self.preemptible
        )


@dataclass(frozen=True, slots=True)
class _FailedLoad:
    """Last failed load of a version, end of its back-off, and number of failures."""

    failed_at: Seconds
    retry_at: Seconds
    count: int


class AdapterSlots:
    """The slot table of one engine."""

    def __init__(self, capacity: int) -> None:
        """Creates an empty table.

        Args:
            capacity: Number of adapters that fit on the engine.

        Raises:
            ValueError: If the capacity is not positive.
        """
        if capacity <= 0:
            raise ValueError(f"capacity {capacity} must be positive")
        self._capacity = capacity
        self._boot_id = ""
        self._slots: dict[AdapterVersion, _Slot] = {}
        self._failed: dict[AdapterVersion, _FailedLoad] = {}
        self._demand: DemandEstimator[AdapterVersion] = DemandEstimator(
            DEMAND_HALF_LIFE_SECONDS
        )
        self._values: dict[AdapterVersion, float] = {}
        self._mismatch_counts: dict[AdapterVersion, int] = {}
        self._now: Seconds = 0.0

    @property
    def boot_id(self) -> str:
        """Boot id of the engine that the table describes; empty before a report."""
        return self._boot_id

    def is_ready(self, adapter_version: AdapterVersion) -> bool:
        """Returns whether the engine can serve an adapter version now."""
        slot = self._slots.get(adapter_version)
        return slot is not None and _is_usable(slot)

    def resident(self) -> frozenset[str]:
        """Returns the names of the adapter versions that can serve now."""
        return frozenset(str(item) for item in self._slots if self.is_ready(item))

    def pin(
        self,
        adapter_version: AdapterVersion,
        *,
        value: float | None = None,
        preemptible_rank: int | None = None,
    ) -> None:
        """Pins a version for a request and records the request as demand.

        Args:
            adapter_version: Version to pin; it must be ready.
            value: Value of the response; None uses that of the last ``AdapterDemand``.
            preemptible_rank: Rank of the request if it is preemptible, else None.

        Raises:
            ValueError: If the adapter version is not ready.
        """
        if not self.is_ready(adapter_version):
            raise ValueError(f"{adapter_version} is not ready; it cannot be pinned")
        slot = self._slots[adapter_version]
        slot.pins += 1
        if preemptible_rank is not None:
            slot.preemptible[preemptible_rank] += 1
        if value is None:
            value = self._values.get(adapter_version, 1.0)
        self._demand.record(adapter_version, self._now, value)

    def unpin(
        self, adapter_version: AdapterVersion, *, preemptible_rank: int | None = None
    ) -> None:
        """Releases a pin; does nothing if an engine restart has dropped it.

        Args:
            adapter_version: Version that was pinned.
            preemptible_rank: Same value as passed to ``pin``.
        """
        slot = self._slots.get(adapter_version)
        if slot is None or slot.pins <= 0:
            return
        slot.pins -= 1
        if preemptible_rank is not None:
            slot.preemptible[preemptible_rank] -= 1
            slot.preemptible += Counter()

    def apply_report(self, boot_id: str, resident: Iterable[AdapterVersion]) -> bool:
        """Applies a report of the engine, which may be out of date.

        Args:
            boot_id: Boot id of the engine.
            resident: Adapter versions that the engine reports as loaded.

        Returns:
            Whether the engine was restarted. The table then contains only the reported
            versions and no pins; earlier pins must not be released.
        """
        resident = frozenset(resident)
        if boot_id == self._boot_id:
            self._reconcile(resident)
            return False
        is_restart = bool(self._boot_id)
        self._boot_id = boot_id
        self._mismatch_counts.clear()
        self._slots = {item: _Slot(_State.READY) for item in resident}
        return is_restart

    def mark_loaded(self, adapter_version: AdapterVersion, boot_id: str) -> None:
        """Marks a load as complete, unless it belongs to another engine boot."""
        if boot_id != self._boot_id:
            return
        self._failed.pop(adapter_version, None)
        slot = self._slots.setdefault(adapter_version, _Slot(_State.LOADING))
        if slot.state is _State.LOADING:
            slot.state = _State.READY

    def mark_unloaded(self, adapter_version: AdapterVersion) -> None:
        """Marks an unload as complete."""
        slot = self._slots.get(adapter_version)
        if slot is not None and slot.state is _State.UNLOADING:
            del self._slots[adapter_version]

    def mark_failed(self, adapter_version: AdapterVersion, now: Seconds) -> None:
        """Marks a load or unload command as failed.

        Args:
            adapter_version: Version that could not be loaded or unloaded.
            now: Time in seconds.
        """
        self._now = now
        slot = self._slots.get(adapter_version)
        if slot is not None and slot.state is _State.UNLOADING:
            slot.state, slot.is_draining = _State.READY, False
            return
        if slot is not None and slot.state is _State.LOADING:
            del self._slots[adapter_version]
        previous = self._failed.get(adapter_version)
        count = 1
        if previous is not None and now < previous.retry_at + MAX_LOAD_BACKOFF_SECONDS:
            count = previous.count + 1
        backoff = min(LOAD_BACKOFF_SECONDS * 2 ** (count - 1), MAX_LOAD_BACKOFF_SECONDS)
        self._failed[adapter_version] = _FailedLoad(now, now + backoff, count)
        self._failed = {
            item: failure
            for item, failure in self._failed.items()
            if now < failure.retry_at + MAX_LOAD_BACKOFF_SECONDS
        }

    def is_load_backing_off(
        self, adapter_version: AdapterVersion, now: Seconds
    ) -> bool:
        """Returns whether loads of a version are backing off after a failure."""
        failure = self._failed.get(adapter_version)
        return failure is not None and now < failure.retry_at

    def plan(
        self, demands: Sequence[AdapterDemand], *, permits: int, now: Seconds
    ) -> SlotPlan:
        """Plans loads and unloads and marks them as in progress.

        Versions with waiting requests precede prefetches, and more urgent ranks come
        first. Prefetches use free slots only, because the permit is more valuable to
        the next stalled request. Loads go into free slots. To free a slot, a version
        without a pin is evicted if the load that replaces it has a higher value; that
        load is part of a later plan, once the unload is complete.

        Args:
            demands: Adapter versions in demand, including ready ones.
            permits: Loads that the limits of the weight store allow now.
            now: Time in seconds.

        Returns:
            The commands to send; every load needs a permit.
        """
        self._now = now
        self._record_values(demands)
        candidates = [
            item
            for item in sorted(demands, key=_load_order)
            if (item.waiting or len(self._slots) < self._capacity)
            and item.adapter_version not in self._slots
            and not self.is_load_backing_off(item.adapter_version, now)
        ]
        free = max(0, self._capacity - len(self._slots))
        loads = candidates[: min(free, permits)]
        without_slot = candidates[len(loads) :]
        demand_by_version = {item.adapter_version: item for item in demands}
        unloads = self._complete_drains(without_slot, demand_by_version, now)
        unloads += self._plan_evictions(without_slot, demand_by_version, permits, now)
        for item in loads:
            self._slots[item.adapter_version] = _Slot(_State.LOADING)
        return SlotPlan(
            tuple(item.adapter_version for item in loads),
            tuple(unloads),
            tuple(item for item, slot in self._slots.items() if _is_draining(slot)),
        )

    def _complete_drains(
        self,
        candidates: Sequence[AdapterDemand],
        demand_by_version: Mapping[AdapterVersion, AdapterDemand],
        now: Seconds,
    ) -> list[AdapterVersion]:
        """Unloads drained versions and cancels drains that are no longer needed."""
        unloading = sum(slot.state is _State.UNLOADING for slot in self._slots.values())
        stalled = [item for item in candidates if item.waiting][unloading:]
        unloads: list[AdapterVersion] = []
        for item, slot in tuple(self._slots.items()):
            if not _is_draining(slot):
                continue
            if not stalled:
                slot.is_draining = False
                continue
            blocked = stalled.pop(0)
            unpinned = self._choose_victim(
                blocked, demand_by_version, now, only_unpinned=True
            )
            if slot.pins and unpinned is not None:
                slot.is_draining = False
                unloads.append(unpinned)
            elif not slot.pins:
                unloads.append(item)
        for item in unloads:
            self._slots[item].state = _State.UNLOADING
        return unloads

    def _plan_evictions(
        self,
        candidates: Sequence[AdapterDemand],
        demand_by_version: Mapping[AdapterVersion, AdapterDemand],
        permits: int,
        now: Seconds,
    ) -> list[AdapterVersion]:
        # A slot that is freed without a permit to fill it stays empty, so the number of
        # slots that are free or being freed never exceeds the number of permits.
        pending = sum(
            slot.state is _State.UNLOADING or slot.is_draining
            for slot in self._slots.values()
        )
        free = max(0, self._capacity - len(self._slots))
        max_evictions = min(len(candidates), permits - free - pending)
        unloads: list[AdapterVersion] = []
        for candidate in candidates[pending : pending + max(0, max_evictions)]:
            victim = self._choose_victim(candidate, demand_by_version, now)
            if victim is None:
                continue
            slot = self._slots[victim]
            slot.is_draining = True
            if slot.pins == 0:
                slot.state = _State.UNLOADING
                unloads.append(victim)
        return unloads

    def _choose_victim(
        self,
        candidate: AdapterDemand,
        demand_by_version: Mapping[AdapterVersion, AdapterDemand],
        now: Seconds,
        *,
        only_unpinned: bool = False,
    ) -> AdapterVersion | None:
        """Returns the version to evict for a candidate; None if none is worth it.

        Unpinned versions are preferred, then versions whose requests can all be
        preempted. Other pinned versions come last. Pinned versions are evicted only if
        requests wait for the candidate.
        """
        choices = []
        for item, slot in self._slots.items():
            may_evict_pinned = candidate.waiting and not only_unpinned
            if not _is_usable(slot) or (slot.pins and not may_evict_pinned):
                continue
            # 0 without pins, 1 if all requests can be preempted, 2 otherwise.
            disruption = 0 if slot.pins == 0 else 1
            if disruption and not slot.is_preemptible_by(candidate.rank):
                disruption = 2
            value = self._expected_value(item, demand_by_version.get(item), now)
            choices.append((disruption, value, str(item), item))
        candidate_value = self._expected_value(
            candidate.adapter_version, candidate, now
        )
        eligible = [item for item in choices if item[1] * HYSTERESIS < candidate_value]
        return min(eligible)[3] if eligible else None

    def _expected_value(
        self,
        adapter_version: AdapterVersion,
        demand: AdapterDemand | None,
        now: Seconds,
    ) -> float:
        expected = self._demand.rate(adapter_version, now) * RELOAD_COST_SECONDS
        if demand is None:
            return expected
        return expected + _waiting_value(demand)

    def _record_values(self, demands: Sequence[AdapterDemand]) -> None:
        for item in demands:
            self._values[item.adapter_version] = item.value
        # Drops the values of versions that have neither a slot nor demand.
        if len(self._values) > 16 * self._capacity + len(demands):
            kept = self._slots.keys() | {item.adapter_version for item in demands}
            self._values = {
                item: value for item, value in self._values.items() if item in kept
            }

    def _reconcile(self, resident: frozenset[AdapterVersion]) -> None:
        unpinned_ready = {
            item
            for item, slot in self._slots.items()
            if slot.state is _State.READY and slot.pins == 0
        }
        mismatches = (unpinned_ready - resident) | (resident - self._slots.keys())
        self._mismatch_counts = {
            item: self._mismatch_counts.get(item, 0) + 1 for item in mismatches
        }
        for item, count in tuple(self._mismatch_counts.items()):
            if count < REPORTS_TO_RECONCILE:
                continue
            del self._mismatch_counts[item]
            if item in self._slots:
                del self._slots[item]
            else:
                self._slots[item] = _Slot(_State.READY)


def _is_usable(slot: _Slot) -> bool:
    return slot.state is _State.READY and not slot.is_draining


def _is_draining(slot: _Slot) -> bool:
    return slot.state is _State.READY and slot.is_draining


def _load_order(demand: AdapterDemand) -> tuple[bool, int, float]:
    return demand.waiting == 0, demand.rank, -_waiting_value(demand)


def _waiting_value(demand: AdapterDemand) -> float:
    """Returns the value of the requests that a load unblocks, increased by ageing."""
    age = 1.0 + demand.oldest_wait / AGEING_SECONDS
    return demand.waiting * demand.value * age
