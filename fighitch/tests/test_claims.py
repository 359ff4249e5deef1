"""Tests of ``fighitch.core.claims``."""

import unittest
from datetime import timedelta

import msgspec

from fighitch.core.claims import (
    claims_older_than,
    parse_claim_list,
    parse_create_claim_result,
    parse_read_claim_result,
)
from fighitch.core.http_calls import HttpResponse, NoResponse
from fighitch.core.inputs import ClaimStatus
from fighitch.tests.fake_http import LOST, NOT_SENT, answer


class ClaimTests(unittest.TestCase):
    def test_ambiguous_results_are_not_reported_as_final(self):
        """Guards against a second run after a claim was wrongly reported as absent."""
        for result, status in (
            (answer(201), ClaimStatus.CREATED),
            (answer(409), ClaimStatus.EXISTS),
            (answer(503), ClaimStatus.ANSWER_LOST),
            (LOST, ClaimStatus.ANSWER_LOST),
            (NOT_SENT, ClaimStatus.UNAVAILABLE),
            (answer(429), ClaimStatus.UNAVAILABLE),
        ):
            with self.subTest(result):
                self.assertIs(parse_create_claim_result(result, "t").status, status)
        for result, status in (
            (answer(200, {"spec": {"ticket": "t"}}), ClaimStatus.EXISTS),
            (answer(200, {"spec": {}}), ClaimStatus.UNAVAILABLE),
            (answer(404), ClaimStatus.NOT_FOUND),
            (answer(500), ClaimStatus.UNAVAILABLE),
            (LOST, ClaimStatus.UNAVAILABLE),
        ):
            with self.subTest(result):
                self.assertIs(parse_read_claim_result(result).status, status)


class PruneTests(unittest.TestCase):
    NOW = {"date": "Fri, 04 Dec 2026 12:00:00 GMT"}

    def parse_claims(self, *created, headers=NOW):
        items = [
            {
                "metadata": {
                    "name": f"c{number}",
                    "resourceVersion": str(number),
                    "creationTimestamp": time,
                }
            }
            for number, time in enumerate(created, 1)
        ]
        body = msgspec.json.encode({"items": items})
        return parse_claim_list(HttpResponse(200, body, headers))

    def test_age_of_claims_is_measured_by_the_servers_clock(self):
        """Guards against a second run of an order whose claim was pruned too early."""
        claims = self.parse_claims(
            "2026-12-03T11:59:59Z", "2026-12-03T12:00:01Z", None
        ).ok
        found = list(claims_older_than(claims, timedelta(hours=24)))
        self.assertEqual(found, [("c1", 1)])

    def test_response_without_a_date_is_an_error(self):
        self.assertTrue(
            self.parse_claims("2026-12-03T11:59:59Z", headers={}).is_error()
        )
        lost = parse_claim_list(NoResponse(sent=True))
        self.assertTrue(lost.is_error())
