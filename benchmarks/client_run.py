"""Object API calls and processor time of the operators' client."""

import resource
import time

from benchmarks import sample
from benchmarks.deployment import Deployment, DeploymentPlan
from benchmarks.slopes import Slope

COMMAND = "python -m benchmarks.capacity --part client"
RESOURCE_COUNTS = (4, 8, 16, 32)


def measure() -> list[Slope]:
    """Applies files with several numbers of resources and measures the cost of each."""
    calls, processor = [], []
    with Deployment(DeploymentPlan(("a",), ())) as deployment:
        for count in RESOURCE_COUNTS:
            documents = [
                sample.adapter(f"adapter-{count}-{n}", "question") for n in range(count)
            ]
            calls_before, seconds_before = (
                _count_api_calls(deployment),
                _children_cpu_seconds(),
            )
            deployment.apply(documents)
            processor.append((count, _children_cpu_seconds() - seconds_before))
            calls.append((count, float(_count_api_calls(deployment) - calls_before)))
    unit = "resource"
    return [
        Slope("object API calls of an apply", unit, "calls", tuple(calls), COMMAND),
        Slope("processor time of an apply", unit, "s", tuple(processor), COMMAND),
    ]


def _count_api_calls(deployment: Deployment) -> int:
    time.sleep(0.1)
    counters = deployment.control("object-api")["counters"]
    return sum(value for value in counters.values() if isinstance(value, int))


def _children_cpu_seconds() -> float:
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return used.ru_utime + used.ru_stime
