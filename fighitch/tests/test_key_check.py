"""Tests of ``fighitch.core.gateway.key_check``."""

import unittest
from dataclasses import dataclass, field

from fighitch.core.gateway.accounts import Account, AccountTable
from fighitch.core.gateway.failures import FAILURE_RESPONSES, FailureKind
from fighitch.core.gateway.key_check import Acceptance, KeyCheck, Rejection

BOUND = 5.0
# An entry that lacks contact for this share of the bound need not serve callers.
RELEASED_SHARE = 0.6
STEP = 0.05
SMALL = Account("small", frozenset(("s1", "s2")), rank=0)
LARGE = Account("large", frozenset(("l1",)))
ACCOUNTS = AccountTable((SMALL, LARGE))
UNAUTHENTICATED = Rejection(FailureKind.UNAUTHENTICATED)
NOT_CURRENT = Rejection(FailureKind.KEYS_NOT_CURRENT)


def in_contact(sent_at: float = 0.0) -> KeyCheck:
    check = KeyCheck(BOUND)
    check.record_contact(sent_at)
    return check


def decide(
    check: KeyCheck,
    key: str | None,
    *,
    accounts: AccountTable | None = ACCOUNTS,
    now: float = 0.0,
    is_current: bool = True,
    allows_anonymous: bool = False,
) -> Acceptance | Rejection:
    return check.check(
        accounts,
        key,
        allows_anonymous=allows_anonymous,
        is_current=is_current,
        now=now,
    )


class KeyTests(unittest.TestCase):
    def test_all_keys_of_an_account_are_accepted(self):
        # Guards against a rotation of keys that breaks the clients with one of the two.
        for key in ("s1", "s2"):
            self.assertEqual(decide(in_contact(), key), Acceptance(SMALL))

    def test_unknown_and_missing_keys_are_unauthenticated(self):
        for key in ("S1", "s", "s1 ", "small", None):
            self.assertEqual(decide(in_contact(), key), UNAUTHENTICATED)
        self.assertEqual(FAILURE_RESPONSES[UNAUTHENTICATED.kind].status, 401)

    def test_key_that_moves_belongs_to_its_new_account(self):
        moved = AccountTable(
            (Account("small", frozenset()), Account("new", SMALL.keys))
        )
        decision = decide(in_contact(), "s1", accounts=moved)
        assert isinstance(decision, Acceptance) and decision.account is not None
        self.assertEqual(decision.account.name, "new")

    def test_copy_that_is_not_current_gives_no_401(self):
        # Guards against 401 for a key that a newer configuration contains.
        for key in ("new", None):
            self.assertEqual(decide(in_contact(), key, is_current=False), NOT_CURRENT)
        self.assertEqual(
            decide(in_contact(), "s1", is_current=False), Acceptance(SMALL)
        )

    def test_without_accounts_no_key_is_needed(self):
        for key in ("s1", None):
            decision = decide(KeyCheck(BOUND), key, accounts=None, is_current=False)
            self.assertEqual(decision, Acceptance(None))

    def test_no_accounts_at_all_accept_no_key(self):
        # Guards against an empty list of accounts that counts as no list.
        empty = AccountTable(())
        self.assertEqual(decide(in_contact(), "s1", accounts=empty), UNAUTHENTICATED)

    def test_anonymous_route_is_served_without_contact_and_with_any_key(self):
        for key in ("s1", "unknown", None):
            decision = decide(
                KeyCheck(BOUND), key, allows_anonymous=True, is_current=False
            )
            self.assertEqual(decision, Acceptance(None))

    def test_known_key_names_its_account_on_an_anonymous_route(self):
        # The server would run the request for another account than that of the key.
        decision = decide(in_contact(), "s1", allows_anonymous=True)
        self.assertEqual(decision, Acceptance(SMALL))
        decision = decide(in_contact(), "unknown", allows_anonymous=True)
        self.assertEqual(decision, Acceptance(None))


class ContactTests(unittest.TestCase):
    """Contact with the store, on which removed keys depend."""

    def test_keys_are_accepted_as_long_as_an_entry_must_serve(self):
        decision = decide(in_contact(), "s1", now=RELEASED_SHARE * BOUND)
        self.assertEqual(decision, Acceptance(SMALL))

    def test_keys_are_refused_before_the_bound_and_after_it(self):
        for now in (BOUND, 100 * BOUND):
            for key in ("s1", "unknown", None):
                self.assertEqual(decide(in_contact(), key, now=now), NOT_CURRENT)
        self.assertEqual(FAILURE_RESPONSES[NOT_CURRENT.kind].status, 503)

    def test_entry_without_any_contact_refuses_keys(self):
        self.assertEqual(decide(KeyCheck(BOUND), "s1"), NOT_CURRENT)

    def test_new_contact_makes_keys_accepted_again(self):
        check = in_contact()
        check.record_contact(2 * BOUND)
        self.assertEqual(decide(check, "s1", now=2 * BOUND), Acceptance(SMALL))

    def test_earlier_contact_does_not_replace_a_later_one(self):
        # A list of several pages counts from its first call.
        check = in_contact(BOUND)
        check.record_contact(0.0)
        self.assertEqual(decide(check, "s1", now=BOUND), Acceptance(SMALL))

    def test_without_a_bound_keys_are_accepted_without_contact(self):
        decision = decide(KeyCheck(None), "s1", now=100.0, is_current=False)
        self.assertEqual(decision, Acceptance(SMALL))

    def test_changed_bound_holds_at_once(self):
        check = KeyCheck(None)
        check.record_contact(0.0)
        check.set_bound(BOUND)
        self.assertEqual(decide(check, "s1", now=BOUND), NOT_CURRENT)


@dataclass
class SimulatedEntry:
    """An entry that watches the store, with a delay of the store in each direction.

    Attributes:
        delay: Time from a call to the store and from the store to the entry.
        failures: Periods in which calls get no response.
    """

    delay: float = 0.1
    failures: tuple[tuple[float, float], ...] = ()
    removed_at: float = float("inf")
    check: KeyCheck = field(default_factory=lambda: KeyCheck(BOUND))
    has_key: bool = True
    _sent_at: float = float("-inf")
    _answer_at: float = 0.0

    def run(self, now: float) -> None:
        """Ends the watch whose response is there, and starts the next."""
        if now < self._answer_at:
            return
        if not self._failed():
            # The least that a response tells: the store when the call was sent.
            self.has_key = self.removed_at > self._sent_at
            self.check.record_contact(self._sent_at)
        self._sent_at = now
        self._answer_at = now + self.check.max_watch + 2 * self.delay

    def accepts(self, now: float) -> bool:
        accounts = ACCOUNTS if self.has_key else AccountTable((LARGE,))
        decision = decide(self.check, "s1", accounts=accounts, now=now)
        return isinstance(decision, Acceptance)

    def _failed(self) -> bool:
        return any(
            begin < self._answer_at and end > self._sent_at
            for begin, end in self.failures
        )


def steps(begin: float, end: float) -> list[float]:
    return [begin + STEP * number for number in range(round((end - begin) / STEP))]


class ReplayTests(unittest.TestCase):
    """Entries that lose contact or stand still while a key is removed."""

    def test_keys_are_never_refused_in_calm(self):
        # Guards against a watch that is too long for the bound.
        for delay in (0.0, 0.1, 0.4):
            entry = SimulatedEntry(delay)
            entry.check.record_contact(0.0)
            for now in steps(0.0, 60.0):
                entry.run(now)
                self.assertTrue(entry.accepts(now), (delay, now))

    def test_one_lost_watch_refuses_no_key(self):
        # The call that follows a lost one may also take as long as a watch.
        entry = SimulatedEntry(0.0, failures=((10.0, 10.1),))
        entry.check.record_contact(0.0)
        for now in steps(0.0, 30.0):
            entry.run(now)
            self.assertTrue(entry.accepts(now), now)

    def test_removed_key_is_not_accepted_after_the_bound(self):
        for removed_at in steps(10.0, 14.0):
            for lost_at in steps(8.0, 14.0)[::10]:
                entry = SimulatedEntry(
                    failures=((lost_at, 40.0),), removed_at=removed_at
                )
                for now in steps(0.0, 60.0):
                    entry.run(now)
                    if now > removed_at + BOUND:
                        self.assertFalse(entry.accepts(now), (lost_at, removed_at))

    def test_removed_key_is_not_accepted_after_a_freeze(self):
        # Requests that wait in sockets are checked first after a freeze, before the
        # store's response to a call from before it.
        for frozen_at in steps(10.0, 13.0):
            for frozen_for in (BOUND, 3 * BOUND):
                entry = SimulatedEntry(removed_at=frozen_at)
                for now in steps(0.0, frozen_at):
                    entry.run(now)
                thawed_at = frozen_at + frozen_for + STEP
                self.assertFalse(entry.accepts(thawed_at))
                entry.run(thawed_at)
                self.assertFalse(entry.accepts(thawed_at))

    def test_contact_that_is_restored_ends_the_refusals(self):
        entry = SimulatedEntry(failures=((10.0, 30.0),))
        for now in steps(0.0, 30.0):
            entry.run(now)
        self.assertFalse(entry.accepts(30.0))
        for now in steps(30.0, 40.0):
            entry.run(now)
        self.assertTrue(entry.accepts(40.0))


if __name__ == "__main__":
    unittest.main()
