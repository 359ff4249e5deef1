"""Formats the results of the benchmark as tables, JSON and plots."""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path
from statistics import fmean

import matplotlib

from benchmarks.simulation_run import ARMS, BASELINES, FIGHITCH, Case, Figures
from benchmarks.workload import (
    BATCH,
    INTERACTIVE,
    RANK_NAMES,
    RANKS,
    SCENARIOS,
    URGENT,
)

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

Results = Mapping[tuple[str, str, str], Sequence[Figures]]

URGENT_TARGET = 0.999
INTERACTIVE_TARGET = 0.99
GOODPUT_TARGET = 0.95
FLOOR_TARGET = 0.95
STALL_TARGET = 0.2
# Scenarios in which the batch requests exceed what the fleet can run by their deadline.
BATCH_OVERLOAD_SCENARIOS = frozenset(
    {"batch-flood-3x", "batch-flood-10x", "both-in-turn"}
)
# Tolerance when shares are compared: half of the last printed digit.
_SHARE_TOLERANCE = 5e-5
_PLOT_SIZE = (8.0, 3.2)
_PLOT_DPI = 80


@dataclass(frozen=True, slots=True)
class Check:
    """A measured figure compared with its target."""

    deployment: str
    scenario: str
    figure: str
    target: str
    measured: str
    is_met: bool


def group_results(results: Iterable[tuple[Case, Figures]]) -> Results:
    """Groups the figures of all seeds by deployment, scenario and arm."""
    grouped: dict[tuple[str, str, str], list[tuple[int, Figures]]] = {}
    for case, figures in results:
        key = (case.deployment, case.scenario, case.arm)
        grouped.setdefault(key, []).append((case.seed, figures))
    return {
        key: [figures for _, figures in sorted(items, key=lambda item: item[0])]
        for key, items in grouped.items()
    }


def figures_table(results: Results) -> str:
    """Returns the table of figures.

    Each figure is the mean over the seeds; ± precedes half the range. Times are in
    seconds and shares in percent.
    """
    lines = []
    for deployment in _distinct_names(results, 0):
        for scenario in _distinct_names(results, 1):
            lines.append(f"\n{deployment} / {scenario}")
            lines.append(_HEADER)
            for arm in ARMS:
                items = results.get((deployment, scenario, arm))
                if items:
                    lines.extend(_arm_lines(arm, items))
    return "\n".join(lines)


_HEADER = (
    f"  {'arm':<28}{'rank':<12}{'requests':>9}{'in target %':>14}{'in time %':>13}"
    f"{'p50':>8}{'p95':>8}{'p99':>8}{'share %':>9}  refusals"
)


def _arm_lines(arm: str, items: Sequence[Figures]) -> Iterable[str]:
    for rank in RANKS:
        ranks = [item.ranks[rank] for item in items]
        times = [
            fmean(item.time_to_first_token[name] for item in ranks)
            for name in ("p50", "p95", "p99")
        ]
        kinds = sorted({kind for item in ranks for kind in item.refusals})
        refusals = " ".join(
            f"{kind}={fmean(item.refusals.get(kind, 0) for item in ranks):.0f}"
            for kind in kinds
        )
        yield (
            f"  {arm if rank == URGENT else '':<28}{RANK_NAMES[rank]:<12}"
            f"{fmean(item.requests for item in ranks):>9.0f}"
            f"{_spread([100 * item.in_target for item in ranks], 2):>14}"
            f"{_spread([100 * item.in_time for item in ranks], 2):>13}"
            + "".join(f"{time:>8.3f}" for time in times)
            + f"{100 * fmean(item.flood_share for item in ranks):>9.1f}  {refusals}"
        )
    goodput = [
        item.urgent_goodput_share
        for item in items
        if item.urgent_goodput_share is not None
    ]
    yield (
        f"  {'':<28}stalls/1000={_spread([i.stalls_per_1000 for i in items], 0)} "
        f"stall s/1000={_spread([i.stall_seconds_per_1000 for i in items], 0)} "
        f"efficiency={_spread([i.batch_efficiency for i in items], 3)} "
        f"batch={_spread([i.mean_batch for i in items], 1)} "
        f"loads/1000={_spread([i.loads_per_1000 for i in items], 0)} "
        f"store violations={sum(i.store_violations for i in items)}"
        + (f" urgent goodput={_spread(goodput, 3)}" if goodput else "")
    )


def _spread(values: Sequence[float], digits: int) -> str:
    half_range = (max(values) - min(values)) / 2
    return f"{fmean(values):.{digits}f}±{half_range:.{digits}f}"


def evaluate_targets(results: Results) -> list[Check]:
    """Compares the figures with the targets.

    Shares, stalls and efficiency are means over the seeds, limit violations are sums.
    """
    checks: list[Check] = []
    for deployment in _distinct_names(results, 0):
        for scenario in _distinct_names(results, 1):
            checks.extend(_scenario_checks(results, deployment, scenario))
    return checks


def _scenario_checks(
    results: Results, deployment: str, scenario: str
) -> Iterable[Check]:
    fighitch = results.get((deployment, scenario, FIGHITCH))
    baselines = [
        results[deployment, scenario, arm]
        for arm in BASELINES
        if (deployment, scenario, arm) in results
    ]
    if not fighitch:
        return

    def check_at_least(
        figure: str, target: float, value_of: Callable[[Figures], float]
    ) -> Check:
        value = fmean(map(value_of, fighitch))
        return Check(
            deployment,
            scenario,
            figure,
            f">= {100 * target:.2f} %",
            f"{100 * value:.2f} %",
            value + _SHARE_TOLERANCE >= target,
        )

    if scenario == "batch-flood-10x":
        yield check_at_least(
            "urgent in target", URGENT_TARGET, lambda f: f.ranks[URGENT].in_target
        )
        yield check_at_least(
            "interactive in target",
            INTERACTIVE_TARGET,
            lambda f: f.ranks[INTERACTIVE].in_target,
        )
    if scenario == "urgent-flood-2x":
        yield check_at_least(
            "urgent answers in time beside the floors",
            GOODPUT_TARGET,
            lambda f: f.urgent_goodput_share or 0.0,
        )
        for rank in (INTERACTIVE, BATCH):
            yield check_at_least(
                f"{RANK_NAMES[rank]} share of its floor",
                FLOOR_TARGET,
                partial(_share_of_floor, rank=rank),
            )
    if scenario not in BATCH_OVERLOAD_SCENARIOS:
        yield check_at_least(
            "batch finished by its deadline", 1.0, lambda f: f.ranks[BATCH].in_time
        )
    violations = sum(item.store_violations for item in fighitch)
    yield Check(
        deployment,
        scenario,
        "weight store limits exceeded",
        "never",
        f"{violations} times",
        violations == 0,
    )
    if not baselines:
        return
    stalls = fmean(item.stall_seconds_per_1000 for item in fighitch)
    least_stalls = min(
        fmean(item.stall_seconds_per_1000 for item in arm) for arm in baselines
    )
    yield Check(
        deployment,
        scenario,
        "stall seconds per 1,000 requests",
        f"<= {STALL_TARGET * least_stalls:.1f} (1/5 of best baseline)",
        f"{stalls:.1f}",
        stalls <= STALL_TARGET * least_stalls,
    )
    efficiency = fmean(item.batch_efficiency for item in fighitch)
    best_efficiency = max(
        fmean(item.batch_efficiency for item in arm) for arm in baselines
    )
    yield Check(
        deployment,
        scenario,
        "batch efficiency",
        f">= {best_efficiency:.3f} (best arm)",
        f"{efficiency:.3f}",
        efficiency + _SHARE_TOLERANCE >= best_efficiency,
    )


def checks_table(checks: Sequence[Check]) -> str:
    """Returns a table of the targets with their verdicts."""
    lines = [
        f"{item.deployment:<12} {item.scenario:<18} {item.figure:<42} "
        f"{item.target:<32} {item.measured:>12}  {'met' if item.is_met else 'MISSED'}"
        for item in checks
    ]
    met = sum(item.is_met for item in checks)
    return "\n".join([*lines, f"{met} of {len(checks)} targets met"])


def write_json(
    path: Path,
    results: Results,
    checks: Sequence[Check],
    costs: Mapping[str, float],
    settings: Mapping[str, object],
) -> None:
    """Writes settings, figures and checks to a JSON file."""
    document = {
        "settings": settings,
        "runs": [
            {
                "deployment": deployment,
                "scenario": scenario,
                "arm": arm,
                "seeds": [asdict(item) for item in items],
            }
            for (deployment, scenario, arm), items in sorted(results.items())
        ],
        "checks": [asdict(item) for item in checks],
        "decision_microseconds": costs,
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n")


def write_plots(folder: Path, results: Results) -> None:
    """Draws one plot per deployment and figure."""
    folder.mkdir(parents=True, exist_ok=True)
    for deployment in _distinct_names(results, 0):
        for rank in (URGENT, INTERACTIVE):
            _plot(
                folder / f"{deployment}-{RANK_NAMES[rank]}-in-target.png",
                f"{deployment}: {RANK_NAMES[rank]} requests in target (%)",
                results,
                deployment,
                partial(_percent_in_target, rank=rank),
            )
        _plot(
            folder / f"{deployment}-stall-seconds.png",
            f"{deployment}: stall seconds per 1,000 requests",
            results,
            deployment,
            lambda item: item.stall_seconds_per_1000,
            is_log=True,
        )


def _plot(
    path: Path,
    title: str,
    results: Results,
    deployment: str,
    value_of: Callable[[Figures], float],
    *,
    is_log: bool = False,
) -> None:
    scenarios = [name for name in SCENARIOS if name in _distinct_names(results, 1)]
    figure, axes = plt.subplots(figsize=_PLOT_SIZE)
    width = 0.8 / len(ARMS)
    for position, arm in enumerate(ARMS):
        heights = [
            fmean(map(value_of, results[deployment, scenario, arm]))
            for scenario in scenarios
        ]
        positions = [index + position * width for index in range(len(scenarios))]
        axes.bar(positions, heights, width, label=arm)
    axes.set_xticks([index + 0.4 for index in range(len(scenarios))])
    axes.set_xticklabels(scenarios, rotation=30, ha="right", fontsize=7)
    if is_log:
        axes.set_yscale("log")
    axes.set_title(title, fontsize=9)
    axes.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path, dpi=_PLOT_DPI, metadata={"Software": None})
    plt.close(figure)


def _share_of_floor(figures: Figures, *, rank: int) -> float:
    return figures.ranks[rank].floor_kept


def _percent_in_target(figures: Figures, *, rank: int) -> float:
    return 100 * figures.ranks[rank].in_target


def _distinct_names(results: Results, position: int) -> list[str]:
    return list(dict.fromkeys(key[position] for key in results))
