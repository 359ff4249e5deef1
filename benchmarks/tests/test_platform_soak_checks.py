"""Tests of ``benchmarks.platform_soak_checks``: each violation is detected."""

import unittest
from unittest import mock

from benchmarks.platform_soak_checks import SentRequest, SoakRecord, check
from standins.platform_backends import (
    OrderRecord,
    PauseRequest,
    ReceivedRequest,
    RunRecord,
)
from standins.platform_fleet import CallerResponse, PlatformFleet

SIGNED = {"response-signature": "s"}
EVENTS = b"".join(b"id: %d\ndata: r1 %d\n\n" % (n, n) for n in range(1, 5))
LOST = CallerResponse(0, {}, b"", complete=False)
FIRST_INCARNATION = (0, 1)
RESTARTED_INCARNATION = (0, 2)


class SoakCheckTests(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet()
        for server in (
            *self.fleet.plain_servers,
            *self.fleet.engines,
            self.fleet.store,
        ):
            server.start()
        self.addCleanup(self.fleet.stop)
        self.record = SoakRecord()

    def violations(self, route: str, answer: CallerResponse, runs: int) -> list[str]:
        server = self.fleet.plain_servers[0]
        server.runs = [RunRecord("r1", {}, b"", "/")] * runs
        self.record.sent.append(
            SentRequest("r1", route, 1.0, answer, FIRST_INCARNATION)
        )
        check(self.record, self.fleet)
        return self.record.violations

    def test_known_crashing_part_at_engines_is_detected(self):
        engine = self.fleet.engines[0]
        engine.crashed_at = [1.0, 2.0, 3.0, 4.0, 5.0]
        self.record.recovered_at = 7.0
        engine.runs = [
            RunRecord(f"crash-{at}", {}, b"", "/", at=at) for at in (7.0, 8.5, 9.0, 9.5)
        ]
        check(self.record, self.fleet)
        self.assertFalse(
            any("known crashing" in item for item in self.record.violations)
        )
        engine.runs.append(RunRecord("crash-x", {}, b"", "/", at=10.0))
        check(self.record, self.fleet)
        self.assertTrue(
            any("known crashing" in item for item in self.record.violations)
        )

    def test_exceeded_limit_of_a_server_is_detected(self):
        server = self.fleet.plain_servers[0]
        server.server_limit = 1.0
        server.arrivals = [10.0 + 0.3 * number for number in range(11)]
        check(self.record, self.fleet)
        self.assertFalse(any("limit" in item for item in self.record.violations))
        server.arrivals.append(13.9)
        check(self.record, self.fleet)
        self.assertTrue(any("limit" in item for item in self.record.violations))

    def send(self, request_id: str, at: float, **headers: str) -> None:
        """Records a request through the first entry that the first server received."""
        server = self.fleet.plain_servers[0]
        server.received.append(
            ReceivedRequest(request_id, at, server.incarnation),
        )
        server.runs.append(RunRecord(request_id, {}, b"", "/", at=at))
        body = f"answer to {request_id}".encode()
        headers["response-signature"] = f"{server.instance_id}.{request_id}"
        answer = CallerResponse(200, headers, body)
        self.record.sent.append(
            SentRequest(request_id, "order", at, answer, FIRST_INCARNATION, at)
        )

    def found(self, text: str) -> bool:
        self.record.violations.clear()
        check(self.record, self.fleet)
        return any(text in item for item in self.record.violations)

    def test_request_to_a_server_that_leaves_is_detected(self):
        self.send("r1", 10.0, **{"server-leaving": "1"})
        self.send("r2", 11.9)
        self.assertFalse(self.found("that it leaves"))
        self.send("r3", 12.1)
        self.assertTrue(self.found("r3 at 12.10: reached plain-0"))
        self.record.freezes.append(("front-0", 11.0))
        self.assertFalse(self.found("that it leaves"))

    def test_request_to_the_next_incarnation_is_no_violation(self):
        self.send("r1", 10.0, **{"server-leaving": "1"})
        self.fleet.plain_servers[0].restart("plain-0+1")
        self.send("r2", 13.0)
        self.assertFalse(self.found("that it leaves"))

    def test_requests_during_a_pause_are_detected(self):
        server = self.fleet.plain_servers[0]
        self.send("r1", 10.0)
        server.asked_pauses.append(PauseRequest("r1", 10.0, 13.0, server.incarnation))
        for number, at in enumerate((10.4, 10.6, 12.9, 13.1), start=2):
            self.send(f"r{number}", at)
        self.assertFalse(self.found("asked"))
        self.send("r6", 12.0)
        self.assertTrue(self.found("plain-0 asked"))
        self.record.disturbances.append((12.5, 14.0))
        self.assertFalse(self.found("asked"))

    def test_correct_response_is_no_violation(self):
        self.assertEqual(
            self.violations("stream", CallerResponse(200, SIGNED, EVENTS), 1), []
        )

    def test_request_that_ran_twice_is_detected(self):
        answer = CallerResponse(200, SIGNED, b"answer to r1")
        self.assertIn("ran 2 times", self.violations("order", answer, 2)[0])

    def test_rejection_of_request_that_ran_is_detected(self):
        self.assertIn(
            "but ran", self.violations("order", CallerResponse(503, {}, b""), 1)[0]
        )

    def test_success_without_a_server_is_detected(self):
        answer = CallerResponse(200, SIGNED, b"answer to r1")
        self.assertIn("no server returned", self.violations("lookup", answer, 0)[0])

    def test_response_of_another_request_is_detected(self):
        answer = CallerResponse(200, SIGNED, b"answer to r2")
        found = self.violations("lookup", answer, 1)
        self.assertTrue(any("another request" in item for item in found), found)

    def test_missing_event_is_detected(self):
        answer = CallerResponse(200, SIGNED, EVENTS.replace(b"id: 2\n", b""))
        found = self.violations("stream", answer, 1)
        self.assertTrue(any("events" in item for item in found), found)

    def test_foreign_bytes_in_a_complete_stream_are_detected(self):
        for body in (EVENTS + b"failed", EVENTS.replace(b"r1 3", b"r1 3 no")):
            self.record.violations.clear()
            found = self.violations("resume", CallerResponse(200, SIGNED, body), 1)
            self.assertTrue(any("other bytes" in item for item in found), found)

    def test_foreign_bytes_in_a_broken_stream_are_detected(self):
        event = b"id: 1\ndata: r1 1\n\n"
        for body in (event + b"failed", event + event, event[:-1], EVENTS[4:]):
            self.record.violations.clear()
            answer = CallerResponse(200, SIGNED, body, complete=False)
            found = self.violations("resume", answer, 1)
            self.assertTrue(any("other bytes" in item for item in found), found)

    def test_first_events_of_a_broken_stream_are_no_violation(self):
        for body in (b"", b"id: 1\ndata: r1 1\n\n", EVENTS):
            answer = CallerResponse(200, SIGNED, body, complete=False)
            self.assertEqual(self.violations("resume", answer, 1), [])

    def test_overfull_engine_and_decreasing_token_are_detected(self):
        engine = self.fleet.engines[0]
        engine.overcommit = 1
        engine.orders = [
            OrderRecord({"FencingToken": 2}),
            OrderRecord({"FencingToken": 1}),
        ]
        found = " ".join(self.violations("lookup", CallerResponse(503, {}, b""), 0))
        self.assertIn("too many", found)
        self.assertIn("token decreased", found)
        self.assertIn("served", found)

    def test_waiting_request_that_is_cut_off_is_detected_in_a_planned_run_only(self):
        crossing = SentRequest("r1", "stream", 1.0, LOST, FIRST_INCARNATION, 1.1)
        cut = SentRequest("r2", "stream", 1.0, LOST, FIRST_INCARNATION, 3.0)
        self.record.sent = [crossing, cut]
        check(self.record, self.fleet)
        self.assertNotIn("cut off", " ".join(self.record.violations))
        self.record.planned = True
        check(self.record, self.fleet)
        found = [item for item in self.record.violations if "cut off" in item]
        self.assertEqual(len(found), 1)
        self.assertIn("r2", found[0])

    def test_lost_response_is_detected_in_a_planned_run_only(self):
        self.violations("order", LOST, 1)
        self.assertNotIn("response was lost", " ".join(self.record.violations))
        self.record.planned = True
        self.assertIn("response was lost", " ".join(self.violations("order", LOST, 1)))

    def lost_after(self, seconds: float) -> bool:
        """Returns whether a stream that is cut after a time counts as lost."""
        cut = CallerResponse(200, SIGNED, EVENTS[:20], complete=False)
        sent = SentRequest("r1", "stream", 1.0, cut, FIRST_INCARNATION, 1.0 + seconds)
        self.record.planned, self.record.sent = True, [sent]
        self.record.violations.clear()
        self.fleet.engines[0].runs = [RunRecord("r1", {}, b"", "/")]
        check(self.record, self.fleet)
        return any("response was lost" in item for item in self.record.violations)

    def test_stream_that_ends_before_its_time_limit_is_lost(self):
        self.assertTrue(self.lost_after(3.8))
        self.assertFalse(self.lost_after(4.0))
        # A configuration with a shorter timeout came during the request.
        self.record.timeouts = [(1.5, 3.0)]
        self.assertTrue(self.lost_after(2.8))
        self.assertFalse(self.lost_after(3.0))
        # One that was replaced long before is not in force.
        self.record.timeouts = [(-5.0, 3.0), (-3.0, 5.0)]
        self.assertTrue(self.lost_after(3.8))

    def test_request_that_a_server_rejected_needs_a_response_too(self):
        self.record.planned = True
        self.fleet.engines[0].received = [ReceivedRequest("r1", 1.0, ("e", 1))]
        self.assertIn("response was lost", " ".join(self.violations("order", LOST, 0)))

    def test_long_stream_must_have_all_its_events(self):
        answer = CallerResponse(200, SIGNED, EVENTS)
        sent = SentRequest("r1", "stream", 1.0, answer, FIRST_INCARNATION, 2.0, 5)
        self.record.sent = [sent]
        check(self.record, self.fleet)
        self.assertIn("r1: events", " ".join(self.record.violations))

    def test_overdue_response_is_detected_in_a_planned_run(self):
        self.record.planned = True
        overdue = CallerResponse(0, {}, b"", complete=False, timed_out=True)
        found = " ".join(self.violations("order", overdue, 1))
        self.assertIn("before its caller timed out", found)

    def test_overdue_response_is_inconclusive_if_the_soak_process_stalled(self):
        # Seed 430, run beside a benchmark: callers timed out while their own process
        # stalled.
        self.record.planned = True
        self.fleet.links["stalled"] = mock.Mock(longest_stall=5.0)
        overdue = CallerResponse(0, {}, b"", complete=False, timed_out=True)
        found = " ".join(self.violations("order", overdue, 1))
        self.assertNotIn("timed out", found)
        self.assertIn("timed out", " ".join(self.record.inconclusive))

    def test_planned_run_may_drop_an_unrun_request_by_closing_its_connection(self):
        self.record.planned = True
        found = " ".join(self.violations("order", LOST, 0))
        self.assertNotIn("response was lost", found)

    def test_route_that_an_entry_forgets_is_detected(self):
        served = CallerResponse(200, SIGNED, b"answer to r0")
        self.record.sent.append(
            SentRequest("r0", "added-3", 0.5, served, FIRST_INCARNATION)
        )
        found = " ".join(self.violations("added-2", CallerResponse(404, {}, b""), 0))
        self.assertIn("became unknown", found)

    def test_route_forgotten_between_overlapping_calls_is_detected_by_times(self):
        # Seed 3 reported a 404 that was sent before the first 200 had arrived, as its
        # caller noted it later.
        unknown = CallerResponse(404, {}, b"")
        served = CallerResponse(200, SIGNED, b"answer to r0")
        first = SentRequest("r0", "added-3", 0.50, served, FIRST_INCARNATION, 0.60)
        for sent_at, is_violation in ((0.59, False), (0.61, True)):
            late = SentRequest(
                "r2", "added-3", sent_at, unknown, FIRST_INCARNATION, 0.65
            )
            for noted in ([first, late], [late, first]):
                with self.subTest(sent_at=sent_at, noted_first=noted[0].request_id):
                    self.record = SoakRecord(sent=list(noted))
                    found = " ".join(self.violations("lookup", unknown, 0))
                    self.assertEqual("became unknown" in found, is_violation)

    def test_restarted_entry_may_not_know_a_route_yet(self):
        served = CallerResponse(200, SIGNED, b"answer to r0")
        unknown = CallerResponse(404, {}, b"")
        self.record.sent += [
            SentRequest("r0", "added-3", 0.5, served, FIRST_INCARNATION),
            SentRequest("r2", "added-3", 0.6, unknown, RESTARTED_INCARNATION),
        ]
        found = " ".join(self.violations("lookup", unknown, 0))
        self.assertNotIn("became unknown", found)
