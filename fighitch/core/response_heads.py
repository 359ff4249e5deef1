"""Whether the head of an HTTP response has arrived as a whole."""

_FIRST_FINAL_STATUS = 200
_EMPTY_LINES = ("\r\n", "\n")


class HeadLines:
    """Follows the lines of response heads, in the order in which they arrive.

    libcurl reports a transfer as successful whose connection ended inside the head.
    """

    def __init__(self) -> None:
        """Starts before the first line."""
        self._status = 0
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the head of a final response ended; interim ones precede it."""
        return self._is_complete

    def add(self, line: str) -> None:
        """Adds a line with its line end; lines of trailers change nothing.

        Args:
            line: Status line, header, or the empty line that ends a head.
        """
        if line.startswith("HTTP/"):
            self._is_complete = False
            status = line.partition(" ")[2][:3]
            self._status = int(status) if status.isdecimal() else 0
        elif line in _EMPTY_LINES and self._status >= _FIRST_FINAL_STATUS:
            self._is_complete = True
