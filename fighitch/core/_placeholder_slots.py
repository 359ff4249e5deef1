"""Simple versions of the slot table, the load budget and the demand estimator.

They have the interface of ``core.slots``, ``core.load_budget`` and ``core.demand`` and
are deleted when those modules are merged.
"""

from collections import Counter
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import Any

from fighitch.core.effects import Send
from fighitch.core.messages import AdapterVersion, Message
from fighitch.types import ConnectionId, InstanceName, Seconds

_FAILURE_MEMORY: Seconds = 10.0


@dataclass(frozen=True, slots=True)
class Wanted:
    """An adapter version and how much is waiting for it."""

    adapter_version: AdapterVersion
    rank: int
    waiting: int
    value: float
    oldest_wait: Seconds


@dataclass(frozen=True, slots=True)
class SlotPlan:
    """Load and unload commands to give now."""

    loads: tuple[AdapterVersion, ...] = ()
    unloads: tuple[AdapterVersion, ...] = ()


class AdapterSlots:
    """Slot table that evicts any ready version that is not pinned."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._boot_id = ""
        self._ready: set[AdapterVersion] = set()
        self._loading: set[AdapterVersion] = set()
        self._unloading: set[AdapterVersion] = set()
        self._pins: Counter[AdapterVersion] = Counter()
        self._failed: dict[AdapterVersion, Seconds] = {}

    def is_ready(self, adapter_version: AdapterVersion) -> bool:
        """Returns whether work may be dispatched on the version."""
        return adapter_version in self._ready

    def pin(self, adapter_version: AdapterVersion) -> None:
        """Keeps the version loaded until ``unpin``."""
        self._pins[adapter_version] += 1

    def unpin(self, adapter_version: AdapterVersion) -> None:
        """Ends one ``pin``."""
        self._pins[adapter_version] -= 1
        if self._pins[adapter_version] <= 0:
            del self._pins[adapter_version]

    def report(self, boot_id: str, resident: frozenset[AdapterVersion]) -> bool:
        """Takes the engine's state; returns whether it restarted."""
        changed = boot_id != self._boot_id
        if changed:
            self._boot_id = boot_id
            self._pins.clear()
            self._loading.clear()
            self._unloading.clear()
            self._ready = set(resident)
        return changed

    def loaded(self, adapter_version: AdapterVersion, boot_id: str) -> None:
        """A load succeeded."""
        if boot_id == self._boot_id:
            self._loading.discard(adapter_version)
            self._ready.add(adapter_version)

    def unloaded(self, adapter_version: AdapterVersion) -> None:
        """An unload succeeded."""
        self._unloading.discard(adapter_version)
        self._ready.discard(adapter_version)

    def failed(self, adapter_version: AdapterVersion, now: Seconds) -> None:
        """A load failed."""
        self._loading.discard(adapter_version)
        self._failed[adapter_version] = now

    def failed_recently(self, adapter_version: AdapterVersion, now: Seconds) -> bool:
        """Returns whether a load of the version failed a short time ago."""
        return now - self._failed.get(adapter_version, -1e9) < _FAILURE_MEMORY

    def plan(self, wanted: Sequence[Wanted], *, permits: int, now: Seconds) -> SlotPlan:
        """Chooses what to load and unload."""
        needed = {item.adapter_version for item in wanted if item.waiting}
        loads: list[AdapterVersion] = []
        unloads: list[AdapterVersion] = []
        for item in sorted(wanted, key=lambda one: (one.rank, -one.oldest_wait)):
            version = item.adapter_version
            if (
                not item.waiting
                or version in self._ready | self._loading | self._unloading
                or self.failed_recently(version, now)
                or len(loads) >= permits
            ):
                continue
            used = len(self._ready) + len(self._loading) + len(self._unloading)
            if used < self._capacity:
                self._loading.add(version)
                loads.append(version)
                continue
            idle = [one for one in self._ready if not self._pins[one]]
            idle = [one for one in idle if one not in needed] or idle
            if idle and len(self._unloading) < permits:
                victim = min(idle, key=str)
                self._ready.discard(victim)
                self._unloading.add(victim)
                unloads.append(victim)
        return SlotPlan(tuple(loads), tuple(unloads))

    def resident(self) -> frozenset[str]:
        """Returns the names of the versions that are ready."""
        return frozenset(map(str, self._ready))


class LoadBudget:
    """Budget that grants a fixed share and does not borrow."""

    def __init__(
        self,
        instance: InstanceName,
        members: Sequence[InstanceName],
        loads_per_second: float,
        max_in_transit: int,
    ) -> None:
        self._instance = instance
        self._max_in_transit = max_in_transit
        self._in_transit = 0

    def available(self, now: Seconds) -> int:
        """Returns how many loads may start now."""
        return max(0, self._max_in_transit - self._in_transit)

    def start(self, now: Seconds) -> bool:
        """Takes a permit; returns whether there was one."""
        if not self.available(now):
            return False
        self._in_transit += 1
        return True

    def finish(self, now: Seconds) -> None:
        """A load is no longer in transit."""
        self._in_transit -= 1

    def configure(
        self,
        members: Sequence[InstanceName],
        loads_per_second: float,
        max_in_transit: int,
        now: Seconds,
    ) -> None:
        """Takes new limits."""
        self._max_in_transit = max_in_transit

    def handle(
        self, connection: ConnectionId, message: Message, now: Seconds
    ) -> list[Send]:
        """Handles a permit message of a peer."""
        return []


class DemandEstimator:
    """Exponentially decayed event rate by key."""

    def __init__(self, half_life: Seconds) -> None:
        self._half_life = half_life
        self._values: dict[Hashable, tuple[float, Seconds]] = {}

    def record(self, key: Any, now: Seconds, weight: float = 1.0) -> None:
        """Counts an event."""
        self._values[key] = (self._decayed(key, now) + weight, now)

    def rate(self, key: Any, now: Seconds) -> float:
        """Returns events per second."""
        return self._decayed(key, now) * 0.6931471805599453 / self._half_life

    def _decayed(self, key: Hashable, now: Seconds) -> float:
        value, since = self._values.get(key, (0.0, now))
        return value * 0.5 ** ((now - since) / self._half_life)
