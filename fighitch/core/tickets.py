"""Tickets: idempotency keys issued and signed by this system.

A ticket binds an order to one incarnation of one sidecar, and only that incarnation may
run the order. The signature prevents callers from forging tickets. The ticket epoch of
the sidecar lets it reject tickets that are older than the records it still keeps.
"""

import base64
import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.errors import ErrorKind, Failure
from fighitch.types import CallerName, Incarnation, InstanceName

TICKET_PREFIX = "fk1"
# Longer keys are rejected before their signature is computed.
MAX_TICKET_CHARS = 1_024
# The HMAC-SHA256 is truncated to 128 bits.
_MAC_BYTES = 16


@dataclass(frozen=True, slots=True)
class SharedKey:
    """Secret key shared by entries and sidecars."""

    key_id: str
    secret: bytes


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Content of an issued idempotency key.

    Attributes:
        caller: Caller to whom the ticket was issued.
        instance: The only sidecar that may run the order.
        incarnation: Incarnation of that sidecar.
        epoch: Ticket epoch of the sidecar when the ticket was issued.
        nonce: Random value that makes the ticket unique.
    """

    caller: CallerName
    instance: InstanceName
    incarnation: Incarnation
    epoch: int
    nonce: str


def is_ticket(key: str) -> bool:
    """Returns whether an idempotency key has the prefix of a ticket."""
    return key.startswith(f"{TICKET_PREFIX}.")


class TicketSigner:
    """Signs tickets with the first shared key and accepts any of the shared keys."""

    def __init__(self, keys: Sequence[SharedKey]) -> None:
        """Initialises the signer.

        Args:
            keys: Valid keys. The first one signs; the others are accepted as well, so
                that keys can be rotated.

        Raises:
            ValueError: If ``keys`` is empty.
        """
        self.replace_keys(keys)

    def replace_keys(self, keys: Sequence[SharedKey]) -> None:
        """Replaces the keys, for key rotation.

        Raises:
            ValueError: If ``keys`` is empty.
        """
        if not keys:
            raise ValueError("no shared key given; at least one is required")
        self._signing_key = keys[0]
        self._secrets = {key.key_id: key.secret for key in keys}

    def sign(self, ticket: Ticket) -> str:
        """Returns the ticket as text for an ``Idempotency-Key`` header."""
        payload = _encode_base64(msgspec.json.encode(ticket))
        signed = f"{TICKET_PREFIX}.{self._signing_key.key_id}.{payload}"
        return f"{signed}.{_mac(self._signing_key.secret, signed)}"

    def verify(self, text: str) -> Result[Ticket, Failure]:
        """Parses a ticket and verifies its signature.

        Args:
            text: Value of the ``Idempotency-Key`` header.

        Returns:
            The ticket, or a failure of kind ``BAD_REQUEST``.
        """
        parts = text.split(".")
        if len(parts) != 4 or len(text) > MAX_TICKET_CHARS or not is_ticket(text):
            return _invalid_key_failure("is not an issued key")
        secret = self._secrets.get(parts[1])
        if secret is None:
            return _invalid_key_failure(f"was signed with the unknown key {parts[1]!r}")
        if not hmac.compare_digest(
            _mac(secret, text.rpartition(".")[0]).encode(), parts[3].encode()
        ):
            return _invalid_key_failure("has an invalid signature")
        try:
            return Ok(msgspec.json.decode(_decode_base64(parts[2]), type=Ticket))
        except (*DECODE_ERRORS, ValueError):
            return _invalid_key_failure("has invalid content")


def _invalid_key_failure(problem: str) -> Result[Ticket, Failure]:
    detail = f"Idempotency-Key {problem}; request one at /v1/idempotency-keys"
    return Error(Failure(ErrorKind.BAD_REQUEST, detail))


def _mac(secret: bytes, signed: str) -> str:
    digest = hmac.new(secret, signed.encode(), hashlib.sha256).digest()
    return _encode_base64(digest[:_MAC_BYTES])


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode_base64(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
