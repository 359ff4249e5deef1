"""Versioned objects with conditional updates and a bounded change history.

Follows the published conventions of object APIs: a single counter assigns every change
its resource version, an update with an older version conflicts, and a client that
requests changes older than the retained history must list again.
"""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from typing import Any, TypeAlias

from fighitch.core.resources import (
    API_VERSION,
    Kind,
    parse_resource,
    parse_validated_selector,
)
from fighitch.types import Revision

Document: TypeAlias = dict[str, Any]

CONFIGURATION_KINDS: dict[str, str] = {
    f"{kind.value.lower()}s".replace("ys", "ies"): kind.value for kind in Kind
}
OTHER_KINDS: dict[str, str] = {"claims": "Claim", "instances": "Instance"}
KINDS: dict[str, str] = {**CONFIGURATION_KINDS, **OTHER_KINDS}


class StoreError(Exception):
    """The store rejects a call.

    Attributes:
        status: HTTP status code.
        reason: Machine-readable reason for a Status object.
        message: Description of the error.
    """

    def __init__(self, status: int, reason: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.message = message


class ChangeType(Enum):
    """Type of a watch event."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a configuration resource."""

    revision: Revision
    type: ChangeType
    document: Document


def _utc_now() -> str:
    return datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


class ObjectStore:
    """Stores objects by plural and name; callers must not modify returned documents."""

    def __init__(self, *, history_size: int, now: Callable[[], str] = _utc_now) -> None:
        """Creates an empty store.

        Args:
            history_size: Maximum number of retained changes of configuration resources.
            now: Returns the creation timestamp of new objects.
        """
        self._now = now
        self._objects: dict[str, dict[str, Document]] = {plural: {} for plural in KINDS}
        self._history: deque[Change] = deque()
        self._history_size = history_size
        self._history_start: Revision = 0
        self._revision: Revision = 0

    @property
    def revision(self) -> Revision:
        """Resource version of the most recent change of any kind."""
        return self._revision

    @property
    def counts(self) -> dict[str, int]:
        """Number of objects by plural."""
        return {plural: len(objects) for plural, objects in self._objects.items()}

    def list_collection(self, plural: str, *, selector: str = "") -> list[Document]:
        """Returns the objects of a collection whose labels match a selector."""
        parsed_selector = parse_validated_selector(selector)
        return [
            document
            for document in self._collection(plural).values()
            if parsed_selector.matches(document["metadata"].get("labels") or {})
        ]

    def list_configuration(self) -> list[Document]:
        """Returns the resources of all configuration kinds."""
        return [
            document
            for plural in CONFIGURATION_KINDS
            for document in self._objects[plural].values()
        ]

    def get(self, plural: str, name: str) -> Document:
        """Returns an object.

        Raises:
            StoreError: If the object does not exist.
        """
        document = self._collection(plural).get(name)
        if document is None:
            raise StoreError(404, "NotFound", f"{plural} {name!r} not found")
        return document

    def create(self, plural: str, document: Document) -> Document:
        """Creates an object.

        Raises:
            StoreError: If the name exists already or the document is invalid.
        """
        name = _validate(plural, document, name=None)
        if name in self._collection(plural):
            raise StoreError(409, "AlreadyExists", f"{plural} {name!r} already exists")
        return self._store_object(plural, name, document, ChangeType.ADDED)

    def update(self, plural: str, name: str, document: Document) -> Document:
        """Replaces an object; an update without effect keeps the resource version.

        Raises:
            StoreError: If the object does not exist, the document is invalid, or its
                resource version is set and differs from the current one.
        """
        existing = self.get(plural, name)
        _validate(plural, document, name=name)
        _check_resource_version(
            plural, existing, document["metadata"].get("resourceVersion")
        )
        if _comparable_content(document) == _comparable_content(existing):
            return existing
        return self._store_object(plural, name, document, ChangeType.MODIFIED)

    def delete(
        self, plural: str, name: str, *, version: str | int | None = None
    ) -> Document:
        """Deletes an object.

        Args:
            plural: Collection.
            name: Name in the collection.
            version: Expected resource version; None accepts any.

        Returns:
            The deleted object with the resource version of the deletion.

        Raises:
            StoreError: If the object does not exist or has another resource version.
        """
        existing = self.get(plural, name)
        _check_resource_version(plural, existing, version)
        del self._objects[plural][name]
        return self._record_change(plural, existing, ChangeType.DELETED)

    def is_expired(self, since: Revision) -> bool:
        """Returns whether some changes after a revision are no longer retained."""
        return since < self._history_start

    def changes_since(self, since: Revision) -> Iterator[Change]:
        """Iterates over the retained configuration changes after a revision."""
        newest_first = []
        for change in reversed(self._history):
            if change.revision <= since:
                break
            newest_first.append(change)
        return reversed(newest_first)

    def _collection(self, plural: str) -> dict[str, Document]:
        objects = self._objects.get(plural)
        if objects is None:
            allowed = ", ".join(KINDS)
            message = f"collection {plural!r} is unknown; allowed: {allowed}"
            raise StoreError(404, "NotFound", message)
        return objects

    def _store_object(
        self, plural: str, name: str, document: Document, type_: ChangeType
    ) -> Document:
        stored = self._record_change(plural, document, type_)
        self._objects[plural][name] = stored
        return stored

    def _record_change(
        self, plural: str, document: Document, type_: ChangeType
    ) -> Document:
        self._revision += 1
        existing = self._objects[plural].get(document["metadata"]["name"])
        created = (
            existing["metadata"] if existing else {"creationTimestamp": self._now()}
        )
        metadata = {
            **document["metadata"],
            "creationTimestamp": created["creationTimestamp"],
            "resourceVersion": str(self._revision),
        }
        stored = {
            **document,
            "apiVersion": API_VERSION,
            "kind": KINDS[plural],
            "metadata": metadata,
        }
        if plural in CONFIGURATION_KINDS:
            self._history.append(Change(self._revision, type_, stored))
        if len(self._history) > self._history_size:
            self._history_start = self._history.popleft().revision
        return stored


def _validate(plural: str, document: Document, *, name: str | None) -> str:
    kind = KINDS.get(plural)
    metadata = document.get("metadata")
    document_name = metadata.get("name") if isinstance(metadata, dict) else None
    if (
        not isinstance(document_name, str)
        or not document_name
        or name not in (None, document_name)
    ):
        raise StoreError(
            400,
            "BadRequest",
            f"metadata.name {document_name!r} must be {name or 'set'!r}",
        )
    if document.get("kind", kind) != kind:
        raise StoreError(
            400, "BadRequest", f"kind {document['kind']!r} is not {kind!r}"
        )
    if plural in CONFIGURATION_KINDS:
        parsed = parse_resource({"apiVersion": API_VERSION, "kind": kind, **document})
        if parsed.is_error():
            raise StoreError(422, "Invalid", parsed.error.detail)
    return document_name


def _check_resource_version(
    plural: str, existing: Document, version: str | int | None
) -> None:
    if version is None or str(version) in ("", "0"):
        return
    current = existing["metadata"]["resourceVersion"]
    if str(version) != current:
        raise StoreError(
            409,
            "Conflict",
            f"{plural} {existing['metadata']['name']!r}: resourceVersion {version} "
            f"is not the current one, {current}; read the object again",
        )


def _comparable_content(document: Mapping[str, Any]) -> dict[str, Any]:
    metadata = {
        key: value
        for key, value in document["metadata"].items()
        if key not in ("resourceVersion", "creationTimestamp")
    }
    content = {key: value for key, value in document.items() if key != "metadata"}
    content.pop("apiVersion", None)
    content.pop("kind", None)
    return {"metadata": metadata, **content}
