"""Streams that broke off and that another server should continue."""

import unittest
from unittest import mock

from fighitch.core.gateway.model import WorkKind
from fighitch.gateway.relay import Relay
from fighitch.tests.test_http_exchange import ScriptedServer
from fighitch.tests.test_unframed_responses import (
    CHUNKED,
    EVENTS,
    LAST_CHUNK,
    UNFRAMED,
    UnframedTestCase,
    chunk,
)

LARGE_BODY = b"x" * 300_000


def response(status: bytes, *lines: bytes, body: bytes = b"") -> bytes:
    """Returns a response with a length to the request of the tests."""
    head = b"HTTP/1.1 " + status + b"\r\nAttempt-Id: x\r\n"
    for line in (*lines, b"Content-Length: %d" % len(body)):
        head += line + b"\r\n"
    return head + b"\r\n" + body


def stream(*events: bytes, extra: bytes = b"") -> bytes:
    """Returns a complete stream in chunks."""
    head = CHUNKED.replace(b"\r\n\r\n", b"\r\n" + extra + b"\r\n")
    return head + b"".join(chunk(event) for event in events) + LAST_CHUNK


SIGNED = b"Response-Signature: s"
JSON = b"Content-Type: application/json"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
BROKEN_OFF = CHUNKED + chunk(EVENTS[0]) + chunk(EVENTS[1]) + chunk(EVENTS[2][:-3])


class ContinuationTestCase(UnframedTestCase):
    begun = EVENTS[0] + EVENTS[1]

    def resumable(self, *, max_attempts: int = 2) -> Relay:
        return self.relay(resumable=True, max_attempts=max_attempts)

    def resumed_after(self) -> list[bytes]:
        """Returns the event ids after which servers were asked to continue."""
        return [
            line.removeprefix(b"Last-Event-Id: ")
            for item in self.servers
            for line in item.received.split(b"\r\n")
            if line.startswith(b"Last-Event-Id: ")
        ]

    def serve(self, *servers: ScriptedServer) -> None:
        self.servers = servers
        super().serve(*servers)

    def continue_with(self, answer: bytes, *, reset: bool = False) -> None:
        """Breaks off a stream after two events and continues it with an answer."""
        self.serve(ScriptedServer(BROKEN_OFF), ScriptedServer(answer, reset=reset))
        self.run_relay(self.resumable())
        self.assertEqual(self.entry.pool.acquire.call_count, 2)


class LargeRejectionTests(ContinuationTestCase):
    """A rejection with a body above the limit of the buffer, or with events."""

    def test_next_response_is_not_joined_to_a_rejection(self):
        # The rejection was forwarded, and the next server's body was sent behind it.
        for status in (b"421 Misdirected", b"200 OK"):
            with self.subTest(status=status):
                self.setUp()
                lines = (SIGNED, b"Not-Executed: 1")
                rejection = response(status, *lines, body=LARGE_BODY)
                answer = response(b"200 OK", SIGNED, body=b"body")
                self.serve(ScriptedServer(rejection), ScriptedServer(answer))
                self.run_relay(self.relay(kind=WorkKind.IDEMPOTENT))
                self.assert_complete(b"body")
                self.caller.send_head.assert_called_once()

    def test_events_of_a_rejection_are_not_forwarded(self):
        # The next server's events were joined to them.
        rejection = stream(*EVENTS[:2], extra=b"Not-Executed: 1\r\n")
        self.serve(ScriptedServer(rejection), ScriptedServer(stream(*EVENTS)))
        self.run_relay(self.relay())
        self.assert_complete(b"".join(EVENTS))

    def test_large_rejections_are_no_runs(self):
        rejection = response(b"421 Misdirected", body=LARGE_BODY)
        self.serve(*(ScriptedServer(rejection) for _ in range(4)))
        self.run_relay(self.relay(kind=WorkKind.NON_IDEMPOTENT))
        self.assertEqual(self.caller.send_head.call_args.args[0], 503)


class ErrorAsContinuationTests(ContinuationTestCase):
    """The next server answers with an error, or with another kind of body.

    The error's text was sent in the middle of the stream, which then ended as if it
    were complete.
    """

    def assert_not_forwarded(self, answer: bytes) -> None:
        self.continue_with(answer)
        self.assert_broken_off(self.begun)

    def test_signed_client_errors(self):
        for status in (b"400 Bad Request", b"404 Not Found", b"409 Conflict"):
            with self.subTest(status=status):
                self.setUp()
                self.assert_not_forwarded(response(status, SIGNED, body=b"no run"))

    def test_client_error_without_signature(self):
        self.assert_not_forwarded(response(b"404 Not Found", body=b"no run"))

    def test_client_error_without_a_body(self):
        self.assert_not_forwarded(response(b"404 Not Found", SIGNED))

    def test_client_error_larger_than_the_buffer(self):
        answer = response(b"404 Not Found", SIGNED, body=LARGE_BODY)
        self.assert_not_forwarded(answer)

    def test_client_error_in_the_form_of_events(self):
        body = b"id: 3\ndata: error\n\n"
        self.assert_not_forwarded(response(b"404 Not Found", SIGNED, body=body))

    def test_server_errors(self):
        for lines in ((SIGNED,), ()):
            with self.subTest(lines=lines):
                self.setUp()
                answer = response(b"500 Error", *lines, body=b"failed")
                self.assert_not_forwarded(answer)

    def test_server_error_larger_than_the_buffer(self):
        self.assert_not_forwarded(response(b"500 Error", SIGNED, body=LARGE_BODY))

    def test_redirect(self):
        answer = response(b"302 Found", SIGNED, b"Location: /", body=b"moved")
        self.assert_not_forwarded(answer)

    def test_answers_without_a_body(self):
        for status in (b"204 No Content", b"304 Not Modified"):
            with self.subTest(status=status):
                self.setUp()
                head = b"HTTP/1.1 " + status + b"\r\nAttempt-Id: x\r\n" + SIGNED
                self.assert_not_forwarded(head + b"\r\n\r\n")

    def test_success_without_signature(self):
        self.assert_not_forwarded(response(b"200 OK", body=b"".join(EVENTS[2:])))

    def test_success_with_another_content_type(self):
        body = b'{\n\n"id": 3}\n\n'
        self.assert_not_forwarded(response(b"200 OK", SIGNED, JSON, body=body))

    def test_empty_success_with_another_content_type(self):
        self.assert_not_forwarded(response(b"200 OK", SIGNED, JSON))

    def test_encoded_success(self):
        encoding = b"Content-Encoding: gzip"
        body = b"".join(EVENTS[2:])
        self.assert_not_forwarded(response(b"200 OK", SIGNED, encoding, body=body))

    def test_bytes_that_are_no_response(self):
        self.assert_not_forwarded(b"id: 3\ndata: 3\n\n")

    def test_next_server_continues_after_an_error(self):
        self.serve(
            ScriptedServer(BROKEN_OFF),
            ScriptedServer(response(b"404 Not Found", SIGNED, body=b"no run")),
            ScriptedServer(stream(*EVENTS[2:])),
        )
        self.run_relay(self.resumable(max_attempts=3))
        self.assert_complete(b"".join(EVENTS))

    def test_client_error_does_not_count_against_its_server(self):
        self.continue_with(response(b"404 Not Found", SIGNED, body=b"no run"))
        failed = [
            call.kwargs["failed"] for call in self.entry.record_outcome.call_args_list
        ]
        self.assertEqual(failed, [True, False])

    def test_rejections_are_followed_by_the_continuation(self):
        rejection = response(b"503 Unavailable", b"Not-Executed: 1", body=b"full")
        self.serve(
            ScriptedServer(BROKEN_OFF),
            ScriptedServer(rejection),
            ScriptedServer(rejection),
            ScriptedServer(stream(*EVENTS[2:])),
        )
        self.run_relay(self.resumable())
        self.assert_complete(b"".join(EVENTS))

    def test_rejections_only(self):
        rejections = [response(b"421 Misdirected", body=b"not here")] * 4
        self.serve(ScriptedServer(BROKEN_OFF), *map(ScriptedServer, rejections))
        self.run_relay(self.resumable())
        self.assert_broken_off(self.begun)

    def test_continuation_may_leave_out_its_content_type(self):
        broken_off = BROKEN_OFF.replace(
            b"\r\n\r\n", b"\r\n" + EVENT_STREAM + b"\r\n", 1
        )
        self.serve(ScriptedServer(broken_off), ScriptedServer(stream(*EVENTS[2:])))
        self.run_relay(self.resumable())
        self.assert_complete(b"".join(EVENTS))

    def test_continuation_may_state_its_content_type(self):
        self.continue_with(stream(*EVENTS[2:], extra=EVENT_STREAM))
        self.assert_complete(b"".join(EVENTS))

    def test_error_before_the_head_was_sent_is_returned(self):
        # The caller has nothing of a stream yet, so that it gets the error itself.
        self.serve(
            ScriptedServer(CHUNKED + chunk(EVENTS[0][:-3])),
            ScriptedServer(response(b"404 Not Found", SIGNED, body=b"no run")),
        )
        self.run_relay(self.resumable())
        self.assertEqual(self.caller.send_head.call_args.args[0], 404)
        self.assertEqual(self.received, b"no run")


class StalledRunTests(ContinuationTestCase):
    """The first run ends without an end of its connection."""

    def test_partial_event_of_a_stalled_run_is_not_continued(self):
        timeout = "fighitch.gateway.attempt_timers.attempt_timeout"
        patch = mock.patch(timeout, return_value=0.1)
        patch.start()
        self.addCleanup(patch.stop)
        # The server keeps its connection open inside the third event.
        stalled = ScriptedServer(BROKEN_OFF, b"")
        self.serve(stalled, ScriptedServer(stream(*EVENTS[2:])))
        # An engine would need an agent that admits the request.
        self.run_relay(self.relay(resumable=True, plain=True))
        self.assert_complete(b"".join(EVENTS))
        self.assertEqual(self.resumed_after(), [b"2"])

    def test_stream_of_a_slow_caller_is_continued(self):
        self.serve(ScriptedServer(BROKEN_OFF), ScriptedServer(stream(*EVENTS[2:])))
        self.acquire = self.entry.pool.acquire.side_effect
        self.entry.pool.acquire.side_effect = self.acquire_backlogged
        self.run_relay(self.resumable())
        self.assert_complete(b"".join(EVENTS))

    def acquire_backlogged(self, *arguments, **options):
        """Connects to a server; the second one finds a caller that does not read."""
        if self.connections:
            self.caller.is_backlogged = True
            self.loop.call_later(0.1, self.drain)
        return self.acquire(*arguments, **options)

    def drain(self) -> None:
        self.caller.is_backlogged = False
        self.caller.on_buffer_drained()


class EventOrderTests(ContinuationTestCase):
    """The next server does not continue after the last event."""

    def test_stream_that_starts_again(self):
        # A server that ignores Last-Event-Id. Events came twice.
        self.continue_with(stream(*EVENTS))
        self.assert_broken_off(self.begun)

    def test_last_event_comes_again(self):
        self.continue_with(stream(*EVENTS[1:]))
        self.assert_broken_off(self.begun)

    def test_event_without_an_id(self):
        self.continue_with(stream(b"data: error\n\n", *EVENTS[2:]))
        self.assert_broken_off(self.begun)

    def test_text_that_is_no_event(self):
        self.continue_with(stream(b"not found\n\n"))
        self.assert_broken_off(self.begun)

    def test_comments_before_the_continuation(self):
        comment = b": waiting\n\n"
        self.continue_with(stream(comment, *EVENTS[2:]))
        self.assert_complete(self.begun + comment + b"".join(EVENTS[2:]))

    def test_comment_and_wrong_event_in_one_read(self):
        self.continue_with(stream(b": waiting\n\n" + EVENTS[0]))
        self.assert_broken_off(self.begun)

    def test_continuation_after_a_stream_that_started_again(self):
        # The id of the foreign event must not become the place to continue at.
        self.serve(
            ScriptedServer(BROKEN_OFF),
            ScriptedServer(stream(*EVENTS)),
            ScriptedServer(stream(*EVENTS[2:])),
        )
        self.run_relay(self.resumable(max_attempts=3))
        self.assert_complete(b"".join(EVENTS))
        self.assertEqual(self.resumed_after(), [b"2", b"2"])

    def test_stream_without_ids_is_not_continued(self):
        # Another run would send the first events again.
        body = chunk(b"data: a\n\n") + chunk(b"data: b")
        self.serve(ScriptedServer(CHUNKED + body), ScriptedServer(stream(*EVENTS)))
        self.run_relay(self.resumable())
        self.assert_broken_off(b"data: a\n\n")
        self.entry.pool.acquire.assert_called_once()


class CallerResumesTests(ContinuationTestCase):
    """The caller itself asks for the events after the last one that it has."""

    def resume(self, *servers: ScriptedServer) -> None:
        self.serve(*servers)
        headers = [(b"Last-Event-Id", b"2")]
        self.run_relay(self.relay(resumable=True, headers=headers))

    def test_stream_is_continued(self):
        self.resume(ScriptedServer(stream(*EVENTS[2:])))
        self.assert_complete(b"".join(EVENTS[2:]))
        self.assertEqual(self.resumed_after(), [b"2"])

    def test_second_server_continues_a_stream_that_starts_again(self):
        self.resume(
            ScriptedServer(stream(*EVENTS)), ScriptedServer(stream(*EVENTS[2:]))
        )
        self.assert_complete(b"".join(EVENTS[2:]))

    def test_error_is_returned(self):
        self.resume(ScriptedServer(response(b"404 Not Found", SIGNED, body=b"no run")))
        self.assertEqual(self.caller.send_head.call_args.args[0], 404)
        self.assertEqual(self.received, b"no run")

    def test_last_event_id_on_a_route_without_resumption_is_ignored(self):
        self.serve(ScriptedServer(stream(*EVENTS)))
        self.run_relay(self.relay(headers=[(b"Last-Event-Id", b"2")]))
        self.assert_complete(b"".join(EVENTS))


class LineEndTests(ContinuationTestCase):
    """Streams whose lines end with CRLF.

    All events were held back until the end of the stream, which was then taken for an
    end inside an event.
    """

    events = tuple(event.replace(b"\n", b"\r\n") for event in EVENTS)

    def test_stream_is_forwarded(self):
        self.serve(ScriptedServer(stream(*self.events)))
        self.run_relay(self.relay())
        self.assert_complete(b"".join(self.events))

    def test_stream_is_continued(self):
        broken_off = CHUNKED + chunk(b"".join(self.events[:2]) + b"id: 3\r\n")
        self.serve(ScriptedServer(broken_off), ScriptedServer(stream(*EVENTS[2:])))
        self.run_relay(self.resumable())
        self.assert_complete(b"".join(self.events[:2]) + b"".join(EVENTS[2:]))
        self.assertEqual(self.resumed_after(), [b"2"])


class LargeEventTests(ContinuationTestCase):
    """An event above the limit of the buffer is forwarded in parts."""

    def test_stream_that_breaks_inside_a_large_event_is_not_continued(self):
        # The second run's events were joined to the part of the event.
        part = b"id: 2\ndata: " + b"x" * 1_100_000
        self.serve(
            ScriptedServer(CHUNKED + chunk(EVENTS[0]) + chunk(part)),
            ScriptedServer(stream(*EVENTS[2:])),
        )
        self.run_relay(self.resumable())
        self.assertTrue(self.outcome.startswith("broken_off"), self.outcome)
        self.entry.pool.acquire.assert_called_once()
        self.assertTrue((EVENTS[0] + part).startswith(self.received))
        self.caller.finish.assert_not_called()

    def test_stream_that_ends_inside_a_large_event_is_broken_off(self):
        part = b"id: 2\ndata: " + b"x" * 1_100_000
        self.serve(ScriptedServer(stream(EVENTS[0], part)))
        self.run_relay(self.relay())
        self.assertTrue(self.outcome.startswith("broken_off"), self.outcome)
        self.caller.finish.assert_not_called()

    def test_large_event_is_forwarded_whole(self):
        event = b"id: 2\ndata: " + b"x" * 1_100_000 + b"\n\n"
        self.serve(ScriptedServer(stream(EVENTS[0], event, EVENTS[2])))
        self.run_relay(self.resumable())
        self.assert_complete(EVENTS[0] + event + EVENTS[2])


class EndOfContinuationTests(ContinuationTestCase):
    """The next server ends the stream without a further event."""

    unbroken = CHUNKED + chunk(EVENTS[0]) + chunk(EVENTS[1])

    def run_with(self, first: bytes, second: bytes) -> None:
        self.serve(ScriptedServer(first), ScriptedServer(second))
        self.run_relay(self.resumable())

    def test_connection_that_ends_after_the_head(self):
        # The second server crashed. Its stream was taken for a complete one.
        self.run_with(self.unbroken, UNFRAMED)
        self.assert_broken_off(self.begun)

    def test_connection_that_ends_after_a_comment(self):
        self.run_with(self.unbroken, UNFRAMED + b": waiting\n\n")
        self.assertTrue(self.outcome.startswith("broken_off"), self.outcome)
        self.caller.finish.assert_not_called()

    def test_last_chunk_after_an_event_that_had_begun(self):
        # The first server had begun a third event, so that the stream is longer.
        self.run_with(BROKEN_OFF, stream())
        self.assert_broken_off(self.begun)

    def test_last_chunk_after_whole_events(self):
        self.run_with(self.unbroken, stream())
        self.assert_complete(self.begun)

    def test_length_of_zero_after_whole_events(self):
        self.run_with(self.unbroken, response(b"200 OK", SIGNED))
        self.assert_complete(self.begun)

    def test_last_chunk_after_a_comment_that_had_begun(self):
        self.run_with(self.unbroken + chunk(b": wai"), stream())
        self.assert_complete(self.begun)

    def test_continuation_that_ends_inside_an_event(self):
        self.run_with(self.unbroken, stream(EVENTS[2], EVENTS[3][:-1]))
        self.assert_broken_off(self.begun + EVENTS[2])

    def test_continuation_with_a_length_that_ends_inside_an_event(self):
        answer = response(b"200 OK", SIGNED, body=EVENTS[2] + EVENTS[3][:-3])
        self.run_with(self.unbroken, answer)
        self.assert_broken_off(self.begun + EVENTS[2])

    def test_comments_only(self):
        # Nothing of the stream had come when its connection ended.
        self.serve(ScriptedServer(UNFRAMED + b": waiting\n\n"))
        self.run_relay(self.relay())
        self.assert_broken_off(b": waiting\n\n")

    def resume_by_caller(self, answer: bytes) -> None:
        """Sends a request for the events after the last one that the caller has."""
        self.serve(ScriptedServer(answer))
        headers = [(b"Last-Event-Id", b"4")]
        self.run_relay(self.relay(resumable=True, max_attempts=1, headers=headers))

    def test_caller_that_has_all_events(self):
        self.resume_by_caller(stream())
        self.assert_complete(b"")

    def test_connection_of_a_resuming_caller_that_ends_after_the_head(self):
        self.resume_by_caller(UNFRAMED)
        self.assertEqual(self.caller.send_head.call_args.args[0], 502)


if __name__ == "__main__":
    unittest.main()
