"""Number of entries that share the quotas, from agents and from the platform's store.

Load pattern: entries start, restart and end one by one or all at once, with all, some
or no agents connected. Each entry spends or lends one share of each quota, so that a
number that is too small lets their sum exceed the quota.
"""

import math
from collections.abc import Iterable

from fighitch.types import Seconds

# Entries that an entry assumes at least, as it does for other shared limits.
_MIN_ENTRIES = 4
# Agents count the connection of an entry that was replaced for 2 s; a larger number of
# entries is remembered only if it lasts for longer.
_COUNT_PERIOD: Seconds = 3.0
# Time for which the highest number of entries is remembered. It outlasts partitions,
# in which agents report too few, and limits how long removed entries count.
_COUNT_MEMORY: Seconds = 300.0
# Time for which an object that was deleted still counts: a stopping entry deletes its
# object before it has drained, and a restored store may lack objects for some seconds.
_STORED_MEMORY: Seconds = 30.0
# With more entries, a pause batches the changes of the kind: each start of an entry
# would otherwise cost a call at all others.
_FEW_ENTRIES = 16
_PAUSE: Seconds = 1.0
_PAUSE_OF_MANY: Seconds = 10.0
# Time for the calls that follow a pause, one of them repeated.
_CALL_TIME: Seconds = 2.0
# Time without a report of an entry by any agent after which its object is deleted. A
# partition lasts less.
_GONE_TIME: Seconds = 300.0
# Longest gap between two reports of names that count as uninterrupted; agents send them
# once a minute.
_REPORT_GAP: Seconds = 150.0


def watch_pause(entries: int) -> Seconds:
    """Returns the pause after a watch of the entries' objects that had changes."""
    return _PAUSE_OF_MANY if entries > _FEW_ENTRIES else _PAUSE


def settling_time(entries: int) -> Seconds:
    """Returns the time after which all other entries have read a new object.

    A new entry spends no share before, as the others still divide quotas by the number
    without it.
    """
    return watch_pause(entries) + _CALL_TIME


class EntryCount:
    """Number of entries; the higher one of the agents' and the store's."""

    def __init__(self) -> None:
        self._current = 1
        self._lowest = 1
        self._period_start: Seconds = float("-inf")
        self._highest = 1
        self._highest_at: Seconds = float("-inf")
        # Number of objects in the store; None until the first list.
        self._stored: int | None = None
        self._is_settled = False
        self._stored_at: Seconds = float("-inf")

    @property
    def value(self) -> int:
        """Number of entries that share the quotas."""
        return max(self._current, self._highest, self._stored or 1)

    @property
    def is_known(self) -> bool:
        """Whether the number is known from the store."""
        return self._is_settled

    @property
    def own_divisor(self) -> float:
        """Divisor of quotas for the share that an entry spends without a holder.

        It is infinite until the number is known: agents may report too few entries, or
        none may be connected.
        """
        return max(_MIN_ENTRIES, self.value) if self.is_known else math.inf

    def record(self, count: int, now: Seconds) -> None:
        """Records the number of entries that the agents report."""
        self._current = count
        self._lowest = min(self._lowest, count)
        if now - self._period_start < _COUNT_PERIOD:
            return
        if self._lowest >= self._highest or now - self._highest_at > _COUNT_MEMORY:
            self._highest, self._highest_at = self._lowest, now
        self._lowest, self._period_start = count, now

    def record_stored(
        self, count: int, now: Seconds, *, is_settled: bool = True
    ) -> None:
        """Records the number of entries in the store, now and then also unchanged.

        Args:
            count: Number of objects.
            now: Current time.
            is_settled: Whether the other entries know of this one, too.
        """
        self._is_settled |= is_settled
        is_lower = self._stored is not None and count < self._stored
        if not is_lower or now - self._stored_at > _STORED_MEMORY:
            self._stored, self._stored_at = count, now


class EntryReports:
    """Entries in the store and those that agents report to be connected."""

    def __init__(self, own: str) -> None:
        """Knows only the own entry.

        Args:
            own: Name of this entry.
        """
        self._own = own
        # Time at which each object or a report of its entry was last seen to be new.
        self._stored: dict[str, Seconds] = {}
        self._reported: dict[str, Seconds] = {}
        self._reported_since: Seconds = float("inf")

    @property
    def count(self) -> int:
        """Number of entries with an object; the own entry always counts."""
        return len(self._stored.keys() | {self._own})

    @property
    def has_own(self) -> bool:
        """Whether the store has the object of the own entry."""
        return self._own in self._stored

    def replace_stored(self, names: Iterable[str], now: Seconds) -> None:
        """Applies a list of the objects."""
        self._stored = {name: self._stored.get(name, now) for name in names}

    def add_stored(self, name: str, now: Seconds) -> None:
        """Adds the object of an entry."""
        self._stored.setdefault(name, now)

    def remove_stored(self, name: str) -> None:
        """Removes the object of an entry."""
        self._stored.pop(name, None)

    def record_reported(self, names: Iterable[str], now: Seconds) -> None:
        """Records the entries that an agent reports to be connected."""
        reported = set(names)
        if self._own not in reported:
            return
        if now - self._reported.get(self._own, float("-inf")) > _REPORT_GAP:
            self._reported_since = now
        self._reported.update(dict.fromkeys(reported, now))
        for name in [n for n, at in self._reported.items() if now - at > _GONE_TIME]:
            del self._reported[name]

    def gone(self, now: Seconds) -> list[str]:
        """Returns the entries whose objects this entry should delete.

        An entry is gone if no agent has reported it for some minutes in which agents
        reported others. Of those reported, only the first by name deletes.
        """
        current = {n for n, at in self._reported.items() if now - at <= _REPORT_GAP}
        if self._own not in current or self._own != min(current):
            return []
        if now - self._reported_since <= _GONE_TIME:
            return []
        return sorted(
            name
            for name, stored_at in self._stored.items()
            if now - max(stored_at, self._reported.get(name, stored_at)) > _GONE_TIME
        )
