"""LRU cache of prompt prefixes in blocks, as an engine has it."""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Blocks that were stored in or evicted from the cache.

    Attributes:
        is_stored: Whether the blocks were stored.
        model: Model of the blocks; empty for evictions.
        block_hashes: Hashes of the blocks, in prompt order for stored blocks.
    """

    is_stored: bool
    model: str
    block_hashes: tuple[int, ...]


def hash_prefix_blocks(
    model: str, prompt: str, *, block_tokens: int
) -> tuple[int, ...]:
    """Returns the hash of each full block of a prompt.

    The hash of a block covers the model and the prompt up to the end of the block, so
    that equal hashes mean equal prefixes.

    Args:
        model: Model that runs the prompt.
        prompt: Prompt; each word is one token.
        block_tokens: Tokens per block.
    """
    words = prompt.split()
    digest = hashlib.blake2b(model.encode(), digest_size=8)
    hashes = []
    for end in range(block_tokens, len(words) + 1, block_tokens):
        digest.update(f"\0{' '.join(words[end - block_tokens : end])}".encode())
        # Integers up to 53 bits are exact in every JSON implementation.
        hashes.append(int.from_bytes(digest.digest(), "big") >> 11)
    return tuple(hashes)


class PrefixCache:
    """Holds the hashes of cached blocks and evicts the least recently used ones."""

    def __init__(self, capacity: int) -> None:
        """Creates an empty cache.

        Args:
            capacity: Maximum number of cached blocks.
        """
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def lookup_and_store(
        self, model: str, blocks: Sequence[int]
    ) -> tuple[int, tuple[CacheChange, ...]]:
        """Looks up the blocks of a prompt and stores the missing ones.

        Args:
            model: Model of the blocks.
            blocks: Hashes as returned by ``hash_prefix_blocks``.

        Returns:
            The number of leading blocks that were cached, and the changes.
        """
        hits = next(
            (index for index, block in enumerate(blocks) if block not in self._blocks),
            len(blocks),
        )
        stored = tuple(block for block in blocks if block not in self._blocks)
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        excess = max(0, len(self._blocks) - self._capacity)
        removed = tuple(self._blocks.popitem(last=False)[0] for _ in range(excess))
        changes = (CacheChange(True, model, stored), CacheChange(False, "", removed))
        return hits, tuple(change for change in changes if change.block_hashes)
