"""Tests of ``fighitch.core.entry.responses``."""

import dataclasses
import unittest

from fighitch.core.effects import AnswerData, AnswerEnded, AnswerFailed, AnswerStarted
from fighitch.core.errors import ErrorKind, RunState
from fighitch.core.inputs import ConnectionClosed
from fighitch.core.messages import Cancel, Refused, Resume, Submit
from fighitch.tests.entry_helpers import EntryDriver, build_response


class SubmittedRequestDriver(EntryDriver):
    """Driver with one request to an adapter that was sent to a sidecar."""

    def __init__(self, **fields):
        super().__init__()
        self.send_request(**fields)
        [(self.name, self.submit)] = self.sent(Submit)

    def receive_all(self, *messages, name=None):
        for message in messages:
            self.receive(name or self.name, message)


class CompleteResponseTests(unittest.TestCase):
    def test_nothing_is_sent_to_the_caller_before_the_end_is_verified(self):
        """Guards against partial responses."""
        driver = SubmittedRequestDriver()
        *chunks, end = build_response(driver.submit, b"a", b"b")
        driver.receive_all(*chunks)
        self.assertEqual(
            driver.effects_of(AnswerData) + driver.effects_of(AnswerStarted), []
        )
        driver.receive_all(end)
        self.assertEqual((driver.answer.body, driver.answer.model), (b"ab", "ad@2"))

    def test_corrupted_response_is_retried_on_another_server(self):
        driver = SubmittedRequestDriver()
        chunk, end = build_response(driver.submit, b"a")
        driver.receive_all(chunk, dataclasses.replace(end, digest=1))
        self.assertEqual(driver.effects_of(AnswerEnded), [])
        (first, _), (second, submit) = driver.sent(Submit)
        self.assertNotEqual(first, second)
        self.assertEqual(submit.attempt, 2)
        self.assertEqual(len(driver.sent(Cancel)), 1)

    def test_response_of_another_adapter_version_is_not_sent_to_the_caller(self):
        """Guards against an engine that ran another version than requested."""
        driver = SubmittedRequestDriver()
        driver.receive_all(*build_response(driver.submit, b"a", model="ad@1"))
        self.assertEqual(driver.effects_of(AnswerEnded), [])
        self.assertEqual(len(driver.sent(Submit)), 2)


class MisdirectedResponseTests(unittest.TestCase):
    def test_late_duplicate_and_misdirected_responses_are_dropped_and_logged(self):
        """Guards against a second response, or one to another request."""
        driver = SubmittedRequestDriver()
        answer = build_response(driver.submit, b"a")
        other = next(name for name in ("e0", "e1", "e2") if name != driver.name)
        driver.receive_all(*answer, name=other)
        driver.receive_all(*build_response(driver.submit, b"a", attempt=2))
        self.assertEqual(driver.effects_of(AnswerEnded), [])
        driver.receive_all(*answer)
        driver.receive_all(*answer)
        self.assertEqual(len(driver.effects_of(AnswerEnded)), 1)
        causes = [fields["cause"] for fields in driver.logged("answer_dropped")]
        self.assertEqual(
            causes,
            ["another connection"] * 2
            + ["another attempt"] * 2
            + ["unknown or answered request"] * 2,
        )


class StreamTests(unittest.TestCase):
    def test_missing_chunks_are_requested_once_and_delivered_in_order(self):
        """Guards against a stream with missing chunks."""
        driver = SubmittedRequestDriver(streamed=True)
        a, b, c, end = build_response(driver.submit, b"a", b"b", b"c")
        driver.receive_all(a, c, end)
        self.assertEqual([m for _, m in driver.sent(Resume)], [Resume("r1", 1, 1)])
        driver.receive_all(b, c, b, end)
        data = [effect.data for effect in driver.effects_of(AnswerData)]
        self.assertEqual(data, [b"a", b"b", b"c"])
        self.assertEqual(len(driver.effects_of(AnswerStarted)), 1)
        self.assertEqual(driver.answer.body, b"")

    def test_error_of_the_engine_is_sent_complete_and_not_as_a_stream(self):
        """Guards against an error response that is sent as a stream with status 200."""
        driver = SubmittedRequestDriver(streamed=True)
        driver.receive_all(
            *build_response(driver.submit, b"no", b"pe", model="", status=400)
        )
        self.assertEqual(driver.effects_of(AnswerStarted), [])
        self.assertEqual((driver.answer.status, driver.answer.body), (400, b"nope"))

    def test_error_of_the_call_that_continues_a_stream_is_not_sent(self):
        """Guards against an error's text in the middle of a stream."""
        driver = SubmittedRequestDriver(streamed=True)
        chunk, error, end = build_response(driver.submit, b"data: a\n\n", b"no")
        driver.receive_all(
            chunk,
            dataclasses.replace(error, status=500),
            dataclasses.replace(end, status=500, model=""),
        )
        data = [effect.data for effect in driver.effects_of(AnswerData)]
        self.assertEqual(data, [b"data: a\n\n"])
        self.assertEqual(driver.effects_of(AnswerEnded), [])
        self.assertEqual(len(driver.sent(Submit)), 1)
        self.assertIs(driver.failure.run_state, RunState.RAN)

    def test_started_stream_with_a_wrong_digest_fails(self):
        driver = SubmittedRequestDriver(streamed=True)
        chunk, end = build_response(driver.submit, b"a")
        driver.receive_all(chunk, dataclasses.replace(end, digest=1))
        self.assertEqual(driver.effects_of(AnswerEnded), [])
        self.assertIs(driver.failure.kind, ErrorKind.INCOMPLETE_ANSWER)
        self.assertIs(driver.failure.run_state, RunState.RAN)


class RefusalTests(unittest.TestCase):
    def refuse(self, driver, kind, run_state=RunState.NOT_RUN, retry_after=0):
        name, submit = driver.sent(Submit)[-1]
        driver.receive(
            name, Refused("r1", submit.attempt, kind, run_state, "", retry_after)
        )

    def test_overloaded_sidecar_is_avoided_by_the_retry_and_the_next_request(self):
        driver = SubmittedRequestDriver()
        self.refuse(driver, ErrorKind.OVERLOADED, retry_after=2_000)
        driver.send_request("r2")
        names = [name for name, _ in driver.sent(Submit)]
        self.assertEqual(len(names), 3)
        self.assertNotIn(driver.name, names[1:])

    def test_draining_sidecar_gets_no_further_requests(self):
        driver = SubmittedRequestDriver()
        self.refuse(driver, ErrorKind.DRAINING)
        driver.send_request("r2")
        self.assertNotIn(driver.name, [name for name, _ in driver.sent(Submit)[1:]])

    def test_refusal_that_cannot_be_retried_is_reported_as_not_run(self):
        driver = SubmittedRequestDriver()
        self.refuse(driver, ErrorKind.DEADLINE_EXCEEDED)
        self.assertIs(driver.failure.run_state, RunState.NOT_RUN)
        self.assertEqual(len(driver.sent(Submit)), 1)

    def test_run_state_covers_earlier_attempts(self):
        """Guards against "not run" when an earlier attempt may have run."""
        driver = SubmittedRequestDriver()
        self.refuse(driver, ErrorKind.BACKEND_FAILED, RunState.UNKNOWN)
        self.refuse(driver, ErrorKind.DEADLINE_EXCEEDED)
        self.assertIs(driver.failure.run_state, RunState.UNKNOWN)

    def test_refused_resume_does_not_prove_that_nothing_ran(self):
        """Guards against "not run" while the sidecar may still read the request.

        The request may wait unread on the old connection.
        """
        driver = SubmittedRequestDriver()
        driver.handle(ConnectionClosed(driver.connection(driver.name)))
        driver.open(f"{driver.name}:1")
        self.refuse(driver, ErrorKind.DEADLINE_EXCEEDED)
        self.assertIs(driver.failure.run_state, RunState.UNKNOWN)

    def test_retries_stay_within_the_budget(self):
        """Guards against retry storms."""
        driver = SubmittedRequestDriver()
        for number in range(2, 12):
            driver.send_request(f"r{number}")
        for name, submit in driver.sent(Submit):
            kind = ErrorKind.BACKEND_FAILED
            refused = Refused(submit.request_id, 1, kind, RunState.UNKNOWN, "")
            driver.receive(name, refused)
        retried = [submit for _, submit in driver.sent(Submit) if submit.attempt > 1]
        self.assertEqual(len(retried), 2)
        self.assertEqual(len(driver.effects_of(AnswerFailed)), 9)
