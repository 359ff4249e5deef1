"""Callers: they send the arrivals, repeat refused requests and note the outcome."""

import random
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.simulation import Arm, Clock, Engine
from benchmarks.workload import BATCH, PROFILES, Arrival
from fighitch.types import Seconds

# One way between a caller and an entry.
CALLER_LATENCY = 0.002
MAX_ATTEMPTS = 6
MIN_REPEAT_SECONDS = 0.05


@dataclass(slots=True)
class Outcome:
    """What became of a request.

    Attributes:
        arrival: The request.
        first_token_at: Time of the first token; None if there was none.
        done_at: Time of the whole answer; None if there was none.
        failure: Kind of the last failure; empty if it was answered.
        attempts: Times that the caller sent it.
        stalled: Time that it waited for a load, in all attempts.
    """

    arrival: Arrival
    first_token_at: Seconds | None = None
    done_at: Seconds | None = None
    failure: str = ""
    attempts: int = 0
    stalled: Seconds = 0.0

    @property
    def time_to_first_token(self) -> Seconds | None:
        """Seconds from the arrival to the first token."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.arrival.at

    @property
    def met_deadline(self) -> bool:
        """Whether the whole answer came within the agreed time."""
        deadline = self.arrival.at + PROFILES[self.arrival.rank].deadline
        return self.done_at is not None and self.done_at <= deadline

    @property
    def met_targets(self) -> bool:
        """Whether the answer is in time and so was its first token."""
        time = self.time_to_first_token
        target = PROFILES[self.arrival.rank].target
        return self.met_deadline and time is not None and time <= target


class StallTracker:
    """Time that waiting requests spend without their adapter on the engine.

    For the least urgent rank only the time counts in which the engine's batch has room:
    in a full batch it could not run with its adapter either.
    """

    def __init__(self, clock: Clock, outcomes: Sequence[Outcome]) -> None:
        self._clock = clock
        self._outcomes = outcomes
        self._waiting: dict[tuple[int, str], dict[str, int]] = defaultdict(dict)
        self._places: dict[str, tuple[int, str]] = {}
        self._since: dict[str, Seconds] = {}
        self._engines: dict[int, Engine] = {}

    def watch(self, index: int, engine: Engine) -> None:
        """Follows what is loaded on an engine."""
        self._engines[index] = engine
        engine.on_resident = lambda adapter, there: self._resident(
            index, adapter, there
        )

    def wait(self, request: str, number: int, index: int, engine: Engine) -> None:
        """A request begins to wait at an engine."""
        adapter = self._outcomes[number].arrival.adapter
        self._waiting[index, adapter][request] = number
        self._places[request] = (index, adapter)
        if adapter not in engine.resident:
            self._since[request] = self._time(number, index)

    def end(self, request: str) -> None:
        """A request is called, or its attempt is over."""
        place = self._places.pop(request, None)
        if place is None:
            return
        number = self._waiting[place].pop(request)
        self._stop(request, number, place[0])

    def _resident(self, index: int, adapter: str, there: bool) -> None:
        for request, number in self._waiting.get((index, adapter), {}).items():
            if there:
                self._stop(request, number, index)
            else:
                self._since.setdefault(request, self._time(number, index))

    def _stop(self, request: str, number: int, index: int) -> None:
        since = self._since.pop(request, None)
        if since is not None:
            self._outcomes[number].stalled += self._time(number, index) - since

    def _time(self, number: int, index: int) -> Seconds:
        if self._outcomes[number].arrival.rank == BATCH:
            return self._engines[index].room_seconds()
        return self._clock.now


class SimulatedCallers:
    """Sends the arrivals to an arm and repeats what was refused as not run."""

    def __init__(
        self, clock: Clock, arrivals: Sequence[Arrival], rng: random.Random
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._arm: Arm | None = None
        self._open = len(arrivals)
        self.outcomes = [Outcome(arrival) for arrival in arrivals]
        self.refusals: Counter[tuple[int, str]] = Counter()

    @property
    def are_done(self) -> bool:
        """Whether every request has ended."""
        return self._open <= 0

    def start(self, arm: Arm) -> None:
        """Schedules every request."""
        self._arm = arm
        for outcome in self.outcomes:
            arrival = outcome.arrival
            self._clock.at(arrival.at + CALLER_LATENCY, self._send, outcome)

    def first_token(self, number: int) -> None:
        """The first token left the entry; later ones of repeats do not count."""
        outcome = self.outcomes[number]
        if outcome.first_token_at is None:
            outcome.first_token_at = self._clock.now + CALLER_LATENCY

    def answered(self, number: int) -> None:
        """The whole answer left the entry."""
        outcome = self.outcomes[number]
        if outcome.done_at is None:
            outcome.done_at = self._clock.now + CALLER_LATENCY
            outcome.failure = ""
            self._open -= 1

    def failed(
        self, number: int, kind: str, *, retry_after: Seconds | None, not_run: bool
    ) -> None:
        """An attempt failed; it is repeated if that can still be in time."""
        outcome = self.outcomes[number]
        rank = outcome.arrival.rank
        self.refusals[rank, kind] += 1
        outcome.failure = kind
        delay = max(MIN_REPEAT_SECONDS, retry_after or 0.0)
        # Callers of the least urgent work wait longer after each refusal.
        if rank == BATCH:
            delay *= 2 ** (outcome.attempts - 1) * (1 + self._rng.random())
        latest = outcome.arrival.at + PROFILES[rank].target
        again_at = self._clock.now + 2 * CALLER_LATENCY + delay
        if not_run and outcome.attempts < MAX_ATTEMPTS and again_at < latest:
            self._clock.at(again_at, self._send, outcome)
            return
        self._open -= 1

    def _send(self, outcome: Outcome) -> None:
        assert self._arm is not None
        outcome.attempts += 1
        arrival = outcome.arrival
        deadline = arrival.at + PROFILES[arrival.rank].deadline
        self._arm.submit(arrival, outcome.attempts, deadline)
