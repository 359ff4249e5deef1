"""A small HTTP client for demonstrations, load tests and fault injection."""

import http.client
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from fighitch.types import Seconds

DEFAULT_TIMEOUT: Seconds = 60.0


@dataclass(frozen=True)
class Reply:
    """The response that a caller received.

    Attributes:
        status: HTTP status; 0 if the connection failed before a response.
        headers: Header names in lower case.
        body: The part of the body that was received.
        is_whole: Whether the response was complete according to HTTP framing.
        first_byte: Time to the first byte of the body.
        duration: Time to the end of the response.
        is_connected: Whether the connection was established, so that the request may
            have run.
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    first_byte: Seconds = 0.0
    duration: Seconds = 0.0
    is_connected: bool = True

    @property
    def run_state(self) -> str:
        """Value of ``X-Run-State``; empty if the response has no such header."""
        return self.headers.get("x-run-state", "")

    @property
    def error_kind(self) -> str:
        """Value of ``X-Error-Kind``; empty if the response has no such header."""
        return self.headers.get("x-error-kind", "")

    def json(self) -> Any:
        """Returns the body decoded as JSON."""
        return msgspec.json.decode(self.body)

    def events(self) -> list[dict[str, Any]]:
        """Returns the events of a streamed response without the ``[DONE]`` marker."""
        payloads = [
            part.removeprefix(b"data: ")
            for part in self.body.split(b"\n\n")
            if part.startswith(b"data: ") and part != b"data: [DONE]"
        ]
        return [msgspec.json.decode(payload) for payload in payloads]

    def text(self) -> str:
        """Returns the generated text of a streamed or non-streamed response."""
        if self.headers.get("content-type", "").startswith("text/event-stream"):
            choices = [item["choices"][0] for item in self.events() if item["choices"]]
        else:
            choices = self.json()["choices"]
        return "".join(map(_choice_text, choices))


def _choice_text(choice: dict[str, Any]) -> str:
    container = choice.get("delta") or choice.get("message") or {}
    return container.get("content") or choice.get("text") or ""


class Caller:
    """Sends requests with one bearer key, each on a connection of its own."""

    def __init__(self, key: str, *, timeout: Seconds = DEFAULT_TIMEOUT) -> None:
        """Stores the bearer key and the socket timeout."""
        self._key = key
        self._timeout = timeout

    def call(
        self,
        base_url: str,
        path: str,
        body: Any = None,
        *,
        method: str = "POST",
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Sends a request and reads the whole response.

        Args:
            base_url: ``http://ip:port`` of an entry.
            path: Path of the request.
            body: Request body; bytes are sent as is, anything else as JSON.
            method: HTTP method.
            headers: Additional headers.

        Returns:
            The reply; status 0 if the connection failed before a response.
        """
        started_at = time.monotonic()
        connection = http.client.HTTPConnection(
            base_url.removeprefix("http://"), timeout=self._timeout
        )
        sent = body if isinstance(body, bytes) else msgspec.json.encode(body)
        all_headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
            **(headers or {}),
        }
        try:
            connection.connect()
        except OSError:
            duration = time.monotonic() - started_at
            return Reply(0, duration=duration, is_connected=False)
        try:
            connection.request(
                method, path, None if body is None else sent, all_headers
            )
            response = connection.getresponse()
            return _read_reply(response, started_at)
        except (OSError, http.client.HTTPException):
            return Reply(0, duration=time.monotonic() - started_at)
        finally:
            connection.close()

    def issue_key(self, base_url: str, **target: str) -> str:
        """Requests an idempotency key; returns an empty string if none was issued."""
        reply = self.call(base_url, "/v1/idempotency-keys", target)
        if reply.status != http.HTTPStatus.CREATED:
            return ""
        return reply.json()["idempotency_key"]


def _read_reply(response: http.client.HTTPResponse, started_at: Seconds) -> Reply:
    headers = {name.lower(): value for name, value in response.getheaders()}
    body = bytearray()
    first_byte = 0.0
    is_whole = True
    try:
        while part := response.read1(65_536):
            first_byte = first_byte or time.monotonic() - started_at
            body += part
        is_whole = response.length in (None, 0)
    except (OSError, http.client.HTTPException):
        is_whole = False
    duration = time.monotonic() - started_at
    return Reply(
        response.status,
        headers,
        bytes(body),
        is_whole,
        first_byte or duration,
        duration,
    )
