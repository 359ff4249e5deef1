"""Tests of ``fighitch.core.rendezvous``."""

import unittest
from collections import Counter
from unittest import mock

from fighitch.core.rendezvous import RankedPartitions, rank_nodes, score

NODES = {f"node-{number}": 16.0 for number in range(50)}
KEYS = [f"model/adapter-{number}@1" for number in range(2_000)]


class RankingTests(unittest.TestCase):
    def test_extreme_digests_have_a_finite_score(self):
        """Guards against a division by zero for a digest of ones only."""
        for digest in (0, (1 << 64) - 1):
            with (
                self.subTest(digest=digest),
                mock.patch("xxhash.xxh3_64_intdigest", return_value=digest),
            ):
                self.assertGreater(score(1, "node", 1.0), 0.0)

    def test_weight_sets_the_share_of_the_keys(self):
        """Guards against large servers that get as few keys as small ones."""
        nodes = {"small": 1.0, "large": 3.0}
        first_ranked = Counter(rank_nodes(key, nodes)[0] for key in KEYS)
        self.assertAlmostEqual(first_ranked["large"] / len(KEYS), 0.75, delta=0.04)

    def test_a_lost_node_moves_only_its_own_keys(self):
        """Guards against reloading most adapters elsewhere when one server leaves."""
        fewer = {name: weight for name, weight in NODES.items() if name != "node-7"}
        for key in KEYS[:200]:
            kept = [name for name in rank_nodes(key, NODES) if name != "node-7"]
            self.assertEqual(kept, rank_nodes(key, fewer))


class PartitionTests(unittest.TestCase):
    def test_updated_rankings_equal_recomputed_ones(self):
        """Guards against entries that rank nodes differently after incremental
        updates."""
        partitions = RankedPartitions(NODES, partitions=64, depth=8)
        for key in KEYS:
            partitions.rank_nodes(key)
        nodes = dict(NODES)
        for number in range(12):
            nodes.pop(f"node-{number}")
            nodes[f"new-{number}"] = 16.0 + number
            partitions.update(nodes)
        fresh = RankedPartitions(nodes, partitions=64, depth=8)
        for key in KEYS:
            updated = partitions.rank_nodes(key)
            self.assertGreaterEqual(len(updated), 4)
            self.assertEqual(updated, fresh.rank_nodes(key)[: len(updated)])

    def test_cached_partition_is_not_ranked_again(self):
        """Guards against a lookup whose cost grows with the number of nodes."""
        partitions = RankedPartitions(NODES)
        self.assertIs(partitions.rank_nodes(KEYS[0]), partitions.rank_nodes(KEYS[0]))

    def test_few_nodes_are_all_ranked_after_an_update(self):
        """Guards against a small fleet in which some servers are never ranked."""
        partitions = RankedPartitions({"a": 1.0})
        partitions.rank_nodes("key")
        partitions.update({"a": 1.0, "b": 1.0, "c": 1.0})
        self.assertEqual(set(partitions.rank_nodes("key")), {"a", "b", "c"})
