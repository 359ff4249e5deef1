"""Bounds on the connections and the memory of callers, from the instance's settings."""

from collections.abc import Collection

from fighitch.core.gateway.memory_budget import MemoryBudget, Refusal, budget_size
from fighitch.core.gateway.settings import InstanceSettings
from fighitch.gateway.metrics import MemoryMetrics
from fighitch.gateway.peer_connection import PeerConnection
from fighitch.observability.bounded_log import BoundedLog
from fighitch.runtime.caller_memory import CallerMemory
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_callers import CallerConnection

# Used if the settings state no descriptors, and the most in any case.
_MAX_CALLERS = 1_500
# Descriptors for the store, agents, probes, idle connections to servers and files.
_OWN_DESCRIPTORS = 128
# A caller's request needs a descriptor for its connection to a server, too.
_DESCRIPTORS_PER_CALLER = 2
_MIN_CALLERS = 16
# More than the entries that are expected in two years (710 nodes).
_MAX_PEERS = 1_024


def max_callers(descriptor_limit: int) -> int:
    """Returns how many connections of callers a process accepts.

    Args:
        descriptor_limit: Descriptors of the process; 0 if not stated.
    """
    if not descriptor_limit:
        return _MAX_CALLERS
    free = descriptor_limit - _OWN_DESCRIPTORS
    return max(_MIN_CALLERS, min(_MAX_CALLERS, free // _DESCRIPTORS_PER_CALLER))


def make_room(callers: Collection[CallerConnection], limit: int) -> bool:
    """Closes the connection that waits longest for a request if no other fits.

    Idle connections come before those that have sent a part of a request.

    Args:
        callers: Open connections, which are removed from it as they close.
        limit: Number of connections that may be open.

    Returns:
        Whether another connection fits.
    """
    if len(callers) < limit:
        return True
    waiting = [caller for caller in callers if caller.awaits_request]
    waiting.sort(key=lambda item: (not item.idle, item.idle_since))
    for caller in waiting:
        if caller.idle:
            # It stays open if it has unread input, which may be a request.
            caller.close_if_idle()
        else:
            caller.close()
        if len(callers) < limit:
            return True
    return False


def make_peer_room(peers: Collection[PeerConnection], descriptor_limit: int) -> bool:
    """Closes the oldest unidentified peer if no other connection of a peer fits.

    Args:
        peers: Open connections, which are removed from it as they close.
        descriptor_limit: Descriptors of the process; 0 if not stated.

    Returns:
        Whether another connection fits.
    """
    limit = _MAX_PEERS
    if descriptor_limit:
        limit = max(_MIN_CALLERS, min(limit, descriptor_limit - _OWN_DESCRIPTORS))
    if len(peers) >= limit:
        unidentified = (peer for peer in peers if not peer.is_identified)
        oldest = min(unidentified, key=lambda peer: peer.number, default=None)
        if oldest is not None:
            oldest.close("no_room")
    return len(peers) < limit


def create_caller_memory(
    loop: EventLoop,
    settings: InstanceSettings,
    log: BoundedLog,
    metrics: MemoryMetrics,
) -> CallerMemory:
    """Returns the memory of all callers of a process, which logs what it refuses."""
    budget = MemoryBudget(budget_size(settings.memory_limit))

    def record(refusal: Refusal) -> None:
        metrics.count_refused(refusal.reason.value)
        log.event(
            "memory_refused",
            reason=refusal.reason.value,
            request_bytes=refusal.holding.request,
            reserved=refusal.holding.reserved,
            unread=refusal.holding.response,
            held=budget.held,
            limit=budget.limit,
        )

    metrics.follow(lambda: budget.held)
    return CallerMemory(loop, budget, record)
