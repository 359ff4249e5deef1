"""Tests for ``standins.fault_proxy``."""

import socket
import unittest

from standins.fault_proxy import FaultProxy

HOST = "127.0.0.1"
# Seconds; long enough to tell buffered bytes from slow ones on a busy machine.
NO_DATA_TIMEOUT = 0.3


class FaultProxyTests(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server((HOST, 0))
        self.addCleanup(self.listener.close)
        self.proxy = FaultProxy(HOST, {0: self.listener.getsockname()[:2]})
        self.proxy.start()
        self.addCleanup(self.proxy.stop)
        self.client, self.server = self.connect()

    def connect(self):
        client = socket.create_connection((HOST, self.proxy.ports[0]), timeout=5)
        self.addCleanup(client.close)
        server, _ = self.listener.accept()
        server.settimeout(5)
        self.addCleanup(server.close)
        # The proxy has registered the connection once it has forwarded bytes.
        client.sendall(b"0")
        self.assertEqual(server.recv(1), b"0")
        return client, server

    def assert_no_data(self, sock):
        sock.settimeout(NO_DATA_TIMEOUT)
        with self.assertRaises(TimeoutError):
            sock.recv(10)
        sock.settimeout(5)

    def test_bytes_and_end_of_stream_are_forwarded_in_both_directions(self):
        self.client.sendall(b"ask")
        self.assertEqual(self.server.recv(10), b"ask")
        self.server.sendall(b"answer")
        self.server.close()
        self.assertEqual(self.client.recv(10), b"answer")
        self.assertEqual(self.client.recv(10), b"")

    def test_blocked_direction_buffers_bytes_until_heal(self):
        self.proxy.faults.to_server = False
        self.client.sendall(b"held")
        self.server.sendall(b"passes")
        self.assertEqual(self.client.recv(10), b"passes")
        self.assert_no_data(self.server)
        self.proxy.heal()
        self.assertEqual(self.server.recv(10), b"held")

    def test_silenced_connection_stays_silent_and_new_ones_are_forwarded(self):
        self.proxy.silence_all()
        self.assert_no_data(self.server)
        self.client.sendall(b"lost")
        self.server.close()
        self.assert_no_data(self.client)
        client, server = self.connect()
        client.sendall(b"new")
        self.assertEqual(server.recv(10), b"new")

    def test_reset_reaches_both_ends(self):
        self.proxy.reset_all()
        for sock in (self.client, self.server):
            with self.assertRaises(ConnectionResetError):
                sock.recv(10)

    def test_delay_keeps_the_order_of_bytes(self):
        self.proxy.faults.delay = 0.05
        for piece in (b"1", b"2", b"3"):
            self.client.sendall(piece)
        received = b""
        while len(received) < 3:
            received += self.server.recv(10)
        self.assertEqual(received, b"123")


if __name__ == "__main__":
    unittest.main()
