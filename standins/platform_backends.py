"""Stand-ins of the platform's backend servers: model engines and plain services."""

import itertools
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

from fighitch.runtime.http_callers import CallerConnection, CallerRequest
from standins.platform_http import StandInServer, answer_json

_EVENT_PAUSE = 0.005
_LOAD_TIME = 0.03


@dataclass(slots=True)
class BackendFaults:
    """What goes wrong; each field is counted down as it strikes.

    Attributes:
        reset: Answers that are broken off after the request was run.
        errors: Requests that fail with 500.
        shed: Requests that are turned away as not run.
        second_answers: Answers that are followed by another one.
        lost_orders: Orders that are not answered and not carried out.
        cut_streams: Streams that end in the middle of an event.
    """

    reset: int = 0
    errors: int = 0
    shed: int = 0
    second_answers: int = 0
    lost_orders: int = 0
    cut_streams: int = 0

    def strikes(self, name: str) -> bool:
        """Counts a fault down and says whether it strikes now."""
        left: int = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True


@dataclass(slots=True)
class RunRecord:
    """A request that a server began to run."""

    request_id: str
    headers: dict[str, str]
    body: bytes
    target: str


@dataclass(slots=True)
class OrderRecord:
    """An order that a server accepted."""

    fields: dict[str, Any]
    held: int = 0


class PlatformBackend(StandInServer):
    """A plain service; base of the engine."""

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
        # Where others reach the server, if not at its own address.
        self.advertised = ""

    def heartbeat(self) -> dict[str, Any]:
        """Returns the server's entry in the store."""
        return {
            "Service": self.service,
            "Address": self.advertised or self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 4,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": 0,
            "born": self.start_time_ms,
        }

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Answers a request."""
        headers = {
            name.decode().lower(): value.decode() for name, value in request.headers
        }
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.instance_id:
            identity = (b"Instance-Id", self.instance_id.encode())
            connection.send_head(421, [identity], length=0)
            connection.finish()
            return
        if self.faults.strikes("shed"):
            connection.send_head(503, [(b"Not-Executed", b"1")], length=0)
            connection.finish()
            return
        self.serve(connection, request, headers)

    def serve(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        headers: dict[str, str],
    ) -> None:
        """Runs a request."""
        self.note_run(request, headers)
        if self.faults.strikes("reset"):
            connection.close()
            return
        status = 500 if self.faults.strikes("errors") else 200
        self.send_answer(connection, headers["attempt-id"], status)
        if self.faults.strikes("second_answers"):
            self.send_answer(connection, "of-nobody", 200)

    def note_run(self, request: CallerRequest, headers: dict[str, str]) -> None:
        """Notes that a request began to run."""
        target = request.target.decode()
        record = RunRecord(headers["attempt-id"], headers, request.body, target)
        self.runs.append(record)

    def answer_headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an answer."""
        return [
            (b"Attempt-Id", request_id.encode()),
            (b"Response-Signature", f"{self.instance_id}.{request_id}".encode()),
        ]

    def send_answer(
        self, connection: CallerConnection, request_id: str, status: int
    ) -> None:
        """Sends a whole answer."""
        body = f"answer to {request_id}".encode()
        headers = self.answer_headers(request_id)
        connection.send_head(status, headers, length=len(body))
        connection.send_body(body)
        connection.finish()


@dataclass(slots=True)
class _Held:
    adapters: dict[str, int] = field(default_factory=dict)
    coming: dict[str, int] = field(default_factory=dict)


class PlatformEngine(PlatformBackend):
    """A model engine with adapter places, orders, reports and event streams."""

    def __init__(
        self,
        instance_id: str,
        service: str,
        *,
        model: str = "base",
        places: int = 3,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        super().__init__(instance_id, service, host, port)
        self.model = model
        self.places = places
        self.events = 4
        self.orders: list[OrderRecord] = []
        self.overcommit = 0
        self.versions: dict[str, int] = {}
        self._held = _Held()
        self._sequence = 0
        self._event_numbers = itertools.count(1)

    def restart(self, instance_id: str) -> None:
        """Becomes another incarnation that holds and knows nothing of before."""
        self.instance_id = instance_id
        self.start_time_ms += 1
        self._held = _Held()
        self._sequence = 0
        for connection in list(self._connections):
            connection.close()

    def heartbeat(self) -> dict[str, Any]:
        """Returns the engine's entry in the store."""
        return super().heartbeat() | {"Models": self._models()}

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Answers a request, a report or an order."""
        path = request.target.decode()
        if path == "/report":
            answer_json(connection, 200, self._report())
            return
        if path == "/order":
            self._order(connection, msgspec.json.decode(request.body))
            return
        super().handle(connection, request)

    def serve(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        headers: dict[str, str],
    ) -> None:
        """Streams events if the adapter is held."""
        adapter = headers.get("model", "").partition("/")[2]
        if adapter and adapter not in self._held.adapters:
            connection.send_head(421, [], length=0)
            connection.finish()
            return
        self.note_run(request, headers)
        request_id = headers["attempt-id"]
        first = int(headers.get("last-event-id") or 0) + 1
        connection.on_gone = lambda: self.cancelled.append(request_id)
        connection.send_head(200, self.answer_headers(request_id), length=None)
        self._send_event(connection, request_id, first)

    def _send_event(
        self, connection: CallerConnection, request_id: str, number: int
    ) -> None:
        if connection.closed:
            return
        if number > 2 and self.faults.strikes("cut_streams"):
            connection.send_body(b"id: %d\nda" % number)
            connection.close()
            return
        if number > self.events:
            connection.finish()
            return
        connection.send_body(
            b"id: %d\ndata: %s %d\n\n" % (number, request_id.encode(), number)
        )
        self.loop.call_later(
            _EVENT_PAUSE, lambda: self._send_event(connection, request_id, number + 1)
        )

    def _models(self) -> list[dict[str, Any]]:
        adapters = [
            f"{name}@{version}" for name, version in self._held.adapters.items()
        ]
        return [{"Name": self.model, "Version": 1, "Adapters": adapters}]

    def _report(self) -> dict[str, Any]:
        coming = [f"{self.model}/{name}@1" for name in self._held.coming]
        return {
            "Stage": "colocated",
            "Models": self._models(),
            "Busy": False,
            "Seq": self._sequence,
            "State": self.state,
            "Coming": coming,
            "born": self.start_time_ms,
        }

    def _order(self, connection: CallerConnection, order: dict[str, Any]) -> None:
        if self.faults.strikes("lost_orders"):
            return
        if order.get("Expect", self._sequence) != self._sequence:
            answer_json(connection, 409, {})
            return
        self._sequence += 1
        adapter = order["Adapter"]
        if order["Operation"] == "model_unload":
            self._held.adapters.pop(adapter, None)
            self._note_order(order)
            answer_json(connection, 200, {})
            return
        version = self.versions.get(adapter, 1)
        self._held.coming[adapter] = version
        self._note_order(order)
        self.loop.call_later(_LOAD_TIME, lambda: self._loaded(adapter, version))
        answer_json(connection, 202, {})

    def _note_order(self, order: dict[str, Any]) -> None:
        held = len(self._held.adapters.keys() | self._held.coming.keys())
        self.overcommit = max(self.overcommit, held - self.places)
        self.orders.append(OrderRecord(order, held))

    def _loaded(self, adapter: str, version: int) -> None:
        if self._held.coming.pop(adapter, None) is not None:
            self._held.adapters[adapter] = version
