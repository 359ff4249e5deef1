"""Blocking client of the object API."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import closing

from expression import Error, Ok, Result

from fighitch.clients.http_client import HttpClient
from fighitch.core import (
    claims,
    object_api as calls,
    object_writes as writes,
    watch_events,
)
from fighitch.core.claims import ClaimAnswer, ClaimList
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.http_calls import HttpResponse, NoResponse
from fighitch.core.object_api import Document, ResourceList
from fighitch.core.object_writes import Write, WriteOutcome, WriteStatus
from fighitch.core.watch_events import WatchEvent
from fighitch.types import Revision, Seconds

DEFAULT_TIMEOUT: Seconds = 5.0
# A conditional write is repeated once if its answer was lost and reading back shows
# that it has not taken effect. More repeats would add load to an API in trouble.
MAX_ATTEMPTS = 2
MAX_LABEL_ATTEMPTS = 4
WATCH_TIMEOUT: Seconds = 300.0
# A change must be in force within 5 s, so a connection that went silent has to be
# replaced sooner. A server that sends bookmarks less often than this costs each watcher
# one call in that time.
WATCH_SILENCE: Seconds = 3.0


class ObjectApiClient:
    """Reads, writes and watches objects; each thread needs its own client."""

    def __init__(
        self, base_url: str, *, timeout: Seconds = DEFAULT_TIMEOUT, bearer_key: str = ""
    ) -> None:
        """Connects to nothing yet.

        Args:
            base_url: Base URL of the object API.
            timeout: Longest time for one call, in seconds.
            bearer_key: Sent in the ``Authorization`` header; empty sends none.
        """
        self._http = HttpClient(base_url, timeout=timeout, bearer_key=bearer_key)

    def close(self) -> None:
        """Closes the connection."""
        self._http.close()

    # --- Reading ---

    def list(self, kind: str) -> Result[Document, Failure]:
        """Returns the list of all objects of a kind."""
        return calls.parse_document(self._http.call(calls.list_call(kind)))

    def get(self, kind: str, name: str) -> Result[Document, Failure]:
        """Returns an object; kind ``UNKNOWN_ROUTE`` says that there is none."""
        return calls.parse_document(self._http.call(calls.get_call(kind, name)))

    def resources(self) -> Result[ResourceList, Failure]:
        """Returns the configuration of all kinds at one revision."""
        answer = self._http.call(calls.resources_call())
        return calls.parse_document(answer).map(calls.parse_resource_list)

    def watch(
        self,
        since: Revision,
        *,
        timeout: Seconds = WATCH_TIMEOUT,
        silence: Seconds = WATCH_SILENCE,
        should_stop: Callable[[], bool] = lambda: False,
    ) -> Iterator[WatchEvent]:
        """Yields changes in the order of the change sequence.

        Args:
            since: Changes after this revision are wanted.
            timeout: Time in seconds after which the server ends the stream.
            silence: Time in seconds without any data, bookmarks included, after which
                the connection is given up.
            should_stop: Asked several times a second; true ends the stream without a
                further event.

        Yields:
            Events; the last is ``Expired`` (list again) or ``WatchEnded`` (watch again
            from the last revision).
        """
        call = calls.watch_call(since, timeout=timeout)
        lines = self._http.stream_lines(call, silence=silence, should_stop=should_stop)
        with closing(lines):
            for item in lines:
                event = _watch_event(item)
                yield event
                if isinstance(event, watch_events.Expired | watch_events.WatchEnded):
                    return

    # --- Writing ---

    def create(self, document: Document) -> WriteOutcome:
        """Creates an object unless one of that name exists."""
        return self._write(writes.create(document))

    def replace(self, document: Document) -> WriteOutcome:
        """Replaces the version that ``metadata.resourceVersion`` names.

        Raises:
            ValueError: If the document names no version.
        """
        return self._write(writes.replace(document))

    def delete(self, kind: str, name: str, *, revision: Revision = 0) -> WriteOutcome:
        """Deletes an object, or only the given version of it."""
        return self._write(writes.delete(kind, name, revision=revision))

    def change_labels(
        self, kind: str, name: str, changes: Mapping[str, str | None]
    ) -> WriteOutcome:
        """Changes labels of an object by read, change and conditional replacement.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            changes: Labels to set; None removes one.

        Returns:
            The outcome; ``CONFLICT`` if somebody else changed one of these labels in
            between. Changes to other parts of the object are kept.
        """
        before: Document | None = None
        outcome = WriteOutcome(WriteStatus.CONFLICT)
        for _ in range(MAX_LABEL_ATTEMPTS):
            found = self.get(kind, name)
            if found.is_error():
                return _not_written(found.error)
            current = found.ok
            if before is not None and writes.has_label_conflict(
                before, current, changes
            ):
                return outcome
            wanted = writes.with_labels(current, changes)
            if writes.same_content(wanted, current):
                return WriteOutcome(WriteStatus.UNCHANGED, current)
            outcome = self.replace(wanted)
            if outcome.status is not WriteStatus.CONFLICT:
                return outcome
            before = current
        return outcome

    # --- Claims ---

    def create_claim(self, name: str, ticket: str) -> ClaimAnswer:
        """Binds a caller-chosen key to a ticket, with one call."""
        result = self._http.call(claims.create_claim_call(name, ticket))
        return claims.parse_create_claim_result(result, ticket)

    def read_claim(self, name: str) -> ClaimAnswer:
        """Reads a claim, with one call."""
        result = self._http.call(calls.get_call(calls.CLAIM_KIND, name))
        return claims.parse_read_claim_result(result)

    def list_claims(self) -> Result[ClaimList, Failure]:
        """Returns all claims and the object API's time."""
        listed = self._http.call(calls.list_call(calls.CLAIM_KIND))
        return claims.parse_claim_list(listed)

    def _write(self, write: Write) -> WriteOutcome:
        detail = ""
        for attempt in range(MAX_ATTEMPTS):
            result = self._http.call(write.call)
            outcome = writes.parse_write_result(write, result)
            if outcome is not None and (attempt == 0 or not _may_be_own(outcome)):
                return outcome if attempt == 0 else _after_lost_answer(outcome)
            detail = result.detail if isinstance(result, NoResponse) else "server error"
            found = self._read_back(write)
            if found.is_error():
                break
            outcome = writes.resolve_lost_write(write, found.ok)
            if outcome is not None:
                return outcome
        detail = f"the answer was lost: {detail}"
        return WriteOutcome(WriteStatus.UNKNOWN, detail=detail)

    def _read_back(self, write: Write) -> Result[Document | None, Failure]:
        found = self.get(write.kind, write.name)
        if found.is_ok():
            return Ok(found.ok)
        is_absent = found.error.kind is ErrorKind.UNKNOWN_ROUTE
        return Ok(None) if is_absent else Error(found.error)


def _watch_event(item: bytes | HttpResponse | NoResponse) -> WatchEvent:
    if isinstance(item, bytes):
        return watch_events.parse_watch_line(item)
    if isinstance(item, NoResponse):
        return watch_events.WatchEnded(item.detail)
    if item.status == 200:
        return watch_events.WatchEnded()
    return watch_events.parse_watch_rejection(item)


def _may_be_own(outcome: WriteOutcome) -> bool:
    """Whether the refusal of a repeat may be due to the first attempt."""
    return outcome.status in (WriteStatus.CONFLICT, WriteStatus.NOT_FOUND)


def _after_lost_answer(outcome: WriteOutcome) -> WriteOutcome:
    """Corrects the outcome of a repeat: the first attempt may still take effect."""
    if outcome.status is WriteStatus.UNAVAILABLE:
        return WriteOutcome(WriteStatus.UNKNOWN, detail=outcome.detail)
    return outcome


def _not_written(failure: Failure) -> WriteOutcome:
    is_absent = failure.kind is ErrorKind.UNKNOWN_ROUTE
    status = WriteStatus.NOT_FOUND if is_absent else WriteStatus.UNAVAILABLE
    return WriteOutcome(status, detail=failure.detail, retry_after=failure.retry_after)
