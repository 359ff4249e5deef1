"""Many peers of one daemon under measurement, played by one thread.

The peers speak the real protocol (handshake, heartbeats, configuration, answers), so
that a daemon can be measured with hundreds of connections and few processes.
"""

import selectors
import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

import xxhash

from benchmarks.deployment import SHARED_KEY
from benchmarks.fleet_sample import heartbeat
from fighitch.core.anti_entropy import ConfigurationExchange
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.messages import (
    Chunk,
    ConfigurationRequest,
    End,
    Heartbeat,
    Peer,
    Role,
    Submit,
)
from fighitch.core.resources import Resource
from fighitch.core.tickets import SharedKey
from fighitch.runtime.connections import Connection, ConnectionLostError
from fighitch.types import Seconds

HEARTBEAT_INTERVAL: Seconds = 0.5
_MS = 1_000
RESIDENT_ADAPTERS = 8
_POLL: Seconds = 0.02
_PHASES = 16
_TEXT = "kula "


def shared_keys() -> tuple[SharedKey, ...]:
    """Returns the keys of the deployments that the benchmarks start."""
    key_id, secret = SHARED_KEY["key_id"], SHARED_KEY["secret"]
    return (SharedKey(key_id, bytes.fromhex(secret)),)


@dataclass(slots=True)
class _Stream:
    connection: Connection
    submit: Submit
    next_at: Seconds
    sequence: int = 0
    length: int = 0
    digest: Any = None


class Peers:
    """Sidecars that listen, or entries that connect."""

    def __init__(
        self,
        role: Role,
        resources: Sequence[Resource],
        *,
        step: Seconds = 0.25,
        tokens_per_message: int = 1,
        messages_per_answer: int = 1_000_000,
        resident: int = RESIDENT_ADAPTERS,
        interval: Seconds = HEARTBEAT_INTERVAL,
    ) -> None:
        """Prepares the peers.

        Args:
            role: What they are.
            resources: Configuration that they hand out.
            step: Time between two messages of a stream.
            tokens_per_message: Tokens in one message of a stream.
            messages_per_answer: Messages after which a stream ends.
            resident: Adapter versions that their heartbeats name.
            interval: Time between heartbeats that entries state; sidecars keep to the
                one that is stated to them.
        """
        self._role = role
        self._step = step
        self._messages_per_answer = messages_per_answer
        self._resident = resident
        self._interval = interval
        self._intervals: dict[int, Seconds] = {}
        self._next_beats: dict[int, Seconds] = {}
        self._store = ConfigurationStore()
        self._store.merge(resources, revision=1)
        self._exchange = ConfigurationExchange(self._store)
        self._selector = selectors.DefaultSelector()
        self._names: dict[socket.socket, str] = {}
        self._connections: list[Connection] = []
        self._streams: dict[tuple[str, int], _Stream] = {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._is_stopping = False
        event = b'data: {"id":"x","object":"text_completion","choices":[{"index":0,'
        event += b'"text":"' + _TEXT.encode() + b'","finish_reason":null}]}\n\n'
        self._data = event * tokens_per_message

    def listen(self, name: str) -> str:
        """Accepts connections as a peer of that name; returns its address."""
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        self._names[sock] = name
        self._selector.register(sock, selectors.EVENT_READ, sock)
        host, port = sock.getsockname()
        return f"{host}:{port}"

    def connect(self, address: str, name: str) -> None:
        """Connects to a daemon as a peer of that name."""
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        self._add(sock, name, address=address)

    def configure(self, resources: Sequence[Resource], *, revision: int) -> None:
        """Adds configuration before ``start``."""
        self._store.merge(resources, revision=revision, base=1)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Closes everything."""
        self._is_stopping = True
        self._thread.join()
        for sock in self._names:
            sock.close()
        for connection in self._connections:
            connection.sock.close()

    @property
    def connected(self) -> int:
        """Number of authenticated connections."""
        return sum(item.peer is not None for item in list(self._connections))

    def _run(self) -> None:
        while not self._is_stopping:
            for key, _ in self._selector.select(_POLL):
                if isinstance(key.data, Connection):
                    self._read(key.data)
                else:
                    self._accept(key.data)
            now = time.monotonic()
            self._beat(now)
            self._feed_streams(now)
            for connection in list(self._connections):
                self._flush(connection)

    def _accept(self, listener: socket.socket) -> None:
        sock, _ = listener.accept()
        self._add(sock, self._names[listener])

    def _add(self, sock: socket.socket, name: str, *, address: str = "") -> None:
        identity = Peer(self._role, name, 1, "zone-0")
        connection = Connection(
            len(self._connections),
            sock,
            identity,
            shared_keys(),
            opened_at=time.monotonic(),
            address=address,
        )
        if address:
            connection.finish_connect()
        self._connections.append(connection)
        self._selector.register(sock, selectors.EVENT_READ, connection)

    def _read(self, connection: Connection) -> None:
        try:
            for message in connection.receive():
                self._receive(message, connection)
        except ConnectionLostError:
            self._drop(connection)

    def _flush(self, connection: Connection) -> None:
        try:
            connection.flush()
        except ConnectionLostError:
            self._drop(connection)

    def _drop(self, connection: Connection) -> None:
        if connection in self._connections:
            self._connections.remove(connection)
            self._selector.unregister(connection.sock)
            connection.sock.close()

    def _beat(self, now: Seconds) -> None:
        is_sidecar = self._role is Role.SIDECAR
        message = Heartbeat(
            round(now * _MS),
            self._store.revision,
            load=heartbeat(self._resident).load if is_sidecar else None,
            interval=0 if is_sidecar else round(self._interval * _MS),
        )
        for number, connection in enumerate(self._connections):
            if connection.peer is None or now < self._next_beats.get(connection.id, 0):
                continue
            connection.send(message)
            interval = self._intervals.get(connection.id, self._interval)
            # A shorter first interval spreads the connections over the time.
            is_first = connection.id not in self._next_beats
            share = (number % _PHASES + 1) / _PHASES if is_first else 1.0
            self._next_beats[connection.id] = now + interval * share

    @singledispatchmethod
    def _receive(self, message: Any, connection: Connection) -> None:
        """Ignores what a measurement has no use for."""

    @_receive.register
    def _(self, message: ConfigurationRequest, connection: Connection) -> None:
        for effect in self._exchange.respond(connection.id, message):
            connection.send(effect.message)

    @_receive.register
    def _(self, message: Heartbeat, connection: Connection) -> None:
        if self._role is Role.SIDECAR and message.interval:
            self._intervals[connection.id] = message.interval / _MS

    @_receive.register
    def _(self, message: Submit, connection: Connection) -> None:
        key = (message.request_id, message.attempt)
        # Phases spread over the step, as those of independent engines are.
        phase = self._step * (len(self._streams) % 32) / 32
        self._streams[key] = _Stream(
            connection, message, time.monotonic() + phase, digest=xxhash.xxh3_64()
        )

    def _feed_streams(self, now: Seconds) -> None:
        for key, stream in list(self._streams.items()):
            if now < stream.next_at:
                continue
            if stream.connection not in self._connections:
                del self._streams[key]
                continue
            stream.next_at += self._step
            if stream.sequence >= self._messages_per_answer:
                del self._streams[key]
                stream.connection.send(_end(stream))
                continue
            stream.connection.send(Chunk(*key, stream.sequence, self._data))
            stream.sequence += 1
            stream.length += len(self._data)
            stream.digest.update(self._data)


def _end(stream: _Stream) -> End:
    submit = stream.submit
    version = submit.adapter_version
    return End(
        submit.request_id,
        submit.attempt,
        200,
        stream.sequence,
        stream.length,
        stream.digest.intdigest(),
        model=str(version) if version else "",
    )
