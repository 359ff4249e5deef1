import socket
import unittest
from collections.abc import Sequence
from unittest import mock

from fighitch.core.gateway.backend_choice import Candidate
from fighitch.core.gateway.model import (
    CallerLimits,
    Route,
    Service,
    WeightedService,
    WorkKind,
)
from fighitch.core.gateway.response_limits import LimitKind
from fighitch.gateway.peer_messages import Decline, Deny, Grant
from fighitch.gateway.relay import Relay
from fighitch.platform.requests import decode_request
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.header_fields import HeaderFields
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.http_exchange import (
    ExchangeFailure,
    FailureKind,
    ResponseHead,
)
from fighitch.tests.gateway_helpers import engine_spec, server


class RelayTestCase(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop()
        self.entry = mock.Mock()
        self.entry.loop = self.loop
        self.entry.candidates.return_value = [Candidate(server("e1"), 0.0)]
        self.entry.links.may_connect_soon.return_value = True
        self.entry.links.is_connected.return_value = False
        self.entry.links.required_version.return_value = 0
        self.entry.links.expected_version.return_value = 0
        self.entry.quotas.is_active = False
        self.entry.quarantine.blocks.return_value = False
        self.entry.quarantine.is_suspect.return_value = False
        self.entry.reserve.return_value = 0.0
        self.entry.time_until_room.return_value = None
        self.caller = mock.Mock()
        self.caller.is_memory_short = False

    def relay(
        self,
        *,
        deadline_ms: int = 5_000,
        caller_event_timeout: float = float("inf"),
        kind: WorkKind = WorkKind.STREAMING,
        resumable: bool = False,
        max_attempts: int = 2,
        headers: Sequence[tuple[bytes, bytes]] = (),
        request_id: str = "x",
        plain: bool = False,
        request: CallerRequest | None = None,
    ) -> Relay:
        all_headers = [
            (b"Host", b"h"),
            (b"Attempt-Id", request_id.encode()),
            (b"Model", b"base/a1"),
            (b"Deadline-Ms", b"%d" % deadline_ms),
            *headers,
        ]
        now = self.entry.loop.now()
        request = request or CallerRequest(
            b"POST", b"/p/", HeaderFields(all_headers), b"", now
        )
        route = Route(
            name="r",
            host="h",
            path_prefix="/p/",
            kind=kind,
            timeout=5.0,
            target_latency=1.0,
            rank=0,
            services=(WeightedService("models", 1.0),),
            max_attempts=max_attempts,
            resumable=resumable,
            caller_event_timeout=caller_event_timeout,
        )
        service = Service("models", engine=None if plain else engine_spec())
        metadata = decode_request(request)
        return Relay(self.entry, self.caller, request, metadata, route, service)

    def run_for(self, seconds: float):
        end = self.loop.now() + seconds
        while self.loop.now() < end:
            self.loop.run_once(0.02)


class AgentStartTests(RelayTestCase):
    """Requests that wait for an agent that may still be starting."""

    def test_request_is_sent_after_the_agent_start_timeout(self):
        self.relay().place()
        self.run_for(0.1)
        self.entry.pool.acquire.assert_not_called()
        self.entry.links.may_connect_soon.return_value = False
        self.run_for(0.2)
        self.entry.pool.acquire.assert_called_once()

    def test_request_of_a_disconnected_caller_is_not_sent(self):
        # Guards against a poll for the agent that continues after the request has ended
        # and sends it to a server.
        self.relay().place()
        self.caller.on_disconnected()
        self.entry.links.may_connect_soon.return_value = False
        self.run_for(0.2)
        self.entry.pool.acquire.assert_not_called()
        self.entry.record_end.assert_called_once()

    def test_expired_request_gets_one_response(self):
        # The caller would take a second response for that of the next request on its
        # connection.
        self.relay(deadline_ms=80).place()
        self.run_for(0.4)
        self.caller.send_head.assert_called_once()
        self.assertEqual(self.caller.send_head.call_args.args[0], 503)
        self.entry.pool.acquire.assert_not_called()


class InternalErrorTests(RelayTestCase):
    """Unexpected errors, such as one that odd data of another writer causes.

    The event loop logged them, and the caller had no response before its deadline.
    """

    def setUp(self):
        super().setUp()
        self.entry.links.may_connect_soon.return_value = False
        self.caller.closed = False

    def assert_answered_once(self, status: int) -> None:
        self.entry.record_internal_error.assert_called_once()
        self.caller.send_head.assert_called_once()
        self.assertEqual(self.caller.send_head.call_args.args[0], status)
        self.caller.finish.assert_called_once()
        self.entry.record_end.assert_called_once()

    def test_error_of_the_choice_of_a_server(self):
        self.entry.candidates.side_effect = OverflowError("int too large")
        self.relay().place()
        self.assert_answered_once(503)

    def test_error_of_the_request_for_admission(self):
        self.entry.links.is_connected.return_value = True
        self.entry.links.request_admission.side_effect = OverflowError("too large")
        self.relay().place()
        self.assert_answered_once(503)

    def test_error_of_the_connection(self):
        # Some bytes may have been sent.
        self.entry.pool.acquire.side_effect = OverflowError("port must be 0-65535")
        self.relay().place()
        self.assert_answered_once(502)
        self.entry.record_outcome.assert_called_once()

    def test_error_after_a_grant(self):
        self.entry.links.is_connected.return_value = True
        self.relay().place()
        callbacks = self.entry.links.request_admission.call_args.args[2]
        self.entry.pool.acquire.side_effect = UnicodeError("latin-1")
        callbacks.on_grant(Grant(1, 0, late=False))
        self.assert_answered_once(502)
        self.entry.links.report_done.assert_called_once()


class LimitedServerTests(RelayTestCase):
    """Requests to a server without an agent that limits the requests that it takes."""

    def setUp(self):
        super().setUp()
        self.entry.links.may_connect_soon.return_value = False

    def test_request_is_sent_when_its_place_comes(self):
        self.entry.reserve.return_value = 0.2
        self.relay().place()
        self.run_for(0.1)
        self.entry.pool.acquire.assert_not_called()
        self.run_for(0.2)
        self.entry.pool.acquire.assert_called_once()

    def test_request_that_would_wait_too_long_is_rejected_at_once(self):
        self.entry.reserve.return_value = 30.0
        self.relay().place()
        status, headers = self.caller.send_head.call_args.args
        self.assertEqual(status, 503)
        self.assertIn((b"Retry-After", b"30.000"), headers)
        self.entry.pool.acquire.assert_not_called()

    def test_request_is_placed_again_if_its_server_has_left(self):
        self.entry.reserve.return_value = 0.1
        self.entry.is_ready.return_value = False
        self.relay().place()
        self.entry.reserve.return_value = 0.0
        self.run_for(0.2)
        self.assertEqual(self.entry.candidates.call_count, 2)
        self.entry.pool.acquire.assert_called_once()

    def test_request_of_a_caller_that_left_is_not_sent(self):
        self.entry.reserve.return_value = 0.1
        self.relay().place()
        self.caller.on_disconnected()
        self.run_for(0.2)
        self.entry.pool.acquire.assert_not_called()


class DeclineTests(RelayTestCase):
    """An engine declines requests that would miss their latency target there.

    Without declines, twelve entries that acted on the same status sent their requests
    to the same new engine, where all of them waited for adapter loads.
    """

    def setUp(self):
        super().setUp()
        self.entry.links.may_connect_soon.return_value = False
        self.entry.links.is_connected.return_value = True
        self.entry.links.required_version.return_value = 0
        self.engines = [Candidate(server(name), 0.0) for name in ("e1", "e2", "e3")]
        self.entry.candidates.side_effect = (
            lambda _service, _metadata, avoid, **_options: [
                item for item in self.engines if item.server.instance_id not in avoid
            ]
        )

    def admission_requests(self) -> list[tuple[str, bool]]:
        return [
            (call.args[0], call.args[1].may_decline)
            for call in self.entry.links.request_admission.call_args_list
        ]

    def respond(self, message) -> None:
        callbacks = self.entry.links.request_admission.call_args.args[2]
        match message:
            case Decline():
                callbacks.on_decline(message)
            case Deny():
                callbacks.on_deny(message)

    def test_declined_request_goes_to_the_engine_with_the_earliest_first_event(self):
        self.relay().place()
        for first_event_ms in (1_500, 1_200, 1_900):
            self.respond(Decline(0, first_event_ms))
        expected = [("e1", True), ("e2", True), ("e3", True), ("e2", False)]
        self.assertEqual(self.admission_requests(), expected)

    def test_engine_removed_after_declining_is_not_asked_again(self):
        self.relay().place()
        self.respond(Decline(0, 1_200))
        self.engines = self.engines[1:]
        self.respond(Decline(0, 1_500))
        self.respond(Decline(0, 1_900))
        self.assertEqual(self.admission_requests()[-1], ("e2", False))

    def test_request_gets_503_when_denied_after_all_engines_declined(self):
        self.relay().place()
        for _ in self.engines:
            self.respond(Decline(0, 1_500))
        self.respond(Deny(0, 700, "waited_too_long"))
        self.assertEqual(self.caller.send_head.call_args.args[0], 503)

    def test_overdue_request_may_not_be_declined(self):
        self.entry.loop = mock.Mock()
        self.entry.loop.now.return_value = 100.0
        relay = self.relay()
        self.entry.loop.now.return_value = 101.5
        relay.place()
        self.assertEqual(self.admission_requests(), [("e1", False)])


class LeavingEngineTests(RelayTestCase):
    """Requests that wait for admission to an engine that says that it leaves."""

    def setUp(self):
        super().setUp()
        self.entry.links.may_connect_soon.return_value = False
        self.entry.links.is_connected.return_value = True
        self.entry.links.required_version.return_value = 0
        self.entry.links.request_admission.return_value = 7
        self.engines = [Candidate(server(name), 0.0) for name in ("e1", "e2")]
        self.entry.candidates.side_effect = (
            lambda _service, _metadata, avoid, **_options: [
                item for item in self.engines if item.server.instance_id not in avoid
            ]
        )

    def asked(self) -> list[str]:
        calls = self.entry.links.request_admission.call_args_list
        return [call.args[0] for call in calls]

    def test_waiting_request_goes_elsewhere_at_once(self):
        relay = self.relay()
        relay.place()
        relay.leave_servers({"e1"})
        self.entry.links.report_done.assert_called_once_with("e1", 7)
        self.assertEqual(self.asked(), ["e1", "e2"])

    def test_waiting_request_stays_if_another_server_leaves(self):
        relay = self.relay()
        relay.place()
        relay.leave_servers({"e2"})
        self.assertEqual(self.asked(), ["e1"])

    def test_running_request_stays(self):
        relay = self.relay()
        relay.place()
        self.entry.links.request_admission.call_args.args[2].on_grant(
            Grant(7, 0, late=False)
        )
        relay.leave_servers({"e1"})
        self.entry.pool.acquire.assert_called_once()
        self.assertEqual(self.asked(), ["e1"])

    def test_grant_of_an_engine_that_leaves_is_not_used(self):
        # The agent may not know yet, or may be of an earlier build.
        relay = self.relay()
        relay.place()
        self.entry.is_ready.return_value = False
        callbacks = self.entry.links.request_admission.call_args.args[2]
        callbacks.on_grant(Grant(7, 0, late=False))
        self.entry.pool.acquire.assert_not_called()
        self.entry.links.report_done.assert_called_once_with("e1", 7)
        self.assertEqual(self.asked(), ["e1", "e2"])


class PausingServerTests(RelayTestCase):
    """Requests to servers that ask for a pause."""

    def setUp(self):
        super().setUp()
        self.entry.links.may_connect_soon.return_value = False

    def test_request_that_is_not_sent_yet_goes_elsewhere(self):
        # Connections to an overloaded server take long to be established; the request
        # would reach the server during the pause.
        relay = self.relay()
        relay.place()
        self.entry.candidates.return_value = [Candidate(server("e2"), 0.0)]
        connection = self.entry.pool.acquire.return_value
        connection.has_sent = False
        relay.leave_servers({"e1"})
        connection.close.assert_called_once()
        servers = [call.args[0] for call in self.entry.pool.acquire.call_args_list]
        self.assertEqual([item.instance_id for item in servers], ["e1", "e2"])

    def test_caller_learns_when_the_first_server_takes_requests(self):
        self.entry.candidates.return_value = []
        self.entry.time_until_room.return_value = 7.5
        self.relay().place()
        status, headers = self.caller.send_head.call_args.args
        self.assertEqual(status, 503)
        self.assertIn((b"Retry-After", b"7.500"), headers)

    def test_request_for_a_pause_is_no_failure_of_the_server(self):
        self.entry.take_retry.return_value = False
        for value, failed in ((b"2", False), (b"0", True), (b"soon", True)):
            relay = self.relay()
            relay.place()
            relay.on_head(ResponseHead(503, [(b"Retry-After", value)]))
            relay.on_complete()
            outcome = self.entry.record_outcome.call_args.kwargs
            self.assertEqual(outcome["failed"], failed, value)


class ResponseTests(RelayTestCase):
    def test_endless_body_that_may_not_be_forwarded_ends_the_attempt(self):
        # The body of a server error is buffered as a whole, and a faulty server sends
        # it without end.
        self.entry.links.may_connect_soon.return_value = False
        self.entry.take_retry.return_value = False
        relay = self.relay()
        relay.place()
        relay.on_head(ResponseHead(500, [(b"Response-Signature", b"s")]))
        for _ in range(5):
            relay.on_body(b"x" * 65_536)
        self.assertEqual(
            self.entry.record_limit_exceeded.call_args.args[1:],
            ("x", LimitKind.BODY_BYTES),
        )
        self.assertEqual(self.caller.send_head.call_args.args[0], 502)
        self.entry.pool.acquire.return_value.close.assert_called_once()

    def test_caller_disconnect_during_response_ends_the_request(self):
        # Guards against a leaked server connection: the write after the disconnect
        # raised an exception, and the connection was never released.
        self.entry.links.may_connect_soon.return_value = False
        relay = self.relay()
        relay.place()
        self.caller.send_head.side_effect = lambda *_args, **_kw: (
            self.caller.on_disconnected()
        )
        relay.on_head(ResponseHead(404, [(b"Response-Signature", b"s")]))
        relay.on_body(b"body")
        relay.on_complete()
        self.entry.record_end.assert_called_once()
        self.entry.record_outcome.assert_called_once()


class CollectedResponseTests(RelayTestCase):
    """Responses that are collected before they are sent."""

    def start(self, status: int) -> Relay:
        self.entry.links.may_connect_soon.return_value = False
        relay = self.relay(kind=WorkKind.IDEMPOTENT)
        relay.place()
        self.caller.is_backlogged = False
        relay.on_head(ResponseHead(status, [(b"Response-Signature", b"s")]))
        return relay

    def test_response_is_collected_while_there_is_memory(self):
        self.start(200).on_body(b"part")
        self.caller.send_head.assert_not_called()

    def test_response_is_passed_on_while_memory_is_short(self):
        # Guards against 64 KiB for each of many callers whose servers are slow.
        relay = self.start(200)
        relay.on_body(b"part")
        self.caller.is_memory_short = True
        relay.on_body(b" and more")
        self.caller.send_body.assert_called_once_with(b"part and more")

    def test_error_is_collected_although_memory_is_short(self):
        # Another server may still answer the request.
        relay = self.start(500)
        self.caller.is_memory_short = True
        relay.on_body(b"part")
        self.caller.send_head.assert_not_called()
        self.entry.record_end.assert_not_called()


class StalledStreamTests(RelayTestCase):
    """A stream without events is ended after the time at which callers leave it."""

    def start_stream(self) -> Relay:
        margins = {"_EVENT_TIMEOUT_MARGIN": 0.1, "_ANSWER_TIME": 0.0}
        for name, value in margins.items():
            patch = mock.patch(f"fighitch.gateway.attempt_timers.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)
        self.entry.links.may_connect_soon.return_value = False
        relay = self.relay(caller_event_timeout=0.2)
        relay.place()
        self.caller.is_backlogged = False
        relay.on_head(ResponseHead(200, [(b"Response-Signature", b"s")]))
        relay.on_body(b"id: 1\ndata: a\n\n")
        return relay

    def test_stream_with_comments_only_is_ended(self):
        # Comments kept a stalled stream open until its deadline.
        relay = self.start_stream()
        for _ in range(10):
            self.run_for(0.05)
            if self.entry.record_end.called:
                break
            relay.on_body(b": keep-alive\n\n")
        self.entry.record_end.assert_called_once()
        self.caller.close.assert_called_once()

    def test_slow_stream_with_events_continues(self):
        relay = self.start_stream()
        for number in range(2, 12):
            self.run_for(0.05)
            relay.on_body(b"id: %d\ndata: a\n\n" % number)
        self.entry.record_end.assert_not_called()
        relay.on_complete()
        self.caller.finish.assert_called_once()

    def test_stream_of_a_slow_caller_continues(self):
        # While the caller's backlog pauses reading, no event can arrive.
        relay = self.start_stream()
        self.caller.is_backlogged = True
        relay.on_body(b"id: 2\ndata: a\n\n")
        self.run_for(0.5)
        self.entry.record_end.assert_not_called()
        self.caller.is_backlogged = False
        self.caller.on_buffer_drained()
        self.run_for(0.5)
        self.entry.record_end.assert_called_once()


class StandingEngineTests(RelayTestCase):
    """Streams at an engine whose machine stands still, with its agent.

    Guards against callers that get no answer, and an engine that is still at work on
    their streams because it can't notice that they have left.
    """

    PATIENCE = 0.6

    def setUp(self):
        super().setUp()
        self.entry.links.may_connect_soon.return_value = False
        self.caller.is_backlogged = False
        self.is_connected = False

    def start_stream(self) -> Relay:
        relay = self.relay(caller_event_timeout=self.PATIENCE)
        relay.place()
        links = self.entry.links
        links.is_connected.side_effect = lambda _name: self.is_connected
        return relay

    def test_caller_without_a_head_is_answered_before_it_leaves(self):
        self.start_stream()
        self.run_for(self.PATIENCE - 0.1)
        self.assertEqual(self.caller.send_head.call_args.args[0], 504)
        self.entry.record_end.assert_called_once()

    def test_stream_that_has_begun_is_broken_off_before_its_caller_leaves(self):
        relay = self.start_stream()
        self.run_for(0.2)
        relay.on_head(ResponseHead(200, [(b"Response-Signature", b"s")]))
        relay.on_body(b"id: 1\ndata: a\n\n")
        self.run_for(0.2)
        self.entry.record_end.assert_not_called()
        self.run_for(self.PATIENCE - 0.3)
        self.caller.close.assert_called_once()

    def test_stream_goes_on_while_the_agent_of_its_engine_is_there(self):
        # The silence of an engine alone is no reason to end an answer sooner.
        self.start_stream()
        self.is_connected = True
        self.run_for(self.PATIENCE)
        self.entry.record_end.assert_not_called()


class TakeoverTests(RelayTestCase):
    """Searches for another server while the server of a request is silent."""

    def setUp(self):
        super().setUp()
        self.entry.links.may_connect_soon.return_value = False
        self.entry.candidates.side_effect = self.candidates
        self.has_other_server = True

    def candidates(self, _service, _metadata, avoid, *, may_probe):
        names = ("e1", "e2") if self.has_other_server else ("e1",)
        return [Candidate(server(name), 0.0) for name in names if name not in avoid]

    def test_only_a_request_that_may_be_repeated_may_probe(self):
        # Guards against an order that fails because it was sent to find out whether a
        # server has recovered.
        for kind in (WorkKind.IDEMPOTENT, WorkKind.NON_IDEMPOTENT):
            self.relay(kind=kind, deadline_ms=1_000, plain=True).place()
            options = self.entry.candidates.call_args.kwargs
            self.assertEqual(options["may_probe"], kind is WorkKind.IDEMPOTENT)

    def test_silent_server_is_left_for_another_one(self):
        self.relay(kind=WorkKind.IDEMPOTENT, deadline_ms=1_000, plain=True).place()
        self.run_for(0.6)
        self.assertEqual(self.entry.pool.acquire.call_count, 2)

    def test_search_without_retry_budget_takes_no_places(self):
        self.entry.has_retry.return_value = False
        self.relay(kind=WorkKind.IDEMPOTENT, deadline_ms=1_000, plain=True).place()
        self.run_for(0.97)
        self.assertEqual(self.entry.pool.acquire.call_count, 1)
        self.assertEqual(self.entry.reserve.call_count, 1)

    def test_attempt_does_not_end_shortly_before_the_deadline(self):
        self.has_other_server = False
        self.relay(kind=WorkKind.IDEMPOTENT, deadline_ms=1_000, plain=True).place()
        self.run_for(0.8)
        self.has_other_server = True
        self.run_for(0.19)
        self.assertEqual(self.entry.pool.acquire.call_count, 1)

    def test_engine_without_an_agent_does_not_take_over(self):
        self.relay(kind=WorkKind.IDEMPOTENT, deadline_ms=1_000).place()
        self.run_for(0.97)
        self.assertEqual(self.entry.pool.acquire.call_count, 1)


class PipelinedRequestTests(RelayTestCase):
    """Requests of one connection of which the second arrives before a response."""

    def test_end_of_a_request_keeps_the_callbacks_of_the_next_one(self):
        # Guards against a caller whose departure is not noticed.
        self.entry.links.may_connect_soon.return_value = False
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        ours.setblocking(False)

        def on_request(caller, request):
            self.caller = caller
            self.relay(kind=WorkKind.IDEMPOTENT, request=request).place()

        with mock.patch("fighitch.runtime.http_callers.set_stream_options"):
            CallerConnection(
                self.loop,
                ours,
                CallerLimits,
                on_request=on_request,
                on_closed=mock.Mock(),
            )
        for name in (b"a", b"b"):
            theirs.sendall(
                b"GET /p/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + name + b"\r\n\r\n"
            )
        self.run_for(0.1)
        connection = self.entry.pool.acquire.return_value
        receiver = connection.send.call_args.args[1]
        receiver.on_head(ResponseHead(200, [(b"Response-Signature", b"s")]))
        receiver.on_complete()
        theirs.close()
        self.run_for(0.1)
        ends = self.entry.record_end.call_args_list
        outcomes = [call.kwargs["outcome"] for call in ends]
        self.assertEqual(outcomes, ["200", "caller_left"])


class FailingSendTests(RelayTestCase):
    """Exchanges that fail while the request is handed over."""

    def test_request_that_ends_while_it_is_sent_gets_one_response(self):
        # Guards against timers that are started after the end of the request.
        self.entry.links.may_connect_soon.return_value = False
        connection = self.entry.pool.acquire.return_value

        def send(_data, receiver, **_options):
            # A kept connection is reset between its check and the first byte.
            self.entry.candidates.return_value = []
            receiver.on_failure(ExchangeFailure(FailureKind.RESET, sent=False))

        connection.send.side_effect = send
        self.relay(caller_event_timeout=0.1).place()
        self.run_for(1.0)
        self.assertEqual(self.caller.send_head.call_count, 1)
