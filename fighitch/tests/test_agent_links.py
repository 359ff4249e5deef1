"""Tests of ``fighitch.gateway.agent_links``."""

import unittest
from dataclasses import replace
from unittest import mock

from fighitch.gateway.agent_links import AgentLinks
from fighitch.tests.gateway_helpers import engine_spec, server


class OddEngineTests(unittest.TestCase):
    """An engine whose agent can't be reached must not keep the others from theirs."""

    def setUp(self):
        self.loop = mock.Mock()
        self.loop.now.return_value = 0.0
        self.links = AgentLinks(
            self.loop,
            entry="front-1",
            peer_port=1,
            log=mock.Mock(),
            on_draining=mock.Mock(),
            on_down=mock.Mock(),
            on_crash_report=mock.Mock(),
            all_crashes=mock.Mock(return_value=None),
            named_limit=mock.Mock(return_value=None),
        )
        self.addCleanup(self.links.update, {})

    def test_engine_with_an_invalid_host_is_tried_again(self):
        for host in ("engine.invalid", "a\0b", "\u00e9" * 300, ""):
            with self.subTest(host[:20]):
                odd = replace(server("odd"), host=host)
                spec = engine_spec()
                self.links.update({"odd": (odd, spec), "e1": (server("e1"), spec)})
                self.assertEqual(set(self.links.views), {"odd", "e1"})
                self.loop.call_later.assert_called()
                self.links.update({})


if __name__ == "__main__":
    unittest.main()
