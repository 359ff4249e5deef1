"""Baseline arms: common routing with a FIFO queue and LRU eviction in each engine.

They know no ranks and no shared limits. A queue refuses beyond a length and drops what
has passed its deadline. Each engine has one load at a time.
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
# A resident engine is passed over if it has this many more requests than the least
# loaded one.
AFFINITY_MARGIN = 16
HOP_SECONDS = 0.001
# Time until callers of a lost zone use another one.
DETECTION_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class _Job:
    number: int
    attempt: int
    adapter: str
    rank: int
    tokens: int
    deadline: Seconds

    @property
    def request(self) -> str:
        return f"{self.number}.{self.attempt}"


class FifoServer:
    """FIFO queue and LRU slots in front of one engine."""

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
        self._queue: deque[_Job] = deque()
        self._calls: dict[int, _Job] = {}
        self._last_call = 0
        self._last_used: OrderedDict[str, None] = OrderedDict()
        self._unloading: str = ""
        self.index = 0
        self.engine = engine
        engine.listener = self

    @property
    def load(self) -> int:
        """Waiting and running requests."""
        return len(self._queue) + len(self._calls)

    def submit(self, job: _Job) -> None:
        """Queues a request or refuses it."""
        if len(self._queue) >= QUEUE_LIMIT:
            self._fail(job, "overloaded", not_run=True)
            return
        self._stalls.wait(job.request, job.number, self.index, self.engine)
        self._queue.append(job)
        self._pump()

    def restarted(self, lost: list[int]) -> None:
        """Fails the lost calls; idempotent ones are queued again."""
        self._unloading = ""
        self._last_used.clear()
        for call in lost:
            job = self._calls.pop(call)
            if job.rank == 0:
                self._fail(job, "outcome_unknown", not_run=False)
            else:
                self._stalls.wait(job.request, job.number, self.index, self.engine)
                self._queue.appendleft(job)
        self._pump()

    def lost(self) -> None:
        """The engine is gone; what it had fails."""
        jobs = (*self._calls.values(), *self._queue)
        self._calls.clear()
        self._queue.clear()
        for job in jobs:
            self._stalls.end(job.request)
            not_run = job.rank != 0
            self._clock.after(
                DETECTION_SECONDS, self._fail_later, job, "backend_failed", not_run
            )

    def started(self, call: int) -> None:
        """The first token of a call is there."""
        if call in self._calls:
            self._callers.first_token(self._calls[call].number)

    def data(self, call: int, tokens: int) -> None:
        """More tokens are there."""

    def ended(self, call: int) -> None:
        """The answer is whole."""
        job = self._calls.pop(call)
        self._callers.answered(job.number)
        self._pump()

    def loaded(self, adapter: str, boot_id: str) -> None:
        """A load ended."""
        self._last_used[adapter] = None
        self._pump()

    def unloaded(self, adapter: str) -> None:
        """An unload ended."""
        self._unloading = ""
        self._pump()

    def _pump(self) -> None:
        now = self._clock.now
        while self._queue:
            job = self._queue[0]
            if job.deadline <= now:
                self._queue.popleft()
                self._stalls.end(job.request)
                self._fail(job, "deadline_exceeded", not_run=False)
                continue
            is_resident = job.adapter in self._last_used
            if not is_resident or self.engine.running >= self.engine.batch_size:
                break
            self._queue.popleft()
            self._stalls.end(job.request)
            self._last_call += 1
            self._calls[self._last_call] = job
            self._last_used.move_to_end(job.adapter)
            self.engine.call(self._last_call, job.adapter, job.rank, job.tokens)
        self._load_next()

    def _load_next(self) -> None:
        """Loads the first adapter in the queue that is missing."""
        engine = self.engine
        if engine.loading or self._unloading:
            return
        missing = next(
            (job.adapter for job in self._queue if job.adapter not in self._last_used),
            None,
        )
        if missing is None:
            return
        if len(engine.resident) < engine.slots:
            engine.load(missing)
            return
        head = self._queue[0].adapter
        used = {job.adapter for job in self._calls.values()} | {head}
        victim = next((item for item in self._last_used if item not in used), None)
        if victim is not None:
            self._unloading = victim
            del self._last_used[victim]
            engine.unload(victim)

    def _fail_later(self, job: _Job, kind: str, not_run: bool) -> None:
        self._fail(job, kind, not_run=not_run)

    def _fail(self, job: _Job, kind: str, *, not_run: bool) -> None:
        retry_after = RETRY_AFTER_SECONDS if not_run else None
        self._callers.failed(job.number, kind, retry_after=retry_after, not_run=not_run)


Choose = Callable[[list[FifoServer], str, int], FifoServer]


class BaselineArm:
    """FIFO servers behind one router that knows their load at once."""

    def __init__(
        self,
        clock: Clock,
        deployment: Deployment,
        engines: list[Engine],
        callers: SimulatedCallers,
        stalls: StallTracker,
        choose: Choose,
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._callers = callers
        self._choose = choose
        self._count = 0
        self._servers = [FifoServer(clock, item, callers, stalls) for item in engines]
        for index, server in enumerate(self._servers):
            server.index = index

    def submit(self, arrival: Arrival, attempt: int, deadline: Seconds) -> None:
        """Routes a request."""
        self._count += 1
        if not arrival.adapter:
            self._clock.after(SERVICE_SECONDS, self._serve, arrival.number)
            return
        job = _Job(
            arrival.number,
            attempt,
            arrival.adapter,
            arrival.rank,
            arrival.tokens,
            deadline,
        )
        live = [server for server in self._servers if not server.engine.is_dead]
        server = self._choose(live, arrival.adapter, self._count)
        self._clock.after(HOP_SECONDS, self._arrive, server, job)

    def fail_zone(self, zone: str) -> None:
        """Stops the engines of a zone."""
        zones = self._deployment.zones
        for index, server in enumerate(self._servers):
            if zones[index % len(zones)] == zone:
                server.engine.is_dead = True
                server.lost()

    def on_engine_restarted(self, index: int, lost: list[int]) -> None:
        """Tells a server that its engine restarted."""
        self._servers[index].restarted(lost)

    def set_platform_down(self, is_down: bool) -> None:
        """Baselines use no object API."""

    def _arrive(self, server: FifoServer, job: _Job) -> None:
        if server.engine.is_dead:
            self._callers.failed(
                job.number, "backend_failed", retry_after=None, not_run=True
            )
            return
        server.submit(job)

    def _serve(self, number: int) -> None:
        self._callers.first_token(number)
        self._callers.answered(number)


def round_robin(live: list[FifoServer], adapter: str, count: int) -> FifoServer:
    """Chooses the next server."""
    return live[count % len(live)]


def least_loaded(live: list[FifoServer], adapter: str, count: int) -> FifoServer:
    """Chooses the least loaded server with the adapter, unless it is overloaded."""
    least = min(live, key=lambda server: server.load)
    resident = [server for server in live if adapter in server.engine.resident]
    if not resident:
        return least
    best = min(resident, key=lambda server: server.load)
    return best if best.load <= least.load + AFFINITY_MARGIN else least
