"""Runs cells of the fault matrix with real processes and relays."""

import base64
import json
import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from benchmarks import sample
from benchmarks.callers import Caller, Reply
from benchmarks.deployment import BackendPlan, Deployment, DeploymentPlan, fetch
from benchmarks.fault_matrix import CaseKind, Cell, Fault, Step, exclusion_reason
from benchmarks.memory_backends import SERVICE_TIMEOUT
from benchmarks.process_changes import change_cells, run_change
from benchmarks.process_faults import FAULT_DURATION, PROCESS_FAULTS, ProcessFault
from fighitch.core.entry.orders import claim_name
from fighitch.types import InstanceName, Seconds
from standins.engine_model import generated_text

ROWS = (
    (CaseKind.STREAMED, Step.QUEUED),
    (CaseKind.STREAMED, Step.WAITING_LOAD),
    (CaseKind.STREAMED, Step.HALF_WAY),
    (CaseKind.WHOLE, Step.RUNNING),
    (CaseKind.LOOKUP, Step.RUNNING),
    (CaseKind.ISSUED, Step.QUEUED),
    (CaseKind.ISSUED, Step.RUNNING),
    (CaseKind.ISSUED, Step.ANSWERED),
    (CaseKind.CHOSEN, Step.RUNNING),
)
TOKENS = 80
_TOKEN_TIME: Seconds = 0.025
_SERVICE_RUN_TIME: Seconds = 0.8
_PROBE_DELAY: Seconds = 2.8
_CALLER_TIMEOUT: Seconds = 30.0
_STEP_TIMEOUT: Seconds = 5.0
_IDLE_TIMEOUT: Seconds = 15.0
_POLL_INTERVAL: Seconds = 0.02
_PLANNED_STOPS = (Fault.STOP_ENTRY, Fault.STOP_SIDECAR)
_DEFAULT_MODEL = "advisor-1@v1"


def process_cells() -> list[Cell]:
    """Returns the cells that also run with real processes."""
    found = [
        Cell(kind.value, step.value, fault.value)
        for fault in Fault
        if fault in PROCESS_FAULTS
        for kind, step in ROWS
    ]
    return [cell for cell in (*found, *change_cells()) if not exclusion_reason(cell)]


def fault_deployment_plan() -> DeploymentPlan:
    """Returns a plan with two entries, engines, order services and lookup services."""
    backends = [
        BackendPlan(f"engine-{number}", "engine", zone, model="base-1", batch_size=2)
        for number, zone in enumerate("ab", 1)
    ]
    for service, work in (("orders", "order"), ("stock", "lookup")):
        backends += [
            BackendPlan(
                f"{service}-{number}",
                "service",
                zone,
                service=service,
                batch_size=1,
                labels={"work": work},
            )
            for number, zone in enumerate("ab", 1)
        ]
    return DeploymentPlan(zones=("a", "b"), backends=backends, relays=True)


@dataclass(eq=False)
class PendingRequest:
    """A request in flight and its expected response."""

    reply: Future[Reply]
    text: str = ""
    model: str = ""
    key: str = ""


@dataclass(eq=False)
class ProcessCase:
    """A cell that runs on a deployment."""

    deployment: Deployment
    cell: Cell
    number: int
    pool: ThreadPoolExecutor
    failures: list[str] = field(default_factory=list)
    # Run counters of a backend server before a kill, which resets them.
    runs_before_kill: dict[str, Any] = field(default_factory=dict)
    caller: Caller = field(
        default_factory=lambda: Caller(sample.CALLER_KEY, timeout=_CALLER_TIMEOUT)
    )

    @property
    def urls(self) -> list[str]:
        """Base URLs of the entries."""
        return [self.deployment.caller_url(name) for name in self.deployment.entries]

    def runs(self, backend: InstanceName) -> dict[str, Any]:
        """Returns the run counters of a backend server."""
        port = self.deployment.ports[f"{backend}-backend/port"]
        data = fetch(f"http://127.0.0.1:{port}/runs")[1]
        return json.loads(data) if data else {}

    def order_runs(self, key: str) -> int:
        """Returns how often an order has run on all backend servers together."""
        runs = sum(self.runs(name).get(key, 0) for name in ("orders-1", "orders-2"))
        return runs + self.runs_before_kill.get(key, 0)

    def status(self, name: str) -> dict[str, Any]:
        """Returns the status of a daemon; empty if it does not respond."""
        code, data = fetch(f"{self.deployment.admin_url(name)}/status", timeout=2.0)
        return json.loads(data) if code == 200 else {}

    def adapter(
        self,
        entry: int,
        name: str,
        *,
        streamed: bool,
        tokens: int = TOKENS,
        model: str = _DEFAULT_MODEL,
    ) -> PendingRequest:
        """Sends an adapter request."""
        prompt = f"prompt {self.number} {name}"
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": streamed,
        }
        reply = self.pool.submit(
            self.caller.call, self.urls[entry], "/v1/completions", body
        )
        return PendingRequest(reply, generated_text(model, prompt, 0, tokens), model)

    def order(self, entry: int, key: str, content: str) -> PendingRequest:
        """Sends an order."""
        reply = self.pool.submit(
            self.caller.call,
            self.urls[entry],
            "/services/orders/orders",
            {"order": content},
            headers={"Idempotency-Key": key},
        )
        return PendingRequest(reply, key=key)

    def lookup(self, entry: int) -> PendingRequest:
        """Sends a lookup request."""
        path = f"/services/stock/items/{self.number}"
        return PendingRequest(
            self.pool.submit(self.caller.call, self.urls[entry], path, method="GET")
        )

    def issue_key(self, entry: int) -> str:
        """Returns an idempotency key that an entry issued."""
        return self.caller.issue_key(self.urls[entry], service="orders")


def run_batch(
    cells: Sequence[Cell], seed: int, latest_start: float
) -> list[tuple[Cell, list[str]]]:
    """Runs cells sequentially on one deployment.

    Args:
        cells: Cells to run.
        seed: Offset of the case numbers, which distinguishes the requests of runs.
        latest_start: Value of ``time.time`` after which no further cell starts.

    Returns:
        The violations of each cell that ran.
    """
    plan = fault_deployment_plan()
    done: list[tuple[Cell, list[str]]] = []
    with Deployment(plan) as deployment, ThreadPoolExecutor(32) as pool:
        deployment.apply(
            [*sample.common_documents(plan), *deployment.backend_documents()]
        )
        deployment.wait_ready()
        for number, cell in enumerate(cells, seed * 1_000):
            if time.time() > latest_start:
                break
            case = ProcessCase(deployment, cell, number, pool)
            try:
                _run_case(case)
            except TimeoutError as error:
                case.failures.append(f"harness: {error}")
            done.append((cell, case.failures))
    return done


def _run_case(case: ProcessCase) -> None:
    deployment = case.deployment
    kind, step, fault = (
        CaseKind(case.cell.kind),
        Step(case.cell.step),
        Fault(case.cell.fault),
    )
    ProcessFault(deployment, fault, "engine-1").clear()
    _wait_settled(case)
    if kind is CaseKind.CONFIGURATION:
        case.failures += run_change(deployment, case.cell, case.number)
        return
    lookups_before = _count_lookups(case)
    _slow_backends(case, kind, step)
    key = {
        CaseKind.ISSUED: lambda: case.issue_key(1),
        CaseKind.CHOSEN: lambda: f"chosen-{case.number}",
    }.get(kind, str)()
    before = _started_requests(case)
    blockers = _send_blocking_requests(case, kind) if step is Step.QUEUED else []
    target = _send(case, kind, step, key)
    faulted_sidecar = _wait_for_step(case, kind, step, target, key, before)
    bystander = case.adapter(1, "bystander", streamed=True)
    if fault in _PLANNED_STOPS:
        time.sleep(0.1)
    injected_fault = ProcessFault(deployment, fault, faulted_sidecar)
    in_flight = [target, bystander, *blockers]
    if fault is Fault.KILL_BACKEND and kind.is_order:
        case.runs_before_kill = case.runs(faulted_sidecar)
    injected_at = time.monotonic()
    injected_fault.inject()
    time.sleep(max(0.0, _PROBE_DELAY - (time.monotonic() - injected_at)))
    probe = case.order(1, case.issue_key(1), "probe")
    probe_reply = probe.reply.result()
    if fault is Fault.STOP_SIDECAR:
        _check_drained_sidecar(case, faulted_sidecar, injected_at)
    time.sleep(max(0.0, FAULT_DURATION - (time.monotonic() - injected_at)))
    if fault not in _PLANNED_STOPS:
        injected_fault.clear()
    for request in in_flight:
        reply = request.reply.result()
        _check_reply(case, request, reply)
        is_cut = reply.status != 200 or not reply.is_whole
        if fault in _PLANNED_STOPS and is_cut:
            case.failures.append(
                f"7: cut off: {reply.status} {reply.error_kind} {reply.body[-200:]!r}"
            )
    if probe_reply.status != 200:
        case.failures.append(
            f"urgent: order got {probe_reply.status} {probe_reply.error_kind} "
            f"{probe_reply.body[:200]!r}"
        )
    if fault in _PLANNED_STOPS:
        _check_exit(
            case,
            deployment.entries[0] if fault is Fault.STOP_ENTRY else faulted_sidecar,
        )
        injected_fault.clear()
    _wait_settled(case)
    _check_not_run(case, kind, target, key, lookups_before)
    if kind.is_order:
        repeat = case.order(1, key, "target")
        _check_repeat(case, kind, key, target.reply.result(), repeat.reply.result())
    _check_nothing_left(case)


def _slow_backends(case: ProcessCase, kind: CaseKind, step: Step) -> None:
    """Slows requests down so that the fault can be injected at its step."""
    if step is Step.WAITING_LOAD:
        case.deployment.set_fault("weight-store", slow_factor=4.0)
    seconds = 0.4 if step is Step.QUEUED else _SERVICE_RUN_TIME
    for name in ("orders-1", "orders-2", "stock-1", "stock-2"):
        if kind.is_order and step is not Step.ANSWERED or kind is CaseKind.LOOKUP:
            case.deployment.set_fault(f"{name}-backend", run_seconds=seconds)
    for name in ("engine-1", "engine-2"):
        case.deployment.set_fault(f"{name}-backend", slow_factor=2.0)


def _send_blocking_requests(case: ProcessCase, kind: CaseKind) -> list[PendingRequest]:
    if kind.is_order:
        keys = [case.issue_key(n % 2) for n in range(5)]
        pending = [case.order(n % 2, key, f"blocker {n}") for n, key in enumerate(keys)]
    else:
        pending = [
            case.adapter(n % 2, f"blocker {n}", streamed=True, tokens=100)
            for n in range(5)
        ]
    time.sleep(0.25)
    return pending


def _send(case: ProcessCase, kind: CaseKind, step: Step, key: str) -> PendingRequest:
    if kind.is_order:
        return case.order(0, key, "target")
    if kind is CaseKind.LOOKUP:
        return case.lookup(0)
    # Every case of this step needs a version that no engine has loaded yet, so that the
    # request waits for its load.
    waits = step is Step.WAITING_LOAD
    number = 2 + case.number % 5
    version = f"v{1 + case.number // 5 % 2}"
    return case.adapter(
        0,
        "target",
        streamed=kind is CaseKind.STREAMED,
        model=f"advisor-{number}@{version}" if waits else _DEFAULT_MODEL,
    )


def _wait_for_step(
    case: ProcessCase,
    kind: CaseKind,
    step: Step,
    target: PendingRequest,
    key: str,
    before: dict[str, set[str]],
) -> InstanceName:
    """Waits until the request reaches the step; returns the sidecar that holds it."""
    if step is Step.ANSWERED:
        target.reply.result()
        return _ticket_holder(key) or "orders-1"
    names = ("engine-1", "engine-2")
    if kind.is_order:
        names = ("orders-1", "orders-2")
    elif kind is CaseKind.LOOKUP:
        names = ("stock-1", "stock-2")
    deadline = time.monotonic() + _STEP_TIMEOUT
    while time.monotonic() < deadline:
        for name in names:
            status = case.status(name)
            waiting, running = (
                sum(status.get("queued", ())),
                sum(status.get("running", ())),
            )
            is_holder = _ticket_holder(key) in ("", name)
            if step in (Step.QUEUED, Step.WAITING_LOAD):
                if waiting and is_holder:
                    return name
            elif running and is_holder:
                if step is Step.HALF_WAY:
                    time.sleep(TOKENS * _TOKEN_TIME / 2)
                return name
        time.sleep(_POLL_INTERVAL)
    raise TimeoutError(f"{case.cell.name}: the request did not reach its step")


def _ticket_holder(key: str) -> InstanceName:
    """Returns the sidecar encoded in an issued key; empty for any other key."""
    parts = key.split(".")
    if len(parts) != 4:
        return ""
    payload = parts[2] + "=" * (-len(parts[2]) % 4)
    return str(json.loads(base64.urlsafe_b64decode(payload))[1])


def _started_requests(case: ProcessCase) -> dict[str, set[str]]:
    return {name: set(case.runs(name)) for name in ("engine-1", "engine-2")}


def _count_lookups(case: ProcessCase) -> int:
    return sum(case.runs(name).get("", 0) for name in ("stock-1", "stock-2"))


# --- Checks ---


def _check_reply(case: ProcessCase, pending: PendingRequest, reply: Reply) -> None:
    """Invariants 1 and 3 for one response, and 1 at the engines that ran it."""
    request_id = reply.headers.get("x-request-id", "")
    if pending.model and request_id:
        for name in ("engine-1", "engine-2"):
            ran = set(case.runs(name).get(request_id, {}).get("models", ()))
            if ran - {pending.model}:
                case.failures.append(f"1: ran on {ran} instead of {pending.model}")
    if reply.status != 200 or not reply.is_whole:
        return
    if pending.model and reply.text() != pending.text:
        case.failures.append(f"3: wrong text of {pending.model}: {reply.text()[:80]!r}")
    if pending.model and reply.headers.get("x-model") != pending.model:
        case.failures.append(f"1: x-model {reply.headers.get('x-model')}")


def _check_not_run(
    case: ProcessCase, kind: CaseKind, target: PendingRequest, key: str, lookups: int
) -> None:
    """Invariant 4: a request reported as not run never ran."""
    reply = target.reply.result()
    if reply.run_state != "not_run":
        return
    request_id = reply.headers.get("x-request-id", "")
    if kind.is_order:
        ran = case.order_runs(_resolve_ticket(case, kind, key))
    elif kind is CaseKind.LOOKUP:
        ran = _count_lookups(case) - lookups
    else:
        ran = sum(request_id in case.runs(name) for name in ("engine-1", "engine-2"))
    if ran:
        case.failures.append(
            f"4: reported as not run, but ran {ran} times: {reply.body[:200]!r}"
        )


def _resolve_ticket(case: ProcessCase, kind: CaseKind, key: str) -> str:
    if kind is not CaseKind.CHOSEN:
        return key
    port = case.deployment.ports["object-api/port"]
    name = claim_name("team-1", key)
    path = f"/apis/fighitch.dev/v1/claims/{name}"
    data = json.loads(fetch(f"http://127.0.0.1:{port}{path}")[1] or b"{}")
    return str(data.get("spec", {}).get("ticket", ""))


def _check_repeat(
    case: ProcessCase, kind: CaseKind, key: str, first: Reply, second: Reply
) -> None:
    """Invariant 5: at most one run, after a repeat through the other entry."""
    ticket = _resolve_ticket(case, kind, key)
    runs = case.order_runs(ticket) if ticket else 0
    if runs > 1:
        case.failures.append(f"5: ran {runs} times")
    for reply in (first, second):
        if reply.status == 200 and runs != 1:
            case.failures.append(f"5: succeeded, but ran {runs} times")
    if first.status == 200 and second.status == 200 and first.body != second.body:
        case.failures.append("3: the repeat got a different response")


def _check_drained_sidecar(
    case: ProcessCase, faulted_sidecar: InstanceName, injected_at: float
) -> None:
    """Invariant 6: adapter requests sent 3 s after the stop run on other sidecars."""
    time.sleep(max(0.0, 3.0 - (time.monotonic() - injected_at)))
    for entry in (0, 1):
        pending = case.adapter(entry, f"late {entry}", streamed=False, tokens=4)
        reply = pending.reply.result()
        if reply.headers.get("x-backend-server") == faulted_sidecar:
            case.failures.append(
                f"6: {faulted_sidecar} ran a new request 3 s after its stop began"
            )
        _check_reply(case, pending, reply)


def _check_exit(case: ProcessCase, name: str) -> None:
    process = case.deployment.processes[name]
    deadline = time.monotonic() + _IDLE_TIMEOUT
    while process.is_running and time.monotonic() < deadline:
        time.sleep(_POLL_INTERVAL)
    code = process.popen.returncode if process.popen else None
    if code != 0:
        case.failures.append(f"7: {name} exited with {code}")


def _check_nothing_left(case: ProcessCase) -> None:
    """Invariant 2: pins and requests in flight return to zero."""
    is_silent = case.cell.fault == Fault.SILENT_BACKEND.value
    limit = _IDLE_TIMEOUT + (SERVICE_TIMEOUT if is_silent else 0.0)
    deadline = time.monotonic() + limit
    left: dict[str, Any] = {}
    while time.monotonic() < deadline:
        left = {
            plan.name: (status.get("pins"), status.get("in_flight"))
            for plan in case.deployment.plan.backends
            if (status := case.status(plan.name)).get("pins", 1)
            or status.get("in_flight", 1)
        }
        if not left:
            break
        time.sleep(0.2)
    if left:
        case.failures.append(f"2: pins and requests in flight remain: {left}")
    for name in ("engine-1", "engine-2"):
        counters = case.deployment.control(f"{name}-backend")["counters"]
        if counters["unloads_in_use"]:
            case.failures.append(f"2: {name} unloaded a version in use")


def _wait_settled(case: ProcessCase) -> None:
    """Waits until every entry is ready and connected to every sidecar."""
    deployment = case.deployment

    def is_settled() -> bool:
        statuses = [case.status(name) for name in deployment.entries]
        return all(
            status.get("is_ready")
            and len(status["backend_servers"]) == len(deployment.plan.backends)
            and all(
                member["is_connected"] and member["state"] == "alive"
                for member in status["backend_servers"]
            )
            for status in statuses
        )

    deployment.wait_for(is_settled, "the deployment to settle")
