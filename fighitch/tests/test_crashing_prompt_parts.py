"""Prompts with a part that crashes each engine that begins to answer them.

Requests with the same part crashed all engines one after the other, and again whenever
they were back, so that sound requests found no engine.
"""

import time
import unittest

from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_fleet import CallerResponse, PlatformFleet, wait_until

CRASHING_PART = "badbadbadbad"
FIRST_PART = "f1f1"
# Time after the fifth crash from which requests with the part are limited (StableMs).
STABLE_SECONDS = 3.0
# Requests with the part that may reach engines after that time.
MAX_LATE_RUNS = 3


class CrashingPartTestCase(FleetTestCase):
    engine_count = 4

    def setUp(self):
        self.fleet = PlatformFleet(engines=self.engine_count)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.assertTrue(wait_until(self.agents_connected))
        for number in range(6):
            self.assertEqual(self.send_sound(f"before-{number}", number).status, 200)
        for engine in self.fleet.engines:
            engine.crashing_part = CRASHING_PART
        self._sent = 0

    @property
    def crashes(self) -> int:
        return sum(engine.crashes for engine in self.fleet.engines)

    @property
    def crashing_runs(self) -> int:
        return sum(
            run.request_id.startswith("crash-")
            for engine in self.fleet.engines
            for run in engine.runs
        )

    def send_sound(self, name: str, number: int) -> CallerResponse:
        return self.fleet.send_request(
            "stream",
            name,
            entry=number % 2,
            adapter=f"a{number % 3}",
            Prompt_Prefix=f"{FIRST_PART}:80,50{number % 3}:20,{name}:5",
        )

    def send_crashing(self) -> CallerResponse:
        self._sent += 1
        number = self._sent
        return self.fleet.send_request(
            "stream",
            f"crash-{number}",
            entry=number % 2,
            adapter=f"a{number % 3}",
            Prompt_Prefix=f"{FIRST_PART}:80,50{number % 3}:20,"
            f"{CRASHING_PART}:10,9{number}:5",
        )

    def crash_engines(self) -> None:
        """Sends requests with the part until five engines crashed, or no more do."""
        end = time.monotonic() + 15.0
        while self.crashes < 5 and time.monotonic() < end:
            self.send_crashing()
            time.sleep(0.15)
        time.sleep(STABLE_SECONDS)

    def late_runs(self) -> int:
        """Sends more requests with the part; returns how many reach an engine."""
        runs = self.crashing_runs
        for _ in range(12):
            self.send_crashing()
            time.sleep(0.1)
        return self.crashing_runs - runs


class CrashingPartTests(CrashingPartTestCase):
    def test_few_requests_with_the_part_reach_engines_after_five_crashes(self):
        self.crash_engines()
        self.assertLessEqual(self.late_runs(), MAX_LATE_RUNS)

    def test_sound_requests_with_the_same_first_part_are_served_meanwhile(self):
        self.crash_engines()
        served = 0
        for number in range(20):
            self.send_crashing()
            response = self.send_sound(f"sound-{number}", number)
            served += response.status == 200 and response.complete
        self.assertGreaterEqual(served, 10)


if __name__ == "__main__":
    unittest.main()
