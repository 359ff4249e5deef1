"""Tracks connections to peers: heartbeats that are due and silence timeouts."""

from collections.abc import Iterator, Set
from dataclasses import dataclass

from fighitch.core.messages import Heartbeat, Peer, Role
from fighitch.types import ConnectionId, InstanceName, Revision, Seconds

_MS_PER_SECOND = 1_000


@dataclass(slots=True)
class Link:
    """An authenticated connection.

    Attributes:
        peer: Process at the other end.
        received_at: Time of the last message received.
        interval: Heartbeat interval that the peer uses and requests.
        peer_revision: Configuration revision in the last heartbeat received.
        sent_at: Time of the last message sent.
        report_sent_at: Time of the last heartbeat sent with a load report.
        heartbeats_sent: Number of heartbeats sent.
        sent_revision: Configuration revision in the last heartbeat sent.
        sent_state: Digest of the changes ahead of the revision, drain state and
            reachability in the last heartbeat sent.
    """

    peer: Peer
    received_at: Seconds
    interval: Seconds
    peer_revision: Revision = -1
    sent_at: Seconds = float("-inf")
    report_sent_at: Seconds = float("-inf")
    heartbeats_sent: int = 0
    sent_revision: Revision = -1
    sent_state: tuple[int, bool, bool] = (0, False, False)


@dataclass(frozen=True, slots=True)
class DueHeartbeat:
    """A heartbeat to send now; it has no load report if it only announces a change."""

    connection: ConnectionId
    sequence: int
    has_load_report: bool


class Links:
    """All peer connections of a process."""

    def __init__(self, *, interval: Seconds, silence_timeout: Seconds) -> None:
        """Creates a table without connections.

        Args:
            interval: Time between two heartbeats unless the peer requests a longer
                one, and between two messages while a response is due.
            silence_timeout: Time without any message after which a connection with that
                interval is considered lost; it scales with longer intervals.
        """
        self._interval = interval
        self._silence = silence_timeout
        self._links: dict[ConnectionId, Link] = {}
        self._checked_at: Seconds = float("-inf")

    def __len__(self) -> int:
        return len(self._links)

    def open(self, connection: ConnectionId, peer: Peer, now: Seconds) -> None:
        """Adds a connection to a peer."""
        self._links[connection] = Link(peer, now, self._interval)

    def close(self, connection: ConnectionId) -> bool:
        """Removes a connection; returns whether it was there."""
        return self._links.pop(connection, None) is not None

    def peer(self, connection: ConnectionId) -> Peer | None:
        """Returns the process at the other end; None if the connection is closed."""
        link = self._links.get(connection)
        return link.peer if link else None

    def sidecars(self) -> dict[InstanceName, ConnectionId]:
        """Returns one connection per peer that is a sidecar."""
        return {
            link.peer.instance: connection
            for connection, link in reversed(self._links.items())
            if link.peer.role is Role.SIDECAR
        }

    def received(self, connection: ConnectionId, now: Seconds) -> None:
        """Records that a message was received."""
        link = self._links.get(connection)
        if link is not None:
            link.received_at = now

    def sent(self, connection: ConnectionId, now: Seconds) -> None:
        """Records that a message was sent."""
        link = self._links.get(connection)
        if link is not None:
            link.sent_at = now

    def record_heartbeat(self, connection: ConnectionId, heartbeat: Heartbeat) -> None:
        """Records the interval and revision stated in a peer's heartbeat."""
        link = self._links.get(connection)
        if link is not None:
            link.interval = max(self._interval, heartbeat.interval / _MS_PER_SECOND)
            link.peer_revision = heartbeat.revision

    def take_due_heartbeats(
        self,
        now: Seconds,
        *,
        revision: Revision,
        state: tuple[int, bool, bool],
        in_use: Set[ConnectionId | None],
    ) -> Iterator[DueHeartbeat]:
        """Iterates over the heartbeats that are due and marks them as sent.

        Args:
            now: Current time.
            revision: Configuration revision of this process.
            state: Digest of the changes ahead of the revision, whether new requests are
                rejected, and whether the backend server is unreachable.
            in_use: Connections of entries that wait for a response; at least one
                message is sent on each in every base interval.
        """
        for connection, link in self._links.items():
            is_in_use = connection in in_use
            has_load_report = now - link.report_sent_at >= link.interval or (
                is_in_use
                and now - max(link.sent_at, link.report_sent_at) >= self._interval
            )
            # Changes must take effect on all processes within 5 s, so they are sent
            # regardless of the interval.
            has_changes = link.sent_state != state or (
                link.sent_revision != revision and link.peer_revision < revision
            )
            if not has_load_report and not has_changes:
                continue
            if has_load_report:
                link.report_sent_at = now
            link.heartbeats_sent += 1
            link.sent_revision = revision
            link.sent_state = state
            yield DueHeartbeat(connection, link.heartbeats_sent, has_load_report)

    def silent_connections(self, now: Seconds) -> list[ConnectionId]:
        """Returns the connections without a message within their silence limit.

        After a pause of this process, the messages that arrived meanwhile are still
        unread and every peer appears silent. Each peer then gets one more interval.
        """
        if now - self._checked_at > self._interval:
            for link in self._links.values():
                allowed = self._silence_limit(link) - self._interval
                link.received_at = max(link.received_at, now - allowed)
        self._checked_at = now
        return [
            connection
            for connection, link in self._links.items()
            if now - link.received_at >= self._silence_limit(link)
        ]

    def _silence_limit(self, link: Link) -> Seconds:
        """Returns the maximum time without a message on a connection."""
        return self._silence * link.interval / self._interval
