"""Faults that are set at run time through the control port."""

import threading
import time
from collections.abc import Mapping
from typing import Any, Generic, TypeVar

import msgspec

from standins.http_server import ConnectionCut
from standins.settings import Amount


class Faults(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults that every stand-in has.

    Attributes:
        freeze: Connections are accepted, but nothing is answered until it is false.
        down: New connections are closed at once and open ones are cut.
        delay_seconds: Wait before each request is handled.
    """

    freeze: bool = False
    down: bool = False
    delay_seconds: Amount = 0.0


F = TypeVar("F", bound=Faults)


class FaultError(ValueError):
    """A fault was set to a value that is not allowed."""


class FaultState(Generic[F]):
    """The current faults; safe to use from several threads."""

    def __init__(self, initial: F) -> None:
        self._current = initial
        self._changed = threading.Condition()
        self._closed = False

    @property
    def current(self) -> F:
        """The faults in force."""
        return self._current

    def update(self, changes: Mapping[str, Any]) -> tuple[F, F]:
        """Sets the named faults and keeps the others.

        Args:
            changes: Fault name to new value.

        Returns:
            The faults before and after.

        Raises:
            FaultError: If a name or value is not allowed; nothing is changed then.
        """
        with self._changed:
            before = self._current
            merged = {**msgspec.to_builtins(before), **changes}
            try:
                self._current = msgspec.convert(merged, type(before))
            except msgspec.ValidationError as error:
                allowed = ", ".join(before.__struct_fields__)
                raise FaultError(f"{error}; allowed faults: {allowed}") from error
            self._changed.notify_all()
            return before, self._current

    def take(self, name: str) -> bool:
        """Uses up one of a fault that is set as a count.

        Args:
            name: Name of the integer fault.

        Returns:
            Whether the fault strikes this time.
        """
        with self._changed:
            left = getattr(self._current, name)
            if left <= 0:
                return False
            self._current = msgspec.structs.replace(self._current, **{name: left - 1})
            return True

    def wait_while_frozen(self) -> None:
        """Waits until ``freeze`` is false.

        Raises:
            ConnectionCut: If the stand-in stops meanwhile.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._closed or not self._current.freeze)
            if self._closed:
                raise ConnectionCut("the stand-in stops")

    def admit(self) -> None:
        """Applies the common faults to a request that has just arrived.

        Raises:
            ConnectionCut: If the stand-in is down or stops.
        """
        if self._current.delay_seconds > 0:
            time.sleep(self._current.delay_seconds)
        self.wait_while_frozen()
        if self._current.down:
            raise ConnectionCut("down")

    def close(self) -> None:
        """Releases whoever waits."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
