import threading
import time
import unittest

from standins.platform_fleet import CallerResponse, PlatformFleet, wait_until

# Longer than an entry waits for the next event before it looks for another server, and
# shorter than callers wait for one.
_SILENCE_SECONDS = 2.6


class SilentServerTestCase(unittest.TestCase):
    """Servers that fall silent for a while and go on."""

    def setUp(self):
        self.fleet = PlatformFleet(engines=2, entries=1)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.assertTrue(wait_until(self.agents_connected))
        for engine in self.fleet.engines:
            engine.events = 40

    def agents_connected(self) -> bool:
        return self.fleet.entries[0].log().count("event=agent_connected") >= 2

    def start_stream(self, name: str) -> tuple[threading.Thread, list[CallerResponse]]:
        responses: list[CallerResponse] = []
        has_head = threading.Event()

        def send():
            responses.append(
                self.fleet.send_request(
                    "resume", name, adapter="a1", on_head=has_head.set
                )
            )

        thread = threading.Thread(target=send)
        thread.start()
        self.assertTrue(has_head.wait(5.0))
        return thread, responses

    def assert_complete(self, response: CallerResponse, count: int):
        ids = [line for line in response.body.split(b"\n") if line[:3] == b"id:"]
        expected = [b"id: %d" % number for number in range(1, count + 1)]
        self.assertEqual((response.status, response.complete), (200, True), response)
        self.assertEqual(ids, expected)


class SilentEngineTests(SilentServerTestCase):
    def test_stream_goes_on_after_a_pause_of_all_engines(self):
        thread, responses = self.start_stream("s1")
        for engine in self.fleet.engines:
            engine.fall_silent(_SILENCE_SECONDS)
        thread.join(10.0)
        self.assert_complete(responses[0], 40)

    def test_stream_goes_on_if_no_other_engine_takes_it(self):
        thread, responses = self.start_stream("s2")
        running = next(item for item in self.fleet.engines if item.runs)
        other = next(item for item in self.fleet.engines if item is not running)
        other.state = "draining"
        self.fleet.publish_heartbeat(other)
        time.sleep(0.05)
        running.fall_silent(_SILENCE_SECONDS)
        thread.join(10.0)
        self.assert_complete(responses[0], 40)

    def test_stream_moves_to_an_engine_that_takes_it(self):
        thread, responses = self.start_stream("s3")
        running = next(item for item in self.fleet.engines if item.runs)
        running.fall_silent(_SILENCE_SECONDS)
        thread.join(10.0)
        self.assert_complete(responses[0], 40)
        runs = sum(len(engine.runs) for engine in self.fleet.engines)
        self.assertEqual(runs, 2)
        self.assertIn("outcome=slow", self.fleet.entries[0].log())

    def test_stream_goes_on_if_the_other_engine_is_unreachable(self):
        thread, responses = self.start_stream("s5")
        running = next(item for item in self.fleet.engines if item.runs)
        other = next(item for item in self.fleet.engines if item is not running)
        self.fleet.agents[self.fleet.engines.index(other)].stop()
        other.stop()
        log = self.fleet.entries[0].log
        self.assertTrue(wait_until(lambda: "event=agent_lost" in log()))
        running.fall_silent(_SILENCE_SECONDS)
        thread.join(10.0)
        self.assert_complete(responses[0], 40)


class BrokenStreamTests(SilentServerTestCase):
    def test_stream_that_breaks_after_a_long_time_is_resumed(self):
        # Guards against a deadline of admission that counts a caller's patience from
        # the arrival of the request instead of its latest event.
        for engine in self.fleet.engines:
            engine.events, engine.event_interval = 30, 0.1
        self.fleet.put_configuration(resume={"TargetLatencyMs": 100})
        applied = (
            f"event=configuration_applied instance=front-0 version={self.fleet.version}"
        )
        self.assertTrue(wait_until(lambda: applied in self.fleet.entries[0].log()))
        thread, responses = self.start_stream("s4")
        time.sleep(2.3)
        running = next(item for item in self.fleet.engines if item.runs)
        running.faults.cut_streams = 1
        thread.join(10.0)
        self.assert_complete(responses[0], 30)
