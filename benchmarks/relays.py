"""TCP relays on loopback that make a link fail in a chosen way.

A relay runs in the harness process. Its mode can be changed while connections are open.
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
_POLL: Seconds = 0.02
# Closes a socket with a reset instead of an orderly end.
_RESET = struct.pack("ii", 1, 0)


class Mode(Enum):
    """What a relay does with the bytes that it reads.

    The silent modes swallow bytes and leave connections open. ``SILENT_OLD`` does so in
    both directions on the connections that exist when it is set; new ones work.
    """

    PASS = "pass"  # noqa: S105 - not a password
    CUT = "cut"
    SILENT = "silent"
    SILENT_OLD = "silent_old"
    SILENT_FORTH = "silent_forth"
    SILENT_BACK = "silent_back"
    SLOW = "slow"


_SWALLOWED: dict[Mode, frozenset[bool]] = {
    Mode.SILENT: frozenset({True, False}),
    Mode.SILENT_FORTH: frozenset({True}),
    Mode.SILENT_BACK: frozenset({False}),
}


@dataclass(eq=False)
class _Side:
    """One socket of a relayed connection.

    Attributes:
        sock: The socket.
        is_caller: Whether it was accepted, not dialled.
        peer: The other socket of the connection; set once both exist.
        waiting: Bytes to write to this socket, with the time from which.
        is_silent: Whether bytes read from it are swallowed for good.
        ends_at: Time at which its peer's end of data is passed on.
    """

    sock: socket.socket
    is_caller: bool
    peer: "_Side | None" = None
    waiting: deque[tuple[Seconds, bytes]] = field(default_factory=deque)
    is_silent: bool = False


class Relay:
    """Accepts connections on loopback and passes their bytes to a target port."""

    def __init__(
        self, target_port: int, *, port: int = 0, delay: Seconds = 0.3
    ) -> None:
        """Binds a port; ``start`` runs the relay.

        Args:
            target_port: Port on loopback to which connections are passed.
            port: Port to accept on; 0 lets the system choose.
            delay: Delay of every byte in mode ``SLOW``.
        """
        self._target = ("127.0.0.1", target_port)
        self._delay = delay
        self._mode = Mode.PASS
        self._wanted = Mode.PASS
        self._sides: set[_Side] = set()
        self._selector = selectors.DefaultSelector()
        self._is_stopped = threading.Event()
        self._applied = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", port), backlog=64)
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    @property
    def port(self) -> int:
        """Port that the relay accepts on."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Runs the relay on a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """Closes every connection and ends the thread."""
        self._is_stopped.set()
        if self._thread.is_alive():
            self._thread.join()

    def set_mode(self, mode: Mode) -> None:
        """Changes the mode and returns when it is in force."""
        self._applied.clear()
        self._wanted = mode
        self._applied.wait(1.0)

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            if self._wanted is not self._mode:
                self._enter(self._wanted)
            self._applied.set()
            for key, _ in self._selector.select(_POLL):
                if key.data is None:
                    self._accept()
                elif key.data in self._sides:
                    self._read(key.data)
            self._write_due()
        for side in list(self._sides):
            self._close(side)
        self._selector.close()
        self._listener.close()

    def _enter(self, mode: Mode) -> None:
        self._mode = mode
        for side in list(self._sides):
            if mode is Mode.CUT:
                self._close(side, reset=True)
            elif mode is Mode.SILENT_OLD:
                side.is_silent = True

    def _accept(self) -> None:
        accepted, _ = self._listener.accept()
        if self._mode is Mode.CUT:
            _reset(accepted)
            return
        caller = _Side(accepted, is_caller=True)
        try:
            dialled = _Side(
                socket.create_connection(self._target, 1.0), is_caller=False
            )
        except OSError:
            _reset(accepted)
            return
        caller.peer, dialled.peer = dialled, caller
        for side in (caller, dialled):
            side.sock.setblocking(False)
            side.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sides.add(side)
            self._selector.register(side.sock, selectors.EVENT_READ, side)

    def _read(self, side: _Side) -> None:
        try:
            data = side.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        is_swallowed = side.is_silent or side.is_caller in _SWALLOWED.get(
            self._mode, frozenset()
        )
        if is_swallowed and not data:
            self._selector.unregister(side.sock)
            side.is_silent = True
            return
        if is_swallowed or side.peer is None:
            return
        wait = self._delay if self._mode is Mode.SLOW else 0.0
        side.peer.waiting.append((time.monotonic() + wait, data))
        if not data:
            self._selector.unregister(side.sock)

    def _write_due(self) -> None:
        now = time.monotonic()
        for side in list(self._sides):
            while side.waiting and side.waiting[0][0] <= now:
                due, data = side.waiting.popleft()
                if not data:
                    self._close(side)
                    break
                try:
                    sent = side.sock.send(data)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self._close(side)
                    break
                if sent < len(data):
                    side.waiting.appendleft((due, data[sent:]))
                    break

    def _close(self, side: _Side, *, reset: bool = False) -> None:
        for one in (side, side.peer):
            if one is None or one not in self._sides:
                continue
            self._sides.discard(one)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(one.sock)
            if reset:
                _reset(one.sock)
            else:
                one.sock.close()


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()
