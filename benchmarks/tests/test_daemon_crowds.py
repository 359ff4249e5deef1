"""Crowds of misbehaving clients at the listeners of real daemons."""

import itertools
import signal
import struct
import unittest

from benchmarks import sample
from benchmarks.callers import Caller
from benchmarks.deployment import BackendPlan, Deployment, Process
from fighitch.tests.crowd_helpers import (
    BLOCK,
    CROWD,
    LARGE_CROWD,
    SHORT_FIELDS,
    Crowd,
    body_blocks,
    open_descriptors,
    peak_memory,
    repeat,
)

# Limits of the smallest machines.
MEMORY_MB = 152
MAX_FDS = 1_535
MB = 1_000_000
ROUNDS = 7
# The default limit on a body.
BODY_BYTES = 1_048_576
HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n"
ANNOUNCED = HEAD + b"Content-Length: %d\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class DaemonTestCase(unittest.TestCase):
    """Runs one entry and two backend servers with their sidecars."""

    def setUp(self):
        backends = (
            BackendPlan("engine-1", "engine", "a", model="base-1"),
            BackendPlan(
                "orders-1", "service", "a", service="orders", labels={"work": "order"}
            ),
        )
        plan = sample.plan(zones=("a",), backends=backends)
        self.deployment = Deployment(plan)
        self.deployment.start()
        self.addCleanup(self.deployment.stop)
        self.deployment.apply(
            [*sample.common_documents(plan), *self.deployment.backend_documents()]
        )
        self.deployment.wait_ready()
        self.caller = Caller(sample.CALLER_KEY)
        self.entry = self.deployment.processes["entry-1"]
        self.sidecar = self.deployment.processes["engine-1"]

    def address(self, port: str) -> tuple[str, int]:
        return "127.0.0.1", self.deployment.ports[port]

    def is_served(self) -> bool:
        body = {"model": "advisor-1@v2", "prompt": "p", "max_tokens": 5}
        url = self.deployment.caller_url("entry-1")
        return self.caller.call(url, "/v1/completions", body).status == 200

    def assert_serves(self):
        """Expects that an ordinary caller is answered, if need be after retries."""
        self.deployment.wait_for(self.is_served, "an ordinary request", timeout=60.0)

    def assert_within_limits(self, process: Process):
        """Expects a live process within the limits of the smallest machine."""
        self.assertTrue(process.is_running, "the process ended")
        self.assertLess(peak_memory(process.pid) / MB, MEMORY_MB)
        self.assertLess(open_descriptors(process.pid), MAX_FDS)

    def check(self, port: str, *payloads):
        """Sends payloads of a crowd to a port; others are served meanwhile."""
        process = self.deployment.processes[port.partition("/")[0]]
        with Crowd(self.address(port)) as crowd:
            crowd.send(*payloads)
            self.assert_within_limits(process)
            self.assert_serves()
            self.assert_within_limits(process)
        self.assert_serves()


class CallerPortTests(DaemonTestCase):
    """Guards against crowds at the port of an entry for callers."""

    def test_bodies_that_stop_short_of_their_end(self):
        head = ANNOUNCED % BODY_BYTES
        payloads = ([head, *body_blocks(BODY_BYTES - 1)] for _ in range(CROWD))
        self.check("entry-1/http", *payloads)

    def test_bodies_in_chunks_of_one_byte(self):
        chunks = b"1\r\nx\r\n" * 8_192
        self.check("entry-1/http", *(repeat(CHUNKED, chunks) for _ in range(CROWD)))

    def test_bodies_far_over_the_limit(self):
        head = ANNOUNCED % 1_000_000_000
        self.check("entry-1/http", *(repeat(head, BLOCK) for _ in range(CROWD)))

    def test_heads_that_stop_short_of_their_end(self):
        payloads = ([HEAD + SHORT_FIELDS[:600]] for _ in range(LARGE_CROWD))
        self.check("entry-1/http", *payloads)

    def test_heads_without_end(self):
        payloads = (repeat(HEAD + b"X: ", BLOCK) for _ in range(CROWD))
        self.check("entry-1/http", *payloads)

    def test_connections_that_send_one_byte(self):
        self.check("entry-1/http", *([b"P"] for _ in range(LARGE_CROWD)))

    def test_complete_bodies_in_rounds(self):
        size = BODY_BYTES // 2
        for _ in range(ROUNDS):
            payloads = ([ANNOUNCED % size, *body_blocks(size)] for _ in range(CROWD))
            self.check("entry-1/http", *payloads)

    def test_entry_stops_beside_a_crowd(self):
        head = ANNOUNCED % BODY_BYTES
        payloads = ([head, *body_blocks(BODY_BYTES - 1)] for _ in range(CROWD))
        with Crowd(self.address("entry-1/http")) as crowd:
            crowd.send(*payloads, *([b"P"] for _ in range(LARGE_CROWD)))
            self.assert_within_limits(self.entry)
            self.entry.signal(signal.SIGTERM)
            self.assertEqual(self.entry.stop(timeout=120.0), 0)


class OtherPortTests(DaemonTestCase):
    """Guards against crowds at the ports for operators and for peers."""

    def test_bodies_and_single_bytes_at_the_admin_ports(self):
        head = ANNOUNCED % BODY_BYTES
        for port in ("entry-1/admin", "engine-1/admin"):
            self.check(
                port,
                *([head, *body_blocks(BODY_BYTES - 1)] for _ in range(CROWD)),
                *([b"P"] for _ in range(LARGE_CROWD // 2)),
            )

    def test_frames_that_stop_short_of_their_end(self):
        sizes = itertools.cycle((4_096, 1_000_000))
        payloads = (
            [struct.pack("!I", size), *body_blocks(size - 1)]
            for size in itertools.islice(sizes, LARGE_CROWD)
        )
        self.check("engine-1/peer", *payloads)


if __name__ == "__main__":
    unittest.main()
