"""HTTP/1.1 server connection on the event loop: requests of callers and responses."""

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from fighitch.core.gateway.model import CallerLimits
from fighitch.runtime.event_loop import READ, WRITE, EventLoop, Timer
from fighitch.runtime.sockets import CALLER_USER_TIMEOUT_MS, set_stream_options
from fighitch.types import Headers, Seconds

_RECEIVE_BYTES = 65_536
# Size of the send buffer above which reading of the response from its source pauses.
_HIGH_WATER_MARK = 65_536
_BODY_TIMEOUT: Seconds = 10.0
_IDLE_SLACK: Seconds = 1.0
_MAX_PIPELINED = 2
# Bytes of a head that its size limit leaves out, such as method and line ends.
_HEAD_OVERHEAD_BYTES = 1_024
_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
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


class _RequestTooLargeError(Exception):
    """Raised if a request exceeds a size limit."""


@dataclass(slots=True)
class CallerRequest:
    """A complete request of a caller.

    Attributes:
        method: HTTP method.
        target: Path and query string as sent.
        headers: Headers as sent, in order.
        body: Complete body, with the transfer coding removed.
        received_at: Time at which its first byte was read.
    """

    method: bytes
    target: bytes
    # Not shown, as they may hold keys of client accounts.
    headers: Headers = field(repr=False)
    body: bytes = field(repr=False)
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
    """A connection of a caller; handles one request at a time, in order."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        limits: Callable[[], CallerLimits],
        *,
        on_request: Callable[["CallerConnection", CallerRequest], None],
        on_closed: Callable[["CallerConnection"], None],
        on_invalid: Callable[[int, CallerRequest], None] | None = None,
    ) -> None:
        """Starts reading requests.

        Args:
            loop: Event loop that drives this connection.
            sock: Accepted socket.
            limits: Returns the limits on requests and on idle time, which may change
                while the connection is open. A request has those of its first byte.
            on_request: Called with each complete request.
            on_closed: Called once when the connection is closed.
            on_invalid: Called with the status for an invalid request and with what was
                read of it. The status is not sent if requests before it are still to be
                answered.
        """
        set_stream_options(sock, user_timeout_ms=CALLER_USER_TIMEOUT_MS)
        self.on_disconnected: Callable[[], None] | None = None
        self.on_buffer_drained: Callable[[], None] | None = None
        self.is_shutting_down = False
        self._loop = loop
        self._sock = sock
        self._current_limits = limits
        self._limits = limits()
        self._idle_since: Seconds = loop.now()
        self._on_request = on_request
        self._on_closed = on_closed
        self._on_invalid = on_invalid
        self._requests: deque[CallerRequest] = deque()
        self._current_request: CallerRequest | None = None
        self._unsent = bytearray()
        self._chunked = False
        self._close_after_response = False
        self._is_rejecting = False
        # Whether invalid input followed requests that are still to be answered.
        self._has_invalid_input = False
        self._closed = False
        self._has_stopped_reading = False
        self._caller_requested_close = False
        self._watched_events = 0
        self._timer: Timer | None = None
        self._has_boundary = False
        self._bytes_without_boundary = 0
        self._new_parser()
        self._start_idle_timer()
        self._watch()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._closed

    @property
    def idle(self) -> bool:
        """Whether no request is read, queued or handled, and no response is sent."""
        return (
            self._current_request is None
            and not self._requests
            and not self._is_reading_request
            and not self._unsent
        )

    @property
    def is_backlogged(self) -> bool:
        """Whether the send buffer is above the high-water mark."""
        return len(self._unsent) > _HIGH_WATER_MARK

    @property
    def _idle_time_left(self) -> Seconds:
        """Time until an idle connection is closed, by the limits in force now."""
        timeout = self._current_limits().idle_timeout + _IDLE_SLACK
        return self._idle_since + timeout - self._loop.now()

    def send_head(self, status: int, headers: Headers, *, length: int | None) -> None:
        """Sends the head of a response.

        Args:
            status: HTTP status.
            headers: Headers, except for ``Content-Length``, ``Transfer-Encoding`` and
                ``Connection``.
            length: Length of the body; None selects chunked transfer coding.
        """
        self._close_after_last_request()
        reason = _REASON_PHRASES.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %s" % (status, reason)]
        lines += [b"%s: %s" % header for header in headers]
        self._chunked = length is None
        if length is None:
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % length)
        if self._close_after_response:
            lines.append(b"Connection: close")
        self._write(b"\r\n".join(lines) + b"\r\n\r\n")

    def send_body(self, data: bytes) -> None:
        """Sends a part of the body."""
        if not data:
            return
        self._write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """Completes the response and starts the next request on the connection."""
        if self._closed:
            return
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self._chunked = False
        self._current_request = None
        self.on_disconnected = None
        self.on_buffer_drained = None
        if self._closed:
            return
        self._close_after_last_request()
        if self._close_after_response:
            self._close_when_flushed()
            return
        self._idle_since = self._loop.now()
        if self._is_reading_request:
            # A part of the next request arrived before this response.
            self._start_request_timer()
        else:
            self._start_idle_timer()
        self._next_request()

    def close(self) -> None:
        """Closes the connection; a partial response is recognisable as incomplete."""
        if self._closed:
            return
        self._closed = True
        self._cancel_timer()
        self._loop.forget(self._sock)
        self._sock.close()
        self._on_closed(self)

    def close_if_idle(self) -> None:
        """Closes the connection if it is idle and has no unread input.

        Unread input may be a request, which closing the connection would discard.
        """
        if not self._closed and self.idle and not self._has_unread_input():
            self.close()

    def _has_unread_input(self) -> bool:
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    # Reading.

    def _new_parser(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._is_reading_request = False
        self._is_reading_body = False
        self._target = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._error_status = 0
        self._request_started_at: Seconds = 0.0

    def _watch(self) -> None:
        if self._closed:
            return
        wants_input = (
            len(self._requests) < _MAX_PIPELINED and not self._has_stopped_reading
        )
        events = (READ if wants_input else 0) | (WRITE if self._unsent else 0)
        if events != self._watched_events:
            self._watched_events = events
            self._loop.watch(self._sock, events, self._on_events)

    def _on_events(self, events: int) -> None:
        if events & WRITE:
            self._flush()
        if events & READ and not self._closed:
            self._read()

    def _read(self) -> None:
        try:
            data = self._sock.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._handle_disconnect()
            return
        if self._close_after_response:
            return
        self._feed(data)
        if not self._closed:
            self._watch()

    def _feed(self, data: bytes) -> None:
        self._has_boundary = False
        try:
            self._parser.feed_data(data)
            self._check_header_size(len(data))
        except httptools.HttpParserUpgrade as upgrade:
            # Upgrades are not supported; the bytes that follow are the next request.
            rest = data[upgrade.args[0] :]
            self._new_parser()
            if rest:
                self._feed(rest)
                return
        except (httptools.HttpParserError, _RequestTooLargeError):
            self._reject(self._error_status or 400)
            return
        if self._error_status:
            self._reject(self._error_status)
            return
        if (
            self._is_reading_request
            and self._current_request is None
            and self._timer is None
        ):
            self._start_request_timer()
        self._next_request()

    def _check_header_size(self, received: int) -> None:
        """Limits a header line, trailer or chunk extension that never ends.

        The parser reports a header line only when it is complete.
        """
        if self._has_boundary:
            self._bytes_without_boundary = 0
            return
        self._bytes_without_boundary += received
        limit = self._limits.header_bytes + _HEAD_OVERHEAD_BYTES
        if self._bytes_without_boundary > limit:
            self._error_status = 431
            raise _RequestTooLargeError("request head is too large")

    def _handle_disconnect(self) -> None:
        on_disconnected, self.on_disconnected = self.on_disconnected, None
        self.close()
        if on_disconnected is not None:
            on_disconnected()

    def _reject(self, status: int) -> None:
        """Rejects an invalid request and closes the connection.

        The bytes after an invalid request cannot be parsed reliably.
        """
        self._is_reading_request = False
        if self._on_invalid is not None:
            self._on_invalid(status, self._build_request(b""))
        if self._current_request is not None or self._requests:
            # The requests before it are complete and get their responses before the
            # connection is closed.
            self._has_invalid_input = True
            self._has_stopped_reading = True
            self._next_request()
            return
        self._cancel_timer()
        self._close_after_response = True
        self._is_rejecting = True
        body = b'{"error":"bad_request"}'
        self.send_head(
            status, [(b"Content-Type", b"application/json")], length=len(body)
        )
        self.send_body(body)
        self._is_rejecting = False
        self.finish()

    def _next_request(self) -> None:
        if self._current_request is not None or self._closed or not self._requests:
            return
        self._cancel_timer()
        self._current_request = self._requests.popleft()
        self._watch()
        self._on_request(self, self._current_request)

    # Parser callbacks, called by httptools.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._limits = self._current_limits()
        self._is_reading_request = True
        self._request_started_at = self._loop.now()
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._is_reading_body = False
        if self._current_request is None:
            self._start_request_timer()

    def on_url(self, url: bytes) -> None:
        """Appends to the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append((name, value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Sends ``100 Continue`` if requested and starts the timeout of the body."""
        self._has_boundary = True
        for name, value in self._headers:
            expects = name.lower() == b"expect" and value.lower() == b"100-continue"
            if expects and self._current_request is None:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._is_reading_body = True
        if self._current_request is None:
            self._start_request_timer()

    def on_body(self, data: bytes) -> None:
        """Appends to the body and enforces its size limit."""
        self._has_boundary = True
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            self._error_status = 413
            raise _RequestTooLargeError("request body is too large")

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        self._has_boundary = True
        self._is_reading_request = False
        request = self._build_request(self._parser.get_method())
        self._body = bytearray()
        if not self._parser.should_keep_alive():
            self._caller_requested_close = True
        self._requests.append(request)

    def _build_request(self, method: bytes) -> CallerRequest:
        """Returns what was read of the current request."""
        return CallerRequest(
            method,
            self._target,
            self._headers,
            bytes(self._body),
            self._request_started_at,
        )

    def _count_head(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._limits.header_bytes:
            self._error_status = 431
            raise _RequestTooLargeError("request head is too large")

    # Writing.

    def _write(self, data: bytes) -> None:
        if self._closed:
            return
        if self._caller_requested_close and not self._requests:
            self._close_after_response = True
        was_empty = not self._unsent
        self._unsent += data
        if was_empty:
            self._flush()

    def _flush(self) -> None:
        was_backlogged = self.is_backlogged
        try:
            count = self._sock.send(self._unsent)
        except BlockingIOError:
            count = 0
        except OSError:
            self._handle_disconnect()
            return
        del self._unsent[:count]
        if (
            was_backlogged
            and not self.is_backlogged
            and self.on_buffer_drained is not None
        ):
            self.on_buffer_drained()
        if (
            not self._unsent
            and self._close_after_response
            and self._current_request is None
            and not self._is_rejecting
        ):
            self._shut_down_sending()
            return
        self._watch()

    def _close_after_last_request(self) -> None:
        """Makes this the last response if no other request is queued or can follow."""
        is_ending = self.is_shutting_down or self._has_invalid_input
        if is_ending and not self._requests:
            self._close_after_response = True

    def _close_when_flushed(self) -> None:
        if not self._unsent:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        """Shuts down the sending side before the connection is closed.

        Closing a socket with unread input sends a reset, which discards the response.
        """
        self._has_stopped_reading = False
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

    def _start_idle_timer(self) -> None:
        self._start_timer(max(0.0, self._idle_time_left), self._on_idle_timeout)

    def _start_request_timer(self) -> None:
        """Limits the time until the head, or then the body, of a request is read."""
        timeout = self._limits.header_timeout
        if self._is_reading_body:
            timeout = _BODY_TIMEOUT
        self._start_timer(timeout, self._on_request_timeout)

    def _on_idle_timeout(self) -> None:
        self._timer = None
        if self._idle_time_left > 0:
            # The timeout has become longer since the timer was started.
            self._start_idle_timer()
            return
        if self._unsent:
            # The caller is slow to read its response; it is idle once it has it.
            self._idle_since = self._loop.now()
            self._start_idle_timer()
            return
        if self._has_unread_input():
            # The event loop was late; the input may be a request.
            self._start_timer(_IDLE_SLACK, self._on_idle_timeout)
            return
        self.close()

    def _on_request_timeout(self) -> None:
        self._timer = None
        if self._current_request is None and self._is_reading_request:
            self._reject(408)
