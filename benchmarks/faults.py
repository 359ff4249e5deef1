"""Runs the matrix of steps and faults and prints it."""

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from benchmarks.fault_plan import LEGEND, Cell, Fault, cells, rows, why_not
from benchmarks.memory_cells import StepNotReachedError, run_cell

def one(args):
    cell, seed = args
    try:
        return cell, run_cell(cell, seed), ""
    except StepNotReachedError as error:
        return cell, [], f"UNREACHED {error}"
    except Exception as error:
        return cell, [], f"ERROR {error!r}"[:400]

def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--case", default="")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=5)
    options = parser.parse_args()
    started = time.monotonic()
    count = Counter()
    todo = []
    for cell in cells():
        if options.case and options.case not in cell.name:
            continue
        if why_not(cell):
            count["na"] += 1
            continue
        todo.append((cell, options.seed))
    with ProcessPoolExecutor(options.jobs) as pool:
        for cell, problems, error in pool.map(one, todo, chunksize=4):
            if error:
                count[error[:5]] += 1
                print(cell.name, error)
                continue
            count["failed" if problems else "passed"] += 1
            for p in problems: print("FAIL", cell.name, p[:350])
    print(count, time.monotonic() - started)
    return 0


if __name__ == "__main__":
    sys.exit(main())
