"""Runs a configuration change with real processes while a fault is injected."""

import json
import time

from benchmarks import sample
from benchmarks.deployment import Deployment, fetch
from benchmarks.fault_matrix import CaseKind, Cell, Fault, Step
from benchmarks.process_faults import ProcessFault
from fighitch.types import Seconds

FAULTED_SIDECAR = "orders-1"
CHANGED_OBJECT = "Adapter/advisor-6"
CHANGE_STEP = Step.AFTER_ANSWER
# Invariant 8: every daemon that is not exempt has an accepted change within this time.
CONFIGURATION_BOUND: Seconds = 5.0
_CHECK_TIME: Seconds = 6.5
_POLL_INTERVAL: Seconds = 0.1
# Daemons that are down or paused during a fault, so that the bound does not apply.
_EXEMPT_DAEMON = {
    Fault.FREEZE_ENTRY: "entry-1",
    Fault.KILL_ENTRY: "entry-1",
    Fault.KILL_SIDECAR: FAULTED_SIDECAR,
    Fault.FREEZE_SIDECAR: FAULTED_SIDECAR,
}
FAULTS = (
    *_EXEMPT_DAEMON,
    Fault.CUT_PEER,
    Fault.SILENT_PEER,
    Fault.PARTITION_PEER,
    Fault.SLOW_PEER,
    Fault.API_DOWN,
    Fault.API_SLOW,
    Fault.API_CUT,
)


def change_cells() -> list[Cell]:
    """Returns the configuration cells that run with real processes."""
    return [
        Cell(CaseKind.CONFIGURATION.value, CHANGE_STEP.value, fault.value)
        for fault in FAULTS
    ]


def run_change(deployment: Deployment, cell: Cell, number: int) -> list[str]:
    """Applies a change, injects a fault and checks when each daemon has the change.

    Args:
        deployment: A settled deployment.
        cell: Cell to run.
        number: Number of the case, which makes each change distinct.

    Returns:
        Violations of invariant 8.
    """
    fault = Fault(cell.fault)
    adapter = sample.adapter("advisor-6", "question", default=f"v{1 + number % 2}")
    adapter["metadata"]["labels"]["number"] = str(number)
    deployment.apply([adapter])
    accepted_at = time.monotonic()
    expected = max(_held_revision(deployment, name) for name in deployment.entries)
    injected_fault = ProcessFault(deployment, fault, FAULTED_SIDECAR)
    injected_fault.inject()
    failures = _check_revisions(
        deployment, expected, accepted_at, _CHECK_TIME, _EXEMPT_DAEMON.get(fault, "")
    )
    injected_fault.clear()
    failures += _check_revisions(
        deployment, expected, time.monotonic(), _CHECK_TIME, ""
    )
    return failures


def _check_revisions(
    deployment: Deployment,
    expected: int,
    accepted_at: Seconds,
    duration: Seconds,
    exempt: str,
) -> list[str]:
    names = [*deployment.entries, *(plan.name for plan in deployment.plan.backends)]
    names = [name for name in names if name != exempt]
    highest = dict.fromkeys(names, 0)
    failures: set[str] = set()
    end = time.monotonic() + duration
    while time.monotonic() < end:
        for name in names:
            requested_at = time.monotonic()
            held = _held_revision(deployment, name)
            if 0 <= held < highest[name]:
                failures.add(f"8: {name} reverted from {highest[name]} to {held}")
            highest[name] = max(held, highest[name])
            if held < expected and requested_at > accepted_at + CONFIGURATION_BOUND:
                failures.add(f"8: {name} has {held} instead of {expected} after 5 s")
        time.sleep(_POLL_INTERVAL)
    return sorted(failures)


def _held_revision(deployment: Deployment, name: str) -> int:
    """Returns the revision that a daemon has; -1 if it does not respond."""
    url = f"{deployment.admin_url(name)}/configuration"
    status, data = fetch(url, timeout=2.0)
    if status != 200:
        return -1
    return int(json.loads(data)["resources"].get(CHANGED_OBJECT, 0))
