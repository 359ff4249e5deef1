"""Property test of ``fighitch.core.entry`` against sidecars on a faulty network."""

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
    ticket,
)

TIMEOUT = 4.0
# Most steps make progress; between them anything may go wrong.
PROGRESS = ("whole", "stream", "issued", "chosen", "connect", "settle")
FAULTS = (
    "answer", "receive", "lose", "duplicate", "break", "silence", "fail_connect",
    "restart", "tick", "late", "gone", "claim",
)  # fmt: skip
ACTIONS = PROGRESS * 4 + FAULTS


class FaultyNetwork(EntryDriver):
    """Sidecars, an object API and a network that lose, repeat and cross messages."""

    def __init__(self):
        super().__init__(resources=configuration(engines=2, services=2), connect=False)
        self.ids = count(1)
        self.connections = {}
        self.owners = {}
        self.silent = set()
        self.incarnations = Counter()
        self.to_sidecars = []
        self.to_entry = []
        self.dialled = []
        self.claims = {}
        self.claim_calls = []
        self.asked = {}
        self.gone = set()
        self.made = defaultdict(set)
        self.ran = Counter()
        self.outcomes = {}
        self.refused_unrun = Counter()
        self.tick(0.2)
        while self.dialled:
            self._connect(0)

    def handle(self, event):
        new = super().handle(event)
        for effect in new:
            if isinstance(effect, Connect):
                self.dialled.append(effect.address)
            elif isinstance(effect, Disconnect):
                self.connections.pop(effect.connection, None)
            elif isinstance(effect, CreateClaim | ReadClaim):
                self.claim_calls.append(effect)
            elif isinstance(effect, Send) and isinstance(
                effect.message, Submit | Resume
            ):
                owner = self.connections.get(effect.connection)
                if owner is not None:
                    self.to_sidecars.append((effect.connection, owner, effect.message))
        return new

    def act(self, action, number):
        getattr(self, f"_{action}")(number)

    def _new(self, kind):
        request_id = f"r{next(self.ids)}"
        self.asked[request_id] = kind
        return request_id

    def _whole(self, number):
        self.send_request(self._new("whole"), timeout=TIMEOUT)

    def _stream(self, number):
        self.send_request(self._new("stream"), streamed=True, timeout=TIMEOUT)

    def _issued(self, number):
        name = f"s{number % 2}"
        key = ticket(name, incarnation=self.incarnations[name])
        self.order(self._new("order"), key, timeout=TIMEOUT)

    def _chosen(self, number):
        self.order(self._new("order"), f"key-{number % 3}", timeout=TIMEOUT)

    def _connect(self, number):
        if not self.dialled:
            return
        address = self.dialled.pop(number % len(self.dialled))
        name = address.removesuffix(":1")
        connection = next(self.ids)
        owner = (name, self.incarnations[name])
        self.connections[connection] = self.owners[connection] = owner
        self.handle(ConnectionOpened(connection, Peer(Role.SIDECAR, *owner), address))
        self._beat(connection)

    def _settle(self, number):
        """Lets everything that is on the way arrive, up to a random point."""
        for step in range(number % 40):
            for action in ("connect", "claim", "answer", "receive"):
                self.act(action, number // 40 * (step + 1))

    def _beat(self, connection):
        if connection in self.connections and connection not in self.silent:
            beat = Heartbeat(0, ticket_epoch=3, load=LoadReport((0,), (), 4))
            self.handle(MessageReceived(connection, beat))

    def _fail_connect(self, number):
        if self.dialled:
            self.handle(ConnectionFailed(self.dialled.pop(number % len(self.dialled))))

    def _break(self, number):
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
            self._beat(connection)
        self.tick(0.05 + (number % 10) / 20)

    def _late(self, number):
        self.tick(1.6)

    def _gone(self, number):
        open_ids = sorted(self.asked.keys() - self.answered.keys())
        if open_ids:
            request_id = open_ids[number % len(open_ids)]
            self.gone.add(request_id)
            self.handle(CallerGone(request_id))

    def _claim(self, number):
        if not self.claim_calls:
            return
        call = self.claim_calls.pop(number % len(self.claim_calls))
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
        """A sidecar reads any message that is on the way; perhaps a late one."""
        if not self.to_sidecars:
            return
        connection, owner, message = self.to_sidecars.pop(
            number % len(self.to_sidecars)
        )
        if owner[1] != self.incarnations[owner[0]]:
            return
        if isinstance(message, Resume):
            answers = self._rest(owner, message)
        else:
            answers = self._run(owner, message, number)
        self.to_entry += [(connection, answer) for answer in answers]

    def _run(self, owner, submit, number):
        key = (owner, submit.ticket or (submit.request_id, submit.attempt))
        if key not in self.outcomes and number % 5 == 3:
            self.refused_unrun[submit.request_id, submit.attempt] += 1
            kind = (ErrorKind.OVERLOADED, ErrorKind.DRAINING)[number % 20 == 3]
            return [self._refusal(submit, kind, RunState.NOT_RUN, number % 7)]
        if key not in self.outcomes:
            self.ran[submit.ticket or submit.request_id] += 1
            body = f"{submit.request_id}|{owner}|{submit.attempt}|".encode()
            self.outcomes[key] = (body, b"middle", b"last")
        parts = self.outcomes[key]
        self.made[submit.request_id].add(b"".join(parts))
        return build_response(submit, *parts)

    def _rest(self, owner, resume):
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
        if not self.to_entry:
            return
        # Mostly in order, sometimes crossed.
        place = number % len(self.to_entry) if number % 5 == 0 else 0
        connection, message = self.to_entry.pop(place)
        if connection in self.connections or number % 11 == 0:
            self.handle(MessageReceived(connection, message))

    def _lose(self, number):
        if self.to_entry:
            self.to_entry.pop(number % len(self.to_entry))

    def _duplicate(self, number):
        if self.to_entry:
            self.to_entry.append(self.to_entry[number % len(self.to_entry)])

    @property
    def answered(self):
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
    def test_invariants_hold_whatever_the_network_does(self, actions):
        """Guards against missing, second, mixed, partial and falsely unrun answers,
        and against an order that reaches two incarnations."""
        network = FaultyNetwork()
        for action, number in actions:
            network.act(action, number)
        for _ in range(60):
            network.tick(0.1)
        while network.to_sidecars:
            network.act("answer", 1)
        self.check_answers(network)
        self.check_run_states(network)
        self.check_orders(network)

    def check_answers(self, network):
        answered = network.answered
        for request_id in network.asked:
            expected = 0 if request_id in network.gone else 1
            self.assertEqual(answered[request_id], expected, request_id)
        streams = defaultdict(bytes)
        for effect in network.effects_of(AnswerData):
            streams[effect.request_id] += effect.data
        for effect in network.effects_of(AnswerEnded):
            self.assertFalse(effect.body and streams[effect.request_id])
            body = effect.body or streams[effect.request_id]
            self.assertIn(body, network.made[effect.request_id])
        for request_id, data in streams.items():
            made = network.made[request_id]
            self.assertTrue(any(body.startswith(data) for body in made))

    def check_run_states(self, network):
        for effect in network.effects_of(AnswerFailed):
            if effect.failure.run_state is not RunState.NOT_RUN:
                continue
            self.assertEqual(network.ran[effect.request_id], 0)
            for _, submit in network.sent_submits:
                if submit.request_id == effect.request_id:
                    refused = network.refused_unrun[submit.request_id, submit.attempt]
                    self.assertTrue(refused, submit)

    def check_orders(self, network):
        reached = defaultdict(set)
        for connection, submit in network.sent_submits:
            if network.asked[submit.request_id] == "order":
                self.assertTrue(submit.ticket)
                reached[submit.ticket].add(network.owners[connection])
        for incarnations in reached.values():
            self.assertEqual(len(incarnations), 1)
        for key, runs in network.ran.items():
            if key in reached:
                self.assertEqual(runs, 1)
