"""At-most-once work at the entry.

Every order carries a ticket, which binds it to one incarnation of one sidecar. The
entry sends the order only there, as often as needed: the sidecar's ledger runs it once
and repeats its outcome. A key that the caller chose is first bound to a ticket by a
claim in the object API.
"""

import dataclasses
import hashlib
import random
from dataclasses import dataclass

from expression import Error, Ok, Result

from fighitch.core.effects import (
    AnswerFailed,
    CreateClaim,
    ReadClaim,
    TicketIssued,
)
from fighitch.core.entry.attempts import Order, Phase, Work, WorkTable
from fighitch.core.entry.connections import Connections, Link
from fighitch.core.entry.dispatch import Dispatcher
from fighitch.core.entry.indexes import Target
from fighitch.core.entry.membership import Member, Members
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.replies import Replies
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.inputs import ClaimAnswered, ClaimStatus, TicketRequested
from fighitch.core.tickets import Ticket, TicketSigner, is_ticket
from fighitch.types import CallerName, RequestId, Seconds

_NONCE_BITS = 96
# A sidecar refuses these before it looks for the ticket in its ledger.
_REFUSED_BEFORE_LEDGER = frozenset(
    {ErrorKind.BAD_REQUEST, ErrorKind.FORBIDDEN, ErrorKind.KEY_REQUIRED}
)
_ISSUED_KEY_HINT = (
    "repeat with the same key; for an order that was not sent before, request an "
    "issued key at /v1/idempotency-keys, which works without the object API"
)


@dataclass(frozen=True, slots=True)
class _PendingTicket:
    request_id: RequestId
    caller: CallerName
    target: Target
    rank: int
    deadline: Seconds


class Orders:
    """Issues tickets, binds keys to them and sends orders where they may run."""

    def __init__(
        self,
        *,
        works: WorkTable,
        members: Members,
        connections: Connections,
        router: Router,
        dispatcher: Dispatcher,
        replies: Replies,
        outbox: Outbox,
        settings: EntrySettings,
        signer: TicketSigner,
        rng: random.Random,
    ) -> None:
        self._works = works
        self._members = members
        self._connections = connections
        self._router = router
        self._dispatcher = dispatcher
        self._replies = replies
        self._outbox = outbox
        self._settings = settings
        self._signer = signer
        self._rng = rng
        self._pending: dict[RequestId, _PendingTicket] = {}
        self._choosing: set[RequestId] = set()

    @property
    def pending_tickets(self) -> int:
        """Number of ticket requests that wait for a sidecar."""
        return len(self._pending)

    def begin(self, work: Work, now: Seconds) -> None:
        """Starts an order: verifies its ticket or binds its key to a new one."""
        key = work.request.idempotency_key
        if not key:
            self._replies.fail(work, _key_required(), now)
            return
        work.order = Order(key)
        if is_ticket(key):
            self._take_ticket(work, key, now)
            return
        work.order.claim = claim_name(work.caller, key)
        self._choosing.add(work.request_id)
        self._choose(work, now)

    def request_ticket(
        self,
        request: TicketRequested,
        *,
        caller: CallerName,
        target: Target,
        rank: int,
        now: Seconds,
    ) -> None:
        """Issues a ticket, after connecting to a sidecar if needed."""
        pending = _PendingTicket(
            request.request_id,
            caller,
            target,
            rank,
            now + self._settings.ticket_timeout,
        )
        self._pending[request.request_id] = pending
        self._issue(pending, now)

    def claim_answered(self, answer: ClaimAnswered, now: Seconds) -> None:
        """Handles the object API's answer about a claim."""
        work = self._works.get(answer.request_id)
        if (
            work is None
            or work.order is None
            or work.phase is not Phase.CLAIMING
            or work.order.claim != answer.name
        ):
            self._outbox.log(
                "claim_answer_dropped",
                now=now,
                request_id=answer.request_id,
                cause="no request waits for it",
                status=answer.status.value,
            )
            return
        self._outbox.log(
            "claim_answered",
            now=now,
            request_id=work.request_id,
            cause=answer.status.value,
        )
        self._settle_claim(work, work.order, answer, now)

    def link_opened(self, work: Work, link: Link, now: Seconds) -> None:
        """Handles a new connection to the sidecar of an order's ticket."""
        if work.phase not in (Phase.CONNECTING, Phase.RECONNECTING):
            return
        ticket = work.order.ticket if work.order else None
        if ticket is None:
            return
        if link.peer.incarnation != ticket.incarnation:
            self._incarnation_gone(work, now)
        elif work.is_started:
            self._dispatcher.resume(work, link, now, cause="new connection")
        else:
            # The ledger joins the running order or repeats its outcome, also if the
            # first message never arrived. What happens to it is unknown until then.
            work.may_have_run = work.may_have_run or work.is_sent
            self._dispatcher.submit(work, link, now)

    def unreachable(self, work: Work, now: Seconds) -> None:
        """Keeps trying to reach the only sidecar that may run the order."""
        if work.phase not in (Phase.CONNECTING, Phase.RECONNECTING):
            return
        ticket = work.order.ticket if work.order else None
        if ticket and self._members.is_gone(ticket.instance, ticket.incarnation):
            self._incarnation_gone(work, now)
            return
        self._dispatcher.want_connection(work, now)

    def attempt_failed(self, work: Work, failure: Failure, now: Seconds) -> None:
        """Passes on why the sidecar did not answer the order."""
        if work.order is not None and failure.kind not in _REFUSED_BEFORE_LEDGER:
            work.order.is_outcome_known = True
        work.end_attempt(failure)
        self._dispatcher.unbind(work, now)
        self._replies.fail(work, failure, now)

    def expire(self, work: Work, now: Seconds) -> None:
        """Ends an order whose deadline has passed; it may still run."""
        order = work.order
        self._choosing.discard(work.request_id)
        if order is None or work.phase is Phase.CHOOSING:
            failure = Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f"no sidecar for {work.target.key!r} was reached within the deadline; "
                "repeat with the same key",
                RunState.NOT_RUN,
                self._settings.default_retry_after,
            )
        elif work.phase is Phase.CLAIMING:
            failure = self._platform_unavailable("did not answer within the deadline")
        else:
            failure = Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f"backend server {work.member!r} gave no outcome within the deadline; "
                "repeat with the same key to learn it",
                RunState.UNKNOWN,
            )
        work.end_attempt(failure)
        self._dispatcher.unbind(work, now)
        self._replies.fail(work, failure, now)

    def abandon(self, work: Work, now: Seconds) -> None:
        """Handles the loss of the caller of an order.

        What may have been sent runs on, so that its outcome is kept for a repetition.
        """
        if work.is_sent or work.may_have_run:
            work.is_abandoned = True
            return
        self._choosing.discard(work.request_id)
        self._replies.drop(work, now, cause="caller gone before dispatch")

    def abandon_ticket(self, request_id: RequestId) -> None:
        """Forgets a ticket request whose caller is gone."""
        self._pending.pop(request_id, None)

    def advance(self, now: Seconds) -> None:
        """Continues orders and ticket requests that wait for any sidecar."""
        for pending in list(self._pending.values()):
            self._issue(pending, now)
        for request_id in sorted(self._choosing):
            work = self._works.get(request_id)
            if work is None:
                self._choosing.discard(request_id)
            else:
                self._choose(work, now)

    def _take_ticket(self, work: Work, text: str, now: Seconds) -> None:
        verified = self._verify(text, work)
        if verified.is_error():
            self._replies.fail(work, verified.error, now)
            return
        assert work.order is not None
        work.order.ticket = verified.ok
        work.order.text = text
        self._dispatch(work, verified.ok, now)

    def _verify(self, text: str, work: Work) -> Result[Ticket, Failure]:
        verified = self._signer.verify(text)
        if verified.is_error():
            # The key may have been valid until a key rotation, and the order may have
            # run then.
            failure = dataclasses.replace(
                verified.error, run_state_override=RunState.UNKNOWN
            )
            return Error(failure)
        ticket = verified.ok
        if ticket.caller != work.caller:
            detail = (
                f"the Idempotency-Key was issued to another caller than "
                f"{work.caller!r}; request one at /v1/idempotency-keys"
            )
            return Error(Failure(ErrorKind.FORBIDDEN, detail))
        member = self._members.get(ticket.instance)
        if member is not None and not _serves(member, work.target):
            detail = (
                f"the Idempotency-Key belongs to backend server {ticket.instance!r}, "
                f"which does not serve {work.target.key!r}; request a new key"
            )
            return Error(Failure(ErrorKind.KEY_REUSED, detail))
        return Ok(ticket)

    def _dispatch(self, work: Work, ticket: Ticket, now: Seconds) -> None:
        if self._members.is_gone(ticket.instance, ticket.incarnation):
            self._incarnation_gone(work, now)
            return
        self._works.assign(work, ticket.instance)
        self._outbox.log(
            "order_routed",
            now=now,
            request_id=work.request_id,
            cause="incarnation of the ticket",
            member=ticket.instance,
        )
        self._dispatcher.connect_or_submit(work, now)

    def _incarnation_gone(self, work: Work, now: Seconds) -> None:
        """Answers that nobody can tell the outcome.

        Even if this entry sent nothing, another one may have sent an order with the
        same ticket, so the run state is unknown.
        """
        ticket = work.order.ticket if work.order else None
        instance = ticket.instance if ticket else work.member
        was_sent = work.is_sent or work.may_have_run
        failure = Failure(
            ErrorKind.OUTCOME_UNKNOWN if was_sent else ErrorKind.KEY_EXPIRED,
            f"the sidecar of backend server {instance!r} that alone could run this "
            "order is gone; check whether it ran before repeating it with a new key",
            RunState.UNKNOWN,
        )
        work.end_attempt(failure)
        self._dispatcher.unbind(work, now)
        self._replies.fail(work, failure, now)

    def _choose(self, work: Work, now: Seconds) -> None:
        """Mints the ticket of a caller-chosen key once a sidecar is connected."""
        minted = self._mint(work.target, work.caller, work.rank, now)
        if minted.is_error():
            self._choosing.discard(work.request_id)
            self._replies.fail(work, minted.error, now)
            return
        if not minted.ok:
            return
        self._choosing.discard(work.request_id)
        assert work.order is not None
        work.order.text = minted.ok
        work.phase = Phase.CLAIMING
        self._outbox.add(CreateClaim(work.request_id, work.order.claim, minted.ok))

    def _issue(self, pending: _PendingTicket, now: Seconds) -> None:
        minted = self._mint(pending.target, pending.caller, pending.rank, now)
        if minted.is_ok() and not minted.ok and now < pending.deadline:
            return
        del self._pending[pending.request_id]
        if minted.is_ok() and minted.ok:
            self._outbox.log(
                "ticket_issued",
                now=now,
                request_id=pending.request_id,
                cause="requested by caller",
            )
            self._outbox.add(TicketIssued(pending.request_id, minted.ok))
            return
        failure = (
            minted.error
            if minted.is_error()
            else Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f"no sidecar for {pending.target.key!r} answered within "
                f"{self._settings.ticket_timeout} s; repeat the request",
                RunState.NOT_RUN,
                self._settings.default_retry_after,
            )
        )
        self._outbox.log(
            "ticket_refused",
            now=now,
            request_id=pending.request_id,
            cause=failure.detail,
            kind=failure.kind.value,
        )
        self._outbox.add(AnswerFailed(pending.request_id, failure))

    def _mint(
        self, target: Target, caller: CallerName, rank: int, now: Seconds
    ) -> Result[str, Failure]:
        """Returns a ticket for a live sidecar; empty text if one must be awaited."""
        chosen = self._router.choose(
            target, rank=rank, now=now, is_allowed=self._can_issue
        )
        if chosen.is_error():
            return self._connect_any(target, rank, now)
        link = self._connections.to(chosen.ok.name)
        member = self._members.get(chosen.ok.name)
        assert link is not None and member is not None
        assert member.ticket_epoch is not None
        nonce = f"{self._rng.getrandbits(_NONCE_BITS):x}"
        ticket = Ticket(
            caller, member.name, link.peer.incarnation, member.ticket_epoch, nonce
        )
        return Ok(self._signer.sign(ticket))

    def _can_issue(self, member: Member) -> bool:
        has_link = self._connections.to(member.name) is not None
        return has_link and member.ticket_epoch is not None

    def _connect_any(
        self, target: Target, rank: int, now: Seconds
    ) -> Result[str, Failure]:
        chosen = self._router.choose(target, rank=rank, now=now)
        if chosen.is_error():
            return Error(chosen.error)
        member = self._members.get(chosen.ok.name)
        if member is not None:
            self._connections.want(member, now)
        return Ok("")

    def _settle_claim(
        self, work: Work, order: Order, answer: ClaimAnswered, now: Seconds
    ) -> None:
        if answer.status is ClaimStatus.CREATED:
            # The key was not used before. After a lost answer the claim may be that of
            # an earlier request, since the same ticket was written twice.
            order.is_outcome_known = order.lost_answers == 0
            self._take_ticket(work, order.text, now)
        elif answer.status is ClaimStatus.EXISTS:
            self._take_ticket(work, answer.ticket, now)
        elif answer.status is ClaimStatus.NOT_FOUND:
            # The lost write did not take effect, or not yet: the same ticket again.
            self._outbox.add(CreateClaim(work.request_id, order.claim, order.text))
        elif answer.status is ClaimStatus.UNAVAILABLE:
            self._replies.fail(work, self._platform_unavailable("is down"), now)
        elif order.lost_answers >= self._settings.max_lost_claim_answers:
            failure = self._platform_unavailable(
                f"lost {order.lost_answers + 1} answers in a row"
            )
            self._replies.fail(work, failure, now)
        else:
            order.lost_answers += 1
            self._outbox.add(ReadClaim(work.request_id, order.claim))

    def _platform_unavailable(self, problem: str) -> Failure:
        return Failure(
            ErrorKind.PLATFORM_UNAVAILABLE,
            f"the object API, which binds caller-chosen keys, {problem}; "
            f"{_ISSUED_KEY_HINT}",
            RunState.NOT_RUN,
            self._settings.default_retry_after,
        )


def claim_name(caller: CallerName, key: str) -> str:
    """Returns the name of the claim for a caller's own key."""
    # The length keeps (caller, key) pairs apart that read the same when joined.
    content = f"{len(caller)}:{caller}{key}"
    return hashlib.sha256(content.encode()).hexdigest()


def body_digest(work: Work) -> str:
    """Returns the digest by which a sidecar detects a key used for other content."""
    request = work.request
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _serves(member: Member, target: Target) -> bool:
    spec = member.server.spec
    if target.adapter_version is None:
        return bool(spec.service == target.service)
    return bool(spec.model == target.model)


def _key_required() -> Failure:
    return Failure(
        ErrorKind.KEY_REQUIRED,
        "this work must not be repeated and needs an Idempotency-Key header; request "
        "a key at /v1/idempotency-keys or choose one of your own",
    )
