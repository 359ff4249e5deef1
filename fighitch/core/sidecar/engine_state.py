"""What a sidecar knows of its backend server: boot id, adapters, pins, load commands.

Every command carries a fencing token: the highest that the engine reported when this
incarnation started, plus one. It is never lowered. Some engines ignore the token.
For them three rules stand in its place: only the sidecar beside an engine commands it;
the slot table is compared with every report of the engine; and the version that an
answer names is checked before any of it is passed on. A late command of an earlier
incarnation can then cost a reload, but never give an answer from a wrong version. A
report with a token above our own means that a newer incarnation has taken over, so
this one gives no further commands.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fighitch.core.effects import LoadAdapter, UnloadAdapter
from fighitch.core.inputs import EngineReported
from fighitch.core.invariants import check
from fighitch.core.messages import AdapterVersion
from fighitch.core.sidecar.load_budget import LoadBudget
from fighitch.core.sidecar.slots import AdapterSlots, Wanted
from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class Report:
    """What a report of the engine changed."""

    is_restart: bool = False
    is_superseded: bool = False


@dataclass(frozen=True, slots=True)
class EnginePlan:
    """What to do with the adapters now.

    Attributes:
        commands: Commands to give to the engine.
        drains: Versions that take no new work until they are unloaded.
    """

    commands: tuple[LoadAdapter | UnloadAdapter, ...] = ()
    drains: tuple[AdapterVersion, ...] = ()


class EngineState:
    """State of the engine and of the commands to it."""

    def __init__(self, slots: AdapterSlots, budget: LoadBudget) -> None:
        self._slots = slots
        self._budget = budget
        self._boot_id: str | None = None
        self._fencing_token: int | None = None
        self._is_superseded = False
        # Commands without a result yet; the same load can be commanded again after the
        # slot table was emptied.
        self._loading: Counter[AdapterVersion] = Counter()
        self._unloading: set[AdapterVersion] = set()
        # Pins by token; a token is lost when the slot table is emptied under it.
        self._pins: dict[int, tuple[AdapterVersion, int | None]] = {}
        self._pinned: Counter[AdapterVersion] = Counter()
        self._table_pins: set[int] = set()
        self._last_pin = 0

    @property
    def boot_id(self) -> str | None:
        """Current start of the engine; None before the first report."""
        return self._boot_id

    @property
    def fencing_token(self) -> int | None:
        """Token of this incarnation; None before the first report."""
        return self._fencing_token

    @property
    def pins(self) -> int:
        """Number of calls that keep an adapter version loaded."""
        return len(self._pins)

    def resident(self) -> frozenset[str]:
        """Returns the names of the loaded versions."""
        return self._slots.resident()

    def is_ready(self, version: AdapterVersion) -> bool:
        """Returns whether work may be dispatched on a version."""
        return version not in self._unloading and self._slots.is_ready(version)

    def is_loading(self, version: AdapterVersion) -> bool:
        """Returns whether a load of the version was commanded and has not ended."""
        return self._loading[version] > 0

    def failed_recently(self, version: AdapterVersion, now: Seconds) -> bool:
        """Returns whether a load of the version failed a short time ago."""
        return self._slots.failed_recently(version, now)

    def pin(
        self,
        version: AdapterVersion,
        *,
        value: float,
        preemptible_rank: int | None = None,
    ) -> int:
        """Keeps a version loaded; returns the token to give to ``unpin``.

        Args:
            version: Version to keep.
            value: Worth of the answer that needs it.
            preemptible_rank: Rank of the work if it may be paused.
        """
        self._slots.pin(version, value=value, preemptible_rank=preemptible_rank)
        self._last_pin += 1
        self._pins[self._last_pin] = (version, preemptible_rank)
        self._table_pins.add(self._last_pin)
        self._pinned[version] += 1
        return self._last_pin

    def unpin(self, pin: int) -> None:
        """Ends a pin."""
        version, preemptible_rank = self._pins.pop(pin)
        self._pinned[version] -= 1
        if not self._pinned[version]:
            del self._pinned[version]
        if pin in self._table_pins:
            self._table_pins.remove(pin)
            self._slots.unpin(version, preemptible_rank=preemptible_rank)

    def report(self, report: EngineReported) -> Report:
        """Takes a report of the engine.

        Args:
            report: State of the engine.

        Returns:
            Whether the engine restarted, and whether a newer incarnation commands it.
        """
        if self._fencing_token is None:
            self._fencing_token = report.fencing_token + 1
        is_restart = self._boot_id is not None and report.boot_id != self._boot_id
        self._boot_id = report.boot_id
        if self._slots.report(report.boot_id, report.resident):
            self._table_pins.clear()
        if is_restart:
            self._unloading.clear()
        else:
            self._pin_again()
        was_superseded = self._is_superseded
        self._is_superseded |= report.fencing_token > self._fencing_token
        return Report(is_restart, self._is_superseded and not was_superseded)

    def invalidate(self) -> None:
        """Empties the slot table until the engine reports what it has loaded."""
        self._slots.report("", frozenset())
        self._table_pins.clear()

    def loaded(self, version: AdapterVersion, boot_id: str, now: Seconds) -> None:
        """A load command succeeded."""
        self._end_load(version, now)
        self._slots.loaded(version, boot_id)

    def unloaded(self, version: AdapterVersion) -> None:
        """An unload command succeeded."""
        self._unloading.discard(version)
        self._slots.unloaded(version)

    def command_failed(self, version: AdapterVersion, now: Seconds) -> bool:
        """A command failed; returns whether it was a load."""
        if not self._loading[version]:
            if version in self._unloading:
                self._unloading.discard(version)
                self._slots.failed(version, now)
            return False
        self._end_load(version, now)
        self._slots.failed(version, now)
        return True

    def plan(
        self,
        wanted: Sequence[Wanted],
        *,
        source: Callable[[AdapterVersion], str],
        now: Seconds,
    ) -> EnginePlan:
        """Returns the commands to give now.

        Args:
            wanted: Versions that work waits for, or is expected for.
            source: Returns where the weight store holds a version.
            now: Current time.
        """
        permits = self._budget.available(now)
        if self._fencing_token is None or self._is_superseded or permits <= 0:
            return EnginePlan()
        plan = self._slots.plan(wanted, permits=permits, now=now)
        commands: list[LoadAdapter | UnloadAdapter] = []
        for version in plan.unloads:
            check(
                not self._pinned[version],
                "pinned_adapter_never_unloaded",
                version=str(version),
            )
            self._unloading.add(version)
            commands.append(UnloadAdapter(version, self._fencing_token))
        for version in plan.loads:
            has_permit = self._budget.start(now)
            check(has_permit, "load_has_a_permit", version=str(version))
            self._loading[version] += 1
            commands.append(LoadAdapter(version, source(version), self._fencing_token))
        return EnginePlan(tuple(commands), plan.drains)

    def _end_load(self, version: AdapterVersion, now: Seconds) -> None:
        if self._loading[version]:
            self._loading[version] -= 1
            self._loading += Counter()
            self._budget.finish(now)

    def _pin_again(self) -> None:
        """Restores the pins of running calls after the table was emptied."""
        for pin, (version, preemptible_rank) in self._pins.items():
            if pin not in self._table_pins and self._slots.is_ready(version):
                self._slots.pin(version, preemptible_rank=preemptible_rank)
                self._table_pins.add(pin)
