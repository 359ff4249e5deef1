import unittest

from benchmarks.platform_soak import PlatformSoak, Sent
from standins.platform_fleet import Answer
from standins.platform_runner import OrderRecord, RunRecord

SIGNED = {"response-signature": "s"}
EVENTS = b"".join(b"id: %d\ndata: r1 %d\n\n" % (n, n) for n in range(1, 5))


class SoakRunTests(unittest.TestCase):
    def test_short_run_breaks_no_promise(self):
        result = PlatformSoak(seed=11, seconds=6.0).run()
        self.assertEqual(result.violations, [], result.faults)
        self.assertGreater(len(result.sent), 100)


class SoakCheckTests(unittest.TestCase):
    """Each check finds what it is there for."""

    def setUp(self):
        self.soak = PlatformSoak(seed=1, seconds=0.0)
        self.addCleanup(self.soak._fleet.stop)
        self.soak._fleet.store.start()
        for server in (*self.soak._fleet.plain, *self.soak._fleet.engines):
            server.start()
        self.soak._result.faults.append("0.00 healed")

    def violations(self, route: str, answer: Answer, runs: int) -> list[str]:
        server = self.soak._fleet.plain[0]
        server.runs = [RunRecord("r1", {}, b"", "/")] * runs
        self.soak._result.sent.append(Sent("r1", route, 1.0, answer))
        self.soak._check()
        return self.soak._result.violations

    def test_correct_answer_is_no_violation(self):
        self.assertEqual(self.violations("stream", Answer(200, SIGNED, EVENTS), 1), [])

    def test_work_that_ran_twice_is_found(self):
        answer = Answer(200, SIGNED, b"answer to r1")
        self.assertIn("ran 2 times", self.violations("order", answer, 2)[0])

    def test_refusal_of_work_that_ran_is_found(self):
        self.assertIn("but ran", self.violations("order", Answer(503, {}, b""), 1)[0])

    def test_success_of_no_server_is_found(self):
        answer = Answer(200, SIGNED, b"answer to r1")
        self.assertIn("no server gave", self.violations("lookup", answer, 0)[0])

    def test_answer_of_another_request_is_found(self):
        answer = Answer(200, SIGNED, b"answer to r2")
        found = self.violations("lookup", answer, 1)
        self.assertTrue(any("another request" in item for item in found), found)

    def test_missing_event_is_found(self):
        answer = Answer(200, SIGNED, EVENTS.replace(b"id: 2\n", b""))
        found = self.violations("stream", answer, 1)
        self.assertTrue(any("events" in item for item in found), found)

    def test_overfull_engine_and_falling_token_are_found(self):
        engine = self.soak._fleet.engines[0]
        engine.overfull = 1
        engine.orders = [
            OrderRecord({"FencingToken": 2}),
            OrderRecord({"FencingToken": 1}),
        ]
        found = " ".join(self.violations("lookup", Answer(503, {}, b""), 0))
        self.assertIn("too many", found)
        self.assertIn("token fell", found)
        self.assertIn("served", found)
