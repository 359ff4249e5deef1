"""Faults of real processes and of the links between them."""

import signal
import threading

from benchmarks.deployment import Deployment
from benchmarks.fault_matrix import Fault
from benchmarks.relays import Mode
from fighitch.types import InstanceName, Seconds

FAULT_DURATION: Seconds = 3.5
SHORT: Seconds = 1.0
RESTART: Seconds = 1.0
_SLOW_ENGINE = 5.0
_SLOW_SERVICE: Seconds = 2.0
_SLOW_API = 1_500.0
_MANY = 1_000
# Faults that real processes and links can have; the others need the in-memory network.
PROCESS_FAULTS = frozenset(Fault) - {
    Fault.DUPLICATES,
    Fault.LATE,
    Fault.REORDERED,
    Fault.CLOCK_STEP,
    Fault.OPERATOR_RACE,
}
MODES = {
    Fault.CUT_PEER: ("peer", Mode.CUT),
    Fault.SILENT_PEER: ("peer", Mode.SILENT_OLD),
    Fault.SILENT_TO_SIDECAR: ("peer", Mode.SILENT_FORTH),
    Fault.SILENT_TO_ENTRY: ("peer", Mode.SILENT_BACK),
    Fault.PARTITION_PEER: ("peer", Mode.SILENT),
    Fault.SLOW_PEER: ("peer", Mode.SLOW),
    Fault.CUT_BACKEND: ("backend", Mode.CUT),
    Fault.SILENT_BACKEND: ("backend", Mode.SILENT),
    Fault.API_CUT: ("object-api", Mode.CUT),
}


class ProcessFault:
    """A fault of one case."""

    def __init__(
        self, deployment: Deployment, fault: Fault, sidecar: InstanceName
    ) -> None:
        """Prepares the fault; ``inject`` lets it happen.

        Args:
            deployment: Processes of the case.
            fault: What happens.
            sidecar: Sidecar, backend server or link that it strikes.
        """
        self._deployment = deployment
        self._fault = fault
        self._sidecar = sidecar
        self._entry = deployment.entries[0]
        self._backend = f"{sidecar}-backend"

    def inject(self) -> None:
        """Lets the fault happen."""
        if self._fault in MODES:
            link, mode = MODES[self._fault]
            name = self._entry if link == "object-api" else self._sidecar
            self._deployment.relays[f"{link}/{name}"].set_mode(mode)
            return
        getattr(self, f"_{self._fault.name.lower()}")()

    def clear(self) -> None:
        """Ends the fault and replaces the processes that have ended."""
        deployment = self._deployment
        for relay in deployment.relays.values():
            relay.set_mode(Mode.PASS)
        for name, process in deployment.processes.items():
            process.thaw()
            if not process.is_running:
                process.start()
                deployment.wait_alive(name)
        for plan in deployment.plan.backends:
            normal = {"slow_factor": 1.0, "cut_next_answers": 0}
            if plan.type == "service":
                normal = {"run_seconds": 0.05, "lose_next_answers": 0}
            deployment.set_fault(f"{plan.name}-backend", **normal)
        deployment.set_fault(
            "object-api", down=False, slow_factor=1.0, lose_next_write_answers=0
        )
        deployment.set_fault("weight-store", fail_next=0, slow_factor=1.0)

    def _kill_and_restart(self, name: str) -> None:
        process = self._deployment.processes[name]
        process.kill()
        threading.Timer(RESTART, process.start).start()

    def _kill_entry(self) -> None:
        self._kill_and_restart(self._entry)

    def _kill_sidecar(self) -> None:
        self._kill_and_restart(self._sidecar)

    def _kill_backend(self) -> None:
        self._deployment.processes[self._backend].kill()

    def _freeze_entry(self) -> None:
        self._deployment.processes[self._entry].freeze()

    def _freeze_sidecar_short(self) -> None:
        process = self._deployment.processes[self._sidecar]
        process.freeze()
        threading.Timer(SHORT, process.thaw).start()

    def _freeze_sidecar(self) -> None:
        self._deployment.processes[self._sidecar].freeze()

    def _freeze_backend(self) -> None:
        self._deployment.processes[self._backend].freeze()

    def _slow_backend(self) -> None:
        if self._sidecar.startswith("engine"):
            self._deployment.set_fault(self._backend, slow_factor=_SLOW_ENGINE)
        else:
            self._deployment.set_fault(self._backend, run_seconds=_SLOW_SERVICE)

    def _lost_answer(self) -> None:
        if self._sidecar.startswith("engine"):
            self._deployment.set_fault(self._backend, cut_next_answers=1)
        else:
            self._deployment.set_fault(self._backend, lose_next_answers=1)

    def _api_down(self) -> None:
        self._deployment.set_fault("object-api", down=True)

    def _api_slow(self) -> None:
        self._deployment.set_fault("object-api", slow_factor=_SLOW_API)

    def _api_lost_answer(self) -> None:
        self._deployment.set_fault("object-api", lose_next_write_answers=2)

    def _store_fails(self) -> None:
        self._deployment.set_fault("weight-store", fail_next=_MANY, slow_factor=1.0)

    def _engine_restart(self) -> None:
        self._deployment.set_fault(self._backend, restart=True)

    def _stop_entry(self) -> None:
        self._deployment.processes[self._entry].signal(signal.SIGTERM)

    def _stop_sidecar(self) -> None:
        self._deployment.processes[self._sidecar].signal(signal.SIGTERM)
