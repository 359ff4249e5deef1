"""Tests of ``fighitch.core.configuration``."""

import unittest

from hypothesis import given, seed, settings, strategies as st

from fighitch.core.configuration import (
    ConfigurationStore,
    decode_resources,
    encode_resources,
)
from fighitch.core.resources import (
    AdapterSpec,
    AdapterVersionSpec,
    Kind,
    Resource,
    WeightStoreSpec,
)


def resource(name, revision, *, deleted=False):
    spec = None if deleted else WeightStoreSpec(loads_per_second=1, max_in_transit=1)
    return Resource(kind=Kind.WEIGHT_STORE, name=name, revision=revision, spec=spec)


class MergeTests(unittest.TestCase):
    def test_older_change_from_a_stale_peer_is_ignored(self):
        """Guards against a resource that reverts to an older state."""
        store = ConfigurationStore()
        store.merge([resource("a", 5)], revision=5)
        self.assertFalse(store.merge([resource("a", 3)], revision=3, base=2))
        self.assertEqual(store.get(Kind.WEIGHT_STORE, "a").revision, 5)
        self.assertEqual(store.revision, 5)

    def test_deleted_resource_is_not_restored_by_a_stale_peer(self):
        """Guards against a peer that is behind and still sends a deleted resource."""
        store = ConfigurationStore()
        store.merge([resource("a", 5)], revision=5)
        store.merge([resource("a", 6, deleted=True)], revision=6, base=5)
        store.merge([resource("a", 5)], revision=5, base=4)
        self.assertIsNone(store.get(Kind.WEIGHT_STORE, "a"))

    def test_change_ahead_of_the_sequence_does_not_advance_the_revision(self):
        """Guards against a gap: the revisions in between must still be requested."""
        store = ConfigurationStore()
        store.merge([resource("a", 5)], revision=5)
        store.merge([resource("b", 9)], revision=0)
        self.assertEqual(store.revision, 5)
        self.assertIsNotNone(store.get(Kind.WEIGHT_STORE, "b"))

    def test_full_list_deletes_unlisted_resources_but_not_newer_changes(self):
        """Guards against deleting a change that is newer than the full list."""
        store = ConfigurationStore()
        store.merge([resource("a", 1), resource("b", 2)], revision=2)
        store.merge([resource("new", 9)], revision=0)
        store.merge([resource("b", 2)], revision=7)
        self.assertIsNone(store.get(Kind.WEIGHT_STORE, "a"))
        self.assertIsNotNone(store.get(Kind.WEIGHT_STORE, "new"))

    def test_delta_with_a_gap_does_not_advance_the_revision(self):
        """Guards against changes in the gap that are never requested."""
        store = ConfigurationStore()
        store.merge([resource("a", 1)], revision=1)
        store.merge([resource("b", 9)], revision=9, base=5)
        self.assertEqual(store.revision, 1)

    @seed(20261204)
    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.integers(1, 30), st.booleans()),
            max_size=20,
            unique_by=lambda change: change[1],
        ),
        st.randoms(use_true_random=False),
    )
    def test_merge_is_commutative_and_idempotent(self, changes, random):
        """Guards against replicas that differ after receiving the same changes."""
        items = [resource(name, rev, deleted=deleted) for name, rev, deleted in changes]
        one, other = ConfigurationStore(), ConfigurationStore()
        for item in items:
            one.merge([item], revision=0)
        shuffled = items * 2
        random.shuffle(shuffled)
        for item in shuffled:
            other.merge([item], revision=0)
        self.assertEqual(
            sorted(map(repr, one.of_kind(Kind.WEIGHT_STORE))),
            sorted(map(repr, other.of_kind(Kind.WEIGHT_STORE))),
        )


class InterningTests(unittest.TestCase):
    def test_equal_values_of_decoded_resources_are_one_object(self):
        """Guards against 22,000 adapters that each hold a copy of model and labels."""
        versions = tuple(AdapterVersionSpec(name="v1", source=name) for name in "ab")
        resources = [
            Resource(
                kind=Kind.ADAPTER,
                name=name,
                revision=1,
                labels={"work": "question"},
                spec=AdapterSpec(model="m", versions=versions, default_version="v1"),
            )
            for name in ("one", "two")
        ]
        store = ConfigurationStore()
        store.merge(decode_resources(encode_resources(resources)), revision=1)
        one, two = store.of_kind(Kind.ADAPTER)
        self.assertEqual([one, two], resources)
        self.assertIs(one.labels, two.labels)
        self.assertIs(one.spec.model, two.spec.model)
        self.assertIs(one.spec.versions[0].name, two.spec.versions[1].name)


class PeerExchangeTests(unittest.TestCase):
    def test_delta_brings_a_peer_to_the_same_state(self):
        """Guards against a delta that omits deletions."""
        store, peer = ConfigurationStore(), ConfigurationStore()
        store.merge([resource("a", 1), resource("b", 2)], revision=2)
        peer.merge([resource("a", 1), resource("b", 2)], revision=2)
        store.merge([resource("a", 3, deleted=True)], revision=3, base=2)
        base, changes = store.changes_since(peer.revision)
        decoded = decode_resources(encode_resources(changes))
        peer.merge(decoded, revision=store.revision, base=base)
        self.assertEqual(peer.revision, 3)
        self.assertIsNone(peer.get(Kind.WEIGHT_STORE, "a"))
        self.assertEqual(
            peer.get(Kind.WEIGHT_STORE, "b").spec,
            WeightStoreSpec(loads_per_second=1, max_in_transit=1),
        )
