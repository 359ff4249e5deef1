"""Tests of ``fighitch.gateway.entry``."""

import socket
import unittest
from dataclasses import replace
from unittest import mock

from fighitch.core.gateway.retry_budget import BudgetLimits
from fighitch.core.gateway.settings import Address, InstanceSettings
from fighitch.gateway import entry as entry_module
from fighitch.gateway.entry import GatewayEntry
from fighitch.platform.engine import SERVERS_KIND
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.sockets import listen
from fighitch.tests.gateway_helpers import A1, server

REQUEST = b"GET /p/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: x\r\n\r\n"

SETTINGS = InstanceSettings(
    instance="front-1",
    host="127.0.0.1",
    zone="z1",
    callers=Address("127.0.0.1", 0),
    readiness=None,
    store=Address("127.0.0.1", 1),
    peer_port=1,
    engine=None,
    retry_limits=BudgetLimits(ratio=0.2, window=10.0, slack=50.0),
    stop_grace=8.0,
    lease=3.0,
    drain_notice=2.0,
)


class ReloadTests(unittest.TestCase):
    def setUp(self):
        self.watcher = mock.patch.object(entry_module, "KindWatcher").start()
        listener = mock.patch.object(entry_module, "listen").start()
        listener.return_value = None
        self.addCleanup(mock.patch.stopall)
        self.entry = GatewayEntry(mock.Mock(), SETTINGS, mock.Mock(), mock.Mock())
        self.entry.start()

    def pauses(self) -> list[float]:
        options = [call.args[2] for call in self.watcher.call_args_list]
        return [item.pause for item in options if item.kind == SERVERS_KIND]

    def test_changed_drain_notice_changes_the_server_watch_pause(self):
        # With a pause longer than the new notice, an entry would still send requests to
        # servers that have already shut down.
        self.entry.reload(replace(SETTINGS, drain_notice=1.0))
        before, after = self.pauses()
        self.assertAlmostEqual(after, before / 2)

    def test_unchanged_settings_keep_the_watchers(self):
        self.entry.reload(replace(SETTINGS))
        self.assertEqual(len(self.pauses()), 1)


class ReadyServerTests(unittest.TestCase):
    """Requests that wait for a place within the limit of a server."""

    def test_server_with_other_adapters_is_still_the_same(self):
        # Each heartbeat of an engine may list other adapters. A request that waited for
        # its place gave the place up and took another one.
        with (
            mock.patch.object(entry_module, "KindWatcher"),
            mock.patch.object(entry_module, "listen", return_value=None),
        ):
            entry = GatewayEntry(mock.Mock(), SETTINGS, mock.Mock(), mock.Mock())
        waiting_for = server("e1")
        entry._membership.put(server("e1", adapters={A1: 1}))
        self.assertTrue(entry.is_ready(waiting_for))
        entry._membership.put(server("e1", start_time_ms=2))
        self.assertFalse(entry.is_ready(waiting_for))


class StopTests(unittest.TestCase):
    """Connections and requests that arrive when a stopping entry closes its listener.

    Closing a socket with unread input resets it, and the caller gets no response to a
    request that had just been accepted.
    """

    def setUp(self):
        self.loop = EventLoop()
        for name in ("KindWatcher", "_LISTENER_CLOSE_DELAY"):
            value = mock.Mock() if name == "KindWatcher" else 0.0
            patch = mock.patch.object(entry_module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.listener = listen("127.0.0.1", 0)
        with mock.patch.object(entry_module, "listen", return_value=self.listener):
            self.entry = GatewayEntry(self.loop, SETTINGS, mock.Mock(), mock.Mock())
            self.entry.start()
        self.addCleanup(self.listener.close)

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.listener.getsockname(), timeout=5)
        self.addCleanup(sock.close)
        return sock

    def receive(self, sock: socket.socket) -> bytes:
        """Stops the entry and returns all that it sends."""
        self.entry.stop()
        self.loop.call_later(2.0, self.loop.stop)
        self.loop.run()
        received = b""
        while data := sock.recv(65_536):
            received += data
        return received

    def assert_answered(self, received: bytes) -> None:
        # Without a configuration, the entry answers each request with 503.
        self.assertIn(b"HTTP/1.1 503", received)
        self.assertIn(b"Connection: close", received)

    def test_request_on_a_connection_that_is_not_yet_accepted(self):
        sock = self.connect()
        sock.sendall(REQUEST)
        self.assert_answered(self.receive(sock))

    def test_request_on_a_persistent_connection_that_is_not_yet_read(self):
        sock = self.connect()
        self.loop.run_once(0.1)
        sock.sendall(REQUEST)
        # The request arrives after the latest read of the loop.
        self.entry.stop()
        self.entry._close_idle_callers()
        self.assert_answered(self.receive(sock))

    def test_idle_connection_is_closed(self):
        sock = self.connect()
        self.loop.run_once(0.1)
        self.assertEqual(self.receive(sock), b"")


if __name__ == "__main__":
    unittest.main()
