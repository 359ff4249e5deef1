"""Tests of ``fighitch.core.gateway.crash_evidence``."""

import itertools
import unittest

from fighitch.core.gateway.crash_evidence import (
    EVIDENCE_LIFETIME,
    Crash,
    CrashEvidence,
)
from fighitch.core.gateway.model import Incarnation

_numbers = itertools.count(1)


def crash(at: float, *parts: str, engine: str = "") -> Crash:
    name = engine or f"e{next(_numbers)}"
    return Crash(Incarnation(name, 1), at, frozenset(parts))


class EvidenceTestCase(unittest.TestCase):
    def setUp(self):
        self.evidence = CrashEvidence()

    def record(self, *crashes: Crash) -> None:
        for item in crashes:
            self.evidence.record_crash(item)


class CrashingPartTests(EvidenceTestCase):
    def test_part_of_three_crashes_is_blocked_and_its_neighbours_are_not(self):
        # Without attribution, the first part, which nearly all prompts share, is in as
        # many crashes as the one that causes them.
        self.evidence.record_answered(("first",), 0.9)
        self.record(
            crash(1.0, "first", "bad", "x1"),
            crash(1.4, "first", "bad", "x2"),
            crash(1.8, "first", "bad"),
        )
        self.assertEqual(self.evidence.groups, (frozenset({"bad"}),))
        self.assertTrue(self.evidence.blocks(("first", "bad", "x9")))
        self.assertFalse(self.evidence.blocks(("first", "x1")))

    def test_two_crashes_block_nothing(self):
        self.record(crash(1.0, "bad"), crash(2.0, "bad"))
        self.assertFalse(self.evidence.blocks(("bad",)))

    def test_parts_with_the_same_evidence_are_only_blocked_together(self):
        self.record(*(crash(at, "bad", "with") for at in (1.0, 2.0, 3.0)))
        self.assertTrue(self.evidence.blocks(("bad", "with")))
        self.assertFalse(self.evidence.blocks(("with",)))
        self.evidence.record_answered(("with",), 3.5)
        self.assertTrue(self.evidence.blocks(("bad",)))

    def test_answered_part_is_released(self):
        self.record(*(crash(at, "sound") for at in (1.0, 2.0, 3.0)))
        self.evidence.record_answered(("sound",), 3.2)
        self.assertFalse(self.evidence.blocks(("sound",)))

    def test_part_that_was_sound_before_is_blocked_after_more_crashes(self):
        self.evidence.record_answered(("part",), 0.5)
        self.record(*(crash(at, "part") for at in (1.0, 2.0, 3.0, 4.0)))
        self.assertFalse(self.evidence.blocks(("part",)))
        self.record(crash(5.0, "part"))
        self.assertTrue(self.evidence.blocks(("part",)))

    def test_two_harmful_parts_are_both_found(self):
        self.record(
            *(crash(at, "first", "bad-1") for at in (1.0, 2.0, 3.0)),
            *(crash(at, "first", "bad-2") for at in (1.1, 2.1, 3.1)),
        )
        self.evidence.record_answered(("first",), 4.0)
        for part in ("bad-1", "bad-2"):
            self.assertTrue(self.evidence.blocks(("first", part)))


class OtherCrashTests(EvidenceTestCase):
    """Crashes for another reason must not block the prompts lost with them."""

    def test_simultaneous_crashes_of_some_engines_prove_nothing(self):
        self.record(*(crash(1.0, "rare") for _ in range(3)))
        self.assertFalse(self.evidence.blocks(("rare",)))

    def test_outage_of_all_engines_does_not_block_the_common_part(self):
        self.evidence.record_answered(("first",), 0.99)
        self.record(*(crash(1.0 + 0.01 * number, "first") for number in range(20)))
        self.record(*(crash(5.0 + 0.01 * number, "first") for number in range(20)))
        self.assertFalse(self.evidence.blocks(("first",)))

    def test_crashes_of_unrelated_prompts_block_nothing(self):
        self.record(*(crash(float(at), "first", f"x{at}") for at in range(2, 20)))
        self.evidence.record_answered(("first",), 30.0)
        self.assertEqual(self.evidence.groups, ())


class CommonPartTests(EvidenceTestCase):
    """A part that turns harmful, beside a crash that has another reason."""

    def setUp(self):
        super().setUp()
        self.evidence.record_answered(("first", "bad"), 0.1)
        self.evidence.record_answered(("first",), 0.9)

    def test_one_other_crash_does_not_move_the_blame_to_the_common_part(self):
        # The common part is in one more crash. It was blocked alone, with all sound
        # requests, and nothing could be answered any more.
        self.record(*(crash(float(at), "first", "bad") for at in range(1, 6)))
        self.record(crash(5.5, "first", "other"))
        self.assertTrue(self.evidence.blocks(("first", "bad")))
        self.assertFalse(self.evidence.blocks(("first", "other")))

    def test_late_report_of_the_harmful_part_does_not_block_the_common_part(self):
        # One entry lost sound requests with the engine, another one the harmful one.
        self.record(*(crash(float(at), "first", "bad") for at in range(1, 6)))
        self.record(crash(6.0, "first", "sound", engine="e"))
        self.assertFalse(self.evidence.blocks(("first", "sound")))
        self.record(crash(6.0, "first", "bad", engine="e"))
        self.assertTrue(self.evidence.blocks(("first", "bad")))
        self.assertFalse(self.evidence.blocks(("first", "sound")))

    def test_common_part_is_blocked_if_its_other_crashes_are_conclusive(self):
        self.record(*(crash(float(at), "first", "bad") for at in range(1, 6)))
        self.record(*(crash(at + 0.5, "first", f"x{at}") for at in range(1, 6)))
        self.assertTrue(self.evidence.blocks(("first", "other")))


class RefutedCrashTests(EvidenceTestCase):
    """Crashes of engines that were only silent."""

    def test_crash_of_an_engine_that_runs_on_counts_no_longer(self):
        self.record(*(crash(at, "part", engine=f"e{at}") for at in (1.0, 2.0, 3.0)))
        self.assertFalse(self.evidence.refute_crash(Incarnation("e3.0", 1), 2.9))
        self.assertTrue(self.evidence.blocks(("part",)))
        self.assertTrue(self.evidence.refute_crash(Incarnation("e3.0", 1), 3.5))
        self.assertFalse(self.evidence.blocks(("part",)))

    def test_late_report_of_a_refuted_crash_is_ignored(self):
        self.record(crash(1.0, "part", engine="e1"))
        self.evidence.refute_crash(Incarnation("e1", 1), 2.0)
        self.record(crash(1.1, "part", engine="e1"))
        self.assertFalse(self.evidence.is_suspect(("part",)))

    def test_later_crash_of_the_same_engine_counts(self):
        self.record(crash(1.0, "part", engine="e1"))
        self.evidence.refute_crash(Incarnation("e1", 1), 2.0)
        self.record(crash(2.5, "part", engine="e1"))
        self.assertTrue(self.evidence.is_suspect(("part",)))


class MergeTests(EvidenceTestCase):
    def test_reports_of_one_crash_count_once(self):
        # Each entry reports its own lost requests for the same engine.
        for number in range(5):
            self.record(crash(1.0 + number, "bad", engine="e-same"))
        self.assertEqual(len(self.evidence.crashes), 1)
        self.assertEqual(self.evidence.groups, ())

    def test_order_of_reports_does_not_matter(self):
        events = [crash(at, "first", "bad") for at in (1.0, 2.0, 3.0)]
        for order in itertools.permutations([*events, None]):
            evidence = CrashEvidence()
            for item in order:
                if item is None:
                    evidence.record_answered(("first",), 2.5)
                else:
                    evidence.record_crash(item)
            self.assertTrue(evidence.blocks(("bad", "first")))
            self.assertFalse(evidence.blocks(("first",)))

    def test_number_of_parts_is_limited_to_the_most_suspect(self):
        answered = [f"a{number}" for number in range(100)]
        self.evidence.record_answered(answered, 0.5)
        self.record(crash(1.0, "bad", *answered))
        (item,) = self.evidence.crashes
        self.assertLessEqual(len(item.parts), 64)
        self.assertIn("bad", item.parts)

    def test_memory_is_limited(self):
        for number in range(20_000):
            self.evidence.record_answered((f"p{number}",), float(number))
            if number % 20 == 0:
                self.record(crash(float(number), f"c{number}"))
        self.assertLessEqual(len(self.evidence.crashes), 256)
        self.assertIsNone(self.evidence.answered_at("p0"))
        self.assertIsNotNone(self.evidence.answered_at("p19999"))


class SharedAnswerTests(EvidenceTestCase):
    """Which answers an instance tells the others, at any rate of requests."""

    def test_first_answer_and_first_answer_after_a_crash_are_shared_once(self):
        # Each request with the most common part would cause a message otherwise.
        self.evidence.record_answered(("first",), 0.5)
        self.assertEqual(self.evidence.unshared_answers(), {})
        self.record(crash(1.0, "first", "bad"))
        for at, expected in ((0.5, {"first": 0.5}), (1.5, {"first": 1.5}), (2.0, {})):
            self.evidence.record_answered(("first",), at)
            self.assertEqual(self.evidence.unshared_answers(), expected)
            self.evidence.mark_shared(expected)

    def test_answer_that_another_instance_shared_is_not_shared_again(self):
        self.record(crash(1.0, "first"))
        self.evidence.record_answered(("first",), 1.5)
        self.evidence.mark_shared({"first": 1.2})
        self.assertEqual(self.evidence.unshared_answers(), {})


class LifetimeTests(EvidenceTestCase):
    def test_block_ends_with_the_lifetime_of_its_evidence(self):
        self.record(*(crash(at, "bad") for at in (1.0, 2.0, 3.0)))
        self.evidence.expire(EVIDENCE_LIFETIME)
        self.assertTrue(self.evidence.blocks(("bad",)))
        self.evidence.expire(EVIDENCE_LIFETIME + 1.5)
        self.assertFalse(self.evidence.blocks(("bad",)))


class SuspectTests(EvidenceTestCase):
    def test_part_is_suspect_from_its_first_crash_until_it_is_answered(self):
        self.assertFalse(self.evidence.is_suspect(("part",)))
        self.record(crash(1.0, "part"))
        self.assertTrue(self.evidence.is_suspect(("other", "part")))
        self.evidence.record_answered(("part",), 1.5)
        self.assertFalse(self.evidence.is_suspect(("part",)))


if __name__ == "__main__":
    unittest.main()
