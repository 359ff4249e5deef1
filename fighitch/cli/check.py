"""``fighitch check``."""

from cleo.helpers import argument, option
from expression import Result

from fighitch.cli.base import ClientCommand
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.cli.manifests import parse_documents, read_text
from fighitch.core.commented_json import parse_commented_json
from fighitch.settings import SETTINGS_TYPES, SettingsFailure, parse_settings


class CheckCommand(ClientCommand):
    """Validates a file without applying it."""

    name = "check"
    description = "Validate a settings file, or a file of objects."
    arguments = [argument("file", "File to check; - reads standard input.")]
    options = [
        option(
            "type",
            None,
            "Settings of: entry, sidecar or client; default: inferred from the keys.",
            flag=False,
        )
    ]
    common_options = []
    help = """\
Validates a settings file, or a file of objects for 'apply', and reports the first error
with file, line, key, the invalid value and what is allowed. No server is contacted.

Examples:
  fighitch check entry.json --type entry
  fighitch check adapters.json
"""

    def handle(self) -> int:
        """Runs the command."""
        path, settings_type = self.argument("file"), self.option("type")
        if settings_type is not None and settings_type not in SETTINGS_TYPES:
            allowed = ", ".join(SETTINGS_TYPES)
            raise CommandError(
                ExitCode.INVALID,
                f"type {settings_type!r} is unknown; allowed: {allowed}",
            )
        text = read_text(path)
        settings_type = settings_type or _infer_settings_type(text)
        if settings_type is None:
            documents = list(parse_documents(path, text))
            self.print(f"{path}: valid, {len(documents)} objects")
            return ExitCode.OK
        parsed: Result[object, SettingsFailure] = parse_settings(
            text, SETTINGS_TYPES[settings_type], file=path
        )
        if parsed.is_error():
            raise CommandError(ExitCode.INVALID, str(parsed.error))
        self.print(f"{path}: valid settings of type {settings_type}")
        return ExitCode.OK


def _infer_settings_type(text: str) -> str | None:
    """Infers the type of settings from the keys of a file; None for objects."""
    parsed = parse_commented_json(text)
    if parsed.is_error() or not isinstance(parsed.ok, dict):
        return None
    keys = parsed.ok.keys()
    if "kind" in keys or "items" in keys:
        return None
    if "backend" in keys or "peer_address" in keys:
        return "sidecar"
    return "entry" if "http_address" in keys else "client"
