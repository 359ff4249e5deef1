"""Collects the body of a request."""

import mmap

# From this size, a body has pages of its own, which return to the system as soon as it
# is dropped. In blocks of the allocator, 60 bodies of 2 MB took twice their size.
_MAPPED_BYTES = 65_536


class BodyBuffer:
    """A body that grows as it arrives."""

    def __init__(self) -> None:
        self._small = bytearray()
        self._pages: mmap.mmap | None = None
        self._size = 0
        self._capacity = 0

    def __len__(self) -> int:
        return self._size

    def expect(self, size: int) -> None:
        """Sets the largest size that the body may have, in bytes."""
        self._capacity = size

    def append(self, data: bytes) -> None:
        """Appends bytes."""
        start, self._size = self._size, self._size + len(data)
        if self._pages is None and _MAPPED_BYTES <= self._size <= self._capacity:
            # Only the pages that are written take memory.
            self._pages = mmap.mmap(-1, self._capacity, mmap.MAP_PRIVATE)
            self._pages[:start] = self._small
            self._small = bytearray()
        if self._pages is None:
            self._small += data
        else:
            self._pages[start : self._size] = data

    def take(self) -> bytes | memoryview:
        """Returns the whole body, a large one without a copy; empties the buffer."""
        body: bytes | memoryview
        if self._pages is None:
            body = bytes(self._small)
        else:
            body = memoryview(self._pages)[: self._size].toreadonly()
        self.clear()
        return body

    def clear(self) -> None:
        """Drops all bytes."""
        self._small = bytearray()
        self._pages = None
        self._size = self._capacity = 0
