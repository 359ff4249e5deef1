"""What callers and backend servers of a case must have seen."""

from typing import TYPE_CHECKING

from benchmarks.fault_plan import Fault
from benchmarks.memory_network import Exchange, Network
from fighitch.core.errors import RunState
from fighitch.types import Seconds

if TYPE_CHECKING:
    from benchmarks.memory_cells import Case

OK = 200
NOTICE: Seconds = 3.0
PLANNED_STOPS = (Fault.STOP_ENTRY, Fault.STOP_SIDECAR)


def check_case(case: "Case") -> None:
    """Checks every invariant and adds what did not hold to the case."""
    network = case.network
    for exchange in network.exchanges.values():
        _check_answer(case, exchange)
        _check_not_run(case, exchange)
    _check_orders(case)
    for backend in network.backends.values():
        if backend.unloads_in_use:
            case.failures.append(f"2: {backend.name} unloaded a version in use")
    _check_stop(case)
    _check_urgent(case)
    _check_rest(case)


def _fail(case: "Case", exchange: Exchange, problem: str) -> None:
    case.failures.append(f"{problem} (request {exchange.request.request_id!r})")


def _check_answer(case: "Case", exchange: Exchange) -> None:
    """Invariants 1 and 3: right version, own request, whole answer."""
    request = exchange.request
    if not exchange.is_over:
        _fail(case, exchange, "3: no end of the answer")
        return
    expected = exchange.expected or b""
    if not expected.startswith(b"".join(exchange.parts)):
        _fail(case, exchange, "3: parts that do not belong to the answer")
    ran = set().union(
        *(
            backend.models.get(request.request_id, set())
            for backend in case.network.backends.values()
        )
    )
    if ran - {request.model}:
        _fail(case, exchange, f"1: ran on {sorted(ran)} instead of {request.model!r}")
    if exchange.ended is None or exchange.ended.status != OK:
        return
    if exchange.body != expected:
        _fail(case, exchange, f"3: {exchange.body!r} instead of {expected!r}")
    if exchange.ended.model != request.model:
        _fail(case, exchange, f"1: {exchange.ended.model!r}")


def _check_not_run(case: "Case", exchange: Exchange) -> None:
    """Invariant 4: what was reported as not run was never run."""
    if exchange.failed is None:
        return
    if exchange.failed.failure.run_state is not RunState.NOT_RUN:
        return
    key = exchange.request.idempotency_key
    same = [
        one
        for one in case.network.exchanges.values()
        if one.request.idempotency_key == key
    ]
    if not key or len(same) == 1:
        if case.network.count_runs(exchange.request):
            _fail(case, exchange, "4: reported as not run, but ran")
        return
    if exchange is same[0] and exchange.runs_at_failure:
        _fail(case, exchange, "4: reported as not run, but had run")


def _check_orders(case: "Case") -> None:
    """Invariant 5: at most one run for each key."""
    network = case.network
    for exchange in network.exchanges.values():
        if not exchange.request.idempotency_key:
            continue
        runs = network.count_runs(exchange.request)
        if runs > 1:
            _fail(case, exchange, f"5: ran {runs} times")
        is_done = exchange.ended is not None and exchange.ended.status == OK
        if is_done and runs != 1:
            _fail(case, exchange, f"5: answered but ran {runs} times")


def _check_stop(case: "Case") -> None:
    """Invariants 6 and 7: no new work after the notice, nothing cut off."""
    if case.fault not in PLANNED_STOPS:
        return
    for exchange in case.in_flight:
        if exchange.ended is None or exchange.ended.status != OK:
            _fail(case, exchange, f"7: cut off by a planned stop: {exchange.failed}")
    if case.fault is not Fault.STOP_SIDECAR:
        return
    known = {one.request.request_id for one in case.in_flight}
    for at, request_id in case.network.backends[case.faulted_sidecar].call_starts:
        if at > case.injected_at + NOTICE and request_id not in known:
            case.failures.append(
                f"6: {request_id!r} began {at - case.injected_at:.1f} s"
            )


def _check_urgent(case: "Case") -> None:
    """Urgent work is served where a healthy backend server remains."""
    if case.fault is Fault.REORDERED:
        return
    probe = case.probe
    if probe is None or probe.ended is None or probe.ended.status != OK:
        failed = probe.failed.failure if probe and probe.failed else None
        case.failures.append(f"urgent: the order during the fault got {failed}")
    for exchange in case.follow_ups:
        if exchange.request.request_id == "repeat":
            continue
        if exchange.ended is None or exchange.ended.status != OK:
            _fail(case, exchange, f"after the fault: {exchange.failed}")


def _check_rest(case: "Case") -> None:
    """Nothing is left over: pins, requests in flight, processes that should end."""
    network: Network = case.network
    for process in network.processes.values():
        if not process.is_alive:
            continue
        if process.name.startswith("entry"):
            status = process.core.status(now=network.now)
            if status.in_flight:
                case.failures.append(f"rest: {process.name} has {status.in_flight}")
        elif process.core.pins or process.core.in_flight:
            case.failures.append(
                f"2: {process.name} keeps {process.core.pins} pins and "
                f"{process.core.in_flight} requests"
            )
        if process.core.status(now=network.now).is_draining:
            case.failures.append(f"7: {process.name} did not end its drain")
