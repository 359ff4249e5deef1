"""A small fleet on loopback: stand-ins and the real programs as processes."""

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
_LONGEST_START = 20.0
_STOP_TIMEOUT = 15.0


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """An answer as a caller sees it.

    Attributes:
        status: HTTP status; 0 if the connection ended without an answer.
        headers: Headers by lowercase name.
        body: Body as far as it came.
        complete: Whether the whole body came.
        timed_out: Whether the caller gave up; its connection was still open.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True
    timed_out: bool = False


def wait_until(condition: Callable[[], bool], timeout: float = _LONGEST_START) -> bool:
    """Waits for a condition; returns whether it came true."""
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
    **headers: str,
) -> CallerResponse:
    """Sends a request on a connection and reads the answer."""
    sent = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Ms": "4000"}
    if adapter:
        sent |= {"Model": f"{MODEL}/{adapter}", "Token-Counts": "100,20"}
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        connection.request("POST", f"/{route}/x?q=1", body=body, headers=sent)
        response = connection.getresponse()
    except TimeoutError:
        return CallerResponse(0, {}, b"", complete=False, timed_out=True)
    except (OSError, http.client.HTTPException):
        return CallerResponse(0, {}, b"", complete=False)
    received = {name.lower(): value for name, value in response.getheaders()}
    try:
        return CallerResponse(response.status, received, response.read())
    except http.client.IncompleteRead as error:
        return CallerResponse(response.status, received, error.partial, complete=False)
    except TimeoutError:
        return CallerResponse(
            response.status, received, b"", complete=False, timed_out=True
        )
    except OSError:
        return CallerResponse(response.status, received, b"", complete=False)


def free_port(host: str) -> int:
    """Returns a TCP port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


class FleetProcess:
    """One program of the direct path."""

    def __init__(self, role: str, settings: dict[str, Any], folder: str) -> None:
        self.settings = settings
        self._role = role
        self.path = Path(folder) / f"{settings['NodeName']}.json"
        self.log_path = self.path.with_suffix(".log")
        self.write_settings()
        self.incarnation = 1
        self._ending = threading.Lock()
        self.process = self._start()

    def write_settings(self) -> None:
        """Writes the settings file."""
        self.path.write_text(json.dumps(self.settings))

    def log(self) -> str:
        """Returns what the process has written."""
        return self.log_path.read_text()

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def kill_and_restart(self) -> None:
        """Kills the process and starts it again."""
        self._end_and_restart(signal.SIGKILL)

    def terminate_and_restart(self) -> None:
        """Stops the process as planned and starts it again."""
        self._end_and_restart(signal.SIGTERM)

    def _end_and_restart(self, number: int) -> None:
        """Sends a signal; a process that is ending already only gets the signal."""
        self.process.send_signal(number)
        if not self._ending.acquire(blocking=False):
            return
        try:
            self.process.wait(_STOP_TIMEOUT)
            self.incarnation += 1
            self.process = self._start()
        finally:
            self._ending.release()

    def stop(self) -> None:
        """Ends the process."""
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
    """Entries, engines with agents, two plain servers and the store."""

    def __init__(
        self,
        *,
        engines: int = 2,
        entries: int = 2,
        places: int = 3,
        proxied: bool = False,
    ) -> None:
        """Prepares the stand-ins.

        Args:
            engines: Number of engines, each with its agent.
            entries: Number of entries.
            places: Adapter places of each engine.
            proxied: Whether connections between programs pass a fault proxy.
        """
        # Each run has loopback addresses of its own, so that runs don't collide.
        self._net = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
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
                places=places,
                host=self._ip(10 + number),
            )
            for number in range(engines)
        ]
        self._peer_port = free_port(self._ip(10))
        self.entries: list[FleetProcess] = []
        self.agents: list[FleetProcess] = []
        self._entry_count = entries
        self._proxied = proxied
        # Fault proxies by the name of the link.
        self.links: dict[str, FaultProxy] = {}
        self._added_routes: list[str] = []
        self.version = 1

    def start(self) -> None:
        """Starts everything and waits until the entries are ready."""
        self.store.start()
        for server in (*self.plain_servers, *self.engines):
            server.start()
        if self._proxied:
            self._start_proxies()
        for server in (*self.plain_servers, *self.engines):
            self.publish_heartbeat(server)
        self.put_configuration()
        for number, engine in enumerate(self.engines):
            settings = self._settings(f"side-{number}", 10 + number)
            settings["app"] = engine.address
            self.agents.append(FleetProcess("agent", settings, self._folder.name))
        for number in range(self._entry_count):
            settings = self._settings(f"front-{number}", 50 + number)
            host = settings["Ip"]
            settings["Listen"] = {
                "Front": f"{host}:{free_port(host)}",
                "ReadinessAddress": f"{host}:{free_port(host)}",
            }
            self.entries.append(FleetProcess("entry", settings, self._folder.name))
            if self._proxied:
                target = _split(settings["Listen"]["Front"])
                self._add_link(f"callers-front-{number}", 70 + number, {0: target})
        for entry in self.entries:
            if not wait_until(partial(self.is_ready, entry)):
                raise RuntimeError(f"entry is not ready: {entry.log()}")

    def stop(self) -> None:
        """Ends everything."""
        for process in (*self.entries, *self.agents):
            process.stop()
        for link in self.links.values():
            link.stop()
        for server in (*self.plain_servers, *self.engines, self.store):
            server.stop()
        self._folder.cleanup()

    def _start_proxies(self) -> None:
        """Puts a proxy before each server, that of an engine before its agent too."""
        for number, server in enumerate(self.plain_servers):
            targets = {0: (server.host, server.port)}
            link = self._add_link(server.instance_id, 90 + number, targets)
            server.advertised = link.address
        for number, engine in enumerate(self.engines):
            targets = {
                engine.port: (engine.host, engine.port),
                self._peer_port: (engine.host, self._peer_port),
            }
            link = self._add_link(engine.instance_id, 110 + number, targets)
            engine.advertised = link.address

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
        """Returns where callers reach an entry."""
        if self._proxied:
            return _split(self.links[f"callers-front-{entry}"].address)
        return _split(self.entries[entry].settings["Listen"]["Front"])

    def publish_heartbeat(self, server: PlatformBackend) -> None:
        """Writes a server's entry to the store."""
        self.store.put("servers", server.instance_id, server.heartbeat())

    def add_route(self) -> str:
        """Writes a configuration with one more route; returns the route's name."""
        name = f"added-{len(self._added_routes)}"
        self._added_routes.append(name)
        self.put_configuration()
        return name

    def put_configuration(self, **routes: dict[str, Any]) -> None:
        """Writes a new version of the configuration.

        Args:
            **routes: Changed fields of the routes, by route name.
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
        listed = []
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
            listed.append(route | base.get(name, {}) | routes.get(name, {}))
        engine = {
            "Slots": 8,
            "KvCapacity": 100_000,
            "WeightsMb": 200,
            "MaxAdapters": self.engines[0].places if self.engines else 1,
            "LoadsPerS": 7,
            "Models": [{"Name": MODEL, "WeightsMb": 100, "AdapterSizeMb": 1}],
        }
        services = [
            {"Name": "models", "MaxConnections": 100, "Engine": engine},
            {"Name": "orders", "MaxConnections": 100},
        ]
        limits = {"IdleTimeoutMs": 15_000}
        spec = {
            "Version": self.version,
            "Routes": listed,
            "Services": services,
            "Limits": limits,
        }
        self.store.put("config", "main", spec)

    def is_ready(self, entry: FleetProcess) -> bool:
        """Whether an entry says that it can serve."""
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
        **headers: str,
    ) -> CallerResponse:
        """Sends a request on a new connection and reads the answer."""
        host, port = self.front_address(entry)
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        try:
            return send_on_connection(
                connection, route, request_id, adapter=adapter, body=body, **headers
            )
        finally:
            connection.close()

    def drain(self, entry: int) -> None:
        """Sends SIGTERM to an entry."""
        self.entries[entry].signal(signal.SIGTERM)

    def _ip(self, number: int) -> str:
        return f"{self._net}.{number}"

    def _settings(self, name: str, number: int) -> dict[str, Any]:
        return {
            "NodeName": name,
            "Ip": self._ip(number),
            "Zone": "z1",
            "InternalPorts": [self._peer_port, self._peer_port + 1],
            "Limits": {"MemoryMb": 256},
            "Bounds": {"GraceS": 8, "RetryBudgetRatio": 0.2, "BudgetSlack": 60},
            "Platform": {"Address": self._store_address(name, number)},
        }


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
