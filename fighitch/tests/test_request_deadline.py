"""Tests of ``fighitch.gateway.request_deadline``."""

import unittest

from fighitch.gateway.request_deadline import RequestDeadline
from fighitch.runtime.event_loop import EventLoop


class BringForwardTests(unittest.TestCase):
    """Deadlines of requests whose entry stops."""

    def setUp(self):
        self.now = 0.0
        self.loop = EventLoop(lambda: self.now)
        self.due: list[str] = []
        self.deadline = RequestDeadline(
            self.loop,
            10.0,
            on_send_due=lambda: self.due.append("send"),
            on_answer_due=lambda: self.due.append("answer"),
        )

    def advance(self, time: float) -> list[str]:
        """Moves the clock; returns the callbacks that were made since the last move."""
        self.now = time
        self.due.clear()
        self.loop.run_once(0.0)
        return list(self.due)

    def test_deadline_without_a_stop_has_no_earlier_time_to_send(self):
        self.assertEqual(self.advance(9.9), [])
        self.assertTrue(self.deadline.may_send)
        self.assertEqual(self.advance(10.0), ["answer"])

    def test_request_that_a_server_cannot_answer_in_time_is_not_sent(self):
        self.deadline.bring_forward(7.0, run_time=2.0)
        self.assertTrue(self.deadline.may_send)
        self.assertEqual(self.advance(5.0), ["send"])
        self.assertFalse(self.deadline.may_send)
        self.assertEqual(self.deadline.time_left, 2.0)
        self.assertEqual(self.advance(7.0), ["answer"])

    def test_later_time_changes_nothing(self):
        self.deadline.bring_forward(12.0, run_time=5.0)
        self.assertEqual(self.advance(9.9), [])
        self.assertEqual(self.deadline.answer_by, 10.0)

    def test_time_that_has_passed_is_due_at_once(self):
        self.now = 8.0
        self.deadline.bring_forward(7.0, run_time=1.0)
        self.assertEqual(sorted(self.advance(8.0)), ["answer", "send"])

    def test_cancelled_deadline_makes_no_calls(self):
        self.deadline.bring_forward(7.0, run_time=2.0)
        self.deadline.cancel()
        self.assertEqual(self.advance(20.0), [])


if __name__ == "__main__":
    unittest.main()
