"""Tests of ``fighitch.core.gateway.attempts``."""

import unittest

from fighitch.core.gateway.attempts import attempt_timeout, engine_priority
from fighitch.core.gateway.model import Route, WeightedService, WorkKind


def route(kind: WorkKind) -> Route:
    return Route(
        name="r",
        host="h",
        path_prefix="/p/",
        kind=kind,
        timeout=5.0,
        target_latency=1.0,
        rank=0,
        services=(WeightedService("s", 1.0),),
    )


class EnginePriorityTests(unittest.TestCase):
    def test_late_requests_yield_to_all_that_can_be_on_time(self):
        on_time = [engine_priority(rank, late=False) for rank in range(10)]
        late = [engine_priority(rank, late=True) for rank in range(10)]
        self.assertLess(max(on_time), min(late))
        self.assertTrue(all(0 <= priority <= 9 for priority in on_time + late))

    def test_urgent_requests_go_first(self):
        self.assertLess(engine_priority(0, late=False), engine_priority(1, late=False))


class AttemptTimeoutTests(unittest.TestCase):
    def test_attempt_leaves_time_for_another_one(self):
        self.assertLess(attempt_timeout(route(WorkKind.IDEMPOTENT), 4.0), 2.0)

    def test_short_time_left_does_not_end_an_attempt_at_once(self):
        self.assertEqual(attempt_timeout(route(WorkKind.IDEMPOTENT), 0.1), 0.25)

    def test_stream_is_not_limited_by_its_length(self):
        streaming = route(WorkKind.STREAMING)
        self.assertEqual(
            attempt_timeout(streaming, 1.0), attempt_timeout(streaming, 60.0)
        )


if __name__ == "__main__":
    unittest.main()
