"""Tests of ``benchmarks.platform_soak``: short seeded runs on real processes."""

import unittest

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
