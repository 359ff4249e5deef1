"""Decides which accounts' adapters may be evicted for those of another account.

Load pattern: one account floods an engine with requests for many of its adapters. By
demand alone, each of them would evict an adapter that another account uses. Accounts
that want more places than there are get numbers of them in proportion to their weights,
and at least one; a place whose adapter nobody has used for a while is lent to any
account.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from fighitch.core.gateway.adapter_demand import AdapterDemand
from fighitch.core.gateway.model import AdapterName
from fighitch.types import Seconds

# An adapter belongs to the accounts that have requested it within this time. In the
# replay of test_account_floods with 300 adapters of the large account, 2 s and 4 s
# served fewer of its requests (0.72 and 0.65, against 0.84) and no more of the others'
# on time.
USE_RETENTION: Seconds = 1.0
# An account without a place takes one from an account that has at least this many,
# whatever their weights.
_MIN_PLACES_TO_GIVE = 2
# Adapters with recorded uses; expired ones are forgotten at this number. It bounds the
# memory at a few times the adapters that one engine loads within USE_RETENTION.
_MAX_ADAPTERS = 1_024
# Accounts with recorded weights; a forgotten one has the mean weight until it is used
# again.
_MAX_ACCOUNTS = 1_024


@dataclass(slots=True)
class PlaceShares:
    """Recent uses of the adapters of one engine, by client account."""

    _used_at: dict[AdapterName, dict[str, Seconds]] = field(default_factory=dict)
    _weights: dict[str, float] = field(default_factory=dict)
    _named_account_at: Seconds = float("-inf")

    def __len__(self) -> int:
        return len(self._used_at)

    def is_active(self, now: Seconds) -> bool:
        """Returns whether requests of named accounts use the engine."""
        return now - self._named_account_at < USE_RETENTION

    def record_use(
        self,
        adapter: AdapterName,
        account: str,
        now: Seconds,
        *,
        weight: float = 1.0,
    ) -> None:
        """Records a request of an account for an adapter.

        Args:
            adapter: Requested adapter.
            account: Client account of the request; empty for none.
            now: Current time.
            weight: Weight of the account.
        """
        if account:
            self._named_account_at = now
        elif not self.is_active(now):
            return
        # The adapter moves to the end, so that the oldest uses are forgotten first.
        uses = self._used_at.pop(adapter, {})
        uses[account] = now
        self._used_at[adapter] = uses
        if len(self._used_at) > _MAX_ADAPTERS:
            del self._used_at[next(iter(self._used_at))]
        self._weights.pop(account, None)
        self._weights[account] = weight
        if len(self._weights) > _MAX_ACCOUNTS:
            del self._weights[next(iter(self._weights))]

    def users(self, adapter: AdapterName, now: Seconds) -> list[str]:
        """Returns the accounts that have recently requested an adapter."""
        uses = self._used_at.get(adapter)
        if uses is None:
            return []
        for account in [name for name, at in uses.items() if now - at > USE_RETENTION]:
            del uses[account]
        return list(uses)

    def held_places(
        self, adapters: Iterable[AdapterName], now: Seconds
    ) -> Counter[str]:
        """Returns how many of the adapters on the engine each account uses."""
        return Counter(
            account for adapter in adapters for account in self.users(adapter, now)
        )

    def order_loads(
        self,
        demands: Sequence[AdapterDemand],
        present: Collection[AdapterName],
        now: Seconds,
    ) -> list[AdapterDemand]:
        """Returns the order of loads in which the accounts with fewest places go first.

        Args:
            demands: Adapters that queued requests need, the most urgent first. Their
                order by lateness and rank is kept.
            present: Adapters that are loaded or being loaded.
            now: Current time.
        """
        places = self.held_places(present, now)
        keys = []
        for position, demand in enumerate(demands):
            account = self._claimant(demand, places)
            keys.append(
                (
                    not demand.on_time_requests,
                    demand.rank,
                    places[account] / self._weight(account),
                    position,
                )
            )
            if demand.adapter not in present:
                places[account] += 1
        keys.sort()
        return [demands[key[-1]] for key in keys]

    def evictable(
        self,
        adapters: Iterable[AdapterName],
        candidate: AdapterDemand,
        present: Collection[AdapterName],
        now: Seconds,
    ) -> tuple[list[AdapterName], list[AdapterName]]:
        """Returns which adapters may be evicted for the load of another one.

        Args:
            adapters: Adapters to choose from.
            candidate: Demand for the adapter to load.
            present: Adapters that are loaded or being loaded.
            now: Current time.

        Returns:
            Adapters of accounts that have more than their share, even if requests wait
            for them; and other adapters, if no requests wait for them.
        """
        places = self.held_places(present, now)
        claimant = self._claimant(candidate, places)
        over_share, unclaimed, others = [], [], []
        for adapter in adapters:
            users = self.users(adapter, now)
            if users and all(
                self._gives_place(account, claimant, places) for account in users
            ):
                over_share.append(adapter)
            elif all(account == claimant for account in users):
                unclaimed.append(adapter)
            else:
                others.append(adapter)
        # With more accounts than places, those without a place share them by demand.
        if not places[claimant] and not over_share and not unclaimed:
            unclaimed = others
        return over_share, unclaimed

    def _weight(self, account: str) -> float:
        return self._weights.get(account, 1.0)

    def _gives_place(self, account: str, claimant: str, places: Counter[str]) -> bool:
        """Returns whether an account has to give a place to another one.

        It must still have as many as the other one afterwards, relative to their
        weights. Otherwise, the two would take the place from each other in turn.
        """
        if not places[claimant]:
            return places[account] >= _MIN_PLACES_TO_GIVE
        left = (places[account] - 1) / self._weight(account)
        return left >= (places[claimant] + 1) / self._weight(claimant)

    def _claimant(self, demand: AdapterDemand, places: Counter[str]) -> str:
        """Returns the account furthest below its share that waits for an adapter."""
        return min(
            demand.accounts,
            key=lambda account: places[account] / self._weight(account),
            default="",
        )
