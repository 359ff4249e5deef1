"""The adapter slots of one engine: what is loaded, what is in use, what to load next.

A slot is loading, ready or unloading. Only ready adapter versions may serve, and only
those without a pin may be unloaded. What to unload is decided by the expected value of
the next use: the decayed rate of use, weighted with the value of the rank that used it.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from fighitch.core.demand import DemandEstimator
from fighitch.core.messages import AdapterVersion
from fighitch.types import Seconds

# Popularity shifts over minutes; a minute follows them and still outlasts a short lull.
DEMAND_HALF_LIFE_SECONDS = 60.0
# An unloaded adapter that is needed again costs its next users a stall. Permits come
# about once in a second and a load takes a part of one, so that the value of a resident
# adapter is that of the requests that arrive in this time.
RELOAD_COST_SECONDS = 2.0
# A candidate must be worth this much more than the adapter that it replaces, so that
# two adapters of like demand do not replace each other in turn.
HYSTERESIS = 1.25
# A waiting request counts double after this time: no request waits without end for the
# slot of an adapter in constant demand.
AGEING_SECONDS = 2.0
# A load that failed is not repeated on this engine for a while, longer each time.
FAILED_SECONDS = 5.0
MAX_FAILED_SECONDS = 120.0
# The engine's report lags. A difference from this table counts when this many reports
# in a row show it.
REPORTS_TO_CORRECT = 3


@dataclass(frozen=True, slots=True)
class Wanted:
    """Demand for an adapter version.

    Attributes:
        adapter_version: What is wanted.
        rank: Most urgent rank that wants it; 0 goes first.
        waiting: Requests that wait for it now; 0 makes the load a prefetch.
        value: Worth of one answer of that rank.
        oldest_wait: Longest time that one of them has waited, in seconds.
    """

    adapter_version: AdapterVersion
    rank: int
    waiting: int
    value: float
    oldest_wait: Seconds


@dataclass(frozen=True, slots=True)
class SlotPlan:
    """Commands to give to the engine now.

    Attributes:
        loads: Versions to load; each needs a permit.
        unloads: Versions to unload.
        drains: Versions in use that take no new use and are unloaded when their last
            use has ended; preemptible uses of them should be paused.
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
    # Pins of work that may be paused, by rank.
    preemptible: Counter[int] = field(default_factory=Counter)
    is_draining: bool = False

    def gives_way_to(self, rank: int) -> bool:
        """Returns whether all uses can be paused for work of a rank."""
        return self.pins == self.preemptible.total() and all(
            rank < other for other in self.preemptible
        )


@dataclass(frozen=True, slots=True)
class _FailedLoad:
    at: Seconds
    retry_at: Seconds
    count: int


class AdapterSlots:
    """The slot table of one engine."""

    def __init__(self, capacity: int) -> None:
        """Starts with an empty table.

        Args:
            capacity: Adapters that the engine holds at once.

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
        self._differences: dict[AdapterVersion, int] = {}
        self._now: Seconds = 0.0

    @property
    def boot_id(self) -> str:
        """Start of the engine that the table describes; empty before a report."""
        return self._boot_id

    def is_ready(self, adapter_version: AdapterVersion) -> bool:
        """Returns whether the engine can serve the adapter version now."""
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
        """Marks the start of a use and counts it as demand.

        Args:
            adapter_version: What is used; it must be ready.
            value: Worth of the answer; None takes that of its last ``Wanted``.
            preemptible_rank: Rank of the use if it may be paused for another one.

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
        """Marks the end of a use. Pins of an earlier start of the engine are gone.

        Args:
            adapter_version: What was used.
            preemptible_rank: The same as in ``pin``.
        """
        slot = self._slots.get(adapter_version)
        if slot is None or slot.pins <= 0:
            return
        slot.pins -= 1
        if preemptible_rank is not None:
            slot.preemptible[preemptible_rank] -= 1
            slot.preemptible += Counter()

    def report(self, boot_id: str, resident: Iterable[AdapterVersion]) -> bool:
        """Takes the engine's own report, which may lag.

        Args:
            boot_id: Start of the engine.
            resident: Adapter versions that it says it has loaded.

        Returns:
            Whether the engine was restarted. The table then holds only what the engine
            reports and all pins are gone; the caller must not unpin for earlier uses.
        """
        resident = frozenset(resident)
        if boot_id == self._boot_id:
            self._correct(resident)
            return False
        is_restart = bool(self._boot_id)
        self._boot_id = boot_id
        self._differences.clear()
        self._slots = {item: _Slot(_State.READY) for item in resident}
        return is_restart

    def loaded(self, adapter_version: AdapterVersion, boot_id: str) -> None:
        """Marks a load as done, unless it is of another start of the engine."""
        if boot_id != self._boot_id:
            return
        self._failed.pop(adapter_version, None)
        slot = self._slots.setdefault(adapter_version, _Slot(_State.LOADING))
        if slot.state is _State.LOADING:
            slot.state = _State.READY

    def unloaded(self, adapter_version: AdapterVersion) -> None:
        """Marks an unload as done."""
        slot = self._slots.get(adapter_version)
        if slot is not None and slot.state is _State.UNLOADING:
            del self._slots[adapter_version]

    def failed(self, adapter_version: AdapterVersion, now: Seconds) -> None:
        """Marks a load or unload command as failed.

        Args:
            adapter_version: What could not be loaded or unloaded.
            now: Time in seconds.
        """
        self._now = now
        slot = self._slots.get(adapter_version)
        if slot is not None and slot.state is _State.UNLOADING:
            slot.state, slot.is_draining = _State.READY, False
            return
        if slot is not None and slot.state is _State.LOADING:
            del self._slots[adapter_version]
        earlier = self._failed.get(adapter_version)
        count = 1
        if earlier is not None and now < earlier.retry_at + MAX_FAILED_SECONDS:
            count = earlier.count + 1
        pause = min(FAILED_SECONDS * 2 ** (count - 1), MAX_FAILED_SECONDS)
        self._failed[adapter_version] = _FailedLoad(now, now + pause, count)
        self._failed = {
            item: failure
            for item, failure in self._failed.items()
            if now < failure.retry_at + MAX_FAILED_SECONDS
        }

    def failed_recently(self, adapter_version: AdapterVersion, now: Seconds) -> bool:
        """Returns whether a load failed so recently that none is tried now."""
        failure = self._failed.get(adapter_version)
        return failure is not None and now < failure.retry_at

    def plan(self, wanted: Sequence[Wanted], *, permits: int, now: Seconds) -> SlotPlan:
        """Decides what to load and unload, and marks it as begun.

        Requests that wait go before prefetches, and more urgent ranks go first. Only
        free slots are prefetched into: a permit is worth more to the next stall. Loads
        go into free slots; to make room, adapter versions without a pin are unloaded
        if the load that replaces them is worth more. The load follows in a later plan,
        when the unload is done.

        Args:
            wanted: Adapter versions in demand, ready ones included.
            permits: Loads that the weight store's limits allow now.
            now: Time in seconds.

        Returns:
            The commands to give; every load needs a permit.
        """
        self._now = now
        self._remember_values(wanted)
        candidates = [
            item
            for item in sorted(wanted, key=_urgency)
            if (item.waiting or len(self._slots) < self._capacity)
            and item.adapter_version not in self._slots
            and not self.failed_recently(item.adapter_version, now)
        ]
        free = max(0, self._capacity - len(self._slots))
        loads = candidates[: min(free, permits)]
        without_slot = candidates[len(loads) :]
        waiting = {item.adapter_version: item for item in wanted}
        unloads = self._end_drains(without_slot, waiting, now)
        unloads += self._make_room(without_slot, waiting, permits, now)
        for item in loads:
            self._slots[item.adapter_version] = _Slot(_State.LOADING)
        return SlotPlan(
            tuple(item.adapter_version for item in loads),
            tuple(unloads),
            tuple(item for item, slot in self._slots.items() if _is_drain(slot)),
        )

    def _end_drains(
        self,
        candidates: Sequence[Wanted],
        waiting: Mapping[AdapterVersion, Wanted],
        now: Seconds,
    ) -> list[AdapterVersion]:
        """Unloads what is drained; takes back drains that are not needed any more."""
        unloading = sum(slot.state is _State.UNLOADING for slot in self._slots.values())
        stalls = [item for item in candidates if item.waiting][unloading:]
        unloads: list[AdapterVersion] = []
        for item, slot in tuple(self._slots.items()):
            if not _is_drain(slot):
                continue
            if not stalls:
                slot.is_draining = False
                continue
            stall = stalls.pop(0)
            unused = self._victim(stall, waiting, now, only_unused=True)
            if slot.pins and unused is not None:
                slot.is_draining = False
                unloads.append(unused)
            elif not slot.pins:
                unloads.append(item)
        for item in unloads:
            self._slots[item].state = _State.UNLOADING
        return unloads

    def _make_room(
        self,
        candidates: Sequence[Wanted],
        waiting: Mapping[AdapterVersion, Wanted],
        permits: int,
        now: Seconds,
    ) -> list[AdapterVersion]:
        # A slot emptied without a permit to fill it serves nobody, so the slots that
        # are free or becoming free never outnumber the permits.
        pending = sum(
            slot.state is _State.UNLOADING or slot.is_draining
            for slot in self._slots.values()
        )
        free = max(0, self._capacity - len(self._slots))
        room = min(len(candidates), permits - free - pending)
        unloads: list[AdapterVersion] = []
        for candidate in candidates[pending : pending + max(0, room)]:
            victim = self._victim(candidate, waiting, now)
            if victim is None:
                continue
            slot = self._slots[victim]
            slot.is_draining = True
            if slot.pins == 0:
                slot.state = _State.UNLOADING
                unloads.append(victim)
        return unloads

    def _victim(
        self,
        candidate: Wanted,
        waiting: Mapping[AdapterVersion, Wanted],
        now: Seconds,
        *,
        only_unused: bool = False,
    ) -> AdapterVersion | None:
        """Returns what makes room: unused if possible, then what can be paused.

        What is in use and cannot be paused is taken last, and only for a request that
        waits.
        """
        choices = []
        for item, slot in self._slots.items():
            may_be_used = candidate.waiting and not only_unused
            if not _is_usable(slot) or (slot.pins and not may_be_used):
                continue
            cost = 0 if slot.pins == 0 else 1
            if cost and not slot.gives_way_to(candidate.rank):
                cost = 2
            worth = self._worth(item, waiting.get(item), now)
            choices.append((cost, worth, str(item), item))
        gain = self._worth(candidate.adapter_version, candidate, now)
        affordable = [item for item in choices if item[1] * HYSTERESIS < gain]
        return min(affordable)[3] if affordable else None

    def _worth(
        self, adapter_version: AdapterVersion, wanted: Wanted | None, now: Seconds
    ) -> float:
        expected = self._demand.rate(adapter_version, now) * RELOAD_COST_SECONDS
        if wanted is None:
            return expected
        return expected + _waiting_worth(wanted)

    def _remember_values(self, wanted: Sequence[Wanted]) -> None:
        for item in wanted:
            self._values[item.adapter_version] = item.value
        if len(self._values) > 16 * self._capacity + len(wanted):
            kept = self._slots.keys() | {item.adapter_version for item in wanted}
            self._values = {
                item: value for item, value in self._values.items() if item in kept
            }

    def _correct(self, resident: frozenset[AdapterVersion]) -> None:
        idle = {
            item
            for item, slot in self._slots.items()
            if slot.state is _State.READY and slot.pins == 0
        }
        different = (idle - resident) | (resident - self._slots.keys())
        self._differences = {
            item: self._differences.get(item, 0) + 1 for item in different
        }
        for item, count in tuple(self._differences.items()):
            if count < REPORTS_TO_CORRECT:
                continue
            del self._differences[item]
            if item in self._slots:
                del self._slots[item]
            else:
                self._slots[item] = _Slot(_State.READY)


def _is_usable(slot: _Slot) -> bool:
    return slot.state is _State.READY and not slot.is_draining


def _is_drain(slot: _Slot) -> bool:
    return slot.state is _State.READY and slot.is_draining


def _urgency(wanted: Wanted) -> tuple[bool, int, float]:
    return wanted.waiting == 0, wanted.rank, -_waiting_worth(wanted)


def _waiting_worth(wanted: Wanted) -> float:
    """Returns the worth of the answers that a load sets going, growing with age."""
    age = 1.0 + wanted.oldest_wait / AGEING_SECONDS
    return wanted.waiting * wanted.value * age
