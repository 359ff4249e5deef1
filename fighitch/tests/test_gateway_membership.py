import unittest

from fighitch.core.gateway.membership import LAPSE_GRACE, Membership
from fighitch.core.gateway.model import ServerState
from fighitch.tests.gateway_helpers import server


class MembershipTests(unittest.TestCase):
    def setUp(self):
        self.membership = Membership()
        self.membership.put(server("a"))

    def ready(self) -> list[str]:
        return [item.instance_id for item in self.membership.ready("models")]

    def test_removed_server_gets_no_new_requests(self):
        self.membership.remove("a", 10.0)
        self.assertEqual(self.ready(), [])

    def test_draining_server_gets_no_new_requests(self):
        self.membership.put(server("a", state=ServerState.DRAINING))
        self.assertEqual(self.ready(), [])

    def test_outdated_heartbeat_does_not_make_a_draining_server_ready(self):
        self.membership.put(server("a", state=ServerState.DRAINING))
        self.membership.put(server("a"))
        self.assertEqual(self.ready(), [])

    def test_new_incarnation_with_the_same_id_is_ready(self):
        self.membership.put(server("a", state=ServerState.DRAINING))
        self.membership.put(server("a", start_time_ms=2))
        self.assertEqual(self.ready(), ["a"])

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        self.membership.put(server("a", start_time_ms=5))
        self.membership.put(server("a", start_time_ms=4, state=ServerState.DRAINING))
        self.assertEqual(self.ready(), ["a"])

    def test_server_that_lapsed_during_an_outage_is_kept_for_a_grace_period(self):
        self.membership.record_store_contact(10.0, after_outage=True)
        self.membership.remove("a", 10.1)
        self.assertEqual(self.ready(), ["a"])
        self.membership.expire(10.0 + LAPSE_GRACE - 0.1)
        self.assertEqual(self.ready(), ["a"])
        self.membership.expire(10.0 + LAPSE_GRACE)
        self.assertEqual(self.ready(), [])

    def test_lapsed_server_that_returns_is_kept(self):
        self.membership.record_store_contact(10.0, after_outage=True)
        self.membership.remove("a", 10.1)
        self.membership.put(server("a"))
        self.membership.expire(20.0)
        self.assertEqual(self.ready(), ["a"])

    def test_later_server_at_the_same_address_supersedes_the_earlier_one(self):
        # After a power loss, dead incarnations stay in the instance list for seconds.
        changes = self.membership.put(server("b", start_time_ms=2))
        self.assertEqual(self.ready(), ["b"])
        self.assertIn("left", [change.change for change in changes])

    def test_earlier_server_at_the_same_address_changes_nothing(self):
        self.membership.put(server("c", start_time_ms=0))
        self.assertEqual(self.ready(), ["a"])

    def test_entry_of_an_unknown_service_does_not_supersede_a_server(self):
        # An odd entry with the address of a server took it out of use for good.
        self.membership.put(server("odd", start_time_ms=9, service="unknown"))
        self.assertEqual(self.ready(), ["a"])

    def test_server_marked_as_left_does_not_become_ready_again(self):
        self.membership.mark_left("a")
        self.membership.put(server("a"))
        self.assertEqual(self.ready(), [])

    def test_removed_server_that_leaves_does_not_return_from_an_old_list(self):
        leaving = server("a").incarnation
        self.membership.remove("a", 10.0)
        self.membership.record_left(leaving)
        self.membership.replace_all([server("a")], 11.0)
        self.assertEqual(self.ready(), [])
        self.membership.put(server("a", start_time_ms=2))
        self.assertEqual(self.ready(), ["a"])

    def test_answer_of_an_earlier_incarnation_does_not_mark_the_next_one(self):
        self.membership.put(server("a", start_time_ms=2))
        self.assertEqual(self.membership.record_left(server("a").incarnation), [])
        self.assertEqual(self.ready(), ["a"])

    def test_late_notice_of_an_earlier_drain_does_not_bring_a_server_back(self):
        # The start time of the earlier incarnation replaced that of the later one.
        self.membership.put(server("a", start_time_ms=5))
        self.membership.mark_left("a")
        self.membership.remove("a", 10.0)
        self.membership.put(server("a", state=ServerState.DRAINING, start_time_ms=3))
        self.membership.put(server("a", start_time_ms=5))
        self.assertEqual(self.ready(), [])

    def test_complete_list_removes_missing_servers(self):
        self.membership.replace_all([server("b")], 10.0)
        self.assertEqual(self.ready(), ["b"])


class RestoredListTests(unittest.TestCase):
    """Lists of a store that was restored from an older copy."""

    def setUp(self):
        self.membership = Membership()
        for name in ("a", "b"):
            self.membership.put(server(name))

    def ready(self) -> list[str]:
        return [item.instance_id for item in self.membership.ready("models")]

    def restore(self, *names: str, now: float = 10.0, **fields) -> None:
        self.membership.record_store_restored(now)
        listed = [server(name, **fields) for name in names]
        self.membership.replace_all(listed, now)

    def test_removed_server_in_an_older_copy_gets_no_requests(self):
        # Its address may belong to another service by now.
        self.membership.remove("a", 5.0)
        self.restore("a", "b")
        self.assertEqual(self.ready(), ["b"])
        self.membership.replace_all([server("a"), server("b")], 11.0)
        self.assertEqual(self.ready(), ["b"])

    def test_removed_server_that_writes_again_is_ready(self):
        self.membership.remove("a", 5.0)
        self.restore("a", "b")
        self.membership.put(server("a"))
        self.assertEqual(self.ready(), ["b", "a"])
        self.restore("a", "b", now=20.0)
        self.assertEqual(self.ready(), ["b", "a"])

    def test_removed_server_is_still_held_back_after_a_second_restore(self):
        self.membership.remove("a", 5.0)
        self.restore("a", "b")
        self.restore("a", "b", now=10.5)
        self.assertEqual(self.ready(), ["b"])

    def test_later_incarnation_of_a_removed_server_is_ready(self):
        self.membership.remove("a", 5.0)
        self.restore("a", "b", start_time_ms=2)
        self.assertEqual(sorted(self.ready()), ["a", "b"])

    def test_removed_server_that_is_listed_again_without_a_restore_is_ready(self):
        self.membership.remove("a", 5.0)
        self.membership.replace_all([server("a"), server("b")], 10.0)
        self.assertEqual(self.ready(), ["b", "a"])

    def test_server_that_a_restored_list_lacks_is_kept_for_a_grace_period(self):
        # Contact need not be lost before a restored list.
        self.restore("a")
        self.assertEqual(self.ready(), ["a", "b"])
        self.membership.expire(10.0 + LAPSE_GRACE)
        self.assertEqual(self.ready(), ["a"])

    def test_draining_server_that_the_copy_lists_as_ready_gets_no_requests(self):
        self.membership.put(server("a", state=ServerState.DRAINING))
        self.restore("a", "b")
        self.assertEqual(self.ready(), ["b"])
        self.membership.put(server("a"))
        self.assertEqual(self.ready(), ["b"])

    def test_second_restore_starts_the_grace_period_again(self):
        # Guards against the removal of sound servers that had no time to be listed.
        self.restore("a")
        self.membership.record_store_restored(12.1)
        self.membership.replace_all([server("a")], 12.1)
        self.membership.expire(12.3)
        self.assertEqual(self.ready(), ["a", "b"])
        self.membership.expire(12.1 + LAPSE_GRACE)
        self.assertEqual(self.ready(), ["a"])
