"""Request targets and codecs of the platform's metadata store."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from fighitch.platform.decoding import decode
from fighitch.platform.json_parts import split_array, split_object
from fighitch.runtime.http_exchange import ResponseHead
from fighitch.types import Seconds

_PageT = TypeVar("_PageT", bound=msgspec.Struct)
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
        content: JSON that its owner wrote; ``null`` if the response contains none. Any
            writer may have written it, so that it may be no valid JSON.
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
        unreadable: Number of items that are left out because they have no readable
            name.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    has_more: bool = False
    unreadable: int = 0


def list_target(kind: str, after: str = "") -> str:
    """Returns the request target that lists a kind after the given name."""
    if not after:
        return f"/objects/{kind}"
    return f"/objects/{kind}?after={quote(after, safe='', errors='surrogatepass')}"


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
    decoded = _decode_page(body, "items", _List)
    objects, unreadable = _decode_items(decoded.items, _decode_listed)
    return ObjectPage(objects, decoded.at, decoded.has_more, unreadable)


def decode_watch(body: bytes) -> ObjectPage:
    """Decodes the response to a watch request.

    Raises:
        msgspec.DecodeError: If the body is not a list of events.
    """
    decoded = _decode_page(body, "events", _Events)
    objects, unreadable = _decode_items(decoded.events, _decode_event)
    return ObjectPage(objects, decoded.at, unreadable=unreadable)


def decode_object(body: bytes) -> StoredObject:
    """Decodes a single object.

    Raises:
        msgspec.DecodeError: If the body is not an object.
    """
    return _to_stored_object(decode(body, _Object))


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


def _decode_page(body: bytes, key: str, expected: type[_PageT]) -> _PageT:
    """Decodes a page, even if one of its items can't be skipped over.

    Args:
        body: Body of the response.
        key: Key of the items, which are not decoded.
        expected: Type of the page.
    """
    try:
        return decode(body, expected)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        parts = split_object(body)
        if key not in parts:
            raise
        items = split_array(parts.pop(key))
        rest = {name: msgspec.Raw(value) for name, value in parts.items()}
        page = decode(msgspec.json.encode({**rest, key: []}), expected)
        return msgspec.structs.replace(page, **{key: list(map(msgspec.Raw, items))})


def _decode_items(
    items: list[msgspec.Raw], decode_item: Callable[[msgspec.Raw], StoredObject]
) -> tuple[tuple[StoredObject, ...], int]:
    """Returns the objects of a page and the number of items that have no name."""
    objects = []
    for item in items:
        try:
            objects.append(decode_item(item))
        except msgspec.DecodeError:
            continue
    return tuple(objects), len(items) - len(objects)


def _decode_listed(item: msgspec.Raw) -> StoredObject:
    try:
        return _to_stored_object(decode(item, _Object))
    except msgspec.DecodeError:
        return _decode_odd_object(bytes(item))


def _decode_event(item: msgspec.Raw) -> StoredObject:
    try:
        event = decode(item, _Event)
    except msgspec.DecodeError:
        parts = split_object(bytes(item))
        removed = decode(parts.get("Tombstone", b"false"), bool)
        return _decode_odd_object(parts.get("Object", b""), removed=removed)
    return _to_stored_object(event.object, removed=event.tombstone)


def _decode_odd_object(data: bytes, *, removed: bool = False) -> StoredObject:
    """Decodes the name and revision of an object that can't be decoded as a whole.

    The name tells which object an unreadable one replaces, and where the next page
    begins.
    """
    parts = split_object(data)
    metadata = split_object(parts.get("Metadata", b""))
    encoded_name = metadata.get("Name", b"")
    if not encoded_name.startswith(b'"'):
        raise msgspec.DecodeError("object has no name")
    try:
        # Unlike msgspec, this accepts escapes of lone surrogates.
        name = json.loads(encoded_name)
    except ValueError as error:
        raise msgspec.DecodeError("name of the object is no valid JSON") from error
    revision = decode(metadata.get("Revision", b"0"), int)
    content = msgspec.Raw(parts.get("Spec", b"null"))
    return StoredObject(name, revision, content, removed)
