"""Tests, one module for each module tested."""
