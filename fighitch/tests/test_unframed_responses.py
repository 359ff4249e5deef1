"""Responses with neither a length nor chunks, which end with their connection."""

import unittest

from fighitch.core.gateway.backend_choice import Candidate
from fighitch.core.gateway.model import WorkKind
from fighitch.gateway.relay import Relay
from fighitch.runtime.http_exchange import (
    ExchangeFailure,
    FailureKind,
    HttpConnection,
    ResponseHead,
)
from fighitch.tests.gateway_helpers import server
from fighitch.tests.test_http_exchange import ScriptedServer
from fighitch.tests.test_relay import RelayTestCase

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nResponse-Signature: s\r\n"
UNFRAMED = HEAD + b"\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, 5)]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class UnframedTestCase(RelayTestCase):
    def setUp(self):
        super().setUp()
        self.entry.links.may_connect_soon.return_value = False
        self.entry.take_retry.return_value = True
        self.caller.is_backlogged = False
        self.received = b""
        self.caller.send_body.side_effect = self.receive
        self.connections: list[HttpConnection] = []

    def receive(self, data: bytes) -> None:
        self.received += data

    def serve(self, *servers: ScriptedServer) -> None:
        """Lets each attempt reach the next of these servers."""
        names = [f"e{number}" for number in range(len(servers))]
        self.entry.candidates.side_effect = (
            lambda _service, _metadata, avoid, **_options: [
                Candidate(server(name), 0.0) for name in names if name not in avoid
            ]
        )
        remaining = iter(servers)

        def acquire(_server, *, repeatable):
            connection = HttpConnection(self.loop, "127.0.0.1", next(remaining).port)
            self.connections.append(connection)
            self.addCleanup(connection.close)
            return connection

        self.entry.pool.acquire.side_effect = acquire
        for item in servers:
            self.addCleanup(item.close)

    def run_relay(self, relay: Relay) -> None:
        relay.place()
        for _ in range(1_000):
            if self.entry.record_end.called:
                return
            self.loop.run_once(0.01)
        self.fail("the request did not end")

    @property
    def outcome(self) -> str:
        return self.entry.record_end.call_args.kwargs["outcome"]

    def assert_complete(self, body: bytes) -> None:
        self.assertEqual((self.outcome, self.received), ("200", body))
        self.caller.finish.assert_called_once()
        self.caller.close.assert_not_called()

    def assert_broken_off(self, body: bytes) -> None:
        """Asserts that the caller can tell that the response is not complete."""
        self.assertTrue(self.outcome.startswith("broken_off"), self.outcome)
        self.assertEqual(self.received, body)
        self.caller.close.assert_called_once()
        self.caller.finish.assert_not_called()


class UnframedStreamTests(UnframedTestCase):
    def test_stream_that_ends_after_an_event_is_complete(self):
        self.serve(ScriptedServer(UNFRAMED + b"".join(EVENTS)))
        self.run_relay(self.relay())
        self.assert_complete(b"".join(EVENTS))

    def test_stream_that_ends_inside_an_event_is_broken_off(self):
        # The end of the connection was taken for the end of the stream.
        self.serve(ScriptedServer(UNFRAMED + EVENTS[0] + EVENTS[1][:-3]))
        self.run_relay(self.relay())
        self.assert_broken_off(EVENTS[0])

    def test_stream_that_ends_between_the_line_ends_of_an_event_is_broken_off(self):
        self.serve(ScriptedServer(UNFRAMED + EVENTS[0] + EVENTS[1][:-1]))
        self.run_relay(self.relay())
        self.assert_broken_off(EVENTS[0])

    def test_stream_that_ends_inside_an_event_is_resumed(self):
        self.serve(
            ScriptedServer(UNFRAMED + EVENTS[0] + EVENTS[1][:-3]),
            ScriptedServer(UNFRAMED + b"".join(EVENTS[1:])),
        )
        self.run_relay(self.relay(resumable=True))
        self.assert_complete(b"".join(EVENTS))

    def test_stream_that_is_reset_after_an_event_is_broken_off(self):
        self.serve(ScriptedServer(UNFRAMED + EVENTS[0], reset=True))
        self.run_relay(self.relay())
        self.assertNotEqual(self.outcome, "200")
        self.caller.finish.assert_not_called()

    def test_stream_that_ends_before_its_first_event_is_lost(self):
        # A server that crashes after the head ends its connection in the same way.
        self.serve(ScriptedServer(UNFRAMED))
        self.run_relay(self.relay())
        self.assertEqual(self.caller.send_head.call_args.args[0], 502)
        self.assertNotEqual(self.outcome, "200")

    def test_resumed_stream_without_further_events_is_broken_off(self):
        # The first server had begun another event, and the second one may have crashed.
        self.serve(
            ScriptedServer(UNFRAMED + b"".join(EVENTS) + b"id"),
            ScriptedServer(UNFRAMED),
        )
        self.run_relay(self.relay(resumable=True))
        self.assert_broken_off(b"".join(EVENTS))

    def test_resumed_stream_that_states_its_end_is_complete(self):
        self.serve(
            ScriptedServer(CHUNKED + b"".join(map(chunk, EVENTS))),
            ScriptedServer(CHUNKED + LAST_CHUNK),
        )
        self.run_relay(self.relay(resumable=True))
        self.assert_complete(b"".join(EVENTS))

    def test_lost_stream_counts_as_not_answered(self):
        # The crash of an engine shows as the end of an unframed response.
        self.serve(ScriptedServer(UNFRAMED + EVENTS[0] + EVENTS[1][:-3]))
        self.run_relay(self.relay())
        arguments = self.entry.record_outcome.call_args.kwargs
        self.assertTrue(arguments["failed"])
        self.assertFalse(arguments["answered"])


class FramedStreamTests(UnframedTestCase):
    """The end of chunks does not make a partial event complete."""

    def test_chunks_that_end_inside_an_event_are_broken_off(self):
        body = chunk(EVENTS[0]) + chunk(EVENTS[1][:-3]) + LAST_CHUNK
        self.serve(ScriptedServer(CHUNKED + body))
        self.run_relay(self.relay())
        self.assert_broken_off(EVENTS[0])

    def test_length_that_ends_inside_an_event_is_broken_off(self):
        body = EVENTS[0] + EVENTS[1][:-3]
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
        self.serve(ScriptedServer(head + body))
        self.run_relay(self.relay())
        self.assert_broken_off(EVENTS[0])

    def test_chunks_that_end_inside_an_event_are_resumed(self):
        body = chunk(EVENTS[0]) + chunk(EVENTS[1][:-3]) + LAST_CHUNK
        rest = b"".join(chunk(event) for event in EVENTS[1:]) + LAST_CHUNK
        self.serve(ScriptedServer(CHUNKED + body), ScriptedServer(CHUNKED + rest))
        self.run_relay(self.relay(resumable=True))
        self.assert_complete(b"".join(EVENTS))


class UnframedBodyTests(UnframedTestCase):
    def run_lookup(self, *servers: ScriptedServer) -> None:
        self.serve(*servers)
        self.run_relay(self.relay(kind=WorkKind.IDEMPOTENT))

    def test_body_is_complete_at_the_end_of_the_connection(self):
        self.run_lookup(ScriptedServer(UNFRAMED + b"body"))
        self.assert_complete(b"body")
        # The caller gets a length, so that its own connection stays usable.
        self.assertEqual(self.caller.send_head.call_args.kwargs["length"], 4)

    def test_connection_is_not_used_again(self):
        self.run_lookup(ScriptedServer(UNFRAMED + b"body"))
        self.assertTrue(self.connections[0].closed)

    def test_body_that_is_reset_is_requested_again(self):
        self.run_lookup(
            ScriptedServer(UNFRAMED + b"bo", reset=True),
            ScriptedServer(UNFRAMED + b"body"),
        )
        self.assert_complete(b"body")

    def test_order_that_is_reset_is_not_complete(self):
        self.serve(ScriptedServer(UNFRAMED + b"bo", reset=True))
        self.run_relay(self.relay(kind=WorkKind.NON_IDEMPOTENT))
        self.assertEqual(self.caller.send_head.call_args.args[0], 502)

    def test_long_body_that_is_reset_is_broken_off(self):
        # A long body is forwarded before its end is known. A second attempt would send
        # its body behind the part of the first.
        relay = self.relay(kind=WorkKind.IDEMPOTENT)
        relay.place()
        head = ResponseHead(200, [(b"Response-Signature", b"s")])
        relay.on_head(head)
        for _ in range(5):
            relay.on_body(b"x" * 65_536)
        relay.on_failure(ExchangeFailure(FailureKind.RESET, sent=True))
        self.assert_broken_off(b"x" * 5 * 65_536)
        self.entry.pool.acquire.assert_called_once()

    def test_rejection_is_not_counted_as_a_run(self):
        rejection = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n"
        self.run_lookup(ScriptedServer(rejection), ScriptedServer(UNFRAMED + b"body"))
        self.assert_complete(b"body")


if __name__ == "__main__":
    unittest.main()
