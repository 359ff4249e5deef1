"""``fighitch completion``."""

from cleo.commands.completions_command import CompletionsCommand
from cleo.helpers import argument
from cleo.io.outputs.output import Type

from fighitch.cli.exit_codes import CommandError, ExitCode


class CompletionCommand(CompletionsCommand):
    """Prints a completion script."""

    name = "completion"
    description = "Print a completion script for bash, zsh or fish."
    arguments = [argument("shell", "bash, zsh or fish.")]
    hidden = False
    help = """\
Prints a script that completes commands and options.

Examples:
  fighitch completion bash > /etc/bash_completion.d/fighitch
  fighitch completion zsh > ~/.zfunc/_fighitch
  fighitch completion fish > ~/.config/fish/completions/fighitch.fish
"""

    def handle(self) -> int:
        """Runs the command."""
        shell = self.argument("shell")
        if shell not in self.SUPPORTED_SHELLS:
            allowed = ", ".join(self.SUPPORTED_SHELLS)
            raise CommandError(
                ExitCode.INVALID, f"shell {shell!r} is unknown; allowed: {allowed}"
            )
        self.io.write_line(self.render(shell), type=Type.RAW)
        return ExitCode.OK
