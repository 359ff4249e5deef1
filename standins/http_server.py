"""HTTP/1.1 server with a bounded thread pool, used by all stand-ins."""

import os
import select
import socket
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from typing import Any
from wsgiref.types import StartResponse, WSGIEnvironment

import msgspec
from werkzeug.exceptions import BadRequest, HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler
from werkzeug.wrappers import Request, Response

HOST = "127.0.0.1"
_ACCEPT_POLL_SECONDS = 0.05

Handler = Callable[..., Response]


class AbortConnection(ConnectionError):  # noqa: N818
    """Raised by a request handler to close the connection without sending more."""


class Router:
    """WSGI application that dispatches requests by method and path."""

    def __init__(
        self,
        routes: Iterable[tuple[str, str, Handler]],
        *,
        before_request: Callable[[], None] | None = None,
        error_response: Callable[[HTTPException], Response] | None = None,
    ) -> None:
        """Builds the routing table.

        Args:
            routes: Method, werkzeug path rule and handler. The handler receives the
                request, and the path arguments as keyword arguments.
            before_request: Called before each request; may block or raise.
            error_response: Converts an HTTP error to a response; JSON by default.
        """
        self._rules = Map(
            [
                Rule(rule, endpoint=handler, methods=[method])
                for method, rule, handler in routes
            ],
            merge_slashes=False,
            redirect_defaults=False,
        )
        self._before_request = before_request
        self._error_response = error_response or _json_error

    def __call__(  # noqa: D102
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        if self._before_request is not None:
            self._before_request()
        try:
            handler, arguments = self._rules.bind_to_environ(environ).match()
            response = handler(Request(environ), **arguments)
        except HTTPException as error:
            response = self._error_response(error)
        return response(environ, start_response)


class DisconnectWatcher:
    """Detects that a peer closed its connection while nothing is being written."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._lock = threading.Lock()
        self._wake_fd = os.eventfd(0)
        self._epoll.register(self._wake_fd, select.EPOLLIN)
        self._thread = threading.Thread(
            target=self._run, name="disconnects", daemon=True
        )
        self._thread.start()

    @contextmanager
    def watch(
        self, connection: socket.socket, on_disconnect: Callable[[], None]
    ) -> Iterator[None]:
        """Calls a function once if the peer disconnects within the block."""
        descriptor = connection.fileno()
        with self._lock:
            self._callbacks[descriptor] = on_disconnect
        self._epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self._lock:
                self._callbacks.pop(descriptor, None)
            # The connection may have been closed in the meantime.
            with suppress(OSError, ValueError):
                self._epoll.unregister(descriptor)

    def close(self) -> None:
        """Stops the watcher and reports every watched connection as closed."""
        os.eventfd_write(self._wake_fd, 1)
        self._thread.join()
        with self._lock:
            remaining = tuple(self._callbacks.values())
        for callback in remaining:
            callback()
        self._epoll.close()
        os.close(self._wake_fd)

    def _run(self) -> None:
        while True:
            for descriptor, _ in self._epoll.poll():
                if descriptor == self._wake_fd:
                    return
                with self._lock:
                    callback = self._callbacks.get(descriptor)
                if callback is not None:
                    callback()


class HttpServer(BaseWSGIServer):
    """Serves a WSGI application; each connection carries one request."""

    multithread = True
    daemon_threads = True

    def __init__(self, application: Any, *, port: int, threads: int) -> None:
        """Binds the port; ``start`` accepts connections.

        Args:
            application: WSGI application.
            port: TCP port on 127.0.0.1; 0 selects a free port.
            threads: Maximum number of concurrent requests.
        """
        super().__init__(HOST, port, application, handler=_RequestHandler)
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix=f"http{port}")
        self._connections: set[socket.socket] = set()
        self._connections_lock = threading.Lock()
        self._acceptor = threading.Thread(
            target=self.serve_forever, args=(_ACCEPT_POLL_SECONDS,), daemon=True
        )
        self.is_rejecting: Callable[[], bool] = lambda: False
        self.disconnects = DisconnectWatcher()

    @property
    def bound_port(self) -> int:
        """TCP port on which the server listens."""
        return int(self.socket.getsockname()[1])

    def start(self) -> None:
        """Accepts connections in a separate thread."""
        self._acceptor.start()

    def stop(self) -> None:
        """Stops accepting and shuts down all connections without awaiting requests."""
        self.shutdown()
        self._acceptor.join()
        self.cut_connections()
        self.server_close()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self.disconnects.close()

    def cut_connections(self) -> None:
        """Shuts down every open connection in both directions."""
        with self._connections_lock:
            for connection in self._connections:
                # The peer may have closed it already.
                with suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)

    def verify_request(self, request: Any, client_address: Any) -> bool:
        """Returns whether to serve a new connection; otherwise it is closed."""
        return not self.is_rejecting()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Submits a connection to the thread pool."""
        with self._connections_lock:
            self._connections.add(request)
        self._pool.submit(self._serve, request, client_address)

    def _serve(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            with self._connections_lock:
                self._connections.discard(request)
            self.shutdown_request(request)


class _RequestHandler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def connection_dropped(self, error: BaseException, environ: Any = None) -> None:
        self.close_connection = True

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        pass


def json_response(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a response with a JSON body."""
    return Response(
        msgspec.json.encode(value),
        status=status,
        headers=dict(headers or {}),
        mimetype="application/json",
    )


def error_response(
    status: int, message: str, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns an error response in the JSON format of OpenAI-style servers."""
    return json_response(
        {"error": {"message": message, "code": status}}, status, headers
    )


def read_json_object(request: Request) -> dict[str, Any]:
    """Decodes the body of a request, which must be a JSON object.

    Raises:
        BadRequest: If the body is not a JSON object.
    """
    try:
        return msgspec.json.decode(request.get_data(), type=dict[str, Any])
    except msgspec.MsgspecError as error:
        raise BadRequest(f"body is not a JSON object: {error}") from error


def get_connection(request: Request) -> socket.socket:
    """Returns the socket on which a request arrived."""
    connection: socket.socket = request.environ["werkzeug.socket"]
    return connection


def _json_error(error: HTTPException) -> Response:
    return error_response(error.code or 500, error.description or error.name)
