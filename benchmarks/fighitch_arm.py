"""Arm with the real cores, on simulated connections and backend servers."""

import random
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from benchmarks.simulated_callers import SimulatedCallers, StallTracker
from benchmarks.simulation import SERVICE_SECONDS, Clock, Engine
from benchmarks.workload import (
    ENGINE_PATH,
    REGION,
    SERVICE,
    SERVICE_PATH,
    Arrival,
    Deployment,
    build_configuration,
    build_servers,
)
from fighitch.core import effects, inputs
from fighitch.core.entry.core import EntryCore
from fighitch.core.errors import RunState
from fighitch.core.messages import (
    AdapterVersion,
    End,
    Message,
    Peer,
    Refused,
    Role,
    Submit,
)
from fighitch.core.resources import Resource
from fighitch.core.sidecar.core import SidecarCore
from fighitch.core.sidecar.settings import SidecarSettings
from fighitch.core.tickets import SharedKey, TicketSigner
from fighitch.types import ConnectionId, Seconds

TICK_SECONDS = 0.05
HTTP_NOT_FOUND = 404
SAME_ZONE_LATENCY = 0.0002
PLATFORM_LATENCY = 0.005
REPORT_INTERVAL_SECONDS = 0.5
REPORT_LAG_SECONDS = 0.2
# Time until the load balancer detects a dead entry; its requests are then sent to
# another one.
BALANCER_DETECTION_SECONDS = 0.5
SIGNER = TicketSigner([SharedKey("k", b"benchmark")])


class Node:
    """An entry or a sidecar: its core and its connections.

    ``connections`` maps the id of each open connection to the node at the other end and
    the id of the connection there.
    """

    def __init__(
        self, name: str, zone: str, address: str, core: Any, role: Role
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.core = core
        self.peer = Peer(role, name, 1, zone)
        self.connections: dict[ConnectionId, tuple[Node, ConnectionId]] = {}
        self.is_dead = False


class Network:
    """Connections between nodes; messages arrive in order after a fixed latency."""

    def __init__(
        self,
        clock: Clock,
        deployment: Deployment,
        perform: Callable[[Node, list[Any]], None],
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._perform = perform
        self._nodes_by_address: dict[str, Node] = {}
        self._last_connection = 0

    def add(self, node: Node) -> None:
        """Registers a node at its address."""
        self._nodes_by_address[node.address] = node

    def handle(self, node: Node, event: Any) -> None:
        """Passes an input to the core of a node and performs the returned effects."""
        if not node.is_dead:
            self._perform(node, node.core.handle(event, now=self._clock.now))

    def connect(self, node: Node, address: str) -> None:
        """Opens a connection; a dead node never accepts it."""
        other = self._nodes_by_address.get(address)
        if other is not None:
            delay = 2 * self._latency(node, other)
            self._clock.after(delay, self._opened, node, other, address)

    def send(self, node: Node, connection: ConnectionId, message: Message) -> None:
        """Sends a message, which arrives after the latency."""
        if connection in node.connections:
            other, far_id = node.connections[connection]
            delay = self._latency(node, other)
            self._clock.after(delay, self._arrive, other, far_id, message)

    def disconnect(self, node: Node, connection: ConnectionId) -> None:
        """Closes a connection; the other end is notified after the latency."""
        if connection in node.connections:
            other, far_id = node.connections.pop(connection)
            self._clock.after(self._latency(node, other), self._closed, other, far_id)

    def _opened(self, node: Node, other: Node, address: str) -> None:
        if node.is_dead or other.is_dead:
            return
        self._last_connection += 2
        near_id, far_id = self._last_connection, self._last_connection + 1
        node.connections[near_id] = (other, far_id)
        other.connections[far_id] = (node, near_id)
        self.handle(other, inputs.ConnectionOpened(far_id, node.peer))
        self.handle(node, inputs.ConnectionOpened(near_id, other.peer, address))

    def _arrive(self, node: Node, connection: ConnectionId, message: Message) -> None:
        if connection in node.connections:
            self.handle(node, inputs.MessageReceived(connection, message))

    def _closed(self, node: Node, connection: ConnectionId) -> None:
        if node.connections.pop(connection, None) is not None:
            self.handle(node, inputs.ConnectionClosed(connection))

    def _latency(self, node: Node, other: Node) -> Seconds:
        if node.zone == other.zone:
            return SAME_ZONE_LATENCY
        return self._deployment.zone_latency


class _SidecarListener:
    """Translates the callbacks of an engine into inputs of its sidecar."""

    def __init__(self, arm: "FighitchArm", node: Node) -> None:
        self._arm = arm
        self._node = node
        self.calls: dict[int, effects.CallBackend] = {}

    def _deliver(self, event: Any) -> None:
        self._arm.network.handle(self._node, event)

    def on_first_token(self, call: int) -> None:
        backend_call = self.calls[call]
        model = str(backend_call.adapter_version or "")
        self._deliver(
            inputs.BackendStarted(
                backend_call.request_id, backend_call.attempt, call, 200, model
            )
        )

    def on_tokens(self, call: int, tokens: int) -> None:
        backend_call = self.calls.get(call)
        if backend_call is not None:
            text = "x" * tokens
            self._deliver(
                inputs.BackendData(
                    backend_call.request_id,
                    backend_call.attempt,
                    call,
                    text.encode(),
                    text,
                    tokens,
                )
            )

    def on_completed(self, call: int) -> None:
        backend_call = self.calls.pop(call, None)
        if backend_call is not None:
            self._deliver(
                inputs.BackendEnded(backend_call.request_id, backend_call.attempt, call)
            )

    def on_call_lost(self, call: int) -> None:
        backend_call = self.calls.pop(call, None)
        if backend_call is not None:
            self._deliver(
                inputs.BackendFailed(
                    backend_call.request_id,
                    backend_call.attempt,
                    call,
                    sent=True,
                    detail="restart",
                )
            )

    def on_loaded(self, adapter: str, boot_id: str) -> None:
        self._deliver(inputs.AdapterLoaded(_adapter_version(adapter), boot_id))

    def on_unloaded(self, adapter: str) -> None:
        self._deliver(inputs.AdapterUnloaded(_adapter_version(adapter)))


class FighitchArm:
    """Entries and sidecars of a deployment, each with its real core."""

    def __init__(
        self,
        clock: Clock,
        deployment: Deployment,
        engines: list[Engine],
        callers: SimulatedCallers,
        stalls: StallTracker,
        seed: int,
    ) -> None:
        self._clock = clock
        self._callers = callers
        self._stalls = stalls
        self._engines = engines
        self._is_platform_down = False
        self._next_entry = 0
        self._claims: dict[str, str] = {}
        self._pending: dict[str, tuple[Node, Arrival, Seconds]] = {}
        self._tickets: dict[str, str] = {}
        self.network = Network(clock, deployment, self._perform)
        resources = build_configuration(deployment)
        self._entries = [
            self._add_entry(index, zone, seed)
            for index, zone in enumerate(deployment.zones)
        ]
        self._sidecars = [
            self._add_sidecar(server, seed) for server in build_servers(deployment)
        ]
        self._engine_indices = {
            node.name: index
            for index, node in enumerate(self._sidecars[: len(engines)])
        }
        self._listeners = [
            _SidecarListener(self, node) for node in self._sidecars[: len(engines)]
        ]
        for engine, listener in zip(engines, self._listeners, strict=True):
            engine.listener = listener
        for number, node in enumerate((*self._sidecars, *self._entries)):
            clock.at(0.0, self._configure, node, resources)
            clock.at(number * TICK_SECONDS / 15, self._tick, node)
        for index in range(len(engines)):
            clock.at(0.0, self._report_engine, index)

    # --- Arm ---

    def submit(self, arrival: Arrival, attempt: int, deadline: Seconds) -> None:
        """Sends a request to the next entry, requesting a key first if needed."""
        live_entries = [entry for entry in self._entries if not entry.is_dead]
        self._next_entry += 1
        entry = live_entries[self._next_entry % len(live_entries)]
        request_id = f"{arrival.number}.{attempt}"
        self._pending[request_id] = (entry, arrival, deadline)
        if arrival.rank == 0 and not arrival.has_chosen_key:
            model, service = _request_target(arrival)
            event = inputs.TicketRequested(
                f"{request_id}.key", arrival.caller, model, service
            )
            self._pending[event.request_id] = self._pending[request_id]
            self.network.handle(entry, event)
            return
        key = f"{arrival.number}" if arrival.has_chosen_key else ""
        self._send(request_id, key)

    def fail_zone(self, zone: str) -> None:
        """Stops every node in a zone; requests of its entries move to other entries."""
        for node in (*self._entries, *self._sidecars):
            node.is_dead = node.is_dead or node.zone == zone
        for index, node in enumerate(self._sidecars[: len(self._engines)]):
            self._engines[index].is_dead = node.is_dead
        for request_id, (entry, _, _) in tuple(self._pending.items()):
            if entry.is_dead:
                self._clock.after(BALANCER_DETECTION_SECONDS, self._resend, request_id)

    def on_engine_restarted(self, index: int, lost: list[int]) -> None:
        """Reports the lost calls to the sidecar of the engine."""
        for call in lost:
            self._listeners[index].on_call_lost(call)

    def set_platform_down(self, is_down: bool) -> None:
        """Sets whether the object API is unavailable."""
        self._is_platform_down = is_down

    # --- Callers ---

    def _send(self, request_id: str, key: str) -> None:
        entry, arrival, deadline = self._pending[request_id]
        model, service = _request_target(arrival)
        event = inputs.CallerRequest(
            request_id=request_id,
            key_digest=arrival.caller,
            model=model,
            service=service,
            path=ENGINE_PATH if model else SERVICE_PATH,
            body=b"{}",
            streamed=bool(model),
            timeout=deadline - self._clock.now,
            idempotency_key=key,
        )
        self.network.handle(entry, event)

    def _resend(self, request_id: str) -> None:
        """Sends a request again through another entry after its entry died."""
        if request_id not in self._pending:
            return
        entry, arrival, deadline = self._pending.pop(request_id)
        if not entry.is_dead or request_id.endswith(".key"):
            return
        if deadline <= self._clock.now:
            self._report_failure(arrival, "entry_lost")
            return
        live_entries = [item for item in self._entries if not item.is_dead]
        resent_id = f"{request_id}.moved"
        self._pending[resent_id] = (
            live_entries[arrival.number % len(live_entries)],
            arrival,
            deadline,
        )
        key = self._tickets.get(request_id, "")
        if arrival.rank == 0 and not key and not arrival.has_chosen_key:
            self._pending.pop(resent_id)
            self._report_failure(arrival, "entry_lost")
            return
        self._send(resent_id, key or (f"{arrival.number}" if arrival.rank == 0 else ""))

    def _report_failure(self, arrival: Arrival, kind: str) -> None:
        self._callers.on_failure(arrival.number, kind, retry_after=None, not_run=True)

    # --- Effects ---

    def _perform(self, node: Node, pending_effects: list[Any]) -> None:
        for effect in pending_effects:
            self._perform_effect(effect, node)

    @singledispatchmethod
    def _perform_effect(self, effect: Any, node: Node) -> None:
        raise TypeError(f"{type(effect).__name__} is not a supported effect")

    @_perform_effect.register(effects.LogEvent)
    @_perform_effect.register(effects.AnswerData)
    @_perform_effect.register(effects.Stop)
    def _ignore(self, effect: Any, node: Node) -> None:
        pass

    @_perform_effect.register
    def _send_message(self, effect: effects.Send, node: Node) -> None:
        message = effect.message
        # The wait at an engine starts when the request is sent, not when it arrives;
        # the latency in between is at most 1 ms.
        if isinstance(message, Submit) and message.adapter_version is not None:
            target = node.connections.get(effect.connection)
            index = self._engine_indices.get(target[0].name) if target else None
            if index is not None:
                number = int(message.request_id.partition(".")[0])
                self._stalls.end_wait(message.request_id)
                self._stalls.start_wait(
                    message.request_id, number, index, self._engines[index]
                )
        elif isinstance(message, (Refused, End)):
            self._stalls.end_wait(message.request_id)
        self.network.send(node, effect.connection, message)

    @_perform_effect.register
    def _open_connection(self, effect: effects.Connect, node: Node) -> None:
        self.network.connect(node, effect.address)

    @_perform_effect.register
    def _close_connection(self, effect: effects.Disconnect, node: Node) -> None:
        self.network.disconnect(node, effect.connection)

    @_perform_effect.register
    def _call_backend(self, effect: effects.CallBackend, node: Node) -> None:
        self._stalls.end_wait(effect.request_id)
        index = self._engine_indices.get(node.name)
        if index is None or effect.adapter_version is None:
            self._clock.after(
                SERVICE_SECONDS, self._complete_service_call, node, effect
            )
            return
        self._listeners[index].calls[effect.call] = effect
        number = int(effect.request_id.partition(".")[0])
        tokens = self._callers.outcomes[number].arrival.tokens
        is_loaded = self._engines[index].call(
            effect.call,
            effect.adapter_version.adapter,
            effect.rank,
            tokens - effect.generated_tokens,
        )
        if not is_loaded:
            self._clock.after(SAME_ZONE_LATENCY, self._reject_unloaded, node, effect)

    def _reject_unloaded(self, node: Node, call: effects.CallBackend) -> None:
        key = (call.request_id, call.attempt, call.call)
        self.network.handle(node, inputs.BackendStarted(*key, HTTP_NOT_FOUND))

    def _complete_service_call(self, node: Node, call: effects.CallBackend) -> None:
        key = (call.request_id, call.attempt, call.call)
        self.network.handle(node, inputs.BackendStarted(*key, 200))
        self.network.handle(node, inputs.BackendData(*key, b"done", "", 1))
        self.network.handle(node, inputs.BackendEnded(*key))

    @_perform_effect.register
    def _cancel_call(self, effect: effects.CancelBackend, node: Node) -> None:
        index = self._engine_indices.get(node.name)
        if index is not None:
            self._listeners[index].calls.pop(effect.call, None)
            self._engines[index].cancel(effect.call)

    @_perform_effect.register
    def _load_adapter(self, effect: effects.LoadAdapter, node: Node) -> None:
        engine = self._engines[self._engine_indices[node.name]]
        if not engine.load(effect.adapter_version.adapter):
            failed = inputs.AdapterLoadFailed(effect.adapter_version, "no free slot")
            self._clock.after(SAME_ZONE_LATENCY, self.network.handle, node, failed)

    @_perform_effect.register
    def _unload_adapter(self, effect: effects.UnloadAdapter, node: Node) -> None:
        engine = self._engines[self._engine_indices[node.name]]
        engine.unload(effect.adapter_version.adapter)

    @_perform_effect.register
    def _answer_started(self, effect: effects.AnswerStarted, node: Node) -> None:
        self._callers.on_first_token(int(effect.request_id.partition(".")[0]))

    @_perform_effect.register
    def _answer_ended(self, effect: effects.AnswerEnded, node: Node) -> None:
        if self._pending.pop(effect.request_id, None) is None:
            return
        number = int(effect.request_id.partition(".")[0])
        self._callers.on_first_token(number)
        self._callers.on_response(number)

    @_perform_effect.register
    def _answer_failed(self, effect: effects.AnswerFailed, node: Node) -> None:
        pending = self._pending.pop(effect.request_id, None)
        self._stalls.end_wait(effect.request_id)
        if pending is None:
            return
        self._pending.pop(effect.request_id.removesuffix(".key"), None)
        failure = effect.failure
        self._callers.on_failure(
            pending[1].number,
            failure.kind.value,
            retry_after=failure.retry_after,
            not_run=failure.run_state is RunState.NOT_RUN,
        )

    @_perform_effect.register
    def _receive_ticket(self, effect: effects.TicketIssued, node: Node) -> None:
        self._pending.pop(effect.request_id, None)
        request_id = effect.request_id.removesuffix(".key")
        if request_id in self._pending:
            self._tickets[request_id] = effect.ticket
            self._send(request_id, effect.ticket)

    @_perform_effect.register(effects.CreateClaim)
    @_perform_effect.register(effects.ReadClaim)
    def _claim(self, effect: Any, node: Node) -> None:
        status = inputs.ClaimStatus.UNAVAILABLE
        ticket = self._claims.get(effect.name, "")
        if not self._is_platform_down:
            status = inputs.ClaimStatus.EXISTS
            if not ticket and isinstance(effect, effects.CreateClaim):
                status = inputs.ClaimStatus.CREATED
                ticket = self._claims[effect.name] = effect.ticket
        answer = inputs.ClaimAnswered(effect.request_id, effect.name, status, ticket)
        self._clock.after(PLATFORM_LATENCY, self.network.handle, node, answer)

    # --- Processes ---

    def _add_entry(self, index: int, zone: str, seed: int) -> Node:
        name = f"entry-{index}"
        core = EntryCore(
            name,
            1,
            signer=SIGNER,
            rng=random.Random(f"{seed}/{name}"),
            availability_zone=zone,
            region=REGION,
        )
        node = Node(name, zone, f"10.2.0.{index}:7000", core, Role.ENTRY)
        self.network.add(node)
        return node

    def _add_sidecar(self, server: Resource, seed: int) -> Node:
        core = SidecarCore(
            server.name,
            1,
            server.spec,
            SIGNER,
            SidecarSettings(),
            random.Random(f"{seed}/{server.name}"),
        )
        spec = server.spec
        node = Node(
            server.name, spec.availability_zone, spec.address, core, Role.SIDECAR
        )
        self.network.add(node)
        return node

    def _configure(self, node: Node, resources: tuple[Resource, ...]) -> None:
        self.network.handle(node, inputs.ConfigurationReceived(resources, revision=1))

    def _tick(self, node: Node) -> None:
        if node.is_dead:
            return
        self.network.handle(node, inputs.Tick())
        self._clock.after(TICK_SECONDS, self._tick, node)

    def _report_engine(self, index: int) -> None:
        engine = self._engines[index]
        if engine.is_dead:
            return
        report = inputs.EngineReported(
            engine.boot_id, frozenset(map(_adapter_version, engine.resident))
        )
        lag = REPORT_LAG_SECONDS if self._clock.now else 0.0
        node = self._sidecars[index]
        self._clock.after(lag, self.network.handle, node, report)
        self._clock.after(REPORT_INTERVAL_SECONDS, self._report_engine, index)


def _request_target(arrival: Arrival) -> tuple[str, str]:
    return (arrival.adapter, "") if arrival.adapter else ("", SERVICE)


def _adapter_version(adapter: str) -> AdapterVersion:
    return AdapterVersion(adapter, "1")
