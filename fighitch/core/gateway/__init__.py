"""Decisions of the direct path: routing, waiting, refusal, placement; no I/O."""
