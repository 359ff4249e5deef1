"""Request targets and codecs of the platform's metadata store."""

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from fighitch.runtime.http_exchange import ResponseHead
from fighitch.types import Seconds

_MS_PER_SECOND = 1_000
_EPOCH_HEADER = b"store-era"
# Longer values can't be counts of restores.
_MAX_EPOCH_DIGITS = 15


class _Metadata(msgspec.Struct, rename="pascal"):
    name: str
    # Store-wide revision of the object's last change.
    revision: int = 0


class _Object(msgspec.Struct, rename="pascal"):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _List(msgspec.Struct, rename="pascal"):
    # Lowercase in the store's responses, like ``events`` below; all other keys are
    # PascalCase.
    items: list[msgspec.Raw] = msgspec.field(name="items")
    has_more: bool = False
    # Store revision up to which the list is complete.
    at: int = 0


class _Event(msgspec.Struct, rename="pascal"):
    object: _Object
    # Whether the object was deleted.
    tombstone: bool = False


class _Events(msgspec.Struct, rename="pascal"):
    events: list[msgspec.Raw] = msgspec.field(name="events")
    at: int = 0


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    Attributes:
        name: Name, unique within the kind.
        revision: Store-wide revision of its last change.
        content: JSON that its owner wrote; ``null`` if the response contains none.
        removed: Whether the object was removed.
    """

    name: str
    revision: int
    content: msgspec.Raw
    removed: bool = False


@dataclass(frozen=True, slots=True)
class ObjectPage:
    """Page of a list, or changes returned by a watch.

    Attributes:
        objects: Objects of the list, or changed objects in the order of the changes.
        revision: Revision from which to watch for later changes.
        has_more: Whether another page follows.
        unreadable: Number of items that could not be decoded.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    has_more: bool = False
    unreadable: int = 0


def list_target(kind: str, after: str = "") -> str:
    """Returns the request target that lists a kind after the given name."""
    query = f"?after={quote(after, safe='')}" if after else ""
    return f"/objects/{kind}{query}"


def watch_target(kind: str, revision: int, wait: Seconds) -> str:
    """Returns the request target that watches a kind from a revision."""
    return f"/objects/{kind}?Watch={revision}&WaitMs={round(wait * _MS_PER_SECOND)}"


def object_target(kind: str, name: str) -> str:
    """Returns the request target of one object."""
    return f"/objects/{kind}/{quote(name, safe='')}"


def decode_epoch(head: ResponseHead) -> int | None:
    """Returns the store's epoch, which rises with each restore from an older copy.

    Returns:
        The epoch; None if the response states none or one that can't be read.
    """
    value = (head.get(_EPOCH_HEADER) or b"").strip()
    if not value.isdigit() or len(value) > _MAX_EPOCH_DIGITS:
        return None
    return int(value)


def decode_list(body: bytes) -> ObjectPage:
    """Decodes the response to a list request.

    Raises:
        msgspec.DecodeError: If the body is not a list.
    """
    decoded = msgspec.json.decode(body, type=_List)
    objects = []
    for item in decoded.items:
        try:
            objects.append(_to_stored_object(msgspec.json.decode(item, type=_Object)))
        except msgspec.DecodeError:
            continue
    unreadable = len(decoded.items) - len(objects)
    return ObjectPage(tuple(objects), decoded.at, decoded.has_more, unreadable)


def decode_watch(body: bytes) -> ObjectPage:
    """Decodes the response to a watch request.

    Raises:
        msgspec.DecodeError: If the body is not a list of events.
    """
    decoded = msgspec.json.decode(body, type=_Events)
    objects = []
    for item in decoded.events:
        try:
            event = msgspec.json.decode(item, type=_Event)
        except msgspec.DecodeError:
            continue
        objects.append(_to_stored_object(event.object, removed=event.tombstone))
    unreadable = len(decoded.events) - len(objects)
    return ObjectPage(tuple(objects), decoded.at, unreadable=unreadable)


def decode_object(body: bytes) -> StoredObject:
    """Decodes a single object.

    Raises:
        msgspec.DecodeError: If the body is not an object.
    """
    return _to_stored_object(msgspec.json.decode(body, type=_Object))


def encode_object(name: str, content: object, *, revision: int | None) -> bytes:
    """Encodes an object to write.

    Args:
        name: Name, unique within the kind.
        content: Content to store as JSON.
        revision: Revision that the stored object must have; None writes
            unconditionally.
    """
    metadata: dict[str, str | int] = {"Name": name}
    if revision is not None:
        metadata["Revision"] = revision
    return msgspec.json.encode({"Metadata": metadata, "Spec": content})


def _to_stored_object(decoded: _Object, *, removed: bool = False) -> StoredObject:
    return StoredObject(
        decoded.metadata.name, decoded.metadata.revision, decoded.spec, removed
    )
