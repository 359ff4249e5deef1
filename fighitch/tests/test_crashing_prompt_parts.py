"""Prompts with a part that crashes each engine that begins to answer them.

Requests with the same part crashed all engines one after the other, and again whenever
they were back, so that sound requests found no engine.
"""

import time
import unittest
from functools import partial

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
        return sum(len(engine.crashed_at) for engine in self.fleet.engines)

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

    def send_crashing(self, *, route: str = "stream") -> CallerResponse:
        self._sent += 1
        number = self._sent
        return self.fleet.send_request(
            route,
            f"crash-{number}",
            entry=number % 2,
            adapter=f"a{number % 3}",
            Prompt_Prefix=f"{FIRST_PART}:80,50{number % 3}:20,"
            f"{CRASHING_PART}:10,9{number}:5",
        )

    def crash_engines(self) -> None:
        """Sends requests with the part until five engines crashed, or no more do."""
        sent_without_crash = 0
        while self.crashes < 5 and sent_without_crash < 12:
            crashes = self.crashes
            self.send_crashing()
            time.sleep(0.15)
            sent_without_crash = 0 if self.crashes > crashes else sent_without_crash + 1
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

    def test_rejected_requests_are_told_not_to_come_back_soon(self):
        self.crash_engines()
        response = self.send_crashing()
        self.assertEqual(response.status, 503)
        self.assertGreaterEqual(float(response.headers["retry-after"]), 30.0)

    def test_lost_requests_with_the_part_are_not_repeated(self):
        # A repetition crashes another engine, although the route allows it.
        self.crash_engines()
        runs = self.crashing_runs
        for _ in range(4):
            self.send_crashing(route="resume")
        self.assertLessEqual(self.crashing_runs - runs, MAX_LATE_RUNS)


class RestartTests(CrashingPartTestCase):
    """Instances that restart must not let the part reach engines again."""

    def test_restarted_entries_learn_the_part_from_the_agents(self):
        self.fleet.store.rejected_kinds = {"prompt-quarantines"}
        self.crash_engines()
        for entry in self.fleet.entries:
            entry.kill_and_restart()
        for entry in self.fleet.entries:
            self.assertTrue(wait_until(partial(self.fleet.is_ready, entry)))
        self.assertLessEqual(self.late_runs(), MAX_LATE_RUNS)

    def test_all_instances_learn_the_part_from_the_store_after_a_restart(self):
        self.crash_engines()
        for process in (*self.fleet.agents, *self.fleet.entries):
            process.kill_and_restart()
        for entry in self.fleet.entries:
            self.assertTrue(wait_until(partial(self.fleet.is_ready, entry)))
        self.assertLessEqual(self.late_runs(), MAX_LATE_RUNS)

    def test_deleted_quarantine_admits_the_part_again(self):
        self.crash_engines()
        for engine in self.fleet.engines:
            engine.crashing_part = ""
        self.assertEqual(self.send_crashing().status, 503)
        for name in self.fleet.store.names("prompt-quarantines"):
            self.fleet.store.remove("prompt-quarantines", name)
        self.assertTrue(wait_until(lambda: self.send_crashing().status == 200))


if __name__ == "__main__":
    unittest.main()
