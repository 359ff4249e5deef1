"""HTTP server of the platform's stand-ins: a thread with its own event loop."""

import socket

import msgspec

from fighitch.core.gateway.model import CallerLimits
from fighitch.runtime.event_loop import READ
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.sockets import accept_pending, listen
from standins.loop_thread import LoopThread

_JSON = [(b"Content-Type", b"application/json")]
_LIMITS = CallerLimits(idle_timeout=60.0)


class StandInServer(LoopThread):
    """Base of stand-ins that serve HTTP."""

    def __init__(self, host: str, port: int = 0) -> None:
        super().__init__()
        self._listener = listen(host, port)
        self.host, self.port = self._listener.getsockname()
        self._connections: set[CallerConnection] = set()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Starts to serve."""
        self.loop.watch(self._listener, READ, self._accept)
        # A periodic timer bounds the time until calls from other threads run.
        self.loop.call_every(0.005, lambda: None)
        super().start()

    def stop(self) -> None:
        """Closes all connections without a word, as a lost server does."""
        super().stop()
        for connection in list(self._connections):
            connection.close()
        self._listener.close()

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Answers a request."""
        raise NotImplementedError

    def _accept(self, _events: int) -> None:
        accept_pending(self._listener, self._add, lambda _error: None)

    def _add(self, sock: socket.socket) -> None:
        self._connections.add(
            CallerConnection(
                self.loop,
                sock,
                _LIMITS,
                on_request=self.handle,
                on_closed=self._connections.discard,
            )
        )


def answer_json(connection: CallerConnection, status: int, content: object) -> None:
    """Answers with a JSON body."""
    if connection.closed:
        return
    body = msgspec.json.encode(content)
    connection.send_head(status, _JSON, length=len(body))
    connection.send_body(body)
    connection.finish()
