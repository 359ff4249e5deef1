"""Codec of the quarantined prompt parts that are kept in the platform's store."""

import msgspec
import xxhash

from fighitch.core.gateway.crash_evidence import PartGroup
from fighitch.core.gateway.quarantine import StoredQuarantine
from fighitch.platform.decoding import UnixMilliseconds, decode

# A kind of this project's own. Operators list its objects to see what is quarantined,
# and delete one to admit its parts again.
QUARANTINE_KIND = "prompt-quarantines"


class _Quarantine(msgspec.Struct):
    """Content of an object; ``until_ms`` is the Unix time of its end, in ms."""

    parts: list[str]
    until_ms: UnixMilliseconds


def quarantine_name(parts: PartGroup) -> str:
    """Returns the name of the object for a group of parts."""
    return xxhash.xxh3_64_hexdigest(",".join(sorted(parts)).encode())


def encode_quarantine(stored: StoredQuarantine) -> dict[str, object]:
    """Returns the content of the object for a group of parts."""
    return {"parts": sorted(stored.parts), "until_ms": stored.until_ms}


def decode_quarantine(content: msgspec.Raw) -> StoredQuarantine:
    """Decodes the content of an object.

    Raises:
        msgspec.DecodeError: If it is not a quarantine of at least one part.
    """
    decoded = decode(content, _Quarantine)
    if not decoded.parts:
        raise msgspec.ValidationError("parts is empty; expected one part or more")
    return StoredQuarantine(frozenset(decoded.parts), decoded.until_ms)
