import itertools
import signal
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import msgspec

from standins.platform_backends import WRONG_CONTINUATIONS, BackendFaults
from standins.platform_fleet import PlatformFleet, wait_until


class FleetTestCase(unittest.TestCase):
    """Runs the gateway processes against stand-ins for the platform."""

    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def agents_connected(self) -> bool:
        return all(
            entry.log().count("event=agent_connected") >= len(self.fleet.agents)
            for entry in self.fleet.entries
        )

    def runs(self, request_id: str) -> int:
        servers = (*self.fleet.plain_servers, *self.fleet.engines)
        return sum(
            run.request_id == request_id for server in servers for run in server.runs
        )

    def use_shared_faults(self, servers) -> BackendFaults:
        """Shares one set of faults, so that each occurs at one server only."""
        faults = BackendFaults()
        for server in servers:
            server.faults = faults
        return faults

    def assert_complete_stream(self, response, request_id: str, count: int = 4):
        self.assertEqual((response.status, response.complete), (200, True), response)
        ids = [
            line.removeprefix(b"id: ")
            for line in response.body.split(b"\n")
            if line.startswith(b"id: ")
        ]
        expected = [str(number).encode() for number in range(1, count + 1)]
        self.assertEqual(ids, expected)
        self.assertIn(request_id.encode(), response.body)


class EndToEndTests(FleetTestCase):
    def test_requests_of_every_work_kind_are_served(self):
        self.assertTrue(wait_until(self.agents_connected))
        for number in range(8):
            name = f"s{number}"
            response = self.fleet.send_request(
                "stream", name, adapter=f"a{number}", entry=number % 2
            )
            self.assert_complete_stream(response, name)
        for route in ("order", "lookup"):
            response = self.fleet.send_request(route, route, Hold="1", Pin_Ms="9")
            self.assertEqual((response.status, response.complete), (200, True))
            self.assertEqual(response.body, f"answer to {route}".encode())
            self.assertIn("response-signature", response.headers)
        runs = [run for server in self.fleet.plain_servers for run in server.runs]
        for run in runs:
            self.assertEqual((run.body, run.target[-4:]), (b"body", "?q=1"))
            self.assertNotIn("hold", run.headers)
            self.assertNotIn("pin-ms", run.headers)
            self.assertLessEqual(int(run.headers["deadline-ms"]), 4_000)
        for engine in self.fleet.engines:
            self.assertLessEqual(engine.overcommit, 0)
            for order in engine.orders:
                self.assertIn("Expect", order.fields)

    def test_unrouted_request_gets_404_until_its_route_is_added(self):
        self.assertEqual(self.fleet.send_request("added", "x1").status, 404)
        self.fleet.put_configuration(added={"Kind": "idempotent", "Service": "orders"})
        self.assertTrue(
            wait_until(lambda: self.fleet.send_request("added", "x2").status == 200)
        )

    def test_order_with_lost_response_is_not_retried_and_gets_502(self):
        # A 503 would claim that the order has not run, although it may have.
        for server in self.fleet.plain_servers:
            server.faults.reset = 1
        response = self.fleet.send_request("order", "o1")
        self.assertEqual(response.status, 502)
        self.assertEqual(self.runs("o1"), 1)

    def test_order_shed_by_a_server_runs_once_on_another(self):
        self.fleet.plain_servers[0].faults.shed = 1
        self.fleet.plain_servers[1].faults.shed = 1
        responses = [
            self.fleet.send_request("order", f"o{number}") for number in range(3)
        ]
        self.assertEqual([response.status for response in responses], [200] * 3)
        self.assertEqual([self.runs(f"o{number}") for number in range(3)], [1] * 3)

    def send_orders_until_a_refusal_is_repeated(self, fault: str) -> set[int]:
        """Sends orders of eight callers at a time; returns their statuses."""
        self.assertTrue(wait_until(self.agents_connected))
        faults = self.use_shared_faults(self.fleet.plain_servers)
        statuses: dict[str, int] = {}

        def send(name: str) -> None:
            statuses[name] = self.fleet.send_request("order", name).status

        def send_batch() -> bool:
            faults.shed = 2
            with ThreadPoolExecutor(8) as pool:
                pool.map(send, [f"o{len(statuses) + number}" for number in range(24)])
            return getattr(faults, fault) == 0

        setattr(faults, fault, 3)
        self.assertTrue(wait_until(send_batch))
        runs = {name: self.runs(name) for name in statuses}
        self.assertEqual(runs, dict.fromkeys(statuses, 1))
        return set(statuses.values())

    def test_repeated_refusal_with_an_id_is_ignored(self):
        statuses = self.send_orders_until_a_refusal_is_repeated("repeated_refusals")
        self.assertEqual(statuses, {200})

    def test_repeated_refusal_without_an_id_is_no_promise(self):
        # The order was sent to a second server, or its caller was told 503.
        statuses = self.send_orders_until_a_refusal_is_repeated("unnamed_refusals")
        self.assertEqual(statuses, {200, 502})

    def test_lookup_with_lost_response_is_retried(self):
        for fault in ("reset", "errors"):
            faults = self.use_shared_faults(self.fleet.plain_servers)
            setattr(faults, fault, 1)
            self.assertEqual(self.fleet.send_request("lookup", fault).status, 200)
            self.assertEqual(self.runs(fault), 2)

    def test_surplus_responses_reach_no_caller(self):
        for server in self.fleet.plain_servers:
            server.faults.second_answers = 20
        for number in range(20):
            name = f"l{number}"
            response = self.fleet.send_request("lookup", name)
            self.assertEqual(response.body, f"answer to {name}".encode())

    def test_request_with_huge_token_counts_is_answered(self):
        # It never reached the agent, and its caller got 503 after the deadline of 4 s.
        self.assertTrue(wait_until(self.agents_connected))
        for number, counts in enumerate(("1" + "0" * 30, "-5,-5", "7,1" + "0" * 30)):
            begin = time.monotonic()
            response = self.fleet.send_request(
                "stream", f"t{number}", adapter="a1", Token_Counts=counts
            )
            self.assertIn(response.status, (200, 503))
            self.assertLess(time.monotonic() - begin, 3.0)
        self.assertNotIn("callback_failed", self.fleet.entries[0].log())

    def test_truncated_stream_does_not_look_complete(self):
        self.assertTrue(wait_until(self.agents_connected))
        for engine in self.fleet.engines:
            engine.faults.cut_streams = 1
        response = self.fleet.send_request("stream", "s1", adapter="a1")
        self.assertFalse(response.complete)
        self.assertEqual(self.runs("s1"), 1)

    def test_truncated_stream_is_resumed_after_its_last_event(self):
        self.assertTrue(wait_until(self.agents_connected))
        self.use_shared_faults(self.fleet.engines).cut_streams = 1
        response = self.fleet.send_request("resume", "s1", adapter="a1")
        self.assert_complete_stream(response, "s1")
        self.assertEqual(self.runs("s1"), 2)

    def test_truncated_stream_is_not_continued_by_other_responses(self):
        # An error's text was sent in the middle of the stream, which then looked
        # complete.
        self.assertTrue(wait_until(self.agents_connected))
        faults = self.use_shared_faults(self.fleet.engines)
        # The retry budget of the entry allows nine continuations.
        for number, answer in enumerate((*WRONG_CONTINUATIONS[::2], None)):
            for engine in self.fleet.engines:
                engine.wrong_continuations = iter((answer,))
            faults.cut_streams = faults.wrong_continuations = 1
            name = f"s{number}"
            response = self.fleet.send_request("resume", name, adapter="a1")
            self.assertFalse(response.complete)
            events = [b"id: %d\ndata: s%d %d\n\n" % (n, number, n) for n in (1, 2)]
            self.assertEqual(response.body, b"".join(events))
            self.assertEqual(self.runs(name), 2)

    def test_lost_orders_delay_loads_but_never_exceed_engine_capacity(self):
        self.assertTrue(wait_until(self.agents_connected))
        for engine in self.fleet.engines:
            engine.faults.lost_orders = 3
        for number in range(8):
            name = f"s{number}"
            self.assert_complete_stream(
                self.fleet.send_request("stream", name, adapter=f"a{number}"), name
            )
        self.assertTrue(all(engine.overcommit <= 0 for engine in self.fleet.engines))

    def test_disconnecting_caller_cancels_its_stream(self):
        self.assertTrue(wait_until(self.agents_connected))
        for engine in self.fleet.engines:
            engine.events = 2_000
        response = self.fleet.send_request(
            "stream", "s2", adapter="a1", timeout=0.5, Deadline_Ms="900"
        )
        self.assertFalse(response.complete)
        self.assertTrue(
            wait_until(lambda: any(engine.cancelled for engine in self.fleet.engines))
        )

    def test_route_timeout_ends_a_running_stream(self):
        self.fleet.put_configuration(
            quick={"Kind": "streaming", "Service": "models", "TimeoutMs": 900}
        )
        entry = self.fleet.entries[0]
        self.assertTrue(wait_until(self.agents_connected))
        self.assertTrue(wait_until(lambda: "routes=5" in entry.log()))
        # Loads the adapter first; otherwise the request with the short timeout would be
        # rejected immediately.
        warm = self.fleet.send_request("stream", "s1", adapter="a1")
        self.assert_complete_stream(warm, "s1")
        for engine in self.fleet.engines:
            engine.events = 10_000
        # The deadline of the caller is one minute, so only the timeout of the route can
        # end the stream.
        response = self.fleet.send_request(
            "quick", "q1", adapter="a1", Deadline_Ms="60000"
        )
        self.assertNotEqual((response.status, response.complete), (200, True), response)
        self.assertTrue(wait_until(lambda: "request=q1" in entry.log()))
        line = next(line for line in entry.log().splitlines() if "request=q1" in line)
        self.assertRegex(line, "outcome=(broken_off_)?timed_out")


class MembershipTests(FleetTestCase):
    def test_draining_server_gets_no_requests_after_the_drain_notice(self):
        first, second = self.fleet.plain_servers
        first.state = "draining"
        self.fleet.publish_heartbeat(first)
        time.sleep(2.0)
        before = len(first.runs)
        for number in range(10):
            self.assertEqual(
                self.fleet.send_request("lookup", f"l{number}").status, 200
            )
        self.assertEqual(len(first.runs), before)
        self.assertGreaterEqual(len(second.runs), 10)

    def test_malformed_server_entries_are_ignored(self):
        self.fleet.store.put("servers", "stranger", {"Service": "orders", "Slots": "x"})
        self.fleet.store.put("servers", "noise", ["no", "server"])
        for number in range(6):
            self.assertEqual(
                self.fleet.send_request("lookup", f"l{number}").status, 200
            )

    def odd_spec(self, field: bytes) -> bytes:
        """Returns the heartbeat of a server with another field, or a changed one."""
        heartbeat = msgspec.json.encode(self.fleet.plain_servers[0].heartbeat())
        return heartbeat[:-1] + b", " + field + b"}"

    def put_odd_entry(self, spec: bytes) -> None:
        """Writes an entry that sorts after all others and waits until it was read."""
        self.fleet.store.put("servers", "z-odd", msgspec.Raw(spec))
        for entry in self.fleet.entries:
            self.assertTrue(wait_until(lambda entry=entry: "z-odd" in entry.log(), 6.0))

    def assert_list_is_followed(self):
        """Asserts that a drain of a server after the odd entry is noticed."""
        first, second = self.fleet.plain_servers
        first.state = "draining"
        self.fleet.publish_heartbeat(first)
        time.sleep(2.0)
        before = len(first.runs)
        for number in range(10):
            response = self.fleet.send_request("lookup", f"d{number}", entry=number % 2)
            self.assertEqual(response.status, 200)
        self.assertEqual(len(first.runs), before)

    def test_list_with_a_deeply_nested_entry_is_followed(self):
        # Processes stopped following the list, and a restarted one never became ready.
        nested = b"[" * 1_100 + b"]" * 1_100
        self.put_odd_entry(self.odd_spec(b'"Extra": %s' % nested))
        self.assert_list_is_followed()
        self.fleet.entries[0].kill_and_restart()
        self.assertTrue(wait_until(lambda: self.fleet.is_ready(self.fleet.entries[0])))
        self.assertEqual(self.fleet.send_request("lookup", "after").status, 200)

    def test_list_with_a_large_entry_of_many_brackets_is_followed(self):
        # Valid JSON below the store's limit of 1 MB for an object. Nothing was learned
        # of any server any more, and a restarted entry never became ready.
        nested = b"[ " * 340_000 + b"]" * 340_000
        self.put_odd_entry(self.odd_spec(b'"Extra": %s' % nested))
        self.assert_list_is_followed()
        self.fleet.entries[0].kill_and_restart()
        self.assertTrue(wait_until(lambda: self.fleet.is_ready(self.fleet.entries[0])))
        self.assertEqual(self.fleet.send_request("lookup", "after").status, 200)

    def test_entry_with_a_port_out_of_range_gets_no_requests(self):
        # A caller whose request got there had no response before its deadline.
        host = self.fleet.plain_servers[0].host
        address = b'"Address": "%s:70000"' % host.encode()
        self.put_odd_entry(self.odd_spec(address))
        for number in range(6):
            # Both other servers turn the request away at first.
            for server in self.fleet.plain_servers:
                server.faults.shed = 1
            response = self.fleet.send_request("order", f"o{number}", entry=number % 2)
            self.assertEqual(response.status, 200)
        for entry in self.fleet.entries:
            self.assertNotIn("callback_failed", entry.log())
            self.assertEqual(entry.log().count("event=server_entry_unreadable"), 1)

    def test_entry_with_a_huge_start_time_does_not_keep_engines_from_their_agents(self):
        # The start time did not fit the message to the agent, and the entry connected
        # to none of the agents after it.
        self.assertTrue(wait_until(self.agents_connected))
        heartbeat = msgspec.json.encode(self.fleet.engines[0].heartbeat())
        born = b'"born": 1' + b"0" * 400
        odd = msgspec.Raw(heartbeat[:-1] + b", " + born + b"}")
        # It sorts before all other entries.
        self.fleet.store.put("servers", "a-odd", odd)
        self.fleet.entries[0].kill_and_restart()
        entry = self.fleet.entries[0]
        self.assertTrue(wait_until(lambda: self.fleet.is_ready(entry)))
        agents = len(self.fleet.agents)
        connected = "event=agent_connected"
        self.assertTrue(
            wait_until(lambda: entry.log().count(connected) >= 2 * agents, 5.0)
        )
        self.assertNotIn("store_object_failed", entry.log())

    def test_entry_whose_id_cannot_be_sent_gets_no_requests(self):
        # A caller whose request got there had no response before its deadline.
        spec = msgspec.Raw(self.odd_spec(b'"Extra": 0'))
        self.fleet.store.put("servers", "z-odd-\u20ac\ud7ff", spec)
        for entry in self.fleet.entries:
            self.assertTrue(wait_until(lambda entry=entry: "z-odd" in entry.log(), 6.0))
        for number in range(6):
            for server in self.fleet.plain_servers:
                server.faults.shed = 1
            response = self.fleet.send_request("order", f"o{number}", entry=number % 2)
            self.assertEqual(response.status, 200)

    def test_restarted_engine_serves_while_its_old_entry_is_still_listed(self):
        # Guards against agents that keep sending the instance id of the old entry: the
        # restarted engine rejects all their orders.
        self.assertTrue(wait_until(self.agents_connected))
        for engine in self.fleet.engines:
            engine.instance_id += "-again"
            engine.start_time_ms += 10_000
            self.fleet.publish_heartbeat(engine)
        for number in range(6):
            name = f"s{number}"
            self.assertTrue(
                wait_until(
                    lambda name=name: (
                        self.fleet.send_request(
                            "stream", name, adapter=f"b{name}"
                        ).status
                        == 200
                    )
                )
            )

    def test_objects_are_relisted_when_watch_history_is_gone(self):
        self.fleet.store.compact_history()
        self.fleet.put_configuration(added={"Kind": "idempotent", "Service": "orders"})
        self.assertTrue(
            wait_until(lambda: self.fleet.send_request("added", "x").status == 200)
        )


class FailureTests(FleetTestCase):
    def test_requests_are_served_while_the_store_is_down(self):
        self.assertTrue(wait_until(self.agents_connected))
        self.fleet.store.down = True
        time.sleep(1.0)
        for number in range(5):
            name = f"s{number}"
            self.assert_complete_stream(
                self.fleet.send_request("stream", name, adapter=f"a{number}"), name
            )
            self.assertEqual(self.fleet.send_request("order", f"o{number}").status, 200)

    def test_entry_without_configuration_is_not_ready_and_returns_503(self):
        self.fleet.store.down = True
        self.fleet.entries[0].kill_and_restart()
        self.assertTrue(
            wait_until(lambda: self.fleet.send_request("lookup", "l1").status == 503)
        )
        self.assertFalse(self.fleet.is_ready(self.fleet.entries[0]))
        self.fleet.store.down = False
        self.assertTrue(wait_until(lambda: self.fleet.is_ready(self.fleet.entries[0])))

    def test_restarted_agents_reconnect_with_increasing_fencing_tokens(self):
        self.assertTrue(wait_until(self.agents_connected))
        for agent in self.fleet.agents:
            agent.kill_and_restart()
        for number in range(5):
            name = f"s{number}"
            responses = []

            def served(name=name, responses=responses) -> bool:
                responses.append(
                    self.fleet.send_request("stream", name, adapter=f"a{name}")
                )
                return responses[-1].status == 200

            self.assertTrue(wait_until(served))
            self.assert_complete_stream(responses[-1], name)
        tokens = [
            order.fields["FencingToken"]
            for engine in self.fleet.engines
            for order in engine.orders
        ]
        self.assertTrue(all(token > 0 for token in tokens))
        for engine in self.fleet.engines:
            given = [order.fields["FencingToken"] for order in engine.orders]
            self.assertEqual(given, sorted(given))

    def test_running_stream_survives_the_silence_of_its_agent(self):
        # An agent that is only silent for a while must not cause its running requests
        # to be given up, or to be started again elsewhere.
        self.assertTrue(wait_until(self.agents_connected))
        for engine in self.fleet.engines:
            engine.events = 400
        responses = []
        request_thread = threading.Thread(
            target=lambda: responses.append(
                self.fleet.send_request(
                    "resume", "s1", adapter="a1", Deadline_Ms="20000"
                )
            )
        )
        request_thread.start()
        self.assertTrue(wait_until(lambda: self.runs("s1") == 1))
        for agent in self.fleet.agents:
            agent.signal(signal.SIGSTOP)
        entry = self.fleet.entries[0]
        self.assertTrue(wait_until(lambda: "event=agent_lost" in entry.log()))
        self.assertEqual(responses, [], "the stream ended before its agent was lost")
        for agent in self.fleet.agents:
            agent.signal(signal.SIGCONT)
        request_thread.join(25)
        self.assert_complete_stream(responses[0], "s1", 400)
        self.assertEqual(self.runs("s1"), 1)

    def test_stopping_entry_completes_in_flight_requests(self):
        self.assertTrue(wait_until(self.agents_connected))
        for engine in self.fleet.engines:
            engine.events = 150
        responses = []
        head_received = threading.Event()
        request_thread = threading.Thread(
            target=lambda: responses.append(
                self.fleet.send_request(
                    "stream",
                    "s1",
                    adapter="a1",
                    Deadline_Ms="6000",
                    on_head=head_received.set,
                )
            )
        )
        request_thread.start()
        # A head that is sent after the signal announces the end of the connection.
        self.assertTrue(head_received.wait(15))
        self.fleet.drain(0)
        request_thread.join(15)
        self.assert_complete_stream(responses[0], "s1", 150)
        self.assertEqual(responses[0].headers.get("connection"), None)
        self.assertFalse(self.fleet.is_ready(self.fleet.entries[0]))
        self.assertEqual(self.fleet.entries[0].process.wait(15), 0)


class ZoneTests(FleetTestCase):
    """A zone loses its servers and gets them back; the entries are in it."""

    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.own = (self.fleet.plain_servers[0], self.fleet.engines[0])
        self.other = (self.fleet.plain_servers[1], self.fleet.engines[1])
        for server in self.other:
            server.zone = "z2"
        self.fleet.start()

    def send_round(self, name: str) -> None:
        for number in range(6):
            lookup, stream = f"l-{name}-{number}", f"s-{name}-{number}"
            entry = number % 2
            response = self.fleet.send_request("lookup", lookup, entry=entry)
            self.assertEqual(response.status, 200)
            response = self.fleet.send_request(
                "stream", stream, entry=entry, adapter="a1"
            )
            self.assert_complete_stream(response, stream)

    def ended(self, request_id: str) -> str:
        """Returns the log line of a request that ended."""
        mark = f"request={request_id} "

        def lines() -> list[str]:
            text = "".join(entry.log() for entry in self.fleet.entries)
            return [
                line
                for line in text.splitlines()
                if "event=request_ended" in line and mark in line
            ]

        self.assertTrue(wait_until(lambda: lines() != []))
        return lines()[0]

    def wait_for_changes(self, change: str, count: int) -> None:
        def is_known() -> bool:
            return all(
                entry.log().count(f"change={change}") >= count
                for entry in self.fleet.entries
            )

        self.assertTrue(wait_until(is_known))

    def test_work_leaves_a_zone_without_servers_and_comes_back(self):
        self.assertTrue(wait_until(self.agents_connected))
        self.send_round("before")
        for server in self.own:
            self.fleet.store.remove("servers", server.instance_id)
        self.wait_for_changes("removed", 2)
        before = [len(server.runs) for server in (*self.own, *self.other)]
        self.send_round("lost")
        after = [len(server.runs) for server in (*self.own, *self.other)]
        added = [new - old for old, new in zip(before, after, strict=True)]
        self.assertEqual(added, [0, 0, 6, 6])
        for name in ("l-lost-0", "s-lost-1"):
            self.assertRegex(self.ended(name), " zone=z2 left_zone=none_ready ")
        for server in self.own:
            self.fleet.publish_heartbeat(server)
        self.wait_for_changes("added", 6)
        self.assertTrue(wait_until(lambda: self.is_back("lookup")))
        # An adapter that the other zone holds stays there.
        adapters = (f"a{number}" for number in itertools.count(2))
        self.assertTrue(wait_until(lambda: self.is_back("stream", next(adapters))))

    def is_back(self, route: str, adapter: str = "") -> bool:
        name = f"{route}-{adapter}-{time.monotonic_ns()}"
        response = self.fleet.send_request(route, name, adapter=adapter)
        self.assertEqual(response.status, 200)
        return " zone=z1 left_zone=" in self.ended(name)
