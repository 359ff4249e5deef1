"""Retry conditions and the retry budget."""

from fighitch.core.errors import Failure, RunState
from fighitch.types import Seconds

# Capacity of the retry budget, as seconds of retries at the minimum rate.
_BURST_SECONDS = 10.0


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Without it, retries would amplify an overload.
    """

    def __init__(self, *, ratio: float = 0.1, min_per_second: float = 1.0) -> None:
        """Creates a budget that holds one second of retries at the minimum rate.

        Args:
            ratio: Retries credited per request.
            min_per_second: Retries credited per second.
        """
        self._ratio = ratio
        self._min_per_second = min_per_second
        self._tokens = min_per_second
        self._updated: Seconds | None = None

    def count_request(self) -> None:
        """Credits ``ratio`` retries for a new request."""
        self._tokens = min(self._tokens + self._ratio, self._capacity)

    def try_acquire(self, now: Seconds) -> bool:
        """Spends one retry if the budget has one; returns whether it had."""
        elapsed = 0.0 if self._updated is None else max(0.0, now - self._updated)
        self._updated = now
        self._tokens = min(
            self._tokens + elapsed * self._min_per_second, self._capacity
        )
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    @property
    def _capacity(self) -> float:
        return max(1.0, self._min_per_second * _BURST_SECONDS)


def may_retry(
    failure: Failure, *, idempotent: bool, started: bool, remaining: Seconds
) -> bool:
    """Returns whether another attempt is allowed, regardless of the budget.

    Args:
        failure: Failure of the last attempt.
        idempotent: Whether the request may be executed more than once.
        started: Whether part of the response was sent to the caller.
        remaining: Time until the deadline.
    """
    if started or remaining <= 0 or not failure.retry_elsewhere:
        return False
    return idempotent or failure.run_state is RunState.NOT_RUN
