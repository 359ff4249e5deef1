"""Tests of ``fighitch.core.gateway.request_pacer``."""

import unittest

from hypothesis import given, settings, strategies as st

from fighitch.core.gateway.request_pacer import RequestPacer

WINDOW = 4.0


def send_times(pacer: RequestPacer, demands: list[float]) -> list[float]:
    """Returns when requests that arrive at some times are sent."""
    return sorted(at + pacer.take(at) for at in sorted(demands))


def most_in_window(times: list[float]) -> int:
    return max(
        (sum(start <= at < start + WINDOW for at in times) for start in times),
        default=0,
    )


class RateTests(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(
        st.floats(0.0, 50.0),
        st.lists(st.floats(0.0, 20.0), max_size=300),
    )
    def test_no_window_holds_more_than_the_rate_and_a_burst(self, rate, demands):
        pacer = RequestPacer.for_rate(rate, 0.0)
        most = most_in_window(send_times(pacer, demands))
        # An engine that names a limit allows half as much again and five more.
        self.assertLessEqual(most, 1.5 * rate * WINDOW + 5)

    def test_constant_demand_uses_the_rate(self):
        pacer = RequestPacer.for_rate(4.0, 0.0)
        times = send_times(pacer, [0.01 * number for number in range(1_000)])
        self.assertAlmostEqual(sum(at < 10.0 for at in times), 40, delta=1)

    def test_idle_time_allows_no_burst(self):
        pacer = RequestPacer.for_rate(2.0, 0.0)
        times = send_times(pacer, [100.0] * 10)
        self.assertLessEqual(sum(at < 101.0 for at in times), 3)

    def test_high_rate_allows_a_burst_between_two_timer_ticks(self):
        # A strict interval would lose most of the rate, as the queue is processed every
        # 50 ms.
        pacer = RequestPacer.for_rate(100.0, 0.0)
        sent = 0
        for tick in range(20):
            now = 0.05 * tick
            while pacer.delay(now) == 0:
                pacer.take(now)
                sent += 1
        self.assertGreaterEqual(sent, 90)

    def test_server_that_takes_nothing_is_still_probed(self):
        # Only a response shows that it takes requests again.
        pacer = RequestPacer.for_rate(0.0, 0.0)
        times = send_times(pacer, [0.1 * number for number in range(300)])
        self.assertTrue(1 <= most_in_window(times) <= 2)


class ChangedRateTests(unittest.TestCase):
    def test_repeated_rate_keeps_the_places_that_are_taken(self):
        # Places were given out again whenever the number of entries was checked.
        pacer = RequestPacer.for_rate(1.0, 0.0)
        for _ in range(5):
            pacer.take(0.0)
        delay = pacer.delay(0.5)
        for _ in range(10):
            pacer.set_rate(1.0, 0.5)
        self.assertAlmostEqual(pacer.delay(0.5), delay)

    def test_higher_rate_shortens_the_delay(self):
        pacer = RequestPacer.for_rate(0.1, 0.0)
        pacer.take(0.0)
        pacer.set_rate(10.0, 0.0)
        self.assertLessEqual(pacer.delay(0.0), 0.1)

    def test_lower_rate_lengthens_it(self):
        pacer = RequestPacer.for_rate(10.0, 0.0)
        pacer.take(0.0)
        pacer.set_rate(0.5, 0.0)
        self.assertGreater(pacer.delay(0.0), 1.0)


if __name__ == "__main__":
    unittest.main()
