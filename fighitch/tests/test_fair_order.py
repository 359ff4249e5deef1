import random
import unittest

import msgspec
from hypothesis import given, settings, strategies as st

from fighitch.core.gateway.adapter_cache import AdapterCache, UnloadAdapter
from fighitch.core.gateway.adapter_demand import AdapterDemand
from fighitch.core.gateway.backend_choice import EngineView
from fighitch.core.gateway.engine_queue import EngineQueue, Rejection
from fighitch.core.gateway.fair_order import FairOrder, Work
from fighitch.core.gateway.model import AdapterName
from fighitch.core.gateway.place_shares import USE_RETENTION, PlaceShares
from fighitch.gateway.metrics import AgentMetrics
from fighitch.gateway.peer_messages import Status
from fighitch.tests.gateway_helpers import (
    A1,
    A2,
    A3,
    MODEL,
    AllAdaptersLoaded,
    NoAdaptersLoaded,
    engine_spec,
    report,
    request,
)

# Above the tolerance, so that two requests differ in level.
COST = 0.2


def work(account, *, late=False, rank=0, target_time=1.0, cost=COST):
    return late, rank, target_time, account, cost


class OrderTests(unittest.TestCase):
    def setUp(self):
        self.order = FairOrder()

    def add(self, account: str, count: int = 1) -> None:
        for _ in range(count):
            self.order.add(account)

    def arrange(self, *waiting: Work) -> list[Work]:
        return [waiting[index] for index in self.order.arrange(waiting)]

    def accounts(self, *waiting: Work) -> str:
        return "".join(item[3] for item in self.arrange(*waiting))

    def test_first_request_goes_before_the_backlog_of_a_large_account(self):
        # Guards against small accounts that wait behind an earlier backlog. The large
        # account is level with its share, so that one request with an earlier target
        # time goes first.
        self.add("L", 5)
        self.order.charge("L", COST, late=False)
        self.add("s")
        backlog = [work("L", target_time=0.1)] * 4
        self.assertEqual(self.accounts(*backlog, work("s")), "LsLLL")

    def test_accounts_with_backlogs_alternate(self):
        self.add("a", 3)
        self.add("b", 3)
        waiting = [work("a")] * 3 + [work("b")] * 3
        self.assertEqual(self.accounts(*waiting), "ababab")

    def test_shares_are_measured_by_cost(self):
        # Guards against shares by request count, where long prompts take most of the
        # engine.
        self.add("a", 2)
        self.add("b", 4)
        waiting = [work("a", cost=4 * COST)] * 2 + [work("b")] * 4
        self.assertEqual(self.accounts(*waiting), "abbbba")

    def test_accounts_within_the_tolerance_go_by_target_time(self):
        # Guards against order by share alone, which made a third of all requests late
        # on an engine without a flood.
        self.add("a", 2)
        self.add("b", 2)
        self.order.charge("a", 0.1, late=False)
        waiting = work("b", target_time=2.0), work("a", target_time=1.0)
        self.assertEqual(self.accounts(*waiting), "ab")

    def test_idle_account_gains_no_claim(self):
        # Guards against an account that was idle for a while and then takes the engine
        # for as long.
        self.add("b")
        self.order.charge("b", COST, late=False)
        self.order.remove("b")
        self.add("a", 50)
        for _ in range(40):
            self.order.charge("a", COST, late=False)
        self.add("b", 3)
        waiting = [work("a")] * 3 + [work("b")] * 3
        self.assertEqual(self.accounts(*waiting), "ababab")

    def test_claim_of_a_waiting_account_is_bounded(self):
        # An account that waits for an adapter load falls behind without limit.
        self.add("a", 500)
        self.add("b", 30)
        for _ in range(400):
            self.order.charge("a", COST, late=False)
        waiting = [work("a", target_time=2.0)] * 3 + [work("b")] * 30
        self.assertLess(self.accounts(*waiting).index("a"), 10)

    def test_ranks_keep_their_order(self):
        self.add("L", 3)
        for _ in range(2):
            self.order.charge("L", COST, late=False)
        self.add("s")
        self.assertEqual(self.accounts(work("s", rank=1), work("L", rank=0)), "Ls")

    def test_late_request_waits_while_its_account_is_level_with_others(self):
        self.add("L", 3)
        self.add("s")
        self.assertEqual(self.accounts(work("s", late=True), work("L")), "Ls")

    def test_late_request_of_an_account_far_behind_goes_first(self):
        # Guards against a large account whose requests are on time because it has so
        # many, and keep the late ones of a small account waiting until their deadlines.
        self.add("L", 9)
        self.add("s")
        for _ in range(8):
            self.order.charge("L", COST, late=False)
        self.assertEqual(self.accounts(work("L"), work("s", late=True)), "sL")

    def test_late_request_far_behind_waits_for_a_more_urgent_rank(self):
        self.add("L", 9)
        self.add("s")
        for _ in range(8):
            self.order.charge("L", COST, late=False)
        waiting = work("s", late=True, rank=1), work("L", rank=0)
        self.assertEqual(self.accounts(*waiting), "Ls")

    def test_late_long_prompt_is_not_overtaken_by_short_ones_for_good(self):
        # Guards against starvation of the largest prompts within one account.
        self.add("a", 100)
        long, short = work("a", late=True, cost=0.5), work("a", cost=0.1)
        served = 0
        while self.arrange(short, long)[0] is short and served < 100:
            self.order.charge("a", 0.1, late=False)
            served += 1
        self.assertEqual(served, 20)
        self.order.charge("a", 0.5, late=True)
        self.assertIs(self.arrange(short, long)[0], short)

    def test_idle_accounts_are_forgotten(self):
        for number in range(5_000):
            self.add(f"a{number}", 2)
            self.order.charge(f"a{number}", 0.1, late=False)
            self.order.remove(f"a{number}")
            self.order.remove(f"a{number}")
        self.assertLess(len(self.order), 300)

    def test_accounts_level_with_the_engine_are_forgotten_at_once(self):
        self.add("a")
        self.order.remove("a")
        self.assertEqual(len(self.order), 0)

    @given(
        st.lists(
            st.tuples(
                st.booleans(),
                st.integers(0, 2),
                st.floats(0, 5),
                st.sampled_from(["", "a", "b", "c"]),
                st.floats(0, 2),
            ),
            max_size=40,
        )
    )
    @settings(max_examples=200, deadline=None)
    def test_order_is_complete_and_ranks_keep_their_order(self, rows):
        # Guards against lost requests and against urgent requests that are on time but
        # go after less urgent ones.
        order = FairOrder()
        for _, _, _, account, _ in rows:
            order.add(account)
        for late, _, _, account, cost in rows[::3]:
            order.charge(account, cost, late=late)
        arranged = list(order.arrange(rows))
        self.assertEqual(sorted(arranged), list(range(len(rows))))
        on_time = [rows[index][1] for index in arranged if not rows[index][0]]
        self.assertEqual(on_time, sorted(on_time))


class QueueWithoutAccounts(EngineQueue):
    """Decisions of the queue as they were before accounts existed."""

    def _old_is_late(self, item, now):
        pending = self._pending_prefill_tokens * self.prefill_speed.seconds_per_token
        return self._expected_first_event(item, now + pending) > item.target_time

    def _old_key(self, item, now):
        return self._old_is_late(item, now), item.rank, item.target_time

    def _arrange(self, requests, now):
        return sorted(requests, key=lambda item: self._old_key(item, now))

    def _is_full(self, now):
        return False

    def _has_capacity(self, item, now):
        return not super()._is_full(now) and super()._has_capacity(item, now)

    def _prompts_ahead(self, item, now):
        key = self._old_key(item, now)
        return [
            other.size.prompt_tokens
            for other in self._waiting.values()
            if self._old_key(other, now) <= key
        ]

    def backlog(self, now):
        ahead = [
            item.size.prompt_tokens
            for item in self._waiting.values()
            if not self._old_is_late(item, now)
        ]
        prefill = self._pending_prefill_tokens + sum(ahead)
        return max(
            prefill * self.prefill_speed.seconds_per_token,
            self._pacing_delay(now, len(ahead)),
        )

    def reject_overdue(self, now, loaded=None):
        waiting = list(self._waiting.values())
        if self.pacer is not None:
            waiting = self._arrange(waiting, now)
        rejections, kept = [], 0
        for item in waiting:
            if self._misses_deadline(item, now + self._pacing_delay(now, kept)):
                self._remove_waiting(item.key)
                retry_after = self.retry_after(now)
                rejections.append(Rejection(item, retry_after, "waited_too_long"))
            else:
                kept += 1
        return rejections

    def count_missing_adapters(self, loaded, now):
        return len(
            {
                item.adapter
                for item in self._waiting.values()
                if not self._old_is_late(item, now)
                and not loaded.serves(item.adapter, item.version, now)
            }
        )


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
        ),
        st.tuples(st.just("event"), st.integers(0, 60)),
        st.tuples(st.just("end"), st.integers(0, 60)),
        st.tuples(st.just("wait"), st.floats(0.0, 0.4)),
        st.tuples(st.just("limit"), st.sampled_from([None, 3.0, 50.0])),
    ),
    max_size=60,
)


def replay(queue: EngineQueue, steps) -> list[object]:
    """Applies steps to a queue and returns all its decisions and estimates."""
    queue.configure(engine_spec(slots=8))
    now, results = 0.0, []
    loaded = SomeAdaptersLoaded()
    for number, step in enumerate(steps):
        match step:
            case "enqueue", rank, prompt, target, adapter:
                item = request(
                    number,
                    rank=rank,
                    prompt=prompt,
                    target_latency=target,
                    adapter=adapter,
                    arrived=now,
                    timeout=4.0,
                )
                results.append(queue.expected_first_event_delay(item, 0.1))
                results.append(queue.enqueue(item))
            case "event", key:
                queue.record_first_event((1, key), now)
            case "end", key:
                results.append(queue.record_end((1, key)))
            case "wait", elapsed:
                now += elapsed
            case "limit", rate:
                queue.set_rate_limit(rate, now)
        results.append([item.key for item in queue.admit_ready(now, loaded)])
        results.append(queue.reject_overdue(now, loaded))
        results.append((queue.backlog(now), queue.retry_after(now)))
        results.append(queue.count_missing_adapters(loaded, now))
        results.append([vars_of(demand) for demand in queue.adapter_demands(now)])
    return results


def vars_of(demand):
    return demand.adapter, demand.version, demand.sort_key()


class WithoutAccountsTests(unittest.TestCase):
    def test_cache_is_not_shared_without_accounts(self):
        # Guards deployments without accounts against any change of loads and evictions.
        cache = AdapterCache()
        cache.configure(engine_spec(capacity=2))
        cache.record_report(report(A2, A3), 0.0)
        for adapter in (A2, A3, A3):
            cache.record_demand(adapter, 0.0, "")
        demands = [AdapterDemand(A1, on_time_requests=1, accounts={""})]
        self.assertEqual(cache.next_order(demands, 0.1), UnloadAdapter(A2))
        demands += [
            AdapterDemand(adapter, on_time_requests=1, accounts={""})
            for adapter in (A2, A3)
        ]
        self.assertIsNone(cache.next_order(demands, 0.1))

    @given(_STEPS)
    @settings(max_examples=300, deadline=None)
    def test_decisions_are_those_of_the_queue_without_accounts(self, steps):
        # Guards deployments without accounts against any change of order or estimate.
        self.assertEqual(
            replay(EngineQueue(), steps), replay(QueueWithoutAccounts(), steps)
        )


class QueueTests(unittest.TestCase):
    def make_queue(self, *, slots: int = 64) -> EngineQueue:
        queue = EngineQueue()
        queue.configure(engine_spec(slots=slots))
        return queue

    def fill(self, queue: EngineQueue, count: int = 60, **options) -> None:
        options = {"account": "large", "target_latency": 5.0, **options}
        for number in range(count):
            queue.enqueue(request(number, **options))

    def test_estimate_for_a_small_account_skips_the_backlog_of_a_large_one(self):
        # Guards against declining a request that would be served at once.
        queue = self.make_queue()
        self.fill(queue)
        queue.admit_ready(0.0, AllAdaptersLoaded())
        small = queue.expected_first_event_delay(request(900, account="small"))
        large_request = request(901, account="large", target_latency=5.0)
        large = queue.expected_first_event_delay(large_request)
        self.assertLess(small, 0.3)
        self.assertGreater(large, 1.0)

    def test_published_backlog_is_that_of_a_small_account(self):
        # Guards against entries that avoid the engine with the adapter of a small
        # account, because a large one has a backlog there.
        queue = self.make_queue()
        self.fill(queue)
        queue.admit_ready(0.0, AllAdaptersLoaded())
        self.assertLess(queue.backlog(0.0), 0.35)
        self.assertGreater(queue.account_backlogs(0.0)["large"], 1.0)

    def test_rejections_over_the_limit_of_an_engine_hit_the_large_account(self):
        queue = self.make_queue()
        queue.set_rate_limit(5.0, 0.0)
        self.fill(queue, account="large", timeout=4.0)
        for number in range(100, 104):
            queue.enqueue(request(number, account="small", timeout=4.0))
        rejected = []
        for step in range(1, 60):
            now = step * 0.05
            rejected += queue.reject_overdue(now)
            for item in queue.admit_ready(now, AllAdaptersLoaded()):
                queue.record_first_event(item.key, now + 0.01)
        self.assertEqual({item.request.account for item in rejected}, {"large"})

    def test_displaced_request_without_a_chance_is_rejected_at_once(self):
        # Guards against a large account's requests that wait until their deadlines
        # although requests of others have gone ahead of them.
        queue = self.make_queue()
        self.fill(queue, count=80, timeout=3.0)
        self.assertEqual(queue.reject_overdue(0.0, AllAdaptersLoaded()), [])
        for account in range(16):
            for number in range(12):
                key = 100 + 12 * account + number
                queue.enqueue(request(key, account=f"a{account}", target_latency=9.0))
        rejected = queue.reject_overdue(0.0, AllAdaptersLoaded())
        self.assertEqual({item.request.account for item in rejected}, {"large"})
        self.assertGreater(queue.waiting_by_account["large"], 0)
        self.assertEqual(queue.reject_overdue(0.0, NoAdaptersLoaded()), [])

    def test_one_account_alone_gets_the_whole_engine(self):
        queues = [self.make_queue(slots=4) for _ in range(2)]
        admitted = []
        for queue, account in zip(queues, ["large", ""], strict=True):
            self.fill(queue, account=account)
            items = queue.admit_ready(0.0, AllAdaptersLoaded())
            admitted.append([item.key for item in items])
        self.assertEqual(admitted[0], admitted[1])

    def test_estimate_agrees_with_the_order_of_admission(self):
        # Guards against an estimate in one pass that leaves the order itself: requests
        # would be declined that are served in time, or accepted that are not.
        source = random.Random(3)
        for _ in range(60):
            queue = self.make_queue()
            for number in range(60):
                account = source.choice(["a", "a", "a", "b", "c", ""])
                self.add_request(queue, number, account, source)
            new = self.random_request(100, source.choice("abcd"), source)
            delay = queue.expected_first_event_delay(new)
            queue.enqueue(new)
            order = [item.key for item in queue._arrange(queue._waiting.values(), 0.0)]
            keys = order[: order.index(new.key)]
            tokens = sum(queue.request(key).size.prompt_tokens for key in keys)
            speed = queue.prefill_speed
            tokens += new.size.prompt_tokens
            exact = speed.overhead + tokens * speed.seconds_per_token
            self.assertAlmostEqual(delay, exact, delta=0.15 + 0.25 * exact)

    def random_request(self, number: int, account: str, source: random.Random):
        return request(
            number,
            account=account,
            rank=source.randrange(2),
            prompt=source.choice([300, 500, 800]),
            target_latency=source.uniform(2.0, 9.0),
            timeout=100.0,
        )

    def add_request(self, queue, number, account, source) -> None:
        self.assertIsNone(queue.enqueue(self.random_request(number, account, source)))


class PlaceSharesTests(unittest.TestCase):
    def setUp(self):
        self.shares = PlaceShares()
        self.large = [AdapterName(MODEL, f"large{number}") for number in range(20)]
        self.small = [AdapterName(MODEL, f"small{number}") for number in range(20)]

    def use(self, account: str, adapters, now: float = 0.0) -> None:
        for adapter in adapters:
            self.shares.record_use(adapter, account, now)

    def evictable(self, account: str, present, now: float = 0.0):
        """Returns the adapters evictable above a share, and the others."""
        wanted = AdapterDemand(
            AdapterName(MODEL, "new"), on_time_requests=1, accounts={account}
        )
        return self.shares.evictable(present, wanted, present, now)

    def test_flood_evicts_only_its_own_adapters(self):
        present = [*self.large[:7], *self.small[:7]]
        self.use("large", self.large)
        self.use("small", self.small[:7])
        self.assertEqual(self.evictable("large", present), ([], self.large[:7]))

    def test_lent_places_are_taken_back(self):
        # Guards against a flood that keeps the places that it took while they were
        # idle.
        present = [*self.large[:12], *self.small[:2]]
        self.use("large", self.large)
        self.use("small", self.small[:3])
        over_share, others = self.evictable("small", present)
        self.assertEqual(over_share, self.large[:12])
        self.assertEqual(others, self.small[:2])

    def test_idle_places_are_lent(self):
        present = [*self.large[:7], *self.small[:7]]
        self.use("small", self.small[:7])
        later = USE_RETENTION + 0.5
        self.use("large", self.large, later)
        self.assertCountEqual(self.evictable("large", present, later)[1], present)

    def test_adapter_that_a_small_account_shares_is_kept(self):
        # Guards against an account that makes the adapters of others its own by
        # requesting them.
        present = [*self.large[:7], *self.small[:7]]
        self.use("large", present)
        self.use("small", self.small[:7])
        self.assertEqual(self.evictable("large", present)[1], self.large[:7])

    def test_account_without_places_gets_one_from_many_small_ones(self):
        # With more accounts than places, an account would otherwise wait for as long as
        # the others use theirs.
        present = self.small[:14]
        for number, adapter in enumerate(present):
            self.use(f"a{number}", [adapter])
        self.assertEqual(self.evictable("late", present), ([], present))

    def test_account_with_fewest_places_loads_first(self):
        self.use("large", self.large)
        demands = [
            AdapterDemand(adapter, on_time_requests=1, accounts={account})
            for account, adapter in [
                ("large", self.large[6]),
                ("large", self.large[7]),
                ("small", self.small[0]),
            ]
        ]
        ordered = self.shares.order_loads(demands, set(self.large[:6]), 0.0)
        self.assertEqual(ordered[0].adapter, self.small[0])

    def test_memory_is_bounded(self):
        for number in range(5_000):
            self.use("a", [AdapterName(MODEL, f"{number}")])
        self.assertLess(len(self.shares), 2_000)

    def test_requests_without_accounts_leave_no_trace(self):
        self.use("", self.large)
        self.assertEqual(len(self.shares), 0)
        self.assertFalse(self.shares.is_active(0.0))


class PlacesOfAnEngineTests(unittest.TestCase):
    def setUp(self):
        self.cache = AdapterCache()
        self.cache.configure(engine_spec(capacity=4))
        self.hot = [AdapterName(MODEL, f"hot{number}") for number in range(4)]
        self.cache.record_report(report(*self.hot), 0.0)
        for adapter in self.hot:
            self.cache.record_demand(adapter, 0.0, "large")

    def demands(self) -> list[AdapterDemand]:
        return [
            AdapterDemand(adapter, on_time_requests=1, accounts={"large"})
            for adapter in self.hot
        ] + [AdapterDemand(A1, on_time_requests=1, accounts={"small"})]

    def test_waiting_requests_of_a_flood_do_not_keep_its_places(self):
        order = self.cache.next_order(self.demands(), 0.1)
        self.assertIn(order, [UnloadAdapter(adapter) for adapter in self.hot])

    def test_adapter_in_constant_use_is_drained_for_a_small_account(self):
        # Guards against a flood that keeps its adapters in use without a break.
        for adapter in self.hot:
            self.cache.record_admission(adapter, 0.1)
        self.assertIsNone(self.cache.next_order(self.demands(), 0.2))
        drained = [name for name in self.hot if not self.cache.serves(name, 0, 0.2)]
        self.assertEqual(len(drained), 1)
        self.cache.record_end(drained[0], 0.5)
        order = self.cache.next_order(self.demands(), 0.5)
        self.assertEqual(order, UnloadAdapter(drained[0]))

    def test_drain_ends_if_requests_do_not(self):
        for adapter in self.hot:
            self.cache.record_admission(adapter, 0.1)
        self.cache.next_order(self.demands(), 0.2)
        self.assertTrue(all(self.cache.serves(name, 0, 9.0) for name in self.hot))


class AccountMetricsTests(unittest.TestCase):
    def test_number_of_label_values_is_bounded(self):
        metrics = AgentMetrics()
        for number in range(500):
            metrics.observe_admission(0.1, f"a{number}", 100)
        metrics.set_account_waiting({f"b{number}": 1 for number in range(500)})
        lines = metrics.render().decode().splitlines()
        admitted = [
            line for line in lines if line.startswith("fighitch_account_admitted_total")
        ]
        self.assertLess(len(admitted), 70)
        self.assertIn('fighitch_account_waiting{account="(other)"} 500.0', lines)

    def test_account_without_waiting_requests_goes_back_to_0(self):
        metrics = AgentMetrics()
        metrics.set_account_waiting({"a": 3})
        metrics.set_account_waiting({})
        self.assertIn(b'fighitch_account_waiting{account="a"} 0.0', metrics.render())

    def test_requests_without_accounts_have_no_label(self):
        metrics = AgentMetrics()
        metrics.observe_admission(0.1, "", 100)
        metrics.set_account_waiting({"": 3})
        self.assertNotIn(b"account=", metrics.render())


class StatusTests(unittest.TestCase):
    def test_status_of_an_earlier_build_is_read(self):
        body = [8, 1, True, False, 20, 50_000, 0, 3, 1, 0, 7]
        status = msgspec.msgpack.decode(msgspec.msgpack.encode(body), type=Status)
        self.assertEqual((status.token, status.account_backlogs_ms), (7, {}))

    def test_engine_is_ranked_by_the_backlog_of_the_account(self):
        # Guards against a flood that stays at the engines with its adapters while
        # others are idle.
        view = EngineView("e", backlog=0.1, account_backlogs={"large": 2.0})
        self.assertEqual(view.backlog_for("large"), 2.0)
        self.assertEqual(view.backlog_for("small"), 0.1)
        self.assertEqual(view.backlog_for(""), 0.1)


if __name__ == "__main__":
    unittest.main()
