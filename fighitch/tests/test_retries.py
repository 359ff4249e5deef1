"""Tests of ``fighitch.core.entry.retries``."""

import unittest

from fighitch.core.entry.retries import RetryBudget, may_retry
from fighitch.core.errors import ErrorKind, Failure, RunState

LOST = Failure(ErrorKind.BACKEND_FAILED, "")
REFUSED = Failure(ErrorKind.OVERLOADED, "")


class BudgetTests(unittest.TestCase):
    def test_retries_stay_a_share_of_the_requests(self):
        """Guards against retries that add to a flood."""
        budget = RetryBudget()
        taken = 0
        for number in range(10_000):
            budget.count_request()
            taken += budget.try_take(number / 10_000)
        self.assertLessEqual(taken, 1_002)
        self.assertGreaterEqual(taken, 990)

    def test_the_minimum_allows_a_retry_without_traffic(self):
        budget = RetryBudget()
        self.assertTrue(budget.try_take(0.0))
        self.assertFalse(budget.try_take(0.5))
        self.assertTrue(budget.try_take(1.0))


class PermissionTests(unittest.TestCase):
    def test_only_idempotent_or_unrun_work_is_retried(self):
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

    def test_started_or_late_work_is_not_retried(self):
        """Guards against a second beginning of an answer."""
        self.assertFalse(may_retry(LOST, idempotent=True, started=True, remaining=1.0))
        self.assertFalse(may_retry(LOST, idempotent=True, started=False, remaining=0))
