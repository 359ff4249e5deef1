"""Backend servers as the instance list has them, through outages of the store."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from fighitch.core.gateway.model import BackendServer, ServerState
from fighitch.types import Seconds

# Entries that lapsed during an outage of the store are back within about 2 s of its
# return; one that is still missing then is gone.
LAPSE_GRACE: Seconds = 2.2


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """What an update changed, for the log.

    Attributes:
        instance_id: The backend server.
        change: One of ``added``, ``draining``, ``left``, ``lapsed``, ``removed``,
            ``restarted``, ``ready``.
    """

    instance_id: str
    change: str


class Membership:
    """Known backend servers of all services."""

    def __init__(self) -> None:
        self._servers: dict[str, BackendServer] = {}
        self._lapsed_until: dict[str, Seconds] = {}
        # Incarnations that announced their leave; an old heartbeat can't revive them.
        self._left: dict[str, int] = {}
        self._outage_ended: Seconds = float("-inf")
        self._by_service: dict[str, tuple[BackendServer, ...]] | None = None

    def record_store_contact(self, now: Seconds, *, after_outage: bool) -> None:
        """Notes that the store answers; after an outage lapsed entries may return."""
        if after_outage:
            self._outage_ended = now

    @property
    def servers(self) -> Iterable[BackendServer]:
        """All known servers, draining ones included."""
        return self._servers.values()

    def ready(self, service: str) -> tuple[BackendServer, ...]:
        """Returns the servers of a service that take new work."""
        if self._by_service is None:
            grouped: dict[str, list[BackendServer]] = {}
            for server in self._servers.values():
                if server.state is ServerState.READY:
                    grouped.setdefault(server.service, []).append(server)
            self._by_service = {name: tuple(group) for name, group in grouped.items()}
        return self._by_service.get(service, ())

    def replace_all(
        self, servers: Iterable[BackendServer], now: Seconds
    ) -> list[MembershipChange]:
        """Takes a complete list."""
        listed = {server.instance_id: server for server in servers}
        changes = []
        for instance_id in [name for name in self._servers if name not in listed]:
            changes += self.remove(instance_id, now)
        for server in listed.values():
            changes += self.put(server)
        return changes

    def put(self, server: BackendServer) -> list[MembershipChange]:
        """Takes one entry; entries of an earlier incarnation are ignored."""
        name = server.instance_id
        known = self._servers.get(name)
        if known is not None and server.start_time_ms < known.start_time_ms:
            return []
        left = self._left.get(name)
        if server.state is ServerState.READY and left is not None:
            if server.start_time_ms <= left:
                return []
            del self._left[name]
        if server.state is ServerState.DRAINING:
            self._left[name] = server.start_time_ms
        self._lapsed_until.pop(name, None)
        self._servers[name] = server
        if known == server:
            return []
        self._by_service = None
        changes = self._supersede(server)
        if known is None:
            changes.append(MembershipChange(name, "added"))
        elif known.start_time_ms != server.start_time_ms:
            changes.append(MembershipChange(name, "restarted"))
        elif known.state is not server.state:
            changes.append(MembershipChange(name, server.state.value))
        return changes

    def remove(self, instance_id: str, now: Seconds) -> list[MembershipChange]:
        """Takes the removal of an entry."""
        server = self._servers.get(instance_id)
        if server is None:
            return []
        is_ready = server.state is ServerState.READY
        if is_ready and now < self._outage_ended + LAPSE_GRACE:
            if instance_id in self._lapsed_until:
                return []
            self._lapsed_until[instance_id] = self._outage_ended + LAPSE_GRACE
            return [MembershipChange(instance_id, "lapsed")]
        return self._drop(instance_id)

    def mark_left(self, instance_id: str) -> list[MembershipChange]:
        """Takes a leave that is known from elsewhere than the list."""
        server = self._servers.get(instance_id)
        if server is None or server.state is ServerState.DRAINING:
            return []
        self._by_service = None
        self._left[instance_id] = server.start_time_ms
        self._servers[instance_id] = replace(server, state=ServerState.DRAINING)
        return [MembershipChange(instance_id, "left")]

    def expire(self, now: Seconds) -> list[MembershipChange]:
        """Drops lapsed servers that did not return in time."""
        due = [name for name, end in self._lapsed_until.items() if now >= end]
        return [change for name in due for change in self._drop(name)]

    def _supersede(self, server: BackendServer) -> list[MembershipChange]:
        """Marks older servers at the same address as left, before they lapse."""
        changes = []
        for other in list(self._servers.values()):
            is_same = (other.host, other.port) == (server.host, server.port)
            if not is_same or other.instance_id == server.instance_id:
                continue
            older, newer = sorted((other, server), key=lambda item: item.start_time_ms)
            if older.start_time_ms < newer.start_time_ms:
                changes += self.mark_left(older.instance_id)
        return changes

    def _drop(self, instance_id: str) -> list[MembershipChange]:
        self._lapsed_until.pop(instance_id, None)
        if self._servers.pop(instance_id, None) is None:
            return []
        self._by_service = None
        return [MembershipChange(instance_id, "removed")]
