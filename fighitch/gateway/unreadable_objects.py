"""Logs objects of the store that another writer made unreadable."""

from collections.abc import Callable

from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform.store import StoredObject
from fighitch.types import Seconds

# The log of a process is limited as a whole; a list with many unreadable objects must
# not take the place of the lines of requests.
_LINES_PER_PERIOD = 20
_PERIOD: Seconds = 10.0
# Objects that are remembered, the latest ones.
_MAX_REMEMBERED = 1_000


class UnreadableObjects:
    """Logs each change of an unreadable object once, at a limited rate."""

    def __init__(self, log: BoundedLog, event: str, now: Callable[[], Seconds]) -> None:
        """Initializes the record without any object.

        Args:
            log: Log of the process.
            event: Name of the event.
            now: Returns the current time.
        """
        self._log = log
        self._event = event
        self._now = now
        # Revisions that are logged, by name; the oldest first.
        self._logged: dict[str, int] = {}
        self._period_start: Seconds = float("-inf")
        self._lines = 0
        self._suppressed = 0

    def record(self, item: StoredObject, error: Exception) -> None:
        """Logs an object, unless this change of it is logged or the limit is reached.

        The next line states how many were left out because of the limit.
        """
        if self._logged.get(item.name) == item.revision:
            return
        self._logged.pop(item.name, None)
        self._logged[item.name] = item.revision
        if len(self._logged) > _MAX_REMEMBERED:
            del self._logged[next(iter(self._logged))]
        now = self._now()
        if now - self._period_start >= _PERIOD:
            self._period_start, self._lines = now, 0
        self._lines += 1
        if self._lines > _LINES_PER_PERIOD:
            self._suppressed += 1
            return
        suppressed, self._suppressed = self._suppressed, 0
        self._log.event(
            self._event,
            entry=item.name,
            revision=item.revision,
            detail=error,
            suppressed=suppressed,
        )
