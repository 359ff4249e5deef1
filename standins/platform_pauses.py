"""Requests that reached servers which had asked their senders for a pause."""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable

from standins.platform_backends import PauseRequest, PlatformBackend

# Requests that were under way when the server asked may still arrive within this time,
# in seconds, and this many afterwards.
_GRACE_SECONDS = 0.5
MAX_REQUESTS = 2


def excess_requests(
    server: PlatformBackend,
    sender: Callable[[str], Hashable | None],
    *,
    disturbances: Iterable[tuple[float, float]] = (),
) -> list[str]:
    """Returns a line for each pause in which a sender sent more than it may.

    Args:
        server: Server that asked for pauses.
        sender: Returns the sender of a request by its id, or None to ignore it.
        disturbances: Begin and end of times, in monotonic time, during which requests
            and responses may be late. Pauses that overlap with one are left out.
    """
    received = defaultdict(list)
    disturbances = list(disturbances)
    for request in server.received:
        received[sender(request.request_id), request.incarnation].append(request)
    found = []
    for pause in _first_of_each(server.asked_pauses, sender):
        if any(begin < pause.until and pause.at < end for begin, end in disturbances):
            continue
        by = sender(pause.request_id)
        late = [
            request.request_id
            for request in received[by, pause.incarnation]
            if pause.at + _GRACE_SECONDS < request.at < pause.until
        ]
        if by is not None and len(late) > MAX_REQUESTS:
            found.append(
                f"{pause.incarnation[0]} asked {by} in {pause.request_id} for "
                f"{pause.until - pause.at:.2f} s and got {len(late)} requests: {late}"
            )
    return found


def _first_of_each(
    pauses: Iterable[PauseRequest], sender: Callable[[str], Hashable | None]
) -> Iterable[PauseRequest]:
    """Returns the first rejection of each pause; its window contains the others'."""
    seen = set()
    for pause in pauses:
        key = (sender(pause.request_id), pause.until, pause.incarnation)
        if key not in seen:
            seen.add(key)
            yield pause
