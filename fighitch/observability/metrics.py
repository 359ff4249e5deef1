"""Metrics of a daemon, served in the Prometheus text format."""

import resource

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from fighitch.core.effects import LogEvent

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.63, 1, 2.5, 5, 10, 30, 60)


class Metrics:
    """The metrics that entry and sidecar share; their names include the unit."""

    def __init__(self, *, instance: str, role: str) -> None:
        """Creates the metrics.

        Args:
            instance: Value of the ``instance`` label of ``fighitch_info``.
            role: ``entry`` or ``sidecar``.
        """
        self.registry = CollectorRegistry()
        info = Gauge(
            "fighitch_info",
            "Constant 1 with the identity of the process.",
            ["instance", "role"],
            registry=self.registry,
        )
        info.labels(instance, role).set(1)
        self._events = Counter(
            "fighitch_events_total",
            "Decisions and incidents by event name.",
            ["event"],
            registry=self.registry,
        )
        self._requests = Counter(
            "fighitch_requests_total",
            "Answered requests by error kind (ok if none) and run state.",
            ["kind", "run_state"],
            registry=self.registry,
        )
        self._duration = Histogram(
            "fighitch_request_duration_seconds",
            "Time from the request to the end of its answer.",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._first_byte = Histogram(
            "fighitch_first_byte_seconds",
            "Time from the request to the first byte of its answer.",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "fighitch_requests_in_flight",
            "Requests that have no whole answer yet.",
            registry=self.registry,
        )
        self.configuration_revision = Gauge(
            "fighitch_configuration_revision",
            "Every configuration change up to this revision is in force.",
            registry=self.registry,
        )
        self.configuration_age = Gauge(
            "fighitch_configuration_age_seconds",
            "Time since the configuration was last confirmed to be fresh.",
            registry=self.registry,
        )
        memory = Gauge(
            "fighitch_max_resident_memory_bytes",
            "Largest resident memory of the process so far.",
            registry=self.registry,
        )
        memory.set_function(
            lambda: resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        )

    def count_event(self, event: LogEvent) -> None:
        """Counts an event."""
        self._events.labels(event.name).inc()

    def record_response(self, *, kind: str, run_state: str, seconds: float) -> None:
        """Counts a finished request and observes its duration."""
        self._requests.labels(kind, run_state).inc()
        self._duration.observe(seconds)

    def record_rejection(self, kind: str, run_state: str) -> None:
        """Counts a request that was rejected before it was handled."""
        self._requests.labels(kind, run_state).inc()

    def record_first_byte(self, seconds: float) -> None:
        """Observes the time to the first byte of a response."""
        self._first_byte.observe(seconds)

    def render(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
