"""Anti-entropy: synchronises configuration between peers.

Each heartbeat carries the sender's revision; a process that is behind requests the
missing changes.

A full copy can exceed the message size limit. It is then split into parts with base 0
and revision 0, followed by a last part with base 0 and the revision of the copy. The
receiver merges each part on arrival and applies deletions when the last part arrives.
All parts are sent in order on one connection.
"""

from collections.abc import Iterable, Iterator

from fighitch.core.configuration import (
    ConfigurationStore,
    decode_resources,
    encode_resources,
)
from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.effects import LogEvent, Send
from fighitch.core.messages import (
    ConfigurationDelta,
    ConfigurationRequest,
)
from fighitch.core.resources import Resource
from fighitch.types import ConnectionId, Revision, Seconds

# A typical resource takes 1 KB, so a part stays well below the message limit of 4 MiB
# even if many of its resources are larger.
_RESOURCES_PER_PART = 2_000
# A request without a response within this time is repeated on the connection whose
# heartbeat arrives next.
_REQUEST_TIMEOUT: Seconds = 1.0


class ConfigurationExchange:
    """Keeps a store up to date with the stores of all peers."""

    def __init__(self, store: ConfigurationStore) -> None:
        self._store = store
        self._request_sent_at: Seconds | None = None
        self._requested_connection: ConnectionId | None = None
        self._partial_copies: dict[ConnectionId, list[Resource]] = {}

    def on_heartbeat(
        self,
        connection: ConnectionId,
        revision: Revision,
        *,
        now: Seconds,
        ahead: int = 0,
    ) -> list[Send]:
        """Requests the missing changes if a heartbeat shows that the peer holds some.

        At most one request is in flight until it is answered or times out.

        Args:
            connection: Connection to the peer.
            revision: Revision of the peer.
            now: Current time.
            ahead: Digest of the changes that the peer holds beyond its revision.
        """
        if not self._may_be_behind(revision, ahead):
            return []
        if (
            self._request_sent_at is not None
            and now - self._request_sent_at < _REQUEST_TIMEOUT
        ):
            return []
        self._request_sent_at = now
        self._requested_connection = connection
        return [Send(connection, ConfigurationRequest(self._store.revision))]

    def respond(
        self, connection: ConnectionId, request: ConfigurationRequest
    ) -> list[Send]:
        """Returns the messages that send a peer the changes that it lacks.

        Returns none if the peer is up to date, or if this store is still empty.
        """
        is_current = request.since >= self._store.revision
        if not self._store.revision or (is_current and not self._store.ahead):
            return []
        base, changes = self._store.changes_since(request.since)
        parts = list(_split_into_parts(changes))
        return [
            *(
                Send(connection, ConfigurationDelta(0, 0, encode_resources(part)))
                for part in parts[:-1]
            ),
            Send(
                connection,
                ConfigurationDelta(
                    base, self._store.revision, encode_resources(parts[-1])
                ),
            ),
        ]

    def merge(
        self, connection: ConnectionId, delta: ConfigurationDelta
    ) -> list[LogEvent]:
        """Merges changes received from a peer.

        All but the last part of a full copy have base 0 and revision 0. Their resources
        are kept until the last part arrives, because only the complete list shows which
        resources were deleted.
        """
        try:
            resources = decode_resources(delta.resources)
        except DECODE_ERRORS as error:
            return [
                LogEvent(
                    "configuration_unreadable",
                    (("connection", connection), ("cause", str(error))),
                )
            ]
        if delta.base == 0 and delta.revision == 0:
            self._partial_copies.setdefault(connection, []).extend(resources)
            self._store.merge(resources, revision=0)
            return []
        received = (*self._partial_copies.pop(connection, ()), *resources)
        self._request_sent_at = None
        self._store.merge(received, revision=delta.revision, base=delta.base)
        return [
            LogEvent(
                "configuration_merged",
                (("connection", connection), ("revision", self._store.revision)),
            )
        ]

    def _may_be_behind(self, revision: Revision, ahead: int) -> bool:
        """Returns whether a peer may hold changes that this store lacks.

        Different digests at the same revision do not show which side lacks a change,
        so each side requests the changes of the other.
        """
        if revision != self._store.revision:
            return revision > self._store.revision
        return ahead not in (0, self._store.ahead)

    def on_closed(self, connection: ConnectionId) -> None:
        """Discards partial copies and the pending request of a closed connection."""
        self._partial_copies.pop(connection, None)
        if connection == self._requested_connection:
            self._requested_connection = None
            self._request_sent_at = None


def _split_into_parts(resources: Iterable[Resource]) -> Iterator[tuple[Resource, ...]]:
    items = tuple(resources)
    for start in range(0, max(1, len(items)), _RESOURCES_PER_PART):
        yield items[start : start + _RESOURCES_PER_PART]
