"""Settings and faults of the engine."""

from standins.engine_model import EngineParameters
from standins.faults import Faults
from standins.settings import (
    Fraction,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveFloat,
    PositiveInt,
    StandInSettings,
)


class EngineSettings(
    StandInSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the engine.

    Attributes:
        model: Sizes and costs of the modelled engine.
        checks_fencing: Whether commands with a stale fencing token are rejected.
        weight_store_url: URL of the weight store; if empty, a load only waits.
        load_seconds: Duration of a load without a weight store.
        load_report_lag_seconds: Lag of ``GET /load``.
        cache_event_delay_seconds: Delay of ``GET /events``.
        cache_event_drop_share: Probability that a cache event is dropped.
        seed: Seed of the random selection of dropped events.
    """

    model: EngineParameters = EngineParameters()
    checks_fencing: bool = True
    weight_store_url: str = ""
    load_seconds: NonNegativeFloat = 0.25
    load_report_lag_seconds: NonNegativeFloat = 0.0
    cache_event_delay_seconds: NonNegativeFloat = 0.0
    cache_event_drop_share: Fraction = 0.0
    seed: int = 1


class EngineFaults(Faults, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults of the engine.

    Attributes:
        fail_next_loads: Number of adapter loads that fail after the fetch.
        slow_factor: Multiplier of the cost of each step.
        cut_next_answers: Number of responses whose connection is closed early.
        cut_after_tokens: Tokens that such a response carries before it is cut.
        load_report_lag_seconds: Lag of ``GET /load``.
        cache_event_delay_seconds: Delay of ``GET /events``.
        cache_event_drop_share: Probability that a cache event is dropped.
    """

    fail_next_loads: NonNegativeInt = 0
    slow_factor: PositiveFloat = 1.0
    cut_next_answers: NonNegativeInt = 0
    cut_after_tokens: PositiveInt = 1
    load_report_lag_seconds: NonNegativeFloat = 0.0
    cache_event_delay_seconds: NonNegativeFloat = 0.0
    cache_event_drop_share: Fraction = 0.0
