"""Tests of ``fighitch.core.sidecar.streams``."""

import unittest

from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.invariants import InvariantViolation
from fighitch.core.sidecar.streams import (
    MAX_CHUNK_BYTES,
    ResponseInfo,
    StreamKey,
    StreamTable,
)


def key(request_id="r"):
    return StreamKey("e1", 1, request_id, 1)


class RetainedChunksTests(unittest.TestCase):
    def test_memory_is_limited_and_evicted_chunks_are_never_resumed(self):
        """Guards against unbounded buffers and against a stream with missing chunks."""
        table = StreamTable(max_retained_bytes=25, max_stream_bytes=20)
        ended, live = table.open(key("a"), 1), table.open(key("b"), 1)
        table.add_data(ended, b"x" * 20)
        ended.end(ResponseInfo(200), 0.0)
        table.mark_ended(ended)
        for _ in range(3):
            table.add_data(live, b"y" * 10)
        self.assertEqual(table.retained_bytes, 20)
        self.assertIsNone(ended.messages_from(0), "its only chunk was evicted")
        self.assertIsNone(live.messages_from(0))
        self.assertEqual([chunk.sequence for chunk in live.messages_from(1)], [1, 2])
        self.assertIsNone(
            live.messages_from(4), "a sequence number that was never sent"
        )

    def test_large_data_is_split(self):
        """Guards against a message above the size limit."""
        table = StreamTable(max_retained_bytes=2**30, max_stream_bytes=2**30)
        stream = table.open(key(), 1)
        chunks = table.add_data(stream, b"x" * (2 * MAX_CHUNK_BYTES + 1))
        self.assertEqual([chunk.sequence for chunk in chunks], [0, 1, 2])
        self.assertEqual(stream.end(ResponseInfo(200), 0.0).chunk_count, 3)


class InvariantTests(unittest.TestCase):
    def setUp(self):
        table = StreamTable(max_retained_bytes=100, max_stream_bytes=100)
        self.stream = table.open(key(), 1)
        self.stream.add_data(b"one")

    def test_broken_numbering_is_detected(self):
        """Guards against invariant checks that can never fail."""
        self.stream._next_sequence += 1
        with self.assertRaisesRegex(InvariantViolation, "resumed_sequence_without"):
            self.stream.messages_from(0)
        with self.assertRaisesRegex(InvariantViolation, "=sequence_without_gaps"):
            self.stream.add_data(b"two")

    def test_anything_after_the_end_is_detected(self):
        """Guards against invariant checks that can never fail."""
        self.stream.end(ResponseInfo(200), 0.0)
        with self.assertRaisesRegex(InvariantViolation, "no_chunk_after_the_end"):
            self.stream.add_data(b"two")
        with self.assertRaisesRegex(InvariantViolation, "one_end_for_an_attempt"):
            self.stream.refuse(Failure(ErrorKind.INTERNAL, ""), 0.0)
