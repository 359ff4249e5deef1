"""Headers of requests and responses between callers, entries and backend servers."""

import math
from dataclasses import dataclass, field

from fighitch.core.gateway.model import AdapterName, RequestSize
from fighitch.core.gateway.stream_format import StreamFormat
from fighitch.runtime.http_callers import CallerRequest
from fighitch.runtime.http_exchange import ResponseHead
from fighitch.types import Headers, Seconds

_MS_PER_SECOND = 1_000
_REQUEST_ID = b"attempt-id"
_KEY_SCHEME = b"token"
_DEADLINE = b"deadline-ms"
_RESUME_AFTER = b"last-event-id"
# Headers that only the entry reads or sets where client accounts exist.
_ACCOUNT_HEADERS = frozenset((b"authorization", b"tenant"))
# Hop-by-hop headers, and internal headers that callers must not set on backend servers.
_NOT_FORWARDED = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"deadline-ms",
        b"expect-instance",
        b"expect-version",
        b"request-priority",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"last-event-id",
    )
)
# Forwarded even if the caller lists them in its Connection header.
_END_TO_END = frozenset(
    (
        b"host",
        b"attempt-id",
        b"model",
        b"token-counts",
        b"prompt-prefix",
        b"length-hint",
        b"content-type",
    )
)
# Hop-by-hop headers of responses; the entry sends its own Content-Length.
_NOT_RETURNED = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
# Limits on what is kept of a prompt's parts; the header itself may be much longer.
_MAX_SHARED_PARTS = 32
_MAX_PART_ID_LENGTH = 64
# More than any engine holds; a larger number may not fit the messages to agents.
_MAX_TOKENS = 2**31 - 1
# Misdirected Request: the server is not the expected instance, or refuses the request.
_NOT_RUN_STATUS = 421
_UNAVAILABLE_STATUS = 503


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a request, from its target and headers.

    Attributes:
        request_id: Id of the request; empty if it is missing or duplicated.
        host: Host that selects the route; empty if it is missing or duplicated.
        path: Path without the query.
        time_left: How long the caller waits for the response; None if not stated.
        adapter: Adapter that the request runs on; None for requests to plain services.
        size: Number of prompt tokens and of output tokens; 0 if not stated.
        resume_after: Id of the last event that the caller received; empty for none.
        shared_parts: Ids of the prompt parts that other requests may share, in order;
            the last part of a prompt belongs to the request itself.
        key: Key of a client account; None if the request has none, or several.
        states_tokens: Whether the request states its size.
        account: Name of the client account; empty if there is none. It is not decoded,
            but set once the key was checked.
        has_accounts: Whether the configuration has client accounts, so that callers'
            ``Authorization`` and ``Tenant`` headers are not forwarded.
        weight: Share of the account relative to the mean of all accounts.
    """

    request_id: str
    host: str
    path: str
    time_left: Seconds | None
    adapter: AdapterName | None
    size: RequestSize
    resume_after: str
    shared_parts: tuple[str, ...] = ()
    key: str | None = field(default=None, repr=False)
    states_tokens: bool = False
    account: str = ""
    has_accounts: bool = False
    weight: float = 1.0

    @property
    def forwarded_account(self) -> str | None:
        """Account that the server sees, empty for none; None without accounts."""
        return self.account if self.has_accounts else None


def decode_request(request: CallerRequest) -> RequestMetadata:
    """Decodes the metadata of a caller's request from its headers."""
    path = request.target.partition(b"?")[0].decode("latin-1")
    resume_after = request.get(_RESUME_AFTER) or b""
    return RequestMetadata(
        request_id=decode_request_id(request),
        host=_single_value(request.values(b"host")),
        path=path,
        time_left=_parse_milliseconds(request.get(_DEADLINE)),
        adapter=_parse_adapter(request.get(b"model")),
        size=_parse_request_size(request.get(b"token-counts")),
        resume_after=resume_after.decode("latin-1"),
        shared_parts=_parse_shared_parts(request.get(b"prompt-prefix")),
        key=_parse_key(request.values(b"authorization")),
        states_tokens=request.get(b"token-counts") is not None,
    )


def decode_request_id(request: CallerRequest) -> str:
    """Returns the id of a request; empty if it is missing or duplicated."""
    return _single_value(request.values(_REQUEST_ID))


def encode_request(
    request: CallerRequest,
    *,
    time_left: Seconds,
    instance_id: str,
    priority: int | None = None,
    adapter_version: int = 0,
    resume_after: str = "",
    account: str | None = None,
) -> bytes:
    """Encodes the head of a caller's request for a backend server.

    Args:
        request: Request as received from the caller.
        time_left: How long the entry waits for the response.
        instance_id: Instance id of the backend server that may run the request.
        priority: Priority on an engine, from 0 (first) to 9; None leaves the choice to
            the engine.
        adapter_version: Version of the adapter without which the backend server must
            not run the request; 0 for any.
        resume_after: Id of the last event that the caller received; empty for none.
        account: Name of the client account for the ``Tenant`` header, empty for none;
            the caller's ``Tenant`` and ``Authorization`` are dropped. None if there are
            no accounts; both headers are then forwarded like any other.
    """
    dropped_headers = _connection_headers(request)
    if account is not None:
        dropped_headers |= _ACCOUNT_HEADERS
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    for name, value in request.headers:
        lower_name = name.lower()
        if lower_name not in _NOT_FORWARDED and lower_name not in dropped_headers:
            lines.append(name + b": " + value)
    lines.append(b"Deadline-Ms: %d" % max(1, int(time_left * _MS_PER_SECOND)))
    lines.append(b"Expect-Instance: " + instance_id.encode("latin-1"))
    if priority is not None:
        lines.append(b"Request-Priority: %d" % priority)
    if adapter_version:
        lines.append(b"Expect-Version: %d" % adapter_version)
    if account:
        lines.append(b"Tenant: " + _encode_account(account))
    if resume_after:
        lines.append(b"Last-Event-Id: " + resume_after.encode("latin-1"))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def response_headers(head: ResponseHead) -> Headers:
    """Returns the headers of a backend server's response to forward to the caller."""
    return [item for item in head.headers if item[0].lower() not in _NOT_RETURNED]


def was_not_run(head: ResponseHead) -> bool:
    """Returns whether a backend server states that it did not run the request."""
    return head.status == _NOT_RUN_STATUS or head.get(b"not-executed") is not None


def named_limit(head: ResponseHead) -> float | None:
    """Returns the requests per second to which a backend server limits all entries.

    Returns:
        The limit; None if the response names none, or not a finite number.
    """
    value = head.get(b"server-limit")
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        return None
    return max(0.0, limit) if math.isfinite(limit) else None


def asked_pause(head: ResponseHead) -> Seconds | None:
    """Returns for how long a backend server that rejects a request wants none.

    Returns:
        The pause, not bounded; NaN if it can't be read, and None if none is asked for.
    """
    value = head.get(b"retry-after")
    if value is None or head.status != _UNAVAILABLE_STATUS:
        return None
    try:
        return float(value)
    except ValueError:
        return math.nan


def is_leaving(head: ResponseHead) -> bool:
    """Returns whether a backend server says that it leaves."""
    return (head.get(b"server-leaving") or b"").strip() == b"1"


def is_from_another_instance(head: ResponseHead, instance_id: str) -> bool:
    """Returns whether an instance other than the expected one rejected the request."""
    name = head.get(b"instance-id")
    is_rejection = head.status == _NOT_RUN_STATUS and name is not None
    return is_rejection and name != instance_id.encode("latin-1")


def is_genuine(head: ResponseHead) -> bool:
    """Returns whether a response can come unchanged from a backend server.

    Servers sign each successful response and apply no content encoding.
    """
    if head.get(b"content-encoding") is not None:
        return False
    return head.status >= 300 or head.get(b"response-signature") is not None


def is_success(head: ResponseHead) -> bool:
    """Returns whether a response is a genuine one of a request that has run."""
    return head.status < 300 and is_genuine(head) and not was_not_run(head)


def is_unsigned(head: ResponseHead) -> bool:
    """Returns whether a response lacks the signature of a backend server."""
    return head.get(b"response-signature") is None


def stream_format(head: ResponseHead) -> StreamFormat:
    """Returns the format of an event stream from the head of its response."""
    content_type = (head.get(b"content-type") or b"").decode("latin-1")
    return StreamFormat(head.status, content_type.partition(";")[0].strip().lower())


def encode_call(
    method: str, target: str, host: str, body: bytes = b"", *, instance_id: str = ""
) -> bytes:
    """Encodes a request to an engine's control interface or to the store."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    if instance_id:
        lines.append(f"Expect-Instance: {instance_id}")
    if body:
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def _single_value(values: list[bytes]) -> str:
    return values[0].decode("latin-1") if len(values) == 1 else ""


def _encode_account(name: str) -> bytes:
    """Encodes an account's name, which must not end its header line."""
    text = "".join(item if item.isprintable() else "?" for item in name)
    return text.encode(errors="replace")


def _connection_headers(request: CallerRequest) -> frozenset[bytes]:
    """Returns the lowercase names listed in Connection, except end-to-end headers."""
    listed_headers = b",".join(request.values(b"connection"))
    if not listed_headers:
        return frozenset()
    return (
        frozenset(item.strip().lower() for item in listed_headers.split(b","))
        - _END_TO_END
    )


def _parse_milliseconds(value: bytes | None) -> Seconds | None:
    if value is None:
        return None
    try:
        return max(0.0, float(value) / _MS_PER_SECOND)
    except ValueError:
        return None


def _parse_adapter(value: bytes | None) -> AdapterName | None:
    if not value:
        return None
    model, _, adapter = value.decode("latin-1").partition("/")
    return AdapterName(model, adapter)


def _parse_shared_parts(value: bytes | None) -> tuple[str, ...]:
    """Returns the ids of all prompt parts but the last, from ID:TOKENS pairs."""
    if not value:
        return ()
    parts = value.decode("latin-1").split(",")[:-1][:_MAX_SHARED_PARTS]
    ids = (part.partition(":")[0].strip().lower() for part in parts)
    return tuple(name[:_MAX_PART_ID_LENGTH] for name in ids if name)


def _parse_request_size(value: bytes | None) -> RequestSize:
    if value is None:
        return RequestSize()
    prompt, _, output = value.partition(b",")
    try:
        return RequestSize(_clamp_tokens(int(prompt)), _clamp_tokens(int(output or 0)))
    except ValueError:
        return RequestSize()


def _parse_key(values: list[bytes]) -> str | None:
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != _KEY_SCHEME or not key:
        return None
    try:
        return key.decode()
    except UnicodeDecodeError:
        return key.decode("latin-1")


def _clamp_tokens(count: int) -> int:
    return min(max(0, count), _MAX_TOKENS)
