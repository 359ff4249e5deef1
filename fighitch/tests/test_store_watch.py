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


class UnreadableObjectTests(unittest.TestCase):
    """Objects of other writers must not end the watch of a kind.

    An exception while one object was handled left the watcher without a next call, so
    that the entry kept its list of servers as it was until it was restarted.
    """

    def setUp(self):
        self.loop = mock.Mock()
        self.loop.now.return_value = 0.0
        client = mock.patch.object(store_watch, "SerialClient").start()
        self.addCleanup(mock.patch.stopall)
        client.return_value.address = Address("10.0.0.1", 80)
        self.client = client.return_value
        self.log = mock.Mock()
        self.handled: list[str] = []

    def handle(self, item):
        if item.name == "bad":
            raise ValueError("invalid literal for int()")
        self.handled.append(item.name)

    def handle_list(self, items):
        for item in items:
            self.handle(item)

    def start(self, **options) -> None:
        KindWatcher(
            self.loop,
            Address("10.0.0.1", 80),
            WatchOptions("servers"),
            self.log,
            on_change=self.handle,
            **options,
        ).start()

    def respond(self, body: bytes) -> None:
        self.client.call.call_args.args[1](200, body)

    def assert_next_call(self) -> None:
        calls = self.client.call.call_count
        self.loop.call_later.call_args.args[1]()
        self.assertEqual(self.client.call.call_count, calls + 1)

    def test_object_that_cannot_be_handled_is_skipped(self):
        items = b",".join(
            b'{"Metadata": {"Name": "%s", "Revision": 1}, "Spec": {}}' % name
            for name in (b"bad", b"good")
        )
        self.start()
        self.respond(b'{"items": [%s], "At": 5}' % items)
        self.assertEqual(self.handled, ["good"])
        self.log.event.assert_called_once()
        self.assert_next_call()

    def test_list_that_cannot_be_handled_does_not_end_the_watch(self):
        self.start(on_list=self.handle_list)
        item = b'{"Metadata": {"Name": "bad", "Revision": 1}, "Spec": {}}'
        self.respond(b'{"items": [%s], "At": 5}' % item)
        self.assert_next_call()

    def test_unreadable_response_ends_the_use_of_its_connection(self):
        # A late copy of a list in place of a watch would shift all later responses.
        self.start()
        self.respond(EMPTY_LIST)
        self.assert_next_call()
        self.respond(EMPTY_LIST)
        self.client.close.assert_called_once()

    def test_deeply_nested_object_does_not_end_the_watch(self):
        nested = b"[" * 100_000 + b"]" * 100_000
        item = b'{"Metadata": {"Name": "x", "Revision": 1}, "Spec": %s}' % nested
        self.start()
        self.respond(b'{"items": [%s], "At": 5}' % item)
        self.assert_next_call()


if __name__ == "__main__":
    unittest.main()
