"""Measures memory and processor time of functions, and slopes over input sizes."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

from benchmarks.slopes import Slope
from fighitch.types import Seconds

COMMAND = "python -m benchmarks.capacity --part core"
MICROSECONDS_PER_SECOND = 1e6
_REPEATS = 5


def measure_slope(
    name: str,
    size_name: str,
    unit: str,
    sizes: Sequence[int],
    measure_at: Callable[[int], float],
) -> Slope:
    """Measures a value at every size and returns the fitted slope."""
    points = tuple((float(size), measure_at(size)) for size in sizes)
    return Slope(name, size_name, unit, points, COMMAND)


def allocated_bytes(factory: Callable[[], Any]) -> float:
    """Returns the bytes that the result of a factory keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = factory()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def processor_time(function: Callable[[], Any], *, rounds: int = 400) -> Seconds:
    """Returns the mean processor time of a call in the fastest of five series."""
    best = float("inf")
    for _ in range(_REPEATS):
        started_at = time.thread_time()
        for _ in range(rounds):
            function()
        best = min(best, (time.thread_time() - started_at) / rounds)
    return best
