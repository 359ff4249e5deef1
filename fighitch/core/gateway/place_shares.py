"""Decides which accounts' adapters may be evicted for those of another account.

Load pattern: one account floods an engine with requests for many of its adapters. By
demand alone, each of them would evict an adapter that another account uses. Accounts
that want more places than there are get equal numbers of them; a place whose adapter
nobody has used for a while is lent to any account.
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
# An account loses a place only to one that has at least this many fewer. With a smaller
# difference, the two would take the place from each other in turn.
_MIN_DIFFERENCE = 2
# Adapters with recorded uses; expired ones are forgotten at this number. It bounds the
# memory at a few times the adapters that one engine loads within USE_RETENTION.
_MAX_ADAPTERS = 1_024


@dataclass(slots=True)
class PlaceShares:
    """Recent uses of the adapters of one engine, by client account."""

    _used_at: dict[AdapterName, dict[str, Seconds]] = field(default_factory=dict)
    _named_account_at: Seconds = float("-inf")

    def __len__(self) -> int:
        return len(self._used_at)

    def is_active(self, now: Seconds) -> bool:
        """Returns whether requests of named accounts use the engine."""
        return now - self._named_account_at < USE_RETENTION

    def record_use(self, adapter: AdapterName, account: str, now: Seconds) -> None:
        """Records a request of an account for an adapter."""
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
            account = _claimant(demand, places)
            keys.append(
                (not demand.on_time_requests, demand.rank, places[account], position)
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
        claimant = _claimant(candidate, places)
        limit = places[claimant] + _MIN_DIFFERENCE
        over_share, unclaimed, others = [], [], []
        for adapter in adapters:
            users = self.users(adapter, now)
            if users and min(places[account] for account in users) >= limit:
                over_share.append(adapter)
            elif all(account == claimant for account in users):
                unclaimed.append(adapter)
            else:
                others.append(adapter)
        # With more accounts than places, those without a place share them by demand.
        if not places[claimant] and not over_share and not unclaimed:
            unclaimed = others
        return over_share, unclaimed


def _claimant(demand: AdapterDemand, places: Counter[str]) -> str:
    """Returns the account with fewest places among those that wait for an adapter."""
    return min(demand.accounts, key=lambda account: places[account], default="")
