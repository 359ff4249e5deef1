"""Faults in settings: finding them and saying what is allowed.

Nothing here knows a particular settings class; the rules come from the types of its
fields.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, get_type_hints

import msgspec
from msgspec import inspect as types

from fighitch.core.commented_json import KeyPath
from fighitch.settings_formats import has_format

REDACTED = "(not shown)"
_SECRET_KEYS = frozenset({"shared_keys", "operator_key"})


@dataclass(frozen=True, slots=True)
class Problem:
    """A fault in settings.

    Attributes:
        path: Keys and list indexes that lead to the value.
        problem: The bad value and what is wrong with it.
        allowed: What is allowed.
    """

    path: KeyPath
    problem: str
    allowed: str


def format_problems(settings: msgspec.Struct, path: KeyPath) -> Iterator[Problem]:
    """Yields the strings of a settings object that do not have their format."""
    hints = get_type_hints(settings.__class__, include_extras=True)
    for name, hint in hints.items():
        value = getattr(settings, name)
        yield from _value_problems(value, types.type_info(hint), (*path, name))


def _value_problems(value: Any, info: types.Type, path: KeyPath) -> Iterator[Problem]:
    if isinstance(value, msgspec.Struct):
        yield from format_problems(value, path)
    elif isinstance(value, tuple):
        tuple_info = info.type if isinstance(info, types.Metadata) else info
        item_info = getattr(tuple_info, "item_type", types.AnyType())
        for index, item in enumerate(value):
            yield from _value_problems(item, item_info, (*path, index))
    elif isinstance(info, types.Metadata) and info.extra:
        kind = info.extra["format"]
        if not has_format(value, kind):
            shown = _shown(path, value)
            yield Problem(path, f"{shown} has the wrong form", kind.value)


# --- What is allowed ---


def allowed_values(type: type, key: str) -> str:
    """Describes the values that a key of a settings class may have."""
    return _describe(types.type_info(get_type_hints(type, include_extras=True)[key]))


def _describe(info: types.Type) -> str:
    match info:
        case types.Metadata(extra={"format": kind}):
            return str(kind.value)
        case types.Metadata():
            return _describe(info.type)
        case types.BoolType():
            return "true or false"
        case types.LiteralType():
            return ", ".join(f"'{value}'" for value in info.values)
        case types.VarTupleType():
            least = f" with at least {info.min_length} item" if info.min_length else ""
            return f"a list{least}, each item: {_describe(info.item_type)}"
        case types.StructType():
            names = ", ".join(f"'{field.name}'" for field in info.fields)
            return f"an object with the keys {names}"
        case types.IntType() | types.FloatType():
            return _describe_number(info)
    return "a string"


def _describe_number(info: types.IntType | types.FloatType) -> str:
    noun = "an integer" if isinstance(info, types.IntType) else "a number"
    bounds = (("above", info.gt), ("at least", info.ge), ("at most", info.le))
    limits = [
        f"{word} {value:g}" if value < 1_000 else f"{word} {value}"
        for word, value in bounds
        if value is not None
    ]
    return " ".join([noun, " and ".join(limits)]).strip()


# --- Faults reported by msgspec ---

_AT = re.compile(
    r"^(?P<text>.*?)(?: - at `(?:key in )?\$(?P<path>[^`]*)`)?$", re.DOTALL
)
_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")
_FIELD_FAULT = re.compile(r"^Object (contains unknown|missing required) field `(.*)`$")


def conversion_problem(
    error: msgspec.ValidationError, document: Any, type: type
) -> Problem:
    """Translates a fault found by msgspec.

    Args:
        error: The fault.
        document: Decoded JSON that was converted.
        type: Settings class that it was converted to.
    """
    found = _AT.match(str(error))
    text = found["text"] if found else str(error)
    path = _steps(found["path"] or "") if found else ()
    info = _info_at(types.type_info(type), path)
    fault = _FIELD_FAULT.match(text)
    if fault is None:
        shown = _shown(path, _value_at(document, path))
        return Problem(path, f"{shown} is not allowed", _describe(info))
    name = fault.group(2)
    if fault.group(1) == "contains unknown":
        return Problem((*path, name), "unknown key", _describe(info))
    field = _info_at(info, (name,))
    return Problem((*path, name), "missing", _describe(field))


def _steps(text: str) -> KeyPath:
    return tuple(key or int(index) for key, index in _STEP.findall(text))


def _info_at(info: types.Type, path: KeyPath) -> types.Type:
    if isinstance(info, types.Metadata) and path:
        return _info_at(info.type, path)
    if isinstance(info, types.StructType) and path:
        fields = {field.name: field.type for field in info.fields}
        return _info_at(fields.get(str(path[0]), types.AnyType()), path[1:])
    if isinstance(info, types.VarTupleType) and path:
        return _info_at(info.item_type, path[1:])
    return info


def _value_at(document: Any, path: KeyPath) -> Any:
    for step in path:
        document = document[step]
    return document


def _shown(path: KeyPath, value: Any) -> str:
    if not _SECRET_KEYS.isdisjoint(path) and path[-1] != "key_id":
        return REDACTED
    match value:
        case dict():
            return "an object"
        case list():
            return "a list"
        case bool() | None:
            return str(value).lower().replace("none", "null")
    return repr(value)


def dotted(path: KeyPath) -> str:
    """Returns a key path as text, such as ``shared_keys[0].key_id``."""
    parts = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
    return "".join(parts).removeprefix(".")
