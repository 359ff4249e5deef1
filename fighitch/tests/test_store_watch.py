"""Tests of ``fighitch.gateway.store_watch``."""

import unittest
from unittest import mock

from fighitch.core.gateway.settings import Address
from fighitch.gateway import store_watch
from fighitch.gateway.store_calls import StoreCalls
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

    def test_check_after_a_failed_watch_allows_for_a_slow_store(self):
        # A store that answers each call after a second must not be taken for lost.
        self.watcher.start()
        self.respond(200, EMPTY_LIST)
        self.loop.call_later.call_args.args[1]()
        self.respond(0)
        self.loop.call_later.call_args.args[1]()
        call = self.client.call.call_args
        self.assertIn(b"WaitMs=0 ", call.args[0])
        self.assertGreaterEqual(call.kwargs["timeout"], 2.0)

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


def listed(name: str, spec: bytes = b"{}", revision: int = 1) -> bytes:
    metadata = b'{"Name": "%s", "Revision": %d}' % (name.encode(), revision)
    return b'{"Metadata": %s, "Spec": %s}' % (metadata, spec)


def nested(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


class OddObjectTests(unittest.TestCase):
    """One object that can't be read must not hide the others of its list.

    msgspec raises an error for a whole page if it can't skip over one of its items. The
    page was requested again for ever, so that the process stopped following the kind.
    """

    SPECS = {
        "nested 1,100 deep": nested(1_100),
        "nested 100,000 deep": nested(100_000),
        "objects nested deep": b'{"a":' * 1_100 + b"1" + b"}" * 1_100,
        "infinite number": b'{"Slots": Infinity}',
        "no number": b'{"Slots": NaN}',
        "number with 5,000 digits": b'{"Slots": %s}' % (b"9" * 5_000),
        "brackets in strings": b'{"a": "]}[{\\"", "b": %s}' % nested(1_100),
        "lone surrogate": b'{"Zone": "\\ud800"}',
        "control character": b'{"Zone": "\x01"}',
        "no UTF-8": b'{"Zone": "\xff"}',
    }

    def setUp(self):
        self.loop = mock.Mock()
        self.loop.now.return_value = 0.0
        client = mock.patch.object(store_watch, "SerialClient").start()
        self.addCleanup(mock.patch.stopall)
        client.return_value.address = Address("10.0.0.1", 80)
        self.client = client.return_value
        self.log = mock.Mock()
        self.seen: list[str] = []
        self.removed: list[str] = []
        KindWatcher(
            self.loop,
            Address("10.0.0.1", 80),
            WatchOptions("servers"),
            self.log,
            on_change=self.on_change,
        ).start()

    def on_change(self, item):
        (self.removed if item.removed else self.seen).append(item.name)

    def respond(self, body: bytes) -> None:
        self.client.call.call_args.args[1](200, body)

    def respond_to_list(self, *items: bytes, more: bool = False) -> None:
        has_more = b"true" if more else b"false"
        self.respond(
            b'{"items": [%s], "HasMore": %s, "At": 5}' % (b",".join(items), has_more)
        )

    def respond_to_watch(self, *objects: bytes, removed: bool = False) -> None:
        tombstone = b"true" if removed else b"false"
        events = b",".join(
            b'{"Object": %s, "Tombstone": %s}' % (item, tombstone) for item in objects
        )
        self.respond(b'{"events": [%s], "At": 9}' % events)

    def start_watch(self) -> None:
        self.loop.call_later.call_args.args[1]()

    def requested(self) -> str:
        return self.client.call.call_args.args[0].split(b" ")[1].decode()

    def test_other_objects_of_a_list_are_in_force(self):
        for case, spec in self.SPECS.items():
            for position in range(3):
                with self.subTest(case, position=position):
                    self.doCleanups()
                    self.setUp()
                    items = [listed("a"), listed("c")]
                    items.insert(position, listed("b", spec))
                    self.respond_to_list(*items)
                    self.assertLessEqual({"a", "c"}, set(self.seen))
                    self.start_watch()
                    self.assertIn("Watch=5", self.requested())

    def test_other_objects_of_a_watch_are_in_force(self):
        for case, spec in self.SPECS.items():
            with self.subTest(case):
                self.doCleanups()
                self.setUp()
                self.respond_to_list()
                self.start_watch()
                self.respond_to_watch(listed("a"), listed("b", spec), listed("c"))
                self.assertLessEqual({"a", "c"}, set(self.seen))
                self.start_watch()
                self.assertIn("Watch=9", self.requested())

    def test_list_goes_on_after_an_odd_object_at_the_end_of_a_page(self):
        for items in (
            (listed("a"), listed("b", nested(1_100))),
            (listed("b", b"NaN"),),
        ):
            with self.subTest(items=len(items)):
                self.doCleanups()
                self.setUp()
                self.respond_to_list(*items, more=True)
                self.assertEqual(self.requested(), "/objects/servers?after=b")
                self.respond_to_list(listed("c"))
                self.assertIn("c", self.seen)

    def test_name_with_a_lone_surrogate_is_no_obstacle_to_the_next_page(self):
        self.respond_to_list(listed("\\ud800"), more=True)
        self.assertEqual(self.requested(), "/objects/servers?after=%ED%A0%80")
        self.respond_to_list(listed("c"))
        self.assertIn("c", self.seen)

    def test_list_ends_if_the_next_page_does_not_advance(self):
        self.respond_to_list(listed("a"), more=True)
        self.respond_to_list(listed("a"), more=True)
        self.start_watch()
        self.assertIn("Watch=5", self.requested())

    def test_object_that_becomes_odd_is_reported(self):
        # Otherwise a server would stay in use although its entry names it no longer.
        self.respond_to_list(listed("b"))
        self.start_watch()
        self.respond_to_watch(listed("b", nested(1_100), revision=6))
        self.assertEqual(self.seen, ["b", "b"])

    def test_removal_of_an_odd_object_is_reported(self):
        self.respond_to_list(listed("b", nested(1_100)))
        self.start_watch()
        self.respond_to_watch(listed("b", nested(1_100), revision=6), removed=True)
        self.assertEqual(self.removed, ["b"])

    def test_odd_object_can_be_replaced(self):
        self.respond_to_list(listed("b", nested(1_100)))
        self.start_watch()
        self.respond_to_watch(listed("b", revision=6))
        self.assertEqual(self.seen, ["b", "b"])

    def test_items_without_a_name_are_counted(self):
        self.respond_to_list(nested(1_100), b'{"Metadata": []}', listed("c"), b"NaN")
        self.assertEqual(self.seen, ["c"])
        self.log.event.assert_called_once_with(
            "store_items_unreadable", kind="servers", count=3
        )

    def test_truncated_page_is_unreadable(self):
        self.respond(b'{"items": [%s, %s' % (listed("a"), listed("b", b"NaN")))
        self.assertEqual(self.seen, [])
        self.assertEqual(
            self.log.event.call_args_list[0].args, ("store_answer_unreadable",)
        )


class RestoreNoticeTests(unittest.TestCase):
    """The time between the notice of a restore and the list that follows it."""

    def setUp(self):
        self.loop = mock.Mock()
        self.loop.now.return_value = 100.0
        client = mock.patch.object(store_watch, "SerialClient").start()
        self.addCleanup(mock.patch.stopall)
        client.return_value.address = Address("10.0.0.1", 80)
        self.calls = StoreCalls(self.loop, mock.Mock())
        self.on_restored = mock.Mock()
        self.calls._record(1, "config")
        self.watcher = self.build_watcher()
        self.watcher.start()
        self.watcher._on_list_response(200, EMPTY_LIST)

    def build_watcher(self) -> KindWatcher:
        return KindWatcher(
            self.loop,
            Address("10.0.0.1", 80),
            WatchOptions("servers"),
            mock.Mock(),
            on_change=mock.Mock(),
            on_restored=self.on_restored,
            calls=self.calls,
        )

    def test_restore_is_reported_by_a_watcher_that_replaces_the_one_that_noticed_it(
        self,
    ):
        # Guards against a reload of the settings that hides a restore.
        self.calls._record(2, "config")
        self.watcher.stop()
        watcher = self.build_watcher()
        watcher.start()
        watcher._on_list_response(200, EMPTY_LIST)
        self.on_restored.assert_called_once()

    def test_copy_is_not_current_until_it_is_listed_again(self):
        # Guards against 404 for a route that the store is about to get again.
        self.assertTrue(self.watcher.is_current(100.0))
        self.calls._record(2, "config")
        self.assertFalse(self.watcher.is_current(100.0))


if __name__ == "__main__":
    unittest.main()
