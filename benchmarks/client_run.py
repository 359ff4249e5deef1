"""Platform calls and processor time of the operators' client."""

import resource
import time

from benchmarks import sample
from benchmarks.deployment import Deployment, DeploymentPlan
from benchmarks.slopes import Slope

COMMAND = "python -m benchmarks.capacity --part client"
COUNTS = (4, 8, 16, 32)


def measure() -> list[Slope]:
    """Applies files of several lengths and counts the calls of the object API."""
    calls, processor = [], []
    with Deployment(DeploymentPlan(("a",), ())) as deployment:
        for count in COUNTS:
            documents = [
                sample.adapter(f"adapter-{count}-{n}", "question") for n in range(count)
            ]
            before, began = _calls(deployment), _children_seconds()
            deployment.apply(documents)
            processor.append((count, _children_seconds() - began))
            calls.append((count, float(_calls(deployment) - before)))
    unit = "resource"
    return [
        Slope("object API calls of an apply", unit, "calls", tuple(calls), COMMAND),
        Slope("processor time of an apply", unit, "s", tuple(processor), COMMAND),
    ]


def _calls(deployment: Deployment) -> int:
    time.sleep(0.1)
    counters = deployment.control("object-api")["counters"]
    return sum(value for value in counters.values() if isinstance(value, int))


def _children_seconds() -> float:
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return used.ru_utime + used.ru_stime
