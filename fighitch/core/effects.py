"""What the cores ask their surroundings to do."""

import math
from dataclasses import dataclass
from typing import TypeAlias

from fighitch.core.errors import Failure, RunState
from fighitch.core.messages import AdapterVersion, Message
from fighitch.types import ConnectionId, Milliseconds, RequestId, Seconds

# --- Both cores ---


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a message to a peer; dropped if the connection is gone."""

    connection: ConnectionId
    message: Message


@dataclass(frozen=True, slots=True)
class Connect:
    """Opens a connection to a sidecar's ``ip:port``."""

    address: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Closes a connection."""

    connection: ConnectionId
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Stop:
    """The drain is complete; the process may exit."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line for the log and, by name, one count for the metrics.

    Attributes:
        name: Event name in snake case, from a fixed set.
        fields: Key and value pairs.
    """

    name: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


# --- Entry: answers to callers ---


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The answer begins; sent before any data."""

    request_id: RequestId
    status: int
    content_type: str = "application/json"
    model: str = ""


@dataclass(frozen=True, slots=True)
class AnswerData:
    """A verified part of a streamed answer, in order and without gaps."""

    request_id: RequestId
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The answer is whole and verified.

    Attributes:
        request_id: Request that was answered.
        status: HTTP status of the backend server.
        body: Whole body if the answer was not streamed.
        content_type: Media type.
        model: Adapter version that ran.
        run_state: Whether the work ran.
        backend_server: Backend server that ran it.
        attempts: Number of attempts.
        queued: Time in queues.
        stalled: Time spent waiting for an adapter load.
        replayed: Whether an earlier run's outcome was returned.
    """

    request_id: RequestId
    status: int
    body: bytes = b""
    content_type: str = "application/json"
    model: str = ""
    run_state: RunState = RunState.RAN
    backend_server: str = ""
    attempts: int = 1
    queued: Milliseconds = 0
    stalled: Milliseconds = 0
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class AnswerFailed:
    """The request ends with an error; after ``AnswerStarted`` the stream is cut.

    Attributes:
        request_id: Request that failed.
        failure: Why, and whether the work ran.
        was_sent: Whether this request was sent to a sidecar. If not, and no earlier
            request used its idempotency key, the work was not run.
    """

    request_id: RequestId
    failure: Failure
    was_sent: bool = False


@dataclass(frozen=True, slots=True)
class TicketIssued:
    """Answer to ``TicketRequested``."""

    request_id: RequestId
    ticket: str


@dataclass(frozen=True, slots=True)
class CreateClaim:
    """Creates a claim in the object API unless one of that name exists."""

    request_id: RequestId
    name: str
    ticket: str


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Reads a claim back."""

    request_id: RequestId
    name: str


# --- Sidecar: calls to the backend server ---


@dataclass(frozen=True, slots=True)
class CallBackend:
    """Calls the backend server.

    Attributes:
        request_id: Request of the call.
        attempt: Attempt of the request.
        call: Number of this call, unique in this sidecar; a continued request gets a
            new one, so that late data of a cancelled call is recognised.
        path: Path of the call.
        method: HTTP method.
        body: Body as the caller gave it.
        adapter_version: What an engine must run it on; None for a plain service.
        rank: Passed to the engine as its priority.
        generated: Text that an earlier call of the same request has produced; the
            engine continues after it.
        generated_tokens: Number of tokens in it.
        ticket: Idempotency key to pass on to a plain service; empty if none.
        streamed: Whether a stream is wanted.
        traceparent: W3C trace context.
        deadline: Monotonic time after which the call must not be started. A process
            may be paused between the decision and the call.
    """

    request_id: RequestId
    attempt: int
    call: int
    path: str
    method: str
    body: bytes
    adapter_version: AdapterVersion | None
    rank: int = 0
    generated: str = ""
    generated_tokens: int = 0
    ticket: str = ""
    streamed: bool = False
    traceparent: str = ""
    deadline: Seconds = math.inf


@dataclass(frozen=True, slots=True)
class CancelBackend:
    """Cancels a call; its late events are ignored."""

    call: int


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Commands the engine to load an adapter version from the weight store."""

    adapter_version: AdapterVersion
    source: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Commands the engine to unload an adapter version."""

    adapter_version: AdapterVersion
    fencing_token: int


EntryEffect: TypeAlias = (
    Send
    | Connect
    | Disconnect
    | Stop
    | LogEvent
    | AnswerStarted
    | AnswerData
    | AnswerEnded
    | AnswerFailed
    | TicketIssued
    | CreateClaim
    | ReadClaim
)

SidecarEffect: TypeAlias = (
    Send
    | Connect
    | Disconnect
    | Stop
    | LogEvent
    | CallBackend
    | CancelBackend
    | LoadAdapter
    | UnloadAdapter
)
