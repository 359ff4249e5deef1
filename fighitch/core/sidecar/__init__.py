"""Decisions of the sidecar: admission, adapter slots, loads, orders, answers."""
