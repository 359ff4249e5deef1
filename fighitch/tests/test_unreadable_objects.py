"""Tests of ``fighitch.gateway.unreadable_objects``."""

import unittest
from unittest import mock

import msgspec

from fighitch.gateway.unreadable_objects import UnreadableObjects
from fighitch.platform.store import StoredObject

ERROR = msgspec.DecodeError("JSON is nested too deeply")


def stored(name: str, revision: int) -> StoredObject:
    return StoredObject(name, revision, msgspec.Raw(b"null"))


class UnreadableObjectsTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.log = mock.Mock()
        self.unreadable = UnreadableObjects(self.log, "unreadable", lambda: self.now)

    def record(self, name: str, revision: int) -> None:
        self.unreadable.record(stored(name, revision), ERROR)

    def test_each_change_is_logged_once(self):
        # Each list repeats the objects that it contains.
        for revision in (1, 1, 2, 2, 2):
            self.record("a", revision)
        self.assertEqual(self.log.event.call_count, 2)
        fields = self.log.event.call_args.kwargs
        self.assertEqual((fields["entry"], fields["revision"]), ("a", 2))

    def test_lines_are_limited_and_counted(self):
        for number in range(5_000):
            self.record(f"i-{number}", number)
        self.assertLessEqual(self.log.event.call_count, 20)
        self.now += 20.0
        self.record("later", 9_999)
        suppressed = self.log.event.call_args.kwargs["suppressed"]
        self.assertEqual(self.log.event.call_count - 1 + suppressed, 5_000)

    def test_memory_is_bounded(self):
        for number in range(5_000):
            self.record(f"i-{number}", number)
        self.assertLessEqual(len(self.unreadable._logged), 1_000)


if __name__ == "__main__":
    unittest.main()
