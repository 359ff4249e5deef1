"""Whether an HTTP response is known to be whole and has a valid status."""

_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_MAX_STATUS = 599
_SWITCHING_PROTOCOLS = 101
_EMPTY_LINES = ("\r\n", "\n")
_FRAMING_HEADERS = ("content-length", "transfer-encoding")


def is_valid_status(status: int) -> bool:
    """Returns whether a response may have a status, if no upgrade was requested.

    RFC 9110, section 15: statuses lie between 100 and 599. Section 7.8: 101 is only a
    response to a request with ``Upgrade``, which this project never sends.
    """
    return _FIRST_STATUS <= status <= _MAX_STATUS and status != _SWITCHING_PROTOCOLS


class HeadLines:
    """Follows the lines of response heads, in the order in which they arrive.

    libcurl reports a transfer as successful whose connection ended inside the head, or
    whose unframed response ended before the request was sent.
    """

    def __init__(self) -> None:
        """Starts before the first line."""
        self._status = 0
        self._is_complete = False
        self._is_framed = False
        self._has_invalid_status = False

    @property
    def is_complete(self) -> bool:
        """Whether the head of a final response ended; interim ones precede it."""
        return self._is_complete

    @property
    def has_invalid_status(self) -> bool:
        """Whether a head had a status that no response may have."""
        return self._has_invalid_status

    def add(self, line: str) -> None:
        """Adds a line with its line end; lines of trailers change nothing.

        Args:
            line: Status line, header, or the empty line that ends a head.
        """
        if line.startswith("HTTP/"):
            self._is_complete = self._is_framed = False
            status = line.partition(" ")[2].strip().partition(" ")[0]
            is_number = status.isascii() and status.isdecimal() and len(status) == 3
            self._status = int(status) if is_number else 0
            if not is_valid_status(self._status):
                self._has_invalid_status = True
        elif line in _EMPTY_LINES and self._status >= _FIRST_FINAL_STATUS:
            self._is_complete = True
        elif line.partition(":")[0].strip().lower() in _FRAMING_HEADERS:
            self._is_framed = True

    def fault(self, *, sent_bytes: int, body_bytes: int) -> str | None:
        """Returns why a response that libcurl reports as whole is not, or None.

        Args:
            sent_bytes: Bytes of the request body that were sent.
            body_bytes: Length of the request body.
        """
        if self._has_invalid_status:
            return "the response has an invalid status"
        if not self._is_complete:
            return "the connection ended inside the head of the response"
        if not self._is_framed and sent_bytes < body_bytes:
            return "the connection ended before the request was sent"
        return None
