"""The kinds of configuration resource and how they are read from JSON objects.

A resource has the shape that object APIs use: ``apiVersion``, ``kind``, ``metadata``
(``name``, ``labels``, ``resourceVersion``) and ``spec``. Field names are camel case in
JSON and snake case here.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeAlias

import msgspec
from expression import Error, Ok, Result

from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.labels import EVERYTHING, Selector, parse_selector
from fighitch.types import Labels, Milliseconds, Revision

API_VERSION = "fighitch.dev/v1"


class Kind(Enum):
    """The resource kinds, by the name used in JSON."""

    ADAPTER = "Adapter"
    CALLER = "Caller"
    BACKEND_SERVER = "BackendServer"
    WORK_POLICY = "WorkPolicy"
    PLACEMENT = "Placement"
    WEIGHT_STORE = "WeightStore"


class _Spec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename="camel",
    forbid_unknown_fields=True,
):
    """Base of all specifications: immutable, unknown fields are errors."""


class AdapterVersionSpec(_Spec, frozen=True, kw_only=True):
    """One version of an adapter.

    Attributes:
        name: Version name, unique within the adapter.
        source: Where the weight store holds it.
        size_bytes: Size of the weights.
    """

    name: str
    source: str = ""
    size_bytes: int = 0


class AdapterSpec(_Spec, frozen=True, kw_only=True):
    """An adapter with its versions.

    Attributes:
        model: Base model that it belongs to.
        versions: All versions that may be asked for.
        default_version: Version of a request that names none.
    """

    model: str
    versions: tuple[AdapterVersionSpec, ...]
    default_version: str

    def version(self, name: str) -> AdapterVersionSpec | None:
        """Returns the version of that name, or None."""
        return next((item for item in self.versions if item.name == name), None)


class CallerSpec(_Spec, frozen=True, kw_only=True):
    """A caller and the digests of its bearer keys.

    Attributes:
        key_digests: SHA-256 of each valid key, in hex; several allow rotation.
        max_in_flight: Most requests in flight at one entry; 0 means no limit.
    """

    key_digests: tuple[str, ...]
    max_in_flight: int = 0


class BackendServerSpec(_Spec, frozen=True, kw_only=True):
    """A backend server and the sidecar beside it.

    Attributes:
        type: ``engine`` or ``service``.
        address: ``ip:port`` on which the sidecar accepts peers.
        availability_zone: Zone of the instance.
        region: Region of the instance.
        model: Base model of an engine.
        service: Name of a plain service.
        adapter_slots: Adapters that the engine holds at once.
        batch_size: Requests that run at once.
        checks_fencing: Whether it refuses commands with an old fencing token.
    """

    type: str
    address: str
    availability_zone: str = ""
    region: str = ""
    model: str = ""
    service: str = ""
    adapter_slots: int = 8
    batch_size: int = 16
    checks_fencing: bool = False


class WorkPolicySpec(_Spec, frozen=True, kw_only=True):
    """One rank of work: which requests belong to it and what they are owed.

    Attributes:
        rank: 0 is the most urgent; lower goes first.
        caller_selector: Callers that may use it.
        target_selector: Labels of adapters or service backend servers that it covers.
        methods: HTTP methods that it covers; empty for all. A plain service may have
            calls that can be repeated beside calls that must not be.
        path_prefixes: Beginnings of the paths that it covers; empty for all.
        idempotent: Whether such work may run more than once.
        target_ms: Agreed time to the first token, or to the answer of a service.
        deadline_ms: Default time until the whole answer is worthless.
        floor: Share of batch room kept for this rank in a flood, from 0 to 1.
        value: Worth of one answer in time, relative to other ranks.
        queue_limit: Most waiting requests of this rank at one sidecar.
        preemptible: Whether the engine may pause such work for more urgent work.
    """

    rank: int
    caller_selector: str = ""
    target_selector: str = ""
    methods: tuple[str, ...] = ()
    path_prefixes: tuple[str, ...] = ()
    idempotent: bool = True
    target_ms: Milliseconds = 1_000
    deadline_ms: Milliseconds = 30_000
    floor: float = 0.0
    value: float = 1.0
    queue_limit: int = 256
    preemptible: bool = False


class PlacementSpec(_Spec, frozen=True, kw_only=True):
    """Where adapters or services may run, chosen by labels.

    Attributes:
        target_selector: Labels of the adapters or services that the rule covers.
        backend_server_selector: Labels of the backend servers that are allowed.
        min_replicas: Fewest candidates for one adapter.
        max_replicas: Most candidates for one adapter.
    """

    target_selector: str = ""
    backend_server_selector: str = ""
    min_replicas: int = 1
    max_replicas: int = 4


class WeightStoreSpec(_Spec, frozen=True, kw_only=True):
    """Limits of the weight store, shared by the whole fleet.

    Attributes:
        loads_per_second: Most loads started in a second.
        max_in_transit: Most loads in progress at once.
    """

    loads_per_second: float
    max_in_transit: int


Spec: TypeAlias = (
    AdapterSpec
    | CallerSpec
    | BackendServerSpec
    | WorkPolicySpec
    | PlacementSpec
    | WeightStoreSpec
)

SPEC_TYPES: dict[Kind, type[_Spec]] = {
    Kind.ADAPTER: AdapterSpec,
    Kind.CALLER: CallerSpec,
    Kind.BACKEND_SERVER: BackendServerSpec,
    Kind.WORK_POLICY: WorkPolicySpec,
    Kind.PLACEMENT: PlacementSpec,
    Kind.WEIGHT_STORE: WeightStoreSpec,
}


class Resource(msgspec.Struct, frozen=True, kw_only=True):
    """One configuration resource, or the tombstone of a deleted one.

    Attributes:
        kind: Resource kind.
        name: Unique within the kind.
        labels: Labels for selectors.
        revision: Position of its last change in the object API's change sequence.
        spec: Specification; None marks a deleted resource.
    """

    kind: Kind
    name: str
    revision: Revision = 0
    labels: Labels = {}
    spec: Any = None

    @property
    def is_deleted(self) -> bool:
        """Whether this is a tombstone."""
        return self.spec is None


def parse_resource(document: Mapping[str, Any]) -> Result[Resource, Failure]:
    """Reads a resource from a JSON object and checks it.

    Args:
        document: Decoded JSON in the shape of an object API.

    Returns:
        The resource, or a failure that names the field and what is allowed.
    """
    allowed = {kind.value: kind for kind in Kind}
    kind = allowed.get(str(document.get("kind")))
    if kind is None:
        return _invalid(
            f"kind {document.get('kind')!r} is unknown; allowed: {sorted(allowed)}"
        )
    if document.get("apiVersion") != API_VERSION:
        return _invalid(
            f"apiVersion {document.get('apiVersion')!r} is not {API_VERSION!r}"
        )
    metadata = document.get("metadata") or {}
    name = metadata.get("name")
    if not isinstance(name, str) or not name:
        return _invalid(f"metadata.name {name!r} must be a non-empty string")
    try:
        labels = msgspec.convert(metadata.get("labels") or {}, Labels)
        spec = msgspec.convert(document.get("spec"), SPEC_TYPES[kind])
        revision = int(metadata.get("resourceVersion") or 0)
    except (msgspec.ValidationError, ValueError) as error:
        return _invalid(f"{kind.value} {name!r}: {error}")
    return _check_spec(kind, name, spec).map(
        lambda checked: Resource(
            kind=kind, name=name, labels=labels, revision=revision, spec=checked
        )
    )


def resource_document(resource: Resource) -> dict[str, Any]:
    """Returns the JSON object of a resource."""
    return {
        "apiVersion": API_VERSION,
        "kind": resource.kind.value,
        "metadata": {
            "name": resource.name,
            "labels": dict(resource.labels),
            "resourceVersion": str(resource.revision),
        },
        "spec": msgspec.to_builtins(resource.spec),
    }


def parse_validated_selector(text: str) -> Selector:
    """Returns a selector that was checked when its resource was parsed."""
    return parse_selector(text).default_value(EVERYTHING)


def _invalid(detail: str) -> Result[Any, Failure]:
    return Error(Failure(ErrorKind.BAD_REQUEST, detail))


def _check_spec(kind: Kind, name: str, spec: Any) -> Result[Any, Failure]:
    for field in ("caller_selector", "target_selector", "backend_server_selector"):
        parsed = parse_selector(getattr(spec, field, ""))
        if parsed.is_error():
            return _invalid(f"{kind.value} {name!r}: {field}: {parsed.error.detail}")
    if isinstance(spec, AdapterSpec) and spec.version(spec.default_version) is None:
        versions = [version.name for version in spec.versions]
        return _invalid(
            f"Adapter {name!r}: defaultVersion {spec.default_version!r} is not one of "
            f"its versions {versions}"
        )
    if isinstance(spec, BackendServerSpec) and spec.type not in ("engine", "service"):
        return _invalid(
            f"BackendServer {name!r}: type {spec.type!r} is not one of "
            "['engine', 'service']"
        )
    if isinstance(spec, WorkPolicySpec) and not 0 <= spec.floor <= 1:
        return _invalid(f"WorkPolicy {name!r}: floor {spec.floor} is not in [0, 1]")
    return Ok(spec)
