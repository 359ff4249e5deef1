"""Detects backend servers that fail or stall although their health check passes.

Load pattern: one server of a service resets, hangs or fails a part of its requests.
Because it responds fast, least-loaded routing sends it more than its share.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fighitch.types import Seconds

_SMOOTHING_FACTOR = 0.2  # about the last ten outcomes determine the failure ratio
_OUTLIER_MARGIN = 0.4  # excess over the median failure ratio of the other servers
_INITIAL_PAUSE: Seconds = 0.5
_MAX_PAUSE: Seconds = 4.0
_MIN_OUTCOMES = 3  # outcomes before a server may be paused as an outlier


@dataclass(slots=True)
class ServerHealth:
    """Recent outcomes of requests to one backend server.

    Attributes:
        failure_ratio: Moving average of the share of failed requests.
        outcomes: Number of recorded outcomes.
        paused_until: End of the pause; until then the server receives requests only if
            no other server is left.
        pause: Duration of the latest pause; 0 after the server has recovered.
    """

    failure_ratio: float = 0.0
    outcomes: int = 0
    paused_until: Seconds = 0.0
    pause: Seconds = 0.0

    def record_outcome(self, failed: bool) -> None:
        """Updates the failure ratio with one outcome."""
        self.outcomes += 1
        self.failure_ratio += _SMOOTHING_FACTOR * (float(failed) - self.failure_ratio)


class OutlierDetector:
    """Pauses servers that fail more often than the other servers of their service.

    Each further pause is twice as long as the previous one, up to a maximum.
    """

    def __init__(self) -> None:
        self._servers: dict[str, ServerHealth] = {}

    def record_outcome(
        self, server: str, *, failed: bool, peers: Iterable[str], now: Seconds
    ) -> bool:
        """Records the outcome of a request.

        Args:
            server: Instance id.
            failed: Whether the request failed because of the server.
            peers: Instance ids of the service; only iterated after a failure.
            now: Time of the outcome.

        Returns:
            Whether this outcome started a pause.
        """
        health = self._servers.setdefault(server, ServerHealth())
        health.record_outcome(failed)
        if not failed:
            if health.failure_ratio < _OUTLIER_MARGIN / 2:
                health.pause = 0.0
            return False
        if health.outcomes < _MIN_OUTCOMES or now < health.paused_until:
            return False
        if health.failure_ratio < self._median_ratio(server, peers) + _OUTLIER_MARGIN:
            return False
        health.pause = min(_MAX_PAUSE, max(_INITIAL_PAUSE, 2 * health.pause))
        health.paused_until = now + health.pause
        return True

    def record_unreachable(self, server: str, now: Seconds) -> None:
        """Pauses a server that refuses connections or can't be reached."""
        health = self._servers.setdefault(server, ServerHealth())
        health.record_outcome(True)
        health.pause = min(_MAX_PAUSE, max(_INITIAL_PAUSE, 2 * health.pause))
        health.paused_until = now + health.pause

    def is_paused(self, server: str, now: Seconds) -> bool:
        """Returns whether requests should go to other servers."""
        health = self._servers.get(server)
        return health is not None and now < health.paused_until

    def failure_ratio(self, server: str) -> float:
        """Returns the moving average of a server's failed requests, 0 to 1."""
        health = self._servers.get(server)
        return 0.0 if health is None else health.failure_ratio

    def forget(self, server: str) -> None:
        """Removes the state of a server that is gone."""
        self._servers.pop(server, None)

    def _median_ratio(self, server: str, peers: Iterable[str]) -> float:
        ratios = sorted(self.failure_ratio(peer) for peer in peers if peer != server)
        return ratios[len(ratios) // 2] if ratios else 0.0
