"""Splits an event stream into complete events and checks their order."""

# Lines end with LF or CRLF, and a blank line ends an event.
_SEPARATORS = (b"\n\n", b"\n\r\n")
_MAX_SEPARATOR_BYTES = 3
# A larger event is forwarded in parts. Events hold a few tokens, but a faulty server
# may send endless ones on all of its connections, which can be hundreds.
_MAX_EVENT_BYTES = 65_536


class EventBuffer:
    """Buffers a partial event until the event is complete.

    A stream may take several runs. Each run but the first has to continue after the
    last complete event of the runs before it.
    """

    def __init__(self, resume_after: str = "") -> None:
        """Creates a buffer for a stream.

        Args:
            resume_after: Id of the last event that the caller received earlier; empty
                for none.
        """
        self._partial = b""
        self._last_id = resume_after
        self._has_new_event = False
        self._can_resume = True
        self._is_out_of_order = False
        self._awaits_continuation = bool(resume_after)
        # Whether the latest event was returned in part only.
        self._is_inside_event = False
        self._run_has_event = False
        # Whether an earlier run had begun an event that the caller does not have.
        self._has_lost_event = False

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
        """Whether the received bytes end inside an event."""
        return bool(self._partial) or self._is_inside_event

    @property
    def can_resume(self) -> bool:
        """Whether another run can continue after the events returned so far."""
        return self._can_resume

    @property
    def is_out_of_order(self) -> bool:
        """Whether the current run does not continue after the last event."""
        return self._is_out_of_order

    def start_run(self) -> None:
        """Starts another run; the remainder of a partial event will not arrive."""
        is_in_order = not (self._awaits_continuation or self._is_out_of_order)
        if is_in_order and not _is_comment(self._partial):
            self._has_lost_event = True
        self._partial = b""
        self._run_has_event = False
        self._is_out_of_order = False
        self._awaits_continuation = bool(self._last_id)

    def may_end(self, *, is_framed: bool) -> bool:
        """Returns whether a stream can be complete if its current run ends here.

        Args:
            is_framed: Whether the end differs from that of a crashed server's
                connection.
        """
        if self.has_partial_event:
            return False
        if self._run_has_event:
            return True
        # Only a run that continues a stream may have no further event.
        return is_framed and bool(self._last_id) and not self._has_lost_event

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes of the current run and returns all complete events.

        Returns:
            The events; nothing of a run that is out of order.
        """
        self._has_new_event = False
        data = self._partial + data if self._partial else data
        end = _end_of_events(data)
        if not end and len(data) <= _MAX_EVENT_BYTES:
            self._partial = data
            return b""
        is_cut = not end
        # The first bytes of a separator may be at the end of a part.
        end = end or len(data) - _MAX_SEPARATOR_BYTES + 1
        self._partial = data[end:]
        events = data[:end]
        return events if self._accept(events, is_cut=is_cut) else b""

    def _accept(self, events: bytes, *, is_cut: bool) -> bool:
        """Records events; returns whether they follow the last one.

        Args:
            events: Whole events, or a part of one.
            is_cut: Whether the last event continues after these bytes.
        """
        if b"\r" in events:
            events = events.replace(b"\r\n", b"\n")
        blocks = events.split(b"\n\n")
        if self._is_inside_event:
            self._has_new_event = True
            del blocks[0]
        blocks = [block for block in blocks if block]
        if self._awaits_continuation:
            self._check_order(blocks)
        if self._is_out_of_order:
            return False
        ids = [_event_id(block) for block in blocks if _is_event(block)]
        if ids:
            self._has_new_event = self._run_has_event = True
            self._has_lost_event = False
            # Another run would send an event without an id again.
            self._can_resume = bool(ids[-1])
            self._last_id = ids[-1] or next(filter(None, reversed(ids)), self._last_id)
        self._is_inside_event = is_cut
        if is_cut:
            self._can_resume = False
        return True

    def _check_order(self, blocks: list[bytes]) -> None:
        """Compares the first block that is no comment with the last event."""
        first = next((block for block in blocks if not _is_comment(block)), None)
        if first is None:
            return
        self._awaits_continuation = False
        self._is_out_of_order = not _follows(_event_id(first), self._last_id)


def _end_of_events(data: bytes) -> int:
    """Returns the position after the last complete event; 0 for none."""
    if data.endswith(_SEPARATORS):
        return len(data)
    ends = [
        position + len(separator)
        for separator in _SEPARATORS
        if (position := data.rfind(separator)) >= 0
    ]
    return max(ends, default=0)


def _is_event(block: bytes) -> bool:
    return _has_field(block, b"data") or _has_field(block, b"id")


def _has_field(block: bytes, name: bytes) -> bool:
    return block.startswith(name) or b"\n" + name in block


def _is_comment(block: bytes) -> bool:
    lines = filter(None, block.splitlines())
    return all(line.startswith((b":", b"retry:")) for line in lines)


def _event_id(block: bytes) -> str:
    """Returns the id of an event; empty if it has none."""
    if block.startswith(b"id:"):
        start = 0
    else:
        start = block.rfind(b"\nid:") + 1
        if not start:
            return ""
    line = block[start:].partition(b"\n")[0]
    return line.removeprefix(b"id:").strip().decode("latin-1")


def _follows(event_id: str, last_id: str) -> bool:
    """Returns whether an event can come after another one.

    Ids increase, but not necessarily by one. The order of ids that are no numbers is
    not known.
    """
    if event_id.isdecimal() and last_id.isdecimal():
        return _magnitude(event_id) > _magnitude(last_id)
    return event_id not in ("", last_id)


def _magnitude(number: str) -> tuple[int, str]:
    """Returns a key that orders decimal numbers of any length."""
    digits = number.lstrip("0")
    return len(digits), digits
