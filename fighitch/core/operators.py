"""Messages between the operators' client and the admin servers of processes."""

import hashlib
import hmac
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec

from fighitch.core.http_calls import HttpCall
from fighitch.core.object_api import Document, revision_of
from fighitch.core.resources import Kind
from fighitch.core.tickets import SharedKey

SIGNATURE_HEADER = "X-Fighitch-Signature"
CONFIGURATION_PATH = "/configuration"
STATUS_PATH = "/status"
DRAIN_LABEL = "fighitch.dev/drain"


# --- Hand-over of configuration ---


def sign_body(body: bytes, key: SharedKey) -> str:
    """Returns the value of the signature header: ``<key id>:<hex HMAC-SHA256>``."""
    return f"{key.key_id}:{_mac(body, key)}"


def is_signed(body: bytes, signature: str, keys: Iterable[SharedKey]) -> bool:
    """Returns whether the signature of a body was made with one of the keys."""
    key_id, _, mac = signature.partition(":")
    return any(
        key.key_id == key_id
        and hmac.compare_digest(_mac(body, key).encode(), mac.encode())
        for key in keys
    )


def handover_call(documents: Sequence[Document], key: SharedKey) -> HttpCall:
    """Returns the call that hands committed objects over to an entry."""
    body = msgspec.json.encode({"resources": documents})
    headers = ((SIGNATURE_HEADER, sign_body(body, key)),)
    return HttpCall("POST", CONFIGURATION_PATH, body, headers)


def is_configuration_object(document: Document) -> bool:
    """Returns whether an object is of a configuration kind."""
    return any(document.get("kind") == kind.value for kind in Kind)


def missing_objects(
    response: Document, documents: Iterable[Document]
) -> tuple[str, ...]:
    """Returns the objects that an entry lacks or holds in an older version.

    Args:
        response: Response of the entry to ``GET /configuration``.
        documents: Committed objects.

    Returns:
        ``<kind>/<name>`` of each such object.
    """
    revisions = response.get("resources")
    if not isinstance(revisions, Mapping):
        revisions = {}
    missing = []
    for document in documents:
        key = f"{document['kind']}/{document['metadata']['name']}"
        revision = revisions.get(key)
        if not isinstance(revision, int) or revision < revision_of(document):
            missing.append(key)
    return tuple(missing)


def _mac(body: bytes, key: SharedKey) -> str:
    return hmac.new(key.secret, body, hashlib.sha256).hexdigest()


# --- Audit records of a request ---


@dataclass(frozen=True, slots=True)
class ReceivedAuditRecord:
    """Audit record of a request, as received from a process.

    Attributes:
        id: Unique identifier.
        predecessors: Identifiers of the records that directly caused this one.
        event: Name of the event.
        at: Time on the clock of the recording process, in seconds. Times of different
            processes are not comparable.
        fields: Additional key-value pairs.
    """

    id: str
    predecessors: tuple[str, ...]
    event: str
    at: float = 0.0
    fields: tuple[tuple[str, str], ...] = ()


def explain_call(request_id: str) -> HttpCall:
    """Returns the call that fetches the audit records of a request from a process."""
    return HttpCall("GET", f"/explain/{quote(request_id, safe='')}")


def parse_audit_records(response: Document) -> tuple[ReceivedAuditRecord, ...]:
    """Parses the response to ``explain_call``; invalid items are skipped."""
    records = response.get("records")
    if not isinstance(records, list):
        return ()
    return tuple(
        ReceivedAuditRecord(
            id=_parse_identifier(item["id"]),
            predecessors=tuple(map(_parse_identifier, item.get("predecessors") or ())),
            event=str(item.get("event", "")),
            at=_parse_seconds(item.get("at")),
            fields=tuple(_parse_fields(item.get("fields"))),
        )
        for item in records
        if isinstance(item, dict) and "id" in item
    )


def topologically_sorted(
    records: Iterable[ReceivedAuditRecord],
) -> tuple[ReceivedAuditRecord, ...]:
    """Returns records in an order in which each one follows its predecessors.

    Unrelated records keep their given order. Duplicates and links to records that are
    not given are ignored. A cycle, which only a faulty process produces, is broken
    without losing records.
    """
    remaining = {record.id: record for record in records}
    ordered: dict[str, ReceivedAuditRecord] = {}
    for first in tuple(remaining):
        stack = [first]
        while stack:
            record = remaining.get(stack[-1])
            if record is None:
                stack.pop()
                continue
            # A predecessor on the stack closes a cycle; its link is ignored.
            pending_predecessors = [
                item
                for item in record.predecessors
                if item in remaining and item not in stack
            ]
            if pending_predecessors:
                stack.append(pending_predecessors[0])
                continue
            ordered[record.id] = remaining.pop(stack.pop())
    return tuple(ordered.values())


def missing_predecessors(records: Sequence[ReceivedAuditRecord]) -> tuple[str, ...]:
    """Returns the ids of predecessors that are not given, in order of appearance."""
    known = {record.id for record in records}
    linked = (item for record in records for item in record.predecessors)
    return tuple(dict.fromkeys(item for item in linked if item not in known))


def _parse_identifier(value: Any) -> str:
    """Parses an identifier; the parts of a list are joined by slashes."""
    if isinstance(value, list):
        return "/".join(map(str, value))
    return str(value)


def _parse_seconds(value: Any) -> float:
    return float(value) if isinstance(value, int | float) else 0.0


def _parse_fields(value: Any) -> Iterator[tuple[str, str]]:
    """Parses fields that are given as an object or as a list of pairs."""
    pairs = value.items() if isinstance(value, dict) else value or ()
    for key, item in pairs:
        yield str(key), str(item)
