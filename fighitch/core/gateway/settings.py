"""Settings of an instance on the users' platform, in the project's words."""

from dataclasses import dataclass

from fighitch.core.gateway.retry_budget import BudgetLimits
from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """What an instance is told at its start.

    Attributes:
        instance: Name of the instance.
        host: Its IP address.
        zone: Its availability zone.
        callers: Where callers connect; None if they don't.
        readiness: Where readiness is asked for; None if it isn't.
        store: Address of the platform's metadata store.
        peer_port: Port for connections between entries and agents.
        engine: Engine beside the instance; None if there is none.
        retry_limits: Budget for second sends over all entries.
        stop_grace: Time from SIGTERM to SIGKILL.
        lease: Time in which two holders must not give orders in turn.
        drain_notice: Time after the announcement of a backend server's leave in which
            requests may still reach it.
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
