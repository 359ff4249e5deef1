"""HTTP/1.1 server connection on the event loop: requests of callers and responses."""

import random
import socket
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from fighitch.core.gateway.memory_budget import (
    SMALL_BYTES,
    MemoryBudget,
    Refusal,
    RefusalReason,
)
from fighitch.core.gateway.model import CallerLimits
from fighitch.runtime.body_buffer import BodyBuffer
from fighitch.runtime.caller_memory import CallerMemory
from fighitch.runtime.event_loop import READ, WRITE, EventLoop, Timer
from fighitch.runtime.header_fields import HeaderFields
from fighitch.runtime.sockets import CALLER_USER_TIMEOUT_MS, set_stream_options
from fighitch.types import Headers, Seconds

_RECEIVE_BYTES = 65_536
# Read at once if the end of a body with an announced length is not far ahead. It bounds
# the work on very small chunks in a turn of the event loop (2.6 ms for 64 KB of chunks
# of one byte), and what is read before the budget decides on a body.
_SMALL_RECEIVE_BYTES = 16_384
# Bytes parsed before it is checked how many requests they completed; a request has at
# least 18 bytes.
_PARSE_BYTES = 512
# Size of the send buffer above which reading of the response from its source pauses.
_HIGH_WATER_MARK = 65_536
_BODY_TIMEOUT: Seconds = 10.0
_IDLE_SLACK: Seconds = 1.0
_MAX_PIPELINED = 2
_UNAVAILABLE = 503
# A chunked body reserves at most this part of the budget: a limit of bodies beyond the
# budget would otherwise refuse small ones too. Two of the default limit fit.
_CHUNKED_PARTS_OF_BUDGET = 2
# Bytes of a head that its size limit leaves out, such as method and line ends.
_HEAD_OVERHEAD_BYTES = 1_024
# Memory of the objects of a request, beside its text.
_REQUEST_OBJECT_BYTES = 1_000
# Memory of the objects with which a complete request is handled.
_HANDLING_BYTES = 16_000
# Limits of the delay in Retry-After, which spreads out the retries of refused clients.
_RETRY_DELAYS: tuple[Seconds, Seconds] = (0.5, 1.5)
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


class _NoMemoryError(Exception):
    """Raised if a complete request can't be handled for lack of memory."""


@dataclass(slots=True)
class CallerRequest:
    """A complete request of a caller.

    Attributes:
        method: HTTP method.
        target: Path and query string as sent.
        headers: Headers as sent, in order.
        body: Complete body, with the transfer coding removed; a view if it is large.
        received_at: Time at which its first byte was read.
    """

    method: bytes
    target: bytes
    # Not shown, as they may hold keys of client accounts.
    headers: HeaderFields = field(repr=False)
    body: bytes | memoryview = field(repr=False)
    received_at: Seconds
    _budget: MemoryBudget | None = field(default=None, repr=False, compare=False)
    _held: int = field(default=0, repr=False, compare=False)

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, given its name in lowercase."""
        return self.headers.values(name)

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, given its name in lowercase."""
        values = self.values(name)
        return values[0] if values else None

    def hold(self, budget: MemoryBudget, size: int) -> None:
        """Counts more bytes against a memory budget until the request is released."""
        budget.hold(size)
        self._budget = budget
        self._held += size

    def release(self) -> None:
        """Ends the counting against the memory budget."""
        if self._budget is not None:
            self._budget.release(self._held)
            self._budget, self._held = None, 0

    def discard(self) -> None:
        """Drops the content of a request that is not sent again, and releases it.

        Cycles of references may keep the object until the next garbage collection.
        """
        self.body = self.target = b""
        self.headers = HeaderFields()
        self.release()


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
        memory: CallerMemory | None = None,
        is_deferrable: bool = True,
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
            memory: Memory of all callers of the process; None for no common bound.
            is_deferrable: Whether the connection waits for its turn if many are ready.
        """
        set_stream_options(sock, user_timeout_ms=CALLER_USER_TIMEOUT_MS)
        self.on_disconnected: Callable[[], None] | None = None
        self.on_buffer_drained: Callable[[], None] | None = None
        self.is_shutting_down = False
        self._loop = loop
        self._sock = sock
        self._is_deferrable = is_deferrable
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
        self._is_dispatching = False
        # Input that is parsed once fewer complete requests wait.
        self._unparsed = b""
        self._memory = memory or CallerMemory(loop, MemoryBudget(sys.maxsize))
        self._holding = self._memory.open(self)
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
            and not self._unparsed
            and not self._unsent
        )

    @property
    def awaits_request(self) -> bool:
        """Whether no complete request is queued or handled, and no response is sent."""
        is_answering = self._current_request is not None or bool(self._unsent)
        return not (is_answering or self._requests or self._unparsed)

    @property
    def idle_since(self) -> Seconds:
        """Time of the end of the latest response, or else of the connection."""
        return self._idle_since

    @property
    def is_backlogged(self) -> bool:
        """Whether the send buffer is above the high-water mark."""
        return len(self._unsent) > _HIGH_WATER_MARK

    @property
    def _idle_time_left(self) -> Seconds:
        """Time until an idle connection is closed, by the limits in force now."""
        timeout = self._current_limits().idle_timeout + _IDLE_SLACK
        return self._idle_since + timeout - self._loop.now()

    @property
    def is_memory_short(self) -> bool:
        """Whether the process holds more for its callers than it should."""
        return self._memory.budget.is_over

    def record_buffered(self, size: int) -> None:
        """Records the bytes of a response that is collected before it is sent."""
        if not self._closed:
            self._memory.budget.record_buffered(self._holding, size)

    def send_head(self, status: int, headers: Headers, *, length: int | None) -> None:
        """Sends the head of a response.

        Args:
            status: HTTP status.
            headers: Headers, except for ``Content-Length``, ``Transfer-Encoding`` and
                ``Connection``.
            length: Length of the body; None selects chunked transfer coding.
        """
        self.record_buffered(0)
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
        if self._current_request is not None:
            self._current_request.release()
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
        self._memory.close(self._holding)
        for request in self._requests:
            request.discard()
        # The parser refers to this connection, a cycle that keeps it for a while.
        self._requests.clear()
        self._headers = HeaderFields()
        self._target = b""
        self._body.clear()
        self._unparsed = b""
        self._unsent.clear()
        self._on_closed(self)

    def close_if_idle(self) -> None:
        """Closes the connection if it is idle and has no unread input.

        Unread input may be a request, which closing the connection would discard.
        """
        if not self._closed and self.idle and not self._has_unread_input():
            self.close()

    # Memory, called by ``CallerMemory``.

    def on_room(self) -> None:
        """Resumes the reading of a request that waited for room."""
        if self._closed:
            return
        self._send_continue()
        if self._current_request is None:
            self._start_request_timer()
        self._watch()

    def refuse(self, reason: RefusalReason) -> None:
        """Frees memory: refuses the request that is read, or ends the connection."""
        if self._closed:
            return
        if self._is_reading_request and self._holding.response <= SMALL_BYTES:
            self._reject(503)
        else:
            self._handle_disconnect()

    def _reserve_memory(self, body_bytes: int) -> None:
        """Requests memory for a large body; without it, reading pauses."""
        self._has_reserved = True
        size = self._record_request() - len(self._body) + body_bytes
        self._memory.budget.reserve(self._holding, size, self._loop.now())

    def _record_request(self) -> int:
        """Records what was read of the current request; returns its bytes."""
        size = len(self._target) + self._headers.size + len(self._body)
        size += _REQUEST_OBJECT_BYTES
        self._memory.budget.record_request(self._holding, size, self._loop.now())
        return size

    def _record_response(self, taken: int = 0) -> None:
        self._memory.budget.record_response(
            self._holding, len(self._unsent), self._loop.now(), taken=taken
        )
        self._memory.watch()

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
        self._headers = HeaderFields()
        self._head_bytes = 0
        self._body = BodyBuffer()
        self._announced: int | None = None
        self._expects_continue = False
        self._has_reserved = False
        self._error_status = 0
        self._request_started_at: Seconds = 0.0

    def _watch(self) -> None:
        if self._closed:
            return
        wants_input = (
            len(self._requests) < _MAX_PIPELINED
            and not self._has_stopped_reading
            and not self._unparsed
            and not self._holding.awaited
        )
        events = (READ if wants_input else 0) | (WRITE if self._unsent else 0)
        if events != self._watched_events:
            self._watched_events = events
            self._loop.watch(
                self._sock, events, self._on_events, is_deferrable=self._is_deferrable
            )

    def _on_events(self, events: int) -> None:
        if events & WRITE:
            self._flush()
        if events & READ and not self._closed:
            self._read()

    def _read(self) -> None:
        try:
            data = self._sock.recv(self._receive_size())
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._handle_disconnect()
            return
        if self._close_after_response:
            return
        self._process_input(data)

    def _receive_size(self) -> int:
        """Returns how many bytes to read at once."""
        if not self._is_reading_body or self._announced is None:
            return _SMALL_RECEIVE_BYTES
        rest = self._announced - len(self._body)
        return min(_RECEIVE_BYTES, max(_SMALL_RECEIVE_BYTES, rest))

    def _process_input(self, data: bytes) -> None:
        """Parses input until it is used up or enough complete requests wait."""
        self._unparsed = data
        while self._unparsed and len(self._requests) < _MAX_PIPELINED:
            size = _PARSE_BYTES
            if self._is_reading_body and self._announced is not None:
                size = max(size, self._announced - len(self._body))
            part, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            self._feed(part)
            if self._closed or self._close_after_response or self._has_stopped_reading:
                self._unparsed = b""
                break
        # Invalid input behind a request decides how the connection ends; the request is
        # therefore handled only afterwards.
        self._next_request()
        self._memory.watch()
        if not self._closed:
            self._watch()

    def _parse_rest(self) -> None:
        if not self._closed and self._unparsed:
            self._process_input(self._unparsed)

    def _feed(self, data: bytes) -> None:
        self._has_boundary = False
        try:
            self._parser.feed_data(data)
            self._check_header_size(len(data))
        except httptools.HttpParserUpgrade as upgrade:
            # Upgrades are not supported; the bytes that follow are the next request.
            self._unparsed = data[upgrade.args[0] :] + self._unparsed
            self._new_parser()
        except (httptools.HttpParserError, _RequestTooLargeError, _NoMemoryError):
            self._reject(self._error_status or 400)
            return
        if self._error_status:
            self._reject(self._error_status)
            return
        if self._is_reading_request:
            self._record_request()
        if (
            self._is_reading_request
            and self._current_request is None
            and self._timer is None
        ):
            self._start_request_timer()

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
        self._body.clear()
        self._unparsed = b""
        self._memory.budget.end_request(self._holding)
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
        headers = [(b"Content-Type", b"application/json")]
        body = b'{"error":"bad_request"}'
        if status == _UNAVAILABLE:
            body = b'{"error":"overloaded"}'
            headers.append((b"Retry-After", b"%.3f" % random.uniform(*_RETRY_DELAYS)))
        self.send_head(status, headers, length=len(body))
        self.send_body(body)
        self._is_rejecting = False
        self.finish()

    def _next_request(self) -> None:
        """Starts requests until one is not answered at once.

        A response that is not read for the most part delays the requests behind it.
        """
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while (
                self._requests
                and self._current_request is None
                and not self._closed
                and not self.is_backlogged
            ):
                self._cancel_timer()
                request = self._current_request = self._requests.popleft()
                # Its text is decoded, and encoded for its server.
                copies = len(request.target) + request.headers.size
                request.hold(self._memory.budget, _HANDLING_BYTES + copies)
                self._watch()
                self._on_request(self, request)
        finally:
            self._is_dispatching = False
        if self._unparsed and len(self._requests) < _MAX_PIPELINED:
            self._loop.defer(self._parse_rest)

    # Parser callbacks, called by httptools.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._limits = self._current_limits()
        self._is_reading_request = True
        self._request_started_at = self._loop.now()
        self._target = b""
        self._headers = HeaderFields()
        self._head_bytes = 0
        self._body.clear()
        self._announced = None
        self._expects_continue = False
        self._has_reserved = False
        self._is_reading_body = False
        if self._current_request is None:
            self._start_request_timer()

    def on_url(self, url: bytes) -> None:
        """Appends to the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append(name, value)
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Decides on the body and starts its timeout."""
        self._has_boundary = True
        expectations = self._headers.values(b"expect")
        self._expects_continue = any(
            value.lower() == b"100-continue" for value in expectations
        )
        for length in self._headers.values(b"content-length"):
            self._announced = int(length)
        announced = self._announced or 0
        if announced > self._limits.body_bytes:
            self._error_status = 413
            raise _RequestTooLargeError("request body is too large")
        if announced > SMALL_BYTES:
            self._body.expect(announced)
            self._reserve_memory(announced)
        if not self._holding.awaited:
            self._send_continue()
        self._is_reading_body = True
        if self._current_request is None:
            self._start_request_timer()

    def on_body(self, data: bytes) -> None:
        """Appends to the body and enforces its size limit."""
        self._has_boundary = True
        if len(self._body) + len(data) > self._limits.body_bytes:
            self._error_status = 413
            raise _RequestTooLargeError("request body is too large")
        self._body.append(data)
        if len(self._body) > SMALL_BYTES and not self._has_reserved:
            # The length of a chunked body is not known. One that outgrows what is
            # reserved counts with its own size.
            self._body.expect(self._limits.body_bytes)
            most = self._memory.budget.limit // _CHUNKED_PARTS_OF_BUDGET
            self._reserve_memory(min(self._limits.body_bytes, most))

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        self._has_boundary = True
        budget, size = self._memory.budget, self._record_request()
        if not budget.may_run(self._holding):
            refusal = Refusal(self._holding, RefusalReason.OVER_BUDGET)
            self._memory.on_refused(refusal)
            self._error_status = _UNAVAILABLE
            raise _NoMemoryError("no memory for another request")
        self._is_reading_request = False
        budget.end_request(self._holding)
        request = self._build_request(self._parser.get_method())
        request.hold(budget, size)
        if not self._parser.should_keep_alive():
            self._caller_requested_close = True
        self._requests.append(request)

    def _build_request(self, method: bytes) -> CallerRequest:
        """Returns what was read of the current request."""
        return CallerRequest(
            method,
            self._target,
            self._headers,
            self._body.take(),
            self._request_started_at,
        )

    def _send_continue(self) -> None:
        if self._expects_continue and self._current_request is None:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._expects_continue = False

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
        else:
            self._record_response()

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
        self._record_response(count)
        if was_backlogged and not self.is_backlogged:
            if self.on_buffer_drained is not None:
                self.on_buffer_drained()
            self._next_request()
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
        if is_ending and not self._requests and not self._unparsed:
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
        if self._loop.is_deferred(self._sock):
            # The event loop is late; the input may complete the request.
            self._start_timer(_IDLE_SLACK, self._on_request_timeout)
            return
        if self._current_request is None and self._is_reading_request:
            self._reject(408)
