"""Helpers shared by the tests of the entry."""

import hashlib
import random

import xxhash

from fighitch.core.effects import AnswerEnded, AnswerFailed, Connect, LogEvent, Send
from fighitch.core.entry import EntryCore
from fighitch.core.inputs import (
    CallerRequest,
    ConfigurationReceived,
    ConnectionOpened,
    MessageReceived,
    Tick,
)
from fighitch.core.messages import Chunk, End, Heartbeat, LoadReport, Peer, Role
from fighitch.core.resources import (
    AdapterSpec,
    AdapterVersionSpec,
    BackendServerSpec,
    CallerSpec,
    Kind,
    Resource,
    WorkPolicySpec,
)
from fighitch.core.tickets import SharedKey, Ticket, TicketSigner

KEY_DIGEST = hashlib.sha256(b"bearer").hexdigest()
SIGNER = TicketSigner([SharedKey("k1", b"secret")])
ZONES = ("a", "b", "c")
INCARNATION = 100


def resource(kind, name, spec, **labels):
    return Resource(kind=kind, name=name, revision=1, labels=labels, spec=spec)


def server(name, *, zone="a", kind="engine", batch_size=4, region="r", **labels):
    spec = BackendServerSpec(
        type=kind,
        address=f"{name}:1",
        availability_zone=zone,
        region=region,
        model="m" if kind == "engine" else "",
        service="" if kind == "engine" else "desk",
        batch_size=batch_size,
    )
    return resource(Kind.BACKEND_SERVER, name, spec, **labels)


def configuration(*, engines=3, services=2, max_in_flight=0):
    adapter = AdapterSpec(
        model="m",
        versions=(AdapterVersionSpec(name="1"), AdapterVersionSpec(name="2")),
        default_version="2",
    )
    caller = CallerSpec(key_digests=(KEY_DIGEST,), max_in_flight=max_in_flight)
    order = WorkPolicySpec(rank=0, target_selector="!tuned", idempotent=False)
    return (
        resource(Kind.CALLER, "caller", caller),
        resource(Kind.ADAPTER, "ad", adapter, tuned="yes"),
        resource(Kind.WORK_POLICY, "order", order),
        resource(Kind.WORK_POLICY, "lookup", WorkPolicySpec(rank=1)),
        *(server(f"e{n}", zone=ZONES[n % 3]) for n in range(engines)),
        *(server(f"s{n}", zone=ZONES[n], kind="service") for n in range(services)),
    )


class EntryDriver:
    """Passes inputs to an ``EntryCore`` and records its effects."""

    def __init__(self, *, resources=None, connect=True, **options):
        self.core = EntryCore(
            "entry",
            7,
            signer=SIGNER,
            rng=random.Random(20261204),
            availability_zone="a",
            region="r",
            **options,
        )
        self.now = 0.0
        self.effects = []
        self.addresses = {}
        if resources is None:
            resources = configuration()
        if resources:
            self.handle(ConfigurationReceived(tuple(resources), 10))
        if connect:
            self.tick(0.2)
            for effect in self.effects_of(Connect):
                self.open(effect.address)

    def handle(self, event):
        new = self.core.handle(event, now=self.now)
        self.effects += new
        return new

    def tick(self, seconds=0.05):
        self.now += seconds
        return self.handle(Tick())

    def open(self, address, *, incarnation=INCARNATION, name=None, heartbeat=True):
        name = name or address.removesuffix(":1")
        connection = len(self.addresses) + 1
        self.addresses[connection] = name
        self.handle(
            ConnectionOpened(connection, Peer(Role.SIDECAR, name, incarnation), address)
        )
        if heartbeat:
            self.heartbeat(name)
        return connection

    def connection(self, name):
        return max(c for c, owner in self.addresses.items() if owner == name)

    def receive(self, name, message):
        return self.handle(MessageReceived(self.connection(name), message))

    def heartbeat(self, name, *, running=0, resident=(), **fields):
        load = LoadReport((running,), (), 4, frozenset(resident))
        return self.receive(name, Heartbeat(0, load=load, ticket_epoch=3, **fields))

    def keep_alive(self, seconds):
        """Advances the time while every sidecar sends heartbeats."""
        for _ in range(round(seconds / 0.5)):
            for name in set(self.addresses.values()):
                self.heartbeat(name)
            self.tick(0.5)

    def send_request(self, request_id="r1", **fields):
        fields = {"model": "ad", "service": "", **fields}
        return self.handle(
            CallerRequest(
                request_id, fields.pop("key_digest", KEY_DIGEST), path="/x",
                body=b"question", **fields,
            )
        )  # fmt: skip

    def send_order(self, request_id="r1", key="", **fields):
        return self.send_request(
            request_id, model="", service="desk", idempotency_key=key, **fields
        )

    def effects_of(self, kind):
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def sent(self, kind):
        return [
            (self.addresses[effect.connection], effect.message)
            for effect in self.effects_of(Send)
            if isinstance(effect.message, kind)
        ]

    def logged(self, name):
        return [dict(e.fields) for e in self.effects_of(LogEvent) if e.name == name]

    @property
    def failure(self):
        return self.effects_of(AnswerFailed)[-1].failure

    @property
    def answer(self):
        return self.effects_of(AnswerEnded)[-1]


def build_response(submit, *parts, attempt=None, model=None, status=200):
    """Returns the chunks and the end of a response to a submitted request."""
    attempt = attempt or submit.attempt
    version = submit.adapter_version
    model = model if model is not None else str(version) if version else ""
    chunks = [
        Chunk(submit.request_id, attempt, number, part, status)
        for number, part in enumerate(parts)
    ]
    data = b"".join(parts)
    digest = xxhash.xxh3_64_intdigest(data)
    end = End(
        submit.request_id, attempt, status, len(parts), len(data), digest, model=model
    )
    return [*chunks, end]


def sign_ticket(name="s0", *, caller="caller", incarnation=INCARNATION):
    return SIGNER.sign(Ticket(caller, name, incarnation, 3, "nonce"))
