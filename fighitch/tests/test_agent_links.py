"""Tests of ``fighitch.gateway.agent_links``."""

import unittest
from dataclasses import replace
from unittest import mock

from fighitch.gateway.agent_links import AdmissionCallbacks, AgentLinks
from fighitch.gateway.peer_messages import AdmissionRequest, Done, Grant
from fighitch.tests.gateway_helpers import engine_spec, server


def build_links(loop: mock.Mock) -> AgentLinks:
    loop.now.return_value = 0.0
    return AgentLinks(
        loop,
        entry="front-1",
        peer_port=1,
        log=mock.Mock(),
        on_draining=mock.Mock(),
        on_down=mock.Mock(),
        on_crash_report=mock.Mock(),
        all_crashes=mock.Mock(return_value=None),
        named_limit=mock.Mock(return_value=None),
        is_leaving=mock.Mock(return_value=False),
        pause_left=mock.Mock(return_value=0.0),
    )


class OddEngineTests(unittest.TestCase):
    """An engine whose agent can't be reached must not keep the others from theirs."""

    def setUp(self):
        self.loop = mock.Mock()
        self.links = build_links(self.loop)
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


class ReplacedLinkTests(unittest.TestCase):
    """An engine that is removed and listed again while it runs a request."""

    def test_end_of_an_earlier_request_does_not_withdraw_a_waiting_one(self):
        # Guards against numbers that start again on a new link: the agent dropped the
        # waiting request, and its caller got neither an answer nor a rejection.
        with (
            mock.patch("fighitch.gateway.agent_links.PeerConnection") as peers,
            mock.patch("fighitch.gateway.agent_links.start_connecting"),
        ):
            peers.side_effect = lambda *_args, **_options: mock.Mock()
            links = build_links(mock.Mock())
            engines = {"e1": (server("e1"), engine_spec())}
            links.update(engines)
            earlier, earlier_number = self.request_admission(links)
            links._on_message(links._links["e1"], Grant(earlier_number, 0, False))
            earlier.on_grant.assert_called_once()
            links.update({})
            links.update(engines)
            waiting, number = self.request_admission(links)
            links.report_done("e1", earlier_number)
            sent = links._links["e1"].peer.send.call_args_list
            self.assertNotIn(Done(number, None), [call.args[0] for call in sent])
            links._on_message(links._links["e1"], Grant(number, 0, False))
            waiting.on_grant.assert_called_once()

    def request_admission(self, links: AgentLinks) -> tuple[AdmissionCallbacks, int]:
        message = AdmissionRequest(0, "m", "a", 0, 0, 1, 1, 1, 1, False, "x")
        callbacks = AdmissionCallbacks(mock.Mock(), mock.Mock(), mock.Mock())
        return callbacks, links.request_admission("e1", message, callbacks)


if __name__ == "__main__":
    unittest.main()
