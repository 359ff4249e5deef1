"""Times of one request, for the log and the metrics."""

from fighitch.gateway.metrics import EntryMetrics
from fighitch.types import Seconds


class RequestTimes:
    """Records when a request was placed and when its answer began."""

    def __init__(self, metrics: EntryMetrics, route: str, received_at: Seconds) -> None:
        self._metrics = metrics
        self._route = route
        self._received_at = received_at
        self._placement: Seconds | None = None
        self._first_byte: Seconds | None = None

    def record_placement(self, now: Seconds) -> None:
        """Records that the request is sent to a server; later calls do nothing."""
        if self._placement is None:
            self._placement = now - self._received_at
            self._metrics.observe_placement(self._placement)

    def record_first_byte(self, now: Seconds) -> None:
        """Records the first byte of the answer; later calls do nothing."""
        if self._first_byte is None:
            self._first_byte = now - self._received_at
            self._metrics.observe_first_byte(self._route, self._first_byte)

    def fields(self, now: Seconds) -> dict[str, str]:
        """Returns the fields of the log line that ends the request, in seconds."""
        return {
            "placed": "" if self._placement is None else f"{self._placement:.3f}",
            "first": "" if self._first_byte is None else f"{self._first_byte:.3f}",
            "took": f"{now - self._received_at:.3f}",
        }
