"""Messages exchanged between entries and sidecars.

A request is identified by ``(request_id, attempt)``, so a late response to an earlier
attempt is never taken for the response to a later one.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from fighitch.core.errors import ErrorKind, RunState
from fighitch.types import (
    AdapterName,
    CallerName,
    Incarnation,
    InstanceName,
    Milliseconds,
    RequestId,
    Revision,
)

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class Role(Enum):
    """Kind of process."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


@dataclass(frozen=True, slots=True)
class Peer:
    """Identity of the remote process of an authenticated connection."""

    role: Role
    instance: InstanceName
    incarnation: Incarnation
    availability_zone: str = ""


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """A version of an adapter; its string form is the name used by engines."""

    adapter: AdapterName
    version: str

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"


@dataclass(frozen=True, slots=True)
class Submit:
    """Asks a sidecar to run a request.

    Attributes:
        request_id: Identifier assigned by the entry.
        attempt: Number of the attempt, counted by the entry from 1.
        caller: Authenticated caller.
        rank: Rank of the request; 0 is the most urgent.
        adapter_version: Adapter version to run on; None for a plain service.
        path: Path of the call at the backend server.
        method: HTTP method of the call.
        body: Body of the call.
        remaining: Time until the deadline.
        idempotent: Whether the request may run more than once.
        ticket: Issued idempotency key; empty if idempotent.
        body_digest: Digest of the caller's body, to detect reuse of a key.
        streamed: Whether the caller requested a streamed response.
        traceparent: W3C trace context; empty if not traced.
    """

    request_id: RequestId
    attempt: int
    caller: CallerName
    rank: int
    adapter_version: AdapterVersion | None
    path: str
    body: bytes
    remaining: Milliseconds
    method: str = "POST"
    idempotent: bool = True
    ticket: str = ""
    body_digest: str = ""
    streamed: bool = False
    traceparent: str = ""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a request; no response is expected."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of a response.

    Attributes:
        request_id: Request that is answered.
        attempt: Attempt that is answered.
        sequence: Position in the response; starts at 0 and has no gaps.
        data: Bytes for the caller.
        status: HTTP status of the response. The first chunk of a stream starts the
            response to the caller unless this is an error status.
    """

    request_id: RequestId
    attempt: int
    sequence: int
    data: bytes
    status: int = 200


@dataclass(frozen=True, slots=True)
class End:
    """Explicit end of a response, with the values needed to verify it.

    Attributes:
        request_id: Request that was answered.
        attempt: Attempt that was answered.
        status: HTTP status of the backend server.
        chunk_count: Number of chunks before this message.
        byte_length: Sum of the chunk sizes.
        digest: xxh3_64 of all chunk data.
        model: Adapter version that the engine reported; empty for a service.
        run_state: Whether the backend server ran the request.
        content_type: Media type of the response.
        queued: Time spent in the queue.
        stalled: Time spent waiting for an adapter load.
        replayed: Whether this is the stored outcome of an earlier run of the same key.
    """

    request_id: RequestId
    attempt: int
    status: int
    chunk_count: int
    byte_length: int
    digest: int
    model: str = ""
    run_state: RunState = RunState.RAN
    content_type: str = "application/json"
    queued: Milliseconds = 0
    stalled: Milliseconds = 0
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """Reports that a request ended without a response, and whether it was run."""

    request_id: RequestId
    attempt: int
    kind: ErrorKind
    run_state: RunState
    detail: str
    retry_after: Milliseconds = 0


@dataclass(frozen=True, slots=True)
class Resume:
    """Requests the rest of a response, from a sequence number, on a new connection."""

    request_id: RequestId
    attempt: int
    next_sequence: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a sidecar.

    Attributes:
        running: Number of requests running on the backend server, by rank.
        queued: Number of queued requests, by rank.
        batch_size: Number of requests that can run at once.
        resident: Loaded adapter versions.
    """

    running: tuple[int, ...] = ()
    queued: tuple[int, ...] = ()
    batch_size: int = 0
    resident: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness signal, sent on a connection that has been idle for a while.

    Attributes:
        sequence: Number of the heartbeat on this connection.
        revision: Configuration revision of the sender.
        ahead: Digest of the changes that the sender holds beyond that revision; 0 if
            there are none.
        draining: Whether the sender is draining and accepts no new requests.
        ticket_epoch: Epoch that new tickets for this sidecar must carry.
        load: Load of a sidecar; None from an entry, or if it was already sent.
        unreachable: Whether the backend server of the sender does not respond.
        interval: Heartbeat interval for this connection while no request is in flight
            on it. The sender uses it and requests that the receiver does, too; 0 leaves
            the choice to the receiver.
    """

    sequence: int
    revision: Revision = 0
    draining: bool = False
    ticket_epoch: int = 0
    load: LoadReport | None = None
    ahead: int = 0
    unreachable: bool = False
    interval: Milliseconds = 0


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Requests the configuration changes after a revision from a peer."""

    since: Revision


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """Configuration changes sent to a peer.

    Attributes:
        base: Revision that the changes follow: they include every change from there up
            to ``revision``. 0 for a full copy.
        revision: Revision that the receiver reaches by merging the changes.
        resources: JSON array of changed resources, tombstones included.
    """

    base: Revision
    revision: Revision
    resources: bytes


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Requests unused load permits from a peer sidecar."""

    count: int


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Transfers single-use load permits to a peer, which then owns them."""

    permits: tuple[str, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class PermitReturn:
    """Returns borrowed permits to their owner."""

    permits: tuple[str, ...] = field(default=())


Message: TypeAlias = (
    Submit
    | Cancel
    | Chunk
    | End
    | Refused
    | Resume
    | Heartbeat
    | ConfigurationRequest
    | ConfigurationDelta
    | PermitRequest
    | PermitGrant
    | PermitReturn
)
