"""Handing committed objects to entries and waiting for their confirmation."""

import time
from collections.abc import Sequence
from dataclasses import dataclass

from fighitch.cli.base import ClientCommand, at_once
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.core.http_calls import HttpCall, NoResponse
from fighitch.core.object_api import Document, parse_document
from fighitch.core.operators import (
    CONFIGURATION_PATH,
    handover_call,
    is_configuration_object,
    missing_objects,
)

POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class EntryAnswer:
    """What one entry made of the handed-over objects.

    Attributes:
        is_confirmed: Whether it holds them all.
        problem: Why not; empty if it does.
    """

    is_confirmed: bool
    problem: str = ""


def check_can_hand_over(command: ClientCommand) -> None:
    """Checks before any write that the objects can be handed over after it.

    Raises:
        CommandError: If there are entries but no key to sign with.
    """
    settings = command.settings
    if settings.entries and not settings.shared_keys:
        raise CommandError(
            ExitCode.INVALID,
            "shared_keys is [] in the settings; entries take only signed configuration",
        )


def hand_over(command: ClientCommand, documents: Sequence[Document]) -> ExitCode:
    """Hands committed objects to all entries and reports who confirms.

    Args:
        command: Command whose settings and output are used.
        documents: Objects as the object API holds them.

    Returns:
        ``OK`` if at least one entry confirms, else ``NOT_CONFIRMED``.
    """
    documents = [item for item in documents if is_configuration_object(item)]
    if not documents:
        return ExitCode.OK
    answers = at_once(
        lambda address: _hand_to(command, address, documents), command.settings.entries
    )
    for address, answer in answers:
        if not answer.is_confirmed:
            command.print_error(f"entry {address}: {answer.problem}")
    confirmed = sum(answer.is_confirmed for _, answer in answers)
    if not confirmed:
        command.print_error(
            "committed, but no entry has confirmed; entries that watch the object API "
            "will take it over"
        )
        return ExitCode.NOT_CONFIRMED
    if not command.is_json:
        command.print(f"accepted (confirmed by {confirmed} of {len(answers)} entries)")
    return ExitCode.OK


def _hand_to(
    command: ClientCommand, address: str, documents: Sequence[Document]
) -> EntryAnswer:
    settings = command.settings
    deadline = time.monotonic() + settings.confirm_seconds
    client = command.admin(address)
    try:
        result = client.call(handover_call(documents, settings.shared_keys[0].key))
        if isinstance(result, NoResponse):
            return EntryAnswer(False, f"does not answer: {result.detail}")
        refusal = "" if result.status < 300 else f"; it answered {result.status}"
        while True:
            answer = client.call(HttpCall("GET", CONFIGURATION_PATH))
            held = parse_document(answer, server="it")
            if held.is_ok():
                missing = missing_objects(held.ok, documents)
                problem = f"does not hold {', '.join(missing)}{refusal}"
                if not missing:
                    return EntryAnswer(True)
            else:
                problem = f"{held.error.detail}{refusal}"
            if time.monotonic() >= deadline:
                return EntryAnswer(False, problem)
            time.sleep(POLL_SECONDS)
    finally:
        client.close()
