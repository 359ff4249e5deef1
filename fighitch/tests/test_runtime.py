"""Tests of the core loop, the HTTP server and the transfers over loopback sockets."""

import contextlib
import http.client
import queue
import socket
import threading
import time
import unittest
from unittest import mock

from fighitch.core.effects import Connect, Disconnect, LogEvent, Send, Stop
from fighitch.core.inputs import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    MessageReceived,
)
from fighitch.core.messages import Cancel, Chunk, Peer, Role
from fighitch.core.tickets import SharedKey
from fighitch.runtime import http_server
from fighitch.runtime.core_loop import CoreLoop
from fighitch.runtime.http_server import HttpServer
from fighitch.runtime.transfers import (
    Transfer,
    TransferEnded,
    TransferFailed,
    Transfers,
    TransferStarted,
)

KEY = SharedKey("k", b"s" * 32)
TIMEOUT = 20


class RecordingCore:
    """Records its inputs; returns an effect that the test posts as its own effect."""

    def __init__(self):
        self.inputs = queue.Queue()

    def handle(self, message, *, now):
        if isinstance(message, Connect | Disconnect | Send | Stop):
            return [message]
        self.inputs.put(message)
        return []

    def next_of(self, kind):
        while True:
            message = self.inputs.get(timeout=TIMEOUT)
            if isinstance(message, kind):
                return message


class LoopTests(unittest.TestCase):
    def start(self, role, *, key=KEY, is_listening=False):
        core, effects = RecordingCore(), queue.Queue()
        loop = CoreLoop(
            core,
            Peer(role, role.value, 1),
            [key],
            on_effect=effects.put,
            listen_address="127.0.0.1:0" if is_listening else None,
        )
        thread = threading.Thread(target=loop.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT)
        self.addCleanup(loop.stop)
        return loop, core, effects

    def test_invalid_address_of_a_peer_does_not_end_the_loop(self):
        """Guards against a configuration that ends every process that reads it.

        The socket raises OverflowError for a port out of range.
        """
        loop, core, _ = self.start(Role.ENTRY)
        for address in (
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            "127.0.0.1:" + "9" * 5_000,
            "a\0b:80",
            "127.0.0.1",
        ):
            with self.subTest(address[:20]):
                loop.post(Connect(address))
                self.assertEqual(core.next_of(ConnectionFailed).address, address)

    def connect(self):
        sidecar, sidecar_core, _ = self.start(Role.SIDECAR, is_listening=True)
        entry, entry_core, _ = self.start(Role.ENTRY)
        entry.post(Connect(sidecar.listen_address))
        return (
            (entry, entry_core, entry_core.next_of(ConnectionOpened)),
            (sidecar, sidecar_core, sidecar_core.next_of(ConnectionOpened)),
        )

    def test_peers_authenticate_and_exchange_messages(self):
        (entry, _, opened), (_, core, accepted) = self.connect()
        self.assertEqual(opened.peer.role, Role.SIDECAR)
        self.assertEqual(accepted.peer.role, Role.ENTRY)
        messages = [Chunk("r", 1, n, b"x" * 100_000) for n in range(30)]
        for message in messages:
            entry.post(Send(opened.connection, message))
        received = [core.next_of(MessageReceived).message for _ in messages]
        self.assertEqual(received, messages)

    def test_closed_connection_is_reported_on_both_sides(self):
        (entry, entry_core, opened), (_, core, accepted) = self.connect()
        entry.post(Disconnect(opened.connection, "test"))
        self.assertEqual(core.next_of(ConnectionClosed).connection, accepted.connection)
        self.assertEqual(
            entry_core.next_of(ConnectionClosed).connection, opened.connection
        )

    def test_refused_connection_is_reported(self):
        entry, core, _ = self.start(Role.ENTRY)
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            entry.post(Connect(address))
            self.assertEqual(core.next_of(ConnectionFailed).address, address)

    def test_core_is_called_after_its_drain_until_the_loop_is_stopped(self):
        """Guards against requests that hang because they arrive after the drain."""
        loop, core, _ = self.start(Role.ENTRY)
        loop.post(Stop())
        self.assertIs(loop.run_on_core(lambda core: core).result(TIMEOUT), core)
        self.assertTrue(loop.is_stopped)
        self.assertIs(loop.run_on_core(lambda core: core).result(TIMEOUT), core)

    def test_peer_with_a_wrong_key_is_rejected_and_counted(self):
        """Guards against unauthenticated peers that send work to a sidecar."""
        sidecar, _, effects = self.start(Role.SIDECAR, is_listening=True)
        entry, core, _ = self.start(Role.ENTRY, key=SharedKey("k", b"w" * 32))
        entry.post(Connect(sidecar.listen_address))
        core.next_of(ConnectionFailed)
        entry.stop()
        with socket.create_connection(_split_address(sidecar.listen_address)) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            self.assertTrue(_is_closed_by_peer(sock))
        event = effects.get(timeout=TIMEOUT)
        self.assertIsInstance(event, LogEvent)
        self.assertEqual(event.name, "peer_refused")

    def test_loop_continues_after_malformed_bytes_after_the_handshake(self):
        """Guards against one faulty peer that crashes the process."""
        (entry, _, opened), (sidecar, core, _) = self.connect()
        connection = entry._connections[opened.connection]
        malformed = b"\x00\x00\x00\x04junk"
        entry.run_on_core(lambda _: connection._unsent.extend(malformed)).result(
            TIMEOUT
        )
        entry.post(Send(opened.connection, Cancel("r", 1)))
        core.next_of(ConnectionClosed)
        entry.post(Connect(sidecar.listen_address))
        self.assertEqual(core.next_of(ConnectionOpened).peer.role, Role.ENTRY)

    def test_function_runs_on_the_loop_and_its_exception_is_returned(self):
        entry, core, _ = self.start(Role.ENTRY)
        self.assertIs(entry.run_on_core(lambda core: core).result(TIMEOUT), core)
        with self.assertRaises(AttributeError):
            entry.run_on_core(lambda core: core.missing).result(TIMEOUT)

    def test_message_to_a_closed_connection_is_dropped(self):
        entry, core, _ = self.start(Role.ENTRY)
        entry.post(Send(99, Cancel("r", 1)))
        self.assertIs(entry.run_on_core(lambda core: core).result(TIMEOUT), core)


class HttpTests(unittest.TestCase):
    def setUp(self):
        self.server = HttpServer("127.0.0.1:0", self.app, workers=4, name="test")
        self.server.start()
        self.addCleanup(self.server.stop)
        self.transfers = Transfers()
        thread = threading.Thread(target=self.transfers.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT)
        self.addCleanup(self.transfers.stop)

    @staticmethod
    def app(environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/cut":
            start_response("200 OK", [("Content-Length", "10")])
            return [b"12345"]
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        start_response("201 Created", [("X-Method", environ["REQUEST_METHOD"])])
        return [path.encode(), b" ", body]

    def test_stopping_server_answers_earlier_connections(self):
        """Guards against a planned stop that resets a request in transit."""
        server = HttpServer("127.0.0.1:0", self.app, workers=1, name="stopping")
        server.start()
        address = _split_address(server.address)
        with mock.patch.object(http_server, "LAST_REQUEST_TIMEOUT", TIMEOUT):
            with socket.create_connection(address, timeout=TIMEOUT) as sock:
                stopping = threading.Thread(target=server.stop)
                stopping.start()
                with contextlib.suppress(ConnectionError):
                    while True:
                        socket.create_connection(address, timeout=TIMEOUT).close()
                sock.sendall(b"GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
                self.assertIn(b" 201 ", sock.recv(65_536))
            stopping.join(TIMEOUT)
        self.assertFalse(stopping.is_alive())

    def test_caller_is_answered_beside_requests_that_stop_short_of_their_end(self):
        """Guards against callers who wait while slow ones occupy all threads."""
        socks = []
        for _ in range(20):
            sock = socket.create_connection(self.address_pair(), timeout=TIMEOUT)
            self.addCleanup(sock.close)
            sock.sendall(b"POST /stalled HTTP/1.1\r\nContent-Le")
            socks.append(sock)
        self.assertIn(b" 201 ", self.answer(b"GET /ordinary HTTP/1.1\r\n\r\n"))

    def test_request_that_progresses_is_not_ended_while_others_wait(self):
        """Guards against a slow upload that ends because the server is busy."""
        with socket.create_connection(self.address_pair(), timeout=TIMEOUT) as slow:
            slow.sendall(b"POST /slow HTTP/1.1\r\nContent-Length: 60000\r\n\r\n")
            for _ in range(8):
                sock = socket.create_connection(self.address_pair(), timeout=TIMEOUT)
                self.addCleanup(sock.close)
                sock.sendall(b"G")
            for _ in range(6):
                time.sleep(0.3)
                slow.sendall(b"x" * 10_000)
            received = b""
            while len(received) < 60_000:
                received += slow.recv(65_536)
        self.assertIn(b" 201 ", received)

    def test_connections_that_wait_for_a_thread_are_bounded(self):
        """Guards against one byte per connection that takes all descriptors."""
        rejected = []
        self.server._server.on_rejected = rejected.append
        with (
            mock.patch.object(http_server, "MAX_IDLE_CONNECTIONS", 10),
            mock.patch.object(http_server, "STALL_TIME", TIMEOUT),
        ):
            for _ in range(40):
                sock = socket.create_connection(self.address_pair(), timeout=TIMEOUT)
                self.addCleanup(sock.close)
                sock.sendall(b"G")
            while len(rejected) < 20:
                time.sleep(0.01)
            self.assertLessEqual(len(self.server._waiting), 10)
        self.assertIn(b" 201 ", self.answer(b"GET /ordinary HTTP/1.1\r\n\r\n"))

    def address_pair(self):
        return _split_address(self.server.address)

    def answer(self, request):
        with socket.create_connection(self.address_pair(), timeout=TIMEOUT) as sock:
            sock.sendall(request)
            return sock.recv(65_536)

    def run_transfer(self, path, **options):
        events = queue.Queue()
        transfer = Transfer(
            options.pop("method", "GET"), f"http://{self.address()}{path}", **options
        )
        self.transfers.submit(transfer, events.put)
        found = [events.get(timeout=TIMEOUT)]
        while not isinstance(found[-1], TransferEnded | TransferFailed):
            found.append(events.get(timeout=TIMEOUT))
        return found

    def address(self):
        return self.server.address

    def test_transfer_reports_status_body_and_end(self):
        for repeatable in (True, False):
            started, *data, ended = self.run_transfer(
                "/p", method="POST", body=b"hello", is_repeatable=repeatable
            )
            self.assertIsInstance(started, TransferStarted)
            self.assertEqual(started.status, 201)
            self.assertEqual(started.headers["x-method"], "POST")
            self.assertEqual(b"".join(item.data for item in data), b"/p hello")
            self.assertIsInstance(ended, TransferEnded)

    def test_truncated_response_is_reported_as_a_failure(self):
        """Guards against a truncated response that is taken for a complete one."""
        *_, failed = self.run_transfer("/cut")
        self.assertIsInstance(failed, TransferFailed)
        self.assertTrue(failed.sent)

    def test_transfer_to_a_closed_port_is_reported_as_unsent(self):
        """Guards against "outcome unknown" where "not run" is certain."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            self.address = lambda: f"127.0.0.1:{unused.getsockname()[1]}"
            (failed,) = self.run_transfer("/p", method="POST", body=b"x")
        self.assertEqual(failed.sent, False)

    def test_cancelled_transfer_sends_no_more_events(self):
        events = queue.Queue()
        with socket.create_server(("127.0.0.1", 0)) as silent:
            url = f"http://127.0.0.1:{silent.getsockname()[1]}/"
            number = self.transfers.submit(Transfer("GET", url), events.put)
            accepted, _ = silent.accept()
            self.assertTrue(accepted.recv(1_000))
            self.transfers.cancel(number)
            while accepted.recv(1_000):
                pass
            accepted.close()
        self.assertTrue(events.empty())

    def test_idle_connections_occupy_no_worker(self):
        """Guards against idle connections that occupy every worker of the server."""
        host, port = _split_address(self.server.address)
        idle = [socket.create_connection((host, port)) for _ in range(20)]
        try:
            connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT)
            connection.request("GET", "/x")
            self.assertEqual(connection.getresponse().status, 201)
            connection.close()
        finally:
            for sock in idle:
                sock.close()


def _is_closed_by_peer(sock):
    try:
        return sock.recv(10) == b""
    except ConnectionResetError:
        # The peer closed the connection with unread bytes.
        return True


def _split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
