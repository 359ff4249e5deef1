"""Limits on callers that change while connections are open."""

import http.client

from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_fleet import CallerResponse, send_on_connection, wait_until


class KeptConnectionTests(FleetTestCase):
    """Guards against connections that keep the limits of an earlier configuration."""

    def setUp(self):
        super().setUp()
        host, port = self.fleet.front_address(0)
        self.connection = http.client.HTTPConnection(host, port, timeout=8.0)
        self.addCleanup(self.connection.close)
        # A response does not reopen the connection.
        self.connection.auto_open = 0

    def put_limits(self, **limits: int):
        self.fleet.put_configuration(limits=limits)
        applied = f"configuration_applied instance=front-0 version={self.fleet.version}"
        self.assertTrue(wait_until(lambda: applied in self.fleet.entries[0].log()))

    def connect(self):
        self.connection.connect()
        self.assertEqual(self.send("first").status, 200)

    def send(self, name: str, body: bytes = b"body") -> CallerResponse:
        return send_on_connection(self.connection, "order", name, body=body)

    def is_closed_within(self, seconds: float) -> bool:
        """Returns whether the entry closes the idle connection."""
        sock = self.connection.sock
        sock.settimeout(seconds)
        try:
            return sock.recv(1) == b""
        except TimeoutError:
            sock.settimeout(8.0)
            return False

    def test_idle_connection_is_kept_for_a_longer_idle_timeout(self):
        # Callers reuse connections by the newest limit.
        self.put_limits(IdleTimeoutMs=800)
        self.connect()
        self.put_limits(IdleTimeoutMs=15_000)
        self.assertFalse(self.is_closed_within(2.5))
        self.assertEqual(self.send("second").status, 200)
        self.assertFalse(self.is_closed_within(2.5))
        self.assertEqual(self.send("third").status, 200)

    def test_idle_connection_is_closed_after_a_shorter_idle_timeout(self):
        self.connect()
        self.put_limits(IdleTimeoutMs=400)
        self.assertEqual(self.send("second").status, 200)
        self.assertTrue(self.is_closed_within(4.0))

    def test_larger_body_is_accepted_once_it_is_allowed(self):
        self.put_limits(MaxBodyBytes=1_000)
        self.connect()
        self.put_limits(MaxBodyBytes=100_000)
        self.assertEqual(self.send("second", b"x" * 50_000).status, 200)

    def test_larger_body_is_rejected_once_it_is_no_longer_allowed(self):
        self.put_limits(MaxBodyBytes=100_000)
        self.connect()
        self.put_limits(MaxBodyBytes=1_000)
        self.assertEqual(self.send("second", b"x" * 50_000).status, 413)
        line = "event=request_invalid instance=front-0 request=second path=/order/x"
        log = self.fleet.entries[0].log
        self.assertTrue(wait_until(lambda: f"{line} status=413" in log()))

    def test_larger_head_is_accepted_once_it_is_allowed(self):
        self.put_limits(MaxHeaderBytes=1_000)
        self.connect()
        self.put_limits(MaxHeaderBytes=16_384)
        response = send_on_connection(
            self.connection, "order", "second", X_Filler="x" * 5_000
        )
        self.assertEqual(response.status, 200)
