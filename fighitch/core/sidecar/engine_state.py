"""State of the engine as its sidecar sees it: boot id, adapters, pins, load commands.

Every command carries a fencing token. It is one above the highest token that the engine
stated in its first report to this incarnation, and it is never lowered. Some engines
ignore the token. For them, three rules replace it: only the colocated sidecar sends
commands to an engine, the slot table is reconciled with every report of the engine, and
the version named by a response is checked before any part of it is forwarded. A late
command of an earlier incarnation can then cause a reload but never a response from a
wrong version. A report with a token above this incarnation's own means that a newer
incarnation has taken over; this one then sends no further commands.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fighitch.core.effects import LoadAdapter, UnloadAdapter
from fighitch.core.inputs import EngineReported
from fighitch.core.invariants import check
from fighitch.core.messages import AdapterVersion
from fighitch.core.sidecar.load_budget import LoadBudget
from fighitch.core.sidecar.slots import AdapterDemand, AdapterSlots
from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class ReportChange:
    """Changes detected in a report of the engine.

    Attributes:
        is_restart: Whether the engine has restarted since the last report.
        is_superseded: Whether a newer incarnation of the sidecar has taken over.
    """

    is_restart: bool = False
    is_superseded: bool = False


@dataclass(frozen=True, slots=True)
class EnginePlan:
    """Commands to send now and versions to drain.

    Attributes:
        commands: Commands to send to the engine.
        drains: Versions that accept no new requests until they are unloaded.
    """

    commands: tuple[LoadAdapter | UnloadAdapter, ...] = ()
    drains: tuple[AdapterVersion, ...] = ()


class EngineState:
    """State of the engine and of the commands sent to it."""

    def __init__(self, slots: AdapterSlots, budget: LoadBudget) -> None:
        self._slots = slots
        self._budget = budget
        self._boot_id: str | None = None
        self._fencing_token: int | None = None
        self._is_superseded = False
        # Commands without a result. Loads are counted because the same load can be sent
        # again after the slot table was cleared.
        self._loading: Counter[AdapterVersion] = Counter()
        self._unloading: set[AdapterVersion] = set()
        # All pins by their id.
        self._pins: dict[int, tuple[AdapterVersion, int | None]] = {}
        self._pin_counts: Counter[AdapterVersion] = Counter()
        # Ids of the pins that the slot table holds; clearing the table drops them.
        self._table_pins: set[int] = set()
        self._last_pin = 0

    @property
    def boot_id(self) -> str | None:
        """Boot id of the engine; None before the first report."""
        return self._boot_id

    @property
    def fencing_token(self) -> int | None:
        """Fencing token of this incarnation; None before the first report."""
        return self._fencing_token

    @property
    def pins(self) -> int:
        """Number of calls that keep an adapter version loaded."""
        return len(self._pins)

    def resident(self) -> frozenset[str]:
        """Returns the names of the loaded versions."""
        return self._slots.resident()

    def is_ready(self, version: AdapterVersion) -> bool:
        """Returns whether requests may be dispatched on a version."""
        return version not in self._unloading and self._slots.is_ready(version)

    def is_loading(self, version: AdapterVersion) -> bool:
        """Returns whether a load of the version is in progress."""
        return self._loading[version] > 0

    def is_load_backing_off(self, version: AdapterVersion, now: Seconds) -> bool:
        """Returns whether loads of the version are backing off after a failure."""
        return self._slots.is_load_backing_off(version, now)

    def pin(
        self,
        version: AdapterVersion,
        *,
        value: float,
        preemptible_rank: int | None = None,
    ) -> int:
        """Keeps a version loaded; returns the id to pass to ``unpin``.

        Args:
            version: Version to keep loaded.
            value: Value of the response that needs it.
            preemptible_rank: Rank of the request if it is preemptible, else None.
        """
        self._slots.pin(version, value=value, preemptible_rank=preemptible_rank)
        self._last_pin += 1
        self._pins[self._last_pin] = (version, preemptible_rank)
        self._table_pins.add(self._last_pin)
        self._pin_counts[version] += 1
        return self._last_pin

    def unpin(self, pin: int) -> None:
        """Releases a pin."""
        version, preemptible_rank = self._pins.pop(pin)
        self._pin_counts[version] -= 1
        if not self._pin_counts[version]:
            del self._pin_counts[version]
        if pin in self._table_pins:
            self._table_pins.remove(pin)
            self._slots.unpin(version, preemptible_rank=preemptible_rank)

    def apply_report(self, report: EngineReported) -> ReportChange:
        """Applies a report of the engine.

        Args:
            report: State of the engine.

        Returns:
            Whether the engine restarted and whether a newer incarnation took over.
        """
        if self._fencing_token is None:
            self._fencing_token = report.fencing_token + 1
        is_restart = self._boot_id is not None and report.boot_id != self._boot_id
        self._boot_id = report.boot_id
        if self._slots.apply_report(report.boot_id, report.resident):
            self._table_pins.clear()
        if is_restart:
            self._unloading.clear()
        else:
            self._restore_pins()
        was_superseded = self._is_superseded
        self._is_superseded |= report.fencing_token > self._fencing_token
        return ReportChange(is_restart, self._is_superseded and not was_superseded)

    def invalidate(self) -> None:
        """Clears the slot table until the engine reports its loaded versions."""
        self._slots.apply_report("", frozenset())
        self._table_pins.clear()

    def mark_loaded(self, version: AdapterVersion, boot_id: str, now: Seconds) -> None:
        """Records that a load command succeeded."""
        self._end_load(version, now)
        self._slots.mark_loaded(version, boot_id)

    def mark_unloaded(self, version: AdapterVersion) -> None:
        """Records that an unload command succeeded."""
        self._unloading.discard(version)
        self._slots.mark_unloaded(version)

    def mark_command_failed(self, version: AdapterVersion, now: Seconds) -> bool:
        """Records that a command failed; returns whether it was a load."""
        if not self._loading[version]:
            if version in self._unloading:
                self._unloading.discard(version)
                self._slots.mark_failed(version, now)
            return False
        self._end_load(version, now)
        self._slots.mark_failed(version, now)
        return True

    def plan(
        self,
        demands: Sequence[AdapterDemand],
        *,
        find_source: Callable[[AdapterVersion], str],
        now: Seconds,
    ) -> EnginePlan:
        """Returns the commands to send now.

        Args:
            demands: Versions with waiting or expected requests.
            find_source: Returns the location of a version in the weight store.
            now: Current time.
        """
        permits = self._budget.available(now)
        if self._fencing_token is None or self._is_superseded or permits <= 0:
            return EnginePlan()
        plan = self._slots.plan(demands, permits=permits, now=now)
        commands: list[LoadAdapter | UnloadAdapter] = []
        for version in plan.unloads:
            check(
                not self._pin_counts[version],
                "pinned_adapter_never_unloaded",
                version=str(version),
            )
            self._unloading.add(version)
            commands.append(UnloadAdapter(version, self._fencing_token))
        for version in plan.loads:
            has_permit = self._budget.start(now)
            check(has_permit, "load_has_a_permit", version=str(version))
            self._loading[version] += 1
            commands.append(
                LoadAdapter(version, find_source(version), self._fencing_token)
            )
        return EnginePlan(tuple(commands), plan.drains)

    def _end_load(self, version: AdapterVersion, now: Seconds) -> None:
        if self._loading[version]:
            self._loading[version] -= 1
            self._loading += Counter()
            self._budget.finish(now)

    def _restore_pins(self) -> None:
        """Restores the pins of running calls after the slot table was cleared."""
        for pin, (version, preemptible_rank) in self._pins.items():
            if pin not in self._table_pins and self._slots.is_ready(version):
                self._slots.pin(version, preemptible_rank=preemptible_rank)
                self._table_pins.add(pin)
