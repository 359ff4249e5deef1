"""What the measured slopes say at the size to design for."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from benchmarks import core_run, design_size as size
from benchmarks.membership_run import HEADER_BYTES, MembershipResult
from benchmarks.slopes import Figure, Slope, number
from benchmarks.streams_run import StreamResults
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.rendezvous import PARTITIONS
from fighitch.core.sidecar.ledger import RECORD_BYTES
from fighitch.core.sidecar.settings import SidecarSettings
from fighitch.daemons.entry import instance_list_interval

# Records that the processes keep: settings of entry and sidecar.
_SIDECAR_RECORDS = 10_000
_ADAPTER_SLOTS = 8
_REPLICAS = 4
_EPOCHS_KEPT = 6
_WATCHERS = 2 * size.AVAILABILITY_ZONES
_WATCH_SECONDS = 300.0
_PROCESS_UTILISATION = 0.8
_LIST_NAME_BYTES = 14
_P95 = 95.0


@dataclass(frozen=True)
class Measured:
    """Results of all parts."""

    slopes: Mapping[str, Slope]
    readings: Mapping[str, float]
    streams: StreamResults
    members: tuple[MembershipResult, ...]


def figures(measured: Measured) -> list[Figure]:
    """Returns the figures of every role."""
    return [
        *_entry_control(measured),
        *_entry_work(measured),
        *_sidecar(measured),
        *_latency(measured),
        *_in_force(measured.members),
        *_client(measured.slopes),
        *_platform(measured.slopes),
        *_weight_store(),
    ]


def entry_connections() -> float:
    """Returns the connections that an entry keeps open."""
    return min(EntrySettings().max_connections, size.SIDECARS_PER_ZONE)


def sidecar_connections() -> float:
    """Returns the connections that a sidecar accepts."""
    return entry_connections() * size.ENTRIES / size.SIDECARS


def changes_per_second() -> float:
    """Returns the configuration changes in a second."""
    return size.CHANGES_PER_DAY / size.DAY_SECONDS


def configuration_bytes(slopes: Mapping[str, Slope]) -> float:
    """Returns the memory of the whole configuration with its indexes."""
    counts = {
        "adapter": size.ADAPTERS,
        "backend server": size.SIDECARS,
        "caller": size.CALLERS,
    }
    prefix = "memory of configuration and indexes by"
    return sum(slopes[f"{prefix} {name}"].at(count) for name, count in counts.items())


def _entry_control(measured: Measured) -> list[Figure]:
    slopes = measured.slopes
    connections = entry_connections()
    idle = slopes["resident memory of an idle entry"]
    audit = slopes["memory of the audit log"]
    records = EntrySettings().audit_records
    memory = idle.at(connections) + configuration_bytes(slopes) + audit.at(records)
    processor = slopes["processor time of an idle entry"]
    spread = slopes["answering a peer for one change"].at(size.ADAPTERS)
    merge = slopes["putting one change in force in an entry"].at(size.ADAPTERS)
    peers = size.SIDECARS / size.ENTRIES
    change_cores = changes_per_second() * (merge + peers * spread) / 1e6
    sent = slopes["bytes a second of an idle entry"]
    messages = slopes["messages a second of an idle entry"]
    change_bytes = _change_bytes(connections, peers)
    return [
        Figure(
            "entry",
            "control memory",
            memory,
            "bytes",
            size.TARGET_MEMORY_BYTES,
            f"idle process {number(idle.at(connections))} + whole configuration "
            f"{number(configuration_bytes(slopes))} + {records:,} audit records "
            f"{number(audit.at(records))}",
            "one copy of the configuration, bounded audit ring",
            f"64 MB is reached at {_fitting_adapters(slopes, idle, connections)} "
            "adapters with as many callers",
        ),
        Figure(
            "entry",
            "memory of routing rankings",
            _rankings(slopes),
            "bytes",
            None,
            f"{number(slopes['memory of routing rankings'].slope)} bytes × adapters in "
            f"use at this entry, at most {PARTITIONS} kept for each of "
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
            f"{number(processor.intercept)} + {number(processor.slope)} × "
            f"{connections:.0f} connections + changes {number(change_cores)}",
            "heartbeats at a bounded rate, 50 ms tick",
            f"{number(max(0.0, processor.size_for(size.TARGET_CORE_SHARE)))} "
            "connections",
        ),
        Figure(
            "entry",
            "control bytes a second",
            sent.at(connections) + change_bytes,
            "bytes/s",
            size.TARGET_CONTROL_BYTES_PER_SECOND,
            f"{number(sent.slope)} × {connections:.0f} connections + changes "
            f"{number(change_bytes)}",
            "heartbeats at a bounded rate, configuration by anti-entropy",
            f"{number(sent.size_for(size.TARGET_CONTROL_BYTES_PER_SECOND))} "
            "connections",
        ),
        Figure(
            "entry",
            "control messages a second",
            messages.at(connections),
            "messages/s",
            None,
            f"{number(messages.slope)} × {connections:.0f} connections",
        ),
    ]


def _change_bytes(connections: float, peers: float) -> float:
    delta = core_run.delta_bytes() + HEADER_BYTES
    # A changed revision is told once on every connection, by whoever knows it first.
    beat = core_run.revision_heartbeat_bytes() + HEADER_BYTES
    return changes_per_second() * (2 * delta * (1 + peers) + connections * beat)


def _fitting_adapters(
    slopes: Mapping[str, Slope], idle: Slope, connections: float
) -> str:
    prefix = "memory of configuration and indexes by"
    fixed = idle.at(connections) + slopes[f"{prefix} backend server"].at(size.SIDECARS)
    each = slopes[f"{prefix} adapter"].slope + slopes[f"{prefix} caller"].slope
    fitting = (size.TARGET_MEMORY_BYTES - fixed) / each
    return number(fitting) if fitting > 0 else "no"


def _rankings(slopes: Mapping[str, Slope]) -> float:
    by_model = size.ADAPTERS / size.MODELS
    cached = min(by_model, PARTITIONS)
    return size.MODELS * slopes["memory of routing rankings"].slope * cached


def _entry_work(measured: Measured) -> list[Figure]:
    slopes = measured.slopes
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
            f"1 / {number(spread.slope)}; {number(1 / bursts.slope)} when the tokens "
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
            f"{number(spread.slope)} × {number(size.TOKENS_PER_ENTRY)} tokens/s",
            f"{cores / _PROCESS_UTILISATION:.0f} entry processes on a node, each with "
            "its own port at the balancer",
            f"one process: {number(1 / spread.slope)} tokens/s",
        ),
        Figure(
            "entry",
            "memory of a node's streams",
            stream.slope * size.STREAMS_PER_ENTRY,
            "bytes",
            None,
            f"{number(stream.slope)} × {number(size.STREAMS_PER_ENTRY)} streams",
            "a pooled thread for each stream",
            "4,096 threads (http_workers)",
        ),
        Figure(
            "entry",
            "processor time of decisions",
            decisions * size.REQUESTS_PER_ENTRY,
            "cores",
            None,
            f"{number(decisions * 1e6)} µs × {number(size.REQUESTS_PER_ENTRY)} "
            "requests/s",
            "rendezvous rankings by partition, indexes by digest",
            f"{number(1 / decisions)} requests/s",
        ),
        Figure(
            "entry",
            "lookups a second for each core",
            1 / lookup.slope,
            "lookups/s",
            None,
            f"1 / {number(lookup.slope)}, a connection for each lookup",
            "HTTP server with a pool",
            f"{number(1 / lookup.slope / size.REQUESTS_PER_ENTRY)} × the node's "
            "requests",
        ),
    ]


def _sidecar(measured: Measured) -> list[Figure]:
    slopes = measured.slopes
    connections = sidecar_connections()
    idle = slopes["resident memory of an idle sidecar"]
    audit = slopes["memory of the audit log"].at(_SIDECAR_RECORDS)
    ledger = slopes["memory of the order ledger, answers of 200 bytes"]
    orders = size.ORDERS_PER_SECOND / size.SIDECARS * _EPOCHS_KEPT
    orders *= SidecarSettings().epoch
    memory = idle.at(connections) + configuration_bytes(slopes) + audit
    memory += max(0.0, ledger.slope * orders)
    processor = slopes["processor time of an idle sidecar"]
    sent = slopes["bytes a second of an idle entry"]
    entry_bytes = sent.at(entry_connections()) + _change_bytes(
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
            f"idle process {number(idle.at(connections))} + whole configuration "
            f"{number(configuration_bytes(slopes))} + audit {number(audit)} + "
            f"{number(orders)} orders × {number(ledger.slope)}",
            "one copy of the configuration, ledger by epoch",
            "ledger bound of 24 MB: "
            f"{number(SidecarSettings().max_ledger_bytes / RECORD_BYTES)} orders in 60 "
            "minutes",
        ),
        Figure(
            "sidecar",
            "control processor time",
            processor.at(connections),
            "cores",
            size.TARGET_CORE_SHARE,
            f"{number(processor.intercept)} + {number(processor.slope)} × "
            f"{connections:.1f} connections",
            "heartbeats, status call every 0.25 s, 50 ms tick",
            f"{number(max(0.0, processor.size_for(size.TARGET_CORE_SHARE)))} "
            "connections",
        ),
        Figure(
            "sidecar",
            "control bytes a second",
            entry_bytes * share,
            "bytes/s",
            size.TARGET_CONTROL_BYTES_PER_SECOND,
            f"{number(entry_bytes)} of an entry × {size.ENTRIES} / {size.SIDECARS:,}: "
            "each message of an entry is one of a sidecar",
            "heartbeats at the interval that the entry states",
            f"{number(size.TARGET_CONTROL_BYTES_PER_SECOND / entry_bytes / share)} × "
            "the entries",
        ),
        Figure(
            "sidecar",
            "cores for its tokens",
            token.slope * size.TOKENS_PER_SIDECAR,
            "cores",
            None,
            f"{number(token.slope)} × {number(size.TOKENS_PER_SIDECAR)} tokens/s",
            "one loop and one transfer task",
            f"{number(1 / token.slope)} tokens/s",
        ),
    ]


def _latency(measured: Measured) -> list[Figure]:
    compared = measured.streams.comparison
    return [
        Figure(
            "entry and sidecar",
            "added to the first token, p95",
            compared.added_first_token(_P95) * 1_000,
            "ms",
            size.TARGET_ADDED_FIRST_TOKEN_SECONDS * 1_000,
            "through - direct, same run",
            "one hop each",
        ),
        Figure(
            "entry and sidecar",
            "added between tokens, p95",
            compared.added_between_tokens(_P95) * 1_000,
            "ms",
            size.TARGET_ADDED_BETWEEN_TOKENS_SECONDS * 1_000,
            "through - direct, same run",
            "one message for each token",
            "two tokens in a message: 54 ms between messages",
        ),
    ]


def _in_force(members: Sequence[MembershipResult]) -> list[Figure]:
    found = []
    for loss in sorted({item.loss for item in members}):
        worst = max(item.propagation_time for item in members if item.loss == loss)
        found.append(
            Figure(
                "all",
                f"configuration in force everywhere, {loss:.0%} loss",
                worst,
                "s",
                size.TARGET_IN_FORCE_SECONDS,
                "slowest of three changes at 25 to 200 members",
                "watchers, then revisions in heartbeats",
            )
        )
    return found


def _client(slopes: Mapping[str, Slope]) -> list[Figure]:
    calls = slopes["object API calls of an apply"]
    processor = slopes["processor time of an apply"]
    return [
        Figure(
            "operators' client",
            "object API calls a second",
            changes_per_second() * calls.at(1),
            "calls/s",
            None,
            f"{number(calls.at(1))} calls × {number(changes_per_second())} changes/s, "
            "one resource in each apply",
            "conditional update",
            f"{number(size.PLATFORM_WRITES_PER_SECOND / calls.at(1))} changes/s",
        ),
        Figure(
            "operators' client",
            "processor time of an apply",
            processor.at(1),
            "s",
            None,
            f"{number(processor.intercept)} + {number(processor.slope)} × 1 resource",
        ),
    ]


def _platform(slopes: Mapping[str, Slope]) -> list[Figure]:
    full = slopes["bytes of a full copy"]
    resources = size.ADAPTERS + size.CALLERS + size.SIDECARS
    copy = full.slope * resources
    names = size.ENTRIES + size.SIDECARS
    interval = instance_list_interval(names)
    return [
        Figure(
            "object API",
            "writes a second",
            changes_per_second() + size.CLAIMS_PER_SECOND,
            "calls/s",
            size.PLATFORM_WRITES_PER_SECOND,
            f"{number(changes_per_second())} changes + "
            f"{number(size.CLAIMS_PER_SECOND)} claims (1% orders, a tenth of them with "
            "a key that the caller chose)",
            "issued keys need no call",
            f"orders with caller-chosen keys above {size.PLATFORM_WRITES_PER_SECOND}/s",
        ),
        Figure(
            "object API",
            "reads a second, waiting watches included",
            _WATCHERS + _WATCHERS / _WATCH_SECONDS + size.CLAIMS_PER_SECOND,
            "calls/s",
            size.PLATFORM_READS_PER_SECOND,
            f"{_WATCHERS} watches + {number(_WATCHERS / _WATCH_SECONDS)} renewals + "
            f"{number(size.CLAIMS_PER_SECOND)} claims read back at worst",
            "two watchers in each availability zone",
            f"{size.PLATFORM_READS_PER_SECOND} watchers",
        ),
        Figure(
            "object API",
            "bytes of all watchers' first lists",
            _WATCHERS * copy,
            "bytes",
            None,
            f"{_WATCHERS} × {number(full.slope)} × {resources:,} resources",
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
            names * _LIST_NAME_BYTES / interval,
            "bytes/s",
            size.TARGET_CONTROL_BYTES_PER_SECOND,
            f"{names:,} names × {_LIST_NAME_BYTES} bytes / {interval:.0f} s "
            "(arithmetic)",
            "an interval by the length of the list",
            "hints older than a minute at 15,000 names",
        ),
    ]


def _weight_store() -> list[Figure]:
    turning = size.ADAPTERS * size.ADAPTERS_TURNING_OVER_PER_HOUR / size.HOUR_SECONDS
    restarts = size.INSTANCE_FAILURES_PER_DAY + size.INSTANCE_RESTARTS_PER_DAY
    cold = restarts * _ADAPTER_SLOTS / size.DAY_SECONDS
    return [
        Figure(
            "weight store",
            "loads a second",
            turning * _REPLICAS + cold,
            "loads/s",
            None,
            f"{number(turning)} adapters waking a second × {_REPLICAS} replicas + "
            f"{number(cold)} after restarts (arithmetic)",
            "shares of permits",
            "more sidecars than permits: shares of 0 (see below)",
        )
    ]
