"""Server side of HTTP/1.1 on the event loop: callers' requests and their answers."""

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from fighitch.core.gateway.model import CallerLimits
from fighitch.runtime.event_loop import READ, WRITE, EventLoop, Timer
from fighitch.runtime.sockets import set_stream_options
from fighitch.types import Headers, Seconds

_CHUNK = 65_536
# Bytes of an answer that may wait for a slow caller before reading is paused.
_HIGH_WATER = 262_144
_BODY_TIMEOUT: Seconds = 10.0
_IDLE_SLACK: Seconds = 1.0
_MAX_PIPELINED = 2
_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(slots=True)
class CallerRequest:
    """A whole request of a caller.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Headers as sent, in order.
        body: Whole body, without transfer coding.
        received_at: When its first byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: Seconds
    _index: dict[bytes, list[bytes]] | None = field(default=None, repr=False)

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, given its name in lowercase."""
        if self._index is None:
            index: dict[bytes, list[bytes]] = {}
            for key, value in self.headers:
                index.setdefault(key.lower(), []).append(value)
            self._index = index
        return self._index.get(name, [])

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, given its name in lowercase."""
        values = self.values(name)
        return values[0] if values else None


class CallerConnection:
    """A connection of a caller; answers one request at a time."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        limits: CallerLimits,
        *,
        on_request: Callable[["CallerConnection", CallerRequest], None],
        on_closed: Callable[["CallerConnection"], None],
    ) -> None:
        """Starts to read.

        Args:
            loop: Calls this connection.
            sock: Accepted socket.
            limits: What the caller may send.
            on_request: Called with each whole request.
            on_closed: Called once when the connection is closed.
        """
        set_stream_options(sock)
        self.on_disconnected: Callable[[], None] | None = None
        self.on_buffer_drained: Callable[[], None] | None = None
        self.is_shutting_down = False
        self._loop = loop
        self._sock = sock
        self._limits = limits
        self._on_request = on_request
        self._on_closed = on_closed
        self._requests: deque[CallerRequest] = deque()
        self._active: CallerRequest | None = None
        self._out = bytearray()
        self._chunked = False
        self._close_after = False
        self._closed = False
        self._ended = False
        self._ended_by_caller = False
        self._awaited = 0
        self._timer: Timer | None = None
        self._new_parser()
        self._start_timer(limits.idle_timeout + _IDLE_SLACK, self._idle_timeout)
        self._watch()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._closed

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._active is None and not self._requests and not self._begun

    @property
    def is_backlogged(self) -> bool:
        """Whether many bytes wait for the caller to read them."""
        return len(self._out) > _HIGH_WATER

    def send_head(self, status: int, headers: Headers, *, length: int | None) -> None:
        """Sends the head of an answer.

        Args:
            status: HTTP status.
            headers: Headers without those about framing and the connection.
            length: Length of the body; None if it is not known yet.
        """
        self._close_if_stopping()
        reason = _REASONS.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %s" % (status, reason)]
        lines += [b"%s: %s" % header for header in headers]
        self._chunked = length is None
        if length is None:
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % length)
        if self._close_after:
            lines.append(b"Connection: close")
        self._write(b"\r\n".join(lines) + b"\r\n\r\n")

    def send_body(self, data: bytes) -> None:
        """Sends a piece of the body."""
        if not data:
            return
        self._write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """Ends the answer; the next request on the connection may follow."""
        if self._closed:
            return
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self._chunked = False
        self._active = None
        self.on_disconnected = None
        self.on_buffer_drained = None
        if self._closed:
            return
        self._close_if_stopping()
        if self._close_after:
            self._close_when_written()
            return
        self._start_timer(self._limits.idle_timeout + _IDLE_SLACK, self._idle_timeout)
        self._next_request()

    def close(self) -> None:
        """Closes the connection; an answer that was begun does not look complete."""
        if self._closed:
            return
        self._closed = True
        self._cancel_timer()
        self._loop.forget(self._sock)
        self._sock.close()
        self._on_closed(self)

    # Reading.

    def _new_parser(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._begun = False
        self._target = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._fault = 0
        self._began: Seconds = 0.0

    def _watch(self) -> None:
        if self._closed:
            return
        wants_input = len(self._requests) < _MAX_PIPELINED and not self._ended
        events = (READ if wants_input else 0) | (WRITE if self._out else 0)
        if events != self._awaited:
            self._awaited = events
            self._loop.watch(self._sock, events, self._on_events)

    def _on_events(self, events: int) -> None:
        if events & WRITE:
            self._flush()
        if events & READ and not self._closed:
            self._read()

    def _read(self) -> None:
        try:
            data = self._sock.recv(_CHUNK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._caller_gone()
            return
        if self._close_after:
            return
        self._feed(data)
        if not self._closed:
            self._watch()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # Upgrades are not offered; what follows is the next request.
            rest = data[upgrade.args[0] :]
            self._new_parser()
            if rest:
                self._feed(rest)
                return
        except httptools.HttpParserError:
            self._reject(self._fault or 400)
            return
        if self._fault:
            self._reject(self._fault)
            return
        if self._begun and self._active is None and self._timer is None:
            self._start_timer(self._limits.header_timeout, self._head_timeout)
        self._next_request()

    def _caller_gone(self) -> None:
        on_disconnected, self.on_disconnected = self.on_disconnected, None
        self.close()
        if on_disconnected is not None:
            on_disconnected()

    def _reject(self, status: int) -> None:
        """Answers what can't be parsed; nothing after it can be trusted."""
        if self._active is not None or self._requests:
            # The answer that is under way comes first; then the connection ends.
            self._close_after = True
            self._ended = True
            return
        self._close_after = True
        body = b'{"error":"bad_request"}'
        self.send_head(
            status, [(b"Content-Type", b"application/json")], length=len(body)
        )
        self.send_body(body)
        self.finish()

    def _next_request(self) -> None:
        if self._active is not None or self._closed or not self._requests:
            return
        self._cancel_timer()
        self._active = self._requests.popleft()
        self._watch()
        self._on_request(self, self._active)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Parser callback."""
        self._begun = True
        self._began = self._loop.now()
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._body = bytearray()
        if self._active is None:
            self._start_timer(self._limits.header_timeout, self._head_timeout)

    def on_url(self, url: bytes) -> None:
        """Parser callback."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback."""
        self._headers.append((name, value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Parser callback."""
        for name, value in self._headers:
            expects = name.lower() == b"expect" and value.lower() == b"100-continue"
            if expects and self._active is None:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._active is None:
            self._start_timer(_BODY_TIMEOUT, self._head_timeout)

    def on_body(self, data: bytes) -> None:
        """Parser callback."""
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            self._fault = 413
            raise ValueError("request body is too large")

    def on_message_complete(self) -> None:
        """Parser callback."""
        self._begun = False
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._began,
        )
        self._body = bytearray()
        if not self._parser.should_keep_alive():
            self._ended_by_caller = True
        self._requests.append(request)

    def _count_head(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._limits.header_bytes:
            self._fault = 431
            raise ValueError("request head is too large")

    # Writing.

    def _write(self, data: bytes) -> None:
        if self._closed:
            return
        if self._ended_by_caller and not self._requests:
            self._close_after = True
        was_empty = not self._out
        self._out += data
        if was_empty:
            self._flush()

    def _flush(self) -> None:
        was_slow = self.is_backlogged
        try:
            count = self._sock.send(self._out)
        except BlockingIOError:
            count = 0
        except OSError:
            self._caller_gone()
            return
        del self._out[:count]
        if was_slow and not self.is_backlogged and self.on_buffer_drained is not None:
            self.on_buffer_drained()
        if not self._out and self._close_after and self._active is None:
            self._shut_down()
            return
        self._watch()

    def _close_if_stopping(self) -> None:
        """Lets this be the last answer, unless another request has been read."""
        if self.is_shutting_down and not self._requests:
            self._close_after = True

    def _close_when_written(self) -> None:
        if not self._out:
            self._shut_down()

    def _shut_down(self) -> None:
        """Ends the sending side first: closing with unread input resets the answer."""
        self._ended = False
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._start_timer(_IDLE_SLACK, self.close)
        self._watch()

    # Timers.

    def _start_timer(self, delay: Seconds, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _idle_timeout(self) -> None:
        self._timer = None
        self.close()

    def _head_timeout(self) -> None:
        self._timer = None
        if self._active is None and self._begun:
            self._reject(408)
