"""Parts of an entry that its relays use, so that relays do not depend on the entry."""

from typing import Any, Protocol

from fighitch.core.gateway.backend_choice import Candidate
from fighitch.core.gateway.model import BackendServer, Service
from fighitch.core.gateway.response_limits import LimitKind
from fighitch.gateway.agent_links import AgentLinks
from fighitch.gateway.backend_pool import BackendPool
from fighitch.gateway.metrics import EntryMetrics
from fighitch.gateway.part_quarantine import PartQuarantine
from fighitch.gateway.quotas import Quotas
from fighitch.platform.requests import RequestMetadata
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_exchange import ResponseHead
from fighitch.types import Seconds


class RelayedRequest(Protocol):
    """A request in progress, as the entry sees it."""

    def begin(self) -> None:
        """Takes units of the account's quota for a send, then places the request."""

    def place(self) -> None:
        """Chooses a backend server, then requests admission or sends the request."""

    def reject_if_quarantined(self) -> None:
        """Ends a request that would crash an engine, unless its answer has begun."""

    def leave_servers(self, instance_ids: set[str]) -> None:
        """Places a request elsewhere that has not yet been sent to its server.

        Args:
            instance_ids: Servers that want no further requests.
        """

    def end_by(self, time: Seconds, *, max_run_time: Seconds) -> None:
        """Ends the request by a time, after which the entry doesn't run any more.

        Args:
            time: Time by which the caller has an answer.
            max_run_time: Longest time before it for which the request is no longer sent
                to a server.
        """


class RelayHost(Protocol):
    """The entry that relays belong to."""

    loop: EventLoop
    metrics: EntryMetrics
    pool: BackendPool
    quarantine: PartQuarantine
    links: AgentLinks
    quotas: Quotas

    def candidates(
        self,
        service: Service,
        metadata: RequestMetadata,
        avoid: set[str],
        *,
        may_probe: bool,
    ) -> list[Candidate]:
        """Returns the servers that may run a request, the best candidate first."""

    def time_until_room(self, service: Service) -> Seconds | None:
        """Returns when the first server takes requests, if all asked for pauses."""

    def has_retry(self, service: str) -> bool:
        """Returns whether the budget of a service allows a retry."""

    def take_retry(self, service: str) -> bool:
        """Takes a retry from the budget of a service; returns whether it is allowed."""

    def reserve(self, server: BackendServer, max_delay: Seconds) -> Seconds:
        """Takes a place within the limit of a server that has no agent."""

    def is_ready(self, server: BackendServer) -> bool:
        """Returns whether a server still accepts new requests from this entry."""

    def record_sent(
        self, server: BackendServer, metadata: RequestMetadata, avoid: set[str]
    ) -> str:
        """Records that a request was sent; returns why it left its zone, if it did."""

    def record_head(
        self, server: BackendServer, head: ResponseHead, *, sent_at: Seconds
    ) -> None:
        """Records what the head of a response says about its server."""

    def record_outcome(
        self,
        service: Service,
        server: BackendServer,
        *,
        failed: bool,
        unreachable: bool,
        refused: bool,
        outcome: str,
        elapsed: Seconds,
        metadata: RequestMetadata,
        answered: bool,
    ) -> None:
        """Records the outcome of an attempt in loads, metrics and outlier detection."""

    def record_internal_error(self, request_id: str, error: Exception) -> None:
        """Logs an unexpected error that ended a request."""

    def record_limit_exceeded(
        self, server: BackendServer, request_id: str, limit: LimitKind
    ) -> None:
        """Logs the limit that ended an exchange with a server."""

    def record_replaced(self, server: BackendServer) -> None:
        """Records that another server now responds at the address of a server."""

    def record_end(self, relay: RelayedRequest, **fields: Any) -> None:
        """Records the end of a request."""
