"""Tests of ``fighitch.core.anti_entropy``."""

import unittest

from fighitch.core import anti_entropy, messages
from fighitch.core.anti_entropy import ConfigurationExchange
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.resources import Kind, Resource, WeightStoreSpec


def resources(count):
    spec = WeightStoreSpec(loads_per_second=1, max_in_transit=1)
    return [
        Resource(kind=Kind.WEIGHT_STORE, name=f"w{number}", revision=1, spec=spec)
        for number in range(count)
    ]


class Pair:
    """A peer with configuration and one without."""

    def __init__(self, count):
        self.full, self.empty = ConfigurationStore(), ConfigurationStore()
        self.full.merge(resources(count), revision=2)
        self.server = ConfigurationExchange(self.full)
        self.client = ConfigurationExchange(self.empty)

    def answers(self):
        request = messages.ConfigurationRequest(self.empty.revision)
        return [one.message for one in self.server.answer(1, request)]


class ExchangeTests(unittest.TestCase):
    def test_peer_with_a_higher_revision_is_asked_once(self):
        """Guards against a request for every heartbeat of every peer."""
        pair = Pair(1)
        self.assertEqual(len(pair.client.heard(1, 2, now=0.0)), 1)
        self.assertEqual(pair.client.heard(2, 2, now=0.5), [])
        self.assertEqual(len(pair.client.heard(2, 2, now=1.0)), 1)
        self.assertEqual(pair.server.heard(1, 0, now=0.0), [])

    def test_full_copy_in_parts_deletes_what_it_lacks(self):
        """Guards against a copy above the message limit and against lost deletions."""
        pair = Pair(anti_entropy._RESOURCES_PER_PART + 1)
        gone = Resource(
            kind=Kind.WEIGHT_STORE,
            name="gone",
            revision=1,
            spec=resources(1)[0].spec,
        )
        pair.empty.merge([gone], revision=0)
        parts = pair.answers()
        self.assertEqual(len(parts), 2)
        # The first part of an answer to a repeated request arrives in between.
        for part in (parts[0], *parts):
            pair.client.merge(1, part)
        self.assertEqual(pair.empty.revision, 2)
        self.assertEqual(len(list(pair.empty.of_kind(Kind.WEIGHT_STORE))), 2001)

    def test_lost_connection_leaves_no_half_copy(self):
        """Guards against deletions by a copy whose first part came earlier."""
        pair = Pair(anti_entropy._RESOURCES_PER_PART + 1)
        first, last = pair.answers()
        pair.client.merge(1, first)
        pair.client.closed(1)
        self.assertEqual(pair.empty.revision, 0)
        for part in (first, last):
            pair.client.merge(2, part)
        self.assertEqual(len(list(pair.empty.of_kind(Kind.WEIGHT_STORE))), 2001)

    def test_unreadable_delta_changes_nothing(self):
        """Guards against a broken message that stops the process."""
        pair = Pair(1)
        (event,) = pair.client.merge(1, messages.ConfigurationDelta(0, 9, b"{"))
        self.assertEqual(event.name, "configuration_unreadable")
        self.assertEqual(pair.empty.revision, 0)
