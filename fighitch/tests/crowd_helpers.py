"""Crowds of misbehaving clients, and what a process holds for them."""

import contextlib
import itertools
import re
import selectors
import socket
import time
from collections.abc import Iterable, Iterator
from pathlib import Path

# Connections of one crowd.
CROWD = 60
LARGE_CROWD = 1_000
# Complete requests with many header fields; the servers of the tests are slow to parse
# more of them.
FIELDS_CROWD = 300
# Short header fields of one request; they fit the default limit of 16 KiB.
FIELDS = 1_900
# Longest time for which a crowd sends.
SEND_SECONDS = 8.0
BODY_BYTES = 4_194_304
BLOCK = b"x" * 65_536
HEAD = (
    b"POST /lookup/x HTTP/1.1\r\nHost: fleet.example\r\n"
    b"Attempt-Id: crowd\r\nDeadline-Ms: 20000\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SHORT_FIELDS = b"".join(b"%03x:\r\n" % number for number in range(FIELDS))


def request_head(number: int, *, route: str = "lookup", fields: bytes = b"") -> bytes:
    """Returns a complete request without a body.

    Args:
        number: Makes the id of the request unique.
        route: Name of its route.
        fields: Further header fields, each with its line end.
    """
    return (
        b"GET /%s/x HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: crowd-%d\r\n"
        b"Deadline-Ms: 20000\r\n%s\r\n" % (route.encode(), number, fields)
    )


def body_blocks(count: int) -> Iterator[bytes]:
    """Yields a body of a number of bytes."""
    while count > 0:
        yield BLOCK[:count]
        count -= len(BLOCK)


class Crowd:
    """Connections that each send their bytes without reading, and stay open."""

    def __init__(self, address: tuple[str, int], *, reads: bool = False):
        self.sockets: list[socket.socket] = []
        self._address = address
        self._reads = reads

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *_error) -> None:
        for sock in self.sockets:
            sock.close()

    def send(self, *payloads: Iterable[bytes], seconds: float = SEND_SECONDS) -> int:
        """Sends a payload on each new connection, all at once.

        Args:
            payloads: Blocks of each connection.
            seconds: Longest time for which the crowd sends.

        Returns:
            The number of connections that the process ended while they sent.
        """
        selector = selectors.DefaultSelector()
        for payload in payloads:
            sock = socket.create_connection(self._address, timeout=5)
            sock.setblocking(False)
            self.sockets.append(sock)
            selector.register(sock, selectors.EVENT_WRITE, [b"", iter(payload)])
        end = time.monotonic() + seconds
        ended = 0
        with selector:
            while selector.get_map() and time.monotonic() < end:
                for key, _ in selector.select(0.05):
                    ended += self._send_some(selector, key)
        return ended

    def _send_some(self, selector, key) -> bool:
        unsent, blocks = key.data
        unsent = unsent or next(blocks, b"")
        if not unsent:
            selector.unregister(key.fileobj)
            return False
        try:
            if self._reads:
                with contextlib.suppress(BlockingIOError):
                    key.fileobj.recv(65_536)
            count = key.fileobj.send(unsent)
        except BlockingIOError:
            count = 0
        except OSError:
            selector.unregister(key.fileobj)
            return True
        key.data[0] = unsent[count:]
        return False


def repeat(prefix: bytes, block: bytes) -> Iterator[bytes]:
    """Yields a prefix and then a block without end."""
    return itertools.chain((prefix,), itertools.repeat(block))


def peak_memory(pid: int) -> int:
    """Returns the largest resident memory that a process had, in bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return 1_024 * int(re.search(r"VmHWM:\s+(\d+)", status)[1])


def open_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
