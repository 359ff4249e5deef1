"""Fencing tokens of the holder, the only instance that gives orders to an engine."""

from dataclasses import dataclass
from enum import Enum

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


class ClaimRepair(Enum):
    """What to do about a claim after a restore of the store."""

    NONE = "none"
    WRITE_AGAIN = "write_again"
    CLAIM_AGAIN = "claim_again"


def repair_claim(stored: HolderRecord | None, held: HolderRecord) -> ClaimRepair:
    """Returns what to do about a held claim that the store may have lost.

    The record must name the held token again, so that the next holder takes a higher
    one. A record with a token that is not lower is the claim of another holder.

    Args:
        stored: Stored record; None if there is none.
        held: The claim that is held.
    """
    if stored == held:
        return ClaimRepair.NONE
    if stored is None or stored.token < held.token:
        return ClaimRepair.WRITE_AGAIN
    return ClaimRepair.CLAIM_AGAIN


def claim_engine(
    previous: HolderRecord | None,
    holder: str,
    wall_ms: int,
    lease: Seconds,
    *,
    lowest_token: int = 0,
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
        lowest_token: Token that the claim must at least have, from records that the
            store has lost since.
    """
    if previous is None:
        return HolderClaim(HolderRecord(holder, max(wall_ms, lowest_token)), 0.0)
    token = max(wall_ms, previous.token + 1, lowest_token)
    wait = 0.0 if previous.holder == holder else lease
    return HolderClaim(HolderRecord(holder, token), wait)
