"""Requests to the object API and parsers for its responses.

The object API follows the conventions of Kubernetes: each object has its own URL, a
write states the ``resourceVersion`` that it is based on, and the server responds with
409 if the object has changed since.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias
from urllib.parse import quote, urlencode

import msgspec
from expression import Error, Ok, Result

from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.http_calls import CallResult, HttpCall, HttpResponse, NoResponse
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

CONFIGURATION_KINDS = frozenset(kind.value for kind in Kind)

Document: TypeAlias = dict[str, Any]


def object_path(kind: str, name: str = "") -> str:
    """Returns the path of an object, or of the list of all objects of a kind."""
    path = f"{GROUP_PATH}/{PLURALS[kind]}"
    return f"{path}/{quote(name, safe='')}" if name else path


def list_call(kind: str) -> HttpCall:
    """Returns the call that lists all objects of a kind."""
    return HttpCall("GET", object_path(kind))


def get_call(kind: str, name: str) -> HttpCall:
    """Returns the call that reads one object."""
    return HttpCall("GET", object_path(kind, name))


def create_call(document: Document) -> HttpCall:
    """Returns the call that creates an object if no object of that name exists."""
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
        document: New content; ``metadata.resourceVersion`` states the version that it
            is based on.

    Raises:
        ValueError: If no version is stated; such a write would overwrite concurrent
            changes.
    """
    if not document["metadata"].get("resourceVersion"):
        raise ValueError(
            f"replace of {document.get('kind')} {document['metadata'].get('name')!r} "
            "needs metadata.resourceVersion; read the object first"
        )
    path = object_path(document["kind"], document["metadata"]["name"])
    return HttpCall("PUT", path, msgspec.json.encode(document))


def delete_call(kind: str, name: str, *, revision: Revision = 0) -> HttpCall:
    """Returns the call that deletes an object.

    Args:
        kind: Kind of the object.
        name: Name of the object.
        revision: Resource version to delete; 0 deletes the object at any version.
    """
    body = None
    if revision:
        options = {"preconditions": {"resourceVersion": str(revision)}}
        body = msgspec.json.encode({"kind": "DeleteOptions", **options})
    return HttpCall("DELETE", object_path(kind, name), body)


def list_resources_call() -> HttpCall:
    """Returns the call that lists the configuration of all kinds."""
    return HttpCall("GET", f"{GROUP_PATH}/resources")


def watch_call(since: Revision, *, timeout: Seconds) -> HttpCall:
    """Returns the call that opens a watch stream of changes.

    Args:
        since: Revision after which changes are streamed.
        timeout: Time in seconds after which the server ends the stream.
    """
    query = {
        "watch": "true",
        "resourceVersion": str(since),
        "allowWatchBookmarks": "true",
        "timeoutSeconds": str(max(1, round(timeout))),
    }
    return HttpCall("GET", f"{GROUP_PATH}/resources?{urlencode(query)}")


# --- Parsing of responses ---


def revision_of(document: Document) -> Revision:
    """Returns the resource version of an object or list; 0 if it has no valid one."""
    try:
        return int(document["metadata"]["resourceVersion"])
    except (KeyError, TypeError, ValueError):
        return 0


def parse_document(
    result: CallResult, *, server: str = "the object API"
) -> Result[Document, Failure]:
    """Parses the result of a call that reads.

    Args:
        result: Result of a list or get call.
        server: Name of the called server, for error messages.

    Returns:
        The object or list, or a failure: ``UNKNOWN_ROUTE`` if the object does not
        exist, ``PLATFORM_UNAVAILABLE`` if a retry may succeed.
    """
    if isinstance(result, NoResponse):
        return _unavailable(f"{server} does not respond: {result.detail}")
    if result.status == 404:
        return Error(
            Failure(ErrorKind.UNKNOWN_ROUTE, error_response_message(result, server))
        )
    if result.status != 200:
        return _unavailable(
            error_response_message(result, server), retry_after=result.retry_after
        )
    document = decode_object(result.body)
    if document is None:
        return _unavailable(f"{server} responded with status 200 but no JSON object")
    return Ok(document)


@dataclass(frozen=True, slots=True)
class ResourceList:
    """Configuration at one revision.

    Attributes:
        resources: Valid resources.
        revision: Revision of the list.
        rejected: One error message for each invalid object.
    """

    resources: tuple[Resource, ...]
    revision: Revision
    rejected: tuple[str, ...] = ()


def parse_resource_list(document: Document) -> ResourceList:
    """Parses the list of resources of all kinds.

    Invalid objects are skipped and reported, so that one of them does not leave a
    process without configuration.
    """
    items = document.get("items")
    parsed = [
        parse_resource(item)
        for item in (items if isinstance(items, list) else ())
        if is_configuration(item)
    ]
    return ResourceList(
        resources=tuple(item.ok for item in parsed if item.is_ok()),
        revision=revision_of(document),
        rejected=tuple(item.error.detail for item in parsed if item.is_error()),
    )


def is_configuration(item: object) -> bool:
    """Returns whether a decoded value is an object of one of the kinds."""
    if not isinstance(item, dict):
        return False
    kind = item.get("kind")
    return isinstance(kind, str) and kind in CONFIGURATION_KINDS


def labels_of(document: Document) -> dict[str, str]:
    """Returns the labels of an object."""
    return dict(document.get("metadata", {}).get("labels") or {})


def decode_object(body: bytes) -> Document | None:
    """Decodes a body that holds a JSON object; None if it does not."""
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except DECODE_ERRORS:
        return None


def error_response_message(
    response: HttpResponse, server: str = "the object API"
) -> str:
    """Returns an error message for a response that reports an error."""
    status = decode_object(response.body) or {}
    detail = status.get("message") or status.get("reason") or "no explanation"
    return f"{server} responded with status {response.status}: {detail}"


def _unavailable(
    detail: str, *, retry_after: Seconds | None = None
) -> Result[Any, Failure]:
    return Error(
        Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail, retry_after=retry_after)
    )
