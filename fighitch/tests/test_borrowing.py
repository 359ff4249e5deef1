"""Tests of ``fighitch.core.sidecar.borrowing``."""

import unittest

from fighitch.core.sidecar.borrowing import MAX_LENDERS, choose_lenders
from fighitch.core.sidecar.load_budget import compute_share

MEMBERS = [f"s{index}" for index in range(40)]


class LenderTests(unittest.TestCase):
    def test_lenders_own_permits_and_their_number_is_limited(self):
        """Guards against requests to members that own no permits."""
        found = choose_lenders("s0", MEMBERS, 7, 16)
        self.assertLessEqual(len(found), MAX_LENDERS)
        self.assertNotIn("s0", found)
        for name in found:
            self.assertGreater(compute_share(name, MEMBERS, 7, 16).starts, 0)

    def test_borrowers_spread_over_the_lenders(self):
        """Guards against overloading one lender with the requests of all members."""
        first = {choose_lenders(name, MEMBERS, 40, 40)[0] for name in MEMBERS}
        self.assertGreater(len(first), len(MEMBERS) // 3)
