"""Constants of a sidecar."""

from dataclasses import dataclass

from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Constants of a sidecar; the defaults are those of the design page.

    Attributes:
        heartbeat_interval: Time between heartbeats on a connection.
        silence: Time without a message after which a connection is closed.
        resume_grace: Time that an entry has to continue its answers on a new
            connection.
        ended_retention: Time that ended answers are kept for a ``Resume``.
        epoch: Length of a ticket epoch.
        max_retained_bytes: Memory for chunks of all answers.
        max_stream_bytes: Memory for chunks of one answer.
        max_buffered_bytes: Longest answer that is not streamed.
        max_ledger_bytes: Memory for the records of orders.
        max_outcome_bytes: Longest answer of an order that is kept for a repeat.
        max_interruptions: Engine failures after which a request is continued.
        max_unsent_retries: Calls repeated because nothing of them was sent.
        max_wrong_versions: Answers from a wrong version after which it is repeated.
        drain_notice: Time from the start of a drain in which the entries learn of it;
            until then orders with tickets of this incarnation are taken.
        overdue_grace: Time beyond its deadline in which an order that runs keeps its
            room although other work waits.
        pause: Time without any input after which this process was paused.
        retry_jitter: Largest share by which a stated Retry-After is raised, so that
            callers refused together do not come back together.
    """

    heartbeat_interval: Seconds = 0.5
    silence: Seconds = 1.5
    resume_grace: Seconds = 2.0
    ended_retention: Seconds = 5.0
    epoch: Seconds = 600.0
    max_retained_bytes: int = 8 * 1024 * 1024
    max_stream_bytes: int = 256 * 1024
    max_buffered_bytes: int = 4 * 1024 * 1024
    max_ledger_bytes: int = 24 * 1024 * 1024
    max_outcome_bytes: int = 64 * 1024
    max_interruptions: int = 2
    max_unsent_retries: int = 1
    max_wrong_versions: int = 1
    drain_notice: Seconds = 2.0
    overdue_grace: Seconds = 1.0
    pause: Seconds = 1.0
    retry_jitter: float = 0.2
