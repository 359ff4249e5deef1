import errno
import itertools
import socket
import struct
import threading
import unittest
from unittest import mock

from fighitch.core.gateway.response_limits import LimitKind, ResponseLimits
from fighitch.core.gateway.settings import Address
from fighitch.runtime import http_exchange
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_client import NO_RESPONSE, SerialClient
from fighitch.runtime.http_exchange import (
    ExchangeFailure,
    FailureKind,
    HttpConnection,
    ResponseHead,
)


class RecordingHandler:
    def __init__(self):
        self.head: ResponseHead | None = None
        self.body = b""
        self.complete = False
        self.failure: ExchangeFailure | None = None

    def on_head(self, head):
        self.head = head

    def on_body(self, data):
        self.body += data

    def on_complete(self):
        self.complete = True

    def on_failure(self, failure):
        self.failure = failure

    @property
    def ended(self):
        return self.complete or self.failure is not None


class ScriptedServer:
    """Accepts one connection and sends the next given bytes after each read."""

    def __init__(self, *responses: bytes, reset: bool = False):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._responses = responses
        self._reset = reset
        self.received = b""
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        try:
            sock, _ = self._listener.accept()
        except OSError:
            # No connection was made until the end of the test.
            return
        with sock:
            for response in self._responses:
                data = sock.recv(65_536)
                if not data:
                    return
                self.received += data
                sock.sendall(response)
            if self._reset:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )

    def close(self):
        # Ends a pending accept, unlike close.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(5)


def build_response(request_id: str, body: str, *, extra: str = "") -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n"
        f"Response-Signature: of-{request_id}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class HttpConnectionTests(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop()
        self.idle: list[HttpConnection] = []

    def connect(self, server: ScriptedServer) -> HttpConnection:
        self.addCleanup(server.close)
        connection = HttpConnection(
            self.loop, "127.0.0.1", server.port, on_idle=self.idle.append
        )
        self.addCleanup(connection.close)
        return connection

    def exchange(self, connection: HttpConnection, request_id: str):
        handler = RecordingHandler()
        request = f"GET / HTTP/1.1\r\nAttempt-Id: {request_id}\r\n\r\n".encode()
        connection.send(request, handler, expected_id=request_id.encode())
        for _ in range(1_000):
            if handler.ended:
                break
            self.loop.run_once(0.01)
        return handler

    def test_second_response_in_the_same_read_does_not_change_the_first_head(self):
        # The headers of a second response in the same read were appended to the head of
        # the first one, which a caller received.
        server = ScriptedServer(build_response("a", "one") + build_response("b", "two"))
        handler = self.exchange(self.connect(server), "a")
        self.assertTrue(handler.complete)
        signatures = [
            value
            for name, value in handler.head.headers
            if name == b"Response-Signature"
        ]
        self.assertEqual(signatures, [b"of-a"])
        self.assertEqual(handler.body, b"one")
        self.assertEqual(self.idle, [])

    def test_garbage_after_a_complete_response_does_not_fail_it(self):
        # A faulty server sends more bytes than its response has. The complete response
        # is valid; only the connection may not be used again.
        server = ScriptedServer(build_response("a", "one") + b"\0garbage\r\n")
        handler = self.exchange(self.connect(server), "a")
        self.assertTrue(handler.complete)
        self.assertEqual(handler.body, b"one")
        self.assertEqual(self.idle, [])

    def test_late_response_to_another_request_is_skipped(self):
        server = ScriptedServer(build_response("z", "old") + build_response("a", "one"))
        handler = self.exchange(self.connect(server), "a")
        self.assertTrue(handler.complete)
        self.assertEqual(handler.body, b"one")

    def test_connection_is_not_watched_for_writing_after_a_request(self):
        # A connection that stayed registered for writing made the event loop of an
        # entry spin for as long as a watch request waited for its response.
        server = ScriptedServer(b"")
        connection = self.connect(server)
        handler = RecordingHandler()
        connection.send(b"GET / HTTP/1.1\r\n\r\n", handler)
        calls = 0
        for _ in range(20):
            before = self.loop.now()
            self.loop.run_once(0.01)
            calls += self.loop.now() - before < 0.005
        self.assertLess(calls, 10)

    def test_response_without_length_is_complete_at_end_of_stream(self):
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n"
        handler = self.exchange(self.connect(ScriptedServer(head + b"body")), "a")
        self.assertTrue(handler.complete)
        self.assertEqual(handler.body, b"body")

    def test_response_without_length_is_incomplete_after_a_reset(self):
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n"
        server = ScriptedServer(head + b"body", reset=True)
        handler = self.exchange(self.connect(server), "a")
        self.assertEqual(handler.failure, ExchangeFailure(FailureKind.RESET, True))

    def test_truncated_response_is_a_failure(self):
        data = build_response("a", "whole body")[:-4]
        handler = self.exchange(self.connect(ScriptedServer(data)), "a")
        self.assertEqual(handler.failure.kind, FailureKind.CLOSED)

    def test_malformed_response_is_a_failure(self):
        handler = self.exchange(self.connect(ScriptedServer(b"\0garbage\r\n")), "a")
        self.assertEqual(handler.failure.kind, FailureKind.BAD_ANSWER)

    def test_successful_response_without_the_attempt_id_is_a_failure(self):
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        handler = self.exchange(self.connect(ScriptedServer(data)), "a")
        self.assertEqual(handler.failure.kind, FailureKind.BAD_ANSWER)

    def test_refused_connection_reports_the_request_as_unsent(self):
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        listener.close()
        connection = HttpConnection(self.loop, "127.0.0.1", port)
        handler = self.exchange(connection, "a")
        self.assertEqual(
            handler.failure,
            ExchangeFailure(FailureKind.UNREACHABLE, False, refused=True),
        )

    def test_persistent_connection_is_usable_again(self):
        server = ScriptedServer(build_response("a", "one"), b"")
        connection = self.connect(server)
        self.assertTrue(self.exchange(connection, "a").complete)
        self.assertEqual(self.idle, [connection])
        self.assertTrue(connection.usable())

    def test_connection_paused_during_the_last_bytes_reads_the_next_response(self):
        # A caller's backlog pauses reading. If the pause came with the last bytes of a
        # response, the connection returned to the pool and never read again.
        server = ScriptedServer(build_response("a", "one"), build_response("b", "two"))
        connection = self.connect(server)
        handler = RecordingHandler()
        handler.on_body = lambda data: connection.pause_reading()
        request = b"GET / HTTP/1.1\r\nAttempt-Id: a\r\n\r\n"
        connection.send(request, handler, expected_id=b"a")
        while not handler.ended:
            self.loop.run_once(0.01)
        self.assertTrue(connection.usable())
        self.assertEqual(self.exchange(connection, "b").body, b"two")

    def test_second_copy_on_a_reused_connection_is_not_the_next_response(self):
        # A late copy of an earlier response arrives where the next one is expected.
        copy = build_response("a", "one")
        server = ScriptedServer(copy, copy + build_response("b", "two"))
        connection = self.connect(server)
        self.assertEqual(self.exchange(connection, "a").body, b"one")
        self.assertEqual(self.exchange(connection, "b").body, b"two")


class RepeatingServer:
    """Answers the first request of each connection, and again at every later one."""

    def __init__(self, *bodies: bytes):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._bodies = bodies
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        for body in self._bodies:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._answer, args=(sock, body)).start()

    @staticmethod
    def _answer(sock: socket.socket, body: bytes):
        with sock:
            while sock.recv(65_536):
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                sock.sendall(head + body)

    def close(self):
        self._listener.close()
        self._thread.join(5)


class SerialClientTests(unittest.TestCase):
    def test_late_copy_is_not_the_response_on_a_new_connection(self):
        # The copy of a read response would count as the response to the write of a
        # claim, and an agent would give orders without holding its engine.
        loop = EventLoop()
        server = RepeatingServer(b"first", b"second")
        self.addCleanup(server.close)
        client = SerialClient(loop, Address("127.0.0.1", server.port))
        self.addCleanup(client.close)
        bodies = []
        for _ in range(2):
            client.call(
                b"GET / HTTP/1.1\r\n\r\n",
                lambda status, body: bodies.append(body),
                timeout=5.0,
                reuse_connection=False,
            )
            expected = len(bodies) + 1
            while len(bodies) < expected:
                loop.run_once(0.01)
        self.assertEqual(bodies, [b"first", b"second"])


class ResetServerTests(unittest.TestCase):
    """Servers that reset new connections while they have too many."""

    def test_reset_connection_is_not_refused(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        loop = EventLoop()
        connection = HttpConnection(loop, *listener.getsockname())
        self.addCleanup(connection.close)
        accepted, _ = listener.accept()
        accepted.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        accepted.close()
        handler = RecordingHandler()
        connection.send(b"GET / HTTP/1.1\r\n\r\n", handler)
        while handler.failure is None:
            loop.run_once(0.01)
        self.assertFalse(handler.failure.sent)
        self.assertFalse(handler.failure.refused)


class NoDescriptorTests(unittest.TestCase):
    """Calls of a process that has no file descriptor left for a while."""

    def test_call_without_a_socket_has_no_response(self):
        # The exception ended the callback that makes the calls: a watch of the store
        # or the reports of an engine stopped until the process was restarted.
        loop = EventLoop()
        client = SerialClient(loop, Address("127.0.0.1", 1))
        error = OSError(errno.EMFILE, "Too many open files")
        responses = []
        with mock.patch.object(http_exchange, "open_stream", side_effect=error):
            client.call(
                b"GET / HTTP/1.1\r\n\r\n",
                lambda status, _body: responses.append(status),
                timeout=1.0,
            )
        self.assertEqual(responses, [])
        loop.run_once(0)
        self.assertEqual(responses, [NO_RESPONSE])


class EndlessServer:
    """Sends a prefix and then a block again and again until the connection closes."""

    _MAX_BYTES = 64 * 1_048_576  # ends a test in which nothing closes the connection

    def __init__(self, prefix: bytes, block: bytes):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._prefix, self._block = prefix, block
        self.sent_bytes = 0
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        sock, _ = self._listener.accept()
        with sock:
            sock.recv(65_536)
            try:
                for data in itertools.chain(
                    (self._prefix,), itertools.repeat(self._block)
                ):
                    sock.sendall(data)
                    self.sent_bytes += len(data)
                    if self.sent_bytes > self._MAX_BYTES:
                        return
            except OSError:
                return

    def close(self):
        self._listener.close()
        self._thread.join(5)


class EndlessResponseTests(unittest.TestCase):
    """A faulty server sends bytes that are no response until the connection closes.

    Without limits, an entry buffered or read them until its memory ran out or the
    deadline of the request passed.
    """

    # The kernel buffers up to several MB between the two ends of a connection.
    MAX_SENT_BYTES = 16 * 1_048_576

    def setUp(self):
        self.loop = EventLoop()

    def exchange(self, prefix: bytes, block: bytes, limits=None):
        server = EndlessServer(prefix, block)
        self.addCleanup(server.close)
        connection = HttpConnection(
            self.loop,
            "127.0.0.1",
            server.port,
            limits=limits or ResponseLimits(),
        )
        self.addCleanup(connection.close)
        handler = RecordingHandler()
        request = b"GET / HTTP/1.1\r\nAttempt-Id: a\r\n\r\n"
        connection.send(request, handler, expected_id=b"a")
        while not handler.ended:
            self.loop.run_once(0.01)
        return handler, server

    def assert_limited(self, limit: LimitKind, prefix: bytes, block: bytes):
        handler, server = self.exchange(prefix, block)
        failure = ExchangeFailure(FailureKind.BAD_ANSWER, sent=True, limit=limit)
        self.assertEqual(handler.failure, failure)
        self.assertLess(server.sent_bytes, self.MAX_SENT_BYTES)

    def test_endless_header_lines(self):
        block = b"X-Filler: %s\r\n" % (b"x" * 1_000)
        self.assert_limited(
            LimitKind.HEADER_BYTES, b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n", block
        )

    def test_endless_header_value(self):
        prefix = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nX-Filler: "
        self.assert_limited(LimitKind.HEADER_BYTES, prefix, b"x" * 4_096)

    def test_endless_interim_responses(self):
        block = b"HTTP/1.1 100 Continue\r\n\r\n" * 100
        self.assert_limited(LimitKind.PRELIMINARY_BYTES, block, block)

    def test_endless_body_of_a_response_to_another_request(self):
        prefix = b"HTTP/1.1 200 OK\r\nAttempt-Id: z\r\n"
        prefix += b"Transfer-Encoding: chunked\r\n\r\n"
        self.assert_limited(
            LimitKind.PRELIMINARY_BYTES, prefix, b"1000\r\n%s\r\n" % (b"x" * 4_096)
        )

    def test_endless_trailers(self):
        prefix = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
        prefix += b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        self.assert_limited(LimitKind.HEADER_BYTES, prefix, b"X-Filler: x\r\n" * 400)

    def test_endless_chunk_extension(self):
        prefix = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
        prefix += b"Transfer-Encoding: chunked\r\n\r\n1;a="
        self.assert_limited(LimitKind.HEADER_BYTES, prefix, b"x" * 4_096)

    def test_body_of_the_expected_response_is_not_limited(self):
        # Large and slow responses are legitimate; only their consumer limits them.
        size = 2 * ResponseLimits().preliminary_bytes
        prefix = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: %d\r\n\r\n"
        handler, _ = self.exchange(prefix % size, b"x" * 65_536)
        self.assertEqual(len(handler.body), size)
        self.assertTrue(handler.complete)

    def test_endless_body_of_a_buffered_response(self):
        # Reports, orders and calls to the store buffer the whole body.
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        server = EndlessServer(head, b"10000\r\n%s\r\n" % (b"x" * 65_536))
        self.addCleanup(server.close)
        client = SerialClient(self.loop, Address("127.0.0.1", server.port))
        self.addCleanup(client.close)
        results = []
        client.call(
            b"GET / HTTP/1.1\r\n\r\n",
            lambda status, body: results.append(status),
            timeout=60.0,
        )
        while not results:
            self.loop.run_once(0.01)
        self.assertEqual(results, [NO_RESPONSE])
        self.assertLess(server.sent_bytes, 2 * self.MAX_SENT_BYTES)


class InvalidAddressTests(unittest.TestCase):
    """Addresses that the socket rejects with other errors than OSError.

    The exception reached the event loop, and the request had no response.
    """

    def test_invalid_address_is_unreachable(self):
        loop = EventLoop()
        for host, port in (
            ("127.0.0.1", 70_000),
            ("127.0.0.1", -1),
            ("127.0.0.1", 10**30),
            ("engine.invalid", 80),
            ("a\0b", 80),
            ("\u00e9" * 300, 80),
            ("\ud800", 80),
            ("", 80),
        ):
            with self.subTest(host=ascii(host[:20]), port=port):
                handler, closed = RecordingHandler(), []
                connection = HttpConnection(loop, host, port, on_closed=closed.append)
                connection.send(b"GET / HTTP/1.1\r\n\r\n", handler)
                loop.run_once(0.1)
                self.assertEqual(
                    handler.failure, ExchangeFailure(FailureKind.UNREACHABLE, False)
                )
                self.assertEqual(closed, [connection])
