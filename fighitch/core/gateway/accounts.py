"""Client accounts: their keys, ranks and quotas."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit on the work of an account, over all entries together.

    Attributes:
        rate: Units per second; 0 for no limit.
        burst: Units beyond the rate that may be used at once.
        unit: What is counted.
        plain_cost: Units of a request that does not state its tokens.
    """

    rate: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_cost: float = 1.0

    def cost(self, *, tokens: int | None) -> float:
        """Returns the units that a request costs.

        Args:
            tokens: Prompt and output tokens that the request states; None if it states
                none.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return self.plain_cost if tokens is None else float(tokens)


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Name, as backend servers, logs and metrics see it.
        keys: Keys that identify requests of the account; never logged.
        rank: Priority rank that replaces that of the route; None to keep the latter.
        quota: Limit on its work; None for no limit.
    """

    name: str
    keys: frozenset[str] = field(repr=False)
    rank: int | None = None
    quota: Quota | None = None


class AccountTable:
    """Finds the account of a key."""

    def __init__(self, accounts: Iterable[Account]) -> None:
        self._accounts = {account.name: account for account in accounts}
        self._by_key = {
            key: account for account in self._accounts.values() for key in account.keys
        }

    def __iter__(self) -> Iterator[Account]:
        return iter(self._accounts.values())

    def find(self, key: str) -> Account | None:
        """Returns the account that holds a key, or None."""
        return self._by_key.get(key)

    def get(self, name: str) -> Account | None:
        """Returns the account with a name, or None."""
        return self._accounts.get(name)
