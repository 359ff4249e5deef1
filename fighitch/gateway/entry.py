"""The gateway entry: takes callers' requests and sends them to backend servers."""

import socket
from collections.abc import Iterable
from typing import Any

import msgspec

from fighitch.core.gateway.backend_choice import (
    Candidate,
    EngineRanker,
    PlainServerLoad,
    failure_penalty,
    rank_plain_servers,
)
from fighitch.core.gateway.failures import FailureKind
from fighitch.core.gateway.membership import Membership, MembershipChange
from fighitch.core.gateway.model import (
    BackendServer,
    CallerLimits,
    Configuration,
    Service,
)
from fighitch.core.gateway.outliers import OutlierDetector
from fighitch.core.gateway.retry_budget import RetryBudget
from fighitch.core.gateway.route_table import RouteTable, choose_service
from fighitch.core.gateway.settings import InstanceSettings
from fighitch.gateway.agent_links import AgentLinks
from fighitch.gateway.backend_pool import BackendPool
from fighitch.gateway.metrics import EntryMetrics
from fighitch.gateway.relay import Relay, answer_failure
from fighitch.gateway.store_watch import KindWatcher, WatchOptions
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    VERSIONS_KIND,
    decode_adapter_version,
    decode_configuration,
)
from fighitch.platform.engine import SERVERS_KIND, decode_heartbeat
from fighitch.platform.requests import RequestFacts, decode_request
from fighitch.platform.store import StoredObject
from fighitch.runtime.event_loop import READ, EventLoop
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.sockets import accept_waiting, listen
from fighitch.types import Seconds

# Servers change with every heartbeat of an engine; one call a pause covers them all.
# The rest of the notice of a leave is kept for a slow or repeated call.
_SERVERS_PAUSE_SHARE = 0.4
# Configurations that come in quick succession share calls; the bound is 2 s.
_CONFIGURATION_PAUSE: Seconds = 0.25
_VERSIONS_PAUSE: Seconds = 0.5
_VERSIONS_WAIT: Seconds = 3.0
_HOUSEKEEPING: Seconds = 0.2
# The platform asks for readiness every second and needs two misses.
_LEAVE_ROTATION: Seconds = 2.3
_STOP_SLACK: Seconds = 0.7
# Below the descriptor limit, so that sockets to servers are left.
_MAX_CALLERS = 1_500


class GatewayEntry:
    """Owns the callers' connections and all that an entry knows."""

    def __init__(
        self,
        loop: EventLoop,
        settings: InstanceSettings,
        log: BoundedLog,
        metrics: EntryMetrics,
    ) -> None:
        if settings.callers is None:
            raise ValueError("an entry needs an address for callers in its settings")
        self.loop = loop
        self.metrics = metrics
        self.pool = BackendPool(loop)
        self._settings = settings
        self._log = log
        self._membership = Membership()
        self._configuration: Configuration | None = None
        self._routes = RouteTable(())
        self._servers_known = False
        self._choice = EngineRanker(settings.zone)
        self._outliers = OutlierDetector()
        self._plain_loads: dict[str, PlainServerLoad] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._callers: set[CallerConnection] = set()
        self._relays: set[Relay] = set()
        self._stopping_since: Seconds | None = None
        self.links = AgentLinks(
            loop,
            entry=settings.instance,
            peer_port=settings.peer_port,
            log=log,
            on_draining=self._on_engine_draining,
        )
        self._listener: socket.socket | None = listen(
            settings.callers.host, settings.callers.port
        )
        self._watchers: list[KindWatcher] = []

    # Life.

    def start(self) -> None:
        """Starts to listen and to follow the store."""
        if self._listener is not None:
            self.loop.watch(self._listener, READ, self._accept)
        self._follow_store()
        self.loop.call_every(_HOUSEKEEPING, self._keep_house)

    def ready(self) -> bool:
        """Whether the entry can serve requests."""
        return (
            self._stopping_since is None
            and self._configuration is not None
            and self._servers_known
        )

    def reload(self, settings: InstanceSettings) -> None:
        """Takes changed settings; addresses to listen on need a restart."""
        previous, self._settings = self._settings, settings
        if previous.retry_limits != settings.retry_limits:
            self._budgets.clear()
        is_same_store = previous.store == settings.store
        if not is_same_store or previous.drain_notice != settings.drain_notice:
            self._follow_store()

    def stop(self) -> None:
        """Leaves rotation, answers what is under way, then ends the loop."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self.loop.now()
        self._log.event(
            "stopping", requests=len(self._relays), callers=len(self._callers)
        )
        for caller in self._callers:
            caller.closing = True
        self.loop.call_later(_LEAVE_ROTATION, self._close_idle)
        longest = max(0.0, self._settings.stop_grace - _STOP_SLACK)
        self.loop.call_later(longest, self._end)

    def _close_idle(self) -> None:
        if self._listener is not None:
            self.loop.forget(self._listener)
            self._listener.close()
            self._listener = None
        for caller in [caller for caller in self._callers if caller.idle]:
            caller.close()
        if not self._callers:
            self._end()
            return
        self.loop.call_later(_HOUSEKEEPING, self._close_idle)

    def _end(self) -> None:
        self._log.event("stopped", requests=len(self._relays))
        self.loop.stop()

    def _follow_store(self) -> None:
        for watcher in self._watchers:
            watcher.stop()
        address = self._settings.store
        servers_pause = _SERVERS_PAUSE_SHARE * self._settings.drain_notice
        configuration = KindWatcher(
            self.loop,
            address,
            WatchOptions(CONFIGURATION_KIND, pause=_CONFIGURATION_PAUSE),
            self._log,
            on_change=self._on_configuration,
        )
        servers = KindWatcher(
            self.loop,
            address,
            WatchOptions(SERVERS_KIND, pause=servers_pause),
            self._log,
            on_list=self._on_servers,
            on_change=self._on_server,
            on_contact=self._on_servers_contact,
        )
        versions = KindWatcher(
            self.loop,
            address,
            WatchOptions(VERSIONS_KIND, wait=_VERSIONS_WAIT, pause=_VERSIONS_PAUSE),
            self._log,
            on_change=self._on_version,
        )
        self._watchers = [configuration, servers, versions]
        for watcher in self._watchers:
            watcher.start()

    def _keep_house(self) -> None:
        self._note_changes(self._membership.expire(self.loop.now()))
        self.metrics.open_requests(len(self._relays))

    # Callers.

    def _accept(self, _events: int) -> None:
        if self._listener is not None:
            accept_waiting(self._listener, self._add_caller, self._log.accept_failed)

    def _add_caller(self, sock: socket.socket) -> None:
        if len(self._callers) >= _MAX_CALLERS:
            self._log.event("caller_refused", callers=len(self._callers))
            sock.close()
            return
        caller = CallerConnection(
            self.loop,
            sock,
            self._limits(),
            on_request=self._on_request,
            on_closed=self._callers.discard,
        )
        caller.closing = self._stopping_since is not None
        self._callers.add(caller)

    def _limits(self) -> CallerLimits:
        if self._configuration is None:
            return CallerLimits()
        return self._configuration.limits

    def _on_request(self, caller: CallerConnection, request: CallerRequest) -> None:
        facts = decode_request(request)
        if not facts.request_id or not facts.host or not facts.path.startswith("/"):
            self._answer_failure(caller, facts, FailureKind.BAD_REQUEST)
            return
        configuration = self._configuration
        if configuration is None:
            self._answer_failure(caller, facts, FailureKind.NOT_CONFIGURED)
            return
        route = self._routes.find(facts.host, facts.path)
        if route is None:
            is_current = self._watchers[0].is_current(self.loop.now())
            kind = FailureKind.NO_ROUTE if is_current else FailureKind.NOT_CONFIGURED
            self._answer_failure(caller, facts, kind)
            return
        name = choose_service(route, facts.request_id)
        service = configuration.services.get(name) or Service(name)
        self._budget(name).record_request(self.loop.now())
        relay = Relay(self, caller, request, facts, route, service)
        self._relays.add(relay)
        relay.place()

    def _answer_failure(
        self, caller: CallerConnection, facts: RequestFacts, kind: FailureKind
    ) -> None:
        self.metrics.request_ended("", kind.value)
        version = 0 if self._configuration is None else self._configuration.version
        self._log.event(
            "request_failed",
            request=facts.request_id,
            host=facts.host,
            path=facts.path,
            configuration=version,
            outcome=kind.value,
        )
        answer_failure(caller, kind, facts.request_id)

    # What requests need of the entry.

    def candidates(
        self, service: Service, facts: RequestFacts, avoid: set[str]
    ) -> list[Candidate]:
        """Returns the servers that may run a request, the best first."""
        servers = self._membership.ready(service.name)
        if service.engine is not None and facts.adapter is not None:
            return self._choice.rank(
                facts.adapter, servers, self.links.views, self._penalty, avoid=avoid
            )
        return rank_plain_servers(
            servers,
            self._plain_loads,
            self._settings.zone,
            self._penalty,
            avoid=avoid,
        )

    def take_retry(self, service: str) -> bool:
        """Takes a second send from the budget of a service."""
        return self._budget(service).take(
            self.loop.now(), entries=max(4, self.links.entries)
        )

    def note_sent(self, server: BackendServer) -> None:
        """Counts a request at a server."""
        self._plain_loads.setdefault(server.instance_id, PlainServerLoad()).running += 1

    def note_outcome(
        self,
        service: Service,
        server: BackendServer,
        *,
        failed: bool,
        unreachable: bool,
        outcome: str,
        elapsed: Seconds,
    ) -> None:
        """Takes the end of a send to a server."""
        now = self.loop.now()
        load = self._plain_loads.get(server.instance_id)
        if load is not None:
            load.running = max(0, load.running - 1)
            if not failed:
                load.record_response_time(elapsed)
        self.metrics.attempt_ended(service.name, outcome)
        if unreachable:
            self._outliers.record_unreachable(server.instance_id, now)
            self._log.event("server_unreachable", server=server.instance_id)
            return
        ready = self._membership.ready(service.name)
        peers = (item.instance_id for item in ready)
        is_paused = self._outliers.record_outcome(
            server.instance_id, failed=failed, peers=peers, now=now
        )
        if is_paused:
            ratio = self._outliers.failure_ratio(server.instance_id)
            self._log.event(
                "server_paused",
                server=server.instance_id,
                failure_ratio=f"{ratio:.2f}",
                outcome=outcome,
            )

    def note_end(self, relay: Relay, **fields: Any) -> None:
        """Takes the end of a request."""
        self._relays.discard(relay)
        self.metrics.request_ended(fields["route"], fields["outcome"])
        self._log.event("request_ended", **fields)

    def _penalty(self, instance_id: str) -> Seconds:
        return failure_penalty(
            paused=self._outliers.is_paused(instance_id, self.loop.now()),
            failure_ratio=self._outliers.failure_ratio(instance_id),
        )

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._settings.retry_limits)
            self._budgets[service] = budget
        return budget

    # The store.

    def _on_configuration(self, item: StoredObject) -> None:
        if item.name != CONFIGURATION_NAME or item.removed:
            return
        try:
            configuration = decode_configuration(item.content)
        except msgspec.DecodeError as error:
            self._log.event("configuration_unreadable", detail=error)
            return
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._routes = RouteTable(configuration.routes)
        self._log.event(
            "configuration_applied",
            version=configuration.version,
            revision=item.revision,
            routes=len(configuration.routes),
        )
        self._update_links()

    def _on_version(self, item: StoredObject) -> None:
        if item.removed:
            return
        try:
            adapter, version = decode_adapter_version(item.content)
        except msgspec.DecodeError as error:
            self._log.event("version_unreadable", entry=item.name, detail=error)
            return
        self._log.event("version_announced", adapter=adapter, version=version)
        self.links.announce_version(adapter, version)

    def _on_servers_contact(self, after_outage: bool) -> None:
        self._membership.record_store_contact(
            self.loop.now(), after_outage=after_outage
        )

    def _on_servers(self, objects: Iterable[StoredObject]) -> None:
        servers = [self._decode_server(item) for item in objects]
        known = [server for server in servers if server is not None]
        self._servers_known = True
        self._note_changes(self._membership.replace_all(known, self.loop.now()))

    def _on_server(self, item: StoredObject) -> None:
        server = None if item.removed else self._decode_server(item)
        if server is None:
            self._note_changes(self._membership.remove(item.name, self.loop.now()))
            return
        self._note_changes(self._membership.put(server))

    def _decode_server(self, item: StoredObject) -> BackendServer | None:
        try:
            return decode_heartbeat(item.name, item.content)
        except msgspec.DecodeError as error:
            self._log.event("server_entry_unreadable", entry=item.name, detail=error)
            return None

    def note_replaced(self, server: BackendServer) -> None:
        """Takes that another server answered at a server's address."""
        self._note_changes(self._membership.mark_left(server.instance_id))

    def _on_engine_draining(self, instance_id: str) -> None:
        self._note_changes(self._membership.mark_left(instance_id))

    def _note_changes(self, changes: list[MembershipChange]) -> None:
        if not changes:
            return
        for change in changes:
            self._log.event("server", server=change.instance_id, change=change.change)
            if change.change == "removed":
                self._outliers.forget(change.instance_id)
                self._plain_loads.pop(change.instance_id, None)
        self._update_links()

    def _update_links(self) -> None:
        if self._configuration is None:
            return
        engines = {}
        for server in self._membership.servers:
            service = self._configuration.services.get(server.service)
            if service is not None and service.engine is not None:
                engines[server.instance_id] = (server, service.engine)
        self.links.update(engines)
