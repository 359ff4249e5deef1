"""Tests of ``benchmarks.platform_soak_checks``: each finds what it is there for."""

import unittest
from unittest import mock

from benchmarks.platform_soak_checks import Sent, SoakRecord, check
from standins.platform_backends import OrderRecord, RunRecord
from standins.platform_fleet import CallerResponse, PlatformFleet

SIGNED = {"response-signature": "s"}
EVENTS = b"".join(b"id: %d\ndata: r1 %d\n\n" % (n, n) for n in range(1, 5))
LOST = CallerResponse(0, {}, b"", complete=False)
FIRST = (0, 1)
RESTARTED = (0, 2)


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
        self.record.sent.append(Sent("r1", route, 1.0, answer, FIRST))
        check(self.record, self.fleet)
        return self.record.violations

    def test_correct_answer_is_no_violation(self):
        self.assertEqual(
            self.violations("stream", CallerResponse(200, SIGNED, EVENTS), 1), []
        )

    def test_work_that_ran_twice_is_found(self):
        answer = CallerResponse(200, SIGNED, b"answer to r1")
        self.assertIn("ran 2 times", self.violations("order", answer, 2)[0])

    def test_refusal_of_work_that_ran_is_found(self):
        self.assertIn(
            "but ran", self.violations("order", CallerResponse(503, {}, b""), 1)[0]
        )

    def test_success_of_no_server_is_found(self):
        answer = CallerResponse(200, SIGNED, b"answer to r1")
        self.assertIn("no server gave", self.violations("lookup", answer, 0)[0])

    def test_answer_of_another_request_is_found(self):
        answer = CallerResponse(200, SIGNED, b"answer to r2")
        found = self.violations("lookup", answer, 1)
        self.assertTrue(any("another request" in item for item in found), found)

    def test_missing_event_is_found(self):
        answer = CallerResponse(200, SIGNED, EVENTS.replace(b"id: 2\n", b""))
        found = self.violations("stream", answer, 1)
        self.assertTrue(any("events" in item for item in found), found)

    def test_overfull_engine_and_falling_token_are_found(self):
        engine = self.fleet.engines[0]
        engine.overcommit = 1
        engine.orders = [
            OrderRecord({"FencingToken": 2}),
            OrderRecord({"FencingToken": 1}),
        ]
        found = " ".join(self.violations("lookup", CallerResponse(503, {}, b""), 0))
        self.assertIn("too many", found)
        self.assertIn("token fell", found)
        self.assertIn("served", found)

    def test_lost_answer_is_found_in_a_planned_run_only(self):
        self.violations("order", LOST, 1)
        self.assertNotIn("answer was lost", " ".join(self.record.violations))
        self.record.planned = True
        self.assertIn("answer was lost", " ".join(self.violations("order", LOST, 1)))

    def test_overdue_answer_is_found_in_a_planned_run(self):
        self.record.planned = True
        overdue = CallerResponse(0, {}, b"", complete=False, timed_out=True)
        found = " ".join(self.violations("order", overdue, 1))
        self.assertIn("until its caller gave up", found)

    def test_overdue_answer_is_inconclusive_if_the_soak_itself_stood_still(self):
        # Seed 430 beside a bench: callers gave up while their own process stood still.
        self.record.planned = True
        self.fleet.links["stalled"] = mock.Mock(longest_stall=5.0)
        overdue = CallerResponse(0, {}, b"", complete=False, timed_out=True)
        found = " ".join(self.violations("order", overdue, 1))
        self.assertNotIn("gave up", found)
        self.assertIn("gave up", " ".join(self.record.inconclusive))

    def test_planned_run_may_refuse_a_request_by_closing_its_connection(self):
        self.record.planned = True
        found = " ".join(self.violations("order", LOST, 0))
        self.assertNotIn("answer was lost", found)

    def test_route_that_an_entry_forgets_is_found(self):
        served = CallerResponse(200, SIGNED, b"answer to r0")
        self.record.sent.append(Sent("r0", "added-3", 0.5, served, FIRST))
        found = " ".join(self.violations("added-2", CallerResponse(404, {}, b""), 0))
        self.assertIn("was known and is not", found)

    def test_restarted_entry_may_not_know_a_route_yet(self):
        served = CallerResponse(200, SIGNED, b"answer to r0")
        unknown = CallerResponse(404, {}, b"")
        self.record.sent += [
            Sent("r0", "added-3", 0.5, served, FIRST),
            Sent("r2", "added-3", 0.6, unknown, RESTARTED),
        ]
        found = " ".join(self.violations("lookup", unknown, 0))
        self.assertNotIn("was known and is not", found)
