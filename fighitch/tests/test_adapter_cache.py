import unittest
from dataclasses import replace

from fighitch.core.gateway.adapter_cache import (
    AdapterCache,
    LoadAdapter,
    LoadModel,
    UnloadAdapter,
)
from fighitch.core.gateway.adapter_demand import AdapterDemand
from fighitch.core.gateway.model import AdapterName, EngineSpec, ModelSpec
from fighitch.tests.gateway_helpers import (
    A1,
    A2,
    A3,
    MODEL,
    engine_spec,
    report,
)


def wanted(adapter: AdapterName, *, version: int = 0, on_time: int = 1):
    return AdapterDemand(adapter, version=version, on_time=on_time)


def places(*, count: int = 2) -> AdapterCache:
    made = AdapterCache()
    made.configure(engine_spec(places=count))
    return made


class OrderTests(unittest.TestCase):
    def test_nothing_is_ordered_before_the_first_report(self):
        self.assertIsNone(places().next_order([wanted(A1)], 0.0))

    def test_missing_adapter_is_loaded_into_a_free_place(self):
        held = places()
        held.record_report(report(A2), 0.0)
        self.assertEqual(held.next_order([wanted(A1)], 0.0), LoadAdapter(A1, 0))

    def test_full_places_unload_first(self):
        # An engine that is ordered to hold more than its places crashes.
        held = places()
        held.record_report(report(A2, A3), 0.0)
        self.assertIsInstance(held.next_order([wanted(A1)], 0.0), UnloadAdapter)

    def test_adapters_on_their_way_count_as_held(self):
        held = places()
        held.record_report(report(A2, coming=(A3,)), 0.0)
        self.assertEqual(held.next_order([wanted(A1)], 0.0), UnloadAdapter(A2))

    def test_adapter_in_use_never_makes_way(self):
        held = places()
        held.record_report(report(A2, A3), 0.0)
        held.record_grant(A2, 0.0)
        self.assertEqual(held.next_order([wanted(A1)], 0.0), UnloadAdapter(A3))
        held.record_grant(A3, 0.0)
        self.assertIsNone(held.next_order([wanted(A1)], 0.0))

    def test_least_used_adapter_makes_way(self):
        held = places()
        held.record_report(report(A2, A3), 0.0)
        for _ in range(5):
            held.record_demand(A3, 0.0)
        held.record_demand(A2, 1.0)
        self.assertEqual(held.next_order([wanted(A1)], 1.0), UnloadAdapter(A2))

    def test_use_of_long_ago_counts_less_than_use_of_now(self):
        held = places()
        held.record_report(report(A2, A3), 0.0)
        for _ in range(5):
            held.record_demand(A3, 0.0)
        held.record_demand(A2, 60.0)
        self.assertEqual(held.next_order([wanted(A1)], 60.0), UnloadAdapter(A3))

    def test_flood_for_more_adapters_than_places_does_not_load_them_in_turn(self):
        # Seen on the grown association: an engine dropped adapters that work waited
        # for, loaded them again, and handed out one place in ten loads.
        held = places()
        held.record_report(report(A2, A3), 0.0)
        waiting = [wanted(A1), wanted(A2), wanted(A3)]
        self.assertIsNone(held.next_order(waiting, 0.0))

    def test_late_work_yields_its_adapter_to_work_that_can_be_on_time(self):
        held = places()
        held.record_report(report(A2, A3), 0.0)
        waiting = [wanted(A1), wanted(A2), wanted(A3, on_time=0)]
        self.assertEqual(held.next_order(waiting, 0.0), UnloadAdapter(A3))
        late = [wanted(A1, on_time=0), wanted(A2, on_time=0), wanted(A3, on_time=0)]
        self.assertIsNone(held.next_order(late, 0.0))

    def test_memory_bounds_the_places(self):
        held = places(count=1_000)
        many = [type(A1)(MODEL, f"b{number}") for number in range(100)]
        held.record_report(report(*many), 0.0)
        self.assertIsInstance(held.next_order([wanted(A1)], 0.0), UnloadAdapter)

    def test_restarted_engine_gets_its_model_back(self):
        held = places()
        held.record_report(report(models=()), 0.0)
        self.assertEqual(held.next_order([wanted(A1)], 0.0), LoadModel(MODEL))


class LoadWaitTests(unittest.TestCase):
    """What an agent expects before it takes work whose adapter is missing."""

    def test_held_adapter_is_not_waited_for(self):
        held = places()
        held.record_report(report(A1), 0.0)
        self.assertEqual(held.load_wait(A1, 0, 0.0), 0.0)

    def test_recent_adapter_is_expected_sooner_than_one_from_the_store(self):
        held = places()
        held.record_report(report(A1, sequence=1), 0.0)
        held.record_report(report(sequence=2), 0.0)
        self.assertLess(held.load_wait(A1, 0, 0.0), held.load_wait(A2, 0, 0.0) / 5)

    def test_adapter_on_its_way_is_expected_when_its_load_ends(self):
        held = places()
        held.record_report(report(coming=(A1,)), 0.0)
        whole = held.load_wait(A1, 0, 0.0)
        self.assertAlmostEqual(held.load_wait(A1, 0, 0.1), whole - 0.1)

    def test_places_in_use_are_waited_for(self):
        # In a flood all places are in use, and a load waits until work on one ends.
        held = places()
        held.record_report(report(A2, A3), 0.0)
        free = held.load_wait(A1, 0, 0.0)
        held.record_grant(A2, 0.0)
        held.record_grant(A3, 0.0)
        self.assertGreater(held.load_wait(A1, 0, 0.0), free)

    def test_time_in_use_is_measured(self):
        held = places()
        held.record_report(report(A2, A3), 0.0)
        for turn in range(100):
            held.record_grant(A2, 10.0 * turn)
            held.record_end(A2, 10.0 * turn + 5.0)
        held.record_grant(A2, 1_000.0)
        held.record_grant(A3, 1_000.0)
        self.assertGreater(held.load_wait(A1, 0, 1_000.0), 2.0)

    def test_popular_adapter_does_not_lengthen_the_wait_for_a_place(self):
        # An adapter that was in use for 20 s once made agents decline work that was on
        # time at them.
        held = places()
        held.record_report(report(A2, A3), 0.0)
        held.record_grant(A2, 0.0)
        held.record_grant(A3, 0.0)
        before = held.load_wait(A1, 0, 0.0)
        held.record_grant(A2, 19.5)
        held.record_end(A2, 20.0)
        held.record_end(A2, 20.5)
        held.record_grant(A2, 21.0)
        self.assertAlmostEqual(held.load_wait(A1, 0, 21.0), before)


class ModelTests(unittest.TestCase):
    def spec(self, weights_mb: float) -> EngineSpec:
        models = {
            name: ModelSpec(name, weights_mb=100, load_seconds=1, adapter_mb=1)
            for name in (MODEL, "other")
        }
        return replace(engine_spec(), weights_mb=weights_mb, models=models)

    def order(self, weights_mb: float):
        held = AdapterCache()
        held.configure(self.spec(weights_mb))
        held.record_report(report(A1), 0.0)
        return held.next_order([wanted(AdapterName("other", "a9"))], 0.0)

    def test_second_model_that_fits_is_loaded_when_work_waits_for_it(self):
        self.assertEqual(self.order(250), LoadModel("other"))

    def test_model_that_does_not_fit_is_not_loaded(self):
        # An engine that is ordered to hold more than its memory crashes.
        self.assertIsNone(self.order(200))


class VersionTests(unittest.TestCase):
    def test_newer_version_replaces_an_idle_adapter(self):
        held = places()
        held.record_report(report(versions={A1: 1}), 0.0)
        held.record_version(A1, 2, 0.0)
        self.assertEqual(held.next_order([], 0.0), LoadAdapter(A1, 2))

    def test_old_version_is_used_only_for_a_while(self):
        held = places()
        held.record_report(report(versions={A1: 1}), 0.0)
        held.record_version(A1, 2, 0.0)
        held.record_grant(A1, 0.0)
        self.assertTrue(held.serves(A1, 0, 1.0))
        self.assertFalse(held.serves(A1, 0, 2.0))
        self.assertIsNone(held.next_order([wanted(A1, version=2)], 2.0))
        held.record_end(A1, 2.0)
        self.assertEqual(
            held.next_order([wanted(A1, version=2)], 2.0), LoadAdapter(A1, 2)
        )

    def test_version_that_an_entry_asks_for_counts_too(self):
        held = places()
        held.record_report(report(versions={A1: 1}), 0.0)
        self.assertTrue(held.serves(A1, 2, 0.0))
        self.assertFalse(held.serves(A1, 2, 5.0))


class RecentAdapterTests(unittest.TestCase):
    def test_dropped_adapters_are_recent_until_the_engine_restarts(self):
        held = places()
        held.record_report(report(A1, A2, sequence=1), 0.0)
        held.record_report(report(A2, sequence=2), 0.0)
        self.assertEqual(list(held.recent), [A1])
        held.record_report(report(A2, start_time_ms=2), 0.0)
        self.assertEqual(list(held.recent), [])
