"""Tests of the benchmarks' own checks and of quick fault cells."""
