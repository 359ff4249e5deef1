import random
import unittest
from unittest import mock

import msgspec
from hypothesis import given, settings, strategies as st

from fighitch.core.gateway.accounts import (
    MAX_WEIGHT,
    MIN_WEIGHT,
    Account,
    AccountTable,
    Quota,
    QuotaUnit,
    bounded_weight,
)
from fighitch.core.gateway.adapter_demand import AdapterDemand
from fighitch.core.gateway.engine_queue import EngineQueue
from fighitch.core.gateway.fair_order import (
    _LATE_REQUEST_LAG,
    _MAX_LAG,
    _TOLERANCE,
    FairOrder,
    LevelScale,
)
from fighitch.core.gateway.model import AdapterName
from fighitch.core.gateway.place_shares import PlaceShares
from fighitch.gateway.agent import EngineAgent
from fighitch.gateway.metrics import AgentMetrics
from fighitch.gateway.peer_messages import AdmissionRequest
from fighitch.tests.gateway_helpers import (
    A1,
    A2,
    A3,
    MODEL,
    AllAdaptersLoaded,
    NoAdaptersLoaded,
    engine_spec,
    request,
)


def account(name, rate=None, unit=QuotaUnit.TOKENS):
    quota = None if rate is None else Quota(rate, rate, unit)
    return Account(name, frozenset({name}), quota=quota)


class WeightTests(unittest.TestCase):
    def test_weights_are_proportional_to_quotas(self):
        table = AccountTable([account("l", 6_000.0), account("s", 2_000.0)])
        self.assertEqual((table.weight("l"), table.weight("s")), (1.5, 0.5))

    def test_account_without_a_quota_has_the_mean_weight(self):
        table = AccountTable([account("l", 6.0), account("s", 2.0), account("n")])
        self.assertEqual(table.weight("n"), 1.0)
        self.assertEqual(table.weight("unknown"), 1.0)
        self.assertEqual(AccountTable([account("n")]).weight("n"), 1.0)

    def test_units_are_not_compared(self):
        # Guards against an account limited by requests that gets next to no share
        # beside others whose quotas count tokens.
        table = AccountTable(
            [account("t", 200_000.0), account("r", 5.0, QuotaUnit.REQUESTS)]
        )
        self.assertEqual((table.weight("t"), table.weight("r")), (1.0, 1.0))

    def test_extreme_weights_are_bounded(self):
        # Guards against accounts with small quotas that are never served.
        small = [account(f"s{number}", 1.0) for number in range(50)]
        table = AccountTable([*small, account("l", 1e9)])
        self.assertEqual(table.weight("l"), MAX_WEIGHT)
        self.assertEqual(table.weight("s0"), MIN_WEIGHT)

    def test_weight_of_a_faulty_peer_is_bounded(self):
        for weight in (float("nan"), float("inf"), -1.0, 0.0):
            self.assertIn(bounded_weight(weight), (MIN_WEIGHT, MAX_WEIGHT))

    def test_admission_request_of_an_earlier_build_is_read(self):
        body = [3, 1, MODEL, "a", 0, 0, 10, 10, 50, 90, False, "r", 0, "acme"]
        encoded = msgspec.msgpack.encode(body)
        message = msgspec.msgpack.decode(encoded, type=AdmissionRequest)
        self.assertEqual((message.account, message.weight), ("acme", 1.0))


class FormerScale(LevelScale):
    """Levels as they were with equal shares."""

    def level(self, start, weight):
        return max(0, int((start - self.virtual_time) / _TOLERANCE))


class FormerOrder(FairOrder):
    """Decisions as they were with equal shares, and with two sorts for each."""

    @property
    def level_scale(self):
        return FormerScale(self._virtual_time, 1.0)

    def charge(self, account, cost, *, late):
        state = self._accounts[account]
        start = self.virtual_start(account)
        state.virtual_time = start + cost
        state.on_time_cost = 0.0 if late else state.on_time_cost + cost
        entitled = self._virtual_time + cost / len(self._waiting_accounts)
        self._virtual_time = max(entitled, start - _TOLERANCE)

    def virtual_start(self, account):
        state = None if account is None else self._accounts.get(account)
        if state is None:
            return self._virtual_time
        if not state.waiting:
            return max(state.virtual_time, self._virtual_time)
        return max(state.virtual_time, self._virtual_time - _MAX_LAG)

    def arrange(self, work):
        starts, heads, with_late = {}, {}, set()
        on_time_keys, late_keys = [], []
        for count, index in enumerate(sorted(range(len(work)), key=work.__getitem__)):
            position = 2 * count
            late, rank, _, name, cost = work[index]
            start = starts.get(name, self.virtual_start(name))
            starts[name] = start + cost
            if late and name not in with_late:
                with_late.add(name)
                if name in heads and self._is_overtaken(name, cost):
                    start, late = self.virtual_start(name), False
                    position = heads[name] - 1
            elif not late:
                heads.setdefault(name, position)
            keys = late_keys if late else on_time_keys
            level = self.level_scale.level(start, 1.0)
            keys.append((rank, level, position, start, index))
        return self.merge_sorted(sorted(on_time_keys), sorted(late_keys))

    def merge_sorted(self, on_time_keys, late_keys):
        virtual_time, order = self._virtual_time, []
        for rank, _, _, start, index in on_time_keys:
            while late_keys:
                late_rank, _, _, late_start, late_index = late_keys[0]
                is_behind = virtual_time - late_start >= _LATE_REQUEST_LAG
                if late_rank > rank or not is_behind:
                    break
                order.append(late_index)
                del late_keys[0]
            virtual_time = max(virtual_time, start - _TOLERANCE)
            order.append(index)
        return order + [key[-1] for key in late_keys]

    def share_ahead(self, level, account, load, *, scale, earlier, before=0.0):
        if not load.cost:
            return 1.0
        begin = self._virtual_time - self.virtual_start(account) - before
        begin += level * _TOLERANCE
        ahead = max(begin if level else 0.0, min(begin + _TOLERANCE, earlier))
        return min(1.0, max(0.0, ahead / load.cost))


class SomeAdaptersLoaded:
    def serves(self, adapter, version, now):
        return adapter != A3


_STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("enqueue"),
            st.integers(0, 2),
            st.integers(0, 4_000),
            st.sampled_from([0.2, 0.5, 1.0, 3.0]),
            st.sampled_from([A1, A2, A3]),
            st.sampled_from(["", "a", "b", "c", "d"]),
        ),
        st.tuples(st.just("event"), st.integers(0, 60)),
        st.tuples(st.just("end"), st.integers(0, 60)),
        st.tuples(st.just("wait"), st.floats(0.0, 0.4)),
        st.tuples(st.just("limit"), st.sampled_from([None, 3.0, 50.0])),
    ),
    max_size=60,
)


class QueueWithoutQuickCheck(EngineQueue):
    def _may_miss_deadlines(self, now):
        return True


def replay(
    order: FairOrder, steps, *, weight: float = 1.0, queue_type=EngineQueue
) -> list[object]:
    """Applies steps to a queue and returns all its decisions and estimates."""
    queue = queue_type(_fair_order=order)
    queue.configure(engine_spec(slots=8))
    now, results = 0.0, []
    loaded = SomeAdaptersLoaded()
    for number, step in enumerate(steps):
        match step:
            case "enqueue", rank, prompt, target, adapter, name:
                item = request(
                    number,
                    rank=rank,
                    prompt=prompt,
                    target_latency=target,
                    adapter=adapter,
                    arrived=now,
                    timeout=4.0,
                    account=name,
                    weight=weight,
                )
                results.append(round(queue.expected_first_event_delay(item, 0.1), 9))
                rejection = queue.enqueue(item)
                results.append(rejection and rejection.reason)
            case "event", key:
                queue.record_first_event((1, key), now)
            case "end", key:
                results.append(queue.record_end((1, key)))
            case "wait", elapsed:
                now += elapsed
            case "limit", rate:
                queue.set_rate_limit(rate, now)
        results.append([item.key for item in queue.admit_ready(now, loaded)])
        rejections = queue.reject_overdue(now, loaded)
        results.append([(item.request.key, item.reason) for item in rejections])
        results.append(round(queue.backlog(now), 9))
        results.append(
            {name: round(at, 9) for name, at in queue.account_backlogs(now).items()}
        )
        results.append(queue.count_missing_adapters(loaded, now, "a", weight=weight))
    return results


class AgentTests(unittest.TestCase):
    def make_agent(self) -> EngineAgent:
        with mock.patch("fighitch.gateway.agent.listen"):
            loop = mock.Mock()
            loop.now.return_value = 0.0
            settings = mock.Mock(memory_limit=0, descriptor_limit=0)
            agent = EngineAgent(
                loop, settings, mock.Mock(), mock.Mock(), AgentMetrics()
            )
        agent._queue.configure(engine_spec())
        agent._serving = True
        return agent

    def test_backlogs_of_accounts_are_published_but_not_estimated_in_each_tick(self):
        # Guards against the cost of these estimates, which only published statuses
        # need, and against a status without them.
        agent = self.make_agent()
        peer = agent._peers[1] = mock.Mock(number=1)
        for number in range(40):
            item = request(number, account="a", target_latency=9.0)
            self.assertIsNone(agent._queue.enqueue(item))
        agent._publish_status_if_due(0.0)
        (status,) = peer.send.call_args.args
        self.assertEqual(set(status.account_backlogs_ms), {"a"})
        estimate = "fighitch.core.gateway.engine_queue.EngineQueue.account_backlogs"
        with mock.patch(estimate) as account_backlogs:
            agent._publish_status_if_due(0.05)
        account_backlogs.assert_not_called()
        self.assertEqual(peer.send.call_count, 1)

    def test_agent_weights_requests_as_the_entry_states(self):
        # Guards against a weight that is lost between the message and the queue, and
        # against one that a faulty entry sends.
        agent = self.make_agent()
        peer = mock.Mock(number=1)
        for number, weight in enumerate((2.5, 1e9, float("nan"))):
            message = AdmissionRequest(
                number,
                MODEL,
                "a",
                version=0,
                rank=0,
                prompt_tokens=10,
                output_tokens=10,
                target_ms=5_000,
                deadline_ms=9_000,
                account=f"a{number}",
                weight=weight,
            )
            agent._on_message(peer, message)
        weights = [item.weight for item in agent._queue.waiting_requests]
        self.assertEqual(weights, [2.5, MAX_WEIGHT, MIN_WEIGHT])


class EqualWeightTests(unittest.TestCase):
    @given(_STEPS)
    @settings(max_examples=300, deadline=None)
    def test_decisions_are_those_of_equal_shares(self, steps):
        # Guards accounts with equal weights against any change of order or estimate.
        former = replay(FormerOrder(), steps, queue_type=QueueWithoutQuickCheck)
        for weight in (1.0, 0.25, 8.0):
            self.assertEqual(replay(FairOrder(), steps, weight=weight), former)

    @given(st.data())
    @settings(max_examples=200, deadline=None)
    def test_order_is_that_of_equal_shares(self, data):
        # As above, with more requests and more that are late than a queue keeps.
        rows = data.draw(
            st.lists(
                st.tuples(
                    st.booleans(),
                    st.integers(0, 2),
                    st.sampled_from([0.0, 0.5, 1.0, 2.0]),
                    st.sampled_from(["", "a", "b", "c"]),
                    st.sampled_from([0.0, 0.03, 0.2, 0.7]),
                ),
                max_size=60,
            )
        )
        orders = FairOrder(), FormerOrder()
        for order in orders:
            for row in rows:
                order.add(row[3])
            for late, _, _, name, cost in rows[::3]:
                order.charge(name, cost, late=late)
        self.assertEqual(list(orders[0].arrange(rows)), orders[1].arrange(rows))


class QuickCheckTests(unittest.TestCase):
    def test_rejections_are_those_of_the_whole_order(self):
        # Guards against requests without a chance that the quick check overlooks.
        rejected = 0
        for seed in range(40):
            source = random.Random(seed)
            results = []
            for queue_type in (EngineQueue, QueueWithoutQuickCheck):
                source.seed(seed)
                queue = queue_type()
                queue.configure(engine_spec(slots=64))
                for number in range(80):
                    item = request(
                        number,
                        account=source.choice("aaaab"),
                        prompt=source.choice([500, 4_000]),
                        timeout=source.uniform(1.0, 12.0),
                    )
                    queue.enqueue(item)
                now = source.uniform(0.0, 3.0)
                rejections = queue.reject_overdue(now, AllAdaptersLoaded())
                results.append([item.request.key for item in rejections])
            self.assertEqual(*results)
            rejected += len(results[0])
        self.assertGreater(rejected, 40)


class WeightedOrderTests(unittest.TestCase):
    def setUp(self):
        self.order = FairOrder()

    def serve(self, weights, *, cost=0.05, rounds=400) -> dict[str, int]:
        """Returns how often each account goes first if all always wait."""
        for name, weight in weights.items():
            for _ in range(rounds):
                self.order.add(name, weight)
        counts = dict.fromkeys(weights, 0)
        waiting = [(False, 0, 1.0, name, cost) for name in weights]
        for _ in range(rounds):
            name = waiting[next(self.order.arrange(waiting))][3]
            self.order.charge(name, cost, late=False)
            counts[name] += 1
        return counts

    def test_shares_are_proportional_to_weights(self):
        for scale in (1.0, 1e-6, 1e6):
            self.setUp()
            weights = {"l": 5 * scale, "s": scale, "t": 2 * scale}
            counts = self.serve(weights)
            self.assertAlmostEqual(counts["l"], 250, delta=8)
            self.assertAlmostEqual(counts["t"], 100, delta=8)
            self.assertAlmostEqual(counts["s"], 50, delta=8)

    def test_first_request_of_a_small_account_waits_for_one_tolerance(self):
        # Guards against a tolerance in virtual time, with which the backlog of an
        # account of ten times the weight goes first for ten tolerances.
        for _ in range(40):
            self.order.add("l", 10.0)
        self.order.add("s", 0.1)
        rows = [(False, 0, 0.5, "l", 0.05)] * 40 + [(False, 0, 1.0, "s", 0.05)]
        self.assertEqual(list(self.order.arrange(rows)).index(40), 3)

    def test_claim_of_a_waiting_account_is_bounded_in_engine_time(self):
        for weight in (0.1, 10.0):
            self.setUp()
            for _ in range(100):
                self.order.add("w", weight)
                self.order.add("o")
            for _ in range(80):
                self.order.charge("o", 0.5, late=False)
            lag = self.order._virtual_time - self.order.virtual_start("w")
            self.assertAlmostEqual(lag * weight, _MAX_LAG)

    def late_request_waits(self, weight: float) -> float:
        """Returns the engine time until a late request goes before those on time."""
        self.setUp()
        for name in ("a", "b", "c"):
            for _ in range(500):
                self.order.add(name)
        self.order.add("s", weight)
        rows = [(False, 0, 1.0, name, 0.05) for name in ("a", "b", "c")]
        rows.append((True, 0, 0.5, "s", 0.05))
        for count in range(400):
            index = next(self.order.arrange(rows))
            if index == 3:
                return count * 0.05
            self.order.charge(rows[index][3], 0.05, late=False)
        return float("inf")

    def test_late_request_of_a_small_account_is_not_starved(self):
        # Guards against long prompts that wait until their deadlines, because a small
        # account takes far longer to be behind by the same engine time.
        self.assertLess(
            self.late_request_waits(0.1), self.late_request_waits(1.0) + 0.2
        )

    def test_estimate_for_a_late_request_of_a_small_account(self):
        # Guards against rejections of late requests that would be served in time.
        queue = EngineQueue()
        queue.configure(engine_spec(slots=64))
        for number in range(120):
            queue.enqueue(
                request(
                    number,
                    account="abc"[number % 3],
                    target_latency=30.0,
                    timeout=100.0,
                )
            )
        late = request(900, account="s", weight=0.1, target_latency=-1.0, timeout=100.0)
        delay = queue.expected_first_event_delay(late)
        queue.enqueue(late)
        order = list(queue._arrange(queue._waiting.values(), 0.0))
        tokens = sum(item.size.prompt_tokens for item in order[: order.index(late) + 1])
        exact = tokens * queue.prefill_speed.seconds_per_token
        self.assertAlmostEqual(delay, exact, delta=0.15 + 0.25 * exact)

    def test_loads_ahead_of_a_small_account(self):
        # Guards against rejections for the wait for loads that don't go first: an
        # account without any adapter loads its first one before others load a second.
        queue = EngineQueue()
        queue.configure(engine_spec(slots=64))
        for number in range(10):
            queue.enqueue(
                request(
                    number,
                    adapter=AdapterName(MODEL, f"l{number}"),
                    account="l",
                    weight=10.0,
                )
            )
        loads = queue.count_missing_adapters(NoAdaptersLoaded(), 0.0, "s", weight=0.1)
        self.assertEqual(loads, 1)

    def test_lead_is_kept_in_engine_time_if_the_weight_changes(self):
        # Guards against an account that has to wait for a hundred times as long after
        # its quota was raised.
        for _ in range(20):
            self.order.add("a", 0.1)
            self.order.add("b")
        self.order.charge("a", 0.5, late=False)
        lead = self.order.virtual_start("a") - self.order._virtual_time
        self.order.add("a", 10.0)
        new_lead = self.order.virtual_start("a") - self.order._virtual_time
        self.assertAlmostEqual(new_lead * 10.0, lead * 0.1)

    def test_estimate_agrees_with_the_order_of_admission(self):
        # Guards against requests that are declined although they would be in time.
        weights = {"l": 6.0, "m": 1.0, "s": 0.2}
        for name in weights:
            queue = EngineQueue()
            queue.configure(engine_spec(slots=64))
            for number in range(60):
                other = list(weights)[number % 3]
                queue.enqueue(
                    request(
                        number,
                        account=other,
                        weight=weights[other],
                        target_latency=5.0,
                        timeout=100.0,
                    )
                )
            queue.admit_ready(0.0, AllAdaptersLoaded())
            new = request(
                100,
                account=name,
                weight=weights[name],
                target_latency=6.0,
                timeout=100.0,
            )
            delay = queue.expected_first_event_delay(new)
            queue.enqueue(new)
            order = list(queue._arrange(queue._waiting.values(), 0.0))
            tokens = queue._pending_prefill_tokens
            for item in order[: order.index(new) + 1]:
                tokens += item.size.prompt_tokens
            speed = queue.prefill_speed
            exact = speed.overhead + tokens * speed.seconds_per_token
            self.assertAlmostEqual(delay, exact, delta=0.1 + 0.2 * exact)


class ChangingAccountsTests(unittest.TestCase):
    def setUp(self):
        self.queue = EngineQueue()
        self.queue.configure(engine_spec(slots=64))

    def fill(self, name, count, *, first=0, connection=1, weight=1.0):
        for number in range(first, first + count):
            self.queue.enqueue(
                request(
                    number,
                    account=name,
                    weight=weight,
                    connection=connection,
                    target_latency=20.0,
                    timeout=100.0,
                )
            )

    def served(self, rounds: int) -> list[str]:
        """Returns the accounts of requests that the engine serves window by window.

        Without first events, the estimated prefill speed remains the initial one.
        """
        names = []
        for step in range(rounds):
            now = 0.05 * step
            for item in self.queue.admit_ready(now, AllAdaptersLoaded()):
                names.append(item.account)
                self.queue.record_end(item.key)
        return names

    def test_restarted_agent_gives_weighted_shares_from_the_start(self):
        # Guards against weights that only a history brings: an agent that restarts
        # during a flood has none.
        self.fill("small", 200)
        self.fill("large", 200, first=200, weight=6.0)
        names = self.served(60)[:100]
        self.assertGreater(names.count("large"), 5 * names.count("small") - 20)
        self.assertGreater(names.count("small"), 10)

    def test_requests_of_a_lost_entry_leave_no_claim(self):
        self.fill("a", 50, connection=1, weight=5.0)
        self.fill("a", 5, connection=2, weight=5.0)
        self.fill("b", 50, connection=2, first=100)
        self.served(5)
        self.queue.drop_connection(1)
        left = self.queue.waiting_by_account
        self.assertEqual(sum(left.values()), self.queue.waiting)
        self.queue.drop_connection(2)
        self.assertEqual(self.queue.waiting_by_account, {})
        self.assertLessEqual(len(self.queue._fair_order), 2)
        self.fill("c", 1)
        self.assertLess(self.queue.backlog(9.0), 0.1)

    def test_account_that_leaves_the_configuration_is_forgotten(self):
        for number in range(600):
            self.fill(f"a{number}", 1, first=number, weight=0.1)
        self.served(200)
        self.assertEqual(self.queue.waiting, 0)
        self.assertLess(len(self.queue._fair_order), 300)

    def test_requests_with_and_without_accounts_share_the_engine(self):
        # Guards against requests of anonymous routes that go first or last of all.
        self.fill("", 100)
        self.served(5)
        self.fill("a", 100, first=200)
        names = self.served(10)
        self.assertGreater(len(names), 40)
        self.assertAlmostEqual(names.count("a"), names.count(""), delta=6)

    def test_requests_without_accounts_build_up_no_debt(self):
        # Guards against anonymous requests that wait for the work that they had while
        # no account was active.
        self.fill("", 200)
        self.served(20)
        self.fill("a", 20, first=300)
        new = request(900, target_latency=0.1, timeout=100.0)
        self.assertEqual(
            self.queue._fair_order.level_scale.level(
                self.queue._fair_order.virtual_start(""), 1.0
            ),
            0,
        )
        self.assertLess(self.queue.expected_first_event_delay(new), 6.0)


class WeightedPlacesTests(unittest.TestCase):
    def setUp(self):
        self.shares = PlaceShares()
        self.adapters = {
            name: [AdapterName(MODEL, f"{name}{number}") for number in range(30)]
            for name in ("large", "small")
        }

    def settle(self, weights) -> dict[str, int]:
        """Returns the places of accounts that all want more, once none changes."""
        present = list(self.adapters["large"][:14])
        for name, weight in weights.items():
            for adapter in self.adapters[name]:
                self.shares.record_use(adapter, name, 0.0, weight=weight)
        for _ in range(100):
            for name in weights:
                wanted = next(x for x in self.adapters[name] if x not in present)
                demand = AdapterDemand(wanted, on_time_requests=1, accounts={name})
                over_share, _ = self.shares.evictable(present, demand, present, 0.0)
                if over_share:
                    present.remove(over_share[0])
                    present.append(wanted)
        held = self.shares.held_places(present, 0.0)
        return {name: held[name] for name in weights}

    def test_places_are_proportional_to_weights(self):
        places = self.settle({"large": 3.0, "small": 0.5})
        self.assertEqual(places, {"large": 12, "small": 2})

    def test_each_account_gets_a_place(self):
        # Guards against small accounts that wait for as long as a large one uses all.
        self.assertEqual(self.settle({"large": 10.0, "small": 0.1})["small"], 1)

    def test_equal_weights_give_equal_places(self):
        for weight in (1.0, 0.3, 7.0):
            self.setUp()
            places = self.settle({"large": weight, "small": weight})
            self.assertEqual(places, {"large": 7, "small": 7})


if __name__ == "__main__":
    unittest.main()
