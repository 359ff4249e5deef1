"""Tests of ``fighitch.core.demand``."""

import unittest

from fighitch.core.demand import DemandEstimator


class DemandTests(unittest.TestCase):
    def test_steady_stream_gives_its_rate(self):
        demand = DemandEstimator(10.0)
        for step in range(2_000):
            demand.record("a", step * 0.1)
        self.assertAlmostEqual(demand.rate("a", 200.0), 10.0, delta=0.5)

    def test_rate_halves_after_the_half_life(self):
        """Guards against adapters that keep a high rate after a shift in popularity."""
        demand = DemandEstimator(10.0)
        demand.record("a", 0.0, weight=4.0)
        self.assertAlmostEqual(demand.rate("a", 10.0), demand.rate("a", 0.0) / 2)

    def test_number_of_keys_is_bounded_and_the_most_used_are_kept(self):
        """Guards against memory that grows with every adapter ever used."""
        demand = DemandEstimator(10.0, max_keys=100)
        demand.record("hot", 0.0, weight=50.0)
        for index in range(1_000):
            demand.record(index, 1.0)
        self.assertLessEqual(len(demand), 100)
        self.assertGreater(demand.rate("hot", 1.0), 0.0)
