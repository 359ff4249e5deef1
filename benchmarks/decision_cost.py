"""Measures routing decisions in a small and a large fleet, and admission decisions."""

import random
import time
from collections.abc import Callable
from dataclasses import replace
from statistics import median

from benchmarks.workload import (
    ASSOCIATION,
    PROFILES,
    REGION,
    adapter_name,
    build_configuration,
    engine_name,
)
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.entry.indexes import Indexes
from fighitch.core.entry.membership import Members
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.messages import AdapterVersion, Heartbeat, LoadReport
from fighitch.core.resources import Kind
from fighitch.core.sidecar.admission import AdmissionQueue, RankPolicy
from fighitch.core.sidecar.rank_queue import WorkItem

SMALL_FLEET = (3_000, 9)
LARGE_FLEET = (22_000, 6_400)
_DECISIONS = 2_000
_ROUNDS = 5
_QUEUED = 128
_MICROSECONDS = 1e6


def decision_costs() -> dict[str, float]:
    """Returns the median time of each kind of decision, in microseconds."""
    costs = {}
    for adapters, engines in (SMALL_FLEET, LARGE_FLEET):
        costs[f"routing, {adapters} adapters, {engines} engines"] = _routing_time(
            adapters, engines
        )
    for queued in (0, _QUEUED):
        costs[f"admission, {queued} waiting"] = _admission_time(queued)
    return costs


def _routing_time(adapters: int, engines: int) -> float:
    deployment = replace(ASSOCIATION, adapters=adapters, engines=engines)
    store = ConfigurationStore()
    store.merge(build_configuration(deployment), revision=1)
    indexes = Indexes(store)
    indexes.refresh()
    rng = random.Random(0)
    settings = EntrySettings()
    members = Members(settings=settings, rng=rng)
    members.sync(store.of_kind(Kind.BACKEND_SERVER))
    report = LoadReport((1, 2, 3), (0, 0, 1), 16, frozenset())
    for index in range(engines):
        member = members.get(engine_name(index))
        if member is not None:
            members.on_opened(member, 1)
            members.apply_heartbeat(member, Heartbeat(1, load=report))
    router = Router(
        availability_zone="z1",
        region=REGION,
        members=members,
        indexes=indexes,
        settings=settings,
        rng=rng,
    )
    names = [adapter_name(rng.randrange(adapters)) for _ in range(_DECISIONS)]
    targets = [indexes.target(model=name, service="").ok for name in names]

    def decide() -> None:
        for position, target in enumerate(targets):
            router.choose(target, rank=1, now=position * 1e-3)

    return _median_time(decide, _DECISIONS)


def _admission_time(queued: int) -> float:
    policies = {
        rank: RankPolicy(floor=profile.floor, value=profile.value)
        for rank, profile in PROFILES.items()
    }
    queue = AdmissionQueue(batch_size=1, policies=policies)
    versions = [AdapterVersion(adapter_name(index), "1") for index in range(8)]
    for version in versions:
        queue.set_ready(version, True)
    for number in range(queued + 1):
        queue.admit(_build_work(number, versions), now=0.0)
    running = queue.pop(now=0.0)
    assert running is not None
    queue.release(running, service_time=1e-3)
    numbers = iter(range(queued + 1, 10**9))

    def decide() -> None:
        for _ in range(_DECISIONS):
            queue.admit(_build_work(next(numbers), versions), now=0.0)
            work = queue.pop(now=0.0)
            if work is not None:
                queue.release(work, service_time=1e-3)

    return _median_time(decide, _DECISIONS)


def _build_work(number: int, versions: list[AdapterVersion]) -> WorkItem:
    return WorkItem(
        number=number,
        caller=f"caller-{number % 8}",
        rank=number % 3,
        adapter_version=versions[number % len(versions)],
        deadline=1e9,
        enqueued=0.0,
        preemptible=number % 3 == 2,
    )


def _median_time(decide: Callable[[], None], decisions: int) -> float:
    times = []
    for _ in range(_ROUNDS):
        began = time.perf_counter()
        decide()
        times.append((time.perf_counter() - began) / decisions * _MICROSECONDS)
    return median(times)
