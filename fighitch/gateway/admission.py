"""Admission of one request to the engines that it may run on."""

from collections.abc import Callable

from fighitch.core.gateway.model import BackendServer, Route
from fighitch.gateway.admission_requests import build_admission_request
from fighitch.gateway.agent_links import AdmissionCallbacks, AgentLinks
from fighitch.gateway.peer_messages import Decline, Deny, Grant
from fighitch.platform.requests import RequestMetadata
from fighitch.runtime.event_loop import EventLoop
from fighitch.types import Seconds

_MS_PER_SECOND = 1_000


class Admission:
    """Requests admission from one agent at a time and holds what it granted."""

    def __init__(
        self,
        loop: EventLoop,
        links: AgentLinks,
        metadata: RequestMetadata,
        route: Route,
        *,
        arrived: Seconds,
        deadline: Seconds,
        waiting_since: Seconds | None = None,
    ) -> None:
        """Requests nothing yet.

        Args:
            loop: Event loop of the entry.
            links: Connections to the agents.
            metadata: Metadata of the request.
            route: Route of the request.
            arrived: Time at which the request arrived at the entry.
            deadline: Time after which a response is useless.
            waiting_since: Time of the latest event that the caller has; None for the
                time of the arrival.
        """
        self._loop = loop
        self._links = links
        self._metadata = metadata
        self._route = route
        self._arrived = arrived
        self._deadline = deadline
        self._waiting_since = arrived if waiting_since is None else waiting_since
        self._requests = 0
        self._declined: dict[str, Seconds] = {}
        self._retry_after: Seconds | None = None
        self._server: BackendServer | None = None
        self._number = 0

    @property
    def requests(self) -> int:
        """Number of admission requests for the current attempt."""
        return self._requests

    @property
    def is_open(self) -> bool:
        """Whether an agent was asked or has admitted the request."""
        return self._server is not None

    @property
    def declined(self) -> dict[str, Seconds]:
        """Estimated time of the first event at the engines that declined.

        They declined because the request would miss its latency target there.
        """
        return self._declined

    @property
    def retry_after(self) -> Seconds | None:
        """Time until an engine that denied the request expects capacity, if any did."""
        return self._retry_after

    def request(
        self,
        server: BackendServer,
        *,
        on_grant: Callable[[bool], None],
        on_decline: Callable[[], None],
        on_deny: Callable[[], None],
    ) -> None:
        """Requests admission to an engine from its agent.

        Args:
            server: The engine.
            on_grant: Called if the request may be sent, with whether it is late.
            on_decline: Called if the request would be late on this engine.
            on_deny: Called if the engine will not run the request.
        """
        self._requests += 1
        may_decline = server.instance_id not in self._declined
        message = build_admission_request(
            self._metadata,
            self._route,
            arrived=self._arrived,
            waiting_since=self._waiting_since,
            deadline=self._deadline,
            now=self._loop.now(),
            version=self._links.required_version(self._metadata.adapter),
            may_decline=may_decline,
        )
        if not message.may_decline:
            self._declined.clear()

        def on_declined(decline: Decline) -> None:
            self._server = None
            first_event = self._loop.now() + decline.first_event_ms / _MS_PER_SECOND
            self._declined[server.instance_id] = first_event
            on_decline()

        def on_denied(deny: Deny | None) -> None:
            self._server = None
            if deny is not None:
                self._record_retry_after(deny.retry_after_ms / _MS_PER_SECOND)
            on_deny()

        def on_granted(grant: Grant) -> None:
            on_grant(grant.late)

        self._server = server
        self._number = self._links.request_admission(
            server.instance_id,
            message,
            AdmissionCallbacks(on_granted, on_declined, on_denied),
        )

    def report_first_event(self) -> None:
        """Reports the first event of an admitted request to the agent."""
        if self._server is not None:
            self._links.report_first_event(self._server.instance_id, self._number)

    def end(self) -> None:
        """Withdraws the request from the agent that was asked, or that admitted it."""
        server, self._server = self._server, None
        if server is not None:
            self._links.report_done(server.instance_id, self._number)

    def _record_retry_after(self, delay: Seconds) -> None:
        self._retry_after = min(self._retry_after or delay, delay)
