"""Client accounts: their keys, ranks and quotas."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

# Lowest and highest weight of an account, where 1 is the mean. An account at a tenth of
# the mean among 16 gets one prompt of 500 tokens in 4 s from a full engine of 20 tokens
# per ms; with less, its requests would wait until usual deadlines. An account at ten
# times the mean takes 1.5 s of engine time in one step of the order of admission.
MIN_WEIGHT = 0.1
MAX_WEIGHT = 10.0


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
        self._weights = _weights(self._accounts.values())

    def __iter__(self) -> Iterator[Account]:
        return iter(self._accounts.values())

    def find(self, key: str) -> Account | None:
        """Returns the account that holds a key, or None."""
        return self._by_key.get(key)

    def get(self, name: str) -> Account | None:
        """Returns the account with a name, or None."""
        return self._accounts.get(name)

    def weight(self, name: str) -> float:
        """Returns the share of an account relative to the mean of the others'.

        The weight is proportional to the rate of the account's quota. An account
        without a quota has the mean weight, 1: a lower one would punish it for a limit
        that was never agreed on, a higher one would turn the absence of a limit into a
        claim on the others' shares.
        """
        return self._weights.get(name, 1.0)


def bounded_weight(weight: float) -> float:
    """Returns a weight within its limits; the lowest one if it is not a number."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


def _weights(accounts: Iterable[Account]) -> dict[str, float]:
    """Returns the weights of the accounts with quotas.

    Rates in tokens and rates in requests can't be compared. Each is divided by the mean
    rate of its unit.
    """
    rates: dict[QuotaUnit, dict[str, float]] = {}
    for account in accounts:
        if account.quota is not None and account.quota.rate > 0:
            rates.setdefault(account.quota.unit, {})[account.name] = account.quota.rate
    return {
        name: bounded_weight(rate * len(group) / sum(group.values()))
        for group in rates.values()
        for name, rate in group.items()
    }
