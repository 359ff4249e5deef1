"""Weighted rendezvous hashing.

Every process that knows the same nodes ranks them in the same order for a key, and a
node that joins or leaves moves only the keys that it gains or had.
"""

import heapq
import math
from bisect import bisect
from collections.abc import Mapping

import xxhash

# Keys are spread over a fixed number of partitions, so the number of cached rankings
# does not grow with the number of adapters.
PARTITIONS = 4_096
# A zone holds about a third of the nodes; 32 ranked nodes leave enough after its loss.
RANKING_DEPTH = 32
_MANTISSA_BITS = 53


def score(key_digest: int, node: str, weight: float) -> float:
    """Returns the score of a node for a key; the highest score ranks first.

    Args:
        key_digest: Hash of the key.
        node: Node name.
        weight: Share of the keys that the node gets, relative to other nodes.
    """
    digest = xxhash.xxh3_64_intdigest(node.encode(), seed=key_digest)
    uniform = ((digest >> (64 - _MANTISSA_BITS)) + 0.5) / (1 << _MANTISSA_BITS)
    return -weight / math.log(uniform)


def ranked(key: str, nodes: Mapping[str, float]) -> list[str]:
    """Ranks all nodes for a key.

    Args:
        key: What is placed.
        nodes: Weight of each node, above 0.

    Returns:
        Node names, the best first.
    """
    return _names(_scored(xxhash.xxh3_64_intdigest(key.encode()), nodes))


class RankedPartitions:
    """Rankings of many nodes, computed once per partition of the keys.

    A lookup of a known partition costs one hash and one dictionary access whatever the
    number of nodes; a change of one node updates the known partitions in place.
    """

    def __init__(
        self,
        nodes: Mapping[str, float],
        *,
        partitions: int = PARTITIONS,
        depth: int = RANKING_DEPTH,
    ) -> None:
        """Takes the nodes.

        Args:
            nodes: Weight of each node, above 0.
            partitions: Number of partitions of the keys.
            depth: Most nodes in one ranking.
        """
        self._nodes = dict(nodes)
        self._all_names = tuple(nodes)
        self._partitions = partitions
        self._depth = depth
        # Scores are not kept, so that 4,096 rankings of 6,400 nodes need 1.6 MB; an
        # update computes the few scores that it compares.
        self._rankings: dict[int, tuple[str, ...]] = {}

    def __len__(self) -> int:
        return len(self._nodes)

    @property
    def names(self) -> tuple[str, ...]:
        """All nodes, in no particular order."""
        return self._all_names

    def ranked(self, key: str) -> tuple[str, ...]:
        """Returns the best nodes for a key, at most ``depth`` of them."""
        partition = xxhash.xxh3_64_intdigest(key.encode()) % self._partitions
        ranking = self._rankings.get(partition)
        if ranking is None:
            best = _scored(partition, self._nodes, depth=self._depth)
            ranking = self._rankings[partition] = tuple(_names(best))
        return ranking

    def update(self, nodes: Mapping[str, float]) -> None:
        """Replaces the nodes; the cost grows with the number of changed nodes."""
        known = self._nodes
        removed = {name for name in known if nodes.get(name) != known[name]}
        added = [name for name in nodes if known.get(name) != nodes[name]]
        if not removed and not added:
            return
        previous = len(self._nodes)
        self._nodes = dict(nodes)
        self._all_names = tuple(nodes)
        for partition, ranking in list(self._rankings.items()):
            is_complete = len(ranking) == previous
            kept = [name for name in ranking if name not in removed]
            if len(kept) < self._depth // 2 and not is_complete:
                # The nodes that move up into the ranking need a full pass.
                del self._rankings[partition]
                continue
            for name in added:
                self._insert(partition, kept, name, is_complete=is_complete)
            self._rankings[partition] = tuple(kept[: self._depth])

    def _insert(
        self, partition: int, ranking: list[str], name: str, *, is_complete: bool
    ) -> None:
        def order(node: str) -> tuple[float, str]:
            return -score(partition, node, self._nodes[node]), node

        place = bisect(ranking, order(name), key=order)
        # Unknown nodes may rank between the last one and a lower one.
        if place < len(ranking) or is_complete:
            ranking.insert(place, name)


def _scored(
    key_digest: int, nodes: Mapping[str, float], *, depth: int | None = None
) -> list[tuple[float, str]]:
    scored = [
        (-score(key_digest, name, weight), name) for name, weight in nodes.items()
    ]
    return sorted(scored) if depth is None else heapq.nsmallest(depth, scored)


def _names(scored: list[tuple[float, str]]) -> list[str]:
    return [name for _, name in scored]
