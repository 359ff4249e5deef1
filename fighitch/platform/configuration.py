"""Decodes the configuration that operators write to the platform's store."""

import msgspec

from fighitch.core.gateway.accounts import (
    Account,
    AccountTable,
    Quota,
    QuotaUnit,
)
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
from fighitch.platform.decoding import Amount, WholeNumber, decode
from fighitch.types import Seconds

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
VERSIONS_KIND = "versions"
_MS_PER_SECOND = 1_000
_LOWEST_RANK = 9
# Unit of quotas that count the prompt and output tokens of requests.
_TOKEN_UNIT = "token_stream"
# Callers cancel a stream if they wait for an event longer than the maximum of this
# minimum, the latency target times its factor, and the gap target times its factor.
_MIN_CALLER_EVENT_TIMEOUT_MS = 2_000
_TARGET_LATENCY_FACTOR = 4
_GAP_TARGET_FACTOR = 8


class _Backend(msgspec.Struct, rename="pascal"):
    service: str
    weight: Amount


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: WorkKind
    timeout_ms: Amount
    target_latency_ms: Amount = 1_000
    priority: WholeNumber = _LOWEST_RANK
    service: str = ""
    weighted_backends: list[_Backend] = []
    max_attempts: WholeNumber = 1
    resumable: bool = False
    # Gap target: target for the longest time between two events of a stream.
    gap_aim_ms: Amount = 0
    allow_anonymous: bool = False


class _Model(msgspec.Struct, rename="pascal"):
    name: str
    weights_mb: Amount
    load_time_s: Amount = msgspec.field(default=1.0, name="LoadTimeS")
    adapter_size_mb: Amount = 0.0


class _Engine(msgspec.Struct, rename="pascal"):
    slots: WholeNumber
    # Capacity of the KV cache in tokens.
    kv_capacity: WholeNumber
    weights_mb: Amount = 0.0
    max_adapters: WholeNumber = 0
    loads_per_s: Amount = msgspec.field(default=1.0, name="LoadsPerS")
    models: list[_Model] = []


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    max_connections: WholeNumber = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: WholeNumber = 16_384
    max_body_bytes: WholeNumber = 4_194_304
    header_timeout_ms: Amount = 3_000
    idle_timeout_ms: Amount = 15_000


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str] = []
    priority: WholeNumber | None = None
    # 0 stands for no limit.
    rate_per_s: Amount = msgspec.field(default=0.0, name="RatePerS")
    burst: Amount = 0.0
    unit: str = ""
    plain_tokens: Amount = 1.0


class _Configuration(msgspec.Struct, rename="pascal"):
    version: WholeNumber
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _AdapterVersion(msgspec.Struct, rename="pascal"):
    model: str
    adapter: str
    version: WholeNumber


def decode_configuration(spec: msgspec.Raw) -> Configuration:
    """Decodes a configuration.

    Raises:
        msgspec.DecodeError: If the configuration is not valid.
    """
    decoded = decode(spec, _Configuration)
    limits = decoded.limits
    return Configuration(
        version=decoded.version,
        routes=tuple(_build_route(route) for route in decoded.routes),
        services={item.name: _build_service(item) for item in decoded.services},
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout=limits.header_timeout_ms / _MS_PER_SECOND,
            idle_timeout=limits.idle_timeout_ms / _MS_PER_SECOND,
        ),
        accounts=_build_accounts(decoded.tenants),
    )


def decode_adapter_version(spec: msgspec.Raw) -> tuple[AdapterName, int]:
    """Decodes the announcement of an adapter version.

    Raises:
        msgspec.DecodeError: If the announcement is not valid.
    """
    decoded = decode(spec, _AdapterVersion)
    return AdapterName(decoded.model, decoded.adapter), decoded.version


def _build_route(decoded: _Route) -> Route:
    services = tuple(
        WeightedService(item.service, item.weight) for item in decoded.weighted_backends
    )
    return Route(
        name=decoded.name,
        host=decoded.host,
        path_prefix=decoded.path_prefix,
        kind=decoded.kind,
        timeout=decoded.timeout_ms / _MS_PER_SECOND,
        target_latency=decoded.target_latency_ms / _MS_PER_SECOND,
        rank=decoded.priority,
        services=services or (WeightedService(decoded.service, 1.0),),
        max_attempts=decoded.max_attempts,
        resumable=decoded.resumable,
        caller_event_timeout=_caller_event_timeout(decoded),
        gap_target=decoded.gap_aim_ms / _MS_PER_SECOND,
        allows_anonymous=decoded.allow_anonymous,
    )


def _build_accounts(decoded: list[_Tenant] | None) -> AccountTable | None:
    if decoded is None:
        return None
    return AccountTable(
        Account(
            name=item.name,
            keys=frozenset(item.api_keys),
            rank=item.priority,
            quota=_build_quota(item),
        )
        for item in decoded
    )


def _build_quota(decoded: _Tenant) -> Quota | None:
    if not decoded.rate_per_s:
        return None
    is_by_tokens = decoded.unit == _TOKEN_UNIT
    return Quota(
        rate=decoded.rate_per_s,
        burst=decoded.burst,
        unit=QuotaUnit.TOKENS if is_by_tokens else QuotaUnit.REQUESTS,
        plain_cost=decoded.plain_tokens,
    )


def _caller_event_timeout(decoded: _Route) -> Seconds:
    """Returns how long callers of the platform wait for the next event of a stream."""
    if decoded.kind is not WorkKind.STREAMING:
        return float("inf")
    longest_ms = max(
        _MIN_CALLER_EVENT_TIMEOUT_MS,
        _TARGET_LATENCY_FACTOR * decoded.target_latency_ms,
        _GAP_TARGET_FACTOR * decoded.gap_aim_ms,
    )
    return longest_ms / _MS_PER_SECOND


def _build_service(decoded: _Service) -> Service:
    engine = None if decoded.engine is None else _build_engine_spec(decoded.engine)
    return Service(decoded.name, decoded.max_connections, engine)


def _build_engine_spec(decoded: _Engine) -> EngineSpec:
    return EngineSpec(
        batch_slots=decoded.slots,
        kv_tokens=decoded.kv_capacity,
        weights_mb=decoded.weights_mb,
        adapter_places=decoded.max_adapters,
        loads_per_second=decoded.loads_per_s,
        models={
            model.name: ModelSpec(
                model.name, model.weights_mb, model.load_time_s, model.adapter_size_mb
            )
            for model in decoded.models
        },
    )
