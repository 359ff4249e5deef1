"""Tests of ``fighitch.core.gateway.zone_choice`` that replay its load patterns."""

import heapq
import random
import unittest
from collections import Counter

from fighitch.core.gateway.backend_choice import EngineRanker, EngineView
from fighitch.core.gateway.model import AdapterName, Route, WeightedService, WorkKind
from fighitch.core.gateway.plain_load import PlainServerLoad
from fighitch.core.gateway.zone_choice import (
    MIN_CHARGE,
    UNKNOWN_CHARGE,
    LeaveReason,
    ZoneChoice,
    engine_leave_reason,
    plain_leave_reason,
)
from fighitch.tests.gateway_helpers import A1, MODEL, server

SERVICE = "models"
BASE = AdapterName(MODEL)
WORK = 0.032  # prefill time of a prompt of 646 tokens
TOKENS = 646
REPORT_INTERVAL = 0.25


class Entry:
    """One entry that ranks engines by what it was told of them."""

    def __init__(self, number, zone, servers, *, seconds_per_byte=0.0, target=1.0):
        self.zone = zone
        self.rng = random.Random(f"entry-{number}")
        self.choice = ZoneChoice(zone, seconds_per_byte=seconds_per_byte)
        self.choice.set_routes([route(target)])
        self.ranker = EngineRanker(zone, self.rng)
        self.views = {
            item.instance_id: EngineView(item.instance_id) for item in servers
        }

    def choose(self, servers, now, adapter=BASE):
        charges = self.choice.engine_charges(SERVICE, servers, self.views, now)
        ranked = self.ranker.rank(
            adapter, servers, self.views, lambda _: 0.0, charges=charges
        )
        return ranked[0].server


class Fleet:
    """Entries and engines with a virtual clock; engines run one prompt at a time."""

    def __init__(self, zones, *, entries=4, delay=0.0, policy=Entry.choose, **options):
        self.servers = [
            server(f"e{zone}{number}", zone=zone)
            for zone, count in zones.items()
            for number in range(count)
        ]
        self.entries = [
            Entry(f"{zone}{number}", zone, self.servers, **options)
            for zone in zones
            for number in range(entries)
        ]
        self.busy_until = {item.instance_id: 0.0 for item in self.servers}
        self.speed = dict.fromkeys(self.busy_until, 1.0)
        self.held: dict[str, tuple[AdapterName, ...]]
        self.held = dict.fromkeys(self.busy_until, (BASE,))
        self.latency = dict.fromkeys(zones, 0.0)  # of connections to a zone
        self.silent = set()  # zones whose reports don't arrive
        self.delay = delay
        self.policy = policy
        self.now = 0.0
        self.rng = random.Random(1)
        self.results = []  # (time, zone of the entry, zone of the engine, wait)
        self.reports = []
        self.next_report = 0.0
        self.heads = []

    def run(self, seconds, rates, adapter=BASE):
        """Sends requests of each zone at a rate per second; returns their results."""
        first = len(self.results)
        begin, end = self.now, self.now + seconds
        arrivals = []
        for zone, rate in rates.items():
            time = begin
            while rate and (time := time + self.rng.expovariate(rate)) < end:
                arrivals.append((time, zone))
        for time, zone in sorted(arrivals):
            self.advance(time)
            entry = self.rng.choice(
                [item for item in self.entries if item.zone == zone]
            )
            self.send(entry, adapter)
        self.advance(end)
        return self.results[first:]

    def advance(self, time):
        while self.next_report <= time:
            self.report(self.next_report)
            self.next_report += REPORT_INTERVAL
        self.now = time
        while self.heads and self.heads[0][0] <= time:
            at, _, entry, zone, elapsed = heapq.heappop(self.heads)
            entry.choice.record_first_byte(SERVICE, zone, elapsed, at)

    def report(self, now):
        backlogs = {
            name: max(0.0, busy - now) for name, busy in self.busy_until.items()
        }
        self.reports.append((now + self.delay, now, backlogs))
        while self.reports and self.reports[0][0] <= now:
            _, at, backlogs = self.reports.pop(0)
            for item in self.servers:
                if item.zone not in self.silent:
                    self.deliver(item.instance_id, backlogs[item.instance_id], at)

    def deliver(self, name, backlog, at):
        for entry in self.entries:
            view = entry.views[name]
            view.connected = True
            view.backlog, view.pending_prefill = backlog, 0.0
            view.reported_at = at + self.delay
            view.entries = len(self.entries)
            view.adapters = dict.fromkeys((BASE, *self.held[name]), 1)
            view.seconds_per_token = WORK / TOKENS * self.speed[name]

    def send(self, entry, adapter):
        chosen = self.policy(entry, self.servers, self.now, adapter)
        name = chosen.instance_id
        start = max(self.now, self.busy_until[name])
        self.busy_until[name] = start + WORK * self.speed[name]
        view = entry.views[name]
        view.pending_prefill += TOKENS * view.seconds_per_token
        crossing = self.latency[chosen.zone] if chosen.zone != entry.zone else 0.0
        wait = self.busy_until[name] - self.now + crossing
        entry.choice.record_request(SERVICE, size=8_000, prompt_tokens=TOKENS)
        key = (self.now + wait, len(self.results))
        heapq.heappush(self.heads, (*key, entry, chosen.zone, wait))
        self.results.append((self.now, entry.zone, chosen.zone, wait))

    def lose(self, zone, keep=0):
        self.servers = [
            item
            for item in self.servers
            if item.zone != zone or int(item.instance_id[-1]) < keep
        ]


def route(target):
    service = (WeightedService(SERVICE, 1.0),)
    return Route("r", "h", "/", WorkKind.STREAMING, 10.0, target, 0, service)


def away(results, zone=None):
    """Returns the share of a zone's requests that left it."""
    own = [item for item in results if zone in (None, item[1])]
    return sum(item[1] != item[2] for item in own) / len(own)


def mean_wait(results):
    return sum(item[3] for item in results) / len(results)


def shares_by_second(results, zone):
    """Returns the share of a zone's requests that left it, for each second."""
    seconds: dict[int, list[tuple[float, str, str, float]]] = {}
    for item in results:
        if item[1] == zone:
            seconds.setdefault(int(item[0]), []).append(item)
    return [away(items) for items in seconds.values()]


def fixed_charge(entry, servers, _now, adapter):
    """Chooses as before: each other zone costs 0.01 s more."""
    ranked = entry.ranker.rank(adapter, servers, entry.views, lambda _: 0.0)
    return ranked[0].server


def capacity(engines):
    """Returns the requests per second that a number of engines can run."""
    return engines / WORK


class EngineZoneTests(unittest.TestCase):
    """Replays loads over several entries that act on the same reports."""

    def test_calm_load_waits_no_longer_than_with_a_fixed_charge(self):
        zones = {"a": 9, "b": 9, "c": 9}
        rates = dict.fromkeys(zones, 0.58 * capacity(9))
        before = Fleet(zones, policy=fixed_charge).run(10, rates)
        now = Fleet(zones).run(10, rates)
        self.assertLess(mean_wait(now), 1.05 * mean_wait(before))
        self.assertLess(away(now), away(before) / 2)

    def test_burst_leaves_a_zone_and_comes_back(self):
        fleet = Fleet({"a": 9, "b": 9, "c": 9})
        calm = dict.fromkeys("abc", 0.4 * capacity(9))
        before = fleet.run(3, calm)
        burst = fleet.run(8, calm | {"a": 1.6 * capacity(9)})
        fleet.run(1, calm)
        after = fleet.run(3, calm)
        # At least the surplus of 0.6 of 1.6 has to leave.
        self.assertGreater(away(burst, "a"), 0.37)
        self.assertLess(mean_wait(burst), 0.25)
        self.assertLess(away(after, "a"), away(before, "a") + 0.05)

    def test_share_that_leaves_does_not_oscillate(self):
        fleet = Fleet({"a": 9, "b": 9, "c": 9}, entries=12)
        rates = dict.fromkeys("abc", 0.4 * capacity(9)) | {"a": 1.6 * capacity(9)}
        fleet.run(3, rates)
        shares = shares_by_second(fleet.run(10, rates), "a")
        self.assertLess(max(shares) - min(shares), 0.2)

    def test_zone_that_loses_half_of_its_engines(self):
        fleet = Fleet({"a": 8, "b": 8, "c": 8})
        rates = dict.fromkeys("abc", 0.6 * capacity(8))
        fleet.run(2, rates)
        fleet.lose("a", keep=4)
        results = fleet.run(8, rates)
        # What is left can run 0.5 of 0.6.
        self.assertGreater(away(results, "a"), 0.17)
        self.assertLess(mean_wait(results), 0.25)

    def test_zone_without_engines_spreads_its_work(self):
        fleet = Fleet({"a": 8, "b": 8, "c": 8})
        rates = dict.fromkeys("abc", 0.5 * capacity(8))
        fleet.run(2, rates)
        fleet.lose("a")
        results = fleet.run(6, rates)
        counts = Counter(item[2] for item in results)
        self.assertLess(abs(counts["b"] - counts["c"]), 0.15 * len(results))

    def test_demand_that_moves_between_zones(self):
        fleet = Fleet({"a": 9, "b": 9, "c": 9})
        calm = dict.fromkeys("abc", 0.3 * capacity(9))
        for zone, other in (("a", "b"), ("b", "a"), ("a", "b")):
            fleet.run(1, calm | {zone: 1.5 * capacity(9)})
            results = fleet.run(4, calm | {zone: 1.5 * capacity(9)})
            self.assertGreater(away(results, zone), 0.3)
            self.assertLess(away(results, other), 0.2)
            self.assertLess(mean_wait(results), 0.25)

    def test_small_zone_is_not_overrun(self):
        fleet = Fleet({"a": 12, "b": 2, "c": 9}, entries=8)
        rates = {"a": 1.4 * capacity(12), "b": 0.3 * capacity(2), "c": 9.0}
        fleet.run(2, rates)
        results = fleet.run(8, rates)
        counts = Counter(item[2] for item in results if item[1] == "a")
        self.assertLess(counts["b"], counts["c"] / 2)
        small = [item for item in results if item[2] == "b"]
        self.assertLess(mean_wait(small), 0.5)

    def test_full_zone_gets_no_work(self):
        fleet = Fleet({"a": 9, "b": 9, "c": 9})
        rates = {"a": 1.2 * capacity(9), "b": 0.0, "c": 0.2 * capacity(9)}
        for name in fleet.busy_until:
            if name.startswith("eb"):
                fleet.busy_until[name] = 30.0
        results = fleet.run(8, rates)
        self.assertEqual([item for item in results if item[2] == "b"], [])

    def test_zone_without_current_reports_gets_no_work(self):
        fleet = Fleet({"a": 9, "b": 9, "c": 9})
        rates = dict.fromkeys("abc", 0.3 * capacity(9)) | {"a": 1.5 * capacity(9)}
        fleet.run(3, rates)
        fleet.silent = {"b", "c"}
        fleet.run(1, rates)
        # The own zone has a current report, however long its wait is.
        self.assertEqual(away(fleet.run(2, rates), "a"), 0)
        fleet.silent = set()
        fleet.run(1, rates)
        self.assertGreater(away(fleet.run(3, rates), "a"), 0.2)

    def test_reports_that_are_seconds_old_are_no_worse_than_before(self):
        zones = {"a": 9, "b": 9, "c": 9}
        rates = dict.fromkeys("abc", 0.4 * capacity(9)) | {"a": 1.6 * capacity(9)}
        before = Fleet(zones, delay=2.0, policy=fixed_charge).run(10, rates)
        now = Fleet(zones, delay=2.0).run(10, rates)
        self.assertLess(mean_wait(now), mean_wait(before))

    def test_zone_with_slow_connections_gets_less_until_they_recover(self):
        fleet = Fleet({"a": 9, "b": 9, "c": 9})
        rates = dict.fromkeys("abc", 0.4 * capacity(9)) | {"a": 1.5 * capacity(9)}
        shares = []
        for latency in (0.0, 0.4, 0.0):
            fleet.latency["b"] = latency
            fleet.run(4, rates)
            counts = Counter(item[2] for item in fleet.run(6, rates) if item[1] == "a")
            shares.append(counts["b"] / counts["c"])
        self.assertGreater(shares[0], 0.7)
        self.assertLess(shares[1], 0.35)
        self.assertGreater(shares[2], 0.7)

    def test_work_leaves_slow_engines(self):
        fleet = Fleet({"a": 9, "b": 9, "c": 9})
        rates = dict.fromkeys("abc", 0.5 * capacity(9))
        for name in fleet.speed:
            if name.startswith("ea"):
                fleet.speed[name] = 5.0
        fleet.run(2, rates)
        results = fleet.run(6, rates)
        # The engines of the zone can run 0.2 of 0.5.
        self.assertGreater(away(results, "a"), 0.55)
        self.assertLess(mean_wait(results), 0.5)

    def test_adapter_of_another_zone_is_used_there_without_a_load(self):
        fleet = Fleet({"a": 9, "b": 9, "c": 9}, entries=12)
        fleet.held["eb4"] = (BASE, A1)
        results = fleet.run(4, dict.fromkeys("abc", 5.0), adapter=A1)
        self.assertEqual({item[2] for item in results}, {"b"})

    def test_rare_adapter_is_loaded_on_one_engine_only(self):
        # With a random charge, entries chose different engines and loaded it on each.
        fleet = Fleet({"a": 9, "b": 9, "c": 9}, entries=12)
        fleet.run(1, dict.fromkeys("abc", 9.0))
        chosen = {
            entry.choose(fleet.servers, fleet.now, A1).instance_id
            for entry in fleet.entries
            for _ in range(5)
        }
        self.assertEqual(len(chosen), 1)


class ChargeTests(unittest.TestCase):
    def setUp(self):
        self.servers = [server("ea", zone="a"), server("eb", zone="b")]
        self.views = {
            name: EngineView(name, adapters={BASE: 1}, connected=True)
            for name in ("ea", "eb")
        }
        for view in self.views.values():
            view.seconds_per_token = WORK / TOKENS
        self.choice = ZoneChoice("a", seconds_per_byte=1e-6)
        self.now = 0.0
        self.choice.record_request(SERVICE, size=0, prompt_tokens=TOKENS)

    def charges(self, **waits):
        for name, wait in waits.items():
            self.views[name].backlog = wait
        self.now += 1.0
        return self.choice.engine_charges(SERVICE, self.servers, self.views, self.now)

    def test_work_leaves_and_stays_away_with_hysteresis(self):
        between = MIN_CHARGE + WORK / 2
        for wait, margin in (
            (between, WORK),
            (MIN_CHARGE + 2 * WORK, 0.0),
            (between, 0.0),
            (0.0, WORK),
            (between, WORK),
        ):
            charges = self.charges(ea=wait)
            self.assertAlmostEqual(charges.margins["b"], margin, msg=wait)

    def test_old_report_counts_as_unknown(self):
        self.views["eb"].reported_at = 0.0
        self.assertEqual(self.charges().by_zone["b"], UNKNOWN_CHARGE)
        self.views["eb"].reported_at = self.now + 1.0
        self.assertEqual(self.charges().by_zone["b"], MIN_CHARGE)

    def test_silent_engine_of_a_zone_with_others_is_not_used_from_another_zone(self):
        # Its last report showed an idle engine. Until its connection timed out, it drew
        # the work that left, as only zones without any current report were charged.
        self.servers.append(server("eb2", zone="b"))
        self.views["eb2"] = EngineView("eb2", adapters={BASE: 1}, connected=True)
        self.views["eb2"].reported_at = 0.0
        self.views["eb"].reported_at = 0.9
        charges = self.charges(ea=3.0, eb=1.0)
        ranked = EngineRanker("a").rank(
            BASE, self.servers, self.views, lambda _: 0.0, charges=charges
        )
        self.assertEqual(
            [item.server.instance_id for item in ranked], ["eb", "ea", "eb2"]
        )

    def test_engine_without_its_agent_is_not_used_from_another_zone(self):
        # Its last backlog was forgotten with the connection, so that it looked idle.
        self.views["eb"].connected = False
        charges = self.charges(ea=3.0)
        ranked = EngineRanker("a").rank(
            BASE, self.servers, self.views, lambda _: 0.0, charges=charges
        )
        self.assertEqual(ranked[0].server.zone, "a")

    def test_excess_of_a_zone_is_forgotten_without_requests(self):
        self.choice.record_first_byte(SERVICE, "a", 0.1, 0.0)
        self.choice.record_first_byte(SERVICE, "b", 0.5, 0.0)
        self.assertGreater(self.charges().by_zone["b"], 0.3)
        self.now += 60.0
        self.assertEqual(self.charges().by_zone["b"], MIN_CHARGE)

    def test_request_without_a_response_raises_the_excess(self):
        self.choice.record_first_byte(SERVICE, "a", 0.1, 0.0)
        self.choice.record_unanswered(SERVICE, "b", 1.8, 0.0)
        self.choice.record_unanswered(SERVICE, "b", 0.2, 0.0)
        self.assertGreater(self.charges().by_zone["b"], 1.0)

    def best_zone(self, charges):
        ranked = EngineRanker("a").rank(
            BASE, self.servers, self.views, lambda _: 0.0, charges=charges
        )
        return ranked[0].server.zone

    def test_price_keeps_work_until_the_target_is_at_risk(self):
        for _ in range(300):
            self.choice.record_request(SERVICE, size=800_000, prompt_tokens=TOKENS)
        self.assertEqual(self.best_zone(self.charges(ea=0.6)), "a")
        self.choice.set_routes([route(1.0)])
        self.assertEqual(self.best_zone(self.charges(ea=0.4)), "a")
        self.assertEqual(self.best_zone(self.charges(ea=0.6)), "b")

    def test_services_without_a_route_are_forgotten(self):
        self.choice.set_routes([route(1.0)])
        self.choice.record_request("gone", size=1, prompt_tokens=1)
        self.choice.set_routes([route(1.0)])
        self.assertEqual(set(self.choice._services), {SERVICE})


class LeaveReasonTests(unittest.TestCase):
    def setUp(self):
        self.chosen = server("eb", zone="b")
        self.home = [server("ea", zone="a")]
        self.views = {
            name: EngineView(name, adapters={A1: 1}, connected=True)
            for name in ("ea", "eb")
        }

    def engine_reason(self):
        return engine_leave_reason(A1, self.chosen, self.home, self.views)

    def test_engine(self):
        self.assertEqual(self.engine_reason(), LeaveReason.FULL)
        self.views["ea"].seconds_per_token *= 3
        self.assertEqual(self.engine_reason(), LeaveReason.SLOW)
        self.views["ea"].adapters = {}
        self.assertEqual(self.engine_reason(), LeaveReason.ADAPTER)
        self.views["ea"].connected = False
        self.assertEqual(self.engine_reason(), LeaveReason.NONE_READY)

    def test_plain_server(self):
        loads = {
            "ea": PlainServerLoad(response_time=0.2),
            "eb": PlainServerLoad(response_time=0.15),
        }
        reason = plain_leave_reason(self.chosen, self.home, loads)
        self.assertEqual(reason, LeaveReason.FULL)
        loads["ea"].response_time = 1.0
        reason = plain_leave_reason(self.chosen, self.home, loads)
        self.assertEqual(reason, LeaveReason.SLOW)
        reason = plain_leave_reason(self.chosen, self.home, loads, is_probe=True)
        self.assertEqual(reason, LeaveReason.PROBE)
        reason = plain_leave_reason(self.chosen, [], loads)
        self.assertEqual(reason, LeaveReason.NONE_READY)
