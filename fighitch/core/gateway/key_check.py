"""Decides whether the key of a request is accepted.

Load pattern: requests with keys of client accounts arrive at many entries while new
configuration versions add, move and remove keys. Entries lose contact with the store,
or stand still and go on later, while a key is removed.
"""

from dataclasses import dataclass

from fighitch.core.gateway.accounts import Account, AccountTable
from fighitch.core.gateway.failures import FailureKind
from fighitch.types import Seconds

# Share of the revocation bound after which keys are refused without contact. A request
# sent after the bound is refused with any share up to 1: the unseen removal was
# acknowledged after the latest successful call was sent. The rest covers clocks that
# are slewed at different rates.
_MAX_CONTACT_AGE_SHARE = 0.9
# Wait of a configuration watch, as a share of the revocation bound. A contact counts
# from the sending of its call and is replaced at the end of the next watch, so that in
# calm its age reaches two waits, two delays of the store and a pause between watches.
# With a bound of 5 s this leaves 0.87 s for each delay.
_WATCH_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The request may run.

    Attributes:
        account: Account of the request; None if it belongs to none.
    """

    account: Account | None


@dataclass(frozen=True, slots=True)
class Rejection:
    """The request must not run.

    Attributes:
        kind: Reason that the caller is given.
    """

    kind: FailureKind


class KeyCheck:
    """Checks keys, and refuses them all without recent contact with the store."""

    def __init__(self, revoke_within: Seconds | None) -> None:
        """Initializes the check of an entry that had no contact yet.

        Args:
            revoke_within: Time after the removal of a key from which it must not be
                accepted; None if keys are accepted without contact.
        """
        self._revoke_within = revoke_within
        self._contact_at: Seconds = float("-inf")

    @property
    def max_watch(self) -> Seconds:
        """Longest wait of a watch that keeps contact while the store is available."""
        if self._revoke_within is None:
            return float("inf")
        return _WATCH_SHARE * self._revoke_within

    def set_bound(self, revoke_within: Seconds | None) -> None:
        """Changes the time within which removed keys must be refused."""
        self._revoke_within = revoke_within

    def record_contact(self, sent_at: Seconds) -> None:
        """Records that the configuration in force was read.

        Args:
            sent_at: Time at which the call was sent. Its response reflects the store at
                that time or later.
        """
        self._contact_at = max(self._contact_at, sent_at)

    def contact_age(self, now: Seconds) -> Seconds:
        """Returns the time since the latest successful call was sent."""
        return now - self._contact_at

    def may_accept(self, now: Seconds) -> bool:
        """Returns whether contact is recent enough to accept any key."""
        if self._revoke_within is None:
            return True
        return self.contact_age(now) < _MAX_CONTACT_AGE_SHARE * self._revoke_within

    def check(
        self,
        accounts: AccountTable | None,
        key: str | None,
        *,
        allows_anonymous: bool,
        is_current: bool,
        now: Seconds,
    ) -> Acceptance | Rejection:
        """Checks the key of one request.

        Args:
            accounts: Accounts of the configuration in force; None if it has none.
            key: Key of the request; None if it has none, or more than one.
            allows_anonymous: Whether the route needs no key. A known one still names
                the account then.
            is_current: Whether the configuration in force is up to date.
            now: Present time. A process that stood still must not use an earlier one.
        """
        if accounts is None:
            return Acceptance(None)
        may_accept = self.may_accept(now)
        account = None if key is None else accounts.find(key)
        if allows_anonymous:
            return Acceptance(account if may_accept else None)
        if account is not None and may_accept:
            return Acceptance(account)
        if account is None and is_current and may_accept:
            return Rejection(FailureKind.UNAUTHENTICATED)
        return Rejection(FailureKind.KEYS_NOT_CURRENT)
