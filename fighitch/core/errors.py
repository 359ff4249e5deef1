"""The closed list of error kinds and the answer to each of them."""

from dataclasses import dataclass
from enum import Enum

from fighitch.types import Seconds


class RunState(Enum):
    """Whether the backend server ran a request that was answered with an error."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every kind of error that a caller, an operator or a peer can get."""

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
class Answer:
    """How an error kind is answered.

    Attributes:
        status: HTTP status code.
        run_state: State to report unless the failure states another one.
        retry_elsewhere: Whether another backend server may succeed.
    """

    status: int
    run_state: RunState = RunState.NOT_RUN
    retry_elsewhere: bool = False


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400),
    ErrorKind.UNAUTHENTICATED: Answer(401),
    ErrorKind.FORBIDDEN: Answer(403),
    ErrorKind.UNKNOWN_ADAPTER: Answer(404),
    ErrorKind.UNKNOWN_VERSION: Answer(404),
    ErrorKind.UNKNOWN_SERVICE: Answer(404),
    ErrorKind.UNKNOWN_ROUTE: Answer(404),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405),
    ErrorKind.BODY_TOO_LARGE: Answer(413),
    ErrorKind.KEY_REUSED: Answer(422),
    ErrorKind.KEY_EXPIRED: Answer(410, RunState.UNKNOWN),
    ErrorKind.KEY_REQUIRED: Answer(400),
    ErrorKind.REQUEST_IN_PROGRESS: Answer(409, RunState.UNKNOWN),
    ErrorKind.OVERLOADED: Answer(429, retry_elsewhere=True),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504),
    ErrorKind.NO_BACKEND_SERVER: Answer(503, retry_elsewhere=True),
    ErrorKind.DRAINING: Answer(503, retry_elsewhere=True),
    ErrorKind.ADAPTER_LOAD_FAILED: Answer(503, retry_elsewhere=True),
    ErrorKind.WRONG_ADAPTER: Answer(502, RunState.UNKNOWN, retry_elsewhere=True),
    ErrorKind.BACKEND_FAILED: Answer(502, RunState.UNKNOWN, retry_elsewhere=True),
    ErrorKind.INCOMPLETE_ANSWER: Answer(502, RunState.UNKNOWN, retry_elsewhere=True),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, RunState.UNKNOWN),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(503),
    ErrorKind.NOT_READY: Answer(503, retry_elsewhere=True),
    ErrorKind.INTERNAL: Answer(500, RunState.UNKNOWN),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """An error as a value.

    Attributes:
        kind: Entry in the closed list.
        detail: Names the bad value, the allowed ones and what to do.
        run_state_override: Run state if it differs from the kind's usual one.
        retry_after: Seconds after which a repeat can succeed, if one helps.
    """

    kind: ErrorKind
    detail: str
    run_state_override: RunState | None = None
    retry_after: Seconds | None = None

    @property
    def run_state(self) -> RunState:
        """Whether the request was run."""
        return self.run_state_override or ANSWERS[self.kind].run_state

    @property
    def status(self) -> int:
        """HTTP status code of the answer."""
        return ANSWERS[self.kind].status

    @property
    def retry_elsewhere(self) -> bool:
        """Whether another backend server may succeed."""
        return ANSWERS[self.kind].retry_elsewhere
