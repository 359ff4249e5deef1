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


def demand(adapter: AdapterName, *, version: int = 0, on_time_requests: int = 1):
    return AdapterDemand(adapter, version=version, on_time_requests=on_time_requests)


def make_cache(*, capacity: int = 2) -> AdapterCache:
    cache = AdapterCache()
    cache.configure(engine_spec(capacity=capacity))
    return cache


class OrderTests(unittest.TestCase):
    def test_no_order_before_the_first_report(self):
        self.assertIsNone(make_cache().next_order([demand(A1)], 0.0))

    def test_missing_adapter_is_loaded_into_a_free_slot(self):
        cache = make_cache()
        cache.record_report(report(A2), 0.0)
        self.assertEqual(cache.next_order([demand(A1)], 0.0), LoadAdapter(A1, 0))

    def test_full_cache_unloads_first(self):
        # An engine crashes if it is ordered to load more adapters than it has slots.
        cache = make_cache()
        cache.record_report(report(A2, A3), 0.0)
        self.assertIsInstance(cache.next_order([demand(A1)], 0.0), UnloadAdapter)

    def test_loading_adapters_count_as_loaded(self):
        cache = make_cache()
        cache.record_report(report(A2, loading=(A3,)), 0.0)
        self.assertEqual(cache.next_order([demand(A1)], 0.0), UnloadAdapter(A2))

    def test_adapter_in_use_is_never_evicted(self):
        cache = make_cache()
        cache.record_report(report(A2, A3), 0.0)
        cache.record_admission(A2, 0.0)
        self.assertEqual(cache.next_order([demand(A1)], 0.0), UnloadAdapter(A3))
        cache.record_admission(A3, 0.0)
        self.assertIsNone(cache.next_order([demand(A1)], 0.0))

    def test_adapter_with_least_demand_is_evicted(self):
        cache = make_cache()
        cache.record_report(report(A2, A3), 0.0)
        for _ in range(5):
            cache.record_demand(A3, 0.0)
        cache.record_demand(A2, 1.0)
        self.assertEqual(cache.next_order([demand(A1)], 1.0), UnloadAdapter(A2))

    def test_old_demand_counts_less_than_recent_demand(self):
        cache = make_cache()
        cache.record_report(report(A2, A3), 0.0)
        for _ in range(5):
            cache.record_demand(A3, 0.0)
        cache.record_demand(A2, 60.0)
        self.assertEqual(cache.next_order([demand(A1)], 60.0), UnloadAdapter(A3))

    def test_flood_for_more_adapters_than_slots_does_not_thrash(self):
        # Guards against thrashing in a flood: an engine evicted adapters that requests
        # waited for, loaded them again, and admitted one request per ten loads.
        cache = make_cache()
        cache.record_report(report(A2, A3), 0.0)
        demands = [demand(A1), demand(A2), demand(A3)]
        self.assertIsNone(cache.next_order(demands, 0.0))

    def test_adapter_of_late_requests_is_evicted_for_on_time_requests(self):
        cache = make_cache()
        cache.record_report(report(A2, A3), 0.0)
        demands = [demand(A1), demand(A2), demand(A3, on_time_requests=0)]
        self.assertEqual(cache.next_order(demands, 0.0), UnloadAdapter(A3))
        late = [
            demand(A1, on_time_requests=0),
            demand(A2, on_time_requests=0),
            demand(A3, on_time_requests=0),
        ]
        self.assertIsNone(cache.next_order(late, 0.0))

    def test_memory_limits_the_loaded_adapters(self):
        cache = make_cache(capacity=1_000)
        many = [type(A1)(MODEL, f"b{number}") for number in range(100)]
        cache.record_report(report(*many), 0.0)
        self.assertIsInstance(cache.next_order([demand(A1)], 0.0), UnloadAdapter)

    def test_restarted_engine_loads_its_model_again(self):
        cache = make_cache()
        cache.record_report(report(models=()), 0.0)
        self.assertEqual(cache.next_order([demand(A1)], 0.0), LoadModel(MODEL))


class LoadWaitTests(unittest.TestCase):
    """Load delays that an agent expects before it admits a request."""

    def test_loaded_adapter_has_no_load_wait(self):
        cache = make_cache()
        cache.record_report(report(A1), 0.0)
        self.assertEqual(cache.load_wait(A1, 0, 0.0), 0.0)

    def test_recent_adapter_loads_faster_than_one_from_the_store(self):
        cache = make_cache()
        cache.record_report(report(A1, sequence=1), 0.0)
        cache.record_report(report(sequence=2), 0.0)
        self.assertLess(cache.load_wait(A1, 0, 0.0), cache.load_wait(A2, 0, 0.0) / 5)

    def test_loading_adapter_has_the_remaining_load_wait(self):
        cache = make_cache()
        cache.record_report(report(loading=(A1,)), 0.0)
        load_time = cache.load_wait(A1, 0, 0.0)
        self.assertAlmostEqual(cache.load_wait(A1, 0, 0.1), load_time - 0.1)

    def test_slots_in_use_add_to_the_load_wait(self):
        # In a flood all slots are in use, and a load waits until the requests on one of
        # the adapters end.
        cache = make_cache()
        cache.record_report(report(A2, A3), 0.0)
        free = cache.load_wait(A1, 0, 0.0)
        cache.record_admission(A2, 0.0)
        cache.record_admission(A3, 0.0)
        self.assertGreater(cache.load_wait(A1, 0, 0.0), free)

    def test_time_in_use_is_measured(self):
        cache = make_cache()
        cache.record_report(report(A2, A3), 0.0)
        for turn in range(100):
            cache.record_admission(A2, 10.0 * turn)
            cache.record_end(A2, 10.0 * turn + 5.0)
        cache.record_admission(A2, 1_000.0)
        cache.record_admission(A3, 1_000.0)
        self.assertGreater(cache.load_wait(A1, 0, 1_000.0), 2.0)

    def test_popular_adapter_does_not_increase_the_wait_for_a_slot(self):
        # Guards against a skewed estimate: an adapter that was in use for 20 s made
        # agents decline requests that they could have served in time.
        cache = make_cache()
        cache.record_report(report(A2, A3), 0.0)
        cache.record_admission(A2, 0.0)
        cache.record_admission(A3, 0.0)
        before = cache.load_wait(A1, 0, 0.0)
        cache.record_admission(A2, 19.5)
        cache.record_end(A2, 20.0)
        cache.record_end(A2, 20.5)
        cache.record_admission(A2, 21.0)
        self.assertAlmostEqual(cache.load_wait(A1, 0, 21.0), before)


class ModelTests(unittest.TestCase):
    def spec(self, weights_mb: float) -> EngineSpec:
        models = {
            name: ModelSpec(name, weights_mb=100, load_seconds=1, adapter_mb=1)
            for name in (MODEL, "other")
        }
        return replace(engine_spec(), weights_mb=weights_mb, models=models)

    def order(self, weights_mb: float):
        cache = AdapterCache()
        cache.configure(self.spec(weights_mb))
        cache.record_report(report(A1), 0.0)
        return cache.next_order([demand(AdapterName("other", "a9"))], 0.0)

    def test_second_model_that_fits_is_loaded_when_requested(self):
        self.assertEqual(self.order(250), LoadModel("other"))

    def test_model_that_does_not_fit_is_not_loaded(self):
        # An engine crashes if it is ordered to load more than fits into its memory.
        self.assertIsNone(self.order(200))


class VersionTests(unittest.TestCase):
    def test_newer_version_replaces_an_idle_adapter(self):
        cache = make_cache()
        cache.record_report(report(versions={A1: 1}), 0.0)
        cache.record_version(A1, 2, 0.0)
        self.assertEqual(cache.next_order([], 0.0), LoadAdapter(A1, 2))

    def test_outdated_version_is_used_only_for_the_grace_period(self):
        cache = make_cache()
        cache.record_report(report(versions={A1: 1}), 0.0)
        cache.record_version(A1, 2, 0.0)
        cache.record_admission(A1, 0.0)
        self.assertTrue(cache.serves(A1, 0, 1.0))
        self.assertFalse(cache.serves(A1, 0, 2.0))
        self.assertIsNone(cache.next_order([demand(A1, version=2)], 2.0))
        cache.record_end(A1, 2.0)
        self.assertEqual(
            cache.next_order([demand(A1, version=2)], 2.0), LoadAdapter(A1, 2)
        )

    def test_version_required_by_an_entry_outdates_the_loaded_one_at_once(self):
        # The entry has waited for the grace period; the agent may only now hear of it.
        cache = make_cache()
        cache.record_report(report(versions={A1: 1}), 0.0)
        self.assertFalse(cache.serves(A1, 2, 0.0))
        self.assertTrue(cache.serves(A1, 1, 0.0))
        self.assertEqual(
            cache.next_order([demand(A1, version=2)], 0.0), LoadAdapter(A1, 2)
        )


class RecentAdapterTests(unittest.TestCase):
    def test_unloaded_adapters_are_recent_until_the_engine_restarts(self):
        cache = make_cache()
        cache.record_report(report(A1, A2, sequence=1), 0.0)
        cache.record_report(report(A2, sequence=2), 0.0)
        self.assertEqual(list(cache.recently_unloaded), [A1])
        cache.record_report(report(A2, start_time_ms=2), 0.0)
        self.assertEqual(list(cache.recently_unloaded), [])
