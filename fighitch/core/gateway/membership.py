"""Known backend servers, from the instance list, across outages of the store."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from fighitch.core.gateway.left_incarnations import LeftIncarnations
from fighitch.core.gateway.model import BackendServer, Incarnation, ServerState
from fighitch.types import Seconds

# Grace period after an outage of the store. Servers whose list entry lapsed during the
# outage are listed again within about 2 s; a server that is still missing then is gone.
LAPSE_GRACE: Seconds = 2.2
# Removed servers that are remembered, in case a restored list names them again.
_MAX_REMOVED = 4_096


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """Change of one backend server, for the log.

    Attributes:
        instance_id: Instance id of the backend server.
        change: One of ``added``, ``draining``, ``left``, ``lapsed``, ``removed``,
            ``restarted``, ``ready``.
    """

    instance_id: str
    change: str


class Membership:
    """Known backend servers of all services."""

    def __init__(self) -> None:
        self._servers: dict[str, BackendServer] = {}
        self._lapse_deadlines: dict[str, Seconds] = {}
        # Incarnations that announced a drain, said that they leave or were replaced.
        # An outdated heartbeat doesn't make them ready again.
        self._left_incarnations = LeftIncarnations()
        # Start time of the removed incarnations, by instance id, the oldest first.
        self._removed_incarnations: dict[str, int] = {}
        self._is_list_restored = False
        # Removed servers that a restored list names, until they are written again.
        self._unconfirmed: set[Incarnation] = set()
        self._outage_end: Seconds = float("-inf")
        # Ready servers by service; None after a change, until the next use.
        self._ready_by_service: dict[str, tuple[BackendServer, ...]] | None = None

    def record_store_contact(self, now: Seconds, *, after_outage: bool) -> None:
        """Records that the store responds.

        Args:
            now: Current time.
            after_outage: Whether this is the first response after an outage, which
                starts the grace period of servers whose list entry lapsed.
        """
        if after_outage:
            self._start_grace_period(now)

    def record_store_restored(self, now: Seconds) -> None:
        """Records that the next list comes from an older copy of the store.

        Servers that started since the copy are missing there until they write again,
        and servers that have left since are listed.
        """
        self._start_grace_period(now)
        self._is_list_restored = True

    def _start_grace_period(self, now: Seconds) -> None:
        self._outage_end = now
        # Servers that lapsed before may not have had the time to be listed again.
        for instance_id in self._lapse_deadlines:
            self._lapse_deadlines[instance_id] = now + LAPSE_GRACE

    @property
    def servers(self) -> Iterable[BackendServer]:
        """All known servers, including draining ones."""
        return self._servers.values()

    def ready(self, service: str) -> tuple[BackendServer, ...]:
        """Returns the servers of a service that accept new requests."""
        if self._ready_by_service is None:
            grouped: dict[str, list[BackendServer]] = {}
            for server in self._servers.values():
                if server.state is ServerState.READY:
                    grouped.setdefault(server.service, []).append(server)
            self._ready_by_service = {
                name: tuple(group) for name, group in grouped.items()
            }
        return self._ready_by_service.get(service, ())

    def is_ready(self, server: BackendServer) -> bool:
        """Returns whether a server accepts new requests and has not restarted."""
        known = self._servers.get(server.instance_id)
        return (
            known is not None
            and known.state is ServerState.READY
            and known.incarnation == server.incarnation
        )

    def replace_all(
        self, servers: Iterable[BackendServer], now: Seconds
    ) -> list[MembershipChange]:
        """Applies a complete list of backend servers."""
        listed = {server.instance_id: server for server in servers}
        self._unconfirmed &= {server.incarnation for server in listed.values()}
        if self._is_list_restored:
            self._is_list_restored = False
            self._unconfirmed |= {
                server.incarnation
                for server in listed.values()
                if self._was_removed(server)
            }
        changes = []
        for instance_id in [name for name in self._servers if name not in listed]:
            changes += self.remove(instance_id, now)
        for server in listed.values():
            if server.incarnation not in self._unconfirmed:
                changes += self._put(server)
        return changes

    def _was_removed(self, server: BackendServer) -> bool:
        removed_start_ms = self._removed_incarnations.get(server.instance_id)
        return removed_start_ms is not None and (
            server.start_time_ms <= removed_start_ms
        )

    def put(self, server: BackendServer) -> list[MembershipChange]:
        """Adds or updates one server; an earlier incarnation is ignored."""
        self._unconfirmed.discard(server.incarnation)
        return self._put(server)

    def _put(self, server: BackendServer) -> list[MembershipChange]:
        name = server.instance_id
        known = self._servers.get(name)
        if known is not None and server.start_time_ms < known.start_time_ms:
            return []
        if server.state is ServerState.DRAINING:
            self._left_incarnations.add(server.incarnation)
        elif server.incarnation in self._left_incarnations:
            return []
        self._lapse_deadlines.pop(name, None)
        self._removed_incarnations.pop(name, None)
        self._servers[name] = server
        if known == server:
            return []
        self._ready_by_service = None
        changes = self._supersede(server)
        if known is None:
            changes.append(MembershipChange(name, "added"))
        elif known.start_time_ms != server.start_time_ms:
            changes.append(MembershipChange(name, "restarted"))
        elif known.state is not server.state:
            changes.append(MembershipChange(name, server.state.value))
        return changes

    def remove(self, instance_id: str, now: Seconds) -> list[MembershipChange]:
        """Applies the removal of a server from the instance list.

        Within the grace period after an outage, a ready server stays ready until the
        end of the period, as its list entry may have lapsed because of the outage.
        """
        server = self._servers.get(instance_id)
        if server is None:
            return []
        is_ready = server.state is ServerState.READY
        if is_ready and now < self._outage_end + LAPSE_GRACE:
            if instance_id in self._lapse_deadlines:
                return []
            self._lapse_deadlines[instance_id] = self._outage_end + LAPSE_GRACE
            return [MembershipChange(instance_id, "lapsed")]
        return self._drop(instance_id)

    def mark_left(self, instance_id: str) -> list[MembershipChange]:
        """Marks a server as draining without a heartbeat that says so."""
        server = self._servers.get(instance_id)
        return [] if server is None else self.record_left(server.incarnation)

    def record_left(self, incarnation: Incarnation) -> list[MembershipChange]:
        """Records that a server leaves, even one that is not in the instance list.

        A server that was removed can be listed as ready again, from an old copy of the
        store.
        """
        self._left_incarnations.add(incarnation)
        name = incarnation.instance_id
        server = self._servers.get(name)
        if server is None or server.state is ServerState.DRAINING:
            return []
        if server.incarnation not in self._left_incarnations:
            return []
        self._ready_by_service = None
        self._servers[name] = replace(server, state=ServerState.DRAINING)
        return [MembershipChange(name, "left")]

    def expire(self, now: Seconds) -> list[MembershipChange]:
        """Removes lapsed servers that did not return within the grace period.

        Must not be called while the store is away, as no server can return then.
        """
        expired = [name for name, end in self._lapse_deadlines.items() if now >= end]
        return [change for name in expired for change in self._drop(name)]

    def _supersede(self, server: BackendServer) -> list[MembershipChange]:
        """Marks older servers of the service at the same address as left.

        Dead incarnations stay in the instance list until their entries lapse. An entry
        of another service, which may be none at all, says nothing about this one: if it
        has taken over the address, the server there rejects the requests.
        """
        changes = []
        for other in list(self._servers.values()):
            is_same_address = (other.host, other.port) == (server.host, server.port)
            if not is_same_address or other.instance_id == server.instance_id:
                continue
            if other.service != server.service:
                continue
            older, newer = sorted((other, server), key=lambda item: item.start_time_ms)
            if older.start_time_ms < newer.start_time_ms:
                changes += self.mark_left(older.instance_id)
        return changes

    def _drop(self, instance_id: str) -> list[MembershipChange]:
        self._lapse_deadlines.pop(instance_id, None)
        server = self._servers.pop(instance_id, None)
        if server is None:
            return []
        self._removed_incarnations[instance_id] = server.start_time_ms
        if len(self._removed_incarnations) > _MAX_REMOVED:
            self._removed_incarnations.pop(next(iter(self._removed_incarnations)))
        self._ready_by_service = None
        return [MembershipChange(instance_id, "removed")]
