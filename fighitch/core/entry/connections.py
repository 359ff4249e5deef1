"""Manages the connections of an entry to sidecars and other entries."""

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from fighitch.core.effects import Connect, Disconnect, Send
from fighitch.core.entry.membership import Member, Members, MemberState
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.inputs import ConnectionOpened
from fighitch.core.messages import Heartbeat, Message, Peer, Role
from fighitch.core.rendezvous import rank_nodes
from fighitch.types import ConnectionId, InstanceName, Revision, Seconds

_MS_PER_SECOND = 1_000
# Interval between scans of all connections, once the heartbeat interval grows with
# their number. It limits the precision of heartbeats and silence timeouts.
_SCAN_INTERVAL: Seconds = 0.25


@dataclass(slots=True)
class Link:
    """State of an open connection.

    Attributes:
        connection: Identifier assigned by the event loop.
        peer: Identity of the peer process.
        address: Address that this entry connected to; empty if the peer connected.
        member: Name of the sidecar's backend server; empty for other peers.
        last_heard: Time of the last message from the peer.
        last_sent: Time of the last message to the peer.
        last_heartbeat: Time of the last heartbeat to the peer.
        last_used: Time of the last request on the connection.
        announced_interval: Heartbeat interval announced in the last heartbeat to the
            peer, which sends its own heartbeats at this interval.
        expecting_since: Start of the silence timeout; later than ``last_heard`` if the
            timeout became shorter after the last message.
        sent_position: Configuration revision, and the digest of the changes ahead of
            it, in the last heartbeat to the peer.
        peer_revision: Configuration revision in the last heartbeat of the peer.
        sequence: Sequence number of the next heartbeat.
        in_flight: Number of requests that await a response on the connection.
    """

    connection: ConnectionId
    peer: Peer
    address: str
    member: InstanceName
    last_heard: Seconds
    last_sent: Seconds
    last_heartbeat: Seconds
    last_used: Seconds
    announced_interval: Seconds
    expecting_since: Seconds
    sent_position: tuple[Revision, int] = (-1, 0)
    peer_revision: Revision = -1
    sequence: int = 0
    in_flight: int = 0


@dataclass(slots=True)
class _PeerAddress:
    """Reconnect state of a peer address, which stays connected to any process."""

    failures: int = 0
    next_connect_at: Seconds = 0.0


class Connections:
    """Opens, monitors, replaces and closes connections."""

    def __init__(
        self,
        *,
        members: Members,
        outbox: Outbox,
        settings: EntrySettings,
        rng: random.Random,
        peers: Iterable[str],
        position: Callable[[], tuple[Revision, int]],
        instance: InstanceName = "",
        availability_zone: str = "",
    ) -> None:
        """Creates the manager without connections.

        Args:
            members: Sidecars.
            outbox: Collects the effects.
            settings: Timeouts and limits.
            rng: Random number generator for reconnect delays.
            peers: Addresses that provide the configuration; they stay connected.
            position: Returns the configuration revision of this entry and the digest of
                the changes ahead of it.
            instance: Name of this entry.
            availability_zone: Zone of this entry.
        """
        self._members = members
        self._outbox = outbox
        self._settings = settings
        self._rng = rng
        self._peers = {address: _PeerAddress() for address in peers}
        self._position = position
        self._instance = instance
        self._availability_zone = availability_zone
        self._is_draining = False
        self._links: dict[ConnectionId, Link] = {}
        self._by_member: dict[InstanceName, Link] = {}
        self._connecting: dict[str, Seconds] = {}
        self._desired: set[InstanceName] = set()
        self._next_scan: Seconds = 0.0
        self._scanned_position: tuple[Revision, int] = (-1, 0)
        self._assigned: frozenset[InstanceName] = frozenset()

    def __iter__(self) -> Iterator[Link]:
        return iter(self._links.values())

    def __len__(self) -> int:
        return len(self._links)

    def get(self, connection: ConnectionId) -> Link | None:
        """Returns the open connection with that identifier, or None."""
        return self._links.get(connection)

    def to_member(self, name: InstanceName) -> Link | None:
        """Returns the open connection to a sidecar, or None."""
        return self._by_member.get(name)

    def drain(self) -> None:
        """Announces in all later heartbeats that this entry is draining."""
        self._is_draining = True

    def send(self, link: Link, message: Message, now: Seconds) -> None:
        """Sends a message."""
        link.last_sent = now
        self._outbox.add(Send(link.connection, message))

    def ensure_connected(self, member: Member, now: Seconds) -> None:
        """Keeps a sidecar connected; connects once the back-off delay has passed."""
        self._desired.add(member.name)
        self._connect_member(member, now)

    def on_opened(self, event: ConnectionOpened, now: Seconds) -> Link | None:
        """Registers a new connection, which replaces an older one to the same sidecar.

        Returns:
            The connection, or None if the process at the address is not the configured
            sidecar.
        """
        self._connecting.pop(event.address, None)
        member = self._members.at_address(event.address) if event.address else None
        if member is not None and not _is_expected(member, event.peer):
            self._reject_peer(event, member, now)
            return None
        if event.address in self._peers:
            self._peers[event.address] = _PeerAddress()
        link = Link(
            connection=event.connection,
            peer=event.peer,
            address=event.address,
            member=member.name if member else "",
            last_heard=now,
            last_sent=now,
            last_heartbeat=now,
            last_used=now,
            announced_interval=self._settings.heartbeat_interval,
            expecting_since=now,
        )
        self._links[link.connection] = link
        if member is not None:
            self._by_member[member.name] = link
            self._desired.add(member.name)
            if self._members.on_opened(member, event.peer.incarnation):
                self._outbox.log(
                    "member_restarted",
                    now=now,
                    cause="new incarnation",
                    member=member.name,
                )
        self._send_heartbeat(link, now)
        self._close_least_recently_used(link, now)
        return link

    def close(self, link: Link, now: Seconds, *, cause: str) -> None:
        """Closes a connection."""
        self._remove(link)
        self._outbox.add(Disconnect(link.connection, cause))
        self._outbox.log(
            "connection_closed", now=now, cause=cause, peer=link.peer.instance
        )

    def on_lost(self, link: Link, now: Seconds, *, cause: str, silent: bool) -> None:
        """Handles a connection that was closed or timed out."""
        is_current = self._by_member.get(link.member) is link
        self._remove(link)
        if silent:
            self._outbox.add(Disconnect(link.connection, cause))
        member = self._members.get(link.member)
        if member is not None and is_current:
            self._members.on_lost(member, now, silent=silent)
        self._outbox.log(
            "connection_lost", now=now, cause=cause, peer=link.peer.instance
        )

    def on_connect_failed(
        self, address: str, now: Seconds, *, cause: str, silent: bool
    ) -> None:
        """Handles a failed connection attempt."""
        self._connecting.pop(address, None)
        if address in self._peers:
            peer = self._peers[address]
            peer.failures += 1
            peer.next_connect_at = now + self._peer_reconnect_delay(peer)
        member = self._members.at_address(address)
        if member is not None and member.name not in self._by_member:
            self._members.on_connect_failed(member, now, silent=silent)
        self._outbox.log("connect_failed", now=now, cause=cause, address=address)

    def silent_links(self, now: Seconds) -> list[Link]:
        """Returns the connections whose silence timeout has expired."""
        is_scan = self._is_scan_due(now, self._position())
        return [
            link
            for link in self
            if (is_scan or link.in_flight)
            and now - max(link.last_heard, link.expecting_since)
            >= self._silence_timeout(link)
        ]

    def record_request(self, link: Link, now: Seconds) -> None:
        """Counts a request on a connection."""
        if not link.in_flight:
            link.expecting_since = now
        link.in_flight += 1
        link.last_used = now

    def record_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        """Records the configuration revision in a heartbeat of the peer."""
        link.peer_revision = heartbeat.revision

    def overdue_addresses(self, now: Seconds) -> list[str]:
        """Returns the addresses whose connection attempt has timed out."""
        return [
            address
            for address, since in self._connecting.items()
            if now - since >= self._settings.connect_timeout
        ]

    def tick(self, now: Seconds) -> None:
        """Opens missing connections and sends the heartbeats that are due."""
        for name in sorted(self._desired - self._by_member.keys()):
            member = self._members.get(name)
            if member is None:
                self._desired.discard(name)
                continue
            self._connect_member(member, now)
        for address, peer in self._peers.items():
            if now >= peer.next_connect_at and not self._is_connected(address):
                self._connect(address, now)
        position = self._position()
        if not self._is_scan_due(now, position):
            return
        for link in self:
            if self._needs_heartbeat(link, now, position):
                self._send_heartbeat(link, now)
        is_throttled = (
            self._settings.interval(len(self)) > self._settings.heartbeat_interval
        )
        self._next_scan = now + _SCAN_INTERVAL if is_throttled else now
        self._scanned_position = position

    def _is_scan_due(self, now: Seconds, position: tuple[Revision, int]) -> bool:
        """Returns whether this tick scans all connections.

        With many connections, a scan in every tick would cost more than the heartbeats.
        A configuration change triggers a scan at once.
        """
        return now >= self._next_scan or self._scanned_position != position

    def reconcile(self, now: Seconds) -> None:
        """Updates the connections after a configuration change.

        A connection to a removed sidecar, or to one whose address changed, completes
        its requests but gets no new ones. Up to the connection limit, every sidecar
        stays connected, so that its load and resident adapters are known before the
        first request. Beyond the limit, each entry is assigned a part of its zone, so
        that every sidecar is connected to entries that announce configuration changes.
        """
        for name, link in list(self._by_member.items()):
            member = self._members.get(name)
            if member is None or member.address != link.address:
                del self._by_member[name]
                self._desired.discard(name)
        self._register_earlier_connections()
        self._assigned = self._choose_assigned()
        # Sorted, so that the random delays are reproducible.
        for name in sorted(self._assigned):
            member = self._members.get(name)
            if member is not None and name not in self._desired:
                self._desired.add(member.name)
                member.next_connect_at = max(
                    member.next_connect_at,
                    now + self._rng.uniform(0, self._settings.reconnect_delay_base),
                )

    def _choose_assigned(self) -> frozenset[InstanceName]:
        if len(self._members) <= self._settings.max_connections:
            return frozenset(member.name for member in self._members)
        weights = {
            member.name: 1.0
            for member in self._members
            if member.availability_zone == self._availability_zone
        }
        ranked_names = rank_nodes(self._instance, weights)[
            : self._settings.assigned_connections
        ]
        return frozenset(ranked_names)

    def _register_earlier_connections(self) -> None:
        """Registers connections that were opened before the configuration was known."""
        for link in self:
            member = self._members.at_address(link.address) if link.address else None
            if link.member or member is None or not _is_expected(member, link.peer):
                continue
            link.member = member.name
            if member.name not in self._by_member:
                self._by_member[member.name] = link
                self._desired.add(member.name)
                self._members.on_opened(member, link.peer.incarnation)

    def close_unused(self, now: Seconds) -> None:
        """Closes idle connections to sidecars that were removed or moved."""
        if not self._is_scan_due(now, self._position()):
            return
        for link in list(self):
            is_current = self._by_member.get(link.member) is link
            if link.member and not is_current and not link.in_flight:
                self.close(link, now, cause="no longer configured")

    def _is_connected(self, address: str) -> bool:
        return any(link.address == address for link in self)

    def _connect_member(self, member: Member, now: Seconds) -> None:
        if member.name in self._by_member or now < member.next_connect_at:
            return
        self._connect(member.address, now)

    def _connect(self, address: str, now: Seconds) -> None:
        if address not in self._connecting:
            self._connecting[address] = now
            self._outbox.add(Connect(address))

    def _reject_peer(
        self, event: ConnectionOpened, member: Member, now: Seconds
    ) -> None:
        self._outbox.add(Disconnect(event.connection, "unexpected peer"))
        self._members.on_connect_failed(member, now, silent=False)
        self._outbox.log(
            "unexpected_peer",
            now=now,
            cause=f"expected sidecar {member.name!r}",
            peer=event.peer.instance,
            address=event.address,
        )

    def _remove(self, link: Link) -> None:
        self._links.pop(link.connection, None)
        if self._by_member.get(link.member) is link:
            del self._by_member[link.member]

    def _close_least_recently_used(self, new_link: Link, now: Seconds) -> None:
        if len(self._by_member) <= self._settings.max_connections:
            return
        idle = [
            link
            for link in self._by_member.values()
            if not link.in_flight
            and link is not new_link
            and link.address not in self._peers
            and link.member not in self._assigned
        ]
        if not idle:
            return
        link = min(idle, key=lambda item: item.last_used)
        self._desired.discard(link.member)
        self.close(link, now, cause="least recently used")
        member = self._members.get(link.member)
        if member is not None:
            self._members.on_idle_close(member)

    def _silence_timeout(self, link: Link) -> Seconds:
        if link.in_flight:
            return self._settings.silence_timeout
        return link.announced_interval * self._settings.missed_heartbeats

    def _needs_heartbeat(
        self, link: Link, now: Seconds, position: tuple[Revision, int]
    ) -> bool:
        # Messages other than heartbeats carry no configuration revision.
        refresh_interval = max(
            self._settings.heartbeat_refresh, link.announced_interval
        )
        return (
            now - link.last_sent >= link.announced_interval
            or now - link.last_heartbeat >= refresh_interval
            or _needs_announcement(link, position)
        )

    def _send_heartbeat(self, link: Link, now: Seconds) -> None:
        revision, ahead = self._position()
        interval = self._settings.interval(len(self))
        heartbeat = Heartbeat(
            link.sequence,
            revision,
            draining=self._is_draining,
            ahead=ahead,
            interval=round(interval * _MS_PER_SECOND),
        )
        self.send(link, heartbeat, now)
        if interval < link.announced_interval:
            link.expecting_since = now
        link.announced_interval = interval
        link.sequence += 1
        link.sent_position = (revision, ahead)
        link.last_heartbeat = now

    def _peer_reconnect_delay(self, peer: _PeerAddress) -> Seconds:
        # The bound of the exponent prevents an overflow; the cap is reached earlier.
        base = self._settings.reconnect_delay_base * 2 ** min(peer.failures, 16)
        return self._rng.uniform(0, min(self._settings.reconnect_delay_cap, base))


def is_contactable(member: Member) -> bool:
    """Returns whether a sidecar may still become connected."""
    return member.state is not MemberState.DEAD


def _is_expected(member: Member, peer: Peer) -> bool:
    return peer.role is Role.SIDECAR and peer.instance == member.name


def _needs_announcement(link: Link, position: tuple[Revision, int]) -> bool:
    """Returns whether the peer may lack a configuration change of this entry."""
    revision, ahead = position
    sent_revision, sent_ahead = link.sent_position
    if sent_revision != revision and link.peer_revision < revision:
        return True
    return sent_ahead != ahead
