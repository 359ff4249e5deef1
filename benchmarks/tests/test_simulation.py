"""Tests of ``benchmarks.simulation``."""

import unittest
from dataclasses import replace

from benchmarks.simulation import LOAD_SECONDS, Clock, Engine, WeightStore
from benchmarks.workload import ASSOCIATION, EngineCost

COST = EngineCost(base=1.0, per_sequence=0.0, per_adapter=0.5, per_prefill=0.0)


class RecordingListener:
    def __init__(self):
        self.events = []

    def on_first_token(self, call):
        self.events.append(("started", call))

    def on_tokens(self, call, tokens):
        self.events.append(("data", call, tokens))

    def on_completed(self, call):
        self.events.append(("ended", call))

    def on_loaded(self, adapter, boot_id):
        self.events.append(("loaded", adapter))

    def on_unloaded(self, adapter):
        self.events.append(("unloaded", adapter))


class SimulationTestCase(unittest.TestCase):
    def setUp(self):
        deployment = replace(ASSOCIATION, adapter_slots=2, batch_size=2)
        self.clock = Clock()
        self.store = WeightStore(self.clock, deployment)
        self.engine = Engine(self.clock, self.store, deployment, cost=COST)
        self.listener = self.engine.listener = RecordingListener()

    def run_until(self, time):
        self.clock.run(time, stop=lambda: False)


class WeightStoreTests(SimulationTestCase):
    def test_load_starts_above_the_rate_are_counted(self):
        """Guards against a benchmark that misses a violated rate limit."""
        for _ in range(8):
            self.store.load(lambda: None)
        self.assertEqual(self.store.rate_violations, 1)

    def test_load_start_after_the_rate_window_is_within_the_rate(self):
        """Guards against a violation reported for starts at the permitted rate."""
        for _ in range(7):
            self.store.load(lambda: None)
        self.clock.at(1.0, self.store.load, lambda: None)
        self.run_until(1.0)
        self.assertEqual(self.store.rate_violations, 0)

    def test_load_time_scales_with_the_factor(self):
        ends = []
        self.store.factor = 8.0
        self.store.load(lambda: ends.append(self.clock.now))
        self.run_until(10.0)
        self.assertEqual(ends, [8 * LOAD_SECONDS])


class EngineTests(SimulationTestCase):
    def test_step_time_grows_with_distinct_adapters(self):
        """Guards against a cost model in which adapters of a batch cost nothing."""
        self.engine.resident = {"a", "b"}
        self.engine.call(1, "a", 0, 1)
        self.run_until(2.0)
        self.assertAlmostEqual(self.engine.totals.busy, 1.5)
        self.engine.call(2, "a", 0, 1)
        self.engine.call(3, "b", 0, 1)
        self.run_until(10.0)
        self.assertAlmostEqual(self.engine.totals.busy, 1.5 + 1.5 + 1.5)

    def test_response_contains_every_token(self):
        self.engine.resident = {"a"}
        self.engine.call(1, "a", 0, 40)
        self.run_until(1_000.0)
        tokens = sum(event[2] for event in self.listener.events if event[0] == "data")
        self.assertEqual(tokens, 40)
        self.assertEqual(self.listener.events[-1], ("ended", 1))

    def test_call_without_its_adapter_raises(self):
        """Guards against dispatches to an engine without the adapter."""
        with self.assertRaises(RuntimeError):
            self.engine.call(1, "a", 0, 1)

    def test_unload_of_an_adapter_in_use_raises(self):
        """Guards against the eviction of an adapter that a running request uses."""
        self.engine.resident = {"a"}
        self.engine.call(1, "a", 0, 5)
        with self.assertRaises(RuntimeError):
            self.engine.unload("a")

    def test_restart_loses_calls_adapters_and_pending_loads(self):
        """Guards against a load that completes after the restart of its engine."""
        self.engine.resident = {"a"}
        self.engine.call(1, "a", 0, 50)
        self.engine.load("b")
        self.assertEqual(self.engine.restart(), [1])
        self.run_until(100.0)
        self.assertEqual(self.engine.resident, set())
        self.assertEqual(self.listener.events, [])

    def test_free_batch_seconds_excludes_the_time_with_a_full_batch(self):
        self.engine.resident = {"a"}
        self.clock.at(2.0, self.engine.call, 1, "a", 0, 2)
        self.clock.at(2.0, self.engine.call, 2, "a", 0, 2)
        self.run_until(20.0)
        on_completed = [event for event in self.listener.events if event[0] == "ended"]
        self.assertEqual(len(on_completed), 2)
        self.assertLess(self.engine.free_batch_seconds(), self.clock.now)
