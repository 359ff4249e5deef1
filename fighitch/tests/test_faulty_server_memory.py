"""A server that answers many requests at once with bytes without end."""

import contextlib
import itertools
import re
import socket
import threading
import time
from pathlib import Path

from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_fleet import FleetProcess, wait_until

# Connections that a server accepts at the same time.
REQUESTS = 600
MB = 1_048_576
# Longest time for which a server goes on if nobody closes its connection.
MAX_SECONDS = 6.0
# Size of one connection's bytes after which a server waits, so that the test ends.
MAX_BYTES = 8 * MB
SIGNED_HEAD = b"HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n"
CHUNK = b"4000\r\n%s\r\n" % (b"x" * 16_384)


class FaultyServer:
    """Answers each connection with a head and then a block again and again."""

    def __init__(self, head: bytes, block: bytes):
        self._head, self._block = head, block
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1_024)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.requests = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        end = time.monotonic() + MAX_SECONDS
        with sock, contextlib.suppress(OSError):
            request = sock.recv(65_536)
            self.requests += 1
            request_id = re.search(rb"(?i)attempt-id: *(\S+)", request)[1]
            head = self._head % request_id if b"%s" in self._head else self._head
            sent = 0
            for data in itertools.chain((head,), itertools.repeat(self._block)):
                sock.settimeout(max(0.01, end - time.monotonic()))
                sock.sendall(data)
                sent += len(data)
                if sent > MAX_BYTES:
                    time.sleep(max(0.0, end - time.monotonic()))
                    return

    def close(self) -> None:
        self._listener.close()


def peak_memory(process: FleetProcess) -> int:
    """Returns the largest resident memory that a process had, in bytes."""
    status = Path(f"/proc/{process.process.pid}/status").read_text()
    return 1_024 * int(re.search(r"VmHWM:\s+(\d+)", status)[1])


class EndlessBytesTests(FleetTestCase):
    """Guards against an entry that keeps all bytes of a faulty server.

    It ran out of memory, and the requests of all its callers ended with it.
    """

    def flood(self, head: bytes, block: bytes, *, kind: str = "streaming") -> None:
        """Sends many requests to a faulty server while callers read nothing."""
        server = FaultyServer(head, block)
        self.addCleanup(server.close)
        heartbeat = self.fleet.plain_servers[0].heartbeat()
        heartbeat |= {"Service": "faulty", "Address": server.address}
        self.fleet.store.put("servers", "faulty-0", heartbeat)
        self.fleet.put_configuration(faulty={"Kind": kind, "Service": "faulty"})
        entry = self.fleet.entries[0]
        applied = f"configuration_applied instance=front-0 version={self.fleet.version}"
        self.assertTrue(wait_until(lambda: applied in entry.log()))
        with contextlib.ExitStack() as callers:
            for number in range(REQUESTS):
                sock = socket.create_connection(self.fleet.front_address(0))
                callers.enter_context(sock)
                sock.sendall(
                    b"POST /faulty/x HTTP/1.1\r\nHost: fleet.example\r\n"
                    b"Attempt-Id: f%d\r\nDeadline-Ms: 4000\r\n"
                    b"Content-Length: 0\r\n\r\n" % number
                )
            self.assertTrue(wait_until(lambda: server.requests >= REQUESTS // 2))
            time.sleep(3.0)
            response = self.fleet.send_request("lookup", "other")
        self.assertEqual(response.status, 200)
        self.assertIsNone(entry.process.poll())
        limit = entry.settings["Limits"]["MemoryMb"] * MB
        self.assertLess(peak_memory(entry), limit)

    def test_event_without_end(self):
        head = SIGNED_HEAD % (b"200 OK", b"%s")
        self.flood(head + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK)

    def test_event_without_end_in_an_unframed_body(self):
        head = SIGNED_HEAD % (b"200 OK", b"%s")
        self.flood(head + b"\r\n", b"x" * 16_384)

    def test_body_of_an_error_without_end(self):
        head = SIGNED_HEAD % (b"500 Internal Server Error", b"%s")
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        self.flood(head, CHUNK, kind="non_idempotent")

    def test_body_without_end(self):
        head = SIGNED_HEAD % (b"200 OK", b"%s")
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        self.flood(head, CHUNK, kind="idempotent")

    def test_head_without_end(self):
        self.flood(b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x" * 4_096)

    def test_bytes_that_are_no_answer(self):
        self.flood(b"", b"\0" * 16_384, kind="idempotent")
