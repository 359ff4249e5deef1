"""State machine of the sidecar of one backend server, without I/O."""

import random
from collections.abc import Collection
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from fighitch.core.anti_entropy import ConfigurationExchange
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.effects import Connect, Disconnect, Send, SidecarEffect, Stop
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.inputs import (
    AdapterLoaded,
    AdapterLoadFailed,
    AdapterUnloaded,
    BackendData,
    BackendEnded,
    BackendFailed,
    BackendStarted,
    BackendUnreachable,
    ConfigurationReceived,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    DrainRequested,
    EngineReported,
    InstancesListed,
    MessageReceived,
    SidecarInput,
    Tick,
)
from fighitch.core.messages import (
    AdapterVersion,
    Cancel,
    ConfigurationDelta,
    ConfigurationRequest,
    Heartbeat,
    LoadReport,
    Peer,
    PermitGrant,
    PermitRequest,
    PermitReturn,
    Resume,
    Role,
    Submit,
)
from fighitch.core.resources import (
    AdapterSpec,
    BackendServerSpec,
    Kind,
    WeightStoreSpec,
    WorkPolicySpec,
)
from fighitch.core.sidecar.admission import AdmissionQueue, RankPolicy
from fighitch.core.sidecar.borrowing import choose_lenders
from fighitch.core.sidecar.calls import Request
from fighitch.core.sidecar.demand_tracker import DemandTracker
from fighitch.core.sidecar.engine_state import EngineState
from fighitch.core.sidecar.execution import RequestExecutor
from fighitch.core.sidecar.ledger import Joined, OrderLedger, Replayed
from fighitch.core.sidecar.links import Links
from fighitch.core.sidecar.load_budget import LoadBudget
from fighitch.core.sidecar.outbox import Outbox
from fighitch.core.sidecar.rank_queue import WorkItem
from fighitch.core.sidecar.responses import ResponseSender
from fighitch.core.sidecar.settings import SidecarSettings
from fighitch.core.sidecar.slots import AdapterSlots
from fighitch.core.sidecar.streams import ResponseStream, StreamTable, stream_key
from fighitch.core.sidecar.submissions import SubmissionValidator
from fighitch.core.tickets import Ticket, TicketSigner
from fighitch.types import ConnectionId, Incarnation, InstanceName, Revision, Seconds

DRAIN_LABEL = "fighitch.dev/drain"
# Number of recently requested versions considered for loading, per adapter slot.
_RECENT_PER_SLOT = 4
# Minimum time between attempts to connect to lenders.
_CONNECT_INTERVAL: Seconds = 1.0


@dataclass(frozen=True, slots=True)
class SidecarStatus:
    """Status of a sidecar for operators.

    Attributes:
        instance: Name of the instance.
        incarnation: Incarnation of the process.
        is_ready: Whether it can serve requests.
        is_draining: Whether new requests are rejected.
        is_reachable: Whether the backend server responds.
        revision: Revision of the configuration in effect.
        running: Number of running requests by rank.
        queued: Number of waiting requests by rank.
        in_flight: Number of requests without a complete response.
        resident: Adapter versions that are loaded.
        pins: Number of calls that keep an adapter version loaded.
        ticket_epoch: Epoch that new tickets must carry.
        load_permits: Number of adapter loads that may start now.
        late_events: Number of events received after the end of their call.
    """

    instance: InstanceName
    incarnation: Incarnation
    is_ready: bool
    is_draining: bool
    is_reachable: bool
    revision: Revision
    running: tuple[int, ...]
    queued: tuple[int, ...]
    in_flight: int
    resident: tuple[str, ...]
    pins: int
    ticket_epoch: int
    load_permits: int
    late_events: int


class SidecarCore:
    """Coordinates queue, adapter slots, orders and responses of a backend server."""

    def __init__(
        self,
        instance: InstanceName,
        incarnation: Incarnation,
        spec: BackendServerSpec,
        signer: TicketSigner,
        settings: SidecarSettings,
        rng: random.Random,
    ) -> None:
        """Creates a sidecar without connections or configuration.

        Args:
            instance: Name of this sidecar and of its resource.
            incarnation: Incarnation of this sidecar.
            spec: Backend server to assume until the configuration contains one.
            signer: Verifies tickets.
            settings: Timeouts and limits.
            rng: Random number generator.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._spec = spec
        self._settings = settings
        self._outbox = Outbox()
        self._store = ConfigurationStore()
        self._exchange = ConfigurationExchange(self._store)
        self._links = Links(
            interval=settings.heartbeat_interval,
            silence_timeout=settings.silence_timeout,
        )
        streams = StreamTable(
            max_retained_bytes=settings.max_retained_bytes,
            max_stream_bytes=settings.max_stream_bytes,
        )
        self._responses = ResponseSender(streams, self._outbox)
        self._queue = AdmissionQueue(batch_size=spec.batch_size)
        self._budget = LoadBudget(instance, (), 0.0, 0)
        self._engine = EngineState(AdapterSlots(spec.adapter_slots), self._budget)
        self._demand = DemandTracker(
            self._queue, max_recent=_RECENT_PER_SLOT * spec.adapter_slots
        )
        self._ledger = OrderLedger(
            instance,
            incarnation,
            max_bytes=settings.max_ledger_bytes,
            max_outcome_bytes=settings.max_outcome_bytes,
        )
        self._executor = RequestExecutor(
            queue=self._queue,
            engine=self._engine,
            ledger=self._ledger,
            responses=self._responses,
            outbox=self._outbox,
            settings=settings,
            rng=rng,
        )
        self._validator = SubmissionValidator(self._store, signer)
        self._policies: dict[int, RankPolicy] = {}
        self._generation = self._store.generation
        self._server_generation = -1
        self._engines: dict[InstanceName, str] = {}
        self._epoch_started_at: Seconds | None = None
        self._drain_cause = ""
        self._drain_started_at: Seconds | None = None
        self._last_input_at: Seconds | None = None
        self._has_drain_label = False
        self._is_stopped = False
        self._is_plan_due = False
        self._is_reachable = True
        self._lenders: dict[InstanceName, str] = {}
        self._lender_inputs: tuple[int, float, int] = (-1, 0.0, 0)
        self._lenders_connected_at: Seconds = float("-inf")

    # --- State ---

    @property
    def instance(self) -> InstanceName:
        """Name of this sidecar."""
        return self._instance

    @property
    def configuration(self) -> ConfigurationStore:
        """Copy of the configuration held by this process."""
        return self._store

    @property
    def is_ready(self) -> bool:
        """Whether it has a configuration and a reachable, known backend server."""
        has_engine = self._spec.type == "service" or self._engine.boot_id is not None
        return bool(self._policies) and has_engine and self._is_reachable

    @property
    def is_draining(self) -> bool:
        """Whether new requests are rejected."""
        return bool(self._drain_cause) or self._has_drain_label

    @property
    def in_flight(self) -> int:
        """Number of requests that wait or run."""
        return len(self._executor.requests)

    @property
    def late_events(self) -> int:
        """Number of events received after the end of their call."""
        return self._executor.late_events

    @property
    def ticket_epoch(self) -> int:
        """Epoch that new tickets must carry."""
        return self._ledger.epoch

    @property
    def pins(self) -> int:
        """Number of calls that keep an adapter version loaded."""
        return self._engine.pins

    def load_report(self) -> LoadReport:
        """Returns the load report that heartbeats carry."""
        return LoadReport(
            running=self._queue.running_by_rank(),
            queued=self._queue.queued_by_rank(),
            batch_size=self._queue.batch_size,
            resident=self._engine.resident(),
        )

    def status(self, *, now: Seconds) -> SidecarStatus:
        """Returns the current status for operators."""
        report = self.load_report()
        return SidecarStatus(
            instance=self._instance,
            incarnation=self._incarnation,
            is_ready=self.is_ready,
            is_draining=self.is_draining,
            is_reachable=self._is_reachable,
            revision=self._store.revision,
            running=report.running,
            queued=report.queued,
            in_flight=self.in_flight,
            resident=tuple(sorted(report.resident)),
            pins=self.pins,
            ticket_epoch=self.ticket_epoch,
            load_permits=self._budget.available(now),
            late_events=self.late_events,
        )

    def handle(self, event: SidecarInput, *, now: Seconds) -> list[SidecarEffect]:
        """Handles an input.

        Args:
            event: Input to handle.
            now: Current time.

        Returns:
            The effects to execute, in this order.
        """
        if self._epoch_started_at is None:
            self._epoch_started_at = now
        self._detect_pause(now)
        self._on_input(event, now)
        self._apply_configuration(now)
        self._record_drain_start(now)
        # Data is by far the most frequent input and never frees a slot or adds work.
        if not isinstance(event, BackendData):
            self._executor.dispatch_waiting(now=now)
        self._plan_loads(now)
        self._stop_if_drained(now)
        effects = self._outbox.drain()
        for effect in effects:
            if isinstance(effect, Send):
                self._links.sent(effect.connection, now)
        return effects

    @singledispatchmethod
    def _on_input(self, event: Any, now: Seconds) -> None:
        raise TypeError(f"{type(event).__name__} is not an input of a sidecar")

    # --- Connections and time ---

    @_on_input.register
    def _on_connection_opened(self, event: ConnectionOpened, now: Seconds) -> None:
        self._links.open(event.connection, event.peer, now)
        self._send_heartbeats(now)

    @_on_input.register
    def _on_connection_failed(self, event: ConnectionFailed, now: Seconds) -> None:
        self._outbox.log("connection_failed", cause=event.detail, address=event.address)

    @_on_input.register
    def _on_connection_closed(self, event: ConnectionClosed, now: Seconds) -> None:
        self._handle_connection_loss(event.connection, event.detail, now)

    @_on_input.register
    def _on_tick(self, event: Tick, now: Seconds) -> None:
        for connection in self._links.silent_connections(now):
            self._outbox.add(Disconnect(connection, "silent"))
            self._handle_connection_loss(connection, "silent", now)
        self._send_heartbeats(now)
        disconnected_since = now - self._settings.resume_grace
        for stream in self._responses.streams.disconnected_before(disconnected_since):
            self._executor.cancel_attempt(
                stream, cause="the entry did not reconnect in time"
            )
        self._responses.streams.evict_ended(now - self._settings.ended_retention)
        self._advance_epoch(now)
        self._is_plan_due = True

    @_on_input.register
    def _on_drain_requested(self, event: DrainRequested, now: Seconds) -> None:
        self._start_drain("a planned stop was requested")

    @_on_input.register
    def _on_instances_listed(self, event: InstancesListed, now: Seconds) -> None:
        if self._instance in event.leaving:
            self._start_drain("the instance is leaving")

    @_on_input.register
    def _on_configuration_received(
        self, event: ConfigurationReceived, now: Seconds
    ) -> None:
        self._store.merge(event.resources, revision=event.revision, base=event.base)

    # --- Backend server ---

    @_on_input.register(BackendStarted)
    @_on_input.register(BackendData)
    @_on_input.register(BackendEnded)
    @_on_input.register(BackendFailed)
    def _on_backend_event(
        self,
        event: BackendStarted | BackendData | BackendEnded | BackendFailed,
        now: Seconds,
    ) -> None:
        self._executor.handle(event, now=now)
        self._is_plan_due |= not isinstance(event, BackendData)

    @_on_input.register
    def _on_adapter_loaded(self, event: AdapterLoaded, now: Seconds) -> None:
        version = event.adapter_version
        self._engine.mark_loaded(version, event.boot_id, now)
        self._executor.readiness_changed(version, now=now)
        self._is_plan_due = True

    @_on_input.register
    def _on_adapter_unloaded(self, event: AdapterUnloaded, now: Seconds) -> None:
        self._engine.mark_unloaded(event.adapter_version)
        self._executor.readiness_changed(event.adapter_version, now=now)
        self._is_plan_due = True

    @_on_input.register
    def _on_command_failed(self, event: AdapterLoadFailed, now: Seconds) -> None:
        version = event.adapter_version
        was_load = self._engine.mark_command_failed(version, now)
        self._outbox.log(
            "load_failed" if was_load else "unload_failed",
            cause=event.detail,
            adapter_version=str(version),
        )
        self._executor.readiness_changed(version, now=now)
        if was_load and not self._engine.is_ready(version):
            self._executor.load_failed(version, event.detail, now=now)
        self._is_plan_due = True

    @_on_input.register
    def _on_engine_reported(self, event: EngineReported, now: Seconds) -> None:
        self._is_reachable = True
        change = self._engine.apply_report(event)
        self._executor.readiness_changed(*event.resident, now=now)
        if change.is_restart:
            self._outbox.log(
                "engine_restarted", cause="new boot id", boot_id=event.boot_id
            )
            self._executor.engine_restarted(now=now)
        if change.is_superseded:
            self._start_drain("a newer incarnation controls the engine")
        self._is_plan_due = True

    @_on_input.register
    def _on_backend_unreachable(self, event: BackendUnreachable, now: Seconds) -> None:
        if self._is_reachable:
            self._outbox.log("backend_unreachable", cause=event.detail)
        self._is_reachable = False
        self._executor.record_interruption(now=now)

    # --- Messages ---

    @_on_input.register
    def _on_message_received(self, event: MessageReceived, now: Seconds) -> None:
        peer = self._links.peer(event.connection)
        if peer is None:
            self._outbox.log("late_message_ignored", cause="the connection is closed")
            return
        self._links.received(event.connection, now)
        self._on_message(event.message, event.connection, peer, now)

    @singledispatchmethod
    def _on_message(
        self, message: Any, connection: ConnectionId, peer: Peer, now: Seconds
    ) -> None:
        self._outbox.log(
            "message_ignored",
            cause=f"a sidecar does not handle {type(message).__name__}",
            peer=peer.instance,
        )

    @_on_message.register
    def _on_heartbeat(
        self, message: Heartbeat, connection: ConnectionId, peer: Peer, now: Seconds
    ) -> None:
        self._links.record_heartbeat(connection, message)
        self._outbox.add(
            *self._exchange.on_heartbeat(
                connection, message.revision, now=now, ahead=message.ahead
            )
        )

    @_on_message.register
    def _on_configuration_request(
        self,
        message: ConfigurationRequest,
        connection: ConnectionId,
        peer: Peer,
        now: Seconds,
    ) -> None:
        self._outbox.add(*self._exchange.respond(connection, message))

    @_on_message.register
    def _on_configuration_delta(
        self,
        message: ConfigurationDelta,
        connection: ConnectionId,
        peer: Peer,
        now: Seconds,
    ) -> None:
        self._outbox.add(*self._exchange.merge(connection, message))

    @_on_message.register(PermitRequest)
    @_on_message.register(PermitGrant)
    @_on_message.register(PermitReturn)
    def _on_permit_message(
        self,
        message: PermitRequest | PermitGrant | PermitReturn,
        connection: ConnectionId,
        peer: Peer,
        now: Seconds,
    ) -> None:
        self._outbox.add(*self._budget.handle(connection, message, now))
        self._is_plan_due = True

    @_on_message.register
    def _on_resume(
        self, message: Resume, connection: ConnectionId, peer: Peer, now: Seconds
    ) -> None:
        key = stream_key(peer, message.request_id, message.attempt)
        abandoned = self._responses.resume(key, connection, message.next_sequence)
        if abandoned is not None:
            self._executor.cancel_attempt(
                abandoned, cause="the response cannot be resumed"
            )

    @_on_message.register
    def _on_cancel(
        self, message: Cancel, connection: ConnectionId, peer: Peer, now: Seconds
    ) -> None:
        key = stream_key(peer, message.request_id, message.attempt)
        stream = self._responses.streams.get(key)
        if stream is not None:
            self._executor.cancel_attempt(stream, cause="cancelled by the entry")
        self._is_plan_due = True

    @_on_message.register
    def _on_submit(
        self, message: Submit, connection: ConnectionId, peer: Peer, now: Seconds
    ) -> None:
        key = stream_key(peer, message.request_id, message.attempt)
        if peer.role is not Role.ENTRY or self._responses.streams.get(key) is not None:
            self._outbox.log(
                "submit_ignored",
                request_id=message.request_id,
                cause="duplicate attempt or the peer is not an entry",
                attempt=message.attempt,
            )
            return
        stream = self._responses.streams.open(key, connection)
        ticket = self._validator.verify_ticket(message)
        if ticket.is_error():
            self._responses.refuse(stream, ticket.error, now=now)
            return
        if ticket.ok is None:
            self._submit_new(message, stream, None, now)
            return
        self._submit_order(message, stream, ticket.ok, now)

    def _submit_order(
        self, message: Submit, stream: ResponseStream, ticket: Ticket, now: Seconds
    ) -> None:
        rejection = None
        if self._ledger.state(ticket) is None:
            rejection = self._check_submission(
                message, rejects_new=self._is_drain_notice_over(now)
            )
        if rejection is not None and self._ledger.is_valid(ticket):
            self._responses.refuse(stream, rejection, now=now)
            return
        number = self._executor.requests.next_number()
        result = self._ledger.submit(
            ticket, body_digest=message.body_digest, number=number
        )
        match result:
            case Failure():
                self._responses.refuse(stream, result, now=now)
            case Replayed():
                self._outbox.log(
                    "replayed", request_id=message.request_id, cause="same key"
                )
                self._responses.replay(stream, result.outcome, now=now)
            case Joined():
                self._executor.join(result.number, stream)
            case _:
                self._admit(message, stream, ticket, number, now)

    def _submit_new(
        self,
        message: Submit,
        stream: ResponseStream,
        ticket: Ticket | None,
        now: Seconds,
    ) -> None:
        rejection = self._check_submission(message, rejects_new=self.is_draining)
        if rejection is not None:
            self._responses.refuse(stream, rejection, now=now)
            return
        number = self._executor.requests.next_number()
        self._admit(message, stream, ticket, number, now)

    def _check_submission(
        self, message: Submit, *, rejects_new: bool
    ) -> Failure | None:
        """Returns why a new request is rejected; None if it can be admitted.

        Early in a drain, orders are still admitted: no other sidecar may execute them,
        and the entry may have sent them before it received notice of the drain.
        """
        if rejects_new:
            return Failure(
                ErrorKind.DRAINING,
                f"backend server {self._instance!r} is draining; it admits no work",
            )
        return self._validator.validate(message, self._spec, self._policies)

    def _admit(
        self,
        message: Submit,
        stream: ResponseStream,
        ticket: Ticket | None,
        number: int,
        now: Seconds,
    ) -> None:
        policy = self._policies[message.rank]
        version = message.adapter_version
        work = WorkItem(
            number=number,
            caller=message.caller,
            rank=message.rank,
            adapter_version=version,
            deadline=now + message.remaining / 1000,
            enqueued=now,
            preemptible=policy.preemptible and ticket is None and version is not None,
        )
        if version is not None:
            self._demand.record(version, rank=message.rank, value=policy.value)
            self._is_plan_due |= not self._engine.is_ready(version)
        request = Request(work, message, stream, waiting_since=now, ticket=ticket)
        self._executor.admit(request, now=now)

    # --- Helpers ---

    def _handle_connection_loss(
        self, connection: ConnectionId, detail: str, now: Seconds
    ) -> None:
        if not self._links.close(connection):
            return
        self._exchange.on_closed(connection)
        self._budget.connection_closed(connection)
        self._responses.streams.detach_connection(connection, now)
        self._outbox.log("connection_lost", cause=detail, connection=connection)

    def _send_heartbeats(self, now: Seconds) -> None:
        due = tuple(
            self._links.take_due_heartbeats(
                now,
                revision=self._store.revision,
                state=(self._store.ahead, self.is_draining, not self._is_reachable),
                in_use=self._responses.streams.connections(),
            )
        )
        load = self.load_report() if due else None
        for item in due:
            heartbeat = Heartbeat(
                sequence=item.sequence,
                revision=self._store.revision,
                draining=self.is_draining,
                ticket_epoch=self._ledger.epoch,
                load=load if item.has_load_report else None,
                ahead=self._store.ahead,
                unreachable=not self._is_reachable,
            )
            self._outbox.send(item.connection, heartbeat)

    def _advance_epoch(self, now: Seconds) -> None:
        if self._epoch_started_at is None:
            return
        if now - self._epoch_started_at >= self._settings.epoch:
            self._epoch_started_at = now
            self._ledger.advance_epoch()
            self._outbox.log("epoch_advanced", epoch=self._ledger.epoch)

    def _apply_configuration(self, now: Seconds) -> None:
        """Applies a changed configuration to the queue, load budget and drain state."""
        if self._generation == self._store.generation:
            return
        self._generation = self._store.generation
        own_server = self._store.get(Kind.BACKEND_SERVER, self._instance)
        if own_server is not None:
            self._spec = own_server.spec
        had_label = self._has_drain_label
        self._has_drain_label = own_server is not None and (
            own_server.labels.get(DRAIN_LABEL) == "true"
        )
        if self._has_drain_label != had_label:
            self._outbox.log(
                "drain_label_changed", cause=f"{DRAIN_LABEL}={self._has_drain_label}"
            )
        self._policies = rank_policies(self._store)
        self._queue.configure(batch_size=self._spec.batch_size, policies=self._policies)
        self._configure_budget(now)

    def _configure_budget(self, now: Seconds) -> None:
        # An incomplete configuration contains only some of the members.
        if not self._store.revision:
            return
        limits: list[WeightStoreSpec] = [
            item.spec for item in self._store.of_kind(Kind.WEIGHT_STORE)
        ]
        generation = self._store.generation_of(Kind.BACKEND_SERVER)
        if generation != self._server_generation:
            self._server_generation = generation
            self._engines = {
                item.name: item.spec.address
                for item in self._store.of_kind(Kind.BACKEND_SERVER)
                if item.spec.type == "engine"
            }
        rate = min((limit.loads_per_second for limit in limits), default=0.0)
        in_transit = min((limit.max_in_transit for limit in limits), default=0)
        self._budget.configure(self._engines, rate, in_transit, now)
        self._is_plan_due = True
        # Ranking a large fleet takes milliseconds, and most changes affect adapters
        # only.
        lender_inputs = (generation, rate, in_transit)
        if lender_inputs == self._lender_inputs:
            return
        self._lender_inputs = lender_inputs
        chosen = choose_lenders(self._instance, self._engines, rate, in_transit)
        self._lenders = {name: self._engines[name] for name in chosen}

    def _request_permits(self, now: Seconds) -> None:
        """Requests permits from other sidecars if requests wait for loads."""
        waiting_versions = {
            version
            for rank, version, _, oldest_wait in self._queue.waiting_versions(now)
            if not self._queue.can_defer_load(rank, oldest_wait)
            and self._queue.may_borrow_permits(rank, oldest_wait)
        }
        wanted = sum(
            not self._engine.is_ready(version)
            and not self._engine.is_loading(version)
            and not self._engine.is_load_backing_off(version, now)
            for version in waiting_versions
        )
        peers = self._links.sidecars()
        if wanted > self._budget.available(now):
            self._connect_lenders(peers, now)
        self._outbox.add(
            *self._budget.request_permits([*peers.values()], now, wanted=wanted)
        )

    def _connect_lenders(
        self, connected: Collection[InstanceName], now: Seconds
    ) -> None:
        if now - self._lenders_connected_at < _CONNECT_INTERVAL:
            return
        self._lenders_connected_at = now
        for name, address in self._lenders.items():
            if name not in connected:
                self._outbox.add(Connect(address))

    def _plan_loads(self, now: Seconds) -> None:
        if not self._is_plan_due:
            return
        self._is_plan_due = False
        if self._engine.boot_id is None:
            return
        self._request_permits(now)
        if self._budget.available(now) <= 0:
            return
        plan = self._engine.plan(
            self._demand.demands(now), find_source=self._adapter_source, now=now
        )
        preempted = [
            self._executor.preempt_version(item, now=now) for item in plan.drains
        ]
        self._executor.readiness_changed(now=now)
        commands = plan.commands
        if any(preempted):
            # Unloads the versions that have no pins left after the preemption.
            commands += self._engine.plan(
                self._demand.demands(now), find_source=self._adapter_source, now=now
            ).commands
            self._executor.readiness_changed(now=now)
            self._executor.dispatch_waiting(now=now)
        self._outbox.add(*commands)
        for command in commands:
            self._outbox.log(
                "load_planned" if hasattr(command, "source") else "unload_planned",
                cause="demand and waiting requests",
                adapter_version=str(command.adapter_version),
            )

    def _adapter_source(self, version: AdapterVersion) -> str:
        adapter = self._store.get(Kind.ADAPTER, version.adapter)
        spec: AdapterSpec | None = adapter.spec if adapter else None
        found = spec.version(version.version) if spec else None
        return found.source if found else ""

    def _start_drain(self, cause: str) -> None:
        if not self._drain_cause:
            self._drain_cause = cause
            self._outbox.log("draining", cause=cause, in_flight=self.in_flight)

    def _record_drain_start(self, now: Seconds) -> None:
        if not self.is_draining:
            self._drain_started_at = None
        elif self._drain_started_at is None:
            self._drain_started_at = now

    def _is_drain_notice_over(self, now: Seconds) -> bool:
        """Returns whether all entries have had time to receive notice of the drain."""
        if self._drain_started_at is None:
            return False
        return now - self._drain_started_at >= self._settings.drain_notice

    def _detect_pause(self, now: Seconds) -> None:
        last, self._last_input_at = self._last_input_at, now
        if last is not None and now - last >= self._settings.pause_threshold:
            self._executor.record_interruption(now=now)

    def _stop_if_drained(self, now: Seconds) -> None:
        """Stops when nothing is in flight and all responses have been delivered.

        A drain by label alone does not stop the process: the platform would restart it,
        and no process would serve requests once the label is removed.
        """
        if not self._drain_cause or self._is_stopped:
            return
        if not self._is_drain_notice_over(now):
            return
        if self.in_flight or self._responses.streams.has_disconnected:
            return
        self._is_stopped = True
        self._outbox.log("drained", cause="no request is in flight")
        self._outbox.add(Stop())


def rank_policies(store: ConfigurationStore) -> dict[int, RankPolicy]:
    """Returns the policy of each rank, combining all work policies of the rank."""
    by_rank: dict[int, list[WorkPolicySpec]] = {}
    for item in store.of_kind(Kind.WORK_POLICY):
        by_rank.setdefault(item.spec.rank, []).append(item.spec)
    return {
        rank: RankPolicy(
            floor=min(1.0, sum(spec.floor for spec in specs)),
            queue_limit=sum(spec.queue_limit for spec in specs),
            value=max(spec.value for spec in specs),
            preemptible=all(spec.preemptible for spec in specs),
            idempotent=any(spec.idempotent for spec in specs),
            latency_target=min(spec.target_ms for spec in specs) / 1_000,
        )
        for rank, specs in by_rank.items()
    }
