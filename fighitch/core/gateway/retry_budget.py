"""Budget for second sends that many entries keep without agreement.

Load pattern: servers that fail or reset under load make every entry send again at once,
which adds load where capacity is already lost. Each entry takes an equal part of the
budget of its service, so that the sum over all entries stays inside the whole budget.
"""

from collections import deque
from dataclasses import dataclass

from fighitch.types import Seconds

# Share of the budget that is used: requests that callers send to entries which are gone
# meanwhile, and windows that start at another moment, take the rest.
_USED_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits of one service over all entries.

    Attributes:
        ratio: Second sends allowed for each request.
        window: Length of the sliding window.
        slack: Second sends allowed in a window whatever the number of requests.
    """

    ratio: float
    window: Seconds
    slack: float


class RetryBudget:
    """Counts requests and second sends of one service at one entry."""

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._requests: deque[Seconds] = deque()
        self._repeats: deque[Seconds] = deque()

    def record_request(self, now: Seconds) -> None:
        """Counts a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: Seconds, *, entries: int) -> bool:
        """Takes one second send from the budget.

        Args:
            now: Time of the send.
            entries: Number of entries that share the budget.

        Returns:
            Whether the send is allowed; it is counted then.
        """
        self._expire(now)
        slack = self._limits.slack / max(1, entries)
        allowed = self._limits.ratio * len(self._requests) + slack
        if len(self._repeats) + 1 > _USED_SHARE * allowed:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: Seconds) -> None:
        oldest = now - self._limits.window
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
