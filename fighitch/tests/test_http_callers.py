import socket
import threading
import unittest

from fighitch.core.gateway.model import CallerLimits
from fighitch.runtime.event_loop import READ, EventLoop
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.sockets import listen

LIMITS = CallerLimits(
    header_bytes=2_000, body_bytes=10_000, header_timeout=0.3, idle_timeout=5.0
)


class CallerConnectionTests(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop()
        self.requests: list[CallerRequest] = []
        self.gone = threading.Event()
        self.hold = False
        self.held: list[CallerConnection] = []
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
            LIMITS,
            on_request=self.answer,
            on_closed=lambda _caller: None,
        )

    def answer(self, caller, request):
        self.requests.append(request)
        if self.hold:
            caller.on_disconnected = self.gone.set
            self.held.append(caller)
            return
        body = b"to " + request.target
        caller.send_head(200, [], length=len(body))
        caller.send_body(body)
        caller.finish()

    def talk(self, *parts: bytes, answers: int = 1) -> bytes:
        """Sends bytes and returns what comes until the end or enough answers."""
        host, port = self.listener.getsockname()
        received = b""
        with socket.create_connection((host, port), timeout=5) as sock:
            for part in parts:
                sock.sendall(part)
            while received.count(b"HTTP/1.1") < answers or b"\r\n\r\n" not in received:
                data = sock.recv(65_536)
                if not data:
                    break
                received += data
        return received

    def test_pipelined_requests_are_answered_in_order(self):
        request = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
        received = self.talk(request % 1 + request % 2 + request % 3, answers=3)
        self.assertLess(received.index(b"to /1"), received.index(b"to /2"))
        self.assertEqual(received.count(b"200 OK"), 3)

    def test_chunked_body_is_joined(self):
        self.talk(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"3\r\nabc\r\n",
            b"2\r\nde\r\n0\r\n\r\n",
        )
        self.assertEqual(self.requests[0].body, b"abcde")

    def test_request_with_two_framings_is_refused_and_the_connection_closed(self):
        # A second request could be hidden inside the first one.
        received = self.talk(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n",
            answers=2,
        )
        self.assertIn(b"400 Bad Request", received)
        self.assertIn(b"Connection: close", received)
        self.assertEqual(self.requests, [])

    def test_two_lengths_are_refused(self):
        received = self.talk(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Content-Length: 5\r\n\r\nabcde"
        )
        self.assertIn(b"400", received)

    def test_large_head_is_refused(self):
        received = self.talk(b"GET / HTTP/1.1\r\nX: " + b"a" * 3_000 + b"\r\n\r\n")
        self.assertIn(b"431", received)

    def test_large_body_is_refused(self):
        received = self.talk(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"
            + b"a" * 20_000
        )
        self.assertIn(b"413", received)

    def test_head_that_takes_too_long_is_refused(self):
        self.assertIn(b"408", self.talk(b"GET / HTTP/1.1\r\nHo"))

    def test_bytes_that_are_no_request_are_refused(self):
        self.assertIn(b"400", self.talk(b"\0\1\2\3\r\n\r\n"))

    def test_caller_that_leaves_is_noticed_while_its_answer_is_awaited(self):
        self.hold = True
        with socket.create_connection(self.listener.getsockname()) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            while not self.held:
                pass
        self.assertTrue(self.gone.wait(5))

    def test_unfinished_answer_does_not_look_complete(self):
        self.hold = True
        with socket.create_connection(self.listener.getsockname()) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            while not self.held:
                pass

            def break_off():
                self.held[0].send_head(200, [], length=None)
                self.held[0].send_body(b"part")
                self.held[0].close()

            self.loop.call_later(0, break_off)
            received = b""
            while data := sock.recv(65_536):
                received += data
        self.assertIn(b"part", received)
        self.assertNotIn(b"0\r\n\r\n", received)

    def finish_while_closing(self, sock: socket.socket, *, requests: int) -> bytes:
        """Stops as planned while an answer is under way; returns all that comes."""
        while not self.held:
            pass

        def stop_and_finish():
            caller = self.held[0]
            caller.send_head(200, [], length=None)
            while len(self.requests) + len(caller._requests) < requests:
                caller._read()
            self.hold = False
            caller.is_shutting_down = True
            caller.send_body(b"stream")
            caller.finish()

        self.loop.call_later(0, stop_and_finish)
        sock.settimeout(3)
        received = b""
        while data := sock.recv(65_536):
            received += data
        return received

    def test_connection_whose_answer_ends_during_a_stop_takes_no_other_request(self):
        # The head went out before the stop, without "Connection: close". A request that
        # came just after the answer was taken long after SIGTERM and cut at the end.
        self.hold = True
        with socket.create_connection(self.listener.getsockname()) as sock:
            sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            received = self.finish_while_closing(sock, requests=1)
        self.assertTrue(received.endswith(b"stream\r\n0\r\n\r\n"), received)

    def test_request_that_was_read_before_a_stop_is_still_answered(self):
        self.hold = True
        with socket.create_connection(self.listener.getsockname()) as sock:
            sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            sock.sendall(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
            received = self.finish_while_closing(sock, requests=2)
        self.assertIn(b"Connection: close", received)
        self.assertTrue(received.endswith(b"to /2"), received)
