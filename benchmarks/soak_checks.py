"""Checks of soak runs that look at processes, configurations and backend servers."""

import json
import re
import threading
import time
from pathlib import Path
from typing import Any

from benchmarks.deployment import Deployment, Process, fetch
from benchmarks.soak_faults import SETTLE_SECONDS, ProcessStates
from benchmarks.soak_records import CONFIGURATION_BOUND, Records
from fighitch.core.claims import CLAIM_KIND
from fighitch.core.object_api import object_path
from fighitch.types import Seconds

MONITOR_INTERVAL: Seconds = 0.5
# The idle daemon has about 50 MB. A leak of a few kB per request passes this bound
# within one run.
MAX_RESIDENT_MB = 200
# A daemon that is neither paused nor restarted answers its admin port within this time.
MAX_SILENCE: Seconds = 10.0
_FATAL = re.compile(r"InvariantViolation|invariant=|loop_failed|Traceback")
_KB_PER_MB = 1_024


class Monitor:
    """Watches processes, their memory and their configuration during a run."""

    def __init__(
        self, deployment: Deployment, records: Records, states: ProcessStates
    ) -> None:
        """Takes what to watch; ``run`` watches until ``stopping`` is set."""
        self._deployment = deployment
        self._records = records
        self._states = states
        self.stopping = threading.Event()
        self.peak_mb: dict[str, float] = {}
        self._held: dict[tuple[str, int], dict[str, int]] = {}
        self._reported: set[tuple[str, ...]] = set()
        self._crashed: set[int] = set()
        self._heard: dict[str, Seconds] = {}

    def run(self) -> None:
        """Watches."""
        while not self.stopping.wait(MONITOR_INTERVAL):
            for name, process in self._deployment.processes.items():
                self._check_process(name, process)
            for name in daemons(self._deployment):
                self._check_configuration(name)

    def _check_process(self, name: str, process: Process) -> None:
        is_daemon = name in daemons(self._deployment)
        is_meant_to_run = not is_daemon or _is_calm(self._states.calm_since(name))
        popen = process.popen
        if popen is None:
            return
        code = popen.poll()
        # Asked again afterwards, since a planned stop may have begun in between.
        is_meant_to_run &= not is_daemon or _is_calm(self._states.calm_since(name))
        if code is not None and is_meant_to_run and popen.pid not in self._crashed:
            self._crashed.add(popen.pid)
            self._records.violation("process crashed", process=name, exit_code=code)
        memory = resident_mb(popen.pid)
        if not is_daemon or memory is None:
            return
        self.peak_mb[name] = max(memory, self.peak_mb.get(name, 0.0))
        if memory > MAX_RESIDENT_MB and (name, "memory") not in self._reported:
            self._reported.add((name, "memory"))
            self._records.violation("memory", process=name, resident_mb=memory)

    def _check_silence(self, name: str, silent: Seconds) -> None:
        if silent > MAX_SILENCE and (name, "silence") not in self._reported:
            self._reported.add((name, "silence"))
            self._records.violation("no answer", process=name, silent=round(silent, 1))

    def _check_configuration(self, name: str) -> None:
        asked_at = time.monotonic()
        process = self._deployment.processes[name]
        if not _is_calm(self._states.calm_since(name)) or process.popen is None:
            return
        pid = process.pid
        url = f"{self._deployment.admin_url(name)}/configuration"
        status, data = fetch(url, timeout=1.0)
        since = self._states.calm_since(name)
        if since > asked_at or process.pid != pid:
            return
        if status != 200:
            self._check_silence(name, asked_at - max(since, self._heard.get(name, 0)))
            return
        self._heard[name] = asked_at
        held = json.loads(data)["resources"]
        before = self._held.get((name, pid), {})
        for key, revision in before.items():
            if held.get(key, 0) < revision and ("revert", name, key) not in (
                self._reported
            ):
                self._reported.add(("revert", name, key))
                self._records.violation(
                    "configuration reverted",
                    process=name,
                    key=key,
                    held=held.get(key),
                    before=revision,
                )
        self._held[name, pid] = held
        entries_since = min(map(self._states.calm_since, self._deployment.entries))
        for change in self._records.accepted_changes():
            assert change.accepted is not None
            start = max(change.accepted, since, entries_since)
            report = (name, change.key, str(change.revision))
            is_due = asked_at > start + CONFIGURATION_BOUND
            if is_due and held.get(change.key, 0) < change.revision:
                if report in self._reported:
                    continue
                self._reported.add(report)
                self._records.violation(
                    "configuration not in force",
                    process=name,
                    key=change.key,
                    revision=change.revision,
                    held=held.get(change.key),
                    late=round(asked_at - start - CONFIGURATION_BOUND, 2),
                )


def daemons(deployment: Deployment) -> list[str]:
    """Returns the names of the entries and sidecars."""
    return [*deployment.entries, *(item.name for item in deployment.plan.backends)]


def resident_mb(pid: int) -> float | None:
    """Returns the resident memory of a process; None if it is gone."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return None
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(found[1]) / _KB_PER_MB if found else None


def check_backend_servers(deployment: Deployment, records: Records) -> dict[str, int]:
    """Compares what callers were told with what the backend servers ran.

    Returns:
        Figures for the report.
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
        records.violation("told not run, but it ran", request_id=request_id)
    for request_id, model in records.ran_on.items():
        ran = engine_runs.get(request_id, set())
        if ran != {model}:
            records.violation(
                "another version ran", request_id=request_id, told=model, ran=ran
            )
    return {"orders run": sum(order_runs.values()), "generations": len(engine_runs)}


def _check_orders(
    deployment: Deployment, records: Records, order_runs: dict[str, int]
) -> None:
    for key, count in order_runs.items():
        if count > 1:
            records.violation("order ran more than once", key=key, runs=count)
    # Claims are named by a hash; the entry's own function gives it.
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
            records.violation("order ran more than once", key=order.key, runs=runs)
        if runs and set(order.run_states) == {"not_run"}:
            records.violation("told not run, but the order ran", key=order.key)
        if not runs and "ran" in order.run_states:
            records.violation("told that it ran, but it did not", key=order.key)
        # The run state speaks of one request: a repeat that is refused at the edge was
        # not run, whatever became of the requests before it.
        if runs and order.run_states[-1] == "not_run":
            records.note("order ran; its last repeat was answered 'not run'")
    for key in order_runs.keys() - known:
        records.violation("order ran under a key that no caller got", key=key)


def check_planned_stops(records: Records) -> None:
    """Checks that no request was cut off unless a fault explains it."""
    for entry, what, started, ended in records.unclear:
        # The time that a fault's effects last after it: deadlines, suspicion, reloads.
        is_explained = records.faults_during(started - SETTLE_SECONDS, ended)
        is_lost = "connection lost" in what or what.split()[1] == "cut"
        if is_lost and not records.faults_during(started - 1, ended, target=entry):
            records.violation(
                "cut off by a live entry",
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
        elif not is_explained:
            records.violation(
                "unclear answer without a fault",
                entry=entry,
                what=what,
                at=round(started - records.started_at, 2),
            )


def check_logs(deployment: Deployment, records: Records) -> None:
    """Looks for violated invariants and unexpected errors in the daemons' logs."""
    for name in daemons(deployment):
        log = deployment.processes[name].log_path
        lines = log.read_text(errors="replace").splitlines()
        for number, line in enumerate(lines):
            if _FATAL.search(line):
                context = "\n".join(lines[number : number + 25])
                records.violation("error in log", process=name, log=context)
                break


def _backend_json(deployment: Deployment, name: str, path: str) -> Any:
    port = deployment.ports[f"{name}/port"]
    status, data = fetch(f"http://127.0.0.1:{port}{path}", timeout=60.0)
    if status != 200:
        raise RuntimeError(f"{name}{path} answered {status}: {data[:200]!r}")
    return json.loads(data)


def _is_calm(since: Seconds) -> bool:
    return since != float("inf")
