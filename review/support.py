"""What the scripts of the review share: a fleet like a small deployment, and a record.

The stand-ins are the project's own. On top of them come what our pages promise of a
sound platform: heartbeats of the servers, and the removal of entries of silent ones.
"""

import os
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from standins.platform_backends import PlatformBackend, PlatformEngine
from standins.platform_fleet import PlatformFleet

# Exit codes of a case.
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
HEARTBEAT_SECONDS = 1.2
# DEPLOY.md, "Settings of a process".
BOUNDS: dict[str, Any] = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "StableMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 56,
    "RecoveryS": 12,
    "PassMs": 120,
    "RetryAfterS": 0,
    "EnforceFencing": False,
    "LeaseMs": 3000,
    "ThawSlackMs": 300,
    "CeilingWindowS": 5,
    "CeilingOverage": 1.1,
    "version_ms": 5000,
}


def has_trouble() -> bool:
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines with the time since the start, for ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self._path = folder / "record.txt"
        self._lock = threading.Lock()
        self._path.write_text("")

    def add(self, text: str, at: float | None = None) -> None:
        """Writes a line."""
        at = time.monotonic() if at is None else at
        with self._lock, self._path.open("a") as file:
            file.write(f"{at - self.started_at:9.3f} {text}\n")


class Fleet(PlatformFleet):
    """A small fleet whose servers send heartbeats to the store."""

    def __init__(self, *, engines: int = 3, entries: int = 2) -> None:
        super().__init__(engines=engines, entries=entries, adapter_slots=8)
        # Servers that send no heartbeats, with the time since when.
        self.silent: dict[str, float] = {}
        # Servers that have left.
        self.gone: set[str] = set()
        self._is_over = threading.Event()
        self._heart = threading.Thread(target=self._send_heartbeats, daemon=True)

    def start(self) -> None:
        """Starts all components, then the heartbeats."""
        super().start()
        self._heart.start()

    def stop(self) -> None:
        """Stops the heartbeats, then all components."""
        self._is_over.set()
        super().stop()

    def _send_heartbeats(self) -> None:
        # A write that changes nothing is no event, so that it is left out.
        listed: dict[str, dict[str, Any]] = {}
        servers: list[PlatformBackend] = [*self.plain_servers, *self.engines]
        while not self._is_over.wait(HEARTBEAT_SECONDS):
            for server in servers:
                name = server.instance_id
                if name in self.gone:
                    continue
                since = self.silent.get(name)
                if since is None:
                    heartbeat = server.heartbeat()
                    if listed.get(name) != heartbeat:
                        listed[name] = heartbeat
                        self.publish_heartbeat(server)
                elif (
                    time.monotonic() - since >= 3 * HEARTBEAT_SECONDS
                    and listed.pop(name, None) is not None
                ):
                    self.store.remove("servers", name)

    def _build_settings(self, name: str, number: int) -> dict[str, Any]:
        settings = super()._build_settings(name, number)
        role = name.partition("-")[0]
        settings |= {
            "Role": role,
            "MachineClass": role,
            "Serves": [role],
            "Region": "r1",
            "Zones": {"z1": "r1"},
            "SeedNodes": [],
            "Bootstrap": True,
            "CountsAsLoss": False,
            "Limits": {
                "CpuShare": 0.86,
                "CpuCores": 1,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "virtual_ip",
            "HeartbeatMs": round(HEARTBEAT_SECONDS * 1000),
            "Bounds": dict(BOUNDS),
        }
        settings["Platform"] |= {
            "form": "objects",
            "WritesPerS": 400,
            "ReadsPerS": 2000,
            "HistoryS": 20,
            "ValueBytes": 1048576,
            "MinTtlMs": 1000,
        }
        return settings


class VersionedEngine(PlatformEngine):
    """An engine that notes the version of the adapter with which each run begins."""

    began: list[tuple[float, str, str, int]]

    def record_run(self, request: Any, headers: dict[str, str]) -> None:
        """Notes time, request, adapter and version."""
        super().record_run(request, headers)
        adapter = headers.get("model", "").partition("/")[2]
        version = self._adapter_state.loaded.get(adapter, 0)
        self.began.append((time.monotonic(), headers["attempt-id"], adapter, version))


def run_case(main: Callable[[], int]) -> None:
    """Ends the process with the result of a case."""
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    sys.exit(code)
