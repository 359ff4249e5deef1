"""Figures of each component, extrapolated from measured slopes to the design size."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from benchmarks import core_run, design_size as size
from benchmarks.membership_run import HEADER_BYTES, MembershipResult
from benchmarks.slopes import Figure, Slope, rounded
from benchmarks.streams_run import StreamResults
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.rendezvous import PARTITIONS
from fighitch.core.sidecar.ledger import RECORD_BYTES
from fighitch.core.sidecar.settings import SidecarSettings
from fighitch.daemons.entry import instance_list_interval

# Records that the daemons keep; must match the settings of entry and sidecar.
_SIDECAR_RECORDS = 10_000
_ADAPTER_SLOTS = 8
_REPLICAS = 4
_RETAINED_EPOCHS = 6
_WATCHERS = 2 * size.AVAILABILITY_ZONES
_WATCH_RENEWAL_SECONDS = 300.0
_PROCESS_UTILISATION = 0.8
_INSTANCE_NAME_BYTES = 14
_P95 = 95.0


@dataclass(frozen=True)
class Measurements:
    """Results of all measured parts."""

    slopes: Mapping[str, Slope]
    readings: Mapping[str, float]
    streams: StreamResults
    membership: tuple[MembershipResult, ...]


def derive_figures(measured: Measurements) -> list[Figure]:
    """Derives the figures of every component from the measurements."""
    return [
        *_entry_control_plane(measured),
        *_entry_data_plane(measured),
        *_sidecar(measured),
        *_added_latency(measured),
        *_propagation(measured.membership),
        *_operator_client(measured.slopes),
        *_platform(measured.slopes),
        *_weight_store(),
    ]


def entry_connections() -> float:
    """Returns the number of connections that an entry keeps open to sidecars."""
    return min(EntrySettings().max_connections, size.SIDECARS_PER_ZONE)


def sidecar_connections() -> float:
    """Returns the mean number of entry connections of a sidecar."""
    return entry_connections() * size.ENTRIES / size.SIDECARS


def changes_per_second() -> float:
    """Returns the rate of configuration changes."""
    return size.CHANGES_PER_DAY / size.DAY_SECONDS


def configuration_bytes(slopes: Mapping[str, Slope]) -> float:
    """Returns the memory of the full configuration and its indexes."""
    counts = {
        "adapter": size.ADAPTERS,
        "backend server": size.SIDECARS,
        "caller": size.CALLERS,
    }
    prefix = "memory of configuration and indexes by"
    return sum(slopes[f"{prefix} {name}"].at(count) for name, count in counts.items())


def _entry_control_plane(measured: Measurements) -> list[Figure]:
    slopes = measured.slopes
    connections = entry_connections()
    idle = slopes["resident memory of an idle entry"]
    audit = slopes["memory of the audit log"]
    records = EntrySettings().audit_records
    memory = idle.at(connections) + configuration_bytes(slopes) + audit.at(records)
    processor = slopes["processor time of an idle entry"]
    answer_time = slopes["answering a peer for one change"].at(size.ADAPTERS)
    update_time = slopes["putting one change in force in an entry"].at(size.ADAPTERS)
    peers = size.SIDECARS / size.ENTRIES
    change_cores = changes_per_second() * (update_time + peers * answer_time) / 1e6
    sent = slopes["bytes a second of an idle entry"]
    messages = slopes["messages a second of an idle entry"]
    change_bytes = _change_bytes_per_second(connections, peers)
    return [
        Figure(
            "entry",
            "control memory",
            memory,
            "bytes",
            size.TARGET_MEMORY_BYTES,
            f"idle process {rounded(idle.at(connections))} + whole configuration "
            f"{rounded(configuration_bytes(slopes))} + {records:,} audit records "
            f"{rounded(audit.at(records))}",
            "one copy of the configuration, bounded audit ring",
            f"64 MB is reached at {_max_adapters(slopes, idle, connections)} "
            "adapters with as many callers",
        ),
        Figure(
            "entry",
            "memory of routing rankings",
            _ranking_bytes(slopes),
            "bytes",
            None,
            f"{rounded(slopes['memory of routing rankings'].slope)} bytes × adapters "
            f"in use at this entry, at most {PARTITIONS} kept for each of "
            f"{size.MODELS} models",
            "rankings of 64 servers by partition",
            "a miss costs a first routing decision",
        ),
        Figure(
            "entry",
            "control processor time",
            processor.at(connections) + change_cores,
            "cores",
            size.TARGET_CORE_SHARE,
            f"{rounded(processor.intercept)} + {rounded(processor.slope)} × "
            f"{connections:.0f} connections + changes {rounded(change_cores)}",
            "heartbeats at a bounded rate, 50 ms tick",
            f"{rounded(max(0.0, processor.size_for(size.TARGET_CORE_SHARE)))} "
            "connections",
        ),
        Figure(
            "entry",
            "control bytes a second",
            sent.at(connections) + change_bytes,
            "bytes/s",
            size.TARGET_CONTROL_BYTES_PER_SECOND,
            f"{rounded(sent.slope)} × {connections:.0f} connections + changes "
            f"{rounded(change_bytes)}",
            "heartbeats at a bounded rate, configuration by anti-entropy",
            f"{rounded(sent.size_for(size.TARGET_CONTROL_BYTES_PER_SECOND))} "
            "connections",
        ),
        Figure(
            "entry",
            "control messages a second",
            messages.at(connections),
            "messages/s",
            None,
            f"{rounded(messages.slope)} × {connections:.0f} connections",
        ),
    ]


def _change_bytes_per_second(connections: float, peers: float) -> float:
    delta = core_run.delta_bytes() + HEADER_BYTES
    # Each connection carries one heartbeat per new revision, sent by the side that
    # learns of the revision first.
    heartbeat = core_run.revision_heartbeat_bytes() + HEADER_BYTES
    return changes_per_second() * (2 * delta * (1 + peers) + connections * heartbeat)


def _max_adapters(slopes: Mapping[str, Slope], idle: Slope, connections: float) -> str:
    prefix = "memory of configuration and indexes by"
    fixed_bytes = idle.at(connections) + slopes[f"{prefix} backend server"].at(
        size.SIDECARS
    )
    bytes_per_adapter = (
        slopes[f"{prefix} adapter"].slope + slopes[f"{prefix} caller"].slope
    )
    adapters = (size.TARGET_MEMORY_BYTES - fixed_bytes) / bytes_per_adapter
    return rounded(adapters) if adapters > 0 else "no"


def _ranking_bytes(slopes: Mapping[str, Slope]) -> float:
    by_model = size.ADAPTERS / size.MODELS
    cached_rankings = min(by_model, PARTITIONS)
    return size.MODELS * slopes["memory of routing rankings"].slope * cached_rankings


def _entry_data_plane(measured: Measurements) -> list[Figure]:
    slopes = measured.slopes
    # Tokens that arrive evenly spaced in time, and tokens that arrive in bursts because
    # the streams of an engine advance in the same step.
    spread = slopes["processor time of an entry by token (played sidecars)"]
    bursts = slopes["processor time of an entry by token"]
    stream = slopes["resident memory of an entry by stream"]
    lookup = slopes["processor time of an entry by lookup"]
    decisions = (
        slopes["routing decision"].at(size.SIDECARS)
        + slopes["authenticating a caller and finding an adapter"].at(size.ADAPTERS)
    ) / 1e6
    cores = spread.slope * size.TOKENS_PER_ENTRY
    return [
        Figure(
            "entry",
            "tokens a second for each core",
            1 / spread.slope,
            "tokens/s",
            None,
            f"1 / {rounded(spread.slope)}; {rounded(1 / bursts.slope)} when the tokens "
            "of a step arrive together",
            "one loop, a thread for each stream",
            "one interpreter lock: one process cannot use more than one core",
        ),
        Figure(
            "entry",
            "cores of a node for its tokens",
            cores,
            "cores",
            None,
            f"{rounded(spread.slope)} × {rounded(size.TOKENS_PER_ENTRY)} tokens/s",
            f"{cores / _PROCESS_UTILISATION:.0f} entry processes on a node, each with "
            "its own port at the balancer",
            f"one process: {rounded(1 / spread.slope)} tokens/s",
        ),
        Figure(
            "entry",
            "memory of a node's streams",
            stream.slope * size.STREAMS_PER_ENTRY,
            "bytes",
            None,
            f"{rounded(stream.slope)} × {rounded(size.STREAMS_PER_ENTRY)} streams",
            "a pooled thread for each stream",
            "4,096 threads (http_workers)",
        ),
        Figure(
            "entry",
            "processor time of decisions",
            decisions * size.REQUESTS_PER_ENTRY,
            "cores",
            None,
            f"{rounded(decisions * 1e6)} µs × {rounded(size.REQUESTS_PER_ENTRY)} "
            "requests/s",
            "rendezvous rankings by partition, indexes by digest",
            f"{rounded(1 / decisions)} requests/s",
        ),
        Figure(
            "entry",
            "lookups a second for each core",
            1 / lookup.slope,
            "lookups/s",
            None,
            f"1 / {rounded(lookup.slope)}, a connection for each lookup",
            "HTTP server with a pool",
            f"{rounded(1 / lookup.slope / size.REQUESTS_PER_ENTRY)} × the node's "
            "requests",
        ),
    ]


def _sidecar(measured: Measurements) -> list[Figure]:
    slopes = measured.slopes
    connections = sidecar_connections()
    idle = slopes["resident memory of an idle sidecar"]
    audit = slopes["memory of the audit log"].at(_SIDECAR_RECORDS)
    ledger = slopes["memory of the order ledger, answers of 200 bytes"]
    orders = size.ORDERS_PER_SECOND / size.SIDECARS * _RETAINED_EPOCHS
    orders *= SidecarSettings().epoch
    memory = idle.at(connections) + configuration_bytes(slopes) + audit
    memory += max(0.0, ledger.slope * orders)
    processor = slopes["processor time of an idle sidecar"]
    sent = slopes["bytes a second of an idle entry"]
    entry_bytes = sent.at(entry_connections()) + _change_bytes_per_second(
        entry_connections(), size.SIDECARS / size.ENTRIES
    )
    share = size.ENTRIES / size.SIDECARS
    token = slopes["processor time of a sidecar by token"]
    return [
        Figure(
            "sidecar",
            "control memory",
            memory,
            "bytes",
            size.TARGET_MEMORY_BYTES,
            f"idle process {rounded(idle.at(connections))} + whole configuration "
            f"{rounded(configuration_bytes(slopes))} + audit {rounded(audit)} + "
            f"{rounded(orders)} orders × {rounded(ledger.slope)}",
            "one copy of the configuration, ledger by epoch",
            "ledger bound of 24 MB: "
            f"{rounded(SidecarSettings().max_ledger_bytes / RECORD_BYTES)} orders in "
            "60 minutes",
        ),
        Figure(
            "sidecar",
            "control processor time",
            processor.at(connections),
            "cores",
            size.TARGET_CORE_SHARE,
            f"{rounded(processor.intercept)} + {rounded(processor.slope)} × "
            f"{connections:.1f} connections",
            "heartbeats, status call every 0.25 s, 50 ms tick",
            f"{rounded(max(0.0, processor.size_for(size.TARGET_CORE_SHARE)))} "
            "connections",
        ),
        Figure(
            "sidecar",
            "control bytes a second",
            entry_bytes * share,
            "bytes/s",
            size.TARGET_CONTROL_BYTES_PER_SECOND,
            f"{rounded(entry_bytes)} of an entry × {size.ENTRIES} / {size.SIDECARS:,}: "
            "each message of an entry is one of a sidecar",
            "heartbeats at the interval that the entry states",
            f"{rounded(size.TARGET_CONTROL_BYTES_PER_SECOND / entry_bytes / share)} × "
            "the entries",
        ),
        Figure(
            "sidecar",
            "cores for its tokens",
            token.slope * size.TOKENS_PER_SIDECAR,
            "cores",
            None,
            f"{rounded(token.slope)} × {rounded(size.TOKENS_PER_SIDECAR)} tokens/s",
            "one loop and one transfer task",
            f"{rounded(1 / token.slope)} tokens/s",
        ),
    ]


def _added_latency(measured: Measurements) -> list[Figure]:
    comparison = measured.streams.comparison
    return [
        Figure(
            "entry and sidecar",
            "added to the first token, p95",
            comparison.added_first_token(_P95) * 1_000,
            "ms",
            size.TARGET_ADDED_FIRST_TOKEN_SECONDS * 1_000,
            "through - direct, same run",
            "one hop each",
        ),
        Figure(
            "entry and sidecar",
            "added between tokens, p95",
            comparison.added_between_tokens(_P95) * 1_000,
            "ms",
            size.TARGET_ADDED_BETWEEN_TOKENS_SECONDS * 1_000,
            "through - direct, same run",
            "one message for each token",
            "two tokens in a message: 54 ms between messages",
        ),
    ]


def _propagation(members: Sequence[MembershipResult]) -> list[Figure]:
    figures = []
    for loss in sorted({item.loss for item in members}):
        slowest = max(item.propagation_time for item in members if item.loss == loss)
        figures.append(
            Figure(
                "all",
                f"configuration in force everywhere, {loss:.0%} loss",
                slowest,
                "s",
                size.TARGET_PROPAGATION_SECONDS,
                "slowest of three changes at 25 to 200 members",
                "watchers, then revisions in heartbeats",
            )
        )
    return figures


def _operator_client(slopes: Mapping[str, Slope]) -> list[Figure]:
    calls = slopes["object API calls of an apply"]
    processor = slopes["processor time of an apply"]
    return [
        Figure(
            "operators' client",
            "object API calls a second",
            changes_per_second() * calls.at(1),
            "calls/s",
            None,
            f"{rounded(calls.at(1))} calls × {rounded(changes_per_second())} "
            "changes/s, one resource in each apply",
            "conditional update",
            f"{rounded(size.PLATFORM_WRITES_PER_SECOND / calls.at(1))} changes/s",
        ),
        Figure(
            "operators' client",
            "processor time of an apply",
            processor.at(1),
            "s",
            None,
            f"{rounded(processor.intercept)} + {rounded(processor.slope)} × 1 resource",
        ),
    ]


def _platform(slopes: Mapping[str, Slope]) -> list[Figure]:
    full = slopes["bytes of a full copy"]
    resources = size.ADAPTERS + size.CALLERS + size.SIDECARS
    copy_bytes = full.slope * resources
    instances = size.ENTRIES + size.SIDECARS
    interval = instance_list_interval(instances)
    return [
        Figure(
            "object API",
            "writes a second",
            changes_per_second() + size.CLAIMS_PER_SECOND,
            "calls/s",
            size.PLATFORM_WRITES_PER_SECOND,
            f"{rounded(changes_per_second())} changes + "
            f"{rounded(size.CLAIMS_PER_SECOND)} claims (1% orders, a tenth of them "
            "with a key that the caller chose)",
            "issued keys need no call",
            f"orders with caller-chosen keys above {size.PLATFORM_WRITES_PER_SECOND}/s",
        ),
        Figure(
            "object API",
            "reads a second, waiting watches included",
            _WATCHERS + _WATCHERS / _WATCH_RENEWAL_SECONDS + size.CLAIMS_PER_SECOND,
            "calls/s",
            size.PLATFORM_READS_PER_SECOND,
            f"{_WATCHERS} watches + {rounded(_WATCHERS / _WATCH_RENEWAL_SECONDS)} "
            f"renewals + {rounded(size.CLAIMS_PER_SECOND)} claims read back at worst",
            "two watchers in each availability zone",
            f"{size.PLATFORM_READS_PER_SECOND} watchers",
        ),
        Figure(
            "object API",
            "bytes of all watchers' first lists",
            _WATCHERS * copy_bytes,
            "bytes",
            None,
            f"{_WATCHERS} × {rounded(full.slope)} × {resources:,} resources",
            "list once, then watch",
        ),
        Figure(
            "instance list",
            "calls a second",
            size.ENTRIES / interval,
            "calls/s",
            size.PLATFORM_READS_PER_SECOND,
            f"{size.ENTRIES} entries / {interval:.0f} s",
            "an interval by the length of the list",
        ),
        Figure(
            "instance list",
            "bytes a second for an entry",
            instances * _INSTANCE_NAME_BYTES / interval,
            "bytes/s",
            size.TARGET_CONTROL_BYTES_PER_SECOND,
            f"{instances:,} names × {_INSTANCE_NAME_BYTES} bytes / {interval:.0f} s "
            "(arithmetic)",
            "an interval by the length of the list",
            "hints older than a minute at 15,000 names",
        ),
    ]


def _weight_store() -> list[Figure]:
    activations = size.ADAPTERS * size.ADAPTER_TURNOVER_PER_HOUR / size.HOUR_SECONDS
    restarts = size.INSTANCE_FAILURES_PER_DAY + size.INSTANCE_RESTARTS_PER_DAY
    cold_loads = restarts * _ADAPTER_SLOTS / size.DAY_SECONDS
    return [
        Figure(
            "weight store",
            "loads a second",
            activations * _REPLICAS + cold_loads,
            "loads/s",
            None,
            f"{rounded(activations)} adapters waking a second × {_REPLICAS} replicas + "
            f"{rounded(cold_loads)} after restarts (arithmetic)",
            "shares of permits",
            "more sidecars than permits: shares of 0 (see below)",
        )
    ]
