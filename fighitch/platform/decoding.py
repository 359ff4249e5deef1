"""Decodes JSON that other writers wrote."""

from typing import TypeVar

import msgspec

_T = TypeVar("_T")


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
