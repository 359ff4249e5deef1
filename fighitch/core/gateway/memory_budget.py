"""Bounds the memory that a process holds for its clients.

Load pattern: beside ordinary clients with small requests, many clients at once send
large bodies, stop just short of their end and stay open, or do not read their answers.
Each of them keeps the limits of a single request; only their sum exceeds the memory.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from fighitch.types import Seconds

# Memory of the smallest machines of the known deployments; assumed if the settings
# state none, as it is safe on all of them.
DEFAULT_MEMORY_BYTES = 152_000_000
# Code, connections and the configuration. An idle entry has 29 MB resident; the copy of
# a body at its completion and the objects of running requests come on top.
_OWN_BYTES = 56_000_000
# The allocator keeps freed blocks between those in use.
_USABLE_SHARE = 0.8
# What may be held over the limit for small requests, which never wait for room.
_OVERDRAFT_SHARE = 0.15
# Two bodies of the default limit fit, whatever the settings say.
_MIN_BUDGET_BYTES = 8_388_608
# A client that holds no more than this is never made to wait or closed. An ordinary
# request head fits; the number of connections bounds the sum.
SMALL_BYTES = 16_384
# A client makes progress if it moves this many bytes within the stall time. Clients
# with a fair share of the slowest link (5 Mbit/s) move several times as much.
_PROGRESS_BYTES = 4_096
_STALL_TIME: Seconds = 0.75
# Shorter than the deadlines of clients, so that a refused one can still retry.
MAX_ROOM_WAIT: Seconds = 3.0


class RefusalReason(Enum):
    """Why the budget ends what a client sends or reads."""

    TOO_LARGE = "too_large"
    NO_ROOM = "no_room"
    STALLED = "stalled"
    OVER_BUDGET = "over_budget"


@dataclass(slots=True, eq=False)
class Holding:
    """What the process holds for one connection.

    Attributes:
        opened_at: Time at which the connection was opened.
        request: Bytes of the request that is being read.
        reserved: Bytes reserved for the whole of that request; 0 for a small one.
        response: Bytes of responses that the client has not read.
        buffered: Bytes of a response that is not complete and not yet sent; the client
            is not to blame for them.
        awaited: Bytes for which the request waits before more of it is read.
        awaits_since: Time since which it waits.
        moved: Bytes sent or read since the client last made progress.
        progress_at: Time at which the client last made progress.
        is_refused: Whether the budget has refused the request that is being read, or
            the connection.
    """

    opened_at: Seconds
    request: int = 0
    reserved: int = 0
    response: int = 0
    buffered: int = 0
    awaited: int = 0
    awaits_since: Seconds = 0.0
    moved: int = 0
    progress_at: Seconds = 0.0
    is_refused: bool = False

    @property
    def size(self) -> int:
        """Bytes that closing the connection would free."""
        return max(self.request, self.reserved) + self.response


@dataclass(frozen=True, slots=True)
class Refusal:
    """A connection to refuse, and why."""

    holding: Holding
    reason: RefusalReason


def budget_size(memory_limit: int) -> int:
    """Returns the bytes that a process may hold for its clients.

    Args:
        memory_limit: Memory of the process in bytes; 0 if not stated.
    """
    available = (memory_limit or DEFAULT_MEMORY_BYTES) - _OWN_BYTES
    return max(_MIN_BUDGET_BYTES, int(available * _USABLE_SHARE))


class MemoryBudget:
    """Counts bytes by connection; decides who waits and who is refused.

    A large body gets room for all of it before it is read, or waits for room. Whoever
    makes no progress while the budget is short is refused.
    """

    def __init__(self, limit: int) -> None:
        """Starts with nothing held.

        Args:
            limit: Bytes that may be held for all connections together.
        """
        self.limit = limit
        self._held = 0
        # In order of their opening and of their wait.
        self._holdings: dict[Holding, None] = {}
        self._waiting: dict[Holding, None] = {}

    @property
    def held(self) -> int:
        """Bytes held or reserved."""
        return self._held

    @property
    def is_over(self) -> bool:
        """Whether more is held than the budget allows."""
        return self._held > self.limit

    @property
    def is_short(self) -> bool:
        """Whether a request waits for room or more is held than the budget allows."""
        return bool(self._waiting) or self.is_over

    def open(self, now: Seconds) -> Holding:
        """Adds a connection."""
        holding = Holding(now, progress_at=now)
        self._holdings[holding] = None
        return holding

    def close(self, holding: Holding) -> None:
        """Removes a connection; its complete requests stay until they are released."""
        if holding in self._holdings:
            del self._holdings[holding]
            self._waiting.pop(holding, None)
            self._held -= holding.size + holding.buffered

    def reserve(self, holding: Holding, size: int, now: Seconds) -> bool:
        """Requests room for a large request before more of it is read.

        Args:
            holding: Connection of the request.
            size: Bytes of the whole request.
            now: Current time.

        Returns:
            Whether there is room; otherwise the request waits until ``grant_waiting``
            returns it or it is refused.
        """
        is_next = all(size < other.awaited for other in self._waiting)
        if is_next and self._fits(holding, size):
            self._grant(holding, size, now)
            return True
        holding.awaited = size
        holding.awaits_since = now
        self._waiting[holding] = None
        return False

    def record_request(self, holding: Holding, size: int, now: Seconds) -> None:
        """Records the bytes of the request that is being read."""
        self._record_progress(holding, size - holding.request, now)
        before = holding.size
        holding.request = size
        self._held += holding.size - before

    def end_request(self, holding: Holding) -> int:
        """Ends the reading of a request; returns its bytes, which are no longer held.

        A complete request is held with ``hold``, as it may outlive its connection.
        """
        before, size = holding.size, holding.request
        holding.request = holding.reserved = holding.awaited = 0
        # Requests before it may still be answered, so that the connection stays open.
        holding.is_refused = False
        self._waiting.pop(holding, None)
        self._held += holding.size - before
        return size

    def may_run(self, holding: Holding) -> bool:
        """Returns whether the request that was read may be handled, or is refused.

        Handling holds its memory for as long as a server takes. While more is held than
        the budget allows, only small requests are handled, and not without limit.
        """
        if self._held > self.limit * (1 + _OVERDRAFT_SHARE):
            return False
        is_small = holding.request <= SMALL_BYTES
        return is_small or holding.reserved > 0 or not self.is_over

    def hold(self, size: int) -> None:
        """Adds bytes that are held until they are released."""
        self._held += size

    def release(self, size: int) -> None:
        """Removes bytes added by ``hold``."""
        self._held -= size

    def record_response(
        self, holding: Holding, size: int, now: Seconds, *, taken: int = 0
    ) -> None:
        """Records the bytes of responses that a client has not read.

        Args:
            holding: Connection of the client.
            size: Bytes that are unread now.
            now: Current time.
            taken: Bytes that the client has taken since the last call.
        """
        if not holding.response:
            # There was nothing to read until now.
            holding.moved, holding.progress_at = 0, now
        self._record_progress(holding, taken, now)
        self._held += size - holding.response
        holding.response = size

    def record_buffered(self, holding: Holding, size: int) -> None:
        """Records the bytes of a response that is collected before it is sent."""
        self._held += size - holding.buffered
        holding.buffered = size

    def grant_waiting(self, now: Seconds) -> list[Holding]:
        """Gives room to waiting requests, the longest wait first; returns them."""
        granted = []
        for holding in list(self._waiting):
            if self._fits(holding, holding.awaited):
                self._grant(holding, holding.awaited, now)
                granted.append(holding)
        return granted

    def refuse(self, now: Seconds) -> list[Refusal]:
        """Returns the connections to refuse now, each once for what it holds.

        Those that make no progress come first, by the time without progress, then by
        size, the newest first. Others follow only while more is held than the budget
        allows. Small ones are never refused.
        """
        refusals = self._refuse_waiting(now)
        if not self.is_short:
            return refusals
        awaited = min((item.awaited for item in self._waiting), default=0)
        freed = sum(refusal.holding.size for refusal in refusals)
        excess = self._held - freed + awaited - self.limit
        stalled = self._candidates(lambda item: self._stalls(item, now) >= 1)
        stalled.sort(key=lambda item: -self._stalls(item, now))
        excess = self._take(stalled, excess, RefusalReason.STALLED, refusals)
        others = self._candidates(lambda item: True)
        self._take(others, excess - awaited, RefusalReason.OVER_BUDGET, refusals)
        return refusals

    def refuse_waiting(self) -> list[Refusal]:
        """Returns all requests that wait for room, to be refused now."""
        refusals: list[Refusal] = []
        for holding in list(self._waiting):
            self._refuse(holding, RefusalReason.NO_ROOM, refusals)
        return refusals

    def _refuse_waiting(self, now: Seconds) -> list[Refusal]:
        refusals: list[Refusal] = []
        for holding in list(self._waiting):
            if holding.awaited > self.limit:
                self._refuse(holding, RefusalReason.TOO_LARGE, refusals)
            elif now - holding.awaits_since >= MAX_ROOM_WAIT:
                self._refuse(holding, RefusalReason.NO_ROOM, refusals)
        return refusals

    def _candidates(self, is_candidate: Callable[[Holding], bool]) -> list[Holding]:
        """Returns connections that are not small, the largest and newest first."""
        found = [
            item
            for item in self._holdings
            if item.size > SMALL_BYTES and not item.is_refused and is_candidate(item)
        ]
        return sorted(found, key=lambda item: (-item.size, -item.opened_at))

    def _take(
        self,
        candidates: list[Holding],
        excess: int,
        reason: RefusalReason,
        refusals: list[Refusal],
    ) -> int:
        """Refuses candidates until the excess is covered; returns the rest of it."""
        for holding in candidates:
            if excess <= 0:
                break
            excess -= holding.size
            self._refuse(holding, reason, refusals)
        return excess

    def _refuse(
        self, holding: Holding, reason: RefusalReason, refusals: list[Refusal]
    ) -> None:
        holding.is_refused = True
        self._waiting.pop(holding, None)
        refusals.append(Refusal(holding, reason))

    def _stalls(self, holding: Holding, now: Seconds) -> int:
        """Returns the number of whole stall times without progress."""
        if holding.awaited:
            return 0
        return math.floor((now - holding.progress_at) / _STALL_TIME)

    def _fits(self, holding: Holding, size: int) -> bool:
        added = max(0, size - max(holding.request, holding.reserved))
        return self._held + added <= self.limit

    def _grant(self, holding: Holding, size: int, now: Seconds) -> None:
        before = holding.size
        holding.reserved = size
        holding.awaited = 0
        holding.moved, holding.progress_at = 0, now
        self._waiting.pop(holding, None)
        self._held += holding.size - before

    def _record_progress(self, holding: Holding, count: int, now: Seconds) -> None:
        holding.moved += max(0, count)
        if holding.moved >= _PROGRESS_BYTES:
            holding.moved, holding.progress_at = 0, now
