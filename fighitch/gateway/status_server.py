"""HTTP server for readiness probes and metrics."""

import socket
from collections.abc import Callable

from fighitch.core.gateway.model import CallerLimits
from fighitch.core.gateway.settings import Address
from fighitch.observability.bounded_log import BoundedLog
from fighitch.runtime.event_loop import READ, EventLoop
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.sockets import accept_pending, listen

_OK = 200
_UNAVAILABLE = 503
_NOT_FOUND = 404
_METRICS_PATH = b"/metrics"
_READY_PATH = b"/readyz"


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
        self._callers: set[CallerConnection] = set()
        self._listener = listen(address.host, address.port)
        loop.watch(self._listener, READ, self._accept)

    def _accept(self, _events: int) -> None:
        accept_pending(self._listener, self._add_caller, self._log.accept_failed)

    def _add_caller(self, sock: socket.socket) -> None:
        caller = CallerConnection(
            self._loop,
            sock,
            CallerLimits,
            on_request=self._on_request,
            on_closed=self._callers.discard,
        )
        self._callers.add(caller)

    def _on_request(self, caller: CallerConnection, request: CallerRequest) -> None:
        path = request.target.partition(b"?")[0]
        status, body = _NOT_FOUND, b""
        if path == _READY_PATH:
            status = _OK if self._is_ready() else _UNAVAILABLE
        elif path == _METRICS_PATH:
            status, body = _OK, self._metrics()
        caller.send_head(status, [(b"Content-Type", b"text/plain")], length=len(body))
        caller.send_body(body)
        caller.finish()
