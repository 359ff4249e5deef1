"""Client side of HTTP/1.1 on the event loop: one exchange at a time on a connection.

Every byte of a connection is accounted for: bytes that arrive when no answer is due
close it, and an answer with the id of another request is skipped.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import httptools

from fighitch.runtime.event_loop import READ, WRITE, EventLoop, Timer
from fighitch.runtime.sockets import open_stream
from fighitch.types import Headers, Seconds

_CHUNK = 65_536
_CONNECT_TIMEOUT: Seconds = 0.6
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_FIRST_FINAL_STATUS = 200
# Late answers of earlier requests that may precede the awaited one.
_MAX_FOREIGN_ANSWERS = 2


class FailureKind(Enum):
    """Why an exchange has no complete answer."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    CLOSED = "closed"
    BAD_ANSWER = "bad_answer"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """An exchange without a complete answer.

    Attributes:
        kind: What happened.
        sent: Whether any byte of the request may have reached the server.
    """

    kind: FailureKind
    sent: bool


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers of an answer."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of a header, given its name in lowercase."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Receiver(Protocol):
    """Owner of an exchange."""

    def on_head(self, head: ResponseHead) -> None:
        """Called with the head of the answer."""

    def on_body(self, data: bytes) -> None:
        """Called with a piece of the body."""

    def on_complete(self) -> None:
        """Called once after the whole answer."""

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Called once if there will be no complete answer."""


class HttpConnection:
    """A connection to a server."""

    def __init__(
        self,
        loop: EventLoop,
        host: str,
        port: int,
        *,
        on_idle: Callable[["HttpConnection"], None] | None = None,
        on_closed: Callable[["HttpConnection"], None] | None = None,
        connect_timeout: Seconds = _CONNECT_TIMEOUT,
    ) -> None:
        """Starts to connect.

        Args:
            loop: Calls this connection.
            host: IP address of the server.
            port: TCP port of the server.
            on_idle: Called when the connection can take another exchange.
            on_closed: Called once when it can't be used any more.
            connect_timeout: Longest time to connect.
        """
        self.host = host
        self.port = port
        self.idle_since: Seconds = loop.now()
        self.keep_alive: Seconds | None = None
        self._loop = loop
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._receiver: Receiver | None = None
        self._expected_id: bytes | None = None
        self._out = b""
        self._wrote = False
        self._connected = False
        self._closed = False
        self._reading = True
        self._awaited = 0
        self._foreign = 0
        self._is_head_request = False
        self._sock = open_stream()
        self._timer: Timer | None = loop.call_later(connect_timeout, self._timed_out)
        self._reset_parser()
        try:
            self._sock.connect((host, port))
        except BlockingIOError:
            pass
        except OSError:
            loop.call_later(0, lambda: self._fail(FailureKind.UNREACHABLE))
            return
        self._watch()

    @property
    def closed(self) -> bool:
        """Whether the connection can't be used any more."""
        return self._closed

    @property
    def busy(self) -> bool:
        """Whether an exchange is under way."""
        return self._receiver is not None

    def usable(self) -> bool:
        """Whether another exchange may start: open, idle, and no byte is waiting."""
        if self._closed or self.busy or not self._connected:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        self.close()
        return False

    def send(
        self, request: bytes, receiver: Receiver, *, expected_id: bytes | None = None
    ) -> None:
        """Starts an exchange.

        Args:
            request: The whole request.
            receiver: Gets the answer.
            expected_id: Id that the answer must carry; None if answers carry none.
        """
        self._receiver = receiver
        self._expected_id = expected_id
        self._foreign = 0
        self._out = request
        self._wrote = False
        self._is_head_request = request.startswith(b"HEAD ")
        self._reset_parser()
        if self._connected:
            self._flush()

    def pause_reading(self) -> None:
        """Stops reading, because the reader of the answer is slow."""
        self._reading = False
        self._watch()

    def resume_reading(self) -> None:
        """Reads again."""
        if not self._reading:
            self._reading = True
            self._watch()

    def close(self) -> None:
        """Closes without telling the receiver."""
        self._receiver = None
        if self._closed:
            return
        self._closed = True
        self._cancel_timer()
        self._loop.forget(self._sock)
        self._sock.close()
        if self._on_closed is not None:
            self._on_closed(self)

    def _watch(self) -> None:
        if self._closed:
            return
        if not self._connected:
            self._loop.watch(self._sock, WRITE, self._on_connected)
            return
        events = (READ if self._reading else 0) | (WRITE if self._out else 0)
        if events != self._awaited:
            self._awaited = events
            self._loop.watch(self._sock, events, self._on_events)

    def _on_connected(self, _events: int) -> None:
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(FailureKind.UNREACHABLE)
            return
        self._connected = True
        self._cancel_timer()
        self._flush()
        self._watch()

    def _timed_out(self) -> None:
        self._timer = None
        self._fail(FailureKind.UNREACHABLE)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_events(self, events: int) -> None:
        if events & WRITE:
            self._flush()
        if events & READ and not self._closed:
            self._read()

    def _flush(self) -> None:
        if not self._out or self._closed:
            return
        try:
            count = self._sock.send(self._out)
        except BlockingIOError:
            count = 0
        except OSError:
            self._fail(FailureKind.RESET)
            return
        self._wrote = self._wrote or count > 0
        self._out = self._out[count:]
        self._watch()

    def _read(self) -> None:
        try:
            data = self._sock.recv(_CHUNK)
        except BlockingIOError:
            return
        except OSError:
            self._fail(FailureKind.RESET)
            return
        if not data:
            self._on_end()
            return
        if self._receiver is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(FailureKind.BAD_ANSWER)
            return
        self._after_feed()

    def _on_end(self) -> None:
        if self._until_end and self._receiver is not None:
            receiver = self._receiver
            self.close()
            receiver.on_complete()
            return
        self._fail(FailureKind.CLOSED)

    def _after_feed(self) -> None:
        if self._bad and self._receiver is not None:
            self._fail(FailureKind.BAD_ANSWER)
            return
        if not self._done or self._receiver is None:
            return
        receiver = self._receiver
        self._receiver = None
        # An unsent rest of the request would be taken for the next one.
        keep = self._keep and not self._stray and not self._out
        if keep:
            self.idle_since = self._loop.now()
        else:
            self.close()
        receiver.on_complete()
        if keep and not self._closed and self._on_idle is not None:
            self._on_idle(self)

    def _fail(self, kind: FailureKind) -> None:
        receiver = self._receiver
        sent = self._wrote
        self.close()
        if receiver is not None:
            receiver.on_failure(ExchangeFailure(kind, sent))

    # Parser and its callbacks.

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._done = False
        self._stray = False
        self._bad = False
        self._skip = False
        self._until_end = False
        self._keep = False

    def on_message_begin(self) -> None:
        """Parser callback."""
        if self._done:
            self._stray = True
            return
        self._headers = []
        self._skip = False
        self._until_end = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Parser callback."""
        if self._done or self._bad or self._receiver is None:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._skip = True
            return
        # Trailers and bytes after the answer must not end up in its head.
        head, self._headers = ResponseHead(status, self._headers), []
        if self._expected_id is not None and not self._has_expected_id(head):
            return
        self._keep = self._parser.should_keep_alive()
        self.keep_alive = _keep_alive_time(head)
        has_length = head.get(b"content-length") is not None
        is_chunked = head.get(b"transfer-encoding") is not None
        has_body = status not in (_NO_CONTENT, _NOT_MODIFIED)
        self._until_end = has_body and not has_length and not is_chunked
        if self._until_end:
            self._keep = False
        self._receiver.on_head(head)
        if self._is_head_request:
            self._keep = False
            self._done = True

    def on_body(self, data: bytes) -> None:
        """Parser callback."""
        if not (self._done or self._skip or self._bad) and self._receiver is not None:
            self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        """Parser callback."""
        if self._done:
            return
        if self._skip:
            self._skip = False
            return
        self._done = True

    def _has_expected_id(self, head: ResponseHead) -> bool:
        found = head.get(b"attempt-id")
        if found == self._expected_id:
            return True
        if found is None and head.status >= 400:
            return True
        if found is None or self._foreign >= _MAX_FOREIGN_ANSWERS:
            self._bad = True
            return False
        self._foreign += 1
        self._skip = True
        return False


def _keep_alive_time(head: ResponseHead) -> Seconds | None:
    value = head.get(b"keep-alive")
    if value is None:
        return None
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
