"""Settings of an instance, independent of the platform's settings format."""

from dataclasses import dataclass

from fighitch.core.gateway.retry_budget import BudgetLimits
from fighitch.types import Seconds

# Used if the settings do not state the interval.
DEFAULT_HEARTBEAT_INTERVAL: Seconds = 1.2
# Waiting time of a client that a byte across zones is worth: 10 ms for a megabyte. The
# few kilobytes of a prompt and its response don't delay a client noticeably.
DEFAULT_CROSS_ZONE_SECONDS_PER_BYTE: Seconds = 1e-8


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class QuotaWindow:
    """How closely the quotas of client accounts hold.

    Attributes:
        length: Length of any window over which the work of an account is summed.
        overage: Share by which the sum may exceed the quota.
        slack: Units by which the sum may exceed the quota beside that share.
    """

    length: Seconds = 8.0
    overage: float = 0.1
    slack: float = 0.0


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of one instance.

    Attributes:
        instance: Name of the instance, in its log and as holder of an engine.
        host: IP address of the instance.
        zone: Availability zone of the instance.
        callers: Address at which callers connect; None if the instance serves no
            callers.
        readiness: Address of the readiness probe; None if there is none.
        store: Address of the platform's metadata store.
        peer_port: Port on which agents listen for entries.
        engine: Address of the engine next to the instance; None if there is none.
        retry_limits: Limits of each service's retries, over all entries.
        stop_grace: Time from SIGTERM to SIGKILL.
        lease: Minimum time between the orders of two different holders of an engine.
        drain_notice: Time after the announcement of a backend server's drain in which
            requests may still reach it.
        heartbeat_interval: Time between the heartbeats of a backend server.
        revoke_within: Time after the removal of a client account's key from which no
            instance may accept it, in contact with the store or not; None if an
            instance without contact may go on.
        quota_window: How closely the quotas of client accounts hold.
        cross_zone_seconds_per_byte: Waiting time of a client, in seconds, that one byte
            across zones is worth; 0 if such traffic is free, None for a fixed charge of
            engines in other zones and the default price elsewhere.
        memory_limit: Memory of the instance's process, in bytes; 0 if not stated.
        descriptor_limit: File descriptors of the process; 0 if not stated.
    """

    instance: str
    host: str
    zone: str
    callers: Address | None
    readiness: Address | None
    store: Address
    peer_port: int
    engine: Address | None
    retry_limits: BudgetLimits
    stop_grace: Seconds
    lease: Seconds
    drain_notice: Seconds = 2.0
    heartbeat_interval: Seconds = DEFAULT_HEARTBEAT_INTERVAL
    revoke_within: Seconds | None = None
    quota_window: QuotaWindow = QuotaWindow()
    cross_zone_seconds_per_byte: Seconds | None = None
    memory_limit: int = 0
    descriptor_limit: int = 0
