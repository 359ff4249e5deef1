"""HTTP client on one thread, with a ``pycurl.CurlMulti`` for all outgoing transfers."""

import contextlib
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias

import pycurl

from fighitch.core.response_heads import HeadLines
from fighitch.types import Seconds

CONNECT_TIMEOUT: Seconds = 1.0
_MS = 1_000


@dataclass(frozen=True, slots=True)
class Transfer:
    """An HTTP request to send.

    Attributes:
        method: HTTP method.
        url: Full URL.
        headers: Header names and values.
        body: Body; None sends no body.
        timeout: Time limit of the whole transfer.
        is_repeatable: Whether the request may reach the server twice. libcurl silently
            repeats a request, even a POST, on a new connection if a reused one turns
            out to be closed. Requests that must not be repeated use a new connection,
            where this cannot happen.
    """

    method: str
    url: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None
    timeout: Seconds = 60.0
    is_repeatable: bool = True


@dataclass(frozen=True, slots=True)
class TransferStarted:
    """The status and headers were received; header names are in lowercase."""

    status: int
    headers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class TransferData:
    """A part of the body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class TransferEnded:
    """The complete response was received."""


@dataclass(frozen=True, slots=True)
class TransferFailed:
    """The transfer failed.

    Attributes:
        sent: Whether any byte of the request may have reached the server.
        detail: Cause of the failure.
    """

    sent: bool
    detail: str


TransferEvent: TypeAlias = (
    TransferStarted | TransferData | TransferEnded | TransferFailed
)
OnEvent: TypeAlias = Callable[[TransferEvent], None]


class _ActiveTransfer:
    """A transfer with its curl handle and the state of its response."""

    def __init__(self, number: int, transfer: Transfer, on_event: OnEvent) -> None:
        self.number = number
        self.on_event = on_event
        self.handle = pycurl.Curl()
        self._headers: dict[str, str] = {}
        self._status = 0
        self._head_lines = HeadLines()
        self._request_bytes = 0 if transfer.body is None else len(transfer.body)
        self._has_started = False
        handle = self.handle
        handle.setopt(pycurl.URL, transfer.url)
        handle.setopt(pycurl.CUSTOMREQUEST, transfer.method)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT * _MS))
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(transfer.timeout * _MS)))
        headers = [f"{name}: {value}" for name, value in transfer.headers.items()]
        # An empty Expect header stops libcurl from waiting for 100 Continue.
        handle.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        if transfer.body is not None:
            handle.setopt(pycurl.POSTFIELDS, transfer.body)
        if not transfer.is_repeatable:
            handle.setopt(pycurl.FRESH_CONNECT, 1)
            handle.setopt(pycurl.FORBID_REUSE, 1)
        handle.setopt(pycurl.HEADERFUNCTION, self._on_header)
        handle.setopt(pycurl.WRITEFUNCTION, self._on_body)

    def finish(self, error_code: int, detail: str) -> None:
        """Reports the end of the transfer."""
        if error_code == pycurl.E_OK:
            self._finish_received()
            return
        sent = self.handle.getinfo(pycurl.REQUEST_SIZE) > 0
        self.on_event(TransferFailed(sent, f"curl error {error_code}: {detail}"))

    def _finish_received(self) -> None:
        fault = self._head_lines.fault(
            sent_bytes=self.handle.getinfo(pycurl.SIZE_UPLOAD_T),
            body_bytes=self._request_bytes,
        )
        if fault is not None:
            self.on_event(TransferFailed(sent=True, detail=fault))
            return
        self._start()
        self.on_event(TransferEnded())

    def _on_header(self, line: bytes) -> int | None:
        """Collects a header; returns 0 to end a transfer with an invalid status."""
        text = line.decode("latin-1")
        self._head_lines.add(text)
        if self._head_lines.has_invalid_status:
            return 0
        text = text.strip()
        if text.startswith("HTTP/"):
            # getinfo must not be called on the handle while the transfer is running.
            self._status = int(text.split(" ", 2)[1])
            self._headers = {}
            return None
        name, colon, value = text.partition(":")
        if colon:
            self._headers[name.lower()] = value.strip()
        return None

    def _on_body(self, data: bytes) -> None:
        self._start()
        self.on_event(TransferData(data))

    def _start(self) -> None:
        if self._has_started:
            return
        self._has_started = True
        self.on_event(TransferStarted(self._status, self._headers))


class Transfers:
    """Runs HTTP transfers on one thread and reports their events on that thread."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._timer_at: Seconds | None = None
        self._active: dict[int, _ActiveTransfer] = {}
        self._commands: deque[Callable[[], None]] = deque()
        self._next_number = 1
        self._number_lock = threading.Lock()
        self._wake_receive, self._wake_send = socket.socketpair()
        self._wake_receive.setblocking(False)
        self._wake_send.setblocking(False)
        self._selector.register(self._wake_receive, selectors.EVENT_READ, "wake")
        self._is_stopping = False

    def submit(self, transfer: Transfer, on_event: OnEvent) -> int:
        """Starts a transfer; thread-safe.

        Args:
            transfer: The request.
            on_event: Called with each event on the transfer thread; must not block.

        Returns:
            Number of the transfer, for ``cancel``.
        """
        with self._number_lock:
            number = self._next_number
            self._next_number += 1
        self._post_command(lambda: self._start(number, transfer, on_event))
        return number

    def cancel(self, number: int) -> None:
        """Aborts a transfer without further events; thread-safe."""
        self._post_command(lambda: self._cancel(number))

    def stop(self) -> None:
        """Ends ``run``; thread-safe."""
        self._post_command(self._stop)

    def run(self) -> None:
        """Runs transfers until ``stop``."""
        while not self._is_stopping:
            timeout = None
            if self._timer_at is not None:
                timeout = max(0.0, self._timer_at - time.monotonic())
            for key, events in self._selector.select(timeout):
                self._handle_ready(key, events)
            if self._timer_at is not None and time.monotonic() >= self._timer_at:
                self._timer_at = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            while self._commands:
                self._commands.popleft()()
            self._finish_completed()
        for number in list(self._active):
            self._cancel(number)
        self._multi.close()
        self._selector.close()
        self._wake_receive.close()
        self._wake_send.close()

    def _post_command(self, command: Callable[[], None]) -> None:
        self._commands.append(command)
        with contextlib.suppress(OSError):
            self._wake_send.send(b"\0")

    def _stop(self) -> None:
        self._is_stopping = True

    def _start(self, number: int, transfer: Transfer, on_event: OnEvent) -> None:
        try:
            active = _ActiveTransfer(number, transfer, on_event)
        except (pycurl.error, UnicodeEncodeError, ValueError) as error:
            on_event(TransferFailed(sent=False, detail=str(error)))
            return
        self._active[number] = active
        self._multi.add_handle(active.handle)

    def _cancel(self, number: int) -> None:
        active = self._active.pop(number, None)
        if active is not None:
            self._multi.remove_handle(active.handle)
            active.handle.close()

    def _finish_completed(self) -> None:
        remaining = 1
        while remaining:
            remaining, done, failed = self._multi.info_read()
            for handle in done:
                self._finish(handle, pycurl.E_OK, "")
            for handle, code, detail in failed:
                self._finish(handle, code, detail)

    def _finish(self, handle: Any, code: int, detail: str) -> None:
        for active in self._active.values():
            if active.handle is handle:
                break
        else:
            return
        active.finish(code, detail)
        self._cancel(active.number)

    def _handle_ready(self, key: selectors.SelectorKey, events: int) -> None:
        if key.data == "wake":
            self._wake_receive.recv(4096)
            return
        mask = 0
        if events & selectors.EVENT_READ:
            mask |= pycurl.CSELECT_IN
        if events & selectors.EVENT_WRITE:
            mask |= pycurl.CSELECT_OUT
        self._multi.socket_action(key.fd, mask)

    def _on_socket(self, what: int, fd: int, _multi: Any, _data: Any) -> None:
        is_known = fd in self._selector.get_map()
        if what == pycurl.POLL_REMOVE:
            if is_known:
                self._selector.unregister(fd)
            return
        events = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= selectors.EVENT_READ
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= selectors.EVENT_WRITE
        if is_known:
            self._selector.modify(fd, events, "transfer")
        else:
            self._selector.register(fd, events, "transfer")

    def _on_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self._timer_at = None
            return
        self._timer_at = time.monotonic() + timeout_ms / _MS
