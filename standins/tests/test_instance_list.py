"""Tests of ``standins.instance_list``."""

import unittest

from standins.instance_list import InstanceList, InstanceListSettings
from standins.tests.helpers import call, started


class InstanceListTests(unittest.TestCase):
    def test_list_shows_the_past_while_it_lags(self):
        """Guards against a lag that only delays the answer."""
        instances = started(self, InstanceList(InstanceListSettings(live=("a", "b"))))
        call(instances.port, "PUT", "/instances/a", {"state": "leaving"})
        call(instances.port, "PUT", "/instances/b", {"state": "gone"})
        fresh = call(instances.port, "GET", "/instances")[1]
        self.assertEqual(fresh, {"live": [], "leaving": ["a"]})
        instances.control({"lag_seconds": 60})
        late = call(instances.port, "GET", "/instances")[1]
        self.assertEqual(late, {"live": ["a", "b"], "leaving": []})

    def test_unknown_state_is_refused(self):
        instances = started(self, InstanceList(InstanceListSettings()))
        self.assertEqual(
            call(instances.port, "PUT", "/instances/a", {"state": "dead"})[0], 400
        )
