"""The HTTP interface of an entry for callers."""

import hashlib
import math
import queue
import select
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any, Protocol

import msgspec
from expression import Error, Ok, Result
from werkzeug.exceptions import (
    ClientDisconnected,
    HTTPException,
    MethodNotAllowed,
    RequestEntityTooLarge,
)
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.effects import (
    AnswerData,
    AnswerEnded,
    AnswerFailed,
    AnswerStarted,
    TicketIssued,
)
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.inputs import CallerGone, CallerRequest, TicketRequested
from fighitch.daemons.errors import (
    ERROR_KIND_HEADER,
    REQUEST_ID_HEADER,
    RUN_STATE_HEADER,
    error_body,
    error_response,
    json_response,
)
from fighitch.observability.metrics import Metrics
from fighitch.observability.traces import OpenSpan, Traces
from fighitch.types import RequestId, Seconds

TIMEOUT_HEADER = "X-Request-Timeout-Ms"
WORK_POLICY_HEADER = "X-Work-Policy"
MODEL_HEADER = "X-Model"
MAX_HEADER_CHARS = 1_024
# The core ends every request by its deadline; this limit only guards against a fault.
MAX_REQUEST_TIMEOUT: Seconds = 3_600.0
_DISCONNECT_POLL_INTERVAL: Seconds = 0.5
_MS = 1_000
_END_OF_EVENT = b"\n\n"

_ROUTES = Map(
    [
        Rule("/v1/completions", endpoint="complete", methods=["POST"]),
        Rule("/v1/chat/completions", endpoint="complete", methods=["POST"]),
        Rule("/v1/models", endpoint="models", methods=["GET"]),
        Rule("/v1/idempotency-keys", endpoint="ticket", methods=["POST"]),
        Rule("/services/<service>/<path:path>", endpoint="service"),
        Rule("/healthz", endpoint="health", methods=["GET"]),
        Rule("/readyz", endpoint="ready", methods=["GET"]),
    ]
)

ResponseEvent = AnswerStarted | AnswerData | AnswerEnded | AnswerFailed | TicketIssued


class EntryInterface(Protocol):
    """The interface of the entry that the application uses."""

    def open_request(self) -> tuple[RequestId, "queue.SimpleQueue[ResponseEvent]"]:
        """Returns a new request id and the queue that receives its response events."""

    def close_request(self, request_id: RequestId) -> None:
        """Discards the queue of a request."""

    def post(self, message: Any) -> None:
        """Queues an input for the core."""

    def models(self, key_digest: str) -> Result[list[dict[str, Any]], Failure]:
        """Returns the models that a caller may request."""

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send requests."""

    def is_stopped(self) -> bool:
        """Returns whether the core has stopped and sends no further responses."""


class StreamAbortedError(ConnectionError):
    """Aborts a streamed response without its final chunk, so that callers detect it."""


class CallersApp:
    """WSGI application for callers."""

    def __init__(
        self,
        entry: EntryInterface,
        *,
        metrics: Metrics,
        traces: Traces,
        max_body_bytes: Callable[[], int],
    ) -> None:
        """Creates the application.

        Args:
            entry: The entry.
            metrics: Metrics of the process.
            traces: Traces of the process.
            max_body_bytes: Returns the maximum size of a request body.
        """
        self._entry = entry
        self._metrics = metrics
        self._traces = traces
        self._max_body_bytes = max_body_bytes

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Handles an HTTP request."""
        # Werkzeug would refer to the request from its environment, a cycle that keeps
        # the body until the next garbage collection.
        response = self._respond(Request(environ, populate_request=False))
        kind = response.headers.get(ERROR_KIND_HEADER)
        if kind and REQUEST_ID_HEADER not in response.headers:
            # Requests that reached the core are counted when they end.
            self._metrics.record_rejection(kind, response.headers[RUN_STATE_HEADER])
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        limit = self._max_body_bytes()
        # werkzeug truncates a chunked body at the limit without an error. The limit is
        # one byte higher to distinguish an oversized body from a complete one.
        request.max_content_length = limit + 1
        try:
            if len(request.get_data()) > limit:
                raise RequestEntityTooLarge
            endpoint, arguments = _ROUTES.bind_to_environ(request.environ).match()
            return getattr(self, f"_{endpoint}")(request, **arguments)
        except RequestEntityTooLarge:
            detail = f"the body is larger than the allowed {limit} bytes"
            return error_response(Failure(ErrorKind.BODY_TOO_LARGE, detail))
        except MethodNotAllowed as error:
            detail = f"{request.method} is not one of {error.valid_methods}"
            return error_response(Failure(ErrorKind.METHOD_NOT_ALLOWED, detail))
        except ClientDisconnected:
            detail = "the body ended before its announced length"
            return error_response(Failure(ErrorKind.BAD_REQUEST, detail))
        except HTTPException:
            routes = sorted({rule.rule for rule in _ROUTES.iter_rules()})
            detail = f"path {request.path!r} is not one of {routes}"
            return error_response(Failure(ErrorKind.UNKNOWN_ROUTE, detail))

    # --- Endpoints ---

    def _health(self, _request: Request) -> Response:
        return json_response({"status": "alive"})

    def _ready(self, _request: Request) -> Response:
        if self._entry.is_ready():
            return json_response({"status": "ready"})
        return json_response({"status": "not ready"}, 503)

    def _models(self, request: Request) -> Response:
        models = self._entry.models(_bearer_key_digest(request))
        if models.is_error():
            return error_response(models.error)
        return json_response({"object": "list", "data": models.ok})

    def _complete(self, request: Request) -> Response:
        body = _json_object(request)
        if body.is_error():
            return error_response(body.error)
        model = body.ok.get("model")
        if not isinstance(model, str) or not model:
            detail = (
                f"model {model!r} must name an adapter, as 'name' or 'name@version'"
            )
            return error_response(Failure(ErrorKind.BAD_REQUEST, detail))
        streamed = body.ok.get("stream", False)
        if not isinstance(streamed, bool):
            detail = f"stream {streamed!r} must be true or false"
            return error_response(Failure(ErrorKind.BAD_REQUEST, detail))
        return self._submit(request, model=model, streamed=streamed, path=request.path)

    def _service(self, request: Request, service: str, path: str) -> Response:
        query = request.query_string.decode("latin-1")
        target = f"/{path}" + (f"?{query}" if query else "")
        return self._submit(request, service=service, path=target)

    def _ticket(self, request: Request) -> Response:
        body = _json_object(request)
        if body.is_error():
            return error_response(body.error)
        names = {name: str(body.ok.get(name) or "") for name in ("model", "service")}
        if bool(names["model"]) == bool(names["service"]):
            detail = f"{names}: exactly one of 'model' and 'service' must be given"
            return error_response(Failure(ErrorKind.BAD_REQUEST, detail))
        request_id, events = self._entry.open_request()
        try:
            digest = _bearer_key_digest(request)
            self._entry.post(TicketRequested(request_id, digest, **names))
            event = events.get(timeout=MAX_REQUEST_TIMEOUT)
        finally:
            self._entry.close_request(request_id)
        if isinstance(event, TicketIssued):
            return json_response({"idempotency_key": event.ticket}, 201)
        if isinstance(event, AnswerFailed):
            return error_response(event.failure, request_id)
        return error_response(Failure(ErrorKind.INTERNAL, f"unexpected {event}"))

    # --- Requests ---

    def _submit(
        self,
        request: Request,
        *,
        path: str,
        model: str = "",
        service: str = "",
        streamed: bool = False,
    ) -> Response:
        headers = _parse_headers(request)
        if headers.is_error():
            return error_response(headers.error)
        timeout, idempotency_key, work = headers.ok
        body = request.get_data()
        request_id, events = self._entry.open_request()
        span = self._traces.start(
            "entry.request",
            request.headers.get("traceparent", ""),
            {"request_id": request_id, "target": model or service},
        )
        self._entry.post(
            CallerRequest(
                request_id=request_id,
                key_digest=_bearer_key_digest(request),
                model=model,
                service=service,
                path=path,
                body=body,
                method=request.method,
                streamed=streamed,
                work=work,
                timeout=timeout,
                idempotency_key=idempotency_key,
                traceparent=span.traceparent,
            )
        )
        exchange = _Exchange(
            request_id, events, self._entry, self._metrics, span, request.environ
        )
        return exchange.response()


class _Exchange:
    """A request that the core handles, until its response has ended."""

    def __init__(
        self,
        request_id: RequestId,
        events: "queue.SimpleQueue[ResponseEvent]",
        entry: EntryInterface,
        metrics: Metrics,
        span: OpenSpan,
        environ: dict[str, Any],
    ) -> None:
        self._request_id = request_id
        self._events = events
        self._entry = entry
        self._metrics = metrics
        self._span = span
        self._socket: socket.socket | None = environ.get("werkzeug.socket")
        self._started_at = time.monotonic()
        self._is_closed = False
        self._metrics.in_flight.inc()

    def response(self) -> Response:
        """Waits for the first response event and returns the HTTP response."""
        event = self._next_event()
        if isinstance(event, AnswerStarted):
            return self._streamed_response(event)
        if isinstance(event, AnswerEnded):
            return self._complete_response(event)
        if event is None:
            event = AnswerFailed(self._request_id, _stopped_failure())
        if not isinstance(event, AnswerFailed):
            failure = Failure(ErrorKind.INTERNAL, f"unexpected {event}")
            event = AnswerFailed(self._request_id, failure, was_sent=True)
        self._close(failure=event.failure)
        return error_response(event.failure, self._request_id, was_sent=event.was_sent)

    def _complete_response(self, event: AnswerEnded) -> Response:
        self._metrics.record_first_byte(time.monotonic() - self._started_at)
        self._close(ended=event)
        return Response(
            event.body,
            event.status,
            _response_headers(self._request_id, event),
            content_type=event.content_type,
        )

    def _streamed_response(self, event: AnswerStarted) -> Response:
        self._metrics.record_first_byte(time.monotonic() - self._started_at)
        headers = {REQUEST_ID_HEADER: self._request_id, RUN_STATE_HEADER: "ran"}
        if event.model:
            headers[MODEL_HEADER] = event.model
        return Response(
            self._iter_chunks(),
            event.status,
            headers,
            content_type=event.content_type,
            direct_passthrough=True,
        )

    def _iter_chunks(self) -> Iterator[bytes]:
        last_bytes = _END_OF_EVENT
        try:
            while True:
                event = self._next_event()
                if event is None:
                    raise StreamAbortedError(
                        "the caller disconnected or the entry stopped"
                    )
                if isinstance(event, AnswerData):
                    last_bytes = (last_bytes + event.data)[-len(_END_OF_EVENT) :]
                    yield event.data
                elif isinstance(event, AnswerEnded):
                    self._close(ended=event)
                    return
                elif isinstance(event, AnswerFailed):
                    self._close(failure=event.failure)
                    # Otherwise the error would become a part of the event that was cut.
                    if last_bytes == _END_OF_EVENT:
                        body = error_body(event.failure, self._request_id)
                        yield b"event: error\ndata: " + body + _END_OF_EVENT
                    raise StreamAbortedError(event.failure.detail)
                else:
                    # No further event follows; waiting for one would block the thread
                    # indefinitely.
                    raise StreamAbortedError("the caller disconnected")
        finally:
            self._close()

    def _next_event(self) -> ResponseEvent | None:
        deadline = time.monotonic() + MAX_REQUEST_TIMEOUT
        while time.monotonic() < deadline:
            try:
                return self._events.get(timeout=_DISCONNECT_POLL_INTERVAL)
            except queue.Empty:
                if self._entry.is_stopped():
                    return self._events.get() if not self._events.empty() else None
                if self._has_caller_disconnected():
                    break
        self._close()
        return None

    def _has_caller_disconnected(self) -> bool:
        if self._socket is None:
            return False
        # ``recv`` on a socket with a timeout blocks even with MSG_DONTWAIT, so the
        # socket is only read after a poll found it readable.
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        if not poller.poll(0):
            return False
        try:
            return self._socket.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True

    def _close(
        self, *, ended: AnswerEnded | None = None, failure: Failure | None = None
    ) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._entry.close_request(self._request_id)
        self._metrics.in_flight.dec()
        seconds = time.monotonic() - self._started_at
        if ended is not None:
            kind, run_state = "ok", ended.run_state.value
            self._span.set("backend_server", ended.backend_server)
            self._span.set("attempts", ended.attempts)
        elif failure is not None:
            kind, run_state = failure.kind.value, failure.run_state.value
        else:
            kind, run_state = "caller_gone", "unknown"
            self._entry.post(CallerGone(self._request_id))
        self._metrics.record_response(kind=kind, run_state=run_state, seconds=seconds)
        self._span.set("result", kind)
        self._span.end()


def _stopped_failure() -> Failure:
    """Returns the failure of a request that arrived after the core had stopped.

    The core stops only after it has answered every request that it received, so this
    request was not sent. An earlier request with the same key may have been sent, so
    the run state is unknown.
    """
    detail = "this entry has stopped; repeat the request at another entry"
    return Failure(ErrorKind.DRAINING, detail, RunState.UNKNOWN, retry_after=1.0)


def _response_headers(request_id: RequestId, event: AnswerEnded) -> dict[str, str]:
    headers = {
        REQUEST_ID_HEADER: request_id,
        RUN_STATE_HEADER: event.run_state.value,
        "X-Backend-Server": event.backend_server,
        "X-Attempts": str(event.attempts),
        "X-Queued-Ms": str(event.queued),
        "X-Stalled-Ms": str(event.stalled),
    }
    if event.model:
        headers[MODEL_HEADER] = event.model
    if event.replayed:
        headers["Idempotency-Replayed"] = "true"
    return headers


def _bearer_key_digest(request: Request) -> str:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return ""
    return hashlib.sha256(key.strip().encode()).hexdigest()


def _json_object(request: Request) -> Result[dict[str, Any], Failure]:
    try:
        return Ok(msgspec.json.decode(request.get_data(), type=dict[str, Any]))
    except DECODE_ERRORS as error:
        detail = f"the body is not a JSON object: {error}"
        return Error(Failure(ErrorKind.BAD_REQUEST, detail))


def _parse_headers(
    request: Request,
) -> Result[tuple[Seconds | None, str, str], Failure]:
    for name in ("Idempotency-Key", WORK_POLICY_HEADER):
        if len(request.headers.get(name, "")) > MAX_HEADER_CHARS:
            detail = f"{name} has more than {MAX_HEADER_CHARS} characters"
            return Error(Failure(ErrorKind.BAD_REQUEST, detail))
    key = request.headers.get("Idempotency-Key", "")
    work = request.headers.get(WORK_POLICY_HEADER, "")
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return Ok((None, key, work))
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = math.nan
    if not 0 < milliseconds <= MAX_REQUEST_TIMEOUT * _MS:
        limit = int(MAX_REQUEST_TIMEOUT * _MS)
        detail = f"{TIMEOUT_HEADER} {text!r} must be a number in (0, {limit}]"
        return Error(Failure(ErrorKind.BAD_REQUEST, detail))
    return Ok((milliseconds / _MS, key, work))
