"""Tests of ``fighitch.gateway.entry``."""

import json
import socket
import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import given, settings, strategies

from fighitch.core.gateway.membership import LAPSE_GRACE
from fighitch.core.gateway.model import Configuration, Service
from fighitch.core.gateway.retry_budget import BudgetLimits
from fighitch.core.gateway.settings import Address, InstanceSettings
from fighitch.gateway import agent_links, entry as entry_module, store_watches
from fighitch.gateway.entry import GatewayEntry
from fighitch.gateway.peer_messages import Hello, encode
from fighitch.observability.logs import format_event
from fighitch.platform.engine import SERVERS_KIND
from fighitch.platform.requests import encode_call, encode_request
from fighitch.platform.store import ObjectPage, decode_list, decode_watch
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.header_fields import HeaderFields
from fighitch.runtime.http_callers import CallerRequest
from fighitch.runtime.sockets import listen
from fighitch.tests.gateway_helpers import A1, engine_spec, server

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
        self.watcher = mock.patch.object(store_watches, "KindWatcher").start()
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
            mock.patch.object(store_watches, "KindWatcher"),
            mock.patch.object(entry_module, "listen", return_value=None),
        ):
            entry = GatewayEntry(mock.Mock(), SETTINGS, mock.Mock(), mock.Mock())
        waiting_for = server("e1")
        entry._membership.put(server("e1", adapters={A1: 1}))
        self.assertTrue(entry.is_ready(waiting_for))
        entry._membership.put(server("e1", start_time_ms=2))
        self.assertFalse(entry.is_ready(waiting_for))


class LapsedServerTests(unittest.TestCase):
    """Servers that are listed again while the entry stands still."""

    def test_server_is_not_removed_while_its_new_entry_is_unread(self):
        # Guards against a removal after a long callback, when the grace period has
        # ended but what the store sent in time has not been read.
        with (
            mock.patch.object(store_watches, "KindWatcher"),
            mock.patch.object(entry_module, "listen", return_value=None),
        ):
            entry = GatewayEntry(mock.Mock(), SETTINGS, mock.Mock(), mock.Mock())
            entry.start()
        entry._watches._watchers[SERVERS_KIND].is_lost = False
        entry._membership.put(server("e1"))
        entry._membership.record_store_contact(0.0, after_outage=True)
        entry._membership.remove("e1", 0.0)
        entry.loop.now.return_value = LAPSE_GRACE + 1.0
        entry.loop.polled_at = LAPSE_GRACE - 1.0
        entry._run_housekeeping()
        self.assertTrue(entry.is_ready(server("e1")))
        entry.loop.polled_at = LAPSE_GRACE + 1.0
        entry._run_housekeeping()
        self.assertFalse(entry.is_ready(server("e1")))


class InternalErrorTests(unittest.TestCase):
    """Unexpected errors before a request has a relay."""

    def test_request_is_rejected_at_once(self):
        # Guards against a complete request that gets neither answer nor rejection.
        with (
            mock.patch.object(store_watches, "KindWatcher"),
            mock.patch.object(entry_module, "listen", return_value=None),
        ):
            entry = GatewayEntry(mock.Mock(), SETTINGS, mock.Mock(), mock.Mock())
        headers = HeaderFields([(b"Host", b"h"), (b"Attempt-Id", b"x")])
        request = CallerRequest(b"GET", b"/p/", headers, b"", 0.0)
        caller = mock.Mock()
        with mock.patch.object(entry_module, "decode_request", side_effect=KeyError):
            entry._on_request(caller, request)
        self.assertEqual(caller.send_head.call_args.args[0], 503)
        self.assertIn((b"Attempt-Id", b"x"), caller.send_head.call_args.args[1])
        caller.finish.assert_called_once()


HEARTBEAT = {
    "Service": "models",
    "Address": "10.0.0.9:8080",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Models": [{"Name": "base", "Version": 1, "Adapters": ["a1@3"]}],
    "Seq": 4,
    "born": 1_700_000_000_000,
}
ODD_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([10**30, 10**400, -(10**400), 2**53, 2**64, -1, 0])
    | strategies.floats()
    | strategies.text(max_size=6)
    | strategies.sampled_from(
        ["\ud800", "10.0.0.9:70000", "a@" + "9" * 5_000, "ready", "a\r\nb"]
    ),
    lambda values: (
        strategies.lists(values, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["Name", "Version", "Adapters", "x"]), values
        )
    ),
    max_leaves=6,
)
ODD_NUMBERS = strategies.sampled_from([10**400, -(10**400), 2**53, 2**64, 2**63, -1])
ODD_ADDRESSES = strategies.sampled_from(
    ["10.0.0.9:70000", "10.0.0.9:0", "h:80", "10.0.0.9:" + "9" * 5_000, "\ud800:1"]
)
ODD_ADAPTERS = strategies.sampled_from(
    [[{"Name": "base", "Adapters": ["a@" + "9" * count]}] for count in (16, 5_000)]
)
ODD_ENTRIES = strategies.dictionaries(
    strategies.sampled_from([*HEARTBEAT, "RemainingMs", "x"]), ODD_VALUES, max_size=4
) | strategies.one_of(
    strategies.fixed_dictionaries({"born": ODD_NUMBERS}),
    strategies.fixed_dictionaries({"Slots": ODD_NUMBERS}),
    strategies.fixed_dictionaries({"Address": ODD_ADDRESSES}),
    strategies.fixed_dictionaries({"Models": ODD_ADAPTERS}),
)
NAMES = strategies.text(max_size=5) | strategies.sampled_from(
    ["", "\ud800", "a\r\nHold: 1", "i" * 9_000, "z", "~", "\u20ac"]
)


class OddEntryTests(unittest.TestCase):
    """Entries of other writers in the list of servers."""

    def setUp(self):
        patches = [mock.patch.object(store_watches, "KindWatcher")]
        patches.append(mock.patch.object(entry_module, "listen", return_value=None))
        patches.append(mock.patch.object(agent_links, "PeerConnection"))
        patches.append(mock.patch.object(agent_links, "start_connecting"))
        patches.append(mock.patch.object(agent_links, "open_stream"))
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.loop = mock.Mock()
        self.loop.now.return_value = 0.0
        self.start_entry()

    def start_entry(self) -> None:
        self.log_lines: list[str] = []
        log = mock.Mock()
        log.event.side_effect = lambda name, **fields: self.log_lines.append(
            format_event(name, fields.items())
        )
        self.entry = GatewayEntry(self.loop, SETTINGS, log, mock.Mock())
        services = {"models": Service("models", engine=engine_spec())}
        self.entry._configuration = Configuration(1, (), services)

    def watcher_callbacks(self) -> dict:
        self.entry.start()
        calls = reversed(store_watches.KindWatcher.call_args_list)
        return next(call.kwargs for call in calls if call.args[2].kind == SERVERS_KIND)

    def page(self, odd_name: str, odd_spec: bytes, *, watch: bool) -> ObjectPage:
        """Returns a decoded page with an odd entry between two servers."""
        # The second server sorts after the odd entry.
        good = [
            json.dumps(HEARTBEAT | {"Address": f"10.0.0.{n}:80"}).encode()
            for n in (1, 2)
        ]
        named = [("i-1", good[0]), (odd_name, odd_spec), ("i-2", good[1])]
        items = [
            b'{"Metadata": {"Name": %s, "Revision": 3}, "Spec": %s}'
            % (json.dumps(name).encode(), spec)
            for name, spec in named
        ]
        if not watch:
            return decode_list(b'{"items": [%s], "At": 3}' % b",".join(items))
        events = [b'{"Object": %s}' % item for item in items]
        return decode_watch(b'{"events": [%s], "At": 3}' % b",".join(events))

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(
        NAMES,
        ODD_ENTRIES,
        strategies.booleans(),
        # Hypothesis raises the recursion limit.
        strategies.sampled_from([0, 10, 50_000]),
        strategies.binary(max_size=2),
    )
    def test_other_servers_are_in_use(self, name, changes, watch, depth, noise):
        if name in ("i-1", "i-2"):
            return
        self.start_entry()
        spec = json.dumps(HEARTBEAT | changes).encode()
        nested = b"[" * depth + b"1" + b"]" * depth
        if depth:
            spec = b'%s, "deep": %s}' % (spec[:-1], nested)
        if noise and not set(noise) & set(b'[]{}",\\'):
            spec = b'%s, "noise": %s}' % (spec[:-1], noise)
        page = self.page(name, spec, watch=watch)
        callbacks = self.watcher_callbacks()
        if watch:
            for item in page.objects:
                callbacks["on_change"](item)
        else:
            callbacks["on_list"](page.objects)
        ready = {item.instance_id for item in self.entry._membership.ready("models")}
        self.assertLessEqual({"i-1", "i-2"}, ready)
        self.assertLessEqual({"i-1", "i-2"}, set(self.entry.links.views))
        for item in self.entry._membership.servers:
            self.assert_usable(item)
        for line in self.log_lines:
            line.encode()
            self.assertEqual(len(line.splitlines()), 1)
        self.entry.links.update({})

    def test_odd_entry_is_logged_once_however_often_it_is_listed(self):
        page = self.page("odd", b'{"Slots": "x"}', watch=False)
        callbacks = self.watcher_callbacks()
        for _ in range(3):
            callbacks["on_list"](page.objects)
        lines = [line for line in self.log_lines if "server_entry_unreadable" in line]
        self.assertEqual(len(lines), 1)
        self.assertIn("entry=odd", lines[0])

    def assert_usable(self, item) -> None:
        encode(Hello("e", item.instance_id, item.start_time_ms, b""))
        request = CallerRequest(b"GET", b"/", HeaderFields(), b"", 0.0)
        head = encode_request(request, time_left=1.0, instance_id=item.instance_id)
        self.assertEqual(head.count(b"\r\n"), 4)
        encode_call("POST", "/order", "h", instance_id=item.instance_id)
        self.assertTrue(1 <= item.port <= 65_535)
        socket.inet_pton(socket.AF_INET, item.host)


class StopTests(unittest.TestCase):
    """Connections and requests that arrive when a stopping entry closes its listener.

    Closing a socket with unread input resets it, and the caller gets no response to a
    request that had just been accepted.
    """

    def setUp(self):
        self.loop = EventLoop()
        patches = (
            mock.patch.object(store_watches, "KindWatcher"),
            mock.patch.object(entry_module, "_LISTENER_CLOSE_DELAY", 0.0),
        )
        for patch in patches:
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
