"""Tests of ``fighitch.core.entry.orders``."""

import unittest

from fighitch.core.effects import (
    AnswerEnded,
    AnswerFailed,
    CreateClaim,
    ReadClaim,
    TicketIssued,
)
from fighitch.core.entry.orders import claim_name
from fighitch.core.errors import ErrorKind, RunState
from fighitch.core.inputs import (
    CallerGone,
    ClaimAnswered,
    ClaimStatus,
    ConnectionClosed,
    TicketRequested,
)
from fighitch.core.messages import Cancel, Refused, Resume, Submit
from fighitch.tests.entry_helpers import (
    INCARNATION,
    KEY_DIGEST,
    SIGNER,
    EntryDriver,
    build_response,
    sign_ticket,
)


class OrderDriver(EntryDriver):
    def answer_claim(self, status, text="", request_id="r1"):
        name = claim_name("caller", "mine")
        return self.handle(ClaimAnswered(request_id, name, status, text))

    def close_connection(self, name="s0"):
        self.handle(ConnectionClosed(self.connection(name)))


class IssuedKeyTests(unittest.TestCase):
    def test_issued_ticket_names_a_connected_sidecar_in_the_own_zone(self):
        driver = OrderDriver()
        driver.handle(TicketRequested("t1", KEY_DIGEST, service="desk"))
        issued = SIGNER.verify(driver.effects_of(TicketIssued)[0].ticket).ok
        self.assertEqual((issued.caller, issued.instance), ("caller", "s0"))
        self.assertEqual((issued.incarnation, issued.epoch), (INCARNATION, 3))

    def test_ticket_request_times_out_without_a_heartbeat(self):
        """Guards against a ticket without the epoch that a heartbeat states."""
        driver = OrderDriver(connect=False)
        driver.handle(TicketRequested("t1", KEY_DIGEST, service="desk"))
        driver.open("s0:1", heartbeat=False)
        driver.tick()
        self.assertEqual(driver.effects_of(TicketIssued), [])
        driver.tick(2.0)
        self.assertIs(driver.failure.kind, ErrorKind.NO_BACKEND_SERVER)
        self.assertIs(driver.failure.run_state, RunState.NOT_RUN)

    def test_order_is_sent_to_the_sidecar_of_its_ticket(self):
        driver = OrderDriver()
        driver.send_order(key=sign_ticket("s1"))
        [(name, submit)] = driver.sent(Submit)
        self.assertEqual((name, submit.idempotent), ("s1", False))
        for message in build_response(submit, b"done"):
            driver.receive("s1", message)
        self.assertEqual(driver.answer.body, b"done")

    def test_invalid_keys_are_rejected_before_dispatch(self):
        for key, kind in (
            ("", ErrorKind.KEY_REQUIRED),
            (sign_ticket(caller="other"), ErrorKind.FORBIDDEN),
            (sign_ticket()[:-1] + "!", ErrorKind.BAD_REQUEST),
            (sign_ticket("e0"), ErrorKind.KEY_REUSED),
        ):
            driver = OrderDriver()
            driver.send_order(key=key)
            self.assertIs(driver.failure.kind, kind)
            self.assertEqual(driver.sent(Submit), [])

    def test_order_of_an_ended_incarnation_has_unknown_run_state(self):
        """Guards against a second run after a sidecar lost its ledger."""
        driver = OrderDriver()
        for key in (sign_ticket(incarnation=99), sign_ticket("removed")):
            driver.send_order(key=key)
            self.assertIs(driver.failure.kind, ErrorKind.KEY_EXPIRED)
            self.assertIs(driver.failure.run_state, RunState.UNKNOWN)
        self.assertEqual(driver.sent(Submit), [])


class ResendTests(unittest.TestCase):
    def test_order_is_resent_to_the_same_incarnation(self):
        driver = OrderDriver()
        driver.send_order(key=sign_ticket())
        driver.close_connection()
        driver.open("s0:1")
        names, submits = zip(*driver.sent(Submit), strict=True)
        self.assertEqual(names, ("s0", "s0"))
        self.assertEqual([s.attempt for s in submits], [1, 2])
        self.assertEqual(submits[0].ticket, submits[1].ticket)
        self.assertEqual(submits[0].body_digest, submits[1].body_digest)

    def test_refusal_of_the_resent_order_does_not_prove_that_it_did_not_run(self):
        """Guards against "not run" if the sidecar reads the first message later."""
        driver = OrderDriver()
        driver.send_order(key=sign_ticket())
        driver.close_connection()
        driver.open("s0:1")
        refused = Refused("r1", 2, ErrorKind.OVERLOADED, RunState.NOT_RUN, "full")
        driver.receive("s0", refused)
        self.assertIs(driver.failure.run_state, RunState.UNKNOWN)

    def test_restarted_sidecar_does_not_get_the_order(self):
        driver = OrderDriver()
        driver.send_order(key=sign_ticket())
        driver.close_connection()
        driver.open("s0:1", incarnation=INCARNATION + 1)
        self.assertEqual(len(driver.sent(Submit)), 1)
        self.assertIs(driver.failure.kind, ErrorKind.OUTCOME_UNKNOWN)

    def test_connection_is_retried_until_the_deadline(self):
        driver = OrderDriver()
        driver.send_order(key=sign_ticket(), timeout=3.0)
        driver.close_connection()
        driver.tick(2.9)
        self.assertEqual(driver.effects_of(AnswerFailed), [])
        driver.tick(0.3)
        self.assertIs(driver.failure.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertIs(driver.failure.run_state, RunState.UNKNOWN)

    def test_started_stream_is_resumed(self):
        driver = OrderDriver()
        driver.send_order(key=sign_ticket(), streamed=True)
        [(_, submit)] = driver.sent(Submit)
        first, second, end = build_response(submit, b"a", b"b")
        driver.receive("s0", first)
        driver.close_connection()
        driver.open("s0:1")
        self.assertEqual(driver.sent(Resume), [("s0", Resume("r1", 1, 1))])
        driver.receive("s0", second)
        driver.receive("s0", end)
        self.assertEqual(len(driver.effects_of(AnswerEnded)), 1)

    def test_sent_order_is_not_cancelled_if_its_caller_disconnects(self):
        """Guards against cancelling an action that has partly run."""
        driver = OrderDriver()
        driver.send_order(key=sign_ticket())
        driver.handle(CallerGone("r1"))
        self.assertEqual(driver.sent(Cancel), [])
        for message in build_response(driver.sent(Submit)[0][1], b"done"):
            driver.receive("s0", message)
        self.assertEqual(driver.effects_of(AnswerEnded), [])
        self.assertEqual(driver.core.status(now=driver.now).in_flight, ())


class ChosenKeyTests(unittest.TestCase):
    def setUp(self):
        self.driver = OrderDriver()
        self.driver.send_order(key="mine")
        [self.claim] = self.driver.effects_of(CreateClaim)

    def test_nothing_is_sent_before_the_claim_is_created(self):
        """Guards against two entries that both run the order of one key."""
        self.assertEqual(self.driver.sent(Submit), [])
        self.driver.answer_claim(ClaimStatus.CREATED)
        [(_, submit)] = self.driver.sent(Submit)
        self.assertEqual(submit.ticket, self.claim.ticket)

    def test_order_is_sent_to_the_sidecar_of_an_existing_claim(self):
        self.driver.answer_claim(ClaimStatus.EXISTS, sign_ticket("s1"))
        [(name, submit)] = self.driver.sent(Submit)
        self.assertEqual((name, submit.ticket), ("s1", sign_ticket("s1")))

    def test_invalid_stored_ticket_has_unknown_run_state(self):
        """Guards against "not run" for an order that ran before a key rotation."""
        self.driver.answer_claim(ClaimStatus.EXISTS, "fk1.gone.payload.mac")
        self.assertIs(self.driver.failure.run_state, RunState.UNKNOWN)

    def test_claim_is_read_after_a_lost_response(self):
        self.driver.answer_claim(ClaimStatus.ANSWER_LOST)
        self.assertEqual(len(self.driver.effects_of(ReadClaim)), 1)
        self.driver.answer_claim(ClaimStatus.NOT_FOUND)
        first, second = self.driver.effects_of(CreateClaim)
        self.assertEqual(first, second)
        self.driver.answer_claim(ClaimStatus.EXISTS, first.ticket)
        self.assertEqual(len(self.driver.sent(Submit)), 1)

    def test_duplicate_claim_response_does_not_dispatch_again(self):
        for _ in range(2):
            self.driver.answer_claim(ClaimStatus.CREATED)
        self.assertEqual(len(self.driver.sent(Submit)), 1)

    def test_unavailable_object_api_fails_the_order_before_dispatch(self):
        """Guards against "not run" for a key that ran through another entry."""
        self.driver.answer_claim(ClaimStatus.UNAVAILABLE)
        self.check_unavailable()

    def test_refused_order_with_a_new_key_was_not_run(self):
        self.driver.answer_claim(ClaimStatus.CREATED)
        name, submit = self.driver.sent(Submit)[0]
        refused = Refused(
            submit.request_id,
            submit.attempt,
            ErrorKind.OVERLOADED,
            RunState.NOT_RUN,
            "full",
        )
        self.driver.receive(name, refused)
        self.assertIs(self.driver.failure.run_state, RunState.NOT_RUN)

    def test_lost_claim_responses_are_limited(self):
        for _ in range(4):
            self.driver.answer_claim(ClaimStatus.ANSWER_LOST)
        self.check_unavailable()

    def check_unavailable(self):
        failure = self.driver.failure
        self.assertIs(failure.kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.assertIs(failure.run_state, RunState.UNKNOWN)
        self.assertIn("/v1/idempotency-keys", failure.detail)
        self.assertGreater(failure.retry_after, 0)
        self.assertEqual(self.driver.sent(Submit), [])


class ClaimNameTests(unittest.TestCase):
    def test_callers_do_not_share_claim_names(self):
        """Guards against a caller that gets the outcome of another caller's order."""
        self.assertNotEqual(claim_name("ab", "c"), claim_name("a", "bc"))
