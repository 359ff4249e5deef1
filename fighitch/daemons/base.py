"""Common base of the daemons: settings, logs, metrics, core loop and admin port."""

import os
import secrets
import sys
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict
from typing import Any, Generic, TypeVar

from fighitch.core.audit import AuditRecord
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.effects import LogEvent
from fighitch.core.inputs import ConfigurationReceived, DrainRequested
from fighitch.core.messages import Peer, Role
from fighitch.core.resources import Kind, Resource
from fighitch.core.tickets import SharedKey, TicketSigner
from fighitch.daemons.admin_app import AdminApp
from fighitch.observability.logs import EventLog
from fighitch.observability.metrics import Metrics
from fighitch.observability.traces import Traces
from fighitch.runtime.core_loop import CoreLoop
from fighitch.runtime.http_server import HttpServer
from fighitch.runtime.lifecycle import Signals
from fighitch.settings import (
    EntrySettings,
    SidecarSettings,
    keys_requiring_restart,
    load_settings,
)
from fighitch.types import Seconds

ADMIN_WORKERS = 8
LOOP_TIMEOUT: Seconds = 5.0
_INCARNATION_BITS = 63
_POLL_INTERVAL: Seconds = 0.1
_EXIT_INVALID_SETTINGS = 2
EXIT_LOOP_FAILED = 70
# Events that occur at least once per request; logged at debug level.
_FREQUENT_EVENTS = frozenset({"chunk_dropped", "heartbeat_sent"})

_Settings = TypeVar("_Settings", EntrySettings, SidecarSettings)


class Daemon(Generic[_Settings]):
    """A process that runs one core.

    A subclass creates the core and its own background tasks. ``run`` starts everything
    and returns when the drain is complete.
    """

    role: Role
    settings_type: type[_Settings]

    def __init__(self, settings_path: str, settings: _Settings) -> None:
        """Creates the core, its loop and the admin server; ``run`` starts them.

        Args:
            settings_path: Settings file, which is reloaded on SIGHUP.
            settings: The settings loaded from that file.
        """
        self.settings: _Settings = settings
        self._settings_path = settings_path
        self.incarnation = secrets.randbits(_INCARNATION_BITS)
        self.identity = Peer(
            self.role,
            settings.instance,
            self.incarnation,
            settings.availability_zone,
        )
        self.log = EventLog(
            instance=settings.instance,
            level=settings.log.level,
            path=settings.log.file,
        )
        self.metrics = Metrics(instance=settings.instance, role=self.role.value)
        self.traces = Traces(
            instance=settings.instance,
            exporter=settings.traces.exporter,
            path=settings.traces.path,
        )
        self.keys: tuple[SharedKey, ...] = self._read_shared_keys(settings)
        self._signer = TicketSigner(self.keys)
        self.loop = self.create_loop(self._signer)
        self._admin_server = HttpServer(
            settings.admin_address,
            AdminApp(self, metrics=self.metrics, keys=lambda: self.keys),
            workers=ADMIN_WORKERS,
            name="admin",
            on_rejected=self.record_rejected_http,
        )
        self._confirmed_at = time.monotonic()
        self.metrics.configuration_age.set_function(
            lambda: time.monotonic() - self._confirmed_at
        )
        self._drain_started_at: Seconds | None = None

    # --- For subclasses ---

    def create_loop(self, signer: TicketSigner) -> CoreLoop:
        """Creates the core and its loop."""
        raise NotImplementedError

    def start_tasks(self) -> None:
        """Starts the background tasks of the subclass."""

    def stop_tasks(self) -> None:
        """Stops the background tasks after the drain, while the loop still runs."""

    def store(self, core: Any) -> ConfigurationStore:
        """Returns the core's copy of the configuration."""
        raise NotImplementedError

    def records(self, request_id: str) -> tuple[AuditRecord, ...]:
        """Returns the audit records of a request."""
        raise NotImplementedError

    # --- Running ---

    def run(self) -> None:
        """Runs until a planned stop is complete."""
        signals = Signals(
            on_drain=self.drain,
            on_repeated_stop=self._log_repeated_stop,
            on_reload=self._reload,
        )
        loop_thread = threading.Thread(target=self._run_loop, name="loop", daemon=True)
        loop_thread.start()
        self._admin_server.start()
        self.start_tasks()
        self.log.event(
            "started",
            incarnation=f"{self.incarnation:x}",
            admin=self._admin_server.address,
            peers=self.loop.listen_address,
        )
        while loop_thread.is_alive() and not self._is_drain_over():
            loop_thread.join(_POLL_INTERVAL)
        if not loop_thread.is_alive():
            # HTTP handlers wait for responses that the core can no longer produce, and
            # a normal exit would wait for the handlers.
            sys.stdout.flush()
            sys.stderr.flush()
            os._exit(EXIT_LOOP_FAILED)
        self.stop_tasks()
        self._admin_server.stop()
        self.loop.stop()
        loop_thread.join(LOOP_TIMEOUT)
        self.traces.stop()
        self.log.event("stopped")
        del signals

    def _run_loop(self) -> None:
        try:
            self.loop.run()
        except Exception as error:
            # The platform restarts a process that exits, but a process without a
            # running loop would seem healthy.
            self.log.event("loop_failed", level="critical", error=repr(error))
            raise

    def _is_drain_over(self) -> bool:
        if self.loop.is_stopped:
            return True
        limit = getattr(self.settings, "drain_seconds", 0)
        if not limit or self._drain_started_at is None:
            return False
        return time.monotonic() - self._drain_started_at > limit

    def drain(self) -> None:
        """Starts a planned stop; has no effect if one was started before."""
        if self._drain_started_at is not None:
            return
        self._drain_started_at = time.monotonic()
        self.log.event("drain_requested")
        self.begin_drain()

    def begin_drain(self) -> None:
        """Makes the core reject new requests and complete those in flight."""
        self.loop.post(DrainRequested())

    def _log_repeated_stop(self) -> None:
        status = self.status()
        self.log.event(
            "second_stop_signal",
            level="warning",
            detail="still draining; a kill now would lose the requests in flight",
            status=status,
        )

    def _reload(self) -> None:
        loaded = load_settings(self._settings_path, self.settings_type)
        if loaded.is_error():
            self.log.event("reload_failed", level="error", detail=str(loaded.error))
            return
        restart_keys = keys_requiring_restart(self.settings, loaded.ok)
        self.settings = loaded.ok
        self.keys = self._read_shared_keys(loaded.ok)
        self.loop.set_keys(self.keys)
        self._signer.replace_keys(self.keys)
        self.log.event("reloaded", needs_restart=",".join(restart_keys))

    @staticmethod
    def _read_shared_keys(
        settings: EntrySettings | SidecarSettings,
    ) -> tuple[SharedKey, ...]:
        return tuple(item.key for item in settings.shared_keys)

    # --- Effects shared by both cores ---

    def record(self, event: LogEvent) -> None:
        """Logs and counts an event."""
        level = "debug" if event.name in _FREQUENT_EVENTS else "info"
        self.log.write(event, level=level)
        self.metrics.count_event(event)

    def record_rejected_http(self, detail: str) -> None:
        """Logs and counts an HTTP request or connection that was rejected."""
        self.record(LogEvent("http_refused", (("detail", detail),)))

    def record_freshness(self) -> None:
        """Records that the configuration was confirmed to be up to date."""
        self._confirmed_at = time.monotonic()

    # --- Administration ---

    def run_on_core(self, function: Callable[[Any], Any]) -> Any:
        """Calls a function with the core on the loop and returns its result."""
        return self.loop.run_on_core(function).result(LOOP_TIMEOUT)

    def is_ready(self) -> bool:
        """Returns whether the daemon can serve and no drain was requested."""
        return self._drain_started_at is None and bool(
            self.run_on_core(lambda core: core.is_ready)
        )

    def status(self) -> Any:
        """Returns a snapshot that can be encoded as JSON."""
        snapshot = self.run_on_core(lambda core: core.status(now=time.monotonic()))
        return {
            "role": self.role.value,
            "state": _state_name(snapshot),
            "age_seconds": time.monotonic() - self._confirmed_at,
            **asdict(snapshot),
        }

    def configuration(self) -> Mapping[str, Any]:
        """Returns the revision of the configuration and of each resource."""
        return self.run_on_core(lambda core: _configuration_summary(self.store(core)))

    def take_configuration(self, resources: Sequence[Resource]) -> None:
        """Merges resources that an operator uploaded."""
        self.loop.post(ConfigurationReceived(tuple(resources), revision=0))

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Returns the audit records of a request."""
        return [
            {
                "id": str(record.record_id),
                "predecessors": [str(item) for item in record.predecessors],
                "event": record.event,
                "cause": record.cause,
                "at": record.at,
                "fields": dict(record.fields),
            }
            for record in self.records(request_id)
        ]


def _state_name(snapshot: Any) -> str:
    if snapshot.is_draining:
        return "draining"
    return "ready" if snapshot.is_ready else "not ready"


def _configuration_summary(store: ConfigurationStore) -> dict[str, Any]:
    return {
        "revision": store.revision,
        "resources": {
            f"{item.kind.value}/{item.name}": item.revision
            for kind in Kind
            for item in store.of_kind(kind)
        },
    }


def run_daemon(daemon_type: type[Daemon[Any]], settings_path: str) -> int:
    """Loads the settings and runs a daemon.

    Returns:
        Exit code: 0 after a planned stop, 2 if the settings are invalid. A process
        whose loop failed exits with 70.
    """
    loaded = load_settings(settings_path, daemon_type.settings_type)
    if loaded.is_error():
        print(loaded.error, file=sys.stderr)
        return _EXIT_INVALID_SETTINGS
    daemon_type(settings_path, loaded.ok).run()
    return 0
