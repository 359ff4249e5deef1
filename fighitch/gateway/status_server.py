"""HTTP server for readiness probes and metrics."""

import socket
from collections.abc import Callable

from fighitch.core.gateway.memory_budget import MemoryBudget
from fighitch.core.gateway.model import CallerLimits
from fighitch.core.gateway.settings import Address
from fighitch.gateway.caller_bounds import make_room
from fighitch.observability.bounded_log import BoundedLog
from fighitch.runtime.caller_memory import CallerMemory
from fighitch.runtime.event_loop import READ, EventLoop
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.sockets import accept_pending, listen
from fighitch.types import Seconds

_OK = 200
_UNAVAILABLE = 503
_NOT_FOUND = 404
_METRICS_PATH = b"/metrics"
_READY_PATH = b"/readyz"
# Probes and scrapers are few and send no body.
_MAX_CONNECTIONS = 32
_LIMITS = CallerLimits(
    header_bytes=8_192, body_bytes=1_024, header_timeout=3.0, idle_timeout=5.0
)
# 64 KiB for each connection, as its responses wait above the high-water mark.
_BUDGET_BYTES = 2_097_152
# Time after a rendering of the metrics for which they are sent again, as a multiple of
# the time that it took: scrapers without end take a tenth of the processor time.
_RENDER_PAUSE = 9


class StatusServer:
    """Serves the readiness and the metrics of the process."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        log: BoundedLog,
        *,
        is_ready: Callable[[], bool],
        metrics: Callable[[], bytes],
    ) -> None:
        """Starts to listen.

        Args:
            loop: Event loop that watches the listener.
            address: Address to listen on.
            log: Log for connections that can't be accepted.
            is_ready: Returns whether the process can serve requests.
            metrics: Returns the metrics in the Prometheus text format.
        """
        self._loop = loop
        self._log = log
        self._is_ready = is_ready
        self._metrics = metrics
        self._rendered = b""
        self._render_at: Seconds = float("-inf")
        self._callers: set[CallerConnection] = set()
        self._memory = CallerMemory(loop, MemoryBudget(_BUDGET_BYTES))
        self._listener = listen(address.host, address.port)
        loop.watch(self._listener, READ, self._accept)

    def _accept(self, _events: int) -> None:
        accept_pending(self._listener, self._add_caller, self._log.accept_failed)

    def _add_caller(self, sock: socket.socket) -> None:
        if not make_room(self._callers, _MAX_CONNECTIONS):
            self._log.event("caller_refused", callers=len(self._callers))
            sock.close()
            return
        caller = CallerConnection(
            self._loop,
            sock,
            lambda: _LIMITS,
            on_request=self._on_request,
            on_closed=self._callers.discard,
            memory=self._memory,
            is_deferrable=False,
        )
        self._callers.add(caller)

    def _on_request(self, caller: CallerConnection, request: CallerRequest) -> None:
        path = request.target.partition(b"?")[0]
        status, body = _NOT_FOUND, b""
        if path == _READY_PATH:
            status = _OK if self._is_ready() else _UNAVAILABLE
        elif path == _METRICS_PATH:
            status, body = _OK, self._render()
        caller.send_head(status, [(b"Content-Type", b"text/plain")], length=len(body))
        caller.send_body(body)
        caller.finish()

    def _render(self) -> bytes:
        """Returns the metrics, the last ones if they were rendered just now."""
        start = self._loop.now()
        if start >= self._render_at:
            self._rendered = self._metrics()
            end = self._loop.now()
            self._render_at = end + _RENDER_PAUSE * (end - start)
        return self._rendered
