"""HTTP server for readiness probes and metrics."""

import contextlib
import socket
import unittest

from fighitch.core.gateway.settings import Address
from fighitch.gateway.status_server import StatusServer
from fighitch.observability.bounded_log import BoundedLog
from fighitch.runtime.event_loop import EventLoop
from standins.platform_fleet import find_free_port

RENDER_TIME = 0.2


class ScrapeTests(unittest.TestCase):
    """Guards against scrapers without end that take all processor time."""

    def setUp(self):
        self.now = 0.0
        self.renderings = 0
        self.loop = EventLoop(lambda: self.now)
        self.address = Address("127.0.0.1", find_free_port("127.0.0.1"))
        StatusServer(
            self.loop,
            self.address,
            BoundedLog("test"),
            is_ready=lambda: True,
            metrics=self.render,
        )

    def render(self) -> bytes:
        self.now += RENDER_TIME
        self.renderings += 1
        return b"metric %d" % self.renderings

    def scrape(self, count: int) -> bytes:
        address = self.address.host, self.address.port
        with socket.create_connection(address, timeout=5) as sock:
            sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n" * count)
            sock.setblocking(False)
            received = b""
            while received.count(b"metric ") < count:
                self.loop.run_once(0.0)
                with contextlib.suppress(BlockingIOError):
                    received += sock.recv(65_536)
            return received

    def test_metrics_are_rendered_for_a_small_part_of_the_time(self):
        self.assertEqual(self.scrape(50).count(b"metric 1"), 50)
        self.assertEqual(self.renderings, 1)

    def test_later_scrape_gets_new_metrics(self):
        self.scrape(1)
        self.now += 10 * RENDER_TIME
        self.assertIn(b"metric 2", self.scrape(1))


if __name__ == "__main__":
    unittest.main()
