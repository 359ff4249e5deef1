"""Runs the gateway processes: settings, signals and the event loop."""

import os
import signal
import socket
import time
import traceback
from collections.abc import Callable
from pathlib import Path

import msgspec

from fighitch.core.gateway.settings import Address, InstanceSettings
from fighitch.gateway.agent import EngineAgent
from fighitch.gateway.entry import GatewayEntry
from fighitch.gateway.metrics import AgentMetrics, EntryMetrics
from fighitch.gateway.status_server import StatusServer
from fighitch.observability.bounded_log import BoundedLog, write_startup_error
from fighitch.platform.settings import SETTINGS_VARIABLE, decode_settings
from fighitch.runtime.event_loop import READ, EventLoop
from fighitch.types import Seconds

METRICS_PORT = 9_464
_SETTINGS_POLL_INTERVAL: Seconds = 1.0
_EXIT_BAD_SETTINGS = 2


class SignalDispatcher:
    """Dispatches signals to callbacks in the event loop."""

    def __init__(
        self, loop: EventLoop, callbacks: dict[int, Callable[[], None]]
    ) -> None:
        self._callbacks = callbacks
        self._reader, writer = socket.socketpair()
        self._writer = writer
        self._reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in callbacks:
            # Signals are dispatched through the wake-up descriptor; the handler only
            # disables the default action.
            signal.signal(number, lambda _number, _frame: None)
        loop.watch(self._reader, READ, self._on_signal)

    def _on_signal(self, _events: int) -> None:
        try:
            numbers = self._reader.recv(64)
        except BlockingIOError:
            return
        for number in numbers:
            callback = self._callbacks.get(number)
            if callback is not None:
                callback()


class SettingsFile:
    """Settings file that is reloaded on SIGHUP and when its content changes."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._content = self._path.read_bytes()

    def decode(self) -> InstanceSettings:
        """Decodes the content that was read last.

        Raises:
            msgspec.DecodeError: If the content is not valid.
        """
        return decode_settings(self._content)

    def reload_if_changed(self, log: BoundedLog) -> InstanceSettings | None:
        """Rereads the file; returns its settings if it changed and is valid."""
        try:
            content = self._path.read_bytes()
            if content == self._content:
                return None
            settings = decode_settings(content)
        except (OSError, msgspec.DecodeError) as error:
            log.event("settings_rejected", detail=error)
            return None
        self._content = content
        log.event("settings_reloaded")
        return settings


def run_entry(settings_path: str = "") -> int:
    """Runs a gateway entry until it is stopped.

    Args:
        settings_path: Path of the settings file; if empty, it is taken from the
            environment variable ``FIGHITCH_SETTINGS``.

    Returns:
        The exit code.
    """
    return _run(settings_path, _build_entry)


def run_agent(settings_path: str = "") -> int:
    """Runs an engine agent until it is stopped.

    Args:
        settings_path: Path of the settings file; if empty, it is taken from the
            environment variable ``FIGHITCH_SETTINGS``.

    Returns:
        The exit code.
    """
    return _run(settings_path, _build_agent)


def _run(
    settings_path: str,
    build: Callable[
        [EventLoop, InstanceSettings, BoundedLog], GatewayEntry | EngineAgent
    ],
) -> int:
    path = settings_path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings_file = SettingsFile(path)
        settings = settings_file.decode()
    except (OSError, msgspec.DecodeError) as error:
        write_startup_error(f"settings {path!r} ({SETTINGS_VARIABLE}): {error}")
        return _EXIT_BAD_SETTINGS
    log = BoundedLog(settings.instance)
    loop = EventLoop()
    loop.on_error = lambda error: log.event(
        "callback_failed",
        level="error",
        detail="".join(traceback.format_exception(error)[-3:]).strip(),
    )
    started_at = time.monotonic()
    program = build(loop, settings, log)

    def reload() -> None:
        changed = settings_file.reload_if_changed(log)
        if changed is not None and isinstance(program, GatewayEntry):
            program.reload(changed)

    SignalDispatcher(
        loop,
        {
            signal.SIGTERM: program.stop,
            signal.SIGINT: program.stop,
            signal.SIGHUP: reload,
        },
    )
    loop.call_every(_SETTINGS_POLL_INTERVAL, reload)
    program.start()
    log.event(
        "started", zone=settings.zone, took=f"{time.monotonic() - started_at:.3f}"
    )
    loop.run()
    log.event("ended")
    return 0


def _build_entry(
    loop: EventLoop, settings: InstanceSettings, log: BoundedLog
) -> GatewayEntry:
    metrics = EntryMetrics()
    entry = GatewayEntry(loop, settings, log, metrics)
    addresses = [Address(settings.host, METRICS_PORT)]
    if settings.readiness is not None:
        addresses.append(settings.readiness)
    for address in addresses:
        StatusServer(loop, address, log, is_ready=entry.ready, metrics=metrics.render)
    return entry


def _build_agent(
    loop: EventLoop, settings: InstanceSettings, log: BoundedLog
) -> EngineAgent:
    if settings.engine is None:
        raise ValueError("settings of an agent must contain the address of its engine")
    metrics = AgentMetrics()
    agent = EngineAgent(loop, settings, settings.engine, log, metrics)
    StatusServer(
        loop,
        Address(settings.host, METRICS_PORT),
        log,
        is_ready=lambda: True,
        metrics=metrics.render,
    )
    return agent
