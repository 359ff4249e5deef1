import socket
import threading
import unittest

from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_exchange import (
    ExchangeFailure,
    FailureKind,
    HttpConnection,
    ResponseHead,
)


class RecordingReceiver:
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
    """Sends given bytes after each request that it reads."""

    def __init__(self, *answers: bytes, reset: bool = False):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._answers = answers
        self._reset = reset
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        sock, _ = self._listener.accept()
        with sock:
            for answer in self._answers:
                if not sock.recv(65_536):
                    return
                sock.sendall(answer)
            if self._reset:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )

    def close(self):
        self._listener.close()
        self._thread.join(5)


def answer(request_id: str, body: str, *, extra: str = "") -> bytes:
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
        receiver = RecordingReceiver()
        request = f"GET / HTTP/1.1\r\nAttempt-Id: {request_id}\r\n\r\n".encode()
        connection.send(request, receiver, expected_id=request_id.encode())
        for _ in range(1_000):
            if receiver.ended:
                break
            self.loop.run_once(0.01)
        return receiver

    def test_second_answer_in_the_same_bytes_leaves_the_first_head_alone(self):
        # Its headers were once appended to the answer that a caller received.
        server = ScriptedServer(answer("a", "one") + answer("b", "two"))
        receiver = self.exchange(self.connect(server), "a")
        self.assertTrue(receiver.complete)
        signatures = [
            value
            for name, value in receiver.head.headers
            if name == b"Response-Signature"
        ]
        self.assertEqual(signatures, [b"of-a"])
        self.assertEqual(receiver.body, b"one")
        self.assertEqual(self.idle, [])

    def test_late_answer_of_another_request_is_skipped(self):
        server = ScriptedServer(answer("z", "old") + answer("a", "one"))
        receiver = self.exchange(self.connect(server), "a")
        self.assertTrue(receiver.complete)
        self.assertEqual(receiver.body, b"one")

    def test_connection_is_not_watched_for_writing_after_a_request(self):
        # An entry once spun on the writable connection of every waiting watch.
        server = ScriptedServer(b"")
        connection = self.connect(server)
        receiver = RecordingReceiver()
        connection.send(b"GET / HTTP/1.1\r\n\r\n", receiver)
        calls = 0
        for _ in range(20):
            before = self.loop.now()
            self.loop.run_once(0.01)
            calls += self.loop.now() - before < 0.005
        self.assertLess(calls, 10)

    def test_answer_without_length_is_complete_at_a_clean_end(self):
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n"
        receiver = self.exchange(self.connect(ScriptedServer(head + b"body")), "a")
        self.assertTrue(receiver.complete)
        self.assertEqual(receiver.body, b"body")

    def test_answer_without_length_is_incomplete_after_a_reset(self):
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n"
        server = ScriptedServer(head + b"body", reset=True)
        receiver = self.exchange(self.connect(server), "a")
        self.assertEqual(receiver.failure, ExchangeFailure(FailureKind.RESET, True))

    def test_short_answer_is_a_failure(self):
        data = answer("a", "whole body")[:-4]
        receiver = self.exchange(self.connect(ScriptedServer(data)), "a")
        self.assertEqual(receiver.failure.kind, FailureKind.CLOSED)

    def test_bytes_that_are_no_answer_are_a_failure(self):
        receiver = self.exchange(self.connect(ScriptedServer(b"\0garbage\r\n")), "a")
        self.assertEqual(receiver.failure.kind, FailureKind.BAD_ANSWER)

    def test_success_without_the_id_is_a_failure(self):
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        receiver = self.exchange(self.connect(ScriptedServer(data)), "a")
        self.assertEqual(receiver.failure.kind, FailureKind.BAD_ANSWER)

    def test_refused_connection_was_not_sent_to(self):
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        listener.close()
        connection = HttpConnection(self.loop, "127.0.0.1", port)
        receiver = self.exchange(connection, "a")
        self.assertEqual(
            receiver.failure, ExchangeFailure(FailureKind.UNREACHABLE, False)
        )

    def test_kept_connection_with_waiting_bytes_is_not_used_again(self):
        server = ScriptedServer(answer("a", "one"), b"")
        connection = self.connect(server)
        self.assertTrue(self.exchange(connection, "a").complete)
        self.assertEqual(self.idle, [connection])
        self.assertTrue(connection.usable())
