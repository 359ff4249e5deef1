"""Test driver for a sidecar core with a simulated backend server."""

import random
from dataclasses import replace

import msgspec
from hypothesis import settings

from fighitch.core import effects, inputs, messages
from fighitch.core.resources import (
    AdapterSpec,
    AdapterVersionSpec,
    BackendServerSpec,
    Kind,
    Resource,
    WeightStoreSpec,
    WorkPolicySpec,
)
from fighitch.core.sidecar import SidecarCore
from fighitch.core.sidecar.settings import SidecarSettings
from fighitch.core.tickets import SharedKey, Ticket, TicketSigner

# Settings for deterministic runs of state machines.
STATEFUL = settings(
    max_examples=100,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
)
URGENT, INTERACTIVE, BATCH = range(3)
INCARNATION = 7
VERSION = messages.AdapterVersion("a", "1")
OTHER = messages.AdapterVersion("b", "1")
ENGINE = BackendServerSpec(
    type="engine", address="", model="m", adapter_slots=2, batch_size=2
)
SERVICE = BackendServerSpec(type="service", address="", service="s", batch_size=2)
SIGNER = TicketSigner([SharedKey("k", b"secret")])


def policy(spec, revision=1):
    return Resource(
        kind=Kind.WORK_POLICY, name=f"p{spec.rank}", revision=revision, spec=spec
    )


def policies():
    specs = (
        WorkPolicySpec(rank=URGENT, idempotent=False),
        WorkPolicySpec(rank=INTERACTIVE),
        WorkPolicySpec(rank=BATCH, preemptible=True),
    )
    return [policy(spec) for spec in specs]


def adapters():
    versions = (AdapterVersionSpec(name="1", source="w/1"),)
    spec = AdapterSpec(model="m", versions=versions, default_version="1")
    return [
        Resource(kind=Kind.ADAPTER, name=name, revision=1, spec=spec) for name in "abcd"
    ]


def backend_server(revision, *, spec=ENGINE, labels=None):
    return Resource(
        kind=Kind.BACKEND_SERVER,
        name="s1",
        revision=revision,
        labels=labels or {},
        spec=spec,
    )


def sign_ticket(nonce="n", **changes):
    fields = {
        "caller": "c",
        "instance": "s1",
        "incarnation": INCARNATION,
        "epoch": 0,
        "nonce": nonce,
        **changes,
    }
    return SIGNER.sign(Ticket(**fields))


class SidecarDriver:
    """Drives a sidecar core and records its effects in ``effects``."""

    def __init__(self, *, spec=ENGINE, resident=(VERSION,), batch_size=2, **overrides):
        spec = msgspec.structs.replace(spec, batch_size=batch_size)
        self.core = SidecarCore(
            "s1",
            INCARNATION,
            spec,
            SIGNER,
            SidecarSettings(**overrides),
            random.Random(1),
        )
        self.now = 100.0
        self.effects = []
        limits = WeightStoreSpec(loads_per_second=10, max_in_transit=4)
        store = Resource(kind=Kind.WEIGHT_STORE, name="w", revision=1, spec=limits)
        self.handle(
            inputs.ConfigurationReceived(
                (*policies(), *adapters(), backend_server(1, spec=spec), store), 1
            )
        )
        if spec.type == "engine":
            self.report(resident=resident)
        self.connect(1)

    def handle(self, event, *, after=0.0):
        self.now += after
        new_effects = self.core.handle(event, now=self.now)
        self.effects += new_effects
        return new_effects

    def connect(self, connection, *, entry="e1", incarnation=1):
        peer = messages.Peer(messages.Role.ENTRY, entry, incarnation)
        return self.handle(inputs.ConnectionOpened(connection, peer))

    def receive(self, message, *, connection=1, after=0.0):
        return self.handle(inputs.MessageReceived(connection, message), after=after)

    def report(self, boot_id="boot1", *, resident=(VERSION,), token=4):
        return self.handle(inputs.EngineReported(boot_id, frozenset(resident), token))

    def submit(self, request_id="r1", *, connection=1, **changes):
        message = messages.Submit(
            request_id=request_id,
            attempt=1,
            caller="c",
            rank=INTERACTIVE,
            adapter_version=VERSION,
            path="/v1/completions",
            body=b"{}",
            remaining=30_000,
            streamed=True,
        )
        return self.receive(replace(message, **changes), connection=connection)

    def order(self, request_id="o1", *, ticket=None, **changes):
        fields = {
            "rank": URGENT,
            "idempotent": False,
            "adapter_version": None,
            "ticket": sign_ticket() if ticket is None else ticket,
            "body_digest": "d",
            "streamed": False,
            **changes,
        }
        return self.submit(request_id, **fields)

    def calls(self):
        return [item for item in self.effects if isinstance(item, effects.CallBackend)]

    def last_call(self):
        return self.calls()[-1]

    def cancelled(self):
        return [
            item.call
            for item in self.effects
            if isinstance(item, effects.CancelBackend)
        ]

    def sent(self, kind, *, connection=None):
        return [
            item.message
            for item in self.effects
            if isinstance(item, effects.Send)
            and isinstance(item.message, kind)
            and connection in (None, item.connection)
        ]

    def logged(self, name):
        return [
            item
            for item in self.effects
            if isinstance(item, effects.LogEvent) and item.name == name
        ]

    def effects_of(self, kind):
        return [item for item in self.effects if isinstance(item, kind)]

    def start(self, call=None, *, model=None, status=200, is_continuable=True):
        call = call or self.last_call()
        version = call.adapter_version
        model = (str(version) if version else "") if model is None else model
        return self.handle(
            inputs.BackendStarted(
                call.request_id,
                call.attempt,
                call.call,
                status,
                model,
                is_continuable=is_continuable,
            )
        )

    def data(self, text, call=None, *, data=None, tokens=1):
        call = call or self.last_call()
        data = text.encode() if data is None else data
        return self.handle(
            inputs.BackendData(
                call.request_id, call.attempt, call.call, data, text, tokens
            )
        )

    def end(self, call=None, *, after=0.0):
        call = call or self.last_call()
        event = inputs.BackendEnded(call.request_id, call.attempt, call.call)
        return self.handle(event, after=after)

    def fail(self, call=None, *, sent):
        call = call or self.last_call()
        return self.handle(
            inputs.BackendFailed(
                call.request_id, call.attempt, call.call, sent, "broken"
            )
        )

    def tick(self, *, after=0.0):
        return self.handle(inputs.Tick(), after=after)

    def keep_alive(self, seconds, *, connection=1):
        """Advances time while the entry sends heartbeats."""
        for _ in range(round(seconds / 0.5)):
            self.receive(messages.Heartbeat(1), connection=connection, after=0.5)
            self.tick()
