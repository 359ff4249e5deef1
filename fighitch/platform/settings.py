"""Decodes the settings file that the platform writes for each process."""

import msgspec

from fighitch.core.gateway.retry_budget import BudgetLimits
from fighitch.core.gateway.settings import (
    DEFAULT_HEARTBEAT_INTERVAL,
    Address,
    InstanceSettings,
    QuotaWindow,
)
from fighitch.platform.decoding import Amount, Port, decode, parse_address

SETTINGS_VARIABLE = "FIGHITCH_SETTINGS"
_MS_PER_SECOND = 1_000
_BYTES_PER_MB = 1_000_000


class _Listen(msgspec.Struct, rename="pascal"):
    front: str = ""
    readiness_address: str = ""


class _Bounds(msgspec.Struct, rename="pascal"):
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    lease_ms: float = 3_000
    # Time after a server announces its drain in which requests may still reach it.
    drain_ms: float = 2_000
    # Whether instances without contact to the store refuse keys after ``RevokeMs``.
    revoke_fail_closed: bool = False
    revoke_ms: float = 5_000
    quota_window_s: float = 8
    quota_overage: float = 0.1
    quota_slack: float = 0
    # Waiting time of a client that a megabyte across zones is worth. If it is stated,
    # engines of other zones are chosen by measurements.
    cross_zone_ms_per_mb: Amount | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    memory_mb: float = 0
    max_fds: int = 0


class _Store(msgspec.Struct, rename="pascal"):
    address: str


class _Settings(msgspec.Struct, rename="pascal"):
    node_name: str
    ip: str
    zone: str
    # The first port is for connections between entries and agents.
    internal_ports: list[Port]
    platform: _Store
    listen: _Listen = msgspec.field(default_factory=_Listen)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Interval of the heartbeats that servers write to the store.
    heartbeat_ms: float = DEFAULT_HEARTBEAT_INTERVAL * _MS_PER_SECOND
    # Address of the engine beside an agent; the only lowercase key of the file.
    app: str = msgspec.field(default="", name="app")


def decode_settings(content: bytes) -> InstanceSettings:
    """Decodes a settings file.

    Raises:
        msgspec.ValidationError: If a value is missing or of another type.
        msgspec.DecodeError: If the content is not valid JSON.
    """
    decoded = decode(content, _Settings)
    store = _parse_address(decoded.platform.address)
    if store is None:
        raise msgspec.ValidationError("Platform.Address is empty; expected IP:PORT")
    if not decoded.internal_ports:
        raise msgspec.ValidationError("InternalPorts is empty; expected a port or more")
    bounds = decoded.bounds
    return InstanceSettings(
        instance=decoded.node_name,
        host=decoded.ip,
        zone=decoded.zone,
        callers=_parse_address(decoded.listen.front),
        readiness=_parse_address(decoded.listen.readiness_address),
        store=store,
        peer_port=decoded.internal_ports[0],
        engine=_parse_address(decoded.app),
        retry_limits=BudgetLimits(
            ratio=bounds.retry_budget_ratio,
            window=bounds.budget_window_s,
            slack=bounds.budget_slack,
        ),
        stop_grace=bounds.grace_s,
        lease=bounds.lease_ms / _MS_PER_SECOND,
        drain_notice=bounds.drain_ms / _MS_PER_SECOND,
        heartbeat_interval=decoded.heartbeat_ms / _MS_PER_SECOND,
        revoke_within=(
            bounds.revoke_ms / _MS_PER_SECOND if bounds.revoke_fail_closed else None
        ),
        quota_window=QuotaWindow(
            length=bounds.quota_window_s,
            overage=bounds.quota_overage,
            slack=bounds.quota_slack,
        ),
        cross_zone_seconds_per_byte=(
            None
            if bounds.cross_zone_ms_per_mb is None
            else bounds.cross_zone_ms_per_mb / _MS_PER_SECOND / _BYTES_PER_MB
        ),
        memory_limit=int(decoded.limits.memory_mb * _BYTES_PER_MB),
        descriptor_limit=decoded.limits.max_fds,
    )


def _parse_address(text: str) -> Address | None:
    return parse_address(text) if text else None
