"""Tests of ``fighitch.gateway.part_quarantine``."""

import time
import unittest
from unittest import mock

from fighitch.core.gateway.settings import Address
from fighitch.gateway.part_quarantine import PartQuarantine
from fighitch.platform.quarantine import QUARANTINE_KIND
from fighitch.runtime.event_loop import EventLoop
from fighitch.tests.gateway_helpers import server
from standins.platform_fleet import wait_until
from standins.platform_store import PlatformStore

PARTS = ("first", "bad")


class PartQuarantineTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.loop = EventLoop(clock=lambda: self.now)
        self.on_change = mock.Mock()
        self.spread = mock.Mock()
        self.calls = mock.Mock()
        self.quarantine = PartQuarantine(
            self.loop,
            Address("127.0.0.1", 1),
            mock.Mock(),
            spread=self.spread,
            on_change=self.on_change,
            calls=self.calls,
        )

    def crash(self, name: str) -> None:
        self.now += 1.0
        self.quarantine.record_down(server(name))
        self.quarantine.record_lost(server(name), PARTS)

    def test_relays_learn_of_a_blocked_part_after_the_callback_that_found_it(self):
        # The loss of a request can be the evidence that blocks its part. The relay of
        # this request was then rejected while it handled the loss, and told its caller
        # that the request had not run.
        for name in ("e1", "e2", "e3"):
            self.crash(name)
        self.assertTrue(self.quarantine.blocks(PARTS))
        self.on_change.assert_not_called()
        self.loop.run_once(0)
        self.on_change.assert_called_once()

    def test_crash_is_reported_at_once(self):
        self.crash("e1")
        self.spread.assert_called_once()

    def test_crash_is_reported_again_to_other_agents(self):
        # The first agents may be cut off from other entries.
        self.crash("e1")
        for _ in range(20):
            self.now += 0.2
            self.quarantine.run_housekeeping()
        self.assertTrue(3 <= self.spread.call_count <= 6, self.spread.call_count)

    def test_stored_group_is_deleted_once_its_engines_prove_to_run(self):
        # A later start of an entry would block the parts by the stored object.
        for name in ("e1", "e2", "e3"):
            self.crash(name)
        self.write_due()
        (_, request, on_response), _ = self.calls.call.call_args
        self.assertTrue(request.startswith(b"POST "))
        on_response(201, b"")
        self.quarantine.record_serving(server("e3"), recovered=True)
        for status in (503, 200):
            self.calls.call.reset_mock()
            self.write_due()
            (_, request, on_response), _ = self.calls.call.call_args
            self.assertTrue(request.startswith(b"DELETE "))
            on_response(status, b"")
        self.calls.call.reset_mock()
        self.write_due()
        self.calls.call.assert_not_called()

    def write_due(self) -> None:
        self.now += 2.0
        self.quarantine.run_housekeeping()


class StoredGroupTests(unittest.TestCase):
    """The object of a quarantined group in a store."""

    def setUp(self):
        self.store = PlatformStore()
        self.store.start()
        self.addCleanup(self.store.stop)
        self.loop = EventLoop()
        self.quarantine = PartQuarantine(
            self.loop,
            Address(self.store.host, self.store.port),
            mock.Mock(),
            spread=mock.Mock(),
            on_change=mock.Mock(),
        )

    def is_stored(self) -> bool:
        self.quarantine.run_housekeeping()
        self.loop.run_once(0.05)
        return bool(self.store.names(QUARANTINE_KIND))

    def test_object_is_removed_once_an_engine_proves_to_run(self):
        for name in ("e1", "e2", "e3"):
            self.quarantine.record_lost(server(name), PARTS)
            self.quarantine.record_down(server(name))
            # Crashes that are closer together count as one moment.
            time.sleep(0.3)
        self.assertTrue(wait_until(self.is_stored))
        self.quarantine.record_serving(server("e3"), recovered=True)
        self.assertTrue(wait_until(lambda: not self.is_stored()))
        self.assertFalse(self.quarantine.blocks(PARTS))


if __name__ == "__main__":
    unittest.main()
