"""HTTP server: an acceptor task and a pool of handler tasks around werkzeug.

werkzeug's own serving loop starts a thread for each connection. Here a thread is taken
from a bounded pool, and only once a connection has sent something, so that idle
connections cost a file descriptor and no thread.
"""

import io
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
# Longest time for a whole request to arrive. Without it a caller that sends a byte now
# and then would hold a thread for as long as it likes.
REQUEST_TIMEOUT: Seconds = 30.0
MAX_IDLE_CONNECTIONS = 4_096
# Longest wait, once the port is closed, for the requests of connections made before.
LAST_REQUEST_WAIT: Seconds = 0.5
_LAST_POLL: Seconds = 0.05
_POLL: Seconds = 0.5

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class _RequestReader(io.RawIOBase):
    """Reads a socket until a deadline."""

    def __init__(self, sock: socket.socket, deadline: Seconds) -> None:
        self._sock = sock
        self._deadline = deadline

    def readable(self) -> bool:
        """Returns that it can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Reads what has arrived.

        Raises:
            TimeoutError: If the deadline has passed or nothing arrives for too long.
        """
        remaining = self._deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("the request did not arrive in time")
        self._sock.settimeout(min(remaining, SOCKET_TIMEOUT))
        try:
            return self._sock.recv_into(buffer)
        finally:
            self._sock.settimeout(SOCKET_TIMEOUT)


class _Server(BaseWSGIServer):
    """Server whose handlers report what they refuse."""

    on_refused: Callable[[str], None]


class _Handler(WSGIRequestHandler):
    """Silent request handler with a timeout for slow callers."""

    protocol_version = "HTTP/1.1"
    timeout = SOCKET_TIMEOUT
    # werkzeug writes each chunk of a stream in four parts and then flushes. Without a
    # buffer every part would be a system call and a packet of its own.
    wbufsize = 64 * 1024

    server: _Server

    def setup(self) -> None:
        """Opens the streams; the request must arrive before a deadline."""
        super().setup()
        deadline = time.monotonic() + REQUEST_TIMEOUT
        self.rfile.close()
        self.rfile = io.BufferedReader(_RequestReader(self.connection, deadline))

    def log_error(self, format: str, *args: Any) -> None:  # noqa: A002
        """Counts a request that is not HTTP, too large or too slow."""
        self.server.on_refused(format % args)

    def connection_dropped(
        self, error: BaseException, environ: dict[str, Any] | None = None
    ) -> None:
        """Counts a request that did not arrive in time."""
        if isinstance(error, TimeoutError):
            self.server.on_refused(f"Request timed out: {error!r}")

    def log(self, type: str, message: str, *args: Any) -> None:  # noqa: A002
        """Drops werkzeug's own log lines; the application logs its events."""


class HttpServer:
    """Serves a WSGI application."""

    def __init__(
        self,
        address: str,
        app: WsgiApp,
        *,
        workers: int,
        name: str,
        on_refused: Callable[[str], None] = lambda detail: None,
    ) -> None:
        """Binds the address; ``start`` begins to serve.

        Args:
            address: ``ip:port``; port 0 takes a free one.
            app: WSGI application; its calls run on the pool.
            workers: Most requests that are handled at once.
            name: Prefix of thread names.
            on_refused: Told about each connection or request that is refused before
                the application sees it; called from several threads.
        """
        host, _, port = address.rpartition(":")
        self._server = _Server(host, int(port), app, handler=_Handler)
        self._server.on_refused = on_refused
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
        self._executor.shutdown(wait=True)

    def _run(self) -> None:
        while not self._is_stopping:
            for key, _ in self._selector.select(_POLL):
                if key.fileobj is self._server.socket:
                    self._accept()
                else:
                    self._start_handler(key.fd)
            self._close_idle()
        self._take_last()
        for sock, _, _ in self._idle.values():
            sock.close()
        self._selector.close()

    def _take_last(self) -> None:
        """Closes the port, then handles connections that were made before.

        To close one of them unread would reset it, and its caller could not know
        whether the request was handled.
        """
        while self._accept():
            pass
        self._selector.unregister(self._server.socket)
        self._server.server_close()
        deadline = time.monotonic() + LAST_REQUEST_WAIT
        while self._idle and time.monotonic() < deadline:
            for key, _ in self._selector.select(_LAST_POLL):
                self._start_handler(key.fd)

    def _accept(self) -> bool:
        try:
            sock, address = self._server.socket.accept()
        except OSError:
            return False
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            # The oldest goes, so that idle connections cannot keep callers out.
            self._drop_idle(next(iter(self._idle)), "too many idle connections")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._idle[sock.fileno()] = (sock, address, time.monotonic())
        self._selector.register(sock, selectors.EVENT_READ)
        return True

    def _start_handler(self, descriptor: int) -> None:
        sock, address, _ = self._idle.pop(descriptor)
        self._selector.unregister(sock)
        self._executor.submit(self._handle, sock, address)

    def _close_idle(self) -> None:
        oldest = time.monotonic() - IDLE_TIMEOUT
        expired = [fd for fd, (_, _, since) in self._idle.items() if since < oldest]
        for descriptor in expired:
            self._drop_idle(descriptor, "idle connection")

    def _drop_idle(self, descriptor: int, reason: str) -> None:
        sock, _, _ = self._idle.pop(descriptor)
        self._selector.unregister(sock)
        sock.close()
        self._server.on_refused(reason)

    def _handle(self, sock: Any, address: Any) -> None:
        try:
            self._server.finish_request(sock, address)
        except OSError:
            return
        finally:
            self._server.shutdown_request(sock)
