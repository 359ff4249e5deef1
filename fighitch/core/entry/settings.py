"""Constants of the entry's decisions, with their units."""

from dataclasses import dataclass

from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Constants of the entry; the defaults are the documented behaviour.

    Attributes:
        heartbeat_interval: Most time between two messages of a sidecar while a request
            is in flight, and between heartbeats while there are few connections.
        heartbeat_refresh: Most time between two heartbeats on a busy connection; they
            carry the configuration revision.
        heartbeats_per_second: Heartbeats in a second over all connections; with more
            connections the interval of each grows.
        missed_heartbeats: Intervals without a message after which it is silent.
        connect_timeout: Time allowed for opening a connection.
        suspicion: Time from suspect to dead.
        zone_cut_minimum: Fewest silent members of a zone that make a zone cut.
        zone_cut_share: Share of a zone's members that must be silent for a zone cut.
        reconnect_base: Upper end of the first random reconnect delay.
        reconnect_cap: Upper end of every later reconnect delay.
        max_connections: Connections to sidecars that are kept open.
        assigned_connections: Sidecars of the own zone that stay connected if there are
            more than ``max_connections``.
        load_bound: Load that a candidate may have, relative to the candidates' mean.
        free_utilisation: Utilisation below which a candidate is always within bound.
        busy_utilisation: Utilisation below which an adapter gets no further replica.
        replica_half_life: Time without overload after which a replica is given up.
        replica_step: Least time between two additional replicas of one adapter.
        retry_ratio: Retries allowed per request.
        retry_minimum: Retries allowed per second whatever the number of requests.
        default_retry_after: Retry-After if nobody stated one.
        answer_grace: Wait beyond the deadline for the sidecar's own refusal, which
            can say "not run".
        max_lost_claim_answers: Lost answers of the object API tolerated per order.
        max_resumes: Requests for missing chunks per attempt.
        ticket_timeout: Time allowed for issuing a ticket.
        configuration_timeout: Wait for a peer's answer to a configuration request.
        audit_records: Records kept in memory.
    """

    heartbeat_interval: Seconds = 0.5
    heartbeat_refresh: Seconds = 2.0
    heartbeats_per_second: float = 24.0
    missed_heartbeats: int = 3
    connect_timeout: Seconds = 0.5
    suspicion: Seconds = 3.0
    zone_cut_minimum: int = 3
    zone_cut_share: float = 0.6
    reconnect_base: Seconds = 0.1
    reconnect_cap: Seconds = 5.0
    max_connections: int = 256
    assigned_connections: int = 128
    load_bound: float = 1.25
    free_utilisation: float = 0.25
    busy_utilisation: float = 0.75
    replica_half_life: Seconds = 60.0
    replica_step: Seconds = 0.5
    retry_ratio: float = 0.1
    retry_minimum: float = 1.0
    default_retry_after: Seconds = 1.0
    answer_grace: Seconds = 0.1
    max_lost_claim_answers: int = 3
    max_resumes: int = 3
    ticket_timeout: Seconds = 2.0
    configuration_timeout: Seconds = 1.0
    audit_records: int = 20_000

    @property
    def silence(self) -> Seconds:
        """Time without a message after which a connection in use is silent."""
        return self.heartbeat_interval * self.missed_heartbeats

    def interval(self, connections: int) -> Seconds:
        """Returns the time between heartbeats on each of that many connections."""
        return max(self.heartbeat_interval, connections / self.heartbeats_per_second)
