"""A small fleet on loopback: stand-ins, and the real programs as processes."""

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from standins.fault_proxy import FaultProxy
from standins.platform_backends import PlatformBackend, PlatformEngine
from standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parent.parent
MODEL = "base"
HOST = "fleet.example"
_START_TIMEOUT = 20.0
_STOP_TIMEOUT = 15.0
_SLOW_READ_BYTES = 16_384
_ENGINE_SLOTS = 8
# Descriptors in the settings of each process; those of the smallest machines.
_MAX_FDS = 1_535


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A response as seen by a caller.

    Attributes:
        status: HTTP status; 0 if the connection ended without a response.
        headers: Headers by lowercase name.
        body: Received part of the body.
        complete: Whether the whole body was received.
        timed_out: Whether the caller timed out while its connection was still open.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True
    timed_out: bool = False


def wait_until(condition: Callable[[], bool], timeout: float = _START_TIMEOUT) -> bool:
    """Waits for a condition; returns whether it became true."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


def send_on_connection(
    connection: http.client.HTTPConnection,
    route: str,
    request_id: str,
    *,
    adapter: str = "",
    body: bytes = b"body",
    on_head: Callable[[], None] = lambda: None,
    read_pause: float = 0.0,
    **headers: str,
) -> CallerResponse:
    """Sends a request on a connection and reads the response.

    Args:
        connection: Connection to an entry.
        route: Name of the route.
        request_id: Id of the request.
        adapter: Adapter of the model; empty for a plain service.
        body: Body of the request.
        on_head: Called once the head of the response has arrived.
        read_pause: Seconds between reads of the body, 0 to read it at once.
        **headers: Further headers, with underscores instead of hyphens.
    """
    request_headers = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Ms": "4000"}
    if adapter:
        request_headers |= {"Model": f"{MODEL}/{adapter}", "Token-Counts": "100,20"}
    request_headers |= {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    try:
        connection.request(
            "POST", f"/{route}/x?q=1", body=body, headers=request_headers
        )
        response = connection.getresponse()
        on_head()
    except TimeoutError:
        return CallerResponse(0, {}, b"", complete=False, timed_out=True)
    except (OSError, http.client.HTTPException):
        return CallerResponse(0, {}, b"", complete=False)
    response_headers = {name.lower(): value for name, value in response.getheaders()}
    try:
        body = _read_body(response, read_pause)
        return CallerResponse(response.status, response_headers, body)
    except http.client.IncompleteRead as error:
        return CallerResponse(
            response.status, response_headers, error.partial, complete=False
        )
    except TimeoutError:
        return CallerResponse(
            response.status, response_headers, b"", complete=False, timed_out=True
        )
    except OSError:
        return CallerResponse(response.status, response_headers, b"", complete=False)


def _read_body(response: http.client.HTTPResponse, pause: float) -> bytes:
    """Reads a body, slowly if there is a pause between reads."""
    if not pause:
        return response.read()
    body = b""
    while data := response.read(_SLOW_READ_BYTES):
        body += data
        time.sleep(pause)
    if response.length:
        # Unlike a read of the whole body, a partial one accepts an early end.
        raise http.client.IncompleteRead(body, response.length)
    return body


def find_free_port(host: str) -> int:
    """Returns a free TCP port, which another process may still take."""
    return find_free_ports(host, 1)[0]


def find_free_ports(host: str, count: int) -> list[int]:
    """Returns different free TCP ports, which other processes may still take."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]


class FleetProcess:
    """A gateway process, either an entry or an agent."""

    def __init__(self, role: str, settings: dict[str, Any], folder: str) -> None:
        self.settings = settings
        self._role = role
        self.path = Path(folder) / f"{settings['NodeName']}.json"
        self.log_path = self.path.with_suffix(".log")
        self.write_settings()
        self.incarnation = 1
        self._restart_lock = threading.Lock()
        self.process = self._start()

    @property
    def ended_with(self) -> int | None:
        """Exit code of a process that ended and is not being restarted, else None."""
        return None if self._restart_lock.locked() else self.process.poll()

    def write_settings(self) -> None:
        """Writes the settings file."""
        self.path.write_text(json.dumps(self.settings))

    def log(self) -> str:
        """Returns the output of the process."""
        return self.log_path.read_text()

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def kill_and_restart(self) -> None:
        """Kills the process and restarts it."""
        self._end_and_restart(signal.SIGKILL)

    def terminate_and_restart(self) -> None:
        """Stops the process gracefully and restarts it."""
        self._end_and_restart(signal.SIGTERM)

    def _end_and_restart(self, number: int) -> None:
        """Sends a signal and restarts the process unless a restart is in progress."""
        self.process.send_signal(number)
        if not self._restart_lock.acquire(blocking=False):
            return
        try:
            self.process.wait(_STOP_TIMEOUT)
            self.incarnation += 1
            self.process = self._start()
        finally:
            self._restart_lock.release()

    def stop(self) -> None:
        """Kills the process and waits for its exit."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(_STOP_TIMEOUT)

    def _start(self) -> subprocess.Popen[bytes]:
        environment = os.environ | {"FIGHITCH_SETTINGS": str(self.path)}
        with self.log_path.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "fighitch.gateway", self._role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )


class PlatformFleet:
    """Entries, engines with agents, two plain servers and the metadata store."""

    def __init__(
        self,
        *,
        engines: int = 2,
        entries: int = 2,
        adapter_slots: int = 3,
        proxied: bool = False,
        bounds: dict[str, Any] | None = None,
        memory_mb: int = 256,
        max_fds: int = _MAX_FDS,
    ) -> None:
        """Creates the stand-ins without starting them.

        Args:
            engines: Number of engines, each with its agent.
            entries: Number of entries.
            adapter_slots: Adapter slots of each engine.
            proxied: Whether connections between processes pass through a fault proxy.
            bounds: Further bounds in the settings of all processes.
            memory_mb: Memory limit in the settings of each process, in MB.
            max_fds: Limit of descriptors in the settings of each process.
        """
        # Derived from the process id, so that concurrent runs use different addresses.
        self._network = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
        self._folder = tempfile.TemporaryDirectory()
        self.store = PlatformStore(self._ip(1))
        self.plain_servers = [
            PlatformBackend(f"plain-{number}", "orders", self._ip(30 + number))
            for number in range(2)
        ]
        self.engines = [
            PlatformEngine(
                f"engine-{number}",
                "models",
                model=MODEL,
                adapter_slots=adapter_slots,
                host=self._ip(10 + number),
            )
            for number in range(engines)
        ]
        self._peer_port = find_free_port(self._ip(10))
        self.entries: list[FleetProcess] = []
        self.agents: list[FleetProcess] = []
        self._entry_count = entries
        self._proxied = proxied
        self._bounds = bounds or {}
        self._limits = {"MemoryMb": memory_mb, "MaxFds": max_fds}
        # Fault proxies by link name.
        self.links: dict[str, FaultProxy] = {}
        self._added_routes: list[str] = []
        # Client accounts of the next configurations; None if requests need no keys.
        self.tenants: list[dict[str, Any]] | None = None
        self.version = 1

    def start(self) -> None:
        """Starts all components and waits until the entries are ready."""
        self.store.start()
        for server in (*self.plain_servers, *self.engines):
            server.start()
        if self._proxied:
            self._start_proxies()
        for server in (*self.plain_servers, *self.engines):
            self.publish_heartbeat(server)
        for engine in self.engines:
            engine.on_restarted = partial(self._replace_heartbeat, engine)
        self.put_configuration()
        for number, engine in enumerate(self.engines):
            settings = self._build_settings(f"side-{number}", 10 + number)
            settings["app"] = engine.address
            self.agents.append(FleetProcess("agent", settings, self._folder.name))
        for number in range(self._entry_count):
            settings = self._build_settings(f"front-{number}", 50 + number)
            host = settings["Ip"]
            front, readiness = find_free_ports(host, 2)
            settings["Listen"] = {
                "Front": f"{host}:{front}",
                "ReadinessAddress": f"{host}:{readiness}",
            }
            self.entries.append(FleetProcess("entry", settings, self._folder.name))
            if self._proxied:
                target = _split_address(settings["Listen"]["Front"])
                self._add_link(f"callers-front-{number}", 70 + number, {0: target})
        for entry in self.entries:
            if not wait_until(partial(self.is_ready, entry)):
                raise RuntimeError(f"entry did not become ready: {entry.log()}")

    def stop(self) -> None:
        """Stops all components."""
        for process in (*self.entries, *self.agents):
            process.stop()
        for link in self.links.values():
            link.stop()
        for server in (*self.plain_servers, *self.engines, self.store):
            server.stop()
        self._folder.cleanup()

    def _start_proxies(self) -> None:
        """Starts a proxy per server; that of an engine covers its agent too."""
        for number, server in enumerate(self.plain_servers):
            targets = {0: (server.host, server.port)}
            link = self._add_link(server.instance_id, 90 + number, targets)
            server.advertised_address = link.address
        for number, engine in enumerate(self.engines):
            targets = {
                engine.port: (engine.host, engine.port),
                self._peer_port: (engine.host, self._peer_port),
            }
            link = self._add_link(engine.instance_id, 110 + number, targets)
            engine.advertised_address = link.address

    def _add_link(
        self, name: str, number: int, targets: dict[int, tuple[str, int]]
    ) -> FaultProxy:
        link = self.links[name] = FaultProxy(self._ip(number), targets)
        link.start()
        return link

    def _store_address(self, name: str, number: int) -> str:
        if not self._proxied:
            return self.store.address
        target = (self.store.host, self.store.port)
        return self._add_link(f"store-{name}", 130 + number, {0: target}).address

    def front_address(self, entry: int) -> tuple[str, int]:
        """Returns the address at which callers reach an entry."""
        if self._proxied:
            return _split_address(self.links[f"callers-front-{entry}"].address)
        return _split_address(self.entries[entry].settings["Listen"]["Front"])

    def publish_heartbeat(self, server: PlatformBackend) -> None:
        """Writes the heartbeat of a server to the store."""
        self.store.put("servers", server.instance_id, server.heartbeat())

    def _replace_heartbeat(self, engine: PlatformEngine, previous: str) -> None:
        self.publish_heartbeat(engine)
        self.store.remove("servers", previous)

    def add_route(self) -> str:
        """Writes a configuration with an additional route and returns its name."""
        name = f"added-{len(self._added_routes)}"
        self._added_routes.append(name)
        self.put_configuration()
        return name

    def put_configuration(
        self,
        limits: dict[str, int] | None = None,
        *,
        engine_slots: int | None = _ENGINE_SLOTS,
        **routes: dict[str, Any],
    ) -> None:
        """Writes a new version of the configuration.

        Args:
            limits: Changed limits on callers.
            engine_slots: Requests that an engine runs at once; None if the service is
                not said to be one of engines.
            **routes: Changed fields by route name.
        """
        self.version += 3
        base: dict[str, dict[str, Any]] = {
            "stream": {"Kind": "streaming", "Service": "models"},
            "resume": {
                "Kind": "streaming",
                "Service": "models",
                "Resumable": True,
                "MaxAttempts": 2,
            },
            "order": {"Kind": "non_idempotent", "Service": "orders"},
            "lookup": {"Kind": "idempotent", "Service": "orders", "MaxAttempts": 2},
        }
        for name in self._added_routes:
            base[name] = {"Kind": "idempotent", "Service": "orders"}
        route_specs = []
        for name in base | routes:
            route = {
                "Name": name,
                "Host": HOST,
                "PathPrefix": f"/{name}/",
                "TimeoutMs": 5_000,
                "TargetLatencyMs": 1_000,
                "Priority": 1,
                "MaxAttempts": 1,
            }
            route_specs.append(route | base.get(name, {}) | routes.get(name, {}))
        engine = {
            "Slots": engine_slots,
            "KvCapacity": 100_000,
            "WeightsMb": 200,
            "MaxAdapters": self.engines[0].adapter_slots if self.engines else 1,
            "LoadsPerS": 7,
            "Models": [{"Name": MODEL, "WeightsMb": 100, "AdapterSizeMb": 1}],
        }
        services: list[dict[str, Any]] = [
            {"Name": "models", "MaxConnections": 100},
            {"Name": "orders", "MaxConnections": 100},
        ]
        if engine_slots is not None:
            services[0]["Engine"] = engine
        spec = {
            "Version": self.version,
            "Routes": route_specs,
            "Services": services,
            "Limits": {"IdleTimeoutMs": 15_000} | (limits or {}),
        }
        if self.tenants is not None:
            spec["Tenants"] = self.tenants
        self.store.put("config", "main", spec)

    def is_ready(self, entry: FleetProcess) -> bool:
        """Returns whether an entry reports that it is ready."""
        host, port = entry.settings["Listen"]["ReadinessAddress"].split(":")
        try:
            connection = http.client.HTTPConnection(host, int(port), timeout=2)
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def send_request(
        self,
        route: str,
        request_id: str,
        *,
        entry: int = 0,
        adapter: str = "",
        body: bytes = b"body",
        timeout: float = 8.0,
        on_head: Callable[[], None] = lambda: None,
        read_pause: float = 0.0,
        **headers: str,
    ) -> CallerResponse:
        """Sends a request on a new connection and reads the response."""
        host, port = self.front_address(entry)
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        try:
            return send_on_connection(
                connection,
                route,
                request_id,
                adapter=adapter,
                body=body,
                on_head=on_head,
                read_pause=read_pause,
                **headers,
            )
        finally:
            connection.close()

    def drain(self, entry: int) -> None:
        """Starts the drain of an entry by SIGTERM."""
        self.entries[entry].signal(signal.SIGTERM)

    def _ip(self, number: int) -> str:
        return f"{self._network}.{number}"

    def _build_settings(self, name: str, number: int) -> dict[str, Any]:
        return {
            "NodeName": name,
            "Ip": self._ip(number),
            "Zone": "z1",
            "InternalPorts": [self._peer_port, self._peer_port + 1],
            "Limits": dict(self._limits),
            "Bounds": {"GraceS": 8, "RetryBudgetRatio": 0.2, "BudgetSlack": 60}
            | self._bounds,
            "Platform": {"Address": self._store_address(name, number)},
        }


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
