"""HTTP calls and their results as values."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP request.

    Attributes:
        method: HTTP method.
        path: Path and query below the base URL.
        body: Body; None sends none.
        headers: Headers besides those that every call has.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def is_read(self) -> bool:
        """Whether the call changes nothing."""
        return self.method == "GET"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole HTTP answer; header names are in lower case."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def retry_after(self) -> Seconds | None:
        """Seconds from the ``Retry-After`` header, if it has a number."""
        text = self.headers.get("retry-after", "")
        return float(text) if text.isascii() and text.isdigit() else None


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The call ended without a whole answer.

    Attributes:
        sent: Whether any byte of the request may have reached the server.
        detail: What happened.
    """

    sent: bool
    detail: str = ""


CallResult: TypeAlias = HttpResponse | NoResponse
