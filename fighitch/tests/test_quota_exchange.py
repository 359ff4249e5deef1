"""Tests of ``fighitch.gateway.quotas`` and ``fighitch.gateway.quota_lender``.

Entries and agents exchange encoded messages on a virtual clock, without sockets.
"""

import heapq
import itertools
import unittest
from unittest import mock

import msgspec

from fighitch.core.gateway.accounts import Account, AccountTable, Quota, QuotaUnit
from fighitch.core.gateway.failures import (
    FAILURE_RESPONSES,
    FailureKind,
    reported_kind,
)
from fighitch.core.gateway.model import Configuration, RequestSize
from fighitch.core.gateway.quota_allowances import Refusal, RefusalReason
from fighitch.core.gateway.settings import QuotaWindow
from fighitch.gateway.agent import EngineAgent
from fighitch.gateway.agent_links import AgentLinks
from fighitch.gateway.metrics import AgentMetrics, EntryMetrics
from fighitch.gateway.peer_messages import (
    PROTOCOL_VERSION,
    Hello,
    MessageReader,
    QuotaGrant,
    QuotaRequest,
    Status,
    encode,
)
from fighitch.gateway.quota_lender import QuotaLender
from fighitch.gateway.quotas import Quotas, RequestUnits
from fighitch.runtime.http_exchange import (
    ExchangeFailure,
    FailureKind as ExchangeFailureKind,
)
from fighitch.tests import test_agent_links, test_relay
from fighitch.tests.gateway_helpers import engine_spec, server

QUOTA = Quota(rate=1_000.0, burst=1_000.0, unit=QuotaUnit.TOKENS, plain_cost=50.0)
LATENCY = 0.001


class VirtualLoop:
    """Timers of an event loop on a clock that only moves when it runs."""

    def __init__(self) -> None:
        self.time = 100.0
        self._timers: list = []
        self._numbers = itertools.count()

    @property
    def polled_at(self) -> float:
        return self.time

    def now(self) -> float:
        return self.time

    def call_later(self, delay, callback) -> mock.Mock:
        heapq.heappush(self._timers, (self.time + delay, next(self._numbers), callback))
        return mock.Mock()

    def run(self, seconds: float) -> None:
        end = self.time + seconds
        while self._timers and self._timers[0][0] <= end:
            self.time, _, callback = heapq.heappop(self._timers)
            callback()
        self.time = end


class Peer:
    """One end of a connection; what it sends arrives encoded at the other."""

    def __init__(self, loop: VirtualLoop, deliver) -> None:
        self._loop, self._deliver = loop, deliver
        self._reader = MessageReader()
        self.sent: list = []

    def send(self, message) -> None:
        (decoded,) = self._reader.feed(encode(message))
        self.sent.append(decoded)
        self._loop.call_later(LATENCY, lambda: self._deliver(decoded))


class ExchangeTestCase(unittest.TestCase):
    """Some entries and one agent."""

    def setUp(self):
        self.loop = VirtualLoop()
        self.log = mock.Mock()
        self.agent_metrics = AgentMetrics()
        self.lender = QuotaLender(self.loop, self.log, self.agent_metrics)
        self.entries = [self.build_entry(f"e{number}") for number in range(3)]
        self.results: list = []

    def build_entry(self, name: str) -> Quotas:
        views = {"g": mock.Mock(connected=True)}
        links = mock.Mock(entries=3, quota_peers={}, views=views)
        settings = mock.Mock(instance=name, quota_window=QuotaWindow())
        quotas = Quotas(self.loop, settings, links, self.log, EntryMetrics())
        quotas.links = links
        quotas.entries.record_stored(3, self.loop.now())
        return quotas

    def configure(self, *accounts: Account) -> None:
        table = AccountTable(accounts)
        for quotas in self.entries:
            quotas.configure(Configuration(1, (), {}, accounts=table))

    def connect(self, quotas: Quotas, *, protocol: int = PROTOCOL_VERSION) -> None:
        links = quotas.links
        hello = Hello(quotas._entry, "g", 1, b"", protocol)
        agent_end = Peer(self.loop, lambda message: links.on_quota_grant("g", message))
        entry_end = Peer(
            self.loop, lambda message: self.lender.on_request(agent_end, message)
        )
        quotas.agent_end, quotas.entry_end = agent_end, entry_end
        self.lender.add_peer(agent_end, hello)
        if protocol >= 2:
            links.quota_peers["g"] = entry_end
            links.on_quota_agent("g")

    def start(self) -> None:
        self.configure(Account("a", frozenset(), quota=QUOTA))
        for quotas in self.entries:
            self.connect(quotas)
        self.loop.run(3.0)

    def take(self, quotas: Quotas, cost: float) -> None:
        quotas.take("a", cost, self.results.append)


class QuotaExchangeTests(ExchangeTestCase):
    def test_no_message_without_a_quota(self):
        # Guards against costs for deployments without quotas.
        self.configure(Account("a", frozenset()))
        for quotas in self.entries:
            self.connect(quotas)
            self.take(quotas, 1e9)
        self.loop.run(5.0)
        self.assertEqual(self.results, [None] * 3)
        for quotas in self.entries:
            self.assertEqual(quotas.entry_end.sent + quotas.agent_end.sent, [])

    def test_no_message_without_traffic(self):
        self.start()
        for quotas in self.entries:
            self.assertEqual(quotas.entry_end.sent + quotas.agent_end.sent, [])

    def test_burst_passes_after_one_round_trip(self):
        # All entries must have lent their shares by then.
        self.start()
        for _ in range(10):
            self.take(self.entries[0], 100.0)
        self.assertEqual(self.results, [])
        self.loop.run(6 * LATENCY)
        self.assertEqual(self.results, [None] * 10)

    def test_request_beyond_the_quota(self):
        self.start()
        for _ in range(30):
            self.take(self.entries[0], 100.0)
        # Rejected at once, as all entries have lent their shares by then.
        self.loop.run(0.02)
        allowed = self.results.count(None)
        self.assertIn(allowed, range(10, 16))
        self.assertEqual(len(self.results), 30)
        self.take(self.entries[0], 100.0)
        refusal = self.results[-1]
        self.assertEqual(len(self.results), 31)
        # The rejected requests before it are expected back earlier.
        self.assertGreater(refusal.retry_after, 1.0)
        self.loop.run(1.0)
        self.log.event.assert_any_call(
            "quota_refused", account="a", requests=31 - allowed
        )

    def test_all_units_come_back_in_time(self):
        self.start()
        for _ in range(30):
            self.take(self.entries[0], 100.0)
        self.loop.run(3.0)
        self.results.clear()
        for _ in range(10):
            self.take(self.entries[1], 100.0)
        self.loop.run(0.1)
        self.assertEqual(self.results, [None] * 10)

    def test_entry_of_an_earlier_build_gets_no_message(self):
        # It would close the connection at a message that it can't decode.
        self.configure(Account("a", frozenset(), quota=QUOTA))
        earlier = self.entries[2]
        self.connect(self.entries[0])
        self.connect(earlier, protocol=1)
        self.loop.run(3.0)
        self.take(self.entries[0], 100.0)
        self.loop.run(3.0)
        self.assertEqual(self.results, [None])
        self.assertEqual(earlier.agent_end.sent, [])

    def test_entry_that_connects_later_lends_its_share(self):
        self.configure(Account("a", frozenset(), quota=QUOTA))
        self.connect(self.entries[0])
        self.loop.run(3.0)
        self.take(self.entries[0], 100.0)
        self.loop.run(0.2)
        self.connect(self.entries[1])
        self.loop.run(0.1)
        self.assertEqual(self.lender._holder.state("a")[2], 2)

    def test_closed_connection_ends_the_share(self):
        self.start()
        self.take(self.entries[0], 100.0)
        self.loop.run(0.1)
        self.assertEqual(self.lender._holder.state("a")[2], 3)
        self.lender.remove_peer(self.entries[1].agent_end)
        self.assertEqual(self.lender._holder.state("a")[2], 2)

    def test_account_without_traffic_is_closed(self):
        self.start()
        self.take(self.entries[0], 100.0)
        self.loop.run(20.0)
        self.assertEqual(self.lender._holder.accounts, ())
        sent = [len(quotas.entry_end.sent) for quotas in self.entries]
        self.loop.run(20.0)
        self.assertEqual(sent, [len(quotas.entry_end.sent) for quotas in self.entries])
        self.assertNotIn(b'account="a"', self.agent_metrics.render())

    def test_number_of_entries_outlasts_the_agents(self):
        # Guards against entries that spend several times the quota together, at servers
        # without agents, once all engines have been gone for minutes.
        self.start()
        quotas = self.entries[0]
        quotas.links.entries = 12
        self.loop.run(10.0)
        quotas.links.entries = 1
        quotas.links.views = {}
        quotas.links.quota_peers.clear()
        quotas.links.on_quota_agent_lost("g", "reset")
        self.loop.run(400.0)
        self.assertEqual(quotas._allowances.entries.value, 12)

    def test_failed_callback_does_not_end_the_polls(self):
        # Guards against requests that wait until their deadline after one error.
        self.start()
        quotas = self.entries[0]
        with (
            mock.patch.object(quotas._allowances, "poll", side_effect=OSError),
            self.assertRaises(OSError),
        ):
            self.loop.run(0.1)
        for _ in range(2):
            self.take(quotas, 0.9 * QUOTA.burst)
        quotas.entry_end.send = mock.Mock()
        self.loop.run(1.0)
        self.assertEqual(len(self.results), 2)

    def test_agent_names_the_entries_once_a_minute(self):
        # Guards against objects of ended entries that stay, and against a message with
        # all names for each request.
        reported = mock.Mock()
        self.entries[0].on_reported_entries = reported
        self.start()
        for _ in range(100):
            self.take(self.entries[0], 1.0)
            self.loop.run(0.3)
        reported.assert_called_once_with(["e0", "e1", "e2"])
        for _ in range(150):
            self.take(self.entries[0], 1.0)
            self.loop.run(0.3)
        self.assertEqual(reported.call_count, 2)

    def test_metrics_by_account(self):
        self.start()
        for _ in range(30):
            self.take(self.entries[0], 100.0)
        self.loop.run(1.5)
        text = self.entries[0]._metrics.render()
        self.assertIn(b'fighitch_quota_allowed_units_total{account="a"}', text)
        self.assertIn(
            b'fighitch_quota_refused_total{account="a",reason="exceeded"}', text
        )
        self.assertIn(b'fighitch_quota_held_units{account="a"}', text)
        self.assertIn(
            b'fighitch_quota_shares{account="a"} 3.0', self.agent_metrics.render()
        )


class RequestUnitsTests(ExchangeTestCase):
    """Units of the sends of one request."""

    def setUp(self):
        super().setUp()
        self.start()
        self.quotas = mock.Mock(wraps=self.entries[0], is_active=True)
        self.kinds: list = []

    def units(self, *, size: RequestSize | None = None) -> RequestUnits:
        metadata = mock.Mock(
            account="a", size=size or RequestSize(), states_tokens=size is not None
        )
        return RequestUnits(self.quotas, metadata)

    def take(self, units: RequestUnits) -> None:
        units.take(
            on_taken=lambda: self.kinds.append(None),
            on_refused=lambda kind, _delay: self.kinds.append(kind),
        )
        self.loop.run(0.1)

    def test_cost_is_the_sum_of_both_token_counts(self):
        self.take(self.units(size=RequestSize(30, 12)))
        self.assertEqual(self.quotas.take.call_args.args[1], 42.0)

    def test_cost_of_a_request_without_token_counts(self):
        self.take(self.units())
        self.assertEqual(self.quotas.take.call_args.args[1], QUOTA.plain_cost)

    def test_request_that_ran_keeps_its_units(self):
        units = self.units()
        self.take(units)
        units.record_sent()
        units.end()
        self.quotas.give_back.assert_not_called()

    def test_request_that_was_never_sent_gives_its_units_back(self):
        units = self.units()
        self.take(units)
        units.end()
        units.end()
        self.quotas.give_back.assert_called_once_with("a", QUOTA.plain_cost)

    def test_rejected_send_is_repeated_with_the_same_units(self):
        units = self.units()
        self.take(units)
        units.record_sent()
        units.record_not_run()
        units.record_sent()
        units.end()
        self.assertEqual(self.quotas.take.call_count, 1)
        self.quotas.give_back.assert_not_called()

    def test_retry_of_a_run_takes_units_again(self):
        units = self.units()
        for _ in range(2):
            self.take(units)
            units.record_sent()
        self.assertEqual(self.kinds, [None, None])
        self.assertEqual(self.quotas.take.call_count, 2)

    def test_retry_that_waits_within_the_first_take_can_be_cancelled(self):
        # Guards against a waiting retry that is forgotten when the first take returns.
        self.take(self.units())
        units = self.units()
        waiter = mock.Mock(is_cancelled=False)

        def retry() -> None:
            units.record_sent()
            self.quotas.take = mock.Mock(return_value=waiter)
            units.take(on_taken=self.fail, on_refused=self.fail)

        units.take(on_taken=retry, on_refused=self.fail)
        self.loop.run(0.1)
        units.end()
        self.assertTrue(waiter.is_cancelled)

    def test_request_that_ends_while_it_waits_is_not_placed(self):
        units = self.units()
        units.take(on_taken=self.fail, on_refused=self.fail)
        units.end()
        self.loop.run(0.5)
        self.quotas.give_back.assert_not_called()


class RelayUnitsTests(test_relay.RelayTestCase):
    """A relay whose account has a quota."""

    def setUp(self):
        super().setUp()
        self.entry.quotas.is_active = True
        self.entry.quotas.cost.return_value = 10.0
        self.entry.quotas.take.side_effect = self.keep_result
        self.waiter = mock.Mock(is_cancelled=False)
        self.entry.links.may_connect_soon.return_value = False

    def keep_result(self, _account, _cost, on_result):
        self.on_result = on_result
        return self.waiter

    def test_request_waits_for_units(self):
        self.relay(plain=True).begin()
        self.entry.pool.acquire.assert_not_called()
        self.on_result(None)
        self.entry.pool.acquire.assert_called_once()

    def test_refused_request_gets_429_with_the_delay(self):
        self.relay(plain=True).begin()
        self.on_result(Refusal(RefusalReason.EXCEEDED, 2.5))
        status, headers = self.caller.send_head.call_args.args
        self.assertEqual(status, 429)
        self.assertIn((b"Retry-After", b"2.500"), headers)
        self.entry.pool.acquire.assert_not_called()

    def test_caller_that_leaves_while_it_waits(self):
        # Guards against a request that is sent to a server for nobody.
        self.relay(plain=True).begin()
        self.caller.on_disconnected()
        self.assertTrue(self.waiter.is_cancelled)
        self.entry.pool.acquire.assert_not_called()
        self.entry.record_end.assert_called_once()

    def test_retry_beyond_the_quota_is_not_made(self):
        # The first send may have run, so that 429 would be wrong.
        relay = self.relay(plain=True, resumable=True)
        relay.begin()
        self.on_result(None)
        failure = ExchangeFailure(ExchangeFailureKind.RESET, sent=True)
        relay.on_failure(failure)
        self.on_result(Refusal(RefusalReason.EXCEEDED, 2.5))
        self.assertEqual(self.caller.send_head.call_args.args[0], 502)
        self.entry.pool.acquire.assert_called_once()


class ReportedKindTests(unittest.TestCase):
    def test_request_that_may_have_run_never_gets_429(self):
        kind = reported_kind(FailureKind.QUOTA_EXCEEDED, may_have_run=True)
        self.assertEqual(FAILURE_RESPONSES[kind].status, 502)


class ProtocolTests(unittest.TestCase):
    """Agents of an earlier build."""

    def setUp(self):
        patches = (
            mock.patch("fighitch.gateway.agent_links.PeerConnection"),
            mock.patch("fighitch.gateway.agent_links.start_connecting"),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.links: AgentLinks = test_agent_links.build_links(
            test_agent_links.mock_loop()
        )
        self.links.on_quota_agent = mock.Mock()
        self.links.on_quota_agent_lost = mock.Mock()
        self.links.update({"e1": (server("e1"), engine_spec())})
        self.link = self.links._links["e1"]

    def report(self, protocol: int) -> None:
        self.links._on_message(self.link, Status(1, True, False, 0, 0, 0, 3, protocol))

    def test_agent_of_an_earlier_build_is_no_holder(self):
        self.report(1)
        self.assertTrue(self.link.view.connected)
        self.assertEqual(self.links.quota_peers, {})

    def test_agent_is_a_holder_until_its_connection_closes(self):
        for _ in range(2):
            self.report(PROTOCOL_VERSION)
        self.links.on_quota_agent.assert_called_once_with("e1")
        self.links._on_closed(self.link, "reset")
        self.links.on_quota_agent_lost.assert_called_once_with("e1", "reset")
        self.assertEqual(self.links.quota_peers, {})

    def build_agent(self) -> EngineAgent:
        with mock.patch("fighitch.gateway.agent.listen"):
            return EngineAgent(
                mock.Mock(),
                mock.Mock(memory_limit=0, descriptor_limit=0),
                mock.Mock(),
                mock.Mock(),
                AgentMetrics(),
            )

    def test_entry_that_connects_again_counts_once(self):
        # Guards against shares that are halved, and requests below the quota that are
        # refused, while the connections from before a restart of all entries remain.
        agent = self.build_agent()
        spec = msgspec.json.encode(engine_spec())
        agent._claim = mock.Mock(token=0)
        agent._queue = mock.Mock(prefill_speed=mock.Mock(seconds_per_token=0.0))
        agent._queue.backlog.return_value = 0.0
        agent._crash_reports = mock.Mock()
        agent._estimate_load_wait = agent._pause_left = lambda *_now: 0.0
        for number, name in enumerate(("e1", "e2", "e1", "e2")):
            agent._peers[number] = peer = mock.Mock(number=number)
            agent._on_message(peer, Hello(name, "g", 1, spec, PROTOCOL_VERSION))
        self.assertEqual(agent._build_status(0.0).entries, 2)
        agent._queue.drop_connection.return_value = []
        agent._on_closed(agent._peers[0], "silent")
        self.assertEqual(agent._build_status(0.0).entries, 2)
        agent._on_closed(agent._peers[2], "silent")
        self.assertEqual(agent._build_status(0.0).entries, 1)

    def test_agent_passes_requests_on(self):
        agent = self.build_agent()
        agent._quotas = mock.Mock()
        peer, message = mock.Mock(), QuotaRequest("e", 1, 1, 1, [])
        agent._on_message(peer, message)
        agent._quotas.on_request.assert_called_once_with(peer, message)
        agent._on_message(peer, QuotaGrant(1, []))
        peer.close.assert_called_once_with("unexpected_message")


if __name__ == "__main__":
    unittest.main()
