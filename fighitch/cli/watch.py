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
    checked,
    labels_text,
)
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.core.labels import EVERYTHING, Selector
from fighitch.core.resources import Kind, Resource, resource_document
from fighitch.core.watch_events import Advanced, Changed, Expired, WatchEnded

RECONNECT_SECONDS = 1.0
# Longer than for daemons, because a late line does no harm here.
IDLE_TIMEOUT_SECONDS = 30.0


class WatchCommand(ClientCommand):
    """Shows changes as they happen."""

    name = "watch"
    description = "Show the objects of a kind and their changes as they happen."
    arguments = [KIND_ARGUMENT]
    options = [
        SELECTOR_OPTION,
        option("timeout", "t", "End after so many seconds.", flag=False),
    ]
    help = """\
Shows the objects of a configuration kind, then every change, until it is interrupted.

Examples:
  fighitch watch adapters
  fighitch watch backendservers -l zone=a -o json
  fighitch watch placements --timeout 60
"""

    def handle(self) -> int:
        """Runs the command."""
        kind = self._configuration_kind()
        view = _View(self, kind, self.selector or EVERYTHING, is_json=self.is_json)
        should_stop = self._deadline()
        with suppress(KeyboardInterrupt):
            self._follow(view, should_stop)
        return ExitCode.OK

    def _follow(self, view: "_View", should_stop: Callable[[], bool]) -> None:
        listed = checked(self.api.resources(), "resources")
        view.show_list(listed.resources)
        revision = listed.revision
        while not should_stop():
            events = self.api.watch(
                revision, idle_timeout=IDLE_TIMEOUT_SECONDS, should_stop=should_stop
            )
            for event in events:
                match event:
                    case Changed(resource, revision):
                        view.show(resource)
                    case Advanced(revision):
                        pass
                    case Expired():
                        listed = checked(self.api.resources(), "resources")
                        view.show_list(listed.resources)
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

    def _deadline(self) -> Callable[[], bool]:
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


class _View:
    """Prints the changes of the objects that a selector chooses."""

    def __init__(
        self, command: ClientCommand, kind: Kind, selector: Selector, *, is_json: bool
    ) -> None:
        self._command = command
        self._kind = kind
        self._selector = selector
        self._is_json = is_json
        self._shown: dict[str, int] = {}

    def show_list(self, resources: Iterable[Resource]) -> None:
        """Prints what a full list changes."""
        resources = [item for item in resources if item.kind is self._kind]
        listed = {item.name for item in resources}
        for name in [name for name in self._shown if name not in listed]:
            self.show(Resource(kind=self._kind, name=name))
        for item in sorted(resources, key=lambda item: item.name):
            if self._shown.get(item.name) != item.revision:
                self.show(item)

    def show(self, item: Resource) -> None:
        """Prints a change if it concerns the chosen objects."""
        if item.kind is not self._kind:
            return
        is_chosen = not item.is_deleted and self._selector.matches(item.labels)
        was_shown = item.name in self._shown
        if not is_chosen and not was_shown:
            return
        if not is_chosen:
            del self._shown[item.name]
            # An object whose labels have changed leaves the selection, too.
            self._print("DELETED" if item.is_deleted else "UNSELECTED", item)
            return
        self._shown[item.name] = item.revision
        self._print("MODIFIED" if was_shown else "ADDED", item)

    def _print(self, event: str, item: Resource) -> None:
        if self._is_json:
            document = resource_document(item)
            line = msgspec.json.encode({"type": event, "object": document}).decode()
        else:
            line = f"{event:<10}  {item.revision:>8}  {item.name}"
            line = f"{line}  {labels_text(item.labels)}".rstrip()
        self._command.print(line)
