"""Decisions of the entry: routing, retries, membership, orders, answers."""

from fighitch.core.entry.core import EntryCore, EntryStatus

__all__ = ["EntryCore", "EntryStatus"]
