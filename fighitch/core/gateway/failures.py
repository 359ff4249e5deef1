"""Kinds of failure that an entry answers itself, with their answers."""

from dataclasses import dataclass
from enum import Enum

from fighitch.types import Seconds


class FailureKind(Enum):
    """Why an entry gives an answer of its own."""

    BAD_REQUEST = "bad_request"
    NO_ROUTE = "no_route"
    NOT_CONFIGURED = "not_configured"
    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    NOT_RUN_IN_TIME = "not_run_in_time"
    SERVER_REFUSED = "server_refused"
    SERVER_LOST = "server_lost"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True)
class FailureAnswer:
    """Answer for a kind of failure.

    Attributes:
        status: HTTP status; 503 promises that the request has not run and never will.
        retry_after: Least time after which to come back; None where it doesn't help.
    """

    status: int
    retry_after: Seconds | None = None


FAILURE_ANSWERS: dict[FailureKind, FailureAnswer] = {
    FailureKind.BAD_REQUEST: FailureAnswer(400),
    FailureKind.NO_ROUTE: FailureAnswer(404),
    FailureKind.NOT_CONFIGURED: FailureAnswer(503, 0.5),
    FailureKind.NO_SERVER: FailureAnswer(503, 0.5),
    FailureKind.OVERLOADED: FailureAnswer(503, 0.3),
    FailureKind.NOT_RUN_IN_TIME: FailureAnswer(503, 0.3),
    FailureKind.SERVER_REFUSED: FailureAnswer(503, 0.3),
    FailureKind.SERVER_LOST: FailureAnswer(502),
    FailureKind.TIMED_OUT: FailureAnswer(504),
}


def reported_kind(kind: FailureKind, *, may_have_run: bool) -> FailureKind:
    """Returns the kind that may be told to the caller.

    Args:
        kind: What ended the request.
        may_have_run: Whether a backend server may have run it, or may still run it.
    """
    if may_have_run and FAILURE_ANSWERS[kind].status == 503:
        return FailureKind.SERVER_LOST
    return kind
