"""Cost of streams and lookups in real processes, and the latency that they add."""

import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from benchmarks import sample
from benchmarks.callers import Caller
from benchmarks.deployment import BackendPlan, Deployment, DeploymentPlan
from benchmarks.fleet_sample import adapters, callers, rules, servers
from benchmarks.idle_run import entry_settings, started, wait_for, with_addresses
from benchmarks.peers import SimulatedPeers
from benchmarks.process_usage import ProcessUsage, cpu_share, read_usage
from benchmarks.slopes import Slope
from benchmarks.stream_caller import Latency, Stream, StreamCaller, summarize_latency
from fighitch.core.messages import Role
from fighitch.types import Seconds

COMMAND = "python -m benchmarks.capacity --part streams"
ENTRY_STREAMS = (0, 40, 160, 330)
DEPLOYMENT_STREAMS = (4, 12, 24, 40)
TOKENS_PER_MESSAGE = (1, 2, 4, 8)
LOOKUP_RATES = (10, 25, 50, 100)
_BATCHED_STREAMS = 160
_STEP: Seconds = 0.25
_DECODE_STEP: Seconds = 0.027
_WINDOW: Seconds = 5.0
_RAMP: Seconds = 2.0
_LOOKUP_WINDOW: Seconds = 4.0
_LATENCY_STREAMS = 8
_LATENCY_TOKENS = 60
_LATENCY_ROUNDS = 5
_SIDECARS = 32
_ADAPTERS = 100
_MODELS = 4
_MANY_TOKENS = 100_000


@dataclass(frozen=True)
class Batching:
    """Effect of several tokens in one message.

    Attributes:
        tokens_per_message: Tokens in a message.
        tokens_per_second: Tokens that arrived.
        share: Share of a core that the entry used.
        between_messages: 95th percentile of the time between messages of a stream.
    """

    tokens_per_message: int
    tokens_per_second: float
    share: float
    between_messages: Seconds

    @property
    def tokens_per_core(self) -> float:
        """Tokens a second for each core of processor time."""
        return self.tokens_per_second / self.share


@dataclass(frozen=True)
class Comparison:
    """Latency against direct calls in the same run."""

    direct: Latency
    through: Latency

    def added_first_token(self, percentile: float) -> Seconds:
        """Returns what entry and sidecar add to the first token."""
        return (
            self.through.first_token[percentile] - self.direct.first_token[percentile]
        )

    def added_between_tokens(self, percentile: float) -> Seconds:
        """Returns what they add to the time between tokens."""
        return (
            self.through.between_tokens[percentile]
            - self.direct.between_tokens[percentile]
        )


@dataclass(frozen=True)
class StreamResults:
    """Everything that this module measures."""

    slopes: Sequence[Slope]
    batching: Sequence[Batching]
    comparison: Comparison


def measure() -> StreamResults:
    """Measures streams and lookups."""
    entry = _entry_streams()
    deployed, comparison = _deployment()
    return StreamResults([*entry, *deployed], _batching(), comparison)


# --- One entry with played sidecars ---


@dataclass(frozen=True)
class _Load:
    before: ProcessUsage
    after: ProcessUsage
    tokens: int
    streams: Sequence[Stream]

    @property
    def tokens_per_second(self) -> float:
        return self.tokens / (self.after.at - self.before.at)

    @property
    def share(self) -> float:
        return cpu_share(self.before, self.after)


def _entry_streams() -> list[Slope]:
    loads = [(count, _entry_load(count, 1, _STEP)) for count in ENTRY_STREAMS]
    return [
        Slope(
            "resident memory of an entry by stream",
            "stream",
            "bytes",
            tuple((count, float(load.after.resident)) for count, load in loads),
            COMMAND,
        ),
        Slope(
            "processor time of an entry by token (played sidecars)",
            "token/s",
            "cores",
            tuple((load.tokens_per_second, load.share) for _, load in loads),
            COMMAND,
        ),
    ]


def _batching() -> list[Batching]:
    found = []
    for count in TOKENS_PER_MESSAGE:
        load = _entry_load(_BATCHED_STREAMS, count, _STEP * count)
        times = sorted(_message_gaps(load.streams, count))
        gap = times[int(0.95 * (len(times) - 1))] if times else 0.0
        found.append(Batching(count, load.tokens_per_second, load.share, gap))
    return found


def _message_gaps(streams: Sequence[Stream], count: int) -> list[Seconds]:
    gaps: list[Seconds] = []
    for stream in streams:
        starts = stream.arrivals[::count]
        gaps += [b - a for a, b in zip(starts, starts[1:], strict=False)]
    return gaps


def _entry_load(
    streams: int, tokens_per_message: int, message_interval: Seconds
) -> _Load:
    peers = SimulatedPeers(
        Role.SIDECAR,
        [*adapters(_ADAPTERS), *callers(10), *rules()],
        message_interval=message_interval,
        tokens_per_message=tokens_per_message,
    )
    found = servers(_SIDECARS)
    seed = peers.listen("seed")
    addresses = [peers.listen(item.name) for item in found]
    peers.configure(with_addresses(found, addresses), revision=2)
    peers.start()
    settings = entry_settings([seed])
    caller = StreamCaller(settings["http_address"], "0")
    try:
        with started("entry", settings) as process:
            wait_for(lambda: peers.connected > _SIDECARS, "connections")
            for index in range(streams):
                adapter = index * _MODELS % _ADAPTERS
                caller.open(_body(f"adapter-{adapter:05d}"))
            caller.read(_RAMP + 2 * message_interval)
            before = read_usage(process.pid)
            tokens = caller.read(_WINDOW)
            after = read_usage(process.pid)
            _check(caller.streams)
            return _Load(before, after, tokens, caller.streams)
    finally:
        caller.close()
        peers.stop()


def _body(model: str, *, max_tokens: int = _MANY_TOKENS) -> dict[str, Any]:
    return {
        "model": model,
        "prompt": "Is it safe to go on?",
        "max_tokens": max_tokens,
        "stream": True,
    }


def _check(streams: Sequence[Stream]) -> None:
    wrong = [item.status for item in streams if item.status != 200]
    if wrong:
        raise RuntimeError(f"{len(wrong)} of {len(streams)} streams: status {wrong[0]}")


# --- A whole deployment ---


def _plan() -> DeploymentPlan:
    engine = BackendPlan("engine-1", "engine", "a", model="base-1", batch_size=128)
    stock = BackendPlan(
        "stock-1", "service", "a", service="stock", labels={"work": "lookup"}
    )
    model: Mapping[str, Any] = {
        "adapter_slots": 4,
        "batch_size": 128,
        "step_seconds": _DECODE_STEP,
        "sequence_seconds": 0,
        "adapter_seconds": 0,
    }
    return DeploymentPlan(("a",), (engine, stock), engine={"model": model})


def _deployment() -> tuple[list[Slope], Comparison]:
    plan = _plan()
    with Deployment(plan) as deployment:
        deployment.apply(
            [*sample.common_documents(plan), *deployment.backend_documents()]
        )
        deployment.wait_ready()
        comparison = _compare(deployment)
        return [*_token_slopes(deployment), *_lookup_slopes(deployment)], comparison


def _token_slopes(deployment: Deployment) -> list[Slope]:
    points: dict[str, list[tuple[float, float]]] = {"entry-1": [], "engine-1": []}
    for count in DEPLOYMENT_STREAMS:
        caller = StreamCaller(_address(deployment), sample.CALLER_KEY)
        for _ in range(count):
            caller.open(_body("advisor-1@v1"))
        caller.read(_RAMP)
        pids = {name: deployment.processes[name].pid for name in points}
        before = {name: read_usage(pid) for name, pid in pids.items()}
        tokens = caller.read(_WINDOW)
        for name, pid in pids.items():
            after = read_usage(pid)
            rate = tokens / (after.at - before[name].at)
            points[name].append((rate, cpu_share(before[name], after)))
        _check(caller.streams)
        caller.close()
        time.sleep(1.0)
    names = {"entry-1": "an entry", "engine-1": "a sidecar"}
    return [
        Slope(
            f"processor time of {names[name]} by token",
            "token/s",
            "cores",
            tuple(found),
            COMMAND,
        )
        for name, found in points.items()
    ]


def _lookup_slopes(deployment: Deployment) -> list[Slope]:
    names = {"entry-1": "an entry", "stock-1": "a sidecar"}
    points: dict[str, list[tuple[float, float]]] = {name: [] for name in names}
    for rate in LOOKUP_RATES:
        before = {name: read_usage(deployment.processes[name].pid) for name in names}
        done = _lookups(deployment, rate)
        for name in names:
            after = read_usage(deployment.processes[name].pid)
            seconds = after.at - before[name].at
            points[name].append((done / seconds, cpu_share(before[name], after)))
    return [
        Slope(
            f"processor time of {who} by lookup",
            "lookup/s",
            "cores",
            tuple(points[name]),
            COMMAND,
        )
        for name, who in names.items()
    ]


def _lookups(deployment: Deployment, rate: float) -> int:
    caller = Caller(sample.CALLER_KEY)
    url = deployment.caller_url("entry-1")
    count = round(rate * _LOOKUP_WINDOW)
    began = time.monotonic()

    def one(number: int) -> bool:
        time.sleep(max(0.0, began + number / rate - time.monotonic()))
        return caller.call(url, "/services/stock/items/42", method="GET").status == 200

    with ThreadPoolExecutor(8) as pool:
        answered = sum(pool.map(one, range(count)))
    if answered < count:
        raise RuntimeError(f"{count - answered} of {count} lookups failed")
    return answered


def _compare(deployment: Deployment) -> Comparison:
    through_address = _address(deployment)
    direct_address = f"127.0.0.1:{deployment.ports['engine-1-backend/port']}"
    _round(through_address)
    direct: list[Stream] = []
    through: list[Stream] = []
    for _ in range(_LATENCY_ROUNDS):
        direct += _round(direct_address)
        through += _round(through_address)
    return Comparison(summarize_latency(direct), summarize_latency(through))


def _round(address: str) -> list[Stream]:
    caller = StreamCaller(address, sample.CALLER_KEY)
    for number in range(_LATENCY_STREAMS):
        caller.open(_body("advisor-1@v1", max_tokens=_LATENCY_TOKENS))
        # Arrivals spread over the engine's steps, so that the first token does not
        # always wait for the same part of a step.
        caller.read(_DECODE_STEP * (number % 4) / 4)
    caller.read(30.0)
    _check(caller.streams)
    caller.close()
    return caller.streams


def _address(deployment: Deployment) -> str:
    return f"127.0.0.1:{deployment.ports['entry-1/http']}"
