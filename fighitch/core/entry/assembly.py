"""Reassembles and verifies a response that arrives in chunks."""

from enum import Enum

import xxhash

from fighitch.core.messages import Chunk, End

_HTTP_OK = 200


class ChunkState(Enum):
    """Position of a chunk relative to the expected sequence number."""

    NEXT = "next"
    DUPLICATE = "duplicate"
    GAP = "gap"


class ResponseAssembly:
    """Verified part of the response of one attempt."""

    def __init__(self, *, keeps_data: bool) -> None:
        """Creates an empty response.

        Args:
            keeps_data: Whether to buffer the body. The body of an error response is
                always buffered.
        """
        self._keeps_data = keeps_data
        self._parts: list[bytes] = []
        self._hash = xxhash.xxh3_64()
        self._chunk_count = 0
        self._byte_length = 0

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next expected chunk."""
        return self._chunk_count

    def accept(self, chunk: Chunk) -> ChunkState:
        """Appends the chunk if it is the next one, and returns its position."""
        if chunk.sequence < self._chunk_count:
            return ChunkState.DUPLICATE
        if chunk.sequence > self._chunk_count:
            return ChunkState.GAP
        self._chunk_count += 1
        self._byte_length += len(chunk.data)
        self._hash.update(chunk.data)
        if self._keeps_data or chunk.status != _HTTP_OK:
            self._parts.append(chunk.data)
        return ChunkState.NEXT

    def is_missing_chunks(self, end: End) -> bool:
        """Returns whether the end states more chunks than were received."""
        return end.chunk_count > self._chunk_count

    def mismatch(self, end: End) -> str:
        """Returns the first difference between end and received data; empty if none."""
        for name, stated, actual in (
            ("chunk count", end.chunk_count, self._chunk_count),
            ("byte length", end.byte_length, self._byte_length),
            ("digest", end.digest, self._hash.intdigest()),
        ):
            if stated != actual:
                return f"{name} is {actual}, the end states {stated}"
        return ""

    def body(self) -> bytes:
        """Returns the buffered body."""
        return b"".join(self._parts)
