"""Configuration that operators write to the platform's store."""

import msgspec

from fighitch.core.gateway.model import (
    AdapterName,
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    Service,
    WeightedService,
    WorkKind,
)
from fighitch.types import Seconds

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
VERSIONS_KIND = "versions"
_MS_PER_SECOND = 1_000
_LOWEST_RANK = 9
# Callers abandon a stream after the longest of these pauses.
_LEAST_PATIENCE_MS = 2_000
_PATIENCE_IN_TARGETS = 4
_PATIENCE_IN_GAPS = 8


class _Backend(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: WorkKind
    timeout_ms: float
    target_latency_ms: float = 1_000
    priority: int = _LOWEST_RANK
    service: str = ""
    weighted_backends: list[_Backend] = []
    max_attempts: int = 1
    resumable: bool = False
    # Longest pause between events of an answer that is on time.
    gap_aim_ms: float = 0


class _Model(msgspec.Struct, rename="pascal"):
    name: str
    weights_mb: float
    load_time_s: float = msgspec.field(default=1.0, name="LoadTimeS")
    adapter_size_mb: float = 0.0


class _Engine(msgspec.Struct, rename="pascal"):
    slots: int
    # Tokens, whatever the name says of a capacity.
    kv_capacity: int
    weights_mb: float = 0.0
    max_adapters: int = 0
    loads_per_s: float = msgspec.field(default=1.0, name="LoadsPerS")
    models: list[_Model] = []


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Configuration(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _AdapterVersion(msgspec.Struct, rename="pascal"):
    model: str
    adapter: str
    version: int


def decode_configuration(spec: msgspec.Raw) -> Configuration:
    """Decodes the newest configuration.

    Raises:
        msgspec.DecodeError: If it is not valid.
    """
    given = msgspec.json.decode(spec, type=_Configuration)
    limits = given.limits
    return Configuration(
        version=given.version,
        routes=tuple(_route(route) for route in given.routes),
        services={item.name: _service(item) for item in given.services},
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout=limits.header_timeout_ms / _MS_PER_SECOND,
            idle_timeout=limits.idle_timeout_ms / _MS_PER_SECOND,
        ),
    )


def decode_adapter_version(spec: msgspec.Raw) -> tuple[AdapterName, int]:
    """Decodes the announcement of an adapter's version.

    Raises:
        msgspec.DecodeError: If it is not valid.
    """
    given = msgspec.json.decode(spec, type=_AdapterVersion)
    return AdapterName(given.model, given.adapter), given.version


def _route(given: _Route) -> Route:
    services = tuple(
        WeightedService(item.service, item.weight) for item in given.weighted_backends
    )
    return Route(
        name=given.name,
        host=given.host,
        path_prefix=given.path_prefix,
        kind=given.kind,
        timeout=given.timeout_ms / _MS_PER_SECOND,
        target_latency=given.target_latency_ms / _MS_PER_SECOND,
        rank=given.priority,
        services=services or (WeightedService(given.service, 1.0),),
        max_attempts=given.max_attempts,
        resumable=given.resumable,
        caller_event_timeout=_caller_patience(given),
    )


def _caller_patience(given: _Route) -> Seconds:
    """Returns how long callers of the platform wait for an event of a stream."""
    if given.kind is not WorkKind.STREAMING:
        return float("inf")
    longest_ms = max(
        _LEAST_PATIENCE_MS,
        _PATIENCE_IN_TARGETS * given.target_latency_ms,
        _PATIENCE_IN_GAPS * given.gap_aim_ms,
    )
    return longest_ms / _MS_PER_SECOND


def _service(given: _Service) -> Service:
    engine = None if given.engine is None else _engine(given.engine)
    return Service(given.name, given.max_connections, engine)


def _engine(given: _Engine) -> EngineSpec:
    return EngineSpec(
        batch_slots=given.slots,
        kv_tokens=given.kv_capacity,
        weights_mb=given.weights_mb,
        adapter_places=given.max_adapters,
        loads_per_second=given.loads_per_s,
        models={
            model.name: ModelSpec(
                model.name, model.weights_mb, model.load_time_s, model.adapter_size_mb
            )
            for model in given.models
        },
    )
