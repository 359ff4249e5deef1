"""Slopes of decisions and of the records that they leave."""

import hashlib
import itertools
import random
from collections.abc import Sequence

from benchmarks.core_run import ADAPTER_COUNTS, SERVER_COUNTS, indexed
from benchmarks.fleet_sample import adapters, callers, rules, servers
from benchmarks.measuring import MICRO, allocated, processor_time, slope
from benchmarks.slopes import Slope
from fighitch.core.audit import AuditLog
from fighitch.core.entry.indexes import Target
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.messages import AdapterVersion
from fighitch.core.sidecar.admission import AdmissionQueue, RankPolicy
from fighitch.core.sidecar.ledger import OrderLedger, Outcome
from fighitch.core.sidecar.rank_queue import WorkItem
from fighitch.core.tickets import Ticket

PARTITION_COUNTS = (32, 64, 128, 256)
QUEUE_LENGTHS = (1, 16, 64, 250)
ORDER_COUNTS = (100, 1_000, 4_000, 16_000)
RECORD_COUNTS = (1_000, 4_000, 10_000, 20_000)
_ROUTED = 200
_KNOWN = 500
_RANKS = 3
_FIRST_FREE_NUMBER = 10_000


def measure() -> list[Slope]:
    """Measures every slope of this module."""
    return [
        slope("routing decision", "backend server", "µs", SERVER_COUNTS, _routing_time),
        slope(
            "first routing decision for an adapter",
            "backend server",
            "µs",
            SERVER_COUNTS,
            _first_routing_time,
        ),
        slope(
            "memory of routing rankings",
            "adapter in use",
            "bytes",
            PARTITION_COUNTS,
            _ranking_bytes,
        ),
        slope(
            "admitting, dispatching and finishing a request",
            "waiting request",
            "µs",
            QUEUE_LENGTHS,
            _admission_time,
        ),
        slope(
            "authenticating a caller and finding an adapter",
            "adapter",
            "µs",
            ADAPTER_COUNTS,
            _lookup_time,
        ),
        slope(
            "memory of the order ledger, answers of 200 bytes",
            "order",
            "bytes",
            ORDER_COUNTS,
            lambda count: allocated(lambda: _ledger(count)),
        ),
        slope(
            "memory of the audit log",
            "record",
            "bytes",
            RECORD_COUNTS,
            lambda count: allocated(lambda: _audit(count)),
        ),
        slope(
            "appending an audit record", "record kept", "µs", RECORD_COUNTS, _audit_time
        ),
    ]


def _router(count: int) -> Router:
    _, indexes, members = indexed([*servers(count), *rules()])
    return Router(
        availability_zone="zone-0",
        region="region-0",
        members=members,
        indexes=indexes,
        settings=EntrySettings(),
        rng=random.Random(1),
    )


def _targets(count: int) -> list[Target]:
    names = [AdapterVersion(f"adapter-{number}", "v1") for number in range(count)]
    return [Target("base-0", name, "", ({"work": "question"},)) for name in names]


def _route(router: Router, targets: Sequence[Target]) -> None:
    for target in targets:
        router.choose(target, rank=1, now=0.0)


def _routing_time(count: int) -> float:
    router, targets = _router(count), _targets(_ROUTED)
    _route(router, targets)
    again = itertools.cycle(targets)
    return processor_time(lambda: router.choose(next(again), rank=1, now=0.1)) * MICRO


def _first_routing_time(count: int) -> float:
    """Returns the cost of a decision that has to rank the backend servers."""
    router, targets = _router(count), iter(_targets(_ROUTED + 1))
    _route(router, [next(targets)])
    return (
        processor_time(
            lambda: router.choose(next(targets), rank=1, now=0.1), rounds=_ROUTED // 5
        )
        * MICRO
    )


def _ranking_bytes(count: int) -> float:
    router, targets = _router(SERVER_COUNTS[-1]), _targets(count)
    _route(router, targets[:1])
    return allocated(lambda: _route(router, targets))


def _admission_time(length: int) -> float:
    policies = {rank: RankPolicy(queue_limit=1_024) for rank in range(_RANKS)}
    queue = AdmissionQueue(batch_size=1, policies=policies)
    version = AdapterVersion("adapter", "v1")
    queue.set_ready(version, True)
    for number in range(length):
        queue.admit(_work(number, version), now=0.0)
    numbers = itertools.count(_FIRST_FREE_NUMBER)

    def one() -> None:
        queue.admit(_work(next(numbers), version), now=0.0)
        work = queue.pop(now=0.0)
        if work is not None:
            queue.release(work)

    return processor_time(one) * MICRO


def _work(number: int, version: AdapterVersion) -> WorkItem:
    return WorkItem(number, f"caller-{number % 40}", number % _RANKS, version, 1e9, 0.0)


def _lookup_time(count: int) -> float:
    _, indexes, _ = indexed([*adapters(count), *callers(count), *rules()])
    known = itertools.cycle(
        (hashlib.sha256(str(number).encode()).hexdigest(), f"adapter-{number:05d}")
        for number in range(_KNOWN)
    )

    def one() -> None:
        digest, adapter = next(known)
        indexes.authenticate(digest)
        indexes.target(model=adapter, service="")

    return processor_time(one) * MICRO


def _ledger(count: int) -> OrderLedger:
    ledger = OrderLedger("sidecar", 1, max_bytes=2**30, max_outcome_bytes=65_536)
    for number in range(count):
        caller = f"caller-{number % 40}"
        ticket = Ticket(caller, "sidecar", 1, 0, f"{number:032x}")
        ledger.submit(ticket, body_digest=f"{number:064x}", number=number)
        ledger.dispatched(ticket)
        ledger.finish(ticket, Outcome(200, number.to_bytes(200, "big")))
    return ledger


def _audit(count: int) -> AuditLog:
    log = AuditLog("entry-001", 2**62, capacity=count)
    for number in range(count):
        _append(log, number)
    return log


def _audit_time(count: int) -> float:
    log, numbers = _audit(count), itertools.count(count)
    return processor_time(lambda: _append(log, next(numbers))) * MICRO


def _append(log: AuditLog, number: int) -> None:
    log.append(
        "request_routed",
        at=float(number),
        request_id=f"entry-001.4000000000000000.{number // 4}",
        cause="first within bound",
        fields=(("member", f"engine-{number % 100:04d}"), ("rank", 1)),
    )
