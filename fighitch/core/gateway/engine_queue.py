"""Admission at one model engine: who waits, who is sent on, who is refused.

Load pattern: a burst brings more prompts than the engine can read. Prompts that are
handed to the engine at once delay each other, so that all first events come late. The
queue hands over only as much as the engine reads within ``WINDOW``, work that can be on
time first, and refuses what would end after its deadline as soon as that is known.
"""

from dataclasses import dataclass, field
from typing import Protocol

from fighitch.core.gateway.model import AdapterName, EngineSpec, PromptSize
from fighitch.core.gateway.waiting_adapters import WaitingAdapter
from fighitch.types import Seconds

# Prompt reading that is handed to the engine ahead: covers one round trip to a distant
# entry several times over, so that the engine never runs dry.
WINDOW: Seconds = 0.15
# Starting values, replaced by what is measured: 20 tokens/ms, 60 ms to a first event.
_READ_SECONDS_PER_TOKEN = 5e-5
_FIRST_EVENT_OVERHEAD: Seconds = 0.06
_ESTIMATE_WEIGHT = 0.05
_OVERHEAD_WEIGHT = 0.2
_SMALL_PROMPT = 256
_FASTEST_READ = 5e-6
_SLOWEST_READ = 5e-4
# Time of a load that is compared with aims.
_LOAD_TIME: Seconds = 0.25
_KV_SHARE = 0.92  # the rest absorbs answers that are longer than announced
# Time that is kept for generation when a start is compared with a deadline.
_ANSWER_TIME: Seconds = 0.8
# A refusal asks callers to come back when the queue has drained, spread by the load.
_SHORTEST_RETRY: Seconds = 0.3
_LONGEST_RETRY: Seconds = 3.0

# (connection, request number) of the entry that asked.
WorkKey = tuple[int, int]


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """A request for a place on the engine.

    Attributes:
        key: Who asked.
        adapter: Adapter that the request runs on.
        version: Oldest version that it may run on; 0 for any.
        rank: Urgency; 0 is the most urgent.
        size: Tokens of the prompt and of the answer.
        arrived: When it was asked for.
        target_time: Until when its first event is worth its full value.
        deadline: After this nothing is owed.
        request_id: Id of the request, for the log.
    """

    key: WorkKey
    adapter: AdapterName
    version: int
    rank: int
    size: PromptSize
    arrived: Seconds
    target_time: Seconds
    deadline: Seconds
    request_id: str = ""

    @property
    def tokens(self) -> int:
        """Tokens that the request needs in the KV cache."""
        return self.size.prompt_tokens + self.size.output_tokens


@dataclass(slots=True)
class _Running:
    request: EngineRequest
    granted: Seconds
    ahead_tokens: int
    started: bool = False


@dataclass(frozen=True, slots=True)
class Rejection:
    """Work that can't be served in time.

    Attributes:
        request: What is refused.
        retry_after: When room is expected.
        reason: For the log.
    """

    request: EngineRequest
    retry_after: Seconds
    reason: str


@dataclass(slots=True)
class PrefillSpeed:
    """Running estimate of how fast the engine reads prompts.

    Attributes:
        seconds_per_token: Seconds for one prompt token.
        overhead: Seconds to a first event on an idle engine.
    """

    seconds_per_token: Seconds = _READ_SECONDS_PER_TOKEN
    overhead: Seconds = _FIRST_EVENT_OVERHEAD

    def note(self, elapsed: Seconds, tokens_ahead: int) -> None:
        """Takes the time from grant to first event.

        Args:
            elapsed: Time that passed.
            tokens_ahead: Prompt tokens that had to be read, its own included.
        """
        if elapsed < self.overhead:
            self.overhead += _OVERHEAD_WEIGHT * (elapsed - self.overhead)
        if tokens_ahead < _SMALL_PROMPT:
            # Only a short prompt tells overhead and reading apart.
            rest = elapsed - tokens_ahead * self.seconds_per_token
            self.overhead += _ESTIMATE_WEIGHT * (rest - self.overhead)
            return
        sample = max(0.0, elapsed - self.overhead) / tokens_ahead
        sample = min(_SLOWEST_READ, max(_FASTEST_READ, sample))
        self.seconds_per_token += _ESTIMATE_WEIGHT * (sample - self.seconds_per_token)


@dataclass(slots=True)
class EngineQueue:
    """Work that waits for one engine and work that was handed to it."""

    slots: int = 1
    kv_tokens: int = 0
    prefill_speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    _waiting: dict[WorkKey, EngineRequest] = field(default_factory=dict)
    _running: dict[WorkKey, _Running] = field(default_factory=dict)
    _unread_tokens: int = 0
    _held_tokens: int = 0
    _waiting_tokens: int = 0

    def configure(self, engine: EngineSpec) -> None:
        """Takes the engine's limits."""
        self.slots = engine.batch_slots
        self.kv_tokens = engine.kv_tokens

    @property
    def running(self) -> int:
        """Requests that were handed to the engine."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    @property
    def waiting_requests(self) -> list[EngineRequest]:
        """Requests that wait, the most urgent first."""
        return sorted(
            self._waiting.values(),
            key=lambda request: (request.rank, request.target_time),
        )

    def waiting_adapters(self, now: Seconds) -> list[WaitingAdapter]:
        """Returns the adapters that work waits for, the one to hold first at the front.

        Work that can still be on time goes first: while loads are behind, serving them
        in order of arrival would make all work late, the newest included.
        """
        found: dict[AdapterName, WaitingAdapter] = {}
        for request in self._waiting.values():
            entry = found.setdefault(request.adapter, WaitingAdapter(request.adapter))
            entry.note(
                version=request.version,
                rank=request.rank,
                target_time=request.target_time,
                on_time=now + _LOAD_TIME < request.target_time,
            )
        return sorted(found.values(), key=WaitingAdapter.order)

    def count_missing_adapters(self, loaded: "LoadedAdapters", now: Seconds) -> int:
        """Returns how many adapters must be loaded for work that can be on time.

        These loads go before one that new work asks for; those for late work do not.
        """
        missing = {
            request.adapter
            for request in self._waiting.values()
            if not self._is_late(request, now)
            and not loaded.serves(request.adapter, request.version, now)
        }
        return len(missing)

    @property
    def drain_time(self) -> Seconds:
        """Time to read all prompts that were handed over or wait."""
        return (
            self._unread_tokens + self._waiting_tokens
        ) * self.prefill_speed.seconds_per_token

    def backlog(self, now: Seconds) -> Seconds:
        """Returns how long new work that can be on time waits for its prompt's turn.

        Work that is late already does not count, as new work goes before it: counted
        in, it would send callers to engines that have to load their adapters first.
        """
        ahead = sum(
            request.size.prompt_tokens
            for request in self._waiting.values()
            if not self._is_late(request, now)
        )
        return (self._unread_tokens + ahead) * self.prefill_speed.seconds_per_token

    def expected_first_event_delay(
        self, request: EngineRequest, load_wait: Seconds = 0.0
    ) -> Seconds:
        """Returns after what time new work is expected to get its first event.

        Args:
            request: What is asked for.
            load_wait: Time until the engine holds the adapter.
        """
        return (
            self._first_event(request, self._start(request, load_wait))
            - request.arrived
        )

    def enqueue(
        self, request: EngineRequest, load_wait: Seconds = 0.0
    ) -> Rejection | None:
        """Takes new work, or refuses it when it can't end before its deadline.

        Args:
            request: What is asked for.
            load_wait: Time until the engine holds the adapter.

        Returns:
            The refusal, or None if the work waits now.
        """
        start = self._start(request, load_wait)
        if request.tokens > self.kv_tokens > 0:
            return Rejection(request, _LONGEST_RETRY, "larger_than_engine")
        if self._misses_deadline(request, start):
            return Rejection(request, self.retry_after(), "deadline_out_of_reach")
        self._waiting[request.key] = request
        self._waiting_tokens += request.size.prompt_tokens
        return None

    def admit_ready(
        self, now: Seconds, loaded: "LoadedAdapters"
    ) -> list[EngineRequest]:
        """Hands over the best work for which the engine has room.

        Args:
            now: Time of the decision.
            loaded: Says which adapters the engine holds.

        Returns:
            Work that may be sent to the engine now.
        """
        taken: list[EngineRequest] = []
        if not self._waiting:
            return taken
        eligible = [
            request
            for request in self._waiting.values()
            if loaded.serves(request.adapter, request.version, now)
        ]
        eligible.sort(key=lambda request: self._order(request, now))
        for request in eligible:
            if not self._has_room(request):
                break
            self._hand_over(request, now)
            taken.append(request)
        return taken

    def reject_overdue(self, now: Seconds) -> list[Rejection]:
        """Removes waiting work that can no longer end before its deadline."""
        overdue = []
        for request in list(self._waiting.values()):
            if self._misses_deadline(request, now):
                self._remove_waiting(request.key)
                overdue.append(
                    Rejection(request, self.retry_after(), "waited_too_long")
                )
        return overdue

    def request(self, key: WorkKey) -> EngineRequest | None:
        """Returns work that waits or was handed over."""
        running = self._running.get(key)
        return running.request if running is not None else self._waiting.get(key)

    def record_first_event(self, key: WorkKey, now: Seconds) -> None:
        """Notes the first event of a request."""
        running = self._running.get(key)
        if running is None or running.started:
            return
        running.started = True
        self._unread_tokens -= running.request.size.prompt_tokens
        self.prefill_speed.note(now - running.granted, running.ahead_tokens)

    def record_end(self, key: WorkKey) -> bool:
        """Notes the end of a request, or that its entry no longer wants it.

        Returns:
            Whether it had been handed to the engine.
        """
        self._remove_waiting(key)
        running = self._running.pop(key, None)
        if running is None:
            return False
        self._held_tokens -= running.request.tokens
        if not running.started:
            self._unread_tokens -= running.request.size.prompt_tokens
        return True

    def drop_connection(self, connection: int) -> list[EngineRequest]:
        """Drops all work of an entry that is gone; returns what was handed over."""
        keys = [key for key in (*self._waiting, *self._running) if key[0] == connection]
        handed = [self._running[key].request for key in keys if key in self._running]
        for key in keys:
            self.record_end(key)
        return handed

    def retry_after(self) -> Seconds:
        """Returns when a refused caller should come back."""
        return min(_LONGEST_RETRY, max(_SHORTEST_RETRY, self.drain_time))

    def _order(self, request: EngineRequest, now: Seconds) -> tuple[bool, int, Seconds]:
        return self._is_late(request, now), request.rank, request.target_time

    def _is_late(self, request: EngineRequest, now: Seconds) -> bool:
        start = now + self._unread_tokens * self.prefill_speed.seconds_per_token
        return self._first_event(request, start) > request.target_time

    def _first_event(self, request: EngineRequest, start: Seconds) -> Seconds:
        """Returns when the first event comes if reading its prompt starts then."""
        reading = request.size.prompt_tokens * self.prefill_speed.seconds_per_token
        return start + self.prefill_speed.overhead + reading

    def _misses_deadline(self, request: EngineRequest, start: Seconds) -> bool:
        return (
            self._first_event(request, start) + _answer_time(request) > request.deadline
        )

    def _has_room(self, request: EngineRequest) -> bool:
        if len(self._running) >= self.slots:
            return False
        if not self._running:
            return True
        if self._held_tokens + request.tokens > _KV_SHARE * self.kv_tokens:
            return False
        return self._unread_tokens * self.prefill_speed.seconds_per_token < WINDOW

    def _hand_over(self, request: EngineRequest, now: Seconds) -> None:
        self._remove_waiting(request.key)
        self._unread_tokens += request.size.prompt_tokens
        self._held_tokens += request.tokens
        self._running[request.key] = _Running(request, now, self._unread_tokens)

    def _remove_waiting(self, key: WorkKey) -> None:
        request = self._waiting.pop(key, None)
        if request is not None:
            self._waiting_tokens -= request.size.prompt_tokens

    def _start(self, request: EngineRequest, load_wait: Seconds) -> Seconds:
        ahead = self._tokens_ahead(request) * self.prefill_speed.seconds_per_token
        return request.arrived + max(load_wait, ahead)

    def _tokens_ahead(self, request: EngineRequest) -> int:
        now = request.arrived
        place = self._order(request, now)
        waiting = sum(
            other.size.prompt_tokens
            for other in self._waiting.values()
            if self._order(other, now) <= place
        )
        return self._unread_tokens + waiting


class LoadedAdapters(Protocol):
    """What an engine can serve right now."""

    def serves(self, adapter: AdapterName, version: int, now: Seconds) -> bool:
        """Whether a request for an adapter may start."""


def _answer_time(request: EngineRequest) -> Seconds:
    # Work with a short deadline would never be admitted with the full reserve.
    return min(_ANSWER_TIME, 0.1 * (request.deadline - request.arrived))
