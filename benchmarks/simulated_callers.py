"""Simulated callers, which send requests, retry rejected ones and record outcomes."""

import random
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.simulation import Arm, Clock, Engine
from benchmarks.workload import BATCH, PROFILES, Arrival
from fighitch.types import Seconds

# One-way latency between a caller and an entry.
CALLER_LATENCY = 0.002
MAX_ATTEMPTS = 6
MIN_RETRY_SECONDS = 0.05


@dataclass(slots=True)
class Outcome:
    """Outcome of a request.

    Attributes:
        arrival: The request.
        first_token_at: Time of the first token; None if there was none.
        done_at: Time of the complete response; None if there was none.
        failure: Kind of the last failure; empty after a complete response.
        attempts: Number of times that the caller sent the request.
        stalled: Time that the request waited for an adapter load, over all attempts.
    """

    arrival: Arrival
    first_token_at: Seconds | None = None
    done_at: Seconds | None = None
    failure: str = ""
    attempts: int = 0
    stalled: Seconds = 0.0

    @property
    def time_to_first_token(self) -> Seconds | None:
        """Time from the arrival to the first token; None without a first token."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.arrival.at

    @property
    def met_deadline(self) -> bool:
        """Whether the complete response arrived within the deadline."""
        deadline = self.arrival.at + PROFILES[self.arrival.rank].deadline
        return self.done_at is not None and self.done_at <= deadline

    @property
    def met_targets(self) -> bool:
        """Whether the deadline and the target of the first token were met."""
        time = self.time_to_first_token
        target = PROFILES[self.arrival.rank].target
        return self.met_deadline and time is not None and time <= target


class StallTracker:
    """Measures the time that queued requests wait for their adapter to be loaded.

    For the least urgent rank, only time during which the engine's batch has a free slot
    is counted: with a full batch the request could not run even with its adapter
    loaded.
    """

    def __init__(self, clock: Clock, outcomes: Sequence[Outcome]) -> None:
        self._clock = clock
        self._outcomes = outcomes
        self._waiting: dict[tuple[int, str], dict[str, int]] = defaultdict(dict)
        self._wait_keys: dict[str, tuple[int, str]] = {}
        self._stalled_since: dict[str, Seconds] = {}
        self._engines: dict[int, Engine] = {}

    def watch(self, index: int, engine: Engine) -> None:
        """Tracks which adapters are resident on an engine."""
        self._engines[index] = engine
        engine.on_residency_change = lambda adapter, is_resident: (
            self._on_residency_change(index, adapter, is_resident)
        )

    def start_wait(self, request: str, number: int, index: int, engine: Engine) -> None:
        """Records that a request starts to wait at an engine."""
        adapter = self._outcomes[number].arrival.adapter
        self._waiting[index, adapter][request] = number
        self._wait_keys[request] = (index, adapter)
        if adapter not in engine.resident:
            self._stalled_since[request] = self._stall_clock(number, index)

    def end_wait(self, request: str) -> None:
        """Records that a request was dispatched or that its attempt ended."""
        wait_key = self._wait_keys.pop(request, None)
        if wait_key is None:
            return
        number = self._waiting[wait_key].pop(request)
        self._end_stall(request, number, wait_key[0])

    def _on_residency_change(self, index: int, adapter: str, is_resident: bool) -> None:
        for request, number in self._waiting.get((index, adapter), {}).items():
            if is_resident:
                self._end_stall(request, number, index)
            else:
                self._stalled_since.setdefault(
                    request, self._stall_clock(number, index)
                )

    def _end_stall(self, request: str, number: int, index: int) -> None:
        stalled_since = self._stalled_since.pop(request, None)
        if stalled_since is not None:
            self._outcomes[number].stalled += (
                self._stall_clock(number, index) - stalled_since
            )

    def _stall_clock(self, number: int, index: int) -> Seconds:
        if self._outcomes[number].arrival.rank == BATCH:
            return self._engines[index].free_batch_seconds()
        return self._clock.now


class SimulatedCallers:
    """Sends the arrivals to an arm and retries requests that failed without running."""

    def __init__(
        self, clock: Clock, arrivals: Sequence[Arrival], rng: random.Random
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._arm: Arm | None = None
        self._open_requests = len(arrivals)
        self.outcomes = [Outcome(arrival) for arrival in arrivals]
        self.refusals: Counter[tuple[int, str]] = Counter()

    @property
    def are_done(self) -> bool:
        """Whether every request has ended."""
        return self._open_requests <= 0

    def start(self, arm: Arm) -> None:
        """Schedules the first attempt of every request."""
        self._arm = arm
        for outcome in self.outcomes:
            arrival = outcome.arrival
            self._clock.at(arrival.at + CALLER_LATENCY, self._send, outcome)

    def on_first_token(self, number: int) -> None:
        """Records the time of the first token; first tokens of retries are ignored."""
        outcome = self.outcomes[number]
        if outcome.first_token_at is None:
            outcome.first_token_at = self._clock.now + CALLER_LATENCY

    def on_response(self, number: int) -> None:
        """Records that the complete response left the entry."""
        outcome = self.outcomes[number]
        if outcome.done_at is None:
            outcome.done_at = self._clock.now + CALLER_LATENCY
            outcome.failure = ""
            self._open_requests -= 1

    def on_failure(
        self, number: int, kind: str, *, retry_after: Seconds | None, not_run: bool
    ) -> None:
        """Records a failed attempt and schedules a retry if it can meet the target."""
        outcome = self.outcomes[number]
        rank = outcome.arrival.rank
        self.refusals[rank, kind] += 1
        outcome.failure = kind
        delay = max(MIN_RETRY_SECONDS, retry_after or 0.0)
        # Callers of the least urgent rank use exponential back-off with jitter.
        if rank == BATCH:
            delay *= 2 ** (outcome.attempts - 1) * (1 + self._rng.random())
        latest_retry = outcome.arrival.at + PROFILES[rank].target
        retry_at = self._clock.now + 2 * CALLER_LATENCY + delay
        if not_run and outcome.attempts < MAX_ATTEMPTS and retry_at < latest_retry:
            self._clock.at(retry_at, self._send, outcome)
            return
        self._open_requests -= 1

    def _send(self, outcome: Outcome) -> None:
        assert self._arm is not None
        outcome.attempts += 1
        arrival = outcome.arrival
        deadline = arrival.at + PROFILES[arrival.rank].deadline
        self._arm.submit(arrival, outcome.attempts, deadline)
