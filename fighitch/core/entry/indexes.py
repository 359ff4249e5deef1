"""Lookup tables derived from the configuration and cached by its generation."""

from dataclasses import dataclass, field

from expression import Error, Ok, Result

from fighitch.core.configuration import ConfigurationStore
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.messages import AdapterVersion
from fighitch.core.resources import AdapterSpec, Kind, Resource
from fighitch.types import AdapterName, Labels

_MAX_LISTED_NAMES = 8


@dataclass(frozen=True, slots=True)
class Target:
    """Adapter version or service that a request names.

    Attributes:
        model: Base model of the adapter; empty for a service.
        adapter_version: Adapter version; None for a service.
        service: Service name; empty for an adapter.
        labels: Labels of the adapter; for a service, those of each backend server.
    """

    model: str = ""
    adapter_version: AdapterVersion | None = None
    service: str = ""
    labels: tuple[Labels, ...] = field(default=())

    @property
    def key(self) -> str:
        """Key of the target for rendezvous hashing."""
        if self.adapter_version is None:
            return f"service/{self.service}"
        return f"{self.model}/{self.adapter_version}"


class Indexes:
    """Lookup tables over a configuration store."""

    def __init__(self, store: ConfigurationStore) -> None:
        self._store = store
        self._generation = -1
        self._callers: dict[str, Resource] = {}
        self._policies: tuple[Resource, ...] = ()
        self._placements: tuple[Resource, ...] = ()
        self._services: dict[str, tuple[Resource, ...]] = {}
        self._servers: tuple[Resource, ...] = ()
        self._placement_generation = 0
        self._placement_input_generations = (-1, -1)

    @property
    def generation(self) -> int:
        """Configuration generation that the tables were built from."""
        return self._generation

    @property
    def policies(self) -> tuple[Resource, ...]:
        """Work policies, ordered from the most urgent rank."""
        return self._policies

    @property
    def placements(self) -> tuple[Resource, ...]:
        """Placement rules, ordered by name."""
        return self._placements

    @property
    def servers(self) -> tuple[Resource, ...]:
        """All backend servers."""
        return self._servers

    @property
    def placement_generation(self) -> int:
        """Number of changes to backend servers or placement rules."""
        return self._placement_generation

    def refresh(self) -> bool:
        """Rebuilds the tables if the configuration changed; returns whether it did."""
        if self._generation == self._store.generation:
            return False
        self._generation = self._store.generation
        self._callers = {
            digest: caller
            for caller in self._store.of_kind(Kind.CALLER)
            for digest in caller.spec.key_digests
        }
        self._policies = tuple(
            sorted(
                self._store.of_kind(Kind.WORK_POLICY),
                key=lambda item: (item.spec.rank, item.name),
            )
        )
        self._refresh_placement()
        return True

    def _refresh_placement(self) -> None:
        """Rebuilds the tables of backend servers and placement rules if one changed.

        Most changes concern only adapters and callers, for which the thousands of
        servers of a fleet need not be indexed again.
        """
        input_generations = (
            self._store.generation_of(Kind.BACKEND_SERVER),
            self._store.generation_of(Kind.PLACEMENT),
        )
        if input_generations == self._placement_input_generations:
            return
        self._placement_input_generations = input_generations
        self._placement_generation += 1
        servers = tuple(self._store.of_kind(Kind.BACKEND_SERVER))
        self._servers = servers
        self._placements = tuple(
            sorted(self._store.of_kind(Kind.PLACEMENT), key=lambda item: item.name)
        )
        services: dict[str, list[Resource]] = {}
        for server in servers:
            if server.spec.service:
                services.setdefault(server.spec.service, []).append(server)
        self._services = {name: tuple(items) for name, items in services.items()}

    def authenticate(self, key_digest: str) -> Result[Resource, Failure]:
        """Returns the caller that the key digest belongs to."""
        caller = self._callers.get(key_digest) if key_digest else None
        if caller is not None:
            return Ok(caller)
        problem = "bearer key is unknown" if key_digest else "no bearer key"
        return Error(
            Failure(
                ErrorKind.UNAUTHENTICATED,
                f"{problem}; send 'Authorization: Bearer <key>' with a key whose "
                "digest an operator has put into a Caller",
            )
        )

    def target(self, *, model: str, service: str) -> Result[Target, Failure]:
        """Resolves the adapter version or service that a request names.

        Args:
            model: ``adapter`` or ``adapter@version``; empty for a service.
            service: Service name; empty for an adapter.
        """
        if service:
            return self._resolve_service(service)
        name, _, version = model.partition("@")
        adapter = self._store.get(Kind.ADAPTER, name)
        if adapter is None:
            return _unknown_target(
                ErrorKind.UNKNOWN_ADAPTER,
                f"adapter {name!r} is not configured; list them with 'get adapters'",
            )
        return _resolve_adapter(adapter, adapter.spec, name, version)

    def _resolve_service(self, service: str) -> Result[Target, Failure]:
        servers = self._services.get(service)
        if servers is None:
            known = sorted(self._services)[:_MAX_LISTED_NAMES]
            return _unknown_target(
                ErrorKind.UNKNOWN_SERVICE,
                f"service {service!r} is not configured; known: {known}",
            )
        labels = tuple(server.labels for server in servers)
        return Ok(Target(service=service, labels=labels))


def _resolve_adapter(
    adapter: Resource, spec: AdapterSpec, name: AdapterName, version: str
) -> Result[Target, Failure]:
    version = version or spec.default_version
    if spec.version(version) is None:
        known = [item.name for item in spec.versions][-_MAX_LISTED_NAMES:]
        return _unknown_target(
            ErrorKind.UNKNOWN_VERSION,
            f"adapter {name!r} has no version {version!r}; newest versions: {known}",
        )
    adapter_version = AdapterVersion(name, version)
    return Ok(Target(spec.model, adapter_version, labels=(adapter.labels,)))


def _unknown_target(kind: ErrorKind, detail: str) -> Result[Target, Failure]:
    return Error(Failure(kind, detail))
