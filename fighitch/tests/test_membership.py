"""Tests of ``fighitch.core.entry.membership``."""

import random
import unittest

from fighitch.core.entry.membership import MemberDied, Members, MemberState, ZoneCut
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.messages import Heartbeat, LoadReport
from fighitch.core.resources import BackendServerSpec, Kind, Resource
from fighitch.tests.entry_helpers import ZONES, server


def members(count=12):
    found = Members(settings=EntrySettings(), rng=random.Random(1))
    found.sync(server(f"e{number}", zone=ZONES[number % 3]) for number in range(count))
    for member in found:
        found.opened(member, 1)
    return found


class SuspicionTests(unittest.TestCase):
    def test_a_lost_connection_is_a_suspicion_before_it_is_a_death(self):
        """Guards against removing a sidecar that only lost one connection."""
        found = members()
        found.lost(found.get("e0"), 10.0, silent=True)
        self.assertEqual(found.advance(12.9), [])
        self.assertIs(found.get("e0").state, MemberState.SUSPECT)
        self.assertEqual(found.advance(13.0), [MemberDied("e0")])

    def test_a_repeated_failure_does_not_postpone_the_death(self):
        found = members()
        for second in range(4):
            found.connect_failed(found.get("e0"), 10.0 + second, silent=False)
        self.assertEqual(found.advance(13.0), [MemberDied("e0")])

    def test_a_new_incarnation_proves_the_old_one_gone(self):
        """Guards against sending an order to a sidecar that forgot its ledger."""
        found = members()
        self.assertFalse(found.has_ended("e0", 1))
        self.assertTrue(found.opened(found.get("e0"), 2))
        self.assertTrue(found.has_ended("e0", 1))


class ZoneCutTests(unittest.TestCase):
    def test_silent_zone_is_a_cut_and_its_members_are_kept(self):
        """Guards against forgetting a third of the fleet during a network fault."""
        found = members()
        for number in (0, 3, 6):
            found.lost(found.get(f"e{number}"), 10.0, silent=True)
        self.assertEqual(found.advance(10.1), [ZoneCut("a", 3, 4, True)])
        self.assertEqual(found.advance(60.0), [])
        self.assertIs(found.get("e0").state, MemberState.SUSPECT)
        for number in (0, 3):
            found.opened(found.get(f"e{number}"), 1)
        self.assertEqual(found.advance(60.1)[0], ZoneCut("a", 1, 4, False))

    def test_closed_connections_are_deaths_not_a_cut(self):
        """Guards against keeping processes that said goodbye."""
        found = members()
        for number in (0, 3, 6):
            found.lost(found.get(f"e{number}"), 10.0, silent=False)
        self.assertEqual(found.advance(10.1), [])
        self.assertEqual(len(found.advance(13.0)), 3)


class HintTests(unittest.TestCase):
    def test_a_lagging_list_neither_kills_nor_revives(self):
        """Guards against trusting the instance list more than traffic."""
        found = members()
        found.lost(found.get("e0"), 0.0, silent=False)
        found.advance(3.0)
        found.get("e0").next_connect_at = 99.0
        found.instances_listed(
            live=frozenset({"e0"}), leaving=frozenset({"e1"}), now=4.0
        )
        self.assertIs(found.get("e0").state, MemberState.DEAD)
        self.assertLess(found.get("e0").next_connect_at, 4.2)
        self.assertIs(found.get("e1").state, MemberState.ALIVE)
        self.assertIs(found.get("e2").state, MemberState.ALIVE)


class ReconnectTests(unittest.TestCase):
    def test_delays_are_spread(self):
        """Guards against all entries connecting at the same moment."""
        found = members()
        for member in found:
            member.failures = 4
            found.lost(member, 10.0, silent=True)
        delays = {round(member.next_connect_at - 10.0, 2) for member in found}
        self.assertGreater(len(delays), 8)
        self.assertLess(max(delays), 1.7)


class LoadTests(unittest.TestCase):
    def test_lagging_report_is_corrected_by_own_requests(self):
        """Guards against a rush to the server whose report is oldest."""
        found = members()
        member = found.get("e0")
        member.in_flight = 2
        report = LoadReport((1, 2), (0, 3), 4)
        found.reported(member, Heartbeat(0, load=report))
        self.assertEqual((member.load(0), member.load(1)), (3, 6))
        member.in_flight = 5
        self.assertEqual(member.load(0), 6)


class HeartbeatTests(unittest.TestCase):
    def test_state_follows_what_the_sidecar_says(self):
        """Guards against work for a sidecar whose backend server does not answer."""
        members = Members(settings=EntrySettings(), rng=random.Random(1))
        spec = BackendServerSpec(type="service", address="ip:1", service="s")
        members.sync(
            [Resource(kind=Kind.BACKEND_SERVER, name="s1", revision=1, spec=spec)]
        )
        member = members.get("s1")
        for heartbeat, state in (
            (Heartbeat(1), MemberState.ALIVE),
            (Heartbeat(2, unreachable=True), MemberState.IMPAIRED),
            (Heartbeat(3, unreachable=True, draining=True), MemberState.LEAVING),
            (Heartbeat(4), MemberState.ALIVE),
        ):
            members.reported(member, heartbeat)
            self.assertIs(member.state, state)
