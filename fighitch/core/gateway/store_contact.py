"""Outages of the platform's store, told apart from calls that end early."""

from fighitch.types import Seconds

# The list entry of a server lapses after three silent heartbeat intervals, and its last
# heartbeat can be an interval old when an outage begins.
_LAPSE_INTERVALS = 2
# Share of the shortest outage for which a watch may wait. The rest leaves time to call
# again after a watch that was cut off.
_WATCH_SHARE = 0.75


class StoreContact:
    """Time of the last response of the store and end of its last outage.

    A store that is available may cut off watches that wait. Servers that are alive lose
    their list entries only if their heartbeats fail for some time, so that shorter
    interruptions are no outages.
    """

    def __init__(self, heartbeat_interval: Seconds) -> None:
        """Initializes the contact to a store that has not responded yet.

        Args:
            heartbeat_interval: Time between the heartbeats of a server.
        """
        self._heartbeat_interval = heartbeat_interval
        self._last_response: Seconds = float("-inf")
        self._has_failed = False
        self._outage_end: Seconds = float("-inf")

    @property
    def min_outage(self) -> Seconds:
        """Shortest interruption that counts as an outage."""
        return _LAPSE_INTERVALS * self._heartbeat_interval

    @property
    def max_watch(self) -> Seconds:
        """Longest wait of a watch after which a cut is not taken for an outage."""
        return _WATCH_SHARE * self.min_outage

    def set_heartbeat_interval(self, interval: Seconds) -> None:
        """Changes the time between the heartbeats of a server."""
        self._heartbeat_interval = interval

    def record_failure(self) -> None:
        """Records a call without a response, or one that the store rejected."""
        self._has_failed = True

    def record_response(self, now: Seconds) -> None:
        """Records that the store served a call."""
        # Without a failed call, this process itself did not run.
        if self._has_failed and now - self._last_response >= self.min_outage:
            self._outage_end = now
        self._has_failed = False
        self._last_response = now

    def had_outage_since(self, time: Seconds) -> bool:
        """Returns whether an outage has ended since a time."""
        return self._outage_end > time
