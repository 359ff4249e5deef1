"""Request queue and admission control of one model engine.

Load pattern: a burst brings more prompts than the engine can prefill in time. Prompts
that are sent to the engine all at once delay each other, so that every first event is
late. The queue admits only as many prompt tokens as the engine prefills within
``PREFILL_WINDOW``, starting with requests that can still meet their latency target, and
rejects a request as soon as it is known to miss its deadline. Within the window, a
prompt joins others only if the running streams keep their gap target (``event_gaps``).
An engine that limits its requests gets them spaced (``request_pacer``). Requests of
several client accounts are ordered by fair shares (``fair_order``).
"""

import heapq
import sys
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from fighitch.core.gateway.adapter_demand import AdapterDemand
from fighitch.core.gateway.event_gaps import EventPace, GapLimits
from fighitch.core.gateway.fair_order import (
    AccountLoad,
    FairOrder,
    LevelScale,
    LoadAhead,
    Work,
)
from fighitch.core.gateway.model import AdapterName, EngineSpec, RequestSize
from fighitch.core.gateway.request_pacer import RequestPacer
from fighitch.types import Seconds

# Prefill time of the prompts that are admitted ahead. It covers several round trips to
# a distant entry, so that the engine never idles while requests wait.
PREFILL_WINDOW: Seconds = 0.15
# Initial estimates, replaced by measurements: 20 tokens/ms, 60 ms to a first event.
_INITIAL_SECONDS_PER_TOKEN = 5e-5
_INITIAL_OVERHEAD: Seconds = 0.06
_SMOOTHING_FACTOR = 0.05
_OVERHEAD_SMOOTHING_FACTOR = 0.2
# With fewer prompt tokens, the overhead outweighs the prefill time that is measured.
_MIN_SPEED_SAMPLE_TOKENS = 256
# Limits of a measured speed, against outliers.
_MIN_SECONDS_PER_TOKEN = 5e-6
_MAX_SECONDS_PER_TOKEN = 5e-4
# Load time that is assumed when requests are compared with their latency targets.
_EXPECTED_LOAD_TIME: Seconds = 0.25
_MAX_KV_SHARE = 0.92  # the rest absorbs responses that are longer than announced
# Time reserved for generation when an expected start is compared with a deadline.
_GENERATION_RESERVE: Seconds = 0.8
# Rejected callers are told to retry when the queue has drained, so that their retries
# are spread according to the load.
_MIN_RETRY_AFTER: Seconds = 0.3
_MAX_RETRY_AFTER: Seconds = 3.0

# Share of the prompts ahead that a waiting request certainly waits for: some are
# cancelled or rejected first, and the measured prefill speed may be too low. A request
# that can still be served must not be rejected.
_CERTAIN_SHARE_AHEAD = 0.5
# Accounts whose backlogs are published. Only accounts with far more waiting work than
# others differ from the common estimate, and there are few of these at a time.
_MAX_ACCOUNT_BACKLOGS = 8

# Memory of a waiting request beside its text.
_REQUEST_BYTES = 1_500

# Number of the entry's connection, and number of the request on this connection.
RequestKey = tuple[int, int]


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """Request for admission to the engine.

    Attributes:
        key: Identifies the request among those of all entries.
        adapter: Adapter that the request uses.
        version: Oldest adapter version that the request accepts; 0 for any.
        rank: Priority rank; 0 is the most urgent.
        size: Tokens of the prompt and of the response.
        arrived: Arrival time.
        target_time: Time by which the first event meets the latency target.
        deadline: Time after which a response is useless to the caller.
        request_id: Id of the request, for the log.
        gap_target: Longest pause between events with which a stream is on time.
        account: Client account of the request; empty for none.
        weight: Share of the account relative to the mean of all accounts.
    """

    key: RequestKey
    adapter: AdapterName
    version: int
    rank: int
    size: RequestSize
    arrived: Seconds
    target_time: Seconds
    deadline: Seconds
    request_id: str = ""
    gap_target: Seconds = float("inf")
    account: str = ""
    weight: float = 1.0

    @property
    def tokens(self) -> int:
        """Tokens that the request needs in the KV cache."""
        return self.size.prompt_tokens + self.size.output_tokens

    @property
    def memory(self) -> int:
        """Bytes that the request takes in the queue."""
        adapter = self.adapter
        names = len(adapter.model) + len(adapter.adapter) + len(self.account)
        return _REQUEST_BYTES + names + len(self.request_id)


@dataclass(slots=True)
class _RunningRequest:
    """Admitted request that has not ended.

    Attributes:
        request: The request.
        admitted_at: Time of the admission.
        tokens_ahead: Prompt tokens that were pending at the admission, including those
            of the request.
        has_first_event: Whether its first event has arrived.
    """

    request: EngineRequest
    admitted_at: Seconds
    tokens_ahead: int
    has_first_event: bool = False


@dataclass(frozen=True, slots=True)
class Rejection:
    """Rejection of a request that the engine can't serve, or can't serve in time.

    Attributes:
        request: The rejected request.
        retry_after: Time until capacity is expected.
        reason: Reason for the log and the metrics.
    """

    request: EngineRequest
    retry_after: Seconds
    reason: str


@dataclass(slots=True)
class PrefillSpeed:
    """Moving estimate of the prefill speed of the engine.

    Attributes:
        seconds_per_token: Prefill time of one prompt token.
        overhead: Time to the first event on an idle engine, without prefill.
    """

    seconds_per_token: Seconds = _INITIAL_SECONDS_PER_TOKEN
    overhead: Seconds = _INITIAL_OVERHEAD

    def update(self, elapsed: Seconds, tokens_ahead: int) -> None:
        """Updates the estimate with the first event of a request.

        Args:
            elapsed: Time from admission to the first event.
            tokens_ahead: Prompt tokens that had to be prefilled, including those of the
                request.
        """
        if elapsed < self.overhead:
            self.overhead += _OVERHEAD_SMOOTHING_FACTOR * (elapsed - self.overhead)
        if tokens_ahead < _MIN_SPEED_SAMPLE_TOKENS:
            # Only a short prompt separates the overhead from the prefill time.
            rest = elapsed - tokens_ahead * self.seconds_per_token
            self.overhead += _SMOOTHING_FACTOR * (rest - self.overhead)
            return
        sample = max(0.0, elapsed - self.overhead) / tokens_ahead
        sample = min(_MAX_SECONDS_PER_TOKEN, max(_MIN_SECONDS_PER_TOKEN, sample))
        self.seconds_per_token += _SMOOTHING_FACTOR * (sample - self.seconds_per_token)


@dataclass(slots=True)
class EngineQueue:
    """Waiting and running requests of one engine.

    Attributes:
        slots: Maximum number of running requests.
        kv_tokens: Capacity of the KV cache, in tokens.
        prefill_speed: Estimated prefill speed.
        event_pace: Pace of the running streams.
        pacer: Spaces the requests if the engine limits them; None for no limit.
        max_memory: Bytes that waiting requests may take.
    """

    slots: int = 1
    kv_tokens: int = 0
    prefill_speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    event_pace: EventPace = field(default_factory=EventPace)
    pacer: RequestPacer | None = None
    max_memory: int = sys.maxsize
    _waiting: dict[RequestKey, EngineRequest] = field(default_factory=dict)
    _running: dict[RequestKey, _RunningRequest] = field(default_factory=dict)
    _fair_order: FairOrder = field(default_factory=FairOrder)
    _pending_prefill_tokens: int = 0
    _reserved_kv_tokens: int = 0
    _waiting_prompt_tokens: int = 0
    _waiting_memory: int = 0

    def configure(self, engine: EngineSpec) -> None:
        """Sets the limits of the engine."""
        self.slots = engine.batch_slots
        self.kv_tokens = engine.kv_tokens

    def set_rate_limit(self, rate: float | None, now: Seconds) -> None:
        """Sets the limit of the engine on requests per second; None for no limit."""
        if rate is None:
            self.pacer = None
        elif self.pacer is None:
            self.pacer = RequestPacer.for_rate(rate, now)
        else:
            self.pacer.set_rate(rate, now)

    @property
    def running(self) -> int:
        """Number of requests admitted to the engine that have not ended."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def waiting_by_account(self) -> dict[str, int]:
        """Number of waiting requests by account, of those that have any."""
        return self._fair_order.waiting

    @property
    def waiting_requests(self) -> list[EngineRequest]:
        """Waiting requests, the most urgent first."""
        return sorted(
            self._waiting.values(),
            key=lambda request: (request.rank, request.target_time),
        )

    def adapter_demands(self, now: Seconds) -> list[AdapterDemand]:
        """Returns the adapters that requests wait for, in the order of loading.

        Adapters of requests that can still meet their latency target go first. While
        loads are delayed, loading in order of arrival would make all requests late,
        including the newest.
        """
        demands: dict[AdapterName, AdapterDemand] = {}
        for request in self._waiting.values():
            demand = demands.get(request.adapter)
            if demand is None:
                demand = demands[request.adapter] = AdapterDemand(request.adapter)
            demand.add_request(
                version=request.version,
                rank=request.rank,
                target_time=request.target_time,
                on_time=now + _EXPECTED_LOAD_TIME < request.target_time,
                account=request.account,
            )
        return sorted(demands.values(), key=AdapterDemand.sort_key)

    def count_missing_adapters(
        self,
        loaded: "LoadedAdapters",
        now: Seconds,
        account: str | None = None,
        *,
        weight: float = 1.0,
    ) -> int:
        """Returns how many loads precede a load for a new request.

        These are the adapters that are missing for waiting requests that are not late.
        With named accounts, each other account precedes with one of them, and as many
        more as the account of the request has, in proportion to their weights.

        Args:
            loaded: Adapters that the engine can serve.
            now: Current time.
            account: Account of the new request; None for one without other requests.
            weight: Weight of this account.
        """
        first_event = self._earliest_first_event(now)
        missing = [
            request
            for request in self._waiting.values()
            if not self._sort_key(request, first_event)[0]
            and not loaded.serves(request.adapter, request.version, now)
        ]
        if not self._fair_order.has_named_accounts:
            return len({request.adapter for request in missing})
        # An adapter that several accounts wait for is loaded once.
        loads = Counter(
            {request.adapter: request.account for request in missing}.values()
        )
        own = 0 if account is None else loads.pop(account, 0)
        return own + sum(
            min(count, 1 + int(own * (self._fair_order.weight(name) / weight)))
            for name, count in loads.items()
        )

    @property
    def drain_time(self) -> Seconds:
        """Estimated time to prefill all admitted and waiting prompts."""
        return (
            self._pending_prefill_tokens + self._waiting_prompt_tokens
        ) * self.prefill_speed.seconds_per_token

    def backlog(self, now: Seconds) -> Seconds:
        """Estimates how long a new request waits until its prefill starts.

        Late requests are not counted, as new requests that can meet their latency
        target precede them. Counting them would send callers to engines that have to
        load the adapter first. With named accounts, the new request is one of an
        account that has no others waiting; ``account_backlogs`` adds to this.
        """
        if self._fair_order.has_named_accounts:
            loads = self._account_loads(now)
            scale = self._fair_order.level_scale
            return self._backlog_of(None, AccountLoad(), loads, scale, now)
        first_event = self._earliest_first_event(now)
        ahead = [
            request.size.prompt_tokens
            for request in self._waiting.values()
            if not self._sort_key(request, first_event)[0]
        ]
        return self._start_delay(sum(ahead), len(ahead), now)

    def account_backlogs(self, now: Seconds) -> dict[str, Seconds]:
        """Estimates the backlog for new requests of the accounts with most to wait for.

        Returns:
            The estimates by account; empty without named accounts.
        """
        if not self._fair_order.has_named_accounts:
            return {}
        loads, scale = self._account_loads(now), self._fair_order.level_scale
        largest = heapq.nlargest(
            _MAX_ACCOUNT_BACKLOGS, loads.items(), key=lambda item: item[1].cost
        )
        return {
            account: self._backlog_of(account, load, loads, scale, now)
            for account, load in largest
        }

    def _account_loads(self, now: Seconds) -> dict[str, AccountLoad]:
        """Returns the waiting requests that are not late, by account."""
        requests = list(self._waiting.values())
        loads: dict[str, AccountLoad] = {}
        work = self._work(requests, now)
        for request, (late, _, _, account, cost) in zip(requests, work, strict=True):
            if not late:
                load = loads.get(account)
                if load is None:
                    load = loads[account] = AccountLoad()
                load.add(request.size.prompt_tokens, cost)
        return loads

    def _backlog_of(
        self,
        account: str | None,
        own: AccountLoad,
        loads: Mapping[str, AccountLoad],
        scale: LevelScale,
        now: Seconds,
    ) -> Seconds:
        """Returns the backlog for a new request of one account."""
        weight = 1.0 if account is None else self._fair_order.weight(account)
        start = self._fair_order.virtual_start(account) + own.cost / weight
        level = scale.level(start, weight)
        ahead = AccountLoad()
        for name, load in loads.items():
            share = 1.0
            if name != account:
                share = self._fair_order.share_ahead(
                    level, name, load, scale=scale, earlier=load.cost
                )
            ahead.add_share(load, share)
        return self._start_delay(ahead.prompt_tokens, round(ahead.requests), now)

    def _start_delay(self, tokens: float, requests: int, now: Seconds) -> Seconds:
        """Returns the time until a prefill starts with waiting requests ahead."""
        prefill = self._pending_prefill_tokens + tokens
        return max(
            prefill * self.prefill_speed.seconds_per_token,
            self._pacing_delay(now, requests),
        )

    def expected_first_event_delay(
        self, request: EngineRequest, load_wait: Seconds = 0.0
    ) -> Seconds:
        """Estimates the time from the arrival of a request to its first event.

        Args:
            request: New request.
            load_wait: Time until the adapter is loaded.
        """
        return (
            self._expected_first_event(
                request, self._expected_start(request, load_wait)
            )
            - request.arrived
        )

    def enqueue(
        self, request: EngineRequest, load_wait: Seconds = 0.0
    ) -> Rejection | None:
        """Adds a request to the queue, or rejects it if it would miss its deadline.

        Args:
            request: New request.
            load_wait: Time until the adapter is loaded.

        Returns:
            The rejection; None if the request was queued.
        """
        if self._waiting_memory + request.memory > self.max_memory:
            return Rejection(request, _MAX_RETRY_AFTER, "queue_full")
        start = self._expected_start(request, load_wait)
        if request.tokens > self.kv_tokens > 0:
            return Rejection(request, _MAX_RETRY_AFTER, "larger_than_engine")
        if self._misses_deadline(request, start):
            retry_after = self.retry_after(request.arrived)
            return Rejection(request, retry_after, "deadline_out_of_reach")
        self._remove_waiting(request.key)
        self._waiting[request.key] = request
        self._waiting_prompt_tokens += request.size.prompt_tokens
        self._waiting_memory += request.memory
        self._fair_order.add(request.account, request.weight)
        return None

    def admit_ready(
        self, now: Seconds, loaded: "LoadedAdapters"
    ) -> list[EngineRequest]:
        """Admits waiting requests while the engine has capacity.

        Requests whose adapter is not loaded are skipped. Requests that can still meet
        their latency target go first, then those of the most urgent rank, then those of
        the account that has had the smallest share.

        Args:
            now: Current time.
            loaded: Adapters that the engine can serve.

        Returns:
            The admitted requests, in the order of admission.
        """
        admitted: list[EngineRequest] = []
        if not self._waiting:
            return admitted
        eligible = [
            request
            for request in self._waiting.values()
            if loaded.serves(request.adapter, request.version, now)
        ]
        if not eligible or self._is_full(now):
            return admitted
        for request in self._arrange(eligible, now):
            if not self._has_capacity(request, now):
                break
            self._admit(request, now)
            admitted.append(request)
        return admitted

    def reject_overdue(
        self, now: Seconds, loaded: "LoadedAdapters | None" = None
    ) -> list[Rejection]:
        """Rejects waiting requests that can no longer meet their deadline.

        With named accounts, requests of other accounts may have gone ahead since a
        request was accepted. Those whose turn comes too late are rejected as well.

        Args:
            now: Current time.
            loaded: Adapters that the engine can serve. Only requests for these count
                as ahead; None if none are known.
        """
        rejections = []
        kept = prompt_tokens = 0
        is_shared = loaded is not None and self._fair_order.has_named_accounts
        if is_shared and not self._may_miss_deadlines(now):
            return []
        # The order is complete before requests are removed.
        for request in list(self._by_urgency(now)):
            # Requests without a chance must not wait for their turn.
            delay = self._pacing_delay(now, kept)
            if is_shared:
                certain = _CERTAIN_SHARE_AHEAD * prompt_tokens
                delay = self._start_delay(certain, kept, now)
            if self._misses_deadline(request, now + delay):
                self._remove_waiting(request.key)
                rejections.append(
                    Rejection(request, self.retry_after(now), "waited_too_long")
                )
                continue
            kept += 1
            if loaded is not None and is_shared:
                is_loaded = loaded.serves(request.adapter, request.version, now)
                prompt_tokens += is_loaded * request.size.prompt_tokens
        return rejections

    def _may_miss_deadlines(self, now: Seconds) -> bool:
        """Returns whether a request would miss its deadline as the last of the queue.

        This is quick to tell, and usually spares the order of the whole queue.
        """
        certain = _CERTAIN_SHARE_AHEAD * self._waiting_prompt_tokens
        start = now + self._start_delay(certain, len(self._waiting), now)
        first_event = start + self.prefill_speed.overhead
        speed = self.prefill_speed.seconds_per_token
        return any(
            first_event + request.size.prompt_tokens * speed + _GENERATION_RESERVE
            > request.deadline
            for request in self._waiting.values()
        )

    def _by_urgency(self, now: Seconds) -> Iterable[EngineRequest]:
        """Returns the waiting requests in the order of admission."""
        if self.pacer is None and not self._fair_order.has_named_accounts:
            return list(self._waiting.values())
        return self._arrange(self._waiting.values(), now)

    def _arrange(
        self, requests: Iterable[EngineRequest], now: Seconds
    ) -> Iterable[EngineRequest]:
        """Returns requests in the order of admission.

        Without named accounts, the order within a rank is that of the target times.
        With them, the order is computed as far as the caller takes it.
        """
        if not self._fair_order.has_named_accounts:
            first_event = self._earliest_first_event(now)
            return sorted(requests, key=lambda item: self._sort_key(item, first_event))
        listed = list(requests)
        order = self._fair_order.arrange(self._work(listed, now))
        return (listed[index] for index in order)

    def _work(self, requests: Sequence[EngineRequest], now: Seconds) -> list[Work]:
        """Returns what the fair order needs to know of requests.

        A request costs its account the time to prefill its tokens. Output tokens count
        as much as prompt tokens: both occupy the KV cache. If the engine limits its
        requests, each costs at least the time until the next one.
        """
        first_event = self._earliest_first_event(now)
        speed = self.prefill_speed.seconds_per_token
        min_cost = 0.0 if self.pacer is None else self.pacer.interval
        work = []
        # This loop runs for every decision, so that calls in it would add up.
        for request in requests:
            size, target = request.size, request.target_time
            prefill = size.prompt_tokens * speed
            late = first_event + prefill > target
            cost = prefill + size.output_tokens * speed
            if cost < min_cost:
                cost = min_cost
            work.append((late, request.rank, target, request.account, cost))
        return work

    def _pacing_delay(self, now: Seconds, ahead: int) -> Seconds:
        """Returns the time until a request with others ahead may be sent."""
        return 0.0 if self.pacer is None else self.pacer.delay(now, ahead=ahead)

    def request(self, key: RequestKey) -> EngineRequest | None:
        """Returns the waiting or running request with a key, or None."""
        running = self._running.get(key)
        return running.request if running is not None else self._waiting.get(key)

    def admitted_at(self, key: RequestKey) -> Seconds | None:
        """Returns when a running request was admitted; None if it does not run."""
        running = self._running.get(key)
        return None if running is None else running.admitted_at

    def awaits_event(self, key: RequestKey) -> bool:
        """Returns whether a request runs that has no event yet."""
        running = self._running.get(key)
        return running is not None and not running.has_first_event

    def record_first_event(self, key: RequestKey, now: Seconds) -> None:
        """Records the first event of a request, which ends its prefill."""
        running = self._running.get(key)
        if running is None or running.has_first_event:
            return
        running.has_first_event = True
        self._pending_prefill_tokens -= running.request.size.prompt_tokens
        self.prefill_speed.update(now - running.admitted_at, running.tokens_ahead)

    def record_end(self, key: RequestKey) -> bool:
        """Removes a request that ended or that its entry cancelled.

        Returns:
            Whether the request was running.
        """
        self._remove_waiting(key)
        running = self._running.pop(key, None)
        if running is None:
            return False
        self._reserved_kv_tokens -= running.request.tokens
        if not running.has_first_event:
            self._pending_prefill_tokens -= running.request.size.prompt_tokens
        return True

    def record_events(self, events: Mapping[str, int], now: Seconds) -> None:
        """Records how many events the running requests have produced, by request id."""
        self.event_pace.record_events(
            events, now, is_prefilling=self._pending_prefill_tokens > 0
        )

    def drop_connection(self, connection: int) -> list[EngineRequest]:
        """Removes all requests of a lost entry and returns those that were running."""
        keys = [key for key in (*self._waiting, *self._running) if key[0] == connection]
        admitted = [self._running[key].request for key in keys if key in self._running]
        for key in keys:
            self.record_end(key)
        return admitted

    def retry_after(self, now: Seconds) -> Seconds:
        """Returns the delay after which a rejected caller should retry."""
        drain_time = max(self.drain_time, self._pacing_delay(now, len(self._waiting)))
        return min(_MAX_RETRY_AFTER, max(_MIN_RETRY_AFTER, drain_time))

    def _sort_key(
        self, request: EngineRequest, first_event: Seconds
    ) -> tuple[bool, int, Seconds]:
        """Returns the sort key of a request without a named account.

        Args:
            request: Waiting request.
            first_event: Result of ``_earliest_first_event``.
        """
        prefill = request.size.prompt_tokens * self.prefill_speed.seconds_per_token
        is_late = first_event + prefill > request.target_time
        return is_late, request.rank, request.target_time

    def _is_late(self, request: EngineRequest, now: Seconds) -> bool:
        prefill = request.size.prompt_tokens * self.prefill_speed.seconds_per_token
        return self._earliest_first_event(now) + prefill > request.target_time

    def _earliest_first_event(self, now: Seconds) -> Seconds:
        """Returns when a prompt without tokens would get its first event."""
        start = (
            now + self._pending_prefill_tokens * self.prefill_speed.seconds_per_token
        )
        return start + self.prefill_speed.overhead

    def _expected_first_event(self, request: EngineRequest, start: Seconds) -> Seconds:
        """Estimates the time of the first event if the prefill begins at ``start``."""
        prefill = request.size.prompt_tokens * self.prefill_speed.seconds_per_token
        return start + self.prefill_speed.overhead + prefill

    def _misses_deadline(self, request: EngineRequest, start: Seconds) -> bool:
        return (
            self._expected_first_event(request, start) + _generation_reserve(request)
            > request.deadline
        )

    def _is_full(self, now: Seconds) -> bool:
        """Returns whether the engine has no capacity for a request of any size."""
        if len(self._running) >= self.slots or self._pacing_delay(now, 0) > 0:
            return True
        pending = self._pending_prefill_tokens * self.prefill_speed.seconds_per_token
        return bool(self._running) and pending >= PREFILL_WINDOW

    def _has_capacity(self, request: EngineRequest, now: Seconds) -> bool:
        if self._is_full(now):
            return False
        if not self._running:
            # An idle engine also runs a request that exceeds _MAX_KV_SHARE on its own.
            return True
        if self._reserved_kv_tokens + request.tokens > _MAX_KV_SHARE * self.kv_tokens:
            return False
        return self._keeps_gap_targets(request, now) or self._is_urgent(request, now)

    def _keeps_gap_targets(self, request: EngineRequest, now: Seconds) -> bool:
        """Returns whether the prefill of a prompt leaves the running streams on time.

        A prompt joins pending ones only if their pause is short enough. A single prompt
        can't be divided and is always admitted.
        """
        pending_tokens = self._active_prefill_tokens(now)
        if not pending_tokens:
            return True
        gap_target = min(
            running.request.gap_target for running in self._running.values()
        )
        limits = GapLimits(
            gap_target=min(gap_target, request.gap_target),
            # Without prefill, the first event takes about as long as any other.
            event_interval=self.prefill_speed.overhead,
            seconds_per_token=self.prefill_speed.seconds_per_token,
            slowdown=self.event_pace.worst_slowdown,
        )
        return limits.allows(request.size.prompt_tokens, pending_tokens)

    def _active_prefill_tokens(self, now: Seconds) -> int:
        """Returns the prompt tokens that the engine may be prefilling.

        A prompt without a first event after the longest expected time has not reached
        the engine, or its entry does not report.
        """
        slow_seconds_per_token = (
            self.prefill_speed.seconds_per_token * self.event_pace.worst_slowdown
        )
        return sum(
            running.request.size.prompt_tokens
            for running in self._running.values()
            if not running.has_first_event
            and now
            < running.admitted_at
            + running.tokens_ahead * slow_seconds_per_token
            + self.prefill_speed.overhead
        )

    def _is_urgent(self, request: EngineRequest, now: Seconds) -> bool:
        """Returns whether a request is on time only if it joins the pending prompts."""
        if self._is_late(request, now):
            return False
        speed = self.prefill_speed
        pending = self._pending_prefill_tokens * speed.seconds_per_token
        start = now + pending + speed.overhead
        return self._expected_first_event(request, start) > request.target_time

    def _admit(self, request: EngineRequest, now: Seconds) -> None:
        self._charge(request, now)
        self._remove_waiting(request.key)
        if self.pacer is not None:
            self.pacer.take(now)
        self._pending_prefill_tokens += request.size.prompt_tokens
        self._reserved_kv_tokens += request.tokens
        self._running[request.key] = _RunningRequest(
            request, now, self._pending_prefill_tokens
        )

    def _remove_waiting(self, key: RequestKey) -> None:
        request = self._waiting.pop(key, None)
        if request is not None:
            self._waiting_prompt_tokens -= request.size.prompt_tokens
            self._waiting_memory -= request.memory
            self._fair_order.remove(request.account)

    def _charge(self, request: EngineRequest, now: Seconds) -> None:
        """Charges an admitted request to its account."""
        ((late, *_, cost),) = self._work([request], now)
        self._fair_order.charge(request.account, cost, late=late)

    def _expected_start(self, request: EngineRequest, load_wait: Seconds) -> Seconds:
        """Estimates when the prefill of a new request starts."""
        now = request.arrived
        if request.account or self._fair_order.has_named_accounts:
            ahead = self._load_ahead(request, now)
            prompt_tokens, requests = ahead.prompt_tokens, round(ahead.requests)
        else:
            prompts = self._prompts_ahead(request, now)
            prompt_tokens, requests = sum(prompts), len(prompts)
        return now + max(load_wait, self._start_delay(prompt_tokens, requests, now))

    def _prompts_ahead(self, request: EngineRequest, now: Seconds) -> list[int]:
        """Returns the prompts that precede a new request, without named accounts."""
        first_event = self._earliest_first_event(now)
        sort_key = self._sort_key(request, first_event)
        return [
            other.size.prompt_tokens
            for other in self._waiting.values()
            if self._sort_key(other, first_event) <= sort_key
        ]

    def _load_ahead(self, request: EngineRequest, now: Seconds) -> AccountLoad:
        """Estimates the requests that precede a new one in the fair order."""
        requests = list(self._waiting.values())
        (new,) = self._work([request], now)
        comparison = LoadAhead(new, request.weight)
        for other, work in zip(requests, self._work(requests, now), strict=True):
            comparison.add(work, other.size.prompt_tokens)
        return comparison.total(self._fair_order)


class LoadedAdapters(Protocol):
    """Adapters that an engine can serve now."""

    def serves(self, adapter: AdapterName, version: int, now: Seconds) -> bool:
        """Returns whether the engine can serve an adapter.

        Args:
            adapter: Requested adapter.
            version: Oldest version that the request accepts; 0 for any.
            now: Current time.
        """


def _generation_reserve(request: EngineRequest) -> Seconds:
    # With the full reserve, a request with a short deadline would never be admitted.
    return min(_GENERATION_RESERVE, 0.1 * (request.deadline - request.arrived))
