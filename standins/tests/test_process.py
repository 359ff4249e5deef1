"""Tests for ``standins.process`` and the settings files."""

import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from standins.service import ServiceSettings
from standins.settings import SettingsError, load_settings
from standins.tests.helpers import TIMEOUT, call


class SettingsFileTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"

    def test_process_reports_its_ports_and_exits_on_sigterm_while_frozen(self):
        """Guards against processes that keep running after a benchmark."""
        self.path.write_text('{"run_seconds": 0} // no delay')
        command = [sys.executable, "-m", "standins.service", "--settings", self.path]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            self.addCleanup(process.kill)
            word, *fields = process.stdout.readline().split()
            ports = dict(field.split("=") for field in fields)
            self.assertEqual((word, *ports), ("ready", "port", "control_port"))
            control = int(ports["control_port"])
            status, shown = call(control, "POST", "/control", {"freeze": True})
            self.assertEqual((status, shown["faults"]["freeze"]), (200, True))
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(TIMEOUT), 0)

    def test_error_names_file_key_and_allowed_keys(self):
        self.path.write_text('{"run_second": 0}')
        with self.assertRaisesRegex(
            SettingsError, "settings.json.*run_second.*allowed keys.*run_seconds"
        ):
            load_settings(self.path, ServiceSettings)
