"""Applies a memory budget to the connections of callers."""

from collections.abc import Callable
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

# Time between two decisions while the budget is short.
_POLL_INTERVAL: Seconds = 0.05
# Shortest time between two decisions; each looks at all connections.
_MIN_INTERVAL: Seconds = 0.01


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
        on_refused: Called with each refusal before the connection is told.
    """

    loop: EventLoop
    budget: MemoryBudget
    on_refused: Callable[[Refusal], None] = lambda _refusal: None
    _users: dict[Holding, MemoryUser] = field(default_factory=dict)
    _is_polling: bool = False
    _relieved_at: Seconds = float("-inf")

    def open(self, user: MemoryUser) -> Holding:
        """Adds a connection."""
        holding = self.budget.open(self.loop.now())
        self._users[holding] = user
        return holding

    def close(self, holding: Holding) -> None:
        """Removes a connection."""
        self.budget.close(holding)
        self._users.pop(holding, None)

    def relieve(self) -> None:
        """Refuses connections if more is held than the budget allows.

        Must not be called within a callback of a parser, as it may end the request that
        is being parsed.
        """
        is_due = self.loop.now() - self._relieved_at >= _MIN_INTERVAL
        if self.budget.is_over and is_due:
            self._decide()
        self.watch()

    def _decide(self) -> None:
        """Refuses and resumes connections while the budget is short."""
        now = self._relieved_at = self.loop.now()
        for refusal in self.budget.refuse(now):
            self.on_refused(refusal)
            user = self._users.get(refusal.holding)
            if user is not None:
                user.refuse(refusal.reason)
        for holding in self.budget.grant_waiting(now):
            self._users[holding].on_room()

    def watch(self) -> None:
        """Decides again after a while if the budget is short."""
        if self.budget.is_short and not self._is_polling:
            self._is_polling = True
            self.loop.call_later(_POLL_INTERVAL, self._poll)

    def _poll(self) -> None:
        self._is_polling = False
        self._decide()
        self.watch()
