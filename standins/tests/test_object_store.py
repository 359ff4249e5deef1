"""Tests for ``standins.object_store``."""

import unittest

from standins.object_store import ObjectStore, StoreError


def claim(name, **fields):
    return {"metadata": {"name": name}, **fields}


def weight_store(name, *, transit=1, version=None, labels=None):
    metadata = {"name": name, "labels": labels or {}}
    if version is not None:
        metadata["resourceVersion"] = version
    spec = {"loadsPerSecond": 1, "maxInTransit": transit}
    return {"kind": "WeightStore", "metadata": metadata, "spec": spec}


class ObjectStoreTests(unittest.TestCase):
    def setUp(self):
        self.store = ObjectStore(history_size=3)

    def assert_rejected(self, status, reason, call, *arguments, **named):
        with self.assertRaises(StoreError) as caught:
            call(*arguments, **named)
        self.assertEqual(
            (caught.exception.status, caught.exception.reason), (status, reason)
        )

    def test_second_create_and_stale_writes_conflict(self):
        """Guards against lost updates and against a claim that is created twice."""
        store = self.store
        store.create("claims", claim("k"))
        self.assert_rejected(409, "AlreadyExists", store.create, "claims", claim("k"))
        store.create("weightstores", weight_store("w"))
        store.update("weightstores", "w", weight_store("w", transit=2, version="2"))
        stale = weight_store("w", transit=3, version="2")
        self.assert_rejected(409, "Conflict", store.update, "weightstores", "w", stale)
        self.assert_rejected(
            409, "Conflict", store.delete, "weightstores", "w", version="2"
        )

    def test_update_without_effect_keeps_the_version(self):
        self.store.create("weightstores", weight_store("w"))
        same = self.store.update("weightstores", "w", weight_store("w"))
        self.assertEqual(same["metadata"]["resourceVersion"], "1")

    def test_deletion_has_a_revision_and_claims_are_not_in_the_history(self):
        self.store.create("weightstores", weight_store("w"))
        self.store.create("claims", claim("k"))
        self.store.delete("weightstores", "w")
        changes = [
            (change.type.value, change.document["metadata"]["resourceVersion"])
            for change in self.store.changes_since(0)
        ]
        self.assertEqual(changes, [("ADDED", "1"), ("DELETED", "3")])

    def test_changes_beyond_the_history_are_expired(self):
        """Guards against a watch that skips changes silently."""
        for number in range(5):
            self.store.create("weightstores", weight_store(f"w{number}"))
        self.assertTrue(self.store.is_expired(1))
        self.assertFalse(self.store.is_expired(2))

    def test_selector_filters_and_invalid_documents_are_rejected(self):
        self.store.create("weightstores", weight_store("a", labels={"tier": "x"}))
        self.store.create("weightstores", weight_store("b"))
        chosen = self.store.list_collection("weightstores", selector="tier=x")
        self.assertEqual([item["metadata"]["name"] for item in chosen], ["a"])
        bad = {**weight_store("c"), "spec": {"loadsPerSecond": "many"}}
        self.assert_rejected(422, "Invalid", self.store.create, "weightstores", bad)
        self.assert_rejected(404, "NotFound", self.store.get, "weightstores", "c")
