"""Tests of ``fighitch.core.entry.policies``."""

import unittest

from fighitch.core.entry.policies import allowed_policies, choose_policy
from fighitch.core.errors import ErrorKind
from fighitch.core.resources import CallerSpec, Kind, WorkPolicySpec
from fighitch.tests.entry_helpers import resource

CALLER = resource(Kind.CALLER, "ward", CallerSpec(key_digests=()), tier="gold")
POLICIES = [
    resource(Kind.WORK_POLICY, name, WorkPolicySpec(rank=rank, **selectors))
    for rank, (name, selectors) in enumerate(
        (
            ("silver", {"caller_selector": "tier=silver"}),
            ("desk", {"target_selector": "kind=desk"}),
            ("rest", {}),
        )
    )
]


def choose(work="", **labels):
    allowed = allowed_policies(POLICIES, caller=CALLER, targets=[labels])
    return choose_policy(allowed, caller=CALLER, work=work)


class SelectionTests(unittest.TestCase):
    def test_first_matching_policy_by_rank_is_selected(self):
        self.assertEqual(choose(kind="desk").ok.name, "desk")
        self.assertEqual(choose(kind="other").ok.name, "rest")

    def test_name_selects_among_matching_policies(self):
        self.assertEqual(choose("rest", kind="desk").ok.name, "rest")

    def test_name_of_a_policy_that_does_not_match_is_forbidden(self):
        """Guards against callers that raise their own rank."""
        for work in ("silver", "missing"):
            failure = choose(work, kind="desk").error
            self.assertIs(failure.kind, ErrorKind.FORBIDDEN)
            self.assertIn("['desk', 'rest']", failure.detail)


class MethodAndPathTests(unittest.TestCase):
    POLICIES = [
        resource(Kind.WORK_POLICY, name, WorkPolicySpec(rank=rank, **conditions))
        for rank, (name, conditions) in enumerate(
            (
                ("order", {"methods": ("POST",), "idempotent": False}),
                ("stock", {"path_prefixes": ("/stock", "/delivery")}),
                ("other", {"methods": ("GET",)}),
            )
        )
    ]

    def choose(self, method, path, work=""):
        return choose_policy(
            self.POLICIES, caller=CALLER, work=work, method=method, path=path
        )

    def test_method_and_path_select_the_policy(self):
        """Guards against lookups that require a key, and orders that are retried."""
        for method, path, expected in (
            ("POST", "/stock/1", "order"),
            ("post", "/place", "order"),
            ("GET", "/delivery/2", "stock"),
            ("GET", "/place", "other"),
        ):
            self.assertEqual(self.choose(method, path).ok.name, expected)

    def test_call_without_a_matching_policy_is_forbidden(self):
        failure = self.choose("DELETE", "/place").error
        self.assertIs(failure.kind, ErrorKind.FORBIDDEN)

    def test_name_cannot_select_an_idempotent_policy_for_an_order(self):
        self.assertTrue(self.choose("POST", "/place", "other").is_error())
