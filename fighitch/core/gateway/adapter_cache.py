"""Tracks the adapters loaded on one engine and selects its next order.

Load pattern: thousands of adapters share a few slots per engine, and the set of
requested adapters shifts during the day. The idle adapter with the least demand is
evicted first. During a flood, more adapters are requested than fit: a loaded adapter is
not evicted while requests wait for it. Otherwise the engine would thrash, loading
adapters in turn without serving any of them. With several client accounts, places are
shared between them (``place_shares``).
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from fighitch.core.demand import DemandEstimator
from fighitch.core.gateway.adapter_demand import AdapterDemand
from fighitch.core.gateway.model import AdapterName, EngineSpec
from fighitch.core.gateway.place_shares import PlaceShares
from fighitch.core.gateway.recent_adapters import RecentAdapters
from fighitch.types import Seconds

# Maximum concurrent cold loads of one engine. Nine engines with three loads each reach
# the number of concurrent loads that the weight store serves at full speed (16 or 24);
# further loads only take longer.
_MAX_COLD_LOADS = 3
_MAX_LOADS = 4  # concurrent loads that an engine supports
_DEMAND_HALF_LIFE: Seconds = 8.0
# Initial estimate of the duration of a cold load.
_INITIAL_LOAD_TIME: Seconds = 0.25
_SMOOTHING_FACTOR = 0.1
# Initial estimate of the duration of a reload. Recently unloaded adapters load ten
# times as fast.
_INITIAL_RELOAD_TIME: Seconds = 0.03
# Initial estimate of the time for which requests keep an adapter in use.
_INITIAL_USE_TIME: Seconds = 0.8
# An adapter that has to become idle for another account takes no requests for this many
# times the usual time of use. It covers requests that run for longer than usual.
_DRAIN_USE_TIMES = 3.0
# An outdated version may serve requests while its replacement waits until the adapter
# is idle. The grace period is well below the limit of 5 s that users set for the
# rollout of new versions.
OUTDATED_VERSION_GRACE: Seconds = 1.2


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Order to load an adapter or to replace an older version of it.

    Attributes:
        adapter: Adapter to load.
        version: Version to load; 0 if the order names none.
    """

    adapter: AdapterName
    version: int


@dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Order to unload an adapter."""

    adapter: AdapterName


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Order to load a base model."""

    model: str


Order = LoadAdapter | UnloadAdapter | LoadModel


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports.

    Attributes:
        sequence: Number of orders that the engine has accepted.
        models: Loaded base models.
        adapters: Loaded adapters, with their versions.
        loading: Adapters that are being loaded.
        busy: Whether the engine executes an order that excludes others.
        draining: Whether the engine is draining.
        leaving: Whether the response with the report says that the engine leaves.
        time_left: Time until the engine shuts down; None if not reported.
        start_time_ms: Unix time at which the engine started, in ms; 0 if not reported.
        instance_id: Instance id of the engine; empty if not reported.
        events: Number of events that each running request has produced, by request id.
    """

    sequence: int
    models: frozenset[str]
    adapters: Mapping[AdapterName, int]
    loading: frozenset[AdapterName]
    busy: bool = False
    draining: bool = False
    leaving: bool = False
    time_left: Seconds | None = None
    start_time_ms: int = 0
    instance_id: str = ""
    events: Mapping[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _UsePeriod:
    """Uninterrupted period in which requests use an adapter.

    Attributes:
        since: Start of the period.
        requests: Number of requests admitted during the period.
        running: Number of admitted requests that have not ended.
    """

    since: Seconds
    requests: int = 0
    running: int = 0


@dataclass(slots=True)
class AdapterCache:
    """Adapters loaded on one engine, with estimates of load times and eviction.

    Attributes:
        report: Latest report of the engine; None before the first one.
    """

    report: EngineReport | None = None
    _engine: EngineSpec | None = None
    _demand: DemandEstimator[AdapterName] = field(
        default_factory=lambda: DemandEstimator(_DEMAND_HALF_LIFE)
    )
    _newest_versions: dict[AdapterName, int] = field(default_factory=dict)
    _outdated_since: dict[AdapterName, Seconds] = field(default_factory=dict)
    _recent: RecentAdapters = field(default_factory=RecentAdapters)
    _loading_since: dict[AdapterName, Seconds] = field(default_factory=dict)
    _load_time: Seconds = _INITIAL_LOAD_TIME
    _reload_time: Seconds = _INITIAL_RELOAD_TIME
    _uses: dict[AdapterName, _UsePeriod] = field(default_factory=dict)
    _use_time: Seconds = _INITIAL_USE_TIME
    _shares: PlaceShares = field(default_factory=PlaceShares)
    _draining: AdapterName | None = None
    _draining_until: Seconds = 0.0

    def configure(self, engine: EngineSpec) -> None:
        """Sets the limits of the engine."""
        self._engine = engine

    @property
    def recently_unloaded(self) -> Iterable[AdapterName]:
        """Recently unloaded adapters, which load fast."""
        return self._recent

    @property
    def has_pending_loads(self) -> bool:
        """Whether an adapter is being loaded."""
        return self.report is not None and bool(self.report.loading)

    def load_queue_delay(self, loads_ahead: int) -> Seconds:
        """Estimates how long a load waits for other loads and for a free slot.

        Args:
            loads_ahead: Number of missing adapters that queued requests wait for.
        """
        wait = loads_ahead * self._load_time / _MAX_COLD_LOADS
        capacity = self._capacity()
        if self.report is None or not capacity:
            return wait
        occupied = len(self._uses) + len(self.report.loading)
        shortage = occupied + loads_ahead + 1 - capacity
        return wait + max(0, shortage) * self._use_time / capacity

    def load_wait(
        self, adapter: AdapterName, loads_ahead: int, now: Seconds
    ) -> Seconds:
        """Estimates the time until the engine can serve an adapter.

        Args:
            adapter: Requested adapter.
            loads_ahead: Number of missing adapters that queued requests wait for.
            now: Current time.

        Returns:
            The expected delay; 0 if the adapter is loaded.
        """
        if self.serves(adapter, 0, now):
            return 0.0
        load_time = self._load_time
        if adapter in self._recent:
            load_time = self._reload_time
        since = self._loading_since.get(adapter)
        if since is not None:
            return max(0.0, since + load_time - now)
        return self.load_queue_delay(loads_ahead) + load_time

    def record_report(self, report: EngineReport, now: Seconds) -> None:
        """Applies a report of the engine.

        A report with another start time or a lower sequence number comes from a
        restarted engine, which can't reload any adapter fast.
        """
        previous = self.report
        self.report = report
        self._update_load_times(report, now)
        if previous is None:
            return
        if (
            previous.start_time_ms != report.start_time_ms
            or report.sequence < previous.sequence
        ):
            self._recent.clear()
            return
        for adapter in previous.adapters:
            if adapter not in report.adapters:
                self._recent.add(adapter)
        for adapter in report.adapters:
            self._recent.discard(adapter)
        if self._draining not in report.adapters:
            self._draining = None

    def _update_load_times(self, report: EngineReport, now: Seconds) -> None:
        """Updates the estimated load times with the loads that ended."""
        for adapter in [
            name for name in self._loading_since if name not in report.loading
        ]:
            elapsed = now - self._loading_since.pop(adapter)
            if adapter not in report.adapters:
                continue
            if adapter in self._recent:
                error = elapsed - self._reload_time
                self._reload_time += _SMOOTHING_FACTOR * error
            else:
                self._load_time += _SMOOTHING_FACTOR * (elapsed - self._load_time)
        for adapter in report.loading:
            self._loading_since.setdefault(adapter, now)

    def record_version(self, adapter: AdapterName, version: int, now: Seconds) -> None:
        """Records that a new version of an adapter was announced."""
        if version <= self._newest_versions.get(adapter, 0):
            return
        self._newest_versions[adapter] = version
        self._outdated_since.setdefault(adapter, now)

    def record_demand(
        self,
        adapter: AdapterName,
        now: Seconds,
        account: str = "",
        *,
        weight: float = 1.0,
    ) -> None:
        """Counts a request of an account for an adapter in the demand estimate.

        Args:
            adapter: Requested adapter.
            now: Current time.
            account: Client account of the request; empty for none.
            weight: Weight of the account in shares of the places.
        """
        self._demand.record(adapter, now)
        if adapter.adapter:
            self._shares.record_use(adapter, account, now, weight=weight)

    def record_admission(self, adapter: AdapterName, now: Seconds) -> None:
        """Records that an admitted request uses an adapter."""
        use = self._uses.setdefault(adapter, _UsePeriod(now))
        use.requests += 1
        use.running += 1

    def record_end(self, adapter: AdapterName, now: Seconds) -> None:
        """Records the end of a request that used an adapter."""
        use = self._uses[adapter]
        use.running -= 1
        if use.running:
            return
        del self._uses[adapter]
        if use.requests == 1:
            # Only periods with a single request are measured. A popular adapter stays
            # in use for long, but other slots become free before its own.
            self._use_time += _SMOOTHING_FACTOR * (now - use.since - self._use_time)

    def serves(self, adapter: AdapterName, version: int, now: Seconds) -> bool:
        """Returns whether the engine can serve an adapter.

        An outdated version is accepted for a grace period after the newer version
        became known, unless the request asks for the newer one.

        Args:
            adapter: Requested adapter; one without an adapter name stands for the base
                model.
            version: Oldest version that the request accepts; 0 for any. The agent may
                hear of a version long after the entry.
            now: Current time.
        """
        if self.report is None or adapter.model not in self.report.models:
            return False
        if not adapter.adapter:
            return True
        loaded_version = self.report.adapters.get(adapter)
        if loaded_version is None:
            return False
        if adapter == self._draining and now < self._draining_until:
            return False
        newest = max(version, self._newest_versions.get(adapter, 0))
        if loaded_version >= newest:
            self._outdated_since.pop(adapter, None)
            return True
        since = self._outdated_since.setdefault(adapter, now)
        return loaded_version >= version and now < since + OUTDATED_VERSION_GRACE

    def next_order(
        self, demands: Sequence[AdapterDemand], now: Seconds
    ) -> Order | None:
        """Returns the order that serves the most urgent queued requests.

        Args:
            demands: Adapters that queued requests need, including loaded ones, the most
                urgent first.
            now: Current time.

        Returns:
            The order; None if none is needed or possible now.
        """
        report, engine = self.report, self._engine
        if report is None or engine is None or report.busy:
            return None
        if report.draining or report.leaving:
            return None
        missing_model = self._missing_model(report, engine, demands)
        if missing_model is not None:
            return LoadModel(missing_model)
        if self._shares.is_active(now):
            present = {*report.adapters, *report.loading}
            demands = self._shares.order_loads(demands, present, now)
        for candidate in (*demands, *self._outdated_adapters(report)):
            order = self._order_for(candidate, demands, now)
            if order is not None:
                return order
        return None

    def _order_for(
        self,
        candidate: AdapterDemand,
        demands: Iterable[AdapterDemand],
        now: Seconds,
    ) -> Order | None:
        """Returns the next order towards serving one adapter, or None.

        A missing adapter is loaded into a free slot; if there is none, another adapter
        is unloaded first. A loaded adapter is replaced by a newer version when it is
        idle.
        """
        report, adapter = self.report, candidate.adapter
        if report is None or not adapter.adapter or adapter.model not in report.models:
            return None
        if adapter in report.loading:
            return None
        newest = max(candidate.version, self._newest_versions.get(adapter, 0))
        loaded_version = report.adapters.get(adapter)
        if loaded_version is not None:
            if loaded_version >= newest or adapter in self._uses:
                return None
            return self._load_order(adapter, newest, report)
        if len(report.adapters) + len(report.loading) < self._capacity():
            return self._load_order(adapter, newest, report)
        if not self._can_start_load(adapter, report):
            return None
        # An adapter that only late requests wait for may be evicted for requests that
        # can still meet their latency target.
        protected = {
            other.adapter
            for other in demands
            if other.on_time_requests or not candidate.on_time_requests
        }
        if self._shares.is_active(now):
            victim = self._select_victim_by_shares(candidate, report, protected, now)
        else:
            victim = self._select_victim(report, protected, now)
        return None if victim is None else UnloadAdapter(victim)

    def _load_order(
        self, adapter: AdapterName, version: int, report: EngineReport
    ) -> Order | None:
        if not self._can_start_load(adapter, report):
            return None
        return LoadAdapter(adapter, version)

    def _can_start_load(self, adapter: AdapterName, report: EngineReport) -> bool:
        limit = _MAX_LOADS if adapter in self._recent else _MAX_COLD_LOADS
        return len(report.loading) < limit

    def _outdated_adapters(self, report: EngineReport) -> list[AdapterDemand]:
        """Returns loaded adapters of which a newer version was announced."""
        return [
            AdapterDemand(adapter, self._newest_versions[adapter])
            for adapter in self._outdated_since
            if adapter in report.adapters
            and report.adapters[adapter] < self._newest_versions.get(adapter, 0)
        ]

    def _capacity(self) -> int:
        """Returns how many adapters fit beside the loaded models."""
        engine = self._engine
        if engine is None or self.report is None:
            return 0
        loaded_models = [
            engine.models[name] for name in self.report.models if name in engine.models
        ]
        available_mb = engine.weights_mb - sum(
            model.weights_mb for model in loaded_models
        )
        largest = max((model.adapter_mb for model in loaded_models), default=0.0)
        if largest <= 0:
            return engine.adapter_places
        return min(engine.adapter_places, int(available_mb / largest))

    def _select_victim(
        self, report: EngineReport, protected: set[AdapterName], now: Seconds
    ) -> AdapterName | None:
        idle = [
            adapter
            for adapter in report.adapters
            if adapter not in protected and adapter not in self._uses
        ]
        if not idle:
            return None
        return min(idle, key=lambda adapter: self._demand.rate(adapter, now))

    def _select_victim_by_shares(
        self,
        candidate: AdapterDemand,
        report: EngineReport,
        protected: set[AdapterName],
        now: Seconds,
    ) -> AdapterName | None:
        """Returns the adapter to evict for one of another account, or None.

        If the adapters of accounts above their share are all in use, one of them takes
        no further requests until it is idle. Otherwise, a flood of requests for it
        would keep its place for as long as the flood lasts.
        """
        present = {*report.adapters, *report.loading}
        over_share, unclaimed = self._shares.evictable(
            report.adapters, candidate, present, now
        )
        allowed = {*over_share, *unclaimed}
        # Requests that wait for an adapter protect it only within the account's share.
        kept = {adapter for adapter in report.adapters if adapter not in allowed}
        victim = self._select_victim(report, kept | protected, now)
        if victim is None and over_share:
            kept = {adapter for adapter in report.adapters if adapter not in over_share}
            victim = self._select_victim(report, kept, now)
            if victim is None:
                self._drain_one(over_share, now)
        return victim

    def _drain_one(self, adapters: Iterable[AdapterName], now: Seconds) -> None:
        """Admits no requests for one of several adapters in use for a while."""
        if self._draining is not None and now < self._draining_until:
            return
        self._draining = min(adapters, key=lambda adapter: self._uses[adapter].running)
        self._draining_until = now + _DRAIN_USE_TIMES * self._use_time

    def _missing_model(
        self,
        report: EngineReport,
        engine: EngineSpec,
        demands: Iterable[AdapterDemand],
    ) -> str | None:
        """Returns a model to load, or None.

        Models that queued requests need go first. If no model is loaded, any model that
        fits is returned, in order of size.
        """
        names = [candidate.adapter.model for candidate in demands]
        if not report.models:
            # A restarted engine has no model loaded.
            smallest = sorted(engine.models.values(), key=lambda spec: spec.weights_mb)
            names += [spec.name for spec in smallest]
        for name in names:
            if name not in engine.models or name in report.models:
                continue
            if self._required_mb(report, engine, name) <= engine.weights_mb:
                return name
        return None

    @staticmethod
    def _required_mb(report: EngineReport, engine: EngineSpec, added: str) -> float:
        """Returns the memory for all loaded models, adapters and one more model."""
        models = [
            engine.models[name]
            for name in (*report.models, added)
            if name in engine.models
        ]
        largest = max(spec.adapter_mb for spec in models)
        adapters = len(report.adapters) + len(report.loading)
        return sum(spec.weights_mb for spec in models) + adapters * largest
