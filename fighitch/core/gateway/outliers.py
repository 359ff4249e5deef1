"""Detection of backend servers that fail or stall while their health check is good.

Load pattern: one server of a service resets, hangs or fails a part of its requests and,
because it answers fast, attracts more than its share under least-loaded routing.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fighitch.types import Seconds

_WEIGHT = 0.2  # of the newest outcome; about the last ten outcomes decide
_SUSPECT_RATIO = 0.4  # above what the other servers of the service show
_FIRST_PAUSE: Seconds = 0.5
_LONGEST_PAUSE: Seconds = 4.0
_MIN_OUTCOMES = 3


@dataclass(slots=True)
class ServerHealth:
    """Recent outcomes at one backend server.

    Attributes:
        failure_ratio: Weighted share of failed requests.
        outcomes: Number of outcomes seen.
        paused_until: No request is sent before this time unless no server is left.
        pause: Length of the latest pause.
    """

    failure_ratio: float = 0.0
    outcomes: int = 0
    paused_until: Seconds = 0.0
    pause: Seconds = 0.0

    def record_outcome(self, failed: bool) -> None:
        """Counts one outcome."""
        self.outcomes += 1
        self.failure_ratio += _WEIGHT * (float(failed) - self.failure_ratio)


class OutlierDetector:
    """Pauses servers that fail more often than the others of their service."""

    def __init__(self) -> None:
        self._servers: dict[str, ServerHealth] = {}

    def record_outcome(
        self, server: str, *, failed: bool, peers: Iterable[str], now: Seconds
    ) -> bool:
        """Counts an outcome.

        Args:
            server: Instance id.
            failed: Whether the server failed the request.
            peers: Instance ids of the service; read only if the server failed.
            now: Time of the outcome.

        Returns:
            Whether the server is paused now and was not before.
        """
        health = self._servers.setdefault(server, ServerHealth())
        health.record_outcome(failed)
        if not failed:
            if health.failure_ratio < _SUSPECT_RATIO / 2:
                health.pause = 0.0
            return False
        if health.outcomes < _MIN_OUTCOMES or now < health.paused_until:
            return False
        if health.failure_ratio < self._usual_ratio(server, peers) + _SUSPECT_RATIO:
            return False
        health.pause = min(_LONGEST_PAUSE, max(_FIRST_PAUSE, 2 * health.pause))
        health.paused_until = now + health.pause
        return True

    def record_unreachable(self, server: str, now: Seconds) -> None:
        """Pauses a server to which no connection can be made."""
        health = self._servers.setdefault(server, ServerHealth())
        health.record_outcome(True)
        health.pause = min(_LONGEST_PAUSE, max(_FIRST_PAUSE, 2 * health.pause))
        health.paused_until = now + health.pause

    def is_paused(self, server: str, now: Seconds) -> bool:
        """Whether requests should go elsewhere."""
        health = self._servers.get(server)
        return health is not None and now < health.paused_until

    def failure_ratio(self, server: str) -> float:
        """Weighted share of failed requests at a server, 0 to 1."""
        health = self._servers.get(server)
        return 0.0 if health is None else health.failure_ratio

    def forget(self, server: str) -> None:
        """Drops a server that is gone."""
        self._servers.pop(server, None)

    def _usual_ratio(self, server: str, peers: Iterable[str]) -> float:
        ratios = sorted(self.failure_ratio(peer) for peer in peers if peer != server)
        return ratios[len(ratios) // 2] if ratios else 0.0
