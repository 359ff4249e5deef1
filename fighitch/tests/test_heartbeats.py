"""Tests of heartbeat intervals of entries and sidecars."""

import random
import unittest

from fighitch.core import effects, inputs, messages
from fighitch.core.entry import EntryCore
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.resources import BackendServerSpec, Kind, Resource, WorkPolicySpec
from fighitch.core.sidecar.links import Links
from fighitch.tests.sidecar_helpers import SIGNER, SidecarDriver

TICK = 0.05
CONNECTIONS = 96
INTERVAL = CONNECTIONS / EntrySettings().heartbeats_per_second


def server(number, *, zone="z"):
    spec = BackendServerSpec(
        type="service",
        address=f"10.0.0.{number}:1",
        availability_zone=zone,
        service="s",
    )
    return Resource(kind=Kind.BACKEND_SERVER, name=f"s{number}", revision=1, spec=spec)


def policy(revision=1):
    spec = WorkPolicySpec(rank=1)
    return Resource(kind=Kind.WORK_POLICY, name="p", revision=revision, spec=spec)


class HeartbeatDriver:
    """Drives an ``EntryCore`` whose connections are opened by the test."""

    def __init__(self, servers, **settings):
        self.core = EntryCore(
            "e1",
            1,
            signer=SIGNER,
            rng=random.Random(1),
            availability_zone="z",
            settings=EntrySettings(**settings),
        )
        self.now = 100.0
        self.connected = set()
        self.sent = []
        self.handle(inputs.ConfigurationReceived((*servers, policy()), 1))

    def handle(self, event):
        found = self.core.handle(event, now=self.now)
        self.sent += [
            (self.now, one.connection, one.message)
            for one in found
            if isinstance(one, effects.Send)
        ]
        return found

    def connect(self, servers):
        for number, one in enumerate(servers, 1):
            peer = messages.Peer(messages.Role.SIDECAR, one.name, 7, "z")
            self.handle(inputs.ConnectionOpened(number, peer, one.spec.address))
            self.receive_heartbeat(number)

    def receive_heartbeat(self, connection, *, revision=1):
        heartbeat = messages.Heartbeat(
            1, revision, load=messages.LoadReport(batch_size=1)
        )
        self.handle(inputs.MessageReceived(connection, heartbeat))

    def tick(self, seconds, *, heartbeats_from=()):
        """Advances the time; returns the connections that the entry closed."""
        lost = []
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for connection in heartbeats_from:
                self.receive_heartbeat(connection)
            found = self.handle(inputs.Tick())
            lost += [
                one.connection for one in found if isinstance(one, effects.Disconnect)
            ]
        return lost

    def heartbeats_sent(self, *, since):
        return [
            connection
            for at, connection, message in self.sent
            if at >= since and isinstance(message, messages.Heartbeat)
        ]


class EntryIntervalTests(unittest.TestCase):
    def setUp(self):
        self.servers = [server(number) for number in range(1, CONNECTIONS + 1)]
        self.entry = HeartbeatDriver(self.servers)
        self.entry.connect(self.servers)
        # The first intervals were announced while there were fewer connections.
        self.entry.tick(2 * INTERVAL, heartbeats_from=range(1, CONNECTIONS + 1))

    def test_heartbeat_rate_is_limited_over_all_connections(self):
        """Guards against control traffic that grows with the fleet."""
        began = self.entry.now
        self.entry.tick(10.0, heartbeats_from=range(1, CONNECTIONS + 1))
        rate = len(self.entry.heartbeats_sent(since=began)) / 10.0
        self.assertLessEqual(rate, EntrySettings().heartbeats_per_second * 1.1)

    def test_idle_connection_times_out_after_three_announced_intervals(self):
        """Guards against a timeout shorter than the interval that sidecars keep to."""
        others = range(2, CONNECTIONS + 1)
        self.assertEqual(self.entry.tick(2.8 * INTERVAL, heartbeats_from=others), [])
        self.assertEqual(self.entry.tick(0.4 * INTERVAL, heartbeats_from=others), [1])

    def test_connection_in_use_times_out_after_the_base_timeout(self):
        """Guards against requests that wait for a dead sidecar for too long."""
        busy = self.entry.core._connections.get(1)
        self.entry.core._connections.record_request(busy, self.entry.now)
        others = range(2, CONNECTIONS + 1)
        timeout = EntrySettings().silence_timeout
        self.assertEqual(
            self.entry.tick(timeout - 2 * TICK, heartbeats_from=others), []
        )
        self.assertEqual(self.entry.tick(4 * TICK, heartbeats_from=others), [1])

    def test_new_revision_is_announced_at_once_to_peers_that_lack_it(self):
        """Guards against a change that waits for the next heartbeat interval."""
        self.entry.receive_heartbeat(1, revision=2)
        began = self.entry.now
        event = inputs.ConfigurationReceived((policy(2),), 2, base=1)
        self.entry.handle(event)
        self.entry.tick(TICK)
        self.assertGreaterEqual(
            set(self.entry.heartbeats_sent(since=began)), set(range(2, CONNECTIONS + 1))
        )

    def test_small_fleet_keeps_the_base_interval(self):
        few = [server(number) for number in range(1, 13)]
        entry = HeartbeatDriver(few)
        entry.connect(few)
        stated = {
            message.interval
            for _, _, message in entry.sent
            if isinstance(message, messages.Heartbeat)
        }
        self.assertEqual(stated, {500})


class AssignmentTests(unittest.TestCase):
    def test_entry_of_a_large_fleet_connects_to_a_part_of_its_zone(self):
        """Guards against idle sidecars to which no entry announces changes."""
        servers = [server(number, zone="zy"[number % 2]) for number in range(1, 41)]
        entry = HeartbeatDriver(servers, max_connections=16, assigned_connections=8)
        found = []
        for _ in range(10):
            entry.now += TICK
            found += [
                one.address
                for one in entry.handle(inputs.Tick())
                if isinstance(one, effects.Connect)
            ]
        zone = {
            one.spec.address for one in servers if one.spec.availability_zone == "z"
        }
        self.assertEqual(len(set(found)), 8)
        self.assertLessEqual(set(found), zone)


class SidecarLinkTests(unittest.TestCase):
    def setUp(self):
        self.links = Links(interval=0.5, silence_timeout=1.5)
        self.links.open(1, messages.Peer(messages.Role.ENTRY, "e", 1), 0.0)
        self.links.record_heartbeat(1, messages.Heartbeat(1, 5, interval=4_000))

    def take_due_heartbeats(
        self, now, *, revision=5, ahead=0, draining=False, lost=False, in_use=()
    ):
        return list(
            self.links.take_due_heartbeats(
                now,
                revision=revision,
                state=(ahead, draining, lost),
                in_use=frozenset(in_use),
            )
        )

    def test_sidecar_keeps_to_the_interval_of_the_entry(self):
        """Guards against heartbeats at a higher rate than the entry can handle."""
        self.assertEqual(len(self.take_due_heartbeats(0.0)), 1)
        self.assertEqual(self.take_due_heartbeats(3.9), [])
        self.assertTrue(self.take_due_heartbeats(4.0)[0].has_load_report)

    def test_entry_times_out_after_three_of_its_intervals(self):
        for step in range(1, 240):
            self.assertEqual(self.links.silent_connections(step * TICK), [])
        self.assertEqual(self.links.silent_connections(12.0), [1])

    def test_connection_in_use_carries_a_message_in_every_base_interval(self):
        """Guards against a busy sidecar that the entry considers dead."""
        self.take_due_heartbeats(0.0)
        self.assertEqual(self.take_due_heartbeats(0.45, in_use={1}), [])
        self.assertEqual(len(self.take_due_heartbeats(0.5, in_use={1})), 1)
        self.links.sent(1, 0.9)
        self.assertEqual(self.take_due_heartbeats(1.0, in_use={1}), [])

    def test_state_change_is_announced_at_once_and_without_the_load(self):
        """Guards against drains and changes that wait for the heartbeat interval."""
        self.take_due_heartbeats(0.0)
        drain = self.take_due_heartbeats(0.1, draining=True)
        self.assertEqual([item.has_load_report for item in drain], [False])
        self.assertEqual(self.take_due_heartbeats(0.15, draining=True), [])
        self.assertEqual(
            len(self.take_due_heartbeats(0.2, draining=True, revision=6)), 1
        )

    def test_changes_ahead_and_a_lost_backend_server_are_announced_at_once(self):
        """Guards against an accepted change that waits 10 s for the next heartbeat."""
        self.take_due_heartbeats(0.0)
        self.assertEqual(len(self.take_due_heartbeats(0.1, ahead=7)), 1)
        self.assertEqual(self.take_due_heartbeats(0.15, ahead=7), [])
        self.assertEqual(len(self.take_due_heartbeats(0.2, ahead=7, lost=True)), 1)

    def test_revision_that_the_entry_has_is_not_announced(self):
        """Guards against echoing every change on every connection."""
        self.take_due_heartbeats(0.0)
        self.links.record_heartbeat(1, messages.Heartbeat(2, 6, interval=4_000))
        self.assertEqual(self.take_due_heartbeats(0.1, revision=6), [])


class SidecarCoreTests(unittest.TestCase):
    def test_queued_request_triggers_heartbeats_at_the_base_interval(self):
        """Guards against a silence timeout while a request is queued."""
        sidecar = SidecarDriver()
        sidecar.receive(messages.Heartbeat(1, 1, interval=4_000))
        sidecar.tick(after=1.0)
        sidecar.submit()
        sidecar.effects.clear()
        for _ in range(20):
            sidecar.tick(after=TICK)
        self.assertGreaterEqual(len(sidecar.sent(messages.Heartbeat)), 2)


if __name__ == "__main__":
    unittest.main()
