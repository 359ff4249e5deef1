"""Servers that say in their answers that they leave.

Entries passed the header on and sent further requests for as long as the instance list
called the server ready.
"""

import signal
import threading
import time
import unittest

from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_backends import PlatformBackend
from standins.platform_fleet import PlatformFleet, wait_until

ENTRIES = 3
# DrainMs if the settings do not state it.
DRAIN_SECONDS = 2.0
ADAPTER = "a1"


class LeavingTestCase(FleetTestCase):
    def setUp(self):
        self.fleet = PlatformFleet(engines=2, entries=ENTRIES)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.assertTrue(wait_until(self.agents_connected))
        self.numbers = iter(range(100_000))

    def send(self, route: str, entry: int):
        adapter = ADAPTER if route in ("stream", "resume") else ""
        return self.fleet.send_request(
            route, f"{route}-{next(self.numbers)}", entry=entry, adapter=adapter
        )

    def send_at_once(self, route: str, entry: int, count: int) -> list:
        """Sends requests together and returns the responses."""
        responses = []
        threads = [
            threading.Thread(target=lambda: responses.append(self.send(route, entry)))
            for _ in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return responses

    def let_entries_see(self, server: PlatformBackend, route: str) -> None:
        """Sends requests until each entry has passed on an answer of the server."""
        server.leaving = True
        for entry in range(ENTRIES):

            def has_passed_on(entry: int = entry) -> bool:
                responses = self.send_at_once(route, entry, 6)
                return any("server-leaving" in item.headers for item in responses)

            self.assertTrue(wait_until(has_passed_on))

    def assert_left_alone(
        self, server: PlatformBackend, route: str, seconds: float = 0.0
    ) -> None:
        """Asserts that requests through all entries are served elsewhere."""
        before = len(server.received)
        end = time.monotonic() + seconds
        while True:
            for entry in range(ENTRIES):
                statuses = {item.status for item in self.send_at_once(route, entry, 6)}
                self.assertEqual(statuses, {200})
            if time.monotonic() >= end:
                break
        self.assertEqual(server.received[before:], [])

    def assert_gets_requests(self, server: PlatformBackend) -> None:
        """Asserts that a plain server gets requests while the others are busy."""
        for other in self.fleet.plain_servers:
            # Else one fast server could take all requests, one after the other.
            other.response_delay = 0.0 if other is server else 0.2
        before = len(server.runs)
        for entry in range(ENTRIES):
            self.send_at_once("lookup", entry, 6)
        self.assertGreater(len(server.runs), before)


class PlainServerTests(LeavingTestCase):
    def setUp(self):
        super().setUp()
        self.server = self.fleet.plain_servers[0]

    def test_leaving_server_that_is_listed_as_ready_gets_no_requests(self):
        self.let_entries_see(self.server, "lookup")
        self.fleet.publish_heartbeat(self.server)
        self.assert_left_alone(self.server, "lookup", DRAIN_SECONDS)

    def test_leaving_server_gets_no_requests_while_the_store_is_down(self):
        self.fleet.store.down = True
        self.let_entries_see(self.server, "order")
        self.assert_left_alone(self.server, "order")

    def test_restored_list_does_not_bring_a_leaving_server_back(self):
        self.let_entries_see(self.server, "lookup")
        self.fleet.store.remove("servers", self.server.instance_id)
        time.sleep(1.5)
        self.fleet.publish_heartbeat(self.server)
        self.fleet.store.compact_history()
        time.sleep(1.5)
        self.assert_left_alone(self.server, "lookup", 1.0)

    def test_server_that_was_removed_before_it_said_that_it_leaves(self):
        # The answers that say so belong to requests from before the removal.
        for server in self.fleet.plain_servers:
            server.response_delay = 2.5
        responses = [[] for _ in range(ENTRIES)]
        threads = [
            threading.Thread(
                target=lambda entry=entry: responses[entry].extend(
                    self.send_at_once("order", entry, 8)
                )
            )
            for entry in range(ENTRIES)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.server.leaving = True
        self.fleet.store.remove("servers", self.server.instance_id)
        for thread in threads:
            thread.join()
        for items in responses:
            self.assertTrue(any("server-leaving" in item.headers for item in items))
        for server in self.fleet.plain_servers:
            server.response_delay = 0.0
        self.fleet.publish_heartbeat(self.server)
        time.sleep(1.5)
        self.assert_left_alone(self.server, "order")

    def test_next_server_at_the_same_address_gets_requests(self):
        self.let_entries_see(self.server, "lookup")
        previous = self.server.instance_id
        self.server.instance_id += "-next"
        self.server.start_time_ms += 10_000
        self.server.leaving = False
        self.fleet.publish_heartbeat(self.server)
        self.fleet.store.remove("servers", previous)
        time.sleep(1.5)
        self.assert_gets_requests(self.server)

    def test_same_server_gets_requests_after_a_restart(self):
        self.let_entries_see(self.server, "lookup")
        self.server.start_time_ms += 10_000
        self.server.leaving = False
        self.fleet.publish_heartbeat(self.server)
        time.sleep(1.5)
        self.assert_gets_requests(self.server)


class EngineTests(LeavingTestCase):
    def setUp(self):
        super().setUp()
        self.send("stream", 0)
        self.engine = next(engine for engine in self.fleet.engines if engine.runs)

    def agent(self):
        return self.fleet.agents[self.fleet.engines.index(self.engine)]

    def test_agent_tells_all_entries_what_a_report_says(self):
        self.fleet.store.down = True
        self.engine.leaving = True
        time.sleep(1.0)
        self.assert_left_alone(self.engine, "stream")

    def let_one_entry_see(self) -> None:
        """Sends requests until the first entry has passed on an answer."""
        self.engine.reports_leaving = False
        self.engine.leaving = True
        self.assertTrue(
            wait_until(lambda: "server-leaving" in self.send("stream", 0).headers)
        )

    def test_entry_that_sees_an_answer_tells_the_others(self):
        self.fleet.store.down = True
        self.let_one_entry_see()
        time.sleep(0.5)
        self.assert_left_alone(self.engine, "stream")

    def test_restarted_agent_learns_from_an_entry_what_no_report_says(self):
        self.let_one_entry_see()
        self.agent().kill_and_restart()
        self.assert_left_alone(self.engine, "stream", DRAIN_SECONDS)
        self.fleet.entries[1].kill_and_restart()
        self.assertTrue(wait_until(lambda: self.fleet.is_ready(self.fleet.entries[1])))
        time.sleep(1.0)
        self.assert_left_alone(self.engine, "stream")

    def test_agent_that_restarts_learns_it_again(self):
        self.engine.leaving = True
        time.sleep(1.0)
        self.agent().kill_and_restart()
        self.assert_left_alone(self.engine, "stream", DRAIN_SECONDS)

    def test_entries_without_agents_leave_an_engine_alone(self):
        for agent in self.fleet.agents:
            agent.signal(signal.SIGKILL)
        time.sleep(1.5)
        self.let_entries_see(self.engine, "stream")
        before = len(self.engine.received)
        for entry in range(ENTRIES):
            self.send_at_once("stream", entry, 6)
        self.assertEqual(self.engine.received[before:], [])

    def test_requests_that_wait_for_the_engine_go_elsewhere(self):
        for engine in self.fleet.engines:
            engine.server_limit = 1.5
        self.send_at_once("stream", 0, 6)
        waiting = [
            threading.Thread(target=self.send_at_once, args=("stream", entry, 6))
            for entry in range(ENTRIES)
        ]
        for thread in waiting:
            thread.start()
        time.sleep(0.3)
        self.engine.leaving = True
        time.sleep(1.0)
        before = len(self.engine.received)
        for thread in waiting:
            thread.join()
        self.assertEqual(self.engine.received[before:], [])

    def test_restarted_engine_gets_requests(self):
        self.engine.leaving = True
        time.sleep(1.0)
        self.assert_left_alone(self.engine, "stream")
        previous = self.engine.instance_id
        self.engine.call(lambda: self.engine.restart(f"{previous}+1"))
        self.fleet.publish_heartbeat(self.engine)
        self.fleet.store.remove("servers", previous)
        other = next(item for item in self.fleet.engines if item is not self.engine)
        other.leaving = True
        before = len(self.engine.runs)

        def is_served() -> bool:
            self.send("stream", 1)
            return len(self.engine.runs) > before

        self.assertTrue(wait_until(is_served))


if __name__ == "__main__":
    unittest.main()
