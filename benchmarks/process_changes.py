"""Runs a configuration change with real processes while a fault strikes."""

import json
import time

from benchmarks import sample
from benchmarks.deployment import Deployment, fetch
from benchmarks.fault_matrix import Cell, Fault, Kind, Step
from benchmarks.process_faults import ProcessFault
from fighitch.types import Seconds

VICTIM = "orders-1"
OBJECT = "Adapter/advisor-6"
STEP = Step.AFTER_ANSWER
IN_FORCE: Seconds = 5.0
_HOLD: Seconds = 6.5
_POLL: Seconds = 0.1
_AFFECTED = {
    Fault.FREEZE_ENTRY: "entry-1",
    Fault.KILL_ENTRY: "entry-1",
    Fault.KILL_SIDECAR: VICTIM,
    Fault.FREEZE_SIDECAR: VICTIM,
}
FAULTS = (
    *_AFFECTED,
    Fault.CUT_PEER,
    Fault.SILENT_PEER,
    Fault.PARTITION_PEER,
    Fault.SLOW_PEER,
    Fault.API_DOWN,
    Fault.API_SLOW,
    Fault.API_CUT,
)


def change_cells() -> list[Cell]:
    """Returns the cells that are run with real processes."""
    return [Cell(Kind.CONFIGURATION.value, STEP.value, fault.value) for fault in FAULTS]


def run_change(deployment: Deployment, cell: Cell, number: int) -> list[str]:
    """Applies a change, strikes, and watches which daemon holds it when.

    Args:
        deployment: A settled deployment.
        cell: What to run.
        number: Makes the change differ from earlier ones.

    Returns:
        What was wrong.
    """
    fault = Fault(cell.fault)
    adapter = sample.adapter("advisor-6", "question", default=f"v{1 + number % 2}")
    adapter["metadata"]["labels"]["number"] = str(number)
    deployment.apply([adapter])
    accepted_at = time.monotonic()
    wanted = max(_held(deployment, name) for name in deployment.entries)
    striker = ProcessFault(deployment, fault, VICTIM)
    striker.inject()
    failures = _watch(deployment, wanted, accepted_at, _HOLD, _AFFECTED.get(fault, ""))
    striker.clear()
    failures += _watch(deployment, wanted, time.monotonic(), _HOLD, "")
    return failures


def _watch(
    deployment: Deployment,
    wanted: int,
    accepted_at: Seconds,
    duration: Seconds,
    excused: str,
) -> list[str]:
    names = [*deployment.entries, *(plan.name for plan in deployment.plan.backends)]
    names = [name for name in names if name != excused]
    highest = dict.fromkeys(names, 0)
    failures: set[str] = set()
    end = time.monotonic() + duration
    while time.monotonic() < end:
        for name in names:
            asked_at = time.monotonic()
            held = _held(deployment, name)
            if 0 <= held < highest[name]:
                failures.add(f"8: {name} went back from {highest[name]} to {held}")
            highest[name] = max(held, highest[name])
            if held < wanted and asked_at > accepted_at + IN_FORCE:
                failures.add(f"8: {name} holds {held} instead of {wanted} after 5 s")
        time.sleep(_POLL)
    return sorted(failures)


def _held(deployment: Deployment, name: str) -> int:
    """Returns the revision that a daemon holds; -1 if it does not answer."""
    url = f"{deployment.admin_url(name)}/configuration"
    status, data = fetch(url, timeout=2.0)
    if status != 200:
        return -1
    return int(json.loads(data)["resources"].get(OBJECT, 0))
