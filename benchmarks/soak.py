"""Soak test: random load and random faults on real processes, with invariant checks.

The seed determines what each worker sends and the order of the faults; the exact
times depend on the machine. A run with a violation prints the command that repeats it
and exits with code 1.
"""

import argparse
import os
import shutil
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks import sample
from benchmarks.deployment import BackendPlan, Deployment, DeploymentPlan
from benchmarks.soak_checks import (
    Monitor,
    check_backend_servers,
    check_logs,
    check_unclear_replies,
    daemons,
)
from benchmarks.soak_faults import FaultInjector, ProcessStates
from benchmarks.soak_load import WORKERS, LoadGenerator
from benchmarks.soak_records import Records
from fighitch.types import Seconds

MAX_PROCESSES = 40
MAX_DURATION: Seconds = 3_600.0
WORKER_JOIN_TIMEOUT: Seconds = 120.0
SETTLE_TIME: Seconds = 2.0
DEFAULT_MEAN_PAUSE: Seconds = 0.02


def plan() -> DeploymentPlan:
    """Returns two entries, three engines, two order services, one lookup service."""
    engines = [
        BackendPlan(
            f"engine-{number}",
            "engine",
            zone,
            model="base-1",
            checks_fencing=number != 2,
            adapter_slots=8,
            batch_size=16,
        )
        for number, zone in enumerate(("a", "b", "a"), 1)
    ]
    orders = [
        BackendPlan(
            f"orders-{number}",
            "service",
            zone,
            service="orders",
            labels={"work": "order"},
        )
        for number, zone in enumerate(("a", "b"), 1)
    ]
    stock = BackendPlan(
        "stock-1", "service", "b", service="stock", labels={"work": "lookup"}
    )
    return sample.plan(backends=(*engines, *orders, stock), engine={})


def main() -> int:
    """Runs the soak test.

    Returns:
        1 if an invariant was violated, else 0.
    """
    arguments = _parse_arguments()
    command = f"python -m benchmarks.soak {' '.join(sys.argv[1:])}"
    records = Records()
    os.environ["PYTHONFAULTHANDLER"] = "1"
    with Deployment(plan()) as deployment:
        if len(deployment.processes) + 1 > MAX_PROCESSES:
            raise RuntimeError(f"more than {MAX_PROCESSES} processes")
        documents = [
            *sample.common_documents(deployment.plan),
            *deployment.backend_documents(),
        ]
        deployment.apply(documents)
        deployment.wait_ready()
        try:
            figures = _run(deployment, records, arguments)
        finally:
            if arguments.logs:
                shutil.copytree(deployment.folder, arguments.logs, dirs_exist_ok=True)
    _report(records, arguments.seed, figures)
    if records.violations:
        print(f"seed {arguments.seed}; repeat with: {command}")
        return 1
    return 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=60.0, help="seconds of load")
    parser.add_argument(
        "--requests",
        type=int,
        default=0,
        help="maximum number of requests, 0 for no limit",
    )
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument(
        "--pause",
        type=float,
        default=DEFAULT_MEAN_PAUSE,
        help="mean pause of a worker, s",
    )
    parser.add_argument("--logs", type=Path, help="folder to copy the logs to")
    arguments = parser.parse_args()
    if not 0 < arguments.duration <= MAX_DURATION:
        parser.error(f"--duration must be above 0 and at most {MAX_DURATION:.0f}")
    return arguments


def _run(
    deployment: Deployment, records: Records, arguments: argparse.Namespace
) -> dict[str, Any]:
    states = ProcessStates(daemons(deployment))
    faults = FaultInjector(deployment, records, states, seed=arguments.seed)
    monitor = Monitor(deployment, records, states)
    started = time.monotonic()
    load = LoadGenerator(
        deployment,
        records,
        seed=arguments.seed,
        deadline=started + arguments.duration,
        max_requests=arguments.requests,
        pause=arguments.pause,
    )
    errors: list[BaseException] = []
    helpers = [_start_thread(target, errors) for target in (faults.run, monitor.run)]
    balancer = _start_thread(load.balancer.run, errors)
    workers = [
        _start_thread(partial(load.run_worker, number), errors)
        for number in range(arguments.workers)
    ]
    join_deadline = started + arguments.duration + WORKER_JOIN_TIMEOUT
    while not load.is_over and not errors:
        time.sleep(0.2)
    faults.stopping.set()
    for worker in workers:
        worker.join(max(0.0, join_deadline - time.monotonic()))
        if worker.is_alive():
            records.record_violation("request did not end", worker=worker.name)
    seconds = time.monotonic() - started
    helpers[0].join(WORKER_JOIN_TIMEOUT)
    faults.clear_all()
    time.sleep(SETTLE_TIME)
    monitor.stopping.set()
    load.balancer.stopping.set()
    for thread in (*helpers, balancer):
        thread.join(WORKER_JOIN_TIMEOUT)
    for error in errors:
        records.record_violation("harness failed", error=repr(error))
    figures: dict[str, Any] = dict(check_backend_servers(deployment, records))
    check_unclear_replies(records)
    check_logs(deployment, records)
    peak = max(monitor.peak_mb.items(), key=lambda item: item[1], default=("", 0.0))
    return {
        **figures,
        "seconds": round(seconds, 1),
        "peak resident MB": f"{peak[1]:.0f} ({peak[0]})",
    }


def _start_thread(
    target: Callable[[], None], errors: list[BaseException]
) -> threading.Thread:
    def run() -> None:
        try:
            target()
        except BaseException as error:
            errors.append(error)
            raise

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def _report(records: Records, seed: int, figures: dict[str, Any]) -> None:
    print(f"seed={seed} requests={records.requests}")
    for name, value in figures.items():
        print(f"  {name}: {value}")
    print("responses (work, kind, run state):")
    for (request_kind, kind, state), count in sorted(records.outcomes.items()):
        print(f"  {request_kind:<8} {kind:<22} {state:<8} {count}")
    for rank, counts in sorted(records.in_time.items()):
        total = sum(counts.values())
        print(f"in time, {rank}: {counts[True] / total:.1%} of {total}")
    kinds: dict[str, int] = {}
    for fault in records.faults:
        kinds[fault.kind] = kinds.get(fault.kind, 0) + 1
    print("faults and changes:")
    for kind, count in sorted(kinds.items()):
        print(f"  {kind:<40} {count}")
    for note, count in sorted(records.notes.items()):
        print(f"note: {note}: {count}")
    print(f"{len(records.violations)} violations")


if __name__ == "__main__":
    sys.exit(main())
