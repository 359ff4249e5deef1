"""Decides which requests are kept from engines because of their prompt parts.

Load pattern: see ``crash_evidence``. What is decided from the evidence of the running
instances is kept in the platform's store, so that it outlasts a restart of all of them.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from fighitch.core.gateway.crash_evidence import CrashEvidence, PartGroup
from fighitch.core.gateway.model import Incarnation
from fighitch.types import Seconds

# A group is stored once it has stood for this time: evidence from other instances may
# still show that one of its parts is sound. Instances whose own requests were lost
# write first, the others only if nobody else does.
_STORE_DELAY: Seconds = 1.0
_STORE_DELAY_OF_OTHERS: Seconds = 2.5


@dataclass(frozen=True, slots=True)
class StoredQuarantine:
    """Parts that crash engines, as stored.

    Attributes:
        parts: Parts that are only harmful together.
        until_ms: Unix time at which the quarantine ends, in ms.
    """

    parts: PartGroup
    until_ms: int


class Quarantine:
    """Groups of prompt parts that crash engines, from the evidence and the store."""

    def __init__(self) -> None:
        self.evidence = CrashEvidence()
        self._stored: dict[str, StoredQuarantine] = {}
        # Times since which the evidence shows each of its groups.
        self._found_at: dict[PartGroup, Seconds] = {}
        self._own_parts: set[str] = set()
        # Stored groups that a restore of the store may have lost, and when to write
        # them again.
        self._lost: dict[str, StoredQuarantine] = {}
        self._write_lost_at: Seconds = float("inf")
        # End of the groups whose objects were deleted. A restored copy may hold them.
        self._released: dict[str, int] = {}
        # Groups that rested on a crash which turned out to be none.
        self._refuted_groups: set[PartGroup] = set()

    @property
    def groups(self) -> set[PartGroup]:
        """All quarantined groups."""
        return {*self.evidence.groups, *filter(self._is_credible, self._stored_groups)}

    @property
    def refuted_names(self) -> list[str]:
        """Names of the stored groups that rested on a crash which was none."""
        return [
            name
            for name, item in self._stored.items()
            if item.parts in self._refuted_groups
        ]

    def blocks(self, parts: Collection[str]) -> bool:
        """Returns whether a request with these parts must not reach an engine."""
        if self.evidence.blocks(parts):
            return True
        return any(
            item.parts.issubset(parts) and self._is_credible(item.parts)
            for item in self._stored.values()
        )

    def _is_credible(self, group: PartGroup) -> bool:
        """Returns whether nothing is known that speaks against a stored group.

        An instance that was cut off takes its lost requests for crashes of engines, and
        has no answer that shows otherwise. A crash may also turn out to be none.
        """
        return group not in self._refuted_groups and all(
            self.evidence.answered_at(part) is None for part in group
        )

    def refute_crash(self, engine: Incarnation, at: Seconds) -> bool:
        """Removes the crash of an engine that was seen to run after it.

        Returns:
            Whether a crash was removed.
        """
        earlier_groups = self.evidence.groups
        if not self.evidence.refute_crash(engine, at):
            return False
        remaining = frozenset[str]().union(*self.evidence.groups)
        self._refuted_groups.update(
            group for group in earlier_groups if remaining.isdisjoint(group)
        )
        return True

    def record_own_parts(self, parts: Collection[str]) -> None:
        """Records that this instance lost requests with these parts in a crash."""
        self._own_parts.update(parts)

    @property
    def _stored_groups(self) -> set[PartGroup]:
        return {item.parts for item in self._stored.values()}

    def replace_stored(
        self, stored: Mapping[str, StoredQuarantine], now: Seconds
    ) -> None:
        """Applies a complete list of the stored groups, by object name."""
        for name in [name for name in self._stored if name not in stored]:
            if name not in self._lost:
                self.release(name, now)
        for name, item in stored.items():
            self.put_stored(name, item)

    def put_stored(self, name: str, stored: StoredQuarantine) -> None:
        """Adds a stored group, unless it is an older state of the known one."""
        if stored.until_ms <= self._released.get(name, -1):
            return
        lost = self._lost.get(name)
        if lost is not None and stored.until_ms < lost.until_ms:
            return
        self._lost.pop(name, None)
        self._stored[name] = stored

    def record_restored(self, write_at: Seconds) -> None:
        """Records that the store may have lost any of the stored groups.

        Groups that the next list lacks are kept and written again, as they were not
        deleted.

        Args:
            write_at: Time from which to write them, unless another instance does.
        """
        self._lost = dict(self._stored)
        self._write_lost_at = write_at

    def expire(self, now: Seconds, unix_ms: float) -> None:
        """Ends quarantines that are over.

        Args:
            now: Current time.
            unix_ms: Current Unix time, in ms.
        """
        self.evidence.expire(now)
        self._refuted_groups.difference_update(self.evidence.groups)
        self._own_parts.intersection_update(self.evidence.involved_parts)
        self._stored = {
            name: item for name, item in self._stored.items() if item.until_ms > unix_ms
        }
        self._lost = {
            name: item for name, item in self._lost.items() if name in self._stored
        }
        self._released = {
            name: until_ms
            for name, until_ms in self._released.items()
            if until_ms > unix_ms
        }

    def release(self, name: str, now: Seconds) -> None:
        """Ends the quarantine of a group whose object was deleted.

        Earlier crashes count no longer, so that the parts get another chance. After a
        crash that was none, the others still count.
        """
        self._lost.pop(name, None)
        stored = self._stored.pop(name, None)
        if stored is not None:
            self._released[name] = stored.until_ms
        if stored is not None and stored.parts not in self._refuted_groups:
            self.evidence.record_answered(stored.parts, now)

    def lost_to_store(self, now: Seconds) -> list[StoredQuarantine]:
        """Returns the groups that should be written again after a restore."""
        if now < self._write_lost_at:
            return []
        return [item for item in self._lost.values() if self._is_credible(item.parts)]

    def groups_to_store(self, now: Seconds) -> list[PartGroup]:
        """Returns the groups that should be written to the store now."""
        groups = self.evidence.groups
        self._found_at = {group: self._found_at.get(group, now) for group in groups}
        stored = self._stored_groups
        return [
            group
            for group in groups
            if group not in stored
            and self._is_credible(group)
            and now - self._found_at[group] >= self._delay(group)
        ]

    def _delay(self, group: PartGroup) -> Seconds:
        is_own = not self._own_parts.isdisjoint(group)
        return _STORE_DELAY if is_own else _STORE_DELAY_OF_OTHERS
