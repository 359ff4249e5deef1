import unittest

from fighitch.core.gateway.event_gaps import EventPace, breaks_gap_target


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


class BreaksGapTargetTests(unittest.TestCase):
    def test_prompts_may_use_half_of_the_gap_target(self):
        for tokens, expected in ((1_000, False), (1_400, True)):
            with self.subTest(tokens=tokens):
                result = breaks_gap_target(
                    tokens,
                    gap_target=0.3,
                    event_interval=0.02,
                    seconds_per_token=1e-4,
                )
                self.assertIs(result, expected)
