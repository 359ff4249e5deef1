"""Stand-in for the platform's metadata store."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from standins.platform_http import StandInServer, send_json

_MS_PER_SECOND = 1_000


@dataclass(slots=True)
class _Change:
    kind: str
    event: dict[str, Any]
    revision: int


@dataclass(slots=True)
class _Watch:
    kind: str
    since: int
    connection: CallerConnection
    done: bool = False


@dataclass(frozen=True, slots=True)
class _Copy:
    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int
    changes: list[_Change]


class PlatformStore(StandInServer):
    """Objects with revisions, lists, watches and injected outages."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(host, port)
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._revision = 1
        self._compacted_revision = 0
        self._changes: list[_Change] = []
        self._watches: list[_Watch] = []
        self.down = False
        # Kinds whose calls are rejected while the others are served.
        self.rejected_kinds: set[str] = set()
        # Seconds after which connections of waiting watches are closed; 0 for never.
        self.cut_watches_after = 0.0
        self.cut_watches = 0
        self.calls = 0
        # Writes that are carried out and get no response; each decrements the number.
        self.lost_write_responses = 0
        # Write calls of clients, as method, kind and name.
        self.writes: list[tuple[str, str, str]] = []
        self.epoch = 1
        # Whether responses state the epoch.
        self.states_epoch = True
        self._copy = _Copy({}, self._revision, [])

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object, as the operator or a backend server does."""
        self.call(lambda: self._write(kind, name, spec))

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        self.call(lambda: self._remove(kind, name))

    def names(self, kind: str) -> list[str]:
        """Returns the names of all objects of a kind."""
        found: list[str] = []
        self.call(lambda: found.extend(self._objects.get(kind, {})))
        return found

    def compact_history(self) -> None:
        """Drops all recorded changes, so that watches must list again."""

        def compact() -> None:
            self._compacted_revision = self._revision
            self._changes.clear()

        self.call(compact)

    def take_copy(self) -> None:
        """Keeps a copy of all objects, to which ``restore_copy`` goes back."""

        def take() -> None:
            objects = {kind: dict(items) for kind, items in self._objects.items()}
            self._copy = _Copy(objects, self._revision, list(self._changes))

        self.call(take)

    def restore_copy(self, *, cut_watches: bool = True) -> None:
        """Goes back to the copy: later objects, changes and revisions are lost.

        Args:
            cut_watches: Whether the connections of waiting watches are closed; else
                these watches get no response.
        """

        def restore() -> None:
            copy = self._copy
            self._objects = {kind: dict(items) for kind, items in copy.objects.items()}
            self._revision, self._changes = copy.revision, list(copy.changes)
            self._compacted_revision = min(self._compacted_revision, copy.revision)
            self.epoch += 1
            for watch in self._watches:
                watch.done = True
                if cut_watches:
                    watch.connection.close()
            self._watches.clear()

        self.call(restore)

    def read(self, kind: str, name: str) -> Any:
        """Returns the spec of an object, or None if it does not exist."""
        result: list[Any] = []

        def read_object() -> None:
            item = self._objects.get(kind, {}).get(name)
            result.append(None if item is None else item["Spec"])

        self.call(read_object)
        return result[0]

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Handles a call."""
        self.calls += 1
        target = urlsplit(request.target.decode())
        query = parse_qs(target.query)
        parts = [unquote(part) for part in target.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if self.down or kind in self.rejected_kinds:
            self._send(connection, 503, {})
            return
        handlers: dict[bytes, Callable[[], None]] = {
            b"GET": lambda: self._get(connection, kind, name, query),
            b"POST": lambda: self._create(connection, kind, request),
            b"PUT": lambda: self._replace(connection, kind, name, request),
            b"DELETE": lambda: self._delete(connection, kind, name),
        }
        if request.method != b"GET":
            self.writes.append((request.method.decode(), kind, name))
        handlers[request.method]()

    def _send(self, connection: CallerConnection, status: int, content: object) -> None:
        headers = [(b"Store-Era", b"%d" % self.epoch)] if self.states_epoch else []
        send_json(connection, status, content, headers)

    def _get(
        self,
        connection: CallerConnection,
        kind: str,
        name: str,
        query: dict[str, list[str]],
    ) -> None:
        objects = self._objects.setdefault(kind, {})
        if name:
            existing = objects.get(name)
            self._send(connection, 404 if existing is None else 200, existing)
            return
        if "Watch" in query:
            wait = int(query["WaitMs"][0]) / _MS_PER_SECOND
            self._watch(connection, kind, int(query["Watch"][0]), wait)
            return
        items = [objects[key] for key in sorted(objects)]
        self._send(
            connection, 200, {"items": items, "HasMore": False, "At": self._revision}
        )

    def _watch(
        self, connection: CallerConnection, kind: str, since: int, wait: float
    ) -> None:
        if not self._compacted_revision <= since <= self._revision:
            self._send(connection, 410, {})
            return
        watch = _Watch(kind, since, connection)
        if self._respond_to_watch(watch, timed_out=False):
            return
        self._watches.append(watch)
        self.loop.call_later(wait, lambda: self._end_watch(watch))
        if self.cut_watches_after:
            self.loop.call_later(self.cut_watches_after, lambda: self._cut(watch))

    def _cut(self, watch: _Watch) -> None:
        if watch.done:
            return
        watch.done = True
        self._watches.remove(watch)
        self.cut_watches += 1
        watch.connection.close()

    def _end_watch(self, watch: _Watch) -> None:
        self._respond_to_watch(watch, timed_out=True)

    def _respond_to_watch(self, watch: _Watch, *, timed_out: bool) -> bool:
        events = [
            change.event
            for change in self._changes
            if change.kind == watch.kind and change.revision > watch.since
        ]
        if watch.done or not (events or timed_out):
            return watch.done
        watch.done = True
        if watch in self._watches:
            self._watches.remove(watch)
        status = 503 if self.down else 200
        self._send(watch.connection, status, {"events": events, "At": self._revision})
        return True

    def _create(
        self, connection: CallerConnection, kind: str, request: CallerRequest
    ) -> None:
        requested = msgspec.json.decode(request.body)
        name = requested["Metadata"]["Name"]
        existing = self._objects.setdefault(kind, {}).get(name)
        if existing is not None:
            self._send(connection, 409, existing)
            return
        self._send(connection, 201, self._write(kind, name, requested["Spec"]))

    def _replace(
        self, connection: CallerConnection, kind: str, name: str, request: CallerRequest
    ) -> None:
        requested = msgspec.json.decode(request.body)
        existing = self._objects.setdefault(kind, {}).get(name)
        if existing is None:
            self._send(connection, 404, {})
            return
        expected = requested["Metadata"].get("Revision")
        if expected not in (None, existing["Metadata"]["Revision"]):
            self._send(connection, 409, existing)
            return
        written = self._write(kind, name, requested["Spec"])
        if self.lost_write_responses > 0:
            self.lost_write_responses -= 1
            connection.close()
            return
        self._send(connection, 200, written)

    def _delete(self, connection: CallerConnection, kind: str, name: str) -> None:
        existing = self._objects.get(kind, {}).get(name)
        self._remove(kind, name)
        self._send(connection, 404 if existing is None else 200, existing or {})

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self._revision += 1
        item = {"Metadata": {"Name": name, "Revision": self._revision}, "Spec": spec}
        self._objects.setdefault(kind, {})[name] = item
        self._record_change(kind, {"Tombstone": False, "Object": item})
        return item

    def _remove(self, kind: str, name: str) -> None:
        if self._objects.get(kind, {}).pop(name, None) is None:
            return
        self._revision += 1
        item = {"Metadata": {"Name": name, "Revision": self._revision}, "Spec": None}
        self._record_change(kind, {"Tombstone": True, "Object": item})

    def _record_change(self, kind: str, event: dict[str, Any]) -> None:
        self._changes.append(_Change(kind, event, self._revision))
        for watch in list(self._watches):
            if watch.kind == kind:
                self._respond_to_watch(watch, timed_out=False)
