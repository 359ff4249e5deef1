"""Sends the calls and commands of a sidecar to its backend server."""

import time
from collections.abc import Callable
from dataclasses import replace
from types import ModuleType
from typing import Any

from fighitch.backends import engine, service
from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.effects import (
    CallBackend,
    LoadAdapter,
    UnloadAdapter,
)
from fighitch.core.inputs import BackendFailed, BackendUnreachable
from fighitch.observability.traces import OpenSpan, Traces
from fighitch.runtime.transfers import (
    Transfer,
    TransferData,
    TransferEnded,
    TransferEvent,
    TransferFailed,
    Transfers,
    TransferStarted,
)

# Larger than any status or response to a command.
_MAX_BUFFERED_BYTES = 8_388_608

_PROTOCOLS: dict[str, ModuleType] = {"engine": engine, "service": service}


class BackendCalls:
    """Sends requests to the backend server and reports the results to the core."""

    def __init__(
        self,
        transfers: Transfers,
        *,
        backend_type: str,
        url: str,
        post: Callable[[Any], None],
        traces: Traces,
    ) -> None:
        """Creates the client of a backend server.

        Args:
            transfers: Runs the HTTP transfers.
            backend_type: ``engine`` or ``service``.
            url: Base URL of the backend server.
            post: Queues an input for the core.
            traces: Traces of the process.
        """
        self._transfers = transfers
        self._protocol = _PROTOCOLS[backend_type]
        self._url = url.rstrip("/")
        self._post = post
        self._traces = traces
        # Transfer number by call number, for each call in flight.
        self._transfer_numbers: dict[int, int] = {}

    def call(self, call: CallBackend) -> None:
        """Starts a call; reports it as failed and unsent if its deadline has passed."""
        if time.monotonic() >= call.deadline:
            ids = (call.request_id, call.attempt, call.call)
            detail = "the deadline passed before the call"
            self._post(BackendFailed(*ids, sent=False, detail=detail))
            return
        span = self._traces.start(
            "backend.call",
            call.traceparent,
            {"request_id": call.request_id, "model": str(call.adapter_version or "")},
        )
        try:
            transfer, reader = self._protocol.build_call_transfer(
                replace(call, traceparent=span.traceparent), self._url
            )
        except (*DECODE_ERRORS, TypeError) as error:
            ids = (call.request_id, call.attempt, call.call)
            self._post(BackendFailed(*ids, sent=False, detail=str(error)))
            return

        def on_event(event: TransferEvent) -> None:
            for item in reader.read(event):
                self._post(item)
            if isinstance(event, TransferEnded | TransferFailed):
                self._transfer_numbers.pop(call.call, None)
                _end_span(span, event)

        self._transfer_numbers[call.call] = self._transfers.submit(transfer, on_event)

    def cancel(self, call: int) -> None:
        """Cancels a call and closes its connection."""
        number = self._transfer_numbers.pop(call, None)
        if number is not None:
            self._transfers.cancel(number)

    def load(self, command: LoadAdapter) -> None:
        """Sends the command to load an adapter."""
        self._send_command(command, engine.build_load_transfer(command, self._url))

    def unload(self, command: UnloadAdapter) -> None:
        """Sends the command to unload an adapter."""
        self._send_command(command, engine.build_unload_transfer(command, self._url))

    def request_status(self, on_done: Callable[[], None]) -> None:
        """Requests the status of the backend server.

        Args:
            on_done: Called after the status or the failure was queued for the core.
        """

        def on_response(status: int, data: bytes) -> None:
            try:
                self._post(engine.parse_status(data))
            except DECODE_ERRORS as error:
                detail = f"status {status}, unreadable: {error}"
                self._post(BackendUnreachable(detail))
            on_done()

        def on_failure(detail: str) -> None:
            self._post(BackendUnreachable(detail))
            on_done()

        self._submit_buffered(
            engine.build_status_transfer(self._url), on_response, on_failure
        )

    def _send_command(
        self, command: LoadAdapter | UnloadAdapter, call: Transfer
    ) -> None:
        def on_response(status: int, data: bytes) -> None:
            self._post(engine.parse_command_response(command, status, data))

        def on_failure(detail: str) -> None:
            self._post(engine.parse_command_response(command, 0, detail.encode()))

        self._submit_buffered(call, on_response, on_failure)

    def _submit_buffered(
        self,
        call: Transfer,
        on_response: Callable[[int, bytes], None],
        on_failure: Callable[[str], None],
    ) -> None:
        body = bytearray()
        status = 0
        is_too_large = False

        def on_event(event: TransferEvent) -> None:
            nonlocal status, is_too_large
            if isinstance(event, TransferStarted):
                status = event.status
            elif is_too_large:
                return
            elif isinstance(event, TransferData):
                body.extend(event.data)
                if len(body) > _MAX_BUFFERED_BYTES:
                    is_too_large = True
                    self._transfers.cancel(number)
                    on_failure(f"response above {_MAX_BUFFERED_BYTES} bytes")
            elif isinstance(event, TransferEnded):
                on_response(status, bytes(body))
            else:
                on_failure(event.detail)

        number = self._transfers.submit(call, on_event)


def _end_span(span: OpenSpan, event: TransferEvent) -> None:
    span.set("result", type(event).__name__)
    span.end()
