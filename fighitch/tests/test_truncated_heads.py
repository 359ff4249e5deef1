"""Servers that end their connection in the middle of the head of a response."""

import contextlib
import socket
import threading
import unittest

from fighitch.clients.http_client import HttpClient
from fighitch.core.http_calls import HttpCall, NoResponse
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_exchange import FailureKind, HttpConnection
from fighitch.runtime.transfers import Transfer, TransferFailed, Transfers
from fighitch.tests.test_gateway_processes import FleetTestCase
from fighitch.tests.test_http_exchange import RecordingHandler
from standins.platform_fleet import wait_until

TIMEOUT = 20
# Whole heads that would be followed by an empty, a short or an unframed body.
WHOLE_HEADS = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: s\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: s\r\n"
    b"Content-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
    b"Response-Signature: s\r\nContent-Length: 3\r\n\r\n",
)
TRUNCATED_HEADS = tuple(
    head[:length]
    for head in WHOLE_HEADS
    for length in (1, 12, 17, 30, 33, 45, 56, len(head) - 4, len(head) - 2)
) + tuple(head[:-1] for head in WHOLE_HEADS)


class CuttingServer:
    """Answers each connection with the next of some bytes and closes it."""

    def __init__(self, *answers: bytes):
        self._answers = answers
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        for answer in self._answers:
            with contextlib.suppress(OSError):
                sock, _ = self._listener.accept()
                with sock:
                    sock.recv(65_536)
                    sock.sendall(answer)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(5)


class TruncatedHeadTestCase(unittest.TestCase):
    """Guards against a 200 with an empty body in place of a response that was cut.

    libcurl reports a connection that ends inside the head as a complete transfer.
    """

    def serve(self, *answers: bytes) -> int:
        server = CuttingServer(*answers)
        self.addCleanup(server.close)
        return server.port


class TransferTests(TruncatedHeadTestCase):
    """Calls of a sidecar to its backend server."""

    def test_truncated_head_fails_the_transfer(self):
        transfers = Transfers()
        thread = threading.Thread(target=transfers.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT)
        self.addCleanup(transfers.stop)
        url = f"http://127.0.0.1:{self.serve(*TRUNCATED_HEADS)}/"
        for head in TRUNCATED_HEADS:
            events, ended = [], threading.Event()

            def on_event(event, events=events, ended=ended) -> None:
                events.append(event)
                if len(events) == 1:
                    ended.set()

            transfers.submit(
                Transfer("POST", url, body=b"x", is_repeatable=False), on_event
            )
            self.assertTrue(ended.wait(TIMEOUT))
            with self.subTest(head):
                self.assertIsInstance(events[0], TransferFailed)
                self.assertTrue(events[0].sent)


class ClientTests(TruncatedHeadTestCase):
    """Calls to the object API."""

    def test_truncated_head_is_no_response(self):
        for head in TRUNCATED_HEADS:
            client = HttpClient(f"http://127.0.0.1:{self.serve(head)}", timeout=5.0)
            self.addCleanup(client.close)
            with self.subTest(head):
                result = client.call(HttpCall("POST", "/", b"{}"))
                self.assertIsInstance(result, NoResponse)

    def test_truncated_head_is_no_end_of_a_stream(self):
        for head in TRUNCATED_HEADS:
            client = HttpClient(f"http://127.0.0.1:{self.serve(head)}", timeout=5.0)
            self.addCleanup(client.close)
            with self.subTest(head):
                items = list(
                    client.stream_lines(HttpCall("GET", "/"), idle_timeout=5.0)
                )
                self.assertEqual([type(item) for item in items], [NoResponse])


class ConnectionTests(TruncatedHeadTestCase):
    """Exchanges of entries and agents."""

    def test_truncated_head_fails_the_exchange(self):
        for head in TRUNCATED_HEADS:
            loop = EventLoop()
            connection = HttpConnection(loop, "127.0.0.1", self.serve(head))
            self.addCleanup(connection.close)
            handler = RecordingHandler()
            connection.send(
                b"GET / HTTP/1.1\r\nAttempt-Id: a\r\n\r\n", handler, expected_id=b"a"
            )
            while not handler.ended:
                loop.run_once(0.01)
            with self.subTest(head):
                self.assertFalse(handler.complete)
                self.assertEqual(handler.failure.kind, FailureKind.CLOSED)


class EntryTests(FleetTestCase):
    """What callers of an entry get if a server ends inside its head."""

    def test_callers_get_an_error_or_the_response_of_another_server(self):
        heads = [head.replace(b"a\r\n", b"x0\r\n", 1) for head in TRUNCATED_HEADS]
        port = CuttingServer(*heads * 3)
        self.addCleanup(port.close)
        heartbeat = self.fleet.plain_servers[0].heartbeat()
        heartbeat |= {"Service": "cut", "Address": f"127.0.0.1:{port.port}"}
        self.fleet.store.put("servers", "cut-0", heartbeat)
        kinds = ("non_idempotent", "idempotent", "streaming")
        routes = {kind: {"Kind": kind, "Service": "cut"} for kind in kinds}
        self.fleet.put_configuration(**routes)
        applied = f"configuration_applied instance=front-0 version={self.fleet.version}"
        self.assertTrue(wait_until(lambda: applied in self.fleet.entries[0].log()))
        for kind in kinds:
            for _ in range(len(heads)):
                response = self.fleet.send_request(kind, "x0")
                self.assertEqual((response.status, response.complete), (502, True))


if __name__ == "__main__":
    unittest.main()
