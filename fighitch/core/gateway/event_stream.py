"""Splits an event stream into complete events."""

_SEPARATOR = b"\n\n"
# A larger event is forwarded in parts; a stream that breaks within it can't be resumed
# anyway.
_MAX_EVENT_BYTES = 1_048_576


class EventBuffer:
    """Buffers a partial event until the event is complete."""

    def __init__(self) -> None:
        self._partial = b""
        self._last_id = ""
        self._has_new_event = False

    @property
    def has_new_event(self) -> bool:
        """Whether the latest bytes completed an event, rather than only comments."""
        return self._has_new_event

    @property
    def last_id(self) -> str:
        """Id of the last complete event; empty if no event had one."""
        return self._last_id

    @property
    def has_partial_event(self) -> bool:
        """Whether a partial event is buffered."""
        return bool(self._partial)

    def drop_partial_event(self) -> None:
        """Drops a partial event whose remainder will not arrive."""
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes and returns all complete events."""
        self._has_new_event = False
        data = self._partial + data if self._partial else data
        end = data.rfind(_SEPARATOR)
        if end < 0 and len(data) <= _MAX_EVENT_BYTES:
            self._partial = data
            return b""
        end = len(data) if end < 0 else end + len(_SEPARATOR)
        self._partial = data[end:]
        events = data[:end]
        self._has_new_event = _has_field(events, b"data") or _has_field(events, b"id")
        self._update_last_id(events)
        return events

    def _update_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\nid:")
        if start >= 0:
            start += 4
        elif events.startswith(b"id:"):
            start = 3
        else:
            return
        line = events[start : events.find(b"\n", start)]
        self._last_id = line.strip().decode("latin-1")


def _has_field(events: bytes, name: bytes) -> bool:
    return events.startswith(name) or b"\n" + name in events
