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


class ChoiceTests(unittest.TestCase):
    def test_first_match_by_rank(self):
        self.assertEqual(choose(kind="desk").ok.name, "desk")
        self.assertEqual(choose(kind="other").ok.name, "rest")

    def test_a_name_chooses_among_those_that_match(self):
        self.assertEqual(choose("rest", kind="desk").ok.name, "rest")

    def test_a_name_gives_no_right_that_the_selectors_do_not_give(self):
        """Guards against a caller that raises its own rank."""
        for work in ("silver", "missing"):
            failure = choose(work, kind="desk").error
            self.assertIs(failure.kind, ErrorKind.FORBIDDEN)
            self.assertIn("['desk', 'rest']", failure.detail)


class CallTests(unittest.TestCase):
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

    def test_method_and_path_tell_orders_from_lookups(self):
        """Guards against lookups that need a key, and orders that are repeated."""
        for method, path, expected in (
            ("POST", "/stock/1", "order"),
            ("post", "/place", "order"),
            ("GET", "/delivery/2", "stock"),
            ("GET", "/place", "other"),
        ):
            self.assertEqual(self.choose(method, path).ok.name, expected)

    def test_call_that_no_policy_covers_is_refused(self):
        failure = self.choose("DELETE", "/place").error
        self.assertIs(failure.kind, ErrorKind.FORBIDDEN)

    def test_order_cannot_be_declared_a_lookup_by_name(self):
        self.assertTrue(self.choose("POST", "/place", "other").is_error())
