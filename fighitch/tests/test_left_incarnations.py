"""Tests of ``fighitch.core.gateway.left_incarnations``."""

import unittest
from unittest import mock

from fighitch.core.gateway import left_incarnations
from fighitch.core.gateway.left_incarnations import LeftIncarnations
from fighitch.core.gateway.model import Incarnation


class LeftIncarnationsTests(unittest.TestCase):
    def setUp(self):
        self.left = LeftIncarnations()

    def test_earlier_incarnations_have_left_too(self):
        self.assertTrue(self.left.add(Incarnation("a", 5)))
        self.assertFalse(self.left.add(Incarnation("a", 4)))
        self.assertIn(Incarnation("a", 4), self.left)
        self.assertNotIn(Incarnation("a", 6), self.left)
        self.assertNotIn(Incarnation("b", 4), self.left)

    def test_number_of_servers_is_bounded(self):
        with mock.patch.object(left_incarnations, "_MAX_SERVERS", 2):
            for name in ("a", "b", "a", "c"):
                self.left.add(Incarnation(name, 2 if name == "a" else 1))
        known = [name for name in "abc" if Incarnation(name, 1) in self.left]
        self.assertEqual(known, ["b", "c"])

    def test_server_that_leaves_again_is_kept_longer(self):
        with mock.patch.object(left_incarnations, "_MAX_SERVERS", 2):
            for server in (("a", 1), ("b", 1), ("a", 2), ("c", 1)):
                self.left.add(Incarnation(*server))
        known = [name for name in "abc" if Incarnation(name, 1) in self.left]
        self.assertEqual(known, ["a", "c"])


if __name__ == "__main__":
    unittest.main()
