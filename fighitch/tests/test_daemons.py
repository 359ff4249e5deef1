"""Tests of ``fighitch.daemons.base`` and of the shutdown of a daemon."""

import json
import os
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from fighitch.daemons import base
from fighitch.daemons.sidecar import SidecarDaemon
from fighitch.settings import SidecarSettings, load_settings

TIMEOUT = 20
SETTINGS = {
    "instance": "orders-1",
    "availability_zone": "a",
    "admin_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "shared_keys": [{"key_id": "k1", "secret": "00112233445566778899aabbccddeeff"}],
    "backend": {"type": "service", "url": "http://127.0.0.1:1", "service": "orders"},
}


class ShutdownTests(unittest.TestCase):
    def setUp(self):
        # Signal handlers can only be installed on the main thread.
        for target in ("Signals", "EventLog"):
            patcher = mock.patch.object(base, target)
            patcher.start()
            self.addCleanup(patcher.stop)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps(SETTINGS))
            loaded = load_settings(str(path), SidecarSettings)
        self.daemon = SidecarDaemon(str(path), loaded.ok)

    def test_process_whose_loop_failed_exits_immediately(self):
        """Guards against a process that stays alive without a running core loop."""
        failing = mock.patch.object(
            self.daemon.loop, "run", side_effect=ValueError("broken core")
        )
        exiting = mock.patch.object(os, "_exit", side_effect=SystemExit)
        quiet = mock.patch.object(threading, "excepthook")
        with failing, exiting as exit_at_once, quiet, self.assertRaises(SystemExit):
            self.daemon.run()
        exit_at_once.assert_called_once_with(base.EXIT_LOOP_FAILED)
        self.daemon._admin_server.stop()

    def test_drained_sidecar_rejects_requests_for_the_drain_notice(self):
        """Guards against "outcome unknown" for requests that arrive after the drain."""
        stopping = self.daemon._stopping
        with mock.patch("fighitch.daemons.sidecar.DRAIN_NOTICE", TIMEOUT):
            thread = threading.Thread(target=self.daemon.run)
            thread.start()
            self.daemon.drain()
            while not self.daemon.loop.is_stopped:
                self.daemon.run_on_core(lambda core: core.status(now=0.0))
            self.assertTrue(self.daemon.run_on_core(lambda core: core.is_draining))
            self.assertTrue(thread.is_alive())
            stopping.set()
            thread.join(TIMEOUT)
        self.assertFalse(thread.is_alive())
