"""Runs the matrix of steps and faults and prints it."""

import argparse
import sys
import time
from collections import Counter

from benchmarks.fault_plan import LEGEND, Cell, Fault, cells, rows, why_not
from benchmarks.memory_cells import StepNotReachedError, run_cell


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--case", default="")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    started = time.monotonic()
    count = Counter()
    for cell in cells():
        if options.case and not cell.name.startswith(options.case) and options.case not in cell.name:
            continue
        if cell.kind == "config" or why_not(cell):
            count["na"] += 1
            continue
        try:
            problems = run_cell(cell, options.seed)
        except StepNotReachedError as error:
            count["unreached"] += 1
            print("UNREACHED", error)
            continue
        except Exception as error:
            count["error"] += 1
            print("ERROR", cell.name, repr(error)[:300])
            if options.case: raise
            continue
        count["failed" if problems else "passed"] += 1
        for p in problems: print("FAIL", cell.name, p[:250])
    print(count, time.monotonic() - started)
    return 0


if __name__ == "__main__":
    sys.exit(main())
