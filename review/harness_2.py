"""Stand-ins and processes for the scripts of the second review.

Everything runs on loopback addresses and the real clock. Only the standard library is
used, so that nothing has to be built for the stand-ins. They do what the users' pages
allow; faults are injected by the scripts that import this module.
"""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
MODEL = "base"
HOST = "small.example"
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 10.0
_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class Record:
    """Lines of ``record.txt``, each with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._file = path.open("w")

    def write(self, event: str, **fields: object) -> None:
        """Writes one line."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        elapsed = time.monotonic() - self._started
        self._file.write(f"{elapsed:8.3f} {event} {pairs}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclass(slots=True)
class Message:
    """A request that a stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one request; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(method, target, headers, body)


def encode_response(
    status: int, headers: dict[str, str], body: bytes | None = b""
) -> bytes:
    """Encodes a response; a body of None begins a chunked one."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")


def encode_json(status: int, content: object) -> bytes:
    """Encodes a response with a JSON body."""
    body = json.dumps(content).encode()
    return encode_response(status, {"Content-Type": "application/json"}, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


class Server:
    """An HTTP server on one loopback address, with persistent connections."""

    def __init__(self, host: str, port: int = 0) -> None:
        self.host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address as IP:PORT."""
        return f"{self.host}:{self.port}"

    async def listen(self) -> None:
        """Starts to accept connections, at the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self, *, abort: bool = True) -> None:
        """Stops to accept connections and resets the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if abort:
            for writer in list(self.writers):
                reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.answer(message, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def answer(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: objects, revisions, watches."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._revision = 1
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        """Writes an object, as the operator or a runner does."""
        self._revision += 1
        metadata = {"Name": name, "Revision": self._revision}
        item = {"Metadata": metadata, "Spec": spec}
        self._objects.setdefault(kind, {})[name] = item
        self._record(kind, {"Tombstone": False, "Object": item})
        return item

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        if self._objects.get(kind, {}).pop(name, None) is None:
            return
        self._revision += 1
        item = {"Metadata": {"Name": name, "Revision": self._revision}, "Spec": None}
        self._record(kind, {"Tombstone": True, "Object": item})

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one call."""
        target = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        kind, _, name = target.path.removeprefix("/objects/").partition("/")
        name = unquote(name)
        if message.method == "GET":
            writer.write(await self._read(kind, name, query))
        else:
            writer.write(self._write(message, kind, name))
        return True

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> bytes:
        objects = self._objects.setdefault(kind, {})
        if name:
            item = objects.get(name)
            return encode_json(404 if item is None else 200, item or {})
        if "Watch" in query:
            return await self._watch(kind, query)
        items = [objects[key] for key in sorted(objects)]
        content = {"items": items, "HasMore": False, "At": self._revision}
        return encode_json(200, content)

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        since = int(query["Watch"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1_000
        while True:
            events = [
                event
                for revision, event_kind, event in self._events
                if event_kind == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        return encode_json(200, {"events": events, "At": self._revision})

    def _write(self, message: Message, kind: str, name: str) -> bytes:
        objects = self._objects.setdefault(kind, {})
        if message.method == "DELETE":
            self.remove(kind, name)
            return encode_json(200, {})
        content = json.loads(message.body)
        if message.method == "POST":
            name = content["Metadata"]["Name"]
            if name in objects:
                return encode_json(409, objects[name])
            return encode_json(201, self.put(kind, name, content["Spec"]))
        if name not in objects:
            return encode_json(404, {})
        expected = content["Metadata"].get("Revision")
        if expected not in (None, objects[name]["Metadata"]["Revision"]):
            return encode_json(409, objects[name])
        return encode_json(200, self.put(kind, name, content["Spec"]))


class Runner(Server):
    """Common parts of the runners: identity, heartbeat and rejections."""

    def __init__(
        self, host: str, service: str, instance_id: str, record: Record
    ) -> None:
        super().__init__(host)
        self.service = service
        self.instance_id = instance_id
        self.born = round(time.time() * 1_000)
        self.record = record
        self.state = "ready"

    def heartbeat(self) -> dict[str, Any]:
        """Returns what the runner writes to the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": 0,
            "born": self.born,
        }

    def wrong_instance(self, message: Message) -> bytes | None:
        """Returns the rejection of a request for another instance, if it is one."""
        expected = message.headers.get("expect-instance")
        if expected is None or expected == self.instance_id:
            return None
        return encode_response(
            421,
            {
                "Attempt-Id": message.headers.get("attempt-id", ""),
                "Instance-Id": self.instance_id,
                "Not-Executed": "1",
            },
        )

    def not_run(self, message: Message, status: int) -> bytes:
        """Returns the rejection of a request that is not run."""
        attempt = message.headers.get("attempt-id", "")
        return encode_response(status, {"Attempt-Id": attempt, "Not-Executed": "1"})


@dataclass(slots=True)
class Order:
    """An order as it reached an engine."""

    fields: dict[str, Any]
    expected_instance: str | None

    def __str__(self) -> str:
        shown = {key: self.fields.get(key) for key in ("Operation", "Adapter")}
        parts = [f"{key}={value}" for key, value in shown.items() if value]
        parts.append(f"Expect={self.fields.get('Expect')}")
        parts.append(f"Expect-Instance={self.expected_instance or 'none'}")
        return ",".join(parts)


class Engine(Runner):
    """A model engine with places for adapters, orders, reports and streams."""

    def __init__(
        self,
        host: str,
        instance_id: str,
        record: Record,
        *,
        places: int = 3,
        load_s: float = 0.1,
    ) -> None:
        super().__init__(host, "models", instance_id, record)
        self.places = places
        self.load_s = load_s
        self.events = 4
        self.event_interval_s = 0.02
        self.versions: dict[str, int] = {}
        self.sequence = 0
        self.has_model = True
        self.loaded: dict[str, int] = {}
        self.coming: dict[str, int] = {}
        self.busy = False
        self.uses: dict[str, int] = {}
        self.incarnation = 0
        # Decides whether an order gets no answer now and is carried out later.
        self.delays_order: Callable[[Order], float] = lambda _order: 0.0
        self.on_overload: Callable[[], Awaitable[None]] | None = None
        self.overloads = 0
        self.begun: list[tuple[float, str, str, int]] = []

    def heartbeat(self) -> dict[str, Any]:
        """Returns what the engine writes to the store."""
        return super().heartbeat() | {"Stage": "colocated", "Models": self._models()}

    def _models(self) -> list[dict[str, Any]]:
        if not self.has_model:
            return []
        adapters = [f"{name}@{version}" for name, version in self.loaded.items()]
        return [{"Name": MODEL, "Version": 1, "Adapters": adapters}]

    def restart(self, instance_id: str) -> None:
        """Forgets everything, as a runner that starts again does."""
        self.instance_id = instance_id
        self.born = max(self.born + 1, round(time.time() * 1_000))
        self.incarnation += 1
        self.sequence = 0
        self.has_model = False
        self.loaded, self.coming, self.uses = {}, {}, {}
        self.busy = False

    async def crash(self, down_s: float, instance_id: str) -> None:
        """Ends without notice and starts again, empty, after a while."""
        self.record.write("engine_crash", id=self.instance_id, born=self.born)
        self.stop_listening()
        await asyncio.sleep(down_s)
        self.restart(instance_id)
        await self.listen()
        self.record.write("engine_start", id=self.instance_id, born=self.born)

    async def answer(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a report, an order or a request."""
        if message.target == "/report":
            writer.write(encode_json(200, self._report()))
            return True
        rejection = self.wrong_instance(message)
        if rejection is not None:
            if message.target == "/order":
                self.record.write("order_rejected", reason="another_instance")
            writer.write(rejection)
            return True
        if message.target == "/order":
            return await self._on_order(message, writer)
        return await self._run(message, writer)

    def _report(self) -> dict[str, Any]:
        return {
            "Id": self.instance_id,
            "Stage": "colocated",
            "Models": self._models(),
            "Coming": [f"{MODEL}/{name}@{v}" for name, v in self.coming.items()],
            "Busy": self.busy,
            "Seq": self.sequence,
            "QueueDepth": 0,
            "NumRunning": sum(self.uses.values()),
            "KvUsed": 0,
            "KvTotal": 100_000,
            "Handles": 0,
            "State": self.state,
            "born": self.born,
        }

    async def _on_order(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        order = Order(json.loads(message.body), message.headers.get("expect-instance"))
        delay = self.delays_order(order)
        if delay:
            self.record.write("order_unanswered", order=order, carried_out_in_s=delay)
            asyncio.get_running_loop().call_later(delay, self._carry_out_late, order)
            return True
        status = self.carry_out(order)
        writer.write(encode_json(status, {}))
        return True

    def _carry_out_late(self, order: Order) -> None:
        if self._server is None:
            self.record.write("order_lost", order=order, reason="engine_down")
            return
        expected = order.expected_instance
        if expected is not None and expected != self.instance_id:
            self.record.write("late_order_rejected", order=order, status=421)
            return
        self.record.write("late_order_arrives", order=order)
        self.carry_out(order)

    def carry_out(self, order: Order) -> int:
        """Carries an order out, or rejects it; returns the status."""
        status = self._decide(order)
        self.record.write(
            "order",
            order=order,
            status=status,
            seq=self.sequence,
            loaded="+".join(sorted(self.loaded)) or "none",
            coming="+".join(sorted(self.coming)) or "none",
            places=self.places,
        )
        return status

    def _decide(self, order: Order) -> int:
        fields = order.fields
        if not fields.get("Holder") or "FencingToken" not in fields:
            return 400
        if self.busy or fields.get("Expect", self.sequence) != self.sequence:
            return 409
        adapter = fields.get("Adapter", "")
        if not adapter:
            return self._load_model()
        if not self.has_model:
            return 400
        if fields["Operation"] == "model_unload":
            return self._unload(adapter)
        version = fields.get("Version") or self.versions.get(adapter, 1)
        return self._load(adapter, version)

    def _load_model(self) -> int:
        if self.has_model:
            return 200
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().call_later(
            self.load_s, self._finish_model, self.incarnation
        )
        return 202

    def _finish_model(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.busy, self.has_model = False, True

    def _unload(self, adapter: str) -> int:
        self.sequence += 1
        self.loaded.pop(adapter, None)
        return 200

    def _load(self, adapter: str, version: int) -> int:
        if self.loaded.get(adapter, 0) >= version or adapter in self.coming:
            return 200
        self.sequence += 1
        held = self.loaded.keys() | self.coming.keys() | {adapter}
        if len(held) > self.places:
            self.overloads += 1
            self.record.write(
                "OVERLOADED", adapters="+".join(sorted(held)), places=self.places
            )
            if self.on_overload is not None:
                asyncio.get_running_loop().create_task(self._call_on_overload())
            return 202
        self.coming[adapter] = version
        asyncio.get_running_loop().call_later(
            self.load_s, self._finish_load, adapter, self.incarnation
        )
        return 202

    async def _call_on_overload(self) -> None:
        if self.on_overload is not None:
            await self.on_overload()

    def _finish_load(self, adapter: str, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        if self.uses.get(adapter):
            # A replacement waits for the runs of the version before.
            asyncio.get_running_loop().call_later(
                0.02, self._finish_load, adapter, incarnation
            )
            return
        self.loaded[adapter] = self.coming.pop(adapter)

    async def _run(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        headers = message.headers
        attempt = headers.get("attempt-id", "")
        model, _, adapter = headers.get("model", "").partition("/")
        version = self.loaded.get(adapter, 0)
        wanted = int(headers.get("expect-version", version))
        if not self.has_model or model != MODEL or (adapter and not version):
            writer.write(self.not_run(message, 421))
            return True
        if adapter and wanted != version:
            writer.write(self.not_run(message, 421))
            return True
        self.record.write("run", attempt=attempt, adapter=adapter, version=version)
        self.begun.append((time.monotonic(), attempt, adapter, version))
        incarnation = self.incarnation
        self.uses[adapter] = self.uses.get(adapter, 0) + 1
        try:
            await self._stream(attempt, writer, int(headers.get("last-event-id", 0)))
        finally:
            if incarnation == self.incarnation:
                self.uses[adapter] -= 1
        return True

    async def _stream(
        self, attempt: str, writer: asyncio.StreamWriter, after: int
    ) -> None:
        head = {
            "Attempt-Id": attempt,
            "Response-Signature": f"{self.instance_id}.{attempt}",
            "Content-Type": "text/event-stream",
        }
        writer.write(encode_response(200, head, None))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_interval_s)
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class PlainServer(Runner):
    """A runner of a plain service."""

    def __init__(
        self, host: str, instance_id: str, record: Record, *, work_s: float = 0.03
    ) -> None:
        super().__init__(host, "orders", instance_id, record)
        self.work_s = work_s
        self.is_silent = False
        self.writes_runs = True
        self.arrived: list[tuple[float, str]] = []
        # Events of a stream, and the time before each; 0 for a whole answer at once.
        self.events = 0
        self.event_interval_s = 0.4
        # The requests that were run, if they are kept.
        self.run_messages: list[Message] | None = None

    async def answer(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Runs a request."""
        if self.is_silent:
            await asyncio.sleep(3_600)
        rejection = self.wrong_instance(message)
        if rejection is not None:
            writer.write(rejection)
            return True
        attempt = message.headers.get("attempt-id", "")
        self.arrived.append((time.monotonic(), attempt))
        if self.run_messages is not None:
            self.run_messages.append(message)
        if self.writes_runs:
            self.record.write("run", attempt=attempt, at=self.instance_id)
        await asyncio.sleep(self.work_s)
        head = {
            "Attempt-Id": attempt,
            "Response-Signature": f"{self.instance_id}.{attempt}",
        }
        if self.events:
            await self._stream(attempt, head, writer)
        else:
            writer.write(encode_response(200, head, b"done " + attempt.encode()))
        return True

    async def _stream(
        self, attempt: str, head: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        head["Content-Type"] = "text/event-stream"
        writer.write(encode_response(200, head, None))
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_interval_s)
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Program:
    """One of the project's own programs, started as the deploy file says."""

    def __init__(self, role: str, settings: dict[str, Any], folder: Path) -> None:
        self.settings = settings
        self._role = role
        self._path = folder / f"{settings['NodeName']}.json"
        self._path.write_text(json.dumps(settings))
        self._log = self._path.with_suffix(".log")
        self.process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        environment = os.environ | {
            "FIGHITCH_SETTINGS": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self._log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "fighitch.gateway", self._role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def log(self) -> str:
        """Returns the output so far."""
        return self._log.read_text()

    def signal(self, number: int) -> None:
        """Sends a signal."""
        self.process.send_signal(number)

    def restart(self) -> None:
        """Kills the process and starts it again."""
        self.end()
        self.process = self._start()

    def end(self) -> None:
        """Ends the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(_STOP_TIMEOUT_S)


@dataclass(slots=True)
class Answer:
    """What a client got for a request; the status is 0 without an answer."""

    attempt: str
    status: int
    body: bytes = b""
    is_complete: bool = False


def free_port(host: str) -> int:
    """Returns a free port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


@dataclass
class Deployment:
    """A small deployment: store, runners, entries and agents."""

    record: Record
    folder: Path
    store: Store = field(init=False)
    engines: list[Engine] = field(default_factory=list)
    plain: list[PlainServer] = field(default_factory=list)
    entries: list[Program] = field(default_factory=list)
    agents: list[Program] = field(default_factory=list)
    routes: dict[str, dict[str, Any]] = field(default_factory=dict)
    places: int = 3
    version: int = 1
    limits: dict[str, int] = field(
        default_factory=lambda: {"MemoryMb": 300, "MaxFds": 4_100}
    )

    def __post_init__(self) -> None:
        pid = os.getpid()
        self._network = f"127.{pid % 200 + 20}.{pid // 200 % 250}"
        self.store = Store(self.ip(1))
        self._peer_port = free_port(self.ip(10))
        self._attempts = itertools.count(1)

    def ip(self, number: int) -> str:
        """Returns one of the loopback addresses of this deployment."""
        return f"{self._network}.{number}"

    async def start(
        self,
        *,
        engines: int = 0,
        plain: int = 0,
        entries: int = 1,
        limits: dict[str, int] | None = None,
        **bounds: float,
    ) -> None:
        """Starts everything and waits until the entries are ready."""
        self.limits |= limits or {}
        await self.store.listen()
        for number in range(engines):
            engine = Engine(
                self.ip(10 + number), f"e{number}", self.record, places=self.places
            )
            await engine.listen()
            self.engines.append(engine)
        for number in range(plain):
            server = PlainServer(self.ip(30 + number), f"p{number}", self.record)
            await server.listen()
            self.plain.append(server)
        for runner in (*self.engines, *self.plain):
            self.publish(runner)
        self.configure()
        for number, engine in enumerate(self.engines):
            settings = self._settings(f"side-z1-{number}", 10 + number, bounds)
            self.agents.append(
                Program("agent", settings | {"app": engine.address}, self.folder)
            )
        for number in range(entries):
            settings = self._settings(f"front-z1-{number}", 50 + number, bounds)
            host = settings["Ip"]
            settings["Listen"] = {
                "Front": f"{host}:{free_port(host)}",
                "ReadinessAddress": f"{host}:{free_port(host)}",
            }
            self.entries.append(Program("entry", settings, self.folder))
        await self.wait_until_ready()

    def _settings(
        self, name: str, number: int, bounds: dict[str, float]
    ) -> dict[str, Any]:
        return {
            "NodeName": name,
            "Ip": self.ip(number),
            "Zone": "z1",
            "Region": "r",
            "InternalPorts": [self._peer_port, self._peer_port + 15],
            "Limits": self.limits,
            "HeartbeatMs": 1_200,
            "Bounds": {
                "DrainMs": 2_000,
                "GraceS": 8,
                "ConfigApplyMs": 2_000,
                "RetryBudgetRatio": 0.2,
                "BudgetWindowS": 10,
                "BudgetSlack": 58,
                "LeaseMs": 3_000,
            }
            | bounds,
            "Platform": {"Address": self.store.address, "form": "objects"},
        }

    def publish(self, runner: Runner) -> None:
        """Writes the entry of a runner to the store."""
        self.store.put("servers", runner.instance_id, runner.heartbeat())

    def configure(self) -> None:
        """Writes a new version of the configuration."""
        self.version += 3
        engine = {
            "Slots": 8,
            "KvCapacity": 100_000,
            "WeightsMb": 200,
            "MaxAdapters": self.places,
            "LoadsPerS": 7,
            "Models": [
                {
                    "Name": MODEL,
                    "WeightsMb": 100,
                    "LoadTimeS": 1,
                    "Adapters": 50,
                    "AdapterSizeMb": 1,
                }
            ],
        }
        base = {"PathPrefix": "", "Host": HOST, "TimeoutMs": 6_000, "Priority": 1}
        base |= {"TargetLatencyMs": 1_000, "MaxAttempts": 1}
        routes = [
            base | {"Name": name, "PathPrefix": f"/{name}/"} | route
            for name, route in self.routes.items()
        ]
        spec = {
            "Version": self.version,
            "Routes": routes,
            "Services": [
                {"Name": "models", "MaxConnections": 250, "Engine": engine},
                {"Name": "orders", "MaxConnections": 110},
            ],
            "Limits": {
                "MaxHeaderBytes": 16_384,
                "MaxBodyBytes": 4_194_304,
                "HeaderTimeoutMs": 3_000,
                "IdleTimeoutMs": 15_000,
            },
        }
        self.store.put("config", "main", spec)

    async def wait_until_ready(self) -> None:
        """Waits until all entries say that they are ready."""
        end = time.monotonic() + _START_TIMEOUT_S
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > end:
                    raise RuntimeError(f"entry is not ready: {entry.log()}")
                await asyncio.sleep(0.05)

    async def is_ready(self, entry: Program) -> bool:
        """Returns whether an entry says that it is ready."""
        host, port = entry.settings["Listen"]["ReadinessAddress"].split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def next_attempt(self) -> str:
        """Returns the id of a new attempt."""
        return f"attempt-{next(self._attempts):05d}"

    async def send(
        self,
        route: str,
        *,
        entry: int = 0,
        adapter: str = "",
        deadline_ms: int = 4_000,
        leaves_after_s: float | None = None,
        attempt: str = "",
        prompt_prefix: str = "",
    ) -> Answer:
        """Sends one request on a new connection, as a client does."""
        attempt = attempt or self.next_attempt()
        host, port = self.entries[entry].settings["Listen"]["Front"].split(":")
        headers = [f"Host: {HOST}", f"Attempt-Id: {attempt}"]
        headers.append(f"Deadline-Ms: {deadline_ms}")
        if adapter:
            headers += [f"Model: {MODEL}/{adapter}", "Token-Counts: 100,8"]
        if prompt_prefix:
            headers.append(f"Prompt-Prefix: {prompt_prefix}")
        head = "\r\n".join([f"POST /{route}/x HTTP/1.1", *headers])
        head += "\r\nContent-Length: 4\r\n\r\nbody"
        self.record.write("sent", attempt=attempt, route=route, adapter=adapter)
        answer = Answer(attempt, 0)
        wait = deadline_ms / 1_000 if leaves_after_s is None else leaves_after_s
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(wait):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode())
                await read_answer(reader, answer)
        except TimeoutError:
            self.record.write("client_left", attempt=attempt)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record.write(
            "answered",
            attempt=attempt,
            status=answer.status,
            complete=answer.is_complete,
        )
        return answer

    def end(self) -> None:
        """Ends all processes that were started."""
        for program in (*self.entries, *self.agents):
            program.end()


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Reads a response into an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    answer.status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        answer.body = await reader.readexactly(int(headers.get("content-length", 0)))
    answer.is_complete = True


def has_trouble() -> bool:
    """Returns whether the script runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path, play: Callable[[Deployment, bool], Awaitable[int]], **options: Any
) -> int:
    """Plays a case and ends all processes; returns its exit status."""
    record = Record(folder / "record.txt")
    record.write("begin", trouble=int(has_trouble()))

    async def main() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(record, Path(temporary), **options)
            try:
                async with asyncio.timeout(115):
                    return await play(deployment, has_trouble())
            finally:
                deployment.end()
                for program in (*deployment.agents, *deployment.entries):
                    for line in program.log().splitlines():
                        if "level=error" in line:
                            record.write("program_error", line=line)

    try:
        status = asyncio.run(main())
    except Exception as error:
        record.write("could_not_run", error=repr(error))
        status = COULD_NOT_RUN
    record.write("end", status=status)
    record.close()
    return status
