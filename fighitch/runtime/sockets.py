"""Creates, configures and accepts the TCP sockets of the event loop."""

import socket
from collections.abc import Callable

# A peer that disappears without a reset is detected after about this time.
_USER_TIMEOUT_MS = 3_000
_KEEPALIVE_IDLE_SECONDS = 2
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
_BACKLOG = 1_024


def open_stream() -> socket.socket:
    """Returns a non-blocking TCP socket for an outgoing connection."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_stream_options(sock)
    return sock


def start_connecting(sock: socket.socket, host: str, port: int) -> None:
    """Starts to connect a non-blocking socket.

    Args:
        sock: Socket that is writable once it is connected.
        host: IPv4 address; a name would block the event loop while it is looked up.
        port: TCP port.

    Raises:
        OSError: If the address is not valid or can't be reached.
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
        sock.connect((host, port))
    except BlockingIOError:
        return
    except (OverflowError, TypeError, ValueError) as error:
        raise OSError(f"cannot connect to port {port}: {error}") from error


def set_stream_options(sock: socket.socket) -> None:
    """Makes a socket non-blocking and enables the detection of an unresponsive peer."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def listen(host: str, port: int) -> socket.socket:
    """Returns a non-blocking listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(_BACKLOG)
    return sock


def accept_pending(
    listener: socket.socket,
    on_socket: Callable[[socket.socket], None],
    on_error: Callable[[OSError], None],
) -> None:
    """Accepts all pending connections.

    Args:
        listener: Non-blocking listening socket.
        on_socket: Called with each accepted socket.
        on_error: Called if a connection cannot be accepted, for example because the
            process has no free file descriptor.
    """
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            on_error(error)
            return
        on_socket(sock)
