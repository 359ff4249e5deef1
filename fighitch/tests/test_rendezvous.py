"""Tests of ``fighitch.core.rendezvous``."""

import unittest

from fighitch.core.rendezvous import RankedPartitions


def nodes(count):
    return {f"node-{number}": 1.0 for number in range(count)}


class CachedRankingTests(unittest.TestCase):
    def test_dropped_ranking_is_computed_the_same_again(self):
        """Guards against a bounded cache that moves adapters to other nodes."""
        bounded = RankedPartitions(nodes(20), max_cached=3)
        unbounded = RankedPartitions(nodes(20))
        keys = [f"adapter-{number}" for number in range(50)]
        for key in keys * 2:
            self.assertEqual(bounded.ranked(key), unbounded.ranked(key))

    def test_ranking_kept_and_dropped_follow_a_changed_node(self):
        """Guards against names of a ranking that was dropped before the change."""
        bounded = RankedPartitions(nodes(20), max_cached=3)
        keys = [f"adapter-{number}" for number in range(10)]
        for key in keys:
            bounded.ranked(key)
        bounded.update(nodes(19))
        fresh = RankedPartitions(nodes(19))
        for key in keys:
            self.assertEqual(bounded.ranked(key), fresh.ranked(key))


if __name__ == "__main__":
    unittest.main()
