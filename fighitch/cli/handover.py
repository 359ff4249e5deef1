"""Hands committed objects over to entries and waits for their confirmation."""

import time
from collections.abc import Sequence
from dataclasses import dataclass

from fighitch.cli.base import ClientCommand, call_concurrently
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
class EntryConfirmation:
    """Whether one entry confirmed the objects.

    Attributes:
        is_confirmed: Whether the entry has all objects.
        problem: Reason if it does not; otherwise empty.
    """

    is_confirmed: bool
    problem: str = ""


def check_can_hand_over(command: ClientCommand) -> None:
    """Checks that objects can be handed over; called before any write.

    Raises:
        CommandError: If entries are configured without a key to sign with.
    """
    settings = command.settings
    if settings.entries and not settings.shared_keys:
        raise CommandError(
            ExitCode.INVALID,
            "shared_keys is [] in the settings; entries require signed configuration",
        )


def hand_over(command: ClientCommand, documents: Sequence[Document]) -> ExitCode:
    """Hands committed objects over to all entries and reports missing confirmations.

    Args:
        command: Command whose settings and output are used.
        documents: Objects as stored by the object API.

    Returns:
        ``OK`` if at least one entry confirms, else ``NOT_CONFIRMED``.
    """
    documents = [item for item in documents if is_configuration_object(item)]
    if not documents:
        return ExitCode.OK
    confirmations = call_concurrently(
        lambda address: _hand_over_to_entry(command, address, documents),
        command.settings.entries,
    )
    for address, confirmation in confirmations:
        if not confirmation.is_confirmed:
            command.print_error(f"entry {address}: {confirmation.problem}")
    confirmed = sum(confirmation.is_confirmed for _, confirmation in confirmations)
    if not confirmed:
        command.print_error(
            "committed, but no entry has confirmed; entries that watch the object API "
            "will apply the change"
        )
        return ExitCode.NOT_CONFIRMED
    if not command.is_json:
        command.print(
            f"accepted (confirmed by {confirmed} of {len(confirmations)} entries)"
        )
    return ExitCode.OK


def _hand_over_to_entry(
    command: ClientCommand, address: str, documents: Sequence[Document]
) -> EntryConfirmation:
    settings = command.settings
    deadline = time.monotonic() + settings.confirm_seconds
    client = command.admin_client(address)
    try:
        result = client.call(handover_call(documents, settings.shared_keys[0].key))
        if isinstance(result, NoResponse):
            return EntryConfirmation(False, f"does not respond: {result.detail}")
        rejection = (
            "" if result.status < 300 else f"; it returned status {result.status}"
        )
        while True:
            response = client.call(HttpCall("GET", CONFIGURATION_PATH))
            entry_configuration = parse_document(response, server="it")
            if entry_configuration.is_ok():
                missing = missing_objects(entry_configuration.ok, documents)
                problem = f"does not hold {', '.join(missing)}{rejection}"
                if not missing:
                    return EntryConfirmation(True)
            else:
                problem = f"{entry_configuration.error.detail}{rejection}"
            if time.monotonic() >= deadline:
                return EntryConfirmation(False, problem)
            time.sleep(POLL_SECONDS)
    finally:
        client.close()
