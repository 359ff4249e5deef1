"""Tests of the calculations of the capacity page."""

import unittest

from benchmarks import design_size as size, membership_run
from benchmarks.capacity import SECTION_BEGIN, SECTION_END, replace_section
from benchmarks.slopes import Figure, Slope, rounded
from benchmarks.stream_caller import Stream, summarize_latency


def fit_slope(*points):
    return Slope("memory", "adapter", "bytes", points)


class SlopeTests(unittest.TestCase):
    def test_exact_line_is_fitted_and_extrapolated(self):
        """Guards against predictions that swap slope and intercept."""
        fitted = fit_slope((1_000, 3_000.0), (4_000, 9_000.0), (8_000, 17_000.0))
        self.assertAlmostEqual(fitted.slope, 2.0)
        self.assertAlmostEqual(fitted.intercept, 1_000.0)
        self.assertAlmostEqual(fitted.at(22_000), 45_000.0)
        self.assertAlmostEqual(fitted.size_for(45_000.0), 22_000.0)
        self.assertAlmostEqual(fitted.r_squared, 1.0)

    def test_curve_has_low_r_squared_and_large_residual(self):
        """Guards against a nonlinear cost that is reported as a good linear fit."""
        curved = fit_slope((1, 1.0), (2, 4.0), (4, 16.0), (8, 64.0))
        self.assertLess(curved.r_squared, 0.97)
        self.assertGreater(curved.largest_residual, 3.0)

    def test_decreasing_line_never_reaches_a_larger_value(self):
        """Guards against a negative size as the limit of a decreasing cost."""
        self.assertEqual(fit_slope((1, 5.0), (8, 4.0)).size_for(100.0), float("inf"))

    def test_constant_values_fit_perfectly(self):
        """Guards against a division by zero for a constant cost."""
        self.assertEqual(fit_slope((1, 5.0), (8, 5.0)).r_squared, 1.0)

    def test_single_size_is_rejected(self):
        """Guards against a slope that is fitted to a single size."""
        with self.assertRaisesRegex(ValueError, "two values"):
            _ = fit_slope((1, 5.0), (1, 6.0)).slope

    def test_range_ignores_size_zero(self):
        """Guards against an infinite range factor of sizes that start at 0."""
        self.assertEqual(fit_slope((0, 1.0), (40, 2.0), (320, 3.0)).range_factor, 8)


class FigureTests(unittest.TestCase):
    def test_verdict_comes_from_the_target(self):
        """Guards against a missed target that is reported as met."""
        verdicts = [
            Figure("entry", "memory", 10.0, "bytes", target, "").verdict
            for target in (9.0, 10.0, None)
        ]
        self.assertEqual(verdicts, ["missed", "met", "-"])

    def test_numbers_keep_three_digits(self):
        """Guards against small slopes that are printed as 0."""
        printed = [rounded(value) for value in (0, 0.000123456, 12.345, 12_254.4)]
        self.assertEqual(printed, ["0", "0.000123", "12.3", "12,254"])

    def test_streams_follow_from_tokens_and_spacing(self):
        """Guards against a stream count that contradicts the requirements."""
        self.assertAlmostEqual(size.STREAMS_PER_ENTRY, 330.8, places=1)
        self.assertAlmostEqual(size.STREAMS_PER_SIDECAR, 36.7, places=1)


class PageTests(unittest.TestCase):
    def test_only_the_marked_section_is_replaced(self):
        """Guards against a run that overwrites the hand-written text of the page."""
        page = f"before\n{SECTION_BEGIN}\nold\n{SECTION_END}\nafter\n"
        self.assertEqual(
            replace_section(page, "new"),
            f"before\n{SECTION_BEGIN}\n\nnew\n\n{SECTION_END}\nafter\n",
        )

    def test_page_without_markers_is_rejected(self):
        """Guards against a run that reports success without writing its tables."""
        with self.assertRaisesRegex(ValueError, "must contain"):
            replace_section("no marks", "new")


class LatencyTests(unittest.TestCase):
    def test_first_token_is_not_counted_as_a_gap(self):
        """Guards against counting the time to the first token as a gap."""
        stream = Stream(sock=None, started_at=1.0, arrivals=[1.5, 1.52, 1.54])
        found = summarize_latency([stream])
        self.assertAlmostEqual(found.first_token[50.0], 0.5, places=3)
        self.assertAlmostEqual(found.between_tokens[99.0], 0.02, places=4)


class MembershipRunTests(unittest.TestCase):
    def test_run_detects_a_killed_and_a_draining_member(self):
        """Guards against a run that reads a field that the status no longer has."""
        result = membership_run.run_one(8, 0.0)
        self.assertLess(result.drain_detection, result.death_detection)
        self.assertEqual(result.false_suspicions, 0)


if __name__ == "__main__":
    unittest.main()
