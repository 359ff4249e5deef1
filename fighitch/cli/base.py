"""Base class and helpers for the commands of the operators' client."""

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
# Limit of threads that call entries and sidecars concurrently.
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
    """Base class of commands that use the client's settings."""

    common_options: ClassVar[list[Option]] = [SETTINGS_OPTION, OUTPUT_OPTION]

    def configure(self) -> None:
        """Adds the options that are common to the client's commands."""
        super().configure()
        for common_option in self.common_options:
            self._definition.add_option(common_option)

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
            CommandError: If ``object_api`` is empty in the settings.
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
        """Name that ``apply`` records as the manager of applied objects."""
        if self.settings.manager:
            return self.settings.manager
        try:
            return getpass.getuser()
        except (KeyError, OSError):
            return "unknown"

    @property
    def is_json(self) -> bool:
        """Whether the output format is JSON.

        Raises:
            CommandError: If the format is unknown.
        """
        output_format = self.option("output")
        if output_format not in ("table", "json"):
            raise CommandError(
                ExitCode.INVALID,
                f"output {output_format!r} is not one of 'table', 'json'",
            )
        return bool(output_format == "json")

    @property
    def selector(self) -> Selector | None:
        """Selector from the options, if given.

        Raises:
            CommandError: If it is invalid or empty.
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
        """Kind from the arguments, which may be singular or plural, in any case.

        Raises:
            CommandError: If the kind is unknown.
        """
        name = self.argument("kind").lower()
        for kind, plural in PLURALS.items():
            if name in (kind.lower(), plural):
                return kind
        allowed = ", ".join(PLURALS.values())
        raise CommandError(
            ExitCode.INVALID,
            f"kind {self.argument('kind')!r} is unknown; allowed: {allowed}",
        )

    def admin_client(
        self, address: str, *, timeout: Seconds | None = None
    ) -> HttpClient:
        """Returns an HTTP client for an admin address."""
        return HttpClient(
            f"http://{address}",
            timeout=timeout or self.settings.timeout_seconds,
            bearer_key=self.settings.operator_key,
        )

    def select_objects(self, kind: str, name: str | None) -> list[Document]:
        """Returns the object with the name, or the objects that match the selector.

        Raises:
            CommandError: If none exists, or if neither or both of name and selector
                are given.
        """
        selector = self.selector
        if (name is None) == (selector is None):
            raise CommandError(
                ExitCode.INVALID, "give either a name or a selector with -l"
            )
        if name is not None:
            return [unwrap(self.api.get(kind, name), f"{kind} {name!r}")]
        documents = self.list_objects(kind, selector or EVERYTHING)
        if not documents:
            raise CommandError(
                ExitCode.NOT_FOUND,
                f"no {kind} matches the selector {self.option('selector')!r}",
            )
        return documents

    def list_objects(
        self, kind: str, selector: Selector = EVERYTHING
    ) -> list[Document]:
        """Returns the objects of a kind that match the selector, sorted by name."""
        response = unwrap(self.api.list(kind), PLURALS[kind])
        documents = [
            # Items of a list may omit the kind, which the list itself has.
            {"apiVersion": response.get("apiVersion"), "kind": kind, **item}
            for item in response.get("items") or ()
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


def unwrap(result: Result[_T, Failure], subject: str) -> _T:
    """Returns the value of a result.

    Raises:
        CommandError: If the result is a failure.
    """
    if result.is_ok():
        return result.ok
    failure = result.error
    is_absent = failure.kind is ErrorKind.UNKNOWN_ROUTE
    code = ExitCode.NOT_FOUND if is_absent else ExitCode.UNAVAILABLE
    raise CommandError(code, f"{subject}: {failure.detail}")


def call_concurrently(
    function: Callable[[str], _T], addresses: Sequence[str]
) -> list[tuple[str, _T]]:
    """Calls a function for each address concurrently.

    Returns:
        Pairs of address and result, in the order of the addresses.
    """
    if not addresses:
        return []
    with ThreadPoolExecutor(min(MAX_WORKERS, len(addresses))) as executor:
        return list(zip(addresses, executor.map(function, addresses), strict=True))


def format_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Formats rows as aligned columns; a missing value is shown as '-'."""
    lines = [header, *([_format_cell(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_labels(labels: dict[str, str]) -> str:
    """Formats labels as ``key=value`` pairs."""
    return ",".join(f"{key}={value}" for key, value in sorted(labels.items()))


def _format_cell(value: Any) -> str:
    return "-" if value is None or value == "" else str(value)
