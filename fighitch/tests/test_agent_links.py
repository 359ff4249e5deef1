"""Tests of ``fighitch.gateway.agent_links``."""

import errno
import itertools
import socket
import unittest
from dataclasses import replace
from unittest import mock

import msgspec

from fighitch.core.gateway.adapter_cache import OUTDATED_VERSION_GRACE
from fighitch.gateway import agent_links
from fighitch.gateway.agent_links import AdmissionCallbacks, AgentLinks
from fighitch.gateway.peer_messages import (
    AdmissionRequest,
    Done,
    Grant,
    Hello,
    Status,
    encode,
)
from fighitch.runtime.event_loop import READ, EventLoop
from fighitch.tests.gateway_helpers import A1, engine_spec, server


def mock_loop() -> mock.Mock:
    loop = mock.Mock()
    loop.now.return_value = 0.0
    return loop


def build_links(loop: EventLoop) -> AgentLinks:
    return AgentLinks(
        loop,
        entry="front-1",
        peer_port=1,
        log=mock.Mock(),
        on_draining=mock.Mock(),
        on_down=mock.Mock(),
        on_serving=mock.Mock(),
        on_crash_report=mock.Mock(),
        all_crashes=mock.Mock(return_value=None),
        named_limit=mock.Mock(return_value=None),
        is_leaving=mock.Mock(return_value=False),
        pause_left=mock.Mock(return_value=0.0),
    )


class OddEngineTests(unittest.TestCase):
    """An engine whose agent can't be reached must not keep the others from theirs."""

    def setUp(self):
        self.loop = mock_loop()
        self.links = build_links(self.loop)
        self.addCleanup(self.links.update, {})

    def test_engine_with_an_invalid_host_is_tried_again(self):
        for host in ("engine.invalid", "a\0b", "\u00e9" * 300, ""):
            with self.subTest(host[:20]):
                odd = replace(server("odd"), host=host)
                spec = engine_spec()
                self.links.update({"odd": (odd, spec), "e1": (server("e1"), spec)})
                self.assertEqual(set(self.links.views), {"odd", "e1"})
                self.loop.call_later.assert_called()
                self.links.update({})


class NoDescriptorTests(unittest.TestCase):
    """A process that has no file descriptor left for a while."""

    def test_agent_is_tried_again_after_no_socket_could_be_opened(self):
        # The exception ended the attempt without another one, and the engine was used
        # without its agent until the process was restarted.
        loop = mock_loop()
        links = build_links(loop)
        error = OSError(errno.EMFILE, "Too many open files")
        with mock.patch.object(agent_links, "open_stream", side_effect=error):
            links.update({"e1": (server("e1"), engine_spec())})
        loop.call_later.assert_called()
        links.update({})


class RequiredVersionTests(unittest.TestCase):
    """The version that engines must hold after a newer one was announced."""

    def setUp(self):
        self.loop = mock_loop()
        self.links = build_links(self.loop)

    def announce(self, version: int, now: float) -> None:
        self.loop.now.return_value = now
        self.links.announce_version(A1, version)

    def required(self, now: float) -> int:
        self.loop.now.return_value = now
        return self.links.required_version(A1)

    def test_any_version_serves_within_the_grace_period(self):
        self.assertEqual(self.required(0.0), 0)
        self.announce(1, 0.0)
        self.assertEqual(self.required(OUTDATED_VERSION_GRACE - 0.1), 0)
        self.assertEqual(self.required(OUTDATED_VERSION_GRACE), 1)
        self.announce(2, 10.0)
        self.assertEqual(self.required(10.1), 1)
        self.assertEqual(self.required(10.0 + OUTDATED_VERSION_GRACE), 2)

    def test_versions_in_quick_succession_do_not_extend_the_grace_period(self):
        # Else the first version could serve for as long as others are announced.
        for number in range(1, 6):
            self.announce(number, 0.5 * number)
            required = self.required(0.5 * number)
            self.assertEqual(required, max(0, number - 3))
            expected = self.links.expected_version(A1)
            self.assertEqual(expected, number if required else 0)

    def test_requests_without_an_adapter_need_no_version(self):
        self.assertEqual(self.links.required_version(None), 0)


class ReplacedLinkTests(unittest.TestCase):
    """An engine that is removed and listed again while it runs a request."""

    def test_end_of_an_earlier_request_does_not_withdraw_a_waiting_one(self):
        # Guards against numbers that start again on a new link: the agent dropped the
        # waiting request, and its caller got neither an answer nor a rejection.
        with (
            mock.patch("fighitch.gateway.agent_links.PeerConnection") as peers,
            mock.patch("fighitch.gateway.agent_links.start_connecting"),
        ):
            peers.side_effect = lambda *_args, **_options: mock.Mock()
            links = build_links(mock_loop())
            engines = {"e1": (server("e1"), engine_spec())}
            links.update(engines)
            earlier, earlier_number = self.request_admission(links)
            links._on_message(links._links["e1"], Grant(earlier_number, 0, False))
            earlier.on_grant.assert_called_once()
            links.update({})
            links.update(engines)
            waiting, number = self.request_admission(links)
            links.report_done("e1", earlier_number)
            sent = links._links["e1"].peer.send.call_args_list
            self.assertNotIn(Done(number, None), [call.args[0] for call in sent])
            links._on_message(links._links["e1"], Grant(number, 0, False))
            waiting.on_grant.assert_called_once()

    def request_admission(self, links: AgentLinks) -> tuple[AdmissionCallbacks, int]:
        message = AdmissionRequest(0, "m", "a", 0, 0, 1, 1, 1, 1, False, "x")
        callbacks = AdmissionCallbacks(mock.Mock(), mock.Mock(), mock.Mock())
        return callbacks, links.request_admission("e1", message, callbacks)


class EngineSpecTests(unittest.TestCase):
    """The limits of an engine that an agent is told when it connects."""

    def test_spec_that_changes_without_a_connection_is_sent_on_the_next_one(self):
        # Guards against an agent that gets limits of an earlier configuration.
        links = build_links(mock_loop())
        self.addCleanup(links.update, {})
        with (
            mock.patch.object(agent_links, "open_stream"),
            mock.patch.object(agent_links, "start_connecting"),
            mock.patch.object(agent_links, "PeerConnection") as connection,
        ):
            links.update({"e1": (server("e1"), engine_spec(slots=4))})
            callbacks = connection.call_args.kwargs
            callbacks["on_closed"](mock.Mock(), "reset")
            links.update({"e1": (server("e1"), engine_spec(slots=8))})
            connection.reset_mock()
            links._connect(links._links["e1"])
        (hello,) = [
            call.args[0]
            for call in connection.return_value.send.call_args_list
            if isinstance(call.args[0], Hello)
        ]
        self.assertEqual(msgspec.json.decode(hello.engine_spec)["batch_slots"], 8)


class StalledLoopTests(unittest.TestCase):
    """Agents whose messages lie unread while a callback of the entry takes long."""

    def setUp(self):
        self.now = 0.0
        self.loop = EventLoop(lambda: self.now)
        self.links = build_links(self.loop)
        self.addCleanup(self.links.update, {})
        ours, self.agent = socket.socketpair()
        self.busy, self.busy_peer = socket.socketpair()
        for sock in (self.agent, self.busy, self.busy_peer):
            self.addCleanup(sock.close)
        # The agent is reached once; later attempts to connect fail.
        attempts = itertools.chain([None], itertools.repeat(OSError()))
        for patch in (
            mock.patch.object(agent_links, "open_stream", return_value=ours),
            mock.patch.object(agent_links, "start_connecting", side_effect=attempts),
            mock.patch("fighitch.gateway.peer_connection.set_stream_options"),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        ours.setblocking(False)
        self.links.update({"e1": (server("e1"), engine_spec())})
        self.run_for(0.1)
        self.send_status()
        self.run_for(0.1)
        self.assertTrue(self.links.is_connected("e1"))

    def run_for(self, seconds: float) -> None:
        """Runs the loop on a clock of the test, so that a busy machine has no part."""
        for _ in range(round(seconds / 0.01)):
            self.now += 0.01
            self.loop.run_once(0.0)

    def send_status(self) -> None:
        self.agent.sendall(encode(Status(1, True, False, 0, 0, 0, 1)))

    def stall(self, _events: int) -> None:
        self.busy.recv(1)
        self.now += 1.0
        self.send_status()

    def test_agent_is_not_lost_while_its_messages_are_unread(self):
        # Guards against all waiting requests being rejected after a long callback, such
        # as the decoding of a large configuration.
        self.loop.watch(self.busy, READ, self.stall)
        self.busy_peer.send(b"x")
        # The next heartbeat is due before the callback begins.
        self.now += 0.5
        self.loop.run_once(0.0)
        self.assertTrue(self.links.is_connected("e1"))
        self.run_for(0.1)
        self.assertTrue(self.links.is_connected("e1"))

    def test_silent_agent_is_lost(self):
        self.run_for(2.0)
        self.assertFalse(self.links.is_connected("e1"))


class OverflowingPeerTests(unittest.TestCase):
    """An agent that reads too slowly while it is asked for admission."""

    def test_request_is_denied_after_its_number_is_known(self):
        # Guards against an admission that keeps the number of an earlier request, so
        # that its end is reported for the wrong one.
        loop = EventLoop()
        links = build_links(loop)
        self.addCleanup(links.update, {})
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        ours.setblocking(False)
        attempts = itertools.chain([None], itertools.repeat(OSError()))
        with (
            mock.patch.object(agent_links, "open_stream", return_value=ours),
            mock.patch.object(agent_links, "start_connecting", side_effect=attempts),
            mock.patch("fighitch.gateway.peer_connection.set_stream_options"),
        ):
            links.update({"e1": (server("e1"), engine_spec())})
            on_deny = mock.Mock()
            callbacks = AdmissionCallbacks(mock.Mock(), mock.Mock(), on_deny)
            request = AdmissionRequest(
                number=0,
                model="m",
                adapter="a1",
                version=0,
                rank=0,
                prompt_tokens=1,
                output_tokens=1,
                target_ms=1,
                deadline_ms=1,
                may_decline=False,
            )
            limit = "fighitch.gateway.peer_connection._MAX_SEND_BUFFER_BYTES"
            with mock.patch(limit, 1):
                links.request_admission("e1", request, callbacks)
            on_deny.assert_not_called()
            for _ in range(3):
                loop.run_once(0.0)
            on_deny.assert_called_once_with(None)


if __name__ == "__main__":
    unittest.main()
