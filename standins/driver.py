"""Drives a model with an explicit clock in real time."""

import threading
import time
from collections.abc import Callable
from typing import Any, Protocol

from fighitch.types import Seconds


class TimedModel(Protocol):
    """A model whose state changes at times that it knows in advance."""

    def next_event_at(self) -> Seconds | None:
        """Returns the time of the next event, or None if none is scheduled."""

    def advance(self, now: Seconds) -> list[Any]:
        """Processes all events due up to ``now`` and returns them."""


class ModelDriver:
    """Advances a model in a thread; hold ``changed`` to access the model."""

    def __init__(
        self,
        model: Callable[[], TimedModel],
        on_events: Callable[[list[Any]], None],
    ) -> None:
        """Creates the thread without starting it.

        Args:
            model: Returns the current model.
            on_events: Called with the events of each advance while ``changed`` is held.
        """
        self.changed = threading.Condition(threading.RLock())
        self._model = model
        self._on_events = on_events
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="driver", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread and waits for it."""
        with self.changed:
            self._stopping = True
            self.changed.notify_all()
        self._thread.join()

    def _run(self) -> None:
        with self.changed:
            while not self._stopping:
                events = self._model().advance(time.monotonic())
                if events:
                    self._on_events(events)
                due = self._model().next_event_at()
                wait = None if due is None else due - time.monotonic()
                if wait is None or wait > 0:
                    self.changed.wait(wait)
