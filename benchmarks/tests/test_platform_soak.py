"""Tests of ``benchmarks.platform_soak``: short seeded runs with the real programs."""

import unittest

from benchmarks.platform_soak import PlatformSoak


class SoakRunTests(unittest.TestCase):
    def play(self, seed):
        record = PlatformSoak(seed=seed, seconds=6.0).run()
        self.assertEqual(record.violations, [], record.faults)
        self.assertGreater(len(record.sent), 100)

    def test_run_with_faults_breaks_no_promise(self):
        self.play(11)

    def test_planned_work_loses_no_answer(self):
        self.play(15)
