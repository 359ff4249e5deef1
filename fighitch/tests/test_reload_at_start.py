"""SIGHUP to gateway processes that are starting."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from standins.platform_fleet import ROOT, wait_until

BAD_SETTINGS = 2


class ReloadAtStartTests(unittest.TestCase):
    """A reload that comes before the settings are read must not end a process."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        # A process that reads its settings from a FIFO waits for their writer.
        self.path = Path(folder.name) / "settings"
        os.mkfifo(self.path)

    def exit_code(self, role: str) -> int:
        """Sends SIGHUP to a process that waits for settings, then unusable settings."""
        process = subprocess.Popen(
            [sys.executable, "-m", "fighitch.gateway", role],
            cwd=ROOT,
            env=os.environ | {"FIGHITCH_SETTINGS": str(self.path)},
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.kill)
        writers = []

        def is_reading() -> bool:
            try:
                writers.append(os.open(self.path, os.O_WRONLY | os.O_NONBLOCK))
            except OSError:
                return False
            return True

        self.assertTrue(wait_until(is_reading))
        process.send_signal(signal.SIGHUP)
        os.close(writers[0])
        return process.wait(10.0)

    def test_entry_reads_its_settings(self):
        self.assertEqual(self.exit_code("entry"), BAD_SETTINGS)

    def test_agent_reads_its_settings(self):
        self.assertEqual(self.exit_code("agent"), BAD_SETTINGS)
