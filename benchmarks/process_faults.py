"""Injection of faults into real processes and the connections between them."""

import signal
import threading

from benchmarks.deployment import Deployment
from benchmarks.fault_matrix import Fault
from benchmarks.relays import RelayMode
from fighitch.types import InstanceName, Seconds

FAULT_DURATION: Seconds = 3.5
SHORT_FREEZE: Seconds = 1.0
RESTART_DELAY: Seconds = 1.0
_SLOW_ENGINE_FACTOR = 5.0
_SLOW_SERVICE_TIME: Seconds = 2.0
_SLOW_API_FACTOR = 1_500.0
_FAILING_TRANSFERS = 1_000
# Faults that can be injected into real processes and connections; the others need the
# in-memory network.
PROCESS_FAULTS = frozenset(Fault) - {
    Fault.DUPLICATES,
    Fault.LATE,
    Fault.REORDERED,
    Fault.CLOCK_STEP,
    Fault.OPERATOR_RACE,
}
# For each fault of a connection: the kind of link and the mode of its relay.
RELAY_MODES = {
    Fault.CUT_PEER: ("peer", RelayMode.CUT),
    Fault.SILENT_PEER: ("peer", RelayMode.SILENT_OLD),
    Fault.SILENT_TO_SIDECAR: ("peer", RelayMode.SILENT_TO_TARGET),
    Fault.SILENT_TO_ENTRY: ("peer", RelayMode.SILENT_TO_CALLER),
    Fault.PARTITION_PEER: ("peer", RelayMode.SILENT),
    Fault.SLOW_PEER: ("peer", RelayMode.SLOW),
    Fault.CUT_BACKEND: ("backend", RelayMode.CUT),
    Fault.SILENT_BACKEND: ("backend", RelayMode.SILENT),
    Fault.API_CUT: ("object-api", RelayMode.CUT),
}


class ProcessFault:
    """The fault of one case."""

    def __init__(
        self, deployment: Deployment, fault: Fault, sidecar: InstanceName
    ) -> None:
        """Prepares the fault; ``inject`` causes it.

        Args:
            deployment: Deployment of the case.
            fault: Fault to inject.
            sidecar: Sidecar whose process, backend server or connections are affected.
        """
        self._deployment = deployment
        self._fault = fault
        self._sidecar = sidecar
        self._entry = deployment.entries[0]
        self._backend = f"{sidecar}-backend"

    def inject(self) -> None:
        """Injects the fault."""
        if self._fault in RELAY_MODES:
            link, mode = RELAY_MODES[self._fault]
            name = self._entry if link == "object-api" else self._sidecar
            self._deployment.relays[f"{link}/{name}"].set_mode(mode)
            return
        getattr(self, f"_{self._fault.name.lower()}")()

    def clear(self) -> None:
        """Ends the fault and restarts the processes that have exited."""
        deployment = self._deployment
        for relay in deployment.relays.values():
            relay.set_mode(RelayMode.PASS)
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
        threading.Timer(RESTART_DELAY, process.start).start()

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
        threading.Timer(SHORT_FREEZE, process.thaw).start()

    def _freeze_sidecar(self) -> None:
        self._deployment.processes[self._sidecar].freeze()

    def _freeze_backend(self) -> None:
        self._deployment.processes[self._backend].freeze()

    def _slow_backend(self) -> None:
        if self._sidecar.startswith("engine"):
            self._deployment.set_fault(self._backend, slow_factor=_SLOW_ENGINE_FACTOR)
        else:
            self._deployment.set_fault(self._backend, run_seconds=_SLOW_SERVICE_TIME)

    def _lost_answer(self) -> None:
        if self._sidecar.startswith("engine"):
            self._deployment.set_fault(self._backend, cut_next_answers=1)
        else:
            self._deployment.set_fault(self._backend, lose_next_answers=1)

    def _api_down(self) -> None:
        self._deployment.set_fault("object-api", down=True)

    def _api_slow(self) -> None:
        self._deployment.set_fault("object-api", slow_factor=_SLOW_API_FACTOR)

    def _api_lost_answer(self) -> None:
        self._deployment.set_fault("object-api", lose_next_write_answers=2)

    def _store_fails(self) -> None:
        self._deployment.set_fault(
            "weight-store", fail_next=_FAILING_TRANSFERS, slow_factor=1.0
        )

    def _engine_restart(self) -> None:
        self._deployment.set_fault(self._backend, restart=True)

    def _stop_entry(self) -> None:
        self._deployment.processes[self._entry].signal(signal.SIGTERM)

    def _stop_sidecar(self) -> None:
        self._deployment.processes[self._sidecar].signal(signal.SIGTERM)
