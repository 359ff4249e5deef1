"""Tests that start processes, and tests of the measurements."""
