"""Failures that an entry reports to callers, with their HTTP statuses."""

from dataclasses import dataclass
from enum import Enum

from fighitch.types import Seconds

# Statuses which guarantee that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset((429, 503))


class FailureKind(Enum):
    """Reason why an entry does not return the response of a backend server."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NO_ROUTE = "no_route"
    NOT_CONFIGURED = "not_configured"
    KEYS_NOT_CURRENT = "keys_not_current"
    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNKNOWN = "quota_unknown"
    NOT_RUN_IN_TIME = "not_run_in_time"
    PROMPT_QUARANTINED = "prompt_quarantined"
    SERVER_REFUSED = "server_refused"
    SERVER_LOST = "server_lost"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True)
class FailureResponse:
    """Response to a kind of failure.

    Attributes:
        status: HTTP status; 429 and 503 guarantee that the request has not run and
            never will.
        retry_after: Minimum delay before a retry; None if a retry doesn't help.
        challenge: Authentication scheme that the request lacks; empty for none.
    """

    status: int
    retry_after: Seconds | None = None
    challenge: str = ""


FAILURE_RESPONSES: dict[FailureKind, FailureResponse] = {
    FailureKind.BAD_REQUEST: FailureResponse(400),
    FailureKind.UNAUTHENTICATED: FailureResponse(401, challenge="Token"),
    FailureKind.NO_ROUTE: FailureResponse(404),
    FailureKind.NOT_CONFIGURED: FailureResponse(503, 0.5),
    FailureKind.KEYS_NOT_CURRENT: FailureResponse(503, 0.5),
    FailureKind.NO_SERVER: FailureResponse(503, 0.5),
    FailureKind.OVERLOADED: FailureResponse(503, 0.3),
    # The time until units are expected is computed for each request.
    FailureKind.QUOTA_EXCEEDED: FailureResponse(429, 0.0),
    # The holder of the quota did not answer; another one is chosen meanwhile.
    FailureKind.QUOTA_UNKNOWN: FailureResponse(503, 0.3),
    FailureKind.NOT_RUN_IN_TIME: FailureResponse(503, 0.3),
    # The quarantine lasts longer than any caller waits.
    FailureKind.PROMPT_QUARANTINED: FailureResponse(503, 60.0),
    FailureKind.SERVER_REFUSED: FailureResponse(503, 0.3),
    FailureKind.SERVER_LOST: FailureResponse(502),
    FailureKind.TIMED_OUT: FailureResponse(504),
}


def reported_kind(kind: FailureKind, *, may_have_run: bool) -> FailureKind:
    """Returns the failure kind to report to the caller.

    A request that may have run is never reported with status 429 or 503, which
    guarantee that it has not.

    Args:
        kind: Failure that ended the request.
        may_have_run: Whether a backend server may have run the request or may still run
            it.
    """
    if may_have_run and FAILURE_RESPONSES[kind].status in _NOT_RUN_STATUSES:
        return FailureKind.SERVER_LOST
    return kind
