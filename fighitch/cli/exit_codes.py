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
    ExitCode.OK: "Done; for changes, at least one entry has confirmed them.",
    ExitCode.INTERNAL: "Fault in the program.",
    ExitCode.INVALID: "Arguments, a file or the settings are not valid; nothing done.",
    ExitCode.NOT_FOUND: "No such object, or no record of the request.",
    ExitCode.CONFLICT: "Somebody else changed the object; nothing written to it.",
    ExitCode.UNAVAILABLE: "Object API or entries do not answer; nothing written.",
    ExitCode.NOT_CONFIRMED: "Committed in the object API, but no entry has confirmed.",
    ExitCode.UNKNOWN_OUTCOME: "The answer was lost and reading back did not help.",
    ExitCode.REJECTED: "The object API refuses the object as it is.",
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
