"""Measures how the costs of decisions and of their records grow with their size."""

import hashlib
import itertools
import random
from collections.abc import Sequence

from benchmarks.core_run import ADAPTER_COUNTS, SERVER_COUNTS, build_indexes
from benchmarks.fleet_sample import adapters, callers, rules, servers
from benchmarks.microbenchmark import (
    MICROSECONDS_PER_SECOND,
    allocated_bytes,
    measure_slope,
    processor_time,
)
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
_ROUTED_TARGETS = 200
_LOOKUP_KEYS = 500
_RANKS = 3
_FIRST_UNUSED_NUMBER = 10_000


def measure() -> list[Slope]:
    """Measures every slope of this module."""
    return [
        measure_slope(
            "routing decision", "backend server", "µs", SERVER_COUNTS, _routing_time
        ),
        measure_slope(
            "first routing decision for an adapter",
            "backend server",
            "µs",
            SERVER_COUNTS,
            _first_routing_time,
        ),
        measure_slope(
            "memory of routing rankings",
            "adapter in use",
            "bytes",
            PARTITION_COUNTS,
            _ranking_memory,
        ),
        measure_slope(
            "admitting, dispatching and finishing a request",
            "waiting request",
            "µs",
            QUEUE_LENGTHS,
            _admission_time,
        ),
        measure_slope(
            "authenticating a caller and finding an adapter",
            "adapter",
            "µs",
            ADAPTER_COUNTS,
            _lookup_time,
        ),
        measure_slope(
            "memory of the order ledger, answers of 200 bytes",
            "order",
            "bytes",
            ORDER_COUNTS,
            lambda count: allocated_bytes(lambda: _build_ledger(count)),
        ),
        measure_slope(
            "memory of the audit log",
            "record",
            "bytes",
            RECORD_COUNTS,
            lambda count: allocated_bytes(lambda: _build_audit_log(count)),
        ),
        measure_slope(
            "appending an audit record",
            "record kept",
            "µs",
            RECORD_COUNTS,
            _append_time,
        ),
    ]


def _build_router(count: int) -> Router:
    _, indexes, members = build_indexes([*servers(count), *rules()])
    return Router(
        availability_zone="zone-0",
        region="region-0",
        members=members,
        indexes=indexes,
        settings=EntrySettings(),
        rng=random.Random(1),
    )


def _build_targets(count: int) -> list[Target]:
    names = [AdapterVersion(f"adapter-{number}", "v1") for number in range(count)]
    return [Target("base-0", name, "", ({"work": "question"},)) for name in names]


def _route(router: Router, targets: Sequence[Target]) -> None:
    for target in targets:
        router.choose(target, rank=1, now=0.0)


def _routing_time(count: int) -> float:
    router, targets = _build_router(count), _build_targets(_ROUTED_TARGETS)
    _route(router, targets)
    repeated = itertools.cycle(targets)
    return (
        processor_time(lambda: router.choose(next(repeated), rank=1, now=0.1))
        * MICROSECONDS_PER_SECOND
    )


def _first_routing_time(count: int) -> float:
    """Returns the time of a decision that first has to rank the backend servers."""
    router, targets = _build_router(count), iter(_build_targets(_ROUTED_TARGETS + 1))
    _route(router, [next(targets)])
    return (
        processor_time(
            lambda: router.choose(next(targets), rank=1, now=0.1),
            rounds=_ROUTED_TARGETS // 5,
        )
        * MICROSECONDS_PER_SECOND
    )


def _ranking_memory(count: int) -> float:
    router, targets = _build_router(SERVER_COUNTS[-1]), _build_targets(count)
    _route(router, targets[:1])
    return allocated_bytes(lambda: _route(router, targets))


def _admission_time(length: int) -> float:
    policies = {rank: RankPolicy(queue_limit=1_024) for rank in range(_RANKS)}
    queue = AdmissionQueue(batch_size=1, policies=policies)
    version = AdapterVersion("adapter", "v1")
    queue.set_ready(version, True)
    for number in range(length):
        queue.admit(_build_work(number, version), now=0.0)
    numbers = itertools.count(_FIRST_UNUSED_NUMBER)

    def process_one() -> None:
        queue.admit(_build_work(next(numbers), version), now=0.0)
        work = queue.pop(now=0.0)
        if work is not None:
            queue.release(work)

    return processor_time(process_one) * MICROSECONDS_PER_SECOND


def _build_work(number: int, version: AdapterVersion) -> WorkItem:
    return WorkItem(number, f"caller-{number % 40}", number % _RANKS, version, 1e9, 0.0)


def _lookup_time(count: int) -> float:
    _, indexes, _ = build_indexes([*adapters(count), *callers(count), *rules()])
    lookups = itertools.cycle(
        (hashlib.sha256(str(number).encode()).hexdigest(), f"adapter-{number:05d}")
        for number in range(_LOOKUP_KEYS)
    )

    def look_up() -> None:
        digest, adapter = next(lookups)
        indexes.authenticate(digest)
        indexes.target(model=adapter, service="")

    return processor_time(look_up) * MICROSECONDS_PER_SECOND


def _build_ledger(count: int) -> OrderLedger:
    ledger = OrderLedger("sidecar", 1, max_bytes=2**30, max_outcome_bytes=65_536)
    for number in range(count):
        caller = f"caller-{number % 40}"
        ticket = Ticket(caller, "sidecar", 1, 0, f"{number:032x}")
        ledger.submit(ticket, body_digest=f"{number:064x}", number=number)
        ledger.dispatched(ticket)
        ledger.finish(ticket, Outcome(200, number.to_bytes(200, "big")))
    return ledger


def _build_audit_log(count: int) -> AuditLog:
    log = AuditLog("entry-001", 2**62, capacity=count)
    for number in range(count):
        _append_record(log, number)
    return log


def _append_time(count: int) -> float:
    log, numbers = _build_audit_log(count), itertools.count(count)
    return (
        processor_time(lambda: _append_record(log, next(numbers)))
        * MICROSECONDS_PER_SECOND
    )


def _append_record(log: AuditLog, number: int) -> None:
    log.append(
        "request_routed",
        at=float(number),
        request_id=f"entry-001.4000000000000000.{number // 4}",
        cause="first within bound",
        fields=(("member", f"engine-{number % 100:04d}"), ("rank", 1)),
    )
