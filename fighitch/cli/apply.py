"""``fighitch apply``."""

from collections import Counter
from functools import partial
from typing import TypeAlias

from cleo.helpers import option
from expression import Error, Ok, Result

from fighitch.cli.base import ClientCommand
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.cli.handover import check_can_hand_over
from fighitch.cli.manifests import read_documents
from fighitch.cli.writing import Target, write_all
from fighitch.core.apply import ApplyConflict, Unchanged, plan_apply
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.object_api import Document
from fighitch.core.object_writes import Write, WriteOutcome, WriteStatus

# Objects of one kind that are read one by one; for more, one list takes fewer calls.
MAX_SINGLE_READS = 10

# Objects by kind and name.
_Listed: TypeAlias = dict[str, dict[str, Document]]

FILE_OPTION = option(
    "file",
    "f",
    "File with one object, a List or an array, in JSON with comments; - reads standard "
    "input. May be repeated.",
    flag=False,
    multiple=True,
)


class ApplyCommand(ClientCommand):
    """Creates or replaces objects."""

    name = "apply"
    description = "Create or replace the objects of files."
    options = [
        FILE_OPTION,
        option("force", None, "Overwrite changes of others."),
    ]
    help = """\
Creates the objects of the files, or replaces them if they differ. Every object is
checked before the first one is written. If somebody else has changed an object since it
was last applied, or if metadata.resourceVersion in the file is not the current one, the
object is left alone and reported as a conflict.

The command then hands the objects to the entries and prints 'accepted' when at least
one confirms that it holds them.

Examples:
  fighitch apply -f adapters.json
  fighitch apply -f policies.json -f placements.json
  cat adapters.json | fighitch apply -f -
  fighitch apply -f adapters.json --force
"""

    def handle(self) -> int:
        """Runs the command."""
        if not self.option("file"):
            raise CommandError(ExitCode.INVALID, "give at least one file with -f")
        documents = read_documents(self.option("file"))
        check_can_hand_over(self)
        listed = self._listed(documents)
        return write_all(
            self,
            (
                Target(
                    document["kind"],
                    document["metadata"]["name"],
                    partial(self._apply, document, listed),
                )
                for document in documents
            ),
        )

    def _listed(self, documents: list[Document]) -> _Listed:
        """Lists the kinds of which the files have many objects."""
        counts = Counter(document["kind"] for document in documents)
        return {
            kind: {item["metadata"]["name"]: item for item in self.listed(kind)}
            for kind, count in counts.items()
            if count > MAX_SINGLE_READS
        }

    def _found(
        self, kind: str, name: str, listed: _Listed
    ) -> Result[Document, Failure]:
        if kind not in listed:
            return self.api.get(kind, name)
        found = listed[kind].get(name)
        if found is None:
            return Error(Failure(ErrorKind.UNKNOWN_ROUTE, f"{name!r} is not listed"))
        return Ok(found)

    def _apply(self, document: Document, listed: _Listed) -> WriteOutcome:
        found = self._found(document["kind"], document["metadata"]["name"], listed)
        if found.is_error() and found.error.kind is not ErrorKind.UNKNOWN_ROUTE:
            return WriteOutcome(
                WriteStatus.UNAVAILABLE,
                detail=found.error.detail,
                retry_after=found.error.retry_after,
            )
        plan = plan_apply(
            document,
            found.ok if found.is_ok() else None,
            manager=self.manager,
            force=self.option("force"),
        )
        match plan:
            case Unchanged(current):
                return WriteOutcome(WriteStatus.UNCHANGED, current)
            case ApplyConflict(detail):
                detail = f"{detail}; --force overwrites"
                return WriteOutcome(WriteStatus.CONFLICT, detail=detail)
            case Write(status=WriteStatus.CREATED, document=wanted) if wanted:
                return self.api.create(wanted)
            case Write(document=wanted) if wanted:
                return self.api.replace(wanted)
        raise TypeError(f"unknown plan {plan!r}")
