"""Domain model of the configuration and of the backend servers.

It is independent of the formats of the platform.
"""

from dataclasses import dataclass, field
from enum import Enum

from fighitch.core.gateway.accounts import AccountTable
from fighitch.types import Seconds

# Longest names of a model and its adapter together, in characters.
_MAX_ADAPTER_NAME = 1_024


class WorkKind(Enum):
    """Whether requests of a route may be retried and whether responses are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServerState(Enum):
    """Whether a backend server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests with a host and a path prefix.

    Attributes:
        name: Route name.
        host: Requested host, in lowercase.
        path_prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may be retried and whether responses are streams.
        timeout: Maximum time from the first byte of a request to its response.
        target_latency: Latency target: time to the response (of a stream: to its first
            event). A later response is worth less to the caller.
        rank: Priority rank; 0 is the most urgent.
        services: Services that run the requests.
        max_attempts: Maximum number of backend servers that may run one request.
        resumable: Whether another backend server may continue a broken stream.
        caller_event_timeout: Longest time that callers wait for the next event of a
            stream.
        gap_target: Longest pause between events with which a stream is on time; 0 for
            no limit.
        allows_anonymous: Whether requests need no key where the configuration has
            client accounts.
    """

    name: str
    host: str
    path_prefix: str
    kind: WorkKind
    timeout: Seconds
    target_latency: Seconds
    rank: int
    services: tuple[WeightedService, ...]
    max_attempts: int = 1
    resumable: bool = False
    caller_event_timeout: Seconds = float("inf")
    gap_target: Seconds = 0.0
    allows_anonymous: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is WorkKind.IDEMPOTENT or (
            self.kind is WorkKind.STREAMING and self.resumable
        )


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """Base model.

    Attributes:
        name: Model name.
        weights_mb: Size of the weights, in MB.
        load_seconds: Duration of a load from the weight store.
        adapter_mb: Size of one adapter of the model, in MB.
    """

    name: str
    weights_mb: float
    load_seconds: Seconds
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Limits of the model engines of a service.

    Entries send it to agents with the names of its fields.

    Attributes:
        batch_slots: Maximum number of requests in one batch.
        kv_tokens: Capacity of the KV cache, in tokens.
        weights_mb: Memory for weights and adapters, in MB.
        adapter_places: Maximum number of loaded and loading adapters.
        loads_per_second: Rate limit of the weight store over all engines.
        models: Base models, by name.
    """

    batch_slots: int
    kv_tokens: int
    weights_mb: float
    adapter_places: int
    loads_per_second: float
    models: dict[str, ModelSpec] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """Backend servers that run the same kind of requests.

    Attributes:
        name: Service name.
        max_connections: Maximum connections that one server accepts from all callers.
        engine: Limits of the model engines; None for a plain service.
    """

    name: str
    max_connections: int = 100
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        header_timeout: Maximum time to send a request head.
        idle_timeout: Maximum time without a request on a persistent connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: Seconds = 3.0
    idle_timeout: Seconds = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Version number.
        routes: All routes.
        services: Services, by name.
        limits: Limits on callers.
        accounts: Client accounts; None if requests need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()
    accounts: AccountTable | None = None


@dataclass(frozen=True, slots=True)
class AdapterName:
    """Name of an adapter of a base model; without an adapter, of the model itself."""

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model

    @property
    def is_too_long(self) -> bool:
        """Whether no engine is asked for an adapter of this name.

        Agents keep the names that were asked for, and a caller may send some kB.
        """
        return len(self.model) + len(self.adapter) > _MAX_ADAPTER_NAME


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a backend server.

    Attributes:
        instance_id: Instance id in the instance list.
        start_time_ms: Unix time of its start, in ms; 0 if not reported.
    """

    instance_id: str
    start_time_ms: int


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server, from the instance list.

    Attributes:
        instance_id: Name in the instance list.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        state: Whether it accepts new requests.
        slots: Number of requests that it runs concurrently.
        start_time_ms: Unix time at which it started, in ms; 0 if not reported.
        adapters: Models and adapters that were loaded at its latest heartbeat, with
            their versions.
    """

    instance_id: str
    service: str
    host: str
    port: int
    zone: str
    state: ServerState
    slots: int
    start_time_ms: int = 0
    adapters: dict[AdapterName, int] = field(default_factory=dict)

    @property
    def incarnation(self) -> Incarnation:
        """Identifies this start of the server."""
        return Incarnation(self.instance_id, self.start_time_ms)


@dataclass(frozen=True, slots=True)
class RequestSize:
    """Size of one request to an engine.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        output_tokens: Maximum number of tokens of the response.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
