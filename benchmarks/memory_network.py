"""Runs real entry and sidecar cores on a simulated in-memory network.

The cores are those of the daemons. Connections, callers, backend servers, the object
API and the clock are simulated, so that a fault can be injected at an exact message.
"""

import hashlib
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks import sample
from benchmarks.deployment import BackendPlan, document
from benchmarks.memory_backends import MemoryBackend, MemoryObjectApi
from fighitch.core import effects, inputs, messages
from fighitch.core.entry import EntryCore
from fighitch.core.entry.orders import claim_name
from fighitch.core.resources import Resource, parse_resource
from fighitch.core.sidecar import SidecarCore, SidecarSettings
from fighitch.core.tickets import SharedKey, TicketSigner
from fighitch.types import InstanceName, Seconds

LATENCY: Seconds = 0.001
TICK: Seconds = 0.05
STATUS_INTERVAL: Seconds = 0.25
WATCH_INTERVAL: Seconds = 0.2
CALLER_DIGEST = hashlib.sha256(sample.CALLER_KEY.encode()).hexdigest()
ENTRIES = ("entry-1", "entry-2")
BACKENDS = (
    # As many adapter slots as running requests, so that a load has to wait until a pin
    # is released.
    *(
        BackendPlan(
            f"engine-{number}",
            "engine",
            zone,
            model="base-1",
            batch_size=2,
            adapter_slots=2,
        )
        for number, zone in enumerate("ab", 1)
    ),
    BackendPlan(
        "orders-1",
        "service",
        "a",
        service="orders",
        batch_size=1,
        labels={"work": "order"},
    ),
    BackendPlan(
        "orders-2",
        "service",
        "b",
        service="orders",
        batch_size=1,
        labels={"work": "order"},
    ),
    BackendPlan(
        "stock-1",
        "service",
        "a",
        service="stock",
        batch_size=1,
        labels={"work": "lookup"},
    ),
    BackendPlan(
        "stock-2",
        "service",
        "b",
        service="stock",
        batch_size=1,
        labels={"work": "lookup"},
    ),
)
SIGNER = TicketSigner([SharedKey("k", b"secret")])


@dataclass(eq=False)
class Process:
    """A started entry or sidecar; a restart creates a new object.

    Attributes:
        name: Name of the instance.
        core: Entry core or sidecar core.
        network: Network to which the process is attached.
        is_alive: Whether it has not exited; true for a frozen process.
        is_frozen: Whether it is paused and queues its inputs.
        clock_offset: Offset of its clock from the simulated time.
        is_stopped: Whether its drain is complete.
        pending_inputs: Inputs that arrived while it was frozen.
        watched_revision: Last configuration revision received from its watch.
    """

    name: InstanceName
    core: Any
    network: "Network"
    is_alive: bool = True
    is_frozen: bool = False
    clock_offset: Seconds = 0.0
    is_stopped: bool = False
    pending_inputs: list[Any] = field(default_factory=list)
    watched_revision: int = -1

    def deliver(self, event: Any) -> None:
        """Passes an input to the core, or queues it while the process is frozen."""
        if not self.is_alive:
            return
        if self.is_frozen:
            if not isinstance(event, inputs.Tick):
                self.pending_inputs.append(event)
            return
        now = self.network.now + self.clock_offset
        for effect in self.core.handle(event, now=now):
            self.network.perform(effect, self)

    def thaw(self) -> None:
        """Resumes the process; timers fire before the queued inputs are handled."""
        self.is_frozen = False
        pending_inputs, self.pending_inputs = self.pending_inputs, []
        self.deliver(inputs.Tick())
        for event in pending_inputs:
            self.deliver(event)


@dataclass(eq=False)
class Connection:
    """A connection between an entry and a sidecar.

    Attributes:
        number: Connection id at both ends.
        entry: Process that opened the connection.
        sidecar: Process that accepted the connection.
        is_open: Whether the connection is neither closed nor reset.
        silent: Directions in which messages are lost; True is to the sidecar.
        delay: One-way latency.
    """

    number: int
    entry: Process
    sidecar: Process
    is_open: bool = True
    silent: set[bool] = field(default_factory=set)
    delay: Seconds = LATENCY

    def end(self, *, is_sidecar: bool) -> Process:
        """Returns the process at the given end."""
        return self.sidecar if is_sidecar else self.entry


@dataclass(eq=False)
class Exchange:
    """A request of a caller and the response that the caller received.

    Attributes:
        request: Request of the caller.
        process: Entry to which the request was sent.
        sent_at: Time at which the request was sent.
        expected: Correct response body; None if several are correct.
        parts: Data received so far.
        ended: End of a complete response.
        failed: Error response.
        is_broken: Whether the connection to the entry broke.
        runs_at_failure: Number of runs of the request when the error arrived.
        ended_at: Time of the end, the error or the broken connection.
    """

    request: inputs.CallerRequest
    process: Process
    sent_at: Seconds
    expected: bytes | None
    parts: list[bytes] = field(default_factory=list)
    ended: effects.AnswerEnded | None = None
    failed: effects.AnswerFailed | None = None
    is_broken: bool = False
    runs_at_failure: int = 0
    ended_at: Seconds = 0.0

    @property
    def is_over(self) -> bool:
        """Whether the caller no longer waits for a response."""
        return self.is_broken or self.ended is not None or self.failed is not None

    @property
    def body(self) -> bytes:
        """Body of the complete response."""
        assert self.ended is not None
        return b"".join(self.parts) + self.ended.body


class Network:
    """All processes of a small deployment on one simulated clock."""

    def __init__(self, seed: int, *, settings: SidecarSettings | None = None) -> None:
        """Starts every process; ``wait_until_connected`` runs until they are connected.

        Args:
            seed: Seed of every random choice.
            settings: Settings of the sidecars; the defaults if None.
        """
        self.now: Seconds = 1_000.0
        self.rng = random.Random(seed)
        self.settings = settings or SidecarSettings()
        self.api = MemoryObjectApi(self)
        self.backends = {
            plan.name: MemoryBackend(plan.name, self, plan.type == "engine")
            for plan in BACKENDS
        }
        self.processes: dict[InstanceName, Process] = {}
        self.all_processes: list[Process] = []
        self.connections: dict[int, Connection] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.tickets: dict[str, str] = {}
        self.unreachable: set[tuple[InstanceName, InstanceName]] = set()
        self.api_unreachable: set[InstanceName] = set()
        # Called for every message before it is sent; returns the additional delay of
        # each copy to deliver.
        self.on_send: Callable[[Connection, bool, Any], list[Seconds]] | None = None
        self.on_effect: Callable[[Process, Any], None] | None = None
        self.peer_delay: Seconds = LATENCY
        self.connect_delay: Seconds = 0.0
        self._queue: list[tuple[Seconds, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._connection_numbers = itertools.count(1)
        self._last_arrival: dict[tuple[int, bool], Seconds] = {}
        self.api.write(*build_configuration())
        for plan in BACKENDS:
            self.start(plan.name)
        for name in ENTRIES:
            self.start(name)

    # --- Time ---

    def call_later(self, delay: Seconds, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        heapq.heappush(
            self._queue, (self.now + delay, next(self._event_numbers), action)
        )

    def run(
        self, seconds: Seconds, *, until: Callable[[], bool] = lambda: False
    ) -> bool:
        """Advances the simulation; returns whether ``until`` ended it early."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            if until():
                return True
            self.now, _, action = heapq.heappop(self._queue)
            action()
        if until():
            return True
        self.now = end
        return False

    def wait_until_connected(self) -> None:
        """Runs until every entry is connected to every sidecar, and 1 s longer."""
        self.run(10.0, until=self.is_connected)
        self.run(1.0)

    def is_connected(self) -> bool:
        """Returns whether every entry has an open connection to every sidecar."""
        pairs = {
            (item.entry.name, item.sidecar.name)
            for item in self.connections.values()
            if item.is_open
        }
        return len(pairs) == len(ENTRIES) * len(BACKENDS)

    # --- Processes ---

    def start(self, name: InstanceName) -> Process:
        """Starts a process with a new incarnation."""
        process = Process(name, self._build_core(name), self)
        self.processes[name] = process
        self.all_processes.append(process)
        self._tick(process)
        if name in ENTRIES:
            self._watch(process)
        else:
            self._poll_status(process)
        return process

    def kill(self, name: InstanceName) -> None:
        """Kills a process and resets its connections."""
        process = self.processes[name]
        process.is_alive = False
        self._close_all(process)

    def freeze(self, name: InstanceName) -> None:
        """Pauses a process without closing its connections."""
        self.processes[name].is_frozen = True

    def _build_core(self, name: InstanceName) -> Any:
        incarnation = self.rng.getrandbits(63)
        rng = random.Random(self.rng.getrandbits(32))
        if name in ENTRIES:
            return EntryCore(
                name,
                incarnation,
                signer=SIGNER,
                rng=rng,
                availability_zone="a" if name == ENTRIES[0] else "b",
                region="region-1",
                peers=[sidecar_address(plan.name) for plan in BACKENDS],
            )
        resource = self.api.store.get(_BACKEND_KIND, name)
        assert resource is not None
        return SidecarCore(name, incarnation, resource.spec, SIGNER, self.settings, rng)

    def _tick(self, process: Process) -> None:
        if process.is_alive:
            process.deliver(inputs.Tick())
            self.call_later(TICK, lambda: self._tick(process))

    def _poll_status(self, process: Process) -> None:
        if process.is_alive:
            backend = self.backends[process.name]
            backend.status(
                process,
                lambda: self.call_later(
                    STATUS_INTERVAL, lambda: self._poll_status(process)
                ),
            )

    def _watch(self, process: Process) -> None:
        if not process.is_alive:
            return
        self.call_later(WATCH_INTERVAL, lambda: self._watch(process))
        api = self.api
        is_reachable = api.is_up and not api.is_slow
        if (
            not is_reachable
            or process.name in self.api_unreachable
            or process.is_frozen
            or process.watched_revision == api.revision
        ):
            return
        base = max(0, process.watched_revision)
        _, changes = api.store.changes_since(base)
        event = inputs.ConfigurationReceived(changes, api.revision, base)
        process.watched_revision = api.revision
        self.call_later(api.latency, lambda: process.deliver(event))

    # --- Effects ---

    def perform(self, effect: Any, process: Process) -> None:
        """Performs an effect of a core."""
        if self.on_effect is not None:
            self.on_effect(process, effect)
        match effect:
            case effects.Send():
                self._send(effect, process)
            case effects.Connect():
                self._connect(effect.address, process)
            case effects.Disconnect():
                self._disconnect(effect.connection, process)
            case effects.Stop():
                process.is_stopped = True
                self.call_later(LATENCY, lambda: self._exit_process(process))
            case effects.CallBackend():
                self.backends[process.name].call(effect, process)
            case effects.CancelBackend():
                self.backends[process.name].cancel(effect, process)
            case effects.LoadAdapter():
                self.backends[process.name].load(effect, process)
            case effects.UnloadAdapter():
                self.backends[process.name].unload(effect, process)
            case effects.CreateClaim() | effects.ReadClaim():
                self._claim(effect, process)
            case effects.TicketIssued():
                self.tickets[effect.request_id] = effect.ticket
            case effects.LogEvent():
                pass
            case _:
                self._record_response(effect)

    def _claim(
        self, effect: effects.CreateClaim | effects.ReadClaim, process: Process
    ) -> None:
        if process.name in self.api_unreachable:
            status = inputs.ClaimStatus.UNAVAILABLE
            answer = inputs.ClaimAnswered(effect.request_id, effect.name, status)
            self.call_later(LATENCY, lambda: process.deliver(answer))
            return
        self.api.claim(effect, process)

    def _record_response(self, effect: Any) -> None:
        exchange = self.exchanges.get(effect.request_id)
        if exchange is None:
            if isinstance(effect, effects.AnswerFailed):
                self.tickets[effect.request_id] = ""
            return
        assert not exchange.is_over, "response data after the end of the response"
        if isinstance(effect, effects.AnswerData):
            exchange.parts.append(effect.data)
        elif isinstance(effect, effects.AnswerEnded):
            exchange.ended = effect
            exchange.ended_at = self.now
        elif isinstance(effect, effects.AnswerFailed):
            exchange.failed = effect
            exchange.ended_at = self.now
            exchange.runs_at_failure = self.count_runs(exchange.request)

    def _exit_process(self, process: Process) -> None:
        process.is_alive = False
        self._close_all(process)

    # --- Connections ---

    def open_connections(
        self, entry: InstanceName, sidecar: InstanceName
    ) -> list[Connection]:
        """Returns the open connections between an entry and a sidecar."""
        return [
            item
            for item in self.connections.values()
            if item.is_open and (item.entry.name, item.sidecar.name) == (entry, sidecar)
        ]

    def cut(self, connection: Connection) -> None:
        """Resets a connection; both ends are notified, messages in transit are lost."""
        connection.is_open = False
        connection.silent = {True, False}
        for process in (connection.entry, connection.sidecar):
            self._schedule_close(connection, process)

    def _schedule_close(self, connection: Connection, process: Process) -> None:
        event = inputs.ConnectionClosed(connection.number, "connection reset")
        self.call_later(LATENCY, lambda: process.deliver(event))

    def _close_all(self, process: Process) -> None:
        for connection in self.connections.values():
            if connection.is_open and process in (connection.entry, connection.sidecar):
                connection.is_open = False
                if not connection.silent:
                    is_entry = process is connection.entry
                    self._schedule_close(
                        connection, connection.end(is_sidecar=is_entry)
                    )
        if process.name in ENTRIES:
            for exchange in self.exchanges.values():
                if exchange.process is process and not exchange.is_over:
                    exchange.is_broken = True
                    exchange.ended_at = self.now

    def _connect(self, target_address: str, process: Process) -> None:
        sidecar = self.processes[_instance_at(target_address)]
        if (process.name, sidecar.name) in self.unreachable:
            return
        if not sidecar.is_alive:
            failed = inputs.ConnectionFailed(target_address, "connection refused")
            self.call_later(LATENCY, lambda: process.deliver(failed))
            return
        if sidecar.is_frozen:
            return

        def opened() -> None:
            if not (process.is_alive and sidecar.is_alive) or sidecar.is_frozen:
                return
            number = next(self._connection_numbers)
            connection = Connection(number, process, sidecar, delay=self.peer_delay)
            self.connections[number] = connection
            entry_peer = _peer(process, messages.Role.ENTRY)
            sidecar_peer = _peer(sidecar, messages.Role.SIDECAR)
            sidecar.deliver(inputs.ConnectionOpened(number, entry_peer))
            process.deliver(
                inputs.ConnectionOpened(number, sidecar_peer, target_address)
            )

        self.call_later(2 * self.peer_delay + self.connect_delay, opened)

    def _disconnect(self, number: int, process: Process) -> None:
        connection = self.connections.get(number)
        if connection is None or not connection.is_open:
            return
        connection.is_open = False
        is_entry = process is connection.entry
        if is_entry not in connection.silent:
            self._schedule_close(connection, connection.end(is_sidecar=is_entry))

    def _send(self, effect: effects.Send, process: Process) -> None:
        connection = self.connections.get(effect.connection)
        if connection is None or not connection.is_open:
            return
        is_to_sidecar = process is connection.entry
        delays = [0.0]
        if self.on_send is not None:
            delays = self.on_send(connection, is_to_sidecar, effect.message)
        for delay in delays:
            self._deliver(connection, is_to_sidecar, effect.message, delay)

    def _deliver(
        self, connection: Connection, is_to_sidecar: bool, message: Any, delay: Seconds
    ) -> None:
        event = inputs.MessageReceived(connection.number, message)
        receiver = connection.end(is_sidecar=is_to_sidecar)
        key = (connection.number, is_to_sidecar)
        due = self.now + connection.delay + delay
        if not delay:
            # Messages of a connection arrive in order unless a fault delays them.
            due = max(due, self._last_arrival.get(key, 0.0))
            self._last_arrival[key] = due

        def arrive() -> None:
            # Messages sent before an orderly close are still delivered.
            if is_to_sidecar not in connection.silent:
                receiver.deliver(event)

        self.call_later(due - self.now, arrive)

    # --- Callers ---

    def send(
        self, request: inputs.CallerRequest, entry: InstanceName, expected: bytes | None
    ) -> Exchange:
        """Sends a request of a caller to an entry."""
        process = self.processes[entry]
        exchange = Exchange(request, process, self.now, expected)
        self.exchanges[request.request_id] = exchange
        if not process.is_alive:
            exchange.is_broken = True
            exchange.ended_at = self.now
            return exchange
        process.deliver(request)
        return exchange

    def issue_key(self, entry: InstanceName, *, service: str = "orders") -> str:
        """Requests an idempotency key; returns an empty string if none was issued."""
        request_id = f"ticket-{next(self._event_numbers)}"
        process = self.processes[entry]
        process.deliver(
            inputs.TicketRequested(request_id, CALLER_DIGEST, service=service)
        )
        self.run(3.0, until=lambda: request_id in self.tickets)
        return self.tickets.get(request_id, "")

    def count_runs(self, request: inputs.CallerRequest) -> int:
        """Returns the number of runs of a request, or of the order with its key."""
        keys = {request.request_id}
        if request.idempotency_key:
            keys = {self.ticket_of(request.idempotency_key)}
        return sum(
            backend.runs[key] for backend in self.backends.values() for key in keys
        )

    def ticket_of(self, key: str) -> str:
        """Returns the ticket under which an order with this key runs."""
        return self.api.claims.get(claim_name("team-1", key), key)


def build_configuration() -> list[Resource]:
    """Returns the resources of the deployment, without revisions."""
    documents = [
        *(sample.adapter(f"advisor-{n}", "question") for n in range(1, 9)),
        sample.caller("team-1", sample.CALLER_KEY),
        *sample.policies(),
        document(
            "Placement",
            "anywhere",
            {"targetSelector": "work", "backendServerSelector": "type"},
        ),
        document("WeightStore", "store", {"loadsPerSecond": 20.0, "maxInTransit": 16}),
        *(_server_document(plan) for plan in BACKENDS),
    ]
    return [parse_resource(item).ok for item in documents]


def sidecar_address(name: InstanceName) -> str:
    """Returns the address of a sidecar."""
    return f"10.0.0.1:{name}"


def _instance_at(target_address: str) -> InstanceName:
    return target_address.partition(":")[2]


def _server_document(plan: BackendPlan) -> dict[str, Any]:
    spec = {
        "type": plan.type,
        "address": sidecar_address(plan.name),
        "availabilityZone": plan.zone,
        "region": "region-1",
        "model": plan.model,
        "service": plan.service,
        "adapterSlots": plan.adapter_slots,
        "batchSize": plan.batch_size,
    }
    labels = {"type": plan.type, **plan.labels}
    return document("BackendServer", plan.name, spec, labels=labels)


def _peer(process: Process, role: messages.Role) -> messages.Peer:
    status = process.core.status(now=process.network.now)
    return messages.Peer(role, process.name, status.incarnation)


_BACKEND_KIND = parse_resource(_server_document(BACKENDS[0])).ok.kind
