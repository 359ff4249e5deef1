"""Quick cells of the fault matrix, and proof that each invariant's check can fail."""

import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from benchmarks import memory_cells, process_faults
from benchmarks.fault_plan import Cell, Fault, Kind, Step, cells, why_not
from benchmarks.links import Mode, Relay
from benchmarks.memory_faults import MemoryFault
from benchmarks.process_cells import process_cells, run_batch
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


def run(name):
    return memory_cells.run_cell(Cell(*name.split("/")), SEED)


def numbers(failures):
    """Returns the numbers of the invariants that did not hold."""
    return {failure.partition(":")[0] for failure in failures}


class ProcessCellTests(unittest.TestCase):
    def test_one_cell_with_real_processes(self):
        """Guards against a status page whose keys the process half no longer finds."""
        cell = process_cells()[0]
        outcomes = run_batch([cell], SEED, time.time() + 120)
        self.assertEqual(outcomes, [(cell, [])])


class QuickCellTests(unittest.TestCase):
    def test_one_cell_for_each_fault(self):
        """Guards against a change that breaks an invariant under any fault."""
        rows = (
            (Kind.STREAMED, Step.HALF_WAY),
            (Kind.CHOSEN, Step.RUNNING),
            (Kind.CONFIGURATION, Step.AFTER_ANSWER),
        )
        for number, fault in enumerate(Fault):
            row = [
                Cell(kind.value, step.value, fault.value)
                for kind, step in (*rows[number % 3 :], *rows[: number % 3])
            ]
            cell = next(cell for cell in row if not why_not(cell))
            with self.subTest(cell=cell.name):
                self.assertEqual(memory_cells.run_cell(cell, SEED), [])

    def test_every_cell_is_possible_or_has_a_reason(self):
        """Guards against cells that are left out unnoticed."""
        found = cells()
        self.assertEqual(len(found), len(set(found)))
        self.assertGreater(sum(not why_not(cell) for cell in found), 900)

    def test_every_fault_can_strike(self):
        """Guards against a column whose cells raise instead of running."""
        for fault in Fault:
            name = f"_{fault.name.lower()}"
            self.assertTrue(hasattr(MemoryFault, name), name)
            is_link = fault in process_faults.MODES
            is_real = is_link or hasattr(process_faults.ProcessFault, name)
            self.assertEqual(is_real, fault in process_faults.PROCESS_FAULTS, name)


class MechanismTests(unittest.TestCase):
    """Each test disables a mechanism; the matrix must then report the invariant."""

    def test_right_version(self):
        """Guards against a check that overlooks answers of another version."""
        cell = Cell("whole", "waiting-load", "engine-restart")
        with (
            mock.patch.object(execution, "_is_from", lambda wanted, event: True),
            mock.patch(
                "fighitch.core.entry.responses._find_response_failure",
                lambda work, end: None,
            ),
        ):
            failures = self._run_with_substitutes(cell)
        self.assertIn("3", numbers(failures))
        seen = [
            item for item in self._run_with_substitutes(cell) if "ran on" not in item
        ]
        self.assertEqual(seen, [])

    def _run_with_substitutes(self, cell):
        """Runs a cell with engines that run the base model for a missing version."""
        case = memory_cells.prepare(cell, SEED)
        for backend in case.network.backends.values():
            backend.falls_back_to_base = backend.is_engine
        memory_cells.run_case(case)
        return case.failures

    def test_pins(self):
        """Guards against a check that overlooks an eviction of a version in use."""
        with (
            mock.patch.object(
                AdapterSlots, "pin", lambda self, version, **fields: None
            ),
            mock.patch.object(AdapterSlots, "unpin", lambda *args, **fields: None),
            mock.patch.object(engine_state, "check", lambda *args, **fields: None),
        ):
            failures = run("streamed/waiting-load/slow-backend")
        self.assertIn("2", numbers(failures))

    def test_whole_answer(self):
        """Guards against a check that overlooks repeated chunks."""

        def accept(self, chunk):
            self._parts.append(chunk.data)
            return ChunkState.NEXT

        with (
            mock.patch.object(ResponseAssembly, "accept", accept),
            mock.patch.object(ResponseAssembly, "mismatch", lambda self, end: ""),
        ):
            self.assertIn("3", numbers(run("streamed/half-way/duplicates")))

    def test_not_run(self):
        """Guards against a check that overlooks a wrong "not run"."""
        state = mock.patch.object(
            RequestState, "run_state", lambda self, stated: RunState.NOT_RUN
        )
        with state:
            self.assertIn("4", numbers(run("issued/running/kill-sidecar")))

    def test_at_most_once(self):
        """Guards against a check that overlooks a second run."""
        with (
            mock.patch.object(
                OrderLedger, "submit", lambda *args, **fields: Accepted()
            ),
            mock.patch.object(OrderLedger, "dispatched", lambda *args: None),
        ):
            self.assertIn("5", numbers(run("issued/answered/cut-peer")))

    def test_leaving(self):
        """Guards against a check that overlooks new work for a leaving sidecar."""
        drain = mock.patch.object(
            sidecar_core.SidecarCore, "_start_drain", lambda self, cause: None
        )
        with drain:
            self.assertIn("6", numbers(run("issued/running/stop-sidecar")))

    def test_planned_stop(self):
        """Guards against a check that overlooks requests that a stop cuts off."""

        def stop_at_once(self, now):
            if self.is_draining and not self._is_stopped:
                self._is_stopped = True
                self._outbox.add(Stop())

        at_once = mock.patch.object(
            sidecar_core.SidecarCore, "_stop_if_drained", stop_at_once
        )
        with at_once:
            self.assertIn("7", numbers(run("issued/running/stop-sidecar")))

    def test_configuration_in_force(self):
        """Guards against a check that overlooks a change that does not spread."""
        lack = mock.patch.object(
            ConfigurationExchange,
            "_may_lack",
            lambda self, revision, ahead: revision > self._store.revision,
        )
        with lack:
            self.assertIn("8", numbers(run("config/after-answer/api-down")))

    def test_configuration_never_reverts(self):
        """Guards against a check that overlooks an older change that is taken over."""
        merge_one = ConfigurationStore._merge_one

        def merge_any(self, item):
            self._by_kind[item.kind].pop(item.name, None)
            self._tombstones.pop((item.kind, item.name), None)
            return merge_one(self, item)

        with mock.patch.object(ConfigurationStore, "_merge_one", merge_any):
            self.assertIn("8", numbers(run("config/spreading/reordered")))


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
        """Guards against cells that fail because of the relay."""
        sock = self._connect()
        for mode in (Mode.PASS, Mode.SLOW):
            self.relay.set_mode(mode)
            started = time.monotonic()
            sock.sendall(b"hello")
            self.assertEqual(sock.recv(5), b"hello")
        self.assertGreaterEqual(time.monotonic() - started, 0.1)

    def test_cut_resets_open_and_new_connections(self):
        """Guards against a cut that the ends do not notice."""
        sock = self._connect()
        sock.sendall(b"x")
        sock.recv(1)
        self.relay.set_mode(Mode.CUT)
        with self.assertRaises(ConnectionError):
            sock.recv(1)

    def test_silence_of_old_connections_spares_new_ones(self):
        """Guards against a silent link that is a cut, or that heals."""
        old = self._connect()
        old.sendall(b"x")
        old.recv(1)
        self.relay.set_mode(Mode.SILENT_OLD)
        new = self._connect()
        new.sendall(b"y")
        self.assertEqual(new.recv(1), b"y")
        self.relay.set_mode(Mode.PASS)
        old.sendall(b"z")
        old.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            old.recv(1)
