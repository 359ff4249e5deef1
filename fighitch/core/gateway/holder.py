"""Fencing tokens of the one holder that gives orders to an engine."""

from dataclasses import dataclass

from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Stored claim on an engine.

    Attributes:
        holder: Name of the holder's instance.
        token: Its fencing token.
    """

    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class HolderClaim:
    """What a new holder writes and how long it waits before its first order.

    Attributes:
        record: New record.
        wait: Time in which the previous holder may still give orders.
    """

    record: HolderRecord
    wait: Seconds


def claim_engine(
    previous: HolderRecord | None, holder: str, wall_ms: int, lease: Seconds
) -> HolderClaim:
    """Returns the claim of a holder that starts.

    The token is a wall-clock time, so that it grows even if the previous record can't
    be read; the record keeps it growing when the clock was set back.

    Args:
        previous: Stored record; None if there is none or it can't be read.
        holder: Name of the new holder.
        wall_ms: Wall-clock time in ms.
        lease: Time in which two holders must not give orders in turn.
    """
    if previous is None:
        return HolderClaim(HolderRecord(holder, wall_ms), 0.0)
    token = max(wall_ms, previous.token + 1)
    wait = 0.0 if previous.holder == holder else lease
    return HolderClaim(HolderRecord(holder, token), wait)
