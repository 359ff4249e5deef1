"""Stand-in for a model engine with LoRA adapters and an OpenAI-style interface."""

import queue
import random
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable, Hashable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial, singledispatchmethod
from typing import Any, TypeAlias, cast

from werkzeug.exceptions import (
    BadRequest,
    Conflict,
    InternalServerError,
    NotFound,
)
from werkzeug.wrappers import Request, Response

from standins.cache_events import CacheEvent, CacheEvents
from standins.driver import Driver
from standins.engine_model import (
    CacheChanged,
    EngineEvent,
    EngineModel,
    Generation,
    Started,
    Token,
)
from standins.engine_protocol import (
    DONE,
    Completion,
    answer_event,
    parse_completion,
    whole_answer,
)
from standins.engine_settings import EngineFaults, EngineSettings
from standins.fetch import fetch
from standins.http_server import (
    ConnectionCut,
    Handler,
    connection_of,
    json_response,
    read_json_object,
)
from standins.process import StandIn, run
from standins.rates import Lagging
from standins.run_records import CallKey, RunRecords

FENCING_HEADER = "X-Fencing-Token"
REQUEST_ID_HEADER = "X-Request-Id"
EVENT_STREAM = "text/event-stream"

_COUNTERS = (
    "served",
    "tokens",
    "cancelled",
    "loads",
    "failed_loads",
    "unloads",
    "unloads_in_use",
    "fenced_commands",
    "unfenced_stale_commands",
)
# A comment line on an idle stream keeps readers from taking it for a dead one.
_KEEP_ALIVE_SECONDS = 1.0
_KEEP_ALIVE = b": keep-alive\n\n"


@dataclass(frozen=True, slots=True)
class _Cut:
    """Ends an answer without its rest."""


_Answer: TypeAlias = queue.SimpleQueue[Token | _Cut]


class Engine(StandIn[EngineFaults]):
    """Stand-in for an engine."""

    def __init__(self, settings: EngineSettings) -> None:
        """Binds the ports.

        Args:
            settings: Settings of the engine.
        """
        self._settings = settings
        self._model = EngineModel(settings.model)
        self._driver = Driver(lambda: self._model, self._handle_events)
        self._boot_id = uuid.uuid4().hex
        self._fencing_token = 0
        self._answers: dict[Hashable, _Answer] = {}
        self._calls = 0
        self._silent: set[Hashable] = set()
        self._runs = RunRecords()
        self._counts = Counter(dict.fromkeys(_COUNTERS, 0))
        self._cache_events = CacheEvents(random.Random(settings.seed))
        self._report = Lagging(self._load_report(), time.monotonic())
        self._stopping = False
        super().__init__(
            settings,
            EngineFaults(
                load_report_lag_seconds=settings.load_report_lag_seconds,
                cache_event_delay_seconds=settings.cache_event_delay_seconds,
                cache_event_drop_share=settings.cache_event_drop_share,
            ),
        )

    def routes(self) -> Iterable[tuple[str, str, Handler]]:
        """Returns the routes."""
        return (
            ("POST", "/v1/completions", partial(self._complete, is_chat=False)),
            ("POST", "/v1/chat/completions", partial(self._complete, is_chat=True)),
            ("POST", "/v1/load_lora_adapter", self._load_adapter),
            ("POST", "/v1/unload_lora_adapter", self._unload_adapter),
            ("GET", "/health", lambda request: json_response({"status": "ok"})),
            ("GET", "/load", self._show_load),
            ("GET", "/events", self._stream_cache_events),
            ("GET", "/runs", self._show_runs),
        )

    def actions(self) -> Mapping[str, Callable[[], None]]:
        """Returns ``restart``, ``cut_connections`` and ``silence_answers``."""
        return {
            "restart": self.restart,
            "cut_connections": self._server.cut_connections,
            "silence_answers": self.silence_answers,
        }

    def counters(self) -> Mapping[str, Any]:
        """Returns counts of answers, tokens, loads and steps."""
        with self._driver.changed:
            model = self._model
            return {
                **self._counts,
                "boot_id": self._boot_id,
                "steps": model.steps,
                "step_sequences": model.step_sequences,
            }

    def faults_changed(self, before: EngineFaults, after: EngineFaults) -> None:
        """Applies ``freeze`` and ``slow_factor`` to the model."""
        now = time.monotonic()
        with self._driver.changed:
            self._model.slow_factor = after.slow_factor
            if after.freeze:
                self._model.freeze(now)
            else:
                self._model.unfreeze(now)
            self._driver.changed.notify_all()

    def start(self) -> None:
        """Starts the steps and accepts connections."""
        self._driver.start()
        super().start()

    def stop(self) -> None:
        """Ends every answer and closes the ports."""
        with self._driver.changed:
            self._stopping = True
            self._cut_answers()
            self._driver.changed.notify_all()
        self._driver.stop()
        super().stop()

    def silence_answers(self) -> None:
        """Sends nothing more on the answers in progress and leaves them open."""
        with self._driver.changed:
            self._silent.update(self._answers)

    def restart(self) -> None:
        """Restarts cold: new boot id, no adapters, no fencing token, all work lost."""
        with self._driver.changed:
            faults = self.faults.current
            self._handle_events(self._model.advance(time.monotonic()))
            self._cut_answers()
            self._model = EngineModel(self._settings.model)
            self._model.slow_factor = faults.slow_factor
            if faults.freeze:
                self._model.freeze(time.monotonic())
            self._boot_id = uuid.uuid4().hex
            self._fencing_token = 0
            self._report = Lagging(self._load_report(), time.monotonic())
            self._driver.changed.notify_all()
        self._server.cut_connections()

    # --- Completions ---

    def _complete(self, request: Request, *, is_chat: bool) -> Response:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        completion = parse_completion(
            request.get_data(),
            is_chat=is_chat,
            answer_id=request_id or f"cmpl-{uuid.uuid4().hex}",
        )
        key, answer = self._submit(completion, request_id)
        tokens = self._tokens(request, completion, key, answer)
        if completion.is_streamed:
            return Response(_stream(completion, tokens), mimetype=EVENT_STREAM)
        received = list(tokens)
        model = received[-1].model if received else completion.model
        text = "".join(token.text for token in received)
        return json_response(
            whole_answer(completion, model=model, text=text, tokens=len(received))
        )

    def _submit(
        self, completion: Completion, request_id: str
    ) -> tuple[CallKey, _Answer]:
        answer: _Answer = queue.SimpleQueue()
        with self._driver.changed:
            if not self._model.is_served(completion.model):
                raise NotFound(
                    f"model {completion.model!r} is not loaded; loaded: "
                    f"{sorted(self._model.resident)}"
                )
            self._calls += 1
            key = CallKey(self._calls, request_id, completion.first_token > 0)
            if completion.first_token >= completion.max_tokens:
                return key, answer
            work = Generation(
                key=key,
                model=completion.model,
                prompt=completion.prompt,
                first_token=completion.first_token,
                end_token=completion.max_tokens,
                priority=completion.priority,
            )
            self._answers[key] = answer
            self._model.submit(work, time.monotonic())
            self._record_load()
            self._driver.changed.notify_all()
        return key, answer

    def _tokens(
        self, request: Request, completion: Completion, key: Hashable, answer: _Answer
    ) -> Iterator[Token]:
        if completion.first_token >= completion.max_tokens:
            return
        cut_after = (
            self.faults.current.cut_after_tokens
            if self.faults.take("cut_next_answers")
            else completion.max_tokens
        )
        with self._cancelled_at_end(request, key):
            for count in range(1, completion.max_tokens + 1):
                event = answer.get()
                if isinstance(event, _Cut):
                    raise ConnectionCut("the answer was cut")
                yield event
                if event.is_last:
                    return
                if count >= cut_after:
                    raise ConnectionCut("the answer was cut by a fault")

    @contextmanager
    def _cancelled_at_end(self, request: Request, key: Hashable) -> Iterator[None]:
        connection = connection_of(request)
        try:
            with self._server.disconnects.watch(connection, lambda: self._cancel(key)):
                yield
        finally:
            self._cancel(key)

    def _cancel(self, key: Hashable) -> None:
        with self._driver.changed:
            answer = self._answers.pop(key, None)
            if answer is None:
                return
            self._silent.discard(key)
            answer.put(_Cut())
            if self._model.cancel(key):
                self._counts["cancelled"] += 1
            self._record_load()

    def _cut_answers(self) -> None:
        for key in tuple(self._answers):
            self._cancel(key)

    # --- Events of the model, with the driver's lock held ---

    def _handle_events(self, events: list[EngineEvent]) -> None:
        for event in events:
            self._handle(event)
        self._record_load()

    @singledispatchmethod
    def _handle(self, event: Any) -> None:
        raise TypeError(f"unknown event {event!r}")

    @_handle.register
    def _(self, event: Started) -> None:
        self._runs.started(cast(CallKey, event.key), event.model)

    @_handle.register
    def _(self, event: Token) -> None:
        self._counts["tokens"] += 1
        self._runs.used(cast(CallKey, event.key), event.model)
        if event.key in self._silent:
            return
        answer = self._answers.get(event.key)
        if answer is not None:
            answer.put(event)
        if event.is_last:
            self._counts["served"] += 1
            self._answers.pop(event.key, None)

    @_handle.register
    def _(self, event: CacheChanged) -> None:
        faults = self.faults.current
        change = event.change
        content: dict[str, Any] = {
            "type": "BlockStored" if change.is_stored else "BlockRemoved",
            "block_hashes": change.block_hashes,
            "model": change.model,
        }
        self._cache_events.publish(
            content,
            due=event.time + faults.cache_event_delay_seconds,
            drop_share=faults.cache_event_drop_share,
        )
        self._driver.changed.notify_all()

    # --- Commands ---

    def _load_adapter(self, request: Request) -> Response:
        body = read_json_object(request)
        adapter, source = _text(body, "lora_name"), _text(body, "lora_path")
        with self._driver.changed:
            self._check_fencing(request)
            if adapter in self._model.resident:
                return json_response({"status": "already loaded", **self._boot()})
            if adapter in self._model.loading:
                raise Conflict(f"{adapter!r} is being loaded")
            if not self._model.begin_load(adapter):
                raise Conflict(
                    f"all {self._settings.model.adapter_slots} adapter slots are "
                    f"taken; resident: {sorted(self._model.resident)}"
                )
            model = self._model
        failure = fetch(
            self._settings.weight_store_url,
            source,
            seconds_without_store=self._settings.load_seconds,
        )
        if self.faults.take("fail_next_loads"):
            failure = "the load failed by a fault"
        self.faults.wait_while_frozen()
        with self._driver.changed:
            if model is not self._model:
                raise ConnectionCut("the engine restarted during the load")
            model.end_load(adapter, succeeded=not failure)
            self._counts["failed_loads" if failure else "loads"] += 1
            self._record_load()
            if failure:
                raise InternalServerError(f"{adapter!r} was not loaded: {failure}")
            return json_response({"status": "loaded", **self._boot()})

    def _unload_adapter(self, request: Request) -> Response:
        adapter = _text(read_json_object(request), "lora_name")
        with self._driver.changed:
            self._check_fencing(request)
            if adapter not in self._model.resident:
                raise NotFound(f"{adapter!r} is not loaded")
            was_in_use = self._model.is_in_use(adapter)
            if not self._model.unload(adapter):
                raise Conflict(f"{adapter!r} is in use")
            self._counts["unloads"] += 1
            self._counts["unloads_in_use"] += was_in_use
            self._record_load()
            return json_response({"status": "unloaded", **self._boot()})

    def _check_fencing(self, request: Request) -> None:
        text = request.headers.get(FENCING_HEADER)
        if text is None:
            return
        if not text.isdecimal():
            raise BadRequest(f"{FENCING_HEADER} {text!r} is not a whole number")
        token = int(text)
        if token >= self._fencing_token:
            self._fencing_token = token
            return
        if self._settings.checks_fencing:
            self._counts["fenced_commands"] += 1
            raise Conflict(
                f"{FENCING_HEADER} {token} is lower than the highest one seen, "
                f"{self._fencing_token}"
            )
        self._counts["unfenced_stale_commands"] += 1

    # --- State ---

    def _boot(self) -> dict[str, str]:
        return {"boot_id": self._boot_id}

    def _load_report(self) -> dict[str, Any]:
        return {
            "boot_id": self._boot_id,
            "running": self._model.running,
            "waiting": self._model.waiting,
            "resident": sorted(self._model.resident),
            "loading": sorted(self._model.loading),
            "fencing_token": self._fencing_token,
            "served": self._counts["served"],
        }

    def _record_load(self) -> None:
        self._report.record(self._load_report(), time.monotonic())

    def _show_load(self, request: Request) -> Response:
        with self._driver.changed:
            self._record_load()
            lag = self.faults.current.load_report_lag_seconds
            return json_response(self._report.read(time.monotonic(), lag))

    def _show_runs(self, request: Request) -> Response:
        with self._driver.changed:
            return json_response(self._runs.document())

    def _stream_cache_events(self, request: Request) -> Response:
        gone = threading.Event()
        with self._driver.changed:
            start = self._cache_events.next_sequence

        def events() -> Iterator[bytes]:
            with self._server.disconnects.watch(connection_of(request), gone.set):
                sequence = start
                yield _KEEP_ALIVE
                while not gone.is_set() and not self._stopping:
                    event = self._next_cache_event(sequence)
                    if event is not None:
                        sequence = event.sequence + 1
                    yield _KEEP_ALIVE if event is None else event.data

        return Response(events(), mimetype=EVENT_STREAM)

    def _next_cache_event(self, sequence: int) -> CacheEvent | None:
        self.faults.wait_while_frozen()
        deadline = time.monotonic() + _KEEP_ALIVE_SECONDS
        with self._driver.changed:
            while not self._stopping and (now := time.monotonic()) < deadline:
                event = self._cache_events.first_from(sequence)
                if event is not None and event.due <= now:
                    return event
                due = deadline if event is None else min(deadline, event.due)
                self._driver.changed.wait(due - now)
        return None


def _stream(completion: Completion, tokens: Iterable[Token]) -> Iterator[bytes]:
    count = 0
    for count, token in enumerate(tokens, start=1):
        yield answer_event(
            completion,
            model=token.model,
            text=token.text,
            tokens=count,
            is_last=token.is_last,
        )
    if count == 0:
        yield answer_event(
            completion, model=completion.model, text="", tokens=0, is_last=True
        )
    yield DONE


def _text(body: Mapping[str, Any], key: str) -> str:
    value = body.get(key)
    if not isinstance(value, str) or not value:
        raise BadRequest(f"{key} {value!r} must be a non-empty string")
    return value


if __name__ == "__main__":
    run(EngineSettings, Engine)
