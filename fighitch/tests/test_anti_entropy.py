"""Tests of ``fighitch.core.anti_entropy``."""

import unittest

from fighitch.core import anti_entropy, messages
from fighitch.core.anti_entropy import ConfigurationExchange
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.messages import ConfigurationDelta, ConfigurationRequest
from fighitch.core.resources import Kind, Resource, WeightStoreSpec


def build_resources(count):
    spec = WeightStoreSpec(loads_per_second=1, max_in_transit=1)
    return [
        Resource(kind=Kind.WEIGHT_STORE, name=f"w{number}", revision=1, spec=spec)
        for number in range(count)
    ]


class PeerPair:
    """A peer that holds resources and a peer with an empty store."""

    def __init__(self, count):
        self.full, self.empty = ConfigurationStore(), ConfigurationStore()
        self.full.merge(build_resources(count), revision=2)
        self.server = ConfigurationExchange(self.full)
        self.client = ConfigurationExchange(self.empty)

    def deltas(self):
        """Returns the deltas that the full peer sends in response to the empty one."""
        request = messages.ConfigurationRequest(self.empty.revision)
        return [effect.message for effect in self.server.respond(1, request)]


class ExchangeTests(unittest.TestCase):
    def test_one_request_is_sent_to_peers_with_a_higher_revision(self):
        """Guards against one request per heartbeat and peer while one is in flight."""
        pair = PeerPair(1)
        self.assertEqual(len(pair.client.on_heartbeat(1, 2, now=0.0)), 1)
        self.assertEqual(pair.client.on_heartbeat(2, 2, now=0.5), [])
        self.assertEqual(len(pair.client.on_heartbeat(2, 2, now=1.0)), 1)
        self.assertEqual(pair.server.on_heartbeat(1, 0, now=0.0), [])

    def test_full_copy_in_parts_deletes_unlisted_resources(self):
        """Guards against an oversized message and against lost deletions."""
        pair = PeerPair(anti_entropy._RESOURCES_PER_PART + 1)
        deleted = Resource(
            kind=Kind.WEIGHT_STORE,
            name="gone",
            revision=1,
            spec=build_resources(1)[0].spec,
        )
        pair.empty.merge([deleted], revision=0)
        parts = pair.deltas()
        self.assertEqual(len(parts), 2)
        # A repeated request makes the first part arrive twice.
        for part in (parts[0], *parts):
            pair.client.merge(1, part)
        self.assertEqual(pair.empty.revision, 2)
        self.assertEqual(len(list(pair.empty.of_kind(Kind.WEIGHT_STORE))), 2001)

    def test_closed_connection_discards_a_partial_copy(self):
        """Guards against deletions by a copy whose parts came on two connections."""
        pair = PeerPair(anti_entropy._RESOURCES_PER_PART + 1)
        first, last = pair.deltas()
        pair.client.merge(1, first)
        pair.client.on_closed(1)
        self.assertEqual(pair.empty.revision, 0)
        for part in (first, last):
            pair.client.merge(2, part)
        self.assertEqual(len(list(pair.empty.of_kind(Kind.WEIGHT_STORE))), 2001)

    def test_malformed_delta_changes_nothing(self):
        """Guards against a malformed message that stops the process."""
        pair = PeerPair(1)
        (event,) = pair.client.merge(1, messages.ConfigurationDelta(0, 9, b"{"))
        self.assertEqual(event.name, "configuration_unreadable")
        self.assertEqual(pair.empty.revision, 0)


SPEC = WeightStoreSpec(loads_per_second=1, max_in_transit=1)


def resource(name, revision):
    return Resource(kind=Kind.WEIGHT_STORE, name=name, revision=revision, spec=SPEC)


def build_peers(*ahead):
    """Returns a pair of store and exchange at revision 5 for each list of changes.

    Args:
        *ahead: Changes beyond revision 5 that the store of each peer holds.
    """
    pairs = []
    for items in ahead:
        store = ConfigurationStore()
        store.merge([resource("a", 5)], revision=5)
        store.merge(items, revision=0)
        pairs.append((store, ConfigurationExchange(store)))
    return pairs


def deliver_heartbeat(peer, other, now):
    """Delivers a heartbeat of ``other`` to ``peer``; returns the requests sent."""
    (_, exchange), (other_store, other_exchange) = peer, other
    sent = exchange.on_heartbeat(
        1, other_store.revision, now=now, ahead=other_store.ahead
    )
    for request in sent:
        assert isinstance(request.message, ConfigurationRequest)
        for delta in other_exchange.respond(1, request.message):
            assert isinstance(delta.message, ConfigurationDelta)
            exchange.merge(1, delta.message)
    return sent


class ChangesAheadTests(unittest.TestCase):
    def test_handed_over_change_propagates_without_the_object_api(self):
        """Guards against an accepted change that stays on one entry in an outage."""
        one, other = build_peers([resource("new", 9)], [])
        deliver_heartbeat(other, one, 0.0)
        self.assertIsNotNone(other[0].get(Kind.WEIGHT_STORE, "new"))
        self.assertEqual(other[0].position, one[0].position)
        self.assertEqual(other[0].revision, 5)

    def test_peers_with_different_changes_converge(self):
        """Guards against a comparison that considers only the newest change."""
        one, other = build_peers([resource("b", 8)], [resource("c", 9)])
        deliver_heartbeat(one, other, 0.0)
        deliver_heartbeat(other, one, 0.0)
        for store, _ in (one, other):
            self.assertEqual(
                {item.name for item in store.of_kind(Kind.WEIGHT_STORE)}, set("abc")
            )
        self.assertEqual(one[0].ahead, other[0].ahead)
        self.assertEqual(deliver_heartbeat(one, other, 9.0), [])

    def test_digest_is_zero_after_the_sequence_catches_up(self):
        """Guards against peers that request changes from each other endlessly."""
        ((store, _),) = build_peers([resource("b", 8)])
        self.assertNotEqual(store.ahead, 0)
        store.merge([resource("b", 8)], revision=8, base=5)
        self.assertEqual(store.position, (8, 0))
