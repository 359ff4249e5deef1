"""Requests in progress when the grace of a planned stop ends."""

import http.client
import signal
import threading
import time

from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_backends import BackendFaults
from standins.platform_fleet import CallerResponse, send_on_connection, wait_until

# Longer than the grace of the fleet's settings.
LONG_SECONDS = 20.0
DEADLINE = {"Deadline_Ms": "20000"}


class EndOfGraceTests(FleetTestCase):
    """Guards against requests that are cut off without an answer by a planned stop.

    The entry ended with all that was still in progress, among it requests that must not
    be repeated, of which the caller then knows nothing.
    """

    def setUp(self):
        super().setUp()
        self.assertTrue(wait_until(self.agents_connected))
        for server in self.fleet.plain_servers:
            server.response_delay = LONG_SECONDS
        self.responses: dict[str, CallerResponse] = {}
        self.threads: list[threading.Thread] = []

    def send(self, route: str, name: str, entry: int = 0, **headers: str) -> None:
        """Sends a request whose response is awaited in the background."""

        def send_and_record() -> None:
            self.responses[name] = self.fleet.send_request(
                route, name, entry=entry, timeout=LONG_SECONDS, **DEADLINE, **headers
            )

        thread = threading.Thread(target=send_and_record)
        thread.start()
        self.threads.append(thread)

    def stop_entry(self) -> None:
        self.fleet.drain(0)
        self.stopped_at = time.monotonic()

    def join(self) -> None:
        for thread in self.threads:
            thread.join(2 * LONG_SECONDS)

    def put_slow_routes(self) -> None:
        # Callers of streams leave after four times the latency target.
        routes = {"TimeoutMs": 20_000, "TargetLatencyMs": 3_000}
        self.fleet.put_configuration(order=routes, lookup=routes, stream=routes)
        applied = f"configuration_applied instance=front-0 version={self.fleet.version}"
        self.assertTrue(wait_until(lambda: applied in self.fleet.entries[0].log()))

    def test_sent_requests_are_answered_before_the_entry_ends(self):
        self.put_slow_routes()
        for route in ("order", "lookup"):
            self.send(route, f"{route}-before")
        self.assertTrue(wait_until(lambda: self.runs("order-before") == 1))
        self.stop_entry()
        time.sleep(1.5)
        for route in ("order", "lookup"):
            self.send(route, f"{route}-after")
        self.join()
        self.assertEqual(len(self.responses), 4)
        for name, response in self.responses.items():
            # They may have run, so that no status may promise that they have not.
            self.assertEqual((response.status, response.complete), (504, True), name)

    def test_server_is_told_how_long_a_stopping_entry_can_wait(self):
        self.put_slow_routes()
        self.stop_entry()
        time.sleep(1.5)
        self.send("order", "late-order")
        self.join()
        (run,) = [
            run
            for server in self.fleet.plain_servers
            for run in server.runs
            if run.request_id == "late-order"
        ]
        grace_ms = 1_000 * self.fleet.entries[0].settings["Bounds"]["GraceS"]
        self.assertLess(int(run.headers["deadline-ms"]), grace_ms - 1_500)

    def test_waiting_requests_are_rejected_before_the_entry_ends(self):
        self.put_slow_routes()
        for engine in self.fleet.engines:
            # Their adapter is never loaded.
            engine.faults = BackendFaults(lost_orders=100_000)
        self.send("stream", "waiting-before", adapter="a9")
        time.sleep(0.3)
        self.stop_entry()
        time.sleep(1.5)
        self.send("stream", "waiting-after", adapter="a9")
        self.join()
        for name, response in self.responses.items():
            self.assertEqual((response.status, response.complete), (503, True), name)
            self.assertIn("retry-after", response.headers)

    def test_kept_connection_gets_an_answer_to_its_last_request(self):
        self.put_slow_routes()
        host, port = self.fleet.front_address(0)
        connection = http.client.HTTPConnection(host, port, timeout=LONG_SECONDS)
        self.addCleanup(connection.close)
        self.assertEqual(send_on_connection(connection, "absent", "first").status, 404)
        self.stop_entry()
        response = send_on_connection(connection, "order", "second", **DEADLINE)
        self.assertEqual((response.status, response.complete), (504, True))
        self.assertLess(time.monotonic() - self.stopped_at, 8.0)

    def test_entry_ends_within_its_grace(self):
        self.put_slow_routes()
        self.send("order", "o1")
        self.assertTrue(wait_until(lambda: self.runs("o1") == 1))
        self.fleet.entries[0].signal(signal.SIGTERM)
        self.assertEqual(self.fleet.entries[0].process.wait(8.0), 0)
        self.join()
