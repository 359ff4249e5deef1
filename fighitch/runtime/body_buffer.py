"""Collects the body of a request in parts."""

# Parts of similar sizes can reuse each other's memory; one buffer that grows with the
# body would leave gaps that the allocator can't reuse.
_PART_BYTES = 32_768


class BodyBuffer:
    """Parts of a body; small ones are joined as they arrive."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Appends bytes."""
        self._size += len(data)
        if not self._tail and len(data) >= _PART_BYTES:
            self._parts.append(data)
            return
        self._tail += data
        if len(self._tail) >= _PART_BYTES:
            self._parts.append(bytes(self._tail))
            self._tail = bytearray()

    def take(self) -> bytes:
        """Returns the whole body and empties the buffer."""
        body = b"".join((*self._parts, self._tail))
        self.clear()
        return body

    def clear(self) -> None:
        """Drops all bytes."""
        self._parts = []
        self._tail = bytearray()
        self._size = 0
