"""Parser for JSON with comments that can also locate the line of a key.

Plain JSON is parsed by the standard library, which is fast enough for files with tens
of thousands of objects. Only other text is passed to the much slower JSON5 parser.
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
# json5 starts its syntax error messages with ``<string>:<line> ``.
_LINE_PREFIX = re.compile(r"^<string>:(\d+)\s*")


@dataclass(frozen=True, slots=True)
class JsonFailure:
    """Syntax error in JSON with comments.

    Attributes:
        line: Line of the error, counted from 1.
        detail: Description of the error.
    """

    line: int
    detail: str


class _DuplicateKeyError(Exception):
    """A JSON object contains the same key twice."""


def parse_commented_json(text: str) -> Result[Any, JsonFailure]:
    """Parses JSON that may contain comments and trailing commas.

    Args:
        text: Content of a file.

    Returns:
        The decoded value, or the error and its line. A duplicate key in an object is
        an error, because one of its values would otherwise be dropped silently.
    """
    try:
        return Ok(json.loads(text, object_pairs_hook=_reject_duplicate_keys))
    except _DuplicateKeyError as error:
        return Error(JsonFailure(_line_of_duplicate(text), str(error)))
    except (ValueError, RecursionError):
        return _parse_json5(text)


def line_of(text: str, path: Sequence[str | int]) -> int:
    """Returns the line, counted from 1, on which the value at a key path starts.

    Args:
        text: Text that ``parse_commented_json`` accepts.
        path: Keys and list indexes from the outermost value inwards. If no value
            exists at the path, the innermost existing value on it is located.
    """
    lines = dict(_iter_values(_tokenize(text), ()))
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
        match = _LINE_PREFIX.match(str(error))
        if match is None:
            return Error(JsonFailure(_line_of_duplicate(text), str(error)))
        detail = str(error)[match.end() :]
        return Error(JsonFailure(int(match.group(1)), detail))


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    unique = dict(pairs)
    if len(unique) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        # The text is the one that json5 uses for the same error.
        raise _DuplicateKeyError(f'Duplicate key "{duplicate}" found in object')
    return unique


def _line_of_duplicate(text: str) -> int:
    """Returns the line of the first duplicate key; 1 if none is found."""
    seen = set()
    for path, line in _iter_values(_tokenize(text), ()):
        if path in seen:
            return line
        seen.add(path)
    return 1


def _tokenize(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    for match in _TOKEN.finditer(text):
        if match.lastgroup != "skip":
            yield match.group(), line
        line += match.group().count("\n")


def _iter_values(
    tokens: Iterator[tuple[str, int]], path: KeyPath
) -> Iterator[tuple[KeyPath, int]]:
    """Yields the key path and line of the next value and of the values inside it."""
    token, line = next(tokens, ("", 0))
    if not token:
        return
    yield path, line
    if token == "{":
        yield from _iter_object(tokens, path)
    elif token == "[":
        yield from _iter_array(tokens, path)


def _iter_object(
    tokens: Iterator[tuple[str, int]], path: KeyPath
) -> Iterator[tuple[KeyPath, int]]:
    for token, _ in tokens:
        if token == "}":
            return
        if token == ",":
            continue
        # Skips the colon after the key.
        next(tokens, None)
        yield from _iter_values(tokens, (*path, token.strip("\"'")))


def _iter_array(
    tokens: Iterator[tuple[str, int]], path: KeyPath
) -> Iterator[tuple[KeyPath, int]]:
    index = 0
    for first in tokens:
        if first[0] == "]":
            return
        if first[0] == ",":
            continue
        yield from _iter_values(chain([first], tokens), (*path, index))
        index += 1
