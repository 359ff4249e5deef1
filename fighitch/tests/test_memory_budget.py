"""Replays crowds of clients against ``MemoryBudget`` without a network."""

import unittest

from fighitch.core.gateway.memory_budget import (
    DEFAULT_MEMORY_BYTES,
    MAX_ROOM_WAIT,
    SMALL_BYTES,
    MemoryBudget,
    RefusalReason,
    budget_size,
)

BODY = 4_194_304
# Time without progress after which a client counts as stalled.
STALLED = 0.8


class MemoryBudgetTests(unittest.TestCase):
    def setUp(self):
        self.budget = MemoryBudget(10 * BODY)
        self.now = 100.0

    def open(self):
        return self.budget.open(self.now)

    def upload(self, size=BODY, received=None):
        """Opens a connection and reads a part of its body; returns it."""
        holding = self.open()
        if self.budget.reserve(holding, size, self.now):
            received = size - 1 if received is None else received
            self.budget.record_request(holding, received, self.now)
        return holding

    def refuse(self):
        return [(item.holding, item.reason) for item in self.budget.refuse(self.now)]

    def test_sum_of_large_bodies_stays_within_the_budget(self):
        uploads = [self.upload() for _ in range(60)]
        self.assertLessEqual(self.budget.held, self.budget.limit)
        self.assertEqual(sum(item.reserved > 0 for item in uploads), 10)
        self.assertEqual(sum(item.awaited > 0 for item in uploads), 50)

    def test_waiting_body_gets_the_room_of_one_that_stalls(self):
        uploads = [self.upload(received=BODY // 2) for _ in range(10)]
        waiting = self.upload()
        self.assertEqual(self.refuse(), [])
        self.now += STALLED
        for upload in uploads[1:]:
            self.budget.record_request(upload, upload.request + 4_096, self.now)
        self.assertEqual(self.refuse(), [(uploads[0], RefusalReason.STALLED)])
        self.budget.end_request(uploads[0])
        self.assertEqual(self.budget.grant_waiting(self.now), [waiting])
        self.assertEqual((waiting.awaited, waiting.reserved), (0, BODY))

    def test_stalled_bodies_stay_while_there_is_room(self):
        # Guards against a fixed time limit that cuts off slow but sound clients.
        self.upload()
        self.now += 60.0
        self.assertEqual(self.refuse(), [])

    def test_client_that_sends_a_byte_now_and_then_stalls(self):
        uploads = [self.upload(received=1) for _ in range(10)]
        self.upload()
        for _ in range(8):
            self.now += 0.1
            for upload in uploads:
                self.budget.record_request(upload, upload.request + 1, self.now)
        self.assertEqual(
            [reason for _, reason in self.refuse()], [RefusalReason.STALLED]
        )

    def test_longest_stall_is_refused_first_then_the_largest_then_the_newest(self):
        self.budget = MemoryBudget(8 * BODY)
        first = self.upload(BODY)
        self.now += 2 * STALLED
        small_old = self.upload(BODY // 2)
        large_old, large_new = self.upload(2 * BODY), self.upload(2 * BODY)
        self.budget.hold(self.budget.limit - self.budget.held)
        self.now += 0.01
        newest = self.upload(2 * BODY)
        self.now += STALLED
        refused = []
        for needed in (BODY, 2 * BODY, 2 * BODY):
            newest.awaited = needed
            ((holding, _),) = self.refuse()[:1]
            refused.append(holding)
            self.budget.end_request(holding)
            self.budget.hold(self.budget.limit - self.budget.held)
        self.assertEqual(refused[0], first)
        self.assertEqual({*refused[1:]}, {large_old, large_new})
        self.assertNotIn(small_old, refused)

    def test_newest_of_equal_ones_is_refused(self):
        old = self.upload(received=0)
        self.now += 0.01
        new = self.upload(received=0)
        self.budget.hold(self.budget.limit - self.budget.held + 1)
        self.assertEqual(self.refuse(), [(new, RefusalReason.OVER_BUDGET)])
        self.assertFalse(old.is_refused)

    def test_small_request_never_waits_and_is_never_refused(self):
        for _ in range(30):
            self.upload()
        small = self.open()
        self.budget.record_request(small, SMALL_BYTES, self.now)
        self.budget.hold(10 * BODY)
        self.now += 10.0
        refused = [holding for holding, _ in self.refuse()]
        self.assertGreater(len(refused), 0)
        self.assertNotIn(small, refused)

    def test_large_head_may_not_run_while_memory_is_short(self):
        # Guards against complete requests without end, which hold their memory until
        # their servers answer.
        large, small, body = self.open(), self.open(), self.upload()
        self.budget.record_request(large, SMALL_BYTES + 1, self.now)
        self.budget.record_request(small, SMALL_BYTES, self.now)
        holdings = large, small, body
        self.assertEqual(list(map(self.budget.may_run, holdings)), [True] * 3)
        self.budget.hold(self.budget.limit - self.budget.held + 1)
        may_run = list(map(self.budget.may_run, holdings))
        self.assertEqual(may_run, [False, True, True])
        self.budget.hold(self.budget.limit // 4)
        self.assertEqual(list(map(self.budget.may_run, holdings)), [False] * 3)

    def test_smaller_body_passes_a_larger_one_that_waits(self):
        for _ in range(10):
            self.upload(BODY - 10_000)
        self.upload()
        prompt = self.upload(size=60_000)
        self.assertEqual((prompt.awaited, prompt.reserved), (0, 60_000))

    def test_body_that_waits_too_long_is_refused(self):
        uploads = [self.upload(received=BODY // 2) for _ in range(10)]
        waiting = self.upload()
        self.now += MAX_ROOM_WAIT
        for upload in uploads:
            self.budget.record_request(upload, upload.request + 4_096, self.now)
        self.assertEqual(self.refuse(), [(waiting, RefusalReason.NO_ROOM)])
        self.assertEqual(self.refuse(), [])

    def test_body_that_can_never_fit_is_refused_at_once(self):
        large = self.upload(self.budget.limit + 1)
        self.assertEqual(self.refuse(), [(large, RefusalReason.TOO_LARGE)])

    def test_complete_request_is_held_after_its_connection_closed(self):
        # Guards against clients that send large requests and leave at once.
        upload = self.upload()
        self.budget.hold(self.budget.end_request(upload))
        self.budget.close(upload)
        self.assertEqual(self.budget.held, BODY - 1)
        self.budget.release(BODY - 1)
        self.assertEqual(self.budget.held, 0)

    def test_reader_that_takes_nothing_is_refused_only_while_memory_is_short(self):
        reader, slow = self.open(), self.open()
        for item in (reader, slow):
            self.budget.record_response(item, 100_000, self.now)
        self.now += 30.0
        self.budget.record_response(slow, 90_000, self.now, taken=10_000)
        self.assertEqual(self.refuse(), [])
        self.budget.hold(self.budget.limit - self.budget.held + 1)
        self.assertEqual(self.refuse(), [(reader, RefusalReason.STALLED)])

    def test_reader_whose_next_request_was_refused_is_refused_in_turn(self):
        # Guards against unread responses that nothing bounds: a connection stays open
        # for its running request after the one behind it was refused.
        reader = self.open()
        self.budget.reserve(reader, 50 * BODY, self.now)
        self.assertEqual(self.refuse(), [(reader, RefusalReason.TOO_LARGE)])
        self.budget.end_request(reader)
        self.budget.record_response(reader, 100_000, self.now)
        self.budget.hold(self.budget.limit)
        self.now += STALLED
        self.assertEqual(self.refuse(), [(reader, RefusalReason.STALLED)])

    def test_client_is_not_refused_for_a_response_that_is_collected(self):
        client = self.open()
        self.budget.record_buffered(client, 60_000)
        self.assertEqual(self.budget.held, 60_000)
        self.budget.hold(self.budget.limit)
        self.now += 10.0
        self.assertEqual(self.refuse(), [])

    def test_everything_is_released(self):
        for size in (0, BODY, BODY, 50 * BODY):
            holding = self.upload(size)
            self.budget.record_buffered(holding, 500)
            self.budget.record_response(holding, 1_000, self.now)
            self.budget.close(holding)
            self.budget.close(holding)
        self.assertEqual((self.budget.held, self.budget.is_short), (0, False))


class CrowdReplayTests(unittest.TestCase):
    def test_last_client_of_a_crowd_that_stalls_is_served_within_its_wait(self):
        """59 clients stop one byte short; the 60th completes its body."""
        budget = MemoryBudget(budget_size(DEFAULT_MEMORY_BYTES))
        now = 0.0
        crowd = [budget.open(now) for _ in range(60)]
        for holding in crowd:
            if budget.reserve(holding, BODY, now):
                budget.record_request(holding, BODY - 1, now)
        last = crowd[-1]
        while last.awaited and not last.is_refused:
            now += 0.05
            for refusal in budget.refuse(now):
                budget.end_request(refusal.holding)
            for holding in budget.grant_waiting(now):
                budget.record_request(holding, BODY - 1, now)
            self.assertLessEqual(budget.held, budget.limit)
        self.assertFalse(last.is_refused)
        self.assertEqual(last.reserved, BODY)


class BudgetSizeTests(unittest.TestCase):
    def test_two_bodies_fit_into_the_budget_of_every_machine(self):
        for memory in (1, 64_000_000, 152_000_000, 552_000_000):
            self.assertGreaterEqual(budget_size(memory), 2 * BODY)

    def test_budget_leaves_memory_for_the_process(self):
        self.assertEqual(budget_size(152_000_000), 76_800_000)
        self.assertEqual(budget_size(0), budget_size(DEFAULT_MEMORY_BYTES))


if __name__ == "__main__":
    unittest.main()
