"""Stand-in for the platform's object API."""

import math
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import partial
from typing import Any

import msgspec
from werkzeug.exceptions import BadRequest, HTTPException
from werkzeug.wrappers import Request, Response

from fighitch.core.resources import API_VERSION
from fighitch.types import Revision, Seconds
from standins.faults import Faults
from standins.http_server import (
    ConnectionCut,
    Handler,
    connection_of,
    json_response,
    read_json_object,
)
from standins.object_store import KINDS, Document, ObjectStore, StoreError
from standins.process import StandIn, run
from standins.rates import SlidingWindow
from standins.settings import Amount, Count, PositiveFloat, PositiveInt, StandInSettings

ROOT = f"/apis/{API_VERSION}"
MAX_VALUE_BYTES = 1024 * 1024

_DEFAULT_WATCH_SECONDS = 300.0
_GONE_MESSAGE = "the resourceVersion is older than the kept history; list again"


class ObjectApiSettings(
    StandInSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the object API.

    Attributes:
        reads_per_second: Reads and watches allowed within any second.
        writes_per_second: Writes allowed within any second.
        latency_seconds: Time that every call takes.
        history_size: Changes kept for watches.
        bookmark_seconds: Idle time of a watch before a bookmark is sent.
    """

    reads_per_second: PositiveFloat = 2_000.0
    writes_per_second: PositiveFloat = 400.0
    latency_seconds: Amount = 0.002
    history_size: PositiveInt = 10_000
    bookmark_seconds: PositiveFloat = 1.0


class ObjectApiFaults(Faults, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults of the object API.

    Attributes:
        lose_next_write_answers: Writes that take effect but are not answered.
        slow_factor: Factor on the latency.
    """

    lose_next_write_answers: Count = 0
    slow_factor: PositiveFloat = 1.0


class ObjectApi(StandIn[ObjectApiFaults]):
    """Stand-in for the object API."""

    def __init__(self, settings: ObjectApiSettings) -> None:
        """Binds the ports.

        Args:
            settings: Settings of the object API.
        """
        self._settings = settings
        self._store = ObjectStore(history_size=settings.history_size)
        self._changed = threading.Condition()
        self._rates = {
            "reads": SlidingWindow(settings.reads_per_second),
            "writes": SlidingWindow(settings.writes_per_second),
        }
        self._counts = Counter(reads=0, writes=0, refused_reads=0, refused_writes=0)
        # Watches of an older generation are silent.
        self._watch_generation = 0
        self._stopping = False
        super().__init__(settings, ObjectApiFaults())

    def routes(self) -> Iterable[tuple[str, str, Handler]]:
        """Returns the routes."""
        one, many = f"{ROOT}/<plural>/<name>", f"{ROOT}/<plural>"
        return (
            ("GET", f"{ROOT}/resources", partial(self._read, self._resources)),
            ("GET", many, partial(self._read, self._list)),
            ("GET", one, partial(self._read, self._get)),
            ("POST", many, partial(self._write, self._create)),
            ("PUT", one, partial(self._write, self._update)),
            ("DELETE", one, partial(self._write, self._delete)),
        )

    def actions(self) -> Mapping[str, Callable[[], None]]:
        """Returns ``cut_connections`` and ``silence_watches``."""
        return {
            "cut_connections": self._server.cut_connections,
            "silence_watches": self._silence_watches,
        }

    def counters(self) -> Mapping[str, Any]:
        """Returns counts of calls, watches and objects."""
        with self._changed:
            return {
                **self._counts,
                "revision": self._store.revision,
                "objects": self._store.counts,
            }

    def error_response(self, error: HTTPException) -> Response:
        """Returns a Status object."""
        reason = (error.name or "").replace(" ", "")
        return _status(error.code or 500, reason, error.description or "")

    def stop(self) -> None:
        """Ends the watches and closes the ports."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        super().stop()

    def _silence_watches(self) -> None:
        with self._changed:
            self._watch_generation += 1
            self._changed.notify_all()

    # --- Calls ---

    def _read(self, call: Handler, request: Request, **arguments: str) -> Response:
        return self._limited("reads", call, request, **arguments)

    def _write(self, call: Handler, request: Request, **arguments: str) -> Response:
        response = self._limited("writes", call, request, **arguments)
        if response.status_code < 300 and self.faults.take("lose_next_write_answers"):
            raise ConnectionCut("the answer was lost by a fault")
        return response

    def _limited(
        self, budget: str, call: Handler, request: Request, **arguments: str
    ) -> Response:
        if (request.content_length or 0) <= MAX_VALUE_BYTES:
            request.get_data()  # Read here, so that a slow caller holds no lock.
        time.sleep(self._settings.latency_seconds * self.faults.current.slow_factor)
        with self._changed:
            wait = self._rates[budget].take(time.monotonic())
            self._counts[f"refused_{budget}" if wait > 0 else budget] += 1
            if wait > 0:
                message = f"too many {budget}; repeat after {wait:.3f} s"
                retry_after = {"Retry-After": str(math.ceil(wait))}
                return _status(429, "TooManyRequests", message, retry_after)
            try:
                return call(request, **arguments)
            except StoreError as error:
                return _status(error.status, error.reason, error.message)

    def _list(self, request: Request, plural: str) -> Response:
        selector = request.args.get("labelSelector", "")
        items = self._store.list_collection(plural, selector=selector)
        return json_response(self._list_document(KINDS[plural], items))

    def _get(self, request: Request, plural: str, name: str) -> Response:
        return json_response(self._store.get(plural, name))

    def _create(self, request: Request, plural: str) -> Response:
        stored = self._store.create(plural, _value(request))
        self._changed.notify_all()
        return json_response(stored, 201)

    def _update(self, request: Request, plural: str, name: str) -> Response:
        stored = self._store.update(plural, name, _value(request))
        self._changed.notify_all()
        return json_response(stored)

    def _delete(self, request: Request, plural: str, name: str) -> Response:
        options = _value(request) if request.get_data() else {}
        preconditions = options.get("preconditions") or {}
        version = preconditions.get("resourceVersion")
        deleted = self._store.delete(plural, name, version=version)
        self._changed.notify_all()
        return json_response(deleted)

    # --- View of all configuration kinds ---

    def _resources(self, request: Request) -> Response:
        if request.args.get("watch") in ("true", "1"):
            return self._watch(request)
        items = self._store.list_configuration()
        return json_response(self._list_document("Resource", items))

    def _list_document(self, kind: str, items: list[Document]) -> Document:
        return {
            "apiVersion": API_VERSION,
            "kind": f"{kind}List",
            "metadata": {"resourceVersion": str(self._store.revision)},
            "items": items,
        }

    def _watch(self, request: Request) -> Response:
        try:
            since = int(request.args.get("resourceVersion") or 0)
            seconds = float(
                request.args.get("timeoutSeconds") or _DEFAULT_WATCH_SECONDS
            )
        except ValueError as error:
            raise BadRequest(f"resourceVersion or timeoutSeconds: {error}") from error
        if since and self._store.is_expired(since):
            return _status(410, "Expired", _GONE_MESSAGE)
        events = self._watch_events(
            request,
            since,
            until=time.monotonic() + seconds,
            wants_bookmarks=request.args.get("allowWatchBookmarks") in ("true", "1"),
        )
        return Response(events, mimetype="application/json")

    def _watch_events(
        self,
        request: Request,
        since: Revision,
        *,
        until: Seconds,
        wants_bookmarks: bool,
    ) -> Iterator[bytes]:
        gone = threading.Event()
        generation = self._watch_generation
        with self._server.disconnects.watch(connection_of(request), gone.set):
            # Sends the headers, so that the client sees that the watch is in place.
            yield b""
            if since == 0:
                since, lines = self._initial_lines()
                yield lines
            while not gone.is_set() and time.monotonic() < until:
                since, lines = self._next_lines(since, until=until)
                self.faults.wait_while_frozen()
                if self._stopping:
                    return
                if generation != self._watch_generation:
                    gone.wait()
                    return
                if lines:
                    yield lines
                if since < 0:
                    return
                if not lines and wants_bookmarks and time.monotonic() < until:
                    yield _line("BOOKMARK", _bookmark(since))

    def _initial_lines(self) -> tuple[Revision, bytes]:
        with self._changed:
            items = self._store.list_configuration()
            lines = b"".join(_line("ADDED", item) for item in items)
            return self._store.revision, lines

    def _next_lines(self, since: Revision, *, until: Seconds) -> tuple[Revision, bytes]:
        """Waits for changes.

        Args:
            since: Revision that the watch has reached.
            until: Time at which the watch ends.

        Returns:
            The revision reached, or -1 if the watch fell behind the history, and the
            lines to send; none after an idle period.
        """
        deadline = min(until, time.monotonic() + self._settings.bookmark_seconds)
        with self._changed:
            while True:
                if self._store.is_expired(since):
                    status = _status_document(410, "Expired", _GONE_MESSAGE)
                    return -1, _line("ERROR", status)
                changes = tuple(self._store.changes_since(since))
                wait = deadline - time.monotonic()
                if changes or wait <= 0 or self._stopping:
                    break
                self._changed.wait(wait)
            lines = b"".join(
                _line(change.type.value, change.document) for change in changes
            )
            return max(since, self._store.revision), lines


def _value(request: Request) -> Document:
    size = request.content_length or len(request.get_data())
    if size > MAX_VALUE_BYTES:
        raise StoreError(
            413,
            "RequestEntityTooLarge",
            f"value has {size} bytes; at most {MAX_VALUE_BYTES} are allowed",
        )
    return read_json_object(request)


def _bookmark(revision: Revision) -> Document:
    return {
        "apiVersion": API_VERSION,
        "kind": "Resource",
        "metadata": {"resourceVersion": str(revision)},
    }


def _line(type_: str, document: Document) -> bytes:
    return msgspec.json.encode({"type": type_, "object": document}) + b"\n"


def _status_document(status: int, reason: str, message: str) -> Document:
    return {
        "apiVersion": "v1",
        "kind": "Status",
        "status": "Failure",
        "reason": reason,
        "message": message,
        "code": status,
    }


def _status(
    status: int, reason: str, message: str, headers: Mapping[str, str] | None = None
) -> Response:
    return json_response(_status_document(status, reason, message), status, headers)


if __name__ == "__main__":
    run(ObjectApiSettings, ObjectApi)
