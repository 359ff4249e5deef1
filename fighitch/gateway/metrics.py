"""Metrics of gateway entries and engine agents."""

from collections.abc import Callable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from fighitch.types import Seconds

# Account names with their own label value; further ones are counted together.
_MAX_ACCOUNT_LABELS = 64
_OTHER_ACCOUNTS = "(other)"
_LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12)


class MemoryMetrics:
    """Metrics of the memory that a process holds for its callers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._held = Gauge(
            "fighitch_held_bytes",
            "Bytes held or reserved for requests and unread responses.",
            registry=registry,
        )
        self._refused = Counter(
            "fighitch_memory_refused",
            "Connections refused as the memory budget was short, by reason.",
            ("reason",),
            registry=registry,
        )

    def follow(self, held: Callable[[], int]) -> None:
        """Makes the gauge report what a function returns."""
        self._held.set_function(held)

    def count_refused(self, reason: str) -> None:
        """Counts a refused connection by reason."""
        self._refused.labels(reason).inc()


class EntryMetrics:
    """Metrics of a gateway entry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "fighitch_requests",
            "Requests by route and outcome.",
            ("route", "outcome"),
            registry=self.registry,
        )
        self._attempts = Counter(
            "fighitch_attempts",
            "Requests sent to backend servers by service and outcome.",
            ("service", "outcome"),
            registry=self.registry,
        )
        self._zone_attempts = Counter(
            "fighitch_zone_attempts",
            "Requests sent by service, zone of the server and reason to choose it.",
            ("service", "zone", "reason"),
            registry=self.registry,
        )
        self._first_byte = Histogram(
            "fighitch_first_byte_seconds",
            "Time from a request to the first byte of its answer.",
            ("route",),
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._placement_time = Histogram(
            "fighitch_placing_seconds",
            "Time from a request to its place on a backend server.",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._open_requests = Gauge(
            "fighitch_open_requests", "Requests under way.", registry=self.registry
        )
        self._key_checks = Counter(
            "fighitch_key_checks",
            "Requests on routes that need a key of a client account, by outcome.",
            ("outcome",),
            registry=self.registry,
        )
        self._refuses_keys = Gauge(
            "fighitch_refuses_keys",
            "Whether keys are refused for lack of contact with the store (1 or 0).",
            registry=self.registry,
        )
        self.memory = MemoryMetrics(self.registry)

    def count_request(self, route: str, outcome: str) -> None:
        """Counts a finished request by route and outcome."""
        self._requests.labels(route, outcome).inc()

    def count_attempt(self, service: str, outcome: str) -> None:
        """Counts an attempt at a backend server by service and outcome."""
        self._attempts.labels(service, outcome).inc()

    def count_zone_attempt(self, service: str, zone: str, reason: str) -> None:
        """Counts a request sent to a zone, with why it left the entry's own."""
        self._zone_attempts.labels(service, zone, reason).inc()

    def observe_first_byte(self, route: str, elapsed: Seconds) -> None:
        """Observes the time to the first byte of a response."""
        self._first_byte.labels(route).observe(elapsed)

    def observe_placement(self, elapsed: Seconds) -> None:
        """Observes the time until a request is placed on a backend server."""
        self._placement_time.observe(elapsed)

    def set_open_requests(self, count: int) -> None:
        """Sets the number of requests in flight."""
        self._open_requests.set(count)

    def count_key_check(self, outcome: str) -> None:
        """Counts the check of a key by outcome."""
        self._key_checks.labels(outcome).inc()

    def set_refuses_keys(self, refuses: bool) -> None:
        """Sets whether keys are refused for lack of contact with the store."""
        self._refuses_keys.set(int(refuses))

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class AgentMetrics:
    """Metrics of an engine agent."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._admission_wait = Histogram(
            "fighitch_admission_seconds",
            "Time that granted requests waited.",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._denied = Counter(
            "fighitch_denied",
            "Requests denied, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self._declined = Counter(
            "fighitch_declined",
            "Requests declined because they would be late here.",
            registry=self.registry,
        )
        self._orders = Counter(
            "fighitch_orders",
            "Orders to the engine, by kind and outcome.",
            ("kind", "outcome"),
            registry=self.registry,
        )
        self._running = Gauge(
            "fighitch_running", "Requests on the engine.", registry=self.registry
        )
        self._waiting = Gauge(
            "fighitch_waiting", "Requests that wait.", registry=self.registry
        )
        self._backlog = Gauge(
            "fighitch_backlog_seconds",
            "Time until the prompt of new work that can be on time is read.",
            registry=self.registry,
        )
        self._account_waiting = Gauge(
            "fighitch_account_waiting",
            "Requests that wait, by client account.",
            ("account",),
            registry=self.registry,
        )
        self._account_admitted = Counter(
            "fighitch_account_admitted",
            "Requests admitted to the engine, by client account.",
            ("account",),
            registry=self.registry,
        )
        self._account_tokens = Counter(
            "fighitch_account_admitted_tokens",
            "Prompt and output tokens of admitted requests, by client account.",
            ("account",),
            registry=self.registry,
        )
        self._account_labels: set[str] = set()
        self.memory = MemoryMetrics(self.registry)

    def observe_admission(self, waited: Seconds, account: str, tokens: int) -> None:
        """Observes an admitted request.

        Args:
            waited: Time that it waited in the queue.
            account: Its client account; empty for none.
            tokens: Its prompt and output tokens.
        """
        self._admission_wait.observe(waited)
        if account:
            label = self._account_label(account)
            self._account_admitted.labels(label).inc()
            self._account_tokens.labels(label).inc(tokens)

    def count_denied(self, reason: str) -> None:
        """Counts a denied request by reason."""
        self._denied.labels(reason).inc()

    def count_declined(self) -> None:
        """Counts a request declined because it would miss its latency target."""
        self._declined.inc()

    def count_order(self, kind: str, outcome: str) -> None:
        """Counts an order by kind and outcome."""
        self._orders.labels(kind, outcome).inc()

    def set_state(self, running: int, waiting: int, backlog: Seconds) -> None:
        """Sets the gauges for the state of the queue."""
        self._running.set(running)
        self._waiting.set(waiting)
        self._backlog.set(backlog)

    def set_account_waiting(self, waiting: Mapping[str, int]) -> None:
        """Sets the waiting requests by account; those of other accounts become 0."""
        counts = dict.fromkeys(self._account_labels, 0)
        for account, count in waiting.items():
            if account:
                label = self._account_label(account)
                counts[label] = counts.get(label, 0) + count
        for label, count in counts.items():
            self._account_waiting.labels(label).set(count)

    def _account_label(self, account: str) -> str:
        """Returns the label value of an account; the number of values is bounded."""
        if account not in self._account_labels:
            if len(self._account_labels) >= _MAX_ACCOUNT_LABELS:
                account = _OTHER_ACCOUNTS
            self._account_labels.add(account)
        return account

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
