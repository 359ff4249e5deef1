"""Memory and processor time of idle daemons, over connections and configuration."""

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
CONNECTIONS = (16, 64, 128, 240)
ENTRY_PEERS = (2, 8, 32, 60)
WINDOW: Seconds = 6.0
# Longer than the first, shorter intervals of the connections.
_SETTLE: Seconds = 5.0
_START_TIMEOUT: Seconds = 30.0


@contextlib.contextmanager
def started(command: str, settings: dict[str, Any]) -> Iterator[Process]:
    """Runs a daemon with an admin port."""
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


def wait_for(condition: Any, what: str) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: If it does not hold in time.
    """
    deadline = time.monotonic() + _START_TIMEOUT
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {_START_TIMEOUT} s for {what}")
        time.sleep(0.05)


def entry_settings(peers: Sequence[str]) -> dict[str, Any]:
    """Returns settings of an entry that gets its configuration from peers."""
    return {
        "instance": "entry-1",
        "http_address": loopback_address(free_port()),
        "http_workers": 512,
        "peers": list(peers),
    }


def with_addresses(
    resources: Sequence[Resource], addresses: Sequence[str]
) -> list[Resource]:
    """Returns backend servers of one model, zone and region at given addresses."""
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
        Slopes, and single readings by name.
    """
    memory: list[tuple[float, float]] = []
    processor: list[tuple[float, float]] = []
    for count in CONNECTIONS:
        resident, share = idle_entry(count)
        memory.append((count, resident))
        processor.append((count, share))
    sidecar_memory: list[tuple[float, float]] = []
    sidecar_processor: list[tuple[float, float]] = []
    for count in ENTRY_PEERS:
        resident, share = idle_sidecar(count)
        sidecar_memory.append((count, resident))
        sidecar_processor.append((count, share))
    slopes = [
        _slope("resident memory of an idle entry", "bytes", memory),
        _slope("processor time of an idle entry", "cores", processor),
        _slope("resident memory of an idle sidecar", "bytes", sidecar_memory),
        _slope("processor time of an idle sidecar", "cores", sidecar_processor),
    ]
    full = [*adapters(ADAPTERS), *callers(CALLERS), *rules(), *servers(SIDECARS)]
    entry_full, _ = idle_entry(0, full)
    sidecar_full, _ = idle_sidecar(2, full)
    readings = {
        "entry with the whole configuration": entry_full,
        "sidecar with the whole configuration": sidecar_full,
    }
    return slopes, readings


def _slope(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    return Slope(name, "connection", unit, tuple(points), COMMAND)


def idle_entry(
    connections: int, resources: Sequence[Resource] = ()
) -> tuple[float, float]:
    """Returns resident bytes and the share of a core."""
    peers = SimulatedPeers(
        Role.SIDECAR, [*adapters(10), *callers(10), *rules(), *resources]
    )
    found = servers(connections)
    # One address outside the configuration hands the configuration out.
    seed = peers.listen("seed")
    addresses = [peers.listen(item.name) for item in found]
    peers.configure(with_addresses(found, addresses), revision=2)
    peers.start()
    try:
        with started("entry", entry_settings([seed])) as process:
            wait_for(lambda: peers.connected >= connections + 1, "connections")
            return _reading(process)
    finally:
        peers.stop()


def idle_sidecar(
    connections: int, resources: Sequence[Resource] = ()
) -> tuple[float, float]:
    """Returns resident bytes and the share of a core."""
    resources = resources or [*adapters(10), *rules()]
    with stand_in("engine") as url:
        address = loopback_address(free_port())
        settings = {
            "instance": "engine-0000",
            "peer_address": address,
            "backend": {"type": "engine", "url": url, "model": "base-0"},
        }
        # What an entry states that holds as many connections as it may.
        settings_of_entry = EntrySettings()
        interval = settings_of_entry.interval(settings_of_entry.max_connections)
        peers = SimulatedPeers(Role.ENTRY, resources, interval=interval)
        with started("sidecar", settings) as process:
            for number in range(connections):
                peers.connect(address, f"entry-{number}")
            peers.start()
            try:
                wait_for(lambda: peers.connected >= connections, "connections")
                return _reading(process)
            finally:
                peers.stop()


@contextlib.contextmanager
def stand_in(module: str, **settings: Any) -> Iterator[str]:
    """Runs a stand-in of the platform and yields its URL."""
    port, control = free_port(), free_port()
    with tempfile.TemporaryDirectory(prefix="fighitch-") as folder:
        process = Process(
            module,
            [sys.executable, "-m", f"standins.{module}"],
            {"port": port, "control_port": control, **settings},
            Path(folder),
        )
        process.start()
        try:
            url = f"http://{loopback_address(control)}/control"
            wait_for(lambda: fetch(url)[0] == 200, module)
            yield f"http://{loopback_address(port)}"
        finally:
            if process.stop(timeout=5.0) is None:
                process.kill()


def _reading(process: Process) -> tuple[float, float]:
    time.sleep(_SETTLE)
    before = read_usage(process.pid)
    time.sleep(WINDOW)
    after = read_usage(process.pid)
    return float(after.resident), cpu_share(before, after)


def _is_up(process: Process) -> bool:
    url = f"http://{process.settings['admin_address']}/healthz"
    return process.is_running and fetch(url)[0] == 200
