"""Reads and validates objects from files."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.core.commented_json import KeyPath, line_of, parse_commented_json
from fighitch.core.object_api import Document
from fighitch.core.resources import parse_resource

STANDARD_INPUT = "-"


def read_text(path: str) -> str:
    """Returns the text of a file, or of standard input for ``-``.

    Raises:
        CommandError: If it cannot be read.
    """
    try:
        if path == STANDARD_INPUT:
            return sys.stdin.read()
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: cannot be read: {error}"
        raise CommandError(ExitCode.INVALID, message) from None


def read_documents(paths: Iterable[str]) -> list[Document]:
    """Returns the validated objects of several files.

    Args:
        paths: Files, each with one object, a List or an array.

    Raises:
        CommandError: If an object is invalid, with file and line, or is given twice.
    """
    documents = [
        item for path in paths for item in parse_documents(path, read_text(path))
    ]
    names = [(item["kind"], item["metadata"]["name"]) for item in documents]
    duplicate = next((name for name in names if names.count(name) > 1), None)
    if duplicate:
        raise CommandError(
            ExitCode.INVALID, f"{duplicate[0]} {duplicate[1]!r} is given twice"
        )
    return documents


def parse_documents(path: str, text: str) -> Iterator[Document]:
    """Yields the validated objects of a file's text.

    Raises:
        CommandError: If the text or an object is invalid, with file and line.
    """
    parsed = parse_commented_json(text)
    if parsed.is_error():
        syntax_error = parsed.error
        raise CommandError(
            ExitCode.INVALID, f"{path}:{syntax_error.line}: {syntax_error.detail}"
        )
    for key_path, document in _iter_objects(parsed.ok, ()):
        problem = _find_error(document)
        if problem:
            line = line_of(text, key_path)
            raise CommandError(ExitCode.INVALID, f"{path}:{line}: {problem}")
        yield document


def _iter_objects(value: Any, key_path: KeyPath) -> Iterator[tuple[KeyPath, Any]]:
    """Yields the objects of a decoded file with their key paths."""
    if isinstance(value, list):
        for index, item in enumerate(value):
            yield from _iter_objects(item, (*key_path, index))
    elif isinstance(value, dict) and isinstance(value.get("items"), list):
        yield from _iter_objects(value["items"], (*key_path, "items"))
    else:
        yield key_path, value


def _find_error(document: Any) -> str:
    """Returns why an object is invalid; empty if it is valid."""
    if not isinstance(document, dict):
        return f"{document!r} is not an object, a List or an array of objects"
    if not isinstance(document.get("metadata"), dict):
        return "metadata is missing; it must be an object with a name"
    parsed = parse_resource(document)
    return parsed.error.detail if parsed.is_error() else ""
