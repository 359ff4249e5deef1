"""Relays one caller's request to a backend server and its response back."""

from enum import Enum
from functools import partial

from fighitch.core.gateway.attempts import engine_priority
from fighitch.core.gateway.backend_choice import next_server
from fighitch.core.gateway.event_stream import EventBuffer
from fighitch.core.gateway.failures import FailureKind, reported_kind
from fighitch.core.gateway.model import BackendServer, Route, Service, WorkKind
from fighitch.core.gateway.response_limits import LimitKind
from fighitch.gateway.admission import Admission
from fighitch.gateway.attempt_receiver import AttemptReceiver
from fighitch.gateway.attempt_state import AttemptState
from fighitch.gateway.attempt_timers import AttemptTimers
from fighitch.gateway.caller_response import CallerResponse
from fighitch.gateway.quotas import RequestUnits
from fighitch.gateway.relay_host import RelayHost
from fighitch.gateway.request_deadline import RequestDeadline
from fighitch.gateway.request_times import RequestTimes
from fighitch.gateway.response_checks import (
    FIRST_SERVER_ERROR,
    is_event_stream,
    may_forward,
)
from fighitch.gateway.takeover import Takeover
from fighitch.platform.requests import (
    RequestMetadata,
    asked_pause,
    encode_request,
    is_from_another_instance,
    is_genuine,
    is_unsigned,
    stream_format,
    was_not_run,
)
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.http_exchange import (
    ExchangeFailure,
    FailureKind as ExchangeFailureKind,
    HttpConnection,
    ResponseHead,
)
from fighitch.types import Seconds

_SERVER_ERROR = 500
# Responses up to this size are buffered until they are complete, so that a request with
# a truncated response can still be retried or get an error response. A faulty server
# may send more on all of its connections, which can be hundreds.
_MAX_BUFFERED_BYTES = 65_536
# Attempts that servers may reject without running the request.
_MAX_REJECTIONS = 3
# A stream that goes on for this long after its first event did not crash its server.
_CRASH_DELAY: Seconds = 0.25
# Share of its remaining time that a request waits for a server that limits requests.
_MAX_WAIT_SHARE = 0.5
# Interval at which a request checks whether a starting agent has connected.
_AGENT_POLL_INTERVAL: Seconds = 0.05


class RelayState(Enum):
    """Processing state of a request."""

    PLACING = "placing"
    AWAITING_ADMISSION = "asked"
    SENT = "sent"
    STREAMING = "streaming"
    DONE = "done"


class Relay:
    """Places a request on a backend server and relays its response to the caller."""

    def __init__(
        self,
        entry: RelayHost,
        caller: CallerConnection,
        request: CallerRequest,
        metadata: RequestMetadata,
        route: Route,
        service: Service,
    ) -> None:
        self._entry = entry
        self._loop = entry.loop
        self._response = CallerResponse(
            caller, on_gone=self._on_caller_gone, on_drained=self._on_caller_drained
        )
        self._request = request
        self._metadata = metadata
        self._route = route
        self._service = service
        self._state = RelayState.PLACING
        timeout = route.timeout
        if metadata.time_left is not None:
            timeout = min(timeout, metadata.time_left)
        self._deadline = RequestDeadline(
            entry.loop,
            request.received_at + timeout,
            on_send_due=self._on_send_due,
            on_answer_due=self._on_deadline,
        )
        self._server: BackendServer | None = None
        self._connection: HttpConnection | None = None
        self._last_event_at: Seconds | None = None
        self._admission = self._new_admission()
        self._units = RequestUnits(entry.quotas, metadata)
        self._takeover: Takeover | None = None
        self._rejections = 0
        # Earlier attempts that may have run; the current one is not included.
        self._previous_runs = 0
        self._may_have_run = False
        self._limit_delay: Seconds | None = None
        self._avoid: set[str] = set()
        resume_after = metadata.resume_after if route.resumable else ""
        self._event_buffer = EventBuffer(resume_after)
        self._attempt = AttemptState()
        self._left_zone = ""
        self._times = RequestTimes(entry.metrics, route.name, request.received_at)
        # Changes when an attempt ends, so that data that arrives later is ignored.
        self._exchange_number = 0
        self._in_flight = False
        self._timers = AttemptTimers(
            entry.loop,
            route,
            on_silent=self._find_other_server,
            on_caller_leaving=self._on_caller_leaving,
            on_event_timeout=self._on_event_timeout,
        )

    def _new_admission(self) -> Admission:
        return Admission(
            self._loop,
            self._entry.links,
            self._metadata,
            self._route,
            arrived=self._request.received_at,
            deadline=self._deadline.answer_by,
            waiting_since=self._last_event_at,
        )

    @property
    def _head_sent(self) -> bool:
        return self._response.head is not None

    @property
    def _is_continuation(self) -> bool:
        """Whether the caller has the head of an earlier attempt."""
        return self._head_sent and self._response.head is not self._attempt.head

    # Placement.

    def begin(self) -> None:
        """Takes units of the account's quota for a send, then places the request."""
        self._units.take(on_taken=self.place, on_refused=self._on_no_units)

    def _on_no_units(self, kind: FailureKind, retry_after: Seconds) -> None:
        self._limit_delay = retry_after
        self._fail(kind)

    def place(self) -> None:
        """Chooses a backend server, then requests admission or sends the request.

        An unexpected error ends the request at once; its caller would otherwise wait
        until the deadline.
        """
        try:
            self._place()
        except Exception as error:
            self._on_internal_error(error)

    def _on_internal_error(self, error: Exception) -> None:
        self._entry.record_internal_error(self._metadata.request_id, error)
        if self._state is RelayState.DONE:
            return
        if self._in_flight:
            self._may_have_run = True
            self._end_exchange(failed=False, outcome="internal_error")
        self._fail(FailureKind.NO_SERVER)

    def _place(self) -> None:
        if self._state is RelayState.DONE:
            return
        self._state = RelayState.PLACING
        if not self._deadline.has_time_to_send:
            self._fail(FailureKind.NOT_RUN_IN_TIME)
            return
        if self._is_quarantined():
            self._fail(FailureKind.PROMPT_QUARANTINED)
            return
        server = self._choose_server()
        if server is None:
            self._fail_without_server()
            return
        self._server = server
        links = self._entry.links
        is_engine = self._service.engine is not None
        if is_engine and links.may_connect_soon(server.instance_id):
            self._loop.call_later(_AGENT_POLL_INTERVAL, self.place)
            return
        if is_engine and links.is_connected(server.instance_id):
            self._request_admission(server)
            return
        self._send_within_limit(server)

    def _fail_without_server(self) -> None:
        all_pause = self._entry.time_until_room(self._service) is not None
        is_busy = all_pause or self._admission.requests > 0
        self._fail(FailureKind.OVERLOADED if is_busy else FailureKind.NO_SERVER)

    def _send_within_limit(self, server: BackendServer) -> None:
        """Sends a request without admission, once the limit of the server allows it."""
        max_delay = _MAX_WAIT_SHARE * self._deadline.time_left
        delay = self._entry.reserve(server, max_delay)
        if delay > max_delay:
            self._limit_delay = delay
            self._fail(FailureKind.OVERLOADED)
        elif delay > 0:
            self._loop.call_later(delay, lambda: self._send_reserved(server))
        else:
            self._send_request(server, late=False)

    def _send_reserved(self, server: BackendServer) -> None:
        if self._state is RelayState.DONE:
            return
        if self._entry.is_ready(server):
            self._send_request(server, late=False)
        else:
            self.place()

    def _is_quarantined(self) -> bool:
        return self._entry.quarantine.blocks(self._metadata.shared_parts)

    def reject_if_quarantined(self) -> None:
        """Ends a request that would crash an engine, unless its answer has begun."""
        if self._state in (RelayState.STREAMING, RelayState.DONE):
            return
        if not self._is_quarantined():
            return
        if self._in_flight:
            self._may_have_run = True
            self._end_exchange(failed=False, outcome="quarantined")
        self._fail(FailureKind.PROMPT_QUARANTINED)

    def _choose_server(self) -> BackendServer | None:
        find_candidates = partial(self._entry.candidates, may_probe=self._may_retry())
        candidates = find_candidates(self._service, self._metadata, self._avoid)
        if not candidates and self._avoid and not self._admission.requests:
            candidates = find_candidates(self._service, self._metadata, set())
        return next_server(
            candidates,
            admission_requests=self._admission.requests,
            declined=self._admission.declined,
        )

    def _request_admission(self, server: BackendServer) -> None:
        self._state = RelayState.AWAITING_ADMISSION
        self._admission.request(
            server,
            on_grant=lambda late: self._on_grant(server, late=late),
            on_decline=self.place,
            on_deny=self._on_deny,
        )

    def _on_grant(self, server: BackendServer, *, late: bool) -> None:
        if self._entry.is_ready(server):
            self._send_request(server, late=late)
        else:
            self._place_elsewhere()

    def leave_servers(self, instance_ids: set[str]) -> None:
        """Places a request elsewhere that has not yet been sent to its server."""
        if self._server is None or self._server.instance_id not in instance_ids:
            return
        connection = self._connection
        if self._state is RelayState.AWAITING_ADMISSION:
            self._place_elsewhere()
        elif connection is not None and connection.busy and not connection.has_sent:
            self._end_exchange(failed=False, outcome="withdrawn")
            self._units.record_not_run()
            self._place_elsewhere()

    def _place_elsewhere(self) -> None:
        self._admission.end()
        self._admission = self._new_admission()
        self._avoid_current()
        self.place()

    def _on_deny(self) -> None:
        self._avoid_current()
        self.place()

    # Attempts.

    def _send_request(self, server: BackendServer, *, late: bool) -> None:
        try:
            self._start_attempt(server, late=late)
        except Exception as error:
            self._on_internal_error(error)

    def _start_attempt(self, server: BackendServer, *, late: bool) -> None:
        now = self._loop.now()
        time_left = self._deadline.time_left
        if not self._deadline.has_time_to_send:
            self._fail(FailureKind.NOT_RUN_IN_TIME)
            return
        if self._is_quarantined():
            self._fail(FailureKind.PROMPT_QUARANTINED)
            return
        self._state = RelayState.SENT
        self._server = server
        self._attempt = AttemptState(sent_at=now, late=late)
        self._event_buffer.start_run()
        self._times.record_placement(now)
        priority = None
        if self._service.engine is not None:
            priority = engine_priority(self._route.rank, late=late)
        head = encode_request(
            self._request,
            time_left=time_left,
            instance_id=server.instance_id,
            priority=priority,
            adapter_version=self._expected_version(),
            resume_after=self._event_buffer.last_id,
            account=self._metadata.forwarded_account,
        )
        self._exchange_number += 1
        self._in_flight = True
        self._units.record_sent()
        self._left_zone = self._entry.record_sent(server, self._metadata, self._avoid)
        self._connection = self._connect(server)
        receiver = AttemptReceiver(self, self._exchange_number)
        request_id = self._metadata.request_id.encode("latin-1")
        # The exchange may fail, and the request may end, before ``send`` returns.
        waiting_since = self._last_event_at or self._request.received_at
        self._timers.start(
            time_left, may_retry=self._may_retry(), waited=now - waiting_since
        )
        self._connection.send(
            head, receiver, expected_id=request_id, body=self._request.body
        )

    def _expected_version(self) -> int:
        """Returns the version that the server must hold; 0 if its agent sees to it."""
        if self._admission.is_open or self._service.engine is None:
            return 0
        return self._entry.links.expected_version(self._metadata.adapter)

    def _connect(self, server: BackendServer) -> HttpConnection:
        pool = self._entry.pool
        if server.instance_id in self._avoid:
            # An earlier rejection that is sent again has the id of this request.
            return pool.connect(server)
        return pool.acquire(server, repeatable=self._route.repeatable)

    def _on_caller_leaving(self) -> None:
        """Answers a caller that would leave an engine whose machine stands still.

        Such an engine is silent, and so is its agent. It could not notice that the
        caller leaves.
        """
        server = self._server
        if server is None or self._service.engine is None or not self._in_flight:
            return
        if self._entry.links.is_connected(server.instance_id):
            return
        self._may_have_run = True
        self._end_exchange(failed=False, outcome="stands_still")
        self._fail(FailureKind.TIMED_OUT)

    def _on_event_timeout(self) -> None:
        self.on_failure(ExchangeFailure(ExchangeFailureKind.TIMEOUT, sent=True))

    def _find_other_server(self) -> None:
        """Looks for a server that takes the request over from a silent one."""
        if not self._in_flight or not self._may_retry():
            return
        if not self._entry.has_retry(self._service.name):
            self._await_silent_server()
            return
        self._takeover = Takeover(
            self._entry,
            self._service,
            self._metadata,
            self._new_admission(),
            avoid=self._avoid,
            silent=self._server,
            on_found=self._take_over,
            on_none=self._await_silent_server,
        )
        self._takeover.search()

    def _take_over(
        self, server: BackendServer, admission: Admission, late: bool
    ) -> None:
        """Ends the attempt at a silent server and sends the request to another."""
        may_retry = self._may_retry() and self._units.take_held()
        if not may_retry or not self._entry.take_retry(self._service.name):
            admission.end()
            self._await_silent_server()
            return
        self._end_exchange(failed=True, outcome="slow")
        self._prepare_retry()
        self._admission = admission
        self._send_request(server, late=late)

    def _await_silent_server(self) -> None:
        if self._may_retry():
            self._timers.restart_silence_timer(self._deadline.time_left)

    def _may_retry(self) -> bool:
        if not self._deadline.may_send:
            return False
        if self._entry.quarantine.is_suspect(self._metadata.shared_parts):
            # Another attempt could crash another engine.
            return False
        sent_head = self._response.head
        if sent_head is not None and not is_event_stream(self._route, sent_head):
            # The caller has a part of the first attempt's body.
            return False
        if not self._event_buffer.can_resume:
            return False
        return (
            self._route.repeatable
            and self._previous_runs + 1 < self._route.max_attempts
        )

    def _retry(self) -> None:
        """Retries a request on another server after an attempt that may have run."""
        self._prepare_retry()
        self._admission = self._new_admission()
        self._state = RelayState.PLACING
        self.begin()

    def _prepare_retry(self) -> None:
        self._may_have_run = True
        self._previous_runs += 1
        self._avoid_current()

    def _avoid_current(self) -> None:
        if self._server is not None:
            self._avoid.add(self._server.instance_id)

    # The response.

    def on_head(self, head: ResponseHead) -> None:
        """Handles the head of a response."""
        self._attempt.head = head
        if self._server is not None:
            self._entry.record_head(self._server, head, sent_at=self._attempt.sent_at)
        sent_head = self._response.head
        self._attempt.is_stream = is_event_stream(self._route, head) and (
            sent_head is None
            or stream_format(head).can_continue(stream_format(sent_head))
        )

    def on_body(self, data: bytes) -> None:
        """Handles a chunk of the response body."""
        if self._attempt.is_stream:
            events = self._event_buffer.feed(data)
            if self._event_buffer.is_out_of_order:
                kind = ExchangeFailureKind.BAD_ANSWER
                self.on_failure(ExchangeFailure(kind, sent=True))
            else:
                self._on_events(events)
            return
        head, buffered = self._attempt.head, self._attempt.buffered_body
        buffered += data
        self._response.record_buffered(len(buffered))
        is_forwarding = self._head_sent and not self._is_continuation
        is_sound = may_forward(head, is_continuation=self._is_continuation)
        has_room = not (is_sound and self._response.is_memory_short)
        if len(buffered) <= _MAX_BUFFERED_BYTES and has_room and not is_forwarding:
            return
        if head is not None and was_not_run(head):
            self._on_rejected(head)
            return
        if not is_sound:
            # A response that is not forwarded is buffered as a whole.
            failure = ExchangeFailure(
                ExchangeFailureKind.BAD_ANSWER, sent=True, limit=LimitKind.BODY_BYTES
            )
            self.on_failure(failure)
            return
        self._forward_head(length=None)
        self._forward_body(bytes(buffered))
        buffered.clear()

    def on_complete(self) -> None:
        """Handles the end of a response."""
        head = self._attempt.head
        if head is None:
            self.on_failure(ExchangeFailure(ExchangeFailureKind.BAD_ANSWER, sent=True))
            return
        if was_not_run(head):
            self._on_rejected(head)
            return
        is_cut = self._attempt.is_stream and not self._event_buffer.may_end(
            is_framed=head.is_framed
        )
        if is_cut or not is_genuine(head):
            self.on_failure(ExchangeFailure(ExchangeFailureKind.BAD_ANSWER, sent=True))
            return
        if head.status >= FIRST_SERVER_ERROR:
            self._on_server_error(head)
            return
        if self._is_continuation and not self._attempt.is_stream:
            self._on_other_response(head)
            return
        self._record_answered()
        self._end_exchange(failed=False, outcome="answered")
        self._finish_response(head)

    def _on_other_response(self, head: ResponseHead) -> None:
        """Handles a response that is sound, but does not continue the stream."""
        self._end_exchange(failed=False, outcome=f"status_{head.status}")
        if self._may_retry() and self._entry.take_retry(self._service.name):
            self._retry()
            return
        self._fail(FailureKind.SERVER_LOST)

    def _finish_response(self, head: ResponseHead) -> None:
        if self._response.is_caller_gone:
            self._end("caller_left")
            return
        body = bytes(self._attempt.buffered_body)
        if not self._head_sent:
            self._forward_head(length=None if self._attempt.is_stream else len(body))
        self._response.finish(body)
        self._end(str(head.status))

    def _on_events(self, events: bytes) -> None:
        if not events:
            return
        if self._state is RelayState.SENT:
            self._state = RelayState.STREAMING
            self._attempt.begun_at = self._loop.now()
            self._times.record_first_byte(self._loop.now())
            self._admission.report_first_event()
        if self._event_buffer.has_new_event:
            self._last_event_at = self._loop.now()
            self._restart_stream_timers()
        has_survived = self._loop.now() - self._attempt.begun_at >= _CRASH_DELAY
        if not self._attempt.answered and has_survived:
            self._record_answered()
        if not self._head_sent:
            self._forward_head(length=None)
        self._forward_body(events)

    def _record_answered(self) -> None:
        self._attempt.answered = True
        self._entry.quarantine.record_answered(self._metadata.shared_parts)

    def _restart_stream_timers(self) -> None:
        self._cancel_stream_timers()
        self._timers.start(self._deadline.time_left, may_retry=self._may_retry())

    def _cancel_stream_timers(self) -> None:
        if self._takeover is not None:
            self._takeover.cancel()
            self._takeover = None
        self._timers.cancel()

    def _forward_head(self, *, length: int | None) -> None:
        head = self._attempt.head
        if head is None or self._head_sent or self._response.is_caller_gone:
            return
        self._times.record_first_byte(self._loop.now())
        self._response.send_head(head, length=length)

    def _forward_body(self, data: bytes) -> None:
        is_backlogged = self._response.send_body(data)
        if is_backlogged and self._connection is not None:
            self._connection.pause_reading()
            if self._attempt.is_stream:
                # No event can arrive until the caller has read the earlier ones.
                self._cancel_stream_timers()

    def _on_server_error(self, head: ResponseHead) -> None:
        asks_pause = (asked_pause(head) or 0.0) > 0
        self._end_exchange(failed=not asks_pause, outcome=f"status_{head.status}")
        if self._may_retry() and self._entry.take_retry(self._service.name):
            self._retry()
            return
        if is_unsigned(head):
            self._may_have_run = True
            self._fail(FailureKind.SERVER_LOST)
            return
        if self._head_sent:
            self._abort("status_" + str(head.status))
            return
        self._finish_response(head)

    def _on_rejected(self, head: ResponseHead) -> None:
        self._end_exchange(failed=False, outcome=f"rejected_{head.status}")
        self._units.record_not_run()
        server = self._server
        if server is not None and is_from_another_instance(head, server.instance_id):
            self._entry.record_replaced(server)
        self._avoid_current()
        self._rejections += 1
        is_allowed = self._rejections <= _MAX_REJECTIONS
        if is_allowed and self._entry.take_retry(self._service.name):
            self.place()
            return
        self._fail(FailureKind.SERVER_REFUSED)

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Handles a failed exchange."""
        outcome = failure.kind.value
        unreachable = not failure.sent
        if failure.limit is not None and self._server is not None:
            self._entry.record_limit_exceeded(
                self._server, self._metadata.request_id, failure.limit
            )
        self._end_exchange(
            failed=True,
            outcome=outcome,
            unreachable=unreachable,
            refused=failure.refused,
        )
        if not failure.sent:
            self._units.record_not_run()
            self._avoid_current()
            self._rejections += 1
            if self._rejections <= _MAX_REJECTIONS:
                self.place()
            else:
                self._fail(FailureKind.NO_SERVER)
            return
        self._may_have_run = True
        if self._may_retry() and self._entry.take_retry(self._service.name):
            self._retry()
            return
        self._fail(FailureKind.SERVER_LOST)

    # End of attempts and of the request.

    def _end_exchange(
        self,
        *,
        failed: bool,
        outcome: str,
        unreachable: bool = False,
        refused: bool = False,
    ) -> None:
        """Ends an attempt: releases admission and connection, records the outcome."""
        if not self._in_flight:
            return
        self._in_flight = False
        self._exchange_number += 1
        self._cancel_stream_timers()
        connection, self._connection = self._connection, None
        if connection is not None and connection.busy:
            connection.close()
        server = self._server
        if server is None:
            return
        self._admission.end()
        self._entry.record_outcome(
            self._service,
            server,
            failed=failed,
            unreachable=unreachable,
            refused=refused,
            outcome=outcome,
            elapsed=self._loop.now() - self._attempt.sent_at,
            metadata=self._metadata,
            answered=self._attempt.answered,
        )

    def end_by(self, time: Seconds, *, max_run_time: Seconds) -> None:
        """Ends the request by a time, after which the entry doesn't run any more."""
        run_time = min(self._route.target_latency, max_run_time)
        self._deadline.bring_forward(time, run_time=run_time)

    def _on_send_due(self) -> None:
        if self._state in (RelayState.PLACING, RelayState.AWAITING_ADMISSION):
            self._fail(FailureKind.NOT_RUN_IN_TIME)

    def _on_deadline(self) -> None:
        if self._state is RelayState.DONE:
            return
        if self._state in (RelayState.SENT, RelayState.STREAMING):
            self._may_have_run = True
            self._end_exchange(failed=False, outcome="deadline")
            self._fail(FailureKind.TIMED_OUT)
            return
        self._fail(FailureKind.NOT_RUN_IN_TIME)

    def _on_caller_gone(self) -> None:
        if self._state is RelayState.DONE:
            return
        sent = self._state in (RelayState.SENT, RelayState.STREAMING)
        if sent and self._route.kind is WorkKind.NON_IDEMPOTENT:
            # The request is not cancelled, as that could leave a partly executed
            # operation. Only its outcome is logged.
            return
        if sent:
            self._end_exchange(failed=False, outcome="caller_left")
        self._end("caller_left")

    def _on_caller_drained(self) -> None:
        if self._connection is not None:
            self._connection.resume_reading()
            if self._attempt.is_stream:
                self._restart_stream_timers()

    def _fail(self, kind: FailureKind) -> None:
        if self._head_sent:
            self._abort(kind.value)
            return
        kind = reported_kind(kind, may_have_run=self._may_have_run)
        retry_after = (
            self._limit_delay
            or self._entry.time_until_room(self._service)
            or self._admission.retry_after
        )
        self._response.fail(kind, self._metadata.request_id, retry_after)
        self._end(kind.value)

    def _abort(self, outcome: str) -> None:
        self._response.abort()
        self._end(f"broken_off_{outcome}")

    def _end(self, outcome: str) -> None:
        if self._state is RelayState.DONE:
            return
        self._state = RelayState.DONE
        self._deadline.cancel()
        self._units.end()
        self._admission.end()
        self._response.release()
        size = len(self._request.body) + self._response.body_bytes
        self._request.discard()
        server = self._server
        self._entry.record_end(
            self,
            route=self._route.name,
            outcome=outcome,
            request=self._metadata.request_id,
            service=self._service.name,
            account=self._metadata.account,
            adapter=self._metadata.adapter or "",
            tokens=self._metadata.size.prompt_tokens,
            server="" if server is None else server.instance_id,
            zone="" if server is None else server.zone,
            left_zone=self._left_zone,
            size=size,
            late=int(self._attempt.late),
            asks=self._admission.requests,
            rejected=self._rejections,
            runs=self._previous_runs + int(self._may_have_run or self._head_sent),
            **self._times.fields(self._loop.now()),
        )

    def is_current(self, exchange: int) -> bool:
        """Returns whether the request still waits for the response of this exchange."""
        return exchange == self._exchange_number and self._state is not RelayState.DONE
