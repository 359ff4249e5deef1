import contextlib
import gc
import socket
import threading
import time
import tracemalloc
import unittest
from dataclasses import replace
from unittest import mock

from fighitch.core.gateway.memory_budget import MemoryBudget, RefusalReason
from fighitch.core.gateway.model import CallerLimits
from fighitch.runtime.caller_memory import CallerMemory
from fighitch.runtime.event_loop import READ, EventLoop
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.sockets import listen
from standins.platform_fleet import wait_until

LIMITS = CallerLimits(
    header_bytes=2_000, body_bytes=10_000, header_timeout=0.3, idle_timeout=5.0
)
# More than the buffers of a connection on loopback hold.
LARGE_BYTES = 16_000_000


class CallerConnectionTests(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop()
        self.limits = LIMITS
        self.requests: list[CallerRequest] = []
        self.invalid: list[tuple[int, CallerRequest]] = []
        self.disconnected = threading.Event()
        self.hold_response = False
        self.held_connections: list[CallerConnection] = []
        self.large_connections: list[CallerConnection] = []
        self.listener = listen("127.0.0.1", 0)
        self.loop.watch(self.listener, READ, self.accept)
        self.loop.call_every(0.01, lambda: None)
        self.thread = threading.Thread(target=self.loop.run, daemon=True)
        self.thread.start()
        self.addCleanup(self.close)

    def close(self):
        self.loop.stop()
        self.thread.join(5)
        self.listener.close()

    def accept(self, _events):
        sock, _ = self.listener.accept()
        CallerConnection(
            self.loop,
            sock,
            lambda: self.limits,
            on_request=self.handle_request,
            on_closed=lambda _caller: None,
            on_invalid=lambda status, request: self.invalid.append((status, request)),
        )

    def handle_request(self, caller, request):
        self.requests.append(request)
        if request.target == b"/stall":
            time.sleep(0.8)
        if self.hold_response:
            caller.on_disconnected = self.disconnected.set
            self.held_connections.append(caller)
            return
        body = b"to " + request.target
        if request.target == b"/large":
            self.large_connections.append(caller)
            body = b"x" * LARGE_BYTES
        if request.target == b"/close-idle":
            self.large_connections[0].close_if_idle()
        caller.send_head(200, [], length=len(body))
        caller.send_body(body)
        caller.finish()

    def send_and_receive(self, *parts: bytes, responses: int = 1) -> bytes:
        """Sends bytes; returns what is received until the end or enough responses."""
        host, port = self.listener.getsockname()
        received = b""
        with socket.create_connection((host, port), timeout=5) as sock:
            for part in parts:
                sock.sendall(part)
            while (
                received.count(b"HTTP/1.1") < responses or b"\r\n\r\n" not in received
            ):
                data = sock.recv(65_536)
                if not data:
                    break
                received += data
        return received

    def receive_until(self, sock: socket.socket, expected: bytes):
        received = b""
        while expected not in received:
            data = sock.recv(65_536)
            self.assertTrue(data, received)
            received += data

    def test_pipelined_requests_are_answered_in_order(self):
        request = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
        received = self.send_and_receive(
            request % 1 + request % 2 + request % 3, responses=3
        )
        self.assertLess(received.index(b"to /1"), received.index(b"to /2"))
        self.assertEqual(received.count(b"200 OK"), 3)

    def test_request_that_arrives_during_a_stall_of_the_loop_is_answered(self):
        # Guards against an idle timer that closes a connection with unread input after
        # a callback that took long, such as the decoding of a large configuration.
        self.limits = CallerLimits(idle_timeout=0.1)
        address = self.listener.getsockname()
        with (
            socket.create_connection(address, timeout=5) as kept,
            socket.create_connection(address, timeout=5) as other,
        ):
            kept.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            self.receive_until(kept, b"to /1")
            time.sleep(0.6)
            other.sendall(b"GET /stall HTTP/1.1\r\nHost: h\r\n\r\n")
            time.sleep(0.2)
            # The idle timer of this connection is due before the stall ends.
            kept.sendall(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
            self.receive_until(kept, b"to /2")

    def assert_rejected_while_sending(self, prefix: bytes, block: bytes):
        """Sends a block again and again; expects a rejection within the limits."""
        host, port = self.listener.getsockname()
        with socket.create_connection((host, port), timeout=5) as sock:
            sock.sendall(prefix)
            for _ in range(64):
                sock.sendall(block)
            received = b""
            while data := sock.recv(65_536):
                received += data
        # The whole response arrives although the caller has not stopped sending.
        self.assertIn(b" 431 ", received)
        self.assertTrue(received.endswith(b'{"error":"bad_request"}'))

    def test_endless_header_value_is_rejected(self):
        # The parser buffers a header line until it is complete.
        self.assert_rejected_while_sending(
            b"GET / HTTP/1.1\r\nHost: h\r\nX-Filler: ", b"x" * 4_096
        )

    def test_endless_chunk_extension_is_rejected(self):
        self.assert_rejected_while_sending(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
            b"x" * 4_096,
        )

    def test_chunked_body_is_joined(self):
        self.send_and_receive(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"3\r\nabc\r\n",
            b"2\r\nde\r\n0\r\n\r\n",
        )
        self.assertEqual(self.requests[0].body, b"abcde")

    def test_request_with_length_and_chunked_coding_is_rejected_and_closed(self):
        # Request smuggling: the body could hide a second request.
        received = self.send_and_receive(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n",
            responses=2,
        )
        self.assertIn(b"400 Bad Request", received)
        self.assertIn(b"Connection: close", received)
        self.assertEqual(self.requests, [])

    def test_request_with_two_content_lengths_is_rejected(self):
        received = self.send_and_receive(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Content-Length: 5\r\n\r\nabcde"
        )
        self.assertIn(b"400", received)

    def test_oversized_head_is_rejected(self):
        received = self.send_and_receive(
            b"GET / HTTP/1.1\r\nX: " + b"a" * 3_000 + b"\r\n\r\n"
        )
        self.assertIn(b"431", received)
        ((status, request),) = self.invalid
        self.assertEqual((status, request.target), (431, b"/"))

    def test_oversized_body_is_rejected(self):
        received = self.send_and_receive(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"
            + b"a" * 20_000
        )
        self.assertIn(b"413", received)

    def test_head_that_exceeds_its_timeout_is_rejected(self):
        self.assertIn(b"408", self.send_and_receive(b"GET / HTTP/1.1\r\nHo"))

    def test_malformed_request_is_rejected(self):
        self.assertIn(b"400", self.send_and_receive(b"\0\1\2\3\r\n\r\n"))

    def receive_all(self, sent: bytes) -> bytes:
        """Sends bytes at once; returns what is received until the connection ends."""
        with socket.create_connection(self.listener.getsockname(), timeout=5) as sock:
            sock.sendall(sent)
            received = b""
            while data := sock.recv(65_536):
                received += data
        return received

    def assert_answered_and_closed(self, received: bytes, *, requests: int):
        """Expects one response to each request and the announcement of the close."""
        self.assertEqual(received.count(b"HTTP/1.1 "), requests, received)
        self.assertEqual(received.count(b" 200 OK"), requests, received)
        self.assertEqual(received.count(b"Connection: close"), 1, received)
        self.assertTrue(received.endswith(b"to /%d" % requests), received)

    def test_request_with_a_malformed_one_behind_it_is_answered(self):
        # Guards against a complete request that gets neither answer nor rejection
        # because the bytes that arrive with it are invalid.
        request = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
        received = self.receive_all(request + b"nonsense\r\n\r\n")
        self.assert_answered_and_closed(received, requests=1)
        self.assertEqual([status for status, _ in self.invalid], [400])

    def test_request_with_a_too_large_one_behind_it_is_answered(self):
        request = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
        large = b"GET /2 HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3_000 + b"\r\n\r\n"
        self.assert_answered_and_closed(self.receive_all(request + large), requests=1)

    def test_queued_request_with_a_malformed_one_behind_it_is_answered(self):
        self.hold_response = True
        request = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"

        def answer_held():
            self.hold_response = False
            self.handle_request(self.held_connections[0], self.requests[0])

        with socket.create_connection(self.listener.getsockname(), timeout=5) as sock:
            sock.sendall(request % 1 + request % 2 + b"nonsense\r\n\r\n")
            self.assertTrue(wait_until(lambda: bool(self.held_connections)))
            self.loop.call_later(0, answer_held)
            received = b""
            while data := sock.recv(65_536):
                received += data
        self.assert_answered_and_closed(received, requests=2)

    def test_part_of_a_request_that_came_before_a_response_is_rejected_in_time(self):
        # Guards against an idle timeout that closes a connection within a request.
        self.limits = replace(LIMITS, idle_timeout=0.1)
        self.hold_response = True

        def answer_held():
            self.hold_response = False
            self.handle_request(self.held_connections[0], self.requests[0])

        request = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
        with socket.create_connection(self.listener.getsockname(), timeout=5) as sock:
            sock.sendall(request + b"GET /2 HTTP/1.1\r\nHost:")
            self.assertTrue(wait_until(lambda: bool(self.held_connections)))
            self.loop.call_later(0, answer_held)
            received = b""
            while data := sock.recv(65_536):
                received += data
        self.assertLess(received.index(b"to /1"), received.index(b" 408 "))

    def test_disconnect_is_detected_while_the_response_is_pending(self):
        self.hold_response = True
        with socket.create_connection(self.listener.getsockname()) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            while not self.held_connections:
                pass
        self.assertTrue(self.disconnected.wait(5))

    def test_aborted_chunked_response_has_no_final_chunk(self):
        self.hold_response = True
        with socket.create_connection(self.listener.getsockname()) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            while not self.held_connections:
                pass

            def abort_response():
                self.held_connections[0].send_head(200, [], length=None)
                self.held_connections[0].send_body(b"part")
                self.held_connections[0].close()

            self.loop.call_later(0, abort_response)
            received = b""
            while data := sock.recv(65_536):
                received += data
        self.assertIn(b"part", received)
        self.assertNotIn(b"0\r\n\r\n", received)

    def finish_during_shutdown(self, sock: socket.socket, *, requests: int) -> bytes:
        """Shuts down while a response is in progress; returns all received bytes."""
        while not self.held_connections:
            pass

        def shut_down_and_finish():
            caller = self.held_connections[0]
            caller.send_head(200, [], length=None)
            while len(self.requests) + len(caller._requests) < requests:
                caller._read()
            self.hold_response = False
            caller.is_shutting_down = True
            caller.send_body(b"stream")
            caller.finish()

        self.loop.call_later(0, shut_down_and_finish)
        sock.settimeout(3)
        received = b""
        while data := sock.recv(65_536):
            received += data
        return received

    def test_connection_accepts_no_request_after_a_response_that_ends_during_shutdown(
        self,
    ):
        # The head was sent before the shutdown began, without "Connection: close". A
        # request that followed the response was accepted long after SIGTERM and aborted
        # when the process exited.
        self.hold_response = True
        with socket.create_connection(self.listener.getsockname()) as sock:
            sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            received = self.finish_during_shutdown(sock, requests=1)
        self.assertTrue(received.endswith(b"stream\r\n0\r\n\r\n"), received)

    def test_request_that_was_read_before_shutdown_is_answered(self):
        self.hold_response = True
        with socket.create_connection(self.listener.getsockname()) as sock:
            sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            sock.sendall(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
            received = self.finish_during_shutdown(sock, requests=2)
        self.assertIn(b"Connection: close", received)
        self.assertTrue(received.endswith(b"to /2"), received)

    def receive_slowly(self, act: str, pause: float = 1.5) -> bytes:
        """Receives a large response only after its connection counts as idle.

        Args:
            act: Request whose handling has the effect that is tested.
            pause: Seconds until the caller begins to read.
        """
        address = self.listener.getsockname()
        with (
            socket.create_connection(address, timeout=5) as slow,
            socket.create_connection(address, timeout=5) as other,
        ):
            slow.sendall(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertTrue(wait_until(lambda: bool(self.large_connections)))
            other.sendall(b"GET /%s HTTP/1.1\r\nHost: h\r\n\r\n" % act.encode())
            time.sleep(pause)
            received = b""
            while len(received) < LARGE_BYTES:
                data = slow.recv(65_536)
                if not data:
                    break
                received += data
        return received

    def test_response_that_is_still_being_sent_is_not_cut_by_the_idle_timeout(self):
        self.limits = replace(LIMITS, idle_timeout=0.1)
        self.assertGreater(len(self.receive_slowly("nothing")), LARGE_BYTES)

    def test_response_that_is_still_being_sent_is_not_cut_by_a_shutdown(self):
        # A stopping entry closes idle connections again and again.
        self.assertGreater(len(self.receive_slowly("close-idle")), LARGE_BYTES)

    def test_response_is_not_reset_if_its_caller_pauses_for_some_seconds(self):
        # Guards against a time limit for peers that are gone, which also ends a
        # connection whose caller does not read.
        received = self.receive_slowly("nothing", pause=4.5)
        self.assertGreater(len(received), LARGE_BYTES)


class SlowCallerTests(unittest.TestCase):
    """A caller that reads a response after the idle timeout, on a clock of the test."""

    def setUp(self):
        self.now = 0.0
        self.loop = EventLoop(lambda: self.now)
        ours, self.caller = socket.socketpair()
        self.addCleanup(self.caller.close)
        ours.setblocking(False)
        self.caller.setblocking(False)
        with mock.patch("fighitch.runtime.http_callers.set_stream_options"):
            connection = CallerConnection(
                self.loop,
                ours,
                lambda: LIMITS,
                on_request=self.answer,
                on_closed=mock.Mock(),
            )
        self.addCleanup(connection.close)

    def answer(self, caller: CallerConnection, _request: CallerRequest) -> None:
        caller.send_head(200, [], length=LARGE_BYTES)
        caller.send_body(b"x" * LARGE_BYTES)
        caller.finish()

    def read_response(self) -> None:
        count = 0
        while count < LARGE_BYTES:
            try:
                data = self.caller.recv(1_000_000)
            except BlockingIOError:
                self.loop.run_once(0.0)
                continue
            self.assertTrue(data, f"closed after {count} bytes")
            count += len(data)

    def test_idle_time_begins_when_the_response_is_sent(self):
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        self.caller.sendall(request)
        self.loop.run_once(0.0)
        self.now += LIMITS.idle_timeout + 1.1
        self.loop.run_once(0.0)
        self.read_response()
        self.now += 0.8 * LIMITS.idle_timeout
        self.loop.run_once(0.0)
        self.caller.sendall(request)
        self.read_response()


class CallerMemoryTests(unittest.TestCase):
    """Connections that share a small memory budget, on a clock of the test."""

    def setUp(self):
        self.now = 0.0
        self.loop = EventLoop(lambda: self.now)
        self.requests: list[CallerRequest] = []
        self.answers = True
        self.body_limit = 100_000
        self.refusals = []
        self.memory = CallerMemory(
            self.loop, MemoryBudget(150_000), self.refusals.append
        )

    def connect(self) -> tuple[CallerConnection, socket.socket]:
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        ours.setblocking(False)
        theirs.setblocking(False)
        with mock.patch("fighitch.runtime.http_callers.set_stream_options"):
            connection = CallerConnection(
                self.loop,
                ours,
                lambda: CallerLimits(body_bytes=self.body_limit),
                on_request=self.handle,
                on_closed=lambda _connection: None,
                memory=self.memory,
            )
        self.addCleanup(connection.close)
        return connection, theirs

    def handle(self, caller: CallerConnection, request: CallerRequest) -> None:
        self.requests.append(request)
        if self.answers:
            caller.send_head(200, [], length=1_000)
            caller.send_body(b"x" * 1_000)
            caller.finish()

    def run_loop(self, seconds: float = 0.0) -> None:
        for _ in range(1 + round(seconds / 0.05)):
            self.now += 0.05 if seconds else 0.0
            for _ in range(20):
                self.loop.run_once(0.0)

    def post(self, sock: socket.socket, announced: int, sent: int) -> None:
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % announced
        sock.sendall(head + b"y" * sent)
        self.run_loop()

    def received(self, sock: socket.socket) -> bytes:
        try:
            return sock.recv(65_536)
        except BlockingIOError:
            return b""

    def test_small_chunked_body_is_served_if_its_limit_exceeds_the_budget(self):
        # Guards against a 503 in calm: the limit of a body was taken for the size of
        # each chunked one, which then could never fit.
        self.body_limit = 400_000
        _, sock = self.connect()
        body = b"ea60\r\n%s\r\n0\r\n\r\n" % (b"y" * 60_000)
        sock.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body
        )
        self.run_loop(0.2)
        self.assertEqual(len(self.requests), 1)
        self.assertEqual(self.refusals, [])
        self.assertIn(b" 200 ", self.received(sock))

    def test_pipelined_requests_that_were_read_before_shutdown_are_answered(self):
        # Guards against whole requests that were read with the others, but not yet
        # parsed, and were dropped because no parsed one was left.
        self.answers = False
        connection, sock = self.connect()
        sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 60)
        self.run_loop()
        connection.is_shutting_down = True
        self.answers = True
        connection.send_head(200, [], length=0)
        connection.finish()
        self.run_loop()
        received = b""
        while data := self.received(sock):
            received += data
            self.run_loop()
        self.assertEqual(received.count(b" 200 OK"), 60)
        self.assertEqual(received.count(b"Connection: close"), 1)

    def test_announced_length_over_the_limit_is_refused_before_the_body(self):
        connection, sock = self.connect()
        self.post(sock, 100_001, 0)
        self.assertIn(b" 413 ", self.received(sock))
        sock.sendall(b"y" * 60_000)
        self.run_loop()
        self.assertEqual(len(connection._body), 0)
        self.assertEqual(self.memory.budget.held, connection._holding.response)

    def test_body_without_room_is_not_read_and_gets_503_with_retry_after(self):
        self.answers = False
        _, first = self.connect()
        self.post(first, 90_000, 90_000)
        waiting, second = self.connect()
        self.post(second, 90_000, 80_000)
        self.assertLess(len(waiting._body), 20_000)
        self.assertEqual(self.received(second), b"")
        self.run_loop(3.2)
        response = self.received(second)
        self.assertIn(b" 503 ", response)
        self.assertIn(b"Retry-After: ", response)
        self.assertEqual([item.reason.value for item in self.refusals], ["no_room"])
        self.assertEqual(len(self.requests), 1)

    def test_waiting_body_gets_503_before_the_process_ends(self):
        # Guards against a whole request that waits unread for memory and is dropped
        # without an answer, as a planned stop may end before its wait does.
        self.answers = False
        _, first = self.connect()
        self.post(first, 90_000, 90_000)
        _, second = self.connect()
        self.post(second, 90_000, 90_000)
        self.memory.refuse_waiting()
        self.assertIn(b" 503 ", self.received(second))
        self.assertEqual([item.reason.value for item in self.refusals], ["no_room"])
        self.assertEqual(len(self.requests), 1)

    def test_waiting_body_is_read_once_there_is_room(self):
        _, first = self.connect()
        self.post(first, 90_000, 50_000)
        _, second = self.connect()
        self.post(second, 90_000, 90_000)
        self.assertEqual(self.requests, [])
        first.sendall(b"y" * 40_000)
        self.run_loop(0.2)
        self.assertEqual([len(item.body) for item in self.requests], [90_000] * 2)
        self.assertEqual(self.requests[1].body, b"y" * 90_000)
        self.assertIn(b" 200 ", self.received(second))

    def test_continue_is_sent_only_once_there_is_room(self):
        self.answers = False
        _, first = self.connect()
        self.post(first, 90_000, 90_000)
        _, second = self.connect()
        second.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Content-Length: 90000\r\n\r\n"
        )
        self.run_loop()
        self.assertEqual(self.received(second), b"")
        self.requests[0].release()
        self.run_loop(0.2)
        self.assertIn(b" 100 Continue", self.received(second))

    def test_stalled_body_makes_room_and_small_requests_are_answered(self):
        stalled, first = self.connect()
        self.post(first, 90_000, 89_999)
        _, second = self.connect()
        self.post(second, 90_000, 90_000)
        _, small = self.connect()
        self.post(small, 5_000, 5_000)
        self.assertIn(b" 200 ", self.received(small))
        self.run_loop(1.0)
        self.assertIn(b" 503 ", self.received(first))
        self.assertIn(b" 200 ", self.received(second))
        self.assertEqual(len(stalled._body), 0)

    def test_caller_does_not_count_as_stalled_after_a_freeze(self):
        # Guards against a thawed process that refuses callers before it reads them.
        _, first = self.connect()
        self.post(first, 90_000, 50_000)
        _, second = self.connect()
        self.post(second, 90_000, 10)
        first.sendall(b"y" * 39_000)
        self.now += 2.0
        self.run_loop(0.1)
        self.assertEqual(self.refusals, [])
        first.sendall(b"y" * 1_000)
        self.run_loop()
        self.assertIn(b" 200 ", self.received(first))

    def test_large_body_in_small_chunks_is_whole(self):
        # Guards against bytes lost at the change to the pages of a large body.
        _, sock = self.connect()
        body = bytes(number % 251 for number in range(95_000))
        sock.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for start in range(0, len(body), 95):
            sock.sendall(b"5f\r\n%s\r\n" % body[start : start + 95])
            self.run_loop()
        sock.sendall(b"0\r\n\r\n")
        self.run_loop()
        self.assertEqual(bytes(self.requests[0].body), body)

    def test_memory_is_released_with_the_connection_and_the_request(self):
        self.answers = False
        connection, sock = self.connect()
        self.post(sock, 90_000, 90_000)
        self.post(sock, 90_000, 10)
        connection.close()
        self.assertGreater(self.memory.budget.held, 90_000)
        self.requests[0].discard()
        self.assertEqual(self.memory.budget.held, 0)

    def test_pipelined_requests_are_not_answered_without_a_reader(self):
        # Guards against responses that are held without limit for such a caller.
        connection, sock = self.connect()
        request = b"GET / HTTP/1.1\r\n\r\n"
        for _ in range(300):
            with contextlib.suppress(BlockingIOError):
                sock.send(request * 200)
            self.run_loop()
        self.assertLess(len(connection._unsent), 70_000)
        self.assertLess(len(connection._requests) * len(request), 5_000)
        self.assertLess(len(self.requests), 10_000)

    def test_pipelined_requests_in_one_read_are_answered_in_order(self):
        # Guards against a recursion as deep as the number of pipelined requests.
        self.memory.budget.limit = 1_000_000
        _, sock = self.connect()
        lines = b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(600))
        sock.sendall(lines)
        received = b""
        for _ in range(100):
            self.run_loop()
            received += self.received(sock)
        self.assertEqual(received.count(b" 200 "), 600)
        targets = [int(item.target[1:]) for item in self.requests]
        self.assertEqual(targets, list(range(600)))

    def test_complete_request_counts_with_its_handling_until_its_answer(self):
        self.answers = False
        connection, sock = self.connect()
        sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.run_loop()
        self.assertGreater(self.memory.budget.held, 10_000)
        connection.send_head(200, [], length=0)
        connection.finish()
        self.assertEqual(self.memory.budget.held, 0)

    def test_complete_head_is_refused_while_memory_is_short(self):
        self.answers = False
        for _ in range(3):
            self.connect()[1].sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.run_loop()
        self.memory.budget.limit = self.memory.budget.held - 1
        _, large = self.connect()
        large.sendall(b"GET / HTTP/1.1\r\n" + b"abc:d\r\n" * 1_800 + b"\r\n")
        self.run_loop()
        response = self.received(large)
        self.assertIn(b" 503 ", response)
        self.assertIn(b"Retry-After", response)
        self.assertEqual(len(self.requests), 3)
        self.assertEqual(self.refusals[0].reason, RefusalReason.OVER_BUDGET)
        self.answers = True
        _, small = self.connect()
        small.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.run_loop()
        self.assertIn(b" 200 ", self.received(small))

    def test_closed_connection_and_ended_request_keep_no_content(self):
        # Guards against uncounted memory until the next garbage collection, as the
        # parser and the connection refer to each other.
        self.answers = False
        self.memory.budget.limit = 10_000_000
        head = b"GET /%s HTTP/1.1\r\nA: " % (b"p" * 1_000) + b"v" * 13_000
        kept = [self.connect() for _ in range(40)]
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number, (_, sock) in enumerate(kept):
            sock.sendall(head + (b"\r\n\r\n" if number % 2 else b"\r\nB: "))
        self.run_loop()
        self.assertEqual(len(self.requests), 20)
        for request in self.requests:
            request.discard()
        for connection, _ in kept:
            connection.close()
        self.assertLess(tracemalloc.get_traced_memory()[0], 40 * 5_000)
        self.assertEqual(self.memory.budget.held, 0)

    def test_request_does_not_time_out_while_its_input_waits_for_a_turn(self):
        # Guards against a crowd that has the head of an ordinary caller time out.
        connection, sock = self.connect()
        sock.sendall(b"GET / HTTP/1.1\r\nHost")
        self.run_loop()
        with mock.patch.object(self.loop, "is_deferred", return_value=True):
            self.run_loop(20.0)
        sock.sendall(b": h\r\n\r\n")
        self.run_loop()
        self.assertIn(b" 200 ", self.received(sock))

    def test_memory_of_open_heads_is_counted(self):
        # Guards against many short header fields, whose objects outweigh their text.
        self.memory.budget.limit = 10_000_000
        pairs = [self.connect() for _ in range(50)]
        head = b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 1_000
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        for _, sock in pairs:
            sock.sendall(head)
        self.run_loop()
        used = tracemalloc.get_traced_memory()[0] - before
        self.assertGreater(self.memory.budget.held, 50 * len(head) / 2)
        self.assertLess(used, self.memory.budget.held)
