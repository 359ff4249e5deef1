"""What the commands of the operators' client share."""

import getpass
import os
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import cached_property
from typing import Any, ClassVar, TypeVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type
from expression import Result

from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.clients.http_client import HttpClient
from fighitch.clients.object_api import ObjectApiClient
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.labels import EVERYTHING, Selector, parse_selector
from fighitch.core.object_api import PLURALS, Document, labels_of
from fighitch.settings import ClientSettings, load_settings
from fighitch.types import Seconds

SETTINGS_VARIABLE = "FIGHITCH_SETTINGS"
DEFAULT_SETTINGS = "fighitch.json"
# Threads that ask entries and sidecars at the same time.
MAX_WORKERS = 32

_T = TypeVar("_T")

SETTINGS_OPTION = option(
    "settings",
    "s",
    f"Settings file; default: ${SETTINGS_VARIABLE}, then {DEFAULT_SETTINGS}.",
    flag=False,
)
OUTPUT_OPTION = option(
    "output", "o", "Output format: table or json.", flag=False, default="table"
)
SELECTOR_OPTION = option(
    "selector", "l", "Label selector, such as tier=gold,!spot.", flag=False
)
KIND_ARGUMENT = argument("kind", f"One of {', '.join(PLURALS.values())}.")


class ClientCommand(Command):
    """A command that uses the client's settings."""

    common_options: ClassVar[list[Option]] = [SETTINGS_OPTION, OUTPUT_OPTION]

    def configure(self) -> None:
        """Adds the options that all commands of the client have."""
        super().configure()
        for shared in self.common_options:
            self._definition.add_option(shared)

    @cached_property
    def settings(self) -> ClientSettings:
        """Settings of the client.

        Raises:
            CommandError: If they are not valid.
        """
        path = (
            self.option("settings")
            or os.environ.get(SETTINGS_VARIABLE)
            or DEFAULT_SETTINGS
        )
        loaded = load_settings(path, ClientSettings)
        if loaded.is_error():
            raise CommandError(ExitCode.INVALID, str(loaded.error))
        return loaded.ok

    @cached_property
    def api(self) -> ObjectApiClient:
        """Client of the object API.

        Raises:
            CommandError: If the settings name none.
        """
        if not self.settings.object_api:
            raise CommandError(
                ExitCode.INVALID, "object_api is '' in the settings; set its base URL"
            )
        return ObjectApiClient(
            self.settings.object_api,
            timeout=self.settings.timeout_seconds,
            bearer_key=self.settings.operator_key,
        )

    @property
    def manager(self) -> str:
        """Name under which ``apply`` records what it applied."""
        if self.settings.manager:
            return self.settings.manager
        try:
            return getpass.getuser()
        except (KeyError, OSError):
            return "unknown"

    @property
    def is_json(self) -> bool:
        """Whether JSON is wanted.

        Raises:
            CommandError: If the format is unknown.
        """
        wanted = self.option("output")
        if wanted not in ("table", "json"):
            raise CommandError(
                ExitCode.INVALID, f"output {wanted!r} is not one of 'table', 'json'"
            )
        return bool(wanted == "json")

    @property
    def selector(self) -> Selector | None:
        """Selector that was given, if any.

        Raises:
            CommandError: If it cannot be read.
        """
        text = self.option("selector")
        if text is None:
            return None
        parsed = parse_selector(text)
        if parsed.is_error():
            raise CommandError(ExitCode.INVALID, parsed.error.detail)
        if not parsed.ok.requirements:
            raise CommandError(
                ExitCode.INVALID, "selector '' selects every object; name a condition"
            )
        return parsed.ok

    @property
    def kind(self) -> str:
        """Kind that was given, in any case, singular or plural.

        Raises:
            CommandError: If there is no such kind.
        """
        wanted = self.argument("kind").lower()
        for kind, plural in PLURALS.items():
            if wanted in (kind.lower(), plural):
                return kind
        allowed = ", ".join(PLURALS.values())
        raise CommandError(
            ExitCode.INVALID,
            f"kind {self.argument('kind')!r} is unknown; allowed: {allowed}",
        )

    def admin(self, address: str, *, timeout: Seconds | None = None) -> HttpClient:
        """Returns a client of an admin address."""
        return HttpClient(
            f"http://{address}",
            timeout=timeout or self.settings.timeout_seconds,
            bearer_key=self.settings.operator_key,
        )

    def chosen(self, kind: str, name: str | None) -> list[Document]:
        """Returns the object of that name, or those that the selector chooses.

        Raises:
            CommandError: If there is none, or neither or both were given.
        """
        selector = self.selector
        if (name is None) == (selector is None):
            raise CommandError(
                ExitCode.INVALID, "give either a name or a selector with -l"
            )
        if name is not None:
            return [checked(self.api.get(kind, name), f"{kind} {name!r}")]
        documents = self.listed(kind, selector or EVERYTHING)
        if not documents:
            raise CommandError(
                ExitCode.NOT_FOUND,
                f"no {kind} matches the selector {self.option('selector')!r}",
            )
        return documents

    def listed(self, kind: str, selector: Selector = EVERYTHING) -> list[Document]:
        """Returns the objects of a kind that the selector chooses, by name."""
        answer = checked(self.api.list(kind), PLURALS[kind])
        documents = [
            # Items of a list may lack the kind, which the list states once.
            {"apiVersion": answer.get("apiVersion"), "kind": kind, **item}
            for item in answer.get("items") or ()
        ]
        return sorted(
            (
                document
                for document in documents
                if selector.matches(labels_of(document))
            ),
            key=lambda document: str(document["metadata"]["name"]),
        )

    def print(self, text: str) -> None:
        """Writes a line to standard output, without interpreting markup."""
        self.io.write_line(text, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Writes a line to standard error, without interpreting markup."""
        self.io.write_error_line(text, type=Type.RAW)

    def print_json(self, value: Any) -> None:
        """Writes a value as indented JSON to standard output."""
        self.print(msgspec.json.format(msgspec.json.encode(value)).decode())


def checked(result: Result[_T, Failure], subject: str) -> _T:
    """Returns the value of a result.

    Raises:
        CommandError: If it is a failure.
    """
    if result.is_ok():
        return result.ok
    failure = result.error
    is_absent = failure.kind is ErrorKind.UNKNOWN_ROUTE
    code = ExitCode.NOT_FOUND if is_absent else ExitCode.UNAVAILABLE
    raise CommandError(code, f"{subject}: {failure.detail}")


def at_once(
    function: Callable[[str], _T], addresses: Sequence[str]
) -> list[tuple[str, _T]]:
    """Calls a function for each address at the same time, in the given order."""
    if not addresses:
        return []
    with ThreadPoolExecutor(min(MAX_WORKERS, len(addresses))) as executor:
        return list(zip(addresses, executor.map(function, addresses), strict=True))


def table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns rows as columns of text; a value that is missing is shown as '-'."""
    lines = [header, *([_cell(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def labels_text(labels: dict[str, str]) -> str:
    """Returns labels as ``key=value`` pairs."""
    return ",".join(f"{key}={value}" for key, value in sorted(labels.items()))


def _cell(value: Any) -> str:
    return "-" if value is None or value == "" else str(value)
