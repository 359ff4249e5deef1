"""Tests of ``fighitch.core.entry.membership``."""

import random
import unittest

from fighitch.core.entry.membership import Members, MemberState
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.messages import Heartbeat
from fighitch.core.resources import BackendServerSpec, Kind, Resource


class HeartbeatTests(unittest.TestCase):
    def test_state_follows_what_the_sidecar_says(self):
        """Guards against work for a sidecar whose backend server does not answer."""
        members = Members(settings=EntrySettings(), rng=random.Random(1))
        spec = BackendServerSpec(type="service", address="ip:1", service="s")
        members.sync(
            [Resource(kind=Kind.BACKEND_SERVER, name="s1", revision=1, spec=spec)]
        )
        member = members.get("s1")
        for heartbeat, state in (
            (Heartbeat(1), MemberState.ALIVE),
            (Heartbeat(2, unreachable=True), MemberState.IMPAIRED),
            (Heartbeat(3, unreachable=True, draining=True), MemberState.LEAVING),
            (Heartbeat(4), MemberState.ALIVE),
        ):
            members.reported(member, heartbeat)
            self.assertIs(member.state, state)
