"""Engines that fall silent for a while must not count as crashed."""

import socket
import unittest
from dataclasses import replace
from unittest import mock

from fighitch.core.gateway.model import BackendServer, RequestSize, Service
from fighitch.core.gateway.settings import Address
from fighitch.gateway import agent_links
from fighitch.gateway.agent_links import AgentLinks
from fighitch.gateway.entry import GatewayEntry
from fighitch.gateway.peer_messages import CrashReport, Status, encode
from fighitch.platform.requests import RequestMetadata
from fighitch.runtime.event_loop import EventLoop
from fighitch.tests.gateway_helpers import A1, engine_spec, server
from fighitch.tests.test_gateway_entry import SETTINGS

PARTS = ("first", "rare")
METADATA = RequestMetadata("r1", "h", "/", 5.0, A1, RequestSize(), "", PARTS)
ENGINES = ("e1", "e2", "e3")


class SilentEngineTestCase(unittest.TestCase):
    """An entry whose agents are sockets of the test, on a clock of the test."""

    def setUp(self):
        self.now = 100.0
        self.loop = EventLoop(lambda: self.now)
        self.agents: dict[str, socket.socket] = {}
        self.start_times_ms = dict.fromkeys(ENGINES, 1)
        pairs = [socket.socketpair() for _ in ENGINES]
        for name, (ours, agent) in zip(ENGINES, pairs, strict=True):
            ours.setblocking(False)
            self.addCleanup(agent.close)
            self.agents[name] = agent
        opened = [ours for ours, _ in pairs]
        for patch in (
            mock.patch.object(agent_links, "open_stream", side_effect=opened),
            mock.patch.object(agent_links, "start_connecting"),
            mock.patch("fighitch.gateway.peer_connection.set_stream_options"),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        settings = replace(SETTINGS, callers=Address("127.0.0.1", 0))
        self.entry = GatewayEntry(self.loop, settings, mock.Mock(), mock.Mock())
        self.addCleanup(self.entry.links.update, {})
        self.update({name: server(name) for name in ENGINES})
        self.run_for(0.1)
        for name in ENGINES:
            self.send_status(name)
        self.assertTrue(all(self.entry.links.is_connected(name) for name in ENGINES))

    @property
    def links(self) -> AgentLinks:
        return self.entry.links

    def update(self, servers: dict[str, BackendServer]) -> None:
        spec = engine_spec()
        self.links.update({name: (item, spec) for name, item in servers.items()})

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.loop.run_once(0.0)

    def send_status(self, name: str, *, serving: bool = True) -> None:
        status = Status(self.start_times_ms[name], serving, False, 0, 0, 0, 1)
        self.agents[name].sendall(encode(status))
        self.run_for(0.05)

    def keep_alive(self, seconds: float, *, silent: str = "") -> None:
        """Lets all engines serve for a while, except a silent one."""
        for _ in range(round(seconds / 0.25)):
            self.run_for(0.1)
            for name in ENGINES:
                self.send_status(name, serving=name != silent)

    def lose(self, name: str) -> None:
        """Ends an attempt at a silent engine, as a takeover does."""
        self.entry.quarantine.record_lost(server(name), PARTS)


class SilentEngineTests(SilentEngineTestCase):
    def fall_silent(self, name: str) -> None:
        self.lose(name)
        self.send_status(name, serving=False)
        self.keep_alive(0.5, silent=name)
        self.send_status(name)

    def test_part_of_requests_lost_at_engines_that_go_on_is_not_blocked(self):
        # An engine that is silent for a second counts as down after two lost reports,
        # and its requests are taken over. Three such engines blocked a sound part for
        # an hour, as no request with the part was sent any more.
        for name in ENGINES:
            self.fall_silent(name)
            self.assertFalse(self.entry.quarantine.blocks(PARTS))
        self.assertFalse(self.entry.quarantine.is_suspect(PARTS))

    def test_request_lost_after_its_engine_goes_on_is_no_crash(self):
        # A takeover that began in the silence can end the attempt after it.
        for name in ENGINES:
            self.send_status(name, serving=False)
            self.keep_alive(0.5, silent=name)
            self.send_status(name)
            self.lose(name)
        self.assertFalse(self.entry.quarantine.is_suspect(PARTS))

    def test_engine_that_starts_again_has_crashed(self):
        for name in ENGINES:
            self.lose(name)
            self.send_status(name, serving=False)
            self.keep_alive(0.5, silent=name)
            self.start_times_ms[name] = 2
            self.send_status(name)
        self.keep_alive(4.0)
        self.update({name: server(name, start_time_ms=2) for name in ENGINES})
        self.keep_alive(4.0)
        self.assertTrue(self.entry.quarantine.blocks(PARTS))

    def test_crashes_reported_late_by_others_do_not_outlast_reports_of_service(self):
        # An entry that starts gets all evidence from the agents, which keep it.
        crashes = [(name, 1, 5_000 * n, list(PARTS)) for n, name in enumerate(ENGINES)]
        self.entry.quarantine.on_report(CrashReport(crashes, []))
        self.assertTrue(self.entry.quarantine.blocks(PARTS))
        self.keep_alive(4.0)
        self.assertFalse(self.entry.quarantine.blocks(PARTS))
        self.entry.quarantine.on_report(CrashReport(crashes, []))
        self.keep_alive(4.0)
        self.assertFalse(self.entry.quarantine.blocks(PARTS))


class ResetConnectionTests(SilentEngineTestCase):
    """An engine with too many connections resets new ones, and goes on."""

    def fail_attempt(self, name: str, *, sent: bool, refused: bool = False) -> None:
        self.entry.record_outcome(
            Service("models", engine=engine_spec()),
            server(name),
            failed=True,
            unreachable=not sent,
            refused=refused,
            outcome="reset",
            elapsed=0.01,
            metadata=METADATA,
            answered=False,
        )

    def test_reset_of_a_new_connection_does_not_show_a_crash(self):
        # Beside a response that broke off, it made a crash of a sound engine.
        for name in ENGINES:
            self.fail_attempt(name, sent=False)
            self.fail_attempt(name, sent=True)
        self.assertFalse(self.entry.quarantine.is_suspect(PARTS))

    def test_refused_connection_shows_a_crash(self):
        self.fail_attempt("e1", sent=False, refused=True)
        self.fail_attempt("e1", sent=True)
        self.assertTrue(self.entry.quarantine.is_suspect(PARTS))


if __name__ == "__main__":
    unittest.main()
