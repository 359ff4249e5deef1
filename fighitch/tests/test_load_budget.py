"""Tests of ``fighitch.core.sidecar.load_budget``."""

import unittest

from hypothesis import given, seed, settings, strategies as st

from fighitch.core.messages import PermitGrant, PermitRequest, PermitReturn
from fighitch.core.sidecar.load_budget import (
    RECLAIM_SECONDS,
    SHARE_INCREASE_DELAY_SECONDS,
    LoadBudget,
    compute_share,
)

STEP_SECONDS = 0.05
# Number of steps within which every member receives a configuration change.
PROPAGATION_STEPS = 100


class Fleet:
    """Sidecars exchanging permit messages over connections that lose and repeat them.

    Connection ids are ``10 * from + to``, as seen by ``from``.
    """

    def __init__(self, count, loads_per_second, max_in_transit):
        self.names = [f"s{index}" for index in range(count)]
        self.rate, self.in_transit = loads_per_second, max_in_transit
        self.budgets = [
            LoadBudget(name, self.names, loads_per_second, max_in_transit)
            for name in self.names
        ]
        self.undelivered = []
        self.running = [0] * count
        self.starts = []
        self.now = 0.0

    def peers(self, index):
        return [
            10 * index + other for other in range(len(self.budgets)) if other != index
        ]

    def queue_sends(self, index, sends):
        for send in sends:
            to = send.connection % 10
            self.undelivered.append((to, 10 * to + index, send.message))

    def deliver(self, position, *, duplicate=False):
        if not self.undelivered:
            return
        to, connection, message = self.undelivered[position % len(self.undelivered)]
        if not duplicate:
            self.undelivered.pop(position % len(self.undelivered))
        self.queue_sends(to, self.budgets[to].handle(connection, message, self.now))

    def start(self, index):
        if self.budgets[index].start(self.now):
            self.running[index] += 1
            self.starts.append(self.now)
            return True
        return False

    def finish(self, index):
        if self.running[index]:
            self.running[index] -= 1
            self.budgets[index].finish(self.now)

    def started_in_window(self, window=1.0):
        return sum(started_at > self.now - window + 1e-9 for started_at in self.starts)


actions = st.lists(
    st.tuples(
        st.sampled_from(
            ["start", "finish", "request", "deliver", "repeat", "lose", "wait", "close"]
        ),
        st.integers(0, 40),
    ),
    max_size=150,
)


class LimitTests(unittest.TestCase):
    @seed(20261204)
    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.integers(1, 9),
        st.sampled_from([0.5, 2, 5.5, 7]),
        st.integers(1, 24),
        actions,
    )
    def test_limits_hold_with_any_delivery(self, count, rate, in_transit, steps):
        """Guards against permits created by a late, lost or duplicate message."""
        fleet = Fleet(count, rate, in_transit)
        for action, number in steps:
            self.apply_action(fleet, action, number)
            self.assertLessEqual(sum(fleet.running), in_transit)
            self.assertLessEqual(fleet.started_in_window(), max(1, int(rate)))
            self.assertLessEqual(
                fleet.started_in_window(1 / rate) if rate < 1 else 0, 1
            )

    def apply_action(self, fleet, action, number):
        index = number % len(fleet.budgets)
        budget = fleet.budgets[index]
        if action == "start":
            fleet.start(index)
        elif action == "finish":
            fleet.finish(index)
        elif action == "request":
            peers = fleet.peers(index)
            wanted = number % 4
            sends = budget.request_permits(peers, fleet.now, wanted=wanted)
            fleet.queue_sends(index, sends)
        elif action in ("deliver", "repeat"):
            fleet.deliver(number, duplicate=action == "repeat")
        elif action == "lose" and fleet.undelivered:
            fleet.undelivered.pop(number % len(fleet.undelivered))
        elif action == "wait":
            fleet.now += number * STEP_SECONDS
        elif action == "close" and len(fleet.budgets) > 1:
            other = (index + 1) % len(fleet.budgets)
            fleet.undelivered = [
                item
                for item in fleet.undelivered
                if item[1] not in (10 * index + other, 10 * other + index)
            ]
            budget.connection_closed(10 * index + other)
            fleet.budgets[other].connection_closed(10 * other + index)

    @seed(20261204)
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(st.integers(0, PROPAGATION_STEPS), min_size=5, max_size=5),
        st.sets(st.integers(0, 4), min_size=1),
        st.integers(2, 12),
        st.booleans(),
    )
    def test_limits_hold_while_members_learn_of_a_change(
        self, delays, kept, limit, loads_end
    ):
        """Guards against old and new shares that together exceed the limit."""
        fleet = Fleet(5, limit, limit)
        members = [fleet.names[index] for index in kept]
        for step in range(PROPAGATION_STEPS + 1):
            fleet.now = step * STEP_SECONDS
            for index, budget in enumerate(fleet.budgets):
                if delays[index] == step:
                    budget.configure(members, limit, limit, fleet.now)
                for _ in range(2 * limit):
                    if fleet.start(index) and loads_end:
                        fleet.finish(index)
            self.assertLessEqual(sum(fleet.running), limit)
            self.assertLessEqual(fleet.started_in_window(), limit)

    def test_shares_sum_to_the_limits(self):
        """Guards against permits that are assigned to no member."""
        for count in (1, 3, 9, 40):
            names = [f"s{index}" for index in range(count)]
            shares = [compute_share(name, names, 7, 16) for name in names]
            self.assertEqual(sum(share.starts for share in shares), 7)
            self.assertEqual(sum(share.in_transit for share in shares), 16)


class BorrowingTests(unittest.TestCase):
    def run_for(self, fleet, seconds, busy):
        """Runs the fleet with instant delivery; loads take five steps."""
        started = [0] * len(fleet.budgets)
        ends = []
        until = fleet.now + seconds
        while fleet.now < until:
            for end in [item for item in ends if item[0] <= fleet.now]:
                ends.remove(end)
                fleet.finish(end[1])
            for index, budget in enumerate(fleet.budgets):
                wanted = 8 if index in busy else 0
                peers = fleet.peers(index)
                sends = budget.request_permits(peers, fleet.now, wanted=wanted)
                fleet.queue_sends(index, sends)
                while fleet.undelivered:
                    fleet.deliver(0)
                while index in busy and fleet.start(index):
                    started[index] += 1
                    ends.append((fleet.now + 5 * STEP_SECONDS, index))
            fleet.now += STEP_SECONDS
        return started

    def test_one_busy_member_gets_nearly_the_whole_rate(self):
        """Guards against a cold engine that loads at one ninth of the rate limit."""
        fleet = Fleet(9, 7, 16)
        started = self.run_for(fleet, 20, {0})
        self.assertGreaterEqual(started[0], 0.85 * 7 * 20)

    def test_no_member_is_starved_when_all_are_busy(self):
        """Guards against starving members that own no permit."""
        fleet = Fleet(9, 7, 16)
        started = self.run_for(fleet, 30, set(range(9)))
        self.assertGreaterEqual(min(started), 0.5 * 7 / 9 * 30)
        self.assertGreaterEqual(sum(started), 0.85 * 7 * 30)

    def test_used_permit_is_returned_after_the_window(self):
        """Guards against two load starts with one permit within a second."""
        borrower = LoadBudget("b", ["a"], 1, 1)
        borrower.handle(1, PermitGrant(("a/1",)), 0.0)
        self.assertTrue(borrower.start(0.0))
        borrower.finish(0.2)
        self.assertEqual(borrower.request_permits([], 0.9, wanted=0), [])
        sends = borrower.request_permits([], 1.0, wanted=0)
        self.assertEqual([send.message for send in sends], [PermitReturn(("a/1",))])

    def test_surplus_permits_are_returned_at_once(self):
        """Guards against unused permits held after requests to several lenders."""
        borrower = LoadBudget("b", ["a"], 1, 1)
        borrower.request_permits([1, 2], 0.0, wanted=1)
        borrower.handle(1, PermitGrant(("a/1",)), 0.0)
        borrower.handle(2, PermitGrant(("c/1",)), 0.0)
        sends = borrower.request_permits([1, 2], 0.0, wanted=1)
        self.assertEqual([send.message for send in sends], [PermitReturn(("c/1",))])

    def test_old_request_is_not_granted(self):
        """Guards against lending a permit to a borrower that has since died."""
        lender = LoadBudget("a", ["a"], 1, 1)
        self.assertTrue(lender.start(0.0))
        lender.handle(1, PermitRequest(1), 0.0)
        lender.finish(0.3)
        self.assertEqual(lender.request_permits([], 1.0, wanted=0), [])

    def test_rejected_late_grant_is_returned(self):
        """Guards against permits lost because two grants were reordered."""
        borrower = LoadBudget("b", ["a", "b"], 1, 1)
        borrower.handle(1, PermitGrant(("a/2",)), 0.0)
        sends = borrower.handle(1, PermitGrant(("a/1",)), 0.0)
        self.assertEqual([send.message for send in sends], [PermitReturn(("a/1",))])


class LostPermitTests(unittest.TestCase):
    def setUp(self):
        names = ["a", "b"]
        owner = next(name for name in names if compute_share(name, names, 1, 1).starts)
        self.lender = LoadBudget(owner, names, 1, 1)
        self.lender.handle(1, PermitRequest(1), 0.0)
        self.names = names

    def test_closed_connection_does_not_reclaim_a_permit(self):
        """Guards against exceeding the limit while a disconnected borrower loads."""
        self.lender.connection_closed(1)
        self.assertEqual(self.lender.available(10_000.0), 0)

    def test_configure_reclaims_a_lost_permit_after_the_longest_load(self):
        """Guards against permits that are lost permanently."""
        self.lender.configure(self.names, 1, 1, 100.0)
        self.assertEqual(self.lender.available(100.0 + RECLAIM_SECONDS - 1), 0)
        self.assertEqual(self.lender.available(100.0 + RECLAIM_SECONDS), 1)


class ConfigureTests(unittest.TestCase):
    def test_larger_share_takes_effect_later_than_a_smaller_one(self):
        budget = LoadBudget("a", ["a", "b"], 4, 4)
        budget.configure(["a"], 4, 4, 0.0)
        self.assertEqual(budget.available(SHARE_INCREASE_DELAY_SECONDS - 1), 2)
        self.assertEqual(budget.available(SHARE_INCREASE_DELAY_SECONDS), 4)
        budget.configure(["a", "b"], 4, 4, 20.0)
        self.assertEqual(budget.available(20.0), 2)

    def test_first_configuration_takes_effect_at_once(self):
        """Guards against a cold engine that cannot load after its sidecar started."""
        budget = LoadBudget("a", [], 0, 0)
        budget.configure(["a"], 4, 4, 0.0)
        self.assertEqual(budget.available(0.0), 4)

    def test_removed_member_loses_its_permits(self):
        budget = LoadBudget("a", ["a", "b"], 4, 4)
        budget.configure(["b"], 4, 4, 0.0)
        self.assertFalse(budget.start(100.0))
