"""Measures the cost of streams and lookups in real processes, and added latency."""

import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from benchmarks import sample
from benchmarks.callers import Caller
from benchmarks.deployment import BackendPlan, Deployment, DeploymentPlan
from benchmarks.fleet_sample import adapters, callers, rules, servers
from benchmarks.idle_run import entry_settings, run_daemon, wait_for, with_addresses
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
_MESSAGE_INTERVAL: Seconds = 0.25
_DECODE_STEP_TIME: Seconds = 0.027
_WINDOW: Seconds = 5.0
_RAMP_UP: Seconds = 2.0
_LOOKUP_WINDOW: Seconds = 4.0
_LATENCY_STREAMS = 8
_LATENCY_TOKENS = 60
_LATENCY_ROUNDS = 5
_SIDECARS = 32
_ADAPTERS = 100
_MODELS = 4
_UNBOUNDED_TOKENS = 100_000


@dataclass(frozen=True)
class BatchingResult:
    """Cost and message spacing of an entry at a number of tokens per message.

    Attributes:
        tokens_per_message: Tokens in each message.
        tokens_per_second: Rate of tokens received by the caller.
        core_share: Share of a core that the entry used.
        message_gap_p95: 95th percentile of the time between messages of a stream.
    """

    tokens_per_message: int
    tokens_per_second: float
    core_share: float
    message_gap_p95: Seconds

    @property
    def tokens_per_core(self) -> float:
        """Tokens per second of processor time."""
        return self.tokens_per_second / self.core_share


@dataclass(frozen=True)
class LatencyComparison:
    """Latency through entry and sidecar, and of direct calls in the same run."""

    direct: Latency
    proxied: Latency

    def added_first_token(self, percentile: float) -> Seconds:
        """Returns the time that entry and sidecar add to the first token."""
        return (
            self.proxied.first_token[percentile] - self.direct.first_token[percentile]
        )

    def added_between_tokens(self, percentile: float) -> Seconds:
        """Returns the time that entry and sidecar add between tokens."""
        return (
            self.proxied.between_tokens[percentile]
            - self.direct.between_tokens[percentile]
        )


@dataclass(frozen=True)
class StreamResults:
    """Results of all measurements of this module."""

    slopes: Sequence[Slope]
    batching: Sequence[BatchingResult]
    comparison: LatencyComparison


def measure() -> StreamResults:
    """Measures streams and lookups."""
    entry = _measure_entry_streams()
    deployed, comparison = _measure_deployment()
    return StreamResults([*entry, *deployed], _measure_batching(), comparison)


# --- One entry with simulated sidecars ---


@dataclass(frozen=True)
class _EntryLoad:
    before: ProcessUsage
    after: ProcessUsage
    tokens: int
    streams: Sequence[Stream]

    @property
    def tokens_per_second(self) -> float:
        return self.tokens / (self.after.at - self.before.at)

    @property
    def core_share(self) -> float:
        return cpu_share(self.before, self.after)


def _measure_entry_streams() -> list[Slope]:
    loads = [
        (count, _measure_entry_load(count, 1, _MESSAGE_INTERVAL))
        for count in ENTRY_STREAMS
    ]
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
            tuple((load.tokens_per_second, load.core_share) for _, load in loads),
            COMMAND,
        ),
    ]


def _measure_batching() -> list[BatchingResult]:
    results = []
    for tokens_per_message in TOKENS_PER_MESSAGE:
        load = _measure_entry_load(
            _BATCHED_STREAMS, tokens_per_message, _MESSAGE_INTERVAL * tokens_per_message
        )
        gaps = sorted(_message_gaps(load.streams, tokens_per_message))
        gap = gaps[int(0.95 * (len(gaps) - 1))] if gaps else 0.0
        results.append(
            BatchingResult(
                tokens_per_message, load.tokens_per_second, load.core_share, gap
            )
        )
    return results


def _message_gaps(streams: Sequence[Stream], tokens_per_message: int) -> list[Seconds]:
    gaps: list[Seconds] = []
    for stream in streams:
        starts = stream.arrivals[::tokens_per_message]
        gaps += [b - a for a, b in zip(starts, starts[1:], strict=False)]
    return gaps


def _measure_entry_load(
    streams: int, tokens_per_message: int, message_interval: Seconds
) -> _EntryLoad:
    peers = SimulatedPeers(
        Role.SIDECAR,
        [*adapters(_ADAPTERS), *callers(10), *rules()],
        message_interval=message_interval,
        tokens_per_message=tokens_per_message,
    )
    backend_servers = servers(_SIDECARS)
    seed_address = peers.listen("seed")
    addresses = [peers.listen(item.name) for item in backend_servers]
    peers.configure(with_addresses(backend_servers, addresses), revision=2)
    peers.start()
    settings = entry_settings([seed_address])
    caller = StreamCaller(settings["http_address"], "0")
    try:
        with run_daemon("entry", settings) as process:
            wait_for(lambda: peers.connected > _SIDECARS, "connections")
            for index in range(streams):
                adapter = index * _MODELS % _ADAPTERS
                caller.open(_request_body(f"adapter-{adapter:05d}"))
            caller.read(_RAMP_UP + 2 * message_interval)
            before = read_usage(process.pid)
            tokens = caller.read(_WINDOW)
            after = read_usage(process.pid)
            _check_statuses(caller.streams)
            return _EntryLoad(before, after, tokens, caller.streams)
    finally:
        caller.close()
        peers.stop()


def _request_body(model: str, *, max_tokens: int = _UNBOUNDED_TOKENS) -> dict[str, Any]:
    return {
        "model": model,
        "prompt": "Is it safe to go on?",
        "max_tokens": max_tokens,
        "stream": True,
    }


def _check_statuses(streams: Sequence[Stream]) -> None:
    failed = [item.status for item in streams if item.status != 200]
    if failed:
        raise RuntimeError(
            f"{len(failed)} of {len(streams)} streams: status {failed[0]}"
        )


# --- A whole deployment ---


def _deployment_plan() -> DeploymentPlan:
    engine = BackendPlan("engine-1", "engine", "a", model="base-1", batch_size=128)
    stock = BackendPlan(
        "stock-1", "service", "a", service="stock", labels={"work": "lookup"}
    )
    model: Mapping[str, Any] = {
        "adapter_slots": 4,
        "batch_size": 128,
        "step_seconds": _DECODE_STEP_TIME,
        "sequence_seconds": 0,
        "adapter_seconds": 0,
    }
    return DeploymentPlan(("a",), (engine, stock), engine={"model": model})


def _measure_deployment() -> tuple[list[Slope], LatencyComparison]:
    plan = _deployment_plan()
    with Deployment(plan) as deployment:
        deployment.apply(
            [*sample.common_documents(plan), *deployment.backend_documents()]
        )
        deployment.wait_ready()
        comparison = _compare_latency(deployment)
        return [*_token_slopes(deployment), *_lookup_slopes(deployment)], comparison


def _token_slopes(deployment: Deployment) -> list[Slope]:
    points: dict[str, list[tuple[float, float]]] = {"entry-1": [], "engine-1": []}
    for count in DEPLOYMENT_STREAMS:
        caller = StreamCaller(_address(deployment), sample.CALLER_KEY)
        for _ in range(count):
            caller.open(_request_body("advisor-1@v1"))
        caller.read(_RAMP_UP)
        pids = {name: deployment.processes[name].pid for name in points}
        before = {name: read_usage(pid) for name, pid in pids.items()}
        tokens = caller.read(_WINDOW)
        for name, pid in pids.items():
            after = read_usage(pid)
            rate = tokens / (after.at - before[name].at)
            points[name].append((rate, cpu_share(before[name], after)))
        _check_statuses(caller.streams)
        caller.close()
        time.sleep(1.0)
    names = {"entry-1": "an entry", "engine-1": "a sidecar"}
    return [
        Slope(
            f"processor time of {names[name]} by token",
            "token/s",
            "cores",
            tuple(rates),
            COMMAND,
        )
        for name, rates in points.items()
    ]


def _lookup_slopes(deployment: Deployment) -> list[Slope]:
    names = {"entry-1": "an entry", "stock-1": "a sidecar"}
    points: dict[str, list[tuple[float, float]]] = {name: [] for name in names}
    for rate in LOOKUP_RATES:
        before = {name: read_usage(deployment.processes[name].pid) for name in names}
        answered = _run_lookups(deployment, rate)
        for name in names:
            after = read_usage(deployment.processes[name].pid)
            seconds = after.at - before[name].at
            points[name].append((answered / seconds, cpu_share(before[name], after)))
    return [
        Slope(
            f"processor time of {label} by lookup",
            "lookup/s",
            "cores",
            tuple(points[name]),
            COMMAND,
        )
        for name, label in names.items()
    ]


def _run_lookups(deployment: Deployment, rate: float) -> int:
    caller = Caller(sample.CALLER_KEY)
    url = deployment.caller_url("entry-1")
    count = round(rate * _LOOKUP_WINDOW)
    started_at = time.monotonic()

    def send_lookup(number: int) -> bool:
        time.sleep(max(0.0, started_at + number / rate - time.monotonic()))
        return caller.call(url, "/services/stock/items/42", method="GET").status == 200

    with ThreadPoolExecutor(8) as pool:
        answered = sum(pool.map(send_lookup, range(count)))
    if answered < count:
        raise RuntimeError(f"{count - answered} of {count} lookups failed")
    return answered


def _compare_latency(deployment: Deployment) -> LatencyComparison:
    proxied_address = _address(deployment)
    direct_address = f"127.0.0.1:{deployment.ports['engine-1-backend/port']}"
    _run_latency_round(proxied_address)
    direct: list[Stream] = []
    proxied: list[Stream] = []
    for _ in range(_LATENCY_ROUNDS):
        direct += _run_latency_round(direct_address)
        proxied += _run_latency_round(proxied_address)
    return LatencyComparison(summarize_latency(direct), summarize_latency(proxied))


def _run_latency_round(address: str) -> list[Stream]:
    caller = StreamCaller(address, sample.CALLER_KEY)
    for number in range(_LATENCY_STREAMS):
        caller.open(_request_body("advisor-1@v1", max_tokens=_LATENCY_TOKENS))
        # Requests start at different offsets within the engine's decode step; otherwise
        # every first token would wait for the same part of a step.
        caller.read(_DECODE_STEP_TIME * (number % 4) / 4)
    caller.read(30.0)
    _check_statuses(caller.streams)
    caller.close()
    return caller.streams


def _address(deployment: Deployment) -> str:
    return f"127.0.0.1:{deployment.ports['entry-1/http']}"
