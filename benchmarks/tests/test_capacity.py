"""Tests of the arithmetic behind the capacity page."""

import unittest

from benchmarks import design_size as size
from benchmarks.capacity import BEGIN, END, replaced
from benchmarks.slopes import Figure, Slope, number
from benchmarks.stream_caller import Stream, summarize_latency


def line(*points):
    return Slope("memory", "adapter", "bytes", points)


class SlopeTests(unittest.TestCase):
    def test_exact_line_is_found_and_extended(self):
        """Guards against predictions from swapped slope and intercept."""
        fitted = line((1_000, 3_000.0), (4_000, 9_000.0), (8_000, 17_000.0))
        self.assertAlmostEqual(fitted.slope, 2.0)
        self.assertAlmostEqual(fitted.intercept, 1_000.0)
        self.assertAlmostEqual(fitted.at(22_000), 45_000.0)
        self.assertAlmostEqual(fitted.size_for(45_000.0), 22_000.0)
        self.assertAlmostEqual(fitted.r_squared, 1.0)

    def test_bad_fit_shows_in_residual_and_r_squared(self):
        """Guards against a curve that passes for a line."""
        curved = line((1, 1.0), (2, 4.0), (4, 16.0), (8, 64.0))
        self.assertLess(curved.r_squared, 0.97)
        self.assertGreater(curved.largest_residual, 3.0)

    def test_falling_line_never_reaches_a_budget(self):
        """Guards against a negative size as the point where something breaks."""
        self.assertEqual(line((1, 5.0), (8, 4.0)).size_for(100.0), float("inf"))

    def test_constant_values_fit_perfectly(self):
        """Guards against a division by zero for a cost that does not grow."""
        self.assertEqual(line((1, 5.0), (8, 5.0)).r_squared, 1.0)

    def test_one_size_is_refused(self):
        """Guards against a slope from a single size."""
        with self.assertRaisesRegex(ValueError, "two values"):
            _ = line((1, 5.0), (1, 6.0)).slope

    def test_range_ignores_size_zero(self):
        """Guards against a range that looks infinite because it starts at 0."""
        self.assertEqual(line((0, 1.0), (40, 2.0), (320, 3.0)).range_factor, 8)


class FigureTests(unittest.TestCase):
    def test_verdict_comes_from_the_target(self):
        """Guards against a missed budget that is printed as met."""
        verdicts = [
            Figure("entry", "memory", 10.0, "bytes", target, "").verdict
            for target in (9.0, 10.0, None)
        ]
        self.assertEqual(verdicts, ["missed", "met", "-"])

    def test_numbers_keep_three_digits(self):
        """Guards against small slopes that are printed as 0."""
        printed = [number(value) for value in (0, 0.000123456, 12.345, 12_254.4)]
        self.assertEqual(printed, ["0", "0.000123", "12.3", "12,254"])

    def test_streams_follow_from_tokens_and_spacing(self):
        """Guards against a stream count that contradicts the requirements."""
        self.assertAlmostEqual(size.STREAMS_PER_ENTRY, 330.8, places=1)
        self.assertAlmostEqual(size.STREAMS_PER_SIDECAR, 36.7, places=1)


class PageTests(unittest.TestCase):
    def test_only_the_marked_section_is_replaced(self):
        """Guards against a run that overwrites the text of the page."""
        page = f"before\n{BEGIN}\nold\n{END}\nafter\n"
        self.assertEqual(
            replaced(page, "new"), f"before\n{BEGIN}\n\nnew\n\n{END}\nafter\n"
        )

    def test_page_without_marks_is_refused(self):
        """Guards against a run that silently writes nothing."""
        with self.assertRaisesRegex(ValueError, "must contain"):
            replaced("no marks", "new")


class LatencyTests(unittest.TestCase):
    def test_gaps_and_first_token_are_kept_apart(self):
        """Guards against the wait for the first token counting as a gap."""
        stream = Stream(sock=None, started_at=1.0, arrivals=[1.5, 1.52, 1.54])
        found = summarize_latency([stream])
        self.assertAlmostEqual(found.first_token[50.0], 0.5, places=3)
        self.assertAlmostEqual(found.between_tokens[99.0], 0.02, places=4)


if __name__ == "__main__":
    unittest.main()
