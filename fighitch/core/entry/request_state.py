"""State of the requests in flight at an entry and of their current attempts."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from fighitch.core.entry.assembly import ResponseAssembly
from fighitch.core.entry.indexes import Target
from fighitch.core.errors import Failure, RunState
from fighitch.core.inputs import CallerRequest
from fighitch.core.resources import WorkPolicySpec
from fighitch.core.tickets import Ticket
from fighitch.types import (
    CallerName,
    ConnectionId,
    Incarnation,
    InstanceName,
    RequestId,
    Seconds,
)


class Phase(Enum):
    """Processing phase of a request in flight.

    Attributes:
        CHOOSING: No backend server is assigned, or an order awaits a connected sidecar.
        CLAIMING: An order awaits the object API's response about its claim.
        CONNECTING: Awaits a connection to its backend server; the current attempt has
            not been sent.
        RUNNING: The current attempt was sent on an open connection.
        RECONNECTING: The current attempt was sent, and its connection was lost.
    """

    CHOOSING = "choosing"
    CLAIMING = "claiming"
    CONNECTING = "connecting"
    RUNNING = "running"
    RECONNECTING = "reconnecting"


@dataclass(slots=True)
class Order:
    """State of the at-most-once execution of a non-idempotent request.

    Attributes:
        key: Idempotency key that the caller sent.
        claim: Name of the claim; empty for an issued key.
        ticket_text: Encoded ticket; empty until one is minted.
        ticket: Decoded ticket; None until it is verified.
        lost_answers: Number of lost responses of the object API.
        is_outcome_known: Whether the outcome of earlier uses of the key is known:
            there were none, or the ledger has responded.
    """

    key: str
    claim: str = ""
    ticket_text: str = ""
    ticket: Ticket | None = None
    lost_answers: int = 0
    is_outcome_known: bool = False


@dataclass(slots=True)
class RequestState:
    """State of one request in flight.

    Attributes:
        caller_request: Request as received from the caller.
        caller: Authenticated caller.
        policy: Work policy.
        target: Adapter version or service that the request names.
        deadline: Time by which the caller needs the response.
        order: At-most-once state of a non-idempotent request; None if idempotent.
        phase: Current processing phase.
        attempt: Number of the current attempt; 0 before the first.
        member: Backend server of the current attempt.
        incarnation: Incarnation that the current attempt was sent to.
        connection: Connection of the current attempt; None while disconnected.
        assembly: Verified part of the current attempt's response.
        tried_members: Backend servers on which an attempt of this request failed.
        is_started: Whether part of the response was sent to the caller.
        is_answered: Whether the response to the caller is complete.
        is_abandoned: Whether the caller disconnected, so that no response is sent.
        may_have_run: Whether an earlier attempt ended without proof that it did not
            run.
        is_resumed: Whether the current attempt was resumed on a new connection.
        resume_count: Number of requests for missing chunks.
        resumed_from: Sequence number in the last request for missing chunks.
    """

    caller_request: CallerRequest
    caller: CallerName
    policy: WorkPolicySpec
    target: Target
    deadline: Seconds
    order: Order | None = None
    phase: Phase = Phase.CHOOSING
    attempt: int = 0
    member: InstanceName = ""
    incarnation: Incarnation | None = None
    connection: ConnectionId | None = None
    assembly: ResponseAssembly = field(
        default_factory=lambda: ResponseAssembly(keeps_data=True)
    )
    tried_members: set[InstanceName] = field(default_factory=set)
    is_started: bool = False
    is_answered: bool = False
    is_abandoned: bool = False
    may_have_run: bool = False
    is_resumed: bool = False
    resume_count: int = 0
    resumed_from: int = -1

    @property
    def request_id(self) -> RequestId:
        """Identifier of the request."""
        return self.caller_request.request_id

    @property
    def rank(self) -> int:
        """Rank of the work policy; 0 is the most urgent."""
        return self.policy.rank

    @property
    def is_sent(self) -> bool:
        """Whether the current attempt was sent and is not finished."""
        return self.phase in (Phase.RUNNING, Phase.RECONNECTING)

    @property
    def model(self) -> str:
        """Adapter version as ``adapter@version``; empty for a service."""
        version = self.target.adapter_version
        return str(version) if version is not None else ""

    def run_state(self, last_attempt: RunState) -> RunState:
        """Returns the run state over all attempts, given that of the last attempt.

        An order may also have been run by an earlier request with the same key,
        possibly through another entry. Only the ledger of its sidecar can rule that
        out.
        """
        may_have_run = self.may_have_run or (
            self.order is not None
            and bool(self.order.key)
            and not self.order.is_outcome_known
        )
        if last_attempt is RunState.NOT_RUN and may_have_run:
            return RunState.UNKNOWN
        return last_attempt

    def record_failed_attempt(self, failure: Failure) -> None:
        """Records that the current attempt ended without a response."""
        if self.is_sent and failure.run_state is not RunState.NOT_RUN:
            self.may_have_run = True


class RequestTable:
    """Requests in flight, indexed by id, backend server, caller and deadline."""

    def __init__(self) -> None:
        self._requests: dict[RequestId, RequestState] = {}
        self._by_member: dict[InstanceName, dict[RequestId, RequestState]] = {}
        self._by_caller: dict[CallerName, int] = {}
        self._deadlines: list[tuple[Seconds, RequestId]] = []

    def __iter__(self) -> Iterator[RequestState]:
        return iter(self._requests.values())

    def __len__(self) -> int:
        return len(self._requests)

    def get(self, request_id: RequestId) -> RequestState | None:
        """Returns the request with that id, or None."""
        return self._requests.get(request_id)

    def add(self, request: RequestState) -> None:
        """Adds a request."""
        assert request.request_id not in self._requests, request.request_id
        self._requests[request.request_id] = request
        self._by_caller[request.caller] = self.in_flight(request.caller) + 1
        heapq.heappush(self._deadlines, (request.deadline, request.request_id))

    def remove(self, request: RequestState) -> None:
        """Removes a finished request."""
        del self._requests[request.request_id]
        self.assign(request, "")
        count = self._by_caller[request.caller] - 1
        if count:
            self._by_caller[request.caller] = count
        else:
            del self._by_caller[request.caller]

    def assign(self, request: RequestState, member: InstanceName) -> None:
        """Assigns a request to a backend server; an empty name unassigns it."""
        assigned = self._by_member.get(request.member)
        if assigned is not None:
            assigned.pop(request.request_id, None)
            if not assigned:
                del self._by_member[request.member]
        request.member = member
        if member:
            self._by_member.setdefault(member, {})[request.request_id] = request

    def at_member(self, member: InstanceName) -> list[RequestState]:
        """Returns the requests that are assigned to a backend server."""
        return list(self._by_member.get(member, {}).values())

    def in_flight(self, caller: CallerName) -> int:
        """Returns the number of requests of a caller."""
        return self._by_caller.get(caller, 0)

    def overdue(self, now: Seconds, grace: Seconds) -> list[RequestState]:
        """Returns the requests whose deadline has passed, each of them once.

        Args:
            now: Current time.
            grace: Additional time for requests that were sent to a sidecar, whose own
                response states whether they ran.
        """
        found = []
        postponed = []
        while self._deadlines and self._deadlines[0][0] <= now:
            due_at, request_id = heapq.heappop(self._deadlines)
            request = self._requests.get(request_id)
            if request is None:
                continue
            if request.is_sent and now < request.deadline + grace:
                postponed.append((request.deadline + grace, request_id))
                continue
            found.append(request)
        for item in postponed:
            heapq.heappush(self._deadlines, item)
        return found
