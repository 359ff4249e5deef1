"""Builds the message with which an entry requests admission to an engine."""

from fighitch.core.gateway.model import Route
from fighitch.gateway.peer_messages import AdmissionRequest
from fighitch.platform.requests import RequestMetadata
from fighitch.types import Seconds

_MS_PER_SECOND = 1_000
# Characters of a request's id that an agent gets, for its log. Callers may send ids of
# some kB, and an agent hears of the requests of all entries.
_MAX_ID_LENGTH = 256


def build_admission_request(
    metadata: RequestMetadata,
    route: Route,
    *,
    arrived: Seconds,
    waiting_since: Seconds,
    deadline: Seconds,
    now: Seconds,
    version: int,
    may_decline: bool,
) -> AdmissionRequest:
    """Returns the message without its number, which depends on the connection.

    Args:
        metadata: Metadata of the request.
        route: Route of the request.
        arrived: Time at which the request arrived at the entry.
        waiting_since: Time of its arrival, or of the latest event that the caller has.
        deadline: Time after which a response is useless.
        now: Current time.
        version: Oldest adapter version that the request may run on; 0 for any.
        may_decline: Whether the agent may decline the request if it would miss its
            latency target; ignored if it already has.
    """
    adapter = metadata.adapter
    target_time = arrived + route.target_latency
    caller_cancels_at = waiting_since + route.caller_event_timeout
    return AdmissionRequest(
        number=0,
        model=adapter.model if adapter else "",
        adapter=adapter.adapter if adapter else "",
        version=version,
        rank=route.rank,
        prompt_tokens=metadata.size.prompt_tokens,
        output_tokens=metadata.size.output_tokens,
        target_ms=round((target_time - now) * _MS_PER_SECOND),
        deadline_ms=round((min(deadline, caller_cancels_at) - now) * _MS_PER_SECOND),
        may_decline=may_decline and now < target_time,
        request_id=metadata.request_id[:_MAX_ID_LENGTH],
        gap_ms=round(route.gap_target * _MS_PER_SECOND),
        account=metadata.account,
        weight=metadata.weight,
    )
