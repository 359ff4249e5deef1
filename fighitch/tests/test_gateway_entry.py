"""Tests of ``fighitch.gateway.entry``."""

import unittest
from dataclasses import replace
from unittest import mock

from fighitch.core.gateway.retry_budget import BudgetLimits
from fighitch.core.gateway.settings import Address, InstanceSettings
from fighitch.gateway import entry as entry_module
from fighitch.gateway.entry import GatewayEntry
from fighitch.platform.engine import SERVERS_KIND

SETTINGS = InstanceSettings(
    instance="front-1",
    host="127.0.0.1",
    zone="z1",
    callers=Address("127.0.0.1", 0),
    readiness=None,
    store=Address("127.0.0.1", 1),
    peer_port=1,
    engine=None,
    retry_limits=BudgetLimits(ratio=0.2, window=10.0, slack=50.0),
    stop_grace=8.0,
    lease=3.0,
    drain_notice=2.0,
)


class ReloadTests(unittest.TestCase):
    def setUp(self):
        self.watcher = mock.patch.object(entry_module, "KindWatcher").start()
        listener = mock.patch.object(entry_module, "listen").start()
        listener.return_value = None
        self.addCleanup(mock.patch.stopall)
        self.entry = GatewayEntry(mock.Mock(), SETTINGS, mock.Mock(), mock.Mock())
        self.entry.start()

    def pauses(self) -> list[float]:
        options = [call.args[2] for call in self.watcher.call_args_list]
        return [item.pause for item in options if item.kind == SERVERS_KIND]

    def test_changed_drain_notice_changes_the_server_watch_pause(self):
        # With a pause longer than the new notice, an entry would still send requests to
        # servers that have already shut down.
        self.entry.reload(replace(SETTINGS, drain_notice=1.0))
        before, after = self.pauses()
        self.assertAlmostEqual(after, before / 2)

    def test_unchanged_settings_keep_the_watchers(self):
        self.entry.reload(replace(SETTINGS))
        self.assertEqual(len(self.pauses()), 1)


if __name__ == "__main__":
    unittest.main()
