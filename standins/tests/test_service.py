"""Tests for ``standins.service``."""

import http.client
import unittest

from standins.service import Service, ServiceSettings
from standins.tests.helpers import call, start_stand_in


class ServiceTests(unittest.TestCase):
    def setUp(self):
        self.service = start_stand_in(self, Service(ServiceSettings()))

    def post(self, key):
        headers = {"Idempotency-Key": key}
        return call(self.service.port, "POST", "/a/b", b"body", headers)

    def boot_id(self):
        return call(self.service.port, "GET", "/load")[1]["boot_id"]

    def runs(self):
        return call(self.service.port, "GET", "/runs")[1]

    def test_repeated_key_runs_again(self):
        """Guards against deduplication that hides a second run."""
        self.assertEqual([self.post("k")[1]["run"] for _ in range(2)], [1, 2])
        self.assertEqual(self.runs(), {"k": 2})

    def test_call_with_lost_response_runs_and_rejected_call_does_not(self):
        self.service.control({"lose_next_answers": 1})
        with self.assertRaises(http.client.RemoteDisconnected):
            self.post("lost")
        self.service.control({"refuse_next": 1})
        self.assertEqual(self.post("refused")[0], 503)
        self.assertEqual(self.runs(), {"lost": 1})

    def test_restart_changes_the_boot_id_and_keeps_the_counts(self):
        self.post("k")
        before = call(self.service.port, "GET", "/load")[1]["boot_id"]
        self.service.control({"restart": True})
        self.assertNotEqual(
            call(self.service.port, "GET", "/load")[1]["boot_id"], before
        )
        self.assertEqual(self.runs(), {"k": 1})

    def test_down_closes_connections_until_reset_through_the_control_port(self):
        port = self.service.control_port
        call(port, "POST", "/control", {"down": True})
        with self.assertRaises(ConnectionError):
            self.post("k")
        call(port, "POST", "/control", {"down": False})
        self.assertEqual(self.post("k")[0], 200)
