"""Generates a configuration of any size and heartbeats of its sidecars."""

import hashlib
from collections.abc import Iterable

from fighitch.core.configuration import decode_resources, encode_resources
from fighitch.core.messages import Heartbeat, LoadReport
from fighitch.core.resources import (
    AdapterSpec,
    AdapterVersionSpec,
    BackendServerSpec,
    CallerSpec,
    Kind,
    PlacementSpec,
    Resource,
    WorkPolicySpec,
)

_ZONES = 12
_MODELS = 4
_REGIONS = 5


def adapters(count: int, *, revision: int = 1) -> list[Resource]:
    """Returns adapters with two versions each.

    The resources are decoded from JSON, as in a daemon, so that equal strings are
    distinct objects and memory measurements are realistic.
    """
    return _decode_from_json(
        Resource(
            kind=Kind.ADAPTER,
            name=f"adapter-{index:05d}",
            revision=revision,
            labels={"work": "question", "team": f"team-{index % 400}"},
            spec=AdapterSpec(
                model=f"base-{index % _MODELS}",
                versions=tuple(
                    AdapterVersionSpec(
                        name=version, source=f"adapter-{index:05d}/{version}"
                    )
                    for version in ("v1", "v2")
                ),
                default_version="v1",
            ),
        )
        for index in range(count)
    )


def servers(count: int, *, revision: int = 1) -> list[Resource]:
    """Returns engines distributed over models, regions and availability zones."""
    return _decode_from_json(
        Resource(
            kind=Kind.BACKEND_SERVER,
            name=f"engine-{index:04d}",
            revision=revision,
            labels={"type": "engine"},
            spec=BackendServerSpec(
                type="engine",
                address=f"10.{index // 65536}.{index // 256 % 256}.{index % 256}:7000",
                availability_zone=f"zone-{index % _ZONES}",
                region=f"region-{index % _ZONES % _REGIONS}",
                model=f"base-{index // _ZONES % _MODELS}",
            ),
        )
        for index in range(count)
    )


def callers(count: int) -> list[Resource]:
    """Returns callers with one key each."""
    return _decode_from_json(
        Resource(
            kind=Kind.CALLER,
            name=f"caller-{index:05d}",
            revision=1,
            labels={"team": f"team-{index % 400}"},
            spec=CallerSpec(
                key_digests=(hashlib.sha256(str(index).encode()).hexdigest(),)
            ),
        )
        for index in range(count)
    )


def rules() -> list[Resource]:
    """Returns three work policies and one placement rule."""
    policies = [
        Resource(
            kind=Kind.WORK_POLICY,
            name=f"policy-{rank}",
            revision=1,
            spec=WorkPolicySpec(rank=rank, target_selector="work", queue_limit=1_024),
        )
        for rank in range(3)
    ]
    spec = PlacementSpec(target_selector="work", backend_server_selector="type")
    placement = Resource(kind=Kind.PLACEMENT, name="any", revision=1, spec=spec)
    return [*policies, placement]


def heartbeat(resident: int) -> Heartbeat:
    """Returns a heartbeat of a sidecar with a number of resident adapter versions."""
    names = frozenset(f"adapter-{index:05d}@v1" for index in range(resident))
    load = LoadReport((1, 20, 16), (0, 3, 40), 64, names)
    return Heartbeat(123_456, 987_654, False, 42, load)


def _decode_from_json(resources: Iterable[Resource]) -> list[Resource]:
    return list(decode_resources(encode_resources(resources)))
