"""One authenticated TCP connection to a peer, without blocking."""

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
# A peer that reads this slowly is cut off, so that it cannot fill the memory.
MAX_UNSENT_BYTES = 32 * 1024 * 1024
HANDSHAKE_TIMEOUT: Seconds = 2.0


class ConnectionLostError(Exception):
    """The connection is closed, refused or broke the protocol.

    Attributes:
        is_refused: Whether the peer failed the handshake or sent a bad frame.
    """

    def __init__(self, detail: str, *, is_refused: bool = False) -> None:
        super().__init__(detail)
        self.is_refused = is_refused


class Connection:
    """A socket with its handshake, its incoming frames and its unsent bytes."""

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
        """Takes over a socket.

        Args:
            connection_id: Number of the connection in this process.
            sock: Connected or connecting socket.
            identity: Identity of this process.
            keys: Shared keys.
            opened_at: Time at which the handshake's timeout starts.
            address: ``ip:port`` if this side opens the connection.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.id = connection_id
        self.sock = sock
        self.address = address
        self.opened_at = opened_at
        self.is_connecting = bool(address)
        self.is_announced = False
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
        """The authenticated peer, or None before the handshake is complete."""
        return self._handshake.peer

    @property
    def wants_write(self) -> bool:
        """Whether the loop must wait until the socket can be written."""
        return self.is_connecting or bool(self._unsent)

    def finish_connect(self) -> None:
        """Starts the handshake once the socket is connected.

        Raises:
            ConnectionLostError: If the connection could not be made.
        """
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise ConnectionLostError(os.strerror(error))
        self.is_connecting = False
        for message in self._handshake.start():
            self._queue(message)

    def send(self, message: Message) -> None:
        """Queues a message; ``flush`` writes it.

        Raises:
            ConnectionLostError: If the peer reads too slowly.
            CodecError: If the message is too large.
        """
        self._queue(message)
        if len(self._unsent) > MAX_UNSENT_BYTES:
            raise ConnectionLostError(f"{len(self._unsent)} bytes unsent")

    def flush(self) -> None:
        """Writes what the socket takes.

        Raises:
            ConnectionLostError: If the connection is gone.
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
        """Reads the socket and yields the messages of the authenticated peer.

        Raises:
            ConnectionLostError: If the connection is gone or the peer is refused.
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
                yield from self._accept(decode(body))
        except (CodecError, HandshakeError) as error:
            raise ConnectionLostError(str(error), is_refused=True) from error

    def _accept(self, message: Frame) -> Iterator[Message]:
        if self.peer is None:
            for answer in self._handshake.receive(message):
                self._queue(answer)
            if self.peer is not None:
                self._reader.raise_limit()
            return
        if isinstance(message, Hello | Proof):
            raise HandshakeError("a second handshake is not allowed")
        yield message

    def _queue(self, message: Frame) -> None:
        self._unsent += frame(encode(message))
