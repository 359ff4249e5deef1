"""Epoch of the platform's store, which rises when it is restored from an older copy.

After a restore, the changes since the copy are lost and revisions are given out again,
so that revisions of two epochs can't be compared.
"""

from enum import Enum

from fighitch.types import Seconds

# Responses of an earlier epoch arrive late by at most this time. A lower epoch that
# comes later, while the known one does not, is that of the store.
_MAX_RESPONSE_DELAY: Seconds = 5.0


class EpochStatus(Enum):
    """How the epoch of a response compares with the known one.

    ``CURRENT`` includes responses without an epoch. With ``RESTORED`` the store has
    been restored since the last response, and ``OUTDATED`` responses are from before
    the last restore.
    """

    CURRENT = "current"
    RESTORED = "restored"
    OUTDATED = "outdated"


class StoreEpoch:
    """Epoch of one store, from the responses to all clients of a process."""

    def __init__(self) -> None:
        self._epoch: int | None = None
        self._seen_at: Seconds = float("-inf")

    @property
    def current(self) -> int | None:
        """The epoch; None as long as no response has stated one."""
        return self._epoch

    def record(self, epoch: int | None, now: Seconds) -> EpochStatus:
        """Records the epoch of a response; None if it states none."""
        if epoch is None:
            return EpochStatus.CURRENT
        known = self._epoch
        is_late = now - self._seen_at < _MAX_RESPONSE_DELAY
        if known is not None and epoch < known and is_late:
            return EpochStatus.OUTDATED
        self._epoch, self._seen_at = epoch, now
        if known is None or epoch == known:
            return EpochStatus.CURRENT
        return EpochStatus.RESTORED


def is_restored_copy(copy_epoch: int | None, epoch: int | None) -> bool:
    """Returns whether a list comes from another epoch than the copy that it replaces.

    Args:
        copy_epoch: Epoch of the copy; None if there is none or its epoch is unknown.
        epoch: Epoch of the list.
    """
    return copy_epoch is not None and copy_epoch != epoch
