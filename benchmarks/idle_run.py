"""Measures idle daemons: memory and processor time by connections and configuration."""

import contextlib
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.deployment import (
    SHARED_KEY,
    Process,
    fetch,
    free_port,
    loopback_address,
)
from benchmarks.design_size import ADAPTERS, CALLERS, SIDECARS
from benchmarks.fleet_sample import adapters, callers, rules, servers
from benchmarks.peers import SimulatedPeers
from benchmarks.process_usage import cpu_share, read_usage
from benchmarks.slopes import Slope
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.messages import Role
from fighitch.core.resources import Resource
from fighitch.types import Seconds

COMMAND = "python -m benchmarks.capacity --part idle"
ENTRY_CONNECTIONS = (16, 64, 128, 240)
SIDECAR_CONNECTIONS = (2, 8, 32, 60)
MEASUREMENT_WINDOW: Seconds = 6.0
# Exceeds the period after connecting in which heartbeat intervals are still short.
_SETTLE_TIME: Seconds = 5.0
_START_TIMEOUT: Seconds = 30.0


@contextlib.contextmanager
def run_daemon(command: str, settings: dict[str, Any]) -> Iterator[Process]:
    """Runs a daemon with an admin port until the context ends."""
    with tempfile.TemporaryDirectory(prefix="fighitch-") as folder:
        settings = {
            "availability_zone": "zone-0",
            "region": "region-0",
            "admin_address": loopback_address(free_port()),
            "shared_keys": [SHARED_KEY],
            **settings,
        }
        program = [sys.executable, "-m", "fighitch", command]
        process = Process(settings["instance"], program, settings, Path(folder))
        process.start()
        try:
            wait_for(lambda: _is_up(process), command)
            yield process
        finally:
            if process.stop(timeout=5.0) is None:
                process.kill()


def wait_for(condition: Any, description: str) -> None:
    """Polls a condition until it holds.

    Raises:
        TimeoutError: If the condition does not hold within the start timeout.
    """
    deadline = time.monotonic() + _START_TIMEOUT
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {_START_TIMEOUT} s for {description}")
        time.sleep(0.05)


def entry_settings(peers: Sequence[str]) -> dict[str, Any]:
    """Returns the settings of an entry that receives its configuration from peers."""
    return {
        "instance": "entry-1",
        "http_address": loopback_address(free_port()),
        "http_workers": 512,
        "peers": list(peers),
    }


def with_addresses(
    resources: Sequence[Resource], addresses: Sequence[str]
) -> list[Resource]:
    """Returns the backend servers with new addresses, in one model, zone and region."""
    return [
        msgspec.structs.replace(
            item,
            spec=msgspec.structs.replace(
                item.spec,
                address=address,
                availability_zone="zone-0",
                region="region-0",
                model="base-0",
            ),
        )
        for item, address in zip(resources, addresses, strict=True)
    ]


def measure() -> tuple[list[Slope], dict[str, float]]:
    """Measures idle daemons.

    Returns:
        Slopes by connection, and resident memory with the full configuration by name.
    """
    memory: list[tuple[float, float]] = []
    processor: list[tuple[float, float]] = []
    for count in ENTRY_CONNECTIONS:
        resident, share = measure_idle_entry(count)
        memory.append((count, resident))
        processor.append((count, share))
    sidecar_memory: list[tuple[float, float]] = []
    sidecar_processor: list[tuple[float, float]] = []
    for count in SIDECAR_CONNECTIONS:
        resident, share = measure_idle_sidecar(count)
        sidecar_memory.append((count, resident))
        sidecar_processor.append((count, share))
    slopes = [
        _slope("resident memory of an idle entry", "bytes", memory),
        _slope("processor time of an idle entry", "cores", processor),
        _slope("resident memory of an idle sidecar", "bytes", sidecar_memory),
        _slope("processor time of an idle sidecar", "cores", sidecar_processor),
    ]
    full_configuration = [
        *adapters(ADAPTERS),
        *callers(CALLERS),
        *rules(),
        *servers(SIDECARS),
    ]
    entry_bytes, _ = measure_idle_entry(0, full_configuration)
    sidecar_bytes, _ = measure_idle_sidecar(2, full_configuration)
    readings = {
        "entry with the whole configuration": entry_bytes,
        "sidecar with the whole configuration": sidecar_bytes,
    }
    return slopes, readings


def _slope(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    return Slope(name, "connection", unit, tuple(points), COMMAND)


def measure_idle_entry(
    connections: int, resources: Sequence[Resource] = ()
) -> tuple[float, float]:
    """Returns the resident bytes and the core share of an entry without requests."""
    peers = SimulatedPeers(
        Role.SIDECAR, [*adapters(10), *callers(10), *rules(), *resources]
    )
    backend_servers = servers(connections)
    # A peer that is not a backend server distributes the configuration.
    seed_address = peers.listen("seed")
    addresses = [peers.listen(item.name) for item in backend_servers]
    peers.configure(with_addresses(backend_servers, addresses), revision=2)
    peers.start()
    try:
        with run_daemon("entry", entry_settings([seed_address])) as process:
            wait_for(lambda: peers.connected >= connections + 1, "connections")
            return _measure_usage(process)
    finally:
        peers.stop()


def measure_idle_sidecar(
    connections: int, resources: Sequence[Resource] = ()
) -> tuple[float, float]:
    """Returns the resident bytes and the core share of a sidecar without requests."""
    resources = resources or [*adapters(10), *rules()]
    with run_stand_in("engine") as url:
        address = loopback_address(free_port())
        settings = {
            "instance": "engine-0000",
            "peer_address": address,
            "backend": {"type": "engine", "url": url, "model": "base-0"},
        }
        # Heartbeat interval of an entry with the maximum number of connections.
        entry_defaults = EntrySettings()
        interval = entry_defaults.interval(entry_defaults.max_connections)
        peers = SimulatedPeers(Role.ENTRY, resources, interval=interval)
        with run_daemon("sidecar", settings) as process:
            for number in range(connections):
                peers.connect(address, f"entry-{number}")
            peers.start()
            try:
                wait_for(lambda: peers.connected >= connections, "connections")
                return _measure_usage(process)
            finally:
                peers.stop()


@contextlib.contextmanager
def run_stand_in(module: str, **settings: Any) -> Iterator[str]:
    """Runs a stand-in service until the context ends and yields its URL."""
    port, control_port = free_port(), free_port()
    with tempfile.TemporaryDirectory(prefix="fighitch-") as folder:
        process = Process(
            module,
            [sys.executable, "-m", f"standins.{module}"],
            {"port": port, "control_port": control_port, **settings},
            Path(folder),
        )
        process.start()
        try:
            url = f"http://{loopback_address(control_port)}/control"
            wait_for(lambda: fetch(url)[0] == 200, module)
            yield f"http://{loopback_address(port)}"
        finally:
            if process.stop(timeout=5.0) is None:
                process.kill()


def _measure_usage(process: Process) -> tuple[float, float]:
    time.sleep(_SETTLE_TIME)
    before = read_usage(process.pid)
    time.sleep(MEASUREMENT_WINDOW)
    after = read_usage(process.pid)
    return float(after.resident), cpu_share(before, after)


def _is_up(process: Process) -> bool:
    url = f"http://{process.settings['admin_address']}/healthz"
    return process.is_running and fetch(url)[0] == 200
