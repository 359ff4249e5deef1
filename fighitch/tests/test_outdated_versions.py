"""Adapter versions of engines whose agent has gone or comes back."""

import signal
import threading
import time
import unittest
from functools import partial

from fighitch.core.gateway.adapter_cache import OUTDATED_VERSION_GRACE
from fighitch.core.gateway.backend_choice import EngineRanker, EngineView
from fighitch.core.gateway.model import AdapterName
from fighitch.tests.gateway_helpers import A1, MODEL, server
from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_fleet import wait_until

# Time after a version was announced from which no request may begin on an older one.
VERSION_SECONDS = 5.0
ADAPTERS = ("a1", "a2", "a3")


class EngineWithoutAgentTests(FleetTestCase):
    """Guards against requests that begin on an old version of their adapter.

    Without its agent, nobody orders an engine to load the new version, and entries sent
    straight to it as long as it held any.
    """

    def setUp(self):
        super().setUp()
        self.assertTrue(wait_until(self.agents_connected))
        self.numbers = iter(range(100_000))

    def announce(self, version: int) -> None:
        for adapter in ADAPTERS:
            for engine in self.fleet.engines:
                engine.versions[adapter] = version
            name = f"base.{adapter}"
            spec = {"Model": "base", "Adapter": adapter, "Version": version}
            self.fleet.store.put("versions", name, spec)

    def send(self, adapter: str, entry: int = 0):
        name = f"r{next(self.numbers)}"
        return self.fleet.send_request("stream", name, adapter=adapter, entry=entry)

    def is_served(self, adapter: str) -> bool:
        return self.send(adapter).status == 200

    def load_adapters(self) -> None:
        self.announce(1)
        for adapter in ADAPTERS:
            served = partial(self.is_served, adapter)
            self.assertTrue(wait_until(served))

    def old_runs(self, since: float) -> list[float]:
        """Returns how late after an announcement requests began on version 1."""
        return [
            begin.at - since
            for engine in self.fleet.engines
            for begin in engine.begins
            if begin.version == 1 and begin.at - since > VERSION_SECONDS
        ]

    def send_for(self, seconds: float) -> list:
        """Sends requests for all adapters at the same time; returns their statuses."""
        end = time.monotonic() + seconds
        statuses = []

        def send_all(adapter: str, entry: int) -> None:
            while time.monotonic() < end:
                statuses.append(self.send(adapter, entry).status)
                time.sleep(0.05)

        threads = [
            threading.Thread(target=send_all, args=(adapter, entry))
            for adapter in ADAPTERS
            for entry in range(len(self.fleet.entries))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def test_engine_whose_agent_left_gets_no_requests_for_outdated_adapters(self):
        self.load_adapters()
        held = [len(engine.begins) for engine in self.fleet.engines]
        agent = self.fleet.agents[held.index(max(held))]
        agent.signal(signal.SIGTERM)
        agent.process.wait(15)
        time.sleep(1.0)
        self.announce(2)
        announced_at = time.monotonic()
        statuses = self.send_for(VERSION_SECONDS + 2.5)
        self.assertEqual(self.old_runs(announced_at), [])
        served = statuses.count(200)
        self.assertGreater(served, 0.9 * len(statuses))

    def test_no_request_begins_on_an_outdated_version_without_any_agent(self):
        self.load_adapters()
        for agent in self.fleet.agents:
            agent.signal(signal.SIGTERM)
        for agent in self.fleet.agents:
            agent.process.wait(15)
        time.sleep(1.0)
        self.announce(2)
        announced_at = time.monotonic()
        statuses = self.send_for(VERSION_SECONDS + 1.5)
        self.assertEqual(self.old_runs(announced_at), [])
        # A rejection says truly that the request has not run.
        self.assertEqual(set(statuses) - {200, 503}, set())

    def test_agent_that_was_paused_does_not_admit_to_an_outdated_adapter(self):
        # The grace of an old version began when the agent heard of the new one.
        self.load_adapters()
        for agent in self.fleet.agents:
            agent.signal(signal.SIGSTOP)
        self.announce(2)
        announced_at = time.monotonic()
        time.sleep(VERSION_SECONDS)
        for engine in self.fleet.engines:
            engine.faults.lost_orders = 30
        for agent in self.fleet.agents:
            agent.signal(signal.SIGCONT)
        self.send_for(2.0)
        self.assertEqual(self.old_runs(announced_at), [])


class RankingTests(unittest.TestCase):
    """Choice of an engine for an adapter with a newer version."""

    def rank(self, required_version: int, *, connected: bool) -> list[str]:
        views = {
            "old": EngineView(
                "old", adapters={A1: 1, AdapterName(MODEL): 0}, connected=connected
            ),
            "empty": EngineView(
                "empty", adapters={AdapterName(MODEL): 0}, connected=True
            ),
        }
        ranked = EngineRanker("z1").rank(
            A1,
            [server("old"), server("empty")],
            views,
            lambda _name: 0.0,
            required_version=required_version,
        )
        return [item.server.instance_id for item in ranked]

    def test_engine_without_an_agent_that_holds_an_old_version_comes_last(self):
        self.assertEqual(self.rank(2, connected=False), ["empty", "old"])

    def test_engine_with_an_agent_can_replace_its_old_version(self):
        self.assertEqual(self.rank(2, connected=True), ["old", "empty"])

    def test_grace_is_well_below_the_time_for_a_new_version(self):
        self.assertLess(2 * OUTDATED_VERSION_GRACE, VERSION_SECONDS)


if __name__ == "__main__":
    unittest.main()
