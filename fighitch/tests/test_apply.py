"""Tests of ``fighitch.core.apply``."""

import unittest

from fighitch.core.apply import (
    LAST_APPLIED,
    ApplyConflict,
    Unchanged,
    last_applied,
    plan_apply,
)
from fighitch.core.object_api import labels_of
from fighitch.core.object_writes import Write, WriteStatus, with_labels
from fighitch.tests.fake_http import placement


def as_stored(document, revision=5):
    """Returns a written document as the object API stores it."""
    metadata = {**document["metadata"], "resourceVersion": str(revision)}
    return {**document, "metadata": metadata}


def applied(revision=5, *, manager="ann", **content):
    """Returns a placement as the object API stores it after an apply."""
    plan = plan_apply(placement("a", **content), None, manager=manager)
    return as_stored(plan.document, revision)


class PlanTests(unittest.TestCase):
    def plan(self, desired, existing, *, force=False):
        return plan_apply(desired, existing, manager="ann", force=force)

    def test_new_object_is_created_with_the_annotation(self):
        plan = self.plan(placement("a"), None)
        self.assertIs(plan.status, WriteStatus.CREATED)
        self.assertEqual(last_applied(plan.document).manager, "ann")

    def test_same_file_again_changes_nothing(self):
        """Guards against a new revision for every run of a deployment pipeline."""
        self.assertIsInstance(self.plan(placement("a"), applied()), Unchanged)

    def test_own_change_replaces_the_version_that_was_read(self):
        plan = self.plan(placement("a", replicas=3), applied(7))
        self.assertIsInstance(plan, Write)
        self.assertEqual((plan.status, plan.base), (WriteStatus.REPLACED, 7))
        self.assertEqual(plan.document["spec"]["maxReplicas"], 3)

    def test_changes_of_others_are_conflicts_unless_forced(self):
        """Guards against silently overwriting a change of another operator."""
        edited = {**applied(), "spec": {"maxReplicas": 9}}
        unmanaged = applied()
        del unmanaged["metadata"]["annotations"][LAST_APPLIED]
        relabelled = with_labels(applied(labels={"tier": "gold"}), {"tier": "iron"})
        desired = placement("a", replicas=3, labels={"tier": "tin"})
        for existing, expected in (
            (edited, "spec.maxReplicas"),
            (unmanaged, "not created by apply"),
            (relabelled, "label tier"),
            (applied(manager="bob", replicas=4), "'bob'"),
        ):
            with self.subTest(expected):
                plan = self.plan(desired, existing)
                self.assertIsInstance(plan, ApplyConflict)
                self.assertIn(expected, plan.detail)
                forced = self.plan(desired, existing, force=True)
                self.assertIs(forced.status, WriteStatus.REPLACED)

    def test_same_content_applied_by_another_manager_is_no_conflict(self):
        """Guards against a conflict although no change would be overwritten."""
        plan = self.plan(placement("a"), applied(manager="bob"))
        self.assertEqual(last_applied(plan.document).manager, "ann")

    def test_stated_version_must_match(self):
        """Guards against overwriting changes made after the stated version."""
        desired = placement("a", replicas=3, resourceVersion="4")
        self.assertIsInstance(self.plan(desired, applied(5)), ApplyConflict)
        self.assertIsInstance(self.plan(desired, None), ApplyConflict)
        edited = {**applied(4), "spec": {"maxReplicas": 9}}
        self.assertIsInstance(self.plan(desired, edited), Write)

    def test_labels_that_others_added_are_kept_and_dropped_ones_removed(self):
        """Guards against an apply that removes the drain label and so ends a drain."""
        existing = applied(labels={"tier": "gold", "old": "1"})
        existing = with_labels(existing, {"fighitch.dev/drain": "true"})
        plan = self.plan(placement("a", labels={"tier": "gold"}), existing)
        expected = {"tier": "gold", "fighitch.dev/drain": "true"}
        self.assertEqual(labels_of(plan.document), expected)
