"""Servers that reject a request and ask for a pause (``Retry-After``).

Entries tried such a server again with the next request, and spent their retries on it.
"""

import signal
import threading
import time
import unittest
from collections import Counter

from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_backends import PlatformBackend
from standins.platform_fleet import PlatformFleet, wait_until
from standins.platform_pauses import excess_requests

ENTRIES = 3
PAUSE_SECONDS = 3.0
ADAPTERS = 8


def entry_of(request_id: str) -> int:
    return int(request_id.split("-")[1])


class PauseTestCase(FleetTestCase):
    engines = 2

    def setUp(self):
        self.fleet = PlatformFleet(
            engines=self.engines, entries=ENTRIES, adapter_slots=ADAPTERS
        )
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.assertTrue(wait_until(self.agents_connected))
        self.statuses: Counter[int] = Counter()
        self.numbers = iter(range(100_000))

    def send(self, route: str, entry: int):
        number = next(self.numbers)
        adapter = f"a{number % ADAPTERS}" if route in ("stream", "resume") else ""
        response = self.fleet.send_request(
            route, f"{route}-{entry}-{number}", entry=entry, adapter=adapter
        )
        self.statuses[response.status] += 1
        return response

    def run_load(self, route: str, seconds: float, *, interval: float = 0.02) -> None:
        """Sends requests to all entries in turn, each in a thread of its own."""
        self.statuses.clear()
        threads = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            entry = len(threads) % ENTRIES
            thread = threading.Thread(target=self.send, args=(route, entry))
            thread.start()
            threads.append(thread)
            time.sleep(interval)
        for thread in threads:
            thread.join()

    def pause(self, *servers: PlatformBackend, seconds: float = PAUSE_SECONDS) -> None:
        for server in servers:
            server.pauses_until = time.monotonic() + seconds

    def assert_pauses_are_kept(self, servers, route: str, min_served: float) -> None:
        """Asserts that paused servers are left alone during a flood."""
        self.run_load(route, 1.0)
        self.pause(*servers)
        self.run_load(route, PAUSE_SECONDS)
        for server in servers:
            self.assertTrue(server.asked_pauses)
            self.assertEqual(excess_requests(server, entry_of), [])
        self.assertLessEqual(set(self.statuses), {200, 503}, self.statuses)
        served = self.statuses[200] / self.statuses.total()
        self.assertGreaterEqual(served, min_served, self.statuses)


class PlainServerTests(PauseTestCase):
    def test_server_that_asks_for_a_pause_is_left_alone(self):
        first = self.fleet.plain_servers[0]
        self.assert_pauses_are_kept([first], "lookup", 0.95)

    def test_orders_go_to_the_other_server(self):
        first = self.fleet.plain_servers[0]
        self.assert_pauses_are_kept([first], "order", 0.95)

    def test_server_without_a_rejection_mark_is_left_alone(self):
        # Such a 503 does not say that the request has not run.
        first = self.fleet.plain_servers[0]
        first.marks_rejections = False
        self.assert_pauses_are_kept([first], "lookup", 0.95)
        logs = [entry.log() for entry in self.fleet.entries]
        self.assertFalse(any("event=server_paused" in log for log in logs))

    def test_pause_of_all_servers_is_told_to_callers_at_once(self):
        self.pause(*self.fleet.plain_servers)
        for _ in range(6):
            self.send("order", 0)
        started = time.monotonic()
        response = self.send("order", 0)
        self.assertLess(time.monotonic() - started, 0.5)
        self.assertEqual(response.status, 503)
        rest = self.fleet.plain_servers[0].pauses_until - started
        self.assertAlmostEqual(float(response.headers["retry-after"]), rest, delta=0.3)
        # The service is used again as soon as its servers allow it.
        time.sleep(max(0.0, rest) + 0.1)
        self.assertEqual(self.send("order", 0).status, 200)

    def test_next_incarnation_of_a_server_gets_requests_at_once(self):
        self.pause(*self.fleet.plain_servers, seconds=30.0)
        for _ in range(6):
            self.send("order", 0)
        first = self.fleet.plain_servers[0]
        first.pauses_until = 0.0
        first.start_time_ms += 10_000
        self.fleet.publish_heartbeat(first)
        self.assertTrue(wait_until(lambda: self.send("order", 0).status == 200, 3.0))

    def test_zero_and_unreadable_values_ask_for_nothing(self):
        for value in ("0", "-5", "soon"):
            with self.subTest(value=value):
                for server in self.fleet.plain_servers:
                    server.retry_after = value
                self.pause(*self.fleet.plain_servers, seconds=0.5)
                self.send("order", 0)
                time.sleep(0.6)
                self.assertEqual(self.send("order", 0).status, 200)
        self.assertIn("event=pause_bounded", self.fleet.entries[0].log())


class EngineTests(PauseTestCase):
    engines = 4

    def busiest(self, count: int) -> list[PlatformBackend]:
        """Sends requests and returns the engines that got the most."""
        self.run_load("stream", 2.0)
        engines = sorted(self.fleet.engines, key=lambda engine: len(engine.runs))
        return engines[-count:]

    def test_flood_while_all_engines_but_one_ask_for_a_pause(self):
        self.assert_pauses_are_kept(self.busiest(3), "stream", 0.8)

    def test_pause_is_kept_while_the_store_is_down(self):
        engines = self.busiest(2)
        self.fleet.store.down = True
        self.assert_pauses_are_kept(engines, "resume", 0.8)

    def test_pause_outlasts_a_restart_of_the_agents(self):
        self.pause(*self.busiest(3))
        self.run_load("stream", 0.5)
        for agent in self.fleet.agents:
            agent.kill_and_restart()
        self.run_load("stream", PAUSE_SECONDS)
        for engine in self.fleet.engines:
            self.assertEqual(excess_requests(engine, entry_of), [])

    def test_pause_is_kept_without_agents(self):
        engines = self.busiest(3)
        for agent in self.fleet.agents:
            agent.signal(signal.SIGKILL)
        time.sleep(1.5)
        self.pause(*engines)
        self.run_load("stream", PAUSE_SECONDS)
        for engine in self.fleet.engines:
            self.assertEqual(excess_requests(engine, entry_of), [])


if __name__ == "__main__":
    unittest.main()
