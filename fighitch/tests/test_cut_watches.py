"""A store that cuts off watches that wait, while it serves all other calls."""

import time

from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_fleet import wait_until

# DrainMs if the settings do not state it.
DRAIN_SECONDS = 2.0


class CutWatchTests(FleetTestCase):
    """Guards against watches that end early and are taken for outages of the store.

    A server that was removed stayed ready for the grace period after an outage, and
    each further cut started that period again.
    """

    def setUp(self):
        super().setUp()
        self.leaver, self.other = self.fleet.plain_servers
        # Else one fast server could take all requests, one after the other.
        self.other.response_delay = 0.05

    def cut_watches(self, after: float) -> None:
        self.fleet.store.cut_watches_after = after
        count = self.fleet.store.cut_watches
        self.assertTrue(wait_until(lambda: self.fleet.store.cut_watches > count + 8))

    def assert_removal_is_followed(self) -> None:
        """Removes a server and asserts that requests stop within the drain notice."""
        self.fleet.store.remove("servers", self.leaver.instance_id)
        removed_at = time.monotonic()
        number = 0
        while time.monotonic() < removed_at + DRAIN_SECONDS + 2.5:
            for entry in range(len(self.fleet.entries)):
                number += 1
                response = self.fleet.send_request(
                    "order", f"order-{number}", entry=entry
                )
                self.assertEqual(response.status, 200)
            time.sleep(0.01)
        delays = [item.at - removed_at for item in self.leaver.received]
        self.assertEqual([item for item in delays if item > DRAIN_SECONDS], [])

    def test_removed_server_gets_no_requests_while_watches_are_cut_off(self):
        self.cut_watches(1.0)
        self.assert_removal_is_followed()

    def test_removed_server_gets_no_requests_while_watches_are_cut_off_at_once(self):
        self.cut_watches(0.02)
        self.assert_removal_is_followed()

    def test_removal_just_after_a_cut_is_followed(self):
        self.cut_watches(0.05)
        self.fleet.store.cut_watches_after = 0.0
        self.assert_removal_is_followed()

    def test_unknown_route_gets_404_while_watches_are_cut_off(self):
        # 503 asks callers to come back, for as long as the cuts last.
        self.cut_watches(1.0)
        time.sleep(3.0)
        statuses = []
        for number in range(10):
            statuses.append(self.fleet.send_request("absent", f"x{number}").status)
            time.sleep(0.05)
        self.assertIn(404, statuses)

    def test_servers_whose_entries_lapse_in_an_outage_are_kept(self):
        # The grace period must still follow a real outage.
        self.fleet.store.down = True
        time.sleep(4.0)
        for server in (self.leaver, self.other):
            self.fleet.store.remove("servers", server.instance_id)
        self.fleet.store.down = False
        end = time.monotonic() + 1.5
        number = 0
        while time.monotonic() < end:
            number += 1
            response = self.fleet.send_request("order", f"order-{number}")
            self.assertEqual(response.status, 200)
