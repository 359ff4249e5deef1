"""TCP relays on loopback that inject network faults.

A relay runs on a thread of the harness process. Its mode can change while connections
are open.
"""

import contextlib
import selectors
import socket
import struct
import threading
import time
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from fighitch.types import Seconds

_READ_BYTES = 65_536
_POLL_INTERVAL: Seconds = 0.02
# SO_LINGER with a timeout of 0: close() sends a reset instead of a FIN.
_RESET = struct.pack("ii", 1, 0)


class RelayMode(Enum):
    """What a relay does with the bytes that it reads.

    The silent modes discard bytes and leave connections open. ``SILENT_OLD`` does so in
    both directions on the connections that exist when it is set; new connections work.
    """

    PASS = "pass"  # noqa: S105 - not a password
    CUT = "cut"
    SILENT = "silent"
    SILENT_OLD = "silent_old"
    SILENT_TO_TARGET = "silent_forth"
    SILENT_TO_CALLER = "silent_back"
    SLOW = "slow"


# Values of ``_Endpoint.is_accepted`` whose input is discarded.
_DISCARDED_DIRECTIONS: dict[RelayMode, frozenset[bool]] = {
    RelayMode.SILENT: frozenset({True, False}),
    RelayMode.SILENT_TO_TARGET: frozenset({True}),
    RelayMode.SILENT_TO_CALLER: frozenset({False}),
}


@dataclass(eq=False)
class _Endpoint:
    """One of the two sockets of a relayed connection.

    Attributes:
        sock: The socket.
        is_accepted: Whether the socket was accepted from a caller, not opened to the
            target.
        peer: The other socket of the connection; None until both exist.
        waiting: Data to write to this socket, each with the earliest time to write it;
            empty data stands for the end of the stream.
        discards_input: Whether bytes read from this socket are discarded for the rest
            of the connection, whatever the mode.
    """

    sock: socket.socket
    is_accepted: bool
    peer: "_Endpoint | None" = None
    waiting: deque[tuple[Seconds, bytes]] = field(default_factory=deque)
    discards_input: bool = False


class Relay:
    """Accepts connections on loopback and forwards them to a target port."""

    def __init__(
        self, target_port: int, *, port: int = 0, delay: Seconds = 0.3
    ) -> None:
        """Binds the port; ``start`` runs the relay.

        Args:
            target_port: Port on loopback to which connections are forwarded.
            port: Port to accept on; 0 for an ephemeral port.
            delay: Delay of all data in mode ``SLOW``.
        """
        self._target = ("127.0.0.1", target_port)
        self._delay = delay
        self._mode = RelayMode.PASS
        self._requested_mode = RelayMode.PASS
        self._endpoints: set[_Endpoint] = set()
        self._selector = selectors.DefaultSelector()
        self._is_stopped = threading.Event()
        self._mode_applied = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", port), backlog=64)
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    @property
    def port(self) -> int:
        """Port on which the relay accepts connections."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Starts the thread of the relay."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread, which closes every connection."""
        self._is_stopped.set()
        if self._thread.is_alive():
            self._thread.join()

    def set_mode(self, mode: RelayMode) -> None:
        """Changes the mode and waits until the relay thread has applied it."""
        self._mode_applied.clear()
        self._requested_mode = mode
        self._mode_applied.wait(1.0)

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            if self._requested_mode is not self._mode:
                self._apply_mode(self._requested_mode)
            self._mode_applied.set()
            for key, _ in self._selector.select(_POLL_INTERVAL):
                if key.data is None:
                    self._accept()
                elif key.data in self._endpoints:
                    self._read(key.data)
            self._write_due()
        for endpoint in list(self._endpoints):
            self._close(endpoint)
        self._selector.close()
        self._listener.close()

    def _apply_mode(self, mode: RelayMode) -> None:
        self._mode = mode
        for endpoint in list(self._endpoints):
            if mode is RelayMode.CUT:
                self._close(endpoint, reset=True)
            elif mode is RelayMode.SILENT_OLD:
                endpoint.discards_input = True

    def _accept(self) -> None:
        accepted, _ = self._listener.accept()
        if self._mode is RelayMode.CUT:
            _reset(accepted)
            return
        caller = _Endpoint(accepted, is_accepted=True)
        try:
            outgoing = _Endpoint(
                socket.create_connection(self._target, 1.0), is_accepted=False
            )
        except OSError:
            _reset(accepted)
            return
        caller.peer, outgoing.peer = outgoing, caller
        for endpoint in (caller, outgoing):
            endpoint.sock.setblocking(False)
            endpoint.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._endpoints.add(endpoint)
            self._selector.register(endpoint.sock, selectors.EVENT_READ, endpoint)

    def _read(self, endpoint: _Endpoint) -> None:
        try:
            data = endpoint.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        is_discarded = (
            endpoint.discards_input
            or endpoint.is_accepted
            in _DISCARDED_DIRECTIONS.get(self._mode, frozenset())
        )
        if is_discarded and not data:
            self._selector.unregister(endpoint.sock)
            endpoint.discards_input = True
            return
        if is_discarded or endpoint.peer is None:
            return
        delay = self._delay if self._mode is RelayMode.SLOW else 0.0
        endpoint.peer.waiting.append((time.monotonic() + delay, data))
        if not data:
            self._selector.unregister(endpoint.sock)

    def _write_due(self) -> None:
        now = time.monotonic()
        for endpoint in list(self._endpoints):
            while endpoint.waiting and endpoint.waiting[0][0] <= now:
                due, data = endpoint.waiting.popleft()
                if not data:
                    self._close(endpoint)
                    break
                try:
                    sent = endpoint.sock.send(data)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self._close(endpoint)
                    break
                if sent < len(data):
                    endpoint.waiting.appendleft((due, data[sent:]))
                    break

    def _close(self, endpoint: _Endpoint, *, reset: bool = False) -> None:
        for member in (endpoint, endpoint.peer):
            if member is None or member not in self._endpoints:
                continue
            self._endpoints.discard(member)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(member.sock)
            if reset:
                _reset(member.sock)
            else:
                member.sock.close()


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()
