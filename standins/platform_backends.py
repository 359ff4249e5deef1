"""Stand-ins for the platform's backend servers: model engines and plain services."""

import itertools
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any
from weakref import WeakKeyDictionary

import msgspec

from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from fighitch.types import Headers
from standins.platform_http import StandInServer, send_json

_EVENT_INTERVAL_SECONDS = 0.005
_LOAD_SECONDS = 0.03
# Time from the head of a response to the crash that its prompt causes.
_CRASH_DELAY_SECONDS = 0.02
_DOWN_SECONDS = 0.5
# Request headers, in lowercase, with which a caller chooses the size of its work: the
# events of a stream and the time in ms between them, or the time of a plain run in ms
# and the number of two-byte paddings in its response.
EVENTS_HEADER = "work-events"
EVENT_INTERVAL_HEADER = "work-interval-ms"
RUN_TIME_HEADER = "work-ms"
RESPONSE_PAIRS_HEADER = "work-pairs"


@dataclass(frozen=True, slots=True)
class WrongContinuation:
    """Response to a request to continue a stream that does not continue it."""

    status: int
    is_signed: bool
    content_type: bytes
    body: bytes


WRONG_CONTINUATIONS = (
    WrongContinuation(404, True, b"text/plain", b"no such run"),
    WrongContinuation(404, False, b"text/plain", b"no such run"),
    WrongContinuation(500, True, b"text/plain", b"failed"),
    WrongContinuation(500, False, b"text/plain", b"failed"),
    WrongContinuation(302, True, b"text/plain", b"moved"),
    WrongContinuation(204, True, b"text/plain", b""),
    WrongContinuation(200, True, b"application/json", b'{"error": "failed"}\n\n'),
    WrongContinuation(200, False, b"text/event-stream", b"id: 9\ndata: failed\n\n"),
    WrongContinuation(404, True, b"text/event-stream", b"id: 9\ndata: no\n\n"),
    WrongContinuation(409, True, b"text/plain", b"x" * 300_000),
)


# RFC 9110 defines the statuses 100 to 599.
_INVALID_STATUS = 600


@dataclass(slots=True)
class BackendFaults:
    """Numbers of faults to inject; each occurrence decrements its field.

    Attributes:
        reset: Connections closed without a response after the request ran.
        errors: Requests that fail with 500.
        shed: Requests rejected with 503 as not executed.
        second_answers: Responses followed by an unsolicited second one.
        lost_orders: Orders that are neither executed nor acknowledged.
        cut_streams: Streams cut in the middle of an event.
        repeated_refusals: Requests that run, with an earlier refusal written once more
            on their connection before their response.
        unnamed_refusals: The same, with a refusal that does not name its request.
        wrong_continuations: Requests to continue a stream that are answered with an
            error, with another kind of body or with the whole stream.
        invalid_statuses: Requests that run and get a status outside the range.
    """

    reset: int = 0
    errors: int = 0
    shed: int = 0
    second_answers: int = 0
    lost_orders: int = 0
    cut_streams: int = 0
    repeated_refusals: int = 0
    unnamed_refusals: int = 0
    wrong_continuations: int = 0
    invalid_statuses: int = 0

    def consume(self, name: str) -> bool:
        """Consumes one occurrence of a fault; returns whether there was one."""
        remaining: int = getattr(self, name)
        if remaining <= 0:
            return False
        setattr(self, name, remaining - 1)
        return True


@dataclass(slots=True)
class RunRecord:
    """A request that a server started to run."""

    request_id: str
    headers: dict[str, str]
    body: bytes
    target: str
    at: float = field(default_factory=time.monotonic)


@dataclass(frozen=True, slots=True)
class BeginRecord:
    """The version of its adapter with which a request began."""

    request_id: str
    adapter: str
    version: int
    at: float


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that reached a server, even if the server rejected it.

    Attributes:
        request_id: Id of the request.
        at: Monotonic time.
        incarnation: Instance id and start time of the server.
    """

    request_id: str
    at: float
    incarnation: tuple[str, int]


@dataclass(frozen=True, slots=True)
class PauseRequest:
    """A rejection in which a server asked its sender for a pause.

    Attributes:
        request_id: Id of the rejected request.
        at: Monotonic time.
        until: Time until which the server wants no further request.
        incarnation: Instance id and start time of the server.
    """

    request_id: str
    at: float
    until: float
    incarnation: tuple[str, int]


@dataclass(slots=True)
class OrderRecord:
    """An order that a server accepted.

    Attributes:
        fields: Body of the order.
        adapter_count: Adapters loaded or being loaded after the order.
    """

    fields: dict[str, Any]
    adapter_count: int = 0


class PlatformBackend(StandInServer):
    """A plain service, and the base class of the engine."""

    def __init__(
        self, instance_id: str, service: str, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        super().__init__(host, port)
        self.instance_id = instance_id
        self.service = service
        self.start_time_ms = round(time.time() * 1_000)
        self.faults = BackendFaults()
        self.runs: list[RunRecord] = []
        self.cancelled: list[str] = []
        self.state = "ready"
        self.zone = "z1"
        # Requests per second that responses name as the limit; None for no limit.
        self.server_limit: float | None = None
        # Whether all responses say that the server leaves; its state is separate.
        self.leaving = False
        self.arrivals: list[float] = []
        # Status and headers of the last refusal on each connection.
        self._refusals: WeakKeyDictionary[CallerConnection, tuple[int, Headers]]
        self._refusals = WeakKeyDictionary()
        self.received: list[ReceivedRequest] = []
        # Time until which requests are rejected, with the rest as Retry-After.
        self.pauses_until = 0.0
        # Value of Retry-After in rejections instead of the rest; empty for the rest.
        self.retry_after = ""
        # Whether rejections with Retry-After say that the request was not run.
        self.marks_rejections = True
        self.asked_pauses: list[PauseRequest] = []
        # Seconds from the start of a run to its response.
        self.response_delay = 0.0
        # Address in the heartbeat if the server is behind a proxy; empty if it is not.
        self.advertised_address = ""

    def restart(self, instance_id: str) -> None:
        """Restarts as a new incarnation; responses under way are still sent."""
        self.instance_id = instance_id
        self.start_time_ms += 1
        self.leaving = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """Instance id and start time."""
        return self.instance_id, self.start_time_ms

    def heartbeat(self) -> dict[str, Any]:
        """Returns the heartbeat of the server for the store."""
        return {
            "Service": self.service,
            "Address": self.advertised_address or self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 4,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": 0,
            "born": self.start_time_ms,
        }

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Serves a request, or rejects it if it addresses another instance."""
        headers = {
            name.decode().lower(): value.decode() for name, value in request.headers
        }
        request_id, now = headers.get("attempt-id", ""), time.monotonic()
        self.received.append(ReceivedRequest(request_id, now, self.incarnation))
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.instance_id:
            identity = (b"Instance-Id", self.instance_id.encode())
            self.reject(connection, headers, 421, identity)
            return
        rest = self.pauses_until - now
        if rest > 0:
            self.asked_pauses.append(
                PauseRequest(request_id, now, self.pauses_until, self.incarnation)
            )
            value = (self.retry_after or f"{rest:.3f}").encode()
            self.reject(
                connection,
                headers,
                503,
                (b"Retry-After", value),
                is_marked=self.marks_rejections,
            )
            return
        if self.faults.consume("shed"):
            self.arrivals.append(time.monotonic())
            self.reject(connection, headers, 503)
            return
        self.serve(connection, request, headers)

    def reject(
        self,
        connection: CallerConnection,
        headers: dict[str, str],
        status: int,
        *more_headers: tuple[bytes, bytes],
        is_marked: bool = True,
    ) -> None:
        """Rejects a request without running it; says so if it is marked."""
        request_id = headers.get("attempt-id", "").encode()
        rejection = [(b"Attempt-Id", request_id), *more_headers, *self._notices()]
        if is_marked:
            rejection.append((b"Not-Executed", b"1"))
        self._refusals[connection] = status, rejection
        connection.send_head(status, rejection, length=0)
        connection.finish()

    def repeat_refusal(self, connection: CallerConnection) -> None:
        """Writes an earlier refusal once more if that fault is injected."""
        if connection not in self._refusals:
            return
        status, headers = self._refusals[connection]
        if self.faults.consume("unnamed_refusals"):
            headers = [item for item in headers if item[0] != b"Attempt-Id"]
        elif not self.faults.consume("repeated_refusals"):
            return
        connection.send_head(status, headers, length=0)

    def serve(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        headers: dict[str, str],
    ) -> None:
        """Runs a request and sends its response."""
        self.record_run(request, headers)
        if self.faults.consume("reset"):
            connection.close()
            return
        self.repeat_refusal(connection)
        status = 500 if self.faults.consume("errors") else 200
        if self.faults.consume("invalid_statuses"):
            status = _INVALID_STATUS
        padding = b" x" * int(headers.get(RESPONSE_PAIRS_HEADER, 0))
        delay = int(headers.get(RUN_TIME_HEADER, 0)) / 1_000 or self.response_delay
        if delay:
            self.loop.call_later(
                delay,
                lambda: self._send_delayed(
                    connection, headers["attempt-id"], status, padding
                ),
            )
            return
        self.send_response(connection, headers["attempt-id"], status, padding)
        if self.faults.consume("second_answers"):
            self.send_response(connection, "of-nobody", 200)

    def _send_delayed(
        self,
        connection: CallerConnection,
        request_id: str,
        status: int,
        padding: bytes,
    ) -> None:
        if not connection.closed:
            self.send_response(connection, request_id, status, padding)

    def record_run(self, request: CallerRequest, headers: dict[str, str]) -> None:
        """Records that a request started to run."""
        target = request.target.decode()
        record = RunRecord(headers["attempt-id"], headers, bytes(request.body), target)
        self.runs.append(record)
        self.arrivals.append(time.monotonic())

    def response_headers(
        self, request_id: str, *, is_signed: bool = True
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a response."""
        headers = [(b"Attempt-Id", request_id.encode()), *self._notices()]
        if is_signed:
            signature = f"{self.instance_id}.{request_id}".encode()
            headers.append((b"Response-Signature", signature))
        return headers

    def _notices(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers with which all responses tell the server's wishes."""
        headers = []
        if self.server_limit is not None:
            headers.append((b"Server-Limit", b"%.2f" % self.server_limit))
        if self.leaving:
            headers.append((b"Server-Leaving", b"1"))
        return headers

    def send_response(
        self,
        connection: CallerConnection,
        request_id: str,
        status: int,
        padding: bytes = b"",
    ) -> None:
        """Sends a whole response, with padding at the end of its body."""
        body = f"answer to {request_id}".encode() + padding
        headers = self.response_headers(request_id)
        connection.send_head(status, headers, length=len(body))
        connection.send_body(body)
        connection.finish()


@dataclass(slots=True)
class _AdapterState:
    loaded: dict[str, int] = field(default_factory=dict)
    loading: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Stream:
    connection: CallerConnection
    request_id: str
    events: int
    interval: float


class PlatformEngine(PlatformBackend):
    """A model engine with adapter slots, orders, reports and event streams."""

    def __init__(
        self,
        instance_id: str,
        service: str,
        *,
        model: str = "base",
        adapter_slots: int = 3,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        super().__init__(instance_id, service, host, port)
        self.model = model
        self.adapter_slots = adapter_slots
        self.events = 4
        self.event_interval = _EVENT_INTERVAL_SECONDS
        self.orders: list[OrderRecord] = []
        # Largest excess of loaded and loading adapters over the adapter slots.
        self.overcommit = 0
        self.versions: dict[str, int] = {}
        # Whether reports, too, say that the engine leaves.
        self.reports_leaving = True
        # Part of a prompt that crashes the engine; empty for none.
        self.crashing_part = ""
        self.crashed_at: list[float] = []
        # Adapter and its version with which each run began, with the time.
        self.begins: list[BeginRecord] = []
        # Called with the earlier instance id after a restart that follows a crash.
        self.on_restarted: Callable[[str], None] = lambda _instance_id: None
        self._adapter_state = _AdapterState()
        self._sequence = 0
        self._event_numbers = itertools.count(1)
        self._streams: set[_Stream] = set()
        # Taken in turn; None stands for the whole stream, without regard to
        # Last-Event-Id.
        self.wrong_continuations: Iterator[WrongContinuation | None] = itertools.cycle(
            (*WRONG_CONTINUATIONS, None)
        )

    @property
    def is_streaming(self) -> bool:
        """Whether a stream is under way."""
        return any(not stream.connection.closed for stream in list(self._streams))

    def restart(self, instance_id: str) -> None:
        """Restarts as a new incarnation without any state of the previous one."""
        super().restart(instance_id)
        self._adapter_state = _AdapterState()
        self._sequence = 0
        for connection in list(self._connections):
            connection.close()

    def crash(self) -> None:
        """Ends the engine without notice and restarts it empty after a while."""
        if not self.listening:
            return
        self.crashed_at.append(time.monotonic())
        self.stop_listening()
        for connection in list(self._connections):
            connection.close()
        self.loop.call_later(_DOWN_SECONDS, self._restart_after_crash)

    def _restart_after_crash(self) -> None:
        previous = self.instance_id
        self.restart(f"{previous.partition('+')[0]}+{len(self.crashed_at)}")
        self.resume_listening()
        self.on_restarted(previous)

    def heartbeat(self) -> dict[str, Any]:
        """Returns the heartbeat of the engine for the store."""
        return super().heartbeat() | {"Models": self._models()}

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Handles a request, a report or an order."""
        path = request.target.decode()
        if path == "/report":
            notices = self._notices() if self.reports_leaving else []
            send_json(connection, 200, self._report(), notices)
            return
        if path == "/order":
            self._handle_order(connection, msgspec.json.decode(request.body))
            return
        super().handle(connection, request)

    def serve(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        headers: dict[str, str],
    ) -> None:
        """Streams events if the adapter is loaded; otherwise responds with 421."""
        adapter = headers.get("model", "").partition("/")[2]
        version = self._adapter_state.loaded.get(adapter, 0)
        expected_version = int(headers.get("expect-version", version))
        if adapter and (not version or version != expected_version):
            self.reject(connection, headers, 421)
            return
        self.record_run(request, headers)
        request_id = headers["attempt-id"]
        begin = BeginRecord(request_id, adapter, version, time.monotonic())
        self.begins.append(begin)
        first = int(headers.get("last-event-id") or 0) + 1
        connection.on_disconnected = lambda: self.cancelled.append(request_id)
        self.repeat_refusal(connection)
        if first > 1 and self.faults.consume("wrong_continuations"):
            answer = next(self.wrong_continuations)
            if answer is not None:
                self._send_wrong_continuation(connection, request_id, answer)
                return
            first = 1
        connection.send_head(200, self.response_headers(request_id), length=None)
        if self._is_crashing(headers.get("prompt-prefix", "")):
            self.loop.call_later(_CRASH_DELAY_SECONDS, self.crash)
            return
        interval_ms = headers.get(EVENT_INTERVAL_HEADER)
        stream = _Stream(
            connection,
            request_id,
            int(headers.get(EVENTS_HEADER, self.events)),
            int(interval_ms) / 1_000 if interval_ms else self.event_interval,
        )
        self._streams.add(stream)
        self._send_event(stream, first)

    def _send_wrong_continuation(
        self, connection: CallerConnection, request_id: str, answer: WrongContinuation
    ) -> None:
        headers = [(b"Content-Type", answer.content_type)]
        headers += self.response_headers(request_id, is_signed=answer.is_signed)
        connection.send_head(answer.status, headers, length=len(answer.body))
        connection.send_body(answer.body)
        connection.finish()

    def _is_crashing(self, prompt_prefix: str) -> bool:
        parts = [part.partition(":")[0] for part in prompt_prefix.split(",")]
        return bool(self.crashing_part) and self.crashing_part in parts

    def _send_event(self, stream: _Stream, number: int) -> None:
        connection = stream.connection
        if connection.closed:
            self._streams.discard(stream)
            return
        if number > 2 and self.faults.consume("cut_streams"):
            self._streams.discard(stream)
            connection.send_body(b"id: %d\nda" % number)
            connection.close()
            return
        if number > stream.events:
            self._streams.discard(stream)
            connection.finish()
            return
        connection.send_body(
            b"id: %d\ndata: %s %d\n\n" % (number, stream.request_id.encode(), number)
        )
        self.loop.call_later(
            stream.interval, lambda: self._send_event(stream, number + 1)
        )

    def _models(self) -> list[dict[str, Any]]:
        loaded = [
            f"{name}@{version}" for name, version in self._adapter_state.loaded.items()
        ]
        return [{"Name": self.model, "Version": 1, "Adapters": loaded}]

    def _report(self) -> dict[str, Any]:
        loading = [f"{self.model}/{name}@1" for name in self._adapter_state.loading]
        return {
            "Stage": "colocated",
            "Models": self._models(),
            "Busy": False,
            "Seq": self._sequence,
            "State": self.state,
            "Coming": loading,
            "born": self.start_time_ms,
        }

    def _handle_order(
        self, connection: CallerConnection, order: dict[str, Any]
    ) -> None:
        if self.faults.consume("lost_orders"):
            return
        if order.get("Expect", self._sequence) != self._sequence:
            send_json(connection, 409, {}, self._notices())
            return
        self._sequence += 1
        adapter = order["Adapter"]
        if order["Operation"] == "model_unload":
            self._adapter_state.loaded.pop(adapter, None)
            self._record_order(order)
            send_json(connection, 200, {}, self._notices())
            return
        version = self.versions.get(adapter, 1)
        self._adapter_state.loading[adapter] = version
        self._record_order(order)
        self.loop.call_later(_LOAD_SECONDS, lambda: self._finish_load(adapter, version))
        send_json(connection, 202, {}, self._notices())

    def _record_order(self, order: dict[str, Any]) -> None:
        adapter_count = len(
            self._adapter_state.loaded.keys() | self._adapter_state.loading.keys()
        )
        self.overcommit = max(self.overcommit, adapter_count - self.adapter_slots)
        self.orders.append(OrderRecord(order, adapter_count))

    def _finish_load(self, adapter: str, version: int) -> None:
        if self._adapter_state.loading.pop(adapter, None) is not None:
            self._adapter_state.loaded[adapter] = version
