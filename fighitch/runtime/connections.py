"""Non-blocking, authenticated TCP connection to a peer."""

import os
import socket
from collections.abc import Iterator, Sequence

from fighitch.core.messages import Message, Peer
from fighitch.core.tickets import SharedKey
from fighitch.types import ConnectionId, Seconds
from fighitch.wire.codec import CodecError, Frame, Hello, Proof, decode, encode
from fighitch.wire.framing import FrameReader, frame
from fighitch.wire.handshake import NONCE_BYTES, Handshake, HandshakeError

RECEIVE_BYTES = 256 * 1024
# A connection with more unsent bytes is closed, to bound the memory used for a peer
# that reads slowly.
MAX_UNSENT_BYTES = 32 * 1024 * 1024
HANDSHAKE_TIMEOUT: Seconds = 2.0


class ConnectionLostError(Exception):
    """The connection was closed, rejected or violated the protocol.

    Attributes:
        is_rejected: Whether the peer failed the handshake or sent an invalid frame.
    """

    def __init__(self, detail: str, *, is_rejected: bool = False) -> None:
        super().__init__(detail)
        self.is_rejected = is_rejected


class Connection:
    """A socket with the state of its handshake, frame reader and send buffer."""

    def __init__(
        self,
        connection_id: ConnectionId,
        sock: socket.socket,
        identity: Peer,
        keys: Sequence[SharedKey],
        *,
        opened_at: Seconds,
        address: str = "",
    ) -> None:
        """Wraps a socket, which the connection then owns.

        Args:
            connection_id: Identifier of the connection, unique in this process.
            sock: Socket that is connected or being connected.
            identity: Identity of this process.
            keys: Shared keys.
            opened_at: Time from which the handshake timeout is measured.
            address: ``ip:port`` of the peer if this side connects, else empty.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.id = connection_id
        self.sock = sock
        self.address = address
        self.opened_at = opened_at
        self.is_connecting = bool(address)
        self.is_reported = False
        self._reader = FrameReader()
        self._unsent = bytearray()
        self._handshake = Handshake(
            identity,
            keys,
            nonce=os.urandom(NONCE_BYTES),
            is_connecting=bool(address),
        )

    @property
    def peer(self) -> Peer | None:
        """The authenticated peer; None until the handshake is complete."""
        return self._handshake.peer

    @property
    def wants_write(self) -> bool:
        """Whether the loop must wait for the socket to become writable."""
        return self.is_connecting or bool(self._unsent)

    def finish_connect(self) -> None:
        """Starts the handshake once the socket is connected.

        Raises:
            ConnectionLostError: If the connection could not be established.
        """
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise ConnectionLostError(os.strerror(error))
        self.is_connecting = False
        for message in self._handshake.start():
            self._enqueue(message)

    def send(self, message: Message) -> None:
        """Appends a message to the send buffer, which ``flush`` writes.

        Raises:
            ConnectionLostError: If the send buffer exceeds ``MAX_UNSENT_BYTES``.
            CodecError: If the message is too large.
        """
        self._enqueue(message)
        if len(self._unsent) > MAX_UNSENT_BYTES:
            raise ConnectionLostError(f"{len(self._unsent)} bytes unsent")

    def flush(self) -> None:
        """Writes as much of the send buffer as the socket accepts.

        Raises:
            ConnectionLostError: If the connection is closed.
        """
        if not self._unsent or self.is_connecting:
            return
        try:
            sent = self.sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        del self._unsent[:sent]

    def receive(self) -> Iterator[Message]:
        """Reads the socket once and yields the messages of the authenticated peer.

        Raises:
            ConnectionLostError: If the connection is closed or the peer is rejected.
        """
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        if not data:
            raise ConnectionLostError("closed by peer")
        self._reader.feed(data)
        try:
            for body in self._reader.messages():
                yield from self._process_frame(decode(body))
        except (CodecError, HandshakeError) as error:
            raise ConnectionLostError(str(error), is_rejected=True) from error

    def _process_frame(self, message: Frame) -> Iterator[Message]:
        if self.peer is None:
            for reply in self._handshake.receive(message):
                self._enqueue(reply)
            if self.peer is not None:
                self._reader.raise_limit()
            return
        if isinstance(message, Hello | Proof):
            raise HandshakeError("a second handshake is not allowed")
        yield message

    def _enqueue(self, message: Frame) -> None:
        self._unsent += frame(encode(message))
