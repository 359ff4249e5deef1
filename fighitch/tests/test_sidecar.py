"""Tests of ``fighitch.core.sidecar``."""

import unittest

import xxhash

from fighitch.core import messages
from fighitch.tests.sidecar_helpers import (
    Sidecar,
)


class AnswerTests(unittest.TestCase):
    def test_stream_is_numbered_and_its_end_describes_it(self):
        """Guards against an answer whose loss of a part goes unnoticed."""
        sidecar = Sidecar()
        sidecar.submit()
        sidecar.start()
        sidecar.data("one")
        sidecar.data("two")
        sidecar.end()
        chunks = sidecar.sent(messages.Chunk)
        self.assertEqual([chunk.sequence for chunk in chunks], [0, 1])
        (end,) = sidecar.sent(messages.End)
        self.assertEqual((end.chunk_count, end.byte_length), (2, 6))
        self.assertEqual(end.digest, xxhash.xxh3_64_intdigest(b"onetwo"))
        self.assertEqual(end.model, "a@1")
        self.assertEqual(sidecar.core.pins, 0)
        self.assertEqual(sidecar.core.in_flight, 0)
