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


def wanted(name, *, rank=1, waiting=1, value=1.0, oldest_wait=0.0):
    return AdapterDemand(version(name), rank, waiting, value, oldest_wait)


def filled(*names, capacity=2):
    slots = AdapterSlots(capacity)
    slots.apply_report("boot", [version(name) for name in names])
    return slots


class StateTests(unittest.TestCase):
    def test_restart_empties_the_table_and_drops_pins(self):
        """Guards against requests dispatched to an adapter lost in a restart."""
        slots = filled("a")
        slots.pin(version("a"))
        self.assertTrue(slots.apply_report("other", []))
        self.assertFalse(slots.is_ready(version("a")))

    def test_first_report_adopts_what_is_loaded(self):
        """Guards against loading again what an engine kept while its sidecar died."""
        slots = AdapterSlots(2)
        self.assertFalse(slots.apply_report("boot", [version("a")]))
        self.assertEqual(slots.resident(), {"a@1"})

    def test_load_of_an_earlier_boot_is_ignored(self):
        slots = filled()
        slots.plan([wanted("a")], permits=1, now=0.0)
        slots.apply_report("other", [])
        slots.loaded(version("a"), "boot")
        self.assertFalse(slots.is_ready(version("a")))

    def test_pin_needs_a_ready_adapter(self):
        """Guards against dispatch while the adapter is still loading."""
        slots = filled()
        slots.plan([wanted("a")], permits=1, now=0.0)
        with self.assertRaises(ValueError):
            slots.pin(version("a"))

    def test_single_lagging_report_changes_nothing(self):
        """Guards against an adapter that flaps with a report made before its load."""
        slots = filled("a")
        for _ in range(REPORTS_TO_RECONCILE - 1):
            slots.apply_report("boot", [])
        self.assertTrue(slots.is_ready(version("a")))
        slots.apply_report("boot", [])
        self.assertFalse(slots.is_ready(version("a")))

    def test_failed_load_is_not_repeated_at_once_and_pauses_grow(self):
        """Guards against permits spent on an adapter that cannot be loaded."""
        slots = filled()
        slots.plan([wanted("a")], permits=1, now=0.0)
        slots.failed(version("a"), 0.0)
        self.assertTrue(slots.failed_recently(version("a"), LOAD_BACKOFF_SECONDS - 1))
        self.assertEqual(slots.plan([wanted("a")], permits=1, now=1.0).loads, ())
        retry = slots.plan([wanted("a")], permits=1, now=LOAD_BACKOFF_SECONDS)
        self.assertEqual(retry.loads, (version("a"),))
        slots.failed(version("a"), LOAD_BACKOFF_SECONDS)
        self.assertTrue(slots.failed_recently(version("a"), 2.5 * LOAD_BACKOFF_SECONDS))

    def test_failed_unload_leaves_the_adapter_ready(self):
        slots = filled("a", "b")
        slots.plan([wanted("c")], permits=1, now=0.0)
        slots.failed(version("a"), 0.0)
        self.assertEqual(slots.resident(), {"a@1", "b@1"})
        self.assertFalse(slots.failed_recently(version("a"), 0.0))


class PlanTests(unittest.TestCase):
    def test_adapter_in_use_is_never_unloaded(self):
        """Guards against eviction under a running request."""
        slots = filled("a", "b")
        slots.pin(version("a"))
        slots.pin(version("b"))
        plan = slots.plan([wanted("c", value=1e9)], permits=4, now=0.0)
        self.assertEqual((plan.loads, plan.unloads), ((), ()))
        slots.unpin(version("b"))
        plan = slots.plan([wanted("c")], permits=4, now=60.0)
        self.assertEqual(plan.unloads, (version("b"),))

    def test_load_waits_for_the_unload(self):
        """Guards against more adapters on the engine than it has slots."""
        slots = filled("a", "b")
        self.assertEqual(slots.plan([wanted("c")], permits=1, now=0.0).loads, ())
        again = slots.plan([wanted("c")], permits=1, now=0.1)
        self.assertEqual((again.loads, again.unloads), ((), ()))
        slots.unloaded(version("a"))
        plan = slots.plan([wanted("c")], permits=1, now=0.2)
        self.assertEqual(plan.loads, (version("c"),))

    def test_without_a_permit_nothing_is_unloaded(self):
        """Guards against slots that stand empty until a permit comes."""
        slots = filled("a", "b")
        self.assertEqual(slots.plan([wanted("c")], permits=0, now=0.0).unloads, ())

    def test_urgent_stall_goes_before_older_work_and_prefetch(self):
        slots = filled(capacity=1)
        plan = slots.plan(
            [
                wanted("prefetch", rank=0, waiting=0, value=100.0),
                wanted("old", rank=2, oldest_wait=60.0),
                wanted("urgent", rank=0),
            ],
            permits=1,
            now=0.0,
        )
        self.assertEqual(plan.loads, (version("urgent"),))

    def test_least_valuable_next_use_is_unloaded_not_the_least_recent(self):
        """Guards against plain LRU: one late cheap use must not save an adapter."""
        slots = filled("hot", "cold")
        for _ in range(10):
            slots.pin(version("hot"), value=10.0)
            slots.unpin(version("hot"))
        slots.pin(version("cold"), value=1.0)
        slots.unpin(version("cold"))
        plan = slots.plan([wanted("new")], permits=1, now=1.0)
        self.assertEqual(plan.unloads, (version("cold"),))

    def test_prefetch_of_like_demand_does_not_replace(self):
        """Guards against two adapters that replace each other in turn."""
        slots = filled("a", capacity=1)
        slots.pin(version("a"))
        slots.unpin(version("a"))
        plan = slots.plan([wanted("b", waiting=0)], permits=1, now=0.0)
        self.assertEqual(plan.unloads, ())

    def test_most_waiting_value_of_a_rank_is_loaded_first(self):
        """Guards against one old request that delays hundreds for another adapter."""
        slots = filled(capacity=1)
        plan = slots.plan(
            [wanted("single", oldest_wait=2.0), wanted("many", waiting=50)],
            permits=1,
            now=0.0,
        )
        self.assertEqual(plan.loads, (version("many"),))

    def test_prefetch_takes_free_slots_only(self):
        """Guards against a prefetch that uses up the permit of the next stall."""
        slots = filled("a", capacity=2)
        self.assertEqual(
            slots.plan([wanted("b", waiting=0)], permits=1, now=0.0).loads,
            (version("b"),),
        )
        slots.loaded(version("b"), "boot")
        plan = slots.plan([wanted("c", waiting=0, value=99.0)], permits=1, now=600.0)
        self.assertEqual((plan.loads, plan.unloads), ((), ()))

    def test_waiting_request_is_served_in_the_end(self):
        """Guards against a cold adapter that waits for ever behind hot ones."""
        slots = filled("hot", capacity=1)
        for _ in range(1_000):
            slots.pin(version("hot"), value=10.0)
            slots.unpin(version("hot"))
        young = slots.plan([wanted("cold")], permits=1, now=0.0)
        old = slots.plan([wanted("cold", oldest_wait=600.0)], permits=1, now=0.0)
        self.assertEqual((young.unloads, old.unloads), ((), (version("hot"),)))


class DrainTests(unittest.TestCase):
    def test_slot_in_use_is_drained_and_then_unloaded(self):
        """Guards against urgent work that waits for the end of all other work."""
        slots = filled("a", capacity=1)
        slots.pin(version("a"))
        plan = slots.plan([wanted("b", value=9.0)], permits=1, now=60.0)
        self.assertEqual((plan.unloads, plan.drains), ((), (version("a"),)))
        self.assertFalse(slots.is_ready(version("a")))
        slots.unpin(version("a"))
        plan = slots.plan([wanted("b", value=9.0)], permits=1, now=60.0)
        self.assertEqual((plan.unloads, plan.drains), ((version("a"),), ()))

    def test_drain_ends_when_nobody_waits_any_more(self):
        """Guards against an adapter that serves nobody after its rival gave up."""
        slots = filled("a", capacity=1)
        slots.pin(version("a"))
        slots.plan([wanted("b", value=9.0)], permits=1, now=60.0)
        slots.plan([], permits=1, now=61.0)
        self.assertTrue(slots.is_ready(version("a")))

    def test_what_can_be_paused_gives_way_first(self):
        """Guards against a drain of a slot whose work cannot be paused."""
        slots = filled("firm", "paused")
        slots.pin(version("firm"), value=1.0)
        slots.pin(version("paused"), value=2.0, preemptible_rank=2)
        plan = slots.plan([wanted("b", rank=0, value=99.0)], permits=1, now=0.0)
        self.assertEqual(plan.drains, (version("paused"),))

    def test_equal_rank_is_not_paused_for_its_own_kind(self):
        """Guards against batch work that pauses other batch work in turn."""
        slots = filled("firm", "batch")
        slots.pin(version("firm"), value=1.0)
        slots.pin(version("batch"), value=2.0, preemptible_rank=2)
        plan = slots.plan([wanted("b", rank=2, value=99.0)], permits=1, now=0.0)
        self.assertEqual(plan.drains, (version("firm"),))

    def test_slot_that_became_unused_is_taken_instead(self):
        """Guards against a drain that goes on although another slot is unused."""
        slots = filled("a", "b")
        slots.pin(version("a"))
        slots.pin(version("b"))
        plan = slots.plan([wanted("c", value=9.0)], permits=1, now=60.0)
        self.assertEqual(plan.drains, (version("a"),))
        slots.unpin(version("b"))
        plan = slots.plan([wanted("c", value=9.0)], permits=1, now=60.0)
        self.assertEqual((plan.unloads, plan.drains), ((version("b"),), ()))
        self.assertTrue(slots.is_ready(version("a")))
