"""Timeouts and limits of an entry."""

from dataclasses import dataclass

from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Timeouts and limits of an entry; the defaults are the documented behaviour.

    Attributes:
        heartbeat_interval: Maximum time between messages of a sidecar while a request
            is in flight, and between heartbeats while there are few connections.
        heartbeat_refresh: Maximum time between heartbeats on a busy connection, because
            only heartbeats carry the configuration revision.
        heartbeats_per_second: Heartbeat rate over all connections; the interval per
            connection grows with their number.
        missed_heartbeats: Number of intervals without a message after which a
            connection counts as silent.
        connect_timeout: Timeout of a connection attempt.
        suspicion_timeout: Time after which a suspect member is declared dead.
        zone_cut_min_members: Minimum number of silent members in a zone cut.
        zone_cut_fraction: Minimum fraction of a zone's members that are silent in a
            zone cut.
        reconnect_delay_base: Upper limit of the first random reconnect delay; it
            doubles with each failure.
        reconnect_delay_cap: Upper limit of all reconnect delays.
        max_connections: Maximum number of open connections to sidecars.
        assigned_connections: Number of sidecars in the own zone that stay connected if
            there are more sidecars than ``max_connections``.
        load_bound: Load limit of a candidate, relative to the candidates' mean.
        free_utilisation: Utilisation up to which a candidate is always within the load
            limit.
        busy_utilisation: Utilisation up to which an adapter gets no further replica.
        replica_removal_delay: Time without overload after which a replica is removed.
        replica_add_interval: Minimum time between adding two replicas of one adapter.
        retry_ratio: Retries allowed per request.
        min_retries_per_second: Retries allowed per second, regardless of the number of
            requests.
        default_retry_after: Retry-After of a rejection that states none.
        response_grace: Time after the deadline to wait for the sidecar's own rejection,
            which can prove that the request did not run.
        max_lost_claim_answers: Lost responses of the object API tolerated per order.
        max_resumes: Maximum number of requests for missing chunks per request.
        ticket_timeout: Timeout for issuing a ticket.
        configuration_timeout: Timeout of a configuration request to a peer.
        audit_records: Capacity of the audit log.
    """

    heartbeat_interval: Seconds = 0.5
    heartbeat_refresh: Seconds = 2.0
    heartbeats_per_second: float = 24.0
    missed_heartbeats: int = 3
    connect_timeout: Seconds = 0.5
    suspicion_timeout: Seconds = 3.0
    zone_cut_min_members: int = 3
    zone_cut_fraction: float = 0.6
    reconnect_delay_base: Seconds = 0.1
    reconnect_delay_cap: Seconds = 5.0
    max_connections: int = 256
    assigned_connections: int = 128
    load_bound: float = 1.25
    free_utilisation: float = 0.25
    busy_utilisation: float = 0.75
    replica_removal_delay: Seconds = 60.0
    replica_add_interval: Seconds = 0.5
    retry_ratio: float = 0.1
    min_retries_per_second: float = 1.0
    default_retry_after: Seconds = 1.0
    response_grace: Seconds = 0.1
    max_lost_claim_answers: int = 3
    max_resumes: int = 3
    ticket_timeout: Seconds = 2.0
    configuration_timeout: Seconds = 1.0
    audit_records: int = 20_000

    @property
    def silence_timeout(self) -> Seconds:
        """Time without a message after which a connection in use counts as silent."""
        return self.heartbeat_interval * self.missed_heartbeats

    def interval(self, connections: int) -> Seconds:
        """Returns the heartbeat interval per connection for a number of connections."""
        return max(self.heartbeat_interval, connections / self.heartbeats_per_second)
