"""Writing several objects: patience, reports, handover and the exit code."""

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from fighitch.cli.base import ClientCommand
from fighitch.cli.exit_codes import ExitCode, code_of, worst
from fighitch.cli.handover import hand_over
from fighitch.core.object_api import Document
from fighitch.core.object_writes import WriteOutcome, WriteStatus

# Bounds the wait for an object API that is over its call rate.
MAX_WAITS = 5
MAX_WAIT_SECONDS = 10.0

_NOT_TRIED = WriteOutcome(
    WriteStatus.UNAVAILABLE, detail="not tried: the object API takes no calls now"
)


@dataclass(frozen=True, slots=True)
class Target:
    """An object to be written.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        write: Makes the write.
    """

    kind: str
    name: str
    write: Callable[[], WriteOutcome]


@dataclass(frozen=True, slots=True)
class Written:
    """A target and what became of it."""

    target: Target
    outcome: WriteOutcome


def write_all(command: ClientCommand, targets: Iterable[Target]) -> ExitCode:
    """Writes objects one after the other and hands them to the entries.

    An object that cannot be written does not stop the others, but an object API that
    does not answer does, because each further call would wait for its timeout.

    Args:
        command: Command whose settings and output are used.
        targets: The objects.
    """
    is_json = command.is_json
    results: list[Written] = []
    is_answering = True
    for target in targets:
        outcome = _patiently(target.write) if is_answering else _NOT_TRIED
        is_answering = outcome.status is not WriteStatus.UNAVAILABLE
        results.append(Written(target, outcome))
        _report(command, target, outcome, quiet=is_json)
    if is_json:
        command.print_json([_summary(item) for item in results])
    codes = [code_of(item.outcome) for item in results]
    return worst([*codes, hand_over(command, _to_hand_over(results))])


def _patiently(write: Callable[[], WriteOutcome]) -> WriteOutcome:
    """Makes a write, and waits and repeats it while the object API asks for that."""
    for _ in range(MAX_WAITS):
        outcome = write()
        if outcome.status is not WriteStatus.UNAVAILABLE or outcome.retry_after is None:
            return outcome
        time.sleep(min(outcome.retry_after, MAX_WAIT_SECONDS))
    return write()


def _report(
    command: ClientCommand, target: Target, outcome: WriteOutcome, *, quiet: bool
) -> None:
    text = f"{target.kind} {target.name!r}: {outcome.status.value}"
    if not outcome.is_committed:
        command.print_error(f"{text}: {outcome.detail}")
    elif not quiet:
        command.print(text)


def _summary(item: Written) -> Document:
    return {
        "kind": item.target.kind,
        "name": item.target.name,
        "outcome": item.outcome.status.value,
        "detail": item.outcome.detail,
        "document": item.outcome.document,
    }


def _to_hand_over(results: Sequence[Written]) -> list[Document]:
    return [
        item.outcome.document
        for item in results
        if item.outcome.is_committed and item.outcome.document is not None
    ]
