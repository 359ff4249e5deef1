"""Tests of ``fighitch.daemons.callers_app`` over HTTP with a scripted entry."""

import hashlib
import http.client
import queue
import threading
import unittest
from unittest import mock

import msgspec
from expression import Ok

from fighitch.core.effects import (
    AnswerData,
    AnswerEnded,
    AnswerFailed,
    AnswerStarted,
    TicketIssued,
)
from fighitch.core.errors import ERROR_RESPONSES, ErrorKind, Failure, RunState
from fighitch.core.inputs import CallerGone, CallerRequest, TicketRequested
from fighitch.daemons import callers_app
from fighitch.daemons.callers_app import CallersApp
from fighitch.observability.metrics import Metrics
from fighitch.observability.traces import Traces
from fighitch.runtime.http_server import HttpServer

TIMEOUT = 20
MAX_BODY_BYTES = 1_000
WORKERS = 4


class ScriptedEntry:
    """An entry whose response events the test provides."""

    def __init__(self):
        self.posted = queue.Queue()
        self.events = queue.SimpleQueue()
        self.closed = queue.Queue()
        self.has_stopped = False

    def open_request(self):
        return "entry-1.ab.1", self.events

    def close_request(self, request_id):
        self.closed.put(request_id)

    def post(self, message):
        self.posted.put(message)

    def models(self, key_digest):
        return Ok([{"id": "a@v1"}])

    def is_ready(self):
        return False

    def is_stopped(self):
        return self.has_stopped


class AppTestCase(unittest.TestCase):
    def setUp(self):
        self.entry = ScriptedEntry()
        app = CallersApp(
            self.entry,
            metrics=Metrics(instance="entry-1", role="entry"),
            traces=Traces(instance="entry-1"),
            max_body_bytes=lambda: MAX_BODY_BYTES,
        )
        self.server = HttpServer("127.0.0.1:0", app, workers=WORKERS, name="test")
        self.server.start()
        self.addCleanup(self.server.stop)

    def connect(self):
        connection = http.client.HTTPConnection(self.server.address, timeout=TIMEOUT)
        self.addCleanup(connection.close)
        return connection

    def call(self, path, body=b"", *, method="POST", headers=(), answer=()):
        for event in answer:
            self.entry.events.put(event)
        connection = self.connect()
        connection.request(method, path, body, dict(headers))
        return connection.getresponse()

    def complete(self, answer, **body):
        content = {"model": "a@v1", "prompt": "p", **body}
        return self.call("/v1/completions", msgspec.json.encode(content), answer=answer)


class AnswerTests(AppTestCase):
    def test_complete_response_has_version_and_run_state(self):
        ended = AnswerEnded(
            "entry-1.ab.1", 200, b"{}", model="a@v1", backend_server="e", replayed=True
        )
        response = self.complete([ended])
        self.assertEqual(response.read(), b"{}")
        self.assertEqual(response.headers["X-Model"], "a@v1")
        self.assertEqual(response.headers["X-Run-State"], "ran")
        self.assertEqual(response.headers["Idempotency-Replayed"], "true")
        self.assertEqual(response.headers["X-Request-Id"], "entry-1.ab.1")

    def test_response_slower_than_the_poll_interval_is_delivered(self):
        """Guards against a handler that blocks while it checks for a disconnect."""
        with mock.patch.object(callers_app, "_DISCONNECT_POLL_INTERVAL", 0.01):
            connection = self.connect()
            body = msgspec.json.encode({"model": "a"})
            connection.request("POST", "/v1/completions", body)
            self.entry.posted.get(timeout=TIMEOUT)
            threading.Timer(
                0.1, self.entry.events.put, [AnswerEnded("entry-1.ab.1", 200, b"late")]
            ).start()
            self.assertEqual(connection.getresponse().read(), b"late")

    def test_request_after_the_core_has_stopped_is_answered(self):
        """Guards against a planned stop that waits for a late request."""
        self.entry.has_stopped = True
        with mock.patch.object(callers_app, "_DISCONNECT_POLL_INTERVAL", 0.01):
            response = self.complete([])
        self.assertEqual(response.headers["X-Error-Kind"], "draining")
        self.assertEqual(response.headers["X-Attempt-Sent"], "false")

    def test_disconnected_caller_is_reported(self):
        """Guards against a request that keeps running after its caller disconnected."""
        with mock.patch.object(callers_app, "_DISCONNECT_POLL_INTERVAL", 0.01):
            connection = self.connect()
            body = msgspec.json.encode({"model": "a"})
            connection.request("POST", "/v1/completions", body)
            self.assertIsInstance(self.entry.posted.get(timeout=TIMEOUT), CallerRequest)
            connection.close()
            self.assertIsInstance(self.entry.posted.get(timeout=TIMEOUT), CallerGone)

    def test_disconnect_during_a_stream_frees_the_thread(self):
        """Guards against handlers that wait forever and exhaust the thread pool."""
        started = AnswerStarted("entry-1.ab.1", 200, "text/event-stream")
        data = AnswerData("entry-1.ab.1", b"data: 1\n\n")
        with mock.patch.object(callers_app, "_DISCONNECT_POLL_INTERVAL", 0.01):
            for _ in range(2 * WORKERS):
                self.complete([started, data], stream=True).close()
                self.assertIsInstance(
                    self.entry.posted.get(timeout=TIMEOUT), CallerRequest
                )
                self.assertIsInstance(
                    self.entry.posted.get(timeout=TIMEOUT), CallerGone
                )
            self.assertEqual(self.call("/healthz", method="GET").status, 200)

    def test_stream_is_forwarded_and_completed(self):
        answer = [
            AnswerStarted("entry-1.ab.1", 200, "text/event-stream", "a@v1"),
            AnswerData("entry-1.ab.1", b"data: 1\n\n"),
            AnswerData("entry-1.ab.1", b"data: [DONE]\n\n"),
            AnswerEnded("entry-1.ab.1", 200),
        ]
        response = self.complete(answer, stream=True)
        self.assertEqual(response.read(), b"data: 1\n\ndata: [DONE]\n\n")
        self.assertEqual(response.headers["X-Model"], "a@v1")

    def test_failed_stream_does_not_end_as_complete(self):
        """Guards against a partial response that a caller takes for a complete one."""
        failure = Failure(ErrorKind.BACKEND_FAILED, "gone")
        answer = [
            AnswerStarted("entry-1.ab.1", 200, "text/event-stream"),
            AnswerData("entry-1.ab.1", b"data: 1\n\n"),
            AnswerFailed("entry-1.ab.1", failure),
        ]
        response = self.complete(answer, stream=True)
        with self.assertRaises(http.client.IncompleteRead) as caught:
            response.read()
        self.assertIn(b"event: error", caught.exception.partial)

    def test_error_is_not_joined_to_an_event_that_was_cut(self):
        """Guards against an error that clients parse as a part of an event."""
        for parts in ((b"data: 1\n\ndata: 2",), (b"data: 1\n\n", b"data: 2\n")):
            self.setUp()
            answer = [
                AnswerStarted("entry-1.ab.1", 200, "text/event-stream"),
                *(AnswerData("entry-1.ab.1", part) for part in parts),
                AnswerFailed("entry-1.ab.1", Failure(ErrorKind.BACKEND_FAILED, "gone")),
            ]
            with self.assertRaises(http.client.IncompleteRead) as caught:
                self.complete(answer, stream=True).read()
            self.assertEqual(caught.exception.partial, b"".join(parts))

    def test_error_follows_an_event_that_came_in_parts(self):
        answer = [
            AnswerStarted("entry-1.ab.1", 200, "text/event-stream"),
            AnswerData("entry-1.ab.1", b"data: 1\n"),
            AnswerData("entry-1.ab.1", b"\n"),
            AnswerFailed("entry-1.ab.1", Failure(ErrorKind.BACKEND_FAILED, "gone")),
        ]
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.complete(answer, stream=True).read()
        self.assertIn(b"data: 1\n\nevent: error\ndata: {", caught.exception.partial)

    def test_every_error_kind_states_its_run_state(self):
        """Guards against an error response without a run state."""
        for kind in ErrorKind:
            failure = Failure(kind, "why", retry_after=0.2)
            response = self.complete([AnswerFailed("entry-1.ab.1", failure)])
            error = msgspec.json.decode(response.read())["error"]
            self.assertEqual(response.status, ERROR_RESPONSES[kind].status)
            self.assertEqual(response.headers["X-Run-State"], error["run_state"])
            self.assertEqual(response.headers["X-Error-Kind"], kind.value)
            self.assertEqual(response.headers["Retry-After"], "1")
            self.assertIn(error["run_state"], {state.value for state in RunState})


class RequestTests(AppTestCase):
    ENDED = AnswerEnded("entry-1.ab.1", 200, b"ok")

    def test_headers_reach_the_core(self):
        headers = {
            "Authorization": "Bearer secret",
            "Idempotency-Key": "k",
            "X-Request-Timeout-Ms": "1500",
            "X-Work-Policy": "urgent",
            "traceparent": "00-1-2-01",
        }
        self.call("/services/stock/a/b?c=d", b"x", headers=headers, answer=[self.ENDED])
        request = self.entry.posted.get(timeout=TIMEOUT)
        digest = hashlib.sha256(b"secret").hexdigest()
        self.assertEqual(request.key_digest, digest)
        self.assertEqual((request.service, request.path), ("stock", "/a/b?c=d"))
        self.assertEqual((request.idempotency_key, request.timeout), ("k", 1.5))
        self.assertEqual((request.work, request.body), ("urgent", b"x"))
        self.assertEqual(request.traceparent, "00-1-2-01")

    def test_ticket_is_issued(self):
        issued = TicketIssued("entry-1.ab.1", "fk1.x")
        response = self.call(
            "/v1/idempotency-keys", b'{"service": "orders"}', answer=[issued]
        )
        self.assertEqual(response.status, 201)
        self.assertEqual(
            msgspec.json.decode(response.read()), {"idempotency_key": "fk1.x"}
        )
        posted = self.entry.posted.get(timeout=TIMEOUT)
        self.assertIsInstance(posted, TicketRequested)
        self.assertEqual(posted.service, "orders")

    def test_invalid_input_is_rejected_as_not_run(self):
        """Guards against invalid input that is forwarded or gets no response."""
        ok = b'{"model": "a"}'
        for path, body, method, headers, kind in (
            ("/v1/completions", b"{", "POST", {}, ErrorKind.BAD_REQUEST),
            ("/v1/completions", b"[]", "POST", {}, ErrorKind.BAD_REQUEST),
            ("/v1/completions", b'{"model": 3}', "POST", {}, ErrorKind.BAD_REQUEST),
            (
                "/v1/completions",
                b'{"model": "a", "stream": "yes"}',
                "POST",
                {},
                ErrorKind.BAD_REQUEST,
            ),
            ("/v1/completions", b"x" * 2_000, "POST", {}, ErrorKind.BODY_TOO_LARGE),
            ("/v1/completions", b"", "GET", {}, ErrorKind.METHOD_NOT_ALLOWED),
            ("/v2", b"", "GET", {}, ErrorKind.UNKNOWN_ROUTE),
            (
                "/v1/completions",
                ok,
                "POST",
                {"X-Request-Timeout-Ms": "soon"},
                ErrorKind.BAD_REQUEST,
            ),
            (
                "/v1/completions",
                ok,
                "POST",
                {"Idempotency-Key": "k" * 2_000},
                ErrorKind.BAD_REQUEST,
            ),
            ("/v1/idempotency-keys", b"{}", "POST", {}, ErrorKind.BAD_REQUEST),
        ):
            with self.subTest(path=path, body=body[:20], headers=headers):
                response = self.call(path, body, method=method, headers=headers)
                response.read()
                self.assertEqual(response.headers["X-Error-Kind"], kind.value)
                self.assertEqual(response.headers["X-Run-State"], "not_run")
        self.assertTrue(self.entry.posted.empty())

    def test_truncated_body_is_not_submitted(self):
        """Guards against a truncated order that is submitted as a complete one."""
        connection = self.connect()
        connection.putrequest("POST", "/services/orders/o")
        connection.putheader("Content-Length", "100")
        connection.endheaders(b"half")
        connection.sock.shutdown(1)
        response = connection.getresponse()
        response.read()
        self.assertEqual(response.headers["X-Error-Kind"], "bad_request")
        self.assertTrue(self.entry.posted.empty())

    def test_health_and_models(self):
        self.assertEqual(self.call("/healthz", method="GET").status, 200)
        self.assertEqual(self.call("/readyz", method="GET").status, 503)
        models = msgspec.json.decode(self.call("/v1/models", method="GET").read())
        self.assertEqual(models["data"], [{"id": "a@v1"}])
