"""Tests of ``fighitch.core.gateway.entry_count``."""

import math
import unittest

from fighitch.core.gateway.entry_count import (
    EntryCount,
    EntryReports,
    settling_time,
    watch_pause,
)


class EntryCountTests(unittest.TestCase):
    def test_short_rise_is_not_remembered(self):
        # The agents count a replaced entry twice for two seconds; each such replacement
        # would otherwise cost a part of the quota for minutes.
        count = EntryCount()
        for step in range(100):
            count.record(13 if 20 <= step < 40 else 12, 0.1 * step)
        self.assertEqual(count.value, 12)

    def test_number_before_a_partition_is_remembered(self):
        count = EntryCount()
        for step in range(100):
            count.record(12, 0.1 * step)
        for step in range(100, 1_000):
            count.record(3, 0.1 * step)
        self.assertEqual(count.value, 12)

    def test_removed_entries_are_forgotten(self):
        count = EntryCount()
        for step in range(100):
            count.record(12, 0.1 * step)
        for step in range(400):
            count.record(10, 10.0 + step)
        self.assertEqual(count.value, 10)


class StoredCountTests(unittest.TestCase):
    def test_no_share_before_the_number_is_settled(self):
        # Guards against new entries that spend shares the others still divide among
        # themselves.
        count = EntryCount()
        count.record(12, 0.0)
        self.assertEqual(count.own_divisor, math.inf)
        count.record_stored(12, 0.0, is_settled=False)
        self.assertEqual((count.value, count.own_divisor), (12, math.inf))
        count.record_stored(12, 3.0)
        self.assertEqual(count.own_divisor, 12)

    def test_higher_number_counts(self):
        # Guards against a partition's agents and against a store that lacks objects.
        for stored, reported in ((12, 3), (3, 12)):
            count = EntryCount()
            count.record_stored(stored, 0.0)
            count.record(reported, 0.0)
            self.assertEqual(count.value, 12)

    def test_deleted_object_counts_for_a_while(self):
        # Guards against shares of others that grow while a stopping entry drains, or
        # before entries have written again what a restore has lost.
        count = EntryCount()
        count.record_stored(12, 0.0)
        count.record_stored(11, 1.0)
        self.assertEqual(count.value, 12)
        count.record_stored(11, 31.0)
        self.assertEqual(count.value, 11)

    def test_last_number_stays_without_the_store(self):
        # Guards against a number that expires during an outage.
        count = EntryCount()
        count.record_stored(12, 0.0)
        count.record(3, 10_000.0)
        self.assertEqual(count.value, 12)

    def test_new_entry_waits_for_the_pauses_of_the_others(self):
        # Guards against 710 entries that read the number less often than a new one
        # assumes.
        for entries in (1, 12, 710):
            self.assertGreater(settling_time(entries), watch_pause(entries))


class EntryReportsTests(unittest.TestCase):
    def setUp(self):
        self.reports = EntryReports("e0")
        self.reports.replace_stored(["e0", "e1", "e2"], 0.0)

    def report(self, *names: str, start: int, end: int) -> None:
        for now in range(start, end, 60):
            self.reports.record_reported(names, now)

    def test_entry_that_no_agent_reports_is_gone(self):
        # Guards against entries that were replaced and cost a share for good.
        self.report("e0", "e1", start=0, end=301)
        self.assertEqual(self.reports.gone(300.0), [])
        self.report("e0", "e1", start=301, end=400)
        self.assertEqual(self.reports.gone(400.0), ["e2"])

    def test_nothing_is_gone_without_reports(self):
        # Guards against deletions in deployments without agents, and by an entry that
        # has just found its agents again.
        self.assertEqual(self.reports.gone(1_000.0), [])
        self.report("e0", "e1", start=1_000, end=1_200)
        self.assertEqual(self.reports.gone(1_200.0), [])

    def test_reports_without_the_own_name_do_not_count(self):
        # Guards against agents that know of one side of a partition only.
        self.report("e1", start=0, end=1_000)
        self.assertEqual(self.reports.gone(1_000.0), [])

    def test_one_entry_deletes(self):
        # Guards against a deletion by each of 710 entries.
        reports = EntryReports("e1")
        reports.replace_stored(["e0", "e1", "e2"], 0.0)
        for now in range(0, 400, 60):
            reports.record_reported(["e0", "e1"], now)
        self.assertEqual(reports.gone(400.0), [])

    def test_new_object_is_not_gone(self):
        # Guards against the deletion of an entry that agents have not reported yet.
        self.report("e0", "e1", start=0, end=600)
        self.reports.remove_stored("e2")
        self.reports.add_stored("e2", 550.0)
        self.assertEqual(self.reports.gone(600.0), [])

    def test_own_entry_always_counts(self):
        # Guards against a list from before the own object was written.
        self.reports.replace_stored(["e1"], 1.0)
        self.assertEqual((self.reports.count, self.reports.has_own), (2, False))


if __name__ == "__main__":
    unittest.main()
