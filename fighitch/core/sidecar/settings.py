"""Timeouts and limits of a sidecar."""

from dataclasses import dataclass

from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Timeouts and limits of a sidecar; the defaults follow the design documentation.

    Attributes:
        heartbeat_interval: Time between heartbeats on a connection.
        silence_timeout: Time without a message after which a connection is closed.
        resume_grace: Time within which an entry must resume its responses on a new
            connection.
        ended_retention: Time for which ended responses are retained for ``Resume``.
        epoch: Duration of a ticket epoch.
        max_retained_bytes: Memory limit for the retained chunks of all responses.
        max_stream_bytes: Memory limit for the retained chunks of one response.
        max_buffered_bytes: Size limit of a response that is not streamed.
        max_ledger_bytes: Memory limit for the records of orders.
        max_outcome_bytes: Size limit of an order's response that is stored for repeats.
        max_interruptions: Number of engine failures after which a request is continued.
        max_unsent_retries: Number of retries of calls of which no byte was sent.
        max_wrong_versions: Number of retries after responses from a wrong version.
        drain_notice: Time from the start of a drain until all entries know of it;
            orders with tickets of this incarnation are accepted until then.
        overdue_grace: Time after its deadline for which a running order keeps its slot
            while other requests wait.
        pause_threshold: Time without any input after which this process is considered
            to have been paused.
        retry_jitter: Maximum fraction by which Retry-After is randomly increased, so
            that callers rejected at the same time do not retry at the same time.
    """

    heartbeat_interval: Seconds = 0.5
    silence_timeout: Seconds = 1.5
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
    pause_threshold: Seconds = 1.0
    retry_jitter: float = 0.2
