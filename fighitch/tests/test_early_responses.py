"""Responses that end before their request was written, and invalid statuses."""

import queue
import socket
import threading
import time
import unittest
from unittest import mock

from fighitch.clients.http_client import HttpClient
from fighitch.core.gateway.model import WorkKind
from fighitch.core.gateway.settings import Address
from fighitch.core.http_calls import HttpCall, HttpResponse, NoResponse
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_client import NO_RESPONSE, SerialClient
from fighitch.runtime.http_exchange import FailureKind, HttpConnection
from fighitch.runtime.transfers import Transfer, TransferFailed, Transfers
from fighitch.tests.test_gateway_processes import FleetTestCase
from fighitch.tests.test_http_exchange import RecordingHandler
from fighitch.tests.test_unframed_responses import UnframedTestCase
from standins.platform_fleet import wait_until

# Larger than what the kernel buffers of both ends hold.
LONG_BODY = b"x" * 8_000_000
IDENTITY = b"Attempt-Id: x\r\nResponse-Signature: s\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"\r\npart"
FRAMED = b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"Content-Length: 4\r\n\r\nbody"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\n"
    + IDENTITY
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)


def upload(body: bytes = LONG_BODY) -> bytes:
    head = b"POST / HTTP/1.1\r\nAttempt-Id: x\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body


class EarlyServer:
    """Answers after the first bytes of a request, then ends its side in some way.

    ``ending`` is ``half_close`` (no further bytes are sent, none are read), ``hold``
    (the same, but the connection stays open), ``reset`` or ``drain`` (the rest of the
    upload is read).
    """

    def __init__(self, response: bytes, ending: str):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._response, self._ending = response, ending
        self._released = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            thread = threading.Thread(target=self._answer, args=(sock,), daemon=True)
            thread.start()

    def _answer(self, sock: socket.socket) -> None:
        sock.settimeout(5)
        try:
            sock.recv(1_000)
            sock.sendall(self._response)
            if self._ending == "half_close":
                sock.shutdown(socket.SHUT_WR)
            if self._ending == "reset":
                option = b"\1\0\0\0\0\0\0\0"
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            elif self._ending == "drain":
                while sock.recv(65_536):
                    pass
            else:
                self._released.wait(5)
        except OSError:
            # The client closed the connection.
            pass
        finally:
            sock.close()

    def close(self) -> None:
        self._released.set()
        # Ends a pending accept, unlike close.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(5)


class EarlyServerTestCase(unittest.TestCase):
    def serve(self, response: bytes, ending: str = "drain") -> EarlyServer:
        server = EarlyServer(response, ending)
        self.addCleanup(server.close)
        return server


class ConnectionTestCase(EarlyServerTestCase):
    def setUp(self):
        self.loop = EventLoop()
        self.idle: list[HttpConnection] = []

    def exchange(self, server: EarlyServer, request: bytes) -> RecordingHandler:
        connection = HttpConnection(
            self.loop, "127.0.0.1", server.port, on_idle=self.idle.append
        )
        self.addCleanup(connection.close)
        handler = RecordingHandler()
        connection.send(request, handler, expected_id=b"x")
        deadline = time.monotonic() + 10
        while not handler.ended and time.monotonic() < deadline:
            self.loop.run_once(0.01)
        return handler


class EarlyResponseTests(ConnectionTestCase):
    def test_unframed_response_before_the_end_of_the_upload_is_not_complete(self):
        # The part that had arrived was passed on as the whole response.
        for ending in ("half_close", "reset"):
            with self.subTest(ending):
                handler = self.exchange(self.serve(UNFRAMED, ending), upload())
                self.assertFalse(handler.complete)
                self.assertIsNotNone(handler.failure)
                self.assertTrue(handler.failure.sent)

    def test_bytes_that_the_server_has_not_received_count_as_unwritten(self):
        # They are in the buffers of the client's kernel only.
        body = b"x" * 2_000_000
        handler = self.exchange(self.serve(UNFRAMED, "half_close"), upload(body))
        self.assertFalse(handler.complete)

    def test_unframed_response_to_a_whole_request_is_complete(self):
        handler = self.exchange(self.serve(UNFRAMED, "half_close"), upload(b"x"))
        self.assertTrue(handler.complete)
        self.assertEqual(handler.body, b"part")

    def test_framed_response_is_complete_and_ends_the_connection(self):
        # The rest of the upload would be read as the next request.
        for response in (FRAMED, CHUNKED):
            for ending in ("half_close", "hold"):
                with self.subTest(response=response, ending=ending):
                    handler = self.exchange(self.serve(response, ending), upload())
                    self.assertTrue(handler.complete)
                    self.assertEqual(handler.body, b"body")
        self.assertEqual(self.idle, [])

    def test_connection_is_used_again_after_the_whole_request(self):
        self.assertTrue(self.exchange(self.serve(FRAMED), upload(b"x")).complete)
        self.assertEqual(len(self.idle), 1)


class InvalidStatusTests(ConnectionTestCase):
    def test_status_outside_the_range_is_no_response(self):
        # Such a response was skipped as an interim one, and the next one counted.
        for status in (b"000", b"001", b"099", b"600", b"999", b"2000", b"+20", b"20"):
            with self.subTest(status):
                response = FRAMED.replace(b"200", status, 1) + FRAMED
                handler = self.exchange(self.serve(response), upload(b"x"))
                self.assertIsNone(handler.head)
                self.assertEqual(handler.failure.kind, FailureKind.BAD_ANSWER)

    def test_upgrade_that_was_not_requested_is_no_response(self):
        # The error of the parser left the exchange without an end.
        for fields in (b"", b"Upgrade: x\r\nConnection: upgrade\r\n"):
            with self.subTest(fields):
                head = b"HTTP/1.1 101 Switching Protocols\r\n" + fields + b"\r\n"
                handler = self.exchange(self.serve(head + FRAMED), upload(b"x"))
                self.assertIsNone(handler.head)
                self.assertEqual(handler.failure.kind, FailureKind.BAD_ANSWER)

    def test_other_interim_responses_are_skipped(self):
        # Clients must accept them even if they asked for none (RFC 9110, 15.2).
        for status in (b"100 Continue", b"102 Processing", b"103 Early Hints"):
            with self.subTest(status):
                interim = b"HTTP/1.1 " + status + b"\r\n\r\n"
                handler = self.exchange(self.serve(interim + FRAMED), upload(b"x"))
                self.assertTrue(handler.complete)
                self.assertEqual(handler.head.status, 200)


class SerialClientTests(EarlyServerTestCase):
    """Calls to the store and to an engine's control interface."""

    def call(self, response: bytes, body: bytes, ending: str) -> int:
        loop, statuses = EventLoop(), []
        address = Address("127.0.0.1", self.serve(response, ending).port)
        client = SerialClient(loop, address)
        self.addCleanup(client.close)
        client.call(
            upload(body), lambda status, _body: statuses.append(status), timeout=10
        )
        while not statuses:
            loop.run_once(0.01)
        return statuses[0]

    def test_early_unframed_response_is_no_response(self):
        self.assertEqual(self.call(UNFRAMED, LONG_BODY, "half_close"), NO_RESPONSE)

    def test_call_that_was_given_up_is_not_reported(self):
        # A watch of the store that was repeated early counted as a failed call once its
        # timeout was over, although the store had answered all calls since.
        loop = mock.Mock()
        client = SerialClient(loop, Address("127.0.0.1", self.serve(b"").port))
        on_response = mock.Mock()
        client.call(upload(b"x"), on_response, timeout=10)
        client.close()
        timeouts = [
            item.args[1]
            for item in loop.call_later.call_args_list
            if item.args[0] == 10
        ]
        timeouts[0]()
        on_response.assert_not_called()

    def test_status_000_is_no_response(self):
        response = FRAMED.replace(b"200", b"000", 1) + FRAMED
        self.assertEqual(self.call(response, b"x", "drain"), NO_RESPONSE)


class HttpClientTests(EarlyServerTestCase):
    """The blocking client of the command line."""

    def call(self, response: bytes, body: bytes, ending: str):
        url = f"http://127.0.0.1:{self.serve(response, ending).port}"
        client = HttpClient(url, timeout=5)
        self.addCleanup(client.close)
        return client.call(HttpCall("POST", "/", body))

    def test_early_unframed_response_is_no_response(self):
        result = self.call(UNFRAMED, LONG_BODY, "half_close")
        self.assertIsInstance(result, NoResponse)

    def test_status_outside_the_range_is_no_response(self):
        for status in (b"000", b"001", b"099", b"600", b"999"):
            with self.subTest(status):
                response = FRAMED.replace(b"200", status, 1)
                result = self.call(response, b"x", "half_close")
                self.assertIsInstance(result, NoResponse)

    def test_response_to_a_whole_request_is_complete(self):
        result = self.call(FRAMED, b"x", "drain")
        self.assertIsInstance(result, HttpResponse)
        self.assertEqual((result.status, result.body), (200, b"body"))


class TransferTests(EarlyServerTestCase):
    """Transfers of the product's own entry."""

    def test_head_with_an_invalid_status_is_not_passed_on(self):
        # The head and the body were reported, and the failure only after them.
        for status in (b"000", b"099", b"600"):
            with self.subTest(status):
                response = FRAMED.replace(b"200", status, 1)
                url = f"http://127.0.0.1:{self.serve(response).port}/"
                transfers, events = Transfers(), queue.Queue()
                thread = threading.Thread(target=transfers.run, daemon=True)
                thread.start()
                transfers.submit(Transfer("POST", url, body=b"x"), events.put)
                first = events.get(timeout=10)
                transfers.stop()
                thread.join(5)
                self.assertIsInstance(first, TransferFailed)
                self.assertTrue(first.sent)


class RelayTests(UnframedTestCase):
    """A relay over a real connection: what its caller receives."""

    def serve_early(self, response: bytes, ending: str) -> None:
        server = EarlyServer(response, ending)
        self.serve(server)

    def run_upload(self, **options) -> None:
        relay = self.relay(**options)
        relay._request.body = LONG_BODY
        self.run_relay(relay)

    def test_early_unframed_response_is_an_error_for_the_caller(self):
        for ending in ("half_close", "reset"):
            with self.subTest(ending):
                self.setUp()
                self.serve_early(UNFRAMED, ending)
                self.run_upload(kind=WorkKind.NON_IDEMPOTENT)
                self.assertEqual(self.caller.send_head.call_args.args[0], 502)

    def test_early_framed_response_is_passed_on(self):
        self.serve_early(FRAMED, "half_close")
        self.run_upload(kind=WorkKind.NON_IDEMPOTENT)
        self.assert_complete(b"body")

    def test_status_000_is_an_error_for_the_caller(self):
        self.serve_early(FRAMED.replace(b"200", b"000", 1) + FRAMED, "drain")
        self.run_relay(self.relay(kind=WorkKind.NON_IDEMPOTENT))
        self.assertEqual(self.caller.send_head.call_args.args[0], 502)


class EntryProcessTests(FleetTestCase):
    """Entries as processes, with plain servers that answer early or invalidly."""

    def replace_servers(self, response: bytes, ending: str) -> None:
        server = EarlyServer(response, ending)
        self.addCleanup(server.close)
        for plain in self.fleet.plain_servers:
            plain.advertised_address = f"127.0.0.1:{server.port}"
            self.fleet.publish_heartbeat(plain)
        self.assertTrue(wait_until(self.are_replaced))

    def are_replaced(self) -> bool:
        response = self.fleet.send_request("lookup", "x", body=b"")
        return response.body in (b"part", b"body")

    def send_long_order(self):
        # The largest body that the default limits allow.
        return self.fleet.send_request("order", "x", body=b"x" * 4_194_304)

    def test_early_unframed_response_is_an_error(self):
        self.replace_servers(UNFRAMED, "half_close")
        response = self.send_long_order()
        self.assertEqual(response.status, 502)

    def test_early_framed_response_is_passed_on(self):
        self.replace_servers(FRAMED, "half_close")
        response = self.send_long_order()
        self.assertEqual((response.status, response.body), (200, b"body"))

    def test_invalid_status_is_an_error_and_not_a_promise(self):
        for server in self.fleet.plain_servers:
            server.faults.invalid_statuses = 1
        response = self.fleet.send_request("order", "o1")
        self.assertEqual(response.status, 502)
        self.assertEqual(self.runs("o1"), 1)


if __name__ == "__main__":
    unittest.main()
