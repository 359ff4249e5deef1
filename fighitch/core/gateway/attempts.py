"""Priority and time limit of one attempt of a request at a backend server."""

from fighitch.core.gateway.model import Route, WorkKind
from fighitch.types import Seconds

# Priorities at an engine are 0 to 9, and 0 runs first. Requests that already missed
# their latency target get 5 to 9 and yield to those that can still meet it.
_LATE_PRIORITY_OFFSET = 5
_LOWEST_ON_TIME_PRIORITY = 4
# A repeatable request without a response after this share of its remaining time is sent
# to another server.
_ATTEMPT_TIMEOUT_SHARE = 0.4
_MIN_ATTEMPT_TIMEOUT: Seconds = 0.25
# A repeatable stream that sends no event for this long is continued on another server.
_STREAM_IDLE_TIMEOUT: Seconds = 1.8


def engine_priority(rank: int, *, late: bool) -> int:
    """Returns the priority of a request at an engine, from 0 (first) to 9.

    Args:
        rank: Priority rank of the route.
        late: Whether the request has already missed its latency target.
    """
    priority = min(rank, _LOWEST_ON_TIME_PRIORITY)
    return priority + _LATE_PRIORITY_OFFSET if late else priority


def attempt_timeout(route: Route, time_left: Seconds) -> Seconds:
    """Returns after which time without progress a repeatable request is repeated.

    Args:
        route: Route of the request.
        time_left: Time left until the deadline.
    """
    if route.kind is WorkKind.STREAMING:
        return _STREAM_IDLE_TIMEOUT
    return max(_MIN_ATTEMPT_TIMEOUT, _ATTEMPT_TIMEOUT_SHARE * time_left)
