"""Pool of an entry's persistent connections to backend servers."""

from dataclasses import dataclass

from fighitch.core.gateway.model import BackendServer
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_exchange import HttpConnection
from fighitch.types import Seconds

# Well below the shortest time after which servers close idle connections: if a request
# is sent while the server closes the connection, it is unknown whether it ran.
_MAX_IDLE_TIME: Seconds = 4.0
# Share of the keep-alive time announced by a server for which a connection is reused;
# less than 1 for the same reason.
_KEEP_ALIVE_SHARE = 0.6
# Requests that must not run twice only use connections that were in use very recently.
_MAX_IDLE_TIME_NON_REPEATABLE: Seconds = 1.0
_MAX_IDLE_CONNECTIONS_PER_SERVER = 48


@dataclass(frozen=True, slots=True)
class _ServerKey:
    host: str
    port: int
    instance_id: str


def _key(server: BackendServer) -> _ServerKey:
    return _ServerKey(server.host, server.port, server.instance_id)


class BackendPool:
    """Pools idle connections; a connection carries one request at a time."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._idle: dict[_ServerKey, list[HttpConnection]] = {}

    def acquire(self, server: BackendServer, *, repeatable: bool) -> HttpConnection:
        """Returns an idle connection to a server, or a new one.

        Args:
            server: Server to connect to.
            repeatable: Whether the request may be sent again if the connection turns
                out to be closed.
        """
        key = _key(server)
        idle = self._idle.get(key, [])
        now = self._loop.now()
        while idle:
            connection = idle.pop()
            idle_time = now - connection.idle_since
            max_idle_time = _MAX_IDLE_TIME
            if connection.keep_alive is not None:
                max_idle_time = min(
                    max_idle_time, _KEEP_ALIVE_SHARE * connection.keep_alive
                )
            if not repeatable:
                max_idle_time = min(max_idle_time, _MAX_IDLE_TIME_NON_REPEATABLE)
            if idle_time <= max_idle_time and connection.usable():
                return connection
            connection.close()
        return self.connect(server)

    def connect(self, server: BackendServer) -> HttpConnection:
        """Returns a new connection to a server."""
        key = _key(server)
        return HttpConnection(
            self._loop,
            server.host,
            server.port,
            on_idle=lambda connection: self._return_idle(key, connection),
            on_closed=lambda connection: self._remove_idle(key, connection),
        )

    def close_idle(self, server: BackendServer) -> None:
        """Closes the idle connections to a removed server."""
        for connection in self._idle.pop(_key(server), []):
            connection.close()

    def _return_idle(self, key: _ServerKey, connection: HttpConnection) -> None:
        idle = self._idle.setdefault(key, [])
        idle.append(connection)
        if len(idle) > _MAX_IDLE_CONNECTIONS_PER_SERVER:
            idle.pop(0).close()

    def _remove_idle(self, key: _ServerKey, connection: HttpConnection) -> None:
        idle = self._idle.get(key)
        if idle and connection in idle:
            idle.remove(connection)
