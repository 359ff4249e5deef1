"""At-most-once execution of orders, which are requests that must not be repeated.

Each order has a ticket, which binds it to one incarnation of one sidecar. The entry
sends the order only to that incarnation, as often as needed: the ledger of the sidecar
deduplicates it by its ticket and replays its outcome. An idempotency key that the
caller chose is first bound to a ticket by a claim in the object API.
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
from fighitch.core.entry.caller_responses import CallerResponses
from fighitch.core.entry.connections import Connections, Link
from fighitch.core.entry.dispatch import Dispatcher
from fighitch.core.entry.indexes import Target
from fighitch.core.entry.membership import Member, Members
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.request_state import Order, Phase, RequestState, RequestTable
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.inputs import ClaimAnswered, ClaimStatus, TicketRequested
from fighitch.core.tickets import Ticket, TicketSigner, is_ticket
from fighitch.types import CallerName, RequestId, Seconds

_NONCE_BITS = 96
# A sidecar rejects with these before it looks up the ticket in its ledger, so they tell
# nothing about earlier uses of the ticket.
_REFUSED_BEFORE_LEDGER = frozenset(
    {ErrorKind.BAD_REQUEST, ErrorKind.FORBIDDEN, ErrorKind.KEY_REQUIRED}
)
_ISSUED_KEY_HINT = (
    "repeat with the same key; for an order that was not sent before, request an "
    "issued key at /v1/idempotency-keys, which works without the object API"
)


@dataclass(frozen=True, slots=True)
class _PendingTicketRequest:
    """Ticket request that awaits a connected sidecar; it fails at its deadline."""

    request_id: RequestId
    caller: CallerName
    target: Target
    rank: int
    deadline: Seconds


class Orders:
    """Issues tickets, binds keys to tickets and dispatches orders."""

    def __init__(
        self,
        *,
        requests: RequestTable,
        members: Members,
        connections: Connections,
        router: Router,
        dispatcher: Dispatcher,
        responses: CallerResponses,
        outbox: Outbox,
        settings: EntrySettings,
        signer: TicketSigner,
        rng: random.Random,
    ) -> None:
        self._requests = requests
        self._members = members
        self._connections = connections
        self._router = router
        self._dispatcher = dispatcher
        self._responses = responses
        self._outbox = outbox
        self._settings = settings
        self._signer = signer
        self._rng = rng
        self._pending: dict[RequestId, _PendingTicketRequest] = {}
        self._awaiting_sidecar: set[RequestId] = set()

    @property
    def pending_tickets(self) -> int:
        """Number of ticket requests that await a connected sidecar."""
        return len(self._pending)

    def start(self, request: RequestState, now: Seconds) -> None:
        """Starts an order: verifies its ticket or binds its key to a new ticket."""
        key = request.caller_request.idempotency_key
        if not key:
            self._responses.fail(request, _key_required_failure(), now)
            return
        request.order = Order(key)
        if is_ticket(key):
            self._use_ticket(request, key, now)
            return
        request.order.claim = claim_name(request.caller, key)
        self._awaiting_sidecar.add(request.request_id)
        self._create_claim(request, now)

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
        pending = _PendingTicketRequest(
            request.request_id,
            caller,
            target,
            rank,
            now + self._settings.ticket_timeout,
        )
        self._pending[request.request_id] = pending
        self._try_issue(pending, now)

    def apply_claim_answer(self, answer: ClaimAnswered, now: Seconds) -> None:
        """Continues an order with the object API's response about its claim."""
        request = self._requests.get(answer.request_id)
        if (
            request is None
            or request.order is None
            or request.phase is not Phase.CLAIMING
            or request.order.claim != answer.name
        ):
            self._outbox.log(
                "claim_answer_dropped",
                now=now,
                request_id=answer.request_id,
                cause="no request awaits it",
                status=answer.status.value,
            )
            return
        self._outbox.log(
            "claim_answered",
            now=now,
            request_id=request.request_id,
            cause=answer.status.value,
        )
        self._apply_claim_status(request, request.order, answer, now)

    def on_link_opened(self, request: RequestState, link: Link, now: Seconds) -> None:
        """Handles a new connection to the sidecar that the order is bound to."""
        if request.phase not in (Phase.CONNECTING, Phase.RECONNECTING):
            return
        ticket = request.order.ticket if request.order else None
        if ticket is None:
            return
        if link.peer.incarnation != ticket.incarnation:
            self._fail_ended_incarnation(request, now)
        elif request.is_started:
            self._dispatcher.resume(request, link, now, cause="new connection")
        else:
            # The ledger joins the running order or replays its outcome, whether or not
            # the first Submit arrived. Until it responds, the outcome is unknown.
            request.may_have_run = request.may_have_run or request.is_sent
            self._dispatcher.submit(request, link, now)

    def on_unreachable(self, request: RequestState, now: Seconds) -> None:
        """Keeps connecting to the only sidecar that may run the order."""
        if request.phase not in (Phase.CONNECTING, Phase.RECONNECTING):
            return
        ticket = request.order.ticket if request.order else None
        if ticket and self._members.has_ended(ticket.instance, ticket.incarnation):
            self._fail_ended_incarnation(request, now)
            return
        self._dispatcher.request_connection(request, now)

    def fail_attempt(
        self, request: RequestState, failure: Failure, now: Seconds
    ) -> None:
        """Fails the order with the failure of its attempt."""
        if request.order is not None and failure.kind not in _REFUSED_BEFORE_LEDGER:
            request.order.is_outcome_known = True
        request.record_failed_attempt(failure)
        self._dispatcher.unbind(request, now)
        self._responses.fail(request, failure, now)

    def expire(self, request: RequestState, now: Seconds) -> None:
        """Fails an order whose deadline has passed; the sidecar may still run it."""
        order = request.order
        self._awaiting_sidecar.discard(request.request_id)
        if order is None or request.phase is Phase.CHOOSING:
            failure = Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f"no sidecar for {request.target.key!r} was reached within the "
                "deadline; repeat with the same key",
                RunState.NOT_RUN,
                self._settings.default_retry_after,
            )
        elif request.phase is Phase.CLAIMING:
            failure = self._platform_unavailable("did not respond within the deadline")
        else:
            failure = Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f"backend server {request.member!r} reported no outcome within the "
                "deadline; repeat with the same key to get it",
                RunState.UNKNOWN,
            )
        request.record_failed_attempt(failure)
        self._dispatcher.unbind(request, now)
        self._responses.fail(request, failure, now)

    def on_caller_disconnected(self, request: RequestState, now: Seconds) -> None:
        """Handles the disconnection of the caller of an order.

        An order that may have been sent is not cancelled, so that a repeated request
        gets its outcome.
        """
        if request.is_sent or request.may_have_run:
            request.is_abandoned = True
            return
        self._awaiting_sidecar.discard(request.request_id)
        self._responses.drop(request, now, cause="caller disconnected before dispatch")

    def cancel_ticket_request(self, request_id: RequestId) -> None:
        """Removes a ticket request whose caller disconnected."""
        self._pending.pop(request_id, None)

    def retry_pending(self, now: Seconds) -> None:
        """Retries the orders and ticket requests that await a connected sidecar."""
        for pending in list(self._pending.values()):
            self._try_issue(pending, now)
        for request_id in sorted(self._awaiting_sidecar):
            request = self._requests.get(request_id)
            if request is None:
                self._awaiting_sidecar.discard(request_id)
            else:
                self._create_claim(request, now)

    def _use_ticket(self, request: RequestState, text: str, now: Seconds) -> None:
        verified = self._verify(text, request)
        if verified.is_error():
            self._responses.fail(request, verified.error, now)
            return
        assert request.order is not None
        request.order.ticket = verified.ok
        request.order.ticket_text = text
        self._dispatch(request, verified.ok, now)

    def _verify(self, text: str, request: RequestState) -> Result[Ticket, Failure]:
        verified = self._signer.verify(text)
        if verified.is_error():
            # The ticket may have been valid before a rotation of the signing keys, and
            # the order may have run then.
            failure = dataclasses.replace(
                verified.error, run_state_override=RunState.UNKNOWN
            )
            return Error(failure)
        ticket = verified.ok
        if ticket.caller != request.caller:
            detail = (
                f"the Idempotency-Key was issued to another caller than "
                f"{request.caller!r}; request one at /v1/idempotency-keys"
            )
            return Error(Failure(ErrorKind.FORBIDDEN, detail))
        member = self._members.get(ticket.instance)
        if member is not None and not _serves(member, request.target):
            detail = (
                f"the Idempotency-Key belongs to backend server {ticket.instance!r}, "
                f"which does not serve {request.target.key!r}; request a new key"
            )
            return Error(Failure(ErrorKind.KEY_REUSED, detail))
        return Ok(ticket)

    def _dispatch(self, request: RequestState, ticket: Ticket, now: Seconds) -> None:
        if self._members.has_ended(ticket.instance, ticket.incarnation):
            self._fail_ended_incarnation(request, now)
            return
        self._requests.assign(request, ticket.instance)
        self._outbox.log(
            "order_routed",
            now=now,
            request_id=request.request_id,
            cause="incarnation of the ticket",
            member=ticket.instance,
        )
        self._dispatcher.connect_or_submit(request, now)

    def _fail_ended_incarnation(self, request: RequestState, now: Seconds) -> None:
        """Fails an order whose outcome was lost with the ledger of its sidecar.

        The run state is unknown even if this entry sent nothing, because another entry
        may have sent an order with the same ticket.
        """
        ticket = request.order.ticket if request.order else None
        instance = ticket.instance if ticket else request.member
        was_sent = request.is_sent or request.may_have_run
        failure = Failure(
            ErrorKind.OUTCOME_UNKNOWN if was_sent else ErrorKind.KEY_EXPIRED,
            f"the only incarnation of the sidecar of backend server {instance!r} that "
            "may run this order has ended; check whether the order ran before you "
            "repeat it with a new key",
            RunState.UNKNOWN,
        )
        request.record_failed_attempt(failure)
        self._dispatcher.unbind(request, now)
        self._responses.fail(request, failure, now)

    def _create_claim(self, request: RequestState, now: Seconds) -> None:
        """Claims a caller-chosen key for a new ticket, once a sidecar is connected."""
        created = self._create_ticket(request.target, request.caller, request.rank, now)
        if created.is_error():
            self._awaiting_sidecar.discard(request.request_id)
            self._responses.fail(request, created.error, now)
            return
        if not created.ok:
            return
        self._awaiting_sidecar.discard(request.request_id)
        assert request.order is not None
        request.order.ticket_text = created.ok
        request.phase = Phase.CLAIMING
        self._outbox.add(
            CreateClaim(request.request_id, request.order.claim, created.ok)
        )

    def _try_issue(self, pending: _PendingTicketRequest, now: Seconds) -> None:
        created = self._create_ticket(pending.target, pending.caller, pending.rank, now)
        if created.is_ok() and not created.ok and now < pending.deadline:
            return
        del self._pending[pending.request_id]
        if created.is_ok() and created.ok:
            self._outbox.log(
                "ticket_issued",
                now=now,
                request_id=pending.request_id,
                cause="requested by caller",
            )
            self._outbox.add(TicketIssued(pending.request_id, created.ok))
            return
        failure = (
            created.error
            if created.is_error()
            else Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f"no sidecar for {pending.target.key!r} responded within "
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

    def _create_ticket(
        self, target: Target, caller: CallerName, rank: int, now: Seconds
    ) -> Result[str, Failure]:
        """Returns a ticket for a connected sidecar; empty if none is connected yet."""
        chosen = self._router.choose(
            target, rank=rank, now=now, is_allowed=self._can_issue
        )
        if chosen.is_error():
            return self._connect_for_ticket(target, rank, now)
        link = self._connections.to_member(chosen.ok.name)
        member = self._members.get(chosen.ok.name)
        assert link is not None and member is not None
        assert member.ticket_epoch is not None
        nonce = f"{self._rng.getrandbits(_NONCE_BITS):x}"
        ticket = Ticket(
            caller, member.name, link.peer.incarnation, member.ticket_epoch, nonce
        )
        return Ok(self._signer.sign(ticket))

    def _can_issue(self, member: Member) -> bool:
        has_link = self._connections.to_member(member.name) is not None
        return has_link and member.ticket_epoch is not None

    def _connect_for_ticket(
        self, target: Target, rank: int, now: Seconds
    ) -> Result[str, Failure]:
        """Connects to a sidecar; returns an empty ticket, or why no sidecar serves."""
        chosen = self._router.choose(target, rank=rank, now=now)
        if chosen.is_error():
            return Error(chosen.error)
        member = self._members.get(chosen.ok.name)
        if member is not None:
            self._connections.ensure_connected(member, now)
        return Ok("")

    def _apply_claim_status(
        self, request: RequestState, order: Order, answer: ClaimAnswered, now: Seconds
    ) -> None:
        if answer.status is ClaimStatus.CREATED:
            # The key was not used before, unless a response was lost: then the same
            # ticket was written twice, and an earlier request may own the claim.
            order.is_outcome_known = order.lost_answers == 0
            self._use_ticket(request, order.ticket_text, now)
        elif answer.status is ClaimStatus.EXISTS:
            self._use_ticket(request, answer.ticket, now)
        elif answer.status is ClaimStatus.NOT_FOUND:
            # The write has not taken effect, so the same ticket is written again.
            self._outbox.add(
                CreateClaim(request.request_id, order.claim, order.ticket_text)
            )
        elif answer.status is ClaimStatus.UNAVAILABLE:
            self._responses.fail(request, self._platform_unavailable("is down"), now)
        elif order.lost_answers >= self._settings.max_lost_claim_answers:
            failure = self._platform_unavailable(
                f"lost {order.lost_answers + 1} responses in a row"
            )
            self._responses.fail(request, failure, now)
        else:
            order.lost_answers += 1
            self._outbox.add(ReadClaim(request.request_id, order.claim))

    def _platform_unavailable(self, problem: str) -> Failure:
        return Failure(
            ErrorKind.PLATFORM_UNAVAILABLE,
            f"the object API, which binds caller-chosen keys, {problem}; "
            f"{_ISSUED_KEY_HINT}",
            RunState.NOT_RUN,
            self._settings.default_retry_after,
        )


def claim_name(caller: CallerName, key: str) -> str:
    """Returns the name of the claim for a caller-chosen key."""
    # The length prefix prevents collisions such as ("ab", "c") and ("a", "bc").
    content = f"{len(caller)}:{caller}{key}"
    return hashlib.sha256(content.encode()).hexdigest()


def body_digest(request: RequestState) -> str:
    """Returns a digest of method, path and body.

    A sidecar compares it to detect that a key is reused for another request.
    """
    caller_request = request.caller_request
    digest = hashlib.sha256()
    for part in (
        caller_request.method.encode(),
        caller_request.path.encode(),
        caller_request.body,
    ):
        # The length prefix makes the boundaries between the parts unambiguous.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _serves(member: Member, target: Target) -> bool:
    spec = member.server.spec
    if target.adapter_version is None:
        return bool(spec.service == target.service)
    return bool(spec.model == target.model)


def _key_required_failure() -> Failure:
    return Failure(
        ErrorKind.KEY_REQUIRED,
        "this work must not be repeated and needs an Idempotency-Key header; request "
        "a key at /v1/idempotency-keys or choose one of your own",
    )
