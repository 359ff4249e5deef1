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

# Up to this number, objects of one kind are read individually; beyond it, they are read
# with one list call, which needs fewer calls.
MAX_SINGLE_READS = 10

# Objects by kind and name.
_ObjectsByKind: TypeAlias = dict[str, dict[str, Document]]

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
        option("force", None, "Overwrite changes of other clients."),
    ]
    help = """\
Creates the objects of the files, or replaces them if they differ. Every object is
validated before the first one is written. If another client has changed an object since
it was last applied, or if metadata.resourceVersion in the file is not the current one,
the object is left unchanged and reported as a conflict.

The command then sends the objects to the entries and prints 'accepted' when at least
one confirms that it has them.

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
        prefetched = self._prefetch_objects(documents)
        return write_all(
            self,
            (
                Target(
                    document["kind"],
                    document["metadata"]["name"],
                    partial(self._apply, document, prefetched),
                )
                for document in documents
            ),
        )

    def _prefetch_objects(self, documents: list[Document]) -> _ObjectsByKind:
        """Lists the kinds of which the files contain many objects."""
        counts = Counter(document["kind"] for document in documents)
        return {
            kind: {item["metadata"]["name"]: item for item in self.list_objects(kind)}
            for kind, count in counts.items()
            if count > MAX_SINGLE_READS
        }

    def _current_object(
        self, kind: str, name: str, prefetched: _ObjectsByKind
    ) -> Result[Document, Failure]:
        """Returns the current object from the prefetched lists or the object API."""
        if kind not in prefetched:
            return self.api.get(kind, name)
        existing = prefetched[kind].get(name)
        if existing is None:
            return Error(Failure(ErrorKind.UNKNOWN_ROUTE, f"{name!r} is not listed"))
        return Ok(existing)

    def _apply(self, document: Document, prefetched: _ObjectsByKind) -> WriteOutcome:
        existing = self._current_object(
            document["kind"], document["metadata"]["name"], prefetched
        )
        if existing.is_error() and existing.error.kind is not ErrorKind.UNKNOWN_ROUTE:
            return WriteOutcome(
                WriteStatus.UNAVAILABLE,
                detail=existing.error.detail,
                retry_after=existing.error.retry_after,
            )
        plan = plan_apply(
            document,
            existing.ok if existing.is_ok() else None,
            manager=self.manager,
            force=self.option("force"),
        )
        match plan:
            case Unchanged(current):
                return WriteOutcome(WriteStatus.UNCHANGED, current)
            case ApplyConflict(detail):
                detail = f"{detail}; --force overwrites"
                return WriteOutcome(WriteStatus.CONFLICT, detail=detail)
            case Write(status=WriteStatus.CREATED, document=desired) if desired:
                return self.api.create(desired)
            case Write(document=desired) if desired:
                return self.api.replace(desired)
        raise TypeError(f"unknown plan {plan!r}")
