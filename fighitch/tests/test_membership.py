"""Tests of ``fighitch.core.entry.membership``."""

import random
import unittest

from fighitch.core.entry.membership import MemberDied, Members, MemberState, ZoneCut
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.messages import Heartbeat, LoadReport
from fighitch.core.resources import BackendServerSpec, Kind, Resource
from fighitch.tests.entry_helpers import ZONES, server


def connected_members(count=12):
    members = Members(settings=EntrySettings(), rng=random.Random(1))
    members.sync(
        server(f"e{number}", zone=ZONES[number % 3]) for number in range(count)
    )
    for member in members:
        members.on_opened(member, 1)
    return members


class SuspicionTests(unittest.TestCase):
    def test_member_with_a_lost_connection_is_suspect_before_it_is_dead(self):
        """Guards against declaring a sidecar dead after a short connection loss."""
        members = connected_members()
        members.on_lost(members.get("e0"), 10.0, silent=True)
        self.assertEqual(members.detect_failures(12.9), [])
        self.assertIs(members.get("e0").state, MemberState.SUSPECT)
        self.assertEqual(members.detect_failures(13.0), [MemberDied("e0")])

    def test_repeated_failures_do_not_extend_the_suspicion_timeout(self):
        members = connected_members()
        for second in range(4):
            members.on_connect_failed(members.get("e0"), 10.0 + second, silent=False)
        self.assertEqual(members.detect_failures(13.0), [MemberDied("e0")])

    def test_new_incarnation_proves_that_the_old_one_has_ended(self):
        """Guards against sending an order to a restarted sidecar without its ledger."""
        members = connected_members()
        self.assertFalse(members.has_ended("e0", 1))
        self.assertTrue(members.on_opened(members.get("e0"), 2))
        self.assertTrue(members.has_ended("e0", 1))


class ZoneCutTests(unittest.TestCase):
    def test_members_of_a_silent_zone_stay_suspect(self):
        """Guards against declaring a third of the fleet dead during a partition."""
        members = connected_members()
        for number in (0, 3, 6):
            members.on_lost(members.get(f"e{number}"), 10.0, silent=True)
        self.assertEqual(members.detect_failures(10.1), [ZoneCut("a", 3, 4, True)])
        self.assertEqual(members.detect_failures(60.0), [])
        self.assertIs(members.get("e0").state, MemberState.SUSPECT)
        for number in (0, 3):
            members.on_opened(members.get(f"e{number}"), 1)
        self.assertEqual(members.detect_failures(60.1)[0], ZoneCut("a", 1, 4, False))

    def test_closed_connections_are_no_zone_cut(self):
        """Guards against keeping processes that closed their connections."""
        members = connected_members()
        for number in (0, 3, 6):
            members.on_lost(members.get(f"e{number}"), 10.0, silent=False)
        self.assertEqual(members.detect_failures(10.1), [])
        self.assertEqual(len(members.detect_failures(13.0)), 3)


class HintTests(unittest.TestCase):
    def test_instance_list_changes_no_member_to_dead_or_alive(self):
        """Guards against trusting the lagging instance list more than traffic."""
        members = connected_members()
        members.on_lost(members.get("e0"), 0.0, silent=False)
        members.detect_failures(3.0)
        members.get("e0").next_connect_at = 99.0
        members.apply_instance_list(
            live=frozenset({"e0"}), leaving=frozenset({"e1"}), now=4.0
        )
        self.assertIs(members.get("e0").state, MemberState.DEAD)
        self.assertLess(members.get("e0").next_connect_at, 4.2)
        self.assertIs(members.get("e1").state, MemberState.ALIVE)
        self.assertIs(members.get("e2").state, MemberState.ALIVE)


class ReconnectTests(unittest.TestCase):
    def test_reconnect_delays_are_random(self):
        """Guards against all entries connecting at the same moment."""
        members = connected_members()
        for member in members:
            member.failures = 4
            members.on_lost(member, 10.0, silent=True)
        delays = {round(member.next_connect_at - 10.0, 2) for member in members}
        self.assertGreater(len(delays), 8)
        self.assertLess(max(delays), 1.7)


class LoadTests(unittest.TestCase):
    def test_load_report_is_corrected_by_later_requests(self):
        """Guards against sending all requests to the server with the oldest report."""
        members = connected_members()
        member = members.get("e0")
        member.in_flight = 2
        report = LoadReport((1, 2), (0, 3), 4)
        members.apply_heartbeat(member, Heartbeat(0, load=report))
        self.assertEqual((member.load(0), member.load(1)), (3, 6))
        member.in_flight = 5
        self.assertEqual(member.load(0), 6)


class HeartbeatTests(unittest.TestCase):
    def test_state_follows_the_heartbeat(self):
        """Guards against requests to a sidecar with an unreachable backend server."""
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
            members.apply_heartbeat(member, heartbeat)
            self.assertIs(member.state, state)
