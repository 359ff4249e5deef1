"""Error responses that an entry sends itself."""

from fighitch.core.gateway.failures import FAILURE_RESPONSES, FailureKind
from fighitch.runtime.http_callers import CallerConnection
from fighitch.types import Seconds


def send_failure_response(
    caller: CallerConnection,
    kind: FailureKind,
    request_id: str,
    retry_after: Seconds | None = None,
) -> None:
    """Sends an error response of the entry itself.

    Args:
        caller: Connection of the caller.
        kind: Kind of failure that ended the request.
        request_id: Id of the request; empty if unknown.
        retry_after: Time until capacity is expected; None for the default of the kind.
    """
    response = FAILURE_RESPONSES[kind]
    body = b'{"error":"%s"}' % kind.value.encode()
    headers = [(b"Content-Type", b"application/json")]
    if request_id:
        headers.append((b"Attempt-Id", request_id.encode("latin-1")))
    if response.challenge:
        headers.append((b"WWW-Authenticate", response.challenge.encode()))
    if response.retry_after is not None:
        wait = max(response.retry_after, retry_after or 0.0)
        headers.append((b"Retry-After", b"%.3f" % wait))
    caller.send_head(response.status, headers, length=len(body))
    caller.send_body(body)
    caller.finish()
