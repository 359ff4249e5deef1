"""Tests for ``standins.instance_list``."""

import unittest

from standins.instance_list import InstanceList, InstanceListSettings
from standins.tests.helpers import call, start_stand_in


class InstanceListTests(unittest.TestCase):
    def test_lagging_list_returns_past_states(self):
        """Guards against a lag that only delays the response."""
        instances = start_stand_in(
            self, InstanceList(InstanceListSettings(live=("a", "b")))
        )
        call(instances.port, "PUT", "/instances/a", {"state": "leaving"})
        call(instances.port, "PUT", "/instances/b", {"state": "gone"})
        fresh = call(instances.port, "GET", "/instances")[1]
        self.assertEqual(fresh, {"live": [], "leaving": ["a"]})
        instances.control({"lag_seconds": 60})
        late = call(instances.port, "GET", "/instances")[1]
        self.assertEqual(late, {"live": ["a", "b"], "leaving": []})

    def test_unknown_state_is_rejected(self):
        instances = start_stand_in(self, InstanceList(InstanceListSettings()))
        self.assertEqual(
            call(instances.port, "PUT", "/instances/a", {"state": "dead"})[0], 400
        )
