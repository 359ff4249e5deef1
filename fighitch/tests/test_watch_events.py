"""Tests of ``fighitch.core.watch_events``."""

import json
import unittest

from fighitch.core.watch_events import (
    Expired,
    ResourceChanged,
    WatchEnded,
    parse_watch_line,
)
from fighitch.tests.fake_http import placement_at


class WatchTests(unittest.TestCase):
    def line(self, event_type, value):
        return json.dumps({"type": event_type, "object": value}).encode()

    def test_each_kind_of_event(self):
        changed = parse_watch_line(self.line("ADDED", placement_at(5)))
        self.assertEqual((type(changed), changed.revision), (ResourceChanged, 5))
        deleted = parse_watch_line(self.line("DELETED", placement_at(6)))
        self.assertTrue(deleted.resource.is_deleted)
        gone = self.line("ERROR", {"code": 410})
        self.assertEqual(parse_watch_line(gone), Expired())
        failed = self.line("ERROR", {"code": 500, "message": "broken"})
        self.assertEqual(parse_watch_line(failed), WatchEnded("broken"))

    def test_malformed_line_ends_the_stream(self):
        """Guards against skipping a change, which the server does not send again."""
        for line in (b"{", b"[]", b'{"type": "ADDED"}'):
            with self.subTest(line):
                self.assertIsInstance(parse_watch_line(line), WatchEnded)
