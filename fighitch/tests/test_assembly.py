"""Tests of ``fighitch.core.entry.assembly``."""

import dataclasses
import unittest

from fighitch.core.entry.assembly import ChunkState, ResponseAssembly
from fighitch.core.messages import Chunk, Submit
from fighitch.tests.entry_helpers import build_response

SUBMIT = Submit("r", 1, "caller", 0, None, "/", b"", 1)


class VerificationTests(unittest.TestCase):
    def test_sequence_numbers_are_checked(self):
        """Guards against a response with missing or repeated chunks."""
        assembly = ResponseAssembly(keeps_data=True)
        self.assertIs(assembly.accept(Chunk("r", 1, 1, b"b")), ChunkState.GAP)
        self.assertIs(assembly.accept(Chunk("r", 1, 0, b"a")), ChunkState.NEXT)
        self.assertIs(assembly.accept(Chunk("r", 1, 0, b"a")), ChunkState.DUPLICATE)
        self.assertEqual((assembly.next_sequence, assembly.body()), (1, b"a"))

    def test_every_difference_from_the_end_is_detected(self):
        """Guards against accepting a partial or corrupted response."""
        first, second, end = build_response(SUBMIT, b"a", b"b")
        assembly = ResponseAssembly(keeps_data=False)
        assembly.accept(first)
        self.assertIn("chunk count", assembly.mismatch(end))
        self.assertTrue(assembly.is_missing_chunks(end))
        assembly.accept(second)
        self.assertEqual(assembly.mismatch(end), "")
        for field in ("byte_length", "digest"):
            changed = dataclasses.replace(end, **{field: 9})
            self.assertIn(field.replace("_", " "), assembly.mismatch(changed))
