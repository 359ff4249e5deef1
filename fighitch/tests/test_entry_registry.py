"""Tests of ``fighitch.gateway.entry_registry``."""

import signal
import time
import unittest
from collections.abc import Callable
from unittest import mock

from fighitch.core.gateway.entry_count import EntryCount
from fighitch.core.gateway.settings import Address
from fighitch.gateway.entry_registry import EntryRegistry
from fighitch.gateway.store_calls import StoreCalls
from fighitch.platform.entries import ENTRIES_KIND
from fighitch.runtime.event_loop import EventLoop
from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_fleet import wait_until
from standins.platform_store import PlatformStore

TIMEOUT = 10.0


class RegistryTestCase(unittest.TestCase):
    def setUp(self):
        self.store = PlatformStore()
        self.store.start()
        self.addCleanup(self.store.stop)
        self.skipped = 0.0
        self.loop = EventLoop(clock=lambda: time.monotonic() + self.skipped)
        self.address = Address(self.store.host, self.store.port)
        self.registries: list[EntryRegistry] = []
        self.loop.call_every(0.05, self.run_housekeeping)

    def run_housekeeping(self) -> None:
        for registry in self.registries:
            registry.run_housekeeping(is_needed=True)

    def add(self, name: str) -> EntryCount:
        count = EntryCount()
        log = mock.Mock()
        registry = EntryRegistry(
            self.loop,
            self.address,
            log,
            entry=name,
            entries=count,
            calls=StoreCalls(self.loop, log),
        )
        self.addCleanup(registry.stop)
        self.registries.append(registry)
        return count

    def run_until(self, condition: Callable[[], bool]) -> None:
        end = time.monotonic() + TIMEOUT
        while not condition() and time.monotonic() < end:
            self.loop.run_once(0.02)
        self.assertTrue(condition())

    def stored(self) -> list[str]:
        return sorted(self.store.names(ENTRIES_KIND))

    def posts(self) -> int:
        return sum(method == "POST" for method, *_ in self.store.writes)


class EntryRegistryTests(RegistryTestCase):
    def test_no_call_without_a_quota(self):
        # Guards against costs for deployments without quotas.
        self.add("e0")
        registry = self.registries.pop()
        registry.run_housekeeping(is_needed=False)
        registry.stop()
        self.loop.run_once(0.02)
        self.assertEqual(self.store.calls, 0)

    def test_new_entries_count_each_other_before_they_spend(self):
        # Guards against a first list from before the others have registered.
        counts = [self.add(f"e{number}") for number in range(12)]
        self.run_until(lambda: len(self.stored()) == 12)
        self.assertFalse(any(count.is_known for count in counts))
        self.run_until(lambda: all(count.value == 12 for count in counts))
        self.skipped += 10.0
        self.run_until(lambda: all(count.is_known for count in counts))
        self.assertEqual({count.own_divisor for count in counts}, {12})

    def test_restarted_entry_knows_the_number_at_once(self):
        # Guards against refusals after each restart; the object of the process before
        # is still there.
        for number in range(12):
            self.store.put(ENTRIES_KIND, f"e{number}", {})
        count = self.add("e3")
        self.run_until(lambda: count.is_known)
        self.assertEqual((count.value, self.skipped), (12, 0.0))
        self.assertEqual(self.posts(), 1)

    def test_number_stays_while_the_store_is_away(self):
        # Guards against a smaller number during an outage.
        for number in range(6):
            self.store.put(ENTRIES_KIND, f"e{number}", {})
        count = self.add("e0")
        self.run_until(lambda: count.is_known)
        self.store.down = True
        self.skipped += 1_000.0
        for _ in range(20):
            self.loop.run_once(0.02)
        self.assertEqual(count.value, 6)

    def test_write_without_an_answer_may_be_new(self):
        # Guards against a conflict with the own lost write that is taken for an object
        # that the others know.
        calls = mock.Mock()
        calls.record_listed.return_value = (None, None)
        count = EntryCount()
        registry = EntryRegistry(
            self.loop, self.address, mock.Mock(), entry="e", entries=count, calls=calls
        )
        registry.run_housekeeping(is_needed=True)
        calls.call.call_args.args[2](0, b"")
        list_call = calls.call.call_args.args[2]
        list_call(200, b'{"items": [], "at": 5}')
        self.skipped += 1.5
        registry.run_housekeeping(is_needed=True)
        calls.call.call_args.args[2](409, b"")
        registry.run_housekeeping(is_needed=True)
        self.assertFalse(count.is_known)
        self.skipped += 10.0
        registry.run_housekeeping(is_needed=True)
        self.assertTrue(count.is_known)

    def test_deleted_object_is_written_again(self):
        # Guards against a late deletion by the process before, of the same name.
        count = self.add("e0")
        self.run_until(lambda: self.stored() == ["e0"])
        self.skipped += 10.0
        self.run_until(lambda: count.is_known)
        self.store.remove(ENTRIES_KIND, "e0")
        self.run_until(lambda: self.posts() == 2)
        self.run_until(lambda: self.stored() == ["e0"])
        self.assertTrue(count.is_known)

    def test_restored_store_gets_the_objects_again(self):
        # Guards against a number that falls when a copy lacks the objects.
        self.store.take_copy()
        counts = [self.add(f"e{number}") for number in range(6)]
        self.run_until(lambda: all(count.value == 6 for count in counts))
        self.store.restore_copy()
        self.assertEqual(self.stored(), [])
        lowest = [6]

        def is_written() -> bool:
            lowest.extend(count.value for count in counts)
            return len(self.stored()) == 6

        self.run_until(is_written)
        self.assertEqual(min(lowest), 6)

    def test_planned_stop_deletes_the_object(self):
        # Guards against shares of entries that were stopped for good.
        self.store.put(ENTRIES_KIND, "e1", {})
        count = self.add("e0")
        self.run_until(lambda: count.value == 2)
        self.registries.pop().stop()
        self.run_until(lambda: self.stored() == ["e1"])

    def test_object_of_a_replaced_entry_is_deleted(self):
        # Guards against entries that ended without a planned stop, whose successors
        # have other names.
        for name in ("e0", "e1", "gone"):
            self.store.put(ENTRIES_KIND, name, {})
        count = self.add("e0")
        self.run_until(lambda: count.value == 3)
        for _ in range(7):
            self.registries[0].record_reported(["e0", "e1"])
            self.skipped += 60.0
        self.run_until(lambda: self.stored() == ["e0", "e1"])
        self.run_until(lambda: count.value == 3)
        self.skipped += 31.0
        self.run_until(lambda: count.value == 2)


class ProcessTests(FleetTestCase):
    """Entries as processes, with the platform's store."""

    def stored(self) -> set[str]:
        return set(self.fleet.store.names(ENTRIES_KIND))

    def test_entries_are_registered_while_they_run(self):
        # Guards against objects in deployments without quotas, entries that are not
        # counted, and objects that outlast a planned stop.
        self.assertEqual(self.stored(), set())
        self.fleet.tenants = [
            {"Name": "a", "ApiKeys": ["sha256:" + "0" * 64], "RatePerS": 100.0}
        ]
        self.fleet.put_configuration()
        count = len(self.fleet.entries)
        self.assertTrue(wait_until(lambda: len(self.stored()) == count))
        self.fleet.entries[0].signal(signal.SIGTERM)
        self.assertTrue(wait_until(lambda: len(self.stored()) == count - 1))


if __name__ == "__main__":
    unittest.main()
