"""``fighitch status``."""

from typing import Any

from expression import Result

from fighitch.cli.base import ClientCommand, call_concurrently, format_table
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.core.errors import Failure
from fighitch.core.http_calls import HttpCall
from fighitch.core.object_api import Document, parse_document
from fighitch.core.operators import STATUS_PATH


class StatusCommand(ClientCommand):
    """Shows the state of entries and backend servers."""

    name = "status"
    description = "Show entries and backend servers with state and load."
    help = """\
Queries every entry for the revision and age of its configuration, and for the state and
load of each backend server. Entries that do not respond are listed on standard error.

Examples:
  fighitch status
  fighitch status -o json
"""

    def handle(self) -> int:
        """Runs the command."""
        is_json = self.is_json
        results = call_concurrently(self._fetch_status, self.settings.entries)
        statuses = {address: item.ok for address, item in results if item.is_ok()}
        for _, result in results:
            if result.is_error():
                self.print_error(result.error.detail)
        if not statuses:
            raise CommandError(
                ExitCode.UNAVAILABLE,
                f"none of {len(results)} entries responds; check 'entries' in the "
                "settings",
            )
        if is_json:
            self.print_json(statuses)
            return ExitCode.OK
        self.print(
            format_table(
                ["ENTRY", "INSTANCE", "STATE", "REVISION", "AGE"],
                (_entry_row(address, item) for address, item in statuses.items()),
            )
        )
        self.print("")
        self.print(
            format_table(
                [
                    "BACKEND SERVER",
                    "STATE",
                    "RUNNING",
                    "QUEUED",
                    "BATCH",
                    "REVISION",
                    "AGE",
                    "SEEN BY",
                ],
                (
                    _server_row(server, entry)
                    for entry in statuses.values()
                    for server in entry.get("backend_servers") or ()
                ),
            )
        )
        return ExitCode.OK

    def _fetch_status(self, address: str) -> Result[Document, Failure]:
        client = self.admin_client(address)
        try:
            result = client.call(HttpCall("GET", STATUS_PATH))
            return parse_document(result, server=f"entry {address}")
        finally:
            client.close()


def _entry_row(address: str, entry: Document) -> list[Any]:
    return [
        address,
        entry.get("instance"),
        entry.get("state"),
        entry.get("revision"),
        _format_age(entry.get("age_seconds")),
    ]


def _server_row(server: Document, entry: Document) -> list[Any]:
    queued = server.get("queued")
    return [
        server.get("name"),
        server.get("state"),
        server.get("running"),
        sum(queued.values()) if isinstance(queued, dict) else queued,
        server.get("batch_size"),
        server.get("revision"),
        _format_age(server.get("age_seconds")),
        entry.get("instance"),
    ]


def _format_age(seconds: Any) -> str | None:
    return f"{seconds:.1f} s" if isinstance(seconds, int | float) else None
