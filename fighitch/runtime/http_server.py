"""HTTP server: an acceptor task and a pool of handler tasks around werkzeug.

werkzeug's own serving loop starts a thread for each connection. Here a thread is taken
from a bounded pool, and only once a connection has sent something, so that idle
connections cost a file descriptor and no thread.
"""

import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from fighitch.types import Seconds

# Longest wait for the first byte of a connection, and for more bytes of a request or
# for the caller to read an answer.
IDLE_TIMEOUT: Seconds = 10.0
SOCKET_TIMEOUT: Seconds = 30.0
MAX_IDLE_CONNECTIONS = 4_096
_POLL: Seconds = 0.5

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class _Handler(WSGIRequestHandler):
    """Silent request handler with a timeout for slow callers."""

    protocol_version = "HTTP/1.1"
    timeout = SOCKET_TIMEOUT
    # werkzeug writes each chunk of a stream in four parts and then flushes. Without a
    # buffer every part would be a system call and a packet of its own.
    wbufsize = 64 * 1024

    def log(self, type: str, message: str, *args: Any) -> None:  # noqa: A002
        """Drops werkzeug's own log lines; the application logs its events."""


class HttpServer:
    """Serves a WSGI application."""

    def __init__(self, address: str, app: WsgiApp, *, workers: int, name: str) -> None:
        """Binds the address; ``start`` begins to serve.

        Args:
            address: ``ip:port``; port 0 takes a free one.
            app: WSGI application; its calls run on the pool.
            workers: Most requests that are handled at once.
            name: Prefix of thread names.
        """
        host, _, port = address.rpartition(":")
        self._server = BaseWSGIServer(host, int(port), app, handler=_Handler)
        # The application may be called by several threads at once.
        self._server.multithread = True
        self._executor = ThreadPoolExecutor(workers, thread_name_prefix=name)
        self._thread = threading.Thread(
            target=self._run, name=f"{name}-accept", daemon=True
        )
        self._is_stopping = False
        self._idle: dict[int, tuple[Any, Any, Seconds]] = {}
        self._selector = selectors.DefaultSelector()

    @property
    def address(self) -> str:
        """The address that is served, ``ip:port``."""
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Begins to serve."""
        self._server.socket.setblocking(False)
        self._selector.register(self._server.socket, selectors.EVENT_READ)
        self._thread.start()

    def stop(self) -> None:
        """Accepts nothing more and waits for the requests in flight."""
        self._is_stopping = True
        self._thread.join()
        self._server.server_close()
        self._executor.shutdown(wait=True)

    def _run(self) -> None:
        while not self._is_stopping:
            for key, _ in self._selector.select(_POLL):
                if key.fileobj is self._server.socket:
                    self._accept()
                else:
                    self._start_handler(key.fd)
            self._close_idle()
        for sock, _, _ in self._idle.values():
            sock.close()
        self._selector.close()

    def _accept(self) -> None:
        try:
            sock, address = self._server.socket.accept()
        except OSError:
            return
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._idle[sock.fileno()] = (sock, address, time.monotonic())
        self._selector.register(sock, selectors.EVENT_READ)

    def _start_handler(self, descriptor: int) -> None:
        sock, address, _ = self._idle.pop(descriptor)
        self._selector.unregister(sock)
        self._executor.submit(self._handle, sock, address)

    def _close_idle(self) -> None:
        oldest = time.monotonic() - IDLE_TIMEOUT
        expired = [fd for fd, (_, _, since) in self._idle.items() if since < oldest]
        for descriptor in expired:
            sock, _, _ = self._idle.pop(descriptor)
            self._selector.unregister(sock)
            sock.close()

    def _handle(self, sock: Any, address: Any) -> None:
        try:
            self._server.finish_request(sock, address)
        except OSError:
            return
        finally:
            self._server.shutdown_request(sock)
