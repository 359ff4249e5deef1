"""Runs the matrix of steps and faults and prints the results.

Every applicable cell runs on the in-memory network, many also with real processes and
relays. Each runs once with the given seed and is never retried after a failure.
"""

import argparse
import os
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from itertools import groupby

from benchmarks.fault_matrix import (
    EXCLUSION_REASONS,
    Cell,
    Fault,
    exclusion_reason,
    matrix_cells,
    matrix_rows,
)
from benchmarks.memory_cells import StepNotReachedError, run_cell
from benchmarks.process_cells import process_cells, run_batch
from fighitch.types import Seconds

DEFAULT_SEED = 1
# A deployment has 17 processes; three deployments stay below 60 processes.
DEFAULT_JOBS = 3
MAX_JOBS = 3
# No cell starts later than this, so that the run ends within 10 minutes.
LATEST_START: Seconds = 510.0
_CHUNK_SIZE = 20
_MEMORY_JOBS = 3

_Outcome = tuple[Cell, str, list[str]]


def run_memory(chunk: Sequence[Cell], seed: int, latest_start: float) -> list[_Outcome]:
    """Runs cells on the in-memory network.

    Args:
        chunk: Cells to run.
        seed: Seed of all random choices.
        latest_start: Value of ``time.time`` after which no further cell starts.
    """
    done: list[_Outcome] = []
    for cell in chunk:
        if time.time() > latest_start:
            break
        try:
            done.append((cell, "memory", run_cell(cell, seed)))
        except StepNotReachedError:
            continue
        except Exception as error:
            done.append((cell, "memory", [f"raised {error!r}"]))
    return done


def run_processes(
    chunk: Sequence[Cell], seed: int, latest_start: float
) -> list[_Outcome]:
    """Runs cells sequentially on the processes of one deployment."""
    if time.time() > latest_start:
        return []
    try:
        done = run_batch(chunk, seed, latest_start)
    except Exception as error:
        return [(chunk[0], "processes", [f"raised {error!r}"])]
    return [(cell, "processes", problems) for cell, problems in done]


def main() -> int:
    """Runs the matrix.

    Returns:
        0 if every cell that ran passed, else 1.
    """
    options = _parse_options()
    latest_start = time.time() + LATEST_START
    selected = [cell for cell in matrix_cells() if _matches(cell, options.case)]
    applicable = [cell for cell in selected if not exclusion_reason(cell)]
    selected_process_cells = [
        cell for cell in process_cells() if _matches(cell, options.case)
    ]
    outcomes: list[_Outcome] = []
    with (
        ProcessPoolExecutor(_MEMORY_JOBS) as memory,
        ProcessPoolExecutor(min(options.jobs, MAX_JOBS)) as processes,
    ):
        futures: list[Future[list[_Outcome]]] = []
        if options.world != "processes":
            futures += [
                memory.submit(run_memory, chunk, options.seed, latest_start)
                for chunk in _chunks(applicable)
            ]
        if options.world != "memory":
            futures += [
                processes.submit(run_processes, list(chunk), options.seed, latest_start)
                for _, chunk in groupby(
                    sorted(selected_process_cells, key=lambda cell: cell.fault),
                    key=lambda cell: cell.fault,
                )
            ]
        for future in as_completed(futures):
            outcomes += future.result()
    expected = len(selected_process_cells) if options.world != "memory" else 0
    return _report(selected, outcomes, options.seed, expected_process_cells=expected)


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.faults")
    parser.add_argument(
        "--case",
        default="",
        help="run only cells whose name kind/step/fault contains this text",
    )
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument(
        "--jobs",
        type=int,
        default=DEFAULT_JOBS,
        help=f"concurrent deployments, at most {MAX_JOBS}",
    )
    parser.add_argument(
        "--world",
        choices=("both", "memory", "processes"),
        default="both",
        help="run cells in memory, with real processes, or both",
    )
    return parser.parse_args()


def _matches(cell: Cell, case: str) -> bool:
    return case in cell.name


def _chunks(items: Sequence[Cell]) -> Iterator[Sequence[Cell]]:
    for start in range(0, len(items), _CHUNK_SIZE):
        yield items[start : start + _CHUNK_SIZE]


def _report(
    selected: Sequence[Cell],
    outcomes: Iterable[_Outcome],
    seed: int,
    *,
    expected_process_cells: int,
) -> int:
    by_cell: dict[Cell, dict[str, list[str]]] = {}
    for cell, world, problems in outcomes:
        by_cell.setdefault(cell, {})[world] = problems
    _print_matrix(selected, by_cell)
    counts: Counter[str] = Counter()
    for cell, worlds in sorted(by_cell.items()):
        for world, problems in sorted(worlds.items()):
            counts[f"{world} {'failed' if problems else 'passed'}"] += 1
            for problem in problems:
                command = (
                    f"python -m benchmarks.faults --case {cell.name} --seed {seed} "
                    f"--world {world}"
                )
                print(f"FAIL {cell.name} ({world}): {problem}\n     {command}")
    expected = [cell for cell in selected if not exclusion_reason(cell)]
    counts["cells not run"] = sum(cell not in by_cell for cell in expected)
    counts["processes not run"] = expected_process_cells - sum(
        "processes" in worlds for worlds in by_cell.values()
    )
    counts["cells not applicable"] = len(selected) - len(expected)
    print(", ".join(f"{name}: {count}" for name, count in sorted(counts.items())))
    failed = counts["memory failed"] + counts["processes failed"]
    passed = counts["memory passed"] + counts["processes passed"]
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


def _print_matrix(
    selected: Sequence[Cell], by_cell: dict[Cell, dict[str, list[str]]]
) -> None:
    faults = [fault for fault in Fault if any(c.fault == fault.value for c in selected)]
    print("Columns:")
    for number, fault in enumerate(faults, 1):
        print(f"  {number:>2} {fault.value}")
    print(
        "Cells: P passed with processes and in memory, p passed in memory,\n"
        "       FAIL failed, . not run, and not applicable:"
    )
    for letter, reason in EXCLUSION_REASONS.items():
        print(f"       {letter} {reason}")
    header = "".join(f"{number:>5}" for number in range(1, len(faults) + 1))
    print(f"{'':<24}{header}")
    names = set(selected)
    for kind, step in matrix_rows():
        marks = [
            _mark(Cell(kind.value, step.value, fault.value), names, by_cell)
            for fault in faults
        ]
        if any(marks):
            row = f"{kind.value} {step.value}"
            print(f"{row:<24}" + "".join(f"{mark:>5}" for mark in marks))


def _mark(
    cell: Cell, selected: set[Cell], by_cell: dict[Cell, dict[str, list[str]]]
) -> str:
    if cell not in selected:
        return ""
    if reason := exclusion_reason(cell):
        return reason
    worlds = by_cell.get(cell)
    if worlds is None:
        return "."
    if any(worlds.values()):
        return "FAIL"
    return "P" if "processes" in worlds else "p"


if __name__ == "__main__":
    # libcurl and the standard library would otherwise use a configured proxy for
    # loopback.
    os.environ.setdefault("no_proxy", "127.0.0.1")
    sys.exit(main())
