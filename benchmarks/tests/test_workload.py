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


def generate(name, seed=1):
    return generate_arrivals(ASSOCIATION, SCENARIOS[name], PHASES, seed)


class ArrivalTests(unittest.TestCase):
    def test_same_seed_generates_the_same_requests(self):
        """Guards against a comparison of arms on different requests."""
        self.assertEqual(generate("calm"), generate("calm"))
        self.assertNotEqual(generate("calm"), generate("calm", seed=2))

    def test_flood_rate_is_a_multiple_of_the_capacity(self):
        flood = [
            item
            for item in generate("batch-flood-10x")
            if item.rank == BATCH and PHASES.event_at <= item.at < PHASES.event_until
        ]
        expected = 10 * capacity(ASSOCIATION, BATCH) * 10.0
        self.assertAlmostEqual(len(flood), expected, delta=0.1 * expected)

    def test_other_ranks_keep_their_rate_during_a_flood(self):
        urgent_count = sum(item.rank == URGENT for item in generate("batch-flood-10x"))
        expected = PROFILES[URGENT].calm_rate * PHASES.end
        self.assertAlmostEqual(urgent_count, expected, delta=0.2 * expected)

    def test_alternating_floods_do_not_overlap(self):
        generated = generate("both-in-turn")
        first = Counter(item.rank for item in generated if 10.0 <= item.at < 15.0)
        second = Counter(item.rank for item in generated if 15.0 <= item.at < 20.0)
        self.assertGreater(first[BATCH], 10 * second[BATCH])
        self.assertGreater(second[URGENT], 10 * first[URGENT])

    def test_popularity_shift_changes_the_popular_adapters(self):
        generated = [item for item in generate("popularity-shift") if item.adapter]
        before = Counter(item.adapter for item in generated if item.at < 10.0)
        after = Counter(item.adapter for item in generated if item.at >= 10.0)
        self.assertNotEqual(before.most_common(1)[0][0], after.most_common(1)[0][0])
