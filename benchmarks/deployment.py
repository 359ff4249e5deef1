"""Starts a whole deployment as separate processes for benchmarks and tests.

All processes listen on loopback. The module is not part of the shipped program: the
daemons never start processes themselves.
"""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

from benchmarks.relays import Relay
from fighitch.types import Seconds

START_TIMEOUT: Seconds = 30.0
STOP_TIMEOUT: Seconds = 30.0
SHARED_KEY = {"key_id": "k1", "secret": "00112233445566778899aabbccddeeff" * 2}
_POLL_INTERVAL: Seconds = 0.05
# Below the ephemeral port range: an outgoing connection could otherwise occupy a port
# between its selection and its use.
_PORT_RANGE = (12_000, 32_000)
_port_rng = random.SystemRandom()
_used_ports: set[int] = set()


def free_port() -> int:
    """Returns a TCP port on 127.0.0.1 that this process has not returned before."""
    while True:
        port = _port_rng.randrange(*_PORT_RANGE)
        if port not in _used_ports and _is_free(port):
            _used_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def loopback_address(port: int) -> str:
    """Returns ``ip:port`` of a port on loopback."""
    return f"127.0.0.1:{port}"


@dataclass
class Process:
    """A child process of the harness with its settings file and log file."""

    name: str
    module: Sequence[str]
    settings: dict[str, Any]
    folder: Path
    popen: subprocess.Popen[bytes] | None = None

    @property
    def settings_path(self) -> Path:
        """File with the settings of the process."""
        return self.folder / f"{self.name}.json"

    @property
    def log_path(self) -> Path:
        """File that receives standard output and standard error of the process."""
        return self.folder / f"{self.name}.log"

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.popen is not None
        return self.popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        """Starts the process; a restart appends to the same log."""
        self.settings_path.write_text(json.dumps(self.settings, indent=2))
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [*self.module, "--settings", str(self.settings_path)],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process, not to its children."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits for its exit."""
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def stop(self, timeout: Seconds = STOP_TIMEOUT) -> int | None:
        """Requests a planned stop with SIGTERM and waits for the exit.

        Returns:
            The exit code; None if the process did not exit within the timeout.
        """
        if self.popen is None:
            return None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def freeze(self) -> None:
        """Pauses the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes the process with SIGCONT."""
        self.signal(signal.SIGCONT)


@dataclass(frozen=True)
class BackendPlan:
    """One backend server of a deployment."""

    name: str
    type: str
    zone: str
    model: str = ""
    service: str = ""
    adapter_slots: int = 4
    batch_size: int = 8
    checks_fencing: bool = True
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class DeploymentPlan:
    """The processes of a deployment and their settings.

    Attributes:
        zones: Availability zones, each with one entry.
        backends: Backend servers, each with a sidecar.
        loads_per_second: Rate limit of the weight store.
        max_in_transit: Limit of concurrent transfers of the weight store.
        program: Command that starts a daemon; the installed package by default.
        engine: Additional settings of the engine stand-ins.
        relays: Whether the connections between entries and sidecars, sidecars and
            backend servers, and entries and the object API pass through relays.
    """

    zones: Sequence[str]
    backends: Sequence[BackendPlan]
    loads_per_second: float = 20.0
    max_in_transit: int = 16
    program: Sequence[str] = (sys.executable, "-m", "fighitch")
    engine: Mapping[str, Any] = field(default_factory=dict)
    relays: bool = False


class Deployment:
    """The processes of a plan, as a context manager that starts and stops them."""

    def __init__(self, plan: DeploymentPlan) -> None:
        """Assigns ports and builds the settings; ``start`` starts the processes."""
        self.plan = plan
        self._folder = tempfile.TemporaryDirectory(prefix="fighitch-")
        self.folder = Path(self._folder.name)
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        # Keys: "peer/<sidecar>", "backend/<sidecar>" and "object-api/<entry>".
        self.relays: dict[str, Relay] = {}
        self._add_platform()
        for backend in plan.backends:
            self._add_backend(backend)
        for number, zone in enumerate(plan.zones, 1):
            self._add_entry(f"entry-{number}", zone)
        self._add_client()

    def __enter__(self) -> "Deployment":
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    # --- Addresses ---

    @property
    def entries(self) -> list[str]:
        """Names of the entries."""
        return [name for name in self.processes if name.startswith("entry-")]

    def caller_url(self, entry: str) -> str:
        """Base URL of the caller interface of an entry."""
        return f"http://{loopback_address(self.ports[f'{entry}/http'])}"

    def admin_url(self, name: str) -> str:
        """Base URL of the admin interface of a daemon."""
        return f"http://{loopback_address(self.ports[f'{name}/admin'])}"

    def control_url(self, name: str) -> str:
        """URL of the control interface of a stand-in."""
        return f"http://{loopback_address(self.ports[f'{name}/control'])}/control"

    # --- Lifecycle ---

    def start(self) -> None:
        """Starts all relays and processes and waits until every process responds."""
        try:
            for relay in self.relays.values():
                relay.start()
            for process in self.processes.values():
                process.start()
            for name in self.processes:
                self.wait_alive(name)
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stops all processes, the daemons before the stand-ins, and all relays."""
        order = sorted(self.processes.values(), key=lambda item: not _is_daemon(item))
        for process in order:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in order:
            if process.stop(timeout=5.0) is None:
                process.kill()
        for relay in self.relays.values():
            relay.stop()
        self._folder.cleanup()

    def wait_alive(self, name: str) -> None:
        """Waits until a process responds on its admin or control port.

        Raises:
            TimeoutError: If it exits or does not respond in time; the message
                includes the end of its log.
        """
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            if self._is_responding(name):
                return
            if not self.processes[name].is_running:
                break
            time.sleep(_POLL_INTERVAL)
        log = self.processes[name].log_path.read_text()[-2_000:]
        raise TimeoutError(f"{name} does not respond:\n{log}")

    def wait_ready(self) -> None:
        """Waits until ``/readyz`` of every entry reports ready."""
        for entry in self.entries:
            self.wait_for(
                lambda entry=entry: fetch(f"{self.caller_url(entry)}/readyz")[0] == 200,
                f"{entry} to be ready",
            )

    def wait_for(
        self, condition: Any, what: str, *, timeout: Seconds = START_TIMEOUT
    ) -> None:
        """Waits until a condition holds.

        Raises:
            TimeoutError: If the condition does not hold within the timeout.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(_POLL_INTERVAL)
        raise TimeoutError(f"timed out after {timeout} s waiting for {what}")

    def set_fault(self, name: str, **faults: Any) -> dict[str, Any]:
        """Sets faults of a stand-in and returns its faults and counters."""
        body = json.dumps(faults).encode()
        status, data = fetch(self.control_url(name), method="POST", body=body)
        if status != 200:
            raise ValueError(
                f"{name}: control request failed with {status}: {data[:300]!r}"
            )
        return json.loads(data)

    def control(self, name: str) -> dict[str, Any]:
        """Returns the faults and counters of a stand-in."""
        return json.loads(fetch(self.control_url(name))[1])

    def client(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs the command-line client for operators."""
        path = str(self.folder / "client.json")
        return subprocess.run(
            [*self.plan.program, *arguments, "--settings", path],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def apply(self, documents: Sequence[dict[str, Any]]) -> str:
        """Applies resources with the command-line client and returns its output.

        Raises:
            RuntimeError: If the client exits with an error.
        """
        path = self.folder / "resources.json"
        path.write_text(json.dumps(list(documents)))
        done = self.client("apply", "-f", str(path))
        if done.returncode != 0:
            raise RuntimeError(
                f"apply: exit code {done.returncode}: {done.stdout}{done.stderr}"
            )
        return done.stdout

    def backend_documents(self) -> list[dict[str, Any]]:
        """Returns the BackendServer resources of the plan."""
        return [
            document(
                "BackendServer",
                backend.name,
                {
                    "type": backend.type,
                    "address": loopback_address(self._peer_port(backend.name)),
                    "availabilityZone": backend.zone,
                    "region": "region-1",
                    "model": backend.model,
                    "service": backend.service,
                    "adapterSlots": backend.adapter_slots,
                    "batchSize": backend.batch_size,
                    "checksFencing": backend.checks_fencing,
                },
                labels={"type": backend.type, **backend.labels},
            )
            for backend in self.plan.backends
        ]

    # --- Settings ---

    def _add_platform(self) -> None:
        self._add_stand_in("object-api", "object_api", {})
        self._add_stand_in(
            "weight-store",
            "weight_store",
            {
                "model": {
                    "loads_per_second": self.plan.loads_per_second,
                    "max_in_transit": self.plan.max_in_transit,
                }
            },
        )
        names = [backend.name for backend in self.plan.backends]
        self._add_stand_in("instance-list", "instance_list", {"live": names})

    def _add_backend(self, backend: BackendPlan) -> None:
        stand_in = f"{backend.name}-backend"
        if backend.type == "engine":
            settings = {
                "model": {
                    "adapter_slots": backend.adapter_slots,
                    "batch_size": backend.batch_size,
                },
                "checks_fencing": backend.checks_fencing,
                "weight_store_url": self._url("weight-store"),
                **self.plan.engine,
            }
            self._add_stand_in(stand_in, "engine", settings)
        else:
            self._add_stand_in(stand_in, "service", {})
        self._add_daemon(
            backend.name,
            "sidecar",
            {
                **self._common_settings(backend.name, backend.zone),
                "peer_address": loopback_address(self._port(f"{backend.name}/peer")),
                "backend": {
                    "type": backend.type,
                    "url": self._url(stand_in, link=f"backend/{backend.name}"),
                    "service": backend.service,
                    "model": backend.model,
                    "adapter_slots": backend.adapter_slots,
                    "batch_size": backend.batch_size,
                    "checks_fencing": backend.checks_fencing,
                },
            },
        )

    def _add_entry(self, name: str, zone: str) -> None:
        peers = [
            loopback_address(self._peer_port(backend.name))
            for backend in self.plan.backends
        ]
        self._add_daemon(
            name,
            "entry",
            {
                **self._common_settings(name, zone),
                "http_address": loopback_address(self._port(f"{name}/http")),
                "peers": peers,
                "instance_list": self._url("instance-list"),
                "watch": True,
                "object_api": self._url("object-api", link=f"object-api/{name}"),
            },
        )

    def _add_client(self) -> None:
        settings = {
            "object_api": self._url("object-api"),
            "entries": [
                loopback_address(self.ports[f"{name}/admin"]) for name in self.entries
            ],
            "sidecars": [
                loopback_address(self.ports[f"{backend.name}/admin"])
                for backend in self.plan.backends
            ],
            "shared_keys": [SHARED_KEY],
        }
        (self.folder / "client.json").write_text(json.dumps(settings))

    def _common_settings(self, name: str, zone: str) -> dict[str, Any]:
        return {
            "instance": name,
            "availability_zone": zone,
            "region": "region-1",
            "admin_address": loopback_address(self._port(f"{name}/admin")),
            "object_api": self._url("object-api"),
            "shared_keys": [SHARED_KEY],
        }

    def _add_stand_in(self, name: str, module: str, settings: dict[str, Any]) -> None:
        settings = {
            "port": self._port(f"{name}/port"),
            "control_port": self._port(f"{name}/control"),
            **settings,
        }
        command = [sys.executable, "-m", f"standins.{module}"]
        self.processes[name] = Process(name, command, settings, self.folder)

    def _add_daemon(self, name: str, command: str, settings: dict[str, Any]) -> None:
        self.processes[name] = Process(
            name, [*self.plan.program, command], settings, self.folder
        )

    def _port(self, name: str) -> int:
        self.ports[name] = free_port()
        return self.ports[name]

    def _url(self, name: str, *, link: str = "") -> str:
        port = self.ports[f"{name}/port"]
        return f"http://{loopback_address(self._relayed(link, port) if link else port)}"

    def _peer_port(self, backend: str) -> int:
        return self._relayed(f"peer/{backend}", self.ports[f"{backend}/peer"])

    def _relayed(self, link: str, port: int) -> int:
        """Returns the port of a link's relay, or the port itself without relays."""
        if not self.plan.relays:
            return port
        if link not in self.relays:
            self.relays[link] = Relay(port)
        return self.relays[link].port

    def _is_responding(self, name: str) -> bool:
        if f"{name}/admin" in self.ports:
            return fetch(f"{self.admin_url(name)}/healthz")[0] == 200
        return fetch(self.control_url(name))[0] == 200


def document(
    kind: str,
    name: str,
    spec: Mapping[str, Any],
    *,
    labels: Mapping[str, str] | None = None,
) -> dict[str, Any]:
    """Returns a resource in the representation of the object API."""
    return {
        "apiVersion": "fighitch.dev/v1",
        "kind": kind,
        "metadata": {"name": name, "labels": dict(labels or {})},
        "spec": dict(spec),
    }


def fetch(
    url: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout: Seconds = 5.0,
) -> tuple[int, bytes]:
    """Sends an HTTP request; returns status 0 if there was no response."""
    request = urllib.request.Request(url, body, dict(headers or {}), method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        with contextlib.closing(error):
            return error.code, error.read()
    except OSError:
        return 0, b""


def _is_daemon(process: Process) -> bool:
    return process.module[-1] in ("entry", "sidecar")
