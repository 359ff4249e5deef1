"""The command-line application."""

import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.commands.command import Command
from cleo.commands.help_command import HelpCommand
from cleo.commands.list_command import ListCommand
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.output import Output, Type
from cleo.io.outputs.stream_output import StreamOutput

from fighitch import __version__
from fighitch.cli.apply import ApplyCommand
from fighitch.cli.check import CheckCommand
from fighitch.cli.completion import CompletionCommand
from fighitch.cli.daemons import (
    EngineAgentCommand,
    EntryCommand,
    GatewayEntryCommand,
    SidecarCommand,
)
from fighitch.cli.delete import DeleteCommand
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.cli.explain import ExplainCommand
from fighitch.cli.get import DescribeCommand, GetCommand
from fighitch.cli.label import DrainCommand, LabelCommand
from fighitch.cli.prune import PruneCommand
from fighitch.cli.status import StatusCommand
from fighitch.cli.watch import WatchCommand

COMMANDS: tuple[type[Command], ...] = (
    EntryCommand,
    SidecarCommand,
    GatewayEntryCommand,
    EngineAgentCommand,
    ApplyCommand,
    GetCommand,
    DescribeCommand,
    LabelCommand,
    DeleteCommand,
    WatchCommand,
    DrainCommand,
    PruneCommand,
    StatusCommand,
    ExplainCommand,
    CheckCommand,
    CompletionCommand,
)


class FighitchApplication(Application):
    """The application with all commands registered."""

    def __init__(self) -> None:
        super().__init__("fighitch", __version__)
        self.auto_exits(False)
        self.catch_exceptions(False)
        for command in COMMANDS:
            self.add(command())

    @property
    def default_commands(self) -> list[Command]:
        """Commands of cleo to register.

        Its completion command is left out; ``CompletionCommand`` replaces it under
        another name.
        """
        return [HelpCommand(), ListCommand()]


def run(
    arguments: Sequence[str],
    *,
    output: Output | None = None,
    error_output: Output | None = None,
) -> int:
    """Runs a command.

    Args:
        arguments: Program name, command and its arguments.
        output: Output of the command; default: standard output.
        error_output: Output for errors; default: standard error.

    Returns:
        The exit code.
    """
    error_output = error_output or StreamOutput(sys.stderr)
    argv_input = ArgvInput(_join_standard_input(arguments))
    argv_input.set_stream(sys.stdin)
    try:
        return FighitchApplication().run(argv_input, output, error_output)
    except CommandError as error:
        error_output.write_line(f"fighitch: {error}", type=Type.RAW)
        return error.code
    except CleoError as error:
        error_output.write_line(f"fighitch: {error}", type=Type.RAW)
        return ExitCode.INVALID


def main() -> int:
    """Runs the command given in the arguments of the process."""
    return run(sys.argv)


def _join_standard_input(arguments: Sequence[str]) -> list[str]:
    """Joins ``-f`` and ``-``, because cleo parses a separate ``-`` as an option."""
    joined: list[str] = []
    for item in arguments:
        if item == "-" and joined and joined[-1] in ("-f", "--file"):
            joined[-1] += "-" if joined[-1] == "-f" else "=-"
        else:
            joined.append(item)
    return joined


if __name__ == "__main__":
    sys.exit(main())
