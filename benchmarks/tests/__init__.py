"""Tests of the benchmarks, and tests that start processes."""
