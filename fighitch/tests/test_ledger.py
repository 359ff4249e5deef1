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


def make_ticket(nonce="n", *, epoch=0, incarnation=7):
    return Ticket("c", "s1", incarnation, epoch, nonce)


def make_ledger(*, records=100, outcome=10):
    max_bytes = records * (RECORD_BYTES + outcome)
    return OrderLedger("s1", 7, max_bytes=max_bytes, max_outcome_bytes=outcome)


def execute_order(ledger, ticket, body=b"done", number=1):
    result = ledger.submit(ticket, body_digest="d", number=number)
    ledger.dispatched(ticket)
    ledger.finish(ticket, Outcome(200, body))
    return result


class RepeatTests(unittest.TestCase):
    def test_key_with_another_body_is_refused(self):
        """Guards against returning the response of another order."""
        ledger = make_ledger()
        execute_order(ledger, make_ticket())
        result = ledger.submit(make_ticket(), body_digest="other", number=2)
        self.assertEqual(result.kind, ErrorKind.KEY_REUSED)

    def test_response_too_large_to_store_is_never_returned_in_part(self):
        """Guards against a truncated response and against a second execution."""
        ledger = make_ledger(outcome=10)
        execute_order(ledger, make_ticket(), body=b"x" * 11)
        result = ledger.submit(make_ticket(), body_digest="d", number=2)
        self.assertEqual(result.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(result.run_state, RunState.RAN)


class EpochTests(unittest.TestCase):
    def test_evicted_record_does_not_permit_a_second_run(self):
        """Guards against executing an order again after its record was evicted."""
        ledger = make_ledger()
        execute_order(ledger, make_ticket())
        for _ in range(MAX_EPOCH_AGE):
            ledger.advance_epoch()
        again = ledger.submit(make_ticket(), body_digest="d", number=2)
        self.assertIsInstance(again, Replayed)
        ledger.advance_epoch()
        self.assertEqual((len(ledger), ledger.used_bytes), (0, 0))
        expired = ledger.submit(make_ticket(), body_digest="d", number=3)
        self.assertEqual(expired.kind, ErrorKind.KEY_EXPIRED)
        self.assertEqual(expired.run_state, RunState.UNKNOWN)

    def test_full_memory_rejects_new_orders_and_keeps_old_records(self):
        """Guards against a record that is evicted early to free memory."""
        ledger = make_ledger(records=2, outcome=10)
        for number in range(2):
            ledger.submit(make_ticket(f"n{number}"), body_digest="d", number=number)
        refused = ledger.submit(make_ticket("new"), body_digest="d", number=9)
        self.assertEqual(refused.kind, ErrorKind.OVERLOADED)
        self.assertEqual(refused.run_state, RunState.NOT_RUN)
        self.assertEqual(
            ledger.submit(make_ticket("n0"), body_digest="d", number=9), Joined(0)
        )


class InvariantTests(unittest.TestCase):
    def test_second_dispatch_is_detected(self):
        """Guards against invariant checks that can never fail."""
        ledger = make_ledger()
        ledger.submit(make_ticket(), body_digest="d", number=1)
        ledger.dispatched(make_ticket())
        with self.assertRaisesRegex(InvariantViolation, "at_most_one_dispatch"):
            ledger.dispatched(make_ticket())
        with self.assertRaisesRegex(InvariantViolation, "only_unsent_orders"):
            ledger.discard_not_run(make_ticket())


@seed(20261204)
class LedgerMachine(RuleBasedStateMachine):
    """Repeated, late and interleaved attempts, passing epochs and lost calls."""

    def __init__(self):
        super().__init__()
        self.ledger = make_ledger(records=4, outcome=10)
        self.runs = {}
        self.numbers = {}

    tickets = st.builds(
        make_ticket,
        st.sampled_from("abcdefgh"),
        epoch=st.integers(0, 2),
        incarnation=st.sampled_from([7, 7, 7, 8]),
    )

    @rule(ticket=tickets, number=st.integers(1, 99), digest=st.sampled_from("ddde"))
    def submit(self, ticket, number, digest):
        result = self.ledger.submit(ticket, body_digest=digest, number=number)
        if isinstance(result, Accepted):
            assert not self.runs.get(ticket), "an order that was sent is accepted again"
            self.numbers[ticket] = number
        elif isinstance(result, Joined):
            assert result.number == self.numbers[ticket]
        elif isinstance(result, Replayed):
            assert result.outcome.body == ticket.nonce.encode()
        elif isinstance(result, Failure) and self.runs.get(ticket):
            is_not_run = result.run_state is RunState.NOT_RUN
            assert not is_not_run or result.kind is ErrorKind.KEY_REUSED

    @rule(ticket=tickets)
    def dispatch(self, ticket):
        if self.ledger.state(ticket) is OrderState.ACCEPTED:
            self.ledger.dispatched(ticket)
            self.runs[ticket] = self.runs.get(ticket, 0) + 1
            assert self.runs[ticket] == 1

    @rule(ticket=tickets)
    def mark_not_sent(self, ticket):
        if self.ledger.state(ticket) is OrderState.DISPATCHED:
            self.ledger.mark_not_sent(ticket)
            self.runs[ticket] -= 1

    @rule(ticket=tickets)
    def discard_not_run(self, ticket):
        if self.ledger.state(ticket) is OrderState.ACCEPTED:
            self.ledger.discard_not_run(ticket)

    @rule(ticket=tickets, is_whole=st.booleans())
    def finish(self, ticket, is_whole):
        body = ticket.nonce.encode()
        self.ledger.finish(ticket, Outcome(200, body) if is_whole else None)

    @rule(ticket=tickets)
    def lose(self, ticket):
        self.ledger.mark_unknown(ticket)

    @rule()
    def advance_epoch(self):
        self.ledger.advance_epoch()

    def teardown(self):
        assert 0 <= self.ledger.used_bytes <= 4 * (RECORD_BYTES + 10)


LedgerStatefulTests = LedgerMachine.TestCase
LedgerStatefulTests.settings = STATEFUL
