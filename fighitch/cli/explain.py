"""``fighitch explain``."""

import msgspec
from cleo.helpers import argument
from expression import Result

from fighitch.cli.base import ClientCommand, call_concurrently
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.object_api import parse_document
from fighitch.core.operators import (
    ReceivedAuditRecord,
    explain_call,
    missing_predecessors,
    parse_audit_records,
    topologically_sorted,
)


class ExplainCommand(ClientCommand):
    """Shows what happened to a request."""

    name = "explain"
    description = "Show what happened to a request, step by step."
    arguments = [argument("request_id", "Identifier from the response headers.")]
    help = """\
Queries all entries and sidecars for their records of a request and prints each record
after its predecessors. Times are those of the recording process and cannot be compared
between processes.

Examples:
  fighitch explain 6f1c2a9b
  fighitch explain 6f1c2a9b -o json
"""

    def handle(self) -> int:
        """Runs the command."""
        is_json = self.is_json
        request_id = self.argument("request_id")
        addresses = (*self.settings.entries, *self.settings.sidecars)
        results = call_concurrently(
            lambda address: self._fetch_records(address, request_id), addresses
        )
        unreachable = [item.error for _, item in results if item.is_error()]
        for failure in unreachable:
            self.print_error(failure.detail)
        records = topologically_sorted(
            record for _, item in results if item.is_ok() for record in item.ok
        )
        if not records:
            raise self._no_records_error(request_id, len(addresses), len(unreachable))
        if is_json:
            self.print_json({"records": [msgspec.to_builtins(x) for x in records]})
        else:
            for record in records:
                self.print(_format_record(record))
        for missing in missing_predecessors(records):
            self.print_error(
                f"record {missing} is a predecessor, but no process has it"
            )
        return ExitCode.OK

    def _no_records_error(
        self, request_id: str, queried: int, unreachable: int
    ) -> CommandError:
        is_unavailable = queried == unreachable
        return CommandError(
            ExitCode.UNAVAILABLE if is_unavailable else ExitCode.NOT_FOUND,
            f"no record of request {request_id!r}: queried {queried} processes, "
            f"{unreachable} did not respond; records are kept for a limited time",
        )

    def _fetch_records(
        self, address: str, request_id: str
    ) -> Result[tuple[ReceivedAuditRecord, ...], Failure]:
        client = self.admin_client(address)
        try:
            result = client.call(explain_call(request_id))
            document = parse_document(result, server=address)
        finally:
            client.close()
        if document.is_error() and document.error.kind is ErrorKind.UNKNOWN_ROUTE:
            return Result.Ok(())
        return document.map(parse_audit_records)


def _format_record(record: ReceivedAuditRecord) -> str:
    fields = "".join(f" {key}={value}" for key, value in record.fields)
    links = f"  after {', '.join(record.predecessors)}" if record.predecessors else ""
    return f"{record.at:>14.3f}  {record.id}  {record.event}{fields}{links}"
