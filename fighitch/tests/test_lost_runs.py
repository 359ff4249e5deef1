"""Tests of ``fighitch.core.gateway.lost_runs``."""

import unittest

from fighitch.core.gateway.lost_runs import LostRuns
from fighitch.core.gateway.model import Incarnation

ENGINE = Incarnation("e1", 1)


class LostRunsTests(unittest.TestCase):
    def setUp(self):
        self.lost_runs = LostRuns()

    def test_lost_requests_count_once_the_engine_is_down(self):
        self.assertIsNone(self.lost_runs.record_lost(ENGINE, ("a", "b"), 1.0))
        self.assertIsNone(self.lost_runs.record_lost(ENGINE, ("a", "c"), 1.1))
        found = self.lost_runs.record_down(ENGINE, 1.5)
        self.assertEqual((found.engine, found.at), (ENGINE, 1.0))
        self.assertEqual(found.parts, {"a", "b", "c"})

    def test_request_that_is_lost_after_the_engine_was_found_down_counts(self):
        # The report of the agent can overtake the end of the connection.
        self.lost_runs.record_down(ENGINE, 1.0)
        found = self.lost_runs.record_lost(ENGINE, ("a",), 1.1)
        self.assertEqual(found.parts, {"a"})

    def test_request_lost_at_a_sound_engine_is_no_crash(self):
        # A faulty engine breaks off single responses and goes on.
        self.lost_runs.record_lost(ENGINE, ("a",), 1.0)
        self.assertIsNone(self.lost_runs.record_down(ENGINE, 4.0))

    def test_other_incarnation_is_another_engine(self):
        self.lost_runs.record_lost(ENGINE, ("a",), 1.0)
        self.assertIsNone(self.lost_runs.record_down(Incarnation("e1", 2), 1.1))

    def test_engine_that_is_down_without_lost_requests_is_no_crash(self):
        self.assertIsNone(self.lost_runs.record_down(ENGINE, 1.0))


if __name__ == "__main__":
    unittest.main()
