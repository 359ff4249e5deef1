"""Measures how the costs of the configuration and of heartbeats grow with its size."""

import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from benchmarks.fleet_sample import adapters, callers, heartbeat, servers
from benchmarks.microbenchmark import (
    MICROSECONDS_PER_SECOND,
    allocated_bytes,
    measure_slope,
    processor_time,
)
from benchmarks.slopes import Slope
from fighitch.core.anti_entropy import ConfigurationExchange
from fighitch.core.configuration import (
    ConfigurationStore,
    decode_resources,
    encode_resources,
)
from fighitch.core.entry import EntryCore
from fighitch.core.entry.indexes import Indexes
from fighitch.core.entry.membership import Members
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.inputs import ConfigurationReceived
from fighitch.core.messages import ConfigurationDelta, ConfigurationRequest
from fighitch.core.resources import Kind, Resource
from fighitch.core.tickets import SharedKey, TicketSigner
from fighitch.wire.codec import decode, encode
from fighitch.wire.framing import frame

ADAPTER_COUNTS = (1_000, 5_500, 11_000, 22_000)
SERVER_COUNTS = (12, 100, 800, 6_400)
RESIDENT_COUNTS = (2, 4, 8, 16, 32)
KEYS = (SharedKey("k1", b"benchmark"),)
_SERVERS_PER_ADAPTER = 0.3

_ResourceFactory = Callable[[int], list[Resource]]


def measure() -> list[Slope]:
    """Measures every slope of this module."""
    return [
        _memory_slope("adapter", adapters, ADAPTER_COUNTS),
        _memory_slope("backend server", servers, SERVER_COUNTS),
        _memory_slope("caller", callers, ADAPTER_COUNTS),
        *_heartbeat_slopes(),
        *_change_slopes(),
    ]


def delta_bytes() -> int:
    """Returns the wire size of a configuration delta with one changed adapter."""
    data = encode_resources(adapters(1))
    return len(frame(encode(ConfigurationDelta(1, 2, data))))


def revision_heartbeat_bytes() -> int:
    """Returns the wire size of a heartbeat that only announces a new revision."""
    return len(frame(encode(replace(heartbeat(0), load=None))))


def heartbeat_bytes(resident: int) -> int:
    """Returns the wire size of a sidecar's heartbeat."""
    return len(frame(encode(heartbeat(resident))))


def build_indexes(
    resources: Sequence[Resource],
) -> tuple[ConfigurationStore, Indexes, Members]:
    """Builds the structures in which an entry holds its configuration."""
    store = ConfigurationStore()
    store.merge(resources, revision=1)
    indexes = Indexes(store)
    indexes.refresh()
    members = Members(settings=EntrySettings(), rng=random.Random(1))
    members.sync(store.of_kind(Kind.BACKEND_SERVER))
    return store, indexes, members


def _memory_slope(
    name: str, make_resources: _ResourceFactory, counts: Sequence[int]
) -> Slope:
    return measure_slope(
        f"memory of configuration and indexes by {name}",
        name,
        "bytes",
        counts,
        lambda count: allocated_bytes(lambda: build_indexes(make_resources(count))),
    )


def _heartbeat_slopes() -> list[Slope]:
    def codec_time(count: int) -> float:
        message = heartbeat(count)
        data = encode(message)
        return (
            processor_time(lambda: (encode(message), decode(data)))
            * MICROSECONDS_PER_SECOND
        )

    name = "resident adapter"
    return [
        measure_slope(
            "bytes of a heartbeat",
            name,
            "bytes",
            RESIDENT_COUNTS,
            lambda count: float(heartbeat_bytes(count)),
        ),
        measure_slope(
            "encoding and decoding a heartbeat",
            name,
            "µs",
            RESIDENT_COUNTS,
            codec_time,
        ),
    ]


def _change_slopes() -> list[Slope]:
    return [
        measure_slope(
            "merging one change", "adapter", "µs", ADAPTER_COUNTS, _merge_time
        ),
        measure_slope(
            "putting one change in force in an entry",
            "adapter",
            "µs",
            ADAPTER_COUNTS,
            _entry_update_time,
        ),
        measure_slope(
            "answering a peer for one change",
            "adapter",
            "µs",
            ADAPTER_COUNTS,
            _response_time,
        ),
        measure_slope(
            "bytes of a full copy", "adapter", "bytes", ADAPTER_COUNTS, _full_copy_bytes
        ),
    ]


def _build_store(count: int) -> ConfigurationStore:
    backend_servers = servers(round(count * _SERVERS_PER_ADAPTER))
    store, _, _ = build_indexes([*adapters(count), *backend_servers])
    return store


def _merge_time(count: int) -> float:
    store = _build_store(count)

    def merge_change() -> Any:
        revision = store.revision + 1
        data = encode_resources(adapters(1, revision=revision))
        return store.merge(decode_resources(data), revision=revision, base=revision - 1)

    return processor_time(merge_change, rounds=50) * MICROSECONDS_PER_SECOND


def _entry_update_time(count: int) -> float:
    core = EntryCore(
        "entry-1", 1, signer=TicketSigner(KEYS), rng=random.Random(1), region="region-0"
    )
    backend_servers = servers(round(count * _SERVERS_PER_ADAPTER))
    resources = (*adapters(count), *callers(count), *backend_servers)
    core.handle(ConfigurationReceived(resources, 1), now=0.0)

    def apply_change() -> Any:
        base = core.store.revision
        changed = tuple(adapters(1, revision=base + 1))
        event = ConfigurationReceived(changed, base + 1, base=base)
        return core.handle(event, now=0.0)

    return processor_time(apply_change, rounds=20) * MICROSECONDS_PER_SECOND


def _response_time(count: int) -> float:
    store = _build_store(count)
    for _ in range(10):
        revision = store.revision + 1
        changed = adapters(1, revision=revision)
        store.merge(changed, revision=revision, base=revision - 1)
    exchange = ConfigurationExchange(store)
    request = ConfigurationRequest(store.revision - 1)
    return (
        processor_time(lambda: exchange.respond(1, request), rounds=20)
        * MICROSECONDS_PER_SECOND
    )


def _full_copy_bytes(count: int) -> float:
    store, _, _ = build_indexes(adapters(count))
    responses = ConfigurationExchange(store).respond(1, ConfigurationRequest(0))
    return float(sum(len(encode(item.message)) for item in responses))
