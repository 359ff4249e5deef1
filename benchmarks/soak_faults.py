"""Random faults, planned stops and configuration changes for soak runs."""

import json
import random
import signal
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from benchmarks import sample
from benchmarks.deployment import Deployment, fetch
from benchmarks.soak_records import AppliedChange, Fault, Records
from fighitch.types import Seconds

# A round of overlapping faults is followed by a round with planned stops only, so that
# the effects of planned stops and of faults can be told apart.
FAULT_ROUND_SECONDS: Seconds = 14.0
# Time that the effects of a fault can last after its end.
FAULT_EFFECT_SECONDS: Seconds = 6.0
STOP_TIMEOUT: Seconds = 40.0
# Invariant 6: a draining backend server gets no new requests after this time.
DRAIN_BOUND: Seconds = 5.0
DRAIN_OBSERVATION: Seconds = 2.0
_DISTURBED: Seconds = float("inf")


class ProcessStates:
    """Since when each daemon has been running without an injected disturbance."""

    def __init__(self, names: list[str]) -> None:
        """Marks all named daemons as undisturbed from now on."""
        self._lock = threading.Lock()
        self._undisturbed_since: dict[str, Seconds] = dict.fromkeys(
            names, time.monotonic()
        )

    def disturb(self, name: str) -> None:
        """Records that a daemon is about to be paused or stopped on purpose."""
        with self._lock:
            self._undisturbed_since[name] = _DISTURBED

    def restore(self, name: str) -> None:
        """Records that a daemon is running again."""
        with self._lock:
            self._undisturbed_since[name] = time.monotonic()

    def undisturbed_since(self, name: str) -> Seconds:
        """Returns since when a daemon is undisturbed; infinity if it is disturbed."""
        with self._lock:
            return self._undisturbed_since[name]


class FaultInjector:
    """Injects random faults, determined by one seed, until ``stopping`` is set."""

    def __init__(
        self,
        deployment: Deployment,
        records: Records,
        states: ProcessStates,
        *,
        seed: int,
    ) -> None:
        """Prepares the injector; ``run`` injects the faults."""
        self._deployment = deployment
        self._records = records
        self._states = states
        self._seed = seed
        self._rng = random.Random(f"faults-{seed}")
        self.stopping = threading.Event()
        self._client_lock = threading.Lock()
        plan = deployment.plan.backends
        self._sidecars = [backend.name for backend in plan]
        self._engines = [item.name for item in plan if item.type == "engine"]
        self._order_services = [item.name for item in plan if item.service == "orders"]
        self._defaults = {f"advisor-{n}": "v1" for n in range(1, 7)}
        self._defaults.update({f"writer-{n}": "v2" for n in range(1, 5)})
        self._label_changes = 0

    def run(self) -> None:
        """Alternates rounds of faults and rounds of planned stops."""
        while not self.stopping.is_set():
            self._fault_round()
            self.stopping.wait(FAULT_EFFECT_SECONDS)
            self._planned_round()

    # --- Rounds ---

    def _fault_round(self) -> None:
        until = time.monotonic() + FAULT_ROUND_SECONDS
        groups: tuple[list[Callable[[random.Random], None]], ...] = (
            [self._kill_daemon, self._kill_daemon, self._freeze_daemon],
            [
                self._restart_engine,
                self._fail_loads,
                self._slow_store,
                self._freeze_backend,
                self._cut_engine_responses,
                self._lose_service_responses,
                self._refuse_service_calls,
                self._slow_service,
            ],
            [
                self._object_api_down,
                self._slow_object_api,
                self._lose_write_responses,
                self._lag_instance_list,
            ],
            [self._change_default, self._change_default, self._change_labels],
        )
        with ThreadPoolExecutor(len(groups)) as pool:
            seeds = [self._rng.getrandbits(64) for _ in groups]
            done = [
                pool.submit(self._inject_until, group, random.Random(seed), until)
                for group, seed in zip(groups, seeds, strict=True)
            ]
        for future in done:
            future.result()

    def _inject_until(
        self,
        group: list[Callable[[random.Random], None]],
        rng: random.Random,
        until: Seconds,
    ) -> None:
        while time.monotonic() < until and not self.stopping.is_set():
            rng.choice(group)(rng)
            self.stopping.wait(rng.uniform(0.3, 2.0))

    def _planned_round(self) -> None:
        if self.stopping.is_set():
            return
        rng = self._rng
        rng.choice((self._stop_entry, self._stop_sidecar, self._drain_backend))(rng)
        if not self.stopping.is_set():
            rng.choice((self._stop_entry, self._stop_sidecar))(rng)

    @contextmanager
    def _record_fault(
        self, kind: str, target: str, *, is_planned: bool = False
    ) -> Iterator[None]:
        started = time.monotonic()
        try:
            yield
        finally:
            ended = time.monotonic()
            self._records.record_fault(Fault(kind, target, started, ended, is_planned))

    # --- Daemons ---

    def _choose_daemon(self, rng: random.Random) -> str:
        return rng.choice([*self._deployment.entries, *self._sidecars])

    def _kill_daemon(self, rng: random.Random) -> None:
        name = self._choose_daemon(rng)
        process = self._deployment.processes[name]
        with self._record_fault("kill and restart", name):
            self._states.disturb(name)
            process.kill()
            time.sleep(rng.uniform(0.0, 2.0))
            process.start()
            self._deployment.wait_alive(name)
            self._states.restore(name)

    def _freeze_daemon(self, rng: random.Random) -> None:
        name = self._choose_daemon(rng)
        process = self._deployment.processes[name]
        with self._record_fault("freeze and thaw", name):
            self._states.disturb(name)
            process.freeze()
            time.sleep(rng.uniform(0.2, 4.0))
            process.thaw()
            self._states.restore(name)

    def _stop_entry(self, rng: random.Random) -> None:
        self._stop(rng.choice(self._deployment.entries))

    def _stop_sidecar(self, rng: random.Random) -> None:
        self._stop(rng.choice(self._sidecars))

    def _stop(self, name: str) -> None:
        process = self._deployment.processes[name]
        with self._record_fault("planned stop", name, is_planned=True):
            self._states.disturb(name)
            code = process.stop(STOP_TIMEOUT)
            if code != 0:
                self._records.record_violation(
                    "planned stop", process=name, exit_code=code
                )
                # With PYTHONFAULTHANDLER, SIGABRT writes the stack of every thread to
                # the log, which shows what the stop waits for.
                process.signal(signal.SIGABRT)
                time.sleep(1.0)
                process.kill()
            process.start()
            self._deployment.wait_alive(name)
            self._states.restore(name)
        self.stopping.wait(1.0)

    # --- Backend servers ---

    def _hold_fault(
        self, kind: str, name: str, faults: dict[str, Any], hold: Seconds
    ) -> None:
        """Sets faults of a stand-in and clears the lasting ones after ``hold``."""
        cleared = {
            key: _CLEARED_VALUES[key]
            for key, value in faults.items()
            if key in _CLEARED_VALUES and value
        }
        with self._record_fault(kind, name):
            self._deployment.set_fault(name, **faults)
            time.sleep(hold)
            if cleared:
                self._deployment.set_fault(name, **cleared)

    def _choose_backend(self, rng: random.Random, names: list[str]) -> str:
        return f"{rng.choice(names)}-backend"

    def _restart_engine(self, rng: random.Random) -> None:
        name = self._choose_backend(rng, self._engines)
        self._hold_fault("engine cold restart", name, {"restart": True}, 0.5)

    def _fail_loads(self, rng: random.Random) -> None:
        faults = {"fail_next_loads": rng.randint(1, 4)}
        self._hold_fault(
            "failing loads", self._choose_backend(rng, self._engines), faults, 2.0
        )

    def _slow_store(self, rng: random.Random) -> None:
        faults = {
            "slow_factor": rng.choice((4.0, 10.0)),
            "fail_next": rng.randint(0, 3),
        }
        self._hold_fault(
            "weight store slow", "weight-store", faults, rng.uniform(1.0, 4.0)
        )

    def _freeze_backend(self, rng: random.Random) -> None:
        name = self._choose_backend(rng, self._sidecars)
        hold = rng.uniform(0.3, 3.0)
        self._hold_fault("backend server frozen", name, {"freeze": True}, hold)

    def _cut_engine_responses(self, rng: random.Random) -> None:
        faults = {"cut_next_answers": rng.randint(1, 5), "cut_after_tokens": 2}
        self._hold_fault(
            "engine cuts responses",
            self._choose_backend(rng, self._engines),
            faults,
            1.0,
        )

    def _lose_service_responses(self, rng: random.Random) -> None:
        name = self._choose_backend(rng, [*self._order_services, "stock-1"])
        faults = {"lose_next_answers": rng.randint(1, 4)}
        self._hold_fault("service loses responses after the run", name, faults, 1.0)

    def _refuse_service_calls(self, rng: random.Random) -> None:
        name = self._choose_backend(rng, self._order_services)
        faults = {"refuse_next": rng.randint(1, 4)}
        self._hold_fault("service refuses", name, faults, 1.0)

    def _slow_service(self, rng: random.Random) -> None:
        name = self._choose_backend(rng, self._order_services)
        faults = {"run_seconds": rng.uniform(0.1, 1.0)}
        self._hold_fault("service slow", name, faults, rng.uniform(1.0, 3.0))

    # --- Platform ---

    def _object_api_down(self, rng: random.Random) -> None:
        fault = rng.choice(("down", "freeze"))
        hold = rng.uniform(0.5, 5.0)
        self._hold_fault(f"object API {fault}", "object-api", {fault: True}, hold)

    def _slow_object_api(self, rng: random.Random) -> None:
        faults = {"delay_seconds": rng.uniform(0.1, 1.0)}
        self._hold_fault("object API slow", "object-api", faults, rng.uniform(1.0, 4.0))

    def _lose_write_responses(self, rng: random.Random) -> None:
        faults = {"lose_next_write_answers": rng.randint(1, 6)}
        self._hold_fault("object API loses responses", "object-api", faults, 1.0)

    def _lag_instance_list(self, rng: random.Random) -> None:
        faults = {"lag_seconds": rng.uniform(1.0, 10.0)}
        self._hold_fault("instance list lags", "instance-list", faults, 2.0)

    # --- Configuration ---

    def _change_default(self, rng: random.Random) -> None:
        name = rng.choice(list(self._defaults))
        version = "v1" if self._defaults[name] == "v2" else "v2"
        self._defaults[name] = version
        work = "question" if name.startswith("advisor") else "draft"
        document = sample.adapter(name, work, default=version)
        with self._record_fault("new default version", name, is_planned=True):
            self._apply(document, version)

    def _change_labels(self, rng: random.Random) -> None:
        plan = rng.choice(self._deployment.backend_documents())
        self._label_changes += 1
        plan["metadata"]["labels"]["soak"] = f"n{self._label_changes}"
        name = plan["metadata"]["name"]
        with self._record_fault("label change", name, is_planned=True):
            self._apply(plan, "")

    def _apply(self, document: dict[str, Any], value: str) -> AppliedChange:
        key = f"{document['kind']}/{document['metadata']['name']}"
        path = self._deployment.folder / f"change-{document['metadata']['name']}.json"
        path.write_text(json.dumps([document]))
        change = AppliedChange(key, time.monotonic(), None, value=value)
        self._records.record_change(change)
        # --force, since after a lost response the last applied document may be a
        # different one.
        done = self._deployment.client(
            "apply", "-f", str(path), "--force", "--output", "json"
        )
        accepted = time.monotonic()
        if done.returncode != 0:
            self._records.count_note(f"apply exited with code {done.returncode}")
            return change
        written = json.loads(done.stdout)[0]["document"]
        revision = int(written["metadata"]["resourceVersion"])
        settled = replace(change, accepted=accepted, revision=revision)
        self._records.replace_change(change, settled)
        return settled

    def _drain_backend(self, rng: random.Random) -> None:
        """Drains a backend server by its label, then removes the label."""
        name = rng.choice(self._engines)
        process = self._deployment.processes[name]
        with self._record_fault("drain of a backend server", name, is_planned=True):
            self._states.disturb(name)
            done = self._deployment.client("drain", "backendserver", name)
            if done.returncode == 0:
                self._check_draining(name)
            else:
                self._records.count_note(f"drain exited with code {done.returncode}")
            self._undo_drain(name)
            if not process.is_running:
                code = process.popen.returncode if process.popen else None
                if code != 0:
                    self._records.record_violation(
                        "drain", process=name, exit_code=code
                    )
                process.start()
                self._deployment.wait_alive(name)
            self._states.restore(name)
        self.stopping.wait(1.0)

    def _check_draining(self, name: str) -> None:
        time.sleep(DRAIN_BOUND)
        before = self._count_runs(name)
        time.sleep(DRAIN_OBSERVATION)
        runs = self._count_runs(name) - before
        if runs:
            self._records.record_violation(
                "draining backend server got new requests",
                backend_server=name,
                runs=runs,
            )

    def _undo_drain(self, name: str) -> None:
        for _ in range(5):
            result = self._deployment.client("drain", "backendserver", name, "--undo")
            if result.returncode == 0:
                return
        self._records.record_violation("drain not undone", output=result.stderr)

    def _count_runs(self, name: str) -> int:
        port = self._deployment.ports[f"{name}-backend/port"]
        records = json.loads(fetch(f"http://127.0.0.1:{port}/runs", timeout=20.0)[1])
        return sum(record["runs"] for record in records.values())

    def clear_all(self) -> None:
        """Clears the remaining faults after the load has ended."""
        for name, process in self._deployment.processes.items():
            process.signal(signal.SIGCONT)
            if f"{name}/control" in self._deployment.ports:
                self._deployment.set_fault(name, freeze=False, down=False)


# Value that clears each lasting fault.
_CLEARED_VALUES = {
    "freeze": False,
    "down": False,
    "delay_seconds": 0.0,
    "slow_factor": 1.0,
    "run_seconds": 0.0,
    "lag_seconds": 0.0,
}
