"""Tests of ``fighitch.core.gateway.server_limits``."""

import unittest

from fighitch.core.gateway.model import Incarnation
from fighitch.core.gateway.server_limits import ServerLimits

SERVER = Incarnation("s1", 1)


class ServerLimitsTests(unittest.TestCase):
    def setUp(self):
        self.limits = ServerLimits()

    def record(self, rate: float | None, *, sent_at: float, now: float) -> bool:
        return self.limits.record_response(SERVER, rate, sent_at=sent_at, now=now)

    def test_limit_holds_until_a_response_to_a_later_request_names_none(self):
        self.assertTrue(self.record(2.5, sent_at=1.0, now=1.2))
        self.assertTrue(self.record(None, sent_at=1.3, now=1.4))
        self.assertIsNone(self.limits.rate(SERVER))

    def test_response_that_was_overtaken_does_not_end_the_limit(self):
        self.record(2.5, sent_at=1.0, now=1.2)
        self.assertFalse(self.record(None, sent_at=1.1, now=1.3))
        self.assertEqual(self.limits.rate(SERVER), 2.5)

    def test_changed_limit_is_applied(self):
        self.record(2.5, sent_at=1.0, now=1.2)
        self.assertTrue(self.record(1.5, sent_at=1.0, now=1.3))
        self.assertFalse(self.record(1.5, sent_at=1.0, now=1.4))
        self.assertEqual(self.limits.rate(SERVER), 1.5)

    def test_restarted_server_has_no_limit(self):
        self.record(2.5, sent_at=1.0, now=1.2)
        self.assertIsNone(self.limits.rate(Incarnation("s1", 2)))

    def test_removed_server_is_forgotten(self):
        self.record(2.5, sent_at=1.0, now=1.2)
        self.limits.forget("s1")
        self.assertIsNone(self.limits.rate(SERVER))


if __name__ == "__main__":
    unittest.main()
