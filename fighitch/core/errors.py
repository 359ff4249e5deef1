"""Closed set of error kinds and the HTTP response for each of them."""

from dataclasses import dataclass
from enum import Enum

from fighitch.types import Seconds


class RunState(Enum):
    """Whether the backend server ran a request that was answered with an error."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Kinds of error reported to callers, operators and peers."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_REQUIRED = "key_required"
    REQUEST_IN_PROGRESS = "request_in_progress"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_BACKEND_SERVER = "no_backend_server"
    DRAINING = "draining"
    ADAPTER_LOAD_FAILED = "adapter_load_failed"
    WRONG_ADAPTER = "wrong_adapter"
    BACKEND_FAILED = "backend_failed"
    INCOMPLETE_ANSWER = "incomplete_answer"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    NOT_READY = "not_ready"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """HTTP response and retry rule for an error kind.

    Attributes:
        status: HTTP status code.
        run_state: Run state to report unless the failure overrides it.
        retry_elsewhere: Whether a retry on another backend server may succeed.
    """

    status: int
    run_state: RunState = RunState.NOT_RUN
    retry_elsewhere: bool = False


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401),
    ErrorKind.FORBIDDEN: ErrorResponse(403),
    ErrorKind.UNKNOWN_ADAPTER: ErrorResponse(404),
    ErrorKind.UNKNOWN_VERSION: ErrorResponse(404),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(405),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413),
    ErrorKind.KEY_REUSED: ErrorResponse(422),
    ErrorKind.KEY_EXPIRED: ErrorResponse(410, RunState.UNKNOWN),
    ErrorKind.KEY_REQUIRED: ErrorResponse(400),
    ErrorKind.REQUEST_IN_PROGRESS: ErrorResponse(409, RunState.UNKNOWN),
    ErrorKind.OVERLOADED: ErrorResponse(429, retry_elsewhere=True),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504),
    ErrorKind.NO_BACKEND_SERVER: ErrorResponse(503, retry_elsewhere=True),
    ErrorKind.DRAINING: ErrorResponse(503, retry_elsewhere=True),
    ErrorKind.ADAPTER_LOAD_FAILED: ErrorResponse(503, retry_elsewhere=True),
    ErrorKind.WRONG_ADAPTER: ErrorResponse(502, RunState.UNKNOWN, retry_elsewhere=True),
    ErrorKind.BACKEND_FAILED: ErrorResponse(
        502, RunState.UNKNOWN, retry_elsewhere=True
    ),
    ErrorKind.INCOMPLETE_ANSWER: ErrorResponse(
        502, RunState.UNKNOWN, retry_elsewhere=True
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(504, RunState.UNKNOWN),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(503),
    ErrorKind.NOT_READY: ErrorResponse(503, retry_elsewhere=True),
    ErrorKind.INTERNAL: ErrorResponse(500, RunState.UNKNOWN),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """Error returned as a value instead of being raised.

    Attributes:
        kind: Kind of the error.
        detail: Message that names the invalid value, the allowed ones and the remedy.
        run_state_override: Run state that replaces the default of the kind; None to
            keep the default.
        retry_after: Seconds after which a retry may succeed; None if unknown.
    """

    kind: ErrorKind
    detail: str
    run_state_override: RunState | None = None
    retry_after: Seconds | None = None

    @property
    def run_state(self) -> RunState:
        """Whether the backend server ran the request."""
        return self.run_state_override or ERROR_RESPONSES[self.kind].run_state

    @property
    def status(self) -> int:
        """HTTP status code of the response."""
        return ERROR_RESPONSES[self.kind].status

    @property
    def retry_elsewhere(self) -> bool:
        """Whether a retry on another backend server may succeed."""
        return ERROR_RESPONSES[self.kind].retry_elsewhere
