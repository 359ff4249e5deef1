"""Event-driven core of an entry.

The core has no clock, sockets or threads. It handles each input with the current time
and returns the effects for the daemon to execute in order.
"""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from expression import Error, Ok, Result

from fighitch.core.anti_entropy import ConfigurationExchange
from fighitch.core.audit import AuditLog, AuditRecord
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.effects import AnswerFailed, EntryEffect, Stop
from fighitch.core.entry.caller_responses import CallerResponses
from fighitch.core.entry.connections import Connections, Link
from fighitch.core.entry.dispatch import Dispatcher
from fighitch.core.entry.indexes import Indexes
from fighitch.core.entry.membership import MemberEvent, Members, ZoneCut
from fighitch.core.entry.orders import Orders, body_digest
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.planning import Plan, RequestPlanner
from fighitch.core.entry.request_state import Phase, RequestState, RequestTable
from fighitch.core.entry.responses import ResponseVerifier
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.inputs import (
    CallerGone,
    CallerRequest,
    ClaimAnswered,
    ConfigurationReceived,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    DrainRequested,
    EntryInput,
    InstancesListed,
    MessageReceived,
    Tick,
    TicketRequested,
)
from fighitch.core.messages import (
    Chunk,
    ConfigurationDelta,
    ConfigurationRequest,
    End,
    Heartbeat,
    Refused,
)
from fighitch.core.tickets import TicketSigner
from fighitch.types import Incarnation, InstanceName, RequestId, Revision, Seconds


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Status of one sidecar, as observed by this entry.

    Attributes:
        name: Name of the backend server and its sidecar.
        state: Liveness of the sidecar.
        availability_zone: Availability zone of the sidecar.
        is_connected: Whether this entry has an open connection to it.
        in_flight: Number of this entry's requests that are bound to it.
        running: Number of running requests in its last load report.
        queued: Number of queued requests in its last load report.
        batch_size: Batch size in its last load report; 0 before the first.
        resident: Number of adapter versions that were loaded at its last load report.
    """

    name: InstanceName
    state: str
    availability_zone: str
    is_connected: bool
    in_flight: int
    running: int
    queued: int
    batch_size: int
    resident: int


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status of an entry, for operators.

    Attributes:
        instance: Name of this instance.
        incarnation: Incarnation of this process; each start has a new one.
        is_ready: Whether the entry accepts requests.
        is_draining: Whether the entry is draining before a planned stop.
        revision: Configuration revision up to which all changes are applied.
        configuration_age: Time since the last configuration update; None before the
            first.
        in_flight: Pairs of rank and number of requests in flight.
        backend_servers: Status of each configured sidecar.
        connections: Number of open connections.
        cut_zones: Availability zones that are considered partitioned from this entry.
    """

    instance: InstanceName
    incarnation: Incarnation
    is_ready: bool
    is_draining: bool
    revision: Revision
    configuration_age: Seconds | None
    in_flight: tuple[tuple[int, int], ...]
    backend_servers: tuple[MemberStatus, ...]
    connections: int
    cut_zones: tuple[str, ...]


class EntryCore:
    """Routes requests of callers to sidecars and verifies the responses."""

    def __init__(
        self,
        instance: InstanceName,
        incarnation: Incarnation,
        *,
        signer: TicketSigner,
        rng: random.Random,
        availability_zone: str = "",
        region: str = "",
        settings: EntrySettings | None = None,
        peers: Iterable[str] = (),
    ) -> None:
        """Creates an entry that becomes ready with its first configuration.

        Args:
            instance: Name of this instance.
            incarnation: Incarnation of this process; each start has a new one.
            signer: Signs and verifies tickets.
            rng: Random number generator for back-off and sampling; seeded in tests.
            availability_zone: Zone of this instance.
            region: Region of this instance.
            settings: Timeouts and limits; None uses the defaults.
            peers: Addresses of entries or sidecars that provide the configuration.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._settings = settings or EntrySettings()
        self._audit = AuditLog(
            instance, incarnation, capacity=self._settings.audit_records
        )
        self._outbox = Outbox(self._audit)
        self._store = ConfigurationStore()
        self._indexes = Indexes(self._store)
        self._exchange = ConfigurationExchange(self._store)
        self._configuration_updated_at: Seconds | None = None
        self._members = Members(settings=self._settings, rng=rng)
        self._connections = Connections(
            members=self._members,
            outbox=self._outbox,
            settings=self._settings,
            rng=rng,
            peers=peers,
            position=lambda: self._store.position,
            instance=instance,
            availability_zone=availability_zone,
        )
        self._router = Router(
            availability_zone=availability_zone,
            region=region,
            members=self._members,
            indexes=self._indexes,
            settings=self._settings,
            rng=rng,
        )
        self._requests = RequestTable()
        self._responses = CallerResponses(requests=self._requests, outbox=self._outbox)
        self._dispatcher = Dispatcher(
            requests=self._requests,
            members=self._members,
            connections=self._connections,
            router=self._router,
            responses=self._responses,
            outbox=self._outbox,
            settings=self._settings,
            body_digest=body_digest,
        )
        self._orders = Orders(
            requests=self._requests,
            members=self._members,
            connections=self._connections,
            router=self._router,
            dispatcher=self._dispatcher,
            responses=self._responses,
            outbox=self._outbox,
            settings=self._settings,
            signer=signer,
            rng=rng,
        )
        self._verifier = ResponseVerifier(
            requests=self._requests,
            members=self._members,
            router=self._router,
            dispatcher=self._dispatcher,
            orders=self._orders,
            responses=self._responses,
            outbox=self._outbox,
            settings=self._settings,
        )
        self._planner = RequestPlanner(self._indexes)
        self._placement_generation = self._indexes.placement_generation
        self._is_draining = False
        self._is_stopped = False
        # Bound once, because each access to a singledispatchmethod creates a function.
        self._handle_event = self._handle
        self._receive_message = self._receive

    @property
    def is_ready(self) -> bool:
        """Whether this entry has a configuration and accepts requests."""
        return self._store.revision > 0 and not self._is_draining

    @property
    def store(self) -> ConfigurationStore:
        """Local copy of the configuration; read-only for callers."""
        return self._store

    def handle(self, event: EntryInput, *, now: Seconds) -> list[EntryEffect]:
        """Handles one input.

        Args:
            event: Input to handle.
            now: Current monotonic time.

        Returns:
            Effects to execute, in order.
        """
        self._handle_event(event, now)
        self._stop_if_drained(now)
        return self._outbox.drain()

    def explain(self, request_id: RequestId) -> tuple[AuditRecord, ...]:
        """Returns the audit records of a request, oldest first."""
        return self._audit.explain(request_id)

    def status(self, *, now: Seconds) -> EntryStatus:
        """Returns the status of this entry."""
        ranks = Counter(request.rank for request in self._requests)
        age = (
            None
            if self._configuration_updated_at is None
            else now - self._configuration_updated_at
        )
        return EntryStatus(
            instance=self._instance,
            incarnation=self._incarnation,
            is_ready=self.is_ready,
            is_draining=self._is_draining,
            revision=self._store.revision,
            configuration_age=age,
            in_flight=tuple(sorted(ranks.items())),
            backend_servers=tuple(
                MemberStatus(
                    name=member.name,
                    state=member.state.value,
                    availability_zone=member.availability_zone,
                    is_connected=self._connections.to_member(member.name) is not None,
                    in_flight=member.in_flight,
                    running=sum(member.report.running) if member.report else 0,
                    queued=sum(member.report.queued) if member.report else 0,
                    batch_size=member.report.batch_size if member.report else 0,
                    resident=len(member.report.resident) if member.report else 0,
                )
                for member in sorted(self._members, key=lambda item: item.name)
            ),
            connections=len(self._connections),
            cut_zones=tuple(sorted(self._members.cut_zones)),
        )

    @singledispatchmethod
    def _handle(self, event: object, now: Seconds) -> None:
        raise TypeError(f"{type(event).__name__} is not an input of an entry")

    @_handle.register
    def _(self, event: CallerRequest, now: Seconds) -> None:
        if self._requests.get(event.request_id) is not None:
            # Only the first request with an id gets a response.
            self._log_duplicate(event.request_id, now)
            return
        planned = self._plan_request(event).bind(self._check_caller_limit)
        if planned.is_error():
            failure = planned.error
            if event.idempotency_key:
                # An earlier request with this key may have been executed.
                failure = replace(failure, run_state_override=RunState.UNKNOWN)
            self._reject(event.request_id, failure, now)
            return
        plan = planned.ok
        policy = plan.policy.spec
        timeout = policy.deadline_ms / 1_000 if event.timeout is None else event.timeout
        request = RequestState(
            event, plan.caller.name, policy, plan.target, now + timeout
        )
        self._requests.add(request)
        self._dispatcher.count_request(request.rank)
        self._outbox.log(
            "request_accepted",
            now=now,
            request_id=request.request_id,
            cause=f"work policy {plan.policy.name}",
            caller=request.caller,
            target=plan.target.key,
            rank=request.rank,
        )
        if policy.idempotent:
            self._dispatcher.route(request, now)
            return
        self._orders.start(request, now)

    @_handle.register
    def _(self, event: TicketRequested, now: Seconds) -> None:
        planned = self._plan_request(event)
        if planned.is_error():
            self._reject(event.request_id, planned.error, now)
            return
        self._orders.request_ticket(
            event,
            caller=planned.ok.caller.name,
            target=planned.ok.target,
            rank=planned.ok.policy.spec.rank,
            now=now,
        )

    @_handle.register
    def _(self, event: CallerGone, now: Seconds) -> None:
        self._orders.cancel_ticket_request(event.request_id)
        request = self._requests.get(event.request_id)
        if request is None:
            return
        if request.order is not None:
            self._orders.on_caller_disconnected(request, now)
            return
        self._dispatcher.unbind(request, now, cancel=True)
        self._responses.drop(request, now, cause="caller disconnected")

    @_handle.register
    def _(self, event: ClaimAnswered, now: Seconds) -> None:
        self._orders.apply_claim_answer(event, now)

    @_handle.register
    def _(self, event: ConnectionOpened, now: Seconds) -> None:
        member = self._members.at_address(event.address) if event.address else None
        previous = self._connections.to_member(member.name) if member else None
        link = self._connections.on_opened(event, now)
        if link is None:
            self._handle_unreachable(
                member.name if member else "", now, "unexpected peer"
            )
            return
        if previous is not None:
            self._replace_connection(previous, now)
        if self._store.revision == 0:
            self._connections.send(link, ConfigurationRequest(0), now)
        if link.member:
            self._continue_requests(link, now)

    @_handle.register
    def _(self, event: ConnectionFailed, now: Seconds) -> None:
        self._handle_failed_connect(
            event.address, now, cause=event.detail or "not accepted"
        )

    @_handle.register
    def _(self, event: ConnectionClosed, now: Seconds) -> None:
        link = self._connections.get(event.connection)
        if link is not None:
            self._handle_lost_connection(
                link, now, cause=event.detail or "closed", silent=False
            )

    @_handle.register
    def _(self, event: MessageReceived, now: Seconds) -> None:
        link = self._connections.get(event.connection)
        if link is None:
            self._outbox.log(
                "message_dropped",
                now=now,
                cause="unknown connection",
                message=type(event.message).__name__,
            )
            return
        link.last_heard = now
        self._receive_message(event.message, link, now)

    @_handle.register
    def _(self, event: InstancesListed, now: Seconds) -> None:
        self._members.apply_instance_list(
            live=event.live, leaving=event.leaving, now=now
        )

    @_handle.register
    def _(self, event: ConfigurationReceived, now: Seconds) -> None:
        self._store.merge(event.resources, revision=event.revision, base=event.base)
        self._configuration_updated_at = now
        self._apply_configuration_change(now)

    @_handle.register
    def _(self, event: DrainRequested, now: Seconds) -> None:
        if self._is_draining:
            return
        self._is_draining = True
        self._connections.drain()
        self._outbox.log(
            "drain_started",
            now=now,
            cause="planned stop",
            in_flight=len(self._requests),
        )

    @_handle.register
    def _(self, event: Tick, now: Seconds) -> None:
        for link in self._connections.silent_links(now):
            self._handle_lost_connection(link, now, cause="silent", silent=True)
        for address in self._connections.overdue_addresses(now):
            self._handle_failed_connect(address, now, cause="timeout", silent=True)
        for change in self._members.detect_failures(now):
            self._handle_member_event(change, now)
        for request in self._requests.overdue(now, self._settings.response_grace):
            self._expire(request, now)
        self._orders.retry_pending(now)
        self._connections.close_unused(now)
        self._connections.tick(now)

    @singledispatchmethod
    def _receive(self, message: object, link: Link, now: Seconds) -> None:
        self._outbox.log(
            "message_dropped",
            now=now,
            cause="unexpected message type",
            message=type(message).__name__,
            peer=link.peer.instance,
        )

    @_receive.register(Chunk)
    @_receive.register(End)
    @_receive.register(Refused)
    def _(self, message: Chunk | End | Refused, link: Link, now: Seconds) -> None:
        self._verifier.receive(message, link, now)

    @_receive.register
    def _(self, message: Heartbeat, link: Link, now: Seconds) -> None:
        self._connections.record_heartbeat(link, message)
        member = self._members.get(link.member)
        if member is not None and self._connections.to_member(link.member) is link:
            self._members.apply_heartbeat(member, message)
        for effect in self._exchange.on_heartbeat(
            link.connection, message.revision, now=now, ahead=message.ahead
        ):
            self._connections.send(link, effect.message, now)

    @_receive.register
    def _(self, message: ConfigurationRequest, link: Link, now: Seconds) -> None:
        for effect in self._exchange.respond(link.connection, message):
            self._connections.send(link, effect.message, now)

    @_receive.register
    def _(self, message: ConfigurationDelta, link: Link, now: Seconds) -> None:
        for effect in self._exchange.merge(link.connection, message):
            self._outbox.add(effect)
        self._configuration_updated_at = now
        self._apply_configuration_change(now)

    def _plan_request(
        self, event: CallerRequest | TicketRequested
    ) -> Result[Plan, Failure]:
        """Returns the plan of a request unless this entry rejects all requests."""
        if self._is_draining:
            detail = "this entry is draining; repeat the request at another entry"
            return Error(_not_run_failure(ErrorKind.DRAINING, detail))
        if self._store.revision == 0:
            detail = "this entry has no configuration yet; repeat at another entry"
            return Error(_not_run_failure(ErrorKind.NOT_READY, detail))
        target = {"model": event.model, "service": event.service}
        if isinstance(event, TicketRequested):
            return self._planner.plan(event.key_digest, **target)
        return self._planner.plan(
            event.key_digest,
            **target,
            work=event.work,
            method=event.method,
            path=event.path,
        )

    def _check_caller_limit(self, plan: Plan) -> Result[Plan, Failure]:
        limit = plan.caller.spec.max_in_flight
        if not limit or self._requests.in_flight(plan.caller.name) < limit:
            return Ok(plan)
        return Error(
            Failure(
                ErrorKind.OVERLOADED,
                f"caller {plan.caller.name!r} has {limit} requests in flight, which is "
                "its limit at one entry; wait for responses",
                RunState.NOT_RUN,
                self._settings.default_retry_after,
            )
        )

    def _reject(self, request_id: RequestId, failure: Failure, now: Seconds) -> None:
        self._outbox.log(
            "request_rejected",
            now=now,
            request_id=request_id,
            cause=failure.detail,
            kind=failure.kind.value,
        )
        self._outbox.add(AnswerFailed(request_id, failure))

    def _log_duplicate(self, request_id: RequestId, now: Seconds) -> None:
        self._outbox.log(
            "request_dropped",
            now=now,
            request_id=request_id,
            cause="a request with this id is in flight",
        )

    def _continue_requests(self, link: Link, now: Seconds) -> None:
        for request in self._requests.at_member(link.member):
            if request.order is not None:
                self._orders.on_link_opened(request, link, now)
            else:
                self._dispatcher.on_link_opened(request, link, now)

    def _handle_failed_connect(
        self, address: str, now: Seconds, *, cause: str, silent: bool = False
    ) -> None:
        member = self._members.at_address(address)
        self._connections.on_connect_failed(address, now, cause=cause, silent=silent)
        if member is not None and self._connections.to_member(member.name) is None:
            self._handle_unreachable(member.name, now, cause)

    def _handle_unreachable(self, name: InstanceName, now: Seconds, cause: str) -> None:
        for request in self._requests.at_member(name):
            if request.order is not None:
                self._orders.on_unreachable(request, now)
            else:
                self._dispatcher.on_unreachable(request, now, cause=cause)

    def _handle_lost_connection(
        self, link: Link, now: Seconds, *, cause: str, silent: bool
    ) -> None:
        self._connections.on_lost(link, now, cause=cause, silent=silent)
        self._exchange.on_closed(link.connection)
        for request in self._requests.at_member(link.member):
            if request.connection == link.connection:
                self._dispatcher.on_link_lost(request, now)
                if self._members.get(request.member) is None:
                    self._handle_removed_server(request, now)

    def _replace_connection(self, previous: Link, now: Seconds) -> None:
        """Replaces a connection by a newer one, on which its requests resume."""
        for request in self._requests.at_member(previous.member):
            if request.connection == previous.connection:
                self._dispatcher.unbind(request, now)
                request.phase = Phase.RECONNECTING
        self._exchange.on_closed(previous.connection)
        self._connections.close(previous, now, cause="replaced")

    def _expire(self, request: RequestState, now: Seconds) -> None:
        if request.order is not None:
            self._orders.expire(request, now)
            return
        self._dispatcher.expire(request, now)

    def _handle_member_event(self, change: MemberEvent, now: Seconds) -> None:
        if isinstance(change, ZoneCut):
            self._outbox.log(
                "zone_cut" if change.is_cut else "zone_returned",
                now=now,
                cause=f"{change.silent} of {change.members} members are silent",
                availability_zone=change.availability_zone,
            )
            return
        self._outbox.log(
            "member_dead", now=now, cause="suspicion timeout", member=change.name
        )
        self._handle_unreachable(change.name, now, "the sidecar is dead")

    def _apply_configuration_change(self, now: Seconds) -> None:
        if not self._indexes.refresh():
            return
        self._outbox.log(
            "configuration_changed",
            now=now,
            cause="new resources merged",
            revision=self._store.revision,
        )
        if self._placement_generation == self._indexes.placement_generation:
            return
        self._placement_generation = self._indexes.placement_generation
        self._members.sync(self._indexes.servers)
        self._connections.reconcile(now)
        for request in list(self._requests):
            if request.member and self._members.get(request.member) is None:
                self._handle_removed_server(request, now)

    def _handle_removed_server(self, request: RequestState, now: Seconds) -> None:
        """Handles a request whose backend server was removed from the configuration."""
        if request.connection is not None:
            return
        cause = "the backend server was removed from the configuration"
        if request.order is not None:
            self._orders.on_unreachable(request, now)
        else:
            self._dispatcher.on_unreachable(request, now, cause=cause)

    def _stop_if_drained(self, now: Seconds) -> None:
        if not self._is_draining or self._is_stopped:
            return
        if len(self._requests) or self._orders.pending_tickets:
            return
        self._is_stopped = True
        self._outbox.log("drain_complete", now=now, cause="no requests in flight")
        self._outbox.add(Stop())


def _not_run_failure(kind: ErrorKind, detail: str) -> Failure:
    return Failure(kind, detail, RunState.NOT_RUN, retry_after=1.0)
