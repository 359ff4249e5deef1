"""Tests of ``fighitch.core.gateway.store_contact``."""

import unittest

from fighitch.core.gateway.store_contact import StoreContact

HEARTBEAT_INTERVAL = 1.2


class OutageTests(unittest.TestCase):
    """Which interruptions are long enough for list entries to lapse."""

    def setUp(self):
        self.contact = StoreContact(HEARTBEAT_INTERVAL)
        self.contact.record_response(10.0)

    def interrupt(self, duration: float) -> bool:
        """Fails a call; returns whether the interruption counts as an outage."""
        self.contact.record_failure()
        self.contact.record_response(10.0 + duration)
        return self.contact.had_outage_since(10.0)

    def test_interruption_in_which_no_list_entry_can_lapse_is_no_outage(self):
        self.assertFalse(self.interrupt(2 * HEARTBEAT_INTERVAL - 0.1))

    def test_interruption_in_which_list_entries_can_lapse_is_an_outage(self):
        self.assertTrue(self.interrupt(2 * HEARTBEAT_INTERVAL))

    def test_cut_after_the_longest_watch_is_no_outage(self):
        self.assertFalse(self.interrupt(self.contact.max_watch + 0.2))

    def test_silence_without_a_failed_call_is_no_outage(self):
        # The process did not run, and nothing shows that the store was away.
        self.contact.record_response(20.0)
        self.assertFalse(self.contact.had_outage_since(10.0))

    def test_many_failed_calls_between_responses_are_no_outage(self):
        for number in range(10):
            self.contact.record_failure()
            self.contact.record_response(11.0 + number)
        self.assertFalse(self.contact.had_outage_since(10.0))

    def test_start_without_the_store_counts_as_an_outage(self):
        contact = StoreContact(HEARTBEAT_INTERVAL)
        contact.record_failure()
        contact.record_response(10.0)
        self.assertTrue(contact.had_outage_since(float("-inf")))

    def test_outage_is_told_only_to_those_without_contact_since(self):
        self.assertTrue(self.interrupt(5.0))
        self.assertFalse(self.contact.had_outage_since(15.0))

    def test_changed_heartbeat_interval_changes_the_shortest_outage(self):
        self.contact.set_heartbeat_interval(0.5)
        self.assertTrue(self.interrupt(1.0))
