"""Creates, configures and accepts the TCP sockets of the event loop."""

import fcntl
import socket
import struct
import termios
from collections.abc import Callable

# A peer that disappears without a reset is detected after about this time.
_USER_TIMEOUT_MS = 3_000
# Callers may be slow to read; the timeout ends the connection of one that takes nothing
# of a response, too, even if its host still acknowledges probes.
CALLER_USER_TIMEOUT_MS = 10_000
_KEEPALIVE_IDLE_SECONDS = 2
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
BACKLOG = 1_024
# Connections accepted in a turn; the rest stays in the backlog for the next one.
ACCEPTED_PER_TURN = 32


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


def set_stream_options(
    sock: socket.socket, *, user_timeout_ms: int = _USER_TIMEOUT_MS
) -> None:
    """Makes a socket non-blocking and enables the detection of an unresponsive peer.

    Args:
        sock: Socket of a TCP connection.
        user_timeout_ms: Time after which a connection ends if its peer does not take
            what was sent, in ms.
    """
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


def count_unacknowledged(sock: socket.socket) -> int:
    """Returns how many sent bytes the host of the peer has not acknowledged.

    Returns:
        The bytes in the send queue of the kernel; 0 if it does not tell.
    """
    answer = struct.pack("i", 0)
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, answer)
    except OSError:
        return 0
    count: int = struct.unpack("i", answer)[0]
    return count


def listen(host: str, port: int) -> socket.socket:
    """Returns a non-blocking listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def accept_pending(
    listener: socket.socket,
    on_socket: Callable[[socket.socket], None],
    on_error: Callable[[OSError], None],
    *,
    max_count: int = ACCEPTED_PER_TURN,
) -> None:
    """Accepts pending connections.

    Args:
        listener: Non-blocking listening socket.
        on_socket: Called with each accepted socket.
        on_error: Called if a connection cannot be accepted, for example because the
            process has no free file descriptor.
        max_count: Largest number of connections to accept.
    """
    for _ in range(max_count):
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            on_error(error)
            return
        on_socket(sock)
