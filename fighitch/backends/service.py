"""Builds HTTP requests to a plain service and parses its responses."""

from collections.abc import Iterator

from fighitch.backends.engine import BackendEvent
from fighitch.core.effects import CallBackend
from fighitch.core.inputs import (
    BackendData,
    BackendEnded,
    BackendFailed,
    BackendStarted,
)
from fighitch.runtime.transfers import (
    Transfer,
    TransferData,
    TransferEnded,
    TransferEvent,
    TransferStarted,
)
from fighitch.types import Seconds

CALL_TIMEOUT: Seconds = 60.0


def build_call_transfer(
    call: CallBackend, url: str
) -> tuple[Transfer, "ServiceResponseReader"]:
    """Returns the HTTP transfer of a call and the reader of its response.

    Args:
        call: Call to send. A call with a ticket must not be repeated.
        url: Base URL of the service.
    """
    headers = {"Content-Type": "application/json", "X-Request-Id": call.request_id}
    if call.ticket:
        headers["Idempotency-Key"] = call.ticket
    if call.traceparent:
        headers["traceparent"] = call.traceparent
    transfer = Transfer(
        call.method,
        url + call.path,
        headers=headers,
        body=call.body if call.body or call.method != "GET" else None,
        timeout=CALL_TIMEOUT,
        is_repeatable=not call.ticket,
    )
    return transfer, ServiceResponseReader(call)


class ServiceResponseReader:
    """Converts the transfer events of one call into backend events."""

    def __init__(self, call: CallBackend) -> None:
        self._ids = (call.request_id, call.attempt, call.call)

    def read(self, event: TransferEvent) -> Iterator[BackendEvent]:
        """Yields the backend events that follow from a transfer event."""
        if isinstance(event, TransferStarted):
            content_type = event.headers.get("content-type", "application/json")
            yield BackendStarted(*self._ids, event.status, content_type=content_type)
        elif isinstance(event, TransferData):
            yield BackendData(*self._ids, event.data)
        elif isinstance(event, TransferEnded):
            yield BackendEnded(*self._ids)
        else:
            yield BackendFailed(*self._ids, sent=event.sent, detail=event.detail)
