"""Connections of an entry to sidecars and other entries."""

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from fighitch.core.effects import Connect, Disconnect, Send
from fighitch.core.entry.membership import Member, Members, MemberState
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.inputs import ConnectionOpened
from fighitch.core.messages import Heartbeat, Message, Peer, Role
from fighitch.core.rendezvous import ranked
from fighitch.types import ConnectionId, InstanceName, Revision, Seconds

_MILLISECONDS = 1_000
# Precision of heartbeats and silence once there are many connections.
_SCAN_INTERVAL: Seconds = 0.25


@dataclass(slots=True)
class Link:
    """An open connection.

    Attributes:
        connection: Identifier given by the loop.
        peer: Process at the other end.
        address: Address that was dialled; empty if the peer connected.
        member: Name of the sidecar's backend server; empty for other peers.
        last_heard: Time of the last message from the peer.
        last_sent: Time of the last message to the peer.
        last_heartbeat: Time of the last heartbeat to the peer.
        last_used: Time of the last request on it.
        told_interval: Interval in the last heartbeat to the peer, which keeps to it.
        expect_from: Start of the wait for a message; later than ``last_heard`` if more
            frequent messages are expected since.
        sent_position: Position of the configuration in the last heartbeat to the peer.
        peer_revision: Configuration revision in the last heartbeat of the peer.
        sequence: Sequence number of the next heartbeat.
        in_flight: Requests that wait for an answer on it.
    """

    connection: ConnectionId
    peer: Peer
    address: str
    member: InstanceName
    last_heard: Seconds
    last_sent: Seconds
    last_heartbeat: Seconds
    last_used: Seconds
    told_interval: Seconds
    expect_from: Seconds
    sent_position: tuple[Revision, int] = (-1, 0)
    peer_revision: Revision = -1
    sequence: int = 0
    in_flight: int = 0


@dataclass(slots=True)
class _PeerAddress:
    """A configured address that is kept connected, whoever is there."""

    failures: int = 0
    next_connect_at: Seconds = 0.0


class Connections:
    """Opens, keeps alive, replaces and closes connections."""

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
        """Starts without a connection.

        Args:
            members: Sidecars.
            outbox: Takes the effects.
            settings: Constants.
            rng: Spreads reconnection attempts.
            peers: Addresses to ask for the configuration; kept connected.
            position: Returns the own position in the configuration.
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
        self._dialled: dict[str, Seconds] = {}
        self._wanted: set[InstanceName] = set()
        self._next_scan: Seconds = 0.0
        self._scanned_position: tuple[Revision, int] = (-1, 0)
        self._adopted: frozenset[InstanceName] = frozenset()

    def __iter__(self) -> Iterator[Link]:
        return iter(self._links.values())

    def __len__(self) -> int:
        return len(self._links)

    def get(self, connection: ConnectionId) -> Link | None:
        """Returns the open connection of that identifier."""
        return self._links.get(connection)

    def to(self, name: InstanceName) -> Link | None:
        """Returns the open connection to a sidecar."""
        return self._by_member.get(name)

    def drain(self) -> None:
        """Announces from now on that this entry takes no new work."""
        self._is_draining = True

    def send(self, link: Link, message: Message, now: Seconds) -> None:
        """Sends a message."""
        link.last_sent = now
        self._outbox.add(Send(link.connection, message))

    def want(self, member: Member, now: Seconds) -> None:
        """Keeps a connection to a sidecar; opens it when the backoff allows."""
        self._wanted.add(member.name)
        self._dial_member(member, now)

    def opened(self, event: ConnectionOpened, now: Seconds) -> Link | None:
        """Takes a new connection; an older one to the same sidecar is closed.

        Returns:
            The connection, or None if another process than the configured sidecar
            answered at the address.
        """
        self._dialled.pop(event.address, None)
        member = self._members.at(event.address) if event.address else None
        if member is not None and not _is_expected(member, event.peer):
            self._refuse(event, member, now)
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
            told_interval=self._settings.heartbeat_interval,
            expect_from=now,
        )
        self._links[link.connection] = link
        if member is not None:
            self._by_member[member.name] = link
            self._wanted.add(member.name)
            if self._members.opened(member, event.peer.incarnation):
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
        """Closes a connection on purpose."""
        self._forget(link)
        self._outbox.add(Disconnect(link.connection, cause))
        self._outbox.log(
            "connection_closed", now=now, cause=cause, peer=link.peer.instance
        )

    def lost(self, link: Link, now: Seconds, *, cause: str, silent: bool) -> None:
        """Handles a connection that closed or went silent."""
        is_current = self._by_member.get(link.member) is link
        self._forget(link)
        if silent:
            self._outbox.add(Disconnect(link.connection, cause))
        member = self._members.get(link.member)
        if member is not None and is_current:
            self._members.lost(member, now, silent=silent)
        self._outbox.log(
            "connection_lost", now=now, cause=cause, peer=link.peer.instance
        )

    def failed(self, address: str, now: Seconds, *, cause: str, silent: bool) -> None:
        """Handles a connection attempt that failed."""
        self._dialled.pop(address, None)
        if address in self._peers:
            peer = self._peers[address]
            peer.failures += 1
            peer.next_connect_at = now + self._peer_delay(peer)
        member = self._members.at(address)
        if member is not None and member.name not in self._by_member:
            self._members.connect_failed(member, now, silent=silent)
        self._outbox.log("connect_failed", now=now, cause=cause, address=address)

    def silent_links(self, now: Seconds) -> list[Link]:
        """Returns the connections on which nothing arrived for too long."""
        is_scan = self._is_scan_due(now, self._position())
        return [
            link
            for link in self
            if (is_scan or link.in_flight)
            and now - max(link.last_heard, link.expect_from) >= self._silence(link)
        ]

    def bound(self, link: Link, now: Seconds) -> None:
        """Counts a request on a connection."""
        if not link.in_flight:
            link.expect_from = now
        link.in_flight += 1
        link.last_used = now

    def heard(self, link: Link, heartbeat: Heartbeat) -> None:
        """Takes over what a heartbeat says about the connection."""
        link.peer_revision = heartbeat.revision

    def overdue_addresses(self, now: Seconds) -> list[str]:
        """Returns the addresses whose connection attempt takes too long."""
        return [
            address
            for address, since in self._dialled.items()
            if now - since >= self._settings.connect_timeout
        ]

    def tick(self, now: Seconds) -> None:
        """Opens the connections that are wanted and sends heartbeats that are due."""
        for name in sorted(self._wanted - self._by_member.keys()):
            member = self._members.get(name)
            if member is None:
                self._wanted.discard(name)
                continue
            self._dial_member(member, now)
        for address, peer in self._peers.items():
            if now >= peer.next_connect_at and not self._is_linked(address):
                self._dial(address, now)
        position = self._position()
        if not self._is_scan_due(now, position):
            return
        for link in self:
            if self._needs_heartbeat(link, now, position):
                self._send_heartbeat(link, now)
        is_seldom = (
            self._settings.interval(len(self)) > self._settings.heartbeat_interval
        )
        self._next_scan = now + _SCAN_INTERVAL if is_seldom else now
        self._scanned_position = position

    def _is_scan_due(self, now: Seconds, position: tuple[Revision, int]) -> bool:
        """Returns whether the connections are looked at in this tick.

        With many connections looking at each of them in every tick costs more than the
        heartbeats. A changed configuration does not wait.
        """
        return now >= self._next_scan or self._scanned_position != position

    def reconcile(self, now: Seconds) -> None:
        """Adapts the connections to a changed configuration.

        A connection to a removed sidecar, or to one that moved, serves its requests to
        the end but gets no new ones. Up to the connection limit every sidecar stays
        connected, so that its load and resident adapters are known before it is needed.
        Beyond it each entry adopts a part of its zone, so that every sidecar has
        entries that tell it of configuration changes.
        """
        for name, link in list(self._by_member.items()):
            member = self._members.get(name)
            if member is None or member.address != link.address:
                del self._by_member[name]
                self._wanted.discard(name)
        self._use_earlier_connections()
        self._adopted = self._choose_adopted()
        # In a fixed order, since each member draws a random delay.
        for name in sorted(self._adopted):
            member = self._members.get(name)
            if member is not None and name not in self._wanted:
                self._wanted.add(member.name)
                member.next_connect_at = max(
                    member.next_connect_at,
                    now + self._rng.uniform(0, self._settings.reconnect_base),
                )

    def _choose_adopted(self) -> frozenset[InstanceName]:
        if len(self._members) <= self._settings.max_connections:
            return frozenset(member.name for member in self._members)
        zone = {
            member.name: 1.0
            for member in self._members
            if member.availability_zone == self._availability_zone
        }
        best = ranked(self._instance, zone)[: self._settings.assigned_connections]
        return frozenset(best)

    def _use_earlier_connections(self) -> None:
        """Uses connections that were opened before the configuration was known."""
        for link in self:
            member = self._members.at(link.address) if link.address else None
            if link.member or member is None or not _is_expected(member, link.peer):
                continue
            link.member = member.name
            if member.name not in self._by_member:
                self._by_member[member.name] = link
                self._wanted.add(member.name)
                self._members.opened(member, link.peer.incarnation)

    def close_unused(self, now: Seconds) -> None:
        """Closes idle connections to sidecars that are no longer configured there."""
        if not self._is_scan_due(now, self._position()):
            return
        for link in list(self):
            is_bound = self._by_member.get(link.member) is link
            if link.member and not is_bound and not link.in_flight:
                self.close(link, now, cause="no longer configured")

    def _is_linked(self, address: str) -> bool:
        return any(link.address == address for link in self)

    def _dial_member(self, member: Member, now: Seconds) -> None:
        if member.name in self._by_member or now < member.next_connect_at:
            return
        self._dial(member.address, now)

    def _dial(self, address: str, now: Seconds) -> None:
        if address not in self._dialled:
            self._dialled[address] = now
            self._outbox.add(Connect(address))

    def _refuse(self, event: ConnectionOpened, member: Member, now: Seconds) -> None:
        self._outbox.add(Disconnect(event.connection, "unexpected peer"))
        self._members.connect_failed(member, now, silent=False)
        self._outbox.log(
            "unexpected_peer",
            now=now,
            cause=f"expected sidecar {member.name!r}",
            peer=event.peer.instance,
            address=event.address,
        )

    def _forget(self, link: Link) -> None:
        self._links.pop(link.connection, None)
        if self._by_member.get(link.member) is link:
            del self._by_member[link.member]

    def _close_least_recently_used(self, opened: Link, now: Seconds) -> None:
        if len(self._by_member) <= self._settings.max_connections:
            return
        idle = [
            link
            for link in self._by_member.values()
            if not link.in_flight
            and link is not opened
            and link.address not in self._peers
            and link.member not in self._adopted
        ]
        if not idle:
            return
        link = min(idle, key=lambda item: item.last_used)
        self._wanted.discard(link.member)
        self.close(link, now, cause="least recently used")
        member = self._members.get(link.member)
        if member is not None:
            self._members.released(member)

    def _silence(self, link: Link) -> Seconds:
        if link.in_flight:
            return self._settings.silence
        return link.told_interval * self._settings.missed_heartbeats

    def _needs_heartbeat(
        self, link: Link, now: Seconds, position: tuple[Revision, int]
    ) -> bool:
        # A busy connection carries no revision in its other messages.
        refresh = max(self._settings.heartbeat_refresh, link.told_interval)
        return (
            now - link.last_sent >= link.told_interval
            or now - link.last_heartbeat >= refresh
            or _is_untold(link, position)
        )

    def _send_heartbeat(self, link: Link, now: Seconds) -> None:
        revision, ahead = self._position()
        interval = self._settings.interval(len(self))
        heartbeat = Heartbeat(
            link.sequence,
            revision,
            draining=self._is_draining,
            ahead=ahead,
            interval=round(interval * _MILLISECONDS),
        )
        self.send(link, heartbeat, now)
        if interval < link.told_interval:
            link.expect_from = now
        link.told_interval = interval
        link.sequence += 1
        link.sent_position = (revision, ahead)
        link.last_heartbeat = now

    def _peer_delay(self, peer: _PeerAddress) -> Seconds:
        base = self._settings.reconnect_base * 2 ** min(peer.failures, 16)
        return self._rng.uniform(0, min(self._settings.reconnect_cap, base))


def is_contactable(member: Member) -> bool:
    """Returns whether waiting for a connection to a sidecar makes sense."""
    return member.state is not MemberState.DEAD


def _is_expected(member: Member, peer: Peer) -> bool:
    return peer.role is Role.SIDECAR and peer.instance == member.name


def _is_untold(link: Link, position: tuple[Revision, int]) -> bool:
    """Returns whether a peer must hear of a configuration that it may not have."""
    revision, ahead = position
    told_revision, told_ahead = link.sent_position
    if told_revision != revision and link.peer_revision < revision:
        return True
    return told_ahead != ahead
