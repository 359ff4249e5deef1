"""Injected faults, which are set at run time through the control port."""

import threading
import time
from collections.abc import Mapping
from typing import Any, Generic, TypeVar

import msgspec

from standins.http_server import AbortConnection
from standins.settings import NonNegativeFloat


class Faults(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults that every stand-in supports.

    Attributes:
        freeze: Accept connections, but send no response until this is false.
        down: Close the open connections and every new one.
        delay_seconds: Delay before each request is handled.
    """

    freeze: bool = False
    down: bool = False
    delay_seconds: NonNegativeFloat = 0.0


F = TypeVar("F", bound=Faults)


class FaultError(ValueError):
    """The name or value of a fault is invalid."""


class FaultState(Generic[F]):
    """The current faults; thread-safe."""

    def __init__(self, initial: F) -> None:
        self._current = initial
        self._changed = threading.Condition()
        self._closed = False

    @property
    def current(self) -> F:
        """The current faults."""
        return self._current

    def update(self, changes: Mapping[str, Any]) -> tuple[F, F]:
        """Sets the named faults and leaves the others unchanged.

        Args:
            changes: New values by fault name.

        Returns:
            The faults before and after the update.

        Raises:
            FaultError: If a name or value is invalid; no fault is changed.
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

    def consume(self, name: str) -> bool:
        """Consumes one occurrence of a fault that is set as a count.

        Args:
            name: Name of the integer fault.

        Returns:
            Whether the fault applies to this call.
        """
        with self._changed:
            remaining = getattr(self._current, name)
            if remaining <= 0:
                return False
            self._current = msgspec.structs.replace(
                self._current, **{name: remaining - 1}
            )
            return True

    def wait_while_frozen(self) -> None:
        """Blocks while ``freeze`` is set.

        Raises:
            AbortConnection: If the stand-in stops in the meantime.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._closed or not self._current.freeze)
            if self._closed:
                raise AbortConnection("the stand-in is stopping")

    def admit(self) -> None:
        """Applies the common faults to a new request.

        Raises:
            AbortConnection: If the stand-in is down or stopping.
        """
        if self._current.delay_seconds > 0:
            time.sleep(self._current.delay_seconds)
        self.wait_while_frozen()
        if self._current.down:
            raise AbortConnection("injected fault: down")

    def close(self) -> None:
        """Wakes all waiting threads, whose requests are then aborted."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
