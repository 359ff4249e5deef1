"""Simulated backend servers and object API for the in-memory network."""

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
TOKEN_SECONDS: Seconds = 0.02
LOAD_SECONDS: Seconds = 0.25
SERVICE_RUN_SECONDS: Seconds = 0.2
CLAIM_TIMEOUT: Seconds = 1.0
STATUS_TIMEOUT: Seconds = 2.0
SERVICE_TIMEOUT: Seconds = 60.0
API_LATENCY: Seconds = 0.005
SLOW_API_LATENCY: Seconds = 3.0
_BASE_MODEL = "base-1"


class Clock(Protocol):
    """Part of the simulated network that backend servers and the object API use."""

    now: Seconds

    def call_later(self, delay: Seconds, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""


class CallingProcess(Protocol):
    """Process that made a call: a sidecar, or an entry for a claim."""

    def deliver(self, event: Any) -> None:
        """Passes an input to the process unless it is dead."""


@dataclass(eq=False)
class BackendRun:
    """A call that a backend server handles.

    Attributes:
        call: Effect that made the call.
        client: Process that made the call.
        index: Index of the next token that an engine generates.
        is_cut: Whether the connection is broken, so that the client gets no events.
    """

    call: CallBackend
    client: CallingProcess
    index: int = 0
    is_cut: bool = False


@dataclass(eq=False)
class MemoryBackend:
    """A simulated engine or plain service that counts its runs.

    Attributes:
        name: Name of the backend server.
        clock: Clock of the simulation.
        is_engine: Whether it is an engine and not a plain service.
        is_up: Whether it accepts connections.
        is_frozen: Whether it is paused while its connections stay open.
        is_link_silent: Whether no data passes between it and its sidecar.
        slowdown: Factor on the duration of runs.
        fail_loads: Whether adapter loads fail.
        lose_answers: Number of next responses that are lost after the request ran.
        boot: Number of starts.
        token: Highest fencing token of a completed load; 0 after a restart.
        resident: Loaded adapter versions.
        runs: Number of runs by request id or, for orders, by ticket.
        models: Adapter versions that ran a request, by request id.
        call_starts: Time and request id of every started call.
        unloads_in_use: Number of unloads of a version that a call was using.
        open: Calls in flight, by client and call number.
        load_slowdown: Factor on the duration of adapter loads.
        falls_back_to_base: Whether it runs the base model for a version that is not
            loaded, instead of rejecting the call.
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
    open: dict[tuple[int, int], BackendRun] = field(default_factory=dict)
    load_slowdown: float = 1.0
    falls_back_to_base: bool = False

    # --- Calls of the sidecar ---

    def call(self, call: CallBackend, client: CallingProcess) -> None:
        """Accepts a call; fails it if the backend server is down."""
        run = BackendRun(call, client, index=call.generated_tokens)
        if not self.is_up:
            ids = (call.request_id, call.attempt, call.call)
            self._call_later(
                CALL_LATENCY,
                lambda: client.deliver(
                    BackendFailed(*ids, False, "connection refused")
                ),
            )
            return
        self.open[id(client), call.call] = run
        self._call_later(CALL_LATENCY, lambda: self._start_call(run))
        if not self.is_engine:
            self._call_later(
                SERVICE_TIMEOUT, lambda: self._break_connection(run, "timeout")
            )

    def cancel(self, effect: CancelBackend, client: CallingProcess) -> None:
        """Handles the disconnect of a cancelled call."""
        run = self.open.pop((id(client), effect.call), None)
        if run is not None:
            run.is_cut = True

    def load(self, effect: LoadAdapter, client: CallingProcess) -> None:
        """Handles a command to load an adapter version."""
        version, boot = effect.adapter_version, self.boot

        def complete() -> None:
            if self._is_unresponsive:
                self._call_later(TOKEN_SECONDS, complete)
            elif not self.is_up or self.fail_loads or boot != self.boot:
                client.deliver(AdapterLoadFailed(version, "load failed"))
            else:
                self.token = max(self.token, effect.fencing_token)
                self.resident.add(str(version))
                client.deliver(AdapterLoaded(version, f"{self.name}-{boot}"))

        self._call_later(LOAD_SECONDS * self.load_slowdown, complete)

    def unload(self, effect: UnloadAdapter, client: CallingProcess) -> None:
        """Handles a command to unload an adapter version."""
        version = effect.adapter_version
        running = {
            str(run.call.adapter_version)
            for run in self.open.values()
            if not run.is_cut
        }
        self.unloads_in_use += str(version) in running
        self.resident.discard(str(version))
        self._call_later(CALL_LATENCY, lambda: client.deliver(AdapterUnloaded(version)))

    def status(self, client: CallingProcess, on_done: Callable[[], None]) -> None:
        """Handles a status call and calls ``on_done`` after its result."""
        asked_at = self.clock.now

        def answer() -> None:
            if not self.is_up:
                client.deliver(BackendUnreachable("connection refused"))
            elif self._is_unresponsive:
                if self.clock.now - asked_at < STATUS_TIMEOUT:
                    self._call_later(TOKEN_SECONDS, answer)
                    return
                client.deliver(BackendUnreachable("timeout"))
            else:
                client.deliver(self._report())
            on_done()

        self._call_later(CALL_LATENCY, answer)

    # --- Faults ---

    def kill(self) -> None:
        """Kills the backend server; its loaded adapters and fencing token are lost."""
        self.is_up = False
        self.cut_connections()
        self.resident.clear()
        self.token = 0
        self.boot += 1

    def restart(self) -> None:
        """Kills the backend server and starts it again at once."""
        self.kill()
        self.is_up = True

    def cut_connections(self) -> None:
        """Resets the connections of all calls."""
        for run in list(self.open.values()):
            self._break_connection(run, "connection reset")

    def silence(self) -> None:
        """Drops all further data of open connections and blocks new calls."""
        self.is_link_silent = True
        for run in self.open.values():
            run.is_cut = True

    # --- Execution of calls ---

    @property
    def _is_unresponsive(self) -> bool:
        return self.is_frozen or self.is_link_silent

    def _call_later(self, delay: Seconds, action: Callable[[], None]) -> None:
        self.clock.call_later(delay, action)

    def _break_connection(self, run: BackendRun, detail: str) -> None:
        if self.open.pop((id(run.client), run.call.call), None) is None:
            return
        run.is_cut = True
        call = run.call
        ids = (call.request_id, call.attempt, call.call)
        run.client.deliver(BackendFailed(*ids, True, detail))

    def _start_call(self, run: BackendRun) -> None:
        if run.is_cut:
            return
        if self._is_unresponsive:
            self._call_later(TOKEN_SECONDS, lambda: self._start_call(run))
            return
        call = run.call
        key = call.ticket or call.request_id
        if call.generated_tokens == 0:
            self.runs[key] += 1
        self.call_starts.append((self.clock.now, call.request_id))
        if not self.is_engine:
            self._call_later(
                SERVICE_RUN_SECONDS * self.slowdown, lambda: self._end_service(run)
            )
            return
        if (
            str(call.adapter_version) not in self.resident
            and not self.falls_back_to_base
        ):
            self.runs[key] -= call.generated_tokens == 0
            self._send_response(run, 404, "", b'{"error":"not loaded"}', "")
            self._end_call(run)
            return
        self.models.setdefault(call.request_id, set()).add(self._running_model(call))
        self._call_later(
            TOKEN_SECONDS * self.slowdown, lambda: self._generate_token(run)
        )

    def _end_service(self, run: BackendRun) -> None:
        if self._is_unresponsive:
            self._call_later(TOKEN_SECONDS, lambda: self._end_service(run))
            return
        if run.is_cut:
            return
        if self.lose_answers:
            self.lose_answers -= 1
            self._break_connection(run, "response lost")
            return
        self._send_response(run, 200, "", service_response(run.call.body), "")
        self._end_call(run)

    def _generate_token(self, run: BackendRun) -> None:
        if run.is_cut:
            return
        if self._is_unresponsive:
            self._call_later(TOKEN_SECONDS, lambda: self._generate_token(run))
            return
        call, model = run.call, self._running_model(run.call)
        prompt, count = parse_prompt(call.body)
        if self.lose_answers and run.index >= count // 2:
            self.lose_answers -= 1
            self._break_connection(run, "response lost")
            return
        if call.streamed and run.index < count:
            text = token_text(model, prompt, run.index)
            is_first = run.index == call.generated_tokens
            self._send_response(run, 200 if is_first else 0, model, text.encode(), text)
        run.index += 1
        if run.index < count:
            self._call_later(
                TOKEN_SECONDS * self.slowdown, lambda: self._generate_token(run)
            )
            return
        if not call.streamed:
            text = generated_text(model, prompt, call.generated_tokens, count)
            self._send_response(run, 200, model, text.encode(), text)
        self._end_call(run)

    def _running_model(self, call: CallBackend) -> str:
        version = str(call.adapter_version)
        return (
            version
            if version in self.resident or not self.falls_back_to_base
            else _BASE_MODEL
        )

    def _send_response(
        self, run: BackendRun, status: int, model: str, data: bytes, text: str
    ) -> None:
        call = run.call
        ids = (call.request_id, call.attempt, call.call)
        if status:
            run.client.deliver(BackendStarted(*ids, status, model))
        run.client.deliver(BackendData(*ids, data, text, 1))

    def _end_call(self, run: BackendRun) -> None:
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
    """Simulated object API with claims and the change history of the configuration.

    Attributes:
        clock: Clock of the simulation.
        is_up: Whether it responds.
        is_slow: Whether a call takes 3 s.
        lose_answers: Number of next writes that take effect but whose response is lost.
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
        """Current latency of a call."""
        return SLOW_API_LATENCY if self.is_slow else API_LATENCY

    def claim(self, effect: CreateClaim | ReadClaim, client: CallingProcess) -> None:
        """Handles the creation or the read of a claim.

        A call to a slow object API times out before its response.
        """
        is_answered = False

        def answer(status: ClaimStatus, ticket: str = "") -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                name = effect.name
                client.deliver(ClaimAnswered(effect.request_id, name, status, ticket))

        is_write = isinstance(effect, CreateClaim)
        if not self.is_up:
            self.clock.call_later(CALL_LATENCY, lambda: answer(ClaimStatus.UNAVAILABLE))
            return

        def run() -> None:
            existing = self.claims.get(effect.name)
            if isinstance(effect, ReadClaim):
                found = ClaimStatus.EXISTS if existing else ClaimStatus.NOT_FOUND
                answer(found, existing or "")
            elif existing is not None:
                answer(ClaimStatus.EXISTS, existing)
            else:
                self.claims[effect.name] = effect.ticket
                if self.lose_answers:
                    self.lose_answers -= 1
                    answer(ClaimStatus.ANSWER_LOST)
                answer(ClaimStatus.CREATED, effect.ticket)

        timeout_status = (
            ClaimStatus.ANSWER_LOST if is_write else ClaimStatus.UNAVAILABLE
        )
        self.clock.call_later(self.latency, run)
        self.clock.call_later(CLAIM_TIMEOUT, lambda: answer(timeout_status))

    def write(self, *resources: Resource) -> tuple[Resource, ...]:
        """Commits resources, each with a new revision, and returns them."""
        written = []
        for resource in resources:
            revision = self.revision + 1
            item = msgspec.structs.replace(resource, revision=revision)
            self.store.merge((item,), revision=revision, base=self.revision)
            written.append(item)
        return tuple(written)


def parse_prompt(body: bytes) -> tuple[str, int]:
    """Returns the prompt and the requested number of tokens of a request body."""
    document = json.loads(body)
    return document["prompt"], document["max_tokens"]


def service_response(body: bytes) -> bytes:
    """Returns the response of a plain service to a request body."""
    return json.dumps({"body_sha256": hashlib.sha256(body).hexdigest()}).encode()


def with_default(adapter: Resource, version: str) -> Resource:
    """Returns an adapter with another default version."""
    spec = msgspec.structs.replace(adapter.spec, default_version=version)
    return msgspec.structs.replace(adapter, spec=spec)
