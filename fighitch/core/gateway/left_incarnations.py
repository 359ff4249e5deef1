"""Incarnations of backend servers that have left or have said that they leave.

Load pattern: a server says in its answers that it leaves, while the instance list still
calls it ready, or calls it ready again after the store was restored from an old copy.
"""

from fighitch.core.gateway.model import Incarnation

# Bounds the memory for servers that left long ago, of which no list tells any more.
_MAX_SERVERS = 10_000


class LeftIncarnations:
    """Latest incarnation of each server that has left; earlier ones have left too.

    A server that starts again, under the same id or another one, is not affected.
    """

    def __init__(self) -> None:
        self._start_times_ms: dict[str, int] = {}

    def __contains__(self, server: Incarnation) -> bool:
        left_ms = self._start_times_ms.get(server.instance_id)
        return left_ms is not None and server.start_time_ms <= left_ms

    def add(self, server: Incarnation) -> bool:
        """Records that a server has left; returns whether that was unknown."""
        if server in self:
            return False
        self._start_times_ms.pop(server.instance_id, None)
        self._start_times_ms[server.instance_id] = server.start_time_ms
        if len(self._start_times_ms) > _MAX_SERVERS:
            del self._start_times_ms[next(iter(self._start_times_ms))]
        return True
