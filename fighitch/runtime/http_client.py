"""HTTP client that buffers each response and sends one request at a time."""

from collections.abc import Callable

from fighitch.core.gateway.response_limits import LimitKind
from fighitch.core.gateway.settings import Address
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_exchange import (
    ExchangeFailure,
    FailureKind,
    HttpConnection,
    ResponseHead,
)
from fighitch.types import Seconds

# Larger than a page of the store's list and than any report of an engine.
_MAX_BODY_BYTES = 8_388_608
# Reported instead of an HTTP status if there is no complete response.
NO_RESPONSE = 0

ResponseCallback = Callable[[int, bytes], None]
HeadCallback = Callable[[ResponseHead], None]


class _ResponseCollector:
    """Buffers one response and reports it to a callback once."""

    def __init__(
        self,
        loop: EventLoop,
        timeout: Seconds,
        on_response: ResponseCallback,
        on_head: HeadCallback | None,
    ) -> None:
        self._on_response: ResponseCallback | None = on_response
        self._on_head = on_head
        self._status = NO_RESPONSE
        self._body = bytearray()
        self._timer = loop.call_later(timeout, self._on_timeout)
        self.connection: HttpConnection | None = None

    def on_head(self, head: ResponseHead) -> None:
        """Records the status and reports the head."""
        self._status = head.status
        if self._on_head is not None and self._on_response is not None:
            self._on_head(head)

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body; a body above the limit counts as no response."""
        self._body += data
        if len(self._body) > _MAX_BODY_BYTES:
            self._abort(FailureKind.BAD_ANSWER, LimitKind.BODY_BYTES)

    def on_complete(self) -> None:
        """Reports the complete response."""
        self._finish(self._status)

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Reports that there is no complete response."""
        self._finish(NO_RESPONSE)

    def cancel(self) -> None:
        """Gives up the response; the callback is not called."""
        self._on_response = None
        self._timer.cancel()

    def _on_timeout(self) -> None:
        self._abort(FailureKind.TIMEOUT)

    def _abort(self, kind: FailureKind, limit: LimitKind | None = None) -> None:
        if self.connection is not None:
            self.connection.close()
        self.on_failure(ExchangeFailure(kind, sent=True, limit=limit))

    def _finish(self, status: int) -> None:
        on_response, self._on_response = self._on_response, None
        self._timer.cancel()
        if on_response is not None:
            on_response(status, bytes(self._body))


class SerialClient:
    """Sends requests to one server, one at a time on a persistent connection."""

    def __init__(self, loop: EventLoop, address: Address) -> None:
        self._loop = loop
        self._address = address
        self._connection: HttpConnection | None = None
        self._collector: _ResponseCollector | None = None

    @property
    def address(self) -> Address:
        """The address of the server."""
        return self._address

    def call(
        self,
        request: bytes,
        on_response: ResponseCallback,
        *,
        timeout: Seconds,
        reuse_connection: bool = True,
        on_head: HeadCallback | None = None,
    ) -> None:
        """Sends a request.

        Args:
            request: The encoded request, head and body.
            on_response: Called once with status and body. The status is ``NO_RESPONSE``
                if there was no complete response in time; the request may still have
                taken effect.
            timeout: Longest time until the response is complete.
            reuse_connection: Whether a persistent connection may be used. Responses
                have no id, so that a late second copy of the previous response would
                be taken for the response to this call.
            on_head: Called before ``on_response`` with the head of the response, if one
                arrives in time.
        """
        connection = self._connection
        if connection is None or not reuse_connection or not connection.usable():
            if connection is not None:
                connection.close()
            self._connection = None
            try:
                connection = HttpConnection(
                    self._loop, self._address.host, self._address.port
                )
            except OSError:
                # No file descriptor is free. The caller goes on from its callback only.
                self._loop.call_later(0, lambda: on_response(NO_RESPONSE, b""))
                return
            self._connection = connection
        collector = _ResponseCollector(self._loop, timeout, on_response, on_head)
        collector.connection = connection
        self._collector = collector
        connection.send(request, collector)

    def close(self) -> None:
        """Closes the connection; the callback of a request in flight is not called."""
        if self._collector is not None:
            self._collector.cancel()
            self._collector = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None
