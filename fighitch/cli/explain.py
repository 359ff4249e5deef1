"""``fighitch explain``."""

import msgspec
from cleo.helpers import argument
from expression import Result

from fighitch.cli.base import ClientCommand, at_once
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.object_api import parse_document
from fighitch.core.operators import (
    AuditRecord,
    explain_call,
    missing_predecessors,
    parse_audit_records,
    topologically_sorted,
)


class ExplainCommand(ClientCommand):
    """Shows what happened to a request."""

    name = "explain"
    description = "Show what happened to a request, step by step."
    arguments = [argument("request_id", "Identifier from the answer's headers.")]
    help = """\
Asks all entries and sidecars for their records of a request and prints them so that
each record follows those that led to it. Times are those of the recording process and
cannot be compared between processes.

Examples:
  fighitch explain 6f1c2a9b
  fighitch explain 6f1c2a9b -o json
"""

    def handle(self) -> int:
        """Runs the command."""
        is_json = self.is_json
        request_id = self.argument("request_id")
        addresses = (*self.settings.entries, *self.settings.sidecars)
        answers = at_once(lambda address: self._ask(address, request_id), addresses)
        unreachable = [item.error for _, item in answers if item.is_error()]
        for failure in unreachable:
            self.print_error(failure.detail)
        records = topologically_sorted(
            record for _, item in answers if item.is_ok() for record in item.ok
        )
        if not records:
            raise self._nothing_found(request_id, len(addresses), len(unreachable))
        if is_json:
            self.print_json({"records": [msgspec.to_builtins(x) for x in records]})
        else:
            for record in records:
                self.print(_line(record))
        for missing in missing_predecessors(records):
            self.print_error(f"record {missing} is linked, but no process has it")
        return ExitCode.OK

    def _nothing_found(
        self, request_id: str, asked: int, unreachable: int
    ) -> CommandError:
        is_unavailable = asked == unreachable
        return CommandError(
            ExitCode.UNAVAILABLE if is_unavailable else ExitCode.NOT_FOUND,
            f"no record of request {request_id!r}: asked {asked} processes, "
            f"{unreachable} did not answer; records are kept for a limited time",
        )

    def _ask(
        self, address: str, request_id: str
    ) -> Result[tuple[AuditRecord, ...], Failure]:
        client = self.admin(address)
        try:
            result = client.call(explain_call(request_id))
            answer = parse_document(result, server=address)
        finally:
            client.close()
        if answer.is_error() and answer.error.kind is ErrorKind.UNKNOWN_ROUTE:
            return Result.Ok(())
        return answer.map(parse_audit_records)


def _line(record: AuditRecord) -> str:
    fields = "".join(f" {key}={value}" for key, value in record.fields)
    links = f"  after {', '.join(record.predecessors)}" if record.predecessors else ""
    return f"{record.at:>14.3f}  {record.id}  {record.event}{fields}{links}"
