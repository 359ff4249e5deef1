"""Responses to callers, exactly one for each request."""

import dataclasses

from fighitch.core.effects import (
    AnswerData,
    AnswerEnded,
    AnswerFailed,
    AnswerStarted,
)
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.request_state import RequestState, RequestTable
from fighitch.core.errors import Failure
from fighitch.core.invariants import check
from fighitch.core.messages import Chunk, End
from fighitch.types import Seconds

_STREAM_CONTENT_TYPE = "text/event-stream"
_HTTP_OK = 200


class CallerResponses:
    """Sends verified responses to callers and removes finished requests."""

    def __init__(self, *, requests: RequestTable, outbox: Outbox) -> None:
        self._requests = requests
        self._outbox = outbox

    def send_chunk(self, request: RequestState, chunk: Chunk) -> None:
        """Sends the next chunk of a streamed response."""
        self._check_open(request)
        if not request.is_started:
            request.is_started = True
            if not request.is_abandoned:
                self._outbox.add(
                    AnswerStarted(
                        request.request_id,
                        _HTTP_OK,
                        _STREAM_CONTENT_TYPE,
                        request.model,
                    )
                )
        if not request.is_abandoned:
            self._outbox.add(AnswerData(request.request_id, chunk.data))

    def complete(self, request: RequestState, end: End, now: Seconds) -> None:
        """Completes a request with its verified response."""
        self._mark_answered(request)
        self._outbox.log(
            "request_answered",
            now=now,
            request_id=request.request_id,
            cause="response verified",
            status=end.status,
            rank=request.rank,
            member=request.member,
            attempts=request.attempt,
            run_state=end.run_state.value,
        )
        if not request.is_abandoned:
            self._outbox.add(
                AnswerEnded(
                    request.request_id,
                    end.status,
                    body=b"" if request.is_started else request.assembly.body(),
                    content_type=end.content_type,
                    model=end.model,
                    run_state=end.run_state,
                    backend_server=request.member,
                    attempts=request.attempt,
                    queued=end.queued,
                    stalled=end.stalled,
                    replayed=end.replayed,
                )
            )
        self._requests.remove(request)

    def fail(self, request: RequestState, failure: Failure, now: Seconds) -> None:
        """Fails a request; the reported run state covers all its attempts."""
        self._mark_answered(request)
        failure = dataclasses.replace(
            failure, run_state_override=request.run_state(failure.run_state)
        )
        self._outbox.log(
            "request_failed",
            now=now,
            request_id=request.request_id,
            cause=failure.detail,
            kind=failure.kind.value,
            rank=request.rank,
            member=request.member,
            attempts=request.attempt,
            run_state=failure.run_state.value,
        )
        if not request.is_abandoned:
            self._outbox.add(
                AnswerFailed(request.request_id, failure, was_sent=request.attempt > 0)
            )
        self._requests.remove(request)

    def drop(self, request: RequestState, now: Seconds, *, cause: str) -> None:
        """Removes a request without a response, because its caller disconnected."""
        self._mark_answered(request)
        self._outbox.log(
            "request_dropped", now=now, request_id=request.request_id, cause=cause
        )
        self._requests.remove(request)

    def _mark_answered(self, request: RequestState) -> None:
        self._check_open(request)
        request.is_answered = True

    def _check_open(self, request: RequestState) -> None:
        check(
            not request.is_answered,
            "one_answer_for_a_request",
            request_id=request.request_id,
        )
