"""Backend servers and an object API without sockets, on the clock of a simulation."""

import hashlib
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from fighitch.core.configuration import ConfigurationStore
from fighitch.core.effects import (
    CallBackend,
    CancelBackend,
    CreateClaim,
    LoadAdapter,
    ReadClaim,
    UnloadAdapter,
)
from fighitch.core.inputs import (
    AdapterLoaded,
    AdapterLoadFailed,
    AdapterUnloaded,
    BackendData,
    BackendEnded,
    BackendFailed,
    BackendStarted,
    BackendUnreachable,
    ClaimAnswered,
    ClaimStatus,
    EngineReported,
)
from fighitch.core.messages import AdapterVersion
from fighitch.core.resources import Resource
from fighitch.types import Revision, Seconds
from standins.engine_model import generated_text, token_text

CALL_LATENCY: Seconds = 0.001
TOKEN: Seconds = 0.02
LOAD: Seconds = 0.25
SERVICE_RUN: Seconds = 0.2
CLAIM_TIMEOUT: Seconds = 1.0
STATUS_TIMEOUT: Seconds = 2.0
SERVICE_TIMEOUT: Seconds = 60.0
API_LATENCY: Seconds = 0.005
API_SLOW: Seconds = 3.0
_BASE = "base-1"


class Clock(Protocol):
    """What backend servers need of the simulation."""

    now: Seconds

    def call_later(self, delay: Seconds, action: Callable[[], None]) -> None:
        """Runs an action after a delay."""


class Client(Protocol):
    """The sidecar process that made a call."""

    def deliver(self, event: Any) -> None:
        """Hands an input to the process, unless it is dead."""


@dataclass(eq=False)
class Run:
    """One call at a backend server.

    Attributes:
        call: What was asked.
        client: Process that asked.
        index: Next token of an engine.
        is_cut: Whether the client gets no more events.
    """

    call: CallBackend
    client: Client
    index: int = 0
    is_cut: bool = False


@dataclass(eq=False)
class MemoryBackend:
    """An engine or a plain service that counts what it ran.

    Attributes:
        name: Name of the backend server.
        clock: Clock of the simulation.
        is_engine: Whether it has adapters.
        is_up: Whether it takes connections.
        is_frozen: Whether it does nothing, with open connections.
        is_link_silent: Whether nothing gets through between it and its sidecar.
        slowdown: Factor on the duration of its work.
        fail_loads: Whether loads fail.
        lose_answers: Answers that are lost after the effect.
        boot: Counts its starts.
        resident: Adapter versions that are loaded.
        runs: Runs by request id or, for orders, by ticket.
        models: Versions that ran, by request id.
        call_starts: Time and request id of every call that began.
        unloads_in_use: Unloads of a version that a call was running on.
        open: Calls under way.
        loads_slow: Factor on the duration of loads.
        falls_back_to_base: Whether it runs the base model in place of a version that is not
            loaded, instead of refusing the call.
    """

    name: str
    clock: Clock
    is_engine: bool
    is_up: bool = True
    is_frozen: bool = False
    is_link_silent: bool = False
    slowdown: float = 1.0
    fail_loads: bool = False
    lose_answers: int = 0
    boot: int = 1
    token: int = 0
    resident: set[str] = field(default_factory=set)
    runs: Counter[str] = field(default_factory=Counter)
    models: dict[str, set[str]] = field(default_factory=dict)
    call_starts: list[tuple[Seconds, str]] = field(default_factory=list)
    unloads_in_use: int = 0
    open: dict[tuple[int, int], Run] = field(default_factory=dict)
    loads_slow: float = 1.0
    falls_back_to_base: bool = False

    # --- From the sidecar ---

    def call(self, call: CallBackend, client: Client) -> None:
        """Takes a call."""
        run = Run(call, client, index=call.generated_tokens)
        if not self.is_up:
            ids = (call.request_id, call.attempt, call.call)
            self._later(
                CALL_LATENCY,
                lambda: client.deliver(
                    BackendFailed(*ids, False, "connection refused")
                ),
            )
            return
        self.open[id(client), call.call] = run
        self._later(CALL_LATENCY, lambda: self._begin(run))
        if not self.is_engine:
            self._later(SERVICE_TIMEOUT, lambda: self._cut(run, "timeout"))

    def cancel(self, effect: CancelBackend, client: Client) -> None:
        """Takes the end of a call's connection."""
        run = self.open.pop((id(client), effect.call), None)
        if run is not None:
            run.is_cut = True

    def load(self, effect: LoadAdapter, client: Client) -> None:
        """Takes a load command."""
        version, boot = effect.adapter_version, self.boot

        def end() -> None:
            if self._is_stuck:
                self._later(TOKEN, end)
            elif not self.is_up or self.fail_loads or boot != self.boot:
                client.deliver(AdapterLoadFailed(version, "the load failed"))
            else:
                self.token = max(self.token, effect.fencing_token)
                self.resident.add(str(version))
                client.deliver(AdapterLoaded(version, f"{self.name}-{boot}"))

        self._later(LOAD * self.loads_slow, end)

    def unload(self, effect: UnloadAdapter, client: Client) -> None:
        """Takes an unload command."""
        version = effect.adapter_version
        running = {
            str(run.call.adapter_version)
            for run in self.open.values()
            if not run.is_cut
        }
        self.unloads_in_use += str(version) in running
        self.resident.discard(str(version))
        self._later(CALL_LATENCY, lambda: client.deliver(AdapterUnloaded(version)))

    def status(self, client: Client, on_done: Callable[[], None]) -> None:
        """Takes a status call."""
        asked = self.clock.now

        def answer() -> None:
            if not self.is_up:
                client.deliver(BackendUnreachable("connection refused"))
            elif self._is_stuck:
                if self.clock.now - asked < STATUS_TIMEOUT:
                    self._later(TOKEN, answer)
                    return
                client.deliver(BackendUnreachable("timeout"))
            else:
                client.deliver(self._report())
            on_done()

        self._later(CALL_LATENCY, answer)

    # --- Faults ---

    def kill(self) -> None:
        """Ends the backend server; it loses everything that it holds in memory."""
        self.is_up = False
        self.cut_connections()
        self.resident.clear()
        self.token = 0
        self.boot += 1

    def restart(self) -> None:
        """Restarts cold at once."""
        self.kill()
        self.is_up = True

    def cut_connections(self) -> None:
        """Resets the connections of all calls."""
        for run in list(self.open.values()):
            self._cut(run, "connection reset")

    def silence(self) -> None:
        """Swallows all further bytes of the open connections; new ones are stuck."""
        self.is_link_silent = True
        for run in self.open.values():
            run.is_cut = True

    # --- Running ---

    @property
    def _is_stuck(self) -> bool:
        return self.is_frozen or self.is_link_silent

    def _later(self, delay: Seconds, action: Callable[[], None]) -> None:
        self.clock.call_later(delay, action)

    def _cut(self, run: Run, detail: str) -> None:
        if self.open.pop((id(run.client), run.call.call), None) is None:
            return
        run.is_cut = True
        call = run.call
        ids = (call.request_id, call.attempt, call.call)
        run.client.deliver(BackendFailed(*ids, True, detail))

    def _begin(self, run: Run) -> None:
        if run.is_cut:
            return
        if self._is_stuck:
            self._later(TOKEN, lambda: self._begin(run))
            return
        call = run.call
        key = call.ticket or call.request_id
        if call.generated_tokens == 0:
            self.runs[key] += 1
        self.call_starts.append((self.clock.now, call.request_id))
        if not self.is_engine:
            self._later(SERVICE_RUN * self.slowdown, lambda: self._end_service(run))
            return
        if (
            str(call.adapter_version) not in self.resident
            and not self.falls_back_to_base
        ):
            self.runs[key] -= call.generated_tokens == 0
            self._answer(run, 404, "", b'{"error":"not loaded"}', "")
            self._close(run)
            return
        self.models.setdefault(call.request_id, set()).add(self._model_of(call))
        self._later(TOKEN * self.slowdown, lambda: self._step(run))

    def _end_service(self, run: Run) -> None:
        if self._is_stuck:
            self._later(TOKEN, lambda: self._end_service(run))
            return
        if run.is_cut:
            return
        if self.lose_answers:
            self.lose_answers -= 1
            self._cut(run, "the answer was lost")
            return
        self._answer(run, 200, "", service_answer(run.call.body), "")
        self._close(run)

    def _step(self, run: Run) -> None:
        if run.is_cut:
            return
        if self._is_stuck:
            self._later(TOKEN, lambda: self._step(run))
            return
        call, model = run.call, self._model_of(run.call)
        prompt, count = prompt_of(call.body)
        if self.lose_answers and run.index >= count // 2:
            self.lose_answers -= 1
            self._cut(run, "the answer was lost")
            return
        if call.streamed and run.index < count:
            text = token_text(model, prompt, run.index)
            is_first = run.index == call.generated_tokens
            self._answer(run, 200 if is_first else 0, model, text.encode(), text)
        run.index += 1
        if run.index < count:
            self._later(TOKEN * self.slowdown, lambda: self._step(run))
            return
        if not call.streamed:
            text = generated_text(model, prompt, call.generated_tokens, count)
            self._answer(run, 200, model, text.encode(), text)
        self._close(run)

    def _model_of(self, call: CallBackend) -> str:
        version = str(call.adapter_version)
        return (
            version
            if version in self.resident or not self.falls_back_to_base
            else _BASE
        )

    def _answer(
        self, run: Run, status: int, model: str, data: bytes, text: str
    ) -> None:
        call = run.call
        ids = (call.request_id, call.attempt, call.call)
        if status:
            run.client.deliver(BackendStarted(*ids, status, model))
        run.client.deliver(BackendData(*ids, data, text, 1))

    def _close(self, run: Run) -> None:
        call = run.call
        self.open.pop((id(run.client), call.call), None)
        run.client.deliver(BackendEnded(call.request_id, call.attempt, call.call))

    def _report(self) -> EngineReported:
        resident = frozenset(
            AdapterVersion(*name.split("@", 1)) for name in self.resident
        )
        return EngineReported(f"{self.name}-{self.boot}", resident, self.token)


@dataclass(eq=False)
class MemoryObjectApi:
    """Claims and the change sequence of the configuration.

    Attributes:
        clock: Clock of the simulation.
        is_up: Whether it answers.
        is_slow: Whether a call takes 3 s.
        lose_answers: Writes that take effect but are not answered.
    """

    clock: Clock
    is_up: bool = True
    is_slow: bool = False
    lose_answers: int = 0
    claims: dict[str, str] = field(default_factory=dict)
    store: ConfigurationStore = field(default_factory=ConfigurationStore)

    @property
    def revision(self) -> Revision:
        """Revision of the last change."""
        return self.store.revision

    @property
    def latency(self) -> Seconds:
        """Duration of a call."""
        return API_SLOW if self.is_slow else API_LATENCY

    def claim(self, effect: CreateClaim | ReadClaim, client: Client) -> None:
        """Takes a call about a claim; a slow one is given up before it is answered."""
        is_done = False

        def answer(status: ClaimStatus, ticket: str = "") -> None:
            nonlocal is_done
            if not is_done:
                is_done = True
                name = effect.name
                client.deliver(ClaimAnswered(effect.request_id, name, status, ticket))

        is_write = isinstance(effect, CreateClaim)
        if not self.is_up:
            self.clock.call_later(CALL_LATENCY, lambda: answer(ClaimStatus.UNAVAILABLE))
            return

        def run() -> None:
            held = self.claims.get(effect.name)
            if isinstance(effect, ReadClaim):
                found = ClaimStatus.EXISTS if held else ClaimStatus.NOT_FOUND
                answer(found, held or "")
            elif held is not None:
                answer(ClaimStatus.EXISTS, held)
            else:
                self.claims[effect.name] = effect.ticket
                if self.lose_answers:
                    self.lose_answers -= 1
                    answer(ClaimStatus.ANSWER_LOST)
                answer(ClaimStatus.CREATED, effect.ticket)

        given_up = ClaimStatus.ANSWER_LOST if is_write else ClaimStatus.UNAVAILABLE
        self.clock.call_later(self.latency, run)
        self.clock.call_later(CLAIM_TIMEOUT, lambda: answer(given_up))

    def write(self, *resources: Resource) -> tuple[Resource, ...]:
        """Commits changes and returns them with their revisions."""
        written = []
        for resource in resources:
            revision = self.revision + 1
            item = msgspec.structs.replace(resource, revision=revision)
            self.store.merge((item,), revision=revision, base=self.revision)
            written.append(item)
        return tuple(written)


def prompt_of(body: bytes) -> tuple[str, int]:
    """Returns the prompt and the number of tokens that a body asks for."""
    document = json.loads(body)
    return document["prompt"], document["max_tokens"]


def service_answer(body: bytes) -> bytes:
    """Returns the answer of a plain service to a body."""
    return json.dumps({"body_sha256": hashlib.sha256(body).hexdigest()}).encode()


def with_default(adapter: Resource, version: str) -> Resource:
    """Returns an adapter with another default version."""
    spec = msgspec.structs.replace(adapter.spec, default_version=version)
    return msgspec.structs.replace(adapter, spec=spec)
