"""Tests for the stand-ins."""
