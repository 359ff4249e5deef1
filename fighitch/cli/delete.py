"""``fighitch delete``."""

from functools import partial

from cleo.helpers import argument

from fighitch.cli.apply import FILE_OPTION
from fighitch.cli.base import SELECTOR_OPTION, ClientCommand
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.cli.manifests import read_documents
from fighitch.cli.writing import Target, write_all
from fighitch.core.object_api import revision_of


class DeleteCommand(ClientCommand):
    """Deletes objects."""

    name = "delete"
    description = "Delete objects."
    arguments = [
        argument("kind", "Kind of the objects, unless -f is given.", optional=True),
        argument("name", "Name of one object.", optional=True),
    ]
    options = [SELECTOR_OPTION, FILE_OPTION]
    help = """\
Deletes one object, the objects that match a selector, or the objects of files. With a
selector, an object that has changed since it was selected is kept and reported as a
conflict. Entries receive deletions from the object API.

Examples:
  fighitch delete adapter summaries
  fighitch delete adapters -l retired
  fighitch delete -f adapters.json
"""

    def handle(self) -> int:
        """Runs the command."""
        targets = (
            self._targets_from_files()
            if self.option("file")
            else self._targets_from_arguments()
        )
        return write_all(
            self,
            (
                Target(
                    kind,
                    name,
                    partial(self.api.delete, kind, name, revision=revision),
                )
                for kind, name, revision in targets
            ),
        )

    def _targets_from_files(self) -> list[tuple[str, str, int]]:
        if self.argument("kind") or self.option("selector"):
            raise CommandError(
                ExitCode.INVALID, "give either files with -f, or a kind, not both"
            )
        return [
            (document["kind"], document["metadata"]["name"], revision_of(document))
            for document in read_documents(self.option("file"))
        ]

    def _targets_from_arguments(self) -> list[tuple[str, str, int]]:
        if not self.argument("kind"):
            raise CommandError(ExitCode.INVALID, "give a kind, or files with -f")
        kind, name = self.kind, self.argument("name")
        return [
            (kind, document["metadata"]["name"], 0 if name else revision_of(document))
            for document in self.select_objects(kind, name)
        ]
