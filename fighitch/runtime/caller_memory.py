"""Applies a memory budget to the connections of callers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from fighitch.core.gateway.memory_budget import (
    Holding,
    MemoryBudget,
    Refusal,
    RefusalReason,
)
from fighitch.runtime.event_loop import EventLoop
from fighitch.types import Seconds

# Time between two decisions while the budget is short. A decision on 1,500 connections
# takes 5 ms.
_DECISION_DELAY: Seconds = 0.025


class MemoryUser(Protocol):
    """A connection whose memory counts against a budget."""

    def on_room(self) -> None:
        """Called when a request that waited may be read."""

    def refuse(self, reason: RefusalReason) -> None:
        """Called when the connection must free its memory."""


@dataclass(slots=True)
class CallerMemory:
    """Memory of all callers of a process.

    Attributes:
        loop: Event loop of the process.
        budget: Decides who waits and who is refused.
        on_refused: Called with each refusal, before the connection is told or by the
            connection that refuses a complete request.
    """

    loop: EventLoop
    budget: MemoryBudget
    on_refused: Callable[[Refusal], None] = lambda _refusal: None
    _users: dict[Holding, MemoryUser] = field(default_factory=dict)
    _is_deciding: bool = False

    def open(self, user: MemoryUser) -> Holding:
        """Adds a connection."""
        holding = self.budget.open(self.loop.now())
        self._users[holding] = user
        return holding

    def close(self, holding: Holding) -> None:
        """Removes a connection."""
        self.budget.close(holding)
        self._users.pop(holding, None)

    def watch(self) -> None:
        """Decides soon if the budget is short.

        Input that has arrived is read before, so that no caller counts as stalled after
        a long callback or a freeze of the process.
        """
        if self.budget.is_short and not self._is_deciding:
            self._is_deciding = True
            self.loop.call_later(_DECISION_DELAY, self._decide)

    def refuse_waiting(self) -> None:
        """Refuses all requests that wait for room, before the process ends."""
        self._refuse(self.budget.refuse_waiting())

    def _refuse(self, refusals: Iterable[Refusal]) -> None:
        for refusal in refusals:
            self.on_refused(refusal)
            user = self._users.get(refusal.holding)
            if user is not None:
                user.refuse(refusal.reason)

    def _decide(self) -> None:
        self._is_deciding = False
        now = self.loop.deferrable_polled_at
        self._refuse(self.budget.refuse(now))
        for holding in self.budget.grant_waiting(self.loop.now()):
            self._users[holding].on_room()
        self.watch()
