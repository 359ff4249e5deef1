"""Fencing tokens of the holder, the only instance that gives orders to an engine."""

from dataclasses import dataclass

from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Stored claim on an engine.

    Attributes:
        holder: Name of the instance that holds the claim.
        token: Fencing token of the claim.
    """

    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class HolderClaim:
    """New claim on an engine, with the delay before it takes effect.

    Attributes:
        record: Record to store.
        wait: Delay before the first order; until then, the previous holder may still
            give orders.
    """

    record: HolderRecord
    wait: Seconds


def claim_engine(
    previous: HolderRecord | None, holder: str, wall_ms: int, lease: Seconds
) -> HolderClaim:
    """Returns the claim of a new holder.

    The fencing token is the wall-clock time, so that it increases even if the previous
    record can't be read. If the clock was set back, the token of the previous record is
    incremented instead.

    Args:
        previous: Stored record; None if there is none or it can't be read.
        holder: Name of the new holder.
        wall_ms: Wall-clock time in ms.
        lease: Minimum time between the orders of two different holders.
    """
    if previous is None:
        return HolderClaim(HolderRecord(holder, wall_ms), 0.0)
    token = max(wall_ms, previous.token + 1)
    wait = 0.0 if previous.holder == holder else lease
    return HolderClaim(HolderRecord(holder, token), wait)
