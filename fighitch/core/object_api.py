"""Calls to the object API: building them, reading answers, resolving lost answers.

The object API follows the conventions of Kubernetes: one URL for each object, writes
that name the ``resourceVersion`` they are based on, 409 when it has changed.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeAlias
from urllib.parse import quote, urlencode

import msgspec
from expression import Error, Ok, Result

from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.inputs import ClaimStatus
from fighitch.core.resources import API_VERSION, Kind, Resource, parse_resource
from fighitch.types import Revision, Seconds

GROUP_PATH = f"/apis/{API_VERSION}"
CLAIM_KIND = "Claim"
INSTANCE_KIND = "Instance"

PLURALS: Mapping[str, str] = {
    Kind.ADAPTER.value: "adapters",
    Kind.CALLER.value: "callers",
    Kind.BACKEND_SERVER.value: "backendservers",
    Kind.WORK_POLICY.value: "workpolicies",
    Kind.PLACEMENT.value: "placements",
    Kind.WEIGHT_STORE.value: "weightstores",
    CLAIM_KIND: "claims",
    INSTANCE_KIND: "instances",
}

Document: TypeAlias = dict[str, Any]


# --- Calls and their raw results ---


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP request.

    Attributes:
        method: HTTP method.
        path: Path and query below the base URL.
        body: Body; None sends none.
        headers: Headers besides those that every call has.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def is_read(self) -> bool:
        """Whether the call changes nothing."""
        return self.method == "GET"


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole HTTP answer; header names are in lower case."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def retry_after(self) -> Seconds | None:
        """Seconds from the ``Retry-After`` header, if it has a number."""
        text = self.headers.get("retry-after", "")
        return float(text) if text.isascii() and text.isdigit() else None


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call ended without a whole answer.

    Attributes:
        sent: Whether any byte of the request may have reached the server.
        detail: What happened.
    """

    sent: bool
    detail: str = ""


CallResult: TypeAlias = HttpAnswer | NoAnswer


def object_path(kind: str, name: str = "") -> str:
    """Returns the path of an object, or of all objects of a kind."""
    path = f"{GROUP_PATH}/{PLURALS[kind]}"
    return f"{path}/{quote(name, safe='')}" if name else path


def list_call(kind: str) -> HttpCall:
    """Returns the call that lists all objects of a kind."""
    return HttpCall("GET", object_path(kind))


def get_call(kind: str, name: str) -> HttpCall:
    """Returns the call that reads one object."""
    return HttpCall("GET", object_path(kind, name))


def create_call(document: Document) -> HttpCall:
    """Returns the call that creates an object unless one of that name exists."""
    metadata = {
        key: value
        for key, value in document["metadata"].items()
        if key != "resourceVersion"
    }
    body = msgspec.json.encode({**document, "metadata": metadata})
    return HttpCall("POST", object_path(document["kind"]), body)


def replace_call(document: Document) -> HttpCall:
    """Returns the call that replaces an object if its resource version is current.

    Args:
        document: New content; ``metadata.resourceVersion`` names the version that it
            is based on.

    Raises:
        ValueError: If it names none, because such a call would overwrite blindly.
    """
    if not document["metadata"].get("resourceVersion"):
        raise ValueError(
            "replace needs metadata.resourceVersion; read the object first"
        )
    path = object_path(document["kind"], document["metadata"]["name"])
    return HttpCall("PUT", path, msgspec.json.encode(document))


def delete_call(kind: str, name: str, *, revision: Revision = 0) -> HttpCall:
    """Returns the call that deletes an object.

    Args:
        kind: Kind of the object.
        name: Name of the object.
        revision: Delete only this resource version; 0 deletes any.
    """
    body = None
    if revision:
        options = {"preconditions": {"resourceVersion": str(revision)}}
        body = msgspec.json.encode({"kind": "DeleteOptions", **options})
    return HttpCall("DELETE", object_path(kind, name), body)


def resources_call() -> HttpCall:
    """Returns the call that lists the configuration of all kinds."""
    return HttpCall("GET", f"{GROUP_PATH}/resources")


def watch_call(since: Revision, *, timeout: Seconds) -> HttpCall:
    """Returns the call that streams changes.

    Args:
        since: Changes after this revision are wanted.
        timeout: Time in seconds after which the server ends the stream.
    """
    query = {
        "watch": "true",
        "resourceVersion": str(since),
        "allowWatchBookmarks": "true",
        "timeoutSeconds": str(max(1, round(timeout))),
    }
    return HttpCall("GET", f"{GROUP_PATH}/resources?{urlencode(query)}")


# --- Reading ---


def revision_of(document: Document) -> Revision:
    """Returns the resource version of an object or list; 0 if it has none."""
    try:
        return int(document["metadata"]["resourceVersion"])
    except (KeyError, TypeError, ValueError):
        return 0


def read_document(
    result: CallResult, *, server: str = "the object API"
) -> Result[Document, Failure]:
    """Interprets the answer to a call that reads.

    Args:
        result: Result of a list or get call.
        server: Who was called, for error messages.

    Returns:
        The object or list, or a failure: ``UNKNOWN_ROUTE`` if there is no such object,
        ``PLATFORM_UNAVAILABLE`` if a repeat may succeed.
    """
    if isinstance(result, NoAnswer):
        return _unavailable(f"{server} does not answer: {result.detail}")
    if result.status == 404:
        return Error(Failure(ErrorKind.UNKNOWN_ROUTE, _message(result, server)))
    if result.status != 200:
        return _unavailable(_message(result, server), retry_after=result.retry_after)
    document = _decoded(result.body)
    if document is None:
        return _unavailable(f"{server} answered 200 without a JSON object")
    return Ok(document)


@dataclass(frozen=True, slots=True)
class ResourceList:
    """The configuration at one revision.

    Attributes:
        resources: Resources that could be read.
        revision: Revision of the list.
        rejected: One line for each object that could not be read.
    """

    resources: tuple[Resource, ...]
    revision: Revision
    rejected: tuple[str, ...] = ()


def read_resources(document: Document) -> ResourceList:
    """Reads the list of all kinds.

    An object that cannot be read is left out and reported, so that one bad object does
    not keep a process without configuration.
    """
    parsed = [
        parse_resource(item)
        for item in document.get("items") or ()
        if item.get("kind") in _CONFIGURATION_KINDS
    ]
    return ResourceList(
        resources=tuple(item.ok for item in parsed if item.is_ok()),
        revision=revision_of(document),
        rejected=tuple(item.error.detail for item in parsed if item.is_error()),
    )


_CONFIGURATION_KINDS = frozenset(kind.value for kind in Kind)


# --- Watching ---


@dataclass(frozen=True, slots=True)
class Changed:
    """A resource was created, replaced or, without a specification, deleted."""

    resource: Resource
    revision: Revision


@dataclass(frozen=True, slots=True)
class Advanced:
    """No change for us up to this revision.

    Attributes:
        revision: Revision that was reached.
        rejected: Why an object was left out; empty for a bookmark.
    """

    revision: Revision
    rejected: str = ""


@dataclass(frozen=True, slots=True)
class Expired:
    """The wanted revision is too old; list again."""


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """The stream ended; watch again from the last revision.

    Attributes:
        detail: What happened; empty if the server ended it in time.
        retry_after: Seconds to wait first, if the server stated them.
    """

    detail: str = ""
    retry_after: Seconds | None = None


WatchEvent: TypeAlias = Changed | Advanced | Expired | WatchEnded


def read_watch_line(line: bytes) -> WatchEvent:
    """Reads one line of a watch stream."""
    event = _decoded(line)
    if event is None or not isinstance(event.get("object"), dict):
        return WatchEnded(f"watch line is not an event: {line[:80]!r}")
    document, revision = event["object"], revision_of(event["object"])
    match event.get("type"):
        case "ERROR":
            return _watch_error(document)
        case "DELETED" if document.get("kind") in _CONFIGURATION_KINDS:
            name = document["metadata"]["name"]
            kind = Kind(document["kind"])
            return Changed(Resource(kind=kind, name=name, revision=revision), revision)
        case "ADDED" | "MODIFIED" if document.get("kind") in _CONFIGURATION_KINDS:
            parsed = parse_resource(document)
            if parsed.is_error():
                return Advanced(revision, rejected=parsed.error.detail)
            return Changed(parsed.ok, revision)
    return Advanced(revision)


def read_watch_refusal(answer: HttpAnswer) -> WatchEvent:
    """Interprets an answer to a watch call that is not a stream."""
    if answer.status == 410:
        return Expired()
    return WatchEnded(_message(answer), answer.retry_after)


def _watch_error(status: Document) -> WatchEvent:
    if status.get("code") == 410 or status.get("reason") in ("Expired", "Gone"):
        return Expired()
    return WatchEnded(str(status.get("message") or status))


# --- Writing ---


class WriteStatus(Enum):
    """What became of a write.

    ``UNAVAILABLE`` and ``REJECTED`` say that it did not take effect; ``UNKNOWN`` that
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
    """What became of a write.

    Attributes:
        status: Outcome.
        document: Object as the object API holds it, if the write took effect.
        detail: Explanation if it did not.
        retry_after: Seconds after which a repeat can succeed, if they were stated.
    """

    status: WriteStatus
    document: Document | None = None
    detail: str = ""
    retry_after: Seconds | None = None

    @property
    def is_committed(self) -> bool:
        """Whether the object API holds what was wanted."""
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
        status: Outcome if it takes effect: created, replaced or deleted.
        call: The call that makes it.
        kind: Kind of the object.
        name: Name of the object.
        document: Wanted content; None for a deletion.
        base: Resource version that it is based on; 0 for none.
    """

    status: WriteStatus
    call: HttpCall
    kind: str
    name: str
    document: Document | None = None
    base: Revision = 0


def create(document: Document) -> Write:
    """Returns the creation of an object."""
    kind, name = document["kind"], document["metadata"]["name"]
    return Write(WriteStatus.CREATED, create_call(document), kind, name, document)


def replace(document: Document) -> Write:
    """Returns the replacement of the version that the document names."""
    kind, name = document["kind"], document["metadata"]["name"]
    call, base = replace_call(document), revision_of(document)
    return Write(WriteStatus.REPLACED, call, kind, name, document, base)


def delete(kind: str, name: str, *, revision: Revision = 0) -> Write:
    """Returns the deletion of an object, or of one version of it."""
    call = delete_call(kind, name, revision=revision)
    return Write(WriteStatus.DELETED, call, kind, name, base=revision)


def read_write(write: Write, result: CallResult) -> WriteOutcome | None:
    """Interprets the answer to a write.

    Args:
        write: The write.
        result: Result of its call.

    Returns:
        The outcome, or None if only reading back can tell: no answer came after the
        call was sent, or a server error that may have come after the write.
    """
    if isinstance(result, NoAnswer):
        if result.sent:
            return None
        return WriteOutcome(WriteStatus.UNAVAILABLE, detail=result.detail)
    status = result.status
    if 200 <= status < 300:
        return _committed(write, _decoded(result.body))
    if status >= 500:
        return None
    if status == 404:
        return WriteOutcome(WriteStatus.NOT_FOUND, detail=_message(result))
    if status == 409:
        return WriteOutcome(WriteStatus.CONFLICT, detail=_message(result))
    if status == 429:
        return WriteOutcome(
            WriteStatus.UNAVAILABLE,
            detail=_message(result),
            retry_after=result.retry_after,
        )
    return WriteOutcome(WriteStatus.REJECTED, detail=_message(result))


def read_back(write: Write, found: Document | None) -> WriteOutcome | None:
    """Decides what became of a write whose answer was lost.

    Args:
        write: The write.
        found: Object that the object API holds now; None if there is none.

    Returns:
        The outcome, or None if the write has not taken effect. It may still arrive
        late, so the caller repeats it (it is conditional, so both cannot apply) or
        reports it as unknown.
    """
    if write.document is None:
        return _read_back_deletion(write, found)
    if found is None:
        if write.status is WriteStatus.CREATED:
            return None
        return WriteOutcome(WriteStatus.CONFLICT, detail="the object was deleted")
    if same_content(write.document, found):
        return WriteOutcome(write.status, found)
    if write.base and revision_of(found) == write.base:
        return None
    detail = (
        f"the answer was lost, and the object API holds other content at resource "
        f"version {revision_of(found)}"
    )
    return WriteOutcome(WriteStatus.CONFLICT, detail=detail)


def same_content(one: Document, other: Document) -> bool:
    """Returns whether two documents have the same specification and labels."""
    return one.get("spec") == other.get("spec") and labels_of(one) == labels_of(other)


def labels_of(document: Document) -> dict[str, str]:
    """Returns the labels of an object."""
    return dict(document.get("metadata", {}).get("labels") or {})


def _read_back_deletion(write: Write, found: Document | None) -> WriteOutcome | None:
    if found is None:
        return WriteOutcome(WriteStatus.DELETED)
    if not write.base or revision_of(found) == write.base:
        return None
    detail = f"the object has changed to resource version {revision_of(found)}"
    return WriteOutcome(WriteStatus.CONFLICT, detail=detail)


def _committed(write: Write, answer: Document | None) -> WriteOutcome | None:
    if write.document is None:
        return WriteOutcome(WriteStatus.DELETED)
    if answer is None or not revision_of(answer):
        return None
    return WriteOutcome(write.status, answer)


# --- Labels ---


def with_labels(document: Document, changes: Mapping[str, str | None]) -> Document:
    """Returns a document with changed labels.

    Args:
        document: Object as it was read.
        changes: Labels to set; None removes one.
    """
    labels = {**labels_of(document), **changes}
    kept = {key: value for key, value in labels.items() if value is not None}
    return {**document, "metadata": {**document["metadata"], "labels": kept}}


def has_label_conflict(
    before: Document, after: Document, changes: Mapping[str, str | None]
) -> bool:
    """Returns whether somebody else changed a label that we want to change too.

    Args:
        before: Object that our change was based on.
        after: Object that the object API holds now.
        changes: Our change.
    """
    one, other = labels_of(before), labels_of(after)
    return any(
        one.get(key) != other.get(key) and other.get(key) != value
        for key, value in changes.items()
    )


# --- Claims ---


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """How one call for a claim ended; ``ticket`` is the stored one, if it was read."""

    status: ClaimStatus
    ticket: str = ""


def create_claim_call(name: str, ticket: str) -> HttpCall:
    """Returns the call that binds a caller-chosen key to a ticket."""
    return create_call(
        {
            "apiVersion": API_VERSION,
            "kind": CLAIM_KIND,
            "metadata": {"name": name},
            "spec": {"ticket": ticket},
        }
    )


def read_created_claim(result: CallResult, ticket: str) -> ClaimAnswer:
    """Interprets the answer to the creation of a claim."""
    if isinstance(result, NoAnswer):
        lost = ClaimStatus.ANSWER_LOST if result.sent else ClaimStatus.UNAVAILABLE
        return ClaimAnswer(lost)
    if 200 <= result.status < 300:
        return ClaimAnswer(ClaimStatus.CREATED, ticket)
    if result.status == 409:
        return ClaimAnswer(ClaimStatus.EXISTS)
    if result.status >= 500:
        return ClaimAnswer(ClaimStatus.ANSWER_LOST)
    return ClaimAnswer(ClaimStatus.UNAVAILABLE)


def read_found_claim(result: CallResult) -> ClaimAnswer:
    """Interprets the answer to the reading of a claim."""
    found = read_document(result)
    if found.is_error():
        is_absent = found.error.kind is ErrorKind.UNKNOWN_ROUTE
        return ClaimAnswer(
            ClaimStatus.NOT_FOUND if is_absent else ClaimStatus.UNAVAILABLE
        )
    ticket = (found.ok.get("spec") or {}).get("ticket")
    if not isinstance(ticket, str) or not ticket:
        return ClaimAnswer(ClaimStatus.UNAVAILABLE)
    return ClaimAnswer(ClaimStatus.EXISTS, ticket)


def _decoded(body: bytes) -> Document | None:
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError:
        return None


def _message(answer: HttpAnswer, server: str = "the object API") -> str:
    status = _decoded(answer.body) or {}
    detail = status.get("message") or status.get("reason") or "no explanation"
    return f"{server} answered {answer.status}: {detail}"


def _unavailable(
    detail: str, *, retry_after: Seconds | None = None
) -> Result[Any, Failure]:
    return Error(
        Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail, retry_after=retry_after)
    )
