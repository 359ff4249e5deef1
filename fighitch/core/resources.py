"""Kinds of configuration resources and their parsing from JSON objects.

Resources follow the structure of Kubernetes objects: ``apiVersion``, ``kind``,
``metadata`` (``name``, ``labels``, ``resourceVersion``) and ``spec``. Field names are
camel case in JSON and snake case in Python.
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
    """Kinds of resources; the values are the names used in JSON."""

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
    """Base class of all specifications: immutable, and unknown fields are errors."""


class AdapterVersionSpec(_Spec, frozen=True, kw_only=True):
    """One version of an adapter.

    Attributes:
        name: Version name, unique within the adapter.
        source: Location of the weights in the weight store.
        size_bytes: Size of the weights.
    """

    name: str
    source: str = ""
    size_bytes: int = 0


class AdapterSpec(_Spec, frozen=True, kw_only=True):
    """An adapter with its versions.

    Attributes:
        model: Base model of the adapter.
        versions: All versions that can be requested.
        default_version: Version for requests that do not name one.
    """

    model: str
    versions: tuple[AdapterVersionSpec, ...]
    default_version: str

    def version(self, name: str) -> AdapterVersionSpec | None:
        """Returns the version with a given name, or None if there is none."""
        return next((item for item in self.versions if item.name == name), None)


class CallerSpec(_Spec, frozen=True, kw_only=True):
    """A caller and the digests of its bearer keys.

    Attributes:
        key_digests: SHA-256 of each valid key, in hex; several keys allow rotation.
        max_in_flight: Maximum requests in flight at one entry; 0 for no limit.
    """

    key_digests: tuple[str, ...]
    max_in_flight: int = 0


class BackendServerSpec(_Spec, frozen=True, kw_only=True):
    """A backend server and its sidecar.

    Attributes:
        type: ``engine`` or ``service``.
        address: ``ip:port`` on which the sidecar accepts peers.
        availability_zone: Availability zone of the instance.
        region: Region of the instance.
        model: Base model of an engine.
        service: Name of a plain service.
        adapter_slots: Number of adapters that the engine can hold at once.
        batch_size: Number of requests that can run at once.
        checks_fencing: Whether the server rejects commands with a stale fencing token.
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
    """Policy for one rank of work: the requests that it covers and their guarantees.

    Attributes:
        rank: Priority; lower ranks go first, and 0 is the most urgent.
        caller_selector: Labels of the callers that may use the policy.
        target_selector: Labels of adapters or service backend servers that it covers.
        methods: HTTP methods that it covers; empty for all. A plain service can have
            both idempotent and non-idempotent calls.
        path_prefixes: Prefixes of the paths that it covers; empty for all.
        idempotent: Whether a request may run more than once.
        target_ms: Agreed latency target for the first token, or for the response of a
            service.
        deadline_ms: Default deadline for the complete response.
        floor: Share of the batch capacity reserved for this rank under overload, from 0
            to 1.
        value: Value of a timely response, relative to other ranks.
        queue_limit: Maximum queued requests of this rank at one sidecar.
        preemptible: Whether the engine may preempt a request for a more urgent one.
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
    """Placement rule that selects, by labels, where adapters or services may run.

    Attributes:
        target_selector: Labels of the adapters or services that the rule covers.
        backend_server_selector: Labels of the allowed backend servers.
        min_replicas: Minimum number of candidate backend servers for an adapter.
        max_replicas: Maximum number of candidate backend servers for an adapter.
    """

    target_selector: str = ""
    backend_server_selector: str = ""
    min_replicas: int = 1
    max_replicas: int = 4


class WeightStoreSpec(_Spec, frozen=True, kw_only=True):
    """Limits of the weight store, shared by the whole fleet.

    Attributes:
        loads_per_second: Maximum rate at which loads are started.
        max_in_transit: Maximum number of loads in progress at once.
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
    """A configuration resource, or the tombstone of a deleted one.

    Attributes:
        kind: Resource kind.
        name: Name, unique within the kind.
        labels: Labels that selectors match.
        revision: Position of the last change in the object API's sequence of changes.
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
    """Parses and validates a resource.

    Args:
        document: Decoded JSON object.

    Returns:
        The resource, or a failure that names the invalid field and the allowed values.
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
    if not isinstance(metadata, dict):
        return _invalid(f"{kind.value}: metadata must be an object")
    name = metadata.get("name")
    if not isinstance(name, str) or not name:
        return _invalid(f"metadata.name {name!r} must be a non-empty string")
    try:
        labels = msgspec.convert(metadata.get("labels") or {}, Labels)
        spec = msgspec.convert(document.get("spec"), SPEC_TYPES[kind])
        # Raises for numbers that messages between processes can't hold.
        msgspec.msgpack.encode(spec)
        revision = int(metadata.get("resourceVersion") or 0)
    except (msgspec.ValidationError, ValueError, TypeError, OverflowError) as error:
        return _invalid(f"{kind.value} {name!r}: {error}")
    return _validate_spec(kind, name, spec).map(
        lambda validated: Resource(
            kind=kind, name=name, labels=labels, revision=revision, spec=validated
        )
    )


def resource_document(resource: Resource) -> dict[str, Any]:
    """Returns a resource as a JSON object."""
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
    """Parses a selector that was validated together with its resource.

    Unlike ``parse_selector`` it cannot fail: invalid text matches everything.
    """
    return parse_selector(text).default_value(EVERYTHING)


def _invalid(detail: str) -> Result[Any, Failure]:
    return Error(Failure(ErrorKind.BAD_REQUEST, detail))


def _validate_spec(kind: Kind, name: str, spec: Any) -> Result[Any, Failure]:
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
