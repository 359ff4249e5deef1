"""Soak test checks of processes, configurations, backend servers and logs."""

import json
import re
import threading
import time
from pathlib import Path
from typing import Any

from benchmarks.deployment import Deployment, Process, fetch
from benchmarks.soak_faults import FAULT_EFFECT_SECONDS, ProcessStates
from benchmarks.soak_records import CONFIGURATION_BOUND, Records
from fighitch.core.claims import CLAIM_KIND
from fighitch.core.object_api import object_path
from fighitch.types import Seconds

MONITOR_INTERVAL: Seconds = 0.5
# An idle daemon uses about 50 MB. A leak of a few kB per request exceeds this bound
# within one run.
MAX_RESIDENT_MB = 200
# A daemon that is neither paused nor restarted responds on its admin port within this
# time.
MAX_UNRESPONSIVE: Seconds = 10.0
_FATAL_LOG_LINE = re.compile(r"InvariantViolation|invariant=|loop_failed|Traceback")
_KB_PER_MB = 1_024


class Monitor:
    """Monitors processes, their memory and their configuration during a run."""

    def __init__(
        self, deployment: Deployment, records: Records, states: ProcessStates
    ) -> None:
        """Prepares the monitor; ``run`` checks until ``stopping`` is set."""
        self._deployment = deployment
        self._records = records
        self._states = states
        self.stopping = threading.Event()
        self.peak_mb: dict[str, float] = {}
        self._held_revisions: dict[tuple[str, int], dict[str, int]] = {}
        self._reported: set[tuple[str, ...]] = set()
        self._crashed: set[int] = set()
        self._responded_at: dict[str, Seconds] = {}

    def run(self) -> None:
        """Checks all processes and configurations periodically."""
        while not self.stopping.wait(MONITOR_INTERVAL):
            for name, process in self._deployment.processes.items():
                self._check_process(name, process)
            for name in daemons(self._deployment):
                self._check_configuration(name)

    def _check_process(self, name: str, process: Process) -> None:
        is_daemon = name in daemons(self._deployment)
        should_run = not is_daemon or _is_undisturbed(
            self._states.undisturbed_since(name)
        )
        popen = process.popen
        if popen is None:
            return
        code = popen.poll()
        # Checked again after poll(), since a planned stop may have begun in between.
        should_run &= not is_daemon or _is_undisturbed(
            self._states.undisturbed_since(name)
        )
        if code is not None and should_run and popen.pid not in self._crashed:
            self._crashed.add(popen.pid)
            self._records.record_violation(
                "process crashed", process=name, exit_code=code
            )
        memory = resident_mb(popen.pid)
        if not is_daemon or memory is None:
            return
        self.peak_mb[name] = max(memory, self.peak_mb.get(name, 0.0))
        if memory > MAX_RESIDENT_MB and (name, "memory") not in self._reported:
            self._reported.add((name, "memory"))
            self._records.record_violation("memory", process=name, resident_mb=memory)

    def _check_unresponsive(self, name: str, unresponsive_for: Seconds) -> None:
        if (
            unresponsive_for > MAX_UNRESPONSIVE
            and (name, "silence") not in self._reported
        ):
            self._reported.add((name, "silence"))
            self._records.record_violation(
                "no response", process=name, silent=round(unresponsive_for, 1)
            )

    def _check_configuration(self, name: str) -> None:
        requested_at = time.monotonic()
        process = self._deployment.processes[name]
        if (
            not _is_undisturbed(self._states.undisturbed_since(name))
            or process.popen is None
        ):
            return
        pid = process.pid
        url = f"{self._deployment.admin_url(name)}/configuration"
        status, data = fetch(url, timeout=1.0)
        since = self._states.undisturbed_since(name)
        if since > requested_at or process.pid != pid:
            return
        if status != 200:
            self._check_unresponsive(
                name, requested_at - max(since, self._responded_at.get(name, 0))
            )
            return
        self._responded_at[name] = requested_at
        held = json.loads(data)["resources"]
        before = self._held_revisions.get((name, pid), {})
        for key, revision in before.items():
            if held.get(key, 0) < revision and ("revert", name, key) not in (
                self._reported
            ):
                self._reported.add(("revert", name, key))
                self._records.record_violation(
                    "configuration reverted",
                    process=name,
                    key=key,
                    held=held.get(key),
                    before=revision,
                )
        self._held_revisions[name, pid] = held
        entries_since = min(
            map(self._states.undisturbed_since, self._deployment.entries)
        )
        for change in self._records.accepted_changes():
            assert change.accepted is not None
            start = max(change.accepted, since, entries_since)
            report = (name, change.key, str(change.revision))
            is_due = requested_at > start + CONFIGURATION_BOUND
            if is_due and held.get(change.key, 0) < change.revision:
                if report in self._reported:
                    continue
                self._reported.add(report)
                self._records.record_violation(
                    "configuration not in force",
                    process=name,
                    key=change.key,
                    revision=change.revision,
                    held=held.get(change.key),
                    late=round(requested_at - start - CONFIGURATION_BOUND, 2),
                )


def daemons(deployment: Deployment) -> list[str]:
    """Returns the names of the entries and sidecars."""
    return [*deployment.entries, *(item.name for item in deployment.plan.backends)]


def resident_mb(pid: int) -> float | None:
    """Returns the resident memory of a process in MB; None if it has exited."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return None
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(found[1]) / _KB_PER_MB if found else None


def check_backend_servers(deployment: Deployment, records: Records) -> dict[str, int]:
    """Compares the responses to callers with the runs of the backend servers.

    Returns:
        Counts for the report.
    """
    order_runs: dict[str, int] = {}
    engine_runs: dict[str, set[str]] = {}
    for backend in deployment.plan.backends:
        runs = _backend_json(deployment, f"{backend.name}-backend", "/runs")
        if backend.type == "engine":
            for request_id, record in runs.items():
                engine_runs.setdefault(request_id, set()).update(record["models"])
        elif backend.service == "orders":
            for key, count in runs.items():
                order_runs[key] = order_runs.get(key, 0) + count
    _check_orders(deployment, records, order_runs)
    for request_id in records.not_run & engine_runs.keys():
        records.record_violation(
            "reported as not run, but it ran", request_id=request_id
        )
    for request_id, model in records.served_models.items():
        ran = engine_runs.get(request_id, set())
        if ran != {model}:
            records.record_violation(
                "different version ran", request_id=request_id, told=model, ran=ran
            )
    return {"orders run": sum(order_runs.values()), "generations": len(engine_runs)}


def _check_orders(
    deployment: Deployment, records: Records, order_runs: dict[str, int]
) -> None:
    for key, count in order_runs.items():
        if count > 1:
            records.record_violation("order ran more than once", key=key, runs=count)
    # A claim's name is a hash, computed by the same function as in the entry.
    from fighitch.core.entry.orders import claim_name

    listed = _backend_json(deployment, "object-api", object_path(CLAIM_KIND))
    claims = {
        item["metadata"]["name"]: item["spec"]["ticket"] for item in listed["items"]
    }
    known: set[str] = set()
    for order in records.orders:
        tickets = {order.key}
        if not order.is_issued:
            names = (claim_name(caller, order.key) for caller in ("team-1", "team-2"))
            tickets = {claims[name] for name in names if name in claims}
        known |= tickets
        runs = sum(order_runs.get(ticket, 0) for ticket in tickets)
        if runs > 1:
            records.record_violation(
                "order ran more than once", key=order.key, runs=runs
            )
        if runs and set(order.run_states) == {"not_run"}:
            records.record_violation(
                "reported as not run, but the order ran", key=order.key
            )
        if not runs and "ran" in order.run_states:
            records.record_violation(
                "reported as run, but the order did not run", key=order.key
            )
        # The run state describes one request: a repeat that the entry rejects was not
        # run, whatever the outcome of the earlier requests with the key.
        if runs and order.run_states[-1] == "not_run":
            records.count_note("order ran; its last repeat was reported as not run")
    for key in order_runs.keys() - known:
        records.record_violation(
            "order ran under a key that no caller received", key=key
        )


def check_unclear_replies(records: Records) -> None:
    """Checks that every unclear response is explained by an unplanned fault."""
    for entry, what, started, ended in records.unclear_replies:
        # The margin covers effects that outlast a fault: deadlines, failure suspicion,
        # adapter reloads.
        faults_in_force = records.faults_during(started - FAULT_EFFECT_SECONDS, ended)
        is_lost = "connection lost" in what or what.split()[1] == "cut"
        if is_lost and not records.faults_during(started - 1, ended, target=entry):
            records.record_violation(
                "response cut off by a running entry",
                entry=entry,
                what=what,
                started=round(started - records.started_at, 2),
                seconds=round(ended - started, 2),
                stops=[
                    (fault.target, round(fault.started - records.started_at, 2))
                    for fault in records.faults
                    if fault.kind == "planned stop" and fault.ended > started - 5
                ][:1],
            )
        elif not faults_in_force:
            records.record_violation(
                "unclear response without a fault",
                entry=entry,
                what=what,
                at=round(started - records.started_at, 2),
            )


def check_logs(deployment: Deployment, records: Records) -> None:
    """Searches the daemons' logs for violated invariants and unexpected errors."""
    for name in daemons(deployment):
        log = deployment.processes[name].log_path
        lines = log.read_text(errors="replace").splitlines()
        for number, line in enumerate(lines):
            if _FATAL_LOG_LINE.search(line):
                context = "\n".join(lines[number : number + 25])
                records.record_violation("error in log", process=name, log=context)
                break


def _backend_json(deployment: Deployment, name: str, path: str) -> Any:
    port = deployment.ports[f"{name}/port"]
    status, data = fetch(f"http://127.0.0.1:{port}{path}", timeout=60.0)
    if status != 200:
        raise RuntimeError(f"{name}{path} returned status {status}: {data[:200]!r}")
    return json.loads(data)


def _is_undisturbed(since: Seconds) -> bool:
    return since != float("inf")
