"""Connections to peers: who is there, when a heartbeat is due, which is silent."""

from collections.abc import Iterator
from dataclasses import dataclass

from fighitch.core.messages import Peer, Role
from fighitch.types import ConnectionId, InstanceName, Seconds


@dataclass(slots=True)
class Link:
    """An authenticated connection.

    Attributes:
        peer: Process at the other end.
        heard_at: Time of the last message from it.
        beat_at: Time of our last heartbeat.
        beats: Number of our heartbeats.
    """

    peer: Peer
    heard_at: Seconds
    beat_at: Seconds = float("-inf")
    beats: int = 0


class Links:
    """All connections of a process."""

    def __init__(self, *, interval: Seconds, silence: Seconds) -> None:
        """Starts without connections.

        Args:
            interval: Time between two heartbeats.
            silence: Time without any message after which a connection is given up.
        """
        self._interval = interval
        self._silence = silence
        self._links: dict[ConnectionId, Link] = {}
        self._checked_at: Seconds = float("-inf")

    def __len__(self) -> int:
        return len(self._links)

    def open(self, connection: ConnectionId, peer: Peer, now: Seconds) -> None:
        """Adds a connection."""
        self._links[connection] = Link(peer, heard_at=now)

    def close(self, connection: ConnectionId) -> bool:
        """Removes a connection; returns whether it was there."""
        return self._links.pop(connection, None) is not None

    def peer(self, connection: ConnectionId) -> Peer | None:
        """Returns the process at the other end; None if the connection is gone."""
        link = self._links.get(connection)
        return link.peer if link else None

    def sidecars(self) -> dict[InstanceName, ConnectionId]:
        """Returns one connection for each sidecar at the other end."""
        return {
            link.peer.instance: connection
            for connection, link in reversed(self._links.items())
            if link.peer.role is Role.SIDECAR
        }

    def heard(self, connection: ConnectionId, now: Seconds) -> None:
        """Notes a message from a peer."""
        link = self._links.get(connection)
        if link is not None:
            link.heard_at = now

    def due(self, now: Seconds) -> Iterator[tuple[ConnectionId, int]]:
        """Iterates over connections whose heartbeat is due, with its number."""
        for connection, link in self._links.items():
            if now - link.beat_at >= self._interval:
                link.beat_at = now
                link.beats += 1
                yield connection, link.beats

    def silent(self, now: Seconds) -> list[ConnectionId]:
        """Returns the connections on which nothing was heard for too long.

        After a pause of this process the messages of the pause are still unread, so
        that every peer seems silent. Each then gets one more interval.
        """
        if now - self._checked_at > self._interval:
            for link in self._links.values():
                link.heard_at = max(link.heard_at, now - self._silence + self._interval)
        self._checked_at = now
        return [
            connection
            for connection, link in self._links.items()
            if now - link.heard_at >= self._silence
        ]
