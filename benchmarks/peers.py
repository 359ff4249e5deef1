"""Simulates many peers of one measured daemon in a single thread.

The peers implement the real protocol (handshake, heartbeats, configuration, responses),
so that a daemon can be measured with hundreds of connections but few processes.
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
_MS_PER_SECOND = 1_000
RESIDENT_ADAPTERS = 8
_POLL_INTERVAL: Seconds = 0.02
_HEARTBEAT_PHASES = 16
_TOKEN_TEXT = "kula "


def shared_keys() -> tuple[SharedKey, ...]:
    """Returns the shared keys of the deployments that the benchmarks start."""
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


class SimulatedPeers:
    """Simulated sidecars that listen, or simulated entries that connect."""

    def __init__(
        self,
        role: Role,
        resources: Sequence[Resource],
        *,
        message_interval: Seconds = 0.25,
        tokens_per_message: int = 1,
        messages_per_response: int = 1_000_000,
        resident: int = RESIDENT_ADAPTERS,
        interval: Seconds = HEARTBEAT_INTERVAL,
    ) -> None:
        """Creates the peers without starting their thread.

        Args:
            role: Role of the peers.
            resources: Configuration that the peers provide.
            message_interval: Time between two messages of a stream.
            tokens_per_message: Tokens in one message of a stream.
            messages_per_response: Messages after which a stream ends.
            resident: Number of resident adapter versions in a sidecar's heartbeats.
            interval: Heartbeat interval that entries announce; sidecars use the one
                that the connected entry announces.
        """
        self._role = role
        self._message_interval = message_interval
        self._messages_per_response = messages_per_response
        self._resident = resident
        self._interval = interval
        self._intervals: dict[int, Seconds] = {}
        self._next_heartbeats: dict[int, Seconds] = {}
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
        event += b'"text":"' + _TOKEN_TEXT.encode() + b'","finish_reason":null}]}\n\n'
        self._data = event * tokens_per_message

    def listen(self, name: str) -> str:
        """Starts to listen as the named peer; returns the address."""
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        self._names[sock] = name
        self._selector.register(sock, selectors.EVENT_READ, sock)
        host, port = sock.getsockname()
        return f"{host}:{port}"

    def connect(self, address: str, name: str) -> None:
        """Connects to a daemon as the named peer."""
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        self._add_connection(sock, name, address=address)

    def configure(self, resources: Sequence[Resource], *, revision: int) -> None:
        """Adds resources to the configuration; must be called before ``start``."""
        self._store.merge(resources, revision=revision, base=1)

    def start(self) -> None:
        """Starts the thread of the peers."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread and closes all sockets."""
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
            for key, _ in self._selector.select(_POLL_INTERVAL):
                if isinstance(key.data, Connection):
                    self._receive_messages(key.data)
                else:
                    self._accept(key.data)
            now = time.monotonic()
            self._send_heartbeats(now)
            self._send_chunks(now)
            for connection in list(self._connections):
                self._flush(connection)

    def _accept(self, listener: socket.socket) -> None:
        sock, _ = listener.accept()
        self._add_connection(sock, self._names[listener])

    def _add_connection(
        self, sock: socket.socket, name: str, *, address: str = ""
    ) -> None:
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

    def _receive_messages(self, connection: Connection) -> None:
        try:
            for message in connection.receive():
                self._handle_message(message, connection)
        except ConnectionLostError:
            self._close_connection(connection)

    def _flush(self, connection: Connection) -> None:
        try:
            connection.flush()
        except ConnectionLostError:
            self._close_connection(connection)

    def _close_connection(self, connection: Connection) -> None:
        if connection in self._connections:
            self._connections.remove(connection)
            self._selector.unregister(connection.sock)
            connection.sock.close()

    def _send_heartbeats(self, now: Seconds) -> None:
        is_sidecar = self._role is Role.SIDECAR
        message = Heartbeat(
            round(now * _MS_PER_SECOND),
            self._store.revision,
            load=heartbeat(self._resident).load if is_sidecar else None,
            interval=0 if is_sidecar else round(self._interval * _MS_PER_SECOND),
        )
        for number, connection in enumerate(self._connections):
            if connection.peer is None or now < self._next_heartbeats.get(
                connection.id, 0
            ):
                continue
            connection.send(message)
            interval = self._intervals.get(connection.id, self._interval)
            # A shorter first interval spreads the heartbeats over time.
            is_first = connection.id not in self._next_heartbeats
            fraction = (
                (number % _HEARTBEAT_PHASES + 1) / _HEARTBEAT_PHASES
                if is_first
                else 1.0
            )
            self._next_heartbeats[connection.id] = now + interval * fraction

    @singledispatchmethod
    def _handle_message(self, message: Any, connection: Connection) -> None:
        """Ignores messages that need no reaction in a measurement."""

    @_handle_message.register
    def _(self, message: ConfigurationRequest, connection: Connection) -> None:
        for effect in self._exchange.respond(connection.id, message):
            connection.send(effect.message)

    @_handle_message.register
    def _(self, message: Heartbeat, connection: Connection) -> None:
        if self._role is Role.SIDECAR and message.interval:
            self._intervals[connection.id] = message.interval / _MS_PER_SECOND

    @_handle_message.register
    def _(self, message: Submit, connection: Connection) -> None:
        key = (message.request_id, message.attempt)
        # The streams start at different phases of the interval, as on independent
        # engines.
        phase = self._message_interval * (len(self._streams) % 32) / 32
        self._streams[key] = _Stream(
            connection, message, time.monotonic() + phase, digest=xxhash.xxh3_64()
        )

    def _send_chunks(self, now: Seconds) -> None:
        for key, stream in list(self._streams.items()):
            if now < stream.next_at:
                continue
            if stream.connection not in self._connections:
                del self._streams[key]
                continue
            stream.next_at += self._message_interval
            if stream.sequence >= self._messages_per_response:
                del self._streams[key]
                stream.connection.send(_build_end(stream))
                continue
            stream.connection.send(Chunk(*key, stream.sequence, self._data))
            stream.sequence += 1
            stream.length += len(self._data)
            stream.digest.update(self._data)


def _build_end(stream: _Stream) -> End:
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
