"""What a configuration and the list of backend servers say, in the project's words."""

from dataclasses import dataclass, field
from enum import Enum

from fighitch.types import Seconds


class WorkKind(Enum):
    """How the work of a route may be repeated and how it is answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServerState(Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one kind of work, selected by host and path prefix.

    Attributes:
        name: Route name.
        host: Host that callers name, in lowercase.
        path_prefix: Begins and ends with a slash.
        kind: How the work may be repeated.
        timeout: Longest time from the first byte of a request to its answer.
        target_latency: Time within which an answer (of a stream: its first event) is
            worth its full value.
        rank: Urgency; 0 is the most urgent.
        services: Services that run the work.
        max_attempts: Most backend servers that may run one request.
        resumable: Whether another backend server may continue a broken stream.
        caller_event_timeout: Longest time that callers wait for the next event of a
            stream.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is WorkKind.IDEMPOTENT or (
            self.kind is WorkKind.STREAMING and self.resumable
        )


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A base model.

    Attributes:
        name: Model name.
        weights_mb: Size of the weights, in MB.
        load_seconds: Time of a load from the weight store.
        adapter_mb: Size of one of its adapters, in MB.
    """

    name: str
    weights_mb: float
    load_seconds: Seconds
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Limits of the model engines of a service.

    Attributes:
        batch_slots: Most requests in one batch.
        kv_tokens: Tokens that fit into the KV cache.
        weights_mb: Memory for weights and adapters, in MB.
        adapter_places: Most adapters held or on their way.
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
    """A set of backend servers that run the same work.

    Attributes:
        name: Service name.
        max_connections: Connections that one server accepts from all callers.
        engine: Limits of the model engines; None for a plain service.
    """

    name: str
    max_connections: int = 100
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_timeout: Longest time to send a head.
        idle_timeout: Longest time without a request on a kept connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: Seconds = 3.0
    idle_timeout: Seconds = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class AdapterName:
    """An adapter of a model; an empty adapter stands for the model itself."""

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server, as the instance list has it.

    Attributes:
        instance_id: Name in the instance list.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        state: Whether it takes new work.
        slots: Requests that it runs at once.
        start_time_ms: Unix time of its start, in ms; 0 if not stated.
        adapters: Models and adapters that it held at its last heartbeat, with their
            versions.
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


@dataclass(frozen=True, slots=True)
class PromptSize:
    """Size of the work of one request.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        output_tokens: Most tokens of the answer.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
