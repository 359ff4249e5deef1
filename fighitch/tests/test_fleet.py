"""Stateful property test of a small fleet of real cores on a simulated network.

Entries and sidecars are linked by connections that deliver in order, but can lose the
last messages, go silent, delay, duplicate messages and overtake one another. Callers,
engines, services and the object API are simulated on the same explicit clock.

Hypothesis derives the random histories from the source of ``Fleet``, so a change of its
code selects other histories.
"""

import hashlib
import heapq
import itertools
import random
import unittest
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fighitch.core import effects, inputs, messages
from fighitch.core.entry import EntryCore
from fighitch.core.entry.orders import claim_name
from fighitch.core.errors import RunState
from fighitch.core.resources import (
    AdapterSpec,
    AdapterVersionSpec,
    BackendServerSpec,
    CallerSpec,
    Kind,
    PlacementSpec,
    Resource,
    WeightStoreSpec,
    WorkPolicySpec,
)
from fighitch.core.sidecar import SidecarCore, SidecarSettings
from fighitch.core.tickets import SharedKey, TicketSigner

# Shrinking a failure takes minutes; add Phase.shrink to search for a shorter history.
SETTINGS = settings(
    phases=(Phase.generate,),
    max_examples=20,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
)
ENTRIES = ("entry-1", "entry-2")
ENGINES = ("engine-1", "engine-2")
SERVICES = ("orders-1", "orders-2")
SIDECARS = ENGINES + SERVICES
INSTANCES = ENTRIES + SIDECARS
ADAPTERS = ("a", "b", "c")
DIGEST = hashlib.sha256(b"key").hexdigest()
SIGNER = TicketSigner([SharedKey("k", b"secret")])
TICK_INTERVAL = 0.05
LATENCY = 0.001
STATUS_INTERVAL = 0.25
TOKEN_INTERVAL = 0.05
RUN_TIME = 0.1
CONNECT_TIMEOUT = 2.0
MAX_CONFIGURATION_DELAY = 5.0
# Exceeds every deadline, failure detection timeout and reconnection delay.
RECOVERY_TIME = 60.0


@dataclass(eq=False)
class Process:
    """One incarnation of an entry or sidecar.

    A frozen process handles inputs that arrive, except ticks, only when it resumes.
    """

    name: str
    core: Any
    incarnation: int
    started: float
    is_alive: bool = True
    is_frozen: bool = False
    active_since: float = 0.0
    deferred: list[Any] = field(default_factory=list)


@dataclass(eq=False)
class Connection:
    """Connection between two processes; a silent one loses every message."""

    number: int
    ends: tuple[Process, Process]
    delay: float
    is_silent: bool = False
    closed: set[Process] = field(default_factory=set)
    last_arrival: dict[Process, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    def other(self, process):
        return self.ends[1] if process is self.ends[0] else self.ends[0]


@dataclass(eq=False)
class Backend:
    """Simulated engine or service; it survives restarts of its sidecar.

    Attributes:
        boot_count: Number of starts; identifies the current one.
        resident: Loaded adapter versions.
        fencing_token: Highest fencing token that the engine has seen.
        loads_to_fail: Number of next loads that fail.
        responses_to_lose: Number of next responses that are lost.
        stalled_until: Time until which no response makes progress.
        running: Request id, attempt and call number of each running call.
    """

    boot_count: int = 1
    resident: set[messages.AdapterVersion] = field(default_factory=set)
    fencing_token: int = 0
    loads_to_fail: int = 0
    responses_to_lose: int = 0
    stalled_until: float = 0.0
    running: dict[tuple[Process, int], tuple[str, int, int]] = field(
        default_factory=dict
    )


@dataclass(eq=False)
class Request:
    """A request of a caller and the response that the caller received."""

    event: inputs.CallerRequest
    process: Process
    sent_at: float
    is_gone: bool = False
    parts: list[bytes] = field(default_factory=list)
    ended: effects.AnswerEnded | None = None
    failed: effects.AnswerFailed | None = None

    @property
    def is_open(self):
        return self.ended is None and self.failed is None


def resource(kind, name, spec, revision=1, **labels):
    return Resource(kind=kind, name=name, labels=labels, spec=spec, revision=revision)


def adapter(name, default, revision=1):
    versions = tuple(AdapterVersionSpec(name=v, source=f"{name}/{v}") for v in "12")
    spec = AdapterSpec(model="m", versions=versions, default_version=default)
    return resource(Kind.ADAPTER, name, spec, revision, work="question")


def server(name):
    kind = (
        {"type": "engine", "model": "m", "adapter_slots": 2}
        if name in ENGINES
        else {"type": "service", "service": "orders"}
    )
    spec = BackendServerSpec(
        address=f"ip:{name}", availability_zone=name[-1], batch_size=2, **kind
    )
    work = "question" if name in ENGINES else "order"
    return resource(Kind.BACKEND_SERVER, name, spec, work=work)


def configuration():
    policies = (
        WorkPolicySpec(
            rank=0, target_selector="work=order", idempotent=False, deadline_ms=3_000
        ),
        WorkPolicySpec(rank=1, target_selector="work=question", deadline_ms=2_000),
    )
    return [
        *(adapter(name, "1") for name in ADAPTERS),
        *map(server, SIDECARS),
        *(resource(Kind.WORK_POLICY, f"p{item.rank}", item) for item in policies),
        resource(Kind.CALLER, "team", CallerSpec(key_digests=(DIGEST,))),
        resource(Kind.PLACEMENT, "any", PlacementSpec()),
        resource(
            Kind.WEIGHT_STORE,
            "store",
            WeightStoreSpec(loads_per_second=20, max_in_transit=8),
        ),
    ]


def build_tokens(model, body, first, end):
    return [f"{model}/{body}/{index} " for index in range(first, end)]


class Fleet(RuleBasedStateMachine):
    """Injects faults and requests in random order and checks the invariants."""

    @initialize(seed=strategies.integers(0, 2**16))
    def start_fleet(self, seed):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.scheduled, self.schedule_numbers = [], itertools.count()
        self.numbers = itertools.count(1)
        self.revision = 1
        self.resources = {(item.kind, item.name): item for item in configuration()}
        self.changes = defaultdict(list)
        self.held_revisions = {}
        self.backends = {name: Backend() for name in SIDECARS}
        self.connections, self.requests, self.tickets = {}, {}, {}
        self.claims, self.api_state = {}, "up"
        self.claim_responses_to_lose = 0
        self.cut_pairs = set()
        self.order_runs, self.engine_runs = Counter(), Counter()
        self.engine_models = defaultdict(set)
        self.orders, self.keys = defaultdict(list), []
        self.processes = {}
        for name in SIDECARS + ENTRIES:
            self.start_process(name)
        self.advance_clock(3.0)

    # --- Clock and processes ---

    def schedule(self, delay, action, *arguments):
        entry = (self.now + delay, next(self.schedule_numbers), action, arguments)
        heapq.heappush(self.scheduled, entry)

    def advance_clock(self, seconds):
        end = self.now + seconds
        while self.scheduled and self.scheduled[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.scheduled)
            action(*arguments)
        self.now = end

    def start_process(self, name):
        incarnation = self.rng.getrandbits(60)
        rng = random.Random(incarnation)
        if name in ENTRIES:
            core = EntryCore(
                name,
                incarnation,
                signer=SIGNER,
                rng=rng,
                availability_zone=name[-1],
                peers=[f"ip:{sidecar}" for sidecar in SIDECARS],
            )
        else:
            core = SidecarCore(
                name, incarnation, server(name).spec, SIGNER, SidecarSettings(), rng
            )
        process = Process(name, core, incarnation, self.now, active_since=self.now)
        self.processes[name] = process
        self.tick(process)
        if name in ENTRIES:
            self.watch_object_api(process, 0)
        else:
            self.report_status(process)

    def tick(self, process):
        if process.is_alive:
            self.deliver(process, inputs.Tick())
            self.schedule(TICK_INTERVAL, self.tick, process)

    def watch_object_api(self, process, known):
        """Polls the object API for changes and delivers them after a delay."""
        if not process.is_alive:
            return
        if self.api_state == "up" and known < self.revision and not process.is_frozen:
            changed = tuple(
                item for item in self.resources.values() if item.revision > known
            )
            event = inputs.ConfigurationReceived(changed, self.revision, known)
            self.schedule(self.rng.uniform(0.0, 0.5), self.deliver, process, event)
            known = self.revision
        self.schedule(0.2, self.watch_object_api, process, known)

    def report_status(self, process):
        if not process.is_alive:
            return
        backend = self.backends[process.name]
        report = inputs.EngineReported(
            f"boot-{backend.boot_count}",
            frozenset(backend.resident),
            backend.fencing_token,
        )
        self.schedule(self.rng.uniform(0.0, 0.3), self.deliver, process, report)
        self.schedule(STATUS_INTERVAL, self.report_status, process)

    def deliver(self, process, event):
        if not process.is_alive:
            return
        if process.is_frozen:
            if not isinstance(event, inputs.Tick):
                process.deferred.append(event)
            return
        for effect in process.core.handle(event, now=self.now):
            self.apply_effect(process, effect)

    # --- Effects ---

    def apply_effect(self, process, effect):
        match effect:
            case effects.Send():
                self.send_message(process, effect)
            case effects.Connect():
                self.connect_to_sidecar(process, effect.address)
            case effects.Disconnect():
                connection = self.connections.get(effect.connection)
                if connection is not None:
                    self.close_connection(connection, process)
            case effects.CallBackend():
                self.start_backend_call(process, effect)
            case effects.CancelBackend():
                self.backends[process.name].running.pop((process, effect.call), None)
            case effects.LoadAdapter():
                backend = self.backends[process.name]
                backend.fencing_token = max(backend.fencing_token, effect.fencing_token)
                delay = self.rng.uniform(0.1, 0.5)
                self.schedule(
                    delay, self.complete_load, process, effect, backend.boot_count
                )
            case effects.UnloadAdapter():
                self.backends[process.name].resident.discard(effect.adapter_version)
                done = inputs.AdapterUnloaded(effect.adapter_version)
                self.schedule(LATENCY, self.deliver, process, done)
            case effects.CreateClaim() | effects.ReadClaim():
                self.schedule(
                    self.rng.uniform(0.001, 0.1),
                    self.answer_claim_call,
                    process,
                    effect,
                )
            case effects.TicketIssued():
                self.tickets[effect.request_id] = effect.ticket
            case effects.LogEvent() | effects.Stop():
                pass
            case _:
                self.record_response(effect)

    def record_response(self, effect):
        request = self.requests.get(effect.request_id)
        if request is None:
            return
        assert request.is_open, f"response after the end of the request: {effect}"
        if isinstance(effect, effects.AnswerData):
            request.parts.append(effect.data)
        elif isinstance(effect, effects.AnswerEnded):
            request.ended = effect
            self.check_response(request)
        elif isinstance(effect, effects.AnswerFailed):
            request.failed = effect

    def check_response(self, request):
        event, ended = request.event, request.ended
        body = b"".join(request.parts) + ended.body
        if event.service:
            key = self.ticket_of(event.idempotency_key)
            assert body == f"ran {event.body.decode()} {key}".encode(), body
            return
        name, _, version = event.model.partition("@")
        since = min(request.sent_at, request.process.active_since)
        versions = {version} if version else self.allowed_defaults(name, since=since)
        assert ended.model in {f"{name}@{one}" for one in versions}, ended.model
        count = int(event.body.decode().rpartition(" ")[2])
        expected = "".join(build_tokens(ended.model, event.body.decode(), 0, count))
        assert body == expected.encode(), (body, expected)

    def answer_claim_call(self, process, effect):
        statuses = inputs.ClaimStatus
        ticket = self.claims.get(effect.name, "")
        if self.api_state == "down":
            status, ticket = statuses.UNAVAILABLE, ""
        elif isinstance(effect, effects.ReadClaim):
            status = statuses.EXISTS if ticket else statuses.NOT_FOUND
        elif ticket:
            status, ticket = statuses.EXISTS, ""
        else:
            status, ticket = statuses.CREATED, effect.ticket
            self.claims[effect.name] = ticket
        if status is statuses.EXISTS:
            ticket = self.claims[effect.name]
        if self.claim_responses_to_lose and status is not statuses.UNAVAILABLE:
            self.claim_responses_to_lose -= 1
            status, ticket = statuses.ANSWER_LOST, ""
        done = inputs.ClaimAnswered(effect.request_id, effect.name, status, ticket)
        self.schedule(self.rng.uniform(0.001, 0.1), self.deliver, process, done)

    # --- Backend servers ---

    def start_backend_call(self, process, call):
        backend = self.backends[process.name]
        ids = (call.request_id, call.attempt, call.call)
        version = call.adapter_version
        if version is not None and version not in backend.resident:
            self.schedule(
                LATENCY, self.deliver, process, inputs.BackendStarted(*ids, 404)
            )
            self.schedule(2 * LATENCY, self.deliver, process, inputs.BackendEnded(*ids))
            return
        backend.running[process, call.call] = ids
        if version is None:
            self.order_runs[call.ticket] += 1
            self.schedule(
                self.rng.uniform(RUN_TIME, 3 * RUN_TIME),
                self.complete_order,
                process,
                call,
            )
            return
        self.engine_runs[call.request_id] += 1
        self.engine_models[call.request_id].add(version)
        started = inputs.BackendStarted(*ids, 200, str(version), "text/plain")
        self.schedule(
            TOKEN_INTERVAL,
            self.deliver_if_running,
            process,
            call,
            backend.boot_count,
            started,
        )
        self.schedule(
            TOKEN_INTERVAL, self.emit_token, process, call, call.generated_tokens
        )

    def deliver_if_running(self, process, call, boot, event):
        backend = self.backends[process.name]
        if (process, call.call) in backend.running and backend.boot_count == boot:
            self.deliver(process, event)

    def emit_token(self, process, call, index):
        backend = self.backends[process.name]
        ids = (call.request_id, call.attempt, call.call)
        if (process, call.call) not in backend.running:
            return
        if backend.stalled_until > self.now:
            delay = backend.stalled_until - self.now
            self.schedule(delay, self.emit_token, process, call, index)
            return
        if backend.responses_to_lose:
            backend.responses_to_lose -= 1
            backend.running.pop((process, call.call), None)
            self.deliver(process, inputs.BackendFailed(*ids, sent=True, detail="cut"))
            return
        body = call.body.decode()
        if index >= int(body.rpartition(" ")[2]):
            backend.running.pop((process, call.call), None)
            self.deliver(process, inputs.BackendEnded(*ids))
            return
        (text,) = build_tokens(call.adapter_version, body, index, index + 1)
        self.deliver(process, inputs.BackendData(*ids, text.encode(), text, 1))
        self.schedule(TOKEN_INTERVAL, self.emit_token, process, call, index + 1)

    def complete_order(self, process, call):
        backend = self.backends[process.name]
        if backend.stalled_until > self.now:
            delay = backend.stalled_until - self.now
            self.schedule(delay, self.complete_order, process, call)
            return
        backend.running.pop((process, call.call), None)
        ids = (call.request_id, call.attempt, call.call)
        if backend.responses_to_lose:
            backend.responses_to_lose -= 1
            self.deliver(process, inputs.BackendFailed(*ids, sent=True, detail="lost"))
            return
        text = f"ran {call.body.decode()} {call.ticket}"
        self.deliver(process, inputs.BackendStarted(*ids, 200))
        self.deliver(process, inputs.BackendData(*ids, text.encode()))
        self.deliver(process, inputs.BackendEnded(*ids))

    def complete_load(self, process, load, boot):
        backend, version = self.backends[process.name], load.adapter_version
        if backend.boot_count != boot or backend.loads_to_fail:
            backend.loads_to_fail = max(0, backend.loads_to_fail - 1)
            self.deliver(process, inputs.AdapterLoadFailed(version, "failed"))
            return
        backend.resident.add(version)
        self.deliver(process, inputs.AdapterLoaded(version, f"boot-{boot}"))

    # --- Network ---

    def connect_to_sidecar(self, process, address):
        target = self.processes[address.partition(":")[2]]
        is_lost = target.is_frozen or (process.name, target.name) in self.cut_pairs
        if is_lost or not target.is_alive:
            failed = inputs.ConnectionFailed(
                address, "timeout" if is_lost else "connection refused"
            )
            delay = CONNECT_TIMEOUT if is_lost else LATENCY
            self.schedule(delay, self.deliver, process, failed)
            return
        self.schedule(2 * LATENCY, self.open_connection, process, target, address)

    def open_connection(self, process, target, address):
        if not process.is_alive or not target.is_alive:
            return
        number = next(self.numbers)
        delay = self.rng.choice((LATENCY, LATENCY, 0.05, 0.3))
        self.connections[number] = Connection(number, (process, target), delay)
        self.deliver(target, inputs.ConnectionOpened(number, peer(process)))
        self.deliver(process, inputs.ConnectionOpened(number, peer(target), address))

    def send_message(self, process, effect):
        connection = self.connections.get(effect.connection)
        if connection is None or process in connection.closed or connection.is_silent:
            return
        receiver = connection.other(process)
        if (process.name, receiver.name) in self.cut_pairs or (
            receiver.name,
            process.name,
        ) in self.cut_pairs:
            connection.is_silent = True
            return
        event = inputs.MessageReceived(connection.number, effect.message)
        arrival = self.now + connection.delay * self.rng.uniform(0.5, 1.5)
        arrival = connection.last_arrival[receiver] = max(
            arrival, connection.last_arrival[receiver]
        )
        is_duplicate = self.rng.random() < 0.02
        for _ in range(2 if is_duplicate else 1):
            self.schedule(
                arrival - self.now, self.deliver_message, connection, receiver, event
            )

    def deliver_message(self, connection, receiver, event):
        if receiver not in connection.closed:
            self.deliver(receiver, event)

    def close_connection(self, connection, process, *, is_reset=False):
        """Closes one end; the other end is notified after all earlier messages.

        A reset may overtake messages that are in flight.
        """
        if process in connection.closed:
            return
        connection.closed.add(process)
        receiver = connection.other(process)
        if connection.is_silent or receiver in connection.closed:
            return
        arrival = self.now + connection.delay
        if not is_reset:
            arrival = max(arrival, connection.last_arrival[receiver])
        self.schedule(arrival - self.now, self.notify_closed, connection, receiver)

    def notify_closed(self, connection, receiver):
        if receiver in connection.closed:
            return
        connection.closed.add(receiver)
        self.deliver(receiver, inputs.ConnectionClosed(connection.number, "closed"))

    def terminate(self, process, *, is_silent=False):
        process.is_alive = False
        for connection in self.connections.values():
            if process in connection.ends and process not in connection.closed:
                connection.is_silent |= is_silent
                self.close_connection(connection, process, is_reset=True)

    # --- Rules ---

    def allowed_defaults(self, name, *, since=None):
        """Returns the default versions that a request may have used since a time."""
        since = self.now if since is None else since
        changes = self.changes[name]
        allowed = {"1"}
        for accepted, version in changes:
            if accepted + MAX_CONFIGURATION_DELAY < since:
                allowed.clear()
            allowed.add(version)
        return allowed

    def ticket_of(self, key):
        return self.claims.get(claim_name("team", key), key)

    def send_request(self, entry, **fields):
        process = self.processes[entry]
        number = next(self.numbers)
        name = f"r{number}"
        body = f"{name} {self.rng.randint(1, 20)}".encode()
        event = inputs.CallerRequest(
            name, DIGEST, **{"model": "", "service": "", "body": body, **fields}
        )
        if not process.is_alive:
            return None
        request = Request(event, process, self.now)
        self.requests[name] = request
        self.deliver(process, event)
        return request

    @rule(
        entry=strategies.sampled_from(ENTRIES),
        name=strategies.sampled_from(ADAPTERS),
        version=strategies.sampled_from(("", "@1", "@2")),
        streamed=strategies.booleans(),
    )
    def request_generation(self, entry, name, version, streamed):
        path = "/v1/completions"
        self.send_request(entry, model=f"{name}{version}", path=path, streamed=streamed)

    @rule(entry=strategies.sampled_from(ENTRIES), is_issued=strategies.booleans())
    def submit_order(self, entry, is_issued):
        key = f"key-{next(self.numbers)}"
        process = self.processes[entry]
        if is_issued and process.is_alive:
            event = inputs.TicketRequested(key, DIGEST, service="orders")
            self.deliver(process, event)
            self.advance_clock(0.5)
            key = self.tickets.get(key, key)
        index = len(self.keys)
        self.keys.append((key, f"order-{index}".encode()))
        self.send_order(entry, index)
        # A caller that is unsure of the outcome repeats the order through any entry.
        for _ in range(self.rng.randint(0, 3)):
            delay = self.rng.uniform(0.0, 4.0)
            self.schedule(delay, self.send_order, self.rng.choice(ENTRIES), index)

    @precondition(lambda self: self.keys)
    @rule(entry=strategies.sampled_from(ENTRIES), index=strategies.integers(0, 99))
    def repeat_order(self, entry, index):
        self.send_order(entry, index % len(self.keys))

    def send_order(self, entry, index):
        key, body = self.keys[index]
        fields = {"service": "orders", "path": "/orders", "body": body}
        request = self.send_request(entry, idempotency_key=key, **fields)
        if request is not None:
            self.orders[key].append(request)

    @precondition(lambda self: self.requests)
    @rule(index=strategies.integers(0, 999))
    def caller_disconnects(self, index):
        self.schedule_fault(
            self.disconnect_caller,
            list(self.requests.values())[index % len(self.requests)],
        )

    def disconnect_caller(self, request):
        if request.is_open and not request.is_gone:
            request.is_gone = True
            self.deliver(request.process, inputs.CallerGone(request.event.request_id))

    @rule(name=strategies.sampled_from(INSTANCES), is_silent=strategies.booleans())
    def kill_and_restart(self, name, is_silent):
        self.schedule_fault(self.crash, name, is_silent)

    def schedule_fault(self, action, *arguments):
        """Schedules a fault within 0.5 s, so that it hits operations in progress."""
        self.schedule(self.rng.uniform(0.0, 0.5), action, *arguments)

    def crash(self, name, is_silent):
        process = self.processes[name]
        if process.is_alive:
            self.terminate(process, is_silent=is_silent)
            self.schedule(self.rng.uniform(0.1, 4.0), self.restart_process, process)

    def restart_process(self, process):
        if self.processes[process.name] is process:
            self.start_process(process.name)

    @rule(name=strategies.sampled_from(INSTANCES))
    def freeze_for_a_while(self, name):
        self.schedule_fault(self.freeze, name)

    def freeze(self, name):
        process = self.processes[name]
        if process.is_alive and not process.is_frozen:
            process.is_frozen = True
            self.schedule(self.rng.uniform(0.2, 6.0), self.unfreeze, process)

    def unfreeze(self, process):
        if not process.is_frozen:
            return
        process.is_frozen = False
        process.active_since = self.now
        deferred, process.deferred = process.deferred, []
        self.deliver(process, inputs.Tick())
        for event in deferred:
            self.deliver(process, event)

    @rule(index=strategies.integers(0, 999), is_silent=strategies.booleans())
    def break_connection(self, index, is_silent):
        self.schedule_fault(self.cut_connection, index, is_silent)

    def cut_connection(self, index, is_silent):
        live = [item for item in self.connections.values() if not item.closed]
        if not live:
            return
        connection = live[index % len(live)]
        if is_silent:
            connection.is_silent = True
            return
        for process in connection.ends:
            self.close_connection(connection, process, is_reset=True)

    @rule(
        entry=strategies.sampled_from(ENTRIES),
        sidecar=strategies.sampled_from(SIDECARS),
    )
    def cut_pair_for_a_while(self, entry, sidecar):
        self.cut_pairs.add((entry, sidecar))
        self.schedule(
            self.rng.uniform(0.5, 6.0), self.cut_pairs.discard, (entry, sidecar)
        )

    @rule(name=strategies.sampled_from(ENGINES))
    def restart_engine_cold(self, name):
        self.schedule_fault(self.restart_backend, name)

    def restart_backend(self, name):
        backend = self.backends[name]
        backend.boot_count += 1
        backend.resident.clear()
        backend.fencing_token = 0
        running, backend.running = backend.running, {}
        for (process, _), ids in running.items():
            failed = inputs.BackendFailed(*ids, sent=True, detail="cold restart")
            self.deliver(process, failed)

    @rule(names=strategies.sampled_from((ENGINES, SERVICES)))
    def lose_backend_responses(self, names):
        for name in names:
            self.backends[name].responses_to_lose = 1

    @rule(name=strategies.sampled_from(SIDECARS))
    def stall_backend_for_a_while(self, name):
        backend = self.backends[name]
        backend.stalled_until = self.now + self.rng.uniform(0.5, 4.0)

    @rule(count=strategies.sampled_from((1, 8)))
    def fail_loads(self, count):
        for name in ENGINES:
            self.backends[name].loads_to_fail = count

    @rule(state=strategies.sampled_from(("up", "down", "losing")))
    def change_object_api(self, state):
        self.api_state = "down" if state == "down" else "up"
        self.claim_responses_to_lose = 2 if state == "losing" else 0

    @precondition(lambda self: self.api_state == "up")
    @rule(
        name=strategies.sampled_from(ADAPTERS), entry=strategies.sampled_from(ENTRIES)
    )
    def change_default(self, name, entry):
        """Commits a change and hands it over to one entry, as an operator does."""
        before = self.resources[Kind.ADAPTER, name].spec.default_version
        self.revision += 1
        changed = adapter(name, "2" if before == "1" else "1", self.revision)
        self.resources[Kind.ADAPTER, name] = changed
        process = self.processes[entry]
        handover = inputs.ConfigurationReceived((changed,), 0)
        # A slow client hands the same object over again after newer changes.
        other = self.processes[self.rng.choice(ENTRIES)]
        self.schedule(self.rng.uniform(0.0, 8.0), self.deliver, other, handover)
        if process.is_alive and not process.is_frozen:
            self.deliver(process, handover)
            self.changes[name].append((self.now, changed.spec.default_version))
        else:
            # No entry accepted the change yet, so the previous default stays allowed.
            never = float("inf")
            self.changes[name].append((never, changed.spec.default_version))

    @rule(seconds=strategies.sampled_from((0.01, 0.1, 0.5, 2.0)))
    def wait(self, seconds):
        self.advance_clock(seconds)

    # --- Invariants ---

    @invariant()
    def orders_run_at_most_once(self):
        if not hasattr(self, "order_runs"):
            return
        assert all(count <= 1 for count in self.order_runs.values()), self.order_runs

    @invariant()
    def configuration_never_reverts(self):
        if not hasattr(self, "held_revisions"):
            return
        for process in self.processes.values():
            store = store_of(process)
            for name in ADAPTERS:
                key = (process.incarnation, name)
                found = store.get(Kind.ADAPTER, name)
                revision = found.revision if found else 0
                assert revision >= self.held_revisions.get(key, 0), (process.name, name)
                self.held_revisions[key] = revision

    @invariant()
    def requests_reported_as_not_run_did_not_run(self):
        """Checks the run state of each failed request against the simulated backends.

        An order counts as not run only if each of its repetitions reports that.
        """
        if not hasattr(self, "requests"):
            return
        for key, requests in self.orders.items():
            failures = [one.failed.failure.run_state for one in requests if one.failed]
            if len(failures) == len(requests) and set(failures) == {RunState.NOT_RUN}:
                assert not self.order_runs[self.ticket_of(key)], key
        for name, request in self.requests.items():
            if request.failed is None or request.event.service:
                continue
            if request.failed.failure.run_state is RunState.NOT_RUN:
                assert not self.engine_runs[name], (name, request.failed)

    def teardown(self):
        """Ends all faults; then every request must end and every change be applied."""
        if not hasattr(self, "requests"):
            return
        self.advance_clock(1.0)
        self.api_state, self.claim_responses_to_lose = "up", 0
        self.cut_pairs.clear()
        for process in list(self.processes.values()):
            self.unfreeze(process)
        self.advance_clock(RECOVERY_TIME)
        self.orders_run_at_most_once()
        self.requests_reported_as_not_run_did_not_run()
        for name, request in self.requests.items():
            is_waiting = request.is_open and not request.is_gone
            assert not (is_waiting and request.process.is_alive), (
                f"request {name} got no response"
            )
        for process in self.processes.values():
            for name in ADAPTERS:
                held = store_of(process).get(Kind.ADAPTER, name)
                assert held == self.resources[Kind.ADAPTER, name], process.name
        for name in ENTRIES:
            status = self.processes[name].core.status(now=self.now)
            assert not status.in_flight, (
                f"{name} still has {status.in_flight} requests in flight"
            )
        for name in SIDECARS:
            assert self.processes[name].core.in_flight == 0, (
                f"{name} still has requests in flight"
            )


def peer(process):
    role = messages.Role.ENTRY if process.name in ENTRIES else messages.Role.SIDECAR
    return messages.Peer(role, process.name, process.incarnation)


def store_of(process):
    core = process.core
    return core.store if process.name in ENTRIES else core.configuration


class FleetTests(unittest.TestCase):
    def test_no_history_of_faults_breaks_an_invariant(self):
        """Guards against wrong, lost and repeated runs under concurrent faults."""
        run_state_machine_as_test(Fleet, settings=SETTINGS)
