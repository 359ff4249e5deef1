"""Compares ways to choose between zones over the loads of the tests.

Run with ``python -m benchmarks.zone_policies``; it takes about half a minute and prints
the tables of docs/design/zones.md.
"""

from collections.abc import Callable, Sequence
from typing import Any

from fighitch.core.gateway.backend_choice import failure_penalty
from fighitch.core.gateway.model import BackendServer
from fighitch.core.gateway.plain_load import PlainServerLoad
from fighitch.tests import test_plain_load as plain, test_zone_choice as engines

_FULL_WAIT = 0.5
_FIXED_CHARGE = 0.01
_LATE = 1.0
_MIN_WEIGHT = 0.001
_ENGINES = 9
_CALM = 0.4

Servers = Sequence[BackendServer]
Policy = Callable[..., BackendServer]


def _own(entry: Any, servers: Servers) -> list[BackendServer]:
    return [item for item in servers if item.zone == entry.zone]


def _wait(entry: Any, server: BackendServer) -> float:
    view = entry.views[server.instance_id]
    return float(view.backlog + view.pending_prefill)


def _leave_when_full(
    entry: Any, servers: Servers, _now: float, _adapter: Any
) -> BackendServer:
    own = _own(entry, servers)
    best = min(own, key=lambda item: _wait(entry, item), default=None)
    if best is not None and _wait(entry, best) < _FULL_WAIT:
        return best
    return min(servers, key=lambda item: _wait(entry, item))


def _equal_shares(
    entry: Any, servers: Servers, _now: float, _adapter: Any
) -> BackendServer:
    zone = entry.rng.choice(sorted({item.zone for item in servers}))
    there = [item for item in servers if item.zone == zone]
    return min(there, key=lambda item: _wait(entry, item))


def _free_capacity(
    entry: Any, servers: Servers, _now: float, _adapter: Any
) -> BackendServer:
    weights: dict[str, float] = {}
    for item in servers:
        free = max(_MIN_WEIGHT, _LATE - _wait(entry, item))
        weights[item.zone] = weights.get(item.zone, 0.0) + free
    zone = entry.rng.choices(list(weights), list(weights.values()))[0]
    there = [item for item in servers if item.zone == zone]
    return min(there, key=lambda item: _wait(entry, item))


_ENGINE_POLICIES: dict[str, Policy] = {
    "expected time (chosen)": engines.Entry.choose,
    "fixed charge (before)": engines.fixed_charge,
    "leave when full": _leave_when_full,
    "equal shares": _equal_shares,
    "free capacity": _free_capacity,
}


def _run_calm(fleet: Any) -> Any:
    return fleet.run(10, dict.fromkeys("abc", 0.58 * engines.capacity(_ENGINES)))


def _run_burst(fleet: Any) -> Any:
    calm = dict.fromkeys("abc", _CALM * engines.capacity(_ENGINES))
    fleet.run(2, calm)
    return fleet.run(8, calm | {"a": 1.6 * engines.capacity(_ENGINES)})


def _run_loss(fleet: Any) -> Any:
    rates = dict.fromkeys("abc", 0.6 * engines.capacity(_ENGINES))
    fleet.run(2, rates)
    fleet.lose("a", keep=4)
    return fleet.run(8, rates)


def _run_full(fleet: Any) -> Any:
    loads = {"a": 1.15, "b": 1.0, "c": 0.3}
    return fleet.run(
        8, {zone: load * engines.capacity(_ENGINES) for zone, load in loads.items()}
    )


def _run_small(fleet: Any) -> Any:
    rates = {"a": 0.5 * engines.capacity(12), "b": 0.3 * engines.capacity(2)}
    rates["c"] = 0.3 * engines.capacity(_ENGINES)
    fleet.run(2, rates)
    return fleet.run(8, rates | {"a": 1.4 * engines.capacity(12)})


_EQUAL_ZONES = {"a": _ENGINES, "b": _ENGINES, "c": _ENGINES}
_ENGINE_LOADS: dict[str, tuple[dict[str, int], Callable[[Any], Any]]] = {
    "calm": (_EQUAL_ZONES, _run_calm),
    "burst in one zone": (_EQUAL_ZONES, _run_burst),
    "loss of five of nine engines": (_EQUAL_ZONES, _run_loss),
    "two full zones": (_EQUAL_ZONES, _run_full),
    "burst beside a small zone": ({"a": 12, "b": 2, "c": _ENGINES}, _run_small),
}


def _print_engines(entries: int, delay: float) -> None:
    for load, (zones, run) in _ENGINE_LOADS.items():
        for name, policy in _ENGINE_POLICIES.items():
            fleet = engines.Fleet(zones, entries=entries, delay=delay, policy=policy)
            results = run(fleet)
            late = sum(item[3] > _LATE for item in results) / len(results)
            shares = engines.shares_by_second(results, "a")
            swing = max(abs(b - a) for a, b in zip(shares, shares[1:], strict=False))
            print(
                f"| {load} | {name} | {engines.away(results):.2f} "
                f"| {engines.mean_wait(results):.3f} | {late:.3f} | {swing:.2f} |"
            )


def _load(entry: Any, server: BackendServer) -> PlainServerLoad:
    return entry.loads.by_id.get(server.instance_id) or PlainServerLoad()


def _plain_before(entry: Any, servers: Servers, now: float) -> BackendServer:
    def cost(server: BackendServer) -> float:
        load = _load(entry, server)
        name = server.instance_id
        penalty = failure_penalty(
            paused=entry.outliers.is_paused(name, now),
            failure_ratio=entry.outliers.failure_ratio(name),
        )
        charge = 0.0 if server.zone == entry.zone else _FIXED_CHARGE
        return load.response_time * (1 + load.running / plain.SLOTS) + penalty + charge

    return min(servers, key=cost)


def _record_before(
    entry: Any, outcome: str, name: str, elapsed: float, now: float
) -> None:
    load = entry.loads.by_id[name]
    load.record_ended()
    failed = outcome == "silent"
    if not failed:
        load.response_time += 0.1 * (elapsed - load.response_time)
    entry.outliers.record_outcome(name, failed=failed, peers=plain.ZONES, now=now)


def _plain_when_full(entry: Any, servers: Servers, now: float) -> BackendServer:
    for item in _own(entry, servers):
        load = _load(entry, item)
        if load.running < plain.SLOTS and now >= load.refused_until:
            return item
    return min(servers, key=lambda item: _load(entry, item).running)


def _plain_equal(entry: Any, servers: Servers, _now: float) -> BackendServer:
    chosen: BackendServer = entry.rng.choice(servers)
    return chosen


def _plain_free(entry: Any, servers: Servers, now: float) -> BackendServer:
    weights = []
    for item in servers:
        load = _load(entry, item)
        free = max(0.1, plain.SLOTS - load.running)
        weights.append(free if now >= load.refused_until else _MIN_WEIGHT)
    chosen: BackendServer = entry.rng.choices(servers, weights)[0]
    return chosen


_RECORD = plain.Entry.record
_PLAIN_POLICIES: dict[str, tuple[Policy, Any]] = {
    "expected time (chosen)": (plain.Entry.choose, _RECORD),
    "fixed charge (before)": (_plain_before, _record_before),
    "leave when full": (_plain_when_full, _RECORD),
    "equal shares": (_plain_equal, _RECORD),
    "free capacity": (_plain_free, _RECORD),
}


def _run_plain(fleet: Any, load: float, change: Callable[[Any], None]) -> Any:
    fleet.run(3, plain.rates(load))
    change(fleet)
    fleet.run(3, fleet.rates)
    return fleet.run(10, fleet.rates)


def _burst(fleet: Any) -> None:
    fleet.rates = plain.rates(_CALM) | {"a": 1.5 * plain.CAPACITY}


def _slow(fleet: Any) -> None:
    fleet.speed["a"] = 5.0


def _recover(fleet: Any) -> None:
    _slow(fleet)
    fleet.run(15, fleet.rates)
    fleet.speed["a"] = 1.0
    fleet.run(20, fleet.rates)


def _refuse(fleet: Any) -> None:
    fleet.refuses = {"a"}


def _silence(fleet: Any) -> None:
    fleet.silent["a"] = 0.3


def _lose(fleet: Any) -> None:
    fleet.servers = fleet.servers[:2]


_PLAIN_LOADS: dict[str, tuple[float, Callable[[Any], None]]] = {
    "calm": (_CALM, lambda _fleet: None),
    "burst in one zone": (_CALM, _burst),
    "one server 5 times as slow": (0.5, _slow),
    "the slow server recovered": (0.5, _recover),
    "one server refuses": (_CALM, _refuse),
    "one server silent for 30 %": (_CALM, _silence),
    "one server lost": (_CALM, _lose),
}


def _print_plain(entries: int) -> None:
    for name, (load, change) in _PLAIN_LOADS.items():
        for policy_name, (choose, record) in _PLAIN_POLICIES.items():
            fleet: Any = plain.Fleet(entries, choose=choose, record=record)
            fleet.rates = plain.rates(load)
            results = _run_plain(fleet, load, change)
            failed = sum(item[3] != "answered" for item in results) / len(results)
            print(
                f"| {name} | {policy_name} | {plain.away(results):.2f} "
                f"| {plain.share(results, 'a'):.2f} | {plain.mean_time(results):.3f} "
                f"| {failed:.3f} |"
            )


def main() -> None:
    """Prints all tables."""
    for entries, delay in ((4, 0.0), (12, 0.0), (4, 2.0)):
        print(f"\n{entries} entries in each zone, reports delayed by {delay} s\n")
        print("| load | way | left their zone | mean wait (s) | late | swing |")
        print("|---|---|---|---|---|---|")
        _print_engines(entries, delay)
    for entries in (4, 12):
        print(f"\nplain servers, {entries} entries in each zone\n")
        print("| load | way | left their zone | at server a | mean time (s) | failed |")
        print("|---|---|---|---|---|---|")
        _print_plain(entries)


if __name__ == "__main__":
    main()
