"""Property-based test of ``fighitch.core.entry`` with simulated network faults."""

import unittest
from collections import Counter, defaultdict
from itertools import count

from hypothesis import HealthCheck, given, settings, strategies as st

from fighitch.core.effects import (
    AnswerData,
    AnswerEnded,
    AnswerFailed,
    Connect,
    CreateClaim,
    Disconnect,
    ReadClaim,
    Send,
)
from fighitch.core.errors import ErrorKind, RunState
from fighitch.core.inputs import (
    CallerGone,
    ClaimAnswered,
    ClaimStatus,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    MessageReceived,
)
from fighitch.core.messages import (
    Heartbeat,
    LoadReport,
    Peer,
    Refused,
    Resume,
    Role,
    Submit,
)
from fighitch.tests.entry_helpers import (
    EntryDriver,
    build_response,
    configuration,
    sign_ticket,
)

TIMEOUT = 4.0
# Progress actions are repeated, so that most steps make progress between faults.
PROGRESS = ("whole", "stream", "issued", "chosen", "connect", "deliver")
FAULTS = (
    "answer", "receive", "lose", "duplicate", "close", "silence", "fail_connect",
    "restart", "tick", "long_tick", "caller_gone", "claim",
)  # fmt: skip
ACTIONS = PROGRESS * 4 + FAULTS


class FaultyNetwork(EntryDriver):
    """Simulates sidecars, an object API and a network.

    Messages and responses may be lost, duplicated or reordered.
    """

    def __init__(self):
        super().__init__(resources=configuration(engines=2, services=2), connect=False)
        self.ids = count(1)
        self.connections = {}
        self.owners = {}
        self.silent = set()
        self.incarnations = Counter()
        self.pending_to_sidecars = []
        self.pending_to_entry = []
        self.connecting = []
        self.claims = {}
        self.pending_claim_calls = []
        self.request_kinds = {}
        self.disconnected_callers = set()
        self.response_bodies = defaultdict(set)
        self.run_counts = Counter()
        self.outcomes = {}
        self.refused_as_not_run = Counter()
        self.tick(0.2)
        while self.connecting:
            self._connect(0)

    def handle(self, event):
        new = super().handle(event)
        for effect in new:
            if isinstance(effect, Connect):
                self.connecting.append(effect.address)
            elif isinstance(effect, Disconnect):
                self.connections.pop(effect.connection, None)
            elif isinstance(effect, CreateClaim | ReadClaim):
                self.pending_claim_calls.append(effect)
            elif isinstance(effect, Send) and isinstance(
                effect.message, Submit | Resume
            ):
                owner = self.connections.get(effect.connection)
                if owner is not None:
                    self.pending_to_sidecars.append(
                        (effect.connection, owner, effect.message)
                    )
        return new

    def perform(self, action, number):
        getattr(self, f"_{action}")(number)

    def _new_request_id(self, kind):
        request_id = f"r{next(self.ids)}"
        self.request_kinds[request_id] = kind
        return request_id

    def _whole(self, number):
        self.send_request(self._new_request_id("whole"), timeout=TIMEOUT)

    def _stream(self, number):
        self.send_request(
            self._new_request_id("stream"), streamed=True, timeout=TIMEOUT
        )

    def _issued(self, number):
        name = f"s{number % 2}"
        key = sign_ticket(name, incarnation=self.incarnations[name])
        self.send_order(self._new_request_id("order"), key, timeout=TIMEOUT)

    def _chosen(self, number):
        self.send_order(
            self._new_request_id("order"), f"key-{number % 3}", timeout=TIMEOUT
        )

    def _connect(self, number):
        if not self.connecting:
            return
        address = self.connecting.pop(number % len(self.connecting))
        name = address.removesuffix(":1")
        connection = next(self.ids)
        owner = (name, self.incarnations[name])
        self.connections[connection] = self.owners[connection] = owner
        self.handle(ConnectionOpened(connection, Peer(Role.SIDECAR, *owner), address))
        self._send_heartbeat(connection)

    def _deliver(self, number):
        """Delivers a random number of the pending connects, calls and messages."""
        for step in range(number % 40):
            for action in ("connect", "claim", "answer", "receive"):
                self.perform(action, number // 40 * (step + 1))

    def _send_heartbeat(self, connection):
        if connection in self.connections and connection not in self.silent:
            heartbeat = Heartbeat(0, ticket_epoch=3, load=LoadReport((0,), (), 4))
            self.handle(MessageReceived(connection, heartbeat))

    def _fail_connect(self, number):
        if self.connecting:
            self.handle(
                ConnectionFailed(self.connecting.pop(number % len(self.connecting)))
            )

    def _close(self, number):
        if self.connections:
            connection = sorted(self.connections)[number % len(self.connections)]
            del self.connections[connection]
            self.handle(ConnectionClosed(connection))

    def _silence(self, number):
        if self.connections:
            self.silent.add(sorted(self.connections)[number % len(self.connections)])

    def _restart(self, number):
        name = ("e0", "e1", "s0", "s1")[number % 4]
        self.incarnations[name] += 1
        for connection, owner in list(self.connections.items()):
            if owner[0] == name and connection in self.connections:
                del self.connections[connection]
                self.handle(ConnectionClosed(connection))

    def _tick(self, number):
        for connection in sorted(self.connections):
            self._send_heartbeat(connection)
        self.tick(0.05 + (number % 10) / 20)

    def _long_tick(self, number):
        self.tick(1.6)

    def _caller_gone(self, number):
        open_ids = sorted(self.request_kinds.keys() - self.response_counts.keys())
        if open_ids:
            request_id = open_ids[number % len(open_ids)]
            self.disconnected_callers.add(request_id)
            self.handle(CallerGone(request_id))

    def _claim(self, number):
        if not self.pending_claim_calls:
            return
        call = self.pending_claim_calls.pop(number % len(self.pending_claim_calls))
        took_effect = number % 4 != 1
        status = ClaimStatus.UNAVAILABLE
        if isinstance(call, CreateClaim) and took_effect:
            existed = call.name in self.claims
            self.claims.setdefault(call.name, call.ticket)
            status = ClaimStatus.EXISTS if existed else ClaimStatus.CREATED
        elif isinstance(call, ReadClaim):
            found = call.name in self.claims
            status = ClaimStatus.EXISTS if found else ClaimStatus.NOT_FOUND
        if number % 4 in (1, 2):
            status = ClaimStatus.ANSWER_LOST
        if number % 16 == 15:
            status = ClaimStatus.UNAVAILABLE
        text = self.claims.get(call.name, "")
        self.handle(ClaimAnswered(call.request_id, call.name, status, text))

    def _answer(self, number):
        """Lets a sidecar read any pending message, possibly out of order."""
        if not self.pending_to_sidecars:
            return
        connection, owner, message = self.pending_to_sidecars.pop(
            number % len(self.pending_to_sidecars)
        )
        if owner[1] != self.incarnations[owner[0]]:
            return
        if isinstance(message, Resume):
            answers = self._remaining_chunks(owner, message)
        else:
            answers = self._run(owner, message, number)
        self.pending_to_entry += [(connection, answer) for answer in answers]

    def _run(self, owner, submit, number):
        key = (owner, submit.ticket or (submit.request_id, submit.attempt))
        if key not in self.outcomes and number % 5 == 3:
            self.refused_as_not_run[submit.request_id, submit.attempt] += 1
            kind = (ErrorKind.OVERLOADED, ErrorKind.DRAINING)[number % 20 == 3]
            return [self._refusal(submit, kind, RunState.NOT_RUN, number % 7)]
        if key not in self.outcomes:
            self.run_counts[submit.ticket or submit.request_id] += 1
            body = f"{submit.request_id}|{owner}|{submit.attempt}|".encode()
            self.outcomes[key] = (body, b"middle", b"last")
        parts = self.outcomes[key]
        self.response_bodies[submit.request_id].add(b"".join(parts))
        return build_response(submit, *parts)

    def _remaining_chunks(self, owner, resume):
        key = (owner, (resume.request_id, resume.attempt))
        submit = next(
            message
            for _, message in reversed(self.sent_submits)
            if (message.request_id, message.attempt)
            == (resume.request_id, resume.attempt)
        )
        if submit.ticket:
            key = (owner, submit.ticket)
        if key not in self.outcomes:
            return [self._refusal(resume, ErrorKind.BACKEND_FAILED, RunState.NOT_RUN)]
        return build_response(submit, *self.outcomes[key])[resume.next_sequence :]

    def _refusal(self, message, kind, run_state, retry_after=0):
        return Refused(
            message.request_id, message.attempt, kind, run_state, "", retry_after
        )

    def _receive(self, number):
        if not self.pending_to_entry:
            return
        # One in five messages may be delivered out of order.
        place = number % len(self.pending_to_entry) if number % 5 == 0 else 0
        connection, message = self.pending_to_entry.pop(place)
        if connection in self.connections or number % 11 == 0:
            self.handle(MessageReceived(connection, message))

    def _lose(self, number):
        if self.pending_to_entry:
            self.pending_to_entry.pop(number % len(self.pending_to_entry))

    def _duplicate(self, number):
        if self.pending_to_entry:
            self.pending_to_entry.append(
                self.pending_to_entry[number % len(self.pending_to_entry)]
            )

    @property
    def response_counts(self):
        return Counter(
            effect.request_id
            for effect in self.effects_of(AnswerEnded) + self.effects_of(AnswerFailed)
        )

    @property
    def sent_submits(self):
        return [
            (effect.connection, effect.message)
            for effect in self.effects_of(Send)
            if isinstance(effect.message, Submit)
        ]


class PropertyTests(unittest.TestCase):
    @settings(
        max_examples=150,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.lists(
            st.tuples(st.sampled_from(ACTIONS), st.integers(0, 1_000)),
            min_size=20,
            max_size=120,
        )
    )
    def test_invariants_hold_under_network_faults(self, actions):
        """Guards against violations of the guarantees to callers.

        Each request gets exactly one complete response of its own, "not run" is true,
        and an order reaches one incarnation only.
        """
        network = FaultyNetwork()
        for action, number in actions:
            network.perform(action, number)
        for _ in range(60):
            network.tick(0.1)
        while network.pending_to_sidecars:
            network.perform("answer", 1)
        self.check_responses(network)
        self.check_run_states(network)
        self.check_orders(network)

    def check_responses(self, network):
        response_counts = network.response_counts
        for request_id in network.request_kinds:
            expected = 0 if request_id in network.disconnected_callers else 1
            self.assertEqual(response_counts[request_id], expected, request_id)
        streams = defaultdict(bytes)
        for effect in network.effects_of(AnswerData):
            streams[effect.request_id] += effect.data
        for effect in network.effects_of(AnswerEnded):
            self.assertFalse(effect.body and streams[effect.request_id])
            body = effect.body or streams[effect.request_id]
            self.assertIn(body, network.response_bodies[effect.request_id])
        for request_id, data in streams.items():
            bodies = network.response_bodies[request_id]
            self.assertTrue(any(body.startswith(data) for body in bodies))

    def check_run_states(self, network):
        for effect in network.effects_of(AnswerFailed):
            if effect.failure.run_state is not RunState.NOT_RUN:
                continue
            self.assertEqual(network.run_counts[effect.request_id], 0)
            for _, submit in network.sent_submits:
                if submit.request_id == effect.request_id:
                    refused = network.refused_as_not_run[
                        submit.request_id, submit.attempt
                    ]
                    self.assertTrue(refused, submit)

    def check_orders(self, network):
        reached = defaultdict(set)
        for connection, submit in network.sent_submits:
            if network.request_kinds[submit.request_id] == "order":
                self.assertTrue(submit.ticket)
                reached[submit.ticket].add(network.owners[connection])
        for incarnations in reached.values():
            self.assertEqual(len(incarnations), 1)
        for key, runs in network.run_counts.items():
            if key in reached:
                self.assertEqual(runs, 1)
