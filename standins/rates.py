"""Rate limits and lagging values with an explicit clock."""

from bisect import bisect_right
from collections import deque
from typing import Generic, TypeVar

from fighitch.types import Seconds

T = TypeVar("T")

# Maximum lag in seconds; older values are dropped.
MAX_LAG: Seconds = 60.0


class SlidingWindowLimiter:
    """Permits at most ``rate * window`` events within any window."""

    def __init__(self, rate: float, *, window: Seconds = 1.0) -> None:
        """Sets the limit.

        Args:
            rate: Maximum rate in events per second, above 0.
            window: Length of the window in seconds.
        """
        self._limit = max(1, int(rate * window))
        # A rate below one event per window requires a longer window.
        self._window = max(window, 1 / rate)
        self._times: deque[Seconds] = deque()

    def count(self, now: Seconds) -> int:
        """Returns the number of permitted events in the window that ends now."""
        while self._times and self._times[0] <= now - self._window:
            self._times.popleft()
        return len(self._times)

    def retry_after(self, now: Seconds) -> Seconds:
        """Returns the time until an event is permitted; 0 if one is permitted now."""
        if self.count(now) < self._limit:
            return 0.0
        return self._times[-self._limit] + self._window - now

    def try_acquire(self, now: Seconds) -> Seconds:
        """Records an event if it is permitted.

        Args:
            now: Current time in seconds.

        Returns:
            0 if the event was recorded; otherwise the time until one is permitted.
        """
        wait = self.retry_after(now)
        if wait <= 0:
            self._times.append(now)
            return 0.0
        return wait


class LaggedValue(Generic[T]):
    """A value whose readers see its state of some time ago."""

    def __init__(self, value: T, now: Seconds) -> None:
        self._values = [value]
        self._times = [now]

    def record(self, value: T, now: Seconds) -> None:
        """Records the current value."""
        if value == self._values[-1]:
            return
        self._values.append(value)
        self._times.append(now)
        expired = bisect_right(self._times, now - MAX_LAG) - 1
        if expired > 0:
            del self._values[:expired]
            del self._times[:expired]

    def read(self, now: Seconds, lag: Seconds) -> T:
        """Returns the value as of ``lag`` seconds ago, or the oldest recorded value."""
        position = bisect_right(self._times, now - lag) - 1
        return self._values[max(position, 0)]
