"""Exchange of configuration between processes, driven by revisions in heartbeats.

A full copy can exceed one message. It is then sent as parts with base 0 and revision 0,
followed by a last part with base 0 and the revision of the copy. The receiver merges
each part at once and applies the deletions when the last part has arrived. Parts and
last part travel in order on one connection.
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

# Leaves room in a 4 MiB message for resources far larger than usual ones (1 KB).
_RESOURCES_PER_PART = 2_000
# An unanswered request is repeated, on another connection if its heartbeat comes first.
_REQUEST_TIMEOUT: Seconds = 1.0


class ConfigurationExchange:
    """Keeps a store as fresh as that of any peer."""

    def __init__(self, store: ConfigurationStore) -> None:
        self._store = store
        self._asked_at: Seconds | None = None
        self._asked: ConnectionId | None = None
        self._parts: dict[ConnectionId, list[Resource]] = {}

    def heard(
        self,
        connection: ConnectionId,
        revision: Revision,
        *,
        now: Seconds,
        ahead: int = 0,
    ) -> list[Send]:
        """Handles the position in a peer's heartbeat.

        Args:
            connection: Connection to the peer.
            revision: Revision of the peer.
            now: Current time.
            ahead: Digest of what the peer holds beyond its revision.
        """
        if not self._may_lack(revision, ahead):
            return []
        if self._asked_at is not None and now - self._asked_at < _REQUEST_TIMEOUT:
            return []
        self._asked_at = now
        self._asked = connection
        return [Send(connection, ConfigurationRequest(self._store.revision))]

    def answer(
        self, connection: ConnectionId, request: ConfigurationRequest
    ) -> list[Send]:
        """Returns the changes that a peer lacks."""
        is_current = request.since >= self._store.revision
        if not self._store.revision or (is_current and not self._store.ahead):
            return []
        base, changes = self._store.changes_since(request.since)
        parts = list(_split(changes))
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
        """Merges changes of a peer."""
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
            self._parts.setdefault(connection, []).extend(resources)
            self._store.merge(resources, revision=0)
            return []
        listed = (*self._parts.pop(connection, ()), *resources)
        self._asked_at = None
        self._store.merge(listed, revision=delta.revision, base=delta.base)
        return [
            LogEvent(
                "configuration_merged",
                (("connection", connection), ("revision", self._store.revision)),
            )
        ]

    def _may_lack(self, revision: Revision, ahead: int) -> bool:
        if revision != self._store.revision:
            return revision > self._store.revision
        return ahead not in (0, self._store.ahead)

    def closed(self, connection: ConnectionId) -> None:
        """Forgets what belongs to a connection."""
        self._parts.pop(connection, None)
        if connection == self._asked:
            self._asked = None
            self._asked_at = None


def _split(resources: Iterable[Resource]) -> Iterator[tuple[Resource, ...]]:
    items = tuple(resources)
    for start in range(0, max(1, len(items)), _RESOURCES_PER_PART):
        yield items[start : start + _RESOURCES_PER_PART]
