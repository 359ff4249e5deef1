"""Backend servers that limit the requests of all entries together.

Engines that had named a limit got requests at the rate from before, and more than twice
of what they had allowed.
"""

import signal
import threading
import time
import unittest
from collections import Counter

from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_backends import PlatformBackend
from standins.platform_fleet import PlatformFleet, wait_until

# Time after a server first named its limit from which the limit counts (StableMs).
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
LIMIT = 2.0


def most_arrivals(server: PlatformBackend, since: float) -> int:
    """Returns the most requests that a server got in any window since a time."""
    times = [at for at in server.arrivals if at >= since]
    return max(
        (sum(start <= at < start + WINDOW_SECONDS for at in times) for start in times),
        default=0,
    )


def allowed_arrivals(limit: float) -> float:
    return 1.5 * limit * WINDOW_SECONDS + 5


class LimitTestCase(FleetTestCase):
    def setUp(self):
        self.fleet = PlatformFleet(engines=2, entries=3, adapter_slots=6)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.assertTrue(wait_until(self.agents_connected))
        self.statuses: Counter[int] = Counter()

    def send(self, route: str, number: int) -> None:
        adapter = f"a{number % 4}" if route in ("stream", "resume") else ""
        response = self.fleet.send_request(
            route, f"{route}-{number}", entry=number % 3, adapter=adapter
        )
        self.statuses[response.status] += 1

    def run_load(self, route: str, seconds: float, *, interval: float = 0.04) -> None:
        """Sends requests to all entries in turn, each in a thread of its own."""
        threads = []
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            thread = threading.Thread(target=self.send, args=(route, number))
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(interval)
        for thread in threads:
            thread.join()

    def assert_limit_is_kept(self, server: PlatformBackend, route: str) -> None:
        self.run_load(route, 1.0)
        server.server_limit = LIMIT
        first_named = time.monotonic()
        self.statuses.clear()
        self.run_load(route, STABLE_SECONDS + 6.0)
        self.assertLessEqual(
            most_arrivals(server, first_named + STABLE_SECONDS),
            allowed_arrivals(LIMIT),
        )
        served = self.statuses[200] / self.statuses.total()
        self.assertGreaterEqual(served, 0.9, self.statuses)

    def assert_limits_are_used(self, servers, route: str) -> None:
        """Asserts that no server gets less than half of its limit in a flood."""
        for server in servers:
            server.server_limit = 2 * LIMIT
        self.run_load(route, STABLE_SECONDS)
        since = time.monotonic()
        self.run_load(route, 2 * WINDOW_SECONDS)
        for server in servers:
            self.assertLessEqual(
                most_arrivals(server, since), allowed_arrivals(2 * LIMIT)
            )
            arrivals = sum(at >= since for at in server.arrivals)
            self.assertGreaterEqual(arrivals, 2 * WINDOW_SECONDS * LIMIT)
        # A request that can't be served is rejected as one that has not run.
        self.assertLessEqual(set(self.statuses), {200, 503}, self.statuses)


class EngineLimitTests(LimitTestCase):
    def test_entries_together_keep_the_limit_of_an_engine(self):
        self.assert_limit_is_kept(self.fleet.engines[0], "stream")

    def test_limits_of_all_engines_are_used(self):
        self.assert_limits_are_used(self.fleet.engines, "stream")

    def test_limit_outlasts_a_restart_of_the_agent(self):
        engine = self.fleet.engines[0]
        engine.server_limit = LIMIT
        self.run_load("stream", STABLE_SECONDS)
        since = time.monotonic()
        self.fleet.agents[0].kill_and_restart()
        self.run_load("stream", 2 * WINDOW_SECONDS)
        self.assertLessEqual(most_arrivals(engine, since), allowed_arrivals(LIMIT))

    def test_limit_in_rejections_is_kept(self):
        # A rejected request has no event with which the limit could be reported.
        engine = self.fleet.engines[0]
        engine.faults.shed = 10_000
        self.assert_limit_is_kept(engine, "stream")

    def test_entries_keep_the_limit_without_agents(self):
        engine = self.fleet.engines[0]
        for agent in self.fleet.agents:
            agent.signal(signal.SIGKILL)
        time.sleep(1.0)
        # Without agents, engines keep the adapters that they have.
        engine.server_limit = LIMIT
        since = time.monotonic() + STABLE_SECONDS
        self.run_load("stream", STABLE_SECONDS + 6.0)
        self.assertLessEqual(most_arrivals(engine, since), allowed_arrivals(LIMIT))

    def test_limit_ends_when_the_engine_names_none(self):
        engine = self.fleet.engines[0]
        engine.server_limit = LIMIT
        self.run_load("stream", STABLE_SECONDS)
        engine.server_limit = None
        self.run_load("stream", 2.0)
        since = time.monotonic()
        self.run_load("stream", WINDOW_SECONDS)
        self.assertGreater(most_arrivals(engine, since), allowed_arrivals(LIMIT))


class PlainServerLimitTests(LimitTestCase):
    def test_entries_together_keep_the_limit_of_a_plain_server(self):
        self.assert_limit_is_kept(self.fleet.plain_servers[0], "lookup")

    def test_limits_of_all_plain_servers_are_used(self):
        self.assert_limits_are_used(self.fleet.plain_servers, "lookup")


if __name__ == "__main__":
    unittest.main()
