"""Tests of ``admission`` and ``rank_queue`` in ``fighitch.core.sidecar``."""

import sys
import unittest

from hypothesis import seed, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fighitch.core.errors import ErrorKind
from fighitch.core.invariants import InvariantViolation
from fighitch.core.sidecar.admission import AdmissionQueue, RankPolicy
from fighitch.core.sidecar.rank_queue import WorkItem
from fighitch.tests.sidecar_helpers import (
    BATCH,
    INTERACTIVE,
    OTHER,
    STATEFUL,
    URGENT,
    VERSION,
)

FLOORS = {
    URGENT: RankPolicy(floor=0.25),
    INTERACTIVE: RankPolicy(floor=0.25),
    BATCH: RankPolicy(floor=0.125, preemptible=True),
}


class QueueHelper:
    def __init__(self, *, batch_size=8, policies=FLOORS):
        self.queue = AdmissionQueue(batch_size=batch_size, policies=policies)
        self.number = 0

    def add(self, rank, *, caller="c", version=None, deadline=1e9, now=0.0):
        self.number += 1
        work = WorkItem(
            self.number, caller, rank, version, deadline, now, preemptible=rank == BATCH
        )
        return self.queue.admit(work, now=now)

    def add_many(self, count, rank, **kwargs):
        for _ in range(count):
            self.add(rank, **kwargs)

    def pop_all(self, now=0.0):
        return list(iter(lambda: self.queue.pop(now=now), None))


class LatencyTargetTests(unittest.TestCase):
    def helper(self):
        policies = {
            URGENT: RankPolicy(latency_target=1.0),
            INTERACTIVE: RankPolicy(floor=0.5),
        }
        helper = QueueHelper(batch_size=2, policies=policies)
        helper.add_many(2, URGENT)
        for work in helper.pop_all():
            helper.queue.release(work, service_time=1.0)
        return helper

    def test_work_expected_to_miss_its_target_is_rejected(self):
        """Guards against a queue that makes every response late under overload."""
        helper = self.helper()
        results = [helper.add(URGENT) for _ in range(12)]
        # One request from the setup is still queued.
        self.assertEqual(results[:7], [None] * 7)
        self.assertEqual(results[-1].kind, ErrorKind.OVERLOADED)
        self.assertGreater(results[-1].retry_after, 0)

    def test_work_waiting_for_a_load_is_not_counted_as_ahead(self):
        """Guards against rejections while the batch has free slots."""
        helper = self.helper()
        for _ in range(8):
            self.assertIsNone(helper.add(URGENT, version=VERSION))
        self.assertIsNone(helper.add(URGENT))


class LoadDeferralTests(unittest.TestCase):
    def helper(self, *, running_batch):
        policies = {
            URGENT: RankPolicy(),
            INTERACTIVE: RankPolicy(floor=0.25, latency_target=3.0),
            BATCH: RankPolicy(floor=0.125, latency_target=60.0, preemptible=True),
        }
        helper = QueueHelper(policies=policies)
        helper.add_many(running_batch, BATCH)
        helper.pop_all()
        helper.add(BATCH, version=VERSION)
        return helper

    def test_loads_of_batch_work_are_deferred_while_it_fills_half_of_the_batch(self):
        """Guards against a burst of batch work that exhausts the load rate limit."""
        queue = self.helper(running_batch=4).queue
        self.assertTrue(queue.can_defer_load(BATCH, 1.0))
        self.assertFalse(queue.can_defer_load(BATCH, 16.0))
        self.assertFalse(self.helper(running_batch=1).queue.can_defer_load(BATCH, 1.0))

    def test_batch_work_above_its_floor_borrows_late(self):
        """Guards against batch work that borrows permits needed for urgent loads."""
        queue = self.helper(running_batch=2).queue
        self.assertFalse(queue.may_borrow_permits(BATCH, 16.0))
        self.assertTrue(queue.may_borrow_permits(BATCH, 31.0))
        self.assertTrue(queue.may_borrow_permits(INTERACTIVE, 0.0))

    def test_rank_below_its_floor_is_starved_of_a_load_under_urgent_work(self):
        """Guards against a floor that stays unused because no adapter is loaded."""
        helper = self.helper(running_batch=0)
        helper.add(INTERACTIVE, version=VERSION)
        self.assertFalse(helper.queue.is_starved_of_load(INTERACTIVE, 2.0))
        helper.add(URGENT)
        self.assertTrue(helper.queue.is_starved_of_load(INTERACTIVE, 2.0))
        self.assertFalse(helper.queue.is_starved_of_load(INTERACTIVE, 0.5))


class DispatchOrderTests(unittest.TestCase):
    def test_callers_of_a_rank_take_turns(self):
        """Guards against a caller whose burst of requests delays all others."""
        helper = QueueHelper(batch_size=4, policies={})
        helper.add_many(5, URGENT, caller="flood")
        helper.add(URGENT, caller="other")
        callers = [work.caller for work in helper.pop_all()]
        self.assertEqual(callers, ["flood", "other", "flood", "flood"])

    def test_work_without_its_adapter_does_not_block_ready_work(self):
        """Guards against head-of-line blocking, including within one caller."""
        helper = QueueHelper()
        helper.add(URGENT, version=VERSION)
        helper.add(URGENT, version=OTHER)
        helper.queue.set_ready(OTHER, True)
        self.assertEqual([work.number for work in helper.pop_all()], [2])
        helper.queue.set_ready(VERSION, True)
        self.assertEqual([work.number for work in helper.pop_all()], [1])

    def test_requeued_work_is_dispatched_before_its_rank(self):
        """Guards against a preempted request that waits behind newer requests."""
        helper = QueueHelper(batch_size=1, policies={})
        helper.add_many(3, BATCH)
        work = helper.queue.pop(now=0)
        helper.queue.release(work)
        helper.queue.requeue(work)
        self.assertEqual(helper.queue.pop(now=0), work)


class FloorTests(unittest.TestCase):
    def test_burst_leaves_the_floors_of_other_ranks_free(self):
        """Guards against a burst of urgent work that occupies the whole batch."""
        helper = QueueHelper()
        helper.add_many(20, URGENT)
        helper.pop_all()
        self.assertEqual(helper.queue.running_by_rank(), (5, 0, 0))
        helper.add_many(20, BATCH)
        helper.add_many(20, INTERACTIVE)
        helper.pop_all()
        self.assertEqual(helper.queue.running_by_rank(), (5, 2, 1))

    def test_preemptible_work_may_use_reserved_slots(self):
        """Guards against slots that stay free while requests wait."""
        helper = QueueHelper()
        helper.add_many(20, BATCH)
        helper.pop_all()
        self.assertEqual(helper.queue.running_by_rank(), (0, 0, 8))
        helper.add(URGENT)
        preemption = helper.queue.find_preemption()
        self.assertEqual((preemption.victim.number, preemption.rank), (8, URGENT))

    def test_rank_at_its_floor_is_not_preempted(self):
        """Guards against a burst of urgent work that starves batch work."""
        helper = QueueHelper()
        helper.add_many(20, BATCH)
        helper.pop_all()
        helper.add_many(20, URGENT)
        helper.add_many(20, INTERACTIVE)
        while preemption := helper.queue.find_preemption():
            helper.queue.release(preemption.victim)
            helper.queue.pop(now=0, rank=preemption.rank)
        self.assertEqual(helper.queue.running_by_rank(), (5, 2, 1))

    def test_new_floor_protects_running_work_at_once(self):
        """Guards against preempting the last request covered by a new floor."""
        helper = QueueHelper(batch_size=2, policies={})
        helper.add(BATCH)
        helper.add(INTERACTIVE)
        helper.pop_all()
        helper.add(URGENT)
        self.assertIsNotNone(helper.queue.find_preemption())
        helper.queue.configure(
            batch_size=2, policies={URGENT: RankPolicy(0.5), BATCH: RankPolicy(0.5)}
        )
        self.assertIsNone(helper.queue.find_preemption())

    def test_floors_share_a_batch_of_one_over_time(self):
        """Guards against starvation where every floor rounds up to the whole batch."""
        helper = QueueHelper(batch_size=1)
        for rank in FLOORS:
            helper.add_many(100, rank)
        served = [0, 0, 0]
        for _ in range(80):
            work = helper.queue.pop(now=0)
            served[work.rank] += 1
            helper.queue.release(work)
        self.assertEqual(served, [50, 20, 10])


class RejectionTests(unittest.TestCase):
    def test_retry_after_of_a_full_queue_follows_the_dispatch_rate(self):
        """Guards against callers that retry before a slot is free."""
        helper = QueueHelper(policies={URGENT: RankPolicy(queue_limit=20)})
        for second in range(60):
            helper.add_many(4, URGENT, now=second / 2)
            for work in helper.pop_all(now=second / 2):
                helper.queue.release(work)
        helper.add_many(8, URGENT, now=30)
        helper.pop_all(now=30)
        helper.add_many(20, URGENT, now=30)
        rejection = helper.add(URGENT, now=30)
        self.assertEqual(rejection.kind, ErrorKind.OVERLOADED)
        self.assertAlmostEqual(rejection.retry_after, 10 / 8, delta=0.5)

    def test_work_that_cannot_meet_its_deadline_is_rejected_at_once(self):
        """Guards against queueing requests that will expire before they run."""
        helper = QueueHelper(batch_size=1, policies={})
        helper.add(URGENT)
        helper.queue.release(helper.queue.pop(now=0), service_time=2.0)
        helper.add_many(3, URGENT)
        helper.pop_all()
        rejection = helper.add(URGENT, deadline=7.9)
        self.assertEqual(rejection.kind, ErrorKind.DEADLINE_EXCEEDED)
        self.assertAlmostEqual(rejection.retry_after, 0.1)
        self.assertIsNone(helper.add(URGENT, deadline=8.1))

    def test_idle_server_admits_work_despite_long_service_times(self):
        """Guards against an estimate that rejects all work and is never updated."""
        helper = QueueHelper()
        helper.add(URGENT)
        helper.queue.release(helper.queue.pop(now=0), service_time=60.0)
        self.assertIsNone(helper.add(URGENT, deadline=1.0))


class ComplexityTests(unittest.TestCase):
    def count_profiler_events(self, waiting):
        """Counts the profiler events of one pop with the given queue length."""
        helper = QueueHelper(policies={URGENT: RankPolicy(queue_limit=waiting)})
        for number in range(waiting):
            helper.add(URGENT, caller=f"c{number % 100}", version=VERSION)
        helper.queue.set_ready(VERSION, True)
        count = 0

        def count_event(frame, event, argument):
            nonlocal count
            count += 1

        sys.setprofile(count_event)
        helper.queue.pop(now=0)
        sys.setprofile(None)
        return count

    def test_cost_of_a_decision_is_independent_of_queue_length(self):
        """Guards against decisions whose cost grows with the queue length."""
        self.assertLessEqual(
            self.count_profiler_events(20_000), self.count_profiler_events(200) + 20
        )


@seed(20261204)
class QueueMachine(RuleBasedStateMachine):
    """Random arrivals, completions, preemptions, cancellations, readiness changes."""

    def __init__(self):
        super().__init__()
        self.helper = QueueHelper()
        self.queue = self.helper.queue
        self.running = []
        self.waiting = set()

    @rule(
        rank=st.sampled_from(list(FLOORS)),
        caller=st.sampled_from("xyz"),
        version=st.sampled_from([None, VERSION, OTHER]),
        deadline=st.integers(1, 50),
    )
    def arrive(self, rank, caller, version, deadline):
        if self.helper.add(rank, caller=caller, version=version, deadline=deadline):
            raise AssertionError("work was rejected although no service time is known")
        self.waiting.add(self.helper.number)

    @rule(version=st.sampled_from([VERSION, OTHER]), is_ready=st.booleans())
    def set_ready(self, version, is_ready):
        self.queue.set_ready(version, is_ready)

    @rule()
    def pop(self):
        ranks_below_floor = {
            rank
            for rank in FLOORS
            if self.queue.running_by_rank()[rank] < self.queue.floor_slots(rank)
            and self.queue._queues[rank].has_ready
        }
        work = self.queue.pop(now=0)
        if work is not None:
            assert not ranks_below_floor or work.rank == min(ranks_below_floor), (
                "a rank below its floor goes first"
            )
            assert work.adapter_version in {None, *self.queue.ready_versions}
            self.start(work)
        elif ranks_below_floor:
            assert len(self.running) == 8, (
                "a rank below its floor waits although a slot is free"
            )

    @rule()
    def preempt(self):
        preemption = self.queue.find_preemption()
        if preemption is None:
            return
        before = self.queue.running_by_rank()[preemption.victim.rank]
        assert before > self.queue.floor_slots(preemption.victim.rank)
        self.running.remove(preemption.victim)
        self.queue.release(preemption.victim)
        self.queue.requeue(preemption.victim)
        self.waiting.add(preemption.victim.number)
        work = self.queue.pop(now=0, rank=preemption.rank)
        assert work is not None and work != preemption.victim
        self.start(work)

    def start(self, work):
        self.waiting.remove(work.number)
        self.running.append(work)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data):
        work = data.draw(st.sampled_from(self.running))
        self.running.remove(work)
        self.queue.release(work)

    @rule(number=st.integers(1, 30))
    def cancel(self, number):
        assert (self.queue.remove(number) is not None) == (number in self.waiting)
        self.waiting.discard(number)

    @rule(now=st.integers(1, 50))
    def expire(self, now):
        for work in self.queue.expire(now):
            assert work.deadline <= now
            self.waiting.remove(work.number)

    @invariant()
    def no_work_is_lost_or_duplicated(self):
        assert sum(self.queue.queued_by_rank()) == len(self.waiting)
        assert sum(self.queue.running_by_rank()) == len(self.running) <= 8


QueueStatefulTests = QueueMachine.TestCase
QueueStatefulTests.settings = STATEFUL


class InvariantTests(unittest.TestCase):
    def test_work_queued_twice_or_not_running_is_detected(self):
        """Guards against invariant checks that can never fail."""
        queue = AdmissionQueue(batch_size=1)
        work = WorkItem(1, "c", 0, None, 1.0, 0.0)
        queue.requeue(work)
        with self.assertRaisesRegex(InvariantViolation, "work_is_queued_once"):
            queue.requeue(work)
        with self.assertRaisesRegex(InvariantViolation, "finished_work_was_running"):
            queue.release(work)
