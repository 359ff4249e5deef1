"""Connections to peers: who is there, when a heartbeat is due, which is silent."""

from collections.abc import Iterator, Set
from dataclasses import dataclass

from fighitch.core.messages import Heartbeat, Peer, Role
from fighitch.types import ConnectionId, InstanceName, Revision, Seconds

_MILLISECONDS = 1_000


@dataclass(slots=True)
class Link:
    """An authenticated connection.

    Attributes:
        peer: Process at the other end.
        heard_at: Time of the last message from it.
        interval: Time between heartbeats that the peer keeps to and asks for.
        peer_revision: Configuration revision in its last heartbeat.
        sent_at: Time of our last message.
        beat_at: Time of our last heartbeat with a load report.
        beats: Number of our heartbeats.
        told_revision: Configuration revision in our last heartbeat.
        told_state: Changes held ahead, drain and reachability in our last heartbeat.
    """

    peer: Peer
    heard_at: Seconds
    interval: Seconds
    peer_revision: Revision = -1
    sent_at: Seconds = float("-inf")
    beat_at: Seconds = float("-inf")
    beats: int = 0
    told_revision: Revision = -1
    told_state: tuple[int, bool, bool] = (0, False, False)


@dataclass(frozen=True, slots=True)
class DueHeartbeat:
    """A heartbeat that must be sent now; without a load report if only news is due."""

    connection: ConnectionId
    sequence: int
    has_load: bool


class Links:
    """All connections of a process."""

    def __init__(self, *, interval: Seconds, silence: Seconds) -> None:
        """Starts without connections.

        Args:
            interval: Time between two heartbeats unless the peer asks for a longer
                one, and between two messages while an answer is due.
            silence: Time without any message after which a connection with that
                interval is given up; longer intervals allow proportionally more.
        """
        self._interval = interval
        self._silence = silence
        self._links: dict[ConnectionId, Link] = {}
        self._checked_at: Seconds = float("-inf")

    def __len__(self) -> int:
        return len(self._links)

    def open(self, connection: ConnectionId, peer: Peer, now: Seconds) -> None:
        """Adds a connection."""
        self._links[connection] = Link(peer, now, self._interval)

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

    def sent(self, connection: ConnectionId, now: Seconds) -> None:
        """Notes a message to a peer."""
        link = self._links.get(connection)
        if link is not None:
            link.sent_at = now

    def record_heartbeat(self, connection: ConnectionId, heartbeat: Heartbeat) -> None:
        """Takes over the peer's interval and revision."""
        link = self._links.get(connection)
        if link is not None:
            link.interval = max(self._interval, heartbeat.interval / _MILLISECONDS)
            link.peer_revision = heartbeat.revision

    def due(
        self,
        now: Seconds,
        *,
        revision: Revision,
        state: tuple[int, bool, bool],
        in_use: Set[ConnectionId | None],
    ) -> Iterator[DueHeartbeat]:
        """Iterates over the heartbeats that are due and notes them as sent.

        Args:
            now: Current time.
            revision: Own configuration revision.
            state: Digest of the changes held ahead of the revision, whether new work is
                refused, whether the backend server does not answer.
            in_use: Connections of entries that wait for an answer; they must hear
                something in every base interval.
        """
        for connection, link in self._links.items():
            is_in_use = connection in in_use
            has_load = now - link.beat_at >= link.interval or (
                is_in_use and now - max(link.sent_at, link.beat_at) >= self._interval
            )
            # Changes must be in force everywhere within 5 s, whatever the interval.
            is_news = link.told_state != state or (
                link.told_revision != revision and link.peer_revision < revision
            )
            if not has_load and not is_news:
                continue
            if has_load:
                link.beat_at = now
            link.beats += 1
            link.told_revision = revision
            link.told_state = state
            yield DueHeartbeat(connection, link.beats, has_load)

    def silent(self, now: Seconds) -> list[ConnectionId]:
        """Returns the connections on which nothing was heard for too long.

        After a pause of this process the messages of the pause are still unread, so
        that every peer seems silent. Each then gets one more interval.
        """
        if now - self._checked_at > self._interval:
            for link in self._links.values():
                allowed = self._allowed(link) - self._interval
                link.heard_at = max(link.heard_at, now - allowed)
        self._checked_at = now
        return [
            connection
            for connection, link in self._links.items()
            if now - link.heard_at >= self._allowed(link)
        ]

    def _allowed(self, link: Link) -> Seconds:
        """Returns the time without a message that is allowed on a connection."""
        return self._silence * link.interval / self._interval
