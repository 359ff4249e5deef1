"""The engine's cache of prompt prefixes, in blocks, least recently used first out."""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Blocks that entered or left the cache.

    Attributes:
        is_stored: Whether they entered.
        model: Model that the blocks belong to; empty if they left.
        block_hashes: Hashes of the blocks, in the order of the prompt.
    """

    is_stored: bool
    model: str
    block_hashes: tuple[int, ...]


def prefix_blocks(model: str, prompt: str, *, block_tokens: int) -> tuple[int, ...]:
    """Returns the hash of each full block of a prompt.

    A block's hash covers the model and everything before the block, so that equal
    hashes mean equal prefixes.

    Args:
        model: Model that the prompt is for.
        prompt: Prompt; each word is one token.
        block_tokens: Tokens in a block.
    """
    words = prompt.split()
    digest = hashlib.blake2b(model.encode(), digest_size=8)
    hashes = []
    for end in range(block_tokens, len(words) + 1, block_tokens):
        digest.update(f"\0{' '.join(words[end - block_tokens : end])}".encode())
        # 53 bits are exact in every JSON implementation.
        hashes.append(int.from_bytes(digest.digest(), "big") >> 11)
    return tuple(hashes)


class PrefixCache:
    """Hashes of cached blocks."""

    def __init__(self, capacity: int) -> None:
        """Takes the size.

        Args:
            capacity: Most blocks that are kept.
        """
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def use(
        self, model: str, blocks: Sequence[int]
    ) -> tuple[int, tuple[CacheChange, ...]]:
        """Looks a prompt's blocks up and stores those that are missing.

        Args:
            model: Model that the blocks belong to.
            blocks: Result of ``prefix_blocks``.

        Returns:
            The number of leading blocks that were cached, and the changes.
        """
        hits = next(
            (at for at, block in enumerate(blocks) if block not in self._blocks),
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
