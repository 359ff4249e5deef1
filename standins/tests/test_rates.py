"""Tests for ``standins.rates``."""

import unittest

from standins.rates import LaggedValue, SlidingWindowLimiter


class SlidingWindowTests(unittest.TestCase):
    def test_no_window_contains_more_events_than_the_rate(self):
        """Guards against a burst across the boundary of two fixed windows."""
        window = SlidingWindowLimiter(2)
        waits = [window.try_acquire(now) for now in (0.0, 0.9, 0.95, 1.0, 1.8)]
        self.assertEqual(
            [wait > 0 for wait in waits], [False, False, True, False, True]
        )
        self.assertAlmostEqual(window.retry_after(1.8), 0.1)

    def test_rate_below_one_event_per_window(self):
        window = SlidingWindowLimiter(0.5)
        self.assertEqual([window.try_acquire(now) > 0 for now in (0, 1, 2)], [0, 1, 0])


class LaggingTests(unittest.TestCase):
    def test_read_returns_the_value_of_the_lagged_time(self):
        lagging = LaggedValue("a", 0.0)
        lagging.record("b", 10.0)
        lagging.record("c", 100.0)
        seen = [lagging.read(100.0, lag) for lag in (0, 1, 60)]
        self.assertEqual(seen, ["c", "b", "b"])
