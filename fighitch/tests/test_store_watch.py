"""Tests of ``fighitch.gateway.store_watch``."""

import unittest
from unittest import mock

from fighitch.core.gateway.settings import Address
from fighitch.gateway import store_watch
from fighitch.gateway.store_watch import KindWatcher, WatchOptions

EMPTY_LIST = b'{"items": [], "HasMore": false, "At": 5}'


class RetryTests(unittest.TestCase):
    """Back-off of failed store calls, which are billed and made by every entry."""

    def setUp(self):
        self.loop = mock.Mock()
        self.loop.now.return_value = 0.0
        client = mock.patch.object(store_watch, "SerialClient").start()
        self.addCleanup(mock.patch.stopall)
        client.return_value.address = Address("10.0.0.1", 80)
        self.client = client.return_value
        self.watcher = KindWatcher(
            self.loop,
            Address("10.0.0.1", 80),
            WatchOptions("servers"),
            mock.Mock(),
            on_change=mock.Mock(),
        )

    def respond(self, status: int, body: bytes = b"") -> None:
        self.client.call.call_args.args[1](status, body)

    def retry_delays(self, failures: int) -> list[float]:
        """Fails successive calls; returns the delays before their retries."""
        delays = []
        for _ in range(failures):
            self.respond(503)
            delay, call = self.loop.call_later.call_args.args
            delays.append(delay)
            call()
        return delays

    def test_watcher_without_a_copy_retries_more_often(self):
        self.watcher.start()
        without_copy = self.retry_delays(8)
        self.respond(200, EMPTY_LIST)
        self.loop.call_later.call_args.args[1]()
        with_copy = self.retry_delays(8)
        self.assertLess(max(without_copy), max(with_copy))

    def test_backoff_grows_and_resets_after_each_contact(self):
        self.watcher.start()
        first = self.retry_delays(5)
        self.assertEqual(first, sorted(first))
        self.respond(200, EMPTY_LIST)
        self.loop.call_later.call_args.args[1]()
        self.assertEqual(self.retry_delays(1), first[:1])


if __name__ == "__main__":
    unittest.main()
