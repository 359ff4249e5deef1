"""Tests of ``fighitch.core.gateway.server_pauses``."""

import math
import unittest

from fighitch.core.gateway.model import Incarnation
from fighitch.core.gateway.server_pauses import MAX_PAUSE, ServerPauses, bounded_pause

FIRST = Incarnation("a", 1)
RESTARTED = Incarnation("a", 2)


class BoundedPauseTests(unittest.TestCase):
    def test_values_are_bounded(self):
        for asked, kept in (
            (1.5, 1.5),
            (0.0, 0.0),
            (-3.0, 0.0),
            (math.nan, 0.0),
            (math.inf, MAX_PAUSE),
            (1e12, MAX_PAUSE),
        ):
            self.assertEqual(bounded_pause(asked), kept, asked)


class ServerPausesTests(unittest.TestCase):
    def setUp(self):
        self.pauses = ServerPauses()

    def test_pause_ends_by_itself(self):
        self.assertTrue(self.pauses.record(FIRST, 2.0, 10.0))
        self.assertEqual(self.pauses.time_left(FIRST, 11.5), 0.5)
        self.assertEqual(self.pauses.time_left(FIRST, 12.0), 0.0)
        self.pauses.drop_ended(12.0)
        self.assertFalse(self.pauses.is_active)

    def test_shorter_pause_does_not_end_a_longer_one(self):
        self.pauses.record(FIRST, 5.0, 10.0)
        self.assertFalse(self.pauses.record(FIRST, 1.0, 11.0))
        self.assertEqual(self.pauses.time_left(FIRST, 12.0), 3.0)

    def test_pauses_do_not_add_up(self):
        self.pauses.record(FIRST, 2.0, 10.0)
        self.pauses.record(FIRST, 2.0, 10.5)
        self.assertEqual(self.pauses.time_left(FIRST, 12.0), 0.5)

    def test_pause_belongs_to_one_incarnation(self):
        self.pauses.record(FIRST, 5.0, 10.0)
        self.assertEqual(self.pauses.time_left(RESTARTED, 10.0), 0.0)

    def test_pause_of_no_length_is_none(self):
        self.assertFalse(self.pauses.record(FIRST, 0.0, 10.0))
        self.assertFalse(self.pauses.is_active)


if __name__ == "__main__":
    unittest.main()
