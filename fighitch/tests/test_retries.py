"""Tests of ``fighitch.core.entry.retries``."""

import unittest

from fighitch.core.entry.retries import RetryBudget, may_retry
from fighitch.core.errors import ErrorKind, Failure, RunState

LOST = Failure(ErrorKind.BACKEND_FAILED, "")
REFUSED = Failure(ErrorKind.OVERLOADED, "")


class BudgetTests(unittest.TestCase):
    def test_retries_are_limited_to_a_share_of_the_requests(self):
        """Guards against retries that amplify an overload."""
        budget = RetryBudget()
        taken = 0
        for number in range(10_000):
            budget.count_request()
            taken += budget.try_acquire(number / 10_000)
        self.assertLessEqual(taken, 1_002)
        self.assertGreaterEqual(taken, 990)

    def test_minimum_rate_allows_retries_without_traffic(self):
        budget = RetryBudget()
        self.assertTrue(budget.try_acquire(0.0))
        self.assertFalse(budget.try_acquire(0.5))
        self.assertTrue(budget.try_acquire(1.0))


class MayRetryTests(unittest.TestCase):
    def test_only_idempotent_requests_or_those_not_run_are_retried(self):
        """Guards against running an action twice."""
        for failure, idempotent, allowed in (
            (LOST, True, True),
            (LOST, False, False),
            (REFUSED, False, True),
            (Failure(ErrorKind.OVERLOADED, "", RunState.UNKNOWN), False, False),
            (Failure(ErrorKind.BAD_REQUEST, ""), True, False),
        ):
            found = may_retry(
                failure, idempotent=idempotent, started=False, remaining=1.0
            )
            self.assertEqual(found, allowed, failure)

    def test_started_or_expired_request_is_not_retried(self):
        """Guards against a response that starts twice."""
        self.assertFalse(may_retry(LOST, idempotent=True, started=True, remaining=1.0))
        self.assertFalse(may_retry(LOST, idempotent=True, started=False, remaining=0))
