"""Reading objects from files."""

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
    """Returns the objects of several files, all of them checked.

    Args:
        paths: Files with one object, a list or an array each.

    Raises:
        CommandError: If one cannot be used, with file and line.
    """
    documents = [
        item for path in paths for item in parse_documents(path, read_text(path))
    ]
    names = [(item["kind"], item["metadata"]["name"]) for item in documents]
    twice = next((name for name in names if names.count(name) > 1), None)
    if twice:
        raise CommandError(ExitCode.INVALID, f"{twice[0]} {twice[1]!r} is given twice")
    return documents


def parse_documents(path: str, text: str) -> Iterator[Document]:
    """Yields the objects in the text of a file.

    Raises:
        CommandError: If one cannot be used, with file and line.
    """
    parsed = parse_commented_json(text)
    if parsed.is_error():
        fault = parsed.error
        raise CommandError(ExitCode.INVALID, f"{path}:{fault.line}: {fault.detail}")
    for place, document in _items(parsed.ok, ()):
        fault_text = _fault(document)
        if fault_text:
            line = line_of(text, place)
            raise CommandError(ExitCode.INVALID, f"{path}:{line}: {fault_text}")
        yield document


def _items(value: Any, place: KeyPath) -> Iterator[tuple[KeyPath, Any]]:
    if isinstance(value, list):
        for index, item in enumerate(value):
            yield from _items(item, (*place, index))
    elif isinstance(value, dict) and isinstance(value.get("items"), list):
        yield from _items(value["items"], (*place, "items"))
    else:
        yield place, value


def _fault(document: Any) -> str:
    if not isinstance(document, dict):
        return f"{document!r} is not an object, a List or an array of objects"
    if not isinstance(document.get("metadata"), dict):
        return "metadata is missing; it must be an object with a name"
    parsed = parse_resource(document)
    return parsed.error.detail if parsed.is_error() else ""
