"""Response streams to entries that can be resumed on a new connection.

There are no acknowledgement messages. The newest chunks of live responses and the
chunks of recently ended responses are retained within a memory limit, and a ``Resume``
message states the first chunk that the entry is missing.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TypeAlias

import xxhash

from fighitch.core.errors import Failure, RunState
from fighitch.core.invariants import check
from fighitch.core.messages import Chunk, End, Message, Peer, Refused
from fighitch.types import ConnectionId, Incarnation, InstanceName, RequestId, Seconds

# Well below the maximum message size, so that a chunk does not delay heartbeats.
MAX_CHUNK_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class StreamKey:
    """Identifies an attempt; request ids are unique per incarnation of an entry."""

    entry: InstanceName
    incarnation: Incarnation
    request_id: RequestId
    attempt: int


def stream_key(peer: Peer, request_id: RequestId, attempt: int) -> StreamKey:
    """Returns the stream key of an attempt sent by a peer."""
    return StreamKey(peer.instance, peer.incarnation, request_id, attempt)


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """Properties of a complete response that ``End`` carries."""

    status: int
    model: str = ""
    content_type: str = "application/json"
    queued: Seconds = 0.0
    stalled: Seconds = 0.0
    replayed: bool = False


_FinalMessage: TypeAlias = End | Refused


class ResponseStream:
    """Response to one attempt: numbered chunks and a final message.

    Attributes:
        status: HTTP status of the response, carried by its chunks.
    """

    def __init__(self, key: StreamKey, connection: ConnectionId) -> None:
        self.status = 200
        self._key = key
        self._connection: ConnectionId | None = connection
        self._disconnected_at: Seconds | None = None
        self._ended_at: Seconds | None = None
        self._retained: deque[Chunk] = deque()
        self._retained_bytes = 0
        self._next_sequence = 0
        self._byte_length = 0
        self._digest = xxhash.xxh3_64()
        self._final_message: _FinalMessage | None = None

    @property
    def key(self) -> StreamKey:
        """Key of the attempt that the response belongs to."""
        return self._key

    @property
    def connection(self) -> ConnectionId | None:
        """Connection to the entry; None while disconnected."""
        return self._connection

    @property
    def disconnected_at(self) -> Seconds | None:
        """Time at which the connection was lost."""
        return self._disconnected_at

    @property
    def ended_at(self) -> Seconds | None:
        """Time of the final message; None while the response is live."""
        return self._ended_at

    @property
    def has_chunks(self) -> bool:
        """Whether the entry may have received part of the response."""
        return self._next_sequence > 0

    @property
    def retained_bytes(self) -> int:
        """Size of the retained chunks in bytes."""
        return self._retained_bytes

    def attach(self, connection: ConnectionId) -> None:
        """Continues the stream on a new connection."""
        self._connection = connection
        self._disconnected_at = None

    def detach(self, now: Seconds) -> None:
        """Records the loss of the connection; messages are retained for ``Resume``."""
        self._connection = None
        self._disconnected_at = now

    def add_data(self, data: bytes) -> list[Message]:
        """Appends data to the response; returns it split into the next chunks."""
        check(self._final_message is None, "no_chunk_after_the_end", key=self._key)
        pieces = [
            data[start : start + MAX_CHUNK_BYTES]
            for start in range(0, len(data), MAX_CHUNK_BYTES)
        ]
        return [self._chunk(piece) for piece in pieces]

    def end(self, info: ResponseInfo, now: Seconds) -> End:
        """Ends the response and returns its ``End`` message."""
        end = End(
            request_id=self._key.request_id,
            attempt=self._key.attempt,
            status=info.status,
            chunk_count=self._next_sequence,
            byte_length=self._byte_length,
            digest=self._digest.intdigest(),
            model=info.model,
            run_state=RunState.RAN,
            content_type=info.content_type,
            queued=round(info.queued * 1000),
            stalled=round(info.stalled * 1000),
            replayed=info.replayed,
        )
        self._finish(end, now)
        return end

    def refuse(self, failure: Failure, now: Seconds) -> Refused:
        """Ends the attempt with a failure and returns its ``Refused`` message."""
        refused = build_refused_message(
            self._key.request_id, self._key.attempt, failure
        )
        self._finish(refused, now)
        return refused

    def messages_from(self, next_sequence: int) -> list[Message] | None:
        """Returns every message from a sequence number on.

        Args:
            next_sequence: First chunk that the entry is missing.

        Returns:
            The messages; None if some of the chunks are no longer retained.
        """
        if not self._first_retained_sequence <= next_sequence <= self._next_sequence:
            return None
        missing: list[Message] = [
            chunk for chunk in self._retained if chunk.sequence >= next_sequence
        ]
        check(
            len(missing) == self._next_sequence - next_sequence,
            "resumed_sequence_without_gaps",
            key=self._key,
            next_sequence=next_sequence,
        )
        return [*missing, self._final_message] if self._final_message else missing

    def evict_oldest(self) -> int:
        """Evicts the oldest retained chunk; returns the number of bytes freed."""
        chunk = self._retained.popleft()
        self._retained_bytes -= len(chunk.data)
        return len(chunk.data)

    @property
    def _first_retained_sequence(self) -> int:
        return self._retained[0].sequence if self._retained else self._next_sequence

    def _chunk(self, data: bytes) -> Chunk:
        newest = (
            self._retained[-1].sequence if self._retained else self._next_sequence - 1
        )
        check(
            newest == self._next_sequence - 1,
            "sequence_without_gaps",
            key=self._key,
            newest=newest,
            sequence=self._next_sequence,
        )
        chunk = Chunk(
            self._key.request_id,
            self._key.attempt,
            self._next_sequence,
            data,
            self.status,
        )
        self._next_sequence += 1
        self._byte_length += len(data)
        self._digest.update(data)
        self._retained.append(chunk)
        self._retained_bytes += len(data)
        return chunk

    def _finish(self, final_message: _FinalMessage, now: Seconds) -> None:
        check(self._final_message is None, "one_end_for_an_attempt", key=self._key)
        self._final_message = final_message
        self._ended_at = now


class StreamTable:
    """Live and recently ended streams within a memory limit."""

    def __init__(self, *, max_retained_bytes: int, max_stream_bytes: int) -> None:
        """Creates an empty table.

        Args:
            max_retained_bytes: Memory limit for the chunks of all streams.
            max_stream_bytes: Memory limit for the chunks of one live stream.
        """
        self._max_retained_bytes = max_retained_bytes
        self._max_stream_bytes = max_stream_bytes
        self._live: dict[StreamKey, ResponseStream] = {}
        self._ended: OrderedDict[StreamKey, ResponseStream] = OrderedDict()
        self._disconnected: dict[StreamKey, ResponseStream] = {}
        self._retained_bytes = 0

    @property
    def retained_bytes(self) -> int:
        """Size of the retained chunks of all streams in bytes."""
        return self._retained_bytes

    def __len__(self) -> int:
        return len(self._live)

    @property
    def has_disconnected(self) -> bool:
        """Whether the entry of any response is disconnected."""
        return bool(self._disconnected)

    def disconnected_before(self, time: Seconds) -> list[ResponseStream]:
        """Returns the live streams that were disconnected by a given time."""
        return [
            stream
            for stream in self._disconnected.values()
            if stream.ended_at is None
            and stream.disconnected_at is not None
            and stream.disconnected_at <= time
        ]

    def connections(self) -> frozenset[ConnectionId | None]:
        """Returns the connections of live streams."""
        return frozenset(stream.connection for stream in self._live.values())

    def get(self, key: StreamKey) -> ResponseStream | None:
        """Returns the stream of an attempt, live or recently ended."""
        return self._live.get(key) or self._ended.get(key)

    def open(self, key: StreamKey, connection: ConnectionId) -> ResponseStream:
        """Starts a stream."""
        stream = ResponseStream(key, connection)
        self._live[key] = stream
        return stream

    def add_data(self, stream: ResponseStream, data: bytes) -> list[Message]:
        """Adds data to a live stream and evicts chunks beyond the memory limits."""
        before = stream.retained_bytes
        messages = stream.add_data(data)
        self._retained_bytes += stream.retained_bytes - before
        while stream.retained_bytes > self._max_stream_bytes:
            self._retained_bytes -= stream.evict_oldest()
        while self._retained_bytes > self._max_retained_bytes:
            self._evict_one()
        return messages

    def mark_ended(self, stream: ResponseStream) -> None:
        """Moves a stream to the recently ended ones."""
        if self._live.pop(stream.key, None) is not None:
            self._ended[stream.key] = stream

    def remove(self, stream: ResponseStream) -> None:
        """Removes a stream and its retained chunks."""
        found = self._live.pop(stream.key, None) or self._ended.pop(stream.key, None)
        self._disconnected.pop(stream.key, None)
        if found is not None:
            self._retained_bytes -= found.retained_bytes

    def detach_connection(self, connection: ConnectionId, now: Seconds) -> None:
        """Detaches every stream from a connection."""
        for stream in (*self._live.values(), *self._ended.values()):
            if stream.connection == connection:
                stream.detach(now)
                self._disconnected[stream.key] = stream

    def attach(self, stream: ResponseStream, connection: ConnectionId) -> None:
        """Continues a stream on a new connection."""
        stream.attach(connection)
        self._disconnected.pop(stream.key, None)

    def evict_ended(self, before: Seconds) -> None:
        """Removes the streams that ended before a given time."""
        while self._ended:
            stream = next(iter(self._ended.values()))
            if stream.ended_at is not None and stream.ended_at >= before:
                return
            self.remove(stream)

    def _evict_one(self) -> None:
        """Evicts the oldest chunk, of ended streams first."""
        for stream in (*self._ended.values(), *self._live.values()):
            if stream.retained_bytes:
                self._retained_bytes -= stream.evict_oldest()
                return


def build_refused_message(
    request_id: RequestId, attempt: int, failure: Failure
) -> Refused:
    """Converts a failure to a ``Refused`` message."""
    return Refused(
        request_id=request_id,
        attempt=attempt,
        kind=failure.kind,
        run_state=failure.run_state,
        detail=failure.detail,
        retry_after=round((failure.retry_after or 0.0) * 1000),
    )
