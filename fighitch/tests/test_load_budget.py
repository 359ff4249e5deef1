"""Tests of ``fighitch.core.sidecar.load_budget``."""

import unittest

from hypothesis import given, seed, settings, strategies as st

from fighitch.core.messages import PermitGrant, PermitRequest, PermitReturn
from fighitch.core.sidecar.load_budget import (
    RECLAIM_SECONDS,
    SETTLE_SECONDS,
    LoadBudget,
    compute_share,
)

STEP_SECONDS = 0.05
# Members that learn of a configuration do so within this time.
IN_FORCE_STEPS = 100


class Fleet:
    """Sidecars that exchange permit messages over links that lose and repeat them.

    A connection is numbered ``10 * from + to`` at the side of ``from``.
    """

    def __init__(self, count, loads_per_second, max_in_transit):
        self.names = [f"s{index}" for index in range(count)]
        self.rate, self.in_transit = loads_per_second, max_in_transit
        self.budgets = [
            LoadBudget(name, self.names, loads_per_second, max_in_transit)
            for name in self.names
        ]
        self.mail = []
        self.running = [0] * count
        self.starts = []
        self.now = 0.0

    def peers(self, index):
        return [
            10 * index + other for other in range(len(self.budgets)) if other != index
        ]

    def post(self, index, sends):
        for send in sends:
            to = send.connection % 10
            self.mail.append((to, 10 * to + index, send.message))

    def deliver(self, position, *, keep=False):
        if not self.mail:
            return
        to, connection, message = self.mail[position % len(self.mail)]
        if not keep:
            self.mail.pop(position % len(self.mail))
        self.post(to, self.budgets[to].handle(connection, message, self.now))

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
        return sum(at > self.now - window + 1e-9 for at in self.starts)


actions = st.lists(
    st.tuples(
        st.sampled_from(
            ["start", "finish", "ask", "deliver", "repeat", "lose", "wait", "close"]
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
        """Guards against a permit that is made by a late, lost or repeated message."""
        fleet = Fleet(count, rate, in_transit)
        for action, number in steps:
            self.act(fleet, action, number)
            self.assertLessEqual(sum(fleet.running), in_transit)
            self.assertLessEqual(fleet.started_in_window(), max(1, int(rate)))
            self.assertLessEqual(
                fleet.started_in_window(1 / rate) if rate < 1 else 0, 1
            )

    def act(self, fleet, action, number):
        index = number % len(fleet.budgets)
        budget = fleet.budgets[index]
        if action == "start":
            fleet.start(index)
        elif action == "finish":
            fleet.finish(index)
        elif action == "ask":
            peers = fleet.peers(index)
            wanted = number % 4
            sends = budget.request_permits(peers, fleet.now, wanted=wanted)
            fleet.post(index, sends)
        elif action in ("deliver", "repeat"):
            fleet.deliver(number, keep=action == "repeat")
        elif action == "lose" and fleet.mail:
            fleet.mail.pop(number % len(fleet.mail))
        elif action == "wait":
            fleet.now += number * STEP_SECONDS
        elif action == "close" and len(fleet.budgets) > 1:
            other = (index + 1) % len(fleet.budgets)
            fleet.mail = [
                item
                for item in fleet.mail
                if item[1] not in (10 * index + other, 10 * other + index)
            ]
            budget.connection_closed(10 * index + other)
            fleet.budgets[other].connection_closed(10 * other + index)

    @seed(20261204)
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(st.integers(0, IN_FORCE_STEPS), min_size=5, max_size=5),
        st.sets(st.integers(0, 4), min_size=1),
        st.integers(2, 12),
        st.booleans(),
    )
    def test_limits_hold_while_members_learn_of_a_change(
        self, delays, kept, limit, loads_end
    ):
        """Guards against old and new shares that add up to more than the limit."""
        fleet = Fleet(5, limit, limit)
        members = [fleet.names[index] for index in kept]
        for step in range(IN_FORCE_STEPS + 1):
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
        """Guards against permits that no member has."""
        for count in (1, 3, 9, 40):
            names = [f"s{index}" for index in range(count)]
            shares = [compute_share(name, names, 7, 16) for name in names]
            self.assertEqual(sum(share.starts for share in shares), 7)
            self.assertEqual(sum(share.in_transit for share in shares), 16)


class BorrowingTests(unittest.TestCase):
    def run_for(self, fleet, seconds, wanting):
        """Lets the fleet run with instant delivery; loads end after five steps."""
        started = [0] * len(fleet.budgets)
        ends = []
        until = fleet.now + seconds
        while fleet.now < until:
            for end in [item for item in ends if item[0] <= fleet.now]:
                ends.remove(end)
                fleet.finish(end[1])
            for index, budget in enumerate(fleet.budgets):
                wanted = 8 if index in wanting else 0
                peers = fleet.peers(index)
                sends = budget.request_permits(peers, fleet.now, wanted=wanted)
                fleet.post(index, sends)
                while fleet.mail:
                    fleet.deliver(0)
                while index in wanting and fleet.start(index):
                    started[index] += 1
                    ends.append((fleet.now + 5 * STEP_SECONDS, index))
            fleet.now += STEP_SECONDS
        return started

    def test_one_busy_member_gets_nearly_the_whole_rate(self):
        """Guards against a cold engine that loads at a ninth of the rate."""
        fleet = Fleet(9, 7, 16)
        started = self.run_for(fleet, 20, {0})
        self.assertGreaterEqual(started[0], 0.85 * 7 * 20)

    def test_no_member_is_starved_when_all_are_busy(self):
        """Guards against members without a permit of their own that never load."""
        fleet = Fleet(9, 7, 16)
        started = self.run_for(fleet, 30, set(range(9)))
        self.assertGreaterEqual(min(started), 0.5 * 7 / 9 * 30)
        self.assertGreaterEqual(sum(started), 0.85 * 7 * 30)

    def test_used_permit_goes_back_after_the_window(self):
        """Guards against two starts with one permit within a second."""
        borrower = LoadBudget("b", ["a"], 1, 1)
        borrower.handle(1, PermitGrant(("a/1",)), 0.0)
        self.assertTrue(borrower.start(0.0))
        borrower.finish(0.2)
        self.assertEqual(borrower.request_permits([], 0.9, wanted=0), [])
        sends = borrower.request_permits([], 1.0, wanted=0)
        self.assertEqual([send.message for send in sends], [PermitReturn(("a/1",))])

    def test_surplus_permits_go_back_at_once(self):
        """Guards against permits held by a borrower that asked several lenders."""
        borrower = LoadBudget("b", ["a"], 1, 1)
        borrower.request_permits([1, 2], 0.0, wanted=1)
        borrower.handle(1, PermitGrant(("a/1",)), 0.0)
        borrower.handle(2, PermitGrant(("c/1",)), 0.0)
        sends = borrower.request_permits([1, 2], 0.0, wanted=1)
        self.assertEqual([send.message for send in sends], [PermitReturn(("c/1",))])

    def test_old_request_is_not_granted(self):
        """Guards against a permit lent to a borrower that has died meanwhile."""
        lender = LoadBudget("a", ["a"], 1, 1)
        self.assertTrue(lender.start(0.0))
        lender.handle(1, PermitRequest(1), 0.0)
        lender.finish(0.3)
        self.assertEqual(lender.request_permits([], 1.0, wanted=0), [])

    def test_refused_late_grant_goes_back(self):
        """Guards against permits that are lost because two grants swapped places."""
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

    def test_closed_connection_does_not_bring_a_permit_back(self):
        """Guards against a borrower that still loads after its connection broke."""
        self.lender.connection_closed(1)
        self.assertEqual(self.lender.available(10_000.0), 0)

    def test_configure_brings_a_lost_permit_back_after_a_load_must_have_ended(self):
        """Guards against permits that are lost for good."""
        self.lender.configure(self.names, 1, 1, 100.0)
        self.assertEqual(self.lender.available(100.0 + RECLAIM_SECONDS - 1), 0)
        self.assertEqual(self.lender.available(100.0 + RECLAIM_SECONDS), 1)


class ConfigureTests(unittest.TestCase):
    def test_larger_share_waits_and_smaller_is_at_once(self):
        budget = LoadBudget("a", ["a", "b"], 4, 4)
        budget.configure(["a"], 4, 4, 0.0)
        self.assertEqual(budget.available(SETTLE_SECONDS - 1), 2)
        self.assertEqual(budget.available(SETTLE_SECONDS), 4)
        budget.configure(["a", "b"], 4, 4, 20.0)
        self.assertEqual(budget.available(20.0), 2)

    def test_first_configuration_is_in_force_at_once(self):
        """Guards against a cold engine that may not load after its sidecar started."""
        budget = LoadBudget("a", [], 0, 0)
        budget.configure(["a"], 4, 4, 0.0)
        self.assertEqual(budget.available(0.0), 4)

    def test_removed_member_loses_its_permits(self):
        budget = LoadBudget("a", ["a", "b"], 4, 4)
        budget.configure(["b"], 4, 4, 0.0)
        self.assertFalse(budget.start(100.0))
