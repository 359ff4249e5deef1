"""Answers to callers: exactly one for each request."""

import dataclasses

from fighitch.core.effects import (
    AnswerData,
    AnswerEnded,
    AnswerFailed,
    AnswerStarted,
)
from fighitch.core.entry.attempts import Work, WorkTable
from fighitch.core.entry.outbox import Outbox
from fighitch.core.errors import Failure
from fighitch.core.invariants import check
from fighitch.core.messages import Chunk, End
from fighitch.types import Seconds

_STREAM_CONTENT_TYPE = "text/event-stream"
_OK = 200


class Replies:
    """Passes verified answers on and removes finished requests."""

    def __init__(self, *, works: WorkTable, outbox: Outbox) -> None:
        self._works = works
        self._outbox = outbox

    def data(self, work: Work, chunk: Chunk) -> None:
        """Passes on the next part of a streamed answer."""
        self._check_open(work)
        if not work.is_started:
            work.is_started = True
            if not work.is_abandoned:
                self._outbox.add(
                    AnswerStarted(
                        work.request_id, _OK, _STREAM_CONTENT_TYPE, work.model
                    )
                )
        if not work.is_abandoned:
            self._outbox.add(AnswerData(work.request_id, chunk.data))

    def end(self, work: Work, end: End, now: Seconds) -> None:
        """Ends a whole, verified answer."""
        self._close(work)
        self._outbox.log(
            "request_answered",
            now=now,
            request_id=work.request_id,
            cause="whole answer verified",
            status=end.status,
            rank=work.rank,
            member=work.member,
            attempts=work.attempt,
            run_state=end.run_state.value,
        )
        if not work.is_abandoned:
            self._outbox.add(
                AnswerEnded(
                    work.request_id,
                    end.status,
                    body=b"" if work.is_started else work.assembly.body(),
                    content_type=end.content_type,
                    model=end.model,
                    run_state=end.run_state,
                    backend_server=work.member,
                    attempts=work.attempt,
                    queued=end.queued,
                    stalled=end.stalled,
                    replayed=end.replayed,
                )
            )
        self._works.remove(work)

    def fail(self, work: Work, failure: Failure, now: Seconds) -> None:
        """Ends a request with an error; the run state covers all its attempts."""
        self._close(work)
        failure = dataclasses.replace(
            failure, run_state_override=work.run_state(failure.run_state)
        )
        self._outbox.log(
            "request_failed",
            now=now,
            request_id=work.request_id,
            cause=failure.detail,
            kind=failure.kind.value,
            rank=work.rank,
            member=work.member,
            attempts=work.attempt,
            run_state=failure.run_state.value,
        )
        if not work.is_abandoned:
            self._outbox.add(
                AnswerFailed(work.request_id, failure, was_sent=work.attempt > 0)
            )
        self._works.remove(work)

    def drop(self, work: Work, now: Seconds, *, cause: str) -> None:
        """Ends a request that nobody waits for."""
        self._close(work)
        self._outbox.log(
            "request_dropped", now=now, request_id=work.request_id, cause=cause
        )
        self._works.remove(work)

    def _close(self, work: Work) -> None:
        self._check_open(work)
        work.is_answered = True

    def _check_open(self, work: Work) -> None:
        check(
            not work.is_answered,
            "one_answer_for_a_request",
            request_id=work.request_id,
        )
