"""Compares the scheduling of the cores with baselines and prints a table of figures.

Usage: ``python -m benchmarks.bench [--quick] [--output FILE] [--plots FOLDER]``
"""

import argparse
import os
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from benchmarks.decision_cost import decision_costs
from benchmarks.design_size import TARGET_MEMORY_BYTES
from benchmarks.idle_run import measure_idle_entry, measure_idle_sidecar
from benchmarks.report import (
    checks_table,
    evaluate_targets,
    figures_table,
    group_results,
    write_json,
    write_plots,
)
from benchmarks.simulation_run import ARMS, FIGHITCH, Case, run_case
from benchmarks.workload import DEPLOYMENTS, FULL_PHASES, QUICK_PHASES, SCENARIOS

ROOT = Path(__file__).resolve().parent.parent
SEEDS = (1, 2, 3)
MAX_WORKERS = 10
DEFAULT_OUTPUT = ROOT / "build" / "bench.json"
_MIB = 1024 * 1024


def build_cases(
    *, quick: bool, deployments: Sequence[str], scenarios: Sequence[str]
) -> list[Case]:
    """Returns all cases, the slowest first.

    Starting the longest runs first keeps a single long run from delaying the end of the
    whole benchmark.
    """
    phases = QUICK_PHASES if quick else FULL_PHASES
    cases = [
        Case(deployment, scenario, arm, seed, phases)
        for deployment in deployments
        for scenario in scenarios
        for arm in ARMS
        for seed in (SEEDS[:1] if quick else SEEDS)
    ]
    return sorted(cases, key=lambda case: (case.arm != FIGHITCH, not _has_flood(case)))


def _has_flood(case: Case) -> bool:
    return bool(SCENARIOS[case.scenario].floods)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the benchmark.

    Returns:
        0, also if targets are missed; the table lists the missed ones.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one seed, short runs")
    parser.add_argument("--output", type=Path, default=DEFAULT_OUTPUT)
    parser.add_argument("--plots", type=Path, help="folder for PNG plots")
    parser.add_argument("--workers", type=int, default=MAX_WORKERS)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, action="append")
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    options = parser.parse_args(arguments)
    started_at = time.perf_counter()
    costs = decision_costs()
    selected = build_cases(
        quick=options.quick,
        deployments=options.deployment or list(DEPLOYMENTS),
        scenarios=options.scenario or list(SCENARIOS),
    )
    order = {case: position for position, case in enumerate(_in_table_order(selected))}
    workers = min(options.workers, os.cpu_count() or 1)
    with ProcessPoolExecutor(max_workers=workers) as pool:
        completed = sorted(
            pool.map(run_case, selected), key=lambda pair: order[pair[0]]
        )
    results = group_results(completed)
    checks = evaluate_targets(results)
    print(figures_table(results))
    print("\nTargets\n" + checks_table(checks))
    print("\nDecision times, median")
    for name, microseconds in costs.items():
        print(f"  {name:<48}{microseconds:>10.1f} µs")
    print("\nResident memory of an idle daemon")
    for name, (resident, _) in (
        ("entry", measure_idle_entry(4)),
        ("sidecar", measure_idle_sidecar(2)),
    ):
        verdict = "met" if resident <= TARGET_MEMORY_BYTES else "MISSED"
        print(f"  {name:<48}{resident / _MIB:>10.1f} MiB  target 64 MiB {verdict}")
    settings = {
        "quick": options.quick,
        "seeds": sorted({case.seed for case in selected}),
        "workers": workers,
        "seconds": round(time.perf_counter() - started_at, 1),
    }
    print(f"\n{len(selected)} runs in {settings['seconds']} s")
    write_json(options.output, results, checks, costs, settings)
    if options.plots:
        write_plots(options.plots, results)
    return 0


def _in_table_order(selected: Sequence[Case]) -> list[Case]:
    scenarios = list(SCENARIOS)
    return sorted(
        selected,
        key=lambda case: (
            case.deployment,
            scenarios.index(case.scenario),
            ARMS.index(case.arm),
            case.seed,
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
