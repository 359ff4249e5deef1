"""Framing on a byte stream: a 4-byte big-endian length, then the message."""

import struct
from collections.abc import Iterator

from fighitch.core.messages import MAX_MESSAGE_BYTES
from fighitch.wire.codec import CodecError

_LENGTH_PREFIX = struct.Struct("!I")


def frame(data: bytes) -> bytes:
    """Prefixes a message with its length."""
    return _LENGTH_PREFIX.pack(len(data)) + data


class FrameReader:
    """Splits a byte stream into messages.

    Until ``raise_limit`` is called, only small messages are accepted, so that an
    unauthenticated peer cannot make the process buffer large amounts of data.
    """

    _INITIAL_LIMIT_BYTES = 4_096

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._size_limit = self._INITIAL_LIMIT_BYTES

    def raise_limit(self) -> None:
        """Accepts messages of up to ``MAX_MESSAGE_BYTES`` from now on."""
        self._size_limit = MAX_MESSAGE_BYTES

    def feed(self, data: bytes) -> None:
        """Appends received bytes to the buffer."""
        self._buffer += data

    def messages(self) -> Iterator[bytes]:
        """Yields every complete message and removes it from the buffer.

        Raises:
            CodecError: If a length is zero or exceeds the limit.
        """
        while len(self._buffer) >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
            if not 0 < length <= self._size_limit:
                raise CodecError(
                    f"frame length {length} is not in 1..{self._size_limit} bytes"
                )
            end = _LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                return
            message = bytes(self._buffer[_LENGTH_PREFIX.size : end])
            del self._buffer[:end]
            yield message
