"""Measurements, demonstrations and the test runner."""
