"""JSON with comments: reading it and finding the line of a key.

Plain JSON goes through the standard library, which is fast enough for a file with tens
of thousands of objects; only a text that is not plain JSON takes the slow JSON5 parser.
"""

import json
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import chain
from typing import Any, TypeAlias

import json5
from expression import Error, Ok, Result

KeyPath: TypeAlias = tuple[str | int, ...]

_TOKEN = re.compile(
    r"""(?P<skip>//[^\n]*|/\*.*?\*/|\s+)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/]+|.)""",
    re.DOTALL | re.VERBOSE,
)
_LINE_IN_MESSAGE = re.compile(r"^<string>:(\d+)\s*")


@dataclass(frozen=True, slots=True)
class JsonFailure:
    """Text that is not JSON with comments.

    Attributes:
        line: Line of the fault, counted from 1.
        detail: What is wrong.
    """

    line: int
    detail: str


class _DuplicateKeyError(Exception):
    """An object names a key twice."""


def parse_commented_json(text: str) -> Result[Any, JsonFailure]:
    """Parses JSON in which comments and trailing commas are allowed.

    Args:
        text: Content of a file.

    Returns:
        The decoded value, or the line and the fault. A key that appears twice in one
        object is a fault, because one of the two values would be dropped silently.
    """
    try:
        return Ok(json.loads(text, object_pairs_hook=_unique))
    except _DuplicateKeyError as error:
        return Error(JsonFailure(_line_of_duplicate(text), str(error)))
    except (ValueError, RecursionError):
        return _parse_json5(text)


def line_of(text: str, path: Sequence[str | int]) -> int:
    """Returns the line, counted from 1, on which the value at a key path starts.

    Args:
        text: Text that ``parse_commented_json`` accepts.
        path: Keys and list indexes from the outermost value inwards; the line of the
            innermost value that exists is returned if the path leads further.
    """
    lines = dict(_walk(_tokens(text), ()))
    path = tuple(path)
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def _parse_json5(text: str) -> Result[Any, JsonFailure]:
    try:
        return Ok(json5.loads(text, allow_duplicate_keys=False))
    except RecursionError:
        return Error(JsonFailure(1, "is nested too deeply"))
    except ValueError as error:
        found = _LINE_IN_MESSAGE.match(str(error))
        if found is None:
            return Error(JsonFailure(_line_of_duplicate(text), str(error)))
        detail = str(error)[found.end() :]
        return Error(JsonFailure(int(found.group(1)), detail))


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    unique = dict(pairs)
    if len(unique) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise _DuplicateKeyError(f'Duplicate key "{twice}" found in object')
    return unique


def _line_of_duplicate(text: str) -> int:
    seen = set()
    for path, line in _walk(_tokens(text), ()):
        if path in seen:
            return line
        seen.add(path)
    return 1


def _tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    for found in _TOKEN.finditer(text):
        if found.lastgroup != "skip":
            yield found.group(), line
        line += found.group().count("\n")


def _walk(
    tokens: Iterator[tuple[str, int]], path: KeyPath
) -> Iterator[tuple[KeyPath, int]]:
    token, line = next(tokens, ("", 0))
    if not token:
        return
    yield path, line
    if token == "{":
        yield from _walk_object(tokens, path)
    elif token == "[":
        yield from _walk_array(tokens, path)


def _walk_object(
    tokens: Iterator[tuple[str, int]], path: KeyPath
) -> Iterator[tuple[KeyPath, int]]:
    for token, _ in tokens:
        if token == "}":
            return
        if token == ",":
            continue
        next(tokens, None)
        yield from _walk(tokens, (*path, token.strip("\"'")))


def _walk_array(
    tokens: Iterator[tuple[str, int]], path: KeyPath
) -> Iterator[tuple[KeyPath, int]]:
    index = 0
    for first in tokens:
        if first[0] == "]":
            return
        if first[0] == ",":
            continue
        yield from _walk(chain([first], tokens), (*path, index))
        index += 1
