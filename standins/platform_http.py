"""HTTP server of the platform stand-ins, which runs its own event loop thread."""

import socket
from collections.abc import Iterable

import msgspec

from fighitch.core.gateway.model import CallerLimits
from fighitch.runtime.event_loop import READ
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.sockets import accept_pending, listen
from standins.loop_thread import LoopThread

_JSON = [(b"Content-Type", b"application/json")]
_LIMITS = CallerLimits(idle_timeout=60.0)


class StandInServer(LoopThread):
    """Base class of stand-ins that serve HTTP."""

    def __init__(self, host: str, port: int = 0) -> None:
        super().__init__()
        self._listener = listen(host, port)
        self.host, self.port = self._listener.getsockname()
        self._connections: set[CallerConnection] = set()
        self.listening = True

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Starts serving requests."""
        self.loop.watch(self._listener, READ, self._accept)
        # A periodic timer bounds the delay of calls from other threads.
        self.loop.call_every(0.005, lambda: None)
        super().start()

    def stop(self) -> None:
        """Closes all connections without notice, as a crashed server does."""
        super().stop()
        for connection in list(self._connections):
            connection.close()
        self._listener.close()

    def stop_listening(self) -> None:
        """Refuses new connections until ``resume_listening``."""
        self.listening = False
        self.loop.forget(self._listener)
        self._listener.close()

    def resume_listening(self) -> None:
        """Accepts connections again, at the same address."""
        self._listener = listen(self.host, self.port)
        self.loop.watch(self._listener, READ, self._accept)
        self.listening = True

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Handles a request."""
        raise NotImplementedError

    def _accept(self, _events: int) -> None:
        accept_pending(self._listener, self._add_connection, lambda _error: None)

    def _add_connection(self, sock: socket.socket) -> None:
        self._connections.add(
            CallerConnection(
                self.loop,
                sock,
                lambda: _LIMITS,
                on_request=self.handle,
                on_closed=self._connections.discard,
            )
        )


def send_json(
    connection: CallerConnection,
    status: int,
    content: object,
    headers: Iterable[tuple[bytes, bytes]] = (),
) -> None:
    """Sends a response with a JSON body, and headers besides its type."""
    if connection.closed:
        return
    body = msgspec.json.encode(content)
    connection.send_head(status, [*_JSON, *headers], length=len(body))
    connection.send_body(body)
    connection.finish()
