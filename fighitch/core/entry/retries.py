"""When a request may be tried again, and how often per rank."""

from fighitch.core.errors import Failure, RunState
from fighitch.types import Seconds

# Retries that may be saved up, in seconds of the minimum rate.
_BURST_SECONDS = 10.0


class RetryBudget:
    """Limits retries to a share of the requests, so that they cannot add to a flood."""

    def __init__(self, *, ratio: float = 0.1, minimum: float = 1.0) -> None:
        """Starts with one second of the minimum.

        Args:
            ratio: Retries earned by each request.
            minimum: Retries earned per second.
        """
        self._ratio = ratio
        self._minimum = minimum
        self._tokens = minimum
        self._updated: Seconds | None = None

    def count_request(self) -> None:
        """Earns the share of a retry for a new request."""
        self._tokens = min(self._tokens + self._ratio, self._limit)

    def try_take(self, now: Seconds) -> bool:
        """Takes one retry if the budget allows it."""
        elapsed = 0.0 if self._updated is None else max(0.0, now - self._updated)
        self._updated = now
        self._tokens = min(self._tokens + elapsed * self._minimum, self._limit)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    @property
    def _limit(self) -> float:
        return max(1.0, self._minimum * _BURST_SECONDS)


def may_retry(
    failure: Failure, *, idempotent: bool, started: bool, remaining: Seconds
) -> bool:
    """Returns whether another attempt is allowed, leaving the budget aside.

    Args:
        failure: Why the attempt ended.
        idempotent: Whether the work may run more than once.
        started: Whether a part of the answer was passed to the caller.
        remaining: Time until the deadline.
    """
    if started or remaining <= 0 or not failure.retry_elsewhere:
        return False
    return idempotent or failure.run_state is RunState.NOT_RUN
