"""``fighitch check``."""

from cleo.helpers import argument, option
from expression import Result

from fighitch.cli.base import ClientCommand
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.cli.manifests import parse_documents, read_text
from fighitch.core.commented_json import parse_commented_json
from fighitch.settings import SETTINGS_TYPES, SettingsFailure, parse_settings


class CheckCommand(ClientCommand):
    """Checks a file without using it."""

    name = "check"
    description = "Check a settings file, or a file of objects."
    arguments = [argument("file", "File to check; - reads standard input.")]
    options = [
        option(
            "type",
            None,
            "Settings of: entry, sidecar or client; default: recognised by its keys.",
            flag=False,
        )
    ]
    common_options = []
    help = """\
Checks a settings file, or a file of objects as 'apply' takes it, and names the first
fault with file, line, key, the bad value and what is allowed. Nothing is contacted.

Examples:
  fighitch check entry.json --type entry
  fighitch check adapters.json
"""

    def handle(self) -> int:
        """Runs the command."""
        path, wanted = self.argument("file"), self.option("type")
        if wanted is not None and wanted not in SETTINGS_TYPES:
            allowed = ", ".join(SETTINGS_TYPES)
            raise CommandError(
                ExitCode.INVALID, f"type {wanted!r} is unknown; allowed: {allowed}"
            )
        text = read_text(path)
        wanted = wanted or _recognised(text)
        if wanted is None:
            documents = list(parse_documents(path, text))
            self.print(f"{path}: valid, {len(documents)} objects")
            return ExitCode.OK
        parsed: Result[object, SettingsFailure] = parse_settings(
            text, SETTINGS_TYPES[wanted], file=path
        )
        if parsed.is_error():
            raise CommandError(ExitCode.INVALID, str(parsed.error))
        self.print(f"{path}: valid settings of type {wanted}")
        return ExitCode.OK


def _recognised(text: str) -> str | None:
    """Returns the type of settings that has the keys of a file; None for objects."""
    parsed = parse_commented_json(text)
    if parsed.is_error() or not isinstance(parsed.ok, dict):
        return None
    keys = parsed.ok.keys()
    if "kind" in keys or "items" in keys:
        return None
    if "backend" in keys or "peer_address" in keys:
        return "sidecar"
    return "entry" if "http_address" in keys else "client"
