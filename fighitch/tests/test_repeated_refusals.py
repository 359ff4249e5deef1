"""A faulty server writes an earlier refusal once more on a kept connection.

A refusal states that a request was not run, so that the entry sends it to another
server or tells the caller to try again. Taken for the response to a later request, it
made that request run twice, or its caller was told that it had not run.
"""

import re
import socket
import threading
import time
import unittest

from fighitch.core.gateway.backend_choice import Candidate
from fighitch.core.gateway.model import BackendServer, ServerState, WorkKind
from fighitch.gateway.backend_pool import BackendPool
from fighitch.gateway.relay import Relay
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_exchange import FailureKind, HttpConnection
from fighitch.tests.test_http_exchange import (
    RecordingHandler,
    ScriptedServer,
    build_response,
)
from fighitch.tests.test_relay import RelayTestCase

REFUSALS = {
    "503": b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
    "429": b"HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\n",
    "421": b"HTTP/1.1 421 Misdirected Request\r\n",
    "421 of another instance": (
        b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\n"
    ),
}
NO_BODY = b"Content-Length: 0\r\n\r\n"


class RefusingServer:
    """Refuses its first request and repeats the refusal on the same connection.

    Every other request runs. On the connection of the refusal, the refusal is written
    once more before the response to the request that runs.
    """

    _RESPONSE_DELAY = 0.05  # seconds from the second copy to the response

    def __init__(self, refusal: bytes):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._refusal = refusal
        self._has_refused = not refusal
        self.runs: list[str] = []
        self._threads = [threading.Thread(target=self._accept, daemon=True)]
        self._threads[0].start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            thread = threading.Thread(target=self._serve, args=(sock,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def _serve(self, sock: socket.socket):
        has_refused = False
        with sock:
            try:
                while request := sock.recv(65_536):
                    if not self._has_refused:
                        self._has_refused = has_refused = True
                        sock.sendall(self._refusal)
                        continue
                    found = re.search(rb"Attempt-Id: (\S+)", request)
                    self.runs.append(found.group(1).decode())
                    if has_refused:
                        sock.sendall(self._refusal)
                        time.sleep(self._RESPONSE_DELAY)
                    sock.sendall(
                        b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
                        b"Attempt-Id: %b\r\nContent-Length: 4\r\n\r\ndone"
                        % found.group(1)
                    )
            except OSError:
                return

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for thread in self._threads:
            thread.join(5)


class RefusalOnAConnectionTests(unittest.TestCase):
    """Refusals that precede the response to the second request of a connection."""

    REFUSAL = REFUSALS["503"]

    def setUp(self):
        self.loop = EventLoop()

    def connect(self, *responses: bytes) -> HttpConnection:
        server = ScriptedServer(*responses)
        connection = HttpConnection(self.loop, "127.0.0.1", server.port)
        # The server ends when its connection is closed.
        self.addCleanup(server.close)
        self.addCleanup(connection.close)
        return connection

    def exchange(
        self, connection: HttpConnection, request_id: str, body: bytes = b""
    ) -> RecordingHandler:
        handler = RecordingHandler()
        request = f"POST / HTTP/1.1\r\nAttempt-Id: {request_id}\r\n\r\n".encode()
        connection.send(request + body, handler, expected_id=request_id.encode())
        for _ in range(1_000):
            if handler.ended:
                break
            self.loop.run_once(0.01)
        return handler

    def second_exchange(self, *late: bytes) -> RecordingHandler:
        """Returns the second exchange, whose response follows the late bytes."""
        connection = self.connect(
            build_response("a", "one"), b"".join(late) + build_response("b", "two")
        )
        self.assertEqual(self.exchange(connection, "a").body, b"one")
        return self.exchange(connection, "b")

    def assert_may_have_run(self, handler: RecordingHandler) -> None:
        self.assertIsNone(handler.head)
        self.assertIsNotNone(handler.failure)
        self.assertTrue(handler.failure.sent)

    def assert_answered(self, handler: RecordingHandler) -> None:
        self.assertEqual((handler.head.status, handler.body), (200, b"two"))
        self.assertTrue(handler.complete)

    def test_refusal_without_an_id_on_a_reused_connection_is_a_failure(self):
        handler = self.second_exchange(self.REFUSAL + NO_BODY)
        self.assert_may_have_run(handler)
        self.assertEqual(handler.failure.kind, FailureKind.BAD_ANSWER)

    def test_refusal_without_an_id_on_a_new_connection_is_accepted(self):
        handler = self.exchange(self.connect(self.REFUSAL + NO_BODY), "a")
        self.assertTrue(handler.complete)
        self.assertEqual(handler.head.status, 503)

    def test_refusal_without_an_id_after_a_response_to_another_request(self):
        connection = self.connect(build_response("z", "") + self.REFUSAL + NO_BODY)
        self.assert_may_have_run(self.exchange(connection, "a"))

    def test_refusals_with_an_earlier_id_are_skipped(self):
        refusal = self.REFUSAL + b"Attempt-Id: a\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
        interim = b"HTTP/1.1 100 Continue\r\nAttempt-Id: b\r\n\r\n"
        for late in (
            (refusal + NO_BODY,),
            (refusal + NO_BODY, refusal + NO_BODY),
            (refusal + chunked,),
            (interim, refusal + NO_BODY, interim),
        ):
            with self.subTest(late=late):
                self.assert_answered(self.second_exchange(*late))

    def test_refusals_that_cannot_be_told_from_the_response_are_failures(self):
        earlier = self.REFUSAL + b"Attempt-Id: a\r\n"
        for late in (
            earlier + b"Attempt-Id: b\r\n" + NO_BODY,
            self.REFUSAL + b"Attempt-Id: b\r\nAttempt-Id: a\r\n" + NO_BODY,
            earlier + b"Connection: close\r\n" + NO_BODY,
            earlier + b"\r\n",  # without a length, it ends with the connection
            3 * (earlier + NO_BODY),
        ):
            with self.subTest(late=late):
                self.assert_may_have_run(self.second_exchange(late))

    def test_id_in_another_spelling_is_another_id(self):
        refusal = self.REFUSAL + b"Attempt-Id: B\r\n" + NO_BODY
        self.assert_answered(self.second_exchange(refusal))
        refusal = self.REFUSAL + b"Attempt-Id: b, b\r\n" + NO_BODY
        self.assert_answered(self.second_exchange(refusal))

    def test_white_space_around_an_id_does_not_matter(self):
        refusal = self.REFUSAL + b"attempt-id:  \ta \t\r\n" + NO_BODY
        handler = self.exchange(self.connect(refusal), "a")
        self.assertEqual((handler.complete, handler.head.status), (True, 503))
        # The id of a caller may end with white space that its server omits.
        refusal = self.REFUSAL + b"Attempt-Id: a\r\n" + NO_BODY
        handler = self.exchange(self.connect(refusal), "a\t")
        self.assertEqual((handler.complete, handler.head.status), (True, 503))

    def connect_to_peer(self) -> tuple[HttpConnection, socket.socket]:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        connection = HttpConnection(self.loop, "127.0.0.1", port)
        self.addCleanup(connection.close)
        peer, _ = listener.accept()
        self.addCleanup(peer.close)
        return connection, peer

    def test_late_refusal_ends_the_use_of_an_idle_connection(self):
        refusal = self.REFUSAL + b"Attempt-Id: a\r\n" + NO_BODY
        for is_read in (False, True):
            with self.subTest(is_read=is_read):
                connection, peer = self.connect_to_peer()
                peer.sendall(refusal)
                self.assertTrue(self.exchange(connection, "a").complete)
                self.assertTrue(connection.usable())
                peer.sendall(refusal)
                if is_read:
                    self.loop.run_once(0.01)
                    self.assertTrue(connection.closed)
                self.assertFalse(connection.usable())

    def test_refusal_before_the_end_of_a_request_closes_the_connection(self):
        # The unsent rest would be taken for the next request.
        connection, peer = self.connect_to_peer()
        peer.sendall(self.REFUSAL + b"Attempt-Id: a\r\n" + NO_BODY)
        handler = self.exchange(connection, "a", b"x" * 32 * 1_048_576)
        self.assertEqual((handler.complete, handler.head.status), (True, 503))
        self.assertTrue(connection.closed)


class RepeatedRefusalTestCase(RelayTestCase):
    def setUp(self):
        super().setUp()
        self.entry.links.may_connect_soon.return_value = False
        self.entry.take_retry.return_value = True
        self.entry.pool = BackendPool(self.loop)
        self.caller.is_backlogged = False
        self.servers: list[RefusingServer] = []

    def serve(self, *refusals: bytes) -> None:
        """Starts a server for each refusal; one with an empty refusal runs all."""
        self.servers = [RefusingServer(refusal) for refusal in refusals]
        backends = []
        for number, item in enumerate(self.servers):
            self.addCleanup(item.close)
            name = f"e{number}"
            backend = BackendServer(
                name, "models", "127.0.0.1", item.port, "z1", ServerState.READY, 4, 1
            )
            backends.append(backend)
            self.addCleanup(self.entry.pool.close_idle, backend)
        self.entry.candidates.side_effect = (
            lambda _service, _metadata, avoid, **_options: [
                Candidate(item, 0.0)
                for item in backends
                if item.instance_id not in avoid
            ]
        )

    def run_request(self, relay: Relay) -> int:
        """Returns the status that the caller receives."""
        self.entry.record_end.reset_mock()
        self.caller.reset_mock()
        relay.place()
        for _ in range(1_000):
            if self.entry.record_end.called:
                break
            self.loop.run_once(0.01)
        # The connection is put back only after the end of the request.
        self.loop.run_once(0.0)
        return self.caller.send_head.call_args.args[0]

    def runs(self, request_id: str) -> int:
        time.sleep(0.1)  # a run that nobody waits for is counted too
        return sum(item.runs.count(request_id) for item in self.servers)


class RefusalOfAnEarlierRequestTests(RepeatedRefusalTestCase):
    def refuse_then_run(self, refusal: bytes, kind: WorkKind, *others: bytes) -> int:
        """Lets a request be refused, and returns the status of the next one."""
        self.serve(refusal, *others)
        self.run_request(self.relay(kind=WorkKind.IDEMPOTENT, request_id="x"))
        return self.run_request(self.relay(kind=kind, request_id="y"))

    def test_refusal_without_an_id_does_not_run_an_order_twice(self):
        for name, head in REFUSALS.items():
            with self.subTest(name):
                refusal = head + NO_BODY
                status = self.refuse_then_run(refusal, WorkKind.NON_IDEMPOTENT, b"")
                self.assertEqual((status, self.runs("y")), (502, 1))

    def test_refusal_without_an_id_is_no_promise_to_the_caller(self):
        self.entry.take_retry.return_value = False
        for name, head in REFUSALS.items():
            with self.subTest(name):
                refusal = head + NO_BODY
                self.serve(refusal)
                first = self.run_request(self.relay(request_id="x"))
                status = self.run_request(self.relay(request_id="y"))
                self.assertEqual((first, status, self.runs("y")), (503, 502, 1))

    def test_repeatable_request_is_answered_by_another_server(self):
        refusal = REFUSALS["503"] + NO_BODY
        status = self.refuse_then_run(refusal, WorkKind.IDEMPOTENT, b"")
        self.assertEqual(status, 200)

    def test_refusal_with_the_id_of_the_earlier_request_is_skipped(self):
        for name, head in REFUSALS.items():
            with self.subTest(name):
                refusal = head + b"Attempt-Id: x\r\n" + NO_BODY
                status = self.refuse_then_run(refusal, WorkKind.NON_IDEMPOTENT, b"")
                self.assertEqual((status, self.runs("y")), (200, 1))


class RefusalOfTheSameRequestTests(RepeatedRefusalTestCase):
    """The only server of a service refuses a request, which is then sent to it again.

    It waits for the limit of the server, so that the connection of the refusal is idle.
    """

    def setUp(self):
        super().setUp()
        self.entry.reserve.return_value = 0.02

    def test_earlier_refusal_of_the_same_request_does_not_run_it_twice(self):
        # The repeated refusal has the id of the request that it seems to answer.
        for name, head in REFUSALS.items():
            with self.subTest(name):
                self.serve(head + b"Attempt-Id: x\r\n" + NO_BODY)
                relay = self.relay(kind=WorkKind.NON_IDEMPOTENT)
                status = self.run_request(relay)
                self.assertEqual((status, self.runs("x")), (200, 1))

    def test_earlier_refusal_without_an_id_does_not_run_it_twice(self):
        self.serve(REFUSALS["503"] + NO_BODY)
        status = self.run_request(self.relay(kind=WorkKind.NON_IDEMPOTENT))
        self.assertEqual((status, self.runs("x")), (200, 1))


if __name__ == "__main__":
    unittest.main()
