"""Tests of ``fighitch.core.gateway.quarantine``."""

import unittest

from fighitch.core.gateway.crash_evidence import Crash
from fighitch.core.gateway.model import Incarnation
from fighitch.core.gateway.quarantine import Quarantine, StoredQuarantine

BAD = frozenset({"bad"})
FOREVER = 1e15


class QuarantineTests(unittest.TestCase):
    def setUp(self):
        self.quarantine = Quarantine()

    def crash_engines(self) -> None:
        for at in (1.0, 2.0, 3.0):
            engine = Incarnation(f"e{at}", 1)
            self.quarantine.evidence.record_crash(Crash(engine, at, BAD))

    def test_stored_parts_are_blocked_without_evidence(self):
        # An instance that starts after a stop of all instances has no evidence.
        self.quarantine.replace_stored({"n": StoredQuarantine(BAD, 10)}, 0.0)
        self.assertTrue(self.quarantine.blocks(("first", "bad")))
        self.assertFalse(self.quarantine.blocks(("first",)))

    def test_stored_parts_that_were_answered_here_are_not_blocked(self):
        # An entry that was cut off took the most common part for harmful and stored it;
        # all entries rejected all requests with it from then on.
        self.quarantine.evidence.record_answered(BAD, 0.0)
        self.quarantine.put_stored("n", StoredQuarantine(BAD, 10))
        self.assertFalse(self.quarantine.blocks(("bad",)))
        self.assertEqual(self.quarantine.groups, set())

    def test_parts_that_were_answered_before_are_not_stored(self):
        self.quarantine.evidence.record_answered(BAD, 0.0)
        for at in (1.0, 2.0, 3.0, 4.0, 5.0):
            engine = Incarnation(f"e{at}", 1)
            self.quarantine.evidence.record_crash(Crash(engine, at, BAD))
        self.assertTrue(self.quarantine.blocks(("bad",)))
        self.quarantine.groups_to_store(5.0)
        self.assertEqual(self.quarantine.groups_to_store(20.0), [])

    def test_stored_quarantine_ends_with_its_time(self):
        self.quarantine.put_stored("n", StoredQuarantine(BAD, 10))
        self.quarantine.expire(0.0, 9.0)
        self.assertTrue(self.quarantine.blocks(("bad",)))
        self.quarantine.expire(0.0, 11.0)
        self.assertFalse(self.quarantine.blocks(("bad",)))

    def test_group_is_stored_after_it_has_stood_for_a_while(self):
        self.crash_engines()
        self.quarantine.record_own_parts(BAD)
        self.assertEqual(self.quarantine.groups_to_store(3.0), [])
        self.assertEqual(self.quarantine.groups_to_store(4.1), [BAD])
        self.quarantine.put_stored("n", StoredQuarantine(BAD, 10))
        self.assertEqual(self.quarantine.groups_to_store(4.2), [])

    def test_instance_without_own_losses_stores_later(self):
        # Otherwise all instances would write the same object at the same time.
        self.crash_engines()
        self.quarantine.groups_to_store(3.0)
        self.assertEqual(self.quarantine.groups_to_store(4.5), [])
        self.assertEqual(self.quarantine.groups_to_store(6.0), [BAD])

    def test_deleted_object_releases_its_parts(self):
        self.crash_engines()
        self.quarantine.put_stored("n", StoredQuarantine(BAD, FOREVER))
        self.quarantine.release("n", 5.0)
        self.assertFalse(self.quarantine.blocks(("bad",)))

    def test_stored_group_without_its_crashes_is_not_blocked(self):
        # An engine that counted as crashed was only silent. The stored group would
        # outlast the evidence for an hour.
        self.crash_engines()
        self.quarantine.put_stored("n", StoredQuarantine(BAD, FOREVER))
        self.assertEqual(self.quarantine.refuted_names, [])
        self.assertTrue(self.quarantine.refute_crash(Incarnation("e3.0", 1), 4.0))
        self.assertFalse(self.quarantine.blocks(("bad",)))
        self.assertEqual(self.quarantine.refuted_names, ["n"])

    def test_remaining_crashes_count_after_one_was_refuted(self):
        self.crash_engines()
        self.quarantine.put_stored("n", StoredQuarantine(BAD, FOREVER))
        self.quarantine.refute_crash(Incarnation("e3.0", 1), 4.0)
        self.quarantine.release("n", 4.5)
        crash = Crash(Incarnation("e4", 1), 5.0, BAD)
        self.quarantine.evidence.record_crash(crash)
        self.assertTrue(self.quarantine.blocks(("bad",)))
        self.quarantine.expire(5.0, 0.0)
        self.quarantine.groups_to_store(5.0)
        self.assertEqual(self.quarantine.groups_to_store(9.0), [BAD])

    def test_object_missing_from_a_new_list_releases_its_parts(self):
        # The object was deleted while the store could not be watched.
        self.crash_engines()
        self.quarantine.put_stored("n", StoredQuarantine(BAD, FOREVER))
        self.quarantine.replace_stored({}, 5.0)
        self.assertFalse(self.quarantine.blocks(("bad",)))


if __name__ == "__main__":
    unittest.main()
