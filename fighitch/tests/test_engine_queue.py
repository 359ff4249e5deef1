import unittest

from fighitch.core.gateway.engine_queue import PREFILL_WINDOW, EngineQueue
from fighitch.tests.gateway_helpers import (
    A1,
    A2,
    HoldsAll,
    HoldsNone,
    engine_spec,
    request,
)


def queue(*, slots: int = 64) -> EngineQueue:
    made = EngineQueue()
    made.configure(engine_spec(slots=slots))
    return made


class AdmissionTests(unittest.TestCase):
    def test_burst_is_handed_over_no_faster_than_it_is_read(self):
        # Prompts that are all handed over at once delay each other past their aims.
        waiting = queue()
        for number in range(100):
            waiting.enqueue(request(number))
        taken = waiting.admit_ready(0.0, HoldsAll())
        read_time = sum(item.size.prompt_tokens for item in taken)
        read_time *= waiting.prefill_speed.seconds_per_token
        self.assertLess(
            read_time, PREFILL_WINDOW + 500 * waiting.prefill_speed.seconds_per_token
        )
        self.assertGreaterEqual(read_time, PREFILL_WINDOW)

    def test_first_event_makes_room(self):
        waiting = queue()
        for number in range(100):
            waiting.enqueue(request(number))
        first = waiting.admit_ready(0.0, HoldsAll())
        self.assertEqual(waiting.admit_ready(0.0, HoldsAll()), [])
        waiting.record_first_event(first[0].key, 0.1)
        self.assertEqual(len(waiting.admit_ready(0.1, HoldsAll())), 1)

    def test_batch_slots_bound_the_running_requests(self):
        waiting = queue(slots=2)
        for number in range(5):
            waiting.enqueue(request(number, prompt=1))
        self.assertEqual(len(waiting.admit_ready(0.0, HoldsAll())), 2)

    def test_kv_cache_bounds_the_running_requests(self):
        waiting = queue()
        waiting.enqueue(request(1, prompt=10, output=60_000))
        waiting.enqueue(request(2, prompt=10, output=60_000))
        self.assertEqual(len(waiting.admit_ready(0.0, HoldsAll())), 1)

    def test_urgent_work_goes_first(self):
        waiting = queue(slots=1)
        waiting.enqueue(request(1, rank=2))
        waiting.enqueue(request(2, rank=0))
        self.assertEqual(waiting.admit_ready(0.0, HoldsAll())[0].key, (1, 2))

    def test_work_that_is_late_yields_to_work_that_can_be_on_time(self):
        waiting = queue(slots=1)
        waiting.enqueue(request(1, rank=0, target_time=0.5))
        waiting.enqueue(request(2, rank=2, target_time=5.0))
        self.assertEqual(waiting.admit_ready(1.0, HoldsAll())[0].key, (1, 2))

    def test_missing_adapter_does_not_hold_up_others(self):
        class HoldsSecond(HoldsAll):
            def serves(self, adapter, version, now):
                return adapter == A2

        waiting = queue()
        waiting.enqueue(request(1, adapter=A1))
        waiting.enqueue(request(2, adapter=A2))
        taken = waiting.admit_ready(0.0, HoldsSecond())
        self.assertEqual([item.key for item in taken], [(1, 2)])

    def test_handed_over_work_of_a_lost_entry_frees_its_room(self):
        waiting = queue(slots=1)
        waiting.enqueue(request(1, connection=1))
        waiting.enqueue(request(1, connection=2))
        waiting.admit_ready(0.0, HoldsAll())
        self.assertEqual(len(waiting.drop_connection(1)), 1)
        self.assertEqual(len(waiting.admit_ready(0.0, HoldsAll())), 1)


class LoadOrderTests(unittest.TestCase):
    def order(self, now: float, *items) -> list:
        waiting = queue()
        for item in items:
            waiting.enqueue(item)
        return [found.adapter for found in waiting.adapter_demands(now)]

    def test_work_that_can_be_on_time_is_loaded_for_before_late_work(self):
        # After a restart loads are behind; in order of arrival all work would be late.
        old = request(1, adapter=A1, rank=0, arrived=0.0)
        new = request(2, adapter=A2, rank=2, arrived=3.0)
        self.assertEqual(self.order(3.0, old, new), [A2, A1])

    def test_adapter_that_more_work_waits_for_goes_first(self):
        items = [request(1, adapter=A1), request(2, adapter=A2), request(3, adapter=A2)]
        self.assertEqual(self.order(0.0, *items), [A2, A1])

    def test_urgent_work_is_loaded_for_first(self):
        items = [request(1, adapter=A1, rank=1), request(2, adapter=A2, rank=0)]
        self.assertEqual(self.order(0.0, *items), [A2, A1])

    def test_held_adapters_are_not_missing(self):
        waiting = queue()
        waiting.enqueue(request(1))
        self.assertEqual(waiting.count_missing_adapters(HoldsAll(), 0.0), 0)
        self.assertEqual(waiting.count_missing_adapters(HoldsNone(), 0.0), 1)

    def test_loads_for_late_work_are_not_ahead_of_new_work(self):
        # After a restart late work waited for eight adapters at each engine; agents
        # declined new work for 20 s although two in three of it was on time.
        waiting = queue()
        waiting.enqueue(request(1, target_time=0.5))
        self.assertEqual(waiting.count_missing_adapters(HoldsNone(), 1.0), 0)


class BacklogTests(unittest.TestCase):
    def test_late_work_does_not_count_for_new_work(self):
        # New work goes first; counted in, late work would send callers to engines that
        # have to load their adapters.
        waiting = queue()
        waiting.enqueue(request(1, target_time=0.5))
        self.assertGreater(waiting.backlog(0.0), 0.0)
        self.assertEqual(waiting.backlog(1.0), 0.0)

    def test_new_work_is_not_refused_for_late_work_that_it_goes_before(self):
        waiting = queue()
        for number in range(100):
            waiting.enqueue(request(number, prompt=1_000, target_time=0.5))
        new = request(200, arrived=2.0, target_time=1.0, deadline=2.0)
        self.assertIsNone(waiting.enqueue(new))


class ExpectationTests(unittest.TestCase):
    def test_first_event_is_expected_after_what_goes_before(self):
        waiting = queue()
        alone = waiting.expected_first_event_delay(request(1))
        for number in range(10):
            waiting.enqueue(request(number + 2, rank=0))
        ahead = 10 * 500 * waiting.prefill_speed.seconds_per_token
        self.assertAlmostEqual(
            waiting.expected_first_event_delay(request(1)), alone + ahead
        )

    def test_first_event_is_expected_after_the_load(self):
        waiting = queue()
        alone = waiting.expected_first_event_delay(request(1))
        self.assertAlmostEqual(
            waiting.expected_first_event_delay(request(1), 0.5), alone + 0.5
        )


class RefusalTests(unittest.TestCase):
    def test_work_behind_a_long_queue_is_refused_at_once(self):
        waiting = queue()
        refused = 0
        for number in range(1_000):
            refused += waiting.enqueue(request(number, deadline=2.0)) is not None
        self.assertGreater(refused, 0)
        self.assertLess(waiting.drain_time, 2.0)

    def test_refusal_names_when_to_come_back(self):
        waiting = queue()
        for number in range(60):
            waiting.enqueue(request(number, deadline=100.0))
        rejection = waiting.enqueue(request(99, deadline=1.0, rank=0))
        self.assertIsNotNone(rejection)
        self.assertAlmostEqual(rejection.retry_after, waiting.drain_time)

    def test_work_larger_than_the_engine_is_refused(self):
        rejection = queue().enqueue(request(1, prompt=200_000, deadline=1_000.0))
        self.assertEqual(rejection.reason, "larger_than_engine")

    def test_work_whose_adapter_comes_too_late_is_refused_at_once(self):
        # Such work once waited until its caller left.
        rejection = queue().enqueue(request(1, deadline=4.8), load_wait=5.0)
        self.assertEqual(rejection.reason, "deadline_out_of_reach")

    def test_waiting_work_is_refused_when_its_deadline_is_out_of_reach(self):
        waiting = queue()
        waiting.enqueue(request(1, deadline=2.0))
        self.assertEqual(waiting.admit_ready(0.5, HoldsNone()), [])
        self.assertEqual(waiting.reject_overdue(0.5), [])
        self.assertEqual(len(waiting.reject_overdue(1.95)), 1)
        self.assertEqual(waiting.waiting, 0)
        self.assertEqual(waiting.drain_time, 0.0)

    def test_books_are_empty_after_all_work_ended(self):
        waiting = queue()
        for number in range(50):
            waiting.enqueue(request(number))
        for step in range(200):
            for item in waiting.admit_ready(step * 0.05, HoldsAll()):
                waiting.record_first_event(item.key, step * 0.05 + 0.04)
                waiting.record_end(item.key)
        self.assertEqual((waiting.running, waiting.waiting), (0, 0))
        self.assertEqual(waiting.drain_time, 0.0)


class ReadSpeedTests(unittest.TestCase):
    def test_speed_follows_what_is_measured(self):
        waiting = queue()
        for number in range(300):
            waiting.enqueue(request(number, prompt=1_000, arrived=float(number)))
            waiting.admit_ready(float(number), HoldsAll())
            waiting.record_first_event((1, number), number + 0.06 + 0.2)
            waiting.record_end((1, number))
        self.assertAlmostEqual(
            waiting.prefill_speed.seconds_per_token, 0.0002, delta=0.00004
        )
