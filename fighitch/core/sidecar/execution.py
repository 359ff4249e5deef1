"""Executes admitted requests on the backend server.

A request is queued and dispatched as a call to the backend server. A call that is
interrupted is continued by another call. Every call has a number, and events of calls
that have ended are ignored.
"""

import random
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from fighitch.core.effects import CancelBackend
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.inputs import (
    BackendData,
    BackendEnded,
    BackendFailed,
    BackendStarted,
)
from fighitch.core.invariants import check
from fighitch.core.messages import AdapterVersion
from fighitch.core.sidecar.admission import AdmissionQueue
from fighitch.core.sidecar.calls import Request, RequestTable
from fighitch.core.sidecar.engine_state import EngineState
from fighitch.core.sidecar.ledger import OrderLedger, Outcome
from fighitch.core.sidecar.outbox import Outbox
from fighitch.core.sidecar.rank_queue import WorkItem
from fighitch.core.sidecar.responses import ResponseSender
from fighitch.core.sidecar.settings import SidecarSettings
from fighitch.core.sidecar.streams import ResponseInfo, ResponseStream
from fighitch.types import Seconds

_NOT_FOUND = 404
_FIRST_ERROR_STATUS = 400


class RequestExecutor:
    """Dispatches requests and handles the events of their calls."""

    def __init__(
        self,
        *,
        queue: AdmissionQueue,
        engine: EngineState,
        ledger: OrderLedger,
        responses: ResponseSender,
        outbox: Outbox,
        settings: SidecarSettings,
        rng: random.Random,
    ) -> None:
        self._queue = queue
        self._engine = engine
        self._ledger = ledger
        self._responses = responses
        self._outbox = outbox
        self._settings = settings
        self._rng = rng
        self._requests = RequestTable()
        self._ready_since: dict[AdapterVersion, Seconds] = {}
        self._late_events = 0
        self._interrupted_at: Seconds = float("-inf")

    @property
    def requests(self) -> RequestTable:
        """Requests in flight."""
        return self._requests

    @property
    def late_events(self) -> int:
        """Number of events of calls that had already ended."""
        return self._late_events

    # --- Requests ---

    def admit(self, request: Request, *, now: Seconds) -> None:
        """Queues a new request or rejects it as not run."""
        self._requests.add(request)
        version = request.work.adapter_version
        rejection = self._recent_load_failure(version, now) or self._queue.admit(
            request.work, now=now
        )
        if rejection is not None:
            self._end_with_failure(request, rejection, now)
            return
        self._log(
            "queued",
            request,
            cause="admitted",
            rank=request.work.rank,
            caller=request.work.caller,
        )

    def join(self, number: int, stream: ResponseStream) -> None:
        """Attaches a repeated attempt of an order to the request in flight."""
        request = self._requests.get(number)
        check(request is not None, "unfinished_order_has_a_request", number=number)
        assert request is not None
        self._requests.join(request, stream)
        self._log("joined", request, cause="same key", attempt=stream.key.attempt)

    def cancel_attempt(self, stream: ResponseStream, *, cause: str) -> None:
        """Cancels an attempt whose response is no longer needed.

        Orders keep running, because the caller may repeat them with the same key.
        """
        request = self._requests.detach(stream)
        self._responses.streams.remove(stream)
        if request is None or request.is_order:
            return
        self._log("cancelled", request, cause=cause)
        if request.call is not None:
            self._cancel_call(request)
        else:
            self._queue.remove(request.work.number)
        self._requests.remove(request)

    def dispatch_waiting(self, *, now: Seconds) -> None:
        """Removes expired requests, preempts running and dispatches waiting ones."""
        for expired in self._queue.expire(now):
            self._expire(self._find_request(expired), now)
        while True:
            work = (
                self._queue.pop(now=now)
                or self._pop_after_preemption(now)
                or self._pop_after_ending_overdue(now)
            )
            if work is None:
                return
            self._start_call(self._find_request(work), now)

    def record_interruption(self, *, now: Seconds) -> None:
        """Records that this process was paused or the backend server unreachable.

        The duration of a call that spans the interruption is not used as a service
        time. It does not predict later calls, and the inflated estimate would make the
        queue reject requests that can meet their deadline.
        """
        self._interrupted_at = now

    # --- Engine ---

    def readiness_changed(self, *versions: AdapterVersion, now: Seconds) -> None:
        """Updates the queue from the slot table.

        Args:
            *versions: Versions that may have become ready.
            now: Current time.
        """
        known = self._queue.ready_versions
        for version in sorted(known.union(versions), key=str):
            is_ready = self._engine.is_ready(version)
            if is_ready and version not in known:
                self._ready_since[version] = now
            elif not is_ready:
                self._ready_since.pop(version, None)
            self._queue.set_ready(version, is_ready)

    def preempt_version(self, version: AdapterVersion, *, now: Seconds) -> bool:
        """Preempts the requests on a version; returns whether any was preempted.

        A request is preempted for its adapter slot only once, so that a series of more
        valuable requests cannot starve it.
        """
        preempted = [
            request
            for request in self._requests.running()
            if request.work.preemptible and request.work.adapter_version == version
        ]
        if any(request.was_preempted_for_slot for request in preempted):
            return False
        for request in preempted:
            request.was_preempted_for_slot = True
            self._cancel_call(request)
            self._requeue(request, "its adapter slot is needed", now)
        return bool(preempted)

    def engine_restarted(self, *, now: Seconds) -> None:
        """Continues or ends the requests whose calls an engine restart has lost."""
        for request in self._requests.running():
            self._cancel_call(request)
            self._handle_interruption(request, "the engine restarted", now)

    def load_failed(
        self, version: AdapterVersion, detail: str, *, now: Seconds
    ) -> None:
        """Rejects the requests that wait for a version whose load failed."""
        failure = Failure(
            ErrorKind.ADAPTER_LOAD_FAILED,
            f"adapter version {str(version)!r} could not be loaded: {detail}",
        )
        for work in self._queue.waiting_for(version):
            self._queue.remove(work.number)
            self._end_with_failure(self._find_request(work), failure, now)

    # --- Events of calls ---

    @singledispatchmethod
    def _on_call_event(self, event: Any, request: Request, now: Seconds) -> None:
        """Handles an event of the running call of a request."""
        raise TypeError(f"{type(event).__name__} is not an event of a call")

    @_on_call_event.register
    def _on_started(
        self, event: BackendStarted, request: Request, now: Seconds
    ) -> None:
        requested = request.submit.adapter_version
        if requested is not None and not _is_from(requested, event):
            self._handle_wrong_version(request, event, now)
            return
        request.is_version_verified = True
        request.status = event.status
        request.content_type = event.content_type
        request.model = event.model
        request.is_continuable = event.is_continuable
        if request.stream is not None:
            request.stream.status = event.status

    @_on_call_event.register
    def _on_data(self, event: BackendData, request: Request, now: Seconds) -> None:
        if not request.is_version_verified:
            self._cancel_call(request)
            self._handle_interruption(request, "data arrived before the status", now)
            return
        request.generated.append(event.text)
        request.generated_tokens += event.tokens
        if request.submit.streamed:
            if request.is_order:
                request.buffer_data(event.data, limit=self._settings.max_outcome_bytes)
            if request.stream is not None:
                self._responses.send_data(request.stream, event.data)
            return
        if not request.buffer_data(event.data, limit=self._settings.max_buffered_bytes):
            self._cancel_call(request)
            self._end_as_too_long(request, now)

    @_on_call_event.register
    def _on_ended(self, event: BackendEnded, request: Request, now: Seconds) -> None:
        if not request.is_version_verified:
            self._cancel_call(request)
            self._handle_interruption(
                request, "the response ended before its status", now
            )
            return
        is_representative = request.call_started_at >= self._interrupted_at
        service_time = now - request.call_started_at if is_representative else None
        self._release_call(request, service_time=service_time)
        outcome = self._build_outcome(request)
        if request.ticket is not None:
            self._ledger.finish(request.ticket, outcome)
        self._requests.remove(request)
        self._log("answered", request, cause="the response is complete")
        self._send_response(request, outcome, now)

    @_on_call_event.register
    def _on_failed(self, event: BackendFailed, request: Request, now: Seconds) -> None:
        self._release_call(request)
        if event.sent:
            self._handle_interruption(request, event.detail, now)
            return
        request.sent_calls -= 1
        if request.ticket is not None:
            self._ledger.mark_not_sent(request.ticket)
        if request.unsent_retries < self._settings.max_unsent_retries:
            request.unsent_retries += 1
            self._requeue(request, f"no byte was sent: {event.detail}", now)
            return
        failure = Failure(
            ErrorKind.BACKEND_FAILED,
            f"the backend server could not be reached: {event.detail}",
            RunState.NOT_RUN,
        )
        self._end_with_failure(request, failure, now)

    def handle(
        self,
        event: BackendStarted | BackendData | BackendEnded | BackendFailed,
        *,
        now: Seconds,
    ) -> None:
        """Handles an event of a call; ignores it if the call has ended."""
        request = self._requests.find_by_call(event.call)
        if request is not None:
            self._on_call_event(event, request, now)
            return
        self._late_events += 1
        self._outbox.log(
            "late_event_ignored",
            request_id=event.request_id,
            cause="the call has ended",
            call=event.call,
            type=type(event).__name__,
        )

    # --- Calls ---

    def _start_call(self, request: Request, now: Seconds) -> None:
        work = request.work
        # If this process was paused after the queue was checked, the request may have
        # expired in the meantime and must not run.
        if work.deadline <= now:
            self._queue.release(work)
            self._expire(request, now)
            return
        version = work.adapter_version
        ready_since = float("-inf")
        if version is not None:
            check(
                self._engine.is_ready(version),
                "dispatch_only_on_ready_version",
                version=str(version),
                request_id=request.submit.request_id,
            )
            request.pin = self._engine.pin(
                version,
                value=self._queue.value(work.rank),
                preemptible_rank=work.rank if work.preemptible else None,
            )
            ready_since = self._ready_since.get(version, now)
        if request.ticket is not None:
            self._ledger.dispatched(request.ticket)
        call = self._requests.begin_call(request, now, ready_since=ready_since)
        self._outbox.add(call)
        self._log("dispatched", request, cause="next in its rank", call=call.call)

    def _pop_after_preemption(self, now: Seconds) -> WorkItem | None:
        preemption = self._queue.find_preemption()
        if preemption is None:
            return None
        request = self._find_request(preemption.victim)
        self._cancel_call(request)
        cause = f"rank {preemption.rank} is more urgent or below its floor"
        self._requeue(request, cause, now)
        return self._queue.pop(now=now, rank=preemption.rank)

    def _pop_after_ending_overdue(self, now: Seconds) -> WorkItem | None:
        """Ends an overdue order if another request needs its slot.

        Otherwise an unresponsive connection would occupy the slot until the call times
        out, although the service responds on new connections.
        """
        if not any(self._queue.queued_by_rank()):
            return None
        latest_deadline = now - self._settings.overdue_grace
        overdue = next(
            (
                request
                for request in self._requests.running()
                if request.is_order and request.work.deadline <= latest_deadline
            ),
            None,
        )
        if overdue is None:
            return None
        self._cancel_call(overdue)
        self._end_as_unknown(overdue, "it was not answered within its deadline", now)
        return self._queue.pop(now=now)

    def _cancel_call(self, request: Request) -> None:
        """Cancels the running call at the backend server."""
        if request.call is not None:
            self._outbox.add(CancelBackend(request.call))
        self._release_call(request)

    def _release_call(
        self, request: Request, *, service_time: Seconds | None = None
    ) -> None:
        self._requests.end_call(request)
        self._queue.release(request.work, service_time=service_time)
        if request.pin is not None:
            self._engine.unpin(request.pin)
            request.pin = None

    def _requeue(self, request: Request, cause: str, now: Seconds) -> None:
        """Queues a request for another call, or ends it if none can continue it."""
        if not request.may_have_another_call:
            failure = Failure(
                ErrorKind.BACKEND_FAILED,
                f"the stream cannot be continued by another call: {cause}",
                RunState.UNKNOWN,
            )
            self._end_with_failure(request, failure, now)
            return
        request.begin_wait(now)
        self._queue.requeue(request.work)
        self._log(
            "requeued", request, cause=cause, generated_tokens=request.generated_tokens
        )

    def _handle_interruption(self, request: Request, detail: str, now: Seconds) -> None:
        """Handles a call that was sent and ended without a complete response."""
        if request.is_order:
            self._end_as_unknown(request, detail, now)
            return
        if request.interruptions < self._settings.max_interruptions:
            request.interruptions += 1
            self._requeue(request, f"the call was interrupted: {detail}", now)
            return
        failure = Failure(
            ErrorKind.BACKEND_FAILED,
            f"{request.interruptions + 1} calls were interrupted, the last: {detail}",
            RunState.UNKNOWN,
        )
        self._end_with_failure(request, failure, now)

    def _handle_wrong_version(
        self, request: Request, event: BackendStarted, now: Seconds
    ) -> None:
        detail = (
            f"the engine responded from {event.model!r} with status {event.status}, "
            f"requested was {str(request.submit.adapter_version)!r}"
        )
        self._cancel_call(request)
        self._engine.invalidate()
        self.readiness_changed(now=now)
        self._log("slot_table_invalidated", request, cause=detail)
        if request.is_order:
            self._end_as_unknown(request, detail, now)
            return
        if request.wrong_versions < self._settings.max_wrong_versions:
            request.wrong_versions += 1
            self._requeue(request, detail, now)
            return
        failure = Failure(ErrorKind.WRONG_ADAPTER, detail, RunState.UNKNOWN)
        self._end_with_failure(request, failure, now)

    # --- End of requests ---

    def _send_response(
        self, request: Request, outcome: Outcome | None, now: Seconds
    ) -> None:
        if request.stream is not None:
            if not request.submit.streamed:
                self._responses.send_data(request.stream, bytes(request.buffered))
            info = ResponseInfo(
                status=request.status,
                model=request.model,
                content_type=request.content_type,
                queued=request.queued,
                stalled=request.stalled,
            )
            self._responses.send_end(request.stream, info, now=now)
        for stream in request.joined_streams:
            if outcome is not None:
                self._responses.replay(stream, outcome, now=now)
                continue
            failure = Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                "the order was executed, but its response is too large to be stored",
                RunState.RAN,
            )
            self._responses.refuse(stream, failure, now=now)

    def _build_outcome(self, request: Request) -> Outcome | None:
        if not request.is_order or not request.is_buffer_complete:
            return None
        if not self._ledger.can_store(len(request.buffered)):
            return None
        return Outcome(
            request.status, bytes(request.buffered), request.content_type, request.model
        )

    def _end_as_too_long(self, request: Request, now: Seconds) -> None:
        detail = (
            f"the response exceeds {self._settings.max_buffered_bytes} bytes; request "
            "it as a stream"
        )
        if request.is_order:
            self._end_as_unknown(request, detail, now)
            return
        failure = Failure(ErrorKind.INCOMPLETE_ANSWER, detail, RunState.UNKNOWN)
        self._end_with_failure(request, failure, now)

    def _end_as_unknown(self, request: Request, detail: str, now: Seconds) -> None:
        if request.ticket is not None:
            self._ledger.mark_unknown(request.ticket)
        failure = Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            f"outcome of the order unknown: {detail}; check whether it took effect",
            RunState.UNKNOWN,
        )
        self._refuse_all(request, failure, now)

    def _expire(self, request: Request, now: Seconds) -> None:
        failure = Failure(
            ErrorKind.DEADLINE_EXCEEDED,
            f"the deadline passed {now - request.work.deadline:.3f} s ago in the queue",
        )
        self._end_with_failure(request, failure, now)

    def _end_with_failure(
        self, request: Request, failure: Failure, now: Seconds
    ) -> None:
        """Ends a request that has no call; states "not run" if no call was sent."""
        check(request.call is None, "ended_request_has_no_call", call=request.call)
        if request.ticket is not None:
            self._ledger.discard_not_run(request.ticket)
        stated = replace(failure, run_state_override=request.run_state)
        if stated.retry_after:
            jitter = 1 + self._settings.retry_jitter * self._rng.random()
            stated = replace(stated, retry_after=stated.retry_after * jitter)
        self._refuse_all(request, stated, now)

    def _refuse_all(self, request: Request, failure: Failure, now: Seconds) -> None:
        self._requests.remove(request)
        for stream in request.streams:
            self._responses.refuse(stream, failure, now=now)
        if not request.streams:
            self._log("dropped", request, cause=failure.detail)

    # --- Helpers ---

    def _recent_load_failure(
        self, version: AdapterVersion | None, now: Seconds
    ) -> Failure | None:
        if (
            version is None
            or self._engine.is_ready(version)
            or not self._engine.is_load_backing_off(version, now)
        ):
            return None
        return Failure(
            ErrorKind.ADAPTER_LOAD_FAILED,
            f"a load of adapter version {str(version)!r} failed recently; retry later",
        )

    def _find_request(self, work: WorkItem) -> Request:
        request = self._requests.get(work.number)
        check(request is not None, "queued_work_has_a_request", number=work.number)
        assert request is not None
        return request

    def _log(
        self, event: str, request: Request, *, cause: str, **fields: str | int | float
    ) -> None:
        submit = request.submit
        self._outbox.log(event, request_id=submit.request_id, cause=cause, **fields)


def _is_from(requested: AdapterVersion, event: BackendStarted) -> bool:
    """Returns whether a response can be from the requested version.

    An error response that names no version was produced without an adapter and is
    accepted. "Not found" is the exception: engines return it if the version is not
    loaded.
    """
    if event.model == str(requested):
        return True
    is_error = event.status >= _FIRST_ERROR_STATUS and event.status != _NOT_FOUND
    return is_error and not event.model
