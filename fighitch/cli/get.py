"""``fighitch get`` and ``fighitch describe``."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
from cleo.helpers import argument

from fighitch.cli.base import (
    KIND_ARGUMENT,
    SELECTOR_OPTION,
    ClientCommand,
    format_labels,
    format_table,
    unwrap,
)
from fighitch.cli.exit_codes import ExitCode
from fighitch.core.apply import LAST_APPLIED, last_applied
from fighitch.core.labels import EVERYTHING, Selector
from fighitch.core.object_api import Document, labels_of, revision_of
from fighitch.core.resources import (
    Kind,
    PlacementSpec,
    Resource,
    parse_validated_selector,
)

# Fields of the specification that tables show. Tickets of claims are omitted, because
# anyone who has a ticket can repeat its order.
COLUMNS: Mapping[str, tuple[str, ...]] = {
    "Adapter": ("model", "defaultVersion"),
    "Caller": ("maxInFlight",),
    "BackendServer": ("type", "availabilityZone", "address", "model", "service"),
    "WorkPolicy": ("rank", "idempotent", "targetMs", "deadlineMs", "floor"),
    "Placement": ("targetSelector", "backendServerSelector", "maxReplicas"),
    "WeightStore": ("loadsPerSecond", "maxInTransit"),
}
_MAX_NAMES_SHOWN = 20


class GetCommand(ClientCommand):
    """Lists objects."""

    name = "get"
    description = "List objects of a kind."
    arguments = [
        KIND_ARGUMENT,
        argument("name", "Name of one object.", optional=True),
    ]
    options = [SELECTOR_OPTION]
    help = """\
Lists the objects of a kind, or one of them.

Examples:
  fighitch get adapters
  fighitch get backendservers -l zone=a,!spot
  fighitch get adapter summaries -o json
"""

    def handle(self) -> int:
        """Runs the command."""
        kind, name, is_json = self.kind, self.argument("name"), self.is_json
        if name:
            documents = self.select_objects(kind, name)
        else:
            documents = self.list_objects(kind, self.selector or EVERYTHING)
        if is_json:
            self.print_json(documents[0] if name else {"items": documents})
            return ExitCode.OK
        columns = COLUMNS.get(kind, ())
        header = ["NAME", "REVISION", *(column.upper() for column in columns), "LABELS"]
        self.print(
            format_table(header, (_format_row(item, columns) for item in documents))
        )
        return ExitCode.OK


class DescribeCommand(ClientCommand):
    """Shows one object and the objects that selectors relate it to."""

    name = "describe"
    description = "Show one object and the objects that selectors relate it to."
    arguments = [KIND_ARGUMENT, argument("name", "Name of the object.")]
    help = """\
Shows an object, its last manager, and the objects that selectors relate it to: for an
adapter or backend server the placements that match it, for a placement the backend
servers that it allows.

Examples:
  fighitch describe adapter summaries
  fighitch describe placement gold -o json
"""

    def handle(self) -> int:
        """Runs the command."""
        kind, name, is_json = self.kind, self.argument("name"), self.is_json
        document = unwrap(self.api.get(kind, name), f"{kind} {name!r}")
        resources = unwrap(self.api.resources(), "resources").resources
        related = dict(_find_related(kind, document, resources))
        if is_json:
            self.print_json({"object": document, "related": related})
            return ExitCode.OK
        applied = last_applied(document)
        self.print(f"{kind} {name}")
        self.print(f"  revision: {revision_of(document)}")
        self.print(f"  labels: {format_labels(labels_of(document)) or '-'}")
        self.print(f"  last applied by: {applied.manager if applied else '-'}")
        for annotation, value in sorted(_annotations(document).items()):
            self.print(f"  annotation {annotation}: {value}")
        for part in ("spec", "status"):
            for key, value in (document.get(part) or {}).items():
                self.print(f"  {part}.{key}: {msgspec.json.encode(value).decode()}")
        for title, names in related.items():
            self.print(f"  {title}: {_format_names(names)}")
        return ExitCode.OK


def _format_row(document: Document, columns: tuple[str, ...]) -> list[Any]:
    spec = document.get("spec") or {}
    values = [spec.get(column) for column in columns]
    labels = format_labels(labels_of(document))
    return [document["metadata"]["name"], revision_of(document), *values, labels]


def _annotations(document: Document) -> dict[str, str]:
    annotations = dict(document["metadata"].get("annotations") or {})
    annotations.pop(LAST_APPLIED, None)
    return annotations


def _format_names(names: list[str]) -> str:
    shown = ", ".join(names[:_MAX_NAMES_SHOWN]) or "-"
    more = len(names) - _MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def _find_related(
    kind: str, document: Document, resources: tuple[Resource, ...]
) -> Iterator[tuple[str, list[str]]]:
    """Yields titles and names of the objects that selectors relate to an object."""
    labels = labels_of(document)
    placements = [item for item in resources if isinstance(item.spec, PlacementSpec)]
    match kind:
        case Kind.ADAPTER.value:
            matching = [
                item
                for item in placements
                if parse_validated_selector(item.spec.target_selector).matches(labels)
            ]
            yield "placements", _sorted_names(matching)
            allowed = [
                parse_validated_selector(x.spec.backend_server_selector)
                for x in matching
            ]
            yield "allowed backend servers", _allowed_server_names(resources, allowed)
        case Kind.BACKEND_SERVER.value:
            yield (
                "placements that allow it",
                _sorted_names(
                    item
                    for item in placements
                    if parse_validated_selector(
                        item.spec.backend_server_selector
                    ).matches(labels)
                ),
            )
        case Kind.PLACEMENT.value:
            text = (document.get("spec") or {}).get("backendServerSelector", "")
            yield (
                "allowed backend servers",
                _allowed_server_names(resources, [parse_validated_selector(text)]),
            )


def _allowed_server_names(
    resources: tuple[Resource, ...], selectors: list[Selector]
) -> list[str]:
    return _sorted_names(
        item
        for item in resources
        if item.kind is Kind.BACKEND_SERVER
        and any(selector.matches(item.labels) for selector in selectors)
    )


def _sorted_names(resources: Iterator[Resource] | list[Resource]) -> list[str]:
    return sorted(item.name for item in resources)
