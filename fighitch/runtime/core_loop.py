"""Event loop of a core: owns the peer connections and runs the core on one thread."""

import contextlib
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from typing import Any, Protocol, TypeVar

from fighitch.core.effects import Connect, Disconnect, LogEvent, Send, Stop
from fighitch.core.inputs import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    MessageReceived,
    Tick,
)
from fighitch.core.messages import Peer
from fighitch.core.tickets import SharedKey
from fighitch.runtime.connections import (
    HANDSHAKE_TIMEOUT,
    Connection,
    ConnectionLostError,
)
from fighitch.types import ConnectionId, Seconds
from fighitch.wire.codec import CodecError

TICK_INTERVAL: Seconds = 0.05
# Limit of connections whose handshake is not complete, so that unauthenticated peers
# cannot exhaust the file descriptors.
MAX_UNAUTHENTICATED = 128
LISTEN_BACKLOG = 512


_T = TypeVar("_T")


class _CoreCall:
    """A function to call with the core, and the future that receives its result."""

    def __init__(self, function: Callable[[Any], Any], future: Any) -> None:
        self._function = function
        self._future = future

    def resolve(self, core: Any) -> None:
        """Calls the function and resolves the future."""
        try:
            self._future.set_result(self._function(core))
        except Exception as error:
            self._future.set_exception(error)


class Core(Protocol):
    """The interface of a core."""

    def handle(self, message: Any, *, now: Seconds) -> Iterable[Any]:
        """Handles an input and returns the effects to apply."""


class CoreLoop:
    """Runs a core on inputs from peers, a timer and ``post``; applies its effects."""

    def __init__(
        self,
        core: Core,
        identity: Peer,
        keys: Sequence[SharedKey],
        *,
        on_effect: Callable[[Any], None],
        listen_address: str | None = None,
        clock: Callable[[], Seconds] = time.monotonic,
    ) -> None:
        """Prepares the loop; ``run`` starts it.

        Args:
            core: Handles the inputs; only called on the thread of this loop.
            identity: Identity of this process.
            keys: Shared keys; the first one signs.
            on_effect: Called with each effect that does not concern peers; must not
                block.
            listen_address: ``ip:port`` to accept peers on; None disables listening.
            clock: Monotonic time in seconds.
        """
        self._core = core
        self._identity = identity
        self._keys = tuple(keys)
        self._on_effect = on_effect
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._connections: dict[ConnectionId, Connection] = {}
        # Connections that may have bytes to write. Only these are flushed, so that the
        # cost of a message does not grow with the number of connections.
        self._unflushed: dict[ConnectionId, Connection] = {}
        self._connecting: set[str] = set()
        self._next_id: ConnectionId = 1
        self._inbox: deque[Any] = deque()
        self._wake_receive, self._wake_send = socket.socketpair()
        self._wake_receive.setblocking(False)
        self._wake_send.setblocking(False)
        self._wake_is_pending = False
        self._stopped = threading.Event()
        self._is_stopping = False
        self._listener = _listen(listen_address) if listen_address else None
        self._selector.register(self._wake_receive, selectors.EVENT_READ, "wake")
        if self._listener:
            self._selector.register(self._listener, selectors.EVENT_READ, "listen")

    @property
    def listen_address(self) -> str:
        """The address that accepts peers; empty if the loop does not listen."""
        if self._listener is None:
            return ""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    @property
    def is_stopped(self) -> bool:
        """Whether the core has emitted ``Stop`` because its drain is complete."""
        return self._stopped.is_set()

    def post(self, message: Any) -> None:
        """Queues an input for the core; thread-safe."""
        self._inbox.append(message)
        if self._wake_is_pending:
            return
        self._wake_is_pending = True
        # After the loop has ended, its socket is closed and the inbox is never read.
        with contextlib.suppress(OSError):
            self._wake_send.send(b"\0")

    def run_on_core(self, function: Callable[[Any], _T]) -> "Future[_T]":
        """Calls a function with the core on the thread of the loop; thread-safe.

        Args:
            function: Function of the core; must return quickly and must not retain the
                core.

        Returns:
            A future of the function's result.
        """
        future: Future[_T] = Future()
        self.post(_CoreCall(function, future))
        return future

    def set_keys(self, keys: Sequence[SharedKey]) -> None:
        """Replaces the shared keys that later handshakes use."""
        self._keys = tuple(keys)

    def stop(self) -> None:
        """Ends ``run``; thread-safe."""
        self._is_stopping = True
        with contextlib.suppress(OSError):
            self._wake_send.send(b"\0")

    def run(self) -> None:
        """Runs until ``stop``.

        The loop continues after the core has emitted ``Stop``: requests may still
        arrive until the ports are closed, and the core rejects them as "not run".
        """
        next_tick = self._clock()
        while not self._is_stopping:
            timeout = max(0.0, next_tick - self._clock())
            for key, events in self._selector.select(0 if self._inbox else timeout):
                self._handle_ready(key.data, events)
            self._drain_inbox()
            if self._clock() >= next_tick:
                next_tick = self._clock() + TICK_INTERVAL
                self._expire_handshakes()
                self._process_input(Tick())
            self._flush_all()
        self._close()

    # --- Inputs ---

    def _process_input(self, message: Any) -> None:
        if isinstance(message, _CoreCall):
            message.resolve(self._core)
            return
        for effect in self._core.handle(message, now=self._clock()):
            self._apply(effect)

    def _drain_inbox(self) -> None:
        self._wake_is_pending = False
        for _ in range(len(self._inbox)):
            self._process_input(self._inbox.popleft())

    def _handle_ready(self, target: Any, events: int) -> None:
        if target == "wake":
            self._wake_receive.recv(4096)
            return
        if target == "listen":
            self._accept()
            return
        connection: Connection = target
        if connection.id not in self._connections:
            return
        self._unflushed[connection.id] = connection
        try:
            if connection.is_connecting:
                connection.finish_connect()
            if events & selectors.EVENT_READ:
                self._receive(connection)
        except ConnectionLostError as error:
            self._drop(connection, error)

    def _receive(self, connection: Connection) -> None:
        for message in connection.receive():
            self._report_opened(connection)
            self._process_input(MessageReceived(connection.id, message))
            if connection.id not in self._connections:
                return
        self._report_opened(connection)

    def _report_opened(self, connection: Connection) -> None:
        if connection.is_reported or connection.peer is None:
            return
        connection.is_reported = True
        self._connecting.discard(connection.address)
        self._process_input(
            ConnectionOpened(connection.id, connection.peer, connection.address)
        )

    # --- Effects ---

    def _apply(self, effect: Any) -> None:
        if isinstance(effect, Send):
            self._send(effect)
        elif isinstance(effect, Connect):
            self._connect(effect.address)
        elif isinstance(effect, Disconnect):
            self._disconnect(effect)
        elif isinstance(effect, Stop):
            self._stopped.set()
        else:
            self._on_effect(effect)

    def _send(self, effect: Send) -> None:
        connection = self._connections.get(effect.connection)
        if connection is None:
            return
        self._unflushed[connection.id] = connection
        try:
            connection.send(effect.message)
        except (ConnectionLostError, CodecError) as error:
            self._drop(connection, ConnectionLostError(str(error)))

    def _disconnect(self, effect: Disconnect) -> None:
        connection = self._connections.get(effect.connection)
        if connection is not None:
            self._drop(connection, ConnectionLostError(effect.reason or "disconnected"))

    # --- Sockets ---

    def _connect(self, address: str) -> None:
        if address in self._connecting:
            return
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.connect((host, int(port)))
        except BlockingIOError:
            pass
        except (OSError, ValueError, OverflowError, TypeError) as error:
            sock.close()
            self._inbox.append(ConnectionFailed(address, str(error)))
            return
        self._connecting.add(address)
        self._register(sock, address)

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        unauthenticated = sum(
            not item.is_reported for item in self._connections.values()
        )
        if unauthenticated >= MAX_UNAUTHENTICATED:
            sock.close()
            self._on_effect(_rejection_event("too many unauthenticated connections"))
            return
        self._register(sock, "")

    def _register(self, sock: socket.socket, address: str) -> None:
        connection = Connection(
            self._next_id,
            sock,
            self._identity,
            self._keys,
            opened_at=self._clock(),
            address=address,
        )
        self._next_id += 1
        self._connections[connection.id] = connection
        self._selector.register(sock, selectors.EVENT_READ, connection)
        self._watch(connection)

    def _watch(self, connection: Connection) -> None:
        events = selectors.EVENT_READ
        if connection.wants_write:
            events |= selectors.EVENT_WRITE
        if self._selector.get_key(connection.sock).events != events:
            self._selector.modify(connection.sock, events, connection)

    def _flush_all(self) -> None:
        unflushed, self._unflushed = self._unflushed, {}
        for connection in unflushed.values():
            if connection.id not in self._connections:
                continue
            try:
                connection.flush()
            except ConnectionLostError as error:
                self._drop(connection, error)
                continue
            self._watch(connection)

    def _expire_handshakes(self) -> None:
        deadline = self._clock() - HANDSHAKE_TIMEOUT
        for connection in list(self._connections.values()):
            if not connection.is_reported and connection.opened_at < deadline:
                self._drop(connection, ConnectionLostError("handshake timed out"))

    def _drop(self, connection: Connection, error: ConnectionLostError) -> None:
        if self._connections.pop(connection.id, None) is None:
            return
        self._selector.unregister(connection.sock)
        connection.sock.close()
        self._connecting.discard(connection.address)
        if error.is_rejected:
            self._on_effect(_rejection_event(str(error)))
        # Queued in the inbox, because the core may be handling another input.
        if connection.is_reported:
            self._inbox.append(ConnectionClosed(connection.id, str(error)))
        elif connection.address:
            self._inbox.append(ConnectionFailed(connection.address, str(error)))

    def _close(self) -> None:
        for connection in list(self._connections.values()):
            connection.sock.setblocking(True)
            connection.sock.settimeout(1.0)
            with contextlib.suppress(ConnectionLostError):
                connection.flush()
            connection.sock.close()
        for sock in (self._listener, self._wake_receive, self._wake_send):
            if sock is not None:
                sock.close()
        self._selector.close()


def _rejection_event(detail: str) -> LogEvent:
    return LogEvent("peer_refused", (("detail", detail),))


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
