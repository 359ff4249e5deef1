"""Header fields of an HTTP message, kept in bounded memory beside their text."""

from collections.abc import Iterable, Iterator

# Fields beyond this number are packed. Ordinary requests have fewer.
_MAX_PAIRS = 32
# Memory of a field that is not packed, with its entry in the index, beside its text.
_PAIR_BYTES = 400
# Neither a name nor a value contains a line feed, and no name contains a colon: the
# parser rejects such messages.
_SEPARATOR = b":"
_LINE_END = b"\n"


class HeaderFields:
    """Header fields in the order of their arrival.

    A caller may send thousands of short fields within the limit of a head, which take
    up to 30 times the memory of their text as pairs of strings. All but the last few
    are therefore packed into one string.
    """

    __slots__ = ("_index", "_lowercase", "_packed", "_pairs", "_pairs_text")

    def __init__(self, fields: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """Copies the names and values of fields."""
        # Begins with a line end, so that each name follows one.
        self._packed = bytearray(_LINE_END)
        # Copy of the packed fields in lowercase; empty if it is not up to date.
        self._lowercase = b""
        self._pairs: list[tuple[bytes, bytes]] = []
        self._pairs_text = 0
        self._index: dict[bytes, list[bytes]] | None = None
        for name, value in fields:
            self.append(name, value)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        for line in bytes(self._packed).split(_LINE_END)[1:-1]:
            name, _, value = line.partition(_SEPARATOR)
            yield name, value
        yield from self._pairs

    @property
    def size(self) -> int:
        """Bytes of memory that the fields take once they have been looked up."""
        pairs = self._pairs_text + len(self._pairs) * _PAIR_BYTES
        # A bytearray has room to grow; its copy in lowercase has none.
        return self._packed.__alloc__() + len(self._packed) + pairs

    def append(self, name: bytes, value: bytes) -> None:
        """Appends a field."""
        self._pairs.append((name, value))
        self._pairs_text += len(name) + len(value)
        self._index = None
        if len(self._pairs) > _MAX_PAIRS:
            self._pack()

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a field, given its name in lowercase."""
        if self._index is None:
            self._index = {}
            for key, value in self._pairs:
                self._index.setdefault(key.lower(), []).append(value)
        found = self._index.get(name, [])
        return [*self._find_packed(name), *found] if len(self._packed) > 1 else found

    def _pack(self) -> None:
        lines = [name + _SEPARATOR + value for name, value in self._pairs]
        self._packed += _LINE_END.join((*lines, b""))
        self._lowercase = b""
        self._pairs = []
        self._pairs_text = 0

    def _find_packed(self, name: bytes) -> Iterator[bytes]:
        if not self._lowercase:
            self._lowercase = bytes(self._packed).lower()
        key = _LINE_END + name + _SEPARATOR
        end = self._lowercase.find(key)
        while end >= 0:
            start = end + len(key)
            end = self._packed.find(_LINE_END, start)
            yield bytes(self._packed[start:end])
            end = self._lowercase.find(key, end)
