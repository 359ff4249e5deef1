"""Injection and removal of the faults of the in-memory network."""

from collections.abc import Callable
from functools import partial
from typing import Any

from benchmarks.fault_matrix import Fault
from benchmarks.memory_backends import with_default
from benchmarks.memory_network import ENTRIES, Connection, Network
from fighitch.core import inputs, messages
from fighitch.core.resources import Kind
from fighitch.types import InstanceName, Seconds

Observer = Callable[[Any, bool, Any], list[Seconds]]

# Time from the injection of a fault to its end.
FAULT_DURATION: Seconds = 4.0
SHORT_FREEZE: Seconds = 1.0
# Time from a kill to the start of the replacement process.
RESTART_DELAY: Seconds = 1.5
_SLOW_PEER_DELAY: Seconds = 0.3
_MAX_MESSAGE_DELAY: Seconds = 0.8
_MIN_GAP: Seconds = 0.0001
_CLOCK_STEP: Seconds = 30.0
_SLOW_BACKEND_FACTOR = 5.0


class MemoryFault:
    """The fault of one case."""

    def __init__(
        self,
        network: Network,
        fault: Fault,
        sidecar: InstanceName,
        observer: Observer | None = None,
    ) -> None:
        """Prepares the fault; ``inject`` causes it.

        Args:
            network: Network into which the fault is injected.
            fault: Fault to inject.
            sidecar: Sidecar whose process, backend server or connections are affected.
            observer: Called for every message, also during the fault.
        """
        self._network = network
        self._fault = fault
        self._entry: InstanceName = ENTRIES[0]
        self._sidecar = sidecar
        self._observer = observer or (lambda *_: [0.0])
        self._last_delivery: dict[tuple[int, bool, str], Seconds] = {}

    @property
    def _backend(self) -> Any:
        return self._network.backends[self._sidecar]

    @property
    def _peer_connections(self) -> list[Connection]:
        return self._network.open_connections(self._entry, self._sidecar)

    def inject(self) -> None:
        """Injects the fault."""
        name = self._fault.name.lower()
        getattr(self, f"_{name}")()

    def clear(self) -> None:
        """Ends a lasting fault and restores every component to normal."""
        network = self._network
        for process in network.processes.values():
            if process.is_frozen:
                process.thaw()
        for backend in network.backends.values():
            backend.is_frozen = False
            backend.is_link_silent = False
            backend.slowdown = 1.0
            backend.fail_loads = False
            backend.lose_answers = 0
            backend.is_up = True
        for connection in network.connections.values():
            connection.delay = 0.001
        network.peer_delay = 0.001
        network.unreachable.clear()
        network.api_unreachable.clear()
        network.api.is_up = True
        network.api.is_slow = False
        network.api.lose_answers = 0
        network.on_send = self._observer

    def _kill_and_restart(self, name: InstanceName) -> None:
        self._network.kill(name)
        self._network.call_later(
            RESTART_DELAY, partial(_start_process, self._network, name)
        )

    def _kill_entry(self) -> None:
        self._kill_and_restart(self._entry)

    def _kill_sidecar(self) -> None:
        self._kill_and_restart(self._sidecar)

    def _kill_backend(self) -> None:
        self._backend.kill()

    def _freeze_entry(self) -> None:
        self._network.freeze(self._entry)

    def _freeze_sidecar_short(self) -> None:
        process = self._network.processes[self._sidecar]
        process.is_frozen = True
        self._network.call_later(SHORT_FREEZE, process.thaw)

    def _freeze_sidecar(self) -> None:
        self._network.freeze(self._sidecar)

    def _freeze_backend(self) -> None:
        self._backend.is_frozen = True

    def _cut_peer(self) -> None:
        for connection in self._peer_connections:
            self._network.cut(connection)

    def _silent_peer(self) -> None:
        for connection in self._peer_connections:
            connection.silent = {True, False}

    def _silent_to_sidecar(self) -> None:
        for connection in self._peer_connections:
            connection.silent = {True}

    def _silent_to_entry(self) -> None:
        for connection in self._peer_connections:
            connection.silent = {False}

    def _partition_peer(self) -> None:
        self._network.unreachable.add((self._entry, self._sidecar))
        self._silent_peer()

    def _slow_peer(self) -> None:
        self._network.peer_delay = _SLOW_PEER_DELAY
        for connection in self._network.connections.values():
            connection.delay = _SLOW_PEER_DELAY

    def _cut_backend(self) -> None:
        self._backend.cut_connections()

    def _silent_backend(self) -> None:
        self._backend.silence()

    def _slow_backend(self) -> None:
        self._backend.slowdown = _SLOW_BACKEND_FACTOR

    def _lost_answer(self) -> None:
        self._backend.lose_answers = 1

    def _duplicates(self) -> None:
        def send_twice(
            connection: Any, is_to_sidecar: bool, message: Any
        ) -> list[Seconds]:
            self._observer(connection, is_to_sidecar, message)
            return [0.0, self._network.rng.uniform(0.0005, _MAX_MESSAGE_DELAY)]

        self._network.on_send = send_twice

    def _late(self) -> None:
        """Delays messages so that those of different requests are reordered."""

        def delay_message(
            connection: Any, is_to_sidecar: bool, message: Any
        ) -> list[Seconds]:
            self._observer(connection, is_to_sidecar, message)
            request_id = getattr(message, "request_id", "")
            if not request_id:
                return [0.0]
            key = (connection.number, is_to_sidecar, request_id)
            due = self._network.now + self._network.rng.uniform(0.0, _MAX_MESSAGE_DELAY)
            due = max(due, self._last_delivery.get(key, 0.0) + _MIN_GAP)
            self._last_delivery[key] = due
            return [due - self._network.now]

        self._network.on_send = delay_message

    def _reordered(self) -> None:
        """Reorders messages even within one request.

        TCP excludes this, so a request may fail, but must not violate an invariant.
        """

        def delay_message(
            connection: Any, is_to_sidecar: bool, message: Any
        ) -> list[Seconds]:
            self._observer(connection, is_to_sidecar, message)
            if isinstance(message, messages.Heartbeat):
                return [0.0]
            return [self._network.rng.uniform(0.0, _MAX_MESSAGE_DELAY)]

        self._network.on_send = delay_message

    def _api_down(self) -> None:
        self._network.api.is_up = False

    def _api_slow(self) -> None:
        self._network.api.is_slow = True

    def _api_cut(self) -> None:
        self._network.api_unreachable.add(self._entry)

    def _api_lost_answer(self) -> None:
        self._network.api.lose_answers = 2

    def _store_fails(self) -> None:
        for backend in self._network.backends.values():
            backend.fail_loads = True

    def _engine_restart(self) -> None:
        self._backend.restart()

    def start_operator_race(self) -> None:
        """Starts concurrent changes of one object by two operators."""
        self._operator_race()

    def _operator_race(self) -> None:
        """Toggles the default version repeatedly while requests run."""
        network = self._network
        for number in range(6):
            network.call_later(
                0.1 * number, partial(_toggle_default_version, network, number)
            )

    def _clock_step(self) -> None:
        for name in (self._entry, self._sidecar):
            self._network.processes[name].clock_offset = _CLOCK_STEP

    def _stop_entry(self) -> None:
        self._network.processes[self._entry].deliver(inputs.DrainRequested())

    def _stop_sidecar(self) -> None:
        self._network.processes[self._sidecar].deliver(inputs.DrainRequested())


def _start_process(network: Network, name: InstanceName) -> None:
    network.start(name)


def _toggle_default_version(network: Network, number: int) -> None:
    adapter = network.api.store.get(Kind.ADAPTER, "advisor-1")
    assert adapter is not None
    network.api.write(with_default(adapter, ("v2", "v1")[number % 2]))
