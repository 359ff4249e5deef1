"""A blocking HTTP client for one server."""

import time
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from io import BytesIO

import pycurl

from fighitch.core.http_calls import CallResult, HttpCall, HttpResponse, NoResponse
from fighitch.types import Seconds

# Waiting in short steps lets a stream notice that its reader wants to stop.
_POLL_SECONDS = 0.25
_MS_PER_SECOND = 1_000
_USER_AGENT = "fighitch"
_OK = 200


@dataclass(slots=True)
class _Received:
    """What has arrived of one answer."""

    headers: dict[str, str] = field(default_factory=dict)
    body: BytesIO = field(default_factory=BytesIO)

    def add_header(self, line: bytes) -> None:
        text = line.decode("latin-1")
        if text.startswith("HTTP/"):
            self.headers.clear()
            return
        name, colon, value = text.partition(":")
        if colon:
            self.headers[name.strip().lower()] = value.strip()


class HttpClient:
    """Sends calls to one server, one at a time; each thread needs its own client."""

    def __init__(
        self, base_url: str, *, timeout: Seconds, bearer_key: str = ""
    ) -> None:
        """Connects to nothing yet.

        Args:
            base_url: URL that the paths of calls are appended to.
            timeout: Longest time for one call, in seconds.
            bearer_key: Sent in the ``Authorization`` header; empty sends none.
        """
        self._base_url = base_url.rstrip("/")
        self._timeout = timeout
        self._bearer_key = bearer_key
        self._curl = pycurl.Curl()

    @property
    def base_url(self) -> str:
        """URL of the server."""
        return self._base_url

    def close(self) -> None:
        """Closes the connection."""
        self._curl.close()

    def call(self, call: HttpCall) -> CallResult:
        """Sends a call and waits for the whole answer."""
        received = _Received()
        self._prepare(self._curl, call, received)
        self._curl.setopt(pycurl.WRITEFUNCTION, received.body.write)
        self._curl.setopt(pycurl.TIMEOUT_MS, round(self._timeout * _MS_PER_SECOND))
        try:
            self._curl.perform()
        except pycurl.error as error:
            return _no_answer(self._curl, error.args[0], str(error.args[1]))
        status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        return HttpResponse(status, received.body.getvalue(), received.headers)

    def stream_lines(
        self,
        call: HttpCall,
        *,
        silence: Seconds,
        should_stop: Callable[[], bool] = lambda: False,
    ) -> Generator[bytes | CallResult, None, None]:
        """Sends a call and yields the lines of its answer as they arrive.

        Args:
            call: The call.
            silence: Time in seconds without any data after which the connection counts
                as dead.
            should_stop: Asked several times a second; true ends the stream.

        Yields:
            The lines of an answer with status 200; at last the answer without its
            lines, or the failure.
        """
        received, buffer = _Received(), bytearray()
        curl, multi = pycurl.Curl(), pycurl.CurlMulti()
        self._prepare(curl, call, received)
        curl.setopt(pycurl.WRITEFUNCTION, buffer.extend)
        multi.add_handle(curl)
        last_bytes, last_data = 0, time.monotonic()
        try:
            while not should_stop():
                multi.perform()
                if curl.getinfo(pycurl.RESPONSE_CODE) == _OK:
                    yield from _take_lines(buffer)
                finished = _finished(multi)
                if finished is not None:
                    yield _stream_end(curl, finished, received, bytes(buffer))
                    return
                # libcurl's own low-speed limit averages over 5 s, which is too slow.
                total, now = curl.getinfo(pycurl.SIZE_DOWNLOAD_T), time.monotonic()
                if total != last_bytes:
                    last_bytes, last_data = total, now
                if now - last_data > silence:
                    yield NoResponse(sent=True, detail=f"no data for {silence:g} s")
                    return
                multi.select(min(_POLL_SECONDS, silence))
        finally:
            multi.remove_handle(curl)
            multi.close()
            curl.close()

    def _prepare(self, curl: pycurl.Curl, call: HttpCall, received: _Received) -> None:
        headers = ["Accept: application/json", "Expect:"]
        headers += [f"{name}: {value}" for name, value in call.headers]
        if self._bearer_key:
            headers.append(f"Authorization: Bearer {self._bearer_key}")
        curl.reset()
        curl.setopt(pycurl.URL, self._base_url + call.path)
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, round(self._timeout * _MS_PER_SECOND))
        curl.setopt(pycurl.HEADERFUNCTION, received.add_header)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.USERAGENT, _USER_AGENT)
        # On a reused connection libcurl may repeat a write that the server has already
        # carried out; the answer would then blame a conflict on somebody else.
        curl.setopt(pycurl.FRESH_CONNECT, 0 if call.is_read else 1)
        if call.body is not None:
            headers.append("Content-Type: application/json")
            curl.setopt(pycurl.POSTFIELDS, call.body)
        curl.setopt(pycurl.HTTPHEADER, headers)


def _take_lines(buffer: bytearray) -> Iterator[bytes]:
    """Removes the whole lines from a buffer and yields those that are not empty."""
    while (end := buffer.find(b"\n")) >= 0:
        line = bytes(buffer[:end])
        del buffer[: end + 1]
        if line.strip():
            yield line


def _finished(multi: pycurl.CurlMulti) -> tuple[int, str] | None:
    """Returns code and message of the only transfer once it has ended; 0 is success."""
    _, succeeded, failed = multi.info_read()
    if succeeded:
        return 0, ""
    return (failed[0][1], failed[0][2]) if failed else None


def _stream_end(
    curl: pycurl.Curl, finished: tuple[int, str], received: _Received, rest: bytes
) -> CallResult:
    code, message = finished
    if code:
        return _no_answer(curl, code, message)
    status = curl.getinfo(pycurl.RESPONSE_CODE)
    return HttpResponse(status, rest, received.headers)


def _no_answer(curl: pycurl.Curl, code: int, message: str) -> NoResponse:
    was_sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
    return NoResponse(was_sent, f"{message or 'transfer failed'} (curl error {code})")
