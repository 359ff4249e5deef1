"""Bounds on the number of callers' connections."""

import unittest
from unittest import mock

from fighitch.gateway.caller_bounds import make_room


class MakeRoomTests(unittest.TestCase):
    def connect(self, idle_since: float, *, has_unread_input: bool = False):
        caller = mock.Mock(idle=True, awaits_request=True, idle_since=idle_since)
        if not has_unread_input:
            caller.close_if_idle.side_effect = lambda: self.callers.remove(caller)
        self.callers.append(caller)
        return caller

    def test_next_idle_connection_is_closed_if_one_has_unread_input(self):
        # Guards against a caller that is refused although idle connections are open:
        # one with unread input is not closed, as the input may be a request.
        self.callers = []
        busy = self.connect(1.0, has_unread_input=True)
        idle = self.connect(2.0)
        latest = self.connect(3.0)
        self.assertTrue(make_room(self.callers, 3))
        self.assertEqual(self.callers, [busy, latest])
        idle.close_if_idle.assert_called_once_with()


if __name__ == "__main__":
    unittest.main()
