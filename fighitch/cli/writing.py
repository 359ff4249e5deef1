"""Writes several objects, with retries, reports, handover and the exit code."""

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from fighitch.cli.base import ClientCommand
from fighitch.cli.exit_codes import ExitCode, exit_code_of, most_severe
from fighitch.cli.handover import hand_over
from fighitch.core.object_api import Document
from fighitch.core.object_writes import WriteOutcome, WriteStatus

# Limits the retries of a write that the object API rejects for its call rate.
MAX_RETRIES = 5
MAX_RETRY_DELAY_SECONDS = 10.0

_NOT_ATTEMPTED = WriteOutcome(
    WriteStatus.UNAVAILABLE, detail="not attempted: the object API is unavailable"
)


@dataclass(frozen=True, slots=True)
class Target:
    """An object to write.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        write: Performs the write.
    """

    kind: str
    name: str
    write: Callable[[], WriteOutcome]


@dataclass(frozen=True, slots=True)
class TargetResult:
    """A target and the outcome of its write."""

    target: Target
    outcome: WriteOutcome


def write_all(command: ClientCommand, targets: Iterable[Target]) -> ExitCode:
    """Writes objects sequentially and hands them over to the entries.

    A rejected write does not stop the remaining ones. An unavailable object API does,
    because each further call would wait for its timeout.

    Args:
        command: Command whose settings and output are used.
        targets: Objects to write.

    Returns:
        The most severe exit code of the writes and the handover.
    """
    is_json = command.is_json
    results: list[TargetResult] = []
    is_api_available = True
    for target in targets:
        outcome = (
            _write_with_retries(target.write) if is_api_available else _NOT_ATTEMPTED
        )
        is_api_available = outcome.status is not WriteStatus.UNAVAILABLE
        results.append(TargetResult(target, outcome))
        _print_outcome(command, target, outcome, quiet=is_json)
    if is_json:
        command.print_json([_result_document(item) for item in results])
    codes = [exit_code_of(item.outcome) for item in results]
    return most_severe([*codes, hand_over(command, _committed_documents(results))])


def _write_with_retries(write: Callable[[], WriteOutcome]) -> WriteOutcome:
    """Performs a write and retries it while the object API sends a retry delay."""
    for _ in range(MAX_RETRIES):
        outcome = write()
        if outcome.status is not WriteStatus.UNAVAILABLE or outcome.retry_after is None:
            return outcome
        time.sleep(min(outcome.retry_after, MAX_RETRY_DELAY_SECONDS))
    return write()


def _print_outcome(
    command: ClientCommand, target: Target, outcome: WriteOutcome, *, quiet: bool
) -> None:
    text = f"{target.kind} {target.name!r}: {outcome.status.value}"
    if not outcome.is_committed:
        command.print_error(f"{text}: {outcome.detail}")
    elif not quiet:
        command.print(text)


def _result_document(item: TargetResult) -> Document:
    return {
        "kind": item.target.kind,
        "name": item.target.name,
        "outcome": item.outcome.status.value,
        "detail": item.outcome.detail,
        "document": item.outcome.document,
    }


def _committed_documents(results: Sequence[TargetResult]) -> list[Document]:
    return [
        item.outcome.document
        for item in results
        if item.outcome.is_committed and item.outcome.document is not None
    ]
