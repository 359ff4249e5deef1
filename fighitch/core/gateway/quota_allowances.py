"""Quota allowances: units of client accounts' quotas that an entry holds.

Load pattern: an account sends several times its usual rate for some seconds, or all at
once to one entry, while agents and other entries come and go. The entry holds units
ahead of demand, so that requests within the quota wait for no one; a sudden burst
waits for one answer of the account's holder. Requests beyond the quota are rejected at
once, without a message for each.
"""

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum

from fighitch.core.gateway.accounts import Account, Quota
from fighitch.core.gateway.entry_count import EntryCount
from fighitch.core.gateway.quota_holder import (
    CLOSE_DELAY,
    LEASE,
    GrantLine,
    QuotaLimit,
    QuotaLine,
    quota_limit,
)
from fighitch.core.gateway.settings import QuotaWindow
from fighitch.types import Seconds

# Longest time that a request waits for units.
MAX_WAIT: Seconds = 0.1
# Time without an answer after which another agent becomes the holder. Requests are
# served from units held ahead for about as long.
HOLDER_TIMEOUT: Seconds = 0.3
# Time for which a holder that did not answer is avoided.
_AVOID_TIME: Seconds = 2.0
# Demand for which units are held ahead: twice the interval of the reports.
_HORIZON: Seconds = 0.5
_REPORT_INTERVAL: Seconds = 0.25
# Two reports may be late before a share lapses.
_LEND_INTERVAL: Seconds = 0.4
# Least interval of requests for more units of one account; bounds the messages of a
# burst.
_MIN_ASK_INTERVAL: Seconds = 0.02
# The same if no request waits for them.
_AHEAD_INTERVAL: Seconds = 0.1
# The same for requests that wait, for some time after a short answer; a request still
# gets its answer within its longest wait.
_SHORT_ASK_INTERVAL: Seconds = 0.08
_SHORT_MEMORY: Seconds = 1.0
# Time after a short answer for which nothing more is asked; doubles up to the limit.
_MIN_SHORT_TIME: Seconds = 0.025
_MAX_SHORT_TIME: Seconds = 0.2
# Time constant of the measured demand.
_DEMAND_TIME: Seconds = 1.0
_EPSILON = 1e-6
_US_PER_SECOND = 1_000_000


class RefusalReason(Enum):
    """Why a request got no units."""

    EXCEEDED = "exceeded"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that got no units.

    Attributes:
        reason: Why it got none.
        retry_after: Time until units for it are expected.
    """

    reason: RefusalReason
    retry_after: Seconds


OnResult = Callable[[Refusal | None], None]


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for units.

    Attributes:
        cost: Units that it needs.
        since: Time at which it began to wait.
        on_result: Called once with the refusal, or None if it got the units.
        is_cancelled: Whether it needs no units any more.
    """

    cost: float
    since: Seconds
    on_result: OnResult
    is_cancelled: bool = False


class _Rate:
    """Units per second, averaged over about a second."""

    __slots__ = ("_at", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at: Seconds = 0.0

    def add(self, units: float, now: Seconds) -> None:
        self._sum = self.value(now) * _DEMAND_TIME + units
        self._at = now

    def value(self, now: Seconds) -> float:
        elapsed = max(0.0, now - self._at)
        return self._sum * math.exp(-elapsed / _DEMAND_TIME) / _DEMAND_TIME


@dataclass(eq=False, slots=True)
class _Allowance:
    """Units of one account at this entry.

    Attributes:
        name: Name of the account.
        limit: Limit of its bucket.
        own: Units in the entry's own share while it is not lent.
        own_at: Time up to which the own share is filled; in the future while the latest
            holder may still count the share.
        holder: Agent that the share is lent to; None if the entry spends it itself.
        is_lent: Whether the holder was told.
        lend_after: Time before which the share is not lent again.
        moved_at: Latest time at which it was lent to another holder while the previous
            one could still count it.
        pool: Units lent by the holder.
        expires_at: Time at which they expire.
        carried: Units lent by the previous holder.
        carried_until: Time at which those expire.
        used, returned, refunded: Units not yet reported to the holder.
        largest: Units of the largest request so far.
        sent_at: Time of the latest request to the holder.
        asked_at: Time of the first request without an answer; None if there is none.
        short_until: Time until which nothing more is asked.
        short_time: Length of the latest such pause.
        inflow: Units per second that flow to the holder.
        debt: Units that the holder owes before it lends again.
        promised: Units of rejected requests whose ``Retry-After`` has not yet passed.
        promised_at: Time up to which they are counted.
        used_at: Time of the latest request.
        demand: Units that requests need per second.
        waiters: Requests that wait, the oldest first.
    """

    name: str
    limit: QuotaLimit
    own: float
    own_at: Seconds
    used_at: Seconds
    holder: str | None = None
    is_lent: bool = False
    lend_after: Seconds = float("-inf")
    moved_at: Seconds = float("-inf")
    pool: float = 0.0
    expires_at: Seconds = 0.0
    carried: float = 0.0
    carried_until: Seconds = 0.0
    used: float = 0.0
    returned: float = 0.0
    refunded: float = 0.0
    largest: float = 0.0
    sent_at: Seconds = float("-inf")
    asked_at: Seconds | None = None
    short_until: Seconds = float("-inf")
    short_time: Seconds = 0.0
    inflow: float = 0.0
    debt: float = 0.0
    promised: float = 0.0
    promised_at: Seconds = 0.0
    demand: _Rate = field(default_factory=_Rate)
    waiters: deque[Waiter] = field(default_factory=deque)

    def expire(self, now: Seconds) -> None:
        """Gives up the units whose time has passed."""
        if now >= self.expires_at and self.pool > 0:
            self.returned += self.pool
            self.pool = 0.0
        if now >= self.carried_until:
            self.carried = 0.0

    def own_capacity(self, entries: float) -> float:
        """Returns the units that the own share holds, at least one request's."""
        return max(self.limit.capacity / entries, self.largest)

    def refill(self, now: Seconds, entries: float) -> None:
        """Fills the own share while it is not lent."""
        if self.is_lent or now <= self.own_at:
            return
        inflow = self.limit.rate / entries * (now - self.own_at)
        self.own = min(self.own_capacity(entries), self.own + inflow)
        self.own_at = now

    def spend(self, cost: float, now: Seconds, entries: float) -> bool:
        """Takes units if enough are held; returns whether they were."""
        self.expire(now)
        if self.holder is None:
            self.refill(now, entries)
        own = 0.0 if self.is_lent or self.holder is not None else self.own
        if cost > self.carried + self.pool + own + _EPSILON:
            return False
        from_carried = min(cost, self.carried)
        from_pool = min(cost - from_carried, self.pool)
        self.carried -= from_carried
        self.pool -= from_pool
        self.used += from_pool
        self.own -= min(max(0.0, cost - from_carried - from_pool), own)
        return True

    def move(
        self,
        holder: str | None,
        now: Seconds,
        *,
        is_released: bool,
        window: Seconds,
    ) -> None:
        """Lends the share to another holder, or to none.

        Units of the previous holder stay valid until they expire: it takes them for
        used. If it may still count the share, the share counts twice for up to a lease;
        the permitted overage covers this once in a window.

        Args:
            holder: The other holder, if any.
            now: Current time.
            is_released: Whether the previous holder knows that the share is gone.
            window: Length of the windows over which quotas hold.
        """
        self.expire(now)
        if self.pool > 0:
            until = self.expires_at
            if self.carried > 0:
                until = min(until, self.carried_until)
            self.carried += self.pool
            self.carried_until = until
        self.pool = self.used = self.returned = 0.0
        if self.is_lent:
            self.is_lent = False
            self.own = 0.0
            lapse = now if is_released else max(now, self.sent_at + LEASE)
            self.own_at = lapse
            if now - self.moved_at < window:
                self.lend_after = lapse
            elif not is_released:
                self.moved_at = now
        self.holder = holder
        self.sent_at, self.asked_at = float("-inf"), None
        self.short_until, self.short_time = float("-inf"), 0.0

    def target(self, now: Seconds) -> float:
        """Returns the units to hold ahead of demand."""
        ahead = self.demand.value(now) * _HORIZON
        return ahead if ahead > _EPSILON * self.limit.capacity else 0.0

    @property
    def needed(self) -> float:
        """Units that waiting requests need beyond those held."""
        waiting = sum(item.cost for item in self.waiters if not item.is_cancelled)
        return max(0.0, waiting - self.pool - self.carried)

    def is_urgent(self, now: Seconds) -> bool:
        """Whether the holder must be asked now."""
        if self.holder is None:
            return False
        if not self.is_lent:
            return now >= self.lend_after
        if self.asked_at is not None or now < self.short_until:
            return False
        elapsed = now - self.sent_at + _EPSILON
        if elapsed >= _AHEAD_INTERVAL:
            is_low = self.pool + self.carried < self.target(now) / 2
            return is_low or self.needed > 0
        was_short = now - self.short_until < _SHORT_MEMORY
        interval = _SHORT_ASK_INTERVAL if was_short else _MIN_ASK_INTERVAL
        return elapsed >= interval and self.needed > 0

    def is_due(self, now: Seconds) -> bool:
        """Whether the holder should be told something now."""
        if self.holder is None or now < self.lend_after:
            return False
        elapsed = now - self.sent_at + _EPSILON
        if elapsed >= _LEND_INTERVAL or self.is_urgent(now):
            return True
        has_news = self.used or self.returned or self.refunded or self.pool
        return elapsed >= _REPORT_INTERVAL and bool(has_news)

    def line(self, now: Seconds, entries: int) -> QuotaLine:
        """Returns what to send to the holder, and counts it as sent."""
        self.expire(now)
        credit = 0.0
        if not self.is_lent:
            self.refill(now, entries)
            credit, self.own, self.is_lent = self.own, 0.0, True
        target = self.target(now)
        needed = self.needed
        if not self.waiters and self.pool > 2 * target:
            self.returned += self.pool - target
            self.pool = target
        wanted = max(needed, target - self.pool - self.carried, 0.0)
        if now < self.short_until:
            needed = wanted = 0.0
        line = QuotaLine(
            self.name,
            self.limit,
            self.used,
            self.returned,
            self.refunded,
            needed,
            wanted,
            credit,
        )
        self.used = self.returned = self.refunded = 0.0
        self.sent_at = now
        if self.asked_at is None:
            self.asked_at = now
        return line

    def retry_after(self, cost: float, now: Seconds, entries: int) -> Seconds:
        """Returns when units for a rejected request are expected.

        Rejected requests count one after the other, so that their retries don't all
        arrive at once.
        """
        share = self.limit.rate / entries
        rate = max(share, min(self.inflow, self.demand.value(now)))
        self.promised -= rate * (now - self.promised_at)
        self.promised_at = now
        self.promised = max(0.0, self.promised, self.debt - self.pool) + cost
        return self.promised / rate


class QuotaAllowances:
    """Units of all accounts with a quota, at one entry."""

    def __init__(self, window: QuotaWindow, started_at: Seconds) -> None:
        """Holds no units yet.

        Args:
            window: How closely quotas hold.
            started_at: Time at which the process started. An earlier one of the same
                entry may have spent its shares before.
        """
        self._window = window
        self._started_at = started_at
        self._quotas: dict[str, Quota] = {}
        self._version = 0
        self._allowances: dict[str, _Allowance] = {}
        self._left: dict[str, list[str]] = {}
        self._avoided: dict[str, Seconds] = {}
        self._rank: Callable[[str], Iterable[str]] = lambda _account: ()
        self._agents: frozenset[str] = frozenset()
        self._may_connect_until: Seconds = float("-inf")
        self.entries = EntryCount()

    @property
    def is_active(self) -> bool:
        """Whether any account has a quota."""
        return bool(self._quotas)

    @property
    def version(self) -> int:
        """Version of the configuration that the quotas are from."""
        return self._version

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for units."""
        return any(item.waiters for item in self._allowances.values())

    def held(self) -> dict[str, float]:
        """Returns the units held, by account with traffic."""
        return {
            name: item.pool + item.carried for name, item in self._allowances.items()
        }

    def holder(self, account: str) -> str | None:
        """Returns the agent that an account's share is lent to, if any."""
        allowance = self._allowances.get(account)
        return None if allowance is None else allowance.holder

    def quota(self, account: str) -> Quota | None:
        """Returns the quota of an account; None if it has none."""
        return self._quotas.get(account)

    def configure(self, accounts: Iterable[Account], version: int) -> None:
        """Applies the quotas of a configuration."""
        self._version = version
        self._quotas = {
            item.name: item.quota
            for item in accounts
            if item.quota is not None and item.quota.rate > 0
        }
        for name, allowance in list(self._allowances.items()):
            quota = self._quotas.get(name)
            if quota is not None:
                allowance.limit = quota_limit(quota, self._window)
                continue
            del self._allowances[name]
            if allowance.holder is not None:
                self._left.setdefault(allowance.holder, []).append(name)
            for waiter in allowance.waiters:
                if not waiter.is_cancelled:
                    waiter.on_result(None)

    def set_agents(
        self,
        agents: Iterable[str],
        rank: Callable[[str], Iterable[str]],
        now: Seconds,
        *,
        released: Collection[str] = (),
        may_connect_until: Seconds = float("-inf"),
    ) -> None:
        """Applies changed connections to agents.

        Args:
            agents: Agents that are connected and understand quotas.
            rank: Returns the agents for an account, the best first.
            now: Current time.
            released: Lost agents that know of the loss, or have ended.
            may_connect_until: Time until which an entry without agents waits for one.
        """
        self._agents, self._rank = frozenset(agents), rank
        self._may_connect_until = may_connect_until
        for allowance in self._allowances.values():
            self._assign(allowance, now, released)

    # Requests.

    def take(
        self, account: str, cost: float, now: Seconds, on_result: OnResult
    ) -> Waiter | None:
        """Takes the units of a request.

        Args:
            account: Name of the account.
            cost: Units of the request.
            now: Current time.
            on_result: Called with the result, at once if it is known.

        Returns:
            The waiting request; None if the result is known.
        """
        quota = self._quotas.get(account)
        if quota is None:
            on_result(None)
            return None
        allowance = self._open(account, now, cost)
        allowance.used_at = now
        allowance.demand.add(cost, now)
        if cost > allowance.limit.capacity:
            on_result(Refusal(RefusalReason.EXCEEDED, self._window.length))
            return None
        if not allowance.waiters and self._spend(allowance, cost, now):
            on_result(None)
            return None
        if not self._may_wait(allowance, now):
            on_result(self._exceeded(allowance, cost, now))
            return None
        waiter = Waiter(cost, now, on_result)
        allowance.waiters.append(waiter)
        return waiter

    def take_held(self, account: str, cost: float, now: Seconds) -> bool:
        """Takes units only if they are held; returns whether they were."""
        if account not in self._quotas:
            return True
        allowance = self._open(account, now, cost)
        allowance.used_at = now
        allowance.demand.add(cost, now)
        return not allowance.waiters and self._spend(allowance, cost, now)

    def give_back(self, account: str, cost: float, now: Seconds) -> None:
        """Gives back the units of a request that has not run and never will."""
        if account not in self._quotas:
            return
        allowance = self._open(account, now)
        if allowance.holder is not None:
            allowance.refunded += cost
        else:
            count = self._own_entries
            allowance.refill(now, count)
            capacity = allowance.own_capacity(count)
            allowance.own = min(capacity, allowance.own + cost)

    # Messages.

    def is_urgent(self, account: str, now: Seconds) -> bool:
        """Whether the holder of an account must be asked now."""
        allowance = self._allowances.get(account)
        return allowance is not None and allowance.is_urgent(now)

    def requests(self, now: Seconds) -> dict[str, tuple[list[QuotaLine], list[str]]]:
        """Returns what to send now.

        Returns:
            By holder, the lines and the accounts whose shares it no longer holds.
        """
        lines: dict[str, tuple[list[QuotaLine], list[str]]] = {}
        for holder, accounts in self._left.items():
            if holder in self._agents:
                lines.setdefault(holder, ([], []))[1].extend(accounts)
        self._left.clear()
        for allowance in self._allowances.values():
            if allowance.holder is not None and allowance.is_due(now):
                message = lines.setdefault(allowance.holder, ([], []))
                message[0].append(allowance.line(now, self.entries.value))
        return lines

    def handle_grants(
        self, holder: str, sent_at: int, lines: Iterable[GrantLine], now: Seconds
    ) -> None:
        """Handles the answer of a holder.

        Args:
            holder: The agent.
            sent_at: Time of the request, as this entry stated it, in us.
            lines: The answer, by account.
            now: Current time.
        """
        expires_at = sent_at / _US_PER_SECOND + LEASE
        for line in lines:
            allowance = self._allowances.get(line.account)
            if allowance is None or allowance.holder != holder:
                continue
            allowance.asked_at = None
            allowance.inflow, allowance.debt = line.rate, line.debt
            allowance.expire(now)
            if now < expires_at:
                allowance.pool += line.granted
                allowance.expires_at = max(allowance.expires_at, expires_at)
            else:
                allowance.returned += line.granted
            self._serve(allowance, now, is_short=line.is_short)

    def announce(self, accounts: Iterable[str], now: Seconds) -> None:
        """Lends the shares of accounts that have traffic at other entries."""
        for account in accounts:
            if account in self._quotas:
                self._open(account, now)

    def close(self, holder: str, accounts: Iterable[str]) -> None:
        """Takes back the filled shares of accounts without traffic."""
        for account in accounts:
            allowance = self._allowances.get(account)
            if allowance is None or allowance.holder != holder:
                continue
            if not allowance.waiters and not allowance.used and not allowance.refunded:
                del self._allowances[account]

    def poll(self, now: Seconds) -> None:
        """Ends waits that took too long and replaces holders that do not answer."""
        for holder in [item for item, until in self._avoided.items() if until <= now]:
            del self._avoided[holder]
        for allowance in list(self._allowances.values()):
            asked_at = allowance.asked_at
            if asked_at is not None and now - asked_at >= HOLDER_TIMEOUT:
                self._avoided.setdefault(allowance.holder or "", now + _AVOID_TIME)
            self._assign(allowance, now)
            self._end_waits(allowance, now)
            self._drop_if_idle(allowance, now)

    @property
    def _own_entries(self) -> float:
        return self.entries.own_divisor

    def _open(self, account: str, now: Seconds, cost: float = 0.0) -> _Allowance:
        allowance = self._allowances.get(account)
        if allowance is None:
            limit = quota_limit(self._quotas[account], self._window)
            allowance = _Allowance(account, limit, 0.0, self._started_at, now)
            allowance.largest = min(cost, limit.capacity)
            allowance.refill(now, self._own_entries)
            self._allowances[account] = allowance
            self._assign(allowance, now)
        allowance.largest = max(allowance.largest, min(cost, allowance.limit.capacity))
        return allowance

    def _assign(
        self, allowance: _Allowance, now: Seconds, released: Collection[str] = ()
    ) -> None:
        """Lends a share to the best agent that is connected and answers."""
        best = None
        for agent in self._rank(allowance.name):
            if agent in self._agents and agent not in self._avoided:
                best = agent
                break
        previous = allowance.holder
        if best == previous or (best is None and previous in self._agents):
            return
        is_connected = previous is not None and previous in self._agents
        if previous is not None and is_connected and allowance.is_lent:
            self._left.setdefault(previous, []).append(allowance.name)
        # A holder that does not answer may go on counting the share for a while.
        is_released = is_connected and previous not in self._avoided
        allowance.move(
            best,
            now,
            is_released=is_released or previous in released,
            window=self._window.length,
        )

    def _spend(self, allowance: _Allowance, cost: float, now: Seconds) -> bool:
        return allowance.spend(cost, now, self._own_entries)

    def _may_wait(self, allowance: _Allowance, now: Seconds) -> bool:
        if allowance.holder is None:
            return not self.entries.is_known or now < self._may_connect_until
        return now >= allowance.short_until

    def _exceeded(self, allowance: _Allowance, cost: float, now: Seconds) -> Refusal:
        retry_after = allowance.retry_after(cost, now, self.entries.value)
        return Refusal(RefusalReason.EXCEEDED, min(retry_after, self._window.length))

    def _serve(self, allowance: _Allowance, now: Seconds, *, is_short: bool) -> None:
        """Gives units to waiting requests; rejects the rest if there are no more."""
        if now - allowance.short_until >= _SHORT_MEMORY:
            allowance.short_time = 0.0
        waiters = allowance.waiters
        refused = []
        while waiters:
            waiter = waiters[0]
            if waiter.is_cancelled:
                waiters.popleft()
            elif self._spend(allowance, waiter.cost, now):
                waiters.popleft()
                waiter.on_result(None)
            elif is_short:
                refused.append(waiters.popleft())
            else:
                return
        if refused:
            doubled = max(_MIN_SHORT_TIME, 2 * allowance.short_time)
            allowance.short_time = min(_MAX_SHORT_TIME, doubled)
            allowance.short_until = now + allowance.short_time
        for waiter in refused:
            waiter.on_result(self._exceeded(allowance, waiter.cost, now))

    def _end_waits(self, allowance: _Allowance, now: Seconds) -> None:
        self._serve_unlent(allowance, now)
        waiters = allowance.waiters
        while waiters and (
            waiters[0].is_cancelled or now - waiters[0].since >= MAX_WAIT - _EPSILON
        ):
            waiter = waiters.popleft()
            if waiter.is_cancelled:
                continue
            if allowance.holder is None and self.entries.is_known:
                waiter.on_result(self._exceeded(allowance, waiter.cost, now))
            else:
                refusal = Refusal(RefusalReason.NO_ANSWER, HOLDER_TIMEOUT)
                waiter.on_result(refusal)

    def _serve_unlent(self, allowance: _Allowance, now: Seconds) -> None:
        """Serves requests that wait while the entry spends its share itself."""
        if allowance.holder is None and allowance.waiters:
            may_wait = not self.entries.is_known or now < self._may_connect_until
            self._serve(allowance, now, is_short=not may_wait)

    def _drop_if_idle(self, allowance: _Allowance, now: Seconds) -> None:
        if allowance.holder is not None or allowance.waiters:
            return
        if not self.entries.is_known:
            return
        allowance.refill(now, self._own_entries)
        is_full = allowance.own >= allowance.own_capacity(self._own_entries)
        if is_full and now - allowance.used_at >= CLOSE_DELAY:
            del self._allowances[allowance.name]
