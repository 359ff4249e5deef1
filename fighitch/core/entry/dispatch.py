"""Sending requests to sidecars, and what follows when an attempt ends early."""

from collections.abc import Callable

from fighitch.core.entry.assembly import ResponseAssembly
from fighitch.core.entry.connections import Connections, Link, is_contactable
from fighitch.core.entry.membership import Members
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.replies import Replies
from fighitch.core.entry.request_state import Phase, RequestState, WorkTable
from fighitch.core.entry.retries import RetryBudget, may_retry
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.invariants import check
from fighitch.core.messages import Cancel, Resume, Submit
from fighitch.types import Seconds

_MILLISECONDS = 1_000


class Dispatcher:
    """Moves requests between backend servers, connections and attempts."""

    def __init__(
        self,
        *,
        works: WorkTable,
        members: Members,
        connections: Connections,
        router: Router,
        replies: Replies,
        outbox: Outbox,
        settings: EntrySettings,
        body_digest: Callable[[RequestState], str],
    ) -> None:
        self._works = works
        self._members = members
        self._connections = connections
        self._router = router
        self._replies = replies
        self._outbox = outbox
        self._settings = settings
        self._body_digest = body_digest
        self._budgets: dict[int, RetryBudget] = {}

    def count_request(self, rank: int) -> None:
        """Adds a new request to the retry budget of its rank."""
        self._budget(rank).count_request()

    def route(
        self, work: RequestState, now: Seconds, *, after: Failure | None = None
    ) -> None:
        """Chooses a backend server for idempotent work and sends the work there.

        Args:
            work: The request.
            now: Current time.
            after: Failure of the previous attempt, which is the answer if there is
                no other backend server.
        """
        chosen = self._router.choose(
            work.target, rank=work.rank, now=now, excluded=work.tried
        )
        if chosen.is_error():
            self._replies.fail(work, after or chosen.error, now)
            return
        choice = chosen.ok
        if choice.has_grown:
            self._outbox.log(
                "replica_added",
                now=now,
                request_id=work.request_id,
                cause="candidates above the load bound",
                target=work.target.key,
                replicas=choice.replicas,
            )
        self._outbox.log(
            "request_routed",
            now=now,
            request_id=work.request_id,
            cause=choice.cause,
            member=choice.name,
            rank=work.rank,
        )
        self._works.assign(work, choice.name)
        self.connect_or_submit(work, now)

    def connect_or_submit(self, work: RequestState, now: Seconds) -> None:
        """Sends work to its backend server, after connecting if needed."""
        link = self._connections.to(work.member)
        if link is not None:
            self.submit(work, link, now)
            return
        work.phase = Phase.CONNECTING
        self.want_connection(work, now)

    def want_connection(self, work: RequestState, now: Seconds) -> None:
        """Asks for a connection to the backend server of a request."""
        member = self._members.get(work.member)
        if member is not None:
            self._connections.want(member, now)

    def submit(self, work: RequestState, link: Link, now: Seconds) -> None:
        """Sends a new attempt."""
        check(
            not work.is_answered,
            "no_dispatch_after_an_answer",
            request_id=work.request_id,
        )
        check(
            work.connection is None,
            "one_attempt_at_a_time",
            request_id=work.request_id,
        )
        ticket = work.order.ticket if work.order else None
        check(
            work.order is None
            or (
                ticket is not None
                and (ticket.instance, ticket.incarnation)
                == (link.member, link.peer.incarnation)
            ),
            "order_goes_only_to_the_incarnation_of_its_ticket",
            request_id=work.request_id,
        )
        work.attempt += 1
        work.incarnation = link.peer.incarnation
        work.assembly = ResponseAssembly(keeps_data=not work.request.streamed)
        work.is_resumed = False
        work.resumed_from = -1
        self._bind(work, link, now)
        request = work.request
        self._outbox.log(
            "request_submitted",
            now=now,
            request_id=work.request_id,
            cause="first attempt" if work.attempt == 1 else "repeated attempt",
            member=work.member,
            attempt=work.attempt,
        )
        self._connections.send(
            link,
            Submit(
                request_id=request.request_id,
                attempt=work.attempt,
                caller=work.caller,
                rank=work.rank,
                adapter_version=work.target.adapter_version,
                path=request.path,
                body=request.body,
                remaining=max(1, int((work.deadline - now) * _MILLISECONDS)),
                method=request.method,
                idempotent=work.order is None,
                ticket=work.order.text if work.order else "",
                body_digest=self._body_digest(work) if work.order else "",
                streamed=request.streamed,
                traceparent=request.traceparent,
            ),
            now,
        )

    def resume(
        self, work: RequestState, link: Link, now: Seconds, *, cause: str
    ) -> None:
        """Asks for the rest of the current attempt's answer."""
        check(
            not work.is_answered and link.peer.incarnation == work.incarnation,
            "resume_goes_to_the_incarnation_of_the_attempt",
            request_id=work.request_id,
        )
        if work.connection != link.connection:
            work.is_resumed = True
            self._bind(work, link, now)
        work.resumed_from = work.assembly.next_sequence
        self._outbox.log(
            "answer_resumed",
            now=now,
            request_id=work.request_id,
            cause=cause,
            member=work.member,
            sequence=work.resumed_from,
        )
        self._connections.send(
            link, Resume(work.request_id, work.attempt, work.resumed_from), now
        )

    def unbind(self, work: RequestState, now: Seconds, *, cancel: bool = False) -> None:
        """Detaches the current attempt from its connection."""
        if work.connection is None:
            return
        link = self._connections.get(work.connection)
        work.connection = None
        member = self._members.get(work.member)
        if member is not None:
            member.in_flight = max(0, member.in_flight - 1)
        if link is None:
            return
        link.in_flight -= 1
        if cancel:
            self._connections.send(link, Cancel(work.request_id, work.attempt), now)

    def retry(self, work: RequestState, failure: Failure, now: Seconds) -> None:
        """Ends the attempt of idempotent work and tries elsewhere if allowed."""
        work.end_attempt(failure)
        was_sent = work.is_sent
        self.unbind(work, now)
        work.tried.add(work.member)
        allowed = may_retry(
            failure,
            idempotent=work.order is None,
            started=work.is_started,
            remaining=work.deadline - now,
        )
        if not allowed:
            self._replies.fail(work, failure, now)
            return
        # An attempt that was never sent cost no backend server anything.
        if was_sent and not self._budget(work.rank).try_take(now):
            self._outbox.log(
                "retry_denied",
                now=now,
                request_id=work.request_id,
                cause="retry budget is used up",
                rank=work.rank,
            )
            self._replies.fail(work, failure, now)
            return
        self._outbox.log(
            "request_retried",
            now=now,
            request_id=work.request_id,
            cause=failure.detail,
            member=work.member,
            kind=failure.kind.value,
        )
        work.phase = Phase.CHOOSING
        self.route(work, now, after=failure)

    def link_lost(self, work: RequestState, now: Seconds) -> None:
        """Handles the loss of the connection of a sent request."""
        self.unbind(work, now)
        work.phase = Phase.RECONNECTING
        self.want_connection(work, now)

    def link_opened(self, work: RequestState, link: Link, now: Seconds) -> None:
        """Handles a new connection to the backend server of idempotent work."""
        if work.phase is Phase.CONNECTING:
            self.submit(work, link, now)
            return
        if work.phase is not Phase.RECONNECTING:
            return
        if link.peer.incarnation == work.incarnation:
            work.phase = Phase.RUNNING
            self.resume(work, link, now, cause="new connection")
            return
        self.retry(work, _lost(work, "the sidecar restarted"), now)

    def unreachable(self, work: RequestState, now: Seconds, *, cause: str) -> None:
        """Handles a failed connection attempt for idempotent work."""
        if work.phase is Phase.CONNECTING:
            self.retry(work, _unreached(work, cause), now)
            return
        if work.phase is not Phase.RECONNECTING:
            return
        member = self._members.get(work.member)
        if work.is_started and member is not None and is_contactable(member):
            self.want_connection(work, now)
            return
        self.retry(work, _lost(work, cause), now)

    def expire(self, work: RequestState, now: Seconds) -> None:
        """Ends idempotent work whose deadline has passed."""
        failure = Failure(
            ErrorKind.DEADLINE_EXCEEDED,
            f"no whole answer within the deadline, while {work.phase.value}; allow "
            "more time or send less work",
            RunState.UNKNOWN if work.is_sent else RunState.NOT_RUN,
        )
        work.end_attempt(failure)
        self.unbind(work, now, cancel=True)
        self._replies.fail(work, failure, now)

    def _bind(self, work: RequestState, link: Link, now: Seconds) -> None:
        self.unbind(work, now)
        work.connection = link.connection
        work.phase = Phase.RUNNING
        self._connections.bound(link, now)
        member = self._members.get(work.member)
        if member is not None:
            member.in_flight += 1

    def _budget(self, rank: int) -> RetryBudget:
        budget = self._budgets.get(rank)
        if budget is None:
            budget = self._budgets[rank] = RetryBudget(
                ratio=self._settings.retry_ratio, minimum=self._settings.retry_minimum
            )
        return budget


def _lost(work: RequestState, cause: str) -> Failure:
    return Failure(
        ErrorKind.BACKEND_FAILED,
        f"the connection to backend server {work.member!r} was lost during the "
        f"request: {cause}",
        RunState.UNKNOWN,
    )


def _unreached(work: RequestState, cause: str) -> Failure:
    return Failure(
        ErrorKind.NO_BACKEND_SERVER,
        f"backend server {work.member!r} cannot be reached: {cause}; repeat later",
        RunState.NOT_RUN,
    )
