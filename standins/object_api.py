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
    AbortConnection,
    Handler,
    get_connection,
    json_response,
    read_json_object,
)
from standins.object_store import KINDS, Document, ObjectStore, StoreError
from standins.process import StandIn, run
from standins.rates import SlidingWindowLimiter
from standins.settings import (
    NonNegativeFloat,
    NonNegativeInt,
    PositiveFloat,
    PositiveInt,
    StandInSettings,
)

API_ROOT = f"/apis/{API_VERSION}"
MAX_VALUE_BYTES = 1024 * 1024

_DEFAULT_WATCH_SECONDS = 300.0
_EXPIRED_MESSAGE = "resourceVersion is older than the retained history; list again"


class ObjectApiSettings(
    StandInSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the object API.

    Attributes:
        reads_per_second: Maximum number of reads and watches within any second.
        writes_per_second: Maximum number of writes within any second.
        latency_seconds: Latency of every call.
        history_size: Number of changes retained for watches.
        bookmark_seconds: Idle time after which a watch receives a bookmark.
    """

    reads_per_second: PositiveFloat = 2_000.0
    writes_per_second: PositiveFloat = 400.0
    latency_seconds: NonNegativeFloat = 0.002
    history_size: PositiveInt = 10_000
    bookmark_seconds: PositiveFloat = 1.0


class ObjectApiFaults(Faults, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults of the object API.

    Attributes:
        lose_next_write_answers: Number of writes that take effect without a response.
        slow_factor: Multiplier of the latency.
    """

    lose_next_write_answers: NonNegativeInt = 0
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
            "reads": SlidingWindowLimiter(settings.reads_per_second),
            "writes": SlidingWindowLimiter(settings.writes_per_second),
        }
        self._counts = Counter(reads=0, writes=0, refused_reads=0, refused_writes=0)
        # Watches that started in an older generation are silenced.
        self._watch_generation = 0
        self._stopping = False
        super().__init__(settings, ObjectApiFaults())

    def routes(self) -> Iterable[tuple[str, str, Handler]]:
        """Returns the routes."""
        item_path, collection_path = (
            f"{API_ROOT}/<plural>/<name>",
            f"{API_ROOT}/<plural>",
        )
        return (
            ("GET", f"{API_ROOT}/resources", partial(self._read, self._list_or_watch)),
            ("GET", collection_path, partial(self._read, self._list)),
            ("GET", item_path, partial(self._read, self._get)),
            ("POST", collection_path, partial(self._write, self._create)),
            ("PUT", item_path, partial(self._write, self._update)),
            ("DELETE", item_path, partial(self._write, self._delete)),
        )

    def actions(self) -> Mapping[str, Callable[[], None]]:
        """Returns ``cut_connections`` and ``silence_watches``."""
        return {
            "cut_connections": self._server.cut_connections,
            "silence_watches": self._silence_watches,
        }

    def counters(self) -> Mapping[str, Any]:
        """Returns the numbers of calls and objects and the current revision."""
        with self._changed:
            return {
                **self._counts,
                "revision": self._store.revision,
                "objects": self._store.counts,
            }

    def error_response(self, error: HTTPException) -> Response:
        """Returns an HTTP error as a Status object."""
        reason = (error.name or "").replace(" ", "")
        return _status_response(error.code or 500, reason, error.description or "")

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
        return self._call_rate_limited("reads", call, request, **arguments)

    def _write(self, call: Handler, request: Request, **arguments: str) -> Response:
        response = self._call_rate_limited("writes", call, request, **arguments)
        if response.status_code < 300 and self.faults.consume(
            "lose_next_write_answers"
        ):
            raise AbortConnection("injected fault: response lost")
        return response

    def _call_rate_limited(
        self, category: str, call: Handler, request: Request, **arguments: str
    ) -> Response:
        if (request.content_length or 0) <= MAX_VALUE_BYTES:
            request.get_data()  # Before locking, so that a slow caller holds no lock.
        time.sleep(self._settings.latency_seconds * self.faults.current.slow_factor)
        with self._changed:
            wait = self._rates[category].try_acquire(time.monotonic())
            self._counts[f"refused_{category}" if wait > 0 else category] += 1
            if wait > 0:
                message = f"rate limit of {category} exceeded; retry after {wait:.3f} s"
                retry_after = {"Retry-After": str(math.ceil(wait))}
                return _status_response(429, "TooManyRequests", message, retry_after)
            try:
                return call(request, **arguments)
            except StoreError as error:
                return _status_response(error.status, error.reason, error.message)

    def _list(self, request: Request, plural: str) -> Response:
        selector = request.args.get("labelSelector", "")
        items = self._store.list_collection(plural, selector=selector)
        return json_response(self._list_document(KINDS[plural], items))

    def _get(self, request: Request, plural: str, name: str) -> Response:
        return json_response(self._store.get(plural, name))

    def _create(self, request: Request, plural: str) -> Response:
        stored = self._store.create(plural, _read_object(request))
        self._changed.notify_all()
        return json_response(stored, 201)

    def _update(self, request: Request, plural: str, name: str) -> Response:
        stored = self._store.update(plural, name, _read_object(request))
        self._changed.notify_all()
        return json_response(stored)

    def _delete(self, request: Request, plural: str, name: str) -> Response:
        options = _read_object(request) if request.get_data() else {}
        preconditions = options.get("preconditions") or {}
        version = preconditions.get("resourceVersion")
        deleted = self._store.delete(plural, name, version=version)
        self._changed.notify_all()
        return json_response(deleted)

    # --- Combined view of all configuration kinds ---

    def _list_or_watch(self, request: Request) -> Response:
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
            return _status_response(410, "Expired", _EXPIRED_MESSAGE)
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
        disconnected = threading.Event()
        generation = self._watch_generation
        with self._server.disconnects.watch(get_connection(request), disconnected.set):
            # Sends the headers, so that the client knows that the watch is established.
            yield b""
            if since == 0:
                since, lines = self._initial_lines()
                yield lines
            while not disconnected.is_set() and time.monotonic() < until:
                since, lines = self._wait_for_lines(since, until=until)
                self.faults.wait_while_frozen()
                if self._stopping:
                    return
                if generation != self._watch_generation:
                    disconnected.wait()
                    return
                if lines:
                    yield lines
                if since < 0:
                    return
                if not lines and wants_bookmarks and time.monotonic() < until:
                    yield _encode_watch_line("BOOKMARK", _build_bookmark(since))

    def _initial_lines(self) -> tuple[Revision, bytes]:
        with self._changed:
            items = self._store.list_configuration()
            lines = b"".join(_encode_watch_line("ADDED", item) for item in items)
            return self._store.revision, lines

    def _wait_for_lines(
        self, since: Revision, *, until: Seconds
    ) -> tuple[Revision, bytes]:
        """Waits for changes and encodes them.

        Args:
            since: Last revision that the watch has sent.
            until: Time at which the watch ends.

        Returns:
            The new revision of the watch, or -1 if its revision is older than the
            retained history, and the lines to send, empty after an idle period.
        """
        deadline = min(until, time.monotonic() + self._settings.bookmark_seconds)
        with self._changed:
            while True:
                if self._store.is_expired(since):
                    status = _build_status(410, "Expired", _EXPIRED_MESSAGE)
                    return -1, _encode_watch_line("ERROR", status)
                changes = tuple(self._store.changes_since(since))
                wait = deadline - time.monotonic()
                if changes or wait <= 0 or self._stopping:
                    break
                self._changed.wait(wait)
            lines = b"".join(
                _encode_watch_line(change.type.value, change.document)
                for change in changes
            )
            return max(since, self._store.revision), lines


def _read_object(request: Request) -> Document:
    size = request.content_length or len(request.get_data())
    if size > MAX_VALUE_BYTES:
        raise StoreError(
            413,
            "RequestEntityTooLarge",
            f"body has {size} bytes; the maximum is {MAX_VALUE_BYTES}",
        )
    return read_json_object(request)


def _build_bookmark(revision: Revision) -> Document:
    return {
        "apiVersion": API_VERSION,
        "kind": "Resource",
        "metadata": {"resourceVersion": str(revision)},
    }


def _encode_watch_line(type_: str, document: Document) -> bytes:
    return msgspec.json.encode({"type": type_, "object": document}) + b"\n"


def _build_status(status: int, reason: str, message: str) -> Document:
    return {
        "apiVersion": "v1",
        "kind": "Status",
        "status": "Failure",
        "reason": reason,
        "message": message,
        "code": status,
    }


def _status_response(
    status: int, reason: str, message: str, headers: Mapping[str, str] | None = None
) -> Response:
    return json_response(_build_status(status, reason, message), status, headers)


if __name__ == "__main__":
    run(ObjectApiSettings, ObjectApi)
