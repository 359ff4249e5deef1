"""Bounds on peers that connect to an agent."""

import socket
import struct
import unittest
from unittest import mock

from fighitch.core.gateway.memory_budget import MemoryBudget
from fighitch.gateway.caller_bounds import make_peer_room, make_room, max_callers
from fighitch.gateway.peer_connection import PeerConnection
from fighitch.gateway.peer_messages import CrashReport, Heartbeat, Hello, encode
from fighitch.runtime.caller_memory import CallerMemory
from fighitch.runtime.event_loop import EventLoop

HELLO = encode(Hello("front-1", "e1", 1, b"{}"))
# More than a first message may have, less than a later one.
LARGE = encode(CrashReport([("e1", 1, 1, ["x" * 500_000])], []))


class PeerTestCase(unittest.TestCase):
    """Accepts peers whose connections share a memory budget."""

    def setUp(self):
        self.now = 0.0
        self.loop = EventLoop(lambda: self.now)
        self.memory = CallerMemory(self.loop, MemoryBudget(1_000_000))
        self.messages = []
        self.closed = []
        self.peers = []

    def connect(self) -> socket.socket:
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        theirs.settimeout(5)
        with mock.patch("fighitch.gateway.peer_connection.set_stream_options"):
            ours.setblocking(False)
            peer = PeerConnection(
                self.loop,
                ours,
                on_message=lambda _peer, message: self.messages.append(message),
                on_closed=lambda _peer, reason: self.closed.append(reason),
                memory=self.memory,
            )
        self.addCleanup(peer.close, "test")
        self.peers.append(peer)
        return theirs

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Sends bytes while the loop reads them."""
        for start in range(0, len(data), 16_384):
            if not self.closed:
                sock.sendall(data[start : start + 16_384])
            self.loop.run_once(0.0)

    def run_for(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            self.loop.run_once(0.0)


class AcceptedPeerTests(PeerTestCase):
    """Guards against peers that fill an agent's memory with unfinished messages."""

    def test_large_first_message_closes_the_connection(self):
        self.send(self.connect(), LARGE)
        self.assertEqual((self.closed, self.messages), (["bad_message"], []))

    def test_identified_peer_may_send_large_messages(self):
        self.send(self.connect(), HELLO + LARGE)
        self.assertEqual((self.closed, len(self.messages)), ([], 2))
        self.assertEqual(self.memory.budget.held, 0)

    def test_peer_that_sends_bytes_but_no_message_is_closed(self):
        sock = self.connect()
        self.send(sock, struct.pack(">I", 60_000))
        for _ in range(6):
            self.send(sock, b"x")
            self.run_for(1.0)
        self.assertEqual(self.closed, ["unidentified"])

    def test_identified_peer_without_messages_stays(self):
        self.send(self.connect(), encode(Heartbeat()))
        self.run_for(6.0)
        self.assertEqual(self.closed, [])

    def test_unfinished_messages_stay_within_the_budget(self):
        rest = struct.pack(">I", 1_000_000) + b"x" * 600_000
        for _ in range(2):
            self.send(self.connect(), HELLO + rest)
        self.run_for(0.1)
        self.assertEqual(self.closed, ["memory_over_budget"])
        self.assertLess(self.memory.budget.held, 1_000_000)


class MessageTurnTests(PeerTestCase):
    """Guards against a peer whose messages take all turns of an agent."""

    def test_messages_of_two_peers_take_turns(self):
        many, few = self.connect(), self.connect()
        many.sendall(encode(Heartbeat(1)) * 2_000)
        few.sendall(encode(Heartbeat(2)))
        self.loop.run_once(0.0)
        self.loop.run_once(0.0)
        epochs = [message.store_epoch for message in self.messages]
        self.assertLess(epochs.index(2), 100)

    def test_all_messages_are_handled_in_order(self):
        self.send(self.connect(), b"".join(encode(Heartbeat(n)) for n in range(500)))
        self.run_for(0.1)
        epochs = [message.store_epoch for message in self.messages]
        self.assertEqual(epochs, list(range(500)))

    def test_peer_whose_messages_wait_is_not_silent(self):
        with mock.patch("fighitch.runtime.event_loop._MAX_DEFERRABLE_TIME", -1.0):
            sock = self.connect()
            sock.sendall(encode(Heartbeat()) * 200)
            for _ in range(5):
                self.now += 1.0
                self.loop.run_once(0.0)
        (peer,) = self.peers
        self.assertEqual(peer.last_received_at, self.now)

    def test_closed_peer_gets_no_further_message(self):
        self.connect().sendall(encode(Heartbeat()) * 200)
        self.loop.run_once(0.0)
        self.peers[0].close("test")
        count = len(self.messages)
        self.run_for(0.1)
        self.assertEqual(len(self.messages), count)


class ConnectionCountTests(unittest.TestCase):
    """Guards against silent connections that take all descriptors."""

    def test_oldest_unidentified_peer_makes_room(self):
        peers = []
        for number in range(20):
            peer = mock.Mock(number=number, is_identified=number % 2 == 0)
            peer.close.side_effect = lambda _reason, peer=peer: peers.remove(peer)
            peers.append(peer)
        self.assertTrue(make_peer_room(peers, 128 + 20))
        self.assertEqual([peer.number for peer in peers[:3]], [0, 2, 3])

    def test_identified_peers_are_kept(self):
        peers = [mock.Mock(number=n, is_identified=True) for n in range(20)]
        self.assertFalse(make_peer_room(peers, 128 + 20))
        self.assertTrue(make_peer_room(peers, 0))

    def test_longest_idle_caller_makes_room(self):
        callers = []
        for number in range(4):
            caller = mock.Mock(idle=number < 3, idle_since=10.0 - number)
            caller.awaits_request = number > 0
            for close in (caller.close_if_idle, caller.close):
                close.side_effect = lambda item=caller: callers.remove(item)
            callers.append(caller)
        busy, first, second, partial = callers
        self.assertTrue(make_room(callers, 4))
        self.assertEqual(callers, [busy, first, partial])
        self.assertTrue(make_room(callers, 3))
        self.assertTrue(make_room(callers, 2))
        self.assertEqual(callers, [busy])
        second.close.assert_not_called()
        self.assertTrue(make_room(callers, 2))
        self.assertFalse(make_room(callers, 1))

    def test_count_of_callers_follows_the_descriptors(self):
        for descriptors, expected in ((0, 1_500), (8_192, 1_500), (1_535, 703)):
            self.assertEqual(max_callers(descriptors), expected)
        self.assertEqual(max_callers(100), 16)


if __name__ == "__main__":
    unittest.main()
