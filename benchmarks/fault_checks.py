"""Checks the invariants of a case against what callers and backend servers observed."""

from typing import TYPE_CHECKING

from benchmarks.fault_matrix import Fault
from benchmarks.memory_network import Exchange, Network
from fighitch.core.errors import RunState
from fighitch.types import Seconds

if TYPE_CHECKING:
    from benchmarks.memory_cells import Case

OK = 200
DRAIN_NOTICE: Seconds = 3.0
PLANNED_STOPS = (Fault.STOP_ENTRY, Fault.STOP_SIDECAR)


def check_case(case: "Case") -> None:
    """Checks every invariant and adds each violation to ``case.failures``."""
    network = case.network
    for exchange in network.exchanges.values():
        _check_response(case, exchange)
        _check_not_run(case, exchange)
    _check_orders(case)
    for backend in network.backends.values():
        if backend.unloads_in_use:
            case.failures.append(f"2: {backend.name} unloaded a version in use")
    _check_planned_stop(case)
    _check_urgent_requests(case)
    _check_nothing_left(case)


def _add_failure(case: "Case", exchange: Exchange, problem: str) -> None:
    case.failures.append(f"{problem} (request {exchange.request.request_id!r})")


def _check_response(case: "Case", exchange: Exchange) -> None:
    """Invariants 1 and 3: correct version, response of this request, complete."""
    request = exchange.request
    if not exchange.is_over:
        _add_failure(case, exchange, "3: the response did not end")
        return
    expected = exchange.expected or b""
    if not expected.startswith(b"".join(exchange.parts)):
        _add_failure(
            case, exchange, "3: received data is not a prefix of the expected response"
        )
    ran = set().union(
        *(
            backend.models.get(request.request_id, set())
            for backend in case.network.backends.values()
        )
    )
    if ran - {request.model}:
        _add_failure(
            case, exchange, f"1: ran on {sorted(ran)} instead of {request.model!r}"
        )
    if exchange.ended is None or exchange.ended.status != OK:
        return
    if exchange.body != expected:
        _add_failure(case, exchange, f"3: {exchange.body!r} instead of {expected!r}")
    if exchange.ended.model != request.model:
        _add_failure(case, exchange, f"1: response names {exchange.ended.model!r}")


def _check_not_run(case: "Case", exchange: Exchange) -> None:
    """Invariant 4: a request reported as not run never ran."""
    if exchange.failed is None:
        return
    if exchange.failed.failure.run_state is not RunState.NOT_RUN:
        return
    key = exchange.request.idempotency_key
    same_key = [
        one
        for one in case.network.exchanges.values()
        if one.request.idempotency_key == key
    ]
    if not key or len(same_key) == 1:
        if case.network.count_runs(exchange.request):
            _add_failure(case, exchange, "4: reported as not run, but ran")
        return
    if exchange is same_key[0] and exchange.runs_at_failure:
        _add_failure(case, exchange, "4: reported as not run, but had run")


def _check_orders(case: "Case") -> None:
    """Invariant 5: at most one run for each idempotency key."""
    network = case.network
    for exchange in network.exchanges.values():
        if not exchange.request.idempotency_key:
            continue
        runs = network.count_runs(exchange.request)
        if runs > 1:
            _add_failure(case, exchange, f"5: ran {runs} times")
        is_done = exchange.ended is not None and exchange.ended.status == OK
        if is_done and runs != 1:
            _add_failure(case, exchange, f"5: succeeded, but ran {runs} times")


def _check_planned_stop(case: "Case") -> None:
    """Invariants 6 and 7: no new requests after the drain notice, none cut off."""
    if case.fault not in PLANNED_STOPS:
        return
    for exchange in case.in_flight:
        if exchange.ended is None or exchange.ended.status != OK:
            _add_failure(
                case, exchange, f"7: cut off by a planned stop: {exchange.failed}"
            )
    if case.fault is not Fault.STOP_SIDECAR:
        return
    known = {one.request.request_id for one in case.in_flight}
    for at, request_id in case.network.backends[case.faulted_sidecar].call_starts:
        if at > case.injected_at + DRAIN_NOTICE and request_id not in known:
            case.failures.append(
                f"6: {request_id!r} began {at - case.injected_at:.1f} s after the stop"
            )


def _check_urgent_requests(case: "Case") -> None:
    """Urgent requests are served while a healthy backend server remains."""
    if case.fault is Fault.REORDERED:
        return
    probe = case.probe
    if probe is None or probe.ended is None or probe.ended.status != OK:
        failed = probe.failed.failure if probe and probe.failed else None
        case.failures.append(
            f"urgent: the order sent during the fault failed: {failed}"
        )
    for exchange in case.follow_ups:
        if exchange.request.request_id == "repeat":
            continue
        if exchange.ended is None or exchange.ended.status != OK:
            _add_failure(case, exchange, f"after the fault: {exchange.failed}")


def _check_nothing_left(case: "Case") -> None:
    """No pins, requests in flight or unfinished drains remain after the case."""
    network: Network = case.network
    for process in network.processes.values():
        if not process.is_alive:
            continue
        if process.name.startswith("entry"):
            status = process.core.status(now=network.now)
            if status.in_flight:
                case.failures.append(
                    f"rest: {process.name} has {status.in_flight} in flight"
                )
        elif process.core.pins or process.core.in_flight:
            case.failures.append(
                f"2: {process.name} still has {process.core.pins} pins and "
                f"{process.core.in_flight} requests in flight"
            )
        if process.core.status(now=network.now).is_draining:
            case.failures.append(f"7: {process.name} did not complete its drain")
