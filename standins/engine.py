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

from standins.cache_events import CacheEvent, CacheEventLog
from standins.driver import ModelDriver
from standins.engine_model import (
    CacheChanged,
    EngineEvent,
    EngineModel,
    Generation,
    SequenceStarted,
    Token,
)
from standins.engine_protocol import (
    DONE,
    Completion,
    build_completion_response,
    encode_stream_event,
    parse_completion,
)
from standins.engine_settings import EngineFaults, EngineSettings
from standins.http_server import (
    AbortConnection,
    Handler,
    get_connection,
    json_response,
    read_json_object,
)
from standins.process import StandIn, run
from standins.rates import LaggedValue
from standins.run_records import CallKey, RunRecords
from standins.weight_fetch import fetch_weights

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
# A comment line on an idle stream keeps readers from treating it as lost.
_KEEP_ALIVE_SECONDS = 1.0
_KEEP_ALIVE = b": keep-alive\n\n"


@dataclass(frozen=True, slots=True)
class _Aborted:
    """Marks a call whose remaining tokens are not sent."""


_TokenQueue: TypeAlias = queue.SimpleQueue[Token | _Aborted]


class Engine(StandIn[EngineFaults]):
    """Stand-in for an engine."""

    def __init__(self, settings: EngineSettings) -> None:
        """Binds the ports.

        Args:
            settings: Settings of the engine.
        """
        self._settings = settings
        self._model = EngineModel(settings.model)
        self._driver = ModelDriver(lambda: self._model, self._handle_events)
        self._boot_id = uuid.uuid4().hex
        self._fencing_token = 0
        self._token_queues: dict[Hashable, _TokenQueue] = {}
        self._call_count = 0
        self._silenced: set[Hashable] = set()
        self._runs = RunRecords()
        self._counts = Counter(dict.fromkeys(_COUNTERS, 0))
        self._cache_events = CacheEventLog(random.Random(settings.seed))
        self._lagged_report = LaggedValue(self._build_load_report(), time.monotonic())
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
        """Returns the numbers of responses, tokens, loads and steps."""
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
        """Starts the model and accepts connections."""
        self._driver.start()
        super().start()

    def stop(self) -> None:
        """Aborts every call and closes the ports."""
        with self._driver.changed:
            self._stopping = True
            self._abort_calls()
            self._driver.changed.notify_all()
        self._driver.stop()
        super().stop()

    def silence_answers(self) -> None:
        """Stops sending on the responses in progress and leaves them open."""
        with self._driver.changed:
            self._silenced.update(self._token_queues)

    def restart(self) -> None:
        """Performs a cold restart.

        The engine gets a new boot id and loses its adapters, its fencing token and all
        calls in progress.
        """
        with self._driver.changed:
            faults = self.faults.current
            self._handle_events(self._model.advance(time.monotonic()))
            self._abort_calls()
            self._model = EngineModel(self._settings.model)
            self._model.slow_factor = faults.slow_factor
            if faults.freeze:
                self._model.freeze(time.monotonic())
            self._boot_id = uuid.uuid4().hex
            self._fencing_token = 0
            self._lagged_report = LaggedValue(
                self._build_load_report(), time.monotonic()
            )
            self._driver.changed.notify_all()
        self._server.cut_connections()

    # --- Completions ---

    def _complete(self, request: Request, *, is_chat: bool) -> Response:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        completion = parse_completion(
            request.get_data(),
            is_chat=is_chat,
            response_id=request_id or f"cmpl-{uuid.uuid4().hex}",
        )
        key, token_queue = self._submit(completion, request_id)
        tokens = self._receive_tokens(request, completion, key, token_queue)
        if completion.is_streamed:
            return Response(_encode_stream(completion, tokens), mimetype=EVENT_STREAM)
        received = list(tokens)
        model = received[-1].model if received else completion.model
        text = "".join(token.text for token in received)
        return json_response(
            build_completion_response(
                completion, model=model, text=text, tokens=len(received)
            )
        )

    def _submit(
        self, completion: Completion, request_id: str
    ) -> tuple[CallKey, _TokenQueue]:
        token_queue: _TokenQueue = queue.SimpleQueue()
        with self._driver.changed:
            if not self._model.is_served(completion.model):
                raise NotFound(
                    f"model {completion.model!r} is not loaded; loaded: "
                    f"{sorted(self._model.resident)}"
                )
            self._call_count += 1
            key = CallKey(self._call_count, request_id, completion.first_token > 0)
            if completion.first_token >= completion.max_tokens:
                return key, token_queue
            generation = Generation(
                key=key,
                model=completion.model,
                prompt=completion.prompt,
                first_token=completion.first_token,
                end_token=completion.max_tokens,
                priority=completion.priority,
            )
            self._token_queues[key] = token_queue
            self._model.submit(generation, time.monotonic())
            self._record_load_report()
            self._driver.changed.notify_all()
        return key, token_queue

    def _receive_tokens(
        self,
        request: Request,
        completion: Completion,
        key: Hashable,
        token_queue: _TokenQueue,
    ) -> Iterator[Token]:
        if completion.first_token >= completion.max_tokens:
            return
        cut_after = (
            self.faults.current.cut_after_tokens
            if self.faults.consume("cut_next_answers")
            else completion.max_tokens
        )
        with self._cancel_on_exit(request, key):
            for count in range(1, completion.max_tokens + 1):
                event = token_queue.get()
                if isinstance(event, _Aborted):
                    raise AbortConnection("the call was aborted")
                yield event
                if event.is_last:
                    return
                if count >= cut_after:
                    raise AbortConnection("injected fault: response cut")

    @contextmanager
    def _cancel_on_exit(self, request: Request, key: Hashable) -> Iterator[None]:
        connection = get_connection(request)
        try:
            with self._server.disconnects.watch(connection, lambda: self._cancel(key)):
                yield
        finally:
            self._cancel(key)

    def _cancel(self, key: Hashable) -> None:
        with self._driver.changed:
            token_queue = self._token_queues.pop(key, None)
            if token_queue is None:
                return
            self._silenced.discard(key)
            token_queue.put(_Aborted())
            if self._model.cancel(key):
                self._counts["cancelled"] += 1
            self._record_load_report()

    def _abort_calls(self) -> None:
        for key in tuple(self._token_queues):
            self._cancel(key)

    # --- Model events; the driver's lock is held ---

    def _handle_events(self, events: list[EngineEvent]) -> None:
        for event in events:
            self._handle(event)
        self._record_load_report()

    @singledispatchmethod
    def _handle(self, event: Any) -> None:
        raise TypeError(f"unsupported event type: {event!r}")

    @_handle.register
    def _(self, event: SequenceStarted) -> None:
        self._runs.record_start(cast(CallKey, event.key), event.model)

    @_handle.register
    def _(self, event: Token) -> None:
        self._counts["tokens"] += 1
        self._runs.record_model(cast(CallKey, event.key), event.model)
        if event.key in self._silenced:
            return
        token_queue = self._token_queues.get(event.key)
        if token_queue is not None:
            token_queue.put(event)
        if event.is_last:
            self._counts["served"] += 1
            self._token_queues.pop(event.key, None)

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
        adapter, source = (
            _require_text(body, "lora_name"),
            _require_text(body, "lora_path"),
        )
        with self._driver.changed:
            self._check_fencing(request)
            if adapter in self._model.resident:
                return json_response(
                    {"status": "already loaded", **self._boot_fields()}
                )
            if adapter in self._model.loading:
                raise Conflict(f"adapter {adapter!r} is being loaded")
            if not self._model.begin_load(adapter):
                raise Conflict(
                    f"all {self._settings.model.adapter_slots} adapter slots are "
                    f"occupied; resident: {sorted(self._model.resident)}"
                )
            model = self._model
        failure = fetch_weights(
            self._settings.weight_store_url,
            source,
            seconds_without_store=self._settings.load_seconds,
        )
        if self.faults.consume("fail_next_loads"):
            failure = "injected fault: load failed"
        self.faults.wait_while_frozen()
        with self._driver.changed:
            if model is not self._model:
                raise AbortConnection("the engine restarted during the load")
            model.end_load(adapter, succeeded=not failure)
            self._counts["failed_loads" if failure else "loads"] += 1
            self._record_load_report()
            if failure:
                raise InternalServerError(f"loading {adapter!r} failed: {failure}")
            return json_response({"status": "loaded", **self._boot_fields()})

    def _unload_adapter(self, request: Request) -> Response:
        adapter = _require_text(read_json_object(request), "lora_name")
        with self._driver.changed:
            self._check_fencing(request)
            if adapter not in self._model.resident:
                raise NotFound(f"adapter {adapter!r} is not loaded")
            was_in_use = self._model.is_in_use(adapter)
            if not self._model.unload(adapter):
                raise Conflict(f"adapter {adapter!r} is in use")
            self._counts["unloads"] += 1
            self._counts["unloads_in_use"] += was_in_use
            self._record_load_report()
            return json_response({"status": "unloaded", **self._boot_fields()})

    def _check_fencing(self, request: Request) -> None:
        text = request.headers.get(FENCING_HEADER)
        if text is None:
            return
        if not text.isdecimal():
            raise BadRequest(f"{FENCING_HEADER} {text!r} is not a non-negative integer")
        token = int(text)
        if token >= self._fencing_token:
            self._fencing_token = token
            return
        if self._settings.checks_fencing:
            self._counts["fenced_commands"] += 1
            raise Conflict(
                f"{FENCING_HEADER} {token} is lower than the highest token seen, "
                f"{self._fencing_token}"
            )
        self._counts["unfenced_stale_commands"] += 1

    # --- State ---

    def _boot_fields(self) -> dict[str, str]:
        return {"boot_id": self._boot_id}

    def _build_load_report(self) -> dict[str, Any]:
        return {
            "boot_id": self._boot_id,
            "running": self._model.running,
            "waiting": self._model.waiting,
            "resident": sorted(self._model.resident),
            "loading": sorted(self._model.loading),
            "fencing_token": self._fencing_token,
            "served": self._counts["served"],
        }

    def _record_load_report(self) -> None:
        self._lagged_report.record(self._build_load_report(), time.monotonic())

    def _show_load(self, request: Request) -> Response:
        with self._driver.changed:
            self._record_load_report()
            lag = self.faults.current.load_report_lag_seconds
            return json_response(self._lagged_report.read(time.monotonic(), lag))

    def _show_runs(self, request: Request) -> Response:
        with self._driver.changed:
            return json_response(self._runs.to_dict())

    def _stream_cache_events(self, request: Request) -> Response:
        disconnected = threading.Event()
        with self._driver.changed:
            start = self._cache_events.next_sequence

        def events() -> Iterator[bytes]:
            with self._server.disconnects.watch(
                get_connection(request), disconnected.set
            ):
                sequence = start
                yield _KEEP_ALIVE
                while not disconnected.is_set() and not self._stopping:
                    event = self._wait_for_cache_event(sequence)
                    if event is not None:
                        sequence = event.sequence + 1
                    yield _KEEP_ALIVE if event is None else event.data

        return Response(events(), mimetype=EVENT_STREAM)

    def _wait_for_cache_event(self, sequence: int) -> CacheEvent | None:
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


def _encode_stream(completion: Completion, tokens: Iterable[Token]) -> Iterator[bytes]:
    count = 0
    for count, token in enumerate(tokens, start=1):
        yield encode_stream_event(
            completion,
            model=token.model,
            text=token.text,
            tokens=count,
            is_last=token.is_last,
        )
    if count == 0:
        yield encode_stream_event(
            completion, model=completion.model, text="", tokens=0, is_last=True
        )
    yield DONE


def _require_text(body: Mapping[str, Any], key: str) -> str:
    value = body.get(key)
    if not isinstance(value, str) or not value:
        raise BadRequest(f"{key} {value!r} must be a non-empty string")
    return value


if __name__ == "__main__":
    run(EngineSettings, Engine)
