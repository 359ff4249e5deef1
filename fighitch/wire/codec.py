"""Encoding and decoding of messages by the schema in ``fighitch.capnp``."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path
from typing import Any, TypeAlias

import capnp

from fighitch.core.errors import ErrorKind, RunState
from fighitch.core.messages import (
    MAX_MESSAGE_BYTES,
    AdapterVersion,
    Cancel,
    Chunk,
    ConfigurationDelta,
    ConfigurationRequest,
    End,
    Heartbeat,
    LoadReport,
    Message,
    PermitGrant,
    PermitRequest,
    PermitReturn,
    Refused,
    Resume,
    Role,
    Submit,
)

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("fighitch.capnp")))
_FRAME = _SCHEMA.Frame

_MAX_UINT32 = 2**32 - 1
# Decoding may traverse parts of a message several times. The limit (8 times the largest
# message, in words of 8 bytes) stops crafted messages that make the decoder traverse
# the same bytes over and over.
_TRAVERSAL_LIMIT_WORDS = 8 * MAX_MESSAGE_BYTES // 8

_RUN_STATE_TO_WIRE = {
    RunState.NOT_RUN: "notRun",
    RunState.RAN: "ran",
    RunState.UNKNOWN: "unknown",
}
_RUN_STATE_FROM_WIRE = {name: state for state, name in _RUN_STATE_TO_WIRE.items()}


# pycapnp raises RuntimeError for an enumerant that this version of the schema lacks.
_DECODE_ERRORS = (capnp.KjException, KeyError, ValueError, RuntimeError)


class CodecError(ValueError):
    """A message cannot be encoded or decoded."""


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side of a handshake.

    Attributes:
        protocol_version: Version of the schema.
        role: Kind of process.
        instance: Name of the instance.
        incarnation: Incarnation of the process.
        availability_zone: Availability zone of the instance.
        nonce: Random bytes that the MAC of the peer must cover.
        key_id: Identifier of the shared key that ``mac`` was computed with.
        mac: MAC over both identities and nonces; empty before the peer's nonce is
            known.
    """

    protocol_version: int
    role: Role
    instance: str
    incarnation: int
    availability_zone: str
    nonce: bytes
    key_id: str = ""
    mac: bytes = b""


@dataclass(frozen=True, slots=True)
class Proof:
    """Last message of a handshake: the MAC of the connecting side."""

    key_id: str
    mac: bytes


Frame: TypeAlias = Message | Hello | Proof


def encode(message: Frame) -> bytes:
    """Encodes a message.

    Raises:
        CodecError: If the encoded message exceeds ``MAX_MESSAGE_BYTES``.
    """
    frame = _FRAME.new_message()
    _encode_into(message, frame)
    data = frame.to_bytes()
    if len(data) > MAX_MESSAGE_BYTES:
        raise CodecError(
            f"{type(message).__name__} of {len(data)} bytes exceeds the limit of "
            f"{MAX_MESSAGE_BYTES}"
        )
    return data


def decode(data: bytes) -> Frame:
    """Decodes a message.

    Raises:
        CodecError: If the bytes are not a valid message.
    """
    try:
        with _FRAME.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as frame:
            which = str(frame.which())
            return _DECODERS[which](getattr(frame, which))
    except _DECODE_ERRORS as error:
        raise CodecError(f"invalid message: {error}") from error


@singledispatch
def _encode_into(message: Any, frame: Any) -> None:
    raise CodecError(f"{type(message).__name__} is not a message type")


@_encode_into.register
def _(message: Hello, frame: Any) -> None:
    body = frame.init("hello")
    body.protocolVersion = message.protocol_version
    body.role = message.role.value
    body.instance = message.instance
    body.incarnation = message.incarnation
    body.availabilityZone = message.availability_zone
    body.nonce = message.nonce
    body.keyId = message.key_id
    body.mac = message.mac


@_encode_into.register
def _(message: Proof, frame: Any) -> None:
    body = frame.init("proof")
    body.keyId = message.key_id
    body.mac = message.mac


@_encode_into.register
def _(message: Submit, frame: Any) -> None:
    body = frame.init("submit")
    body.requestId = message.request_id
    body.attempt = message.attempt
    body.caller = message.caller
    body.rank = message.rank
    if message.adapter_version is not None:
        body.adapter = message.adapter_version.adapter
        body.version = message.adapter_version.version
    body.path = message.path
    body.method = message.method
    body.body = message.body
    body.remainingMs = _clamp_to_uint32(message.remaining)
    body.idempotent = message.idempotent
    body.ticket = message.ticket
    body.bodyDigest = message.body_digest
    body.streamed = message.streamed
    body.traceparent = message.traceparent


@_encode_into.register
def _(message: Cancel, frame: Any) -> None:
    body = frame.init("cancel")
    body.requestId = message.request_id
    body.attempt = message.attempt


@_encode_into.register
def _(message: Chunk, frame: Any) -> None:
    body = frame.init("chunk")
    body.requestId = message.request_id
    body.attempt = message.attempt
    body.sequence = message.sequence
    body.data = message.data
    body.status = message.status


@_encode_into.register
def _(message: End, frame: Any) -> None:
    body = frame.init("end")
    body.requestId = message.request_id
    body.attempt = message.attempt
    body.status = message.status
    body.chunkCount = message.chunk_count
    body.byteLength = message.byte_length
    body.digest = message.digest
    body.model = message.model
    body.runState = _RUN_STATE_TO_WIRE[message.run_state]
    body.contentType = message.content_type
    body.queuedMs = _clamp_to_uint32(message.queued)
    body.stalledMs = _clamp_to_uint32(message.stalled)
    body.replayed = message.replayed


@_encode_into.register
def _(message: Refused, frame: Any) -> None:
    body = frame.init("refused")
    body.requestId = message.request_id
    body.attempt = message.attempt
    body.kind = message.kind.value
    body.runState = _RUN_STATE_TO_WIRE[message.run_state]
    body.detail = message.detail
    body.retryAfterMs = _clamp_to_uint32(message.retry_after)


@_encode_into.register
def _(message: Resume, frame: Any) -> None:
    body = frame.init("resume")
    body.requestId = message.request_id
    body.attempt = message.attempt
    body.nextSequence = message.next_sequence


@_encode_into.register
def _(message: Heartbeat, frame: Any) -> None:
    body = frame.init("heartbeat")
    body.sequence = message.sequence
    body.revision = message.revision
    body.draining = message.draining
    body.ticketEpoch = message.ticket_epoch
    body.ahead = message.ahead
    body.unreachable = message.unreachable
    body.intervalMs = _clamp_to_uint32(message.interval)
    if message.load is None:
        return
    report = body.load.init("report")
    report.running = list(message.load.running)
    report.queued = list(message.load.queued)
    report.batchSize = message.load.batch_size
    report.resident = sorted(message.load.resident)


@_encode_into.register
def _(message: ConfigurationRequest, frame: Any) -> None:
    frame.init("configurationRequest").since = message.since


@_encode_into.register
def _(message: ConfigurationDelta, frame: Any) -> None:
    body = frame.init("configurationDelta")
    body.base = message.base
    body.revision = message.revision
    body.resources = message.resources


@_encode_into.register
def _(message: PermitRequest, frame: Any) -> None:
    frame.permitRequest = message.count


@_encode_into.register
def _(message: PermitGrant, frame: Any) -> None:
    frame.init("permitGrant").permits = list(message.permits)


@_encode_into.register
def _(message: PermitReturn, frame: Any) -> None:
    frame.init("permitReturn").permits = list(message.permits)


def _clamp_to_uint32(value: int) -> int:
    return min(max(int(value), 0), _MAX_UINT32)


def _decode_submit(body: Any) -> Submit:
    adapter_version = (
        AdapterVersion(body.adapter, body.version) if body.adapter else None
    )
    return Submit(
        request_id=body.requestId,
        attempt=body.attempt,
        caller=body.caller,
        rank=body.rank,
        adapter_version=adapter_version,
        path=body.path,
        method=body.method,
        body=bytes(body.body),
        remaining=body.remainingMs,
        idempotent=body.idempotent,
        ticket=body.ticket,
        body_digest=body.bodyDigest,
        streamed=body.streamed,
        traceparent=body.traceparent,
    )


def _decode_end(body: Any) -> End:
    return End(
        request_id=body.requestId,
        attempt=body.attempt,
        status=body.status,
        chunk_count=body.chunkCount,
        byte_length=body.byteLength,
        digest=body.digest,
        model=body.model,
        run_state=_RUN_STATE_FROM_WIRE[str(body.runState)],
        content_type=body.contentType,
        queued=body.queuedMs,
        stalled=body.stalledMs,
        replayed=body.replayed,
    )


def _decode_refused(body: Any) -> Refused:
    return Refused(
        request_id=body.requestId,
        attempt=body.attempt,
        kind=ErrorKind(body.kind),
        run_state=_RUN_STATE_FROM_WIRE[str(body.runState)],
        detail=body.detail,
        retry_after=body.retryAfterMs,
    )


def _decode_hello(body: Any) -> Hello:
    return Hello(
        protocol_version=body.protocolVersion,
        role=Role(str(body.role)),
        instance=body.instance,
        incarnation=body.incarnation,
        availability_zone=body.availabilityZone,
        nonce=bytes(body.nonce),
        key_id=body.keyId,
        mac=bytes(body.mac),
    )


def _decode_heartbeat(body: Any) -> Heartbeat:
    load = None
    if str(body.load.which()) == "report":
        report = body.load.report
        load = LoadReport(
            running=tuple(report.running),
            queued=tuple(report.queued),
            batch_size=report.batchSize,
            resident=frozenset(report.resident),
        )
    return Heartbeat(
        sequence=body.sequence,
        revision=body.revision,
        draining=body.draining,
        ticket_epoch=body.ticketEpoch,
        load=load,
        ahead=body.ahead,
        unreachable=body.unreachable,
        interval=body.intervalMs,
    )


_DECODERS: dict[str, Callable[[Any], Frame]] = {
    "hello": _decode_hello,
    "proof": lambda body: Proof(body.keyId, bytes(body.mac)),
    "submit": _decode_submit,
    "cancel": lambda body: Cancel(body.requestId, body.attempt),
    "chunk": lambda body: Chunk(
        body.requestId,
        body.attempt,
        body.sequence,
        bytes(body.data),
        body.status,
    ),
    "end": _decode_end,
    "refused": _decode_refused,
    "resume": lambda body: Resume(body.requestId, body.attempt, body.nextSequence),
    "heartbeat": _decode_heartbeat,
    "configurationRequest": lambda body: ConfigurationRequest(body.since),
    "configurationDelta": lambda body: ConfigurationDelta(
        body.base, body.revision, bytes(body.resources)
    ),
    "permitRequest": PermitRequest,
    "permitGrant": lambda body: PermitGrant(tuple(body.permits)),
    "permitReturn": lambda body: PermitReturn(tuple(body.permits)),
}
