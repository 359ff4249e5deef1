"""Request handling at an entry: routing, retries, membership, at-most-once dispatch."""

from fighitch.core.entry.core import EntryCore, EntryStatus

__all__ = ["EntryCore", "EntryStatus"]
