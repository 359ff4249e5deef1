"""The commands that run a daemon.

Each daemon is imported when its command runs, so that the operators' client starts
without loading modules that only daemons need.
"""

import signal

from cleo.commands.command import Command
from cleo.helpers import option

from fighitch.cli.exit_codes import CommandError, ExitCode

_SETTINGS = option("settings", "s", "Settings file.", flag=False)


def _settings_path(command: Command) -> str:
    path = command.option("settings")
    if not path:
        raise CommandError(ExitCode.INVALID, "give the settings file with --settings")
    return str(path)


def _ignore_reloads() -> None:
    """Ignores SIGHUP, which would end the process, until its handler is installed."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class EntryCommand(Command):
    """Runs an entry."""

    name = "entry"
    description = "Run an entry, which serves callers."
    options = [_SETTINGS]
    help = """\
Runs until SIGTERM or SIGINT starts a drain; SIGHUP reloads the settings.

Example:
  fighitch entry --settings entry.json
"""

    def handle(self) -> int:
        """Runs the command."""
        _ignore_reloads()
        path = _settings_path(self)
        from fighitch.daemons.entry import run

        return int(run(path) or 0)


class SidecarCommand(Command):
    """Runs a sidecar."""

    name = "sidecar"
    description = "Run a sidecar, which serves one backend server."
    options = [_SETTINGS]
    help = """\
Runs until SIGTERM or SIGINT starts a drain; SIGHUP reloads the settings.

Example:
  fighitch sidecar --settings sidecar.json
"""

    def handle(self) -> int:
        """Runs the command."""
        _ignore_reloads()
        path = _settings_path(self)
        from fighitch.daemons.sidecar import run

        return int(run(path) or 0)


class GatewayEntryCommand(Command):
    """Runs a gateway entry."""

    name = "gateway-entry"
    description = "Run a gateway entry on the users' platform."
    options = [_SETTINGS]
    help = """\
Accepts callers' requests and sends them directly to backend servers. The settings file
is written by the platform; without the option, FIGHITCH_SETTINGS names it.

Example:
  fighitch gateway-entry --settings /etc/fighitch/node.json
"""

    def handle(self) -> int:
        """Runs the command."""
        _ignore_reloads()
        from fighitch.gateway.process import run_entry

        return run_entry(str(self.option("settings") or ""))


class EngineAgentCommand(Command):
    """Runs an engine agent."""

    name = "engine-agent"
    description = "Run an engine agent on the users' platform."
    options = [_SETTINGS]
    help = """\
Admits requests to its engine and sends it orders. The settings file is written by the
platform; without the option, FIGHITCH_SETTINGS names it.

Example:
  fighitch engine-agent --settings /etc/fighitch/node.json
"""

    def handle(self) -> int:
        """Runs the command."""
        _ignore_reloads()
        from fighitch.gateway.process import run_agent

        return run_agent(str(self.option("settings") or ""))
