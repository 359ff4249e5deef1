"""Settings and faults of the engine."""

from standins.engine_model import EngineParameters
from standins.faults import Faults
from standins.settings import (
    Amount,
    Count,
    PositiveFloat,
    PositiveInt,
    Share,
    StandInSettings,
)


class EngineSettings(
    StandInSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the engine.

    Attributes:
        model: Sizes and costs.
        checks_fencing: Whether commands with an old fencing token are refused.
        weight_store_url: Where adapters are fetched from; empty to only wait.
        load_seconds: Duration of a load without a weight store.
        load_report_lag_seconds: Lag of ``GET /load``.
        cache_event_delay_seconds: Delay of ``GET /events``.
        cache_event_drop_share: Share of cache events that are never published.
        seed: Seed of the random choice of events to drop.
    """

    model: EngineParameters = EngineParameters()
    checks_fencing: bool = True
    weight_store_url: str = ""
    load_seconds: Amount = 0.25
    load_report_lag_seconds: Amount = 0.0
    cache_event_delay_seconds: Amount = 0.0
    cache_event_drop_share: Share = 0.0
    seed: int = 1


class EngineFaults(Faults, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults of the engine.

    Attributes:
        fail_next_loads: Adapter loads that fail after the fetch.
        slow_factor: Factor on the cost of each step.
        cut_next_answers: Answers whose connection is cut.
        cut_after_tokens: Tokens that such an answer generates before.
        load_report_lag_seconds: Lag of ``GET /load``.
        cache_event_delay_seconds: Delay of ``GET /events``.
        cache_event_drop_share: Share of cache events that are never published.
    """

    fail_next_loads: Count = 0
    slow_factor: PositiveFloat = 1.0
    cut_next_answers: Count = 0
    cut_after_tokens: PositiveInt = 1
    load_report_lag_seconds: Amount = 0.0
    cache_event_delay_seconds: Amount = 0.0
    cache_event_drop_share: Share = 0.0
