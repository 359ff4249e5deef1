"""Requests in flight at an entry and the state of their current attempt."""

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
    """What a request waits for."""

    CHOOSING = "choosing"
    CLAIMING = "claiming"
    CONNECTING = "connecting"
    RUNNING = "running"
    RECONNECTING = "reconnecting"


@dataclass(slots=True)
class Order:
    """What makes a request run at most once.

    Attributes:
        key: Idempotency key as the caller gave it.
        claim: Name of the claim; empty for an issued key.
        text: Ticket as text; empty until one is minted.
        ticket: Content of the ticket; None until its text is verified.
        lost_answers: Answers of the object API that were lost.
        is_outcome_known: Whether it is known what earlier uses of the key led to:
            there were none, or the ledger has answered.
    """

    key: str
    claim: str = ""
    text: str = ""
    ticket: Ticket | None = None
    lost_answers: int = 0
    is_outcome_known: bool = False


@dataclass(slots=True)
class RequestState:
    """One request of a caller.

    Attributes:
        request: What the caller asked for.
        caller: Authenticated caller.
        policy: Work policy.
        target: What it runs on.
        deadline: Time after which the answer is worthless.
        order: Set for work that must run at most once.
        phase: What it waits for.
        attempt: Number of the current attempt; 0 before the first.
        member: Backend server of the current attempt.
        incarnation: Incarnation that the current attempt was sent to.
        connection: Connection of the current attempt; None while there is none.
        assembly: Verified part of the current attempt's answer.
        tried: Backend servers that this request has failed at.
        is_started: Whether a part of the answer was passed to the caller.
        is_answered: Whether the caller got its answer.
        is_abandoned: Whether the caller is gone; no answer is passed on.
        may_have_run: Whether an earlier attempt ended without "not run".
        is_resumed: Whether the current attempt moved to a new connection.
        resumes: Requests for missing chunks so far.
        resumed_from: Sequence number of the last such request.
    """

    request: CallerRequest
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
    tried: set[InstanceName] = field(default_factory=set)
    is_started: bool = False
    is_answered: bool = False
    is_abandoned: bool = False
    may_have_run: bool = False
    is_resumed: bool = False
    resumes: int = 0
    resumed_from: int = -1

    @property
    def request_id(self) -> RequestId:
        """Identifier of the request."""
        return self.request.request_id

    @property
    def rank(self) -> int:
        """Rank of the work; 0 is the most urgent."""
        return self.policy.rank

    @property
    def is_sent(self) -> bool:
        """Whether the current attempt was sent and has not ended."""
        return self.phase in (Phase.RUNNING, Phase.RECONNECTING)

    @property
    def model(self) -> str:
        """Name of the adapter version; empty for a service."""
        version = self.target.adapter_version
        return str(version) if version is not None else ""

    def run_state(self, stated: RunState) -> RunState:
        """Returns the run state of the request, given that of its last attempt.

        An earlier request with the same key, perhaps through another entry, may have
        run an order, which only the ledger of its sidecar can tell.
        """
        may_have_run = self.may_have_run or (
            self.order is not None
            and bool(self.order.key)
            and not self.order.is_outcome_known
        )
        if stated is RunState.NOT_RUN and may_have_run:
            return RunState.UNKNOWN
        return stated

    def end_attempt(self, failure: Failure) -> None:
        """Notes that the current attempt ended without an answer."""
        if self.is_sent and failure.run_state is not RunState.NOT_RUN:
            self.may_have_run = True


class WorkTable:
    """All requests in flight, by id, by backend server, by caller and by deadline."""

    def __init__(self) -> None:
        self._works: dict[RequestId, RequestState] = {}
        self._by_member: dict[InstanceName, dict[RequestId, RequestState]] = {}
        self._by_caller: dict[CallerName, int] = {}
        self._deadlines: list[tuple[Seconds, RequestId]] = []

    def __iter__(self) -> Iterator[RequestState]:
        return iter(self._works.values())

    def __len__(self) -> int:
        return len(self._works)

    def get(self, request_id: RequestId) -> RequestState | None:
        """Returns the request of that id."""
        return self._works.get(request_id)

    def add(self, work: RequestState) -> None:
        """Adds a request."""
        assert work.request_id not in self._works, work.request_id
        self._works[work.request_id] = work
        self._by_caller[work.caller] = self.in_flight(work.caller) + 1
        heapq.heappush(self._deadlines, (work.deadline, work.request_id))

    def remove(self, work: RequestState) -> None:
        """Removes a request that is finished."""
        del self._works[work.request_id]
        self.assign(work, "")
        count = self._by_caller[work.caller] - 1
        if count:
            self._by_caller[work.caller] = count
        else:
            del self._by_caller[work.caller]

    def assign(self, work: RequestState, member: InstanceName) -> None:
        """Binds a request to a backend server; an empty name unbinds it."""
        waiting = self._by_member.get(work.member)
        if waiting is not None:
            waiting.pop(work.request_id, None)
            if not waiting:
                del self._by_member[work.member]
        work.member = member
        if member:
            self._by_member.setdefault(member, {})[work.request_id] = work

    def at(self, member: InstanceName) -> list[RequestState]:
        """Returns the requests that are bound to a backend server."""
        return list(self._by_member.get(member, {}).values())

    def in_flight(self, caller: CallerName) -> int:
        """Returns the number of a caller's requests."""
        return self._by_caller.get(caller, 0)

    def overdue(self, now: Seconds, grace: Seconds) -> list[RequestState]:
        """Removes from the deadlines and returns the requests that passed theirs.

        Args:
            now: Current time.
            grace: Further time for requests that are at a sidecar, which can tell
                whether they ran.
        """
        found = []
        postponed = []
        while self._deadlines and self._deadlines[0][0] <= now:
            at, request_id = heapq.heappop(self._deadlines)
            work = self._works.get(request_id)
            if work is None:
                continue
            if work.is_sent and now < work.deadline + grace:
                postponed.append((work.deadline + grace, request_id))
                continue
            found.append(work)
        for item in postponed:
            heapq.heappush(self._deadlines, item)
        return found
