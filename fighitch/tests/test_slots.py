"""Tests of ``fighitch.core.sidecar.slots``."""

import unittest

from fighitch.core.messages import AdapterVersion
from fighitch.core.sidecar.slots import (
    LOAD_BACKOFF_SECONDS,
    REPORTS_TO_RECONCILE,
    AdapterDemand,
    AdapterSlots,
)


def version(name):
    return AdapterVersion(name, "1")


def demand(name, *, rank=1, waiting=1, value=1.0, oldest_wait=0.0):
    return AdapterDemand(version(name), rank, waiting, value, oldest_wait)


def slots_with(*names, capacity=2):
    slots = AdapterSlots(capacity)
    slots.apply_report("boot", [version(name) for name in names])
    return slots


class StateTests(unittest.TestCase):
    def test_restart_empties_the_table_and_drops_pins(self):
        """Guards against dispatching to an adapter that a restart has unloaded."""
        slots = slots_with("a")
        slots.pin(version("a"))
        self.assertTrue(slots.apply_report("other", []))
        self.assertFalse(slots.is_ready(version("a")))

    def test_first_report_sets_the_resident_versions(self):
        """Guards against reloading resident adapters after a sidecar restart."""
        slots = AdapterSlots(2)
        self.assertFalse(slots.apply_report("boot", [version("a")]))
        self.assertEqual(slots.resident(), {"a@1"})

    def test_load_of_an_earlier_boot_is_ignored(self):
        slots = slots_with()
        slots.plan([demand("a")], permits=1, now=0.0)
        slots.apply_report("other", [])
        slots.mark_loaded(version("a"), "boot")
        self.assertFalse(slots.is_ready(version("a")))

    def test_pin_needs_a_ready_adapter(self):
        """Guards against dispatching while the adapter is still loading."""
        slots = slots_with()
        slots.plan([demand("a")], permits=1, now=0.0)
        with self.assertRaises(ValueError):
            slots.pin(version("a"))

    def test_single_lagging_report_changes_nothing(self):
        """Guards against flapping caused by a report made before a load."""
        slots = slots_with("a")
        for _ in range(REPORTS_TO_RECONCILE - 1):
            slots.apply_report("boot", [])
        self.assertTrue(slots.is_ready(version("a")))
        slots.apply_report("boot", [])
        self.assertFalse(slots.is_ready(version("a")))

    def test_failed_load_is_retried_with_exponential_backoff(self):
        """Guards against permits spent on an adapter that cannot be loaded."""
        slots = slots_with()
        slots.plan([demand("a")], permits=1, now=0.0)
        slots.mark_failed(version("a"), 0.0)
        self.assertTrue(
            slots.is_load_backing_off(version("a"), LOAD_BACKOFF_SECONDS - 1)
        )
        self.assertEqual(slots.plan([demand("a")], permits=1, now=1.0).loads, ())
        retry = slots.plan([demand("a")], permits=1, now=LOAD_BACKOFF_SECONDS)
        self.assertEqual(retry.loads, (version("a"),))
        slots.mark_failed(version("a"), LOAD_BACKOFF_SECONDS)
        self.assertTrue(
            slots.is_load_backing_off(version("a"), 2.5 * LOAD_BACKOFF_SECONDS)
        )

    def test_failed_unload_leaves_the_adapter_ready(self):
        slots = slots_with("a", "b")
        slots.plan([demand("c")], permits=1, now=0.0)
        slots.mark_failed(version("a"), 0.0)
        self.assertEqual(slots.resident(), {"a@1", "b@1"})
        self.assertFalse(slots.is_load_backing_off(version("a"), 0.0))


class PlanTests(unittest.TestCase):
    def test_adapter_in_use_is_never_unloaded(self):
        """Guards against evicting an adapter of a running request."""
        slots = slots_with("a", "b")
        slots.pin(version("a"))
        slots.pin(version("b"))
        plan = slots.plan([demand("c", value=1e9)], permits=4, now=0.0)
        self.assertEqual((plan.loads, plan.unloads), ((), ()))
        slots.unpin(version("b"))
        plan = slots.plan([demand("c")], permits=4, now=60.0)
        self.assertEqual(plan.unloads, (version("b"),))

    def test_load_waits_for_the_unload(self):
        """Guards against loading more adapters than the engine has slots."""
        slots = slots_with("a", "b")
        self.assertEqual(slots.plan([demand("c")], permits=1, now=0.0).loads, ())
        again = slots.plan([demand("c")], permits=1, now=0.1)
        self.assertEqual((again.loads, again.unloads), ((), ()))
        slots.mark_unloaded(version("a"))
        plan = slots.plan([demand("c")], permits=1, now=0.2)
        self.assertEqual(plan.loads, (version("c"),))

    def test_without_a_permit_nothing_is_unloaded(self):
        """Guards against slots that stay empty until a permit is available."""
        slots = slots_with("a", "b")
        self.assertEqual(slots.plan([demand("c")], permits=0, now=0.0).unloads, ())

    def test_urgent_request_precedes_older_requests_and_prefetches(self):
        slots = slots_with(capacity=1)
        plan = slots.plan(
            [
                demand("prefetch", rank=0, waiting=0, value=100.0),
                demand("old", rank=2, oldest_wait=60.0),
                demand("urgent", rank=0),
            ],
            permits=1,
            now=0.0,
        )
        self.assertEqual(plan.loads, (version("urgent"),))

    def test_least_valuable_adapter_is_evicted_not_the_least_recently_used(self):
        """Guards against plain LRU, which keeps an adapter after one low-value use."""
        slots = slots_with("hot", "cold")
        for _ in range(10):
            slots.pin(version("hot"), value=10.0)
            slots.unpin(version("hot"))
        slots.pin(version("cold"), value=1.0)
        slots.unpin(version("cold"))
        plan = slots.plan([demand("new")], permits=1, now=1.0)
        self.assertEqual(plan.unloads, (version("cold"),))

    def test_prefetch_of_similar_demand_does_not_replace(self):
        """Guards against thrashing between two adapters."""
        slots = slots_with("a", capacity=1)
        slots.pin(version("a"))
        slots.unpin(version("a"))
        plan = slots.plan([demand("b", waiting=0)], permits=1, now=0.0)
        self.assertEqual(plan.unloads, ())

    def test_highest_waiting_value_of_a_rank_is_loaded_first(self):
        """Guards against one old request that delays many for another adapter."""
        slots = slots_with(capacity=1)
        plan = slots.plan(
            [demand("single", oldest_wait=2.0), demand("many", waiting=50)],
            permits=1,
            now=0.0,
        )
        self.assertEqual(plan.loads, (version("many"),))

    def test_prefetch_uses_free_slots_only(self):
        """Guards against a prefetch that consumes the permit of a stalled request."""
        slots = slots_with("a", capacity=2)
        self.assertEqual(
            slots.plan([demand("b", waiting=0)], permits=1, now=0.0).loads,
            (version("b"),),
        )
        slots.mark_loaded(version("b"), "boot")
        plan = slots.plan([demand("c", waiting=0, value=99.0)], permits=1, now=600.0)
        self.assertEqual((plan.loads, plan.unloads), ((), ()))

    def test_waiting_request_is_eventually_served(self):
        """Guards against a cold adapter that is starved by hot ones."""
        slots = slots_with("hot", capacity=1)
        for _ in range(1_000):
            slots.pin(version("hot"), value=10.0)
            slots.unpin(version("hot"))
        young = slots.plan([demand("cold")], permits=1, now=0.0)
        old = slots.plan([demand("cold", oldest_wait=600.0)], permits=1, now=0.0)
        self.assertEqual((young.unloads, old.unloads), ((), (version("hot"),)))


class DrainTests(unittest.TestCase):
    def test_slot_in_use_is_drained_and_then_unloaded(self):
        """Guards against urgent work that waits for the end of all other work."""
        slots = slots_with("a", capacity=1)
        slots.pin(version("a"))
        plan = slots.plan([demand("b", value=9.0)], permits=1, now=60.0)
        self.assertEqual((plan.unloads, plan.drains), ((), (version("a"),)))
        self.assertFalse(slots.is_ready(version("a")))
        slots.unpin(version("a"))
        plan = slots.plan([demand("b", value=9.0)], permits=1, now=60.0)
        self.assertEqual((plan.unloads, plan.drains), ((version("a"),), ()))

    def test_drain_is_cancelled_when_no_request_waits(self):
        """Guards against an adapter that stays unusable after a cancelled demand."""
        slots = slots_with("a", capacity=1)
        slots.pin(version("a"))
        slots.plan([demand("b", value=9.0)], permits=1, now=60.0)
        slots.plan([], permits=1, now=61.0)
        self.assertTrue(slots.is_ready(version("a")))

    def test_slot_with_preemptible_work_is_drained_first(self):
        """Guards against draining a slot whose requests cannot be preempted."""
        slots = slots_with("pinned", "preemptible")
        slots.pin(version("pinned"), value=1.0)
        slots.pin(version("preemptible"), value=2.0, preemptible_rank=2)
        plan = slots.plan([demand("b", rank=0, value=99.0)], permits=1, now=0.0)
        self.assertEqual(plan.drains, (version("preemptible"),))

    def test_request_is_not_preempted_by_its_own_rank(self):
        """Guards against batch requests that preempt each other."""
        slots = slots_with("pinned", "batch")
        slots.pin(version("pinned"), value=1.0)
        slots.pin(version("batch"), value=2.0, preemptible_rank=2)
        plan = slots.plan([demand("b", rank=2, value=99.0)], permits=1, now=0.0)
        self.assertEqual(plan.drains, (version("pinned"),))

    def test_slot_that_became_unused_is_evicted_instead(self):
        """Guards against a drain that continues although another slot is unused."""
        slots = slots_with("a", "b")
        slots.pin(version("a"))
        slots.pin(version("b"))
        plan = slots.plan([demand("c", value=9.0)], permits=1, now=60.0)
        self.assertEqual(plan.drains, (version("a"),))
        slots.unpin(version("b"))
        plan = slots.plan([demand("c", value=9.0)], permits=1, now=60.0)
        self.assertEqual((plan.unloads, plan.drains), ((version("b"),), ()))
        self.assertTrue(slots.is_ready(version("a")))
