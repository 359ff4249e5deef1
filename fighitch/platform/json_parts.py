"""Splits JSON arrays and objects into their parts without decoding the parts.

msgspec rejects a whole document if one part of it is nested too deeply or is no JSON.
The functions of this module find the other parts, in time linear in the input and
without recursion.
"""

import re

import msgspec

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# Values nested this deep are skipped by the regular expression itself. Objects of the
# store are rarely deeper.
_MAX_SKIPPED_DEPTH = 4
_QUOTE = ord('"')
_COMMA = ord(",")


def _skipped(stops: bytes, depth: int) -> bytes:
    """Returns a pattern for text up to a bracket or stop, over shallow values."""
    nested = rb"|[\[{]" + _skipped(b"", depth - 1) + rb"[\]}]" if depth else b""
    return rb'(?:[^"\[\]{}' + stops + rb"]++|" + _STRING + nested + rb")*+"


def _next_token(stops: bytes, depth: int) -> re.Pattern[bytes]:
    # Opening brackets with text between them are one token, and so are closing ones,
    # which keeps deeply nested input fast. A quote begins a string without an end.
    text = _skipped(b"", 0)
    openings = rb"(?:[\[{]++" + text + rb")++"
    closings = rb"[\]}]++(?:" + text + rb"[\]}]++)*+"
    token = rb"(" + openings + rb"|" + closings + rb'|["' + stops + rb"]|$)"
    return re.compile(_skipped(stops, depth) + token, re.DOTALL)


_NEXT_TOKEN = _next_token(b"", _MAX_SKIPPED_DEPTH)
_NEXT_TOKEN_OR_COMMA = _next_token(b",", _MAX_SKIPPED_DEPTH + 1)
_STRINGS = re.compile(_STRING, re.DOTALL)
_KEY = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)


def split_array(data: bytes) -> list[bytes]:
    """Returns the items of an array, not decoded.

    Raises:
        msgspec.DecodeError: If the input is not one array with balanced brackets.
    """
    return _split(data.strip(), b"[]")


def split_object(data: bytes) -> dict[str, bytes]:
    """Returns the values of an object by key, not decoded.

    Raises:
        msgspec.DecodeError: If the input is not one object with balanced brackets.
    """
    values = {}
    for part in _split(data.strip(), b"{}"):
        key = _KEY.match(part)
        if key is None:
            raise msgspec.DecodeError("object has a member without a key")
        name = msgspec.json.decode(key[1], type=str)
        values[name] = part[key.end() :].strip()
    return values


def _split(data: bytes, brackets: bytes) -> list[bytes]:
    """Returns the parts between the outermost brackets, without white space."""
    if len(data) < len(brackets) or data[:1] + data[-1:] != brackets:
        raise msgspec.DecodeError(f"input is not enclosed in {brackets.decode()}")
    parts = []
    # Depth 0 is between the outermost brackets.
    depth, begin, position, end = 0, 1, 1, len(data) - 1
    while True:
        pattern = _NEXT_TOKEN if depth else _NEXT_TOKEN_OR_COMMA
        found = pattern.match(data, position, end)
        token = b"" if found is None else found[1]
        if found is None or not token:
            break
        position = found.end()
        if token[0] == _COMMA:
            parts.append(data[begin : position - 1].strip())
            begin = position
        elif token[0] == _QUOTE:
            raise msgspec.DecodeError("string does not end")
        else:
            depth += _count_opened(token)
            if depth < 0:
                raise msgspec.DecodeError("closing bracket without an opening one")
    if depth:
        raise msgspec.DecodeError("opening bracket without a closing one")
    last = data[begin:end].strip()
    return [*parts, last] if parts or last else []


def _count_opened(token: bytes) -> int:
    """Returns the number of brackets that a token opens; negative if it closes them."""
    text = _STRINGS.sub(b"", token) if b'"' in token else token
    opened = text.count(b"[") + text.count(b"{")
    return opened - text.count(b"]") - text.count(b"}")
