"""Verification of an answer that arrives in chunks."""

from enum import Enum

import xxhash

from fighitch.core.messages import Chunk, End

_OK = 200


class ChunkState(Enum):
    """What a chunk is to the answer so far."""

    NEXT = "next"
    DUPLICATE = "duplicate"
    GAP = "gap"


class ResponseAssembly:
    """The verified part of one attempt's answer."""

    def __init__(self, *, keeps_data: bool) -> None:
        """Starts empty.

        Args:
            keeps_data: Whether the whole body is wanted at the end; an error's body
                always is.
        """
        self._keeps_data = keeps_data
        self._parts: list[bytes] = []
        self._hash = xxhash.xxh3_64()
        self._count = 0
        self._length = 0

    @property
    def next_sequence(self) -> int:
        """Sequence number of the chunk that is missing first."""
        return self._count

    def accept(self, chunk: Chunk) -> ChunkState:
        """Adds the chunk if it is the next one."""
        if chunk.sequence < self._count:
            return ChunkState.DUPLICATE
        if chunk.sequence > self._count:
            return ChunkState.GAP
        self._count += 1
        self._length += len(chunk.data)
        self._hash.update(chunk.data)
        if self._keeps_data or chunk.status != _OK:
            self._parts.append(chunk.data)
        return ChunkState.NEXT

    def is_missing_chunks(self, end: End) -> bool:
        """Returns whether the end counts more chunks than arrived."""
        return end.chunk_count > self._count

    def mismatch(self, end: End) -> str:
        """Returns how the end differs from what arrived; empty if they agree."""
        for name, stated, actual in (
            ("chunk count", end.chunk_count, self._count),
            ("byte length", end.byte_length, self._length),
            ("digest", end.digest, self._hash.intdigest()),
        ):
            if stated != actual:
                return f"{name} is {actual}, the end states {stated}"
        return ""

    def body(self) -> bytes:
        """Returns the data so far, if it is kept."""
        return b"".join(self._parts)
