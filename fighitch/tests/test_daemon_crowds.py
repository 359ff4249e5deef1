"""Crowds of misbehaving clients at the listeners of an entry daemon."""

import itertools
import json
import os
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from fighitch.tests.crowd_helpers import (
    BLOCK,
    CROWD,
    Crowd,
    body_blocks,
    open_descriptors,
    peak_memory,
    repeat,
)
from standins.platform_fleet import ROOT, find_free_ports, wait_until

HOST = "127.0.0.1"
# Memory of the smallest machines; the daemons have no setting for theirs.
MEMORY_BYTES = 152_000_000
MAX_DESCRIPTORS = 1_535
# Default of the setting ``max_body_bytes``.
BODY_BYTES = 1_048_576
POST = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
ANNOUNCED = POST + b"Content-Length: %d\r\n\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


class DaemonCrowdTests(unittest.TestCase):
    """Guards against a crowd that exhausts the memory of an entry daemon."""

    def setUp(self):
        http, admin = find_free_ports(HOST, 2)
        settings = {
            "instance": "entry-1",
            "availability_zone": "a",
            "http_address": f"{HOST}:{http}",
            "admin_address": f"{HOST}:{admin}",
            "shared_keys": [{"key_id": "k1", "secret": "0011" * 8}],
        }
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "entry.json"
        path.write_text(json.dumps(settings))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "fighitch", "entry", "--settings", str(path)],
            cwd=ROOT,
            env=os.environ,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(self.stop)
        self.callers, self.admin = (HOST, http), (HOST, admin)
        for address in (self.callers, self.admin):
            self.assertTrue(wait_until(lambda a=address: self.is_answered(a)))

    def stop(self):
        self.process.kill()
        self.process.wait(10)

    def is_answered(self, address) -> bool:
        try:
            with socket.create_connection(address, timeout=2) as sock:
                sock.sendall(b"GET /health HTTP/1.1\r\nHost: h\r\n\r\n")
                return sock.recv(100).startswith(b"HTTP/1.1 ")
        except OSError:
            return False

    def assert_within_limits(self):
        self.assertIsNone(self.process.poll(), "the daemon ended")
        self.assertLess(peak_memory(self.process.pid), MEMORY_BYTES)
        self.assertLess(open_descriptors(self.process.pid), MAX_DESCRIPTORS)

    def check(self, address, payload):
        with Crowd(address) as crowd:
            crowd.send(*(payload() for _ in range(CROWD)))
            self.assert_within_limits()
        self.assertTrue(wait_until(lambda: self.is_answered(address), 40.0))
        self.assert_within_limits()

    def test_bodies_that_stop_short_of_their_end(self):
        head = ANNOUNCED % BODY_BYTES
        self.check(self.callers, lambda: [head, *body_blocks(BODY_BYTES - 1)])

    def test_bodies_in_very_small_chunks(self):
        chunks = b"10\r\nxxxxxxxxxxxxxxxx\r\n" * 2_048
        self.check(self.callers, lambda: [CHUNKED, *itertools.repeat(chunks, 31)])

    def test_bodies_far_over_the_limit(self):
        self.check(self.callers, lambda: repeat(ANNOUNCED % 1_000_000_000, BLOCK))

    def test_chunked_bodies_far_over_the_limit(self):
        chunk = b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK)
        self.check(self.callers, lambda: repeat(CHUNKED, chunk))

    def test_heads_of_many_long_lines(self):
        line = b"X: " + b"x" * 65_000 + b"\r\n"
        self.check(self.callers, lambda: [POST, *itertools.repeat(line, 97)])

    def test_connections_that_send_nothing(self):
        self.check(self.callers, list)

    def test_bodies_at_the_admin_address(self):
        head = b"POST /configuration HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        size = 4_194_304
        self.check(self.admin, lambda: [head % size, *body_blocks(size - 1)])


if __name__ == "__main__":
    unittest.main()
