"""``fighitch entry`` and ``fighitch sidecar``.

The daemons are imported when they are started, so that the operators' client starts
without loading what only they need.
"""

from cleo.commands.command import Command
from cleo.helpers import option

from fighitch.cli.exit_codes import CommandError, ExitCode

_SETTINGS = option("settings", "s", "Settings file.", flag=False)


def _settings_path(command: Command) -> str:
    path = command.option("settings")
    if not path:
        raise CommandError(ExitCode.INVALID, "give the settings file with --settings")
    return str(path)


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
        path = _settings_path(self)
        from fighitch.daemons.sidecar import run

        return int(run(path) or 0)
