"""HTTP server: an acceptor thread and a pool of handler threads around werkzeug.

werkzeug's own server starts a thread for each connection. This one takes a thread from
a bounded pool when a connection has sent its first byte, so that an idle connection
costs a file descriptor but no thread.
"""

import contextlib
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

# IDLE_TIMEOUT limits the wait for the first byte of a connection; SOCKET_TIMEOUT limits
# each wait for further bytes of a request and for the caller to read the response.
IDLE_TIMEOUT: Seconds = 10.0
SOCKET_TIMEOUT: Seconds = 30.0
# Limit until a request is complete. Without it, a caller that sends a byte now and then
# would occupy a thread indefinitely.
REQUEST_TIMEOUT: Seconds = 30.0
MAX_IDLE_CONNECTIONS = 4_096
# http.server accepts 100 header lines of 64 KiB each. The heads of the entry's own
# callers have a few KiB.
MAX_HEAD_BYTES = 131_072
# Bytes that all requests being handled may have sent together, and that one may send
# when they have. A body is held twice while it is read: 60 chunked bodies took 166.9 MB
# with a bound of 64 MiB, more than the memory of the smallest machines (152 MB).
MAX_REQUEST_BYTES = 33_554_432
MAX_SMALL_REQUEST_BYTES = 65_536
# While a connection waits for a thread, requests that move less than PROGRESS_BYTES
# within STALL_TIME are ended. Callers on slow links move several times as much.
PROGRESS_BYTES = 4_096
STALL_TIME: Seconds = 0.75
# Longest wait for requests on connections that were accepted before the port closed.
LAST_REQUEST_TIMEOUT: Seconds = 0.5
# More than any body that is accepted; a larger read only discards.
_MAX_READ_BYTES = 8_388_608
_DISCARD_BYTES = 65_536
_LAST_REQUEST_POLL_INTERVAL: Seconds = 0.05
_POLL_INTERVAL: Seconds = 0.5
_CROWDED_POLL_INTERVAL: Seconds = 0.05

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class _RequestTooLargeError(ConnectionError):
    """Raised if a request exceeds a limit on its size or on that of all requests."""


class _RequestMemory:
    """Counts what the requests being handled have sent; used on several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held = 0

    def add(self, count: int, *, total: int) -> None:
        """Adds bytes of a request that has sent a total, if there is room.

        Raises:
            _RequestTooLargeError: If there is no room and the request is not small.
        """
        with self._lock:
            is_full = self._held + count > MAX_REQUEST_BYTES
            if is_full and total > MAX_SMALL_REQUEST_BYTES:
                raise _RequestTooLargeError(f"no room for a request of {total} bytes")
            self._held += count

    def remove(self, count: int) -> None:
        """Removes the bytes of a request that ended."""
        with self._lock:
            self._held -= count


class _RequestReader(io.RawIOBase):
    """Reads from a socket, with a deadline for the whole request."""

    def __init__(
        self, sock: socket.socket, deadline: Seconds, memory: _RequestMemory
    ) -> None:
        self._sock = sock
        self._deadline = deadline
        self._memory = memory
        self._received = 0
        self.is_reading_head = True
        self._is_receiving = False
        self._progress = 0, time.monotonic()

    def close(self) -> None:
        """Releases the memory of the request."""
        if not self.closed:
            self._memory.remove(self._received)
        super().close()

    def end_if_stalled(self, now: Seconds) -> None:
        """Ends the reading of a request that does not progress; thread-safe."""
        count, since = self._progress
        if self._received - count >= PROGRESS_BYTES:
            self._progress = self._received, now
        elif self._is_receiving and now - since >= STALL_TIME:
            # The waiting thread reads the end of the request.
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RD)

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Reads the available bytes into a buffer.

        Raises:
            TimeoutError: If the deadline has passed or no byte arrives in time.
            _RequestTooLargeError: If the request exceeds a limit.
        """
        if self.is_reading_head and self._received > MAX_HEAD_BYTES:
            raise _RequestTooLargeError("the request head is too large")
        remaining = self._deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("the request did not arrive in time")
        self._sock.settimeout(min(remaining, SOCKET_TIMEOUT))
        self._is_receiving = True
        try:
            count = self._sock.recv_into(buffer)
        finally:
            self._is_receiving = False
            self._sock.settimeout(SOCKET_TIMEOUT)
        self._memory.add(count, total=self._received + count)
        self._received += count
        return count


class _RequestBuffer(io.BufferedReader):
    """Buffers a request; a read to discard the rest of it returns a part only."""

    def read(self, size: int | None = -1) -> bytes:
        """Reads bytes.

        werkzeug discards what follows a response in reads of 10 MB, of which each
        thread would hold one.
        """
        if size is not None and size > _MAX_READ_BYTES:
            size = _DISCARD_BYTES
        return super().read(size)


class _Server(BaseWSGIServer):
    """werkzeug server whose handlers report rejected requests."""

    on_rejected: Callable[[str], None]
    memory: _RequestMemory
    readers: "set[_RequestReader]"


class _Handler(WSGIRequestHandler):
    """Request handler without log lines, with timeouts for slow callers."""

    protocol_version = "HTTP/1.1"
    timeout = SOCKET_TIMEOUT
    # werkzeug writes each chunk of a stream in four parts and then flushes. Without a
    # buffer, each part would be a separate system call and packet.
    wbufsize = 64 * 1024

    server: _Server

    def setup(self) -> None:
        """Opens the streams and sets the deadline of the request."""
        super().setup()
        deadline = time.monotonic() + REQUEST_TIMEOUT
        self.rfile.close()
        self._reader = _RequestReader(self.connection, deadline, self.server.memory)
        self.rfile = _RequestBuffer(self._reader)
        self.server.readers.add(self._reader)

    def finish(self) -> None:
        """Closes the streams."""
        self.server.readers.discard(self._reader)
        super().finish()

    def parse_request(self) -> bool:
        """Parses the head, after which the limit on its size ends."""
        try:
            return super().parse_request()
        finally:
            self._reader.is_reading_head = False

    def log_error(self, format: str, *args: Any) -> None:  # noqa: A002
        """Reports a request that is malformed, too large or too slow."""
        self.server.on_rejected(format % args)

    def connection_dropped(
        self, error: BaseException, environ: dict[str, Any] | None = None
    ) -> None:
        """Reports a request that was not complete in time."""
        if isinstance(error, TimeoutError):
            self.server.on_rejected(f"Request timed out: {error!r}")
        if isinstance(error, _RequestTooLargeError):
            self.server.on_rejected(f"Request too large: {error}")

    def log(self, type: str, message: str, *args: Any) -> None:  # noqa: A002
        """Discards the log lines of werkzeug; the application logs its own events."""


class HttpServer:
    """Serves a WSGI application on a bounded thread pool."""

    def __init__(
        self,
        address: str,
        app: WsgiApp,
        *,
        workers: int,
        name: str,
        on_rejected: Callable[[str], None] = lambda detail: None,
    ) -> None:
        """Binds the address; ``start`` serves it.

        Args:
            address: ``ip:port``; port 0 selects a free port.
            app: WSGI application; called on the threads of the pool.
            workers: Maximum number of requests handled concurrently.
            name: Prefix of thread names.
            on_rejected: Called with the reason for each connection or request that is
                rejected before it reaches the application; called on several threads.
        """
        host, _, port = address.rpartition(":")
        self._server = _Server(host, int(port), app, handler=_Handler)
        self._server.on_rejected = on_rejected
        self._server.memory = _RequestMemory()
        self._server.readers = set()
        # The application may be called on several threads concurrently.
        self._server.multithread = True
        self._executor = ThreadPoolExecutor(workers, thread_name_prefix=name)
        self._thread = threading.Thread(
            target=self._run, name=f"{name}-accept", daemon=True
        )
        self._is_stopping = False
        # Connections that wait for a thread; changed by all threads.
        self._waiting: set[Any] = set()
        self._idle: dict[int, tuple[Any, Any, Seconds]] = {}
        self._selector = selectors.DefaultSelector()

    @property
    def address(self) -> str:
        """The bound address, ``ip:port``."""
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Starts serving."""
        self._server.socket.setblocking(False)
        self._selector.register(self._server.socket, selectors.EVENT_READ)
        self._thread.start()

    def stop(self) -> None:
        """Stops accepting connections and waits for the requests in flight."""
        self._is_stopping = True
        self._thread.join()
        while self._waiting:
            self._end_stalled()
            time.sleep(_CROWDED_POLL_INTERVAL)
        self._executor.shutdown(wait=True)

    def _run(self) -> None:
        while not self._is_stopping:
            interval = _CROWDED_POLL_INTERVAL if self._waiting else _POLL_INTERVAL
            for key, _ in self._selector.select(interval):
                if key.fileobj is self._server.socket:
                    self._accept()
                else:
                    self._start_handler(key.fd)
            self._end_stalled()
            self._close_idle()
        self._handle_last_requests()
        for sock, _, _ in self._idle.values():
            sock.close()
        self._selector.close()

    def _handle_last_requests(self) -> None:
        """Closes the port, then handles the connections that were already established.

        Closing such a connection without reading it would reset it, and the caller
        could not know whether its request was handled.
        """
        while self._accept():
            pass
        self._selector.unregister(self._server.socket)
        self._server.server_close()
        deadline = time.monotonic() + LAST_REQUEST_TIMEOUT
        while self._idle and time.monotonic() < deadline:
            for key, _ in self._selector.select(_LAST_REQUEST_POLL_INTERVAL):
                self._start_handler(key.fd)

    def _accept(self) -> bool:
        try:
            sock, address = self._server.socket.accept()
        except OSError:
            return False
        if len(self._idle) + len(self._waiting) >= MAX_IDLE_CONNECTIONS:
            # The oldest idle connection is closed, so that idle connections cannot lock
            # out other callers.
            if not self._idle:
                sock.close()
                self._server.on_rejected("too many waiting connections")
                return True
            self._drop_idle(next(iter(self._idle)), "too many idle connections")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._idle[sock.fileno()] = (sock, address, time.monotonic())
        self._selector.register(sock, selectors.EVENT_READ)
        return True

    def _start_handler(self, descriptor: int) -> None:
        if descriptor not in self._idle:
            # It made room for a connection that was accepted in the same round.
            return
        sock, address, _ = self._idle.pop(descriptor)
        self._selector.unregister(sock)
        self._waiting.add(sock)
        self._executor.submit(self._handle, sock, address)

    def _end_stalled(self) -> None:
        """Ends requests that do not progress while connections wait for a thread."""
        if not self._waiting:
            return
        now = time.monotonic()
        for reader in self._server.readers.copy():
            reader.end_if_stalled(now)

    def _close_idle(self) -> None:
        oldest = time.monotonic() - IDLE_TIMEOUT
        expired = [fd for fd, (_, _, since) in self._idle.items() if since < oldest]
        for descriptor in expired:
            self._drop_idle(descriptor, "idle connection")

    def _drop_idle(self, descriptor: int, reason: str) -> None:
        sock, _, _ = self._idle.pop(descriptor)
        self._selector.unregister(sock)
        sock.close()
        self._server.on_rejected(reason)

    def _handle(self, sock: Any, address: Any) -> None:
        self._waiting.discard(sock)
        try:
            self._server.finish_request(sock, address)
        except OSError:
            return
        finally:
            self._server.shutdown_request(sock)
