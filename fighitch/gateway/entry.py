"""Gateway entry: accepts callers' requests and routes them to backend servers."""

import random
import socket
from collections.abc import Iterable
from typing import Any

import msgspec

from fighitch.core.gateway.backend_choice import Candidate, failure_penalty
from fighitch.core.gateway.failures import FailureKind
from fighitch.core.gateway.left_incarnations import LeftIncarnations
from fighitch.core.gateway.limit_shares import LimitShares
from fighitch.core.gateway.membership import Membership, MembershipChange
from fighitch.core.gateway.model import (
    BackendServer,
    CallerLimits,
    Configuration,
    Service,
)
from fighitch.core.gateway.outliers import OutlierDetector
from fighitch.core.gateway.response_limits import LimitKind
from fighitch.core.gateway.retry_budget import RetryBudget
from fighitch.core.gateway.route_table import RouteTable, choose_service
from fighitch.core.gateway.server_limits import ServerLimits
from fighitch.core.gateway.server_pauses import ServerPauses, bounded_pause
from fighitch.core.gateway.settings import InstanceSettings
from fighitch.gateway.agent_links import AgentLinks
from fighitch.gateway.backend_pool import BackendPool
from fighitch.gateway.caller_bounds import (
    create_caller_memory,
    make_room,
    max_callers,
)
from fighitch.gateway.configuration_reader import read_configuration
from fighitch.gateway.entry_registry import EntryRegistry
from fighitch.gateway.failure_response import send_failure_response
from fighitch.gateway.metrics import EntryMetrics
from fighitch.gateway.part_quarantine import PartQuarantine
from fighitch.gateway.quotas import Quotas
from fighitch.gateway.relay import Relay
from fighitch.gateway.relay_host import RelayedRequest
from fighitch.gateway.request_keys import RequestKeys
from fighitch.gateway.store_calls import StoreCalls
from fighitch.gateway.store_watches import StoreWatches, WatchHandlers
from fighitch.gateway.unreadable_objects import UnreadableObjects
from fighitch.gateway.zone_traffic import ZoneTraffic
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform.configuration import decode_adapter_version
from fighitch.platform.engine import decode_heartbeat
from fighitch.platform.requests import (
    RequestMetadata,
    asked_pause,
    decode_request,
    decode_request_id,
    is_from_another_instance,
    is_leaving,
    named_limit,
)
from fighitch.platform.store import StoredObject
from fighitch.runtime.event_loop import READ, EventLoop
from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.runtime.http_exchange import ResponseHead
from fighitch.runtime.sockets import (
    ACCEPTED_PER_TURN,
    BACKLOG,
    accept_pending,
    listen,
)
from fighitch.types import Seconds

_HOUSEKEEPING_INTERVAL: Seconds = 0.2
# The platform probes readiness every second and stops routing callers to an entry after
# two failed probes.
_LISTENER_CLOSE_DELAY: Seconds = 2.3
# Time before SIGKILL at which the requests in flight are answered by the entry itself.
_ANSWER_MARGIN: Seconds = 0.7
# Time before SIGKILL at which the event loop stops, even if answers are still unsent.
_STOP_MARGIN: Seconds = 0.5
# Share of the time that a stopping entry has in which it sends requests to servers.
_MIN_SEND_SHARE = 0.5
# Changes after which a server gets no new requests.
_LEAVE_CHANGES = frozenset(("draining", "left"))


class GatewayEntry:
    """Holds the caller connections, server membership and configuration of an entry."""

    def __init__(
        self,
        loop: EventLoop,
        settings: InstanceSettings,
        log: BoundedLog,
        metrics: EntryMetrics,
    ) -> None:
        if settings.callers is None:
            raise ValueError("settings of an entry must contain an address for callers")
        self.loop = loop
        self.metrics = metrics
        self.pool = BackendPool(loop)
        self._settings = settings
        self._log = log
        self._membership = Membership()
        self._leaving = LeftIncarnations()
        self._pauses = ServerPauses()
        self._configuration: Configuration | None = None
        self._routes = RouteTable(())
        self._has_server_list = False
        self._keys = RequestKeys(
            loop, log, metrics, revoke_within=settings.revoke_within
        )
        self._outliers = OutlierDetector()
        self._server_limits = ServerLimits()
        self._limit_shares = LimitShares()
        self._zones = ZoneTraffic(
            loop, settings, log, metrics, is_usable=self._is_usable
        )
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._callers: set[CallerConnection] = set()
        self._memory = create_caller_memory(loop, settings, log, metrics.memory)
        self._relays: set[RelayedRequest] = set()
        self._stopping_since: Seconds | None = None
        self._answer_by: Seconds = float("inf")
        self._store_calls = self._create_store_calls()
        self.quarantine = PartQuarantine(
            loop,
            settings.store,
            log,
            spread=lambda report: self.links.spread(report),
            on_change=self._reject_quarantined,
            calls=self._store_calls,
        )
        self.links = AgentLinks(
            loop,
            entry=settings.instance,
            peer_port=settings.peer_port,
            log=log,
            on_draining=self._on_engine_draining,
            on_down=self.quarantine.record_down,
            on_serving=lambda server, was_lost: self.quarantine.record_serving(
                server, recovered=was_lost
            ),
            on_crash_report=self.quarantine.on_report,
            all_crashes=self.quarantine.all_crashes,
            named_limit=lambda server: self._server_limits.rate(server.incarnation),
            store_epoch=lambda: self._store_calls.epoch,
            is_leaving=lambda server: server.incarnation in self._leaving,
            pause_left=self._pause_left,
        )
        self.quotas = Quotas(loop, settings, self.links, log, metrics)
        self._registry = EntryRegistry(
            loop,
            settings.store,
            log,
            entry=settings.instance,
            entries=self.quotas.entries,
            calls=self._store_calls,
        )
        self.quotas.on_reported_entries = self._registry.record_reported
        self._listener: socket.socket | None = listen(
            settings.callers.host, settings.callers.port
        )
        self._watches = StoreWatches(
            loop,
            log,
            self.quarantine,
            WatchHandlers(
                on_configuration=self._on_configuration,
                on_configuration_read=self._keys.record_contact,
                on_server_list=self._on_server_list,
                on_server_change=self._on_server_change,
                on_contact=self._on_store_contact,
                on_servers_restored=self._on_servers_restored,
                on_version=self._on_version,
            ),
        )
        self._unreadable_entries = UnreadableObjects(
            log, "server_entry_unreadable", loop.now
        )
        self._unreadable_versions = UnreadableObjects(
            log, "version_unreadable", loop.now
        )

    # Life cycle.

    def start(self) -> None:
        """Starts to accept callers and to watch the store."""
        if self._listener is not None:
            self.loop.watch(self._listener, READ, self._accept)
        self._update_watches()
        self.loop.call_every(_HOUSEKEEPING_INTERVAL, self._run_housekeeping)

    def ready(self) -> bool:
        """Returns whether the entry can serve requests."""
        return (
            self._stopping_since is None
            and self._configuration is not None
            and self._has_server_list
            and not self._keys.refuses_all
        )

    def reload(self, settings: InstanceSettings) -> None:
        """Applies changed settings; changed listen addresses need a restart."""
        previous, self._settings = self._settings, settings
        if previous.retry_limits != settings.retry_limits:
            self._retry_budgets.clear()
        self._keys.set_bound(settings.revoke_within)
        is_same_store = previous.store == settings.store
        if not is_same_store:
            self._store_calls = self._create_store_calls()
            self.quarantine.connect(settings.store, self._store_calls)
            self._registry.connect(settings.store, self._store_calls)
            self._on_servers_restored()
        self._zones.apply_settings(settings)
        self._store_calls.contact.set_heartbeat_interval(settings.heartbeat_interval)
        self._update_watches(is_new_store=not is_same_store)

    def stop(self) -> None:
        """Becomes not ready, drains the requests in flight and stops the event loop."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self.loop.now()
        self._registry.stop()
        self._log.event(
            "stopping", requests=len(self._relays), callers=len(self._callers)
        )
        for caller in self._callers:
            caller.is_shutting_down = True
        self.loop.call_later(_LISTENER_CLOSE_DELAY, self._close_idle_callers)
        grace = self._settings.stop_grace
        answer_time = max(0.0, grace - _ANSWER_MARGIN)
        self._answer_by = self.loop.now() + answer_time
        for relay in list(self._relays):
            self._end_before_stop(relay)
        self.loop.call_later(answer_time, self._memory.refuse_waiting)
        self.loop.call_later(max(0.0, grace - _STOP_MARGIN), self._finish_stop)

    def _end_before_stop(self, relay: RelayedRequest) -> None:
        """Lets a request end before the entry does, so that its caller is answered."""
        if self._stopping_since is None:
            return
        drain_time = self._answer_by - self._stopping_since
        max_run_time = (1 - _MIN_SEND_SHARE) * drain_time
        relay.end_by(self._answer_by, max_run_time=max_run_time)

    def _close_idle_callers(self) -> None:
        callers = list(self._callers)
        if self._listener is not None:
            # Closing the listener resets the connections that are not yet accepted.
            # Their callers get until the next round to send a request.
            self._accept(READ, max_count=BACKLOG)
            self.loop.forget(self._listener)
            self._listener.close()
            self._listener = None
        for caller in callers:
            caller.close_if_idle()
        if not self._callers:
            self._finish_stop()
            return
        self.loop.call_later(_HOUSEKEEPING_INTERVAL, self._close_idle_callers)

    def _finish_stop(self) -> None:
        self._log.event("stopped", requests=len(self._relays))
        self.loop.stop()

    def _create_store_calls(self) -> StoreCalls:
        interval = self._settings.heartbeat_interval
        return StoreCalls(self.loop, self._log, heartbeat_interval=interval)

    def _update_watches(self, *, is_new_store: bool = False) -> None:
        self._watches.update(
            self._settings,
            self._store_calls,
            entries=self.links.entries,
            max_configuration_watch=self._keys.max_watch,
            is_new_store=is_new_store,
        )

    def _run_housekeeping(self) -> None:
        if not self._watches.are_servers_lost:
            expired = self._membership.expire(self.loop.polled_at)
            self._on_membership_changes(expired)
        self._pauses.drop_ended(self.loop.now())
        self.quarantine.run_housekeeping()
        self._registry.run_housekeeping(is_needed=self.quotas.is_active)
        self._limit_shares.set_entries(self._entry_count, self.loop.now())
        self._keys.update_state()
        self._update_watches()
        self.metrics.set_open_requests(len(self._relays))

    def _reject_quarantined(self) -> None:
        for relay in list(self._relays):
            relay.reject_if_quarantined()

    # Callers.

    def _accept(self, _events: int, max_count: int = ACCEPTED_PER_TURN) -> None:
        if self._listener is not None:
            accept_pending(
                self._listener,
                self._add_caller,
                self._log.accept_failed,
                max_count=max_count,
            )

    def _add_caller(self, sock: socket.socket) -> None:
        if not make_room(self._callers, max_callers(self._settings.descriptor_limit)):
            self._log.event("caller_refused", callers=len(self._callers))
            sock.close()
            return
        caller = CallerConnection(
            self.loop,
            sock,
            self._caller_limits,
            on_request=self._on_request,
            on_closed=self._callers.discard,
            on_invalid=self._record_invalid_request,
            memory=self._memory,
        )
        caller.is_shutting_down = self._stopping_since is not None
        self._callers.add(caller)

    def _caller_limits(self) -> CallerLimits:
        if self._configuration is None:
            return CallerLimits()
        return self._configuration.limits

    def _record_invalid_request(self, status: int, request: CallerRequest) -> None:
        """Records a request that was rejected before it was read as a whole."""
        self.metrics.count_request("", f"invalid_{status}")
        self._log.event(
            "request_invalid",
            request=decode_request_id(request),
            path=request.target.partition(b"?")[0].decode("latin-1"),
            status=status,
        )

    def _on_request(self, caller: CallerConnection, request: CallerRequest) -> None:
        """Answers a request or creates its relay.

        An unexpected error ends the request at once; its caller would otherwise wait
        until it gives up.
        """
        try:
            relay = self._create_relay(caller, request)
        except Exception as error:
            request_id = decode_request_id(request)
            self.record_internal_error(request_id, error)
            send_failure_response(caller, FailureKind.NO_SERVER, request_id)
            return
        if relay is not None:
            relay.begin()

    def _create_relay(
        self, caller: CallerConnection, request: CallerRequest
    ) -> Relay | None:
        """Creates the relay of a request; returns None if the request is answered."""
        metadata = decode_request(request)
        if (
            not metadata.request_id
            or not metadata.host
            or not metadata.path.startswith("/")
        ):
            self._send_failure_response(caller, metadata, FailureKind.BAD_REQUEST)
            return None
        configuration = self._configuration
        if configuration is None:
            self._send_failure_response(caller, metadata, FailureKind.NOT_CONFIGURED)
            return None
        route = self._routes.find(metadata.host, metadata.path)
        # Without current contact with the store, the route or the key may exist in a
        # newer configuration.
        is_current = self._watches.is_configuration_current(self.loop.now())
        if route is None:
            kind = FailureKind.NO_ROUTE if is_current else FailureKind.NOT_CONFIGURED
            self._send_failure_response(caller, metadata, kind)
            return None
        checked = self._keys.check(metadata, route, is_current=is_current)
        if isinstance(checked, FailureKind):
            self._send_failure_response(caller, metadata, checked)
            return None
        metadata, route = checked
        service_name = choose_service(route, metadata.request_id)
        service = configuration.services.get(service_name) or Service(service_name)
        self._retry_budget(service_name).record_request(self.loop.now())
        relay = Relay(self, caller, request, metadata, route, service)
        self._relays.add(relay)
        self._end_before_stop(relay)
        return relay

    def _send_failure_response(
        self, caller: CallerConnection, metadata: RequestMetadata, kind: FailureKind
    ) -> None:
        self.metrics.count_request("", kind.value)
        version = 0 if self._configuration is None else self._configuration.version
        self._log.event(
            "request_failed",
            request=metadata.request_id,
            host=metadata.host,
            path=metadata.path,
            configuration=version,
            outcome=kind.value,
        )
        send_failure_response(caller, kind, metadata.request_id)

    # Interface for relays.

    def candidates(
        self,
        service: Service,
        metadata: RequestMetadata,
        avoid: set[str],
        *,
        may_probe: bool,
    ) -> list[Candidate]:
        """Returns the servers that may run a request, the best candidate first."""
        adapter = None if service.engine is None else metadata.adapter
        if adapter is not None and adapter.is_too_long:
            return []
        servers = self._membership.ready(service.name)
        if self._pauses.is_active:
            avoid = avoid | self._pausing(servers)
        is_limited = self._limit_shares.is_active
        return self._zones.rank(
            service.name,
            adapter,
            servers,
            self.links,
            self._failure_penalty,
            avoid=avoid,
            account=metadata.account,
            may_probe=may_probe,
            delays=self._limit_delays(servers) if is_limited else {},
        )

    def _is_usable(self, server: BackendServer) -> bool:
        is_paused = self._outliers.is_paused(server.instance_id, self.loop.now())
        return not is_paused and self._pause_left(server) <= 0

    def _pause_left(self, server: BackendServer) -> Seconds:
        return self._pauses.time_left(server.incarnation, self.loop.now())

    def _pausing(self, servers: Iterable[BackendServer]) -> set[str]:
        """Returns the ids of the servers that want no request from this entry now."""
        return {item.instance_id for item in servers if self._pause_left(item) > 0}

    def time_until_room(self, service: Service) -> Seconds | None:
        """Returns when a server of a service takes requests, if all asked for pauses.

        Returns:
            The time until the first pause ends; None if a server is not in a pause.
        """
        if not self._pauses.is_active:
            return None
        servers = self._membership.ready(service.name)
        pauses = [self._pause_left(item) for item in servers]
        return min(pauses) if pauses and min(pauses) > 0 else None

    def _limit_delays(self, servers: Iterable[BackendServer]) -> dict[str, Seconds]:
        """Returns the delays at servers that limit requests, by instance id."""
        now = self.loop.now()
        return {
            server.instance_id: self._limit_shares.delay(server.incarnation, now)
            for server in servers
            if not self.links.is_connected(server.instance_id)
        }

    def has_retry(self, service: str) -> bool:
        """Returns whether the budget of a service allows a retry."""
        return self._retry_budget(service).allows(
            self.loop.now(), entries=self._entry_count
        )

    def take_retry(self, service: str) -> bool:
        """Takes a retry from the budget of a service; returns whether it is allowed."""
        return self._retry_budget(service).take(
            self.loop.now(), entries=self._entry_count
        )

    @property
    def _entry_count(self) -> int:
        # Agents report the number of entries. Without agents it counts as 1; at least 4
        # are assumed, so that four entries still stay within their shares.
        return max(4, self.links.entries)

    def reserve(self, server: BackendServer, max_delay: Seconds) -> Seconds:
        """Takes a place within the limit of a server that has no agent.

        Returns:
            Time until the request may be sent; no place is taken if this is more than
            the maximum.
        """
        now = self.loop.now()
        delay = self._limit_shares.delay(server.incarnation, now)
        if delay <= max_delay:
            self._limit_shares.take(server.incarnation, now)
        return delay

    def is_ready(self, server: BackendServer) -> bool:
        """Returns whether a server still accepts new requests from this entry."""
        return self._membership.is_ready(server) and self._pause_left(server) <= 0

    def record_sent(
        self, server: BackendServer, metadata: RequestMetadata, avoid: set[str]
    ) -> str:
        """Records that a request was sent; returns why it left its zone, if it did."""
        ready = self._membership.ready(server.service)
        return self._zones.record_sent(
            server, metadata.adapter, ready, self.links.views, avoid
        )

    def record_head(
        self, server: BackendServer, head: ResponseHead, *, sent_at: Seconds
    ) -> None:
        """Records what a response says of its server: its limit, a pause, a leave."""
        self._zones.record_head(server, head.status, sent_at=sent_at)
        pause = asked_pause(head)
        if pause is not None:
            self._record_pause(server, pause)
        if is_leaving(head) and not is_from_another_instance(head, server.instance_id):
            self._record_leaving(server)
        limits, incarnation = self._server_limits, server.incarnation
        previous, now = limits.rate(incarnation), self.loop.now()
        rate = named_limit(head)
        if limits.record_response(incarnation, rate, sent_at=sent_at, now=now):
            self._log.event(
                "server_limit",
                server=server.instance_id,
                limit="none" if rate is None else rate,
                previous="none" if previous is None else previous,
            )
            self._limit_shares.set_rate(
                incarnation,
                rate,
                entries=self._entry_count,
                now=now,
                phase=random.random(),
            )

    def _record_pause(self, server: BackendServer, asked: Seconds) -> None:
        """Records that a server wants no request from this entry for some time."""
        pause = bounded_pause(asked)
        if pause != asked:
            self._log.event(
                "pause_bounded", server=server.instance_id, asked=asked, kept=pause
            )
        if self._pauses.record(server.incarnation, pause, self.loop.now()):
            self._log.event(
                "server_asks_pause", server=server.instance_id, seconds=f"{pause:.3f}"
            )
            self._leave_servers({server.instance_id})

    def _leave_servers(self, instance_ids: set[str]) -> None:
        for relay in list(self._relays) if instance_ids else ():
            relay.leave_servers(instance_ids)

    def _record_leaving(self, server: BackendServer) -> None:
        """Records that a server says that it leaves, whatever the store says of it."""
        if not self._leaving.add(server.incarnation):
            return
        self._log.event(
            "server_leaving", server=server.instance_id, born=server.start_time_ms
        )
        self.pool.close_idle(server)
        self.links.report_leaving(server.instance_id)
        self._on_membership_changes(self._membership.record_left(server.incarnation))

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
        """Records the outcome of an attempt in loads, metrics and outlier detection.

        Args:
            service: Service of the request.
            server: Backend server that received the request.
            failed: Whether the attempt failed because of the server.
            unreachable: Whether the server did not receive the request.
            refused: Whether its host refused the connection.
            outcome: Outcome for the log and the metrics.
            elapsed: Time since the request was sent.
            metadata: Metadata of the request.
            answered: Whether the answer was under way without harm to the server.
        """
        now = self.loop.now()
        if failed and not unreachable and not answered and metadata.shared_parts:
            self.quarantine.record_lost(server, metadata.shared_parts)
            self._log.event(
                "run_lost",
                request=metadata.request_id,
                server=server.instance_id,
                outcome=outcome,
                parts=",".join(metadata.shared_parts),
            )
        self._zones.record_outcome(
            server,
            unreachable=unreachable,
            outcome=outcome,
            elapsed=elapsed,
            answered=answered,
        )
        self.metrics.count_attempt(service.name, outcome)
        if failed:
            self._log.event(
                "attempt_failed",
                request=metadata.request_id,
                server=server.instance_id,
                outcome=outcome,
                elapsed=f"{elapsed:.3f}",
            )
        if unreachable:
            # A sound server resets connections when it has too many, and others may
            # fail because of the entry's own links.
            if refused:
                self.quarantine.record_down(server)
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

    def record_internal_error(self, request_id: str, error: Exception) -> None:
        """Logs an unexpected error that ended a request."""
        self._log.event(
            "request_error", level="error", request=request_id, detail=repr(error)
        )

    def record_limit_exceeded(
        self, server: BackendServer, request_id: str, limit: LimitKind
    ) -> None:
        """Logs the limit that ended an exchange with a server."""
        self._log.event(
            "response_limit_exceeded",
            request=request_id,
            server=server.instance_id,
            limit=limit.value,
        )

    def record_end(self, relay: RelayedRequest, **fields: Any) -> None:
        """Records the end of a request."""
        self._relays.discard(relay)
        self.metrics.count_request(fields["route"], fields["outcome"])
        self._zones.record_end(
            fields["service"], size=fields["size"], prompt_tokens=fields["tokens"]
        )
        self._log.event("request_ended", **fields)

    def _failure_penalty(self, instance_id: str) -> Seconds:
        return failure_penalty(
            paused=self._outliers.is_paused(instance_id, self.loop.now()),
            failure_ratio=self._outliers.failure_ratio(instance_id),
        )

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._settings.retry_limits)
            self._retry_budgets[service] = budget
        return budget

    # Changes in the store.

    def _on_configuration(self, item: StoredObject) -> None:
        configuration = read_configuration(item, self._configuration, self._log)
        if configuration is None:
            return
        self._configuration = configuration
        self._routes = RouteTable(configuration.routes)
        self._keys.configure(configuration)
        self.quotas.configure(configuration)
        self._zones.set_routes(configuration.routes)
        self._update_links()

    def _on_version(self, item: StoredObject) -> None:
        if item.removed:
            return
        try:
            adapter, version = decode_adapter_version(item.content)
        except msgspec.DecodeError as error:
            self._unreadable_versions.record(item, error)
            return
        self._log.event("version_announced", adapter=adapter, version=version)
        self.links.announce_version(adapter, version)

    def _on_store_contact(self, after_outage: bool) -> None:
        self._membership.record_store_contact(
            self.loop.now(), after_outage=after_outage
        )

    def _on_servers_restored(self) -> None:
        self._membership.record_store_restored(self.loop.now())

    def _on_server_list(self, objects: Iterable[StoredObject]) -> None:
        servers = [self._decode_server(item) for item in objects]
        known = [server for server in servers if server is not None]
        self._has_server_list = True
        self._on_membership_changes(
            self._membership.replace_all(known, self.loop.now())
        )

    def _on_server_change(self, item: StoredObject) -> None:
        server = None if item.removed else self._decode_server(item)
        if server is None:
            self._on_membership_changes(
                self._membership.remove(item.name, self.loop.now())
            )
            return
        self._on_membership_changes(self._membership.put(server))

    def _decode_server(self, item: StoredObject) -> BackendServer | None:
        try:
            return decode_heartbeat(item.name, item.content)
        except msgspec.DecodeError as error:
            self._unreadable_entries.record(item, error)
            return None

    def record_replaced(self, server: BackendServer) -> None:
        """Records that another server now responds at the address of a server."""
        self._on_membership_changes(self._membership.mark_left(server.instance_id))

    def _on_engine_draining(self, instance_id: str) -> None:
        self._on_membership_changes(self._membership.mark_left(instance_id))

    def _on_membership_changes(self, changes: list[MembershipChange]) -> None:
        if not changes:
            return
        self._leave_servers(
            {item.instance_id for item in changes if item.change in _LEAVE_CHANGES}
        )
        for change in changes:
            self._log.event("server", server=change.instance_id, change=change.change)
            if change.change == "removed":
                self._outliers.forget(change.instance_id)
                self._server_limits.forget(change.instance_id)
                self._limit_shares.forget(change.instance_id)
                self._zones.forget(change.instance_id)
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
