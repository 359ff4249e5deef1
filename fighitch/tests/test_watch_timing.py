"""Calls of many entries that watch the same kinds of the store."""

import unittest
from unittest import mock

from fighitch.core.gateway.settings import Address
from fighitch.core.gateway.watch_timing import WatchOptions, WatchTiming, watch_timing
from fighitch.gateway.store_watch import KindWatcher

DRAIN_NOTICE = 3.0


def timing(entries: int, **options: float) -> WatchTiming:
    arguments = {"drain_notice": DRAIN_NOTICE, "max_watch": 1.8} | options
    return watch_timing(entries=entries, **arguments)


def calls_per_second(entries: int) -> float:
    """Calls of all entries while servers change all the time and nothing else does."""
    waits = timing(entries)
    servers = 1 / waits.servers_pause
    others = (waits.configuration_wait, waits.versions_wait, waits.quarantines_wait)
    return entries * (servers + sum(1 / wait for wait in others))


class WatchTimingTests(unittest.TestCase):
    def test_calls_grow_more_slowly_than_many_entries(self):
        # Guards against bills that grow with entries times kinds.
        per_entry = [calls_per_second(count) / count for count in (4, 16, 37, 700)]
        self.assertEqual(per_entry[0], per_entry[1])
        self.assertLess(per_entry[2], 0.75 * per_entry[1])
        self.assertEqual(per_entry[2], per_entry[3])

    def test_a_drain_is_read_within_its_notice_with_any_number_of_entries(self):
        # A failed call may take its whole timeout of 2 s only if it is a watch that
        # waits; one after a pause has to be repeated within the rest of the notice.
        for entries in (1, 16, 17, 700):
            pause = timing(entries).servers_pause
            self.assertLessEqual(pause, 0.6 * DRAIN_NOTICE)

    def test_waits_stay_within_the_bounds_for_outages_and_keys(self):
        for entries in (1, 700):
            waits = timing(entries, max_configuration_watch=1.25)
            self.assertEqual(waits.servers_wait, 1.8)
            self.assertEqual(waits.configuration_wait, 1.25)
        self.assertEqual(timing(1, max_watch=9.0).servers_wait, 2.0)


class RecheckTests(unittest.TestCase):
    """A watch with a long wait whose response was lost."""

    def setUp(self):
        self.calls = mock.Mock()
        loop = mock.Mock()
        loop.now.return_value = 0.0
        self.watcher = KindWatcher(
            loop,
            Address("127.0.0.1", 1),
            WatchOptions("versions", wait=10.0),
            mock.Mock(),
            on_change=mock.Mock(),
            calls=self.calls,
        )

    def targets(self) -> list[bytes]:
        return [call.args[1].split(b" ")[1] for call in self.calls.call.mock_calls]

    def test_watch_that_waits_is_repeated_without_a_wait(self):
        # Guards against versions that stay unknown until the end of the wait.
        self.watcher._watch()
        late_response = self.calls.call.call_args.args[2]
        self.watcher.recheck()
        self.assertEqual(len(self.targets()), 2)
        self.assertNotIn(b"WaitMs=10", self.targets()[1])
        # The response to the first call, if it comes after all, changes nothing.
        late_response(500, b"")
        self.assertFalse(self.watcher.is_lost)

    def test_nothing_is_repeated_between_calls(self):
        self.watcher.recheck()
        self.watcher._watch()
        self.calls.call.call_args.args[2](500, b"")
        self.watcher.recheck()
        self.assertEqual(len(self.targets()), 1)

    def test_list_of_a_restored_store_is_not_given_up(self):
        # The watch that waited is given up for the list. Taken for one that still
        # waits, it was repeated from a revision of the earlier epoch, and the list of
        # the restored store never arrived.
        self.watcher._watch()
        self.watcher._restart()
        listed = self.calls.call.call_args
        self.watcher.recheck()
        self.assertIs(self.calls.call.call_args, listed)


if __name__ == "__main__":
    unittest.main()
