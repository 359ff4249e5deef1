"""Chooses the sidecars from which load permits are requested."""

from collections.abc import Iterable

import xxhash

from fighitch.core.sidecar.load_budget import compute_share
from fighitch.types import InstanceName

# Enough lenders to borrow a multiple of the sidecar's own share, few enough to keep the
# number of connections small in a large fleet.
MAX_LENDERS = 8


def choose_lenders(
    instance: InstanceName,
    members: Iterable[InstanceName],
    loads_per_second: float,
    max_in_transit: int,
) -> tuple[InstanceName, ...]:
    """Returns the members from which a sidecar requests permits.

    The order is specific to each borrower, so that requests spread over all lenders.

    Args:
        instance: Borrowing member.
        members: All configured members.
        loads_per_second: Maximum number of load starts per second in the fleet.
        max_in_transit: Maximum number of concurrent loads in the fleet.
    """
    members = frozenset(members)
    others = sorted(
        members - {instance},
        key=lambda member: xxhash.xxh3_64_intdigest(f"{instance}/{member}".encode()),
    )
    found: list[InstanceName] = []
    for member in others:
        share = compute_share(member, members, loads_per_second, max_in_transit)
        if share.starts and share.in_transit:
            found.append(member)
        if len(found) == MAX_LENDERS:
            break
    return tuple(found)
