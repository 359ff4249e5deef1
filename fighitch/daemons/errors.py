"""Encodes errors and run states in HTTP responses."""

import math
from typing import Any

import msgspec
from werkzeug.wrappers import Response

from fighitch.core.errors import Failure

REQUEST_ID_HEADER = "X-Request-Id"
RUN_STATE_HEADER = "X-Run-State"
ERROR_KIND_HEADER = "X-Error-Kind"
ATTEMPT_SENT_HEADER = "X-Attempt-Sent"


def error_body(failure: Failure, request_id: str) -> bytes:
    """Encodes a failure as an OpenAI error object with the run state."""
    return msgspec.json.encode(
        {
            "error": {
                "message": failure.detail,
                "type": failure.kind.value,
                "code": failure.kind.value,
                "run_state": failure.run_state.value,
                "request_id": request_id,
                "retry_after_seconds": failure.retry_after,
            }
        }
    )


def error_response(
    failure: Failure, request_id: str = "", *, was_sent: bool = False
) -> Response:
    """Returns the HTTP response for a failure.

    Args:
        failure: Why the request failed.
        request_id: Id of the failed request; empty if it has none.
        was_sent: Whether the request was sent to a sidecar.
    """
    headers = {
        RUN_STATE_HEADER: failure.run_state.value,
        ERROR_KIND_HEADER: failure.kind.value,
        ATTEMPT_SENT_HEADER: "true" if was_sent else "false",
    }
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if failure.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after)))
    return Response(
        error_body(failure, request_id),
        failure.status,
        headers,
        content_type="application/json",
    )


def json_response(value: Any, status: int = 200) -> Response:
    """Returns an HTTP response with a value encoded as JSON."""
    return Response(msgspec.json.encode(value), status, content_type="application/json")
