"""Runs the configuration changes of the fault matrix on the in-memory network."""

from dataclasses import dataclass, field

from benchmarks.fault_matrix import Cell, Fault, Step
from benchmarks.memory_backends import with_default
from benchmarks.memory_faults import MemoryFault
from benchmarks.memory_network import ENTRIES, Network, Process
from fighitch.core import inputs
from fighitch.core.resources import Kind, Resource
from fighitch.types import Revision, Seconds

PROPAGATION_LIMIT: Seconds = 5.0
# Longer than the time within which a change must be in force.
FAULT_DURATION: Seconds = 12.0
FAULTED_SIDECAR = "orders-1"
NEW_INSTANCES = ("entry-2", "stock-2")
_SAMPLE_INTERVAL: Seconds = 0.05
_POLL_INTERVAL: Seconds = 0.5
_RESPONSE_LATENCY: Seconds = 0.005

_ENTRY_FAULTS = (Fault.KILL_ENTRY, Fault.FREEZE_ENTRY, Fault.STOP_ENTRY)
_SIDECAR_FAULTS = (
    Fault.KILL_SIDECAR,
    Fault.FREEZE_SIDECAR,
    Fault.FREEZE_SIDECAR_SHORT,
    Fault.STOP_SIDECAR,
)
# These faults only have an effect if older and newer changes are in transit together.
_REORDERING_FAULTS = (Fault.DUPLICATES, Fault.LATE, Fault.REORDERED)
_API_FAULTS = (Fault.API_DOWN, Fault.API_SLOW, Fault.API_LOST_ANSWER)


@dataclass(eq=False)
class ChangeCase:
    """A configuration change and the revision that each process holds.

    Attributes:
        network: Processes of the case.
        affected: Instances that cannot receive the change during the fault.
        required_revision: Revision that must be in force; 0 before the change is
            accepted.
        accepted_at: Time at which an entry accepted the change.
        cleared_at: Time at which the fault ended; infinite during the fault.
        held_revisions: Last sampled revision of the changed object at each process.
        failures: Violations of invariant 8.
    """

    network: Network
    affected: frozenset[str]
    required_revision: Revision = 0
    accepted_at: Seconds = float("inf")
    cleared_at: Seconds = float("inf")
    held_revisions: dict[int, Revision] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)

    def sample(self) -> None:
        """Checks the revision at every running process and schedules the next check."""
        for process in self.network.all_processes:
            if process.is_alive and not process.is_frozen:
                self._check_revision(process)
        self.network.call_later(_SAMPLE_INTERVAL, self.sample)

    def _check_revision(self, process: Process) -> None:
        revision = held_revision(process)
        if revision < self.held_revisions.get(id(process), 0):
            self._add_failure(f"8: {process.name} regressed to revision {revision}")
        self.held_revisions[id(process)] = revision
        start = self.accepted_at
        if process.name in self.affected:
            start = max(start, self.cleared_at)
        if (
            self.network.now > start + PROPAGATION_LIMIT
            and revision < self.required_revision
        ):
            self._add_failure(
                f"8: {process.name} holds revision {revision} instead of "
                f"{self.required_revision}, {PROPAGATION_LIMIT} s after it was accepted"
            )

    def _add_failure(self, problem: str) -> None:
        if problem not in self.failures:
            self.failures.append(problem)


def run_change(cell: Cell, seed: int) -> list[str]:
    """Runs a cell and returns the violations."""
    network = Network(seed)
    network.wait_until_connected()
    fault, step = Fault(cell.fault), Step(cell.step)
    change = ChangeCase(network, _affected_instances(fault, step))
    change.sample()
    injector = MemoryFault(network, fault, FAULTED_SIDECAR)
    if step is Step.BEFORE_WRITE:
        injector.inject()
        _write_when_available(change)
        network.run(FAULT_DURATION)
    elif step is Step.AFTER_WRITE:
        committed = _commit_change(network)
        network.run(_RESPONSE_LATENCY)
        injector.inject()
        if fault not in _API_FAULTS:
            _deliver_change(change, committed, ENTRIES)
        network.run(FAULT_DURATION)
    elif step is Step.NEW_INSTANCE:
        _run_new_instance(change, injector)
    else:
        _deliver_change(change, _commit_change(network, is_watched=False), ENTRIES[:1])
        if step is Step.SPREADING:
            network.run(PROPAGATION_LIMIT, until=lambda: _is_partly_spread(change))
        injector.inject()
        if fault in _REORDERING_FAULTS:
            injector.start_operator_race()
        network.api_unreachable -= set(ENTRIES) - (
            {ENTRIES[0]} if fault is Fault.API_CUT else set()
        )
        network.run(FAULT_DURATION)
    injector.clear()
    change.cleared_at = network.now
    if not change.required_revision:
        _write_when_available(change)
    network.run(2 * PROPAGATION_LIMIT)
    return change.failures


def held_revision(process: Process) -> Revision:
    """Returns the revision of the changed object at a process; 0 if it is missing."""
    core = process.core
    store = core.store if process.name in ENTRIES else core.configuration
    adapter = store.get(Kind.ADAPTER, "advisor-1")
    return adapter.revision if adapter else 0


def _affected_instances(fault: Fault, step: Step) -> frozenset[str]:
    names = set(NEW_INSTANCES) if step is Step.NEW_INSTANCE else set()
    if fault in _ENTRY_FAULTS:
        names.add(ENTRIES[0])
    if fault in _SIDECAR_FAULTS:
        names.add(FAULTED_SIDECAR)
    return frozenset(names - set(NEW_INSTANCES))


def _commit_change(network: Network, *, is_watched: bool = True) -> Resource:
    """Commits the change; without watches only delivered changes reach the entries."""
    if not is_watched:
        network.api_unreachable |= set(ENTRIES)
    adapter = network.api.store.get(Kind.ADAPTER, "advisor-1")
    assert adapter is not None
    (committed,) = network.api.write(with_default(adapter, "v2"))
    return committed


def _write_when_available(change: ChangeCase) -> None:
    """Commits the change once the object API responds, and delivers it."""
    api = change.network.api
    if not api.is_up or api.is_slow:
        change.network.call_later(
            _POLL_INTERVAL,
            lambda: None if change.required_revision else _write_when_available(change),
        )
        return
    _deliver_change(change, _commit_change(change.network), ENTRIES)


def _deliver_change(
    change: ChangeCase, committed: Resource, entries: tuple[str, ...]
) -> None:
    network = change.network
    for name in entries:
        event = inputs.ConfigurationReceived((committed,), 0)
        network.processes[name].deliver(event)
    receivers = [network.processes[name] for name in entries]
    if any(held_revision(item) >= committed.revision for item in receivers):
        change.required_revision = committed.revision
        change.accepted_at = network.now


def _is_partly_spread(change: ChangeCase) -> bool:
    held_revisions = [
        held_revision(process) >= change.required_revision
        for process in change.network.processes.values()
    ]
    return sum(held_revisions) > 1


def _run_new_instance(change: ChangeCase, injector: MemoryFault) -> None:
    """Replaces instances while they can only get the configuration from peers."""
    network = change.network
    _deliver_change(change, _commit_change(network, is_watched=False), ENTRIES)
    network.run(PROPAGATION_LIMIT)
    for name in NEW_INSTANCES:
        network.kill(name)
        network.start(name)
    change.accepted_at = max(change.accepted_at, network.now)
    injector.inject()
    network.run(FAULT_DURATION)
