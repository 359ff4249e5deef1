"""Retry budget that entries share without coordination.

Load pattern: servers that fail or reset under load make every entry retry at once,
which adds load where capacity is already lost. Each entry uses an equal part of the
budget of a service, so that the retries of all entries stay within the budget.
"""

from collections import deque
from dataclasses import dataclass

from fighitch.types import Seconds

# Share of the budget that entries use. The rest allows for requests to entries that
# have left since, and for windows that start at different times.
_USABLE_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Retry limits of one service over all entries.

    Attributes:
        ratio: Retries allowed per request.
        window: Length of the sliding window.
        slack: Retries allowed in a window regardless of the number of requests.
    """

    ratio: float
    window: Seconds
    slack: float


class RetryBudget:
    """Counts the requests and retries of one service at one entry."""

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._requests: deque[Seconds] = deque()
        self._retries: deque[Seconds] = deque()

    def record_request(self, now: Seconds) -> None:
        """Records a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: Seconds, *, entries: int) -> bool:
        """Takes one retry from the budget.

        Args:
            now: Current time.
            entries: Number of entries that share the budget.

        Returns:
            Whether the retry is allowed; if so, it has been counted.
        """
        if not self.allows(now, entries=entries):
            return False
        self._retries.append(now)
        return True

    def allows(self, now: Seconds, *, entries: int) -> bool:
        """Returns whether one more retry is allowed, without counting it.

        Args:
            now: Current time.
            entries: Number of entries that share the budget.
        """
        self._expire(now)
        slack = self._limits.slack / max(1, entries)
        allowed = self._limits.ratio * len(self._requests) + slack
        return len(self._retries) + 1 <= _USABLE_SHARE * allowed

    def _expire(self, now: Seconds) -> None:
        oldest = now - self._limits.window
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
