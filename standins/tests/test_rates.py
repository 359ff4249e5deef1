"""Tests of ``standins.rates``."""

import unittest

from standins.rates import Lagging, SlidingWindow


class SlidingWindowTests(unittest.TestCase):
    def test_no_window_holds_more_than_the_rate(self):
        """Guards against a burst across the border of two fixed windows."""
        window = SlidingWindow(2)
        waits = [window.take(now) for now in (0.0, 0.9, 0.95, 1.0, 1.8)]
        self.assertEqual(
            [wait > 0 for wait in waits], [False, False, True, False, True]
        )
        self.assertAlmostEqual(window.wait(1.8), 0.1)

    def test_rate_below_one_per_window(self):
        window = SlidingWindow(0.5)
        self.assertEqual([window.take(now) > 0 for now in (0, 1, 2)], [0, 1, 0])


class LaggingTests(unittest.TestCase):
    def test_reader_sees_the_value_of_that_time(self):
        lagging = Lagging("a", 0.0)
        lagging.record("b", 10.0)
        lagging.record("c", 100.0)
        seen = [lagging.read(100.0, lag) for lag in (0, 1, 60)]
        self.assertEqual(seen, ["c", "b", "b"])
