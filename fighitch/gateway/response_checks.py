"""What a relay may do with the response to one attempt, judged by its head."""

from fighitch.core.gateway.model import Route, WorkKind
from fighitch.platform.requests import is_genuine, was_not_run
from fighitch.runtime.http_exchange import ResponseHead

FIRST_SERVER_ERROR = 500
_FIRST_NON_SUCCESS = 300


def is_event_stream(route: Route, head: ResponseHead) -> bool:
    """Returns whether a response is a stream of events."""
    return (
        route.kind is WorkKind.STREAMING
        and head.status < _FIRST_NON_SUCCESS
        and is_genuine(head)
        and not was_not_run(head)
    )


def may_forward(head: ResponseHead | None, *, is_continuation: bool) -> bool:
    """Returns whether a body may be forwarded before it is complete.

    Args:
        head: Head of the response; None if it has not arrived.
        is_continuation: Whether the caller has the head of an earlier attempt.
    """
    if head is None or is_continuation or was_not_run(head):
        return False
    return head.status < FIRST_SERVER_ERROR and is_genuine(head)
