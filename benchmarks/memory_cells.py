"""Runs one cell of the fault matrix on the in-memory network."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.fault_checks import check_case
from benchmarks.fault_plan import Cell, Fault, Kind, Step
from benchmarks.memory_backends import SERVICE_TIMEOUT, service_answer
from benchmarks.memory_changes import run_change
from benchmarks.memory_faults import HOLD, MemoryFault
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

TARGET: RequestId = "target"
TOKENS = 24
_STEP_TIMEOUT: Seconds = 5.0
_END_TIMEOUT: Seconds = 90.0
_PROBE_AFTER: Seconds = 2.8
_DIAL: Seconds = 0.2
_NAMED = "advisor-1@v1"
_UNLOADED = "advisor-8@v2"


class StepNotReachedError(RuntimeError):
    """A case did not come to the step at which its fault strikes."""


@dataclass(eq=False)
class Case:
    """A cell that is being run.

    Attributes:
        cell: What is run.
        network: Processes of the case.
        seen: Messages and effects about the target request.
        member: Backend server that the target request was last sent to.
        faulted_sidecar: Backend server that the fault strikes.
        injected_at: Time of the fault.
        cleared_at: Time of its end.
        in_flight: Requests that were in flight at the fault.
        probe: Urgent order during the fault.
        failures: Invariants that did not hold.
        target: Request of the case.
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
    def kind(self) -> Kind:
        """Kind of request."""
        return Kind(self.cell.kind)

    @property
    def step(self) -> Step:
        """Step at which the fault strikes."""
        return Step(self.cell.step)

    @property
    def fault(self) -> Fault:
        """The fault."""
        return Fault(self.cell.fault)

    def has_seen(self, kind: type) -> bool:
        """Returns whether a message or effect about the target was seen."""
        return any(isinstance(item, kind) for item in self.seen)

    def observe_effect(self, process: Any, effect: Any) -> None:
        """Notes calls and commands of sidecars."""
        if isinstance(effect, effects.LoadAdapter):
            if str(effect.adapter_version) == _UNLOADED:
                self.seen.append(effect)
        elif getattr(effect, "request_id", "") == TARGET:
            self.seen.append(effect)

    def observe_message(
        self, connection: Any, is_to_sidecar: bool, message: Any
    ) -> list[Seconds]:
        """Notes messages about the target; every message is sent once, in order."""
        if getattr(message, "request_id", "") == TARGET:
            self.seen.append(message)
            self.member = connection.sidecar.name
        return [0.0]


def run_cell(cell: Cell, seed: int) -> list[str]:
    """Runs a cell.

    Args:
        cell: What to run.
        seed: Seed of every random choice.

    Returns:
        What was wrong; empty if every invariant held.

    Raises:
        StepNotReachedError: If the fault had no chance to strike at its step.
    """
    if cell.kind == Kind.CONFIGURATION.value:
        return run_change(cell, seed)
    case = prepare(cell, seed)
    run_case(case)
    return case.failures


def prepare(cell: Cell, seed: int) -> Case:
    """Starts the processes of a cell."""
    network = Network(seed)
    network.settle()
    case = Case(cell, network)
    network.on_effect = case.observe_effect
    network.on_send = case.observe_message
    return case


def run_case(case: Case) -> None:
    """Brings the request to its step, strikes, waits and checks."""
    network = case.network
    _start_bystanders(case)
    _reach(case)
    case.faulted_sidecar = case.member or _default_member(case)
    case.injected_at = network.now
    case.in_flight = [one for one in network.exchanges.values() if not one.is_over]
    fault = MemoryFault(network, case.fault, case.faulted_sidecar, case.observe_message)
    fault.strike()
    network.dial_delay = 0.0
    network.run(_PROBE_AFTER)
    case.probe = _order(case, "probe", "entry-2", network.issue_key("entry-2"))
    network.run(max(0.0, case.injected_at + HOLD - network.now))
    fault.clear()
    case.cleared_at = network.now
    network.run(_END_TIMEOUT, until=lambda: _is_quiet(network))
    network.run(6.0)
    _repeat(case)
    network.run(20.0, until=lambda: all(one.is_over for one in case.follow_ups))
    network.run(SERVICE_TIMEOUT if case.fault is Fault.SILENT_BACKEND else 3.0)
    check_case(case)


def _is_quiet(network: Network) -> bool:
    return all(one.is_over for one in network.exchanges.values())


# --- Requests ---


def _adapter(
    case: Case,
    request_id: RequestId,
    entry: InstanceName,
    *,
    model: str = _NAMED,
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


def _order(
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
    return case.network.send(request, entry, service_answer(body))


def _lookup(case: Case, request_id: RequestId, entry: InstanceName) -> Exchange:
    body = json.dumps({"item": request_id}).encode()
    request = inputs.CallerRequest(
        request_id, CALLER_DIGEST, "", "stock", "/items", body
    )
    return case.network.send(request, entry, service_answer(body))


def _start_bystanders(case: Case) -> None:
    """Sends requests of other callers, which the fault may not harm either."""
    network = case.network
    warm = [
        _adapter(case, f"warm-{entry}", entry, model=f"advisor-{number}@v1")
        for number, entry in enumerate(ENTRIES, 1)
    ]
    network.run(10.0, until=lambda: all(one.is_over for one in warm))
    is_blocked = case.step is Step.QUEUED
    if is_blocked and case.kind.has_adapter:
        for number in range(8):
            _adapter(case, f"blocker-{number}", ENTRIES[number % 2], tokens=60)
    elif is_blocked and case.kind is Kind.LOOKUP:
        for number in range(6):
            _lookup(case, f"blocker-{number}", ENTRIES[number % 2])
    elif is_blocked:
        keys = [network.issue_key(ENTRIES[n % 2]) for n in range(6)]
        for number, key in enumerate(keys):
            _order(case, f"blocker-{number}", ENTRIES[number % 2], key)
    else:
        for number, entry in enumerate(ENTRIES):
            for model in (f"advisor-{3 + number}@v1", f"advisor-{5 + number}@v2"):
                _adapter(case, f"{model}-{entry}", entry, model=model, tokens=60)
            _lookup(case, f"lookup-{entry}", entry)
    network.run(0.02)


def _send_target(case: Case) -> None:
    entry = ENTRIES[0]
    match case.kind:
        case Kind.STREAMED | Kind.WHOLE:
            case.target = _adapter(
                case,
                TARGET,
                entry,
                model=_UNLOADED if case.step is Step.WAITING_LOAD else _NAMED,
                streamed=case.kind is Kind.STREAMED,
            )
        case Kind.LOOKUP:
            case.target = _lookup(case, TARGET, entry)
        case _:
            case.target = _order(case, TARGET, entry, case.key)


# --- Steps ---


def _reach(case: Case) -> None:
    """Sends the target request and stops at the step of the case."""
    network = case.network
    if case.kind is Kind.ISSUED:
        case.key = network.issue_key("entry-2")
    elif case.kind is Kind.CHOSEN:
        case.key = "chosen-key"
    if case.step is Step.BEFORE_CONNECT:
        _restart_entry(case)
    _send_target(case)
    if case.step is Step.BEFORE_CONNECT:
        return
    if not network.run(_STEP_TIMEOUT, until=_condition(case)):
        raise StepNotReachedError(case.cell.name)
    if case.step is Step.QUEUED:
        network.run(0.005)
        if case.has_seen(effects.CallBackend):
            raise StepNotReachedError(f"{case.cell.name}: not queued")
    if case.step is Step.RUNNING:
        network.run(0.003)


def _condition(case: Case) -> Callable[[], bool]:
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
            return lambda: _generated(case) >= TOKENS // 2
        case Step.ANSWERING:
            return lambda: case.has_seen(messages.End)
        case _:
            return lambda: target.is_over


def _generated(case: Case) -> int:
    runs = [
        run.index
        for backend in case.network.backends.values()
        for run in backend.open.values()
        if run.call.request_id == TARGET
    ]
    return max(runs, default=0)


def _restart_entry(case: Case) -> None:
    """Leaves the caller's entry with a configuration but without connections."""
    network = case.network
    network.dial_delay = _DIAL
    network.kill(ENTRIES[0])
    process = network.start(ENTRIES[0])
    if not network.run(_STEP_TIMEOUT, until=lambda: process.core.is_ready):
        raise StepNotReachedError(case.cell.name)


def _default_member(case: Case) -> InstanceName:
    if case.kind is Kind.ISSUED:
        for plan in BACKENDS:
            process = case.network.processes[plan.name]
            if plan.service == "orders" and _is_bound(case.key, process):
                return plan.name
    return {"lookup": "stock-1", "issued": "orders-1", "chosen": "orders-1"}.get(
        case.cell.kind, "engine-1"
    )


def _is_bound(key: str, process: Any) -> bool:
    ticket = SIGNER.verify(key)
    return bool(ticket.is_ok() and ticket.ok.instance == process.name)


def _repeat(case: Case) -> None:
    """Repeats the request through the other entry, and asks both for new work."""
    if case.kind.is_order:
        case.follow_ups.append(_order(case, "repeat", "entry-2", case.key, TARGET))
    for entry in ENTRIES:
        if case.network.processes[entry].is_alive:
            case.follow_ups.append(_adapter(case, f"after-{entry}", entry))
            case.follow_ups.append(_lookup(case, f"after-lookup-{entry}", entry))
            for number in range(2):
                key = case.network.issue_key(entry)
                name = f"after-order-{number}-{entry}"
                case.follow_ups.append(_order(case, name, entry, key))
