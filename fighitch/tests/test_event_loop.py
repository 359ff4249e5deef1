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
