"""Tests of ``fighitch.core.entry.connections`` through the core of an entry."""

import unittest

from fighitch.core.effects import AnswerEnded, Connect, Disconnect
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.inputs import (
    ConfigurationReceived,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    MessageReceived,
)
from fighitch.core.messages import Heartbeat, Peer, Resume, Role, Submit
from fighitch.tests.entry_helpers import (
    INCARNATION,
    EntryDriver,
    build_response,
    configuration,
)


class LivenessTests(unittest.TestCase):
    def test_heartbeat_is_sent_on_an_idle_connection(self):
        driver = EntryDriver()
        before = len(driver.sent(Heartbeat))
        driver.tick(0.49)
        self.assertEqual(len(driver.sent(Heartbeat)), before)
        driver.tick(0.02)
        self.assertEqual(len(driver.sent(Heartbeat)), before + 5)

    def test_new_revision_is_sent_immediately(self):
        """Guards against a change that reaches the sidecars after more than 5 s."""
        driver = EntryDriver()
        driver.handle(ConfigurationReceived((), 11, 10))
        driver.tick(0.05)
        revisions = [beat.revision for _, beat in driver.sent(Heartbeat)[-5:]]
        self.assertEqual(revisions, [11] * 5)

    def test_silent_connection_is_replaced_and_the_response_resumed(self):
        """Guards against waiting forever on a connection that receives nothing."""
        driver = EntryDriver()
        driver.send_request(streamed=True)
        [(name, submit)] = driver.sent(Submit)
        first, *rest = build_response(submit, b"a", b"b")
        driver.receive(name, first)
        silent = driver.connection(name)
        driver.effects.clear()
        for _ in range(2):
            driver.tick(0.76)
        self.assertIn(Disconnect(silent, "silent"), driver.effects)
        driver.tick(0.2)
        self.assertIn(Connect(f"{name}:1"), driver.effects)
        driver.open(f"{name}:1")
        self.assertEqual(driver.sent(Resume), [(name, Resume("r1", 1, 1))])
        for message in rest:
            driver.receive(name, message)
        self.assertEqual(driver.answer.status, 200)

    def test_message_on_a_replaced_connection_is_dropped(self):
        driver = EntryDriver()
        driver.send_request()
        [(name, submit)] = driver.sent(Submit)
        old = driver.connection(name)
        driver.open(f"{name}:1")
        self.assertIn(Disconnect(old, "replaced"), driver.effects)
        self.assertEqual(len(driver.sent(Resume)), 1)
        for message in build_response(submit, b"a"):
            driver.handle(MessageReceived(old, message))
        self.assertEqual(driver.effects_of(AnswerEnded), [])
        self.assertEqual(len(driver.logged("message_dropped")), 2)


class ReconnectTests(unittest.TestCase):
    def test_lost_connection_is_reopened_after_a_random_delay(self):
        driver = EntryDriver()
        driver.effects.clear()
        driver.handle(ConnectionClosed(driver.connection("e0")))
        for _ in range(3):
            driver.tick()
        self.assertEqual(driver.effects_of(Connect), [Connect("e0:1")])

    def test_failed_attempts_back_off(self):
        """Guards against a connection attempt to a dead sidecar in every tick."""
        driver = EntryDriver()
        driver.handle(ConnectionClosed(driver.connection("e0")))
        driver.effects.clear()
        attempts = 0
        for _ in range(120):
            driver.keep_alive(0.5)
            for _ in range(
                driver.effects_of(Connect).count(Connect("e0:1")) - attempts
            ):
                attempts += 1
                driver.handle(ConnectionFailed("e0:1", "refused"))
        self.assertLess(attempts, 50)
        self.assertGreater(attempts, 12)

    def test_first_connections_are_spread(self):
        """Guards against a restarted entry that opens all connections at once."""
        driver = EntryDriver(resources=configuration(engines=60), connect=False)
        counts = [len([e for e in driver.tick() if isinstance(e, Connect)])]
        counts += [len([e for e in driver.tick() if isinstance(e, Connect)])]
        self.assertEqual(sum(counts), 62)
        self.assertLess(max(counts), 50)

    def test_process_at_a_reused_address_is_rejected(self):
        """Guards against sending work to a sidecar other than the configured one."""
        driver = EntryDriver(connect=False)
        driver.open("e0:1", name="e9", heartbeat=False)
        self.assertEqual(driver.effects_of(Disconnect)[-1].reason, "unexpected peer")


class LimitTests(unittest.TestCase):
    def test_least_recently_used_idle_connection_is_closed(self):
        settings = EntrySettings(max_connections=3, assigned_connections=0)
        driver = EntryDriver(connect=False, settings=settings)
        for name in ("e0", "e1", "e2", "s0"):
            driver.now += 0.1
            driver.open(f"{name}:1")
        [closed] = driver.effects_of(Disconnect)
        self.assertEqual(driver.addresses[closed.connection], "e0")

    def test_connections_are_opened_on_demand_beyond_the_limit(self):
        settings = EntrySettings(max_connections=3, assigned_connections=0)
        driver = EntryDriver(connect=False, settings=settings)
        driver.tick(0.2)
        self.assertEqual(driver.effects_of(Connect), [])
        driver.send_request()
        self.assertEqual(len(driver.effects_of(Connect)), 1)
        driver.open(driver.effects_of(Connect)[0].address)
        self.assertEqual(len(driver.sent(Submit)), 1)


class BootstrapTests(unittest.TestCase):
    def test_bootstrap_connection_is_used_after_the_configuration_arrives(self):
        """Guards against a second connection to each bootstrap peer."""
        driver = EntryDriver(resources=(), connect=False, peers=("e0:1",))
        driver.tick()
        self.assertEqual(driver.effects_of(Connect), [Connect("e0:1")])
        peer = Peer(Role.SIDECAR, "e0", INCARNATION)
        driver.addresses[1] = "e0"
        driver.handle(ConnectionOpened(1, peer, "e0:1"))
        driver.handle(ConfigurationReceived(configuration(), 10))
        driver.tick(0.2)
        self.assertEqual(driver.effects_of(Connect).count(Connect("e0:1")), 1)
        states = {
            m.name: m.is_connected for m in driver.core.status(now=0).backend_servers
        }
        self.assertTrue(states["e0"])
