"""Tests of ``fighitch.core.gateway.store_epoch`` and of the epoch's header."""

import unittest

from fighitch.core.gateway.store_epoch import (
    EpochStatus,
    StoreEpoch,
    is_restored_copy,
)
from fighitch.platform.store import decode_epoch
from fighitch.runtime.http_exchange import ResponseHead


class StoreEpochTests(unittest.TestCase):
    def setUp(self):
        self.epoch = StoreEpoch()

    def test_first_epoch_is_no_restore(self):
        self.assertIs(self.epoch.record(7, 0.0), EpochStatus.CURRENT)
        self.assertEqual(self.epoch.current, 7)

    def test_higher_epoch_is_a_restore_once(self):
        self.epoch.record(7, 0.0)
        self.assertIs(self.epoch.record(8, 1.0), EpochStatus.RESTORED)
        self.assertIs(self.epoch.record(8, 1.1), EpochStatus.CURRENT)

    def test_skipped_epochs_are_one_restore(self):
        self.epoch.record(7, 0.0)
        self.assertIs(self.epoch.record(9, 1.0), EpochStatus.RESTORED)

    def test_late_response_of_an_earlier_epoch_changes_nothing(self):
        self.epoch.record(8, 0.0)
        self.assertIs(self.epoch.record(7, 1.0), EpochStatus.OUTDATED)
        self.assertEqual(self.epoch.current, 8)

    def test_response_without_an_epoch_is_current(self):
        self.epoch.record(8, 0.0)
        self.assertIs(self.epoch.record(None, 1.0), EpochStatus.CURRENT)
        self.assertEqual(self.epoch.current, 8)

    def test_wrong_high_epoch_does_not_lock_the_store_out(self):
        self.epoch.record(8, 0.0)
        self.epoch.record(999, 1.0)
        statuses = [self.epoch.record(8, 1.0 + second) for second in range(10)]
        self.assertIs(statuses[0], EpochStatus.OUTDATED)
        self.assertIs(statuses[-1], EpochStatus.CURRENT)
        self.assertEqual(self.epoch.current, 8)

    def test_copy_of_an_unknown_epoch_is_not_taken_for_restored(self):
        self.assertFalse(is_restored_copy(None, 5))
        self.assertFalse(is_restored_copy(5, 5))
        self.assertTrue(is_restored_copy(5, 6))


class EpochHeaderTests(unittest.TestCase):
    def decode(self, *values: bytes) -> int | None:
        return decode_epoch(ResponseHead(200, [(b"Store-Era", v) for v in values]))

    def test_count_is_read(self):
        self.assertEqual(self.decode(b" 12 "), 12)

    def test_missing_or_unreadable_value_is_unknown(self):
        self.assertIsNone(self.decode())
        for value in (b"", b"-1", b"x", b"1.5", b"1_0", b"\xb2", b"9" * 5_000):
            with self.subTest(value=value[:10]):
                self.assertIsNone(self.decode(value))


if __name__ == "__main__":
    unittest.main()
