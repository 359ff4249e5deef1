"""A blocking HTTP client for one server."""

import time
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from io import BytesIO

import pycurl

from fighitch.core.http_calls import CallResult, HttpCall, HttpResponse, NoResponse
from fighitch.core.response_heads import HeadLines
from fighitch.types import Seconds

# A short poll interval lets a stream check often whether its reader wants to stop.
_POLL_SECONDS = 0.25
_MS_PER_SECOND = 1_000
_USER_AGENT = "fighitch"
_OK = 200
# Larger than any list or report; libcurl itself limits the size of the headers.
_MAX_BODY_BYTES = 67_108_864
_MAX_LINE_BYTES = 8_388_608


@dataclass(slots=True)
class _ResponseBuffer:
    """Buffers the headers and body of one response.

    Attributes:
        headers: Headers by name, in lowercase.
        head_lines: Follows the heads of the response.
        body: Body.
        body_bytes: Length of the body of the request.
    """

    headers: dict[str, str] = field(default_factory=dict)
    head_lines: HeadLines = field(default_factory=HeadLines)
    body: BytesIO = field(default_factory=BytesIO)
    body_bytes: int = 0

    def add_body(self, data: bytes) -> int:
        """Appends a part of the body; a body above the limit ends the transfer."""
        if self.body.tell() + len(data) > _MAX_BODY_BYTES:
            return 0
        return self.body.write(data)

    def add_header(self, line: bytes) -> None:
        text = line.decode("latin-1")
        self.head_lines.add(text)
        # A status line starts new headers; an interim response precedes the final one.
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
        """Creates the client without opening a connection.

        Args:
            base_url: URL to which the paths of calls are appended.
            timeout: Time limit of one call, in seconds.
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
        """Sends a call and waits for the complete response."""
        received = _ResponseBuffer()
        self._configure(self._curl, call, received)
        self._curl.setopt(pycurl.WRITEFUNCTION, received.add_body)
        self._curl.setopt(pycurl.TIMEOUT_MS, round(self._timeout * _MS_PER_SECOND))
        try:
            self._curl.perform()
        except pycurl.error as error:
            return _no_response(self._curl, error.args[0], str(error.args[1]))
        return _response(self._curl, received, received.body.getvalue())

    def stream_lines(
        self,
        call: HttpCall,
        *,
        idle_timeout: Seconds,
        should_stop: Callable[[], bool] = lambda: False,
    ) -> Generator[bytes | CallResult, None, None]:
        """Sends a call and yields the lines of its response as they arrive.

        Args:
            call: The call.
            idle_timeout: Time in seconds without any data after which the connection
                is considered dead.
            should_stop: Called several times a second; true ends the stream.

        Yields:
            The lines of a response with status 200, then the response without these
            lines, or the failure.
        """
        received, buffer = _ResponseBuffer(), bytearray()
        curl, multi = pycurl.Curl(), pycurl.CurlMulti()
        self._configure(curl, call, received)
        curl.setopt(pycurl.WRITEFUNCTION, buffer.extend)
        multi.add_handle(curl)
        last_total, last_data_at = 0, time.monotonic()
        try:
            while not should_stop():
                multi.perform()
                if curl.getinfo(pycurl.RESPONSE_CODE) == _OK:
                    yield from _pop_lines(buffer)
                if len(buffer) > _MAX_LINE_BYTES:
                    yield NoResponse(
                        sent=True,
                        detail=f"line or body above {_MAX_LINE_BYTES} bytes",
                    )
                    return
                transfer_result = _transfer_result(multi)
                if transfer_result is not None:
                    yield _final_result(curl, transfer_result, received, bytes(buffer))
                    return
                # The low-speed limit of libcurl averages over 5 s, which is too long.
                total, now = curl.getinfo(pycurl.SIZE_DOWNLOAD_T), time.monotonic()
                if total != last_total:
                    last_total, last_data_at = total, now
                if now - last_data_at > idle_timeout:
                    yield NoResponse(
                        sent=True, detail=f"no data for {idle_timeout:g} s"
                    )
                    return
                multi.select(min(_POLL_SECONDS, idle_timeout))
        finally:
            multi.remove_handle(curl)
            multi.close()
            curl.close()

    def _configure(
        self, curl: pycurl.Curl, call: HttpCall, received: _ResponseBuffer
    ) -> None:
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
        # On a reused connection, libcurl may retry a write that the server has already
        # applied; the response would then report a conflict with another writer.
        curl.setopt(pycurl.FRESH_CONNECT, 0 if call.is_read else 1)
        if call.body is not None:
            headers.append("Content-Type: application/json")
            curl.setopt(pycurl.POSTFIELDS, call.body)
            received.body_bytes = len(call.body)
        curl.setopt(pycurl.HTTPHEADER, headers)


def _pop_lines(buffer: bytearray) -> Iterator[bytes]:
    """Removes complete lines from a buffer and yields those that are not empty."""
    while (end := buffer.find(b"\n")) >= 0:
        line = bytes(buffer[:end])
        del buffer[: end + 1]
        if line.strip():
            yield line


def _transfer_result(multi: pycurl.CurlMulti) -> tuple[int, str] | None:
    """Returns code and message of the ended transfer; code 0 means success."""
    _, succeeded, failed = multi.info_read()
    if succeeded:
        return 0, ""
    return (failed[0][1], failed[0][2]) if failed else None


def _final_result(
    curl: pycurl.Curl,
    transfer_result: tuple[int, str],
    received: _ResponseBuffer,
    remainder: bytes,
) -> CallResult:
    code, message = transfer_result
    if code:
        return _no_response(curl, code, message)
    return _response(curl, received, remainder)


def _response(curl: pycurl.Curl, received: _ResponseBuffer, body: bytes) -> CallResult:
    """Returns the response of a transfer that libcurl reports as successful."""
    fault = received.head_lines.fault(
        sent_bytes=curl.getinfo(pycurl.SIZE_UPLOAD_T), body_bytes=received.body_bytes
    )
    if fault is not None:
        return NoResponse(sent=True, detail=fault)
    status = curl.getinfo(pycurl.RESPONSE_CODE)
    return HttpResponse(status, body, received.headers)


def _no_response(curl: pycurl.Curl, code: int, message: str) -> NoResponse:
    was_sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
    return NoResponse(was_sent, f"{message or 'transfer failed'} (curl error {code})")
