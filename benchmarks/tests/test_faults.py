"""Quick cells of the fault matrix, and tests that each invariant check can fail."""

import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from benchmarks import memory_cells, process_faults
from benchmarks.fault_matrix import (
    CaseKind,
    Cell,
    Fault,
    Step,
    exclusion_reason,
    matrix_cells,
)
from benchmarks.memory_faults import MemoryFault
from benchmarks.process_cells import process_cells, run_batch
from benchmarks.relays import Relay, RelayMode
from fighitch.core.anti_entropy import ConfigurationExchange
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.effects import Stop
from fighitch.core.entry.assembly import ChunkState, ResponseAssembly
from fighitch.core.entry.request_state import RequestState
from fighitch.core.errors import RunState
from fighitch.core.sidecar import core as sidecar_core, engine_state, execution
from fighitch.core.sidecar.ledger import Accepted, OrderLedger
from fighitch.core.sidecar.slots import AdapterSlots

SEED = 1


def run_memory_cell(name):
    return memory_cells.run_cell(Cell(*name.split("/")), SEED)


def invariant_numbers(failures):
    """Returns the numbers of the violated invariants."""
    return {failure.partition(":")[0] for failure in failures}


class ProcessCellTests(unittest.TestCase):
    def test_one_cell_with_real_processes(self):
        """Guards against renamed keys of ``/status``, which the process cells read."""
        cell = process_cells()[0]
        outcomes = run_batch([cell], SEED, time.time() + 120)
        self.assertEqual(outcomes, [(cell, [])])


class QuickCellTests(unittest.TestCase):
    def test_one_cell_for_each_fault(self):
        """Guards against a change that violates an invariant under some fault."""
        rows = (
            (CaseKind.STREAMED, Step.HALF_WAY),
            (CaseKind.CHOSEN, Step.RUNNING),
            (CaseKind.CONFIGURATION, Step.AFTER_ANSWER),
        )
        for number, fault in enumerate(Fault):
            row = [
                Cell(kind.value, step.value, fault.value)
                for kind, step in (*rows[number % 3 :], *rows[: number % 3])
            ]
            cell = next(cell for cell in row if not exclusion_reason(cell))
            with self.subTest(cell=cell.name):
                self.assertEqual(memory_cells.run_cell(cell, SEED), [])

    def test_every_cell_is_applicable_or_has_an_exclusion_reason(self):
        """Guards against cells that are excluded by mistake."""
        found = matrix_cells()
        self.assertEqual(len(found), len(set(found)))
        self.assertGreater(sum(not exclusion_reason(cell) for cell in found), 900)

    def test_every_fault_has_an_injector(self):
        """Guards against a fault without an implementation, whose cells would raise."""
        for fault in Fault:
            name = f"_{fault.name.lower()}"
            self.assertTrue(hasattr(MemoryFault, name), name)
            is_link = fault in process_faults.RELAY_MODES
            is_real = is_link or hasattr(process_faults.ProcessFault, name)
            self.assertEqual(is_real, fault in process_faults.PROCESS_FAULTS, name)


class DisabledMechanismTests(unittest.TestCase):
    """Each test disables a mechanism; the matrix must then report a violation."""

    def test_right_version(self):
        """Guards against a check that misses responses by another version."""
        cell = Cell("whole", "waiting-load", "engine-restart")
        with (
            mock.patch.object(execution, "_is_from", lambda wanted, event: True),
            mock.patch(
                "fighitch.core.entry.responses._find_response_failure",
                lambda work, end: None,
            ),
        ):
            failures = self._run_with_substitutes(cell)
        self.assertIn("3", invariant_numbers(failures))
        other_failures = [
            item for item in self._run_with_substitutes(cell) if "ran on" not in item
        ]
        self.assertEqual(other_failures, [])

    def _run_with_substitutes(self, cell):
        """Runs a cell with engines that use the base model if a version is missing."""
        case = memory_cells.prepare(cell, SEED)
        for backend in case.network.backends.values():
            backend.falls_back_to_base = backend.is_engine
        memory_cells.run_case(case)
        return case.failures

    def test_pins(self):
        """Guards against a check that misses the eviction of a version in use."""
        with (
            mock.patch.object(
                AdapterSlots, "pin", lambda self, version, **fields: None
            ),
            mock.patch.object(AdapterSlots, "unpin", lambda *args, **fields: None),
            mock.patch.object(engine_state, "check", lambda *args, **fields: None),
        ):
            failures = run_memory_cell("streamed/waiting-load/slow-backend")
        self.assertIn("2", invariant_numbers(failures))

    def test_whole_answer(self):
        """Guards against a check that misses duplicated chunks."""

        def accept(self, chunk):
            self._parts.append(chunk.data)
            return ChunkState.NEXT

        with (
            mock.patch.object(ResponseAssembly, "accept", accept),
            mock.patch.object(ResponseAssembly, "mismatch", lambda self, end: ""),
        ):
            self.assertIn(
                "3", invariant_numbers(run_memory_cell("streamed/half-way/duplicates"))
            )

    def test_not_run(self):
        """Guards against a check that misses a wrong "not run"."""
        state = mock.patch.object(
            RequestState, "run_state", lambda self, stated: RunState.NOT_RUN
        )
        with state:
            self.assertIn(
                "4", invariant_numbers(run_memory_cell("issued/running/kill-sidecar"))
            )

    def test_at_most_once(self):
        """Guards against a check that misses a second run."""
        with (
            mock.patch.object(
                OrderLedger, "submit", lambda *args, **fields: Accepted()
            ),
            mock.patch.object(OrderLedger, "dispatched", lambda *args: None),
        ):
            self.assertIn(
                "5", invariant_numbers(run_memory_cell("issued/answered/cut-peer"))
            )

    def test_drain(self):
        """Guards against a check that misses new requests for a draining sidecar."""
        drain = mock.patch.object(
            sidecar_core.SidecarCore, "_start_drain", lambda self, cause: None
        )
        with drain:
            self.assertIn(
                "6", invariant_numbers(run_memory_cell("issued/running/stop-sidecar"))
            )

    def test_planned_stop(self):
        """Guards against a check that misses requests cut off by a planned stop."""

        def stop_at_once(self, now):
            if self.is_draining and not self._is_stopped:
                self._is_stopped = True
                self._outbox.add(Stop())

        at_once = mock.patch.object(
            sidecar_core.SidecarCore, "_stop_if_drained", stop_at_once
        )
        with at_once:
            self.assertIn(
                "7", invariant_numbers(run_memory_cell("issued/running/stop-sidecar"))
            )

    def test_configuration_in_force(self):
        """Guards against a check that misses a change that does not propagate."""
        patch = mock.patch.object(
            ConfigurationExchange,
            "_may_be_behind",
            lambda self, revision, ahead: revision > self._store.revision,
        )
        with patch:
            self.assertIn(
                "8", invariant_numbers(run_memory_cell("config/after-answer/api-down"))
            )

    def test_configuration_never_reverts(self):
        """Guards against a check that misses a merge of an older revision."""
        merge_one = ConfigurationStore._merge_resource

        def merge_any(self, item):
            self._by_kind[item.kind].pop(item.name, None)
            self._tombstones.pop((item.kind, item.name), None)
            return merge_one(self, item)

        with mock.patch.object(ConfigurationStore, "_merge_resource", merge_any):
            self.assertIn(
                "8", invariant_numbers(run_memory_cell("config/spreading/reordered"))
            )


class RelayTests(unittest.TestCase):
    def setUp(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        threading.Thread(target=self._echo, daemon=True).start()
        self.relay = Relay(self.server.getsockname()[1], delay=0.05)
        self.relay.start()
        self.addCleanup(self.relay.stop)

    def _echo(self):
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(sock,), daemon=True).start()

    def _answer(self, sock):
        with sock, contextlib.suppress(ConnectionError):
            while data := sock.recv(1024):
                sock.sendall(data)

    def _connect(self):
        sock = socket.create_connection(("127.0.0.1", self.relay.port), 5.0)
        self.addCleanup(sock.close)
        return sock

    def test_passes_and_delays_bytes(self):
        """Guards against cells that fail because of a defect of the relay."""
        sock = self._connect()
        for mode in (RelayMode.PASS, RelayMode.SLOW):
            self.relay.set_mode(mode)
            started = time.monotonic()
            sock.sendall(b"hello")
            self.assertEqual(sock.recv(5), b"hello")
        self.assertGreaterEqual(time.monotonic() - started, 0.1)

    def test_cut_resets_open_and_new_connections(self):
        """Guards against a cut that the endpoints do not detect."""
        sock = self._connect()
        sock.sendall(b"x")
        sock.recv(1)
        self.relay.set_mode(RelayMode.CUT)
        with self.assertRaises(ConnectionError):
            sock.recv(1)

    def test_silent_old_connections_leave_new_ones_working(self):
        """Guards against a silent connection that is reset or works again later."""
        old = self._connect()
        old.sendall(b"x")
        old.recv(1)
        self.relay.set_mode(RelayMode.SILENT_OLD)
        new = self._connect()
        new.sendall(b"y")
        self.assertEqual(new.recv(1), b"y")
        self.relay.set_mode(RelayMode.PASS)
        old.sendall(b"z")
        old.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            old.recv(1)
