"""One caller's request on its way through an entry."""

from enum import Enum
from typing import TYPE_CHECKING

from fighitch.core.gateway.backend_choice import next_server
from fighitch.core.gateway.event_stream import EventBuffer
from fighitch.core.gateway.failures import (
    FAILURE_ANSWERS,
    FailureKind,
    reported_kind,
)
from fighitch.core.gateway.model import BackendServer, Route, Service, WorkKind
from fighitch.gateway.agent_links import PlaceWaiter
from fighitch.gateway.peer_messages import Ask, Decline, Deny, Grant
from fighitch.platform.requests import (
    RequestFacts,
    answers_for_another,
    encode_request,
    is_genuine,
    is_system_answer,
    returned_headers,
    was_not_run,
)
from fighitch.runtime.event_loop import Timer
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.http_exchange import (
    AnswerHead,
    ExchangeFailure,
    FailureKind as ExchangeFailureKind,
    HttpConnection,
)
from fighitch.types import Seconds

if TYPE_CHECKING:
    from fighitch.gateway.entry import GatewayEntry

_MS = 1_000
_SERVER_ERROR = 500
_FIRST_ERROR = 300
# Answers up to this size are held back until they are whole, so that one that breaks
# can still be repeated or answered with a failure.
_HELD_BACK_BYTES = 262_144
# Sends that servers turn away without running them.
_MAX_REJECTED = 3
# Priorities at an engine: 0 to 9, 0 first; work that is late already yields.
_LATE_PRIORITY = 5
_LOWEST_ON_TIME = 4
# A repeatable request without an answer for this share of its time is sent elsewhere.
_PATIENCE_SHARE = 0.4
_LEAST_PATIENCE: Seconds = 0.25
_STREAM_PATIENCE: Seconds = 1.8
_LEAST_TIME_LEFT: Seconds = 0.02
_AGENT_POLL: Seconds = 0.05


class RelayState(Enum):
    """Where a request is."""

    PLACING = "placing"
    ASKED = "asked"
    SENT = "sent"
    STREAMING = "streaming"
    DONE = "done"


class Relay:
    """Places a request, sends it to a backend server and returns the answer."""

    def __init__(
        self,
        entry: "GatewayEntry",
        caller: CallerConnection,
        request: CallerRequest,
        facts: RequestFacts,
        route: Route,
        service: Service,
    ) -> None:
        self._entry = entry
        self._loop = entry.loop
        self._caller: CallerConnection | None = caller
        self._request = request
        self._facts = facts
        self._route = route
        self._service = service
        self._state = RelayState.PLACING
        waits = route.timeout
        if facts.time_left is not None:
            waits = min(waits, facts.time_left)
        self._deadline = request.arrived + waits
        self._aim = request.arrived + route.target_latency
        self._server: BackendServer | None = None
        self._connection: HttpConnection | None = None
        self._place: int | None = None
        self._asks = 0
        self._rejected = 0
        self._runs = 0
        self._may_have_run = False
        self._retry_after: Seconds | None = None
        self._avoid: set[str] = set()
        # Engines at which it would be late, with the expected time of its first event.
        self._declined: dict[str, Seconds] = {}
        self._events = EventBuffer()
        self._resume_after = facts.resume_after if route.resumable else ""
        self._head: AnswerHead | None = None
        self._held = bytearray()
        self._head_sent = False
        self._is_stream = False
        self._late = False
        self._sent_at: Seconds = 0.0
        self._first_byte: Seconds | None = None
        self._placed: Seconds | None = None
        self._exchange = 0
        self._under_way = False
        self._patience: Timer | None = None
        delay = max(0.0, self._deadline - self._loop.now())
        self._limit = self._loop.call_later(delay, self._on_deadline)
        caller.on_gone = self._on_caller_gone
        caller.on_drained = self._on_caller_drained

    # Placing.

    def place(self) -> None:
        """Chooses a backend server and asks for a place on it or sends the request."""
        if self._state is RelayState.DONE:
            return
        self._state = RelayState.PLACING
        if self._deadline - self._loop.now() < _LEAST_TIME_LEFT:
            self._fail(FailureKind.NOT_RUN_IN_TIME)
            return
        server = self._choose()
        if server is None:
            self._fail(
                FailureKind.NO_SERVER if not self._asks else FailureKind.OVERLOADED
            )
            return
        self._server = server
        links = self._entry.links
        is_engine = self._service.engine is not None
        if is_engine and links.may_connect_soon(server.instance_id):
            self._loop.call_later(_AGENT_POLL, self.place)
            return
        if not is_engine or not links.is_connected(server.instance_id):
            self._send(server, late=False)
            return
        self._ask(server)

    def _choose(self) -> BackendServer | None:
        find = self._entry.candidates
        candidates = find(self._service, self._facts, self._avoid)
        if not candidates and self._avoid and not self._asks:
            candidates = find(self._service, self._facts, set())
        return next_server(candidates, asks=self._asks, declined=self._declined)

    def _ask(self, server: BackendServer) -> None:
        now = self._loop.now()
        self._asks += 1
        self._state = RelayState.ASKED
        adapter = self._facts.adapter
        leaves = self._request.arrived + self._route.caller_event_timeout
        ask = Ask(
            number=0,
            model=adapter.model if adapter else "",
            adapter=adapter.adapter if adapter else "",
            version=self._entry.links.version(adapter) if adapter else 0,
            rank=self._route.rank,
            prompt_tokens=self._facts.size.prompt_tokens,
            output_tokens=self._facts.size.output_tokens,
            aim_ms=round((self._aim - now) * _MS),
            deadline_ms=round((min(self._deadline, leaves) - now) * _MS),
            may_decline=now < self._aim and server.instance_id not in self._declined,
            request_id=self._facts.request_id,
        )
        if not ask.may_decline:
            self._declined.clear()
        waiter = PlaceWaiter(
            on_grant=lambda grant: self._granted(server, grant),
            on_decline=lambda decline: self._on_decline(server, decline),
            on_deny=lambda deny: self._denied(server, deny),
        )
        self._place = self._entry.links.ask(server.instance_id, ask, waiter)

    def _granted(self, server: BackendServer, grant: Grant) -> None:
        if self._state is not RelayState.ASKED:
            return
        self._send(server, late=grant.late)

    def _on_decline(self, server: BackendServer, decline: Decline) -> None:
        if self._state is not RelayState.ASKED:
            return
        self._place = None
        first_event = self._loop.now() + decline.first_event_ms / _MS
        self._declined[server.instance_id] = first_event
        self.place()

    def _denied(self, server: BackendServer, deny: Deny | None) -> None:
        if self._state is not RelayState.ASKED:
            return
        self._place = None
        self._avoid.add(server.instance_id)
        if deny is not None:
            after = deny.retry_after_ms / _MS
            self._retry_after = min(self._retry_after or after, after)
        self.place()

    # Sending.

    def _send(self, server: BackendServer, *, late: bool) -> None:
        now = self._loop.now()
        time_left = self._deadline - now
        if time_left < _LEAST_TIME_LEFT:
            self._fail(FailureKind.NOT_RUN_IN_TIME)
            return
        self._state = RelayState.SENT
        self._server = server
        self._late = late
        self._sent_at = now
        self._head = None
        self._held.clear()
        if self._placed is None:
            self._placed = now - self._request.arrived
            self._entry.metrics.placed(self._placed)
        priority = None
        if self._service.engine is not None:
            priority = min(self._route.rank, _LOWEST_ON_TIME)
            priority += _LATE_PRIORITY if late else 0
        data = encode_request(
            self._request,
            time_left=time_left,
            instance_id=server.instance_id,
            priority=priority,
            resume_after=self._resume_after,
        )
        self._exchange += 1
        self._under_way = True
        self._entry.note_sent(server)
        self._connection = self._entry.pool.lend(
            server, repeatable=self._route.repeatable
        )
        receiver = _Exchange(self, self._exchange)
        request_id = self._facts.request_id.encode("latin-1")
        self._connection.send(data, receiver, expected_id=request_id)
        self._start_patience(time_left)

    def _start_patience(self, time_left: Seconds) -> None:
        if not self._may_run_again():
            return
        if self._route.kind is WorkKind.STREAMING:
            patience = _STREAM_PATIENCE
        else:
            patience = max(_LEAST_PATIENCE, _PATIENCE_SHARE * time_left)
        self._patience = self._loop.call_later(patience, self._lose_patience)

    def _lose_patience(self) -> None:
        self._patience = None
        if self._state not in (RelayState.SENT, RelayState.STREAMING):
            return
        if not self._may_run_again() or not self._entry.take_retry(self._service.name):
            return
        self._end_exchange(failed=True, outcome="slow")
        self._repeat()

    def _may_run_again(self) -> bool:
        return self._route.repeatable and self._runs + 1 < self._route.max_attempts

    def _repeat(self) -> None:
        """Sends a request that may have run to another server."""
        self._may_have_run = True
        self._runs += 1
        self._avoid_current()
        self._events.drop_partial_event()
        if self._events.last_id:
            self._resume_after = self._events.last_id
        self._asks = 0
        self.place()

    def _avoid_current(self) -> None:
        if self._server is not None:
            self._avoid.add(self._server.instance_id)

    # The answer.

    def on_head(self, head: AnswerHead) -> None:
        """Takes the head of an answer."""
        self._head = head
        self._is_stream = (
            self._route.kind is WorkKind.STREAMING
            and head.status < _FIRST_ERROR
            and is_genuine(head)
        )

    def on_body(self, data: bytes) -> None:
        """Takes a piece of an answer."""
        if self._is_stream:
            self._on_events(self._events.feed(data))
            return
        self._held += data
        if len(self._held) > _HELD_BACK_BYTES and self._passes():
            self._pass_head(length=None)
            self._to_caller(bytes(self._held))
            self._held.clear()

    def on_complete(self) -> None:
        """Takes the end of an answer."""
        head = self._head
        if head is None:
            self.on_failure(ExchangeFailure(ExchangeFailureKind.BAD_ANSWER, sent=True))
            return
        if was_not_run(head):
            self._on_rejected(head)
            return
        if not is_genuine(head) or (self._is_stream and self._events.has_partial_event):
            self.on_failure(ExchangeFailure(ExchangeFailureKind.BAD_ANSWER, sent=True))
            return
        if head.status >= _SERVER_ERROR:
            self._on_server_error(head)
            return
        self._end_exchange(failed=False, outcome="answered")
        self._finish(head)

    def _finish(self, head: AnswerHead) -> None:
        caller = self._caller
        if caller is None:
            self._end("caller_left")
            return
        if not self._head_sent:
            self._pass_head(length=None if self._is_stream else len(self._held))
        # The caller may turn out to be gone at any write; writing on does nothing then.
        caller.send_body(bytes(self._held))
        caller.finish()
        self._end(str(head.status))

    def _on_events(self, events: bytes) -> None:
        if not events:
            return
        if self._state is RelayState.SENT:
            self._state = RelayState.STREAMING
            self._note_first_byte()
            if self._place is not None and self._server is not None:
                self._entry.links.started(self._server.instance_id, self._place)
        if self._patience is not None:
            self._patience.cancel()
            self._start_patience(self._deadline - self._loop.now())
        if not self._head_sent:
            self._pass_head(length=None)
        self._to_caller(events)

    def _note_first_byte(self) -> None:
        if self._first_byte is None:
            self._first_byte = self._loop.now() - self._request.arrived
            self._entry.metrics.first_byte(self._route.name, self._first_byte)

    def _pass_head(self, *, length: int | None) -> None:
        if self._caller is None or self._head is None or self._head_sent:
            return
        self._head_sent = True
        self._note_first_byte()
        headers = returned_headers(self._head)
        self._caller.send_head(self._head.status, headers, length=length)

    def _to_caller(self, data: bytes) -> None:
        if self._caller is None:
            return
        self._caller.send_body(data)
        if self._caller is not None and self._caller.slow and self._connection:
            self._connection.pause_reading()

    def _passes(self) -> bool:
        head = self._head
        return head is not None and head.status < _SERVER_ERROR and is_genuine(head)

    def _on_server_error(self, head: AnswerHead) -> None:
        self._end_exchange(failed=True, outcome=f"status_{head.status}")
        if self._may_run_again() and self._entry.take_retry(self._service.name):
            self._repeat()
            return
        if is_system_answer(head):
            self._may_have_run = True
            self._fail(FailureKind.SERVER_LOST)
            return
        if self._head_sent:
            self._abort("status_" + str(head.status))
            return
        self._finish(head)

    def _on_rejected(self, head: AnswerHead) -> None:
        self._end_exchange(failed=False, outcome=f"rejected_{head.status}")
        server = self._server
        if server is not None and answers_for_another(head, server.instance_id):
            self._entry.note_replaced(server)
        self._avoid_current()
        self._rejected += 1
        is_allowed = self._rejected <= _MAX_REJECTED
        if is_allowed and self._entry.take_retry(self._service.name):
            self.place()
            return
        self._fail(FailureKind.SERVER_REFUSED)

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Takes the loss of an answer."""
        outcome = failure.kind.value
        unreachable = not failure.sent
        self._end_exchange(failed=True, outcome=outcome, unreachable=unreachable)
        if not failure.sent:
            self._avoid_current()
            self._rejected += 1
            if self._rejected <= _MAX_REJECTED:
                self.place()
            else:
                self._fail(FailureKind.NO_SERVER)
            return
        self._may_have_run = True
        if self._may_run_again() and self._entry.take_retry(self._service.name):
            self._repeat()
            return
        self._fail(FailureKind.SERVER_LOST)

    # Ends.

    def _end_exchange(
        self, *, failed: bool, outcome: str, unreachable: bool = False
    ) -> None:
        """Closes the books of a send: place, connection, health of the server."""
        if not self._under_way:
            return
        self._under_way = False
        self._exchange += 1
        if self._patience is not None:
            self._patience.cancel()
            self._patience = None
        connection, self._connection = self._connection, None
        if connection is not None and connection.busy:
            connection.close()
        server = self._server
        if server is None:
            return
        if self._place is not None:
            self._entry.links.done(server.instance_id, self._place)
            self._place = None
        self._entry.note_outcome(
            self._service,
            server,
            failed=failed,
            unreachable=unreachable,
            outcome=outcome,
            elapsed=self._loop.now() - self._sent_at,
        )

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
        self._caller = None
        if self._state is RelayState.DONE:
            return
        sent = self._state in (RelayState.SENT, RelayState.STREAMING)
        if sent and self._route.kind is WorkKind.NON_IDEMPOTENT:
            # Breaking the work off would leave it half done; its end is only logged.
            return
        if sent:
            self._end_exchange(failed=False, outcome="caller_left")
        self._end("caller_left")

    def _on_caller_drained(self) -> None:
        if self._connection is not None:
            self._connection.resume_reading()

    def _fail(self, kind: FailureKind) -> None:
        if self._head_sent:
            self._abort(kind.value)
            return
        kind = reported_kind(kind, may_have_run=self._may_have_run)
        if self._caller is not None:
            answer_failure(
                self._caller, kind, self._facts.request_id, self._retry_after
            )
        self._end(kind.value)

    def _abort(self, outcome: str) -> None:
        if self._caller is not None:
            self._caller.on_gone = None
            self._caller.close()
        self._end(f"broken_off_{outcome}")

    def _end(self, outcome: str) -> None:
        if self._state is RelayState.DONE:
            return
        self._state = RelayState.DONE
        self._limit.cancel()
        if self._place is not None and self._server is not None:
            self._entry.links.done(self._server.instance_id, self._place)
            self._place = None
        if self._caller is not None:
            self._caller.on_gone = None
            self._caller.on_drained = None
        server = "" if self._server is None else self._server.instance_id
        now = self._loop.now()
        self._entry.note_end(
            self,
            route=self._route.name,
            outcome=outcome,
            request=self._facts.request_id,
            service=self._service.name,
            adapter=self._facts.adapter or "",
            tokens=self._facts.size.prompt_tokens,
            server=server,
            late=int(self._late),
            asks=self._asks,
            rejected=self._rejected,
            runs=self._runs + int(self._may_have_run or self._head_sent),
            placed="" if self._placed is None else f"{self._placed:.3f}",
            first="" if self._first_byte is None else f"{self._first_byte:.3f}",
            took=f"{now - self._request.arrived:.3f}",
        )

    def is_current(self, exchange: int) -> bool:
        """Whether an exchange is the one that the request waits for."""
        return exchange == self._exchange and self._state is not RelayState.DONE


class _Exchange:
    """Passes the answer of one send on, unless the request went elsewhere meanwhile."""

    def __init__(self, relay: Relay, number: int) -> None:
        self._relay = relay
        self._number = number

    def on_head(self, head: AnswerHead) -> None:
        """Takes the head."""
        if self._relay.is_current(self._number):
            self._relay.on_head(head)

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if self._relay.is_current(self._number):
            self._relay.on_body(data)

    def on_complete(self) -> None:
        """Takes the end."""
        if self._relay.is_current(self._number):
            self._relay.on_complete()

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Takes the loss of the answer."""
        if self._relay.is_current(self._number):
            self._relay.on_failure(failure)


def answer_failure(
    caller: CallerConnection,
    kind: FailureKind,
    request_id: str,
    retry_after: Seconds | None = None,
) -> None:
    """Answers a request that the entry itself ends.

    Args:
        caller: Who asked.
        kind: What ended the request.
        request_id: Id of the request; empty if unknown.
        retry_after: When room is expected; None for the default of the kind.
    """
    answer = FAILURE_ANSWERS[kind]
    body = b'{"error":"%s"}' % kind.value.encode()
    headers = [(b"Content-Type", b"application/json")]
    if request_id:
        headers.append((b"Attempt-Id", request_id.encode("latin-1")))
    if answer.retry_after is not None:
        wait = max(answer.retry_after, retry_after or 0.0)
        headers.append((b"Retry-After", b"%.3f" % wait))
    caller.send_head(answer.status, headers, length=len(body))
    caller.send_body(body)
    caller.finish()
