"""HTTP requests and their results as plain values."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class HttpCall:
    """HTTP request, relative to the base URL of a server.

    Attributes:
        method: HTTP method.
        path: Path and query below the base URL.
        body: Body; None sends no body.
        headers: Headers in addition to those sent with every call.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def is_read(self) -> bool:
        """Whether the call only reads."""
        return self.method == "GET"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete HTTP response; header names are in lower case."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def retry_after(self) -> Seconds | None:
        """Seconds stated in the ``Retry-After`` header; None without a valid number."""
        text = self.headers.get("retry-after", "")
        return float(text) if text.isascii() and text.isdigit() else None


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The call ended without a complete response.

    Attributes:
        sent: Whether any byte of the request may have reached the server.
        detail: Description of the error.
    """

    sent: bool
    detail: str = ""


CallResult: TypeAlias = HttpResponse | NoResponse
