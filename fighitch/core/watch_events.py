"""Events of a watch stream of the object API."""

from dataclasses import dataclass
from typing import TypeAlias

from fighitch.core.http_calls import HttpResponse
from fighitch.core.object_api import (
    Document,
    decode_object,
    error_response_message,
    is_configuration,
    revision_of,
)
from fighitch.core.resources import Kind, Resource, parse_resource
from fighitch.types import Revision, Seconds


@dataclass(frozen=True, slots=True)
class ResourceChanged:
    """A resource was created, replaced or, without a specification, deleted."""

    resource: Resource
    revision: Revision


@dataclass(frozen=True, slots=True)
class RevisionAdvanced:
    """The stream reached a revision without a change to apply.

    Attributes:
        revision: Revision that the stream has reached.
        rejected: Why an invalid object was skipped; empty for a bookmark.
    """

    revision: Revision
    rejected: str = ""


@dataclass(frozen=True, slots=True)
class Expired:
    """The requested revision is too old; the resources must be listed again."""


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """The stream ended; the watch must be restarted from the last revision.

    Attributes:
        detail: Description of the error; empty if the server ended the stream as
            requested.
        retry_after: Seconds to wait before the restart, if the server stated them.
    """

    detail: str = ""
    retry_after: Seconds | None = None


WatchEvent: TypeAlias = ResourceChanged | RevisionAdvanced | Expired | WatchEnded


def parse_watch_line(line: bytes) -> WatchEvent:
    """Parses one line of a watch stream.

    A line that is not an event ends the watch: skipping it could lose a change.
    """
    event = decode_object(line)
    if event is None or not isinstance(event.get("object"), dict):
        return WatchEnded(f"line of the watch stream is not an event: {line[:80]!r}")
    document, revision = event["object"], revision_of(event["object"])
    match event.get("type"):
        case "ERROR":
            return _parse_error_event(document)
        case "DELETED" if is_configuration(document):
            return _parse_deletion(document, revision)
        case "ADDED" | "MODIFIED" if is_configuration(document):
            parsed = parse_resource(document)
            if parsed.is_error():
                return RevisionAdvanced(revision, rejected=parsed.error.detail)
            return ResourceChanged(parsed.ok, revision)
    return RevisionAdvanced(revision)


def _parse_deletion(document: Document, revision: Revision) -> WatchEvent:
    metadata = document.get("metadata")
    name = metadata.get("name") if isinstance(metadata, dict) else None
    if not isinstance(name, str):
        return RevisionAdvanced(revision, rejected="deleted object has no name")
    kind = Kind(document["kind"])
    return ResourceChanged(Resource(kind=kind, name=name, revision=revision), revision)


def parse_watch_rejection(response: HttpResponse) -> WatchEvent:
    """Parses an error response to a watch call."""
    if response.status == 410:
        return Expired()
    return WatchEnded(error_response_message(response), response.retry_after)


def _parse_error_event(status: Document) -> WatchEvent:
    if status.get("code") == 410 or status.get("reason") in ("Expired", "Gone"):
        return Expired()
    return WatchEnded(str(status.get("message") or status))
