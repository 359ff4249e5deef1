"""Which sidecars to ask for load permits."""

from collections.abc import Iterable

import xxhash

from fighitch.core.sidecar.load_budget import share_of
from fighitch.types import InstanceName

# Enough lenders to get a multiple of the own share, few enough for a large fleet.
MAX_LENDERS = 8


def lenders(
    instance: InstanceName,
    members: Iterable[InstanceName],
    loads_per_second: float,
    max_in_transit: int,
) -> tuple[InstanceName, ...]:
    """Returns the members that a sidecar asks for permits.

    Each borrower has its own order, so that the requests spread over all lenders.

    Args:
        instance: Borrower.
        members: All configured members.
        loads_per_second: Most loads that the fleet may start in a second.
        max_in_transit: Most loads in progress in the whole fleet.
    """
    members = frozenset(members)
    others = sorted(
        members - {instance},
        key=lambda member: xxhash.xxh3_64_intdigest(f"{instance}/{member}".encode()),
    )
    found: list[InstanceName] = []
    for member in others:
        share = share_of(member, members, loads_per_second, max_in_transit)
        if share.starts and share.in_transit:
            found.append(member)
        if len(found) == MAX_LENDERS:
            break
    return tuple(found)
