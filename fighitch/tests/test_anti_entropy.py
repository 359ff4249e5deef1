"""Tests of ``fighitch.core.anti_entropy``."""

import unittest

from fighitch.core.anti_entropy import ConfigurationExchange
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.messages import ConfigurationDelta, ConfigurationRequest
from fighitch.core.resources import Kind, Resource, WeightStoreSpec

SPEC = WeightStoreSpec(loads_per_second=1, max_in_transit=1)


def resource(name, revision):
    return Resource(kind=Kind.WEIGHT_STORE, name=name, revision=revision, spec=SPEC)


def peers(*ahead):
    """Returns stores at revision 5, each with changes beyond it, and exchanges."""
    found = []
    for items in ahead:
        store = ConfigurationStore()
        store.merge([resource("a", 5)], revision=5)
        store.merge(items, revision=0)
        found.append((store, ConfigurationExchange(store)))
    return found


def gossip(peer, other, now):
    """Lets a peer hear the heartbeat of another; returns the messages sent."""
    (_, exchange), (other_store, other_exchange) = peer, other
    sent = exchange.heard(1, other_store.revision, now=now, ahead=other_store.ahead)
    for request in sent:
        assert isinstance(request.message, ConfigurationRequest)
        for answer in other_exchange.answer(1, request.message):
            assert isinstance(answer.message, ConfigurationDelta)
            exchange.merge(1, answer.message)
    return sent


class AheadTests(unittest.TestCase):
    def test_change_that_was_handed_over_spreads_without_the_object_api(self):
        """Guards against an accepted change that stays at one entry in an outage."""
        one, other = peers([resource("new", 9)], [])
        gossip(other, one, 0.0)
        self.assertIsNotNone(other[0].get(Kind.WEIGHT_STORE, "new"))
        self.assertEqual(other[0].position, one[0].position)
        self.assertEqual(other[0].revision, 5)

    def test_peers_with_different_changes_come_to_hold_both(self):
        """Guards against a comparison that sees only the newest change."""
        one, other = peers([resource("b", 8)], [resource("c", 9)])
        gossip(one, other, 0.0)
        gossip(other, one, 0.0)
        for store, _ in (one, other):
            self.assertEqual(
                {item.name for item in store.of_kind(Kind.WEIGHT_STORE)}, set("abc")
            )
        self.assertEqual(one[0].ahead, other[0].ahead)
        self.assertEqual(gossip(one, other, 9.0), [])

    def test_sequence_that_catches_up_leaves_nothing_ahead(self):
        """Guards against peers that ask each other for ever."""
        ((store, _),) = peers([resource("b", 8)])
        self.assertNotEqual(store.ahead, 0)
        store.merge([resource("b", 8)], revision=8, base=5)
        self.assertEqual(store.position, (8, 0))
