"""Splits an event stream at the ends of its events."""

_SEPARATOR = b"\n\n"
# An event larger than this is forwarded in parts; it could not be resumed anyway.
_LARGEST_EVENT = 1_048_576


class EventBuffer:
    """Holds back the beginning of an event until the event is complete."""

    def __init__(self) -> None:
        self._rest = b""
        self._last_id = ""

    @property
    def last_id(self) -> str:
        """Id of the last complete event; empty for none."""
        return self._last_id

    @property
    def has_partial_event(self) -> bool:
        """Whether the beginning of an event is held back."""
        return bool(self._rest)

    def drop_partial_event(self) -> None:
        """Drops the beginning of an event that will not be completed."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Takes bytes and returns all complete events."""
        data = self._rest + data if self._rest else data
        end = data.rfind(_SEPARATOR)
        if end < 0 and len(data) <= _LARGEST_EVENT:
            self._rest = data
            return b""
        end = len(data) if end < 0 else end + len(_SEPARATOR)
        self._rest = data[end:]
        events = data[:end]
        self._note_last_id(events)
        return events

    def _note_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\nid:")
        if start >= 0:
            start += 4
        elif events.startswith(b"id:"):
            start = 3
        else:
            return
        line = events[start : events.find(b"\n", start)]
        self._last_id = line.strip().decode("latin-1")
