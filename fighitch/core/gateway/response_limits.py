"""Limits on the bytes that a server may send without advancing its response.

Load pattern: a faulty server sends a head, a trailer, interim responses or responses to
other requests without end, until the connection is closed. Without limits, the process
buffers or reads them for as long as they come.
"""

from dataclasses import dataclass
from enum import Enum

from fighitch.types import Seconds


class LimitKind(Enum):
    """Limit that a response exceeded."""

    HEADER_BYTES = "header_bytes"
    HEADER_TIME = "header_time"
    PRELIMINARY_BYTES = "preliminary_bytes"
    BODY_BYTES = "body_bytes"


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of one exchange.

    Attributes:
        header_bytes: Bytes of one head, trailer section or chunk extension.
        header_time: Time from the first byte of a head, trailer section or chunk
            extension to its end.
        preliminary_bytes: Bytes before the head of the expected response, with interim
            responses and late responses to other requests.
    """

    header_bytes: int = 65_536
    header_time: Seconds = 5.0
    preliminary_bytes: int = 1_048_576


@dataclass(frozen=True, slots=True)
class ReadProgress:
    """What the parser found in the bytes of one read.

    Attributes:
        has_expected: Whether they complete the head of the expected response or contain
            a part of its body.
        has_boundary: Whether they complete any head or contain a part of any body.
    """

    has_expected: bool
    has_boundary: bool


class ResponseMeter:
    """Compares the bytes of one exchange with its limits."""

    def __init__(self, limits: ResponseLimits) -> None:
        self._limits = limits
        self._header_bytes = 0
        self._preliminary_bytes = 0
        self._header_since: Seconds | None = None

    def record_read(
        self, size: int, progress: ReadProgress, now: Seconds
    ) -> LimitKind | None:
        """Records one read and returns the limit that it exceeds.

        Args:
            size: Number of bytes read.
            progress: What the parser found in these bytes.
            now: Current time.

        Returns:
            The exceeded limit; None if the exchange may continue.
        """
        if progress.has_expected:
            self._header_bytes = self._preliminary_bytes = 0
            self._header_since = None
            return None
        self._preliminary_bytes += size
        if self._preliminary_bytes > self._limits.preliminary_bytes:
            return LimitKind.PRELIMINARY_BYTES
        if progress.has_boundary:
            self._header_bytes = 0
            self._header_since = None
            return None
        self._header_bytes += size
        if self._header_bytes > self._limits.header_bytes:
            return LimitKind.HEADER_BYTES
        if self._header_since is None:
            self._header_since = now
        if now - self._header_since > self._limits.header_time:
            return LimitKind.HEADER_TIME
        return None
