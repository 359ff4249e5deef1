"""Decodes JSON that other writers wrote."""

from ipaddress import IPv4Address
from typing import Annotated, TypeVar

import msgspec

from fighitch.core.gateway.settings import Address

_T = TypeVar("_T")
# Largest whole number that every reader of JSON takes without loss. It also fits the
# messages between entries and agents, which have 64 bits for a number.
_MAX_WHOLE_NUMBER = 2**53 - 1
_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
# Part of a bad value that an error message shows.
_SHOWN_CHARACTERS = 64

WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=_MAX_WHOLE_NUMBER)]
Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
# Unix time in ms, up to the end of the year 9999.
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=253_402_300_799_999)]
# Sizes, rates and times of a configuration; far above any that makes sense.
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


def decode(data: bytes | msgspec.Raw, expected: type[_T]) -> _T:
    """Decodes JSON as a type.

    Raises:
        msgspec.DecodeError: If the input is not JSON of this type, or nested too deeply
            for msgspec.
    """
    try:
        return msgspec.json.decode(data, type=expected)
    except RecursionError as error:
        raise msgspec.DecodeError("JSON is nested too deeply") from error


def parse_address(text: str) -> Address:
    """Parses an address of the form IP:PORT.

    Raises:
        msgspec.ValidationError: If the host is no IPv4 address, or the port is not
            between 1 and 65535.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    if is_number and _is_ipv4(host) and 1 <= int(port) <= _MAX_PORT:
        return Address(host, int(port))
    shown = text[:_SHOWN_CHARACTERS]
    raise msgspec.ValidationError(f"address {shown!r} is not IP:PORT")


def _is_ipv4(host: str) -> bool:
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return True


def parse_whole_number(digits: str) -> int:
    """Parses a whole number that is part of a string.

    Raises:
        msgspec.ValidationError: If it is too large.
    """
    if len(digits) <= len(str(_MAX_WHOLE_NUMBER)):
        number = int(digits)
        if number <= _MAX_WHOLE_NUMBER:
            return number
    shown = digits[:_SHOWN_CHARACTERS]
    raise msgspec.ValidationError(f"number {shown} is larger than {_MAX_WHOLE_NUMBER}")
