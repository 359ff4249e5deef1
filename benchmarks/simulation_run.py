"""Runs a simulated deployment with one arm, scenario and seed and summarizes it.

An arm is one of the compared schedulers: the cores of fighitch or a baseline.
"""

import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from benchmarks.baselines import BaselineArm, least_loaded, round_robin
from benchmarks.fighitch_arm import FighitchArm
from benchmarks.simulated_callers import Outcome, SimulatedCallers, StallTracker
from benchmarks.simulation import Arm, Clock, Engine, WeightStore
from benchmarks.workload import (
    COST,
    DEPLOYMENTS,
    PROFILES,
    RANKS,
    SCENARIOS,
    Arrival,
    Deployment,
    Phases,
    Scenario,
    capacity,
    generate_arrivals,
)
from fighitch.types import Seconds

FIGHITCH = "fighitch"
BASELINES = ("round-robin-fifo-lru", "least-loaded-affinity-fifo")
ARMS = (FIGHITCH, *BASELINES)
# Range and precision of latency histograms: 1 ms to 120 s, three significant digits.
_LOWEST_MS, _HIGHEST_MS, _DIGITS = 1, 120_000, 3
_PERCENTILES = (50, 95, 99)
# Queues fill up within this time of a flood; shares are measured afterwards.
_FLOOD_SETTLE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Case:
    """Parameters of one simulated run."""

    deployment: str
    scenario: str
    arm: str
    seed: int
    phases: Phases


@dataclass(slots=True)
class RankFigures:
    """Figures of one rank; shares range from 0 to 1 and times are in seconds.

    Attributes:
        requests: Measured requests.
        in_target: Share of requests that met their latency targets.
        in_time: Share of requests answered by their deadline.
        time_to_first_token: Percentiles by name.
        stalled: Total time that requests waited for adapter loads.
        flood_share: Share of the batch capacity used during the flood.
        floor_kept: Batch capacity used during the flood relative to the floor, or to
            the demand of the rank if that is below the floor.
        refusals: Rejected requests by kind.
    """

    requests: int = 0
    in_target: float = 1.0
    in_time: float = 1.0
    time_to_first_token: dict[str, Seconds] = field(default_factory=dict)
    stalled: Seconds = 0.0
    flood_share: float = 0.0
    floor_kept: float = 1.0
    refusals: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Figures:
    """Figures of one run.

    Attributes:
        ranks: Figures by rank.
        stalls_per_1000: Requests per 1,000 that waited for a load.
        stall_seconds_per_1000: Seconds per 1,000 requests spent waiting for loads.
        batch_efficiency: Tokens of answers in time per second of busy engine time,
            relative to the rate of a full batch on one adapter.
        mean_batch: Mean number of sequences per step.
        loads_per_1000: Adapter loads per 1,000 requests.
        store_violations: Loads started above the rate or in-transit limit.
        urgent_goodput_share: Urgent answers in time during an urgent flood, relative
            to the fleet capacity that the floors of the other ranks leave.
        run_seconds: Wall-clock time of the run on this machine.
    """

    ranks: dict[int, RankFigures]
    stalls_per_1000: float = 0.0
    stall_seconds_per_1000: Seconds = 0.0
    batch_efficiency: float = 0.0
    mean_batch: float = 0.0
    loads_per_1000: float = 0.0
    store_violations: int = 0
    urgent_goodput_share: float | None = None
    run_seconds: Seconds = 0.0


@dataclass(slots=True)
class SimulationRun:
    """State of one simulated run."""

    clock: Clock
    deployment: Deployment
    scenario: Scenario
    phases: Phases
    store: WeightStore
    engines: list[Engine]
    callers: SimulatedCallers
    arm: Arm


def run_case(case: Case) -> tuple[Case, Figures]:
    """Runs a case until all requests have ended and returns its figures."""
    started_at = time.perf_counter()
    run = build_run(case)
    _schedule_event(run)
    run.callers.start(run.arm)
    longest_deadline = max(profile.deadline for profile in PROFILES.values())
    run.clock.run(case.phases.end + longest_deadline, stop=lambda: run.callers.are_done)
    figures = _summarize(run)
    figures.run_seconds = time.perf_counter() - started_at
    return case, figures


def build_run(case: Case) -> SimulationRun:
    """Builds the simulated engines, weight store and callers, and the arm of a case."""
    deployment = DEPLOYMENTS[case.deployment]
    scenario = SCENARIOS[case.scenario]
    clock = Clock()
    store = WeightStore(clock, deployment)
    engines = [Engine(clock, store, deployment) for _ in range(deployment.engines)]
    for engine in engines:
        engine.window = _flood_window(scenario, case.phases)
    arrivals = generate_arrivals(deployment, scenario, case.phases, case.seed)
    callers = SimulatedCallers(clock, arrivals, random.Random(f"callers/{case.seed}"))
    stalls = StallTracker(clock, callers.outcomes)
    for index, engine in enumerate(engines):
        stalls.watch(index, engine)
    choosers = {BASELINES[0]: round_robin, BASELINES[1]: least_loaded}
    arm: Arm
    if case.arm == FIGHITCH:
        arm = FighitchArm(clock, deployment, engines, callers, stalls, case.seed)
    else:
        arm = BaselineArm(
            clock, deployment, engines, callers, stalls, choosers[case.arm]
        )
    return SimulationRun(
        clock, deployment, scenario, case.phases, store, engines, callers, arm
    )


def _flood_window(scenario: Scenario, phases: Phases) -> tuple[Seconds, Seconds]:
    rank = min(scenario.floods, default=None)
    if rank is None:
        return phases.event_at, phases.event_until
    start, end = scenario.flood_window(rank, phases)
    return start + _FLOOD_SETTLE_SECONDS, end


def _schedule_event(run: SimulationRun) -> None:
    scenario, phases, clock = run.scenario, run.phases, run.clock
    if scenario.load_factor != 1.0:
        clock.at(phases.event_at, setattr, run.store, "factor", scenario.load_factor)
        clock.at(phases.event_until, setattr, run.store, "factor", 1.0)
    if scenario.is_platform_down:
        clock.at(phases.event_at, run.arm.set_platform_down, True)
        clock.at(phases.event_until, run.arm.set_platform_down, False)
    if scenario.is_zone_lost:
        zone = run.deployment.zones[-1]
        clock.at(phases.event_at, run.arm.fail_zone, zone)
    restarted_count = round(scenario.restarted_share * len(run.engines))
    for index in range(restarted_count):
        clock.at(phases.event_at, _restart_engine, run, index)


def _restart_engine(run: SimulationRun, index: int) -> None:
    lost = run.engines[index].restart()
    run.arm.on_engine_restarted(index, lost)


def _summarize(run: SimulationRun) -> Figures:
    measured = [
        outcome
        for outcome in run.callers.outcomes
        if outcome.arrival.at >= run.phases.measured_from
    ]
    thousands = max(1, len(measured)) / 1_000
    totals = [engine.totals for engine in run.engines]
    in_time = [outcome for outcome in run.callers.outcomes if outcome.met_deadline]
    useful_tokens = sum(item.arrival.tokens for item in in_time if item.arrival.adapter)
    busy_seconds = sum(item.busy for item in totals)
    batch_size = run.deployment.batch_size
    full_batch_rate = batch_size / COST.step_time(batch_size, 1, 0)
    loads = sum(at >= run.phases.measured_from for at in run.store.starts)
    return Figures(
        ranks={rank: _rank_figures(run, rank, measured) for rank in RANKS},
        stalls_per_1000=sum(item.stalled > 0 for item in measured) / thousands,
        stall_seconds_per_1000=sum(item.stalled for item in measured) / thousands,
        batch_efficiency=useful_tokens / busy_seconds / full_batch_rate
        if busy_seconds
        else 0.0,
        mean_batch=_ratio(
            sum(item.sequence_steps for item in totals),
            sum(item.steps for item in totals),
        ),
        loads_per_1000=loads / thousands,
        store_violations=run.store.rate_violations + run.store.transit_violations,
        urgent_goodput_share=_urgent_goodput(run),
    )


def _rank_figures(
    run: SimulationRun, rank: int, measured: Sequence[Outcome]
) -> RankFigures:
    rank_outcomes = [outcome for outcome in measured if outcome.arrival.rank == rank]
    histogram = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
    for outcome in rank_outcomes:
        if outcome.time_to_first_token is not None:
            histogram.record_value(max(1, round(outcome.time_to_first_token * 1_000)))
    start, end = run.engines[0].window
    available_slot_seconds = (
        (end - start) * run.deployment.batch_size * len(run.engines)
    )
    used_slot_seconds = sum(engine.window_slot_seconds[rank] for engine in run.engines)
    refusals = Counter(
        {kind: n for (r, kind), n in run.callers.refusals.items() if r == rank}
    )
    return RankFigures(
        requests=len(rank_outcomes),
        in_target=_share(rank_outcomes, lambda item: item.met_targets),
        in_time=_share(rank_outcomes, lambda item: item.met_deadline),
        time_to_first_token={
            f"p{p}": histogram.get_value_at_percentile(p) / 1_000 for p in _PERCENTILES
        },
        stalled=sum(outcome.stalled for outcome in rank_outcomes),
        flood_share=used_slot_seconds / available_slot_seconds,
        floor_kept=_floor_kept(run, rank, used_slot_seconds, available_slot_seconds),
        refusals=dict(refusals),
    )


def _floor_kept(
    run: SimulationRun,
    rank: int,
    used_slot_seconds: Seconds,
    available_slot_seconds: Seconds,
) -> float:
    start, end = run.engines[0].window
    steps = sum(engine.window_steps for engine in run.engines)
    step_time = _ratio(sum(engine.window_busy for engine in run.engines), steps)
    tokens = sum(
        outcome.arrival.tokens
        for outcome in run.callers.outcomes
        if outcome.arrival.rank == rank and start <= outcome.arrival.at < end
    )
    guaranteed = min(PROFILES[rank].floor * available_slot_seconds, tokens * step_time)
    return used_slot_seconds / guaranteed if guaranteed else 1.0


def _urgent_goodput(run: SimulationRun) -> float | None:
    """Returns urgent answers in time relative to the capacity beside the floors."""
    if 0 not in run.scenario.floods:
        return None
    start, end = run.engines[0].window
    floors = sum(profile.floor for rank, profile in PROFILES.items() if rank != 0)
    answer_capacity = capacity(run.deployment, 0) * (1 - floors) * (end - start)
    answered = sum(
        outcome.met_deadline and start <= (outcome.done_at or 0.0) < end
        for outcome in run.callers.outcomes
        if outcome.arrival.rank == 0 and _needs_engine(outcome.arrival)
    )
    return answered / answer_capacity


def _needs_engine(arrival: Arrival) -> bool:
    return bool(arrival.adapter)


def _share(items: Sequence[Outcome], predicate: Callable[[Outcome], bool]) -> float:
    return sum(map(predicate, items)) / len(items) if items else 1.0


def _ratio(part: float, whole: float) -> float:
    return part / whole if whole else 0.0
