"""Tests for ``standins.weight_store_model``."""

import unittest

from standins.weight_store_model import (
    Admission,
    WeightStoreModel,
    WeightStoreParameters,
)


def build_model(**parameters):
    defaults = {"loads_per_second": 99, "full_speed_loads_per_second": 99}
    return WeightStoreModel(WeightStoreParameters(**{**defaults, **parameters}))


class DurationTests(unittest.TestCase):
    def test_loads_beyond_the_transit_limit_slow_down_all_loads(self):
        """Guards against benchmarks in which excess concurrent loads are free."""
        store = build_model(max_in_transit=2)
        for key in range(4):
            store.start(key, 0.0)
        self.assertEqual(store.transit_violations, 2)
        self.assertEqual(store.advance(0.49), [])
        self.assertAlmostEqual(store.next_event_at(), 0.5)
        self.assertEqual(store.advance(0.51), [0, 1, 2, 3])

    def test_later_load_shares_the_bandwidth_only_from_its_start(self):
        store = build_model(max_in_transit=1)
        store.start("first", 0.0)
        store.advance(0.125)
        store.start("second", 0.125)
        self.assertAlmostEqual(store.next_event_at(), 0.375)
        store.advance(0.376)
        self.assertAlmostEqual(store.next_event_at(), 0.5)


class RateTests(unittest.TestCase):
    def test_rate_has_a_full_speed_limit_and_a_maximum(self):
        store = build_model(loads_per_second=3, full_speed_loads_per_second=1)
        admissions = [store.start(key, 0.0) for key in range(4)]
        self.assertEqual(
            admissions,
            [
                Admission.FULL_SPEED,
                Admission.REDUCED_SPEED,
                Admission.REDUCED_SPEED,
                Admission.REFUSED,
            ],
        )
        self.assertEqual(store.rate_violations, 1)
        self.assertEqual(store.advance(0.3), [0])
        self.assertAlmostEqual(store.next_event_at(), 0.5)
        self.assertAlmostEqual(store.retry_after(0.3), 0.7)
        self.assertEqual(store.start(5, 1.0), Admission.FULL_SPEED)
