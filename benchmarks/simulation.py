"""Discrete-event fakes of engines and the weight store on a simulated clock.

The fakes implement the interfaces that the cores use and are independent of the arm. An
arm is the decision code under test: it receives the requests and drives the fakes.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from benchmarks.workload import COST, RANKS, Arrival, Deployment, EngineCost
from fighitch.types import Seconds

LOAD_SECONDS = 0.25
UNLOAD_SECONDS = 0.02
SERVICE_SECONDS = 0.03
# Tokens per data event. A preempted stream loses at most the tokens generated after its
# last data event.
TOKENS_PER_DATA = 16
RATE_WINDOW_SECONDS = 1.0
# Tolerance for rounding errors in simulated times.
_TIME_TOLERANCE = 1e-9


class Clock:
    """Simulated clock with a heap of scheduled events."""

    def __init__(self) -> None:
        self.now: Seconds = 0.0
        self._events: list[tuple[Seconds, int, Callable[..., None], tuple]] = []
        self._last_number = 0

    def at(self, time: Seconds, action: Callable[..., None], *args: Any) -> None:
        """Schedules an action; simultaneous actions run in the order of scheduling."""
        self._last_number += 1
        event = (max(time, self.now), self._last_number, action, args)
        heapq.heappush(self._events, event)

    def after(self, delay: Seconds, action: Callable[..., None], *args: Any) -> None:
        """Schedules an action after a delay."""
        self.at(self.now + delay, action, *args)

    def run(self, until: Seconds, *, stop: Callable[[], bool]) -> None:
        """Processes events up to a time, or until ``stop`` returns true."""
        while self._events and self._events[0][0] <= until and not stop():
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)


class WeightStore:
    """Weight store with limits on the start rate and on concurrent loads.

    A load started above the rate is delayed by a token bucket. A load started above the
    limit of loads in transit takes proportionally longer. Both are counted as
    violations.
    """

    def __init__(self, clock: Clock, deployment: Deployment) -> None:
        self._clock = clock
        self._rate = deployment.loads_per_second
        self._max_in_transit = deployment.max_in_transit
        self._recent_starts: deque[Seconds] = deque()
        self._in_transit = 0
        self._tokens = self._rate
        self._tokens_at: Seconds = 0.0
        self.factor = 1.0
        self.starts: list[Seconds] = []
        self.rate_violations = 0
        self.transit_violations = 0

    def load(self, done: Callable[[], None]) -> None:
        """Starts a load and calls ``done`` when it completes."""
        now = self._clock.now
        while (
            self._recent_starts
            and self._recent_starts[0] <= now - RATE_WINDOW_SECONDS + _TIME_TOLERANCE
        ):
            self._recent_starts.popleft()
        self._recent_starts.append(now)
        self.starts.append(now)
        self._in_transit += 1
        self.rate_violations += len(self._recent_starts) > max(1, self._rate)
        self.transit_violations += self._in_transit > self._max_in_transit
        congestion = max(1.0, self._in_transit / self._max_in_transit)
        time = self._throttle_delay(now) + LOAD_SECONDS * self.factor * congestion
        self._clock.after(time, self._finish_load, done)

    def _throttle_delay(self, now: Seconds) -> Seconds:
        earned = (now - self._tokens_at) * self._rate
        self._tokens = min(self._rate, self._tokens + earned) - 1.0
        self._tokens_at = now
        return max(0.0, -self._tokens / self._rate)

    def _finish_load(self, done: Callable[[], None]) -> None:
        self._in_transit -= 1
        done()


class EngineListener(Protocol):
    """Callbacks from an engine to the decision code of its arm."""

    def on_first_token(self, call: int) -> None:
        """Called when the first token of a call was generated."""

    def on_tokens(self, call: int, tokens: int) -> None:
        """Called when a data event with generated tokens is sent."""

    def on_completed(self, call: int) -> None:
        """Called when the response of a call is complete."""

    def on_loaded(self, adapter: str, boot_id: str) -> None:
        """Called when an adapter is loaded."""

    def on_unloaded(self, adapter: str) -> None:
        """Called when an adapter is unloaded."""


@dataclass(slots=True)
class Sequence:
    """A call that runs in the batch of an engine."""

    adapter: str
    rank: int
    remaining: int
    is_started: bool = False
    unsent_tokens: int = 0


@dataclass(slots=True)
class EngineTotals:
    """Accumulated counters of an engine."""

    busy: Seconds = 0.0
    tokens: int = 0
    sequence_steps: int = 0
    steps: int = 0
    slot_seconds: dict[int, Seconds] = field(
        default_factory=lambda: dict.fromkeys(RANKS, 0.0)
    )


class Engine:
    """Engine with continuous batching and a fixed number of adapter slots."""

    def __init__(
        self,
        clock: Clock,
        store: WeightStore,
        deployment: Deployment,
        *,
        cost: EngineCost = COST,
    ) -> None:
        self._clock = clock
        self._store = store
        self._cost = cost
        self._boot_count = 1
        self._running: dict[int, Sequence] = {}
        self._in_step: dict[int, Sequence] = {}
        self._is_stepping = False
        self.slots = deployment.adapter_slots
        self.batch_size = deployment.batch_size
        self.resident: set[str] = set()
        self.loading: set[str] = set()
        self.listener: EngineListener | None = None
        self.on_residency_change: Callable[[str, bool], None] = (
            lambda adapter, is_resident: None
        )
        self.is_dead = False
        self._free_seconds: Seconds = 0.0
        self._free_updated_at: Seconds = 0.0
        self.totals = EngineTotals()
        # Counters of the steps that end within the window; totals cover the whole run.
        self.window: tuple[Seconds, Seconds] = (0.0, 0.0)
        self.window_slot_seconds = dict.fromkeys(RANKS, 0.0)
        self.window_steps = 0
        self.window_busy: Seconds = 0.0

    def free_batch_seconds(self) -> Seconds:
        """Returns the total time during which the batch had a free slot."""
        if len(self._running) < self.batch_size:
            return self._free_seconds + self._clock.now - self._free_updated_at
        return self._free_seconds

    def _update_free_seconds(self) -> None:
        """Accounts the time since the last update; precedes every batch change."""
        self._free_seconds = self.free_batch_seconds()
        self._free_updated_at = self._clock.now

    @property
    def boot_id(self) -> str:
        """Identifier of the current engine start; changes with every restart."""
        return f"boot-{self._boot_count}"

    @property
    def running(self) -> int:
        """Number of calls in the batch."""
        return len(self._running)

    def call(self, call: int, adapter: str, rank: int, tokens: int) -> bool:
        """Starts a call; returns whether the adapter is loaded.

        Raises:
            RuntimeError: If the batch is full, or the adapter is not loaded on an
                engine that was never restarted. Either is a fault of the decision code
                under test. After a restart a missing adapter is no fault, because the
                decision code learns of the restart with a delay.
        """
        if self.is_dead:
            return True
        if adapter not in self.resident and self._boot_count > 1:
            return False
        if adapter not in self.resident:
            raise RuntimeError(f"call for adapter {adapter!r}, which is not loaded")
        if len(self._running) >= self.batch_size:
            raise RuntimeError(f"batch is full: more than {self.batch_size} calls")
        self._update_free_seconds()
        self._running[call] = Sequence(adapter, rank, max(1, tokens))
        self._begin_step()
        return True

    def cancel(self, call: int) -> None:
        """Cancels a running call."""
        self._update_free_seconds()
        self._running.pop(call, None)

    def load(self, adapter: str) -> bool:
        """Loads an adapter from the weight store; returns whether a slot is free.

        Raises:
            RuntimeError: If no slot is free on an engine that was never restarted.
        """
        is_full = len(self.resident | self.loading | {adapter}) > self.slots
        if is_full and self._boot_count > 1:
            return False
        if is_full:
            raise RuntimeError(f"load of adapter {adapter!r} without a free slot")
        self.loading.add(adapter)
        boot_count = self._boot_count
        self._store.load(lambda: self._complete_load(adapter, boot_count))
        return True

    def unload(self, adapter: str) -> None:
        """Unloads an adapter.

        Raises:
            RuntimeError: If a running call uses the adapter.
        """
        if any(item.adapter == adapter for item in self._running.values()):
            raise RuntimeError(f"unload of adapter {adapter!r}, which is in use")
        self._clock.after(
            UNLOAD_SECONDS, self._complete_unload, adapter, self._boot_count
        )
        self.on_residency_change(adapter, False)

    def restart(self) -> list[int]:
        """Restarts the engine without adapters; returns the calls that were lost."""
        self._update_free_seconds()
        lost = [*self._running]
        self._running.clear()
        self._boot_count += 1
        for adapter in self.resident:
            self.on_residency_change(adapter, False)
        self.resident.clear()
        self.loading.clear()
        return lost

    def _complete_load(self, adapter: str, boot_count: int) -> None:
        if boot_count != self._boot_count or self.is_dead or self.listener is None:
            return
        self.loading.discard(adapter)
        self.resident.add(adapter)
        self.on_residency_change(adapter, True)
        self.listener.on_loaded(adapter, self.boot_id)

    def _complete_unload(self, adapter: str, boot_count: int) -> None:
        if boot_count != self._boot_count or self.is_dead or self.listener is None:
            return
        self.resident.discard(adapter)
        self.listener.on_unloaded(adapter)

    def _begin_step(self) -> None:
        if self._is_stepping or not self._running:
            return
        self._is_stepping = True
        sequences = self._running.values()
        time = self._cost.step_time(
            len(sequences),
            len({item.adapter for item in sequences}),
            sum(not item.is_started for item in sequences),
        )
        self._in_step = dict(self._running)
        self._clock.after(time, self._end_step, time, self._boot_count)

    def _end_step(self, time: Seconds, boot_count: int) -> None:
        self._is_stepping = False
        if self.is_dead or self.listener is None:
            return
        now = self._clock.now
        self._record_step(time, self.window[0] <= now < self.window[1])
        for call, sequence in self._in_step.items():
            if self._running.get(call) is sequence:
                self._emit_token(call, sequence)
        self._begin_step()

    def _emit_token(self, call: int, sequence: Sequence) -> None:
        assert self.listener is not None
        sequence.remaining -= 1
        sequence.unsent_tokens += 1
        is_first = not sequence.is_started
        if is_first:
            sequence.is_started = True
            self.listener.on_first_token(call)
        is_last = sequence.remaining <= 0
        if is_first or is_last or sequence.unsent_tokens >= TOKENS_PER_DATA:
            tokens, sequence.unsent_tokens = sequence.unsent_tokens, 0
            self.listener.on_tokens(call, tokens)
        if is_last:
            self._update_free_seconds()
        if is_last and self._running.pop(call, None) is not None:
            self.listener.on_completed(call)

    def _record_step(self, time: Seconds, in_window: bool) -> None:
        totals = self.totals
        totals.busy += time
        totals.steps += 1
        totals.sequence_steps += len(self._in_step)
        totals.tokens += len(self._in_step)
        if in_window:
            self.window_steps += 1
            self.window_busy += time
        for sequence in self._in_step.values():
            totals.slot_seconds[sequence.rank] += time
            if in_window:
                self.window_slot_seconds[sequence.rank] += time


class Arm(Protocol):
    """Decision code under test."""

    def submit(self, arrival: Arrival, attempt: int, deadline: Seconds) -> None:
        """Submits an attempt of a caller's request."""

    def fail_zone(self, zone: str) -> None:
        """Fails every instance in an availability zone."""

    def on_engine_restarted(self, index: int, lost: list[int]) -> None:
        """Called when an engine restarted and lost its running calls."""

    def set_platform_down(self, is_down: bool) -> None:
        """Sets whether the object API is unavailable."""
