"""Tests of ``fighitch.gateway.zone_traffic``."""

import json
import unittest
from unittest import mock

import msgspec

from fighitch.core.gateway.backend_choice import EngineView, failure_penalty
from fighitch.core.gateway.settings import Address, InstanceSettings
from fighitch.gateway.metrics import EntryMetrics
from fighitch.gateway.zone_traffic import ZoneTraffic
from fighitch.platform.settings import decode_settings
from fighitch.tests.gateway_helpers import A1, server

SETTINGS = {
    "NodeName": "front-1",
    "Ip": "127.0.0.1",
    "Zone": "z1",
    "InternalPorts": [1],
    "Platform": {"Address": "127.0.0.1:1"},
}


def settings(**bounds: float) -> InstanceSettings:
    return decode_settings(json.dumps(SETTINGS | {"Bounds": bounds}).encode())


class SettingsTests(unittest.TestCase):
    def test_price_of_a_byte(self):
        self.assertEqual(settings().store, Address("127.0.0.1", 1))
        self.assertIsNone(settings().cross_zone_seconds_per_byte)
        changed = settings(CrossZoneMsPerMb=500)
        self.assertAlmostEqual(changed.cross_zone_seconds_per_byte, 5e-7)

    def test_negative_price_is_rejected(self):
        # It would draw all work out of its zone.
        with self.assertRaises(msgspec.ValidationError):
            settings(CrossZoneMsPerMb=-1)


class ZoneTrafficTests(unittest.TestCase):
    def setUp(self):
        self.loop, self.log = mock.Mock(), mock.Mock()
        self.loop.now.return_value = 0.0
        self.metrics = EntryMetrics()
        self.unusable = set()
        self.traffic = ZoneTraffic(
            self.loop,
            settings(),
            self.log,
            self.metrics,
            is_usable=lambda item: item.instance_id not in self.unusable,
        )
        self.servers = [server("a"), server("b", zone="z2")]

    def send(self, name, adapter=None, views=None, avoid=()):
        chosen = next(item for item in self.servers if item.instance_id == name)
        return self.traffic.record_sent(
            chosen, adapter, self.servers, views or {}, avoid
        )

    def end(self, name, outcome, elapsed=0.1, unreachable=False):
        chosen = next(item for item in self.servers if item.instance_id == name)
        self.traffic.record_outcome(
            chosen,
            unreachable=unreachable,
            outcome=outcome,
            elapsed=elapsed,
            answered=outcome == "answered",
        )

    def best(self, *, may_probe=True, penalties=None, delays=None):
        links = mock.Mock(views={})
        penalty = (penalties or {}).get
        ranked = self.traffic.rank(
            "models",
            None,
            self.servers,
            links,
            lambda name: penalty(name, 0.0),
            avoid=set(),
            may_probe=may_probe,
            delays=delays or {},
        )
        return ranked[0].server.instance_id

    def test_reasons_to_leave(self):
        views = {
            name: EngineView(name, adapters={A1: 1}, connected=True) for name in "ab"
        }
        self.assertEqual(self.send("a", A1, views), "")
        self.assertEqual(self.send("b", A1, views), "full")
        self.assertEqual(self.send("b", A1, views, avoid={"a"}), "retry")
        views["a"].adapters.clear()
        self.assertEqual(self.send("b", A1, views), "adapter")
        self.unusable = {"a"}
        self.assertEqual(self.send("b", A1, views), "none_ready")
        rendered = self.metrics.render().decode()
        self.assertIn(
            'fighitch_zone_attempts_total{reason="adapter",service="models",'
            'zone="z2"} 1.0',
            rendered,
        )
        self.assertIn('reason="own_zone",service="models",zone="z1"} 1.0', rendered)

    def test_summary_names_what_left_and_why(self):
        for name in ("a", "a", "a", "b"):
            self.send(name)
        (_, log_summary), _ = self.loop.call_every.call_args
        log_summary()
        log_summary()
        self.log.event.assert_called_once_with(
            "zone_left",
            service="models",
            zone="z2",
            reason="full",
            attempts=1,
            share="0.250",
        )

    def test_refusals_are_not_fast_responses(self):
        self.assertEqual(self.best(), "a")
        self.send("a")
        self.end("a", "answered")
        self.assertEqual(self.best(), "a")
        self.send("a")
        self.end("a", "rejected_503", elapsed=0.001)
        self.assertEqual(self.best(), "b")

    def test_request_that_was_not_sent_says_nothing_of_its_server(self):
        for outcome, unreachable in (("withdrawn", False), ("reset", True)):
            self.send("a")
            self.end("a", outcome, elapsed=9.0, unreachable=unreachable)
        load = self.traffic._plain.by_id["a"]
        self.assertEqual((load.running, load.measured_at), (0, None))

    def test_request_that_may_not_run_twice_probes_no_suspect_server(self):
        # The caller of an order got an error because its order was the probe of a
        # server that had failed before.
        for _ in range(50):
            self.send("a")
            self.end("a", "answered")
        failed = failure_penalty(paused=False, failure_ratio=0.2)
        self.assertEqual(self.best(may_probe=False, penalties={"b": failed}), "a")
        self.assertEqual(self.best(may_probe=True, penalties={"b": failed}), "b")
        # One that is only slow, or not known, is tried again by any request.
        self.assertEqual(self.best(may_probe=False), "b")

    def test_probe_does_not_wait_for_the_limit_of_its_server(self):
        # A request waited, or got 503, as the probe of a server that limits requests
        # while another server had room.
        for _ in range(50):
            self.send("a")
            self.end("a", "answered")
        self.assertEqual(self.best(delays={"b": 0.8}), "a")
        self.assertEqual(self.best(delays={"b": 0.0}), "b")

    def test_removed_server_is_forgotten(self):
        self.send("a")
        self.traffic.forget("a")
        self.end("a", "answered")
        self.assertEqual(self.traffic._plain.by_id, {})
