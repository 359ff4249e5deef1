"""Benchmarks, capacity measurements, fault runs, the demo and the test runner."""
