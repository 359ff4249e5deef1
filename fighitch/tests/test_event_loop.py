import socket
import time
import unittest

from fighitch.runtime.event_loop import READ, EventLoop


class LateTimerTests(unittest.TestCase):
    """Timers that become due while another callback takes long."""

    def setUp(self):
        self.loop = EventLoop()
        self.calls: list[str] = []
        self.timeout_socket, self.timeout_peer = socket.socketpair()
        self.busy_socket, self.busy_peer = socket.socketpair()
        sockets = (
            self.timeout_socket,
            self.timeout_peer,
            self.busy_socket,
            self.busy_peer,
        )
        for sock in sockets:
            self.addCleanup(sock.close)

    def test_timeout_does_not_expire_before_input_of_the_same_stall_is_read(self):
        timer = self.loop.call_later(0.05, lambda: self.calls.append("timeout"))

        def read(_events: int) -> None:
            self.timeout_socket.recv(1)
            self.calls.append("input")
            timer.cancel()

        def stall(_events: int) -> None:
            self.busy_socket.recv(1)
            time.sleep(0.1)
            self.timeout_peer.send(b"x")

        self.loop.watch(self.timeout_socket, READ, read)
        self.loop.watch(self.busy_socket, READ, stall)
        self.busy_peer.send(b"x")
        for _ in range(3):
            self.loop.run_once(0.01)
        self.assertEqual(self.calls, ["input"])

    def test_timers_run_although_every_round_takes_long(self):
        def stall(_events: int) -> None:
            time.sleep(0.03)

        self.loop.watch(self.busy_socket, READ, stall)
        self.busy_peer.send(b"x")
        self.loop.call_later(0.01, lambda: self.calls.append("timer"))
        for _ in range(3):
            self.loop.run_once(0.01)
        self.assertEqual(self.calls, ["timer"])

    def test_immediate_call_runs_in_the_same_round(self):
        def schedule(_events: int) -> None:
            self.busy_socket.recv(1)
            self.loop.call_later(0, lambda: self.calls.append("immediate"))

        self.loop.watch(self.busy_socket, READ, schedule)
        self.busy_peer.send(b"x")
        self.loop.run_once(0.01)
        self.assertEqual(self.calls, ["immediate"])


class DeferrableSocketTests(unittest.TestCase):
    """Guards against a crowd of clients that takes all turns of the event loop."""

    COUNT = 50

    def setUp(self):
        self.now = 0.0
        self.loop = EventLoop(lambda: self.now)
        self.calls: list[str] = []

    def add(self, name, *, is_deferrable=True, cost=0.015, reads=True):
        """Watches a ready socket whose callback takes time."""
        sock, peer = socket.socketpair()
        self.addCleanup(sock.close)
        self.addCleanup(peer.close)
        peer.send(b"x")

        def on_ready(_events):
            if reads:
                sock.recv(1)
            self.now += cost
            self.calls.append(name)

        self.loop.watch(sock, READ, on_ready, is_deferrable=is_deferrable)
        return sock

    def test_other_sockets_and_timers_have_turns_between(self):
        for number in range(self.COUNT):
            self.add(f"client-{number}")
        self.loop.run_once(0)
        self.add("probe", is_deferrable=False)
        self.loop.call_later(0, lambda: self.calls.append("heartbeat"))
        self.loop.run_once(0)
        self.loop.run_once(0)
        self.assertLess(self.calls.index("probe"), 5)
        self.assertLess(self.calls.index("heartbeat"), 8)

    def test_all_have_a_turn_before_one_has_two(self):
        for number in range(self.COUNT):
            self.add(f"client-{number}", reads=False)
        while len(self.calls) < self.COUNT:
            self.loop.run_once(0)
        self.assertEqual(len(set(self.calls[: self.COUNT])), self.COUNT)

    def test_closed_socket_loses_its_turn(self):
        # Guards against a callback for another socket with the same descriptor.
        socks = [self.add(f"client-{number}") for number in range(self.COUNT)]
        self.loop.run_once(0)
        self.assertTrue(self.loop.is_deferred(socks[-1]))
        self.loop.forget(socks[-1])
        for _ in range(self.COUNT):
            self.loop.run_once(0)
        self.assertEqual(len(self.calls), self.COUNT - 1)
        self.assertNotIn(f"client-{self.COUNT - 1}", self.calls)

    def test_input_counts_as_unread_until_its_turn(self):
        # Guards against clients that are refused as silent although they were not read.
        for number in range(self.COUNT):
            self.add(f"client-{number}")
        while len(self.calls) < self.COUNT - 2:
            self.loop.run_once(0)
            self.assertEqual(self.loop.deferrable_polled_at, 0.0)
        while self.now < 1.0:
            self.loop.run_once(0)
            self.now += 0.1
        self.assertGreater(self.loop.deferrable_polled_at, 0.5)

    def test_deferred_call_takes_its_turn(self):
        for number in range(self.COUNT):
            self.add(f"client-{number}")
        self.loop.run_once(0)
        self.loop.defer(lambda: self.calls.append("rest"))
        while "rest" not in self.calls:
            self.loop.run_once(0)
        self.assertEqual(len(self.calls), self.COUNT + 1)


class CancelledTimerTests(unittest.TestCase):
    """Guards against memory that grows with each cancelled timer until it is due."""

    def test_cancelled_timers_are_removed_and_the_others_run_in_order(self):
        now = 0.0
        loop = EventLoop(lambda: now)
        calls: list[int] = []
        for number in range(50_000):
            loop.call_later(60.0, lambda: calls.append(-1)).cancel()
            if number % 10_000 == 0:
                loop.call_later(50.0 - number / 1_000, lambda n=number: calls.append(n))
        self.assertLess(len(loop._timers), 2_000)
        now = 70.0
        loop.run_once(0.0)
        self.assertEqual(calls, [40_000, 30_000, 20_000, 10_000, 0])
