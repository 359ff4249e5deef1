"""Metrics of the quotas of client accounts."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class EntryQuotaMetrics:
    """Metrics of an entry, by account with a quota."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._allowed = Counter(
            "fighitch_quota_allowed_units",
            "Units of the requests within the quota.",
            ("account",),
            registry=registry,
        )
        self._refunded = Counter(
            "fighitch_quota_refunded_units",
            "Units of allowed requests that were not run.",
            ("account",),
            registry=registry,
        )
        self._refused = Counter(
            "fighitch_quota_refused",
            "Requests that got no units, by reason.",
            ("account", "reason"),
            registry=registry,
        )
        self._held = Gauge(
            "fighitch_quota_held_units",
            "Units that the entry holds ahead of requests.",
            ("account",),
            registry=registry,
        )

    def count_allowed(self, account: str, units: float) -> None:
        """Counts the units of an allowed request."""
        self._allowed.labels(account).inc(units)

    def count_refunded(self, account: str, units: float) -> None:
        """Counts the units of an allowed request that was not run."""
        self._refunded.labels(account).inc(units)

    def count_refused(self, account: str, reason: str) -> None:
        """Counts a request that got no units."""
        self._refused.labels(account, reason).inc()

    def set_held(self, account: str, units: float) -> None:
        """Sets the units that the entry holds."""
        self._held.labels(account).set(units)


class HolderMetrics:
    """Metrics of an agent, by account that it holds the quota of."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._level = Gauge(
            "fighitch_quota_level_units",
            "Units in the bucket of an account, those lent included.",
            ("account",),
            registry=registry,
        )
        self._lent = Gauge(
            "fighitch_quota_lent_units",
            "Units lent to entries.",
            ("account",),
            registry=registry,
        )
        self._shares = Gauge(
            "fighitch_quota_shares",
            "Entries that lend their share of an account to this agent.",
            ("account",),
            registry=registry,
        )

    def set_state(self, account: str, level: float, lent: float, shares: int) -> None:
        """Sets the state of an account's bucket."""
        self._level.labels(account).set(level)
        self._lent.labels(account).set(lent)
        self._shares.labels(account).set(shares)

    def forget(self, account: str) -> None:
        """Removes an account whose bucket was closed."""
        for gauge in (self._level, self._lent, self._shares):
            gauge.remove(account)
