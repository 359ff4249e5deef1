"""Tests of ``fighitch.core.entry.policies``."""

import unittest

from fighitch.core.entry.policies import choose_policy
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
    return choose_policy(POLICIES, caller=CALLER, targets=[labels], work=work)


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
