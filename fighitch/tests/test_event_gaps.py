import unittest

from fighitch.core.gateway.event_gaps import EventPace, GapLimits


class EventPaceTests(unittest.TestCase):
    def setUp(self):
        self.pace = EventPace(worst_slowdown=1.0)
        self.now = 10.0
        self.events = 5

    def run_for(self, reports: int, *, events: int, is_prefilling: bool = False):
        for _ in range(reports):
            self.now += 0.2
            self.events += events
            self.pace.record_events(
                {"a": self.events, "b": self.events},
                self.now,
                is_prefilling=is_prefilling,
            )

    def test_slow_phase_is_remembered_after_it_ends(self):
        # Engines slow down for about a second without notice.
        self.run_for(10, events=10)
        self.assertAlmostEqual(self.pace.worst_slowdown, 1.0)
        self.run_for(2, events=4)
        self.assertGreater(self.pace.worst_slowdown, 2.0)
        self.run_for(10, events=10)
        self.assertGreater(self.pace.worst_slowdown, 2.0)

    def test_slow_phase_is_forgotten_after_some_minutes(self):
        self.run_for(10, events=10)
        self.run_for(2, events=4)
        self.run_for(900, events=10)
        self.assertLess(self.pace.worst_slowdown, 1.2)

    def test_lasting_slowdown_becomes_the_usual_pace(self):
        self.run_for(10, events=10)
        self.run_for(1_000, events=4)
        self.assertLess(self.pace.worst_slowdown, 1.2)

    def test_pause_during_prefill_is_no_slow_phase(self):
        self.run_for(10, events=10)
        self.run_for(2, events=0, is_prefilling=True)
        self.assertAlmostEqual(self.pace.worst_slowdown, 1.0)

    def test_reports_in_quick_succession_are_not_compared(self):
        self.run_for(10, events=10)
        for _ in range(10):
            self.now += 0.002
            self.pace.record_events({"a": self.events}, self.now, is_prefilling=False)
        self.assertAlmostEqual(self.pace.worst_slowdown, 1.0)


class GapLimitsTests(unittest.TestCase):
    """Which prompts are prefilled together, by tokens of the prompt and the pending."""

    def assert_allowed(self, gap_target: float, cases: dict[tuple[int, int], bool]):
        limits = GapLimits(
            gap_target=gap_target,
            event_interval=0.03,
            seconds_per_token=5e-5,
            slowdown=3.0,
        )
        for (prompt, pending), expected in cases.items():
            with self.subTest(prompt=prompt, pending=pending):
                self.assertIs(limits.allows(prompt, pending), expected)

    def test_prompts_that_a_slow_engine_prefills_in_time_share_its_budget(self):
        self.assert_allowed(0.3, {(600, 500): True, (600, 700): False})

    def test_longer_prompt_joins_only_at_the_usual_speed(self):
        self.assert_allowed(0.3, {(3_000, 1_500): True, (3_000, 2_000): False})

    def test_long_prompt_does_not_wait_for_an_idle_engine(self):
        # A prompt that never fits waited until all pending ones had ended and held up
        # all requests behind it; a fifth of the worth of a busy day was lost.
        self.assert_allowed(0.8, {(9_200, 2_800): True, (650, 2_500): True})


class SlowdownLimitTests(unittest.TestCase):
    def test_stopped_engine_is_no_slow_phase_of_any_length(self):
        pace = EventPace(worst_slowdown=1.0)
        for number in range(20):
            events = {"a": 10 * min(number, 10) + 1}
            pace.record_events(events, 10 + 0.2 * number, is_prefilling=False)
        self.assertLessEqual(pace.worst_slowdown, 3.0)
