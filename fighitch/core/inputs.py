"""What the cores are told. Each value is handled with an explicit ``now``."""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from fighitch.core.messages import AdapterVersion, Message, Peer
from fighitch.core.resources import Resource
from fighitch.types import ConnectionId, InstanceName, RequestId, Revision, Seconds

# --- Both cores ---


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is authenticated. ``address`` is set on the side that opened it."""

    connection: ConnectionId
    peer: Peer
    address: str = ""


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """A connection could not be opened."""

    address: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """A connection is gone."""

    connection: ConnectionId
    detail: str = ""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from an authenticated peer."""

    connection: ConnectionId
    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent every 50 ms by the loop and by the tests."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """A planned stop begins: no new work, everything in flight is finished."""


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """Changes from the object API or an operator, already parsed.

    Attributes:
        resources: Changed resources; tombstones have no specification.
        revision: Revision up to which the receiver now knows every change; 0 if the
            changes came ahead of the sequence, from an operator.
        base: Revision after which the changes count; 0 for a full list, which also
            deletes what it does not name.
    """

    resources: tuple[Resource, ...]
    revision: Revision
    base: Revision = 0


# --- Entry ---


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller, as the HTTP server read it.

    Attributes:
        request_id: Unique identifier of the request.
        key_digest: SHA-256 hex of the bearer key; empty if there was none.
        model: ``adapter`` or ``adapter@version``; empty for a plain service.
        service: Name of the plain service; empty for an adapter.
        path: Path of the call at the backend server.
        body: Body to pass on.
        method: HTTP method.
        streamed: Whether a stream is wanted.
        work: Name of the work policy that was asked for; empty to let labels decide.
        timeout: Time until the answer is worthless; None takes the policy's deadline.
        idempotency_key: Key given by the caller; empty if none.
        traceparent: W3C trace context.
    """

    request_id: RequestId
    key_digest: str
    model: str
    service: str
    path: str
    body: bytes
    method: str = "POST"
    streamed: bool = False
    work: str = ""
    timeout: Seconds | None = None
    idempotency_key: str = ""
    traceparent: str = ""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class TicketRequested:
    """A caller asks for an issued idempotency key for a service or adapter."""

    request_id: RequestId
    key_digest: str
    model: str = ""
    service: str = ""


class ClaimStatus(Enum):
    """How the object API answered a claim."""

    CREATED = "created"
    EXISTS = "exists"
    NOT_FOUND = "not_found"
    ANSWER_LOST = "answer_lost"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """Answer to ``CreateClaim`` or ``ReadClaim``; ``ticket`` is the stored one."""

    request_id: RequestId
    name: str
    status: ClaimStatus
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's list of instances, which lags.

    Attributes:
        live: Names of live instances.
        leaving: Names of instances that are about to stop.
    """

    live: frozenset[InstanceName]
    leaving: frozenset[InstanceName]


# --- Sidecar ---


@dataclass(frozen=True, slots=True)
class BackendStarted:
    """The backend server's answer began.

    Attributes:
        request_id: Request of the call.
        attempt: Attempt of the call.
        call: Number of the call, from ``CallBackend``.
        status: HTTP status.
        model: Adapter version that the engine says it runs; empty for a service.
        content_type: Media type of the answer.
    """

    request_id: RequestId
    attempt: int
    call: int
    status: int
    model: str = ""
    content_type: str = "application/json"


@dataclass(frozen=True, slots=True)
class BackendData:
    """A part of the answer.

    Attributes:
        request_id: Request of the call.
        attempt: Attempt of the call.
        call: Number of the call.
        data: Bytes for the caller.
        text: Generated text in it, to continue from after a preemption.
        tokens: Number of tokens in it.
    """

    request_id: RequestId
    attempt: int
    call: int
    data: bytes
    text: str = ""
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class BackendEnded:
    """The answer is whole."""

    request_id: RequestId
    attempt: int
    call: int


@dataclass(frozen=True, slots=True)
class BackendFailed:
    """The call ended without a whole answer.

    Attributes:
        request_id: Request of the call.
        attempt: Attempt of the call.
        call: Number of the call.
        sent: Whether any byte of the call may have reached the backend server.
        detail: What happened.
    """

    request_id: RequestId
    attempt: int
    call: int
    sent: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AdapterLoaded:
    """A load command succeeded on the engine start ``boot_id``."""

    adapter_version: AdapterVersion
    boot_id: str


@dataclass(frozen=True, slots=True)
class AdapterUnloaded:
    """An unload command succeeded."""

    adapter_version: AdapterVersion


@dataclass(frozen=True, slots=True)
class AdapterLoadFailed:
    """A load or unload command failed."""

    adapter_version: AdapterVersion
    detail: str = ""


@dataclass(frozen=True, slots=True)
class EngineReported:
    """State of the engine, which may lag.

    Attributes:
        boot_id: Identifies the engine's start; changes when it restarts.
        resident: Adapter versions that it has loaded.
        fencing_token: Highest fencing token that it has seen.
    """

    boot_id: str
    resident: frozenset[AdapterVersion]
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class BackendUnreachable:
    """The backend server does not answer its status call."""

    detail: str = ""


EntryInput: TypeAlias = (
    ConnectionOpened
    | ConnectionFailed
    | ConnectionClosed
    | MessageReceived
    | Tick
    | DrainRequested
    | ConfigurationReceived
    | CallerRequest
    | CallerGone
    | TicketRequested
    | ClaimAnswered
    | InstancesListed
)

SidecarInput: TypeAlias = (
    ConnectionOpened
    | ConnectionFailed
    | ConnectionClosed
    | MessageReceived
    | Tick
    | DrainRequested
    | ConfigurationReceived
    | InstancesListed
    | BackendStarted
    | BackendData
    | BackendEnded
    | BackendFailed
    | AdapterLoaded
    | AdapterUnloaded
    | AdapterLoadFailed
    | EngineReported
    | BackendUnreachable
)
