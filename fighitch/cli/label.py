"""``fighitch label`` and ``fighitch drain``."""

from collections.abc import Mapping, Sequence
from functools import partial

from cleo.helpers import argument, option

from fighitch.cli.base import KIND_ARGUMENT, SELECTOR_OPTION, ClientCommand
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.cli.handover import check_can_hand_over
from fighitch.cli.writing import Target, write_all
from fighitch.core.operators import DRAIN_LABEL
from fighitch.core.resources import Kind


class LabelCommand(ClientCommand):
    """Sets and removes labels."""

    name = "label"
    description = "Set and remove labels of objects."
    arguments = [
        KIND_ARGUMENT,
        argument(
            "arguments", "Name unless -l is given; key=value; key-.", multiple=True
        ),
    ]
    options = [SELECTOR_OPTION]
    help = """\
Sets labels with key=value and removes them with key-. A concurrent change of the same
label by another client is a conflict; other concurrent changes are kept.

Examples:
  fighitch label adapter summaries tier=gold
  fighitch label backendservers -l zone=a spot- tier=silver
"""

    def handle(self) -> int:
        """Runs the command."""
        arguments = list(self.argument("arguments"))
        name = None if self.selector is not None else arguments.pop(0)
        return change_labels(self, self.kind, name, parse_label_changes(arguments))


class DrainCommand(ClientCommand):
    """Drains backend servers."""

    name = "drain"
    description = "Let backend servers finish their work and accept no new work."
    arguments = [
        argument("kind", "Must be backendserver."),
        argument("name", "Name of one backend server.", optional=True),
    ]
    options = [
        SELECTOR_OPTION,
        option("undo", None, "End the drain."),
    ]
    help = f"""\
Sets the label {DRAIN_LABEL}=true, or removes it with --undo. Entries send no new work
to a backend server with this label; work in flight is completed.

Examples:
  fighitch drain backendserver engine-7
  fighitch drain backendservers -l zone=a
  fighitch drain backendserver engine-7 --undo
"""

    def handle(self) -> int:
        """Runs the command."""
        if self.kind != Kind.BACKEND_SERVER.value:
            raise CommandError(
                ExitCode.INVALID,
                f"kind {self.argument('kind')!r} cannot be drained; allowed: "
                "backendserver",
            )
        value = None if self.option("undo") else "true"
        return change_labels(
            self, self.kind, self.argument("name"), {DRAIN_LABEL: value}
        )


def parse_label_changes(arguments: Sequence[str]) -> dict[str, str | None]:
    """Parses label changes in the forms ``key=value`` and ``key-``.

    Returns:
        The new value of each label; None removes the label.

    Raises:
        CommandError: If an argument is invalid or repeats a key, or if none is given.
    """
    if not arguments:
        raise CommandError(ExitCode.INVALID, "give at least one key=value or key-")
    changes: dict[str, str | None] = {}
    for text in arguments:
        key, equals, value = text.partition("=")
        if not equals and key.endswith("-"):
            key = key[:-1]
        elif not equals:
            key = ""
        if not key or key in changes:
            raise CommandError(
                ExitCode.INVALID,
                f"label change {text!r} is not key=value or key-, or repeats a key",
            )
        changes[key] = value if equals else None
    return changes


def change_labels(
    command: ClientCommand,
    kind: str,
    name: str | None,
    changes: Mapping[str, str | None],
) -> ExitCode:
    """Changes labels of the selected objects and hands them over to the entries."""
    check_can_hand_over(command)
    names = [item["metadata"]["name"] for item in command.select_objects(kind, name)]
    return write_all(
        command,
        (
            Target(kind, item, partial(command.api.change_labels, kind, item, changes))
            for item in names
        ),
    )
