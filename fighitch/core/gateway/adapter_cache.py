"""Which adapters one engine holds, and the next order that improves it.

Load pattern: thousands of adapters share a few places per engine, and which of them are
asked for shifts during the day. The least used idle adapter makes way. In a flood more
adapters are waited for than fit: an adapter that is held stays for the work that waits
for it, or the engine would load adapters in turn and serve none of them.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from fighitch.core.demand import DemandEstimator
from fighitch.core.gateway.model import AdapterName, EngineSpec
from fighitch.core.gateway.recent_adapters import RecentAdapters
from fighitch.core.gateway.waiting_adapters import WaitingAdapter
from fighitch.types import Seconds

# Loads on their way to one engine. Nine engines with three each reach what the weight
# store serves at full speed (16 and 24); beyond that, loads only take longer.
_MAX_COLD_LOADS = 3
_MAX_LOADS = 4  # limit of the engine
_USE_HALF_LIFE: Seconds = 8.0
# Starting value of the measured time of a load.
_FIRST_LOAD_TIME: Seconds = 0.25
_ESTIMATE_WEIGHT = 0.1
# Adapters that were held recently load ten times as fast.
_FIRST_RECENT_LOAD_TIME: Seconds = 0.03
# Starting value of the measured time for which work keeps an adapter in use.
_FIRST_USE_TIME: Seconds = 0.8
# An old version may be used while its replacement waits for a pause, well inside the
# bound of 5 s that the users set for new versions.
_OLD_VERSION_GRACE: Seconds = 1.2


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Order to load an adapter or to replace an older version of it."""

    adapter: AdapterName
    version: int


@dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Order to drop an adapter."""

    adapter: AdapterName


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Order to load a base model."""

    model: str


Order = LoadAdapter | UnloadAdapter | LoadModel


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself.

    Attributes:
        sequence: Number of orders that it accepted.
        models: Base models that it holds.
        adapters: Adapters that it holds, with their versions.
        coming: Adapters on their way to it.
        busy: Whether it carries out an order that excludes others.
        draining: Whether it is leaving.
        remaining: Time until it is gone, if it said so.
        start_time_ms: Unix time of its start in ms; 0 if not stated.
        instance_id: Its id; empty if not stated.
    """

    sequence: int
    models: frozenset[str]
    adapters: Mapping[AdapterName, int]
    coming: frozenset[AdapterName]
    busy: bool = False
    draining: bool = False
    remaining: Seconds | None = None
    start_time_ms: int = 0
    instance_id: str = ""


@dataclass(slots=True)
class _Use:
    """A time for which an adapter is in use without a break.

    Attributes:
        since: When it began.
        requests: Requests that were granted in it.
        running: Those that have not ended.
    """

    since: Seconds
    requests: int = 0
    running: int = 0


@dataclass(slots=True)
class AdapterCache:
    """Adapter places of one engine."""

    report: EngineReport | None = None
    _engine: EngineSpec | None = None
    _demand: DemandEstimator[AdapterName] = field(
        default_factory=lambda: DemandEstimator(_USE_HALF_LIFE)
    )
    _versions: dict[AdapterName, int] = field(default_factory=dict)
    _outdated_since: dict[AdapterName, Seconds] = field(default_factory=dict)
    _recent: RecentAdapters = field(default_factory=RecentAdapters)
    _coming_since: dict[AdapterName, Seconds] = field(default_factory=dict)
    _load_time: Seconds = _FIRST_LOAD_TIME
    _recent_load_time: Seconds = _FIRST_RECENT_LOAD_TIME
    _uses: dict[AdapterName, _Use] = field(default_factory=dict)
    _use_time: Seconds = _FIRST_USE_TIME

    def configure(self, engine: EngineSpec) -> None:
        """Takes the engine's limits."""
        self._engine = engine

    @property
    def recent(self) -> Iterable[AdapterName]:
        """Adapters that were dropped not long ago and load fast."""
        return self._recent

    @property
    def has_pending_loads(self) -> bool:
        """Whether an adapter is on its way."""
        return self.report is not None and bool(self.report.coming)

    def load_queue_delay(self, loads_ahead: int) -> Seconds:
        """Returns how long a load waits behind others and for a place."""
        wait = loads_ahead * self._load_time / _MAX_COLD_LOADS
        places = self._places()
        if self.report is None or not places:
            return wait
        taken = len(self._uses) + len(self.report.coming)
        lacking = taken + loads_ahead + 1 - places
        return wait + max(0, lacking) * self._use_time / places

    def load_wait(
        self, adapter: AdapterName, loads_ahead: int, now: Seconds
    ) -> Seconds:
        """Returns when a request for an adapter may start.

        Args:
            adapter: Adapter that is asked for.
            loads_ahead: Missing adapters that work waits for.
            now: Time of the decision.
        """
        if self.serves(adapter, 0, now):
            return 0.0
        load_time = self._load_time
        if adapter in self._recent:
            load_time = self._recent_load_time
        since = self._coming_since.get(adapter)
        if since is not None:
            return max(0.0, since + load_time - now)
        return self.load_queue_delay(loads_ahead) + load_time

    def record_report(self, report: EngineReport, now: Seconds) -> None:
        """Takes what the engine says of itself."""
        previous = self.report
        self.report = report
        self._measure_loads(report, now)
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

    def _measure_loads(self, report: EngineReport, now: Seconds) -> None:
        for adapter in [
            name for name in self._coming_since if name not in report.coming
        ]:
            elapsed = now - self._coming_since.pop(adapter)
            if adapter not in report.adapters:
                continue
            if adapter in self._recent:
                error = elapsed - self._recent_load_time
                self._recent_load_time += _ESTIMATE_WEIGHT * error
            else:
                self._load_time += _ESTIMATE_WEIGHT * (elapsed - self._load_time)
        for adapter in report.coming:
            self._coming_since.setdefault(adapter, now)

    def record_version(self, adapter: AdapterName, version: int, now: Seconds) -> None:
        """Takes the announcement of a version."""
        if version <= self._versions.get(adapter, 0):
            return
        self._versions[adapter] = version
        self._outdated_since.setdefault(adapter, now)

    def record_demand(self, adapter: AdapterName, now: Seconds) -> None:
        """Counts a request for an adapter."""
        self._demand.record(adapter, now)

    def record_grant(self, adapter: AdapterName, now: Seconds) -> None:
        """Notes that a request may start on an adapter."""
        use = self._uses.setdefault(adapter, _Use(now))
        use.requests += 1
        use.running += 1

    def record_end(self, adapter: AdapterName, now: Seconds) -> None:
        """Notes the end of a request on an adapter."""
        use = self._uses[adapter]
        use.running -= 1
        if use.running:
            return
        del self._uses[adapter]
        if use.requests == 1:
            # A popular adapter stays in use; its place is not the next to be free.
            self._use_time += _ESTIMATE_WEIGHT * (now - use.since - self._use_time)

    def serves(self, adapter: AdapterName, version: int, now: Seconds) -> bool:
        """Whether a request for an adapter may start."""
        if self.report is None or adapter.model not in self.report.models:
            return False
        if not adapter.adapter:
            return True
        held = self.report.adapters.get(adapter)
        if held is None:
            return False
        newest = max(version, self._versions.get(adapter, 0))
        if held >= newest:
            self._outdated_since.pop(adapter, None)
            return True
        since = self._outdated_since.setdefault(adapter, now)
        return now < since + _OLD_VERSION_GRACE

    def next_order(
        self, waiting: Sequence[WaitingAdapter], now: Seconds
    ) -> Order | None:
        """Returns the order that helps the most urgent waiting work.

        Args:
            waiting: Adapters that work waits for, those that are held included, the
                most urgent first.
            now: Time of the decision.
        """
        report, engine = self.report, self._engine
        if report is None or engine is None or report.busy or report.draining:
            return None
        missing_model = self._missing_model(report, engine, waiting)
        if missing_model is not None:
            return LoadModel(missing_model)
        for wanted in (*waiting, *self._outdated(report)):
            order = self._order_for(wanted, waiting, now)
            if order is not None:
                return order
        return None

    def _order_for(
        self,
        wanted: WaitingAdapter,
        waiting: Iterable[WaitingAdapter],
        now: Seconds,
    ) -> Order | None:
        report, adapter = self.report, wanted.adapter
        if report is None or not adapter.adapter or adapter.model not in report.models:
            return None
        if adapter in report.coming:
            return None
        newest = max(wanted.version, self._versions.get(adapter, 0))
        held = report.adapters.get(adapter)
        if held is not None:
            if held >= newest or adapter in self._uses:
                return None
            return self._load(adapter, newest, report)
        if len(report.adapters) + len(report.coming) < self._places():
            return self._load(adapter, newest, report)
        if not self._may_load(adapter, report):
            return None
        # Work that is late already yields its adapter to work that can be on time.
        stay = {
            other.adapter for other in waiting if other.on_time or not wanted.on_time
        }
        victim = self._victim(report, stay, now)
        return None if victim is None else UnloadAdapter(victim)

    def _load(
        self, adapter: AdapterName, version: int, report: EngineReport
    ) -> Order | None:
        if not self._may_load(adapter, report):
            return None
        return LoadAdapter(adapter, version)

    def _may_load(self, adapter: AdapterName, report: EngineReport) -> bool:
        limit = _MAX_LOADS if adapter in self._recent else _MAX_COLD_LOADS
        return len(report.coming) < limit

    def _outdated(self, report: EngineReport) -> list[WaitingAdapter]:
        return [
            WaitingAdapter(adapter, self._versions[adapter])
            for adapter in self._outdated_since
            if adapter in report.adapters
            and report.adapters[adapter] < self._versions.get(adapter, 0)
        ]

    def _places(self) -> int:
        engine = self._engine
        if engine is None or self.report is None:
            return 0
        held = [
            engine.models[name] for name in self.report.models if name in engine.models
        ]
        room = engine.weights_mb - sum(model.weights_mb for model in held)
        largest = max((model.adapter_mb for model in held), default=0.0)
        if largest <= 0:
            return engine.adapter_places
        return min(engine.adapter_places, int(room / largest))

    def _victim(
        self, report: EngineReport, stay: set[AdapterName], now: Seconds
    ) -> AdapterName | None:
        idle = [
            adapter
            for adapter in report.adapters
            if adapter not in stay and adapter not in self._uses
        ]
        if not idle:
            return None
        return min(idle, key=lambda adapter: self._demand.rate(adapter, now))

    def _missing_model(
        self,
        report: EngineReport,
        engine: EngineSpec,
        waiting: Iterable[WaitingAdapter],
    ) -> str | None:
        """Returns a model to load: one that work waits for, any if none is held."""
        names = [wanted.adapter.model for wanted in waiting]
        if not report.models:
            # An engine that restarted holds nothing.
            smallest = sorted(engine.models.values(), key=lambda spec: spec.weights_mb)
            names += [spec.name for spec in smallest]
        for name in names:
            if name not in engine.models or name in report.models:
                continue
            if self._used_mb(report, engine, name) <= engine.weights_mb:
                return name
        return None

    @staticmethod
    def _used_mb(report: EngineReport, engine: EngineSpec, added: str) -> float:
        models = [
            engine.models[name]
            for name in (*report.models, added)
            if name in engine.models
        ]
        largest = max(spec.adapter_mb for spec in models)
        adapters = len(report.adapters) + len(report.coming)
        return sum(spec.weights_mb for spec in models) + adapters * largest
