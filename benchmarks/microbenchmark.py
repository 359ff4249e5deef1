"""Memory and processor time of functions, and slopes made of them."""

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
    value_at: Callable[[int], float],
) -> Slope:
    """Measures a value at every size."""
    points = tuple((float(size), value_at(size)) for size in sizes)
    return Slope(name, size_name, unit, points, COMMAND)


def allocated_bytes(make: Callable[[], Any]) -> float:
    """Returns the bytes that the result of a function keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def processor_time(function: Callable[[], Any], *, rounds: int = 400) -> Seconds:
    """Returns the processor time of one call, the best of five series."""
    best = float("inf")
    for _ in range(_REPEATS):
        began = time.thread_time()
        for _ in range(rounds):
            function()
        best = min(best, (time.thread_time() - began) / rounds)
    return best
