import unittest
from dataclasses import replace
from unittest import mock

from fighitch.core.gateway import event_stream
from fighitch.core.gateway.backend_choice import (
    Candidate,
    EngineRanker,
    EngineView,
    PlainServerLoad,
    failure_penalty,
    next_server,
    rank_plain_servers,
)
from fighitch.core.gateway.event_stream import EventBuffer
from fighitch.core.gateway.failures import FailureKind, reported_kind
from fighitch.core.gateway.holder import HolderRecord, claim_engine
from fighitch.core.gateway.model import (
    AdapterName,
    Route,
    WeightedService,
    WorkKind,
)
from fighitch.core.gateway.outliers import OutlierDetector
from fighitch.core.gateway.retry_budget import BudgetLimits, RetryBudget
from fighitch.core.gateway.route_table import RouteTable, choose_service
from fighitch.core.gateway.stream_format import StreamFormat
from fighitch.platform.requests import stream_format
from fighitch.runtime.http_exchange import ResponseHead
from fighitch.tests.gateway_helpers import A1, MODEL, server


def route(name: str, prefix: str, *services: WeightedService) -> Route:
    return Route(
        name=name,
        host="h.example",
        path_prefix=prefix,
        kind=WorkKind.IDEMPOTENT,
        timeout=1.0,
        target_latency=0.1,
        rank=0,
        services=services or (WeightedService("s", 1.0),),
    )


def no_penalty(_name: str) -> float:
    return 0.0


def view(name: str, *adapters: AdapterName, **fields) -> EngineView:
    loaded = dict.fromkeys((AdapterName(MODEL), *adapters), 1)
    return EngineView(name, adapters=loaded, connected=True, **fields)


class RouteTableTests(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable(
            [route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")]
        )

    def find(self, path: str, host: str = "h.example") -> str | None:
        found = self.table.find(host, path)
        return None if found is None else found.name

    def test_longest_prefix_wins(self):
        self.assertEqual(self.find("/a/b/c"), "long")
        self.assertEqual(self.find("/a/bc"), "short")

    def test_prefix_ends_with_its_slash(self):
        self.assertIsNone(self.find("/a"))
        self.assertEqual(self.find("/a/"), "short")

    def test_host_matches_regardless_of_case_and_port(self):
        self.assertEqual(self.find("/c/", "H.Example:80"), "other")
        self.assertIsNone(self.find("/c/", "other.example"))

    def test_root_prefix_matches_every_path(self):
        table = RouteTable([route("root", "/")])
        self.assertIsNotNone(table.find("h.example", "/x/y"))

    def test_requests_are_split_by_weight(self):
        split = route("r", "/", WeightedService("s", 90), WeightedService("t", 10))
        names = [choose_service(split, f"id-{number}") for number in range(2_000)]
        self.assertAlmostEqual(names.count("t") / 2_000, 0.1, delta=0.03)


class RetryBudgetTests(unittest.TestCase):
    def test_all_entries_together_stay_within_the_budget(self):
        # A server that fails all requests makes every entry retry all of them.
        limits = BudgetLimits(ratio=0.2, window=10.0, slack=56.0)
        entries = [RetryBudget(limits) for _ in range(4)]
        retries = requests = 0
        for step in range(1_000):
            for budget in entries:
                now = step * 0.01
                budget.record_request(now)
                requests += 1
                retries += budget.take(now, entries=4)
        self.assertLessEqual(retries, 0.2 * requests + 56)
        self.assertGreater(retries, 0.1 * requests)

    def test_budget_is_restored_as_the_window_slides(self):
        budget = RetryBudget(BudgetLimits(ratio=0.0, window=10.0, slack=10.0))
        taken = sum(budget.take(0.0, entries=1) for _ in range(20))
        self.assertEqual(taken, 6)
        self.assertFalse(budget.take(9.0, entries=1))
        self.assertTrue(budget.take(10.5, entries=1))


class OutlierDetectorTests(unittest.TestCase):
    def setUp(self):
        self.detector = OutlierDetector()
        self.peers = ["a", "b", "c"]

    def record_outcome(self, name: str, failed: bool, now: float) -> bool:
        return self.detector.record_outcome(
            name, failed=failed, peers=self.peers, now=now
        )

    def test_server_that_fails_more_than_its_peers_is_paused(self):
        for step in range(10):
            self.record_outcome("b", False, step)
            self.record_outcome("c", False, step)
            self.record_outcome("a", True, step)
        self.assertTrue(self.detector.is_paused("a", 9.1))
        self.assertFalse(self.detector.is_paused("b", 9.1))

    def test_service_that_fails_on_all_servers_keeps_its_servers(self):
        for step in range(30):
            for name in self.peers:
                self.record_outcome(name, step % 2 == 0, step * 0.1)
        paused = [name for name in self.peers if self.detector.is_paused(name, 3.0)]
        self.assertEqual(paused, [])

    def test_pauses_grow_and_expire(self):
        self.detector.record_unreachable("a", 0.0)
        self.assertTrue(self.detector.is_paused("a", 0.4))
        self.assertFalse(self.detector.is_paused("a", 0.6))
        self.detector.record_unreachable("a", 0.6)
        self.assertTrue(self.detector.is_paused("a", 1.5))


class EngineRankerTests(unittest.TestCase):
    def setUp(self):
        self.ranker = EngineRanker("z1")
        self.servers = [server(name) for name in ("e1", "e2", "e3")]

    def best(self, views: dict[str, EngineView], penalty=no_penalty) -> str:
        ranked = self.ranker.rank(A1, self.servers, views, penalty)
        return ranked[0].server.instance_id

    def views(self, **changed: EngineView) -> dict[str, EngineView]:
        return {name: view(name) for name in ("e1", "e2", "e3")} | changed

    def test_engine_that_asked_another_entry_for_a_pause_comes_last(self):
        pausing = replace(view("e1", A1), pause=10.0)
        self.assertNotEqual(self.best(self.views(e1=pausing)), "e1")
        self.servers = self.servers[:1]
        self.assertEqual(self.best(self.views(e1=pausing)), "e1")

    def test_engine_with_the_adapter_loaded_is_preferred(self):
        for name in ("e1", "e2", "e3"):
            views = self.views(**{name: view(name, A1)})
            self.assertEqual(self.best(views), name)

    def test_long_backlog_moves_requests_to_another_engine(self):
        views = self.views(e2=view("e2", A1, backlog=3.0))
        self.assertNotEqual(self.best(views), "e2")

    def test_short_backlog_is_preferred_to_a_load(self):
        # Loading the adapter on a second engine costs a fetch from the weight store.
        views = self.views(e2=view("e2", A1, backlog=0.2))
        self.assertEqual(self.best(views), "e2")

    def test_rare_adapter_has_one_home_engine(self):
        self.assertEqual(len({self.best(self.views()) for _ in range(5)}), 1)

    def test_engine_without_its_model_is_avoided(self):
        # A restarted engine responds, but can't serve requests for seconds.
        home = self.best(self.views())
        empty = EngineView(home, connected=True)
        self.assertNotEqual(self.best(self.views(**{home: empty})), home)

    def test_engine_to_avoid_is_left_out(self):
        home = self.best(self.views())
        ranked = self.ranker.rank(
            A1, self.servers, self.views(), no_penalty, avoid={home}
        )
        self.assertEqual(len(ranked), 2)
        self.assertNotIn(home, [item.server.instance_id for item in ranked])

    def test_failing_engine_is_avoided(self):
        home = self.best(self.views())

        def penalty(name: str) -> float:
            return failure_penalty(paused=name == home, failure_ratio=0.0)

        self.assertNotEqual(self.best(self.views(), penalty), home)


class NextServerTests(unittest.TestCase):
    """Selection of the next server to try.

    Guards against a herd effect: twelve entries that saw the same status sent all their
    requests to one engine.
    """

    def setUp(self):
        self.candidates = [Candidate(server(name), 0.0) for name in ("e1", "e2", "e3")]

    def next(self, admission_requests, **declined):
        found = next_server(
            self.candidates, admission_requests=admission_requests, declined=declined
        )
        return None if found is None else found.instance_id

    def test_cheapest_server_is_tried_first(self):
        self.assertEqual(self.next(0), "e1")

    def test_engine_that_declined_is_skipped(self):
        self.assertEqual(self.next(1, e1=1.5), "e2")

    def test_engine_with_the_earliest_first_event_is_tried_again(self):
        self.assertEqual(self.next(3, e1=1.5, e2=1.2, e3=1.9), "e2")

    def test_engine_that_declined_and_left_is_not_tried_again(self):
        self.candidates = self.candidates[1:]
        self.assertEqual(self.next(3, e1=1.0, e2=1.2), "e2")

    def test_no_server_is_left_when_the_limit_is_reached(self):
        self.assertIsNone(self.next(3))


class PlainServerRankingTests(unittest.TestCase):
    def test_least_loaded_server_is_preferred(self):
        servers = [server("a"), server("b")]
        loads = {"a": PlainServerLoad(running=9), "b": PlainServerLoad(running=1)}
        ranked = rank_plain_servers(servers, loads, "z1", no_penalty)
        self.assertEqual(ranked[0].server.instance_id, "b")

    def test_own_zone_breaks_ties(self):
        servers = [server("a", zone="z2"), server("b", zone="z1")]
        ranked = rank_plain_servers(servers, {}, "z1", no_penalty)
        self.assertEqual(ranked[0].server.instance_id, "b")


class HolderTests(unittest.TestCase):
    def test_token_increases_although_the_clock_was_set_back(self):
        previous = HolderRecord("side-1", 5_000)
        claim = claim_engine(previous, "side-1", 3_000, 3.0)
        self.assertEqual(claim.record.token, 5_001)
        self.assertEqual(claim.wait, 0.0)

    def test_new_holder_waits_for_the_lease_of_the_previous_one(self):
        claim = claim_engine(HolderRecord("side-1", 1), "side-2", 9, 3.0)
        self.assertEqual((claim.record.token, claim.wait), (9, 3.0))


class EventBufferTests(unittest.TestCase):
    def test_comments_are_no_events(self):
        events = EventBuffer()
        events.feed(b": data\n\n")
        self.assertFalse(events.has_new_event)
        events.feed(b": comment\nid: 7\ndata: a\n\n")
        self.assertTrue(events.has_new_event)

    def test_only_complete_events_are_forwarded(self):
        # A server may fail within an event. If a part of it were forwarded, the stream
        # could not be resumed.
        events = EventBuffer()
        self.assertEqual(
            events.feed(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n"
        )
        self.assertTrue(events.has_partial_event)
        self.assertEqual(events.last_id, "1")
        self.assertEqual(events.feed(b"ta: b\n\n"), b"id: 2\ndata: b\n\n")
        self.assertEqual(events.last_id, "2")

    def test_partial_event_is_dropped_before_another_server_continues(self):
        events = EventBuffer()
        events.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        events.start_run()
        self.assertEqual(events.feed(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n")


class LineEndTests(unittest.TestCase):
    def test_events_are_complete_with_either_line_end(self):
        for separator in (b"\n\n", b"\r\n\r\n", b"\n\r\n"):
            stream = b"id: 1" + separator + b"id: 2" + separator
            for size in range(1, len(stream) + 1):
                with self.subTest(separator=separator, size=size):
                    buffer = EventBuffer()
                    found = buffer.feed(stream[:size]) + buffer.feed(stream[size:])
                    self.assertEqual(found, stream)
                    self.assertEqual(buffer.last_id, "2")
                    self.assertFalse(buffer.has_partial_event)

    def test_one_line_end_does_not_complete_an_event(self):
        buffer = EventBuffer()
        self.assertEqual(buffer.feed(b"id: 1\r\ndata: a\r\n"), b"")
        self.assertEqual(buffer.feed(b"\r"), b"")
        self.assertTrue(buffer.has_partial_event)


class EventOrderTests(unittest.TestCase):
    def continue_after(self, last: bytes, *events: bytes) -> bytes:
        """Returns what a second run adds to a stream with one event."""
        buffer = EventBuffer()
        buffer.feed(b"id: %s\ndata: a\n\n" % last)
        buffer.start_run()
        added = b"".join(buffer.feed(event + b"\n\n") for event in events)
        self.assertEqual(buffer.is_out_of_order, not added)
        return added

    def test_increasing_ids_continue_a_stream(self):
        for last, following in (
            (b"2", b"3"),
            (b"9", b"10"),
            (b"2", b"7"),
            (b"a", b"b"),
        ):
            event = b"id:%s\ndata: b" % following
            self.assertEqual(self.continue_after(last, event), event + b"\n\n")

    def test_other_ids_do_not_continue_a_stream(self):
        for last, following in (
            (b"2", b"1"),
            (b"2", b"2"),
            (b"2", b"02"),
            (b"10", b"9"),
            (b"a b", b" a b "),
            (b"2", b""),
        ):
            event = b"id: %s\ndata: b" % following
            self.assertEqual(self.continue_after(last, event), b"", following)

    def test_later_events_of_a_wrong_run_are_dropped(self):
        events = [b"id: %d\ndata: b" % number for number in range(1, 5)]
        self.assertEqual(self.continue_after(b"2", *events), b"")

    def test_wrong_run_does_not_change_the_last_id(self):
        buffer = EventBuffer("2")
        buffer.start_run()
        buffer.feed(b"id: 1\ndata: a\n\n")
        self.assertEqual(buffer.last_id, "2")
        self.assertTrue(buffer.can_resume)
        buffer.start_run()
        event = b"id: 3\ndata: a\n\n"
        self.assertEqual(buffer.feed(event), event)

    def test_version_before_the_id_of_an_event(self):
        event = b"weight-versions: 7\nid: 3\ndata: id: 1"
        self.assertEqual(self.continue_after(b"2", event), event + b"\n\n")

    def test_stream_resumes_only_after_an_event_with_an_id(self):
        buffer = EventBuffer()
        self.assertTrue(buffer.can_resume)
        buffer.feed(b"id: 1\ndata: a\n\ndata: b\n\n")
        self.assertFalse(buffer.can_resume)
        buffer.feed(b": comment\n\nid: 2\ndata: c\n\n: comment\n\n")
        self.assertTrue(buffer.can_resume)
        self.assertEqual(buffer.last_id, "2")


class StreamFormatTests(unittest.TestCase):
    def test_response_that_can_continue_a_stream(self):
        events = StreamFormat(200, "text/event-stream")
        unstated = StreamFormat(200)
        for response, begun in (
            (events, events),
            (events, unstated),
            (unstated, events),
            (unstated, unstated),
        ):
            self.assertTrue(response.can_continue(begun), (response, begun))

    def test_response_that_cannot_continue_a_stream(self):
        begun = StreamFormat(200, "text/event-stream")
        for response in (
            StreamFormat(204),
            StreamFormat(404, "text/event-stream"),
            StreamFormat(200, "application/json"),
        ):
            self.assertFalse(response.can_continue(begun), response)
            unstated = StreamFormat(begun.status)
            self.assertFalse(response.can_continue(unstated), response)

    def test_media_type_has_no_parameters(self):
        content_type = (b"Content-Type", b"Text/Event-Stream; charset=utf-8")
        found = stream_format(ResponseHead(200, [content_type]))
        self.assertEqual(found, StreamFormat(200, "text/event-stream"))


class EndOfStreamTests(unittest.TestCase):
    def may_end(self, *runs: bytes, is_framed: bool, resume_after: str = "") -> bool:
        buffer = EventBuffer(resume_after)
        for run in runs:
            buffer.start_run()
            buffer.feed(run)
        return buffer.may_end(is_framed=is_framed)

    def test_end_after_an_event(self):
        for is_framed in (False, True):
            self.assertTrue(self.may_end(b"id: 1\n\n", is_framed=is_framed))
            self.assertFalse(self.may_end(b"id: 1\n\ni", is_framed=is_framed))
            self.assertFalse(self.may_end(b": comment\n\n", is_framed=is_framed))
            self.assertFalse(self.may_end(b"", is_framed=is_framed))

    def test_end_without_a_further_event_must_be_stated(self):
        for added in (b"", b": comment\n\n"):
            runs = (b"id: 1\n\n", added)
            self.assertTrue(self.may_end(*runs, is_framed=True))
            self.assertFalse(self.may_end(*runs, is_framed=False))
            self.assertTrue(self.may_end(added, is_framed=True, resume_after="1"))
            self.assertFalse(self.may_end(added, is_framed=False, resume_after="1"))

    def test_stream_with_a_lost_event_has_a_further_event(self):
        runs = (b"id: 1\n\nid", b"", b": comment\n\n")
        self.assertFalse(self.may_end(*runs, is_framed=True))
        self.assertTrue(self.may_end(*runs, b"id: 2\n\n", is_framed=True))
        runs = (b"id: 1\n\nid", b"id: 2\n\n", b"")
        self.assertTrue(self.may_end(*runs, is_framed=True))

    def test_partial_comment_is_no_lost_event(self):
        runs = (b"id: 1\n\n: comm", b"")
        self.assertTrue(self.may_end(*runs, is_framed=True))

    def test_partial_event_of_a_wrong_run_is_no_lost_event(self):
        for wrong_run in (b"id", b"id: 1\n\nid"):
            runs = (b"id: 1\n\n", wrong_run, b"")
            self.assertTrue(self.may_end(*runs, is_framed=True))


class LargeEventTests(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(event_stream, "_MAX_EVENT_BYTES", 40)
        patch.start()
        self.addCleanup(patch.stop)
        self.buffer = EventBuffer()

    def feed(self, data: bytes, size: int) -> bytes:
        parts = [data[start : start + size] for start in range(0, len(data), size)]
        return b"".join(self.buffer.feed(part) for part in parts)

    def test_large_event_is_returned_whole(self):
        for line_end in (b"\n", b"\r\n"):
            lines = (b"id: 1", b"data: " + b"x" * 100, b"", b"")
            event = line_end.join(lines)
            for size in range(1, len(event) + 1):
                with self.subTest(line_end=line_end, size=size):
                    self.assertEqual(self.feed(event, size), event)
                    self.assertFalse(self.buffer.has_partial_event)

    def test_stream_does_not_resume_inside_or_right_after_a_large_event(self):
        self.feed(b"id: 1\ndata: a\n\nid: 2\ndata: " + b"x" * 100, 10)
        self.assertFalse(self.buffer.can_resume)
        self.assertTrue(self.buffer.has_partial_event)
        self.buffer.feed(b"x\nid: 9\n\n")
        self.assertFalse(self.buffer.can_resume)
        self.assertFalse(self.buffer.has_partial_event)
        self.buffer.feed(b"id: 3\ndata: a\n\n")
        self.assertTrue(self.buffer.can_resume)

    def test_parts_of_a_large_event_are_progress(self):
        self.feed(b"id: 1\ndata: " + b"x" * 100, 10)
        self.buffer.feed(b"x" * 100)
        self.assertTrue(self.buffer.has_new_event)


class FailureResponseTests(unittest.TestCase):
    def test_request_that_may_have_run_is_not_reported_as_not_run(self):
        # Status 503 guarantees that the request has not run.
        for kind in FailureKind:
            reported = reported_kind(kind, may_have_run=True)
            self.assertNotIn(
                reported,
                (
                    FailureKind.OVERLOADED,
                    FailureKind.NO_SERVER,
                    FailureKind.NOT_RUN_IN_TIME,
                    FailureKind.SERVER_REFUSED,
                ),
            )
