"""TCP proxy on loopback that delays, holds, silences or resets connections."""

import socket
import struct
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from fighitch.runtime.event_loop import READ, WRITE, EventLoop
from fighitch.runtime.sockets import accept_pending, listen, open_stream
from standins.loop_thread import LoopThread

_CHUNK = 65_536
# Held bytes of one direction; a longer backlog makes the sender wait, as a link does.
_MOST_HELD_BYTES = 262_144
# Bytes pass as they come; a turn passes on those that were held.
_TURN = 0.02
# Closes a socket with a reset.
_LINGER_ZERO = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class LinkFaults:
    """What a link does to the bytes on it.

    Attributes:
        delay: Seconds that each piece is held.
        to_server: Whether bytes towards the server pass; held ones pass later.
        to_client: Whether bytes towards the client pass; held ones pass later.
    """

    delay: float = 0.0
    to_server: bool = True
    to_client: bool = True


@dataclass(slots=True)
class _Direction:
    source: socket.socket
    target: socket.socket
    is_to_server: bool
    held: deque[tuple[float, bytes]] = field(default_factory=deque)
    held_bytes: int = 0
    has_ended: bool = False


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
        # A silenced connection stays so: nothing passes, not even its end.
        self.silenced = False
        self._directions = (
            _Direction(client, server, is_to_server=True),
            _Direction(server, client, is_to_server=False),
        )
        client.setblocking(False)
        for direction in self._directions:
            self._watch(direction)

    def turn(self) -> None:
        """Passes on what is due."""
        if self.silenced:
            return
        for direction in self._directions:
            self._pass(direction)

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

    def _watch(self, direction: _Direction) -> None:
        """Waits for bytes of a direction while there is room for them."""
        if self._closed:
            return
        has_room = direction.held_bytes < _MOST_HELD_BYTES
        events = READ if has_room and not direction.has_ended else 0
        self._loop.watch(direction.source, events, partial(self._on_events, direction))

    def _on_events(self, direction: _Direction, _events: int) -> None:
        try:
            data = direction.source.recv(_CHUNK)
        except BlockingIOError:
            return
        except OSError:
            if self.silenced:
                direction.has_ended = True
                self._watch(direction)
                return
            self.reset()
            return
        if not data:
            direction.has_ended = True
        elif not self.silenced:
            due = self._loop.now() + self._faults.delay
            direction.held.append((due, data))
            direction.held_bytes += len(data)
        self._watch(direction)
        self.turn()

    def _pass(self, direction: _Direction) -> None:
        is_open = (
            self._faults.to_server if direction.is_to_server else self._faults.to_client
        )
        if self._closed or not is_open:
            return
        now = self._loop.now()
        while direction.held and direction.held[0][0] <= now:
            due, data = direction.held.popleft()
            try:
                sent = direction.target.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.reset()
                return
            direction.held_bytes -= sent
            if sent < len(data):
                direction.held.appendleft((due, data[sent:]))
                break
        if direction.has_ended and not direction.held:
            self.close()
            return
        self._watch(direction)


class FaultProxy(LoopThread):
    """Listens at one address for some ports and passes connections on."""

    def __init__(self, host: str, targets: Mapping[int, tuple[str, int]]) -> None:
        """Starts to listen.

        Args:
            host: Loopback address of the proxy.
            targets: Where each port of the proxy leads to; port 0 takes a free one.
        """
        super().__init__()
        self.faults = LinkFaults()
        self.host = host
        # Longest time for which the proxy's own thread did not run.
        self.longest_stall = 0.0
        self._last_turn = 0.0
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
        """Starts to pass connections on."""
        self.loop.call_every(_TURN, self._turn)
        super().start()

    def stop(self) -> None:
        """Ends all connections."""
        super().stop()
        for connection in list(self._connections):
            connection.close()
        for listener in self._listeners:
            listener.close()

    def reset_all(self) -> None:
        """Resets the open connections."""
        self.call(lambda: self._each(_Connection.reset))

    def silence_all(self) -> None:
        """Lets the open connections go silent for good; new ones work."""
        self.call(lambda: self._each(_silence))

    def heal(self) -> None:
        """Ends delays and cuts; silenced connections stay silent."""
        self.faults.delay = 0.0
        self.faults.to_server = self.faults.to_client = True

    def _each(self, action: Callable[[_Connection], None]) -> None:
        for connection in list(self._connections):
            action(connection)

    def _turn(self) -> None:
        now = self.loop.now()
        if self._last_turn:
            stall = now - self._last_turn - _TURN
            self.longest_stall = max(self.longest_stall, stall)
        self._last_turn = now
        self._each(_Connection.turn)

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
