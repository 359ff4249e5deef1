"""Message connection between a gateway entry and an engine agent."""

import socket
from collections import deque
from collections.abc import Callable

from fighitch.core.gateway.memory_budget import RefusalReason
from fighitch.gateway.peer_messages import (
    MAX_FIRST_MESSAGE_BYTES,
    MAX_MESSAGE_BYTES,
    BadMessageError,
    Message,
    MessageReader,
    encode,
)
from fighitch.runtime.caller_memory import CallerMemory
from fighitch.runtime.event_loop import READ, WRITE, EventLoop
from fighitch.runtime.sockets import set_stream_options
from fighitch.types import Seconds

_READ_SIZE = 65_536
# A connection with more unsent data is closed: its peer counts as unresponsive.
_MAX_SEND_BUFFER_BYTES = 4_194_304
# Messages of a peer that an agent handles before others have their turn. A request for
# admission looks at the whole queue of the engine.
_MESSAGES_PER_TURN = 16
# Entries send their first message as soon as they are connected.
_IDENTIFICATION_TIMEOUT: Seconds = 5.0


class PeerConnection:
    """Sends and receives messages over a stream socket."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        *,
        on_message: Callable[["PeerConnection", Message], None],
        on_closed: Callable[["PeerConnection", str], None],
        connected: bool = True,
        memory: CallerMemory | None = None,
    ) -> None:
        """Starts to read from the socket.

        Args:
            loop: Event loop that watches the socket.
            sock: Connected or connecting socket.
            on_message: Called with each received message.
            on_closed: Called once, with the reason, when the connection closes.
            connected: Whether the socket is already connected.
            memory: Memory of all peers that connect to the process, which must identify
                themselves; None on the side that connects.
        """
        set_stream_options(sock)
        # Number that an agent gives to the connection; entries do not use it.
        self.number = 0
        self.last_received_at: Seconds = loop.now()
        self._loop = loop
        self._sock = sock
        self._on_message = on_message
        self._on_closed = on_closed
        self._connected = connected
        self._memory = memory
        self._holding = None if memory is None else memory.open(self)
        is_accepted = memory is not None
        self._reader = MessageReader(
            MAX_FIRST_MESSAGE_BYTES if is_accepted else MAX_MESSAGE_BYTES
        )
        self.is_identified = not is_accepted
        if is_accepted:
            loop.call_later(_IDENTIFICATION_TIMEOUT, self._close_if_unidentified)
        # Those of a peer that connected wait for its next turn.
        self._unhandled: deque[Message] = deque()
        self._send_buffer = bytearray()
        self._watched_events = 0
        self._closed = False
        self._flush_scheduled = False
        self._is_overflowing = False
        self._update_watch()

    def send(self, message: Message) -> None:
        """Queues a message; messages of one loop iteration share a system call.

        The connection does not close before the call returns, so that a sender is not
        called back within it.
        """
        if self._closed or self._is_overflowing:
            return
        self._send_buffer += encode(message)
        if len(self._send_buffer) > _MAX_SEND_BUFFER_BYTES:
            self._is_overflowing = True
            self._loop.call_later(0, lambda: self.close("peer_reads_too_slowly"))
            return
        self._record_memory()
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_later(0, self._run_scheduled_flush)

    def close(self, reason: str) -> None:
        """Closes the connection; further calls have no effect."""
        if self._closed:
            return
        self._closed = True
        self._unhandled.clear()
        self._loop.forget(self._sock)
        self._sock.close()
        if self._memory is not None and self._holding is not None:
            self._memory.close(self._holding)
        self._on_closed(self, reason)

    def on_room(self) -> None:
        """Has no effect, as no message waits for room."""

    def refuse(self, reason: RefusalReason) -> None:
        """Closes the connection to free its memory."""
        self.close(f"memory_{reason.value}")

    def _close_if_unidentified(self) -> None:
        if not self.is_identified:
            self.close("unidentified")

    def _record_memory(self, taken: int = 0) -> None:
        memory, holding = self._memory, self._holding
        if memory is None or holding is None:
            return
        now = self._loop.now()
        memory.budget.record_request(holding, self._reader.buffered, now)
        memory.budget.record_response(holding, len(self._send_buffer), now, taken=taken)
        memory.watch()

    def _update_watch(self) -> None:
        if self._closed:
            return
        wants_write = bool(self._send_buffer) or not self._connected
        events = (WRITE if wants_write else 0) | (0 if self._unhandled else READ)
        if events != self._watched_events:
            self._watched_events = events
            is_accepted = self._memory is not None
            self._loop.watch(
                self._sock, events, self._on_events, is_deferrable=is_accepted
            )

    def _on_events(self, events: int) -> None:
        if events & WRITE:
            if not self._connected:
                error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    self.close("unreachable")
                    return
                self._connected = True
            self._flush()
            self._update_watch()
        if events & READ and not self._closed:
            self._read()

    def _run_scheduled_flush(self) -> None:
        self._flush_scheduled = False
        if self._closed or not self._connected:
            return
        self._flush()
        if self._send_buffer:
            self._update_watch()

    def _flush(self) -> None:
        if not self._send_buffer or self._closed:
            return
        try:
            count = self._sock.send(self._send_buffer)
        except BlockingIOError:
            return
        except OSError:
            self.close("reset")
            return
        del self._send_buffer[:count]
        self._record_memory(count)

    def _read(self) -> None:
        try:
            data = self._sock.recv(_READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            self.close("reset")
            return
        if not data:
            self.close("ended")
            return
        try:
            self._unhandled.extend(self._reader.feed(data))
        except BadMessageError:
            self.close("bad_message")
            return
        self._record_memory()
        self._handle_messages()

    def _handle_messages(self) -> None:
        """Handles what was received, all of it or as much as one turn allows."""
        if self._closed:
            return
        self.last_received_at = self._loop.now()
        count = len(self._unhandled)
        if self._memory is not None:
            count = min(count, _MESSAGES_PER_TURN)
        try:
            for _ in range(count):
                self.is_identified = True
                self._on_message(self, self._unhandled.popleft())
                if self._closed:
                    return
        finally:
            if self._unhandled:
                self._loop.defer(self._handle_messages)
            self._update_watch()
