"""Finds errors in settings and describes the allowed values.

The module is independent of particular settings classes; the rules are derived from the
types of their fields.
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
    """Describes an invalid value in settings.

    Attributes:
        path: Keys and list indexes that lead to the value.
        problem: Invalid value and the reason.
        allowed: Description of the allowed values.
    """

    path: KeyPath
    problem: str
    allowed: str


def find_format_problems(settings: msgspec.Struct, path: KeyPath) -> Iterator[Problem]:
    """Yields a problem for each string that does not match its format."""
    hints = get_type_hints(settings.__class__, include_extras=True)
    for name, hint in hints.items():
        value = getattr(settings, name)
        yield from _find_value_problems(value, types.type_info(hint), (*path, name))


def _find_value_problems(
    value: Any, info: types.Type, path: KeyPath
) -> Iterator[Problem]:
    if isinstance(value, msgspec.Struct):
        yield from find_format_problems(value, path)
    elif isinstance(value, tuple):
        tuple_info = info.type if isinstance(info, types.Metadata) else info
        item_info = getattr(tuple_info, "item_type", types.AnyType())
        for index, item in enumerate(value):
            yield from _find_value_problems(item, item_info, (*path, index))
    elif isinstance(info, types.Metadata) and info.extra:
        kind = info.extra["format"]
        if not has_format(value, kind):
            value_text = _format_value(path, value)
            yield Problem(path, f"{value_text} has an invalid format", kind.value)


# --- Allowed values ---


def allowed_values(type: type, key: str) -> str:
    """Describes the values that a key of a settings class may have."""
    return _describe_type(
        types.type_info(get_type_hints(type, include_extras=True)[key])
    )


def _describe_type(info: types.Type) -> str:
    match info:
        case types.Metadata(extra={"format": kind}):
            return str(kind.value)
        case types.Metadata():
            return _describe_type(info.type)
        case types.BoolType():
            return "true or false"
        case types.LiteralType():
            return ", ".join(f"'{value}'" for value in info.values)
        case types.VarTupleType():
            minimum = (
                f" with at least {info.min_length} item" if info.min_length else ""
            )
            return f"a list{minimum}, each item: {_describe_type(info.item_type)}"
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


# --- Errors reported by msgspec ---

_ERROR_MESSAGE = re.compile(
    r"^(?P<text>.*?)(?: - at `(?:key in )?\$(?P<path>[^`]*)`)?$", re.DOTALL
)
_PATH_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")
_FIELD_ERROR = re.compile(r"^Object (contains unknown|missing required) field `(.*)`$")


def problem_from_validation_error(
    error: msgspec.ValidationError, document: Any, type: type
) -> Problem:
    """Converts a validation error of msgspec into a problem.

    Args:
        error: Validation error; its message ends with the path of the value.
        document: Decoded JSON that failed the conversion.
        type: Settings class of the conversion.
    """
    message_match = _ERROR_MESSAGE.match(str(error))
    text = message_match["text"] if message_match else str(error)
    path = _parse_path(message_match["path"] or "") if message_match else ()
    info = _type_at(types.type_info(type), path)
    field_error = _FIELD_ERROR.match(text)
    if field_error is None:
        value_text = _format_value(path, _value_at(document, path))
        return Problem(path, f"{value_text} is not allowed", _describe_type(info))
    name = field_error.group(2)
    if field_error.group(1) == "contains unknown":
        return Problem((*path, name), "unknown key", _describe_type(info))
    field = _type_at(info, (name,))
    return Problem((*path, name), "missing", _describe_type(field))


def _parse_path(text: str) -> KeyPath:
    return tuple(key or int(index) for key, index in _PATH_STEP.findall(text))


def _type_at(info: types.Type, path: KeyPath) -> types.Type:
    if isinstance(info, types.Metadata) and path:
        return _type_at(info.type, path)
    if isinstance(info, types.StructType) and path:
        fields = {field.name: field.type for field in info.fields}
        return _type_at(fields.get(str(path[0]), types.AnyType()), path[1:])
    if isinstance(info, types.VarTupleType) and path:
        return _type_at(info.item_type, path[1:])
    return info


def _value_at(document: Any, path: KeyPath) -> Any:
    for step in path:
        document = document[step]
    return document


def _format_value(path: KeyPath, value: Any) -> str:
    """Formats a value for an error message; secrets are redacted."""
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


def format_key_path(path: KeyPath) -> str:
    """Formats a key path, such as ``shared_keys[0].key_id``."""
    parts = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
    return "".join(parts).removeprefix(".")
