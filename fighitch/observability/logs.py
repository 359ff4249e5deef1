"""Structured logs with one line of key=value pairs per event."""

import sys
from typing import Any

import logbook

from fighitch.core.effects import LogEvent

LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "{record.message}"
)
_QUOTED_CHARACTERS = frozenset(' "=')


def format_event(name: str, fields: Any) -> str:
    """Formats an event as one line.

    Args:
        name: Event name.
        fields: Pairs of key and value.
    """
    pairs = [
        f"event={name}",
        *(f"{key}={_quote_if_needed(value)}" for key, value in fields),
    ]
    return " ".join(pairs)


def _quote_if_needed(value: Any) -> str:
    text = str(value)
    if text and text.isprintable() and not _QUOTED_CHARACTERS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    if not escaped.isprintable():
        escaped = "".join(map(_escape_if_needed, escaped))
    return f'"{escaped}"'


def _escape_if_needed(character: str) -> str:
    """Escapes line ends, other control characters, and what UTF-8 can't encode."""
    if character.isprintable():
        return character
    return character.encode("unicode_escape").decode()


class EventLog:
    """Writes events to a file or standard error through logbook."""

    def __init__(self, *, instance: str, level: str = "info", path: str = "") -> None:
        """Opens the log.

        Args:
            instance: Name of this instance, included in each line.
            level: Name of the lowest level to write.
            path: File to append to; empty for standard error.
        """
        minimum_level = logbook.lookup_level(level.upper())
        logbook.set_datetime_format("utc")
        self._handler: logbook.Handler
        if path:
            self._handler = logbook.FileHandler(path, level=minimum_level)
        else:
            self._handler = logbook.StreamHandler(sys.stderr, level=minimum_level)
        self._handler.format_string = LINE_FORMAT
        self._handler.push_application()
        self._logger = logbook.Logger(instance)
        self._instance = instance

    def write(self, event: LogEvent, *, level: str = "info") -> None:
        """Writes one event."""
        fields = (("instance", self._instance), *event.fields)
        self._logger.log(level.upper(), format_event(event.name, fields))

    def event(self, name: str, *, level: str = "info", **fields: Any) -> None:
        """Writes one event given by keyword arguments."""
        self.write(LogEvent(name, tuple(fields.items())), level=level)
