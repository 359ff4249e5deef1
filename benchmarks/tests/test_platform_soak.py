"""Tests of ``benchmarks.platform_soak``: short seeded runs on real processes."""

import signal
import unittest
from unittest import mock

from benchmarks.platform_soak import PlatformSoak


class PlatformSoakTests(unittest.TestCase):
    def run_soak(self, seed):
        record = PlatformSoak(seed=seed, seconds=6.0).run()
        self.assertEqual(record.violations, [], record.faults)
        self.assertGreater(len(record.sent), 100)

    def test_faults_violate_no_guarantee(self):
        self.run_soak(11)

    def test_planned_work_loses_no_response(self):
        self.run_soak(15)

    def test_process_that_ended_by_itself_is_reported_and_restarted(self):
        soak = PlatformSoak(seed=15, seconds=1.0)
        self.addCleanup(soak._stop_pool.shutdown)
        codes = {"front-0": 1, "front-1": None, "front-2": -signal.SIGHUP}
        entries = [
            mock.Mock(settings={"NodeName": name}, ended_with=code)
            for name, code in codes.items()
        ]
        soak._fleet.entries = entries
        soak._restart_ended_processes()
        self.assertEqual(soak._record.violations, ["front-0 ended by itself with 1"])
        self.assertEqual(soak._record.inconclusive, ["front-2 ended by itself with -1"])
        restarts = [entry.kill_and_restart.call_count for entry in entries]
        self.assertEqual(restarts, [1, 0, 1])
