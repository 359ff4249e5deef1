"""HTTP/1.1 client connection on the event loop, with one exchange at a time.

An exchange is a request and its response. Bytes that arrive when no response is
expected close the connection, and a response with the id of another request is skipped.
An error without an id is accepted only for the first request on a connection.
"""

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import httptools

from fighitch.core.gateway.response_limits import (
    LimitKind,
    ReadProgress,
    ResponseLimits,
    ResponseMeter,
)
from fighitch.core.response_heads import is_valid_status
from fighitch.runtime.event_loop import READ, WRITE, EventLoop, Timer
from fighitch.runtime.sockets import (
    count_unacknowledged,
    open_stream,
    start_connecting,
)
from fighitch.types import Headers, Seconds

_RECEIVE_BYTES = 65_536
_CONNECT_TIMEOUT: Seconds = 0.6
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_FIRST_FINAL_STATUS = 200
# Limit of late responses to earlier requests that may precede the expected one.
_MAX_SKIPPED_RESPONSES = 2
_RESPONSE_LIMITS = ResponseLimits()


class FailureKind(Enum):
    """Why an exchange has no complete response."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    CLOSED = "closed"
    BAD_ANSWER = "bad_answer"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """An exchange without a complete response.

    Attributes:
        kind: Why there is no complete response.
        sent: Whether any byte of the request may have reached the server.
        limit: Limit that the response exceeded; None for another cause.
        refused: Whether the host refused the connection, as nothing listens there.
    """

    kind: FailureKind
    sent: bool
    limit: LimitKind | None = None
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, given its name in lowercase."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    @property
    def is_framed(self) -> bool:
        """Whether the body has a length or chunks, or else ends with its connection."""
        return (
            self.get(b"content-length") is not None
            or self.get(b"transfer-encoding") is not None
        )


class ResponseHandler(Protocol):
    """Handles the response of an exchange."""

    def on_head(self, head: ResponseHead) -> None:
        """Called with the status and headers."""

    def on_body(self, data: bytes) -> None:
        """Called with each part of the body."""

    def on_complete(self) -> None:
        """Called once when the response is complete."""

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Called once if the response cannot become complete."""


class HttpConnection:
    """A client connection to a server."""

    def __init__(
        self,
        loop: EventLoop,
        host: str,
        port: int,
        *,
        on_idle: Callable[["HttpConnection"], None] | None = None,
        on_closed: Callable[["HttpConnection"], None] | None = None,
        connect_timeout: Seconds = _CONNECT_TIMEOUT,
        limits: ResponseLimits = _RESPONSE_LIMITS,
    ) -> None:
        """Starts connecting.

        Args:
            loop: Event loop that drives this connection.
            host: IP address of the server.
            port: TCP port of the server.
            on_idle: Called when another exchange can start on the connection.
            on_closed: Called once when the connection is closed.
            connect_timeout: Longest time until the connection is established.
            limits: Limits on bytes that do not advance the expected response.
        """
        self.host = host
        self.port = port
        self.idle_since: Seconds = loop.now()
        self.keep_alive: Seconds | None = None
        self._loop = loop
        self._limits = limits
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._response_handler: ResponseHandler | None = None
        self._expected_id: bytes | None = None
        # Parts of the request that are still to be sent; views, as a copy of a large
        # body would be held as long as the server reads slowly.
        self._unsent: list[memoryview] = []
        self._has_sent = False
        self._exchanges = 0
        self._connected = False
        self._closed = False
        self._reading = True
        self._watched_events = 0
        self._skipped_responses = 0
        self._is_head_request = False
        self._sock = open_stream()
        self._timer: Timer | None = loop.call_later(
            connect_timeout, self._on_connect_timeout
        )
        self._reset_parser()
        try:
            start_connecting(self._sock, host, port)
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            loop.call_later(
                0, lambda: self._fail(FailureKind.UNREACHABLE, refused=refused)
            )
            return
        self._watch()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._closed

    @property
    def busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._response_handler is not None

    @property
    def has_sent(self) -> bool:
        """Whether any byte of the latest request was sent."""
        return self._has_sent

    def usable(self) -> bool:
        """Returns whether another exchange may start; closes a connection that ended.

        The connection must be open and idle. Unread bytes would be taken for the next
        response, so a connection that has some is closed.
        """
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
        self,
        request: bytes,
        response_handler: ResponseHandler,
        *,
        expected_id: bytes | None = None,
        body: bytes | memoryview = b"",
    ) -> None:
        """Starts an exchange.

        Args:
            request: The encoded request, its head or also its body.
            response_handler: Handles the response.
            expected_id: Value that the ``Attempt-Id`` header of the response must have;
                None if responses have no such header. An error response to the first
                request on the connection may lack the header.
            body: Rest of the request.
        """
        self._response_handler = response_handler
        self._expected_id = None if expected_id is None else expected_id.strip()
        self._skipped_responses = 0
        self._exchanges += 1
        self._unsent = [memoryview(part) for part in (request, body) if part]
        self._has_sent = False
        self._is_head_request = request.startswith(b"HEAD ")
        self._reset_parser()
        if self._connected:
            self._flush()

    def pause_reading(self) -> None:
        """Stops reading while the consumer of the response is slow."""
        self._reading = False
        self._watch()

    def resume_reading(self) -> None:
        """Resumes reading."""
        if not self._reading:
            self._reading = True
            self._watch()

    def close(self) -> None:
        """Closes the connection without notifying the handler of the response."""
        self._response_handler = None
        if self._closed:
            return
        self._closed = True
        self._cancel_timer()
        self._unsent = []
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
        events = (READ if self._reading else 0) | (WRITE if self._unsent else 0)
        if events != self._watched_events:
            self._watched_events = events
            self._loop.watch(self._sock, events, self._on_events)

    def _on_connected(self, _events: int) -> None:
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            refused = error == errno.ECONNREFUSED
            self._fail(FailureKind.UNREACHABLE, refused=refused)
            return
        self._connected = True
        self._cancel_timer()
        self._flush()
        self._watch()

    def _on_connect_timeout(self) -> None:
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
        if not self._unsent or self._closed:
            return
        try:
            count = self._sock.sendmsg(self._unsent)
        except BlockingIOError:
            count = 0
        except OSError:
            self._fail(FailureKind.RESET)
            return
        self._has_sent = self._has_sent or count > 0
        while self._unsent and count >= len(self._unsent[0]):
            count -= len(self._unsent.pop(0))
        if count:
            self._unsent[0] = self._unsent[0][count:]
        self._watch()

    def _read(self) -> None:
        try:
            data = self._sock.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._fail(FailureKind.RESET)
            return
        if not data:
            self._on_eof()
            return
        if self._response_handler is None:
            self.close()
            return
        self._has_expected = self._has_boundary = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._is_complete:
                self._fail(FailureKind.BAD_ANSWER)
                return
            # The bytes after a complete response belong to no request.
            self._has_unexpected_data = True
        progress = ReadProgress(
            self._has_expected or self._is_complete, self._has_boundary
        )
        limit = self._meter.record_read(len(data), progress, self._loop.now())
        if limit is not None:
            self._fail(FailureKind.BAD_ANSWER, limit)
            return
        self._process_parsed()

    def _on_eof(self) -> None:
        if (
            self._body_ends_at_close
            and self._response_handler is not None
            and self._is_request_received
        ):
            response_handler = self._response_handler
            self.close()
            response_handler.on_complete()
            return
        self._fail(FailureKind.CLOSED)

    @property
    def _is_request_received(self) -> bool:
        """Whether the host of the server has the whole request.

        A server that ends its connection before that breaks off, so that an unframed
        response is not known to be whole (RFC 9112, 6.3 and 9.5).
        """
        return not self._unsent and count_unacknowledged(self._sock) == 0

    def _process_parsed(self) -> None:
        if self._is_invalid and self._response_handler is not None:
            self._fail(FailureKind.BAD_ANSWER)
            return
        if not self._is_complete or self._response_handler is None:
            return
        response_handler = self._response_handler
        self._response_handler = None
        # The unsent rest of a request would corrupt the next request on the connection.
        keep_open = (
            self._should_keep_alive
            and not self._has_unexpected_data
            and not self._unsent
        )
        if keep_open:
            self.idle_since = self._loop.now()
            # The consumer of this response may have paused reading; the next one starts
            # with an empty buffer.
            self.resume_reading()
        else:
            self.close()
        response_handler.on_complete()
        if keep_open and not self._closed and self._on_idle is not None:
            self._on_idle(self)

    def _fail(
        self,
        kind: FailureKind,
        limit: LimitKind | None = None,
        *,
        refused: bool = False,
    ) -> None:
        response_handler = self._response_handler
        sent = self._has_sent
        self.close()
        if response_handler is not None:
            response_handler.on_failure(ExchangeFailure(kind, sent, limit, refused))

    # Parser callbacks, called by httptools.

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._meter = ResponseMeter(self._limits)
        self._has_expected = False
        self._has_boundary = False
        self._headers: Headers = []
        self._is_complete = False
        self._has_unexpected_data = False
        self._is_invalid = False
        self._is_skipping = False
        self._body_ends_at_close = False
        self._should_keep_alive = False

    def on_message_begin(self) -> None:
        """Starts a response, or records unexpected data after a complete one."""
        if self._is_complete:
            self._has_unexpected_data = True
            return
        self._headers = []
        self._is_skipping = False
        self._body_ends_at_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Reports the head of the expected response; determines how the body ends."""
        self._has_boundary = True
        if self._is_complete or self._is_invalid or self._response_handler is None:
            return
        status = self._parser.get_status_code()
        if not is_valid_status(status):
            self._is_invalid = True
            return
        if status < _FIRST_FINAL_STATUS:
            self._is_skipping = True
            return
        # Trailers and bytes after the response must not be appended to its headers.
        head, self._headers = ResponseHead(status, self._headers), []
        if self._expected_id is not None and not self._has_expected_id(head):
            return
        self._has_expected = True
        self._should_keep_alive = self._parser.should_keep_alive()
        self.keep_alive = _keep_alive_time(head)
        has_body = status not in (_NO_CONTENT, _NOT_MODIFIED)
        self._body_ends_at_close = has_body and not head.is_framed
        if self._body_ends_at_close:
            self._should_keep_alive = False
        self._response_handler.on_head(head)
        if self._is_head_request:
            self._should_keep_alive = False
            self._is_complete = True

    def on_body(self, data: bytes) -> None:
        """Passes on a part of the body."""
        self._has_boundary = True
        if (
            not (self._is_complete or self._is_skipping or self._is_invalid)
            and self._response_handler is not None
        ):
            self._has_expected = True
            self._response_handler.on_body(data)

    def on_message_complete(self) -> None:
        """Records the end of a response, except for interim and skipped ones."""
        if self._is_complete:
            return
        if self._is_skipping:
            self._is_skipping = False
            return
        self._is_complete = True

    def _has_expected_id(self, head: ResponseHead) -> bool:
        found = {
            value.strip()
            for name, value in head.headers
            if name.lower() == b"attempt-id"
        }
        if found == {self._expected_id}:
            return True
        # On a reused connection it may be an earlier rejection that is sent again.
        is_first = self._exchanges == 1 and not self._skipped_responses
        if not found and is_first and head.status >= 400:
            return True
        if len(found) != 1 or self._skipped_responses >= _MAX_SKIPPED_RESPONSES:
            self._is_invalid = True
            return False
        self._skipped_responses += 1
        self._is_skipping = True
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
