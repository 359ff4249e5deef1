"""Builds HTTP requests to a model engine and parses its responses.

Engines implement the OpenAI completion protocol; adapters are loaded and unloaded with
``/v1/load_lora_adapter`` and ``/v1/unload_lora_adapter``. A response that can be
continued after a preemption is always requested as a stream; for a caller that did not
ask for a stream, the events are assembled into one JSON response.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, TypeAlias

import msgspec

from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.effects import CallBackend, LoadAdapter, UnloadAdapter
from fighitch.core.inputs import (
    AdapterLoaded,
    AdapterLoadFailed,
    AdapterUnloaded,
    BackendData,
    BackendEnded,
    BackendFailed,
    BackendStarted,
    EngineReported,
)
from fighitch.core.messages import AdapterVersion
from fighitch.runtime.transfers import (
    Transfer,
    TransferData,
    TransferEnded,
    TransferEvent,
    TransferFailed,
    TransferStarted,
)
from fighitch.types import Seconds

CALL_TIMEOUT: Seconds = 3_600.0
COMMAND_TIMEOUT: Seconds = 30.0
STATUS_TIMEOUT: Seconds = 2.0
FENCING_HEADER = "X-Fencing-Token"

# With one of these options, the generated text alone is not enough to continue an
# interrupted response.
_NON_CONTINUABLE_OPTIONS = (
    "logprobs",
    "top_logprobs",
    "tools",
    "functions",
    "echo",
    "best_of",
)
_STATUS_OK = 200
_DONE = b"[DONE]"
_JSON = {"Content-Type": "application/json"}

BackendEvent: TypeAlias = BackendStarted | BackendData | BackendEnded | BackendFailed
Emit: TypeAlias = Callable[[Any], None]


def is_continuable(body: dict[str, Any]) -> bool:
    """Returns whether an interrupted response can continue from its generated text."""
    if body.get("n", 1) != 1:
        return False
    return not any(body.get(name) for name in _NON_CONTINUABLE_OPTIONS)


def build_call_transfer(
    call: CallBackend, url: str
) -> tuple[Transfer, "ResponseReader"]:
    """Returns the HTTP transfer of a call and the reader of its response.

    Args:
        call: Call to send; its body is a JSON object.
        url: Base URL of the engine.
    """
    body = msgspec.json.decode(call.body)
    continuable = is_continuable(body)
    body["model"] = str(call.adapter_version)
    body["priority"] = call.rank
    if continuable:
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
    if call.generated:
        body["continue_from"] = {
            "text": call.generated,
            "tokens": call.generated_tokens,
        }
    headers = {**_JSON, "X-Request-Id": call.request_id}
    if call.traceparent:
        headers["traceparent"] = call.traceparent
    transfer = Transfer(
        call.method,
        url + call.path,
        headers=headers,
        body=msgspec.json.encode(body),
        timeout=CALL_TIMEOUT,
    )
    is_streamed = continuable or bool(body.get("stream"))
    reader: ResponseReader
    if not is_streamed:
        reader = JsonReader(call)
    elif call.streamed:
        reader = ForwardingReader(call)
    else:
        reader = AssemblingReader(call)
    return transfer, reader


def build_load_transfer(command: LoadAdapter, url: str) -> Transfer:
    """Returns the HTTP transfer that loads an adapter version."""
    name = str(command.adapter_version)
    body = {"lora_name": name, "lora_path": command.source or name}
    return _build_command_transfer(
        url + "/v1/load_lora_adapter", body, command.fencing_token
    )


def build_unload_transfer(command: UnloadAdapter, url: str) -> Transfer:
    """Returns the HTTP transfer that unloads an adapter version."""
    body = {"lora_name": str(command.adapter_version)}
    return _build_command_transfer(
        url + "/v1/unload_lora_adapter", body, command.fencing_token
    )


def build_status_transfer(url: str) -> Transfer:
    """Returns the HTTP transfer that requests the engine's state."""
    return Transfer("GET", url + "/load", timeout=STATUS_TIMEOUT)


def parse_status(data: bytes) -> EngineReported:
    """Parses the engine's state.

    Raises:
        msgspec.MsgspecError: If the data is not a JSON object of the expected shape.
    """
    status = msgspec.json.decode(data, type=_EngineStatus)
    return EngineReported(
        boot_id=status.boot_id,
        resident=frozenset(
            AdapterVersion(*name.rsplit("@", 1))
            for name in status.resident
            if "@" in name
        ),
        fencing_token=status.fencing_token,
    )


def parse_command_response(
    command: LoadAdapter | UnloadAdapter, status: int, data: bytes
) -> AdapterLoaded | AdapterUnloaded | AdapterLoadFailed:
    """Converts the response to a load or unload command into an input of the core."""
    if status != _STATUS_OK:
        detail = (
            f"engine returned status {status}: {data[:200].decode(errors='replace')}"
        )
        return AdapterLoadFailed(command.adapter_version, detail)
    if isinstance(command, UnloadAdapter):
        return AdapterUnloaded(command.adapter_version)
    try:
        response = msgspec.json.decode(data, type=_LoadResponse)
    except DECODE_ERRORS as error:
        return AdapterLoadFailed(
            command.adapter_version, f"cannot decode response: {error}"
        )
    return AdapterLoaded(command.adapter_version, response.boot_id)


class _EngineStatus(msgspec.Struct, frozen=True):
    boot_id: str
    resident: list[str] = []
    fencing_token: int = 0


class _LoadResponse(msgspec.Struct, frozen=True):
    boot_id: str = ""


def _build_command_transfer(
    url: str, body: dict[str, str], fencing_token: int
) -> Transfer:
    return Transfer(
        "POST",
        url,
        headers={**_JSON, FENCING_HEADER: str(fencing_token)},
        body=msgspec.json.encode(body),
        timeout=COMMAND_TIMEOUT,
    )


class ResponseReader:
    """Converts the transfer events of one call into backend events.

    A response with a status other than 200 is forwarded unchanged when it is complete.
    """

    def __init__(self, call: CallBackend) -> None:
        self._call = call
        self._ids = (call.request_id, call.attempt, call.call)
        self._status = 0
        self._content_type = ""
        self._buffer = bytearray()

    def read(self, event: TransferEvent) -> Iterator[BackendEvent]:
        """Yields the backend events that follow from a transfer event."""
        if isinstance(event, TransferStarted):
            self._status = event.status
            self._content_type = event.headers.get("content-type", "application/json")
            return
        if isinstance(event, TransferFailed):
            yield BackendFailed(*self._ids, sent=event.sent, detail=event.detail)
            return
        if isinstance(event, TransferData):
            self._buffer += event.data
        if self._status == _STATUS_OK:
            yield from self._read_response(ended=isinstance(event, TransferEnded))
        elif isinstance(event, TransferEnded):
            yield from self._complete_response(model="")

    def _read_response(self, *, ended: bool) -> Iterator[BackendEvent]:
        raise NotImplementedError

    def _complete_response(self, *, model: str) -> Iterator[BackendEvent]:
        yield BackendStarted(*self._ids, self._status, model, self._content_type)
        yield BackendData(*self._ids, bytes(self._buffer))
        yield BackendEnded(*self._ids)

    def _truncated_stream(self) -> BackendFailed:
        return BackendFailed(*self._ids, sent=True, detail="stream ended before [DONE]")


class JsonReader(ResponseReader):
    """Reads a response that is one JSON object."""

    def _read_response(self, *, ended: bool) -> Iterator[BackendEvent]:
        if not ended:
            return
        try:
            model = str(msgspec.json.decode(bytes(self._buffer)).get("model", ""))
        except (*DECODE_ERRORS, AttributeError):
            yield BackendFailed(*self._ids, sent=True, detail="cannot decode response")
            return
        yield from self._complete_response(model=model)


class _SseReader(ResponseReader):
    """Parses a stream of server-sent events."""

    def __init__(self, call: CallBackend) -> None:
        super().__init__(call)
        self._has_started = False
        self._is_done = False
        self._model = ""

    def _read_response(self, *, ended: bool) -> Iterator[BackendEvent]:
        *events, rest = bytes(self._buffer).split(b"\n\n")
        self._buffer = bytearray(rest)
        for event in events:
            if not event.startswith(b"data:"):
                continue
            payload = event[len(b"data:") :].strip()
            if payload == _DONE:
                self._is_done = True
                yield from self._finish()
                continue
            yield from self._read_event(payload)
        if ended and not self._is_done:
            yield self._truncated_stream()

    def _read_event(self, payload: bytes) -> Iterator[BackendEvent]:
        try:
            event = msgspec.json.decode(payload)
            self._model = event.get("model", "")
            choices = event.get("choices") or []
            text = _choice_text(choices[0]) if choices else ""
        except (*DECODE_ERRORS, AttributeError, TypeError):
            yield BackendFailed(
                *self._ids, sent=True, detail="cannot decode stream event"
            )
            return
        if "error" in event and not choices:
            detail = f"the engine reported an error: {str(event['error'])[:200]}"
            yield BackendFailed(*self._ids, sent=True, detail=detail)
            return
        if not self._has_started:
            self._has_started = True
            yield self._started_event()
        yield from self._handle_event(event, text)

    def _started_event(self) -> BackendStarted:
        return BackendStarted(*self._ids, self._status, self._model, self._content_type)

    def _handle_event(self, event: dict[str, Any], text: str) -> Iterator[BackendEvent]:
        raise NotImplementedError

    def _finish(self) -> Iterator[BackendEvent]:
        raise NotImplementedError


class ForwardingReader(_SseReader):
    """Forwards events as they arrive, with one id for all calls of a request."""

    def __init__(self, call: CallBackend) -> None:
        super().__init__(call)
        body = msgspec.json.decode(call.body)
        options = body.get("stream_options") or {}
        self._wants_usage = bool(options.get("include_usage"))
        self._is_continuable = is_continuable(body)

    def _started_event(self) -> BackendStarted:
        started = super()._started_event()
        return dataclasses.replace(started, is_continuable=self._is_continuable)

    def _handle_event(self, event: dict[str, Any], text: str) -> Iterator[BackendEvent]:
        choices = event.get("choices")
        if not choices and not self._wants_usage:
            return
        if self._call.generated and not text and _is_role_only(choices):
            return
        event["id"] = self._call.request_id
        if "usage" in event:
            _add_generated_tokens(event, self._call.generated_tokens)
        data = b"data: " + msgspec.json.encode(event) + b"\n\n"
        yield BackendData(*self._ids, data, text, 1 if text else 0)

    def _finish(self) -> Iterator[BackendEvent]:
        yield BackendData(*self._ids, b"data: [DONE]\n\n")
        yield BackendEnded(*self._ids)


class AssemblingReader(_SseReader):
    """Assembles the events of a stream into one JSON response."""

    def __init__(self, call: CallBackend) -> None:
        super().__init__(call)
        self._content_type = "application/json"
        self._text_parts = [call.generated]
        self._first_event: dict[str, Any] = {}
        self._finish_reason: str | None = None
        self._usage: dict[str, Any] | None = None

    def _started_event(self) -> BackendStarted:
        self._content_type = "application/json"
        return super()._started_event()

    def _handle_event(self, event: dict[str, Any], text: str) -> Iterator[BackendEvent]:
        self._first_event = self._first_event or event
        for choice in event.get("choices") or ():
            self._finish_reason = choice.get("finish_reason") or self._finish_reason
        if event.get("usage"):
            _add_generated_tokens(event, self._call.generated_tokens)
            self._usage = event["usage"]
        if text:
            self._text_parts.append(text)
            yield BackendData(*self._ids, b"", text, 1)

    def _finish(self) -> Iterator[BackendEvent]:
        full_text = "".join(self._text_parts)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason}
        is_chat = self._call.path.endswith("/chat/completions")
        if is_chat:
            choice["message"] = {"role": "assistant", "content": full_text}
        else:
            choice["text"] = full_text
        response = {
            "id": self._call.request_id,
            "object": "chat.completion" if is_chat else "text_completion",
            "created": self._first_event.get("created", 0),
            "model": self._model,
            "choices": [choice],
        }
        if self._usage is not None:
            response["usage"] = self._usage
        yield BackendData(*self._ids, msgspec.json.encode(response))
        yield BackendEnded(*self._ids)


def _choice_text(choice: dict[str, Any]) -> str:
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text") or ""


def _is_role_only(choices: list[dict[str, Any]] | None) -> bool:
    """Returns whether a chat event has only the role, as the first of a stream does."""
    if not choices:
        return False
    return "role" in choices[0].get("delta", {}) and not choices[0].get("finish_reason")


def _add_generated_tokens(event: dict[str, Any], tokens: int) -> None:
    """Adds the tokens of earlier calls to the usage that an event reports."""
    usage = event.get("usage")
    if not usage or not tokens:
        return
    for name in ("completion_tokens", "total_tokens"):
        usage[name] = usage.get(name, 0) + tokens
