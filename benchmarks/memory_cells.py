"""Runs one cell of the fault matrix on the in-memory network."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.fault_checks import check_case
from benchmarks.fault_matrix import CaseKind, Cell, Fault, Step
from benchmarks.memory_backends import SERVICE_TIMEOUT, service_response
from benchmarks.memory_changes import run_change
from benchmarks.memory_faults import FAULT_DURATION, MemoryFault
from benchmarks.memory_network import (
    BACKENDS,
    CALLER_DIGEST,
    ENTRIES,
    SIGNER,
    Exchange,
    Network,
)
from fighitch.core import effects, inputs, messages
from fighitch.types import InstanceName, RequestId, Seconds
from standins.engine_model import generated_text

TARGET_REQUEST_ID: RequestId = "target"
TOKENS = 24
_STEP_TIMEOUT: Seconds = 5.0
_END_TIMEOUT: Seconds = 90.0
_PROBE_DELAY: Seconds = 2.8
_CONNECT_DELAY: Seconds = 0.2
_TARGET_VERSION = "advisor-1@v1"
_UNLOADED_VERSION = "advisor-8@v2"


class StepNotReachedError(RuntimeError):
    """The target request did not reach the step at which the fault is injected."""


@dataclass(eq=False)
class Case:
    """A cell that runs on its own network.

    Attributes:
        cell: Cell of the fault matrix.
        network: Processes of the case.
        seen: Messages and effects that concern the target request.
        member: Sidecar with which a message about the target request was last
            exchanged.
        faulted_sidecar: Sidecar that the fault affects, or whose backend server or
            connections it affects.
        key: Idempotency key of an order; empty for other requests.
        injected_at: Time at which the fault was injected.
        cleared_at: Time at which the fault ended.
        in_flight: Requests that were in flight when the fault was injected.
        probe: Urgent order sent during the fault.
        follow_ups: Requests sent after the fault.
        failures: Violations of invariants.
        target: Request that the fault is aimed at.
    """

    cell: Cell
    network: Network
    seen: list[Any] = field(default_factory=list)
    member: InstanceName = ""
    faulted_sidecar: InstanceName = ""
    key: str = ""
    injected_at: Seconds = 0.0
    cleared_at: Seconds = 0.0
    in_flight: list[Exchange] = field(default_factory=list)
    probe: Exchange | None = None
    follow_ups: list[Exchange] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    target: Exchange | None = None

    @property
    def kind(self) -> CaseKind:
        """Kind of the target request."""
        return CaseKind(self.cell.kind)

    @property
    def step(self) -> Step:
        """Step at which the fault is injected."""
        return Step(self.cell.step)

    @property
    def fault(self) -> Fault:
        """Fault of the case."""
        return Fault(self.cell.fault)

    def has_seen(self, kind: type) -> bool:
        """Returns whether a message or effect of a type was seen for the target."""
        return any(isinstance(item, kind) for item in self.seen)

    def observe_effect(self, process: Any, effect: Any) -> None:
        """Records effects that concern the target request."""
        if isinstance(effect, effects.LoadAdapter):
            if str(effect.adapter_version) == _UNLOADED_VERSION:
                self.seen.append(effect)
        elif getattr(effect, "request_id", "") == TARGET_REQUEST_ID:
            self.seen.append(effect)

    def observe_message(
        self, connection: Any, is_to_sidecar: bool, message: Any
    ) -> list[Seconds]:
        """Records messages about the target; every message is sent once, in order."""
        if getattr(message, "request_id", "") == TARGET_REQUEST_ID:
            self.seen.append(message)
            self.member = connection.sidecar.name
        return [0.0]


def run_cell(cell: Cell, seed: int) -> list[str]:
    """Runs a cell.

    Args:
        cell: Cell to run.
        seed: Seed of every random choice.

    Returns:
        The violations; empty if every invariant held.

    Raises:
        StepNotReachedError: If the target request did not reach the step of the fault.
    """
    if cell.kind == CaseKind.CONFIGURATION.value:
        return run_change(cell, seed)
    case = prepare(cell, seed)
    run_case(case)
    return case.failures


def prepare(cell: Cell, seed: int) -> Case:
    """Starts the network of a cell and observes its effects and messages."""
    network = Network(seed)
    network.wait_until_connected()
    case = Case(cell, network)
    network.on_effect = case.observe_effect
    network.on_send = case.observe_message
    return case


def run_case(case: Case) -> None:
    """Advances the target request to its step, injects the fault, and checks."""
    network = case.network
    _start_background_requests(case)
    _advance_to_step(case)
    case.faulted_sidecar = case.member or _default_sidecar(case)
    case.injected_at = network.now
    case.in_flight = [
        exchange for exchange in network.exchanges.values() if not exchange.is_over
    ]
    fault = MemoryFault(network, case.fault, case.faulted_sidecar, case.observe_message)
    fault.inject()
    network.connect_delay = 0.0
    network.run(_PROBE_DELAY)
    case.probe = _send_order(case, "probe", "entry-2", network.issue_key("entry-2"))
    network.run(max(0.0, case.injected_at + FAULT_DURATION - network.now))
    fault.clear()
    case.cleared_at = network.now
    network.run(_END_TIMEOUT, until=lambda: _all_requests_over(network))
    network.run(6.0)
    _send_follow_ups(case)
    network.run(
        20.0, until=lambda: all(exchange.is_over for exchange in case.follow_ups)
    )
    network.run(SERVICE_TIMEOUT if case.fault is Fault.SILENT_BACKEND else 3.0)
    check_case(case)


def _all_requests_over(network: Network) -> bool:
    return all(exchange.is_over for exchange in network.exchanges.values())


# --- Requests ---


def _send_adapter_request(
    case: Case,
    request_id: RequestId,
    entry: InstanceName,
    *,
    model: str = _TARGET_VERSION,
    streamed: bool = True,
    tokens: int = TOKENS,
) -> Exchange:
    prompt = f"prompt of {request_id}"
    document = {"prompt": prompt, "max_tokens": tokens, "stream": streamed}
    request = inputs.CallerRequest(
        request_id,
        CALLER_DIGEST,
        model,
        "",
        "/v1/completions",
        json.dumps(document).encode(),
        streamed=streamed,
    )
    expected = generated_text(model, prompt, 0, tokens).encode()
    return case.network.send(request, entry, expected)


def _send_order(
    case: Case, request_id: RequestId, entry: InstanceName, key: str, content: str = ""
) -> Exchange:
    body = json.dumps({"order": content or request_id}).encode()
    request = inputs.CallerRequest(
        request_id,
        CALLER_DIGEST,
        "",
        "orders",
        "/orders",
        body,
        idempotency_key=key,
    )
    return case.network.send(request, entry, service_response(body))


def _send_lookup(case: Case, request_id: RequestId, entry: InstanceName) -> Exchange:
    body = json.dumps({"item": request_id}).encode()
    request = inputs.CallerRequest(
        request_id, CALLER_DIGEST, "", "stock", "/items", body
    )
    return case.network.send(request, entry, service_response(body))


def _start_background_requests(case: Case) -> None:
    """Sends concurrent requests, for which the invariants must hold as well.

    For the step ``queued`` they occupy the batch so that the target has to wait.
    """
    network = case.network
    warm_up_requests = [
        _send_adapter_request(
            case, f"warm-{entry}", entry, model=f"advisor-{number}@v1"
        )
        for number, entry in enumerate(ENTRIES, 1)
    ]
    network.run(
        10.0, until=lambda: all(exchange.is_over for exchange in warm_up_requests)
    )
    is_blocked = case.step is Step.QUEUED
    if is_blocked and case.kind.has_adapter:
        for number in range(8):
            _send_adapter_request(
                case, f"blocker-{number}", ENTRIES[number % 2], tokens=60
            )
    elif is_blocked and case.kind is CaseKind.LOOKUP:
        for number in range(6):
            _send_lookup(case, f"blocker-{number}", ENTRIES[number % 2])
    elif is_blocked:
        keys = [network.issue_key(ENTRIES[n % 2]) for n in range(6)]
        for number, key in enumerate(keys):
            _send_order(case, f"blocker-{number}", ENTRIES[number % 2], key)
    else:
        for number, entry in enumerate(ENTRIES):
            for model in (f"advisor-{3 + number}@v1", f"advisor-{5 + number}@v2"):
                _send_adapter_request(
                    case, f"{model}-{entry}", entry, model=model, tokens=60
                )
            _send_lookup(case, f"lookup-{entry}", entry)
    network.run(0.02)


def _send_target(case: Case) -> None:
    entry = ENTRIES[0]
    match case.kind:
        case CaseKind.STREAMED | CaseKind.WHOLE:
            case.target = _send_adapter_request(
                case,
                TARGET_REQUEST_ID,
                entry,
                model=_UNLOADED_VERSION
                if case.step is Step.WAITING_LOAD
                else _TARGET_VERSION,
                streamed=case.kind is CaseKind.STREAMED,
            )
        case CaseKind.LOOKUP:
            case.target = _send_lookup(case, TARGET_REQUEST_ID, entry)
        case _:
            case.target = _send_order(case, TARGET_REQUEST_ID, entry, case.key)


# --- Steps ---


def _advance_to_step(case: Case) -> None:
    """Sends the target request and runs until it reaches the step of the case."""
    network = case.network
    if case.kind is CaseKind.ISSUED:
        case.key = network.issue_key("entry-2")
    elif case.kind is CaseKind.CHOSEN:
        case.key = "chosen-key"
    if case.step is Step.BEFORE_CONNECT:
        _restart_entry(case)
    _send_target(case)
    if case.step is Step.BEFORE_CONNECT:
        return
    if not network.run(_STEP_TIMEOUT, until=_step_condition(case)):
        raise StepNotReachedError(case.cell.name)
    if case.step is Step.QUEUED:
        network.run(0.005)
        if case.has_seen(effects.CallBackend):
            raise StepNotReachedError(f"{case.cell.name}: the request was not queued")
    if case.step is Step.RUNNING:
        network.run(0.003)


def _step_condition(case: Case) -> Callable[[], bool]:
    target = case.target
    assert target is not None
    match case.step:
        case Step.CLAIMING:
            return lambda: case.has_seen(effects.CreateClaim)
        case Step.QUEUED:
            return lambda: case.has_seen(messages.Submit)
        case Step.WAITING_LOAD:
            return lambda: case.has_seen(effects.LoadAdapter)
        case Step.RUNNING:
            return lambda: case.has_seen(effects.CallBackend)
        case Step.HALF_WAY:
            return lambda: _generated_tokens(case) >= TOKENS // 2
        case Step.ANSWERING:
            return lambda: case.has_seen(messages.End)
        case _:
            return lambda: target.is_over


def _generated_tokens(case: Case) -> int:
    runs = [
        run.index
        for backend in case.network.backends.values()
        for run in backend.open.values()
        if run.call.request_id == TARGET_REQUEST_ID
    ]
    return max(runs, default=0)


def _restart_entry(case: Case) -> None:
    """Restarts the caller's entry so that it is ready but not yet connected."""
    network = case.network
    network.connect_delay = _CONNECT_DELAY
    network.kill(ENTRIES[0])
    process = network.start(ENTRIES[0])
    if not network.run(_STEP_TIMEOUT, until=lambda: process.core.is_ready):
        raise StepNotReachedError(case.cell.name)


def _default_sidecar(case: Case) -> InstanceName:
    if case.kind is CaseKind.ISSUED:
        for plan in BACKENDS:
            process = case.network.processes[plan.name]
            if plan.service == "orders" and _is_ticket_holder(case.key, process):
                return plan.name
    return {"lookup": "stock-1", "issued": "orders-1", "chosen": "orders-1"}.get(
        case.cell.kind, "engine-1"
    )


def _is_ticket_holder(key: str, process: Any) -> bool:
    ticket = SIGNER.verify(key)
    return bool(ticket.is_ok() and ticket.ok.instance == process.name)


def _send_follow_ups(case: Case) -> None:
    """Repeats an order through the other entry and sends new requests to both."""
    if case.kind.is_order:
        case.follow_ups.append(
            _send_order(case, "repeat", "entry-2", case.key, TARGET_REQUEST_ID)
        )
    for entry in ENTRIES:
        if case.network.processes[entry].is_alive:
            case.follow_ups.append(_send_adapter_request(case, f"after-{entry}", entry))
            case.follow_ups.append(_send_lookup(case, f"after-lookup-{entry}", entry))
            for number in range(2):
                key = case.network.issue_key(entry)
                name = f"after-order-{number}-{entry}"
                case.follow_ups.append(_send_order(case, name, entry, key))
