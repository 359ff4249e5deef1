"""Messages between the project's own processes.

A request is identified by ``(request_id, attempt)``: a late answer to an earlier
attempt never matches a later one.
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
    """What kind of process a peer is."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


@dataclass(frozen=True, slots=True)
class Peer:
    """Identity of the process at the other end of an authenticated connection."""

    role: Role
    instance: InstanceName
    incarnation: Incarnation
    availability_zone: str = ""


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """An adapter and one of its versions; the name an engine knows it by."""

    adapter: AdapterName
    version: str

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"


@dataclass(frozen=True, slots=True)
class Submit:
    """Asks a sidecar to run a request.

    Attributes:
        request_id: Given by the entry.
        attempt: Counts the entry's attempts from 1.
        caller: Authenticated caller.
        rank: 0 is the most urgent.
        adapter_version: What to run on; None for a plain service.
        path: Path of the call at the backend server.
        method: HTTP method of the call.
        body: Body of the call.
        remaining: Time until the answer is worthless.
        idempotent: Whether the work may run more than once.
        ticket: Issued idempotency key; empty if idempotent.
        body_digest: Digest of the caller's body, to detect a reused key.
        streamed: Whether the caller wants a stream.
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
    """Withdraws a request; no answer is expected."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of an answer.

    Attributes:
        request_id: Request that is answered.
        attempt: Attempt that is answered.
        sequence: Position in the answer; starts at 0 and has no gaps.
        data: Bytes for the caller.
        status: HTTP status of the answer; the first chunk of a stream starts it, unless
            this is an error.
    """

    request_id: RequestId
    attempt: int
    sequence: int
    data: bytes
    status: int = 200


@dataclass(frozen=True, slots=True)
class End:
    """The explicit end of an answer.

    Attributes:
        request_id: Request that was answered.
        attempt: Attempt that was answered.
        status: HTTP status of the backend server.
        chunk_count: Number of chunks before this message.
        byte_length: Sum of the chunk sizes.
        digest: xxh3_64 of all chunk data.
        model: Adapter version that ran, as the engine named it; empty for a service.
        run_state: Whether the work ran.
        content_type: Media type of the answer.
        queued: Time spent in the queue.
        stalled: Time spent waiting for an adapter load.
        replayed: Whether the outcome was stored by an earlier run of the same key.
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
    """Says that a request ended without an answer, and whether it was run."""

    request_id: RequestId
    attempt: int
    kind: ErrorKind
    run_state: RunState
    detail: str
    retry_after: Milliseconds = 0


@dataclass(frozen=True, slots=True)
class Resume:
    """Asks, on a new connection, for the rest of an answer from a sequence number."""

    request_id: RequestId
    attempt: int
    next_sequence: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a sidecar.

    Attributes:
        running: Requests at the backend server, by rank.
        queued: Requests waiting, by rank.
        batch_size: Requests that can run at once.
        resident: Adapter versions that are loaded.
    """

    running: tuple[int, ...] = ()
    queued: tuple[int, ...] = ()
    batch_size: int = 0
    resident: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life; each side sends one when it has sent nothing else for a while.

    Attributes:
        sequence: Counts the heartbeats of this connection.
        revision: Configuration revision of the sender.
        ahead: Digest of the resources that it holds ahead of that revision; 0 if none.
        draining: Whether the sender takes no new work.
        ticket_epoch: Epoch that new tickets for this sidecar must carry.
        load: Load of a sidecar; None from an entry, or if it was told before.
        unreachable: Whether the sender's backend server does not answer.
        interval: Time between heartbeats that the sender keeps to on this connection
            and asks of the receiver while no request is in flight on it; 0 leaves it
            to the receiver.
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
    """Asks a peer for the changes after a revision."""

    since: Revision


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """Changes of configuration.

    Attributes:
        base: Revision after which the changes count; 0 for a full copy.
        revision: Revision that the receiver has reached after merging them.
        resources: JSON array of changed resources, tombstones included.
    """

    base: Revision
    revision: Revision
    resources: bytes


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks a peer sidecar for load permits that it does not need."""

    count: int


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Passes single-use load permits on; the sender no longer has them."""

    permits: tuple[str, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class PermitReturn:
    """Gives borrowed permits back to their owner."""

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
