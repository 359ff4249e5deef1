"""Calls to the platform's metadata store."""

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from fighitch.types import Seconds

_MS_PER_SECOND = 1_000


class _Metadata(msgspec.Struct, rename="pascal"):
    name: str
    # Store-wide counter at the object's last change.
    revision: int = 0


class _Object(msgspec.Struct, rename="pascal"):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _List(msgspec.Struct, rename="pascal"):
    # The only two lowercase keys of the store's answers.
    items: list[msgspec.Raw] = msgspec.field(name="items")
    has_more: bool = False
    # Revision of the store at which the list is complete.
    at: int = 0


class _Event(msgspec.Struct, rename="pascal"):
    object: _Object
    # Whether the object was removed.
    tombstone: bool = False


class _Events(msgspec.Struct, rename="pascal"):
    events: list[msgspec.Raw] = msgspec.field(name="events")
    at: int = 0


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    Attributes:
        name: Name within its kind.
        revision: Store-wide counter at its last change.
        content: JSON that its owner wrote; empty if the object was removed.
    """

    name: str
    revision: int
    content: msgspec.Raw
    removed: bool = False


@dataclass(frozen=True, slots=True)
class ObjectPage:
    """Objects of a kind.

    Attributes:
        objects: The objects; of a watch, the changes in order.
        revision: Where to watch from.
        has_more: Whether another page follows.
        unreadable: Number of items that are no objects.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    has_more: bool = False
    unreadable: int = 0


def list_target(kind: str, after: str = "") -> str:
    """Returns the request target of a list."""
    query = f"?after={quote(after, safe='')}" if after else ""
    return f"/objects/{kind}{query}"


def watch_target(kind: str, revision: int, wait: Seconds) -> str:
    """Returns the request target of a watch."""
    return f"/objects/{kind}?Watch={revision}&WaitMs={round(wait * _MS_PER_SECOND)}"


def object_target(kind: str, name: str) -> str:
    """Returns the request target of one object."""
    return f"/objects/{kind}/{quote(name, safe='')}"


def decode_list(body: bytes) -> ObjectPage:
    """Decodes the answer to a list.

    Raises:
        msgspec.DecodeError: If the body is no list.
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
    """Decodes the answer to a watch.

    Raises:
        msgspec.DecodeError: If the body is no list of events.
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
    """Decodes one object.

    Raises:
        msgspec.DecodeError: If the body is no object.
    """
    return _to_stored_object(msgspec.json.decode(body, type=_Object))


def encode_object(name: str, content: object, *, revision: int | None) -> bytes:
    """Encodes an object to write.

    Args:
        name: Name within its kind.
        content: What to store.
        revision: Revision that the object must have; None writes whatever it has.
    """
    metadata: dict[str, str | int] = {"Name": name}
    if revision is not None:
        metadata["Revision"] = revision
    return msgspec.json.encode({"Metadata": metadata, "Spec": content})


def _to_stored_object(decoded: _Object, *, removed: bool = False) -> StoredObject:
    return StoredObject(
        decoded.metadata.name, decoded.metadata.revision, decoded.spec, removed
    )
