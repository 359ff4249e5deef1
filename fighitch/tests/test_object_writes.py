"""Tests of ``fighitch.core.object_writes``."""

import unittest

from fighitch.core.http_calls import HttpResponse
from fighitch.core.object_writes import (
    WriteStatus,
    create,
    delete,
    parse_write_result,
    replace,
    resolve_lost_write,
)
from fighitch.tests.fake_http import LOST, NOT_SENT, answer, placement, placement_at


class WriteTests(unittest.TestCase):
    def test_outcome_of_each_response(self):
        """Guards against reporting a write as failed that may have taken effect."""
        write = replace(placement_at(4))
        for result, status in (
            (answer(200, placement_at(5)), WriteStatus.REPLACED),
            (answer(404), WriteStatus.NOT_FOUND),
            (answer(409), WriteStatus.CONFLICT),
            (answer(422), WriteStatus.REJECTED),
            (answer(429), WriteStatus.UNAVAILABLE),
            (NOT_SENT, WriteStatus.UNAVAILABLE),
            (answer(500), None),
            (answer(503), None),
            (LOST, None),
            (HttpResponse(200, b'{"metadata": {"reso'), None),
        ):
            with self.subTest(result):
                outcome = parse_write_result(write, result)
                self.assertEqual(outcome and outcome.status, status)

    def test_retry_after_is_passed_on(self):
        outcome = parse_write_result(
            create(placement_at(0)), answer(429, **{"retry-after": "7"})
        )
        self.assertEqual(outcome.retry_after, 7.0)

    def test_outcome_of_lost_writes(self):
        created, replaced = create(placement("a")), replace(placement_at(4))
        deleted = delete("Placement", "a", revision=4)
        for write, found, status in (
            (created, placement_at(9), WriteStatus.CREATED),
            (created, placement_at(9, replicas=9), WriteStatus.CONFLICT),
            (created, placement_at(9, labels={"x": "y"}), WriteStatus.CONFLICT),
            (created, None, None),
            (replaced, placement_at(5), WriteStatus.REPLACED),
            (replaced, placement_at(4, replicas=9), None),
            (replaced, placement_at(5, replicas=9), WriteStatus.CONFLICT),
            (replaced, None, WriteStatus.CONFLICT),
            (deleted, None, WriteStatus.DELETED),
            (deleted, placement_at(4), None),
            (deleted, placement_at(5), WriteStatus.CONFLICT),
        ):
            with self.subTest(write=write.status, found=found):
                outcome = resolve_lost_write(write, found)
                self.assertEqual(outcome and outcome.status, status)
