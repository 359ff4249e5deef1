"""Tests of ``fighitch.core.sidecar.ledger``."""

import unittest

from hypothesis import seed, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.invariants import InvariantViolation
from fighitch.core.sidecar.ledger import (
    MAX_EPOCH_AGE,
    RECORD_BYTES,
    Accepted,
    Joined,
    OrderLedger,
    OrderState,
    Outcome,
    Replayed,
)
from fighitch.core.tickets import Ticket
from fighitch.tests.sidecar_helpers import STATEFUL


def ticket(nonce="n", *, epoch=0, incarnation=7):
    return Ticket("c", "s1", incarnation, epoch, nonce)


def ledger(*, records=100, outcome=10):
    room = records * (RECORD_BYTES + outcome)
    return OrderLedger("s1", 7, max_bytes=room, max_outcome_bytes=outcome)


def run(book, one, body=b"done", number=1):
    verdict = book.submit(one, body_digest="d", number=number)
    book.dispatched(one)
    book.finish(one, Outcome(200, body))
    return verdict


class RepeatTests(unittest.TestCase):
    def test_key_with_another_body_is_refused(self):
        """Guards against an answer that belongs to another order."""
        book = ledger()
        run(book, ticket())
        verdict = book.submit(ticket(), body_digest="other", number=2)
        self.assertEqual(verdict.kind, ErrorKind.KEY_REUSED)

    def test_answer_too_long_to_keep_is_never_given_in_part(self):
        """Guards against a fragment of an answer and against a second run."""
        book = ledger(outcome=10)
        run(book, ticket(), body=b"x" * 11)
        verdict = book.submit(ticket(), body_digest="d", number=2)
        self.assertEqual(verdict.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(verdict.run_state, RunState.RAN)


class EpochTests(unittest.TestCase):
    def test_dropped_record_does_not_permit_a_second_run(self):
        """Guards against a repeat after the record was dropped."""
        book = ledger()
        run(book, ticket())
        for _ in range(MAX_EPOCH_AGE):
            book.advance_epoch()
        again = book.submit(ticket(), body_digest="d", number=2)
        self.assertIsInstance(again, Replayed)
        book.advance_epoch()
        self.assertEqual((len(book), book.used_bytes), (0, 0))
        expired = book.submit(ticket(), body_digest="d", number=3)
        self.assertEqual(expired.kind, ErrorKind.KEY_EXPIRED)
        self.assertEqual(expired.run_state, RunState.UNKNOWN)

    def test_full_memory_refuses_new_orders_and_keeps_old_records(self):
        """Guards against a record that is dropped early to make room."""
        book = ledger(records=2, outcome=10)
        for number in range(2):
            book.submit(ticket(f"n{number}"), body_digest="d", number=number)
        refused = book.submit(ticket("new"), body_digest="d", number=9)
        self.assertEqual(refused.kind, ErrorKind.OVERLOADED)
        self.assertEqual(refused.run_state, RunState.NOT_RUN)
        self.assertEqual(
            book.submit(ticket("n0"), body_digest="d", number=9), Joined(0)
        )


class InvariantTests(unittest.TestCase):
    def test_second_dispatch_is_noticed(self):
        """Guards against a check that cannot fail."""
        book = ledger()
        book.submit(ticket(), body_digest="d", number=1)
        book.dispatched(ticket())
        with self.assertRaisesRegex(InvariantViolation, "at_most_one_dispatch"):
            book.dispatched(ticket())
        with self.assertRaisesRegex(InvariantViolation, "only_unsent_orders"):
            book.not_run(ticket())


@seed(20261204)
class LedgerMachine(RuleBasedStateMachine):
    """Repeated, late and crossed attempts; epochs that pass; lost calls."""

    def __init__(self):
        super().__init__()
        self.book = ledger(records=4, outcome=10)
        self.runs = {}
        self.numbers = {}

    tickets = st.builds(
        ticket,
        st.sampled_from("abcdefgh"),
        epoch=st.integers(0, 2),
        incarnation=st.sampled_from([7, 7, 7, 8]),
    )

    @rule(one=tickets, number=st.integers(1, 99), digest=st.sampled_from("ddde"))
    def submit(self, one, number, digest):
        verdict = self.book.submit(one, body_digest=digest, number=number)
        if isinstance(verdict, Accepted):
            assert not self.runs.get(one), "an order that was sent is new again"
            self.numbers[one] = number
        elif isinstance(verdict, Joined):
            assert verdict.number == self.numbers[one]
        elif isinstance(verdict, Replayed):
            assert verdict.outcome.body == one.nonce.encode()
        elif isinstance(verdict, Failure) and self.runs.get(one):
            told_not_run = verdict.run_state is RunState.NOT_RUN
            assert not told_not_run or verdict.kind is ErrorKind.KEY_REUSED

    @rule(one=tickets)
    def dispatch(self, one):
        if self.book.state(one) is OrderState.ACCEPTED:
            self.book.dispatched(one)
            self.runs[one] = self.runs.get(one, 0) + 1
            assert self.runs[one] == 1

    @rule(one=tickets)
    def not_sent(self, one):
        if self.book.state(one) is OrderState.DISPATCHED:
            self.book.not_sent(one)
            self.runs[one] -= 1

    @rule(one=tickets)
    def not_run(self, one):
        if self.book.state(one) is OrderState.ACCEPTED:
            self.book.not_run(one)

    @rule(one=tickets, is_whole=st.booleans())
    def finish(self, one, is_whole):
        body = one.nonce.encode()
        self.book.finish(one, Outcome(200, body) if is_whole else None)

    @rule(one=tickets)
    def lose(self, one):
        self.book.lose(one)

    @rule()
    def advance_epoch(self):
        self.book.advance_epoch()

    def teardown(self):
        assert 0 <= self.book.used_bytes <= 4 * (RECORD_BYTES + 10)


LedgerStatefulTests = LedgerMachine.TestCase
LedgerStatefulTests.settings = STATEFUL
