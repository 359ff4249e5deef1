"""Tests of ``fighitch.gateway.peer_messages``."""

import struct
import unittest

from fighitch.gateway.peer_messages import BadMessageError, MessageReader


class OddMessageTests(unittest.TestCase):
    def test_deeply_nested_message_is_bad(self):
        """Guards against a connection that stays open and fails at every read."""
        for nesting in (b"\x91", b"\x81\x01"):
            # A heartbeat with an additional field.
            body = b"\x92\x0a" + nesting * 50_000 + b"\x01"
            with self.subTest(nesting), self.assertRaises(BadMessageError):
                MessageReader().feed(struct.pack(">I", len(body)) + body)


if __name__ == "__main__":
    unittest.main()
