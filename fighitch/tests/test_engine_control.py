"""Tests of ``fighitch.gateway.engine_control``."""

import unittest
from unittest import mock

from fighitch.core.gateway.settings import Address
from fighitch.gateway import engine_control
from fighitch.gateway.engine_control import EngineClaim
from fighitch.tests.test_gateway_entry import SETTINGS

RECORD = b'{"Metadata": {"Name": "10.0.0.1-80", "Revision": 4}, "Spec": %s}'


class OddHolderRecordTests(unittest.TestCase):
    """A claim that ended with an exception left the agent without a fencing token.

    It then never sent an order, so that its engine loaded nothing more.
    """

    def setUp(self):
        self.loop = mock.Mock()
        self.loop.now.return_value = 0.0
        client = mock.patch.object(engine_control, "SerialClient").start()
        self.addCleanup(mock.patch.stopall)
        self.client = client.return_value
        self.log = mock.Mock()
        engine = Address("10.0.0.1", 80)
        self.claim = EngineClaim(self.loop, SETTINGS, engine, self.log)
        self.claim.start()

    def respond(self, status: int, body: bytes) -> None:
        self.client.call.call_args.args[1](status, body)

    def assert_claimed_by_clock(self, spec: bytes) -> None:
        self.respond(200, RECORD % spec)
        # Retried in case the record is replaced.
        self.loop.call_later.call_args.args[1]()
        self.loop.now.return_value = 2.0
        self.respond(200, RECORD % spec)
        self.assertTrue(self.claim.may_send_orders())
        self.assertIn(
            mock.call("engine_claimed", token=mock.ANY, source="clock", wait=0.0),
            self.log.event.call_args_list,
        )

    def test_deeply_nested_record_delays_the_claim_only(self):
        nested = b"[" * 1_100 + b"]" * 1_100
        self.assert_claimed_by_clock(b'{"holder": "a", "token": 1, "x": %s}' % nested)

    def test_record_with_an_odd_token_delays_the_claim_only(self):
        for token in (b"1" + b"0" * 400, b"-1", b"18446744073709551615", b"1e999"):
            with self.subTest(token[:30]):
                self.doCleanups()
                self.setUp()
                self.assert_claimed_by_clock(b'{"holder": "a", "token": %s}' % token)


if __name__ == "__main__":
    unittest.main()
