"""Checks the keys of an entry's requests; logs and counts what it decides."""

from dataclasses import replace

from fighitch.core.gateway.accounts import Account
from fighitch.core.gateway.failures import FailureKind
from fighitch.core.gateway.key_check import KeyCheck, Rejection
from fighitch.core.gateway.model import Configuration, Route
from fighitch.gateway.metrics import EntryMetrics
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform.requests import RequestMetadata
from fighitch.runtime.event_loop import EventLoop
from fighitch.types import Seconds

_ACCEPTED = "accepted"


class RequestKeys:
    """Accounts in force, and the contact with the store on which keys depend."""

    def __init__(
        self,
        loop: EventLoop,
        log: BoundedLog,
        metrics: EntryMetrics,
        *,
        revoke_within: Seconds | None,
    ) -> None:
        """Initializes the check of an entry without a configuration.

        Args:
            loop: Event loop whose clock is used.
            log: Log for the start and end of times in which keys are refused.
            metrics: Metrics of the entry.
            revoke_within: Time after the removal of a key from which it must not be
                accepted; None if keys are accepted without contact.
        """
        self._loop = loop
        self._log = log
        self._metrics = metrics
        self._check = KeyCheck(revoke_within)
        self._configuration: Configuration | None = None
        self._has_anonymous_route = False
        self._is_refusing = False
        # Routes with the ranks of accounts, by host, path prefix and rank.
        self._ranked_routes: dict[tuple[str, str, int], Route] = {}

    @property
    def max_watch(self) -> Seconds:
        """Longest wait of a watch that keeps contact while the store is available."""
        return self._check.max_watch

    @property
    def refuses_all(self) -> bool:
        """Whether every request of the configuration in force would be refused."""
        return self._is_refusing_at(self._loop.now()) and not self._has_anonymous_route

    def set_bound(self, revoke_within: Seconds | None) -> None:
        """Changes the time within which removed keys must be refused."""
        self._check.set_bound(revoke_within)

    def configure(self, configuration: Configuration) -> None:
        """Puts the accounts of a configuration in force."""
        self._configuration = configuration
        self._has_anonymous_route = any(
            route.allows_anonymous for route in configuration.routes
        )
        self._ranked_routes.clear()

    def record_contact(self, sent_at: Seconds) -> None:
        """Records when the call was sent that read the configuration in force."""
        self._check.record_contact(sent_at)
        self.update_state()

    def check(
        self, metadata: RequestMetadata, route: Route, *, is_current: bool
    ) -> tuple[RequestMetadata, Route] | FailureKind:
        """Checks the key of a request.

        Args:
            metadata: Metadata of the request.
            route: Route of the request.
            is_current: Whether the configuration in force is up to date.

        Returns:
            The metadata with the account and the route with the account's rank, or the
            reason to reject the request.
        """
        accounts = None if self._configuration is None else self._configuration.accounts
        if accounts is None:
            return metadata, route
        # A refused request must not come before the line that tells why.
        self.update_state()
        decision = self._check.check(
            accounts,
            metadata.key,
            allows_anonymous=route.allows_anonymous,
            is_current=is_current,
            now=self._loop.now(),
        )
        if isinstance(decision, Rejection):
            self._metrics.count_key_check(decision.kind.value)
            return decision.kind
        account = decision.account
        if account is None:
            return replace(metadata, has_accounts=True), route
        self._metrics.count_key_check(_ACCEPTED)
        checked = replace(
            metadata,
            account=account.name,
            weight=accounts.weight(account.name),
            has_accounts=True,
        )
        return checked, self._ranked_route(route, account)

    def update_state(self) -> None:
        """Updates the gauge, and logs when keys start or cease to be refused."""
        now = self._loop.now()
        is_refusing = self._is_refusing_at(now)
        if is_refusing == self._is_refusing:
            return
        self._is_refusing = is_refusing
        self._metrics.set_refuses_keys(is_refusing)
        self._log.event(
            "keys_refused" if is_refusing else "keys_accepted",
            contact_age=f"{self._check.contact_age(now):.3f}",
        )

    def _is_refusing_at(self, now: Seconds) -> bool:
        configuration = self._configuration
        if configuration is None or configuration.accounts is None:
            return False
        return not self._check.may_accept(now)

    def _ranked_route(self, route: Route, account: Account) -> Route:
        if account.rank is None or account.rank == route.rank:
            return route
        key = (route.host, route.path_prefix, account.rank)
        ranked = self._ranked_routes.get(key)
        if ranked is None:
            ranked = self._ranked_routes[key] = replace(route, rank=account.rank)
        return ranked
