"""Base class of the stand-ins, with a control port, and their process entry point."""

import argparse
import os
import signal
import sys
import threading
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec
from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Request, Response

from standins.faults import FaultError, Faults, FaultState
from standins.http_server import (
    Handler,
    HttpServer,
    Router,
    error_response,
    json_response,
    read_json_object,
)
from standins.settings import SettingsError, StandInSettings, load_settings

_CONTROL_THREADS = 4

F = TypeVar("F", bound=Faults)
S = TypeVar("S", bound=StandInSettings)


class StandIn(Generic[F]):
    """Base class of the stand-ins; subclasses define routes, actions and counters."""

    def __init__(self, settings: StandInSettings, faults: F) -> None:
        """Binds both ports.

        Args:
            settings: Ports and number of threads.
            faults: Initial faults.
        """
        self.faults = FaultState(faults)
        self._server = HttpServer(
            Router(
                self.routes(),
                before_request=self.faults.admit,
                error_response=self.error_response,
            ),
            port=settings.port,
            threads=settings.threads,
        )
        self._server.is_rejecting = lambda: self.faults.current.down
        self._control = HttpServer(
            Router(
                [
                    ("GET", "/control", self._show_control),
                    ("POST", "/control", self._set_control),
                ]
            ),
            port=settings.control_port,
            threads=_CONTROL_THREADS,
        )

    @property
    def port(self) -> int:
        """TCP port of the stand-in's own interface."""
        return self._server.bound_port

    @property
    def control_port(self) -> int:
        """TCP port for faults and counters."""
        return self._control.bound_port

    def routes(self) -> Iterable[tuple[str, str, Handler]]:
        """Returns the method, path rule and handler of each route."""
        raise NotImplementedError

    def actions(self) -> Mapping[str, Callable[[], None]]:
        """Returns the one-time actions that ``POST /control`` can trigger, by name."""
        return {}

    def counters(self) -> Mapping[str, Any]:
        """Returns the counters that ``GET /control`` shows."""
        return {}

    def faults_changed(self, before: F, after: F) -> None:
        """Called after each update of the faults; subclasses override it."""

    def error_response(self, error: HTTPException) -> Response:
        """Returns the response to an HTTP error."""
        return error_response(error.code or 500, error.description or error.name)

    def start(self) -> None:
        """Starts accepting connections on both ports."""
        self._server.start()
        self._control.start()

    def stop(self) -> None:
        """Closes both ports and all connections."""
        self.faults.close()
        self._server.stop()
        self._control.stop()

    def control(self, changes: Mapping[str, Any]) -> None:
        """Sets faults and triggers actions, as ``POST /control`` does.

        Args:
            changes: Values by fault name, and true by action name.

        Raises:
            FaultError: If a name or value is invalid.
        """
        actions = self.actions()
        faults = {key: value for key, value in changes.items() if key not in actions}
        try:
            before, after = self.faults.update(faults)
        except FaultError as error:
            raise FaultError(f"{error}; allowed actions: {sorted(actions)}") from error
        if after.down and not before.down:
            self._server.cut_connections()
        self.faults_changed(before, after)
        for name, action in actions.items():
            if changes.get(name) is True:
                action()

    def _show_control(self, request: Request) -> Response:
        return json_response(
            {
                "faults": msgspec.to_builtins(self.faults.current),
                "actions": sorted(self.actions()),
                "counters": self.counters(),
            }
        )

    def _set_control(self, request: Request) -> Response:
        try:
            self.control(read_json_object(request))
        except FaultError as error:
            return error_response(400, str(error))
        return self._show_control(request)


def run(settings_type: type[S], create: Callable[[S], StandIn[Any]]) -> None:
    """Runs a stand-in until SIGTERM or SIGINT.

    Args:
        settings_type: Type of the settings.
        create: Creates the stand-in from the settings.
    """
    parser = argparse.ArgumentParser(description=create.__doc__)
    parser.add_argument("--settings", type=Path, help="JSON file, comments allowed")
    arguments = parser.parse_args()
    try:
        settings = (
            load_settings(arguments.settings, settings_type)
            if arguments.settings
            else settings_type()
        )
    except SettingsError as error:
        sys.exit(str(error))
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    stand_in = create(settings)
    stand_in.start()
    print(
        f"ready port={stand_in.port} control_port={stand_in.control_port}", flush=True
    )
    stopping.wait()
    stand_in.stop()
    sys.stdout.flush()
    sys.stderr.flush()
    # A normal exit would join the pool threads, which may still wait for a peer.
    os._exit(0)
