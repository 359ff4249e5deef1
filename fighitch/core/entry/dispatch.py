"""Sends requests to sidecars, and retries or resumes attempts that fail."""

from collections.abc import Callable

from fighitch.core.entry.assembly import ResponseAssembly
from fighitch.core.entry.caller_responses import CallerResponses
from fighitch.core.entry.connections import Connections, Link, is_contactable
from fighitch.core.entry.membership import Members
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.request_state import Phase, RequestState, RequestTable
from fighitch.core.entry.retries import RetryBudget, may_retry
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.invariants import check
from fighitch.core.messages import Cancel, Resume, Submit
from fighitch.types import Seconds

_MS_PER_SECOND = 1_000


class Dispatcher:
    """Manages the attempts of requests and their connections."""

    def __init__(
        self,
        *,
        requests: RequestTable,
        members: Members,
        connections: Connections,
        router: Router,
        responses: CallerResponses,
        outbox: Outbox,
        settings: EntrySettings,
        body_digest: Callable[[RequestState], str],
    ) -> None:
        self._requests = requests
        self._members = members
        self._connections = connections
        self._router = router
        self._responses = responses
        self._outbox = outbox
        self._settings = settings
        self._body_digest = body_digest
        self._budgets: dict[int, RetryBudget] = {}

    def count_request(self, rank: int) -> None:
        """Credits a new request to the retry budget of its rank."""
        self._retry_budget(rank).count_request()

    def route(
        self,
        request: RequestState,
        now: Seconds,
        *,
        previous_failure: Failure | None = None,
    ) -> None:
        """Chooses a backend server for an idempotent request and sends the request.

        Args:
            request: Request to route.
            now: Current time.
            previous_failure: Failure of the previous attempt, which is returned to the
                caller if no other backend server is available.
        """
        chosen = self._router.choose(
            request.target, rank=request.rank, now=now, excluded=request.tried_members
        )
        if chosen.is_error():
            self._responses.fail(request, previous_failure or chosen.error, now)
            return
        choice = chosen.ok
        if choice.added_replica:
            self._outbox.log(
                "replica_added",
                now=now,
                request_id=request.request_id,
                cause="candidates above the load bound",
                target=request.target.key,
                replicas=choice.replicas,
            )
        self._outbox.log(
            "request_routed",
            now=now,
            request_id=request.request_id,
            cause=choice.cause,
            member=choice.name,
            rank=request.rank,
        )
        self._requests.assign(request, choice.name)
        self.connect_or_submit(request, now)

    def connect_or_submit(self, request: RequestState, now: Seconds) -> None:
        """Sends a request to its backend server, after connecting if needed."""
        link = self._connections.to_member(request.member)
        if link is not None:
            self.submit(request, link, now)
            return
        request.phase = Phase.CONNECTING
        self.request_connection(request, now)

    def request_connection(self, request: RequestState, now: Seconds) -> None:
        """Ensures a connection to the backend server of a request."""
        member = self._members.get(request.member)
        if member is not None:
            self._connections.ensure_connected(member, now)

    def submit(self, request: RequestState, link: Link, now: Seconds) -> None:
        """Starts a new attempt."""
        check(
            not request.is_answered,
            "no_dispatch_after_an_answer",
            request_id=request.request_id,
        )
        check(
            request.connection is None,
            "one_attempt_at_a_time",
            request_id=request.request_id,
        )
        ticket = request.order.ticket if request.order else None
        check(
            request.order is None
            or (
                ticket is not None
                and (ticket.instance, ticket.incarnation)
                == (link.member, link.peer.incarnation)
            ),
            "order_goes_only_to_the_incarnation_of_its_ticket",
            request_id=request.request_id,
        )
        request.attempt += 1
        request.incarnation = link.peer.incarnation
        request.assembly = ResponseAssembly(
            keeps_data=not request.caller_request.streamed
        )
        request.is_resumed = False
        request.resumed_from = -1
        self._bind(request, link, now)
        caller_request = request.caller_request
        self._outbox.log(
            "request_submitted",
            now=now,
            request_id=request.request_id,
            cause="first attempt" if request.attempt == 1 else "repeated attempt",
            member=request.member,
            attempt=request.attempt,
        )
        self._connections.send(
            link,
            Submit(
                request_id=caller_request.request_id,
                attempt=request.attempt,
                caller=request.caller,
                rank=request.rank,
                adapter_version=request.target.adapter_version,
                path=caller_request.path,
                body=caller_request.body,
                remaining=max(1, int((request.deadline - now) * _MS_PER_SECOND)),
                method=caller_request.method,
                idempotent=request.order is None,
                ticket=request.order.ticket_text if request.order else "",
                body_digest=self._body_digest(request) if request.order else "",
                streamed=caller_request.streamed,
                traceparent=caller_request.traceparent,
            ),
            now,
        )

    def resume(
        self, request: RequestState, link: Link, now: Seconds, *, cause: str
    ) -> None:
        """Requests the missing chunks of the current attempt's response."""
        check(
            not request.is_answered and link.peer.incarnation == request.incarnation,
            "resume_goes_to_the_incarnation_of_the_attempt",
            request_id=request.request_id,
        )
        if request.connection != link.connection:
            request.is_resumed = True
            self._bind(request, link, now)
        request.resumed_from = request.assembly.next_sequence
        self._outbox.log(
            "answer_resumed",
            now=now,
            request_id=request.request_id,
            cause=cause,
            member=request.member,
            sequence=request.resumed_from,
        )
        self._connections.send(
            link, Resume(request.request_id, request.attempt, request.resumed_from), now
        )

    def unbind(
        self, request: RequestState, now: Seconds, *, cancel: bool = False
    ) -> None:
        """Detaches the current attempt from its connection."""
        if request.connection is None:
            return
        link = self._connections.get(request.connection)
        request.connection = None
        member = self._members.get(request.member)
        if member is not None:
            member.in_flight = max(0, member.in_flight - 1)
        if link is None:
            return
        link.in_flight -= 1
        if cancel:
            self._connections.send(
                link, Cancel(request.request_id, request.attempt), now
            )

    def retry(self, request: RequestState, failure: Failure, now: Seconds) -> None:
        """Ends a failed attempt and retries on another backend server if allowed."""
        request.record_failed_attempt(failure)
        was_sent = request.is_sent
        self.unbind(request, now)
        request.tried_members.add(request.member)
        allowed = may_retry(
            failure,
            idempotent=request.order is None,
            started=request.is_started,
            remaining=request.deadline - now,
        )
        if not allowed:
            self._responses.fail(request, failure, now)
            return
        # An attempt that was never sent put no load on a backend server, so its retry
        # is not charged to the budget.
        if was_sent and not self._retry_budget(request.rank).try_acquire(now):
            self._outbox.log(
                "retry_denied",
                now=now,
                request_id=request.request_id,
                cause="retry budget is used up",
                rank=request.rank,
            )
            self._responses.fail(request, failure, now)
            return
        self._outbox.log(
            "request_retried",
            now=now,
            request_id=request.request_id,
            cause=failure.detail,
            member=request.member,
            kind=failure.kind.value,
        )
        request.phase = Phase.CHOOSING
        self.route(request, now, previous_failure=failure)

    def on_link_lost(self, request: RequestState, now: Seconds) -> None:
        """Handles the loss of the connection that a request was sent on."""
        self.unbind(request, now)
        request.phase = Phase.RECONNECTING
        self.request_connection(request, now)

    def on_link_opened(self, request: RequestState, link: Link, now: Seconds) -> None:
        """Handles a new connection to the backend server of an idempotent request."""
        if request.phase is Phase.CONNECTING:
            self.submit(request, link, now)
            return
        if request.phase is not Phase.RECONNECTING:
            return
        if link.peer.incarnation == request.incarnation:
            request.phase = Phase.RUNNING
            self.resume(request, link, now, cause="new connection")
            return
        self.retry(
            request, _connection_lost_failure(request, "the sidecar restarted"), now
        )

    def on_unreachable(
        self, request: RequestState, now: Seconds, *, cause: str
    ) -> None:
        """Handles a failed connection attempt for an idempotent request."""
        if request.phase is Phase.CONNECTING:
            self.retry(request, _unreachable_failure(request, cause), now)
            return
        if request.phase is not Phase.RECONNECTING:
            return
        member = self._members.get(request.member)
        if request.is_started and member is not None and is_contactable(member):
            self.request_connection(request, now)
            return
        self.retry(request, _connection_lost_failure(request, cause), now)

    def expire(self, request: RequestState, now: Seconds) -> None:
        """Fails an idempotent request whose deadline has passed."""
        failure = Failure(
            ErrorKind.DEADLINE_EXCEEDED,
            f"no complete response within the deadline, while {request.phase.value}; "
            "allow more time or send less work",
            RunState.UNKNOWN if request.is_sent else RunState.NOT_RUN,
        )
        request.record_failed_attempt(failure)
        self.unbind(request, now, cancel=True)
        self._responses.fail(request, failure, now)

    def _bind(self, request: RequestState, link: Link, now: Seconds) -> None:
        self.unbind(request, now)
        request.connection = link.connection
        request.phase = Phase.RUNNING
        self._connections.record_request(link, now)
        member = self._members.get(request.member)
        if member is not None:
            member.in_flight += 1

    def _retry_budget(self, rank: int) -> RetryBudget:
        budget = self._budgets.get(rank)
        if budget is None:
            budget = self._budgets[rank] = RetryBudget(
                ratio=self._settings.retry_ratio,
                min_per_second=self._settings.min_retries_per_second,
            )
        return budget


def _connection_lost_failure(request: RequestState, cause: str) -> Failure:
    return Failure(
        ErrorKind.BACKEND_FAILED,
        f"the connection to backend server {request.member!r} was lost during the "
        f"request: {cause}",
        RunState.UNKNOWN,
    )


def _unreachable_failure(request: RequestState, cause: str) -> Failure:
    return Failure(
        ErrorKind.NO_BACKEND_SERVER,
        f"backend server {request.member!r} cannot be reached: {cause}; repeat later",
        RunState.NOT_RUN,
    )
