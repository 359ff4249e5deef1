"""Mutual authentication by shared keys.

The connecting side sends ``Hello`` with a nonce; the accepting side answers with its
own ``Hello``, whose ``mac`` covers that nonce; the connecting side ends with ``Proof``,
whose ``mac`` covers the other nonce. Each mac covers both identities, both nonces and
the direction, so that a message cannot be reflected or replayed. Several keys may be
valid at once: the first signs, any of them is accepted.
"""

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import replace
from enum import Enum

from fighitch.core.messages import PROTOCOL_VERSION, Peer
from fighitch.core.tickets import SharedKey
from fighitch.wire.codec import Frame, Hello, Proof

NONCE_BYTES = 16


class HandshakeError(Exception):
    """The peer is not one of the project's own processes, or speaks another version."""


class _Step(Enum):
    HELLO = "hello"
    PROOF = "proof"
    DONE = "done"


class Handshake:
    """One side of the exchange."""

    def __init__(
        self,
        identity: Peer,
        keys: Sequence[SharedKey],
        *,
        nonce: bytes,
        is_connecting: bool,
    ) -> None:
        """Prepares the exchange.

        Args:
            identity: Identity of this process.
            keys: Valid keys; the first signs.
            nonce: ``NONCE_BYTES`` random bytes.
            is_connecting: Whether this side opened the connection.
        """
        self._keys = {key.key_id: key.secret for key in keys}
        self._signing_key = keys[0]
        self._is_connecting = is_connecting
        self._own = Hello(
            PROTOCOL_VERSION,
            identity.role,
            identity.instance,
            identity.incarnation,
            identity.availability_zone,
            nonce,
        )
        self._other: Hello | None = None
        self._step = _Step.HELLO

    @property
    def peer(self) -> Peer | None:
        """The authenticated peer, or None before the exchange is complete."""
        if self._step is not _Step.DONE or self._other is None:
            return None
        return Peer(
            self._other.role,
            self._other.instance,
            self._other.incarnation,
            self._other.availability_zone,
        )

    def start(self) -> list[Frame]:
        """Returns the messages to send first."""
        return [self._own] if self._is_connecting else []

    def receive(self, message: Frame) -> list[Frame]:
        """Takes the next message of the peer.

        Returns:
            The messages to send in return.

        Raises:
            HandshakeError: If the peer is refused.
        """
        if isinstance(message, Hello) and self._step is _Step.HELLO:
            return self._receive_hello(message)
        if isinstance(message, Proof) and self._step is _Step.PROOF:
            self._check(message.key_id, message.mac, b"connecting")
            self._step = _Step.DONE
            return []
        raise HandshakeError(f"{type(message).__name__} came out of turn")

    def _receive_hello(self, hello: Hello) -> list[Frame]:
        if hello.protocol_version != PROTOCOL_VERSION:
            raise HandshakeError(
                f"protocol version {hello.protocol_version} is not {PROTOCOL_VERSION}"
            )
        if len(hello.nonce) != NONCE_BYTES:
            raise HandshakeError(f"nonce of {len(hello.nonce)} bytes is not allowed")
        self._other = hello
        key_id = self._signing_key.key_id
        if self._is_connecting:
            self._check(hello.key_id, hello.mac, b"accepting")
            self._step = _Step.DONE
            return [Proof(key_id, self._mac(self._signing_key.secret, b"connecting"))]
        self._step = _Step.PROOF
        mac = self._mac(self._signing_key.secret, b"accepting")
        return [replace(self._own, key_id=key_id, mac=mac)]

    def _check(self, key_id: str, mac: bytes, direction: bytes) -> None:
        secret = self._keys.get(key_id)
        if secret is None:
            raise HandshakeError(f"shared key {key_id!r} is unknown")
        if not hmac.compare_digest(mac, self._mac(secret, direction)):
            raise HandshakeError(f"signature by key {key_id!r} is wrong")

    def _mac(self, secret: bytes, direction: bytes) -> bytes:
        if self._other is None:
            raise HandshakeError("no Hello received yet")
        sides = (self._own, self._other)
        connecting, accepting = sides if self._is_connecting else reversed(sides)
        digest = hmac.new(secret, direction, hashlib.sha256)
        for hello in (connecting, accepting):
            for part in (
                hello.role.value.encode(),
                hello.instance.encode(),
                str(hello.incarnation).encode(),
                hello.availability_zone.encode(),
                hello.nonce,
            ):
                digest.update(len(part).to_bytes(4, "big") + part)
        return digest.digest()
