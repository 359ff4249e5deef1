"""Background task that follows the changes of the object API."""

import random
import threading
from collections.abc import Callable

from fighitch.clients.object_api import ObjectApiClient
from fighitch.core.inputs import ConfigurationReceived
from fighitch.core.watch_events import (
    Expired,
    ResourceChanged,
    RevisionAdvanced,
    WatchEnded,
)
from fighitch.types import Revision, Seconds

INITIAL_BACKOFF: Seconds = 0.2
# Shorter than the 5 s in which a change must take effect everywhere.
MAX_BACKOFF: Seconds = 2.0


class ConfigurationWatch:
    """Lists the configuration, then watches it; retries with back-off on a failure."""

    def __init__(
        self,
        url: str,
        *,
        on_change: Callable[[ConfigurationReceived], None],
        on_confirmed: Callable[[], None],
        on_failure: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        """Creates the task; ``start`` runs it.

        Args:
            url: Base URL of the object API.
            on_change: Called with every change, in order.
            on_confirmed: Called whenever the object API has responded.
            on_failure: Called with the detail of each failure.
            rng: Source of the random retry delays, which spread the retries of many
                watchers.
        """
        self._client = ObjectApiClient(url)
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._on_failure = on_failure
        self._rng = rng
        self._stopping = threading.Event()
        self._backoff = INITIAL_BACKOFF
        self._thread = threading.Thread(target=self._run, name="watch", daemon=True)

    def start(self) -> None:
        """Starts the thread of the task."""
        self._thread.start()

    def stop(self) -> None:
        """Requests the end of the task; does not wait for it."""
        self._stopping.set()

    def _run(self) -> None:
        revision: Revision | None = None
        while not self._stopping.is_set():
            if revision is None:
                revision = self._list()
            if revision is not None:
                revision = self._watch(revision)
            self._stopping.wait(self._backoff * self._rng.uniform(0.5, 1.0))
            self._backoff = min(MAX_BACKOFF, 2 * self._backoff)
        self._client.close()

    def _list(self) -> Revision | None:
        listed = self._client.resources()
        if listed.is_error():
            self._on_failure(listed.error.detail)
            return None
        for problem in listed.ok.rejected:
            self._on_failure(problem)
        self._record_contact()
        self._on_change(
            ConfigurationReceived(listed.ok.resources, listed.ok.revision, base=0)
        )
        return listed.ok.revision

    def _watch(self, revision: Revision) -> Revision | None:
        for event in self._client.watch(revision, should_stop=self._stopping.is_set):
            if isinstance(event, Expired):
                return None
            if isinstance(event, WatchEnded):
                if event.detail:
                    self._on_failure(event.detail)
                return revision
            self._record_contact()
            resources = (event.resource,) if isinstance(event, ResourceChanged) else ()
            if isinstance(event, RevisionAdvanced) and event.rejected:
                self._on_failure(event.rejected)
            self._on_change(
                ConfigurationReceived(resources, event.revision, base=revision)
            )
            revision = event.revision
        return revision

    def _record_contact(self) -> None:
        self._backoff = INITIAL_BACKOFF
        self._on_confirmed()
