"""Weighted rendezvous hashing.

Every process that knows the same nodes ranks them in the same order for a key, and a
node that joins or leaves moves only the keys that it gains or had.
"""

import heapq
import math
from bisect import insort
from collections.abc import Mapping

import xxhash

# Keys are spread over a fixed number of partitions, so the number of cached rankings
# does not grow with the number of adapters.
PARTITIONS = 4_096
# A zone holds about a third of the nodes; 64 ranked nodes leave enough after its loss.
RANKING_DEPTH = 64
# A ranking takes about 6 KB and is computed anew in under 0.5 ms at 6,400 nodes.
MAX_CACHED_RANKINGS = 512
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
        max_cached: int = MAX_CACHED_RANKINGS,
    ) -> None:
        """Takes the nodes.

        Args:
            nodes: Weight of each node, above 0.
            partitions: Number of partitions of the keys.
            depth: Most nodes in one ranking.
            max_cached: Most rankings that are kept; the oldest is dropped.
        """
        self._nodes = dict(nodes)
        self._all_names = tuple(nodes)
        self._partitions = partitions
        self._depth = depth
        self._max_cached = max_cached
        self._scored: dict[int, list[tuple[float, str]]] = {}
        self._names: dict[int, tuple[str, ...]] = {}

    def __len__(self) -> int:
        return len(self._nodes)

    @property
    def names(self) -> tuple[str, ...]:
        """All nodes, in no particular order."""
        return self._all_names

    def ranked(self, key: str) -> tuple[str, ...]:
        """Returns the best nodes for a key, at most ``depth`` of them."""
        partition = xxhash.xxh3_64_intdigest(key.encode()) % self._partitions
        names = self._names.get(partition)
        if names is None:
            scored = self._scored.get(partition)
            if scored is None:
                scored = _scored(partition, self._nodes, depth=self._depth)
                self._keep(partition, scored)
            names = self._names[partition] = tuple(_names(scored))
        return names

    def update(self, nodes: Mapping[str, float]) -> None:
        """Replaces the nodes; the cost grows with the number of changed nodes."""
        removed = {
            name for name, weight in self._nodes.items() if nodes.get(name) != weight
        }
        added = {
            name: weight
            for name, weight in nodes.items()
            if self._nodes.get(name) != weight
        }
        if not removed and not added:
            return
        self._nodes = dict(nodes)
        self._all_names = tuple(nodes)
        self._names.clear()
        for partition in list(self._scored):
            self._update_partition(partition, removed, added)

    def _keep(self, partition: int, scored: list[tuple[float, str]]) -> None:
        if len(self._scored) >= self._max_cached:
            oldest = next(iter(self._scored))
            del self._scored[oldest]
            self._names.pop(oldest, None)
        self._scored[partition] = scored

    def _update_partition(
        self, partition: int, removed: set[str], added: Mapping[str, float]
    ) -> None:
        scored = self._scored[partition]
        is_complete = len(scored) < self._depth
        kept = [item for item in scored if item[1] not in removed]
        if len(kept) < len(scored) and not is_complete:
            # The node that moves up into the ranking is not known without a full pass.
            del self._scored[partition]
            return
        for name, weight in added.items():
            insort(kept, (-score(partition, name, weight), name))
        self._scored[partition] = kept[: self._depth]


def _scored(
    key_digest: int, nodes: Mapping[str, float], *, depth: int | None = None
) -> list[tuple[float, str]]:
    scored = [
        (-score(key_digest, name, weight), name) for name, weight in nodes.items()
    ]
    return sorted(scored) if depth is None else heapq.nsmallest(depth, scored)


def _names(scored: list[tuple[float, str]]) -> list[str]:
    return [name for _, name in scored]
