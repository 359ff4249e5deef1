"""Conditional writes to the object API and their outcomes."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from fighitch.core.http_calls import CallResult, HttpCall, NoResponse
from fighitch.core.object_api import (
    Document,
    create_call,
    decode_object,
    delete_call,
    error_response_message,
    labels_of,
    replace_call,
    revision_of,
)
from fighitch.types import Revision, Seconds


class WriteStatus(Enum):
    """Status of a write.

    ``UNAVAILABLE`` and ``REJECTED`` mean that the write had no effect, ``UNKNOWN`` that
    it may have taken effect or may still do so.
    """

    CREATED = "created"
    REPLACED = "replaced"
    DELETED = "deleted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    NOT_FOUND = "not found"
    REJECTED = "rejected"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Outcome of a write.

    Attributes:
        status: Status of the write.
        document: Object stored by the object API, if the write took effect.
        detail: Reason if it did not.
        retry_after: Seconds after which a retry may succeed, if the server stated them.
    """

    status: WriteStatus
    document: Document | None = None
    detail: str = ""
    retry_after: Seconds | None = None

    @property
    def is_committed(self) -> bool:
        """Whether the object API holds the desired state."""
        return self.status in _COMMITTED


_COMMITTED = frozenset(
    {
        WriteStatus.CREATED,
        WriteStatus.REPLACED,
        WriteStatus.DELETED,
        WriteStatus.UNCHANGED,
    }
)


@dataclass(frozen=True, slots=True)
class Write:
    """A conditional write.

    Attributes:
        status: Status if the write takes effect: created, replaced or deleted.
        call: HTTP call that performs the write.
        kind: Kind of the object.
        name: Name of the object.
        document: Desired content; None for a deletion.
        base: Resource version that the write is based on; 0 if unconditional.
    """

    status: WriteStatus
    call: HttpCall
    kind: str
    name: str
    document: Document | None = None
    base: Revision = 0


def create(document: Document) -> Write:
    """Returns the write that creates an object."""
    kind, name = document["kind"], document["metadata"]["name"]
    return Write(WriteStatus.CREATED, create_call(document), kind, name, document)


def replace(document: Document) -> Write:
    """Returns the write that replaces the version stated in the document."""
    kind, name = document["kind"], document["metadata"]["name"]
    call, base = replace_call(document), revision_of(document)
    return Write(WriteStatus.REPLACED, call, kind, name, document, base)


def delete(kind: str, name: str, *, revision: Revision = 0) -> Write:
    """Returns the write that deletes an object, or only a given version of it."""
    call = delete_call(kind, name, revision=revision)
    return Write(WriteStatus.DELETED, call, kind, name, base=revision)


def parse_write_result(write: Write, result: CallResult) -> WriteOutcome | None:
    """Determines the outcome of a write from the result of its call.

    Args:
        write: The write.
        result: Result of its call.

    Returns:
        The outcome, or None if the object must be read to determine it: the call was
        sent but got no complete response, or a server error that may have occurred
        after the write took effect.
    """
    if isinstance(result, NoResponse):
        if result.sent:
            return None
        return WriteOutcome(WriteStatus.UNAVAILABLE, detail=result.detail)
    status = result.status
    if 200 <= status < 300:
        return _parse_success_response(write, decode_object(result.body))
    if status >= 500:
        return None
    if status == 404:
        return WriteOutcome(
            WriteStatus.NOT_FOUND, detail=error_response_message(result)
        )
    if status == 409:
        return WriteOutcome(WriteStatus.CONFLICT, detail=error_response_message(result))
    if status == 429:
        return WriteOutcome(
            WriteStatus.UNAVAILABLE,
            detail=error_response_message(result),
            retry_after=result.retry_after,
        )
    return WriteOutcome(WriteStatus.REJECTED, detail=error_response_message(result))


def resolve_lost_write(write: Write, existing: Document | None) -> WriteOutcome | None:
    """Determines the outcome of a write whose response was lost.

    Args:
        write: The write.
        existing: Object read back from the object API; None if it does not exist.

    Returns:
        The outcome, or None if the write has not taken effect so far. The server may
        still process it later, so the calling code must repeat it, which is safe
        because at most one of two conditional writes applies, or report it as unknown.
    """
    if write.document is None:
        return _resolve_lost_deletion(write, existing)
    if existing is None:
        if write.status is WriteStatus.CREATED:
            return None
        return WriteOutcome(WriteStatus.CONFLICT, detail="the object was deleted")
    if has_same_content(write.document, existing):
        return WriteOutcome(write.status, existing)
    if write.base and revision_of(existing) == write.base:
        return None
    detail = (
        f"the response was lost, and the object API holds other content at resource "
        f"version {revision_of(existing)}"
    )
    return WriteOutcome(WriteStatus.CONFLICT, detail=detail)


def has_same_content(one: Document, other: Document) -> bool:
    """Returns whether two documents have the same specification and labels."""
    return one.get("spec") == other.get("spec") and labels_of(one) == labels_of(other)


def _resolve_lost_deletion(
    write: Write, existing: Document | None
) -> WriteOutcome | None:
    if existing is None:
        return WriteOutcome(WriteStatus.DELETED)
    if not write.base or revision_of(existing) == write.base:
        return None
    detail = f"the object has changed to resource version {revision_of(existing)}"
    return WriteOutcome(WriteStatus.CONFLICT, detail=detail)


def _parse_success_response(
    write: Write, response: Document | None
) -> WriteOutcome | None:
    if write.document is None:
        return WriteOutcome(WriteStatus.DELETED)
    # Without the stored object and its version, the object must be read.
    if response is None or not revision_of(response):
        return None
    return WriteOutcome(write.status, response)


# --- Labels ---


def with_labels(document: Document, changes: Mapping[str, str | None]) -> Document:
    """Returns a copy of a document with changed labels.

    Args:
        document: Object as read from the object API.
        changes: Labels to set; a value of None removes the label.
    """
    labels = {**labels_of(document), **changes}
    remaining = {key: value for key, value in labels.items() if value is not None}
    return {**document, "metadata": {**document["metadata"], "labels": remaining}}


def has_label_conflict(
    before: Document, after: Document, changes: Mapping[str, str | None]
) -> bool:
    """Returns whether a concurrent write changed a label in a conflicting way.

    Args:
        before: Object that the label changes were based on.
        after: Object that the object API holds now.
        changes: Labels to set; a value of None removes the label.
    """
    one, other = labels_of(before), labels_of(after)
    return any(
        one.get(key) != other.get(key) and other.get(key) != value
        for key, value in changes.items()
    )
