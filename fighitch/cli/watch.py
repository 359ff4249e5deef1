"""``fighitch watch``."""

import time
from collections.abc import Callable, Iterable
from contextlib import suppress

import msgspec
from cleo.helpers import option

from fighitch.cli.base import (
    KIND_ARGUMENT,
    SELECTOR_OPTION,
    ClientCommand,
    format_labels,
    unwrap,
)
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.core.labels import EVERYTHING, Selector
from fighitch.core.resources import Kind, Resource, resource_document
from fighitch.core.watch_events import (
    Expired,
    ResourceChanged,
    RevisionAdvanced,
    WatchEnded,
)

RECONNECT_SECONDS = 1.0
# Longer than in the daemons, because a delayed line is harmless here.
IDLE_TIMEOUT_SECONDS = 30.0


class WatchCommand(ClientCommand):
    """Shows changes of objects as they happen."""

    name = "watch"
    description = "Show the objects of a kind and their changes as they happen."
    arguments = [KIND_ARGUMENT]
    options = [
        SELECTOR_OPTION,
        option(
            "timeout", "t", "Time in seconds after which the command ends.", flag=False
        ),
    ]
    help = """\
Shows the objects of a configuration kind, then every change, until interrupted.

Examples:
  fighitch watch adapters
  fighitch watch backendservers -l zone=a -o json
  fighitch watch placements --timeout 60
"""

    def handle(self) -> int:
        """Runs the command."""
        kind = self._configuration_kind()
        printer = _ChangePrinter(
            self, kind, self.selector or EVERYTHING, is_json=self.is_json
        )
        should_stop = self._stop_condition()
        with suppress(KeyboardInterrupt):
            self._watch_changes(printer, should_stop)
        return ExitCode.OK

    def _watch_changes(
        self, printer: "_ChangePrinter", should_stop: Callable[[], bool]
    ) -> None:
        listed = unwrap(self.api.resources(), "resources")
        printer.print_list(listed.resources)
        revision = listed.revision
        while not should_stop():
            events = self.api.watch(
                revision, idle_timeout=IDLE_TIMEOUT_SECONDS, should_stop=should_stop
            )
            for event in events:
                match event:
                    case ResourceChanged(resource, revision):
                        printer.print_change(resource)
                    case RevisionAdvanced(revision):
                        pass
                    case Expired():
                        listed = unwrap(self.api.resources(), "resources")
                        printer.print_list(listed.resources)
                        revision = listed.revision
                    case WatchEnded(detail, retry_after):
                        if detail:
                            self.print_error(f"watch: {detail}; continuing")
                        time.sleep(retry_after or RECONNECT_SECONDS)

    def _configuration_kind(self) -> Kind:
        try:
            return Kind(self.kind)
        except ValueError:
            raise CommandError(
                ExitCode.INVALID, f"kind {self.kind!r} cannot be watched; use get"
            ) from None

    def _stop_condition(self) -> Callable[[], bool]:
        """Returns a function that is true once the timeout option has elapsed."""
        text = self.option("timeout")
        if text is None:
            return lambda: False
        try:
            deadline = time.monotonic() + float(text)
        except ValueError:
            raise CommandError(
                ExitCode.INVALID, f"timeout {text!r} is not a number of seconds"
            ) from None
        return lambda: time.monotonic() >= deadline


class _ChangePrinter:
    """Prints the changes of the objects that match a selector."""

    def __init__(
        self, command: ClientCommand, kind: Kind, selector: Selector, *, is_json: bool
    ) -> None:
        self._command = command
        self._kind = kind
        self._selector = selector
        self._is_json = is_json
        self._printed_revisions: dict[str, int] = {}

    def print_list(self, resources: Iterable[Resource]) -> None:
        """Prints the differences between a full list and the objects printed so far."""
        resources = [item for item in resources if item.kind is self._kind]
        listed = {item.name for item in resources}
        for name in [name for name in self._printed_revisions if name not in listed]:
            self.print_change(Resource(kind=self._kind, name=name))
        for item in sorted(resources, key=lambda item: item.name):
            if self._printed_revisions.get(item.name) != item.revision:
                self.print_change(item)

    def print_change(self, item: Resource) -> None:
        """Prints a change if it concerns the selected objects."""
        if item.kind is not self._kind:
            return
        is_selected = not item.is_deleted and self._selector.matches(item.labels)
        was_printed = item.name in self._printed_revisions
        if not is_selected and not was_printed:
            return
        if not is_selected:
            del self._printed_revisions[item.name]
            # An existing object no longer matches after a change of its labels.
            self._print_event("DELETED" if item.is_deleted else "UNSELECTED", item)
            return
        self._printed_revisions[item.name] = item.revision
        self._print_event("MODIFIED" if was_printed else "ADDED", item)

    def _print_event(self, event: str, item: Resource) -> None:
        if self._is_json:
            document = resource_document(item)
            line = msgspec.json.encode({"type": event, "object": document}).decode()
        else:
            line = f"{event:<10}  {item.revision:>8}  {item.name}"
            line = f"{line}  {format_labels(item.labels)}".rstrip()
        self._command.print(line)
