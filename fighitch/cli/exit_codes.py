"""Exit codes of the program."""

from collections.abc import Iterable, Mapping
from enum import IntEnum

from fighitch.core.object_writes import WriteOutcome, WriteStatus


class ExitCode(IntEnum):
    """Exit codes, which scripts may rely on."""

    OK = 0
    INTERNAL = 1
    INVALID = 2
    NOT_FOUND = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_CONFIRMED = 6
    UNKNOWN_OUTCOME = 7
    REJECTED = 8


MEANINGS: Mapping[ExitCode, str] = {
    ExitCode.OK: "Success; changes handed to entries are confirmed by at least one.",
    ExitCode.INTERNAL: "Internal error in the program.",
    ExitCode.INVALID: "Invalid arguments, file or settings; no action was taken.",
    ExitCode.NOT_FOUND: "The object, or a record of the request, was not found.",
    ExitCode.CONFLICT: "Another client changed the object; nothing was written to it.",
    ExitCode.UNAVAILABLE: (
        "The object API or the entries are unavailable; nothing was written."
    ),
    ExitCode.NOT_CONFIRMED: "Committed in the object API, but confirmed by no entry.",
    ExitCode.UNKNOWN_OUTCOME: (
        "The response was lost and reading back did not determine the outcome."
    ),
    ExitCode.REJECTED: "The object API rejected the object in its current form.",
}

# A command on several objects exits with the first of these codes that occurred.
_BY_SEVERITY = (
    ExitCode.UNKNOWN_OUTCOME,
    ExitCode.CONFLICT,
    ExitCode.REJECTED,
    ExitCode.UNAVAILABLE,
    ExitCode.NOT_FOUND,
    ExitCode.NOT_CONFIRMED,
)

_BY_STATUS: Mapping[WriteStatus, ExitCode] = {
    WriteStatus.CREATED: ExitCode.OK,
    WriteStatus.REPLACED: ExitCode.OK,
    WriteStatus.DELETED: ExitCode.OK,
    WriteStatus.UNCHANGED: ExitCode.OK,
    WriteStatus.CONFLICT: ExitCode.CONFLICT,
    WriteStatus.NOT_FOUND: ExitCode.NOT_FOUND,
    WriteStatus.REJECTED: ExitCode.REJECTED,
    WriteStatus.UNAVAILABLE: ExitCode.UNAVAILABLE,
    WriteStatus.UNKNOWN: ExitCode.UNKNOWN_OUTCOME,
}


def most_severe(codes: Iterable[ExitCode]) -> ExitCode:
    """Returns the most severe of several exit codes."""
    present = set(codes)
    return next((code for code in _BY_SEVERITY if code in present), ExitCode.OK)


def exit_code_of(outcome: WriteOutcome) -> ExitCode:
    """Returns the exit code that corresponds to the outcome of a write."""
    return _BY_STATUS[outcome.status]


class CommandError(Exception):
    """Ends a command with an exit code and a message on standard error."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
