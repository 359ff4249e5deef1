"""Tests of ``fighitch.core.claims``."""

import unittest

from fighitch.core.claims import read_created_claim, read_found_claim
from fighitch.core.inputs import ClaimStatus
from fighitch.tests.fake_http import LOST, NOT_SENT, answer


class ClaimTests(unittest.TestCase):
    def test_only_a_certain_answer_is_certain(self):
        """Guards against a second run because a claim seemed not to exist."""
        for result, status in (
            (answer(201), ClaimStatus.CREATED),
            (answer(409), ClaimStatus.EXISTS),
            (answer(503), ClaimStatus.ANSWER_LOST),
            (LOST, ClaimStatus.ANSWER_LOST),
            (NOT_SENT, ClaimStatus.UNAVAILABLE),
            (answer(429), ClaimStatus.UNAVAILABLE),
        ):
            with self.subTest(result):
                self.assertIs(read_created_claim(result, "t").status, status)
        for result, status in (
            (answer(200, {"spec": {"ticket": "t"}}), ClaimStatus.EXISTS),
            (answer(200, {"spec": {}}), ClaimStatus.UNAVAILABLE),
            (answer(404), ClaimStatus.NOT_FOUND),
            (answer(500), ClaimStatus.UNAVAILABLE),
            (LOST, ClaimStatus.UNAVAILABLE),
        ):
            with self.subTest(result):
                self.assertIs(read_found_claim(result).status, status)
