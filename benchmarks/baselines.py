"""Baseline arms: common routing policies with a FIFO queue and LRU slots per engine.

The baselines ignore ranks and the limits of the weight store. A queue rejects requests
above its limit and drops requests whose deadline has passed. Each engine loads one
adapter at a time.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.simulated_callers import SimulatedCallers, StallTracker
from benchmarks.simulation import SERVICE_SECONDS, Clock, Engine
from benchmarks.workload import Arrival, Deployment
from fighitch.types import Seconds

QUEUE_LIMIT = 512
RETRY_AFTER_SECONDS = 1.0
# An engine with the adapter is skipped if its load exceeds that of the least loaded
# engine by more than this number of requests.
AFFINITY_MARGIN = 16
HOP_SECONDS = 0.001
# Time until callers detect that a zone is lost and use another one.
DETECTION_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class _Request:
    number: int
    attempt: int
    adapter: str
    rank: int
    tokens: int
    deadline: Seconds

    @property
    def attempt_id(self) -> str:
        return f"{self.number}.{self.attempt}"


class FifoServer:
    """FIFO queue and LRU adapter slots of one engine."""

    def __init__(
        self,
        clock: Clock,
        engine: Engine,
        callers: SimulatedCallers,
        stalls: StallTracker,
    ) -> None:
        self._clock = clock
        self._callers = callers
        self._stalls = stalls
        self._queue: deque[_Request] = deque()
        self._calls: dict[int, _Request] = {}
        self._last_call = 0
        self._last_used: OrderedDict[str, None] = OrderedDict()
        self._unloading: str = ""
        self.index = 0
        self.engine = engine
        engine.listener = self

    @property
    def load(self) -> int:
        """Number of queued and running requests."""
        return len(self._queue) + len(self._calls)

    def submit(self, request: _Request) -> None:
        """Queues a request, or rejects it if the queue is full."""
        if len(self._queue) >= QUEUE_LIMIT:
            self._fail(request, "overloaded", not_run=True)
            return
        self._stalls.start_wait(
            request.attempt_id, request.number, self.index, self.engine
        )
        self._queue.append(request)
        self._dispatch()

    def on_restart(self, lost: list[int]) -> None:
        """Requeues the lost calls that are idempotent and fails the others."""
        self._unloading = ""
        self._last_used.clear()
        for call in lost:
            request = self._calls.pop(call)
            if request.rank == 0:
                self._fail(request, "outcome_unknown", not_run=False)
            else:
                self._stalls.start_wait(
                    request.attempt_id, request.number, self.index, self.engine
                )
                self._queue.appendleft(request)
        self._dispatch()

    def on_engine_lost(self) -> None:
        """Fails all queued and running requests after the detection time."""
        requests = (*self._calls.values(), *self._queue)
        self._calls.clear()
        self._queue.clear()
        for request in requests:
            self._stalls.end_wait(request.attempt_id)
            not_run = request.rank != 0
            self._clock.after(
                DETECTION_SECONDS,
                self._fail_after_detection,
                request,
                "backend_failed",
                not_run,
            )

    def on_first_token(self, call: int) -> None:
        """Reports the first token of a call to its caller."""
        if call in self._calls:
            self._callers.on_first_token(self._calls[call].number)

    def on_tokens(self, call: int, tokens: int) -> None:
        """Ignores generated tokens; callers only record the first and the last."""

    def on_completed(self, call: int) -> None:
        """Reports the complete response of a call to its caller."""
        request = self._calls.pop(call)
        self._callers.on_response(request.number)
        self._dispatch()

    def on_loaded(self, adapter: str, boot_id: str) -> None:
        """Marks an adapter as loaded and dispatches queued requests."""
        self._last_used[adapter] = None
        self._dispatch()

    def on_unloaded(self, adapter: str) -> None:
        """Marks the slot as free and dispatches queued requests."""
        self._unloading = ""
        self._dispatch()

    def _dispatch(self) -> None:
        now = self._clock.now
        while self._queue:
            request = self._queue[0]
            if request.deadline <= now:
                self._queue.popleft()
                self._stalls.end_wait(request.attempt_id)
                self._fail(request, "deadline_exceeded", not_run=False)
                continue
            is_resident = request.adapter in self._last_used
            if not is_resident or self.engine.running >= self.engine.batch_size:
                break
            self._queue.popleft()
            self._stalls.end_wait(request.attempt_id)
            self._last_call += 1
            self._calls[self._last_call] = request
            self._last_used.move_to_end(request.adapter)
            self.engine.call(
                self._last_call, request.adapter, request.rank, request.tokens
            )
        self._load_missing()

    def _load_missing(self) -> None:
        """Loads the first missing adapter of the queue or evicts an idle one for it."""
        engine = self.engine
        if engine.loading or self._unloading:
            return
        missing = next(
            (
                request.adapter
                for request in self._queue
                if request.adapter not in self._last_used
            ),
            None,
        )
        if missing is None:
            return
        if len(engine.resident) < engine.slots:
            engine.load(missing)
            return
        head = self._queue[0].adapter
        used = {request.adapter for request in self._calls.values()} | {head}
        victim = next((item for item in self._last_used if item not in used), None)
        if victim is not None:
            self._unloading = victim
            del self._last_used[victim]
            engine.unload(victim)

    def _fail_after_detection(
        self, request: _Request, kind: str, not_run: bool
    ) -> None:
        self._fail(request, kind, not_run=not_run)

    def _fail(self, request: _Request, kind: str, *, not_run: bool) -> None:
        retry_after = RETRY_AFTER_SECONDS if not_run else None
        self._callers.on_failure(
            request.number, kind, retry_after=retry_after, not_run=not_run
        )


RoutingPolicy = Callable[[list[FifoServer], str, int], FifoServer]


class BaselineArm:
    """FIFO servers behind one router that knows their current load."""

    def __init__(
        self,
        clock: Clock,
        deployment: Deployment,
        engines: list[Engine],
        callers: SimulatedCallers,
        stalls: StallTracker,
        choose: RoutingPolicy,
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._callers = callers
        self._choose = choose
        self._request_count = 0
        self._servers = [FifoServer(clock, item, callers, stalls) for item in engines]
        for index, server in enumerate(self._servers):
            server.index = index

    def submit(self, arrival: Arrival, attempt: int, deadline: Seconds) -> None:
        """Routes a request to a server or the plain service."""
        self._request_count += 1
        if not arrival.adapter:
            self._clock.after(
                SERVICE_SECONDS, self._complete_service_call, arrival.number
            )
            return
        request = _Request(
            arrival.number,
            attempt,
            arrival.adapter,
            arrival.rank,
            arrival.tokens,
            deadline,
        )
        live = [server for server in self._servers if not server.engine.is_dead]
        server = self._choose(live, arrival.adapter, self._request_count)
        self._clock.after(HOP_SECONDS, self._deliver, server, request)

    def fail_zone(self, zone: str) -> None:
        """Stops the engines in a zone."""
        zones = self._deployment.zones
        for index, server in enumerate(self._servers):
            if zones[index % len(zones)] == zone:
                server.engine.is_dead = True
                server.on_engine_lost()

    def on_engine_restarted(self, index: int, lost: list[int]) -> None:
        """Notifies a server that its engine restarted."""
        self._servers[index].on_restart(lost)

    def set_platform_down(self, is_down: bool) -> None:
        """Does nothing; the baselines do not use the object API."""

    def _deliver(self, server: FifoServer, request: _Request) -> None:
        if server.engine.is_dead:
            self._callers.on_failure(
                request.number, "backend_failed", retry_after=None, not_run=True
            )
            return
        server.submit(request)

    def _complete_service_call(self, number: int) -> None:
        self._callers.on_first_token(number)
        self._callers.on_response(number)


def round_robin(live: list[FifoServer], adapter: str, count: int) -> FifoServer:
    """Chooses the servers in turn."""
    return live[count % len(live)]


def least_loaded(live: list[FifoServer], adapter: str, count: int) -> FifoServer:
    """Chooses the least loaded server with the adapter, unless its load is too high."""
    least = min(live, key=lambda server: server.load)
    resident = [server for server in live if adapter in server.engine.resident]
    if not resident:
        return least
    best = min(resident, key=lambda server: server.load)
    return best if best.load <= least.load + AFFINITY_MARGIN else least
