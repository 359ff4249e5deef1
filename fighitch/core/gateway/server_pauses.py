"""Times until which backend servers have asked one entry not to send requests.

Load pattern: a server that is short of room rejects a request and names the seconds for
which it wants no further one, from entries that have many more requests for it.
"""

import math

from fighitch.core.gateway.model import Incarnation
from fighitch.types import Seconds

# A server that asks for more is asked again after this time: a faulty value must not
# keep it out for as long as it lives.
MAX_PAUSE: Seconds = 600.0


def bounded_pause(asked: Seconds) -> Seconds:
    """Returns the pause to keep; none for a negative or unreadable one.

    Args:
        asked: Pause that a server asked for; NaN if it can't be read.
    """
    return 0.0 if math.isnan(asked) else min(MAX_PAUSE, max(0.0, asked))


class ServerPauses:
    """Pauses that servers asked for; each belongs to one incarnation."""

    def __init__(self) -> None:
        self._ends: dict[Incarnation, Seconds] = {}

    @property
    def is_active(self) -> bool:
        """Whether any server may be in a pause."""
        return bool(self._ends)

    def record(self, server: Incarnation, pause: Seconds, now: Seconds) -> bool:
        """Records that a server asks for a pause; returns whether one begins.

        The latest end counts: a shorter pause does not end one that was asked for in
        another response.

        Args:
            server: Incarnation of the server.
            pause: Length of the pause.
            now: Time of the response.
        """
        self.drop_ended(now)
        if pause <= 0:
            return False
        known = self._ends.get(server)
        self._ends[server] = max(now + pause, known or 0.0)
        return known is None

    def time_left(self, server: Incarnation, now: Seconds) -> Seconds:
        """Returns the time until a server takes requests again; 0 if it does now."""
        end = self._ends.get(server)
        return 0.0 if end is None else max(0.0, end - now)

    def drop_ended(self, now: Seconds) -> None:
        """Removes the pauses that are over."""
        for server in [item for item, end in self._ends.items() if end <= now]:
            del self._ends[server]
