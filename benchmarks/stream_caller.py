"""Sends many concurrent streamed requests from one thread and times their events."""

import json
import selectors
import socket
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from fighitch.types import Seconds

_MICROSECONDS_PER_SECOND = 1e6
_EVENT_PREFIX = b"data: {"
_END_MARKER = b"data: [DONE]"
_MAX_LATENCY_MICROSECONDS = 60_000_000


@dataclass(slots=True)
class Stream:
    """One streamed request and the arrival times of its events."""

    sock: socket.socket
    started_at: Seconds
    status: int = 0
    arrivals: list[Seconds] = field(default_factory=list)
    is_ended: bool = False
    tail: bytes = b""


class StreamCaller:
    """Opens streams and reads all of them with one selector."""

    def __init__(self, address: str, key: str) -> None:
        """Stores the target ``ip:port`` and the bearer key."""
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._key = key
        self._selector = selectors.DefaultSelector()
        self.streams: list[Stream] = []

    def open(
        self, body: Mapping[str, Any], headers: Mapping[str, str] | None = None
    ) -> Stream:
        """Opens a connection and sends a request on it."""
        data = json.dumps(body).encode()
        lines = [
            "POST /v1/completions HTTP/1.1",
            "Host: benchmark",
            f"Authorization: Bearer {self._key}",
            "Content-Type: application/json",
            f"Content-Length: {len(data)}",
            "X-Request-Timeout-Ms: 120000",
            *(f"{name}: {value}" for name, value in (headers or {}).items()),
        ]
        sock = socket.create_connection(self._target)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(sock, time.monotonic())
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_READ, stream)
        self.streams.append(stream)
        return stream

    def read(self, seconds: Seconds) -> int:
        """Reads for some time or until all streams have ended.

        Without any stream it waits for the whole time.

        Returns:
            Number of events received.
        """
        deadline = time.monotonic() + seconds
        count = 0
        while time.monotonic() < deadline:
            if self.streams and not self._selector.get_map():
                break
            for key, _ in self._selector.select(0.05):
                count += self._read(key.data)
        return count

    def close(self) -> None:
        """Closes all streams and the selector."""
        for stream in self.streams:
            stream.sock.close()
        self._selector.close()

    def _read(self, stream: Stream) -> int:
        data = stream.sock.recv(65_536)
        now = time.monotonic()
        if not stream.status and data:
            stream.status = int(data.split(b" ", 2)[1])
        text = stream.tail + data
        count = text.count(_EVENT_PREFIX)
        stream.arrivals += [now] * count
        # The event prefix may be split across two reads.
        stream.tail = text[-(len(_EVENT_PREFIX) - 1) :] if data else b""
        if not data or _END_MARKER in text or b"\r\n0\r\n\r\n" in text:
            stream.is_ended = True
            self._selector.unregister(stream.sock)
        return count


@dataclass(frozen=True)
class Latency:
    """Latency quantiles in seconds, by percentile."""

    first_token: Mapping[float, Seconds]
    between_tokens: Mapping[float, Seconds]


def summarize_latency(streams: Sequence[Stream]) -> Latency:
    """Returns the quantiles over completed streams."""
    first, between = _histogram(), _histogram()
    for stream in streams:
        first.record_value(_microseconds(stream.arrivals[0] - stream.started_at))
        times = stream.arrivals
        for earlier, later in zip(times, times[1:], strict=False):
            between.record_value(_microseconds(later - earlier))
    return Latency(_quantiles(first), _quantiles(between))


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, 3)


def _microseconds(seconds: Seconds) -> int:
    return max(1, round(seconds * _MICROSECONDS_PER_SECOND))


def _quantiles(histogram: HdrHistogram) -> dict[float, Seconds]:
    return {
        percentile: histogram.get_value_at_percentile(percentile)
        / _MICROSECONDS_PER_SECOND
        for percentile in (50.0, 95.0, 99.0)
    }
