"""Mutual authentication of peers with shared keys.

1. The connecting side sends ``Hello`` with a nonce.
2. The accepting side responds with its own ``Hello``, whose ``mac`` covers that nonce.
3. The connecting side completes the handshake with ``Proof``, whose ``mac`` covers the
   nonce of the accepting side.

Each MAC covers both identities, both nonces and the direction, so that messages cannot
be reflected or replayed. Several keys can be valid at once: MACs are computed with the
first one, and any of them is accepted.
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
    """The peer failed authentication or uses another version of the protocol."""


class _Step(Enum):
    HELLO = "hello"
    PROOF = "proof"
    DONE = "done"


class Handshake:
    """State machine for one side of the handshake."""

    def __init__(
        self,
        identity: Peer,
        keys: Sequence[SharedKey],
        *,
        nonce: bytes,
        is_connecting: bool,
    ) -> None:
        """Initialises the handshake.

        Args:
            identity: Identity of this process.
            keys: Valid keys; MACs are computed with the first one.
            nonce: ``NONCE_BYTES`` random bytes.
            is_connecting: Whether this side opened the connection.
        """
        self._keys = {key.key_id: key.secret for key in keys}
        self._signing_key = keys[0]
        self._is_connecting = is_connecting
        self._own_hello = Hello(
            PROTOCOL_VERSION,
            identity.role,
            identity.instance,
            identity.incarnation,
            identity.availability_zone,
            nonce,
        )
        self._peer_hello: Hello | None = None
        self._step = _Step.HELLO

    @property
    def peer(self) -> Peer | None:
        """Identity of the authenticated peer; None until the handshake is complete."""
        if self._step is not _Step.DONE or self._peer_hello is None:
            return None
        return Peer(
            self._peer_hello.role,
            self._peer_hello.instance,
            self._peer_hello.incarnation,
            self._peer_hello.availability_zone,
        )

    def start(self) -> list[Frame]:
        """Returns the messages to send when the connection opens."""
        return [self._own_hello] if self._is_connecting else []

    def receive(self, message: Frame) -> list[Frame]:
        """Processes the next message from the peer.

        Returns:
            The messages to send in response.

        Raises:
            HandshakeError: If the peer is rejected.
        """
        if isinstance(message, Hello) and self._step is _Step.HELLO:
            return self._receive_hello(message)
        if isinstance(message, Proof) and self._step is _Step.PROOF:
            self._verify_mac(message.key_id, message.mac, b"connecting")
            self._step = _Step.DONE
            return []
        raise HandshakeError(f"unexpected {type(message).__name__} in the handshake")

    def _receive_hello(self, hello: Hello) -> list[Frame]:
        if hello.protocol_version != PROTOCOL_VERSION:
            raise HandshakeError(
                f"protocol version {hello.protocol_version} is not {PROTOCOL_VERSION}"
            )
        if len(hello.nonce) != NONCE_BYTES:
            raise HandshakeError(
                f"nonce has {len(hello.nonce)} bytes, not {NONCE_BYTES}"
            )
        self._peer_hello = hello
        key_id = self._signing_key.key_id
        if self._is_connecting:
            self._verify_mac(hello.key_id, hello.mac, b"accepting")
            self._step = _Step.DONE
            return [
                Proof(
                    key_id, self._compute_mac(self._signing_key.secret, b"connecting")
                )
            ]
        self._step = _Step.PROOF
        mac = self._compute_mac(self._signing_key.secret, b"accepting")
        return [replace(self._own_hello, key_id=key_id, mac=mac)]

    def _verify_mac(self, key_id: str, mac: bytes, direction: bytes) -> None:
        secret = self._keys.get(key_id)
        if secret is None:
            raise HandshakeError(f"shared key {key_id!r} is unknown")
        if not hmac.compare_digest(mac, self._compute_mac(secret, direction)):
            raise HandshakeError(f"MAC with shared key {key_id!r} is invalid")

    def _compute_mac(self, secret: bytes, direction: bytes) -> bytes:
        if self._peer_hello is None:
            raise HandshakeError("no Hello received from the peer yet")
        sides = (self._own_hello, self._peer_hello)
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
