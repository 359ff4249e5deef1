"""Loopback TCP proxy that delays, buffers, silences or resets connections."""

import socket
import struct
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from fighitch.runtime.event_loop import READ, WRITE, EventLoop
from fighitch.runtime.sockets import accept_pending, listen, open_stream
from standins.loop_thread import LoopThread

_RECV_SIZE = 65_536
# Buffer limit per direction; a full buffer applies back-pressure, as a real link does.
_MAX_BUFFERED_BYTES = 262_144
# Bytes are forwarded on arrival; each tick forwards buffered bytes that became due.
_TICK_SECONDS = 0.02
# SO_LINGER with a zero timeout makes close() send a reset.
_LINGER_ZERO = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class LinkFaults:
    """Faults applied to the bytes on a link.

    Bytes of a blocked direction are buffered and forwarded once it is unblocked.

    Attributes:
        delay: Seconds by which each chunk is delayed.
        to_server: Whether bytes to the server are forwarded.
        to_client: Whether bytes to the client are forwarded.
    """

    delay: float = 0.0
    to_server: bool = True
    to_client: bool = True


@dataclass(slots=True)
class _Direction:
    source: socket.socket
    target: socket.socket
    is_to_server: bool
    buffered: deque[tuple[float, bytes]] = field(default_factory=deque)
    buffered_bytes: int = 0
    has_eof: bool = False


class _Connection:
    """Both directions of one connection through the proxy."""

    def __init__(
        self,
        loop: EventLoop,
        faults: LinkFaults,
        client: socket.socket,
        server: socket.socket,
        on_closed: Callable[["_Connection"], None],
    ) -> None:
        self._loop = loop
        self._faults = faults
        self._on_closed = on_closed
        self._closed = False
        # A silenced connection forwards nothing from then on, not even its end.
        self.silenced = False
        self._directions = (
            _Direction(client, server, is_to_server=True),
            _Direction(server, client, is_to_server=False),
        )
        client.setblocking(False)
        for direction in self._directions:
            self._update_interest(direction)

    def forward_due(self) -> None:
        """Forwards buffered bytes that are due."""
        if self.silenced:
            return
        for direction in self._directions:
            self._forward(direction)

    def reset(self) -> None:
        """Resets both ends."""
        if self._closed:
            return
        for direction in self._directions:
            direction.source.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
            )
        self.close()

    def close(self) -> None:
        """Closes both ends."""
        if self._closed:
            return
        self._closed = True
        for direction in self._directions:
            self._loop.forget(direction.source)
            direction.source.close()
        self._on_closed(self)

    def _update_interest(self, direction: _Direction) -> None:
        """Polls the source for reads while the buffer has space."""
        if self._closed:
            return
        has_space = direction.buffered_bytes < _MAX_BUFFERED_BYTES
        events = READ if has_space and not direction.has_eof else 0
        self._loop.watch(direction.source, events, partial(self._on_events, direction))

    def _on_events(self, direction: _Direction, _events: int) -> None:
        try:
            data = direction.source.recv(_RECV_SIZE)
        except BlockingIOError:
            return
        except OSError:
            if self.silenced:
                direction.has_eof = True
                self._update_interest(direction)
                return
            self.reset()
            return
        if not data:
            direction.has_eof = True
        elif not self.silenced:
            due = self._loop.now() + self._faults.delay
            direction.buffered.append((due, data))
            direction.buffered_bytes += len(data)
        self._update_interest(direction)
        self.forward_due()

    def _forward(self, direction: _Direction) -> None:
        is_forwarding = (
            self._faults.to_server if direction.is_to_server else self._faults.to_client
        )
        if self._closed or not is_forwarding:
            return
        now = self._loop.now()
        while direction.buffered and direction.buffered[0][0] <= now:
            due, data = direction.buffered.popleft()
            try:
                sent = direction.target.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.reset()
                return
            direction.buffered_bytes -= sent
            if sent < len(data):
                direction.buffered.appendleft((due, data[sent:]))
                break
        if direction.has_eof and not direction.buffered:
            self.close()
            return
        self._update_interest(direction)


class FaultProxy(LoopThread):
    """Listens on ports of one address and forwards connections to their targets."""

    def __init__(self, host: str, targets: Mapping[int, tuple[str, int]]) -> None:
        """Binds the ports.

        Args:
            host: Loopback address of the proxy.
            targets: Target address by port of the proxy; port 0 selects a free port.
        """
        super().__init__()
        self.faults = LinkFaults()
        self.host = host
        # Longest time in seconds for which the proxy's own thread did not run.
        self.longest_stall = 0.0
        self._last_tick = 0.0
        self.ports: list[int] = []
        self._connections: set[_Connection] = set()
        self._listeners: list[socket.socket] = []
        for port, target in targets.items():
            listener = listen(host, port)
            self.ports.append(listener.getsockname()[1])
            self._listeners.append(listener)
            self.loop.watch(listener, READ, partial(self._accept, listener, target))

    @property
    def address(self) -> str:
        """IP address and first port."""
        return f"{self.host}:{self.ports[0]}"

    def start(self) -> None:
        """Starts forwarding connections."""
        self.loop.call_every(_TICK_SECONDS, self._on_tick)
        super().start()

    def stop(self) -> None:
        """Stops the proxy and closes all connections."""
        super().stop()
        for connection in list(self._connections):
            connection.close()
        for listener in self._listeners:
            listener.close()

    def reset_all(self) -> None:
        """Resets all open connections."""
        self.call(lambda: self._for_each_connection(_Connection.reset))

    def silence_all(self) -> None:
        """Silences the open connections permanently; new connections are forwarded."""
        self.call(lambda: self._for_each_connection(_silence))

    def heal(self) -> None:
        """Removes delays and blocked directions; silenced connections stay silent."""
        self.faults.delay = 0.0
        self.faults.to_server = self.faults.to_client = True

    def _for_each_connection(self, action: Callable[[_Connection], None]) -> None:
        for connection in list(self._connections):
            action(connection)

    def _on_tick(self) -> None:
        now = self.loop.now()
        if self._last_tick:
            stall = now - self._last_tick - _TICK_SECONDS
            self.longest_stall = max(self.longest_stall, stall)
        self._last_tick = now
        self._for_each_connection(_Connection.forward_due)

    def _accept(
        self, listener: socket.socket, target: tuple[str, int], _events: int
    ) -> None:
        accept_pending(listener, partial(self._connect, target), lambda _error: None)

    def _connect(self, target: tuple[str, int], client: socket.socket) -> None:
        server = open_stream()
        try:
            server.connect(target)
        except BlockingIOError:
            pass
        except OSError:
            client.close()
            server.close()
            return

        def connected(_events: int) -> None:
            self.loop.forget(server)
            if server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                client.close()
                server.close()
                return
            self._connections.add(
                _Connection(
                    self.loop, self.faults, client, server, self._connections.discard
                )
            )

        self.loop.watch(server, WRITE, connected)


def _silence(connection: _Connection) -> None:
    connection.silenced = True
