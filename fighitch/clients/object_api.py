"""Blocking client for the object API."""

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
from fighitch.core.claims import ClaimList, ClaimResult
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.http_calls import HttpResponse, NoResponse
from fighitch.core.object_api import Document, ResourceList
from fighitch.core.object_writes import Write, WriteOutcome, WriteStatus
from fighitch.core.watch_events import WatchEvent
from fighitch.types import Revision, Seconds

DEFAULT_TIMEOUT: Seconds = 5.0
# A conditional write is retried once if its response was lost and a read shows that it
# has not taken effect. More retries would add load to an overloaded or failing API.
MAX_ATTEMPTS = 2
MAX_LABEL_ATTEMPTS = 4
WATCH_TIMEOUT: Seconds = 300.0
# A change must take effect within 5 s, so an idle connection has to be replaced sooner.
# If the server sends bookmarks less often than this, each watcher reconnects once per
# timeout.
WATCH_IDLE_TIMEOUT: Seconds = 3.0


class ObjectApiClient:
    """Reads, writes and watches objects; each thread needs its own client."""

    def __init__(
        self, base_url: str, *, timeout: Seconds = DEFAULT_TIMEOUT, bearer_key: str = ""
    ) -> None:
        """Creates the client without opening a connection.

        Args:
            base_url: Base URL of the object API.
            timeout: Time limit of one call, in seconds.
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
        """Returns an object; the failure is ``UNKNOWN_ROUTE`` if it does not exist."""
        return calls.parse_document(self._http.call(calls.get_call(kind, name)))

    def resources(self) -> Result[ResourceList, Failure]:
        """Returns the configuration objects of all kinds at one revision."""
        response = self._http.call(calls.list_resources_call())
        return calls.parse_document(response).map(calls.parse_resource_list)

    def watch(
        self,
        since: Revision,
        *,
        timeout: Seconds = WATCH_TIMEOUT,
        idle_timeout: Seconds = WATCH_IDLE_TIMEOUT,
        should_stop: Callable[[], bool] = lambda: False,
    ) -> Iterator[WatchEvent]:
        """Yields changes in the order of their revisions.

        Args:
            since: Revision after which changes are sent.
            timeout: Time in seconds after which the server ends the stream.
            idle_timeout: Time in seconds without any data, bookmarks included, after
                which the connection is closed.
            should_stop: Called several times a second; true ends the stream without a
                further event.

        Yields:
            Events; the last is ``Expired`` (list again) or ``WatchEnded`` (watch again
            from the last revision).
        """
        call = calls.watch_call(since, timeout=timeout)
        lines = self._http.stream_lines(
            call, idle_timeout=idle_timeout, should_stop=should_stop
        )
        with closing(lines):
            for item in lines:
                event = _parse_watch_item(item)
                yield event
                if isinstance(event, watch_events.Expired | watch_events.WatchEnded):
                    return

    # --- Writing ---

    def create(self, document: Document) -> WriteOutcome:
        """Creates an object unless one with its name exists."""
        return self._write(writes.create(document))

    def replace(self, document: Document) -> WriteOutcome:
        """Replaces an object if ``metadata.resourceVersion`` is its current version.

        Raises:
            ValueError: If the document has no version.
        """
        return self._write(writes.replace(document))

    def delete(self, kind: str, name: str, *, revision: Revision = 0) -> WriteOutcome:
        """Deletes an object; with a revision, only if it is the current one."""
        return self._write(writes.delete(kind, name, revision=revision))

    def change_labels(
        self, kind: str, name: str, changes: Mapping[str, str | None]
    ) -> WriteOutcome:
        """Changes labels of an object with a read and a conditional replacement.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            changes: Labels to set; None removes one.

        Returns:
            The outcome; ``CONFLICT`` if another writer changed one of these labels
            concurrently. Concurrent changes to other parts of the object are kept.
        """
        previous: Document | None = None
        outcome = WriteOutcome(WriteStatus.CONFLICT)
        for _ in range(MAX_LABEL_ATTEMPTS):
            existing = self.get(kind, name)
            if existing.is_error():
                return _outcome_of_failed_read(existing.error)
            current = existing.ok
            if previous is not None and writes.has_label_conflict(
                previous, current, changes
            ):
                return outcome
            desired = writes.with_labels(current, changes)
            if writes.has_same_content(desired, current):
                return WriteOutcome(WriteStatus.UNCHANGED, current)
            outcome = self.replace(desired)
            if outcome.status is not WriteStatus.CONFLICT:
                return outcome
            previous = current
        return outcome

    # --- Claims ---

    def create_claim(self, name: str, ticket: str) -> ClaimResult:
        """Binds a caller-chosen key to a ticket with a single call."""
        result = self._http.call(claims.create_claim_call(name, ticket))
        return claims.parse_create_claim_result(result, ticket)

    def read_claim(self, name: str) -> ClaimResult:
        """Reads a claim with a single call."""
        result = self._http.call(calls.get_call(calls.CLAIM_KIND, name))
        return claims.parse_read_claim_result(result)

    def list_claims(self) -> Result[ClaimList, Failure]:
        """Returns all claims and the current time of the object API."""
        listed = self._http.call(calls.list_call(calls.CLAIM_KIND))
        return claims.parse_claim_list(listed)

    def _write(self, write: Write) -> WriteOutcome:
        """Sends a write; if the response is lost, reads the object and may retry."""
        detail = ""
        for attempt in range(MAX_ATTEMPTS):
            result = self._http.call(write.call)
            outcome = writes.parse_write_result(write, result)
            if outcome is not None and (
                attempt == 0 or not _may_result_from_first_attempt(outcome)
            ):
                return outcome if attempt == 0 else _adjust_retry_outcome(outcome)
            detail = result.detail if isinstance(result, NoResponse) else "server error"
            existing = self._read_back(write)
            if existing.is_error():
                break
            outcome = writes.resolve_lost_write(write, existing.ok)
            if outcome is not None:
                return outcome
        detail = f"the response was lost: {detail}"
        return WriteOutcome(WriteStatus.UNKNOWN, detail=detail)

    def _read_back(self, write: Write) -> Result[Document | None, Failure]:
        """Returns the current object of a write, or None if it does not exist."""
        existing = self.get(write.kind, write.name)
        if existing.is_ok():
            return Ok(existing.ok)
        is_absent = existing.error.kind is ErrorKind.UNKNOWN_ROUTE
        return Ok(None) if is_absent else Error(existing.error)


def _parse_watch_item(item: bytes | HttpResponse | NoResponse) -> WatchEvent:
    if isinstance(item, bytes):
        return watch_events.parse_watch_line(item)
    if isinstance(item, NoResponse):
        return watch_events.WatchEnded(item.detail)
    if item.status == 200:
        return watch_events.WatchEnded()
    return watch_events.parse_watch_rejection(item)


def _may_result_from_first_attempt(outcome: WriteOutcome) -> bool:
    """Returns whether the first attempt may have caused the rejection of a retry."""
    return outcome.status in (WriteStatus.CONFLICT, WriteStatus.NOT_FOUND)


def _adjust_retry_outcome(outcome: WriteOutcome) -> WriteOutcome:
    """Corrects the outcome of a retry: the first attempt may still take effect."""
    if outcome.status is WriteStatus.UNAVAILABLE:
        return WriteOutcome(WriteStatus.UNKNOWN, detail=outcome.detail)
    return outcome


def _outcome_of_failed_read(failure: Failure) -> WriteOutcome:
    is_absent = failure.kind is ErrorKind.UNKNOWN_ROUTE
    status = WriteStatus.NOT_FOUND if is_absent else WriteStatus.UNAVAILABLE
    return WriteOutcome(status, detail=failure.detail, retry_after=failure.retry_after)
