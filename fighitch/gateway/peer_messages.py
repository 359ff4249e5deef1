"""Messages between gateway entries and engine agents, with their framing."""

import struct

import msgspec

_LENGTH = struct.Struct(">I")
MAX_MESSAGE_BYTES = 1_048_576


class _Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """A message; arrays and numeric tags keep it small, as bytes between zones cost."""


class Hello(_Message, frozen=True, tag=1):
    """An entry introduces itself.

    Attributes:
        entry: Name of the entry's instance.
        engine_id: Instance id of the engine, as the instance list has it.
        engine_born_ms: Unix time of its start in ms, as the instance list has it; 0 if
            not stated.
        engine_spec: Limits of the engine, as JSON of an ``EngineSpec``.
    """

    entry: str
    engine_id: str
    engine_born_ms: int
    engine_spec: bytes


class AdapterVersions(_Message, frozen=True, tag=2):
    """Announced versions of adapters.

    Attributes:
        versions: Model, adapter and version of each.
    """

    versions: list[tuple[str, str, int]]


class Ask(_Message, frozen=True, tag=3):
    """An entry asks for a place on the engine.

    Attributes:
        number: Number of the request on this connection.
        model: Base model.
        adapter: Adapter; empty for the model itself.
        version: Oldest version that it may run on; 0 for any.
        rank: Urgency; 0 is the most urgent.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Most tokens of the answer.
        aim_ms: Time left for its first event to be worth its full value.
        deadline_ms: Time left until nothing is owed.
        may_decline: Whether the agent may decline it when it would be late there: the
            entry tries other engines first.
        request_id: Id of the request, for the agent's log.
    """

    number: int
    model: str
    adapter: str
    version: int
    rank: int
    prompt_tokens: int
    output_tokens: int
    aim_ms: int
    deadline_ms: int
    may_decline: bool = False
    request_id: str = ""


class Grant(_Message, frozen=True, tag=4):
    """The request may be sent to the engine."""

    number: int
    backlog_ms: int
    late: bool


class Deny(_Message, frozen=True, tag=5):
    """The engine can't serve the request in time."""

    number: int
    retry_after_ms: int
    reason: str


class Decline(_Message, frozen=True, tag=11):
    """The request would be late at this engine, and another one may be faster.

    Attributes:
        number: Number of the request.
        first_event_ms: Expected time to its first event here.
    """

    number: int
    first_event_ms: int


class Started(_Message, frozen=True, tag=6):
    """The first event of a request arrived."""

    number: int


class Done(_Message, frozen=True, tag=7):
    """A request ended, or is not wanted any more."""

    number: int


class Status(_Message, frozen=True, tag=8):
    """State of an engine; sent on changes and as a heartbeat.

    Attributes:
        engine_born_ms: Unix time of the engine's start in ms; 0 if it is unknown.
        serving: Whether the engine answers.
        draining: Whether the engine is leaving.
        backlog_ms: Time until the prompt of new work that can be on time is read.
        token_ns: Time to read a prompt token, in ns.
        load_wait_ms: Time until a load that is asked for now would begin.
        entries: Entries that are connected.
    """

    engine_born_ms: int
    serving: bool
    draining: bool
    backlog_ms: int
    token_ns: int
    load_wait_ms: int
    entries: int


class HeldAdapters(_Message, frozen=True, tag=9):
    """Adapters of an engine; sent when they change.

    Attributes:
        complete: Whether the lists replace what was sent before.
        held: Model, adapter and version of each adapter that it holds now; an empty
            adapter stands for the model itself.
        dropped: Model and adapter of those that it holds no more; they load fast.
    """

    complete: bool
    held: list[tuple[str, str, int]]
    dropped: list[tuple[str, str]]


class Heartbeat(_Message, frozen=True, tag=10):
    """An entry is alive."""


Message = (
    Hello
    | AdapterVersions
    | Ask
    | Grant
    | Deny
    | Decline
    | Started
    | Done
    | Status
    | HeldAdapters
    | Heartbeat
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class BadMessageError(Exception):
    """A peer sent bytes that are no message."""


def encode(message: Message) -> bytes:
    """Encodes a message with its length."""
    body = _encoder.encode(message)
    return _LENGTH.pack(len(body)) + body


class MessageReader:
    """Splits a stream of bytes into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Takes bytes and returns the messages that are complete.

        Raises:
            BadMessageError: If the bytes are no messages.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > MAX_MESSAGE_BYTES:
                raise BadMessageError(
                    f"message of {length} bytes, allowed are {MAX_MESSAGE_BYTES}"
                )
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            try:
                messages.append(_decoder.decode(self._buffer[_LENGTH.size : end]))
            except msgspec.DecodeError as error:
                raise BadMessageError(str(error)) from error
            del self._buffer[:end]
        return messages
