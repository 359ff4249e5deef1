"""Defines the formats of strings in settings and the annotated types that use them."""

import ipaddress
import re
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Annotated, TypeAlias
from urllib.parse import urlsplit

import msgspec

MIN_SECRET_BYTES = 16
MAX_PORT = 65_535
_ADDRESS = "ip:port, such as '10.0.0.7:8080' or '[fd00::7]:8080'"
_URL = "an http or https URL, such as 'http://10.0.0.7:8080'"
_OPTIONAL_URL = f"{_URL}, or '' for none"
_NAME = "letters, digits, '-', '_' and '.', starting with a letter or digit"
_KEY_ID = "letters, digits, '-' and '_'"
_SECRET = f"at least {MIN_SECRET_BYTES} bytes in hexadecimal digits"


class Format(Enum):
    """String formats that the Python type alone does not express."""

    ADDRESS = _ADDRESS
    URL = _URL
    OPTIONAL_URL = _OPTIONAL_URL
    NAME = _NAME
    KEY_ID = _KEY_ID
    SECRET = _SECRET


def _format(kind: Format) -> msgspec.Meta:
    return msgspec.Meta(extra={"format": kind})


Address: TypeAlias = Annotated[str, _format(Format.ADDRESS)]
Url: TypeAlias = Annotated[str, _format(Format.OPTIONAL_URL)]
RequiredUrl: TypeAlias = Annotated[str, _format(Format.URL)]
Name: TypeAlias = Annotated[str, _format(Format.NAME)]
KeyId: TypeAlias = Annotated[str, _format(Format.KEY_ID)]
Secret: TypeAlias = Annotated[str, _format(Format.SECRET)]
PositiveInt: TypeAlias = Annotated[int, msgspec.Meta(ge=1)]


def split_address(address: str) -> tuple[str, int]:
    """Splits an ``ip:port`` address into host and port.

    Raises:
        ValueError: If the address is malformed.
    """
    host, colon, port = address.rpartition(":")
    ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    is_bracketed = host.startswith("[") and host.endswith("]")
    if not colon or is_bracketed != (ip.version == 6):
        raise ValueError(f"address {address!r} is not {_ADDRESS}")
    if not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise ValueError(f"port {port!r} is not a number from 0 to {MAX_PORT}")
    return str(ip), int(port)


def has_format(text: str, kind: Format) -> bool:
    """Returns whether a string matches a format."""
    return bool(_CHECKS[kind](text))


def _is_address(text: str) -> bool:
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def _is_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        return False


def _is_secret(text: str) -> bool:
    is_hex = re.fullmatch(r"(?:[0-9A-Fa-f]{2})+", text) is not None
    return is_hex and len(text) >= 2 * MIN_SECRET_BYTES


_CHECKS: Mapping[Format, Callable[[str], object]] = {
    Format.ADDRESS: _is_address,
    Format.URL: _is_url,
    Format.OPTIONAL_URL: lambda text: not text or _is_url(text),
    Format.NAME: re.compile(r"[A-Za-z0-9][-A-Za-z0-9_.]*").fullmatch,
    # Signatures and issued keys delimit the key id with ':' and '.'.
    Format.KEY_ID: re.compile(r"[-A-Za-z0-9_]+").fullmatch,
    Format.SECRET: _is_secret,
}
