"""Stores that are restored from an older copy.

Revisions are given out again after a restore. Watches went on from a revision of the
lost history and missed changes, quarantines that the copy lacked were taken for deleted
ones, and fencing tokens were lost.
"""

import time
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

import msgspec

from fighitch.core.gateway.quarantine import StoredQuarantine
from fighitch.core.gateway.settings import Address
from fighitch.gateway import engine_control
from fighitch.gateway.engine_control import EngineClaim
from fighitch.gateway.part_quarantine import PartQuarantine
from fighitch.gateway.peer_messages import Heartbeat
from fighitch.gateway.store_calls import StoreCalls
from fighitch.gateway.store_watch import KindWatcher, WatchOptions
from fighitch.platform.quarantine import QUARANTINE_KIND, quarantine_name
from fighitch.runtime.event_loop import EventLoop
from fighitch.tests.test_gateway_entry import SETTINGS
from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_backends import PlatformBackend
from standins.platform_fleet import wait_until
from standins.platform_store import PlatformStore

HOLDERS_KIND = "engine-holders"
ENGINE = Address("127.0.0.1", 9)
TIMEOUT = 6.0


class StoreTestCase(unittest.TestCase):
    def setUp(self):
        self.store = PlatformStore()
        self.store.start()
        self.addCleanup(self.store.stop)
        self.loop = EventLoop()
        self.address = Address(self.store.host, self.store.port)
        self.log = mock.Mock()
        self.calls = StoreCalls(self.loop, self.log)

    def run_until(
        self, condition: Callable[[], bool], timeout: float = TIMEOUT
    ) -> bool:
        end = time.monotonic() + timeout
        while not condition() and time.monotonic() < end:
            self.loop.run_once(0.02)
        return condition()

    def events(self, name: str) -> list[dict[str, object]]:
        return [
            call.kwargs for call in self.log.event.mock_calls if call.args[0] == name
        ]


class WatchTests(StoreTestCase):
    def setUp(self):
        super().setUp()
        self.seen: dict[str, bytes | None] = {}
        self.restored = 0

    def on_change(self, item) -> None:
        self.seen[item.name] = None if item.removed else bytes(item.content)

    def on_list(self, items) -> None:
        self.seen.clear()
        for item in items:
            self.on_change(item)

    def on_restored(self) -> None:
        self.restored += 1

    def watch(self, kind: str = "things", wait: float = 2.0) -> KindWatcher:
        watcher = KindWatcher(
            self.loop,
            self.address,
            WatchOptions(kind, wait=wait),
            self.log,
            on_list=self.on_list,
            on_change=self.on_change,
            on_restored=self.on_restored,
            calls=self.calls,
        )
        self.addCleanup(watcher.stop)
        watcher.start()
        return watcher

    def pass_known_revision(self) -> None:
        """Raises the revision above the one before the restore."""
        for number in range(10):
            self.store.put("others", "x", number)

    def test_changes_are_not_missed_if_revisions_are_given_out_again(self):
        self.store.put("things", "a", 1)
        self.store.take_copy()
        self.watch()
        self.store.put("things", "b", 1)
        self.store.put("things", "a", 2)
        self.assertTrue(
            self.run_until(lambda: self.seen == {"a": b"2", "b": b"1"}), self.seen
        )
        self.store.restore_copy()
        self.store.put("things", "c", 1)
        self.store.put("things", "a", 3)
        self.pass_known_revision()
        self.assertTrue(
            self.run_until(lambda: self.seen == {"a": b"3", "c": b"1"}), self.seen
        )
        self.assertEqual(self.restored, 1)

    def test_two_restores_in_quick_succession(self):
        self.store.put("things", "a", 1)
        self.store.take_copy()
        self.watch()
        self.store.put("things", "a", 2)
        self.assertTrue(self.run_until(lambda: self.seen == {"a": b"2"}))
        self.store.restore_copy()
        self.store.put("things", "b", 1)
        self.loop.run_once(0.02)
        self.store.restore_copy()
        self.store.put("things", "c", 1)
        self.pass_known_revision()
        self.assertTrue(
            self.run_until(lambda: self.seen == {"a": b"1", "c": b"1"}), self.seen
        )

    def test_watch_without_a_response_ends_when_another_watch_sees_the_restore(self):
        # The long watches of rarely changed kinds would hear of a restore last.
        self.store.put("things", "a", 1)
        self.store.take_copy()
        self.watch(wait=30.0)
        self.store.put("things", "a", 2)
        self.assertTrue(self.run_until(lambda: self.seen == {"a": b"2"}))
        self.run_until(lambda: False, 0.1)
        self.store.restore_copy(cut_watches=False)
        self.store.put("things", "a", 3)
        self.pass_known_revision()
        other = KindWatcher(
            self.loop,
            self.address,
            WatchOptions("others"),
            self.log,
            on_change=lambda _item: None,
            calls=self.calls,
        )
        self.addCleanup(other.stop)
        other.start()
        self.assertTrue(self.run_until(lambda: self.seen == {"a": b"3"}), self.seen)

    def test_restore_is_logged_with_both_epochs(self):
        self.watch()
        self.assertTrue(self.run_until(lambda: self.calls.epoch == 1))
        self.store.restore_copy()
        self.assertTrue(self.run_until(lambda: self.restored == 1))
        (event,) = self.events("store_epoch")
        self.assertEqual(
            (event["previous"], event["epoch"], event["kind"]), (1, 2, "things")
        )

    def test_responses_without_an_epoch_are_served_as_before(self):
        self.store.states_epoch = False
        self.store.put("things", "a", 1)
        self.store.take_copy()
        self.watch()
        self.store.put("things", "a", 2)
        self.assertTrue(self.run_until(lambda: self.seen == {"a": b"2"}))
        self.store.restore_copy()
        self.assertTrue(self.run_until(lambda: self.seen == {"a": b"1"}))
        calls = self.store.calls
        self.run_until(lambda: False, 0.5)
        self.assertLess(self.store.calls - calls, 3)
        self.assertEqual(self.restored, 0)

    def test_epoch_that_some_responses_lack_causes_no_repeated_lists(self):
        self.watch()
        self.assertTrue(self.run_until(lambda: self.calls.epoch == 1))
        self.store.states_epoch = False
        self.store.put("things", "a", 1)
        self.assertTrue(self.run_until(lambda: self.seen == {"a": b"1"}))
        self.store.states_epoch = True
        self.store.put("things", "a", 2)
        self.assertTrue(self.run_until(lambda: self.seen == {"a": b"2"}))
        self.assertEqual(self.events("store_epoch"), [])

    def test_copy_is_not_current_until_others_could_write_again(self):
        # A route that was acknowledged and lost by the restore is not answered with 404
        # before the operator has written it again.
        watcher = self.watch()
        self.assertTrue(self.run_until(lambda: self.calls.epoch == 1))
        self.assertTrue(watcher.is_current(self.loop.now()))
        self.store.restore_copy()
        self.assertTrue(self.run_until(lambda: self.restored == 1))
        self.assertFalse(watcher.is_current(self.loop.now()))
        self.assertTrue(
            self.run_until(lambda: watcher.is_current(self.loop.now())), "not current"
        )

    def test_watcher_that_replaces_another_one_notices_a_restore_in_between(self):
        # A changed setting replaces the watchers of an entry.
        first = self.watch()
        self.assertTrue(self.run_until(lambda: self.calls.epoch == 1))
        first.stop()
        self.store.restore_copy()
        self.watch()
        self.assertTrue(self.run_until(lambda: self.calls.epoch == 2))
        self.assertTrue(self.run_until(lambda: self.restored == 1))


class EarlierHeartbeat(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Heartbeat of builds that know no epoch."""


class HeartbeatTests(unittest.TestCase):
    def test_heartbeats_of_earlier_and_later_builds_are_understood(self):
        later = msgspec.msgpack.encode(Heartbeat(3))
        msgspec.msgpack.decode(later, type=EarlierHeartbeat)
        earlier = msgspec.msgpack.encode(EarlierHeartbeat())
        self.assertIsNone(msgspec.msgpack.decode(earlier, type=Heartbeat).store_epoch)


class LateResponseTests(unittest.TestCase):
    """Responses from before a restore that arrive after it."""

    def setUp(self):
        self.loop = mock.Mock()
        self.loop.now.return_value = 0.0
        self.client = mock.Mock()
        self.calls = StoreCalls(self.loop, mock.Mock())
        self.responses: list[tuple[int, bytes]] = []

    def respond(self, epoch: bytes, body: bytes = b"x") -> None:
        self.calls.call(
            self.client,
            b"",
            lambda *response: self.responses.append(response),
            timeout=1.0,
            subject="things",
        )
        sent = self.client.call.call_args
        sent.kwargs["on_head"](mock.Mock(get=lambda _name: epoch))
        sent.args[1](200, body)

    def test_acknowledgement_of_an_earlier_epoch_counts_as_no_response(self):
        self.respond(b"3")
        self.respond(b"2")
        self.respond(b"3")
        self.assertEqual(self.responses, [(200, b"x"), (0, b""), (200, b"x")])
        self.client.close.assert_called_once()


class QuarantineTests(StoreTestCase):
    PARTS = frozenset({"bad"})

    def setUp(self):
        super().setUp()
        self.entries = [self.add_entry() for _ in range(8)]
        until_ms = round((time.time() + 600) * 1_000)
        self.stored = StoredQuarantine(self.PARTS, until_ms)
        self.name = quarantine_name(self.PARTS)
        self.store.take_copy()
        self.put(self.stored)
        self.assertTrue(self.run_until(lambda: self.blocking() == len(self.entries)))

    def add_entry(self) -> PartQuarantine:
        calls = StoreCalls(self.loop, self.log)
        quarantine = PartQuarantine(
            self.loop,
            self.address,
            self.log,
            spread=mock.Mock(),
            on_change=mock.Mock(),
            calls=calls,
        )
        watcher = KindWatcher(
            self.loop,
            self.address,
            WatchOptions(QUARANTINE_KIND),
            self.log,
            on_list=quarantine.on_stored_list,
            on_change=quarantine.on_stored_change,
            on_restored=quarantine.on_store_restored,
            calls=calls,
        )
        self.addCleanup(watcher.stop)
        watcher.start()
        self.loop.call_every(0.1, quarantine.run_housekeeping)
        return quarantine

    def put(self, stored: StoredQuarantine) -> None:
        content = {"parts": sorted(stored.parts), "until_ms": stored.until_ms}
        self.store.put(QUARANTINE_KIND, self.name, content)

    def blocking(self) -> int:
        return sum(item.blocks(("bad", "other")) for item in self.entries)

    def is_stored(self) -> bool:
        return self.name in self.store.names(QUARANTINE_KIND)

    def test_lost_quarantine_goes_on_and_is_written_again(self):
        self.store.restore_copy()
        lowest = [len(self.entries)]

        def is_written() -> bool:
            lowest.append(self.blocking())
            return self.is_stored()

        self.assertTrue(self.run_until(is_written))
        self.run_until(lambda: False, 2.5)
        self.assertEqual(min(lowest), len(self.entries))
        self.assertEqual(self.blocking(), len(self.entries))
        stored = self.store.read(QUARANTINE_KIND, self.name)
        self.assertEqual(stored["until_ms"], self.stored.until_ms)
        self.assertLessEqual(len(self.store.writes), 3, self.store.writes)

    def test_deleted_quarantine_is_not_written_again(self):
        self.store.take_copy()
        self.store.remove(QUARANTINE_KIND, self.name)
        self.assertTrue(self.run_until(lambda: self.blocking() == 0))
        self.store.restore_copy()
        self.run_until(lambda: False, 3.0)
        self.assertEqual(self.blocking(), 0)
        self.assertEqual(self.store.writes, [])

    def test_quarantine_that_is_deleted_after_the_restore_ends(self):
        self.store.restore_copy()
        self.assertTrue(self.run_until(self.is_stored))
        self.run_until(lambda: False, 2.5)
        self.store.remove(QUARANTINE_KIND, self.name)
        self.assertTrue(self.run_until(lambda: self.blocking() == 0))
        self.run_until(lambda: False, 1.0)
        self.assertFalse(self.is_stored())

    def test_later_end_is_written_again(self):
        self.store.take_copy()
        later = replace(self.stored, until_ms=self.stored.until_ms + 60_000)
        self.put(later)
        self.run_until(lambda: False, 0.3)
        self.store.restore_copy()

        def is_written() -> bool:
            content = self.store.read(QUARANTINE_KIND, self.name)
            return content["until_ms"] == later.until_ms

        self.assertTrue(self.run_until(is_written))


class ClaimTests(StoreTestCase):
    """Fencing tokens of an engine's holders."""

    def setUp(self):
        super().setUp()
        self.clock = mock.patch.object(engine_control.time, "time").start()
        self.clock.return_value = 1_000.0
        self.addCleanup(mock.patch.stopall)
        self.name = str(ENGINE).replace(":", "-")

    def claim(self, holder: str = "side-1") -> EngineClaim:
        settings = replace(SETTINGS, instance=holder, store=self.address, lease=0.5)
        claim = EngineClaim(self.loop, settings, ENGINE, self.log)
        claim.start()
        self.assertTrue(self.run_until(lambda: claim.token > 0))
        return claim

    def record(self) -> dict[str, object] | None:
        return self.store.read(HOLDERS_KIND, self.name)

    def test_lost_claim_is_written_again(self):
        claim = self.claim()
        self.store.restore_copy()
        claim.record_store_epoch(2)
        self.assertTrue(self.run_until(lambda: self.record() is not None))
        self.assertEqual(self.record(), {"holder": "side-1", "token": claim.token})
        self.assertTrue(claim.may_send_orders())

    def test_next_holder_gets_a_higher_token_though_its_clock_is_behind(self):
        claim = self.claim()
        self.store.restore_copy()
        claim.record_store_epoch(2)
        self.assertTrue(self.run_until(lambda: self.record() is not None))
        self.clock.return_value = 400.0
        following = self.claim("side-2")
        self.assertGreater(following.token, claim.token)
        self.assertFalse(following.may_send_orders())

    def test_older_claim_in_the_copy_is_replaced(self):
        self.claim()
        self.store.take_copy()
        self.clock.return_value = 2_000.0
        claim = self.claim()
        self.store.restore_copy()
        claim.record_store_epoch(2)
        self.assertTrue(
            self.run_until(
                lambda: self.record() == {"holder": "side-1", "token": claim.token}
            )
        )

    def test_claim_that_another_holder_took_is_not_overwritten(self):
        claim = self.claim()
        token = claim.token
        self.store.restore_copy()
        taken = {"holder": "side-2", "token": token + 7}
        self.store.put(HOLDERS_KIND, self.name, taken)
        claim.record_store_epoch(2)
        self.assertTrue(self.run_until(lambda: claim.token != token))
        self.assertFalse(claim.may_send_orders())
        self.assertTrue(self.run_until(claim.may_send_orders))
        self.assertGreater(claim.token, token + 7)

    def test_token_that_an_entry_knows_is_exceeded(self):
        # Guards against a lower token of a claim that the store never recorded.
        claim = self.claim()
        claim.record_known_token(claim.token)
        self.assertEqual(claim.token, self.record()["token"])
        known = claim.token + 5
        claim.record_known_token(known)
        self.assertEqual(claim.token, known + 1)
        self.assertTrue(self.run_until(lambda: self.record()["token"] == known + 1))

    def test_token_that_an_entry_tells_during_a_claim_keeps_the_wait(self):
        # Another holder may still give orders until its lease ends.
        self.claim("side-2")
        settings = replace(SETTINGS, instance="side-1", store=self.address, lease=0.5)
        claim = EngineClaim(self.loop, settings, ENGINE, self.log)
        claim.start()
        self.assertTrue(self.run_until(lambda: claim._lowest_token > 0))
        known = claim._lowest_token + 100_000_000
        claim.record_known_token(known)
        self.assertTrue(self.run_until(lambda: claim.token > 0))
        self.assertEqual(claim.token, known + 1)
        self.assertFalse(claim.may_send_orders())
        self.assertTrue(self.run_until(claim.may_send_orders))

    def test_restore_while_the_engine_is_claimed_again(self):
        # The check read the new claim before its response, took it for an earlier claim
        # of the same holder and skipped the wait for the lease of the other holder.
        claim = self.claim()
        self.store.restore_copy()
        taken = {"holder": "side-2", "token": claim.token + 7}
        self.store.put(HOLDERS_KIND, self.name, taken)
        with mock.patch.object(engine_control.random, "uniform", return_value=0.0):
            claim.record_store_epoch(2)
            self.assertTrue(self.run_until(lambda: claim.token == 0))
            claimed_at = self.loop.now()
            claim.record_store_epoch(3)
            self.assertTrue(self.run_until(claim.may_send_orders))
        self.assertGreaterEqual(self.loop.now() - claimed_at, 0.5)
        self.assertGreater(claim.token, taken["token"])

    def test_known_epoch_needs_no_calls(self):
        claim = self.claim()
        calls = self.store.calls
        for epoch in (None, 1, 1, 0):
            claim.record_store_epoch(epoch)
        self.run_until(lambda: False, 1.3)
        self.assertEqual(self.store.calls, calls)

    def test_second_restore_during_the_check_is_not_missed(self):
        claim = self.claim()
        self.store.restore_copy()
        claim.record_store_epoch(2)
        self.assertTrue(self.run_until(lambda: self.record() is not None))
        self.store.restore_copy()
        claim.record_store_epoch(3)
        self.assertTrue(self.run_until(lambda: self.record() is not None))

    def test_claim_made_by_the_clock_is_written_when_the_store_is_back(self):
        self.store.down = True
        claim = self.claim()
        self.assertIsNone(self.record())
        self.store.down = False
        self.assertTrue(self.run_until(lambda: self.record() is not None))
        self.assertEqual(self.record(), {"holder": "side-1", "token": claim.token})


class RestoredFleetTests(FleetTestCase):
    """Entries and agents while the store is restored."""

    def test_fleet_follows_the_restored_store(self):
        self.assertTrue(wait_until(self.agents_connected))
        self.fleet.store.take_copy()
        route = self.fleet.add_route()
        gone = self.fleet.plain_servers[0]
        self.fleet.store.remove("servers", gone.instance_id)
        self.assertTrue(self.all_served(route))
        self.assertTrue(wait_until(lambda: self.changes(gone, "removed") == 2))
        runs = len(gone.runs)
        self.fleet.store.restore_copy()
        # Longer than the pause between the watches of the servers.
        time.sleep(1.5)
        # The copy lists the server that has left as ready, and lacks the route.
        for number in range(12):
            response = self.fleet.send_request("order", f"o{number}", entry=number % 2)
            self.assertEqual(response.status, 200)
        self.assertEqual(len(gone.runs), runs)
        self.assertEqual(self.changes(gone, "added"), 2)
        self.assertTrue(self.all_served(route))
        # Only a server that lives writes its entry again.
        self.fleet.publish_heartbeat(gone)
        self.assertTrue(wait_until(lambda: self.changes(gone, "added") == 4))
        # A later configuration is in force although revisions were given out again.
        added_route = self.fleet.add_route()
        self.assertTrue(wait_until(lambda: self.all_served(added_route), 2.0))
        for entry in self.fleet.entries:
            self.assertIn("event=store_epoch", entry.log())

    def test_agents_write_their_claims_again(self):
        self.assertTrue(wait_until(self.agents_connected))
        count = len(self.fleet.engines)
        self.assertTrue(wait_until(lambda: len(self.tokens()) == count))
        tokens = self.tokens()
        # The first copy of the store is empty.
        self.fleet.store.restore_copy()
        for server in (*self.fleet.plain_servers, *self.fleet.engines):
            self.fleet.publish_heartbeat(server)
        self.fleet.put_configuration()
        self.assertTrue(wait_until(lambda: self.tokens() == tokens, 6.0))

    def tokens(self) -> dict[str, int]:
        names = self.fleet.store.names(HOLDERS_KIND)
        return {
            name: self.fleet.store.read(HOLDERS_KIND, name)["token"] for name in names
        }

    def changes(self, server: PlatformBackend, change: str) -> int:
        line = f"server={server.instance_id} change={change}"
        return sum(entry.log().count(line) for entry in self.fleet.entries)

    def all_served(self, route: str) -> bool:
        return all(
            wait_until(
                lambda entry=entry: (
                    self.fleet.send_request(
                        route, f"{route}-{time.monotonic()}", entry=entry
                    ).status
                    == 200
                ),
                2.0,
            )
            for entry in range(len(self.fleet.entries))
        )


if __name__ == "__main__":
    unittest.main()
