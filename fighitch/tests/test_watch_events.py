"""Tests of ``fighitch.core.watch_events``."""

import json
import unittest

from fighitch.core.watch_events import Changed, Expired, WatchEnded, read_watch_line
from fighitch.tests.fake_http import placement_at


class WatchTests(unittest.TestCase):
    def line(self, event_type, value):
        return json.dumps({"type": event_type, "object": value}).encode()

    def test_lines(self):
        changed = read_watch_line(self.line("ADDED", placement_at(5)))
        self.assertEqual((type(changed), changed.revision), (Changed, 5))
        deleted = read_watch_line(self.line("DELETED", placement_at(6)))
        self.assertTrue(deleted.resource.is_deleted)
        gone = self.line("ERROR", {"code": 410})
        self.assertEqual(read_watch_line(gone), Expired())
        failed = self.line("ERROR", {"code": 500, "message": "broken"})
        self.assertEqual(read_watch_line(failed), WatchEnded("broken"))

    def test_unreadable_line_ends_the_stream(self):
        """Guards against skipping a change that nobody repeats."""
        for line in (b"{", b"[]", b'{"type": "ADDED"}'):
            with self.subTest(line):
                self.assertIsInstance(read_watch_line(line), WatchEnded)
