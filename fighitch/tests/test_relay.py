import unittest
from unittest import mock

from fighitch.core.gateway.backend_choice import Candidate
from fighitch.core.gateway.model import (
    Route,
    Service,
    WeightedService,
    WorkKind,
)
from fighitch.gateway.relay import Relay
from fighitch.platform.requests import decode_request
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_callers import CallerRequest
from fighitch.runtime.http_exchange import AnswerHead
from fighitch.tests.gateway_helpers import engine_spec, server


class RelayTestCase(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop()
        self.entry = mock.Mock()
        self.entry.loop = self.loop
        self.entry.candidates.return_value = [Candidate(server("e1"), 0.0)]
        self.entry.links.may_connect_soon.return_value = True
        self.entry.links.is_connected.return_value = False
        self.caller = mock.Mock()

    def relay(self, *, deadline_ms: int = 5_000) -> Relay:
        headers = [
            (b"Host", b"h"),
            (b"Attempt-Id", b"x"),
            (b"Model", b"base/a1"),
            (b"Deadline-Ms", b"%d" % deadline_ms),
        ]
        request = CallerRequest(b"POST", b"/p/", headers, b"", self.loop.now())
        route = Route(
            name="r",
            host="h",
            path_prefix="/p/",
            kind=WorkKind.STREAMING,
            timeout=5.0,
            target_latency=1.0,
            rank=0,
            services=(WeightedService("models", 1.0),),
        )
        service = Service("models", engine=engine_spec())
        facts = decode_request(request)
        return Relay(self.entry, self.caller, request, facts, route, service)

    def run_for(self, seconds: float):
        end = self.loop.now() + seconds
        while self.loop.now() < end:
            self.loop.run_once(0.02)


class StartingAgentTests(RelayTestCase):
    """Requests that wait for an agent which has not answered yet."""

    def test_request_is_sent_when_the_wait_is_over(self):
        self.relay().place()
        self.run_for(0.1)
        self.entry.pool.lend.assert_not_called()
        self.entry.links.may_connect_soon.return_value = False
        self.run_for(0.2)
        self.entry.pool.lend.assert_called_once()

    def test_request_of_a_caller_that_left_is_not_sent(self):
        # The waiting request once came back to life and ran after its end.
        self.relay().place()
        self.caller.on_gone()
        self.entry.links.may_connect_soon.return_value = False
        self.run_for(0.2)
        self.entry.pool.lend.assert_not_called()
        self.entry.note_end.assert_called_once()

    def test_request_whose_time_ran_out_is_answered_once(self):
        # A second answer would go to the next request of the connection.
        self.relay(deadline_ms=80).place()
        self.run_for(0.4)
        self.caller.send_head.assert_called_once()
        self.assertEqual(self.caller.send_head.call_args.args[0], 503)
        self.entry.pool.lend.assert_not_called()


class AnswerTests(RelayTestCase):
    def test_caller_that_is_gone_while_its_answer_is_written_ends_the_request(self):
        # The next write once failed, and the server's connection was never given back.
        self.entry.links.may_connect_soon.return_value = False
        relay = self.relay()
        relay.place()
        self.caller.send_head.side_effect = lambda *_args, **_kw: self.caller.on_gone()
        relay.on_head(AnswerHead(404, [(b"Response-Signature", b"s")]))
        relay.on_body(b"body")
        relay.on_complete()
        self.entry.note_end.assert_called_once()
        self.entry.note_outcome.assert_called_once()
