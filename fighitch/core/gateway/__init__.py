"""Decisions of the direct path, without I/O.

Covers routing, admission control, adapter placement, retries and membership.
"""
