"""Kept connections of an entry to backend servers."""

from dataclasses import dataclass

from fighitch.core.gateway.model import BackendServer
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_exchange import HttpConnection
from fighitch.types import Seconds

# Kept well below the shortest time after which servers close idle connections, because
# a request that crosses the close may or may not have run.
_DEFAULT_IDLE: Seconds = 4.0
_IDLE_SHARE = 0.6
# Work that may run only once takes only connections that were used a moment ago.
_IDLE_FOR_SINGLE_RUN: Seconds = 1.0
_MAX_IDLE = 48


@dataclass(frozen=True, slots=True)
class _ServerKey:
    host: str
    port: int
    instance_id: str


def _key(server: BackendServer) -> _ServerKey:
    return _ServerKey(server.host, server.port, server.instance_id)


class BackendPool:
    """Lends connections; each takes one request at a time."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._idle: dict[_ServerKey, list[HttpConnection]] = {}

    def lend(self, server: BackendServer, *, repeatable: bool) -> HttpConnection:
        """Returns a connection that is ready for a request.

        Args:
            server: Where to connect.
            repeatable: Whether the request may be sent again if the connection turns
                out to be closed.
        """
        key = _key(server)
        idle = self._idle.get(key, [])
        now = self._loop.now()
        while idle:
            connection = idle.pop()
            age = now - connection.idle_since
            longest = _DEFAULT_IDLE
            if connection.keep_alive is not None:
                longest = min(longest, _IDLE_SHARE * connection.keep_alive)
            if not repeatable:
                longest = min(longest, _IDLE_FOR_SINGLE_RUN)
            if age <= longest and connection.usable():
                return connection
            connection.close()
        return HttpConnection(
            self._loop,
            server.host,
            server.port,
            on_idle=lambda connection: self._keep(key, connection),
            on_closed=lambda connection: self._drop(key, connection),
        )

    def forget(self, server: BackendServer) -> None:
        """Closes the idle connections to a server that is gone."""
        for connection in self._idle.pop(_key(server), []):
            connection.close()

    def _keep(self, key: _ServerKey, connection: HttpConnection) -> None:
        idle = self._idle.setdefault(key, [])
        idle.append(connection)
        if len(idle) > _MAX_IDLE:
            idle.pop(0).close()

    def _drop(self, key: _ServerKey, connection: HttpConnection) -> None:
        idle = self._idle.get(key)
        if idle and connection in idle:
            idle.remove(connection)
