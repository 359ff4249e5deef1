"""Messages between gateway entries and engine agents, and their framing."""

import struct

import msgspec

_LENGTH = struct.Struct(">I")
MAX_MESSAGE_BYTES = 1_048_576
# Limit of the first message, which identifies the peer: a Hello with the limits of an
# engine has a few kB.
MAX_FIRST_MESSAGE_BYTES = 65_536
# Optional messages that this build understands, as announced to its peers. A peer of an
# earlier build announces 0 and closes the connection at a message that it can't decode.
PROTOCOL_VERSION = 2
CRASH_REPORT_VERSION = 1
QUOTA_VERSION = 2


class _Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of messages; compact, because traffic between zones is billed by the byte.

    Fields are encoded as an array and the type as a numeric tag.
    """


class Hello(_Message, frozen=True, tag=1):
    """Identifies an entry and carries the limits of the engine.

    Sent first on a connection, and again when the limits of the engine change or the
    engine says that it leaves.

    Attributes:
        entry: Name of the entry's instance.
        engine_id: Instance id of the engine in the instance list.
        engine_start_time_ms: Start time of the engine in Unix ms in the instance list;
            0 if not stated.
        engine_spec: Limits of the engine, as JSON of an ``EngineSpec``.
        protocol: ``PROTOCOL_VERSION`` of the entry.
        limit: Limit that the engine has named, in requests per second; None for none.
        leaving: Whether this start of the engine has said that it leaves.
        token: Highest fencing token that an agent of the engine has reported; 0 for
            none.
    """

    entry: str
    engine_id: str
    engine_start_time_ms: int
    engine_spec: bytes
    protocol: int = 0
    limit: float | None = None
    leaving: bool = False
    token: int = 0


class AdapterVersions(_Message, frozen=True, tag=2):
    """Announces versions of adapters.

    Attributes:
        versions: Tuples of model, adapter and version.
    """

    versions: list[tuple[str, str, int]]


class AdmissionRequest(_Message, frozen=True, tag=3):
    """Requests admission of a request to the engine.

    Attributes:
        number: Number of the request on this connection.
        model: Base model.
        adapter: Adapter; empty for the model itself.
        version: Oldest adapter version that the request may run on; 0 for any.
        rank: Priority rank; 0 is the most urgent.
        prompt_tokens: Number of prompt tokens.
        output_tokens: Maximum number of output tokens.
        target_ms: Time left until the latency target of the first event.
        deadline_ms: Time left until the deadline, after which a response is useless.
        may_decline: Whether the agent may decline a request that would miss its latency
            target; set while the entry can still try other engines.
        request_id: Id of the request, for the agent's log.
        gap_ms: Longest pause between events with which the stream is on time; 0 for
            no limit.
        account: Client account of the request; empty for none.
        weight: Share of the account relative to the mean of all accounts.
    """

    number: int
    model: str
    adapter: str
    version: int
    rank: int
    prompt_tokens: int
    output_tokens: int
    target_ms: int
    deadline_ms: int
    may_decline: bool = False
    request_id: str = ""
    gap_ms: int = 0
    account: str = ""
    weight: float = 1.0


class Grant(_Message, frozen=True, tag=4):
    """Admits a request: the entry may send it to the engine.

    Attributes:
        number: Number of the request.
        backlog_ms: Estimated time until the prefill of a new request starts.
        late: Whether the request has already missed its latency target.
    """

    number: int
    backlog_ms: int
    late: bool


class Deny(_Message, frozen=True, tag=5):
    """Rejects a request that the engine can't serve, or not before its deadline.

    Attributes:
        number: Number of the request.
        retry_after_ms: Time until capacity is expected.
        reason: Reason for the log and the metrics.
    """

    number: int
    retry_after_ms: int
    reason: str


class Decline(_Message, frozen=True, tag=11):
    """Declines a request that would miss its latency target on this engine.

    Another engine may be able to serve it in time.

    Attributes:
        number: Number of the request.
        first_event_ms: Estimated time to its first event on this engine.
    """

    number: int
    first_event_ms: int


class FirstEvent(_Message, frozen=True, tag=6):
    """Reports that the first event of a request arrived.

    Attributes:
        number: Number of the request.
        limit: Limit that the engine named in the response, in requests per second; None
            for none.
    """

    number: int
    limit: float | None = None


class Done(_Message, frozen=True, tag=7):
    """Reports that a request ended or was cancelled.

    Attributes:
        number: Number of the request.
        limit: Limit that the engine has named, in requests per second; None for none.
            It counts if the request ended without an event, such as a rejected one.
        pause_ms: Time for which the engine wants no further request from the entry.
    """

    number: int
    limit: float | None = None
    pause_ms: int = 0


class Status(_Message, frozen=True, tag=8):
    """State of an engine; sent on changes and as a heartbeat.

    Attributes:
        engine_start_time_ms: Start time of the engine in Unix ms; 0 if unknown.
        serving: Whether the engine responds to the agent.
        draining: Whether the engine is draining.
        backlog_ms: Estimated time until the prefill of a new request that can meet its
            latency target starts.
        token_ns: Prefill time of one prompt token, in ns.
        load_wait_ms: Estimated time until an adapter load requested now would start.
        entries: Number of connected entries.
        protocol: ``PROTOCOL_VERSION`` of the agent.
        pause_ms: Time for which the engine wants no further request from one of the
            entries.
        token: Fencing token of the agent's orders; 0 if it has none.
        account_backlogs_ms: Backlogs for new requests of the client accounts with most
            waiting work; others expect ``backlog_ms``.
    """

    engine_start_time_ms: int
    serving: bool
    draining: bool
    backlog_ms: int
    token_ns: int
    load_wait_ms: int
    entries: int
    protocol: int = 0
    pause_ms: int = 0
    token: int = 0
    account_backlogs_ms: dict[str, int] = {}


class HeldAdapters(_Message, frozen=True, tag=9):
    """Adapters loaded on an engine; sent when they change.

    Attributes:
        complete: Whether the lists replace those sent before instead of updating them.
        held: Model, adapter and version of each loaded adapter; an empty adapter stands
            for the model itself.
        dropped: Model and adapter of recently unloaded adapters, which reload fast.
    """

    complete: bool
    held: list[tuple[str, str, int]]
    dropped: list[tuple[str, str]]


class CrashReport(_Message, frozen=True, tag=12):
    """Reports crashes of engines and the prompt parts involved; relayed by agents.

    Attributes:
        crashes: Instance id and start time in Unix ms of each engine that crashed, time
            since its crash in ms, and shared prompt parts of the requests lost with it.
        answered: Prompt parts that were involved in a crash, with the time in ms since
            a request with the part was last answered.
    """

    crashes: list[tuple[str, int, int, list[str]]]
    answered: list[tuple[str, int]]


class Heartbeat(_Message, frozen=True, tag=10):
    """Signals that an entry is alive.

    Attributes:
        store_epoch: Latest epoch of the platform's store that the entry has seen; None
            if it has seen none. Agents call the store rarely and learn of a restore
            from it.
    """

    store_epoch: int | None = None


class QuotaRequest(_Message, frozen=True, tag=13):
    """Lends an entry's shares of accounts' quotas to an agent and asks for units.

    Attributes:
        entry: Name of the entry's instance.
        sent_at_us: Time of sending by the entry's clock, in us.
        entries: Number of entries that the entry knows.
        version: Version of the configuration that the limits are from.
        lines: By account, its name; rate, capacity and headroom of its bucket; units
            used, returned, refunded, needed and wanted; and the entry's own units.
            Their meaning is that of ``QuotaLine``.
        left: Accounts whose shares the entry no longer lends to the agent.
    """

    entry: str
    sent_at_us: int
    entries: int
    version: int
    lines: list[
        tuple[str, float, float, float, float, float, float, float, float, float]
    ]
    left: list[str] = []


class QuotaGrant(_Message, frozen=True, tag=14):
    """Lends units of accounts' quotas to an entry, or tells of accounts with traffic.

    Attributes:
        sent_at_us: ``sent_at_us`` of the request that is answered; 0 for none.
        lines: By account, its name, units lent, whether they are less than needed,
            units that the agent owes, and units per second that flow in. Their meaning
            is that of ``GrantLine``.
        opened: Accounts with traffic, for entries that lend no share of them yet.
        closed: Accounts without traffic, whose shares the entries get back.
        entries: Names of all connected entries that understand quotas; empty if they
            are not reported.
    """

    sent_at_us: int
    lines: list[tuple[str, float, bool, float, float]]
    opened: list[str] = []
    closed: list[str] = []
    entries: list[str] = []


Message = (
    Hello
    | AdapterVersions
    | AdmissionRequest
    | Grant
    | Deny
    | Decline
    | FirstEvent
    | Done
    | Status
    | HeldAdapters
    | CrashReport
    | Heartbeat
    | QuotaRequest
    | QuotaGrant
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class BadMessageError(Exception):
    """Raised when a peer sends bytes that can't be decoded as a message."""


def encode(message: Message) -> bytes:
    """Encodes a message with its length prefix."""
    body = _encoder.encode(message)
    return _LENGTH.pack(len(body)) + body


class MessageReader:
    """Decodes messages from a stream of bytes."""

    def __init__(self, max_first: int = MAX_MESSAGE_BYTES) -> None:
        """Starts without bytes.

        Args:
            max_first: Limit of the first message, in bytes.
        """
        self._buffer = bytearray()
        self._limit = max_first

    @property
    def buffered(self) -> int:
        """Bytes of a message that is not complete."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Message]:
        """Appends received bytes and returns the messages that are complete.

        Raises:
            BadMessageError: If a message is too long or can't be decoded.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > self._limit:
                raise BadMessageError(
                    f"message of {length} bytes; the limit is {self._limit}"
                )
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            try:
                messages.append(_decoder.decode(self._buffer[_LENGTH.size : end]))
            except (msgspec.DecodeError, RecursionError) as error:
                # RecursionError: unknown fields are nested too deeply.
                raise BadMessageError(str(error)) from error
            del self._buffer[:end]
            self._limit = MAX_MESSAGE_BYTES
        return messages
