"""The response of one request, as its caller receives it."""

from collections.abc import Callable

from fighitch.core.gateway.failures import FailureKind
from fighitch.gateway.failure_response import send_failure_response
from fighitch.platform.requests import response_headers
from fighitch.runtime.http_callers import CallerConnection
from fighitch.runtime.http_exchange import ResponseHead
from fighitch.types import Seconds


class CallerResponse:
    """Writes a response to a caller's connection; does nothing once the caller left.

    Any write may find that the caller left; later writes have no effect.
    """

    def __init__(
        self,
        caller: CallerConnection,
        *,
        on_gone: Callable[[], None],
        on_drained: Callable[[], None],
    ) -> None:
        """Takes over the callbacks of the connection.

        Args:
            caller: Connection of the caller.
            on_gone: Called once if the caller leaves.
            on_drained: Called when a caller that was slow has read enough.
        """
        self._caller: CallerConnection | None = caller
        self._on_gone = on_gone
        self._head: ResponseHead | None = None
        self._body_bytes = 0
        caller.on_disconnected = self._on_disconnected
        caller.on_buffer_drained = on_drained

    @property
    def head(self) -> ResponseHead | None:
        """Head that the caller has; None if it has none."""
        return self._head

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that were sent to the caller."""
        return self._body_bytes

    @property
    def is_caller_gone(self) -> bool:
        """Whether the caller has left."""
        return self._caller is None

    @property
    def is_memory_short(self) -> bool:
        """Whether a response should be sent rather than collected, to free memory."""
        return self._caller is not None and self._caller.is_memory_short

    def send_head(self, head: ResponseHead, *, length: int | None) -> None:
        """Sends the head of a response.

        Args:
            head: Head of a backend server's response.
            length: Length of the body; None selects chunked transfer coding.
        """
        if self._caller is not None:
            self._head = head
            self._caller.send_head(head.status, response_headers(head), length=length)

    def record_buffered(self, size: int) -> None:
        """Counts the bytes of a response that is collected before it is sent."""
        if self._caller is not None:
            self._caller.record_buffered(size)

    def send_body(self, data: bytes) -> bool:
        """Sends a part of the body; returns whether the caller reads too slowly."""
        if self._caller is not None:
            self._body_bytes += len(data)
            self._caller.send_body(data)
        return self._caller is not None and self._caller.is_backlogged

    def finish(self, body: bytes) -> None:
        """Sends the rest of the body and completes the response."""
        if self._caller is not None:
            caller = self._caller
            self._body_bytes += len(body)
            caller.send_body(body)
            caller.finish()

    def fail(
        self, kind: FailureKind, request_id: str, retry_after: Seconds | None
    ) -> None:
        """Sends an error response of the entry itself; no head may have been sent."""
        if self._caller is not None:
            send_failure_response(self._caller, kind, request_id, retry_after)

    def abort(self) -> None:
        """Closes the connection, so that a begun response is seen as incomplete."""
        if self._caller is not None:
            self._caller.on_disconnected = None
            self._caller.close()

    def release(self) -> None:
        """Gives up the callbacks, unless the connection serves its next request."""
        caller = self._caller
        if caller is not None and caller.on_disconnected == self._on_disconnected:
            caller.on_disconnected = None
            caller.on_buffer_drained = None

    def _on_disconnected(self) -> None:
        self._caller = None
        self._on_gone()
