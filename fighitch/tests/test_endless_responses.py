"""Endless responses to the daemons' HTTP clients, which use libcurl."""

import threading
import unittest
from unittest import mock

from fighitch.clients import http_client
from fighitch.clients.http_client import HttpClient
from fighitch.core.http_calls import HttpCall, NoResponse
from fighitch.core.inputs import BackendUnreachable
from fighitch.daemons import backend_calls
from fighitch.daemons.backend_calls import BackendCalls
from fighitch.observability.traces import Traces
from fighitch.runtime.transfers import Transfers
from fighitch.tests.test_http_exchange import EndlessServer

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n%s\r\n" % (b"x" * 65_536)
HEADER_LINE = b"X-Filler: %s\r\n" % (b"x" * 1_000)
LIMIT_BYTES = 1_048_576


class EndlessResponseTestCase(unittest.TestCase):
    def serve(self, prefix: bytes, block: bytes) -> str:
        server = EndlessServer(prefix, block)
        self.addCleanup(server.close)
        return f"http://127.0.0.1:{server.port}"


class HttpClientTests(EndlessResponseTestCase):
    def client(self, prefix: bytes, block: bytes) -> HttpClient:
        for name in ("_MAX_BODY_BYTES", "_MAX_LINE_BYTES"):
            patch = mock.patch.object(http_client, name, LIMIT_BYTES)
            patch.start()
            self.addCleanup(patch.stop)
        client = HttpClient(self.serve(prefix, block), timeout=20.0)
        self.addCleanup(client.close)
        return client

    def assert_limited(self, prefix: bytes, block: bytes, *, detail: str):
        result = self.client(prefix, block).call(HttpCall("GET", "/"))
        self.assertIsInstance(result, NoResponse)
        self.assertIn(detail, result.detail)

    def test_endless_headers(self):
        self.assert_limited(b"HTTP/1.1 200 OK\r\n", HEADER_LINE, detail="header")

    def test_endless_interim_responses(self):
        block = b"HTTP/1.1 100 Continue\r\nX-Filler: x\r\n\r\n"
        self.assert_limited(block, block * 100, detail="header")

    def test_endless_body(self):
        self.assert_limited(CHUNKED, CHUNK, detail="curl error 23")

    def test_endless_line_of_a_stream(self):
        client = self.client(CHUNKED, CHUNK)
        items = list(client.stream_lines(HttpCall("GET", "/"), idle_timeout=5.0))
        self.assertEqual(len(items), 1)
        self.assertIn("above", items[0].detail)


class BackendCallsTests(EndlessResponseTestCase):
    def test_endless_status(self):
        patch = mock.patch.object(backend_calls, "_MAX_BUFFERED_BYTES", LIMIT_BYTES)
        patch.start()
        self.addCleanup(patch.stop)
        transfers = Transfers()
        thread = threading.Thread(target=transfers.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(transfers.stop)
        inputs, done = [], threading.Event()
        calls = BackendCalls(
            transfers,
            backend_type="engine",
            url=self.serve(CHUNKED, CHUNK),
            post=inputs.append,
            traces=mock.Mock(spec=Traces),
        )
        calls.request_status(done.set)
        self.assertTrue(done.wait(20))
        self.assertEqual(len(inputs), 1)
        self.assertIsInstance(inputs[0], BackendUnreachable)
        self.assertIn("above", inputs[0].detail)
