"""Inputs of the cores, ``EntryCore`` and ``SidecarCore``.

A core has no clock: each input is handled together with the current time.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from fighitch.core.messages import AdapterVersion, Message, Peer
from fighitch.core.resources import Resource
from fighitch.types import ConnectionId, InstanceName, RequestId, Revision, Seconds

# --- Both cores ---


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection was authenticated; ``address`` is set on the side that opened it."""

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
    """A connection was closed."""

    connection: ConnectionId
    detail: str = ""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived from an authenticated peer."""

    connection: ConnectionId
    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer input; sent every 50 ms by the event loop and by the tests."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Starts a drain: reject new requests and finish those in flight."""


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """Parsed changes received from the object API or from an operator.

    Attributes:
        resources: Changed resources; tombstones have no specification.
        revision: Last revision that the changes cover; 0 for individual changes that
            an operator handed over.
        base: Revision that the changes follow: they include every change from there up
            to ``revision``. 0 for a full list, which also deletes the resources that it
            does not contain.
    """

    resources: tuple[Resource, ...]
    revision: Revision
    base: Revision = 0


# --- Entry ---


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Request of a caller, as parsed by the HTTP server.

    Attributes:
        request_id: Unique identifier of the request.
        key_digest: SHA-256 of the bearer key, in hex; empty if there was none.
        model: ``adapter`` or ``adapter@version``; empty for a plain service.
        service: Name of the plain service; empty for an adapter.
        path: Path of the call at the backend server.
        body: Body to forward.
        method: HTTP method.
        streamed: Whether the caller requested a streamed response.
        work: Name of the requested work policy; empty to select one by labels.
        timeout: Time until the deadline; None for the default deadline of the policy.
        idempotency_key: Key sent by the caller; empty if none.
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
    """A caller requested an issued idempotency key for a service or adapter."""

    request_id: RequestId
    key_digest: str
    model: str = ""
    service: str = ""


class ClaimStatus(Enum):
    """Outcome of creating or reading a claim in the object API."""

    CREATED = "created"
    EXISTS = "exists"
    NOT_FOUND = "not_found"
    ANSWER_LOST = "answer_lost"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """Result of ``CreateClaim`` or ``ReadClaim``; ``ticket`` is the stored ticket."""

    request_id: RequestId
    name: str
    status: ClaimStatus
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's list of instances, which may be out of date.

    Attributes:
        live: Names of live instances.
        leaving: Names of instances that are about to stop.
    """

    live: frozenset[InstanceName]
    leaving: frozenset[InstanceName]


# --- Sidecar ---


@dataclass(frozen=True, slots=True)
class BackendStarted:
    """The response of the backend server started.

    Attributes:
        request_id: Request of the call.
        attempt: Attempt of the call.
        call: Number of the call, from ``CallBackend``.
        status: HTTP status.
        model: Adapter version that the engine reports; empty for a service.
        content_type: Media type of the response.
        is_continuable: Whether another call can continue the response after the data
            that has arrived.
    """

    request_id: RequestId
    attempt: int
    call: int
    status: int
    model: str = ""
    content_type: str = "application/json"
    is_continuable: bool = True


@dataclass(frozen=True, slots=True)
class BackendData:
    """A part of the response arrived.

    Attributes:
        request_id: Request of the call.
        attempt: Attempt of the call.
        call: Number of the call.
        data: Bytes for the caller.
        text: Text generated in this part; if the request is preempted, it later
            continues after all text generated so far.
        tokens: Number of tokens in this part.
    """

    request_id: RequestId
    attempt: int
    call: int
    data: bytes
    text: str = ""
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class BackendEnded:
    """The response of the backend server is complete."""

    request_id: RequestId
    attempt: int
    call: int


@dataclass(frozen=True, slots=True)
class BackendFailed:
    """The call ended without a complete response.

    Attributes:
        request_id: Request of the call.
        attempt: Attempt of the call.
        call: Number of the call.
        sent: Whether any byte of the call may have reached the backend server.
        detail: Description of the error.
    """

    request_id: RequestId
    attempt: int
    call: int
    sent: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AdapterLoaded:
    """A load command succeeded; ``boot_id`` identifies the engine's start."""

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
    """State reported by the engine, which may be out of date.

    Attributes:
        boot_id: Identifies the engine's start; changes at each restart.
        resident: Loaded adapter versions.
        fencing_token: Highest fencing token that the engine has seen.
    """

    boot_id: str
    resident: frozenset[AdapterVersion]
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class BackendUnreachable:
    """The backend server did not respond to a status call."""

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
