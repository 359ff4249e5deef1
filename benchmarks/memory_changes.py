"""Runs a configuration change of the fault matrix on the in-memory network."""

from dataclasses import dataclass, field

from benchmarks.fault_plan import Cell, Fault, Step
from benchmarks.memory_backends import with_default
from benchmarks.memory_faults import MemoryFault
from benchmarks.memory_network import ENTRIES, Network, Process
from fighitch.core import inputs
from fighitch.core.resources import Kind, Resource
from fighitch.types import Revision, Seconds

IN_FORCE: Seconds = 5.0
# Longer than the time in which a change must be in force.
HOLD: Seconds = 12.0
VICTIM = "orders-1"
NEW_INSTANCES = ("entry-2", "stock-2")
_SAMPLE: Seconds = 0.05
_POLL: Seconds = 0.5
_ANSWER: Seconds = 0.005

_ENTRY_FAULTS = (Fault.KILL_ENTRY, Fault.FREEZE_ENTRY, Fault.STOP_ENTRY)
_SIDECAR_FAULTS = (
    Fault.KILL_SIDECAR,
    Fault.FREEZE_SIDECAR,
    Fault.FREEZE_SIDECAR_SHORT,
    Fault.STOP_SIDECAR,
)
# Older and newer changes must cross for these to matter.
_CROSSING = (Fault.DUPLICATES, Fault.LATE, Fault.REORDERED)
_API_FAULTS = (Fault.API_DOWN, Fault.API_SLOW, Fault.API_LOST_ANSWER)


@dataclass(eq=False)
class Change:
    """A change of configuration and what each process held when.

    Attributes:
        network: Processes of the case.
        affected: Instances that cannot take the change while the fault lasts.
        wanted: Revision that must be in force; 0 before the change is accepted.
        accepted_at: Time at which an entry confirmed it.
        cleared_at: End of the fault; infinite while it lasts.
        held: Revision of the changed object at each process.
        failures: What did not hold.
    """

    network: Network
    affected: frozenset[str]
    wanted: Revision = 0
    accepted_at: Seconds = float("inf")
    cleared_at: Seconds = float("inf")
    held: dict[int, Revision] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)

    def sample(self) -> None:
        """Compares what every process holds with what it must hold."""
        for process in self.network.every_process:
            if process.is_alive and not process.is_frozen:
                self._check(process)
        self.network.call_later(_SAMPLE, self.sample)

    def _check(self, process: Process) -> None:
        revision = held_revision(process)
        if revision < self.held.get(id(process), 0):
            self._fail(f"8: {process.name} went back to revision {revision}")
        self.held[id(process)] = revision
        start = self.accepted_at
        if process.name in self.affected:
            start = max(start, self.cleared_at)
        if self.network.now > start + IN_FORCE and revision < self.wanted:
            self._fail(
                f"8: {process.name} holds revision {revision} instead of "
                f"{self.wanted}, {IN_FORCE} s after it was accepted"
            )

    def _fail(self, problem: str) -> None:
        if problem not in self.failures:
            self.failures.append(problem)


def run_change(cell: Cell, seed: int) -> list[str]:
    """Runs a cell and returns what was wrong."""
    network = Network(seed)
    network.settle()
    fault, step = Fault(cell.fault), Step(cell.step)
    change = Change(network, _affected(fault, step))
    change.sample()
    striker = MemoryFault(network, fault, VICTIM)
    if step is Step.BEFORE_WRITE:
        striker.strike()
        _write(change)
        network.run(HOLD)
    elif step is Step.AFTER_WRITE:
        committed = _commit(network)
        network.run(_ANSWER)
        striker.strike()
        if fault not in _API_FAULTS:
            _hand_over(change, committed, ENTRIES)
        network.run(HOLD)
    elif step is Step.NEW_INSTANCE:
        _run_new_instance(change, striker)
    else:
        _hand_over(change, _commit(network, is_watched=False), ENTRIES[:1])
        if step is Step.SPREADING:
            network.run(IN_FORCE, until=lambda: _is_partly_spread(change))
        striker.strike()
        if fault in _CROSSING:
            striker.race()
        network.api_unreachable -= set(ENTRIES) - (
            {ENTRIES[0]} if fault is Fault.API_CUT else set()
        )
        network.run(HOLD)
    striker.clear()
    change.cleared_at = network.now
    if not change.wanted:
        _write(change)
    network.run(2 * IN_FORCE)
    return change.failures


def held_revision(process: Process) -> Revision:
    """Returns the revision of the changed object at a process; 0 without it."""
    core = process.core
    store = core.store if process.name in ENTRIES else core.configuration
    found = store.get(Kind.ADAPTER, "advisor-1")
    return found.revision if found else 0


def _affected(fault: Fault, step: Step) -> frozenset[str]:
    names = set(NEW_INSTANCES) if step is Step.NEW_INSTANCE else set()
    if fault in _ENTRY_FAULTS:
        names.add(ENTRIES[0])
    if fault in _SIDECAR_FAULTS:
        names.add(VICTIM)
    return frozenset(names - set(NEW_INSTANCES))


def _commit(network: Network, *, is_watched: bool = True) -> Resource:
    """Writes the change; without watches only what is handed over arrives at first."""
    if not is_watched:
        network.api_unreachable |= set(ENTRIES)
    adapter = network.api.store.get(Kind.ADAPTER, "advisor-1")
    assert adapter is not None
    (committed,) = network.api.write(with_default(adapter, "v2"))
    return committed


def _write(change: Change) -> None:
    """Writes when the object API answers, then hands the change over."""
    api = change.network.api
    if not api.is_up or api.is_slow:
        change.network.call_later(
            _POLL, lambda: None if change.wanted else _write(change)
        )
        return
    _hand_over(change, _commit(change.network), ENTRIES)


def _hand_over(change: Change, committed: Resource, entries: tuple[str, ...]) -> None:
    network = change.network
    for name in entries:
        event = inputs.ConfigurationReceived((committed,), 0)
        network.processes[name].deliver(event)
    holders = [network.processes[name] for name in entries]
    if any(held_revision(item) >= committed.revision for item in holders):
        change.wanted = committed.revision
        change.accepted_at = network.now


def _is_partly_spread(change: Change) -> bool:
    held = [
        held_revision(process) >= change.wanted
        for process in change.network.processes.values()
    ]
    return sum(held) > 1


def _run_new_instance(change: Change, striker: MemoryFault) -> None:
    """Replaces instances while only peers can give them the configuration."""
    network = change.network
    _hand_over(change, _commit(network, is_watched=False), ENTRIES)
    network.run(IN_FORCE)
    for name in NEW_INSTANCES:
        network.kill(name)
        network.start(name)
    change.accepted_at = max(change.accepted_at, network.now)
    striker.strike()
    network.run(HOLD)
