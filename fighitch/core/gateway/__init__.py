"""Decisions of the gateway entries and engine agents, without I/O.

Covers routing, admission control, adapter placement, retries and membership.
"""
