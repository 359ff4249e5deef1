"""Weighted rendezvous hashing.

All processes that know the same nodes rank them in the same order for a key. If a node
joins or leaves, only the keys that it gains or loses move.
"""

import heapq
import math
from bisect import bisect
from collections.abc import Mapping

import xxhash

# Keys are hashed into a fixed number of partitions, so the number of cached rankings
# does not grow with the number of adapters.
PARTITIONS = 4_096
# An availability zone holds about a third of the nodes, so 32 ranked nodes leave enough
# candidates after the loss of a zone.
RANKING_DEPTH = 32
# Number of bits of a digest that a float represents exactly.
_MANTISSA_BITS = 53
_LARGEST_BELOW_ONE = math.nextafter(1.0, 0.0)


def score(key_digest: int, node: str, weight: float) -> float:
    """Returns the score of a node for a key; the highest score ranks first.

    Args:
        key_digest: Hash of the key.
        node: Name of the node.
        weight: Share of the keys for the node, relative to other nodes.
    """
    digest = xxhash.xxh3_64_intdigest(node.encode(), seed=key_digest)
    # 0.5 keeps the value above 0, where the logarithm is defined. The largest value is
    # rounded to 1, where the logarithm is 0.
    uniform = ((digest >> (64 - _MANTISSA_BITS)) + 0.5) / (1 << _MANTISSA_BITS)
    uniform = min(uniform, _LARGEST_BELOW_ONE)
    return -weight / math.log(uniform)


def rank_nodes(key: str, nodes: Mapping[str, float]) -> list[str]:
    """Ranks all nodes for a key.

    Args:
        key: Key to place.
        nodes: Weight of each node, above 0.

    Returns:
        Names of the nodes, best first.
    """
    return _node_names(_scored_nodes(xxhash.xxh3_64_intdigest(key.encode()), nodes))


class RankedPartitions:
    """Rankings of many nodes, computed once per partition of the keys and cached.

    A lookup in a cached partition costs one hash and one dictionary access, regardless
    of the number of nodes. A change of nodes updates the cached rankings in place.
    """

    def __init__(
        self,
        nodes: Mapping[str, float],
        *,
        partitions: int = PARTITIONS,
        depth: int = RANKING_DEPTH,
    ) -> None:
        """Initialises the nodes; rankings are computed on demand.

        Args:
            nodes: Weight of each node, above 0.
            partitions: Number of partitions of the keys.
            depth: Maximum number of nodes in a ranking.
        """
        self._nodes = dict(nodes)
        self._all_names = tuple(nodes)
        self._partitions = partitions
        self._depth = depth
        # Scores are not stored, so 4,096 rankings of 6,400 nodes take only 1.6 MB; an
        # update recomputes the few scores that it compares.
        self._rankings: dict[int, tuple[str, ...]] = {}

    def __len__(self) -> int:
        return len(self._nodes)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all nodes, in no particular order."""
        return self._all_names

    def rank_nodes(self, key: str) -> tuple[str, ...]:
        """Returns at most ``depth`` nodes for a key, best first."""
        partition = xxhash.xxh3_64_intdigest(key.encode()) % self._partitions
        ranking = self._rankings.get(partition)
        if ranking is None:
            best = _scored_nodes(partition, self._nodes, depth=self._depth)
            ranking = self._rankings[partition] = tuple(_node_names(best))
        return ranking

    def update(self, nodes: Mapping[str, float]) -> None:
        """Replaces the nodes, at a cost that grows with the number of changed nodes."""
        current = self._nodes
        removed = {name for name in current if nodes.get(name) != current[name]}
        added = [name for name in nodes if current.get(name) != nodes[name]]
        if not removed and not added:
            return
        previous_count = len(self._nodes)
        self._nodes = dict(nodes)
        self._all_names = tuple(nodes)
        for partition, ranking in list(self._rankings.items()):
            is_complete = len(ranking) == previous_count
            kept = [name for name in ranking if name not in removed]
            if len(kept) < self._depth // 2 and not is_complete:
                # Too few nodes are left, and finding the next ones needs a full pass:
                # drop the ranking, so that the next lookup computes it again.
                del self._rankings[partition]
                continue
            for name in added:
                self._insert(partition, kept, name, is_complete=is_complete)
            self._rankings[partition] = tuple(kept[: self._depth])

    def _insert(
        self, partition: int, ranking: list[str], name: str, *, is_complete: bool
    ) -> None:
        def sort_key(node: str) -> tuple[float, str]:
            return -score(partition, node, self._nodes[node]), node

        position = bisect(ranking, sort_key(name), key=sort_key)
        # A position after the last one is uncertain if the ranking is truncated: nodes
        # outside the ranking may come first.
        if position < len(ranking) or is_complete:
            ranking.insert(position, name)


def _scored_nodes(
    key_digest: int, nodes: Mapping[str, float], *, depth: int | None = None
) -> list[tuple[float, str]]:
    # Scores are negated, so that the best node sorts first.
    scored = [
        (-score(key_digest, name, weight), name) for name, weight in nodes.items()
    ]
    return sorted(scored) if depth is None else heapq.nsmallest(depth, scored)


def _node_names(scored: list[tuple[float, str]]) -> list[str]:
    return [name for _, name in scored]
