"""Tests of ``fighitch.core.gateway.limit_shares``."""

import random
import unittest

from fighitch.core.gateway.limit_shares import LimitShares
from fighitch.core.gateway.model import Incarnation
from fighitch.tests.test_request_pacer import most_in_window

SERVER = Incarnation("s1", 1)


class LimitSharesTests(unittest.TestCase):
    def most_sent(self, *, entries: int, rate: float, seed: int) -> int:
        """Returns the most requests in 4 s that entries send on constant demand."""
        rng = random.Random(seed)
        times = []
        for _ in range(entries):
            shares = LimitShares()
            shares.set_rate(SERVER, rate, entries=entries, now=0.0, phase=rng.random())
            now = 0.0
            while now < 60.0:
                if not shares.delay(SERVER, now):
                    shares.take(SERVER, now)
                    times.append(now)
                now += rng.expovariate(20.0)
        return most_in_window(sorted(times))

    def test_entries_together_keep_the_limit(self):
        for entries in (1, 4, 27, 200):
            for rate in (0.5, 2.0, 8.0, 40.0):
                most = self.most_sent(entries=entries, rate=rate, seed=entries)
                with self.subTest(entries=entries, rate=rate):
                    self.assertLessEqual(most, 1.5 * rate * 4 + 5)

    def test_entry_that_leaves_frees_its_share(self):
        shares = LimitShares()
        shares.set_rate(SERVER, 1.0, entries=8, now=0.0, phase=0.0)
        shares.take(SERVER, 0.0)
        shares.set_entries(4, 0.0)
        self.assertAlmostEqual(shares.delay(SERVER, 0.0), 4.0)

    def test_server_without_limit_is_not_delayed(self):
        shares = LimitShares()
        self.assertEqual(shares.take(SERVER, 0.0), 0.0)
        shares.set_rate(SERVER, 1.0, entries=4, now=0.0, phase=1.0)
        self.assertGreater(shares.delay(SERVER, 0.0), 0.0)
        shares.set_rate(SERVER, None, entries=4, now=0.0, phase=0.0)
        self.assertEqual(shares.delay(SERVER, 0.0), 0.0)
        self.assertFalse(shares.is_active)


if __name__ == "__main__":
    unittest.main()
