"""Stateful test of ``fighitch.core.sidecar`` with random sequences of inputs."""

from collections import Counter, defaultdict

import xxhash
from hypothesis import seed, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fighitch.core import inputs, messages
from fighitch.core.effects import CallBackend, Send
from fighitch.core.errors import RunState
from fighitch.tests.sidecar_helpers import (
    BATCH,
    INTERACTIVE,
    OTHER,
    STATEFUL,
    VERSION,
    SidecarDriver,
    sign_ticket,
)

THIRD = messages.AdapterVersion("c", "1")
VERSIONS = st.sampled_from([VERSION, VERSION, OTHER, THIRD])


@seed(20261204)
class SidecarMachine(RuleBasedStateMachine):
    """Checks the guarantees to callers on the messages and calls of a sidecar."""

    def __init__(self):
        super().__init__()
        self.sidecar = SidecarDriver(resident=(VERSION,), epoch=4.0)
        self.sidecar.connect(2, entry="e2")
        self.boot = 1
        self.next_id = 0
        self.connections = {1: ("e1", 1), 2: ("e2", 1)}
        self.next_connection = 3
        self.next_request = 1
        # Number of calls of an order that may have reached the engine, by ticket.
        self.sent_orders = Counter()
        self.checked = 0
        self.next_sequence = defaultdict(int)
        self.digests = defaultdict(xxhash.xxh3_64)
        self.ended = set()
        self.entry_of = {}

    def check_effects(self):
        """Checks the effects since the last step as seen by entries and engine."""
        new_effects = self.sidecar.effects[self.checked :]
        self.checked = len(self.sidecar.effects)
        for effect in new_effects:
            if isinstance(effect, CallBackend) and effect.ticket:
                self.sent_orders[effect.ticket] += 1
                assert self.sent_orders[effect.ticket] == 1, "an order ran twice"
            if isinstance(effect, Send) and effect.connection in self.connections:
                self.check_message(self.connections[effect.connection], effect.message)

    def check_message(self, entry, message):
        if not isinstance(message, messages.Chunk | messages.End | messages.Refused):
            return
        key = (entry, message.request_id)
        assert self.entry_of[message.request_id] == entry, (
            "answer sent to another entry"
        )
        if isinstance(message, messages.Chunk):
            if message.sequence < self.next_sequence[key]:
                return  # sent again after a Resume
            assert message.sequence == self.next_sequence[key], "missing chunk"
            self.next_sequence[key] += 1
            self.digests[key].update(message.data)
        elif isinstance(message, messages.End):
            assert message.chunk_count == self.next_sequence[key]
            assert message.digest == self.digests[key].intdigest()
        elif message.run_state is RunState.NOT_RUN:
            assert not self.next_sequence[key], (
                "data was sent for work reported as not run"
            )

    @rule(
        entry=st.sampled_from(["e1", "e2"]),
        rank=st.sampled_from([INTERACTIVE, BATCH]),
        version=VERSIONS,
        streamed=st.booleans(),
    )
    def submit(self, entry, rank, version, streamed):
        self.send_new(
            entry,
            self.sidecar.submit,
            rank=rank,
            adapter_version=version,
            streamed=streamed,
            remaining=20_000,
        )

    @rule(
        entry=st.sampled_from(["e1", "e2"]),
        nonce=st.sampled_from("nm"),
        age=st.sampled_from([0, 0, 0, 1, 6, 7]),
        version=VERSIONS,
        streamed=st.booleans(),
    )
    def order(self, entry, nonce, age, version, streamed):
        ticket = sign_ticket(nonce, epoch=max(0, self.sidecar.core.ticket_epoch - age))
        self.send_new(
            entry,
            self.sidecar.order,
            ticket=ticket,
            streamed=streamed,
            adapter_version=version,
            remaining=20_000,
        )

    def send_new(self, entry, send, **fields):
        links = [
            connection
            for connection, identity in self.connections.items()
            if identity[0] == entry
        ]
        if not links:
            return
        self.next_id += 1
        request_id = f"r{self.next_id}"
        self.entry_of[request_id] = self.connections[links[-1]]
        send(request_id, connection=links[-1], **fields)

    @rule(number=st.integers(1, 40), entry=st.sampled_from(["e1", "e2"]))
    def cancel(self, number, entry):
        """Cancels a live or ended request, possibly one of the other entry."""
        for connection, (name, _) in self.connections.items():
            if name == entry:
                message = messages.Cancel(f"r{number}", 1)
                self.sidecar.receive(message, connection=connection)

    @precondition(lambda self: self.sidecar.calls())
    @rule(data=st.data(), parts=st.integers(0, 3), is_whole=st.booleans())
    def answer(self, data, parts, is_whole):
        """Delivers events of a running or ended call, possibly out of call order."""
        call = data.draw(st.sampled_from(self.sidecar.calls()[-4:]))
        self.sidecar.start(call)
        for part in range(parts):
            self.sidecar.data(f"{call.call}.{part} ", call)
        if is_whole:
            self.sidecar.end(call)

    @precondition(lambda self: self.sidecar.calls())
    @rule(data=st.data(), how=st.sampled_from(["sent", "unsent", "wrong", "early"]))
    def call_fails(self, data, how):
        call = data.draw(st.sampled_from(self.sidecar.calls()[-4:]))
        is_running = self.sidecar.core._executor.requests.find_by_call(call.call)
        if how == "wrong":
            self.sidecar.start(call, model="x@1")
        elif how == "early":
            self.sidecar.data("unchecked", call)
        else:
            if how == "unsent" and is_running:
                self.sent_orders[call.ticket] -= 1
            self.sidecar.fail(call, sent=how == "sent")

    @rule(data=st.data(), outcome=st.sampled_from(["ready", "ready", "late", "failed"]))
    def commands_end(self, data, outcome):
        """Completes or fails the pending load and unload commands."""
        engine = self.sidecar.core._engine
        for version in sorted(engine._loading, key=str):
            if outcome == "failed":
                self.sidecar.handle(inputs.AdapterLoadFailed(version, "broken"))
            else:
                boot = f"boot{self.boot - (outcome == 'late')}"
                self.sidecar.handle(inputs.AdapterLoaded(version, boot))
        for version in sorted(engine._unloading, key=str):
            self.sidecar.handle(inputs.AdapterUnloaded(version))

    @rule(is_restart=st.integers(0, 5), others=st.frozensets(VERSIONS, max_size=1))
    def report(self, is_restart, others):
        self.boot += is_restart == 5
        self.sidecar.report(f"boot{self.boot}", resident={VERSION, *others})

    @rule(data=st.data())
    def lose_connection(self, data):
        """Closes a connection; its entry reconnects and resumes all its requests."""
        connection = data.draw(st.sampled_from(sorted(self.connections)))
        entry = self.connections.pop(connection)
        self.sidecar.handle(inputs.ConnectionClosed(connection))
        self.check_effects()
        self.sidecar.connect(self.next_connection, entry=entry[0])
        self.connections[self.next_connection] = entry
        for request_id, owner in self.entry_of.items():
            if owner == entry:
                self.sidecar.receive(
                    messages.Resume(
                        request_id, 1, self.next_sequence[(entry, request_id)]
                    ),
                    connection=self.next_connection,
                )
        self.next_connection += 1

    @rule(seconds=st.sampled_from([0.05, 0.4, 3.0]))
    def time_passes(self, seconds):
        self.sidecar.now += seconds
        for connection in self.connections:
            self.sidecar.receive(messages.Heartbeat(1), connection=connection)
        self.sidecar.tick()

    @invariant()
    def guarantees_hold(self):
        self.check_effects()
        core = self.sidecar.core
        running = core._executor.requests.running()
        assert core.pins == len(running) == sum(core.load_report().running)
        for request in running:
            assert request.call is not None

    def teardown(self):
        """Ends all calls and checks that no pin and no request remains."""
        for call in self.sidecar.calls():
            self.sidecar.fail(call, sent=True)
        self.sidecar.handle(inputs.EngineReported("last", frozenset(), 0))
        self.sidecar.tick(after=60.0)
        self.check_effects()
        assert (self.sidecar.core.pins, self.sidecar.core.in_flight) == (0, 0)


SidecarStatefulTests = SidecarMachine.TestCase
SidecarStatefulTests.settings = STATEFUL
