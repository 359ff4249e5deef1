"""Tests of ``fighitch.core.entry.routing``."""

import random
import unittest
from collections import Counter

from fighitch.core.configuration import ConfigurationStore
from fighitch.core.entry.indexes import Indexes, Target
from fighitch.core.entry.membership import Members, MemberState
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.errors import ErrorKind, RunState
from fighitch.core.messages import AdapterVersion, Heartbeat, LoadReport
from fighitch.core.resources import Kind, PlacementSpec
from fighitch.tests.entry_helpers import ZONES, resource, server

FLEET = tuple(server(f"e{n}", zone=ZONES[n % 3], disk="fast") for n in range(9))


class RouterFixture:
    def __init__(self, *extra, fleet=FLEET, zone="a"):
        self.store = ConfigurationStore()
        self.store.merge((*fleet, *extra), revision=10)
        rng = random.Random(1)
        settings = EntrySettings()
        self.indexes = Indexes(self.store)
        self.indexes.refresh()
        self.members = Members(settings=settings, rng=rng)
        self.members.sync(fleet)
        self.router = Router(
            availability_zone=zone,
            region="r",
            members=self.members,
            indexes=self.indexes,
            settings=settings,
            rng=rng,
        )

    def report(self, name, running, *resident):
        member = self.members.get(name)
        self.members.on_opened(member, 1)
        load = LoadReport((running,), (), 4, frozenset(resident))
        self.members.apply_heartbeat(member, Heartbeat(0, load=load))

    def report_all(self, running):
        for member in list(self.members):
            self.report(member.name, running)

    def choose(self, number=0, *, now=0.0, rank=1, **options):
        chosen = self.router.choose(target(number), rank=rank, now=now, **options)
        return chosen.ok.name if chosen.is_ok() else chosen.error

    def selection_order(self, number=0, **options):
        """Returns the servers in the order in which retries would use them."""
        found = []
        while isinstance(name := self.choose(number, excluded=found, **options), str):
            found.append(name)
        return found


def target(number=0, **labels):
    version = AdapterVersion(f"ad-{number}", "1")
    return Target("m", version, labels=(labels,))


def placement(name="p", **fields):
    return resource(Kind.PLACEMENT, name, PlacementSpec(**fields))


class PlacementTests(unittest.TestCase):
    def test_only_servers_that_every_rule_selects_are_candidates(self):
        """Guards against loading an adapter on a server that a rule excludes."""
        slow = server("slow", zone="a")
        rule = placement(backend_server_selector="disk=fast", max_replicas=20)
        fixture = RouterFixture(rule, fleet=(*FLEET, slow))
        for number in range(20):
            self.assertEqual(
                set(fixture.selection_order(number)), {s.name for s in FLEET}
            )

    def test_failure_without_candidates_is_reported_as_not_run(self):
        fixture = RouterFixture(placement(backend_server_selector="disk=none"))
        failure = fixture.choose()
        self.assertIs(failure.kind, ErrorKind.NO_BACKEND_SERVER)
        self.assertIs(failure.run_state, RunState.NOT_RUN)

    def test_another_region_is_used_only_without_members_in_the_own_one(self):
        far = server("far", region="other")
        fixture = RouterFixture(fleet=(*FLEET, far))
        self.assertTrue(all(fixture.choose(n) != "far" for n in range(50)))
        for member in fixture.members:
            if member.name != "far":
                member.state = MemberState.DEAD
        self.assertEqual(fixture.choose(), "far")


class DistributionTests(unittest.TestCase):
    def test_entries_in_all_zones_choose_the_same_replica(self):
        """Guards against loading each adapter once per zone."""
        fixtures = [RouterFixture(zone=zone) for zone in ZONES]
        for number in range(50):
            self.assertEqual(len({f.choose(number) for f in fixtures}), 1)

    def test_replicas_in_the_own_zone_are_preferred(self):
        rule = placement(min_replicas=9, max_replicas=9)
        for zone in ZONES:
            fixture = RouterFixture(rule, zone=zone)
            chosen = fixture.members.get(fixture.choose())
            self.assertEqual(chosen.availability_zone, zone)

    def test_adapters_are_distributed_evenly_over_the_fleet(self):
        fixture = RouterFixture()
        counts = Counter(fixture.choose(number) for number in range(3_000))
        self.assertEqual(len(counts), 9)
        self.assertLess(max(counts.values()) / (3_000 / 9), 1.25)

    def test_dead_and_leaving_servers_get_no_requests(self):
        fixture = RouterFixture()
        first, second, *_ = fixture.selection_order()
        fixture.members.get(first).state = MemberState.LEAVING
        self.assertEqual(fixture.choose(), second)
        fixture.members.get(second).state = MemberState.DEAD
        self.assertNotIn(fixture.choose(), (first, second))


class LoadTests(unittest.TestCase):
    def test_overloaded_replica_is_skipped(self):
        """Guards against a queue at one replica while another one is idle."""
        fixture = RouterFixture(placement(min_replicas=3, max_replicas=3))
        fixture.report_all(2)
        first = fixture.choose()
        fixture.report(first, 4)
        self.assertNotEqual(fixture.choose(), first)

    def test_replica_with_the_loaded_version_is_preferred_within_the_limit(self):
        """Guards against a stall for an adapter load that another replica avoids."""
        fixture = RouterFixture(placement(min_replicas=3, max_replicas=3))
        fixture.report_all(2)
        other = next(
            name for name in fixture.selection_order() if name != fixture.choose()
        )
        fixture.report(other, 2, "ad-0@1")
        self.assertEqual(fixture.choose(), other)
        fixture.report(other, 4, "ad-0@1")
        self.assertNotEqual(fixture.choose(), other)

    def test_number_of_replicas_follows_demand(self):
        """Guards against a popular adapter that overloads its only server."""
        fixture = RouterFixture()
        fixture.report_all(0)
        fixture.report(fixture.choose(), 8)
        self.assertEqual(fixture.router.replicas(target()), 1)
        fixture.choose(now=1.0)
        self.assertEqual(fixture.router.replicas(target()), 2)
        fixture.report_all(1)
        fixture.choose(now=60.0)
        self.assertEqual(fixture.router.replicas(target()), 2)
        fixture.choose(now=61.0)
        self.assertEqual(fixture.router.replicas(target()), 1)

    def test_no_replica_is_added_in_an_overloaded_fleet(self):
        """Guards against adapter loads that amplify an overload."""
        fixture = RouterFixture()
        fixture.report_all(20)
        for step in range(10):
            fixture.choose(now=float(step))
        self.assertEqual(fixture.router.replicas(target()), 1)


class RefusalTests(unittest.TestCase):
    def test_refusing_sidecar_gets_no_requests_of_that_rank_until_retry_after(self):
        """Guards against repeated refusals during an overload."""
        fixture = RouterFixture()
        first = fixture.choose()
        member = fixture.members.get(first)
        fixture.router.record_rejection(member, rank=1, now=0.0, retry_after=2.0)
        self.assertNotEqual(fixture.choose(now=1.9), first)
        self.assertEqual(fixture.choose(now=1.9, rank=0), first)
        self.assertEqual(fixture.choose(now=2.0), first)

    def test_request_is_rejected_early_if_all_candidates_refuse(self):
        """Guards against loading one adapter on the whole fleet."""
        fixture = RouterFixture()
        for wait in (4.0, 3.0, 2.0, 1.5):
            member = fixture.members.get(fixture.choose())
            fixture.router.record_rejection(member, rank=1, now=0.0, retry_after=wait)
        failure = fixture.choose(now=1.0)
        self.assertIs(failure.kind, ErrorKind.OVERLOADED)
        self.assertEqual((failure.retry_after, failure.status), (0.5, 429))


class ServiceTests(unittest.TestCase):
    def test_least_loaded_server_in_the_own_zone_is_selected(self):
        fleet = [server(f"s{n}", zone=ZONES[n % 2], kind="service") for n in range(4)]
        fixture = RouterFixture(fleet=fleet)
        for name, running in (("s0", 2), ("s1", 1), ("s2", 1), ("s3", 1)):
            fixture.report(name, running)
        desk = Target(service="desk", labels=({},))
        self.assertEqual(fixture.router.choose(desk, rank=0, now=0.0).ok.name, "s2")
        fixture.report("s0", 4)
        fixture.report("s2", 4)
        chosen = fixture.router.choose(desk, rank=0, now=0.0).ok.name
        self.assertIn(chosen, ("s1", "s3"))
