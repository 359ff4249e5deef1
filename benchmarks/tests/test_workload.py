"""Tests of ``benchmarks.workload``."""

import unittest
from collections import Counter

from benchmarks.workload import (
    ASSOCIATION,
    BATCH,
    PROFILES,
    SCENARIOS,
    URGENT,
    Phases,
    capacity,
    generate_arrivals,
)

PHASES = Phases(measured_from=0.0, event_at=10.0, event_until=20.0, end=30.0)


def arrive(name, seed=1):
    return generate_arrivals(ASSOCIATION, SCENARIOS[name], PHASES, seed)


class ArrivalTests(unittest.TestCase):
    def test_same_seed_gives_the_same_requests(self):
        """Guards against arms that are measured on different requests."""
        self.assertEqual(arrive("calm"), arrive("calm"))
        self.assertNotEqual(arrive("calm"), arrive("calm", seed=2))

    def test_flood_is_a_multiple_of_the_capacity(self):
        flood = [
            item
            for item in arrive("batch-flood-10x")
            if item.rank == BATCH and PHASES.event_at <= item.at < PHASES.event_until
        ]
        expected = 10 * capacity(ASSOCIATION, BATCH) * 10.0
        self.assertAlmostEqual(len(flood), expected, delta=0.1 * expected)

    def test_other_ranks_keep_their_rate_in_a_flood(self):
        calm = sum(item.rank == URGENT for item in arrive("batch-flood-10x"))
        expected = PROFILES[URGENT].calm_rate * PHASES.end
        self.assertAlmostEqual(calm, expected, delta=0.2 * expected)

    def test_floods_take_turns(self):
        found = arrive("both-in-turn")
        first = Counter(item.rank for item in found if 10.0 <= item.at < 15.0)
        second = Counter(item.rank for item in found if 15.0 <= item.at < 20.0)
        self.assertGreater(first[BATCH], 10 * second[BATCH])
        self.assertGreater(second[URGENT], 10 * first[URGENT])

    def test_popularity_shift_changes_the_popular_adapters(self):
        found = [item for item in arrive("popularity-shift") if item.adapter]
        before = Counter(item.adapter for item in found if item.at < 10.0)
        after = Counter(item.adapter for item in found if item.at >= 10.0)
        self.assertNotEqual(before.most_common(1)[0][0], after.most_common(1)[0][0])
