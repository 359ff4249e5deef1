"""Quota holder: lends the units of client accounts' quotas to entries.

Load pattern: an account's requests arrive at many entries, unevenly and in bursts of
several times the usual rate, while entries and holders come and go. One holder per
account keeps a token bucket. Units that an entry holds are reserved and leave the
bucket only when they are used, so that what all entries use in a window stays within
the rate and the capacity, wherever the units are held.

Each entry owns an equal share of the rate and of the capacity, which it lends to one
holder at a time. A holder spends only the shares lent to it, so that several holders
of one account together stay within the quota.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fighitch.core.gateway.accounts import Quota, QuotaUnit
from fighitch.core.gateway.settings import QuotaWindow
from fighitch.types import Seconds

# Time without a request after which a holder takes an entry's units for used and no
# longer counts its share. Entries count the same time from the sending of a request,
# so that their units expire first. They detect a lost agent after 0.9 s.
LEASE: Seconds = 1.0
# Time for other entries to lend their shares after an account's first request: two
# messages across zones (1 ms) on event loops that are busy for some 10 ms.
OPENING_TIME: Seconds = 0.06
# An account without requests for this long, whose bucket is full, is closed.
CLOSE_DELAY: Seconds = 10.0
# Interval at which open accounts are announced to entries that lend no share.
ANNOUNCE_INTERVAL: Seconds = 1.0
# Shares of the permitted overage and slack that the bucket uses. Quotas hold over
# windows, in which an account may use its burst again and again, so that a bucket with
# exactly its rate would refuse steady work that the quota allows: a part of the overage
# raises the rate. Another one is held beyond the burst, so that units held by other
# entries don't cause rejections below the quota. What is left covers shares that count
# at two holders until the first one notices that they have moved. The slack counts
# tokens, so that quotas of requests don't use it.
_RATE_OVERAGE_SHARE = 0.25
_RATE_SLACK_SHARE = 0.3
_HEADROOM_OVERAGE_SHARE = 0.5
_HEADROOM_SLACK_SHARE = 0.25
# Rounding errors of sums of units.
_EPSILON = 1e-6


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """Limit of a token bucket.

    Attributes:
        rate: Units per second.
        capacity: Units that an unused bucket holds.
        headroom: Part of the capacity beyond the account's burst. Units lent ahead of
            demand stay within it, so that the burst is available to any entry.
    """

    rate: float
    capacity: float
    headroom: float


def quota_limit(quota: Quota, window: QuotaWindow) -> QuotaLimit:
    """Returns the limit of the bucket that enforces a quota."""
    overage = window.overage * (quota.rate * window.length + quota.burst)
    slack = window.slack if quota.unit is QuotaUnit.TOKENS else 0.0
    spare = _RATE_OVERAGE_SHARE * overage + _RATE_SLACK_SHARE * slack
    headroom = _HEADROOM_OVERAGE_SHARE * overage + _HEADROOM_SLACK_SHARE * slack
    rate = quota.rate + spare / window.length
    capacity = quota.burst + headroom
    if quota.unit is QuotaUnit.REQUESTS:
        # A bucket that holds less than one request would never let one pass.
        capacity = max(1.0, capacity)
    return QuotaLimit(rate, capacity, headroom)


@dataclass(frozen=True, slots=True)
class QuotaLine:
    """Part of an entry's request that concerns one account.

    Attributes:
        account: Name of the account.
        limit: Limit of its bucket.
        used: Units used since the latest request.
        returned: Units given back unused since the latest request.
        refunded: Units of requests that turned out not to have run.
        needed: Units that waiting requests need beyond those held.
        wanted: Units to hold ahead of demand beyond those held.
        credit: Units in the entry's own share before it was lent to this holder.
    """

    account: str
    limit: QuotaLimit
    used: float = 0.0
    returned: float = 0.0
    refunded: float = 0.0
    needed: float = 0.0
    wanted: float = 0.0
    credit: float = 0.0


@dataclass(frozen=True, slots=True)
class GrantLine:
    """Part of a holder's answer that concerns one account.

    Attributes:
        account: Name of the account.
        granted: Units lent.
        is_short: Whether less was lent than waiting requests need.
        debt: Units that must flow in before any can be lent.
        rate: Units per second that flow in.
    """

    account: str
    granted: float
    is_short: bool = False
    debt: float = 0.0
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer to one entry for one account.

    Attributes:
        entry: Name of the entry.
        sent_at: Time of the request by the entry's clock, as it stated it.
        line: The answer.
    """

    entry: str
    sent_at: int
    line: GrantLine


@dataclass(slots=True)
class _Share:
    """An entry's share of one account, lent to this holder.

    Attributes:
        heard_at: Time of the entry's latest request.
        entries: Number of entries that the entry knows.
        sent_at: Time of the latest request by the entry's clock.
        reserved: Units lent to the entry and not reported as used or returned.
    """

    heard_at: Seconds
    entries: int
    sent_at: int
    reserved: float = 0.0


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one account, made of the shares that entries lend.

    The work for one request does not grow with the number of shares.

    Attributes:
        limit: Limit of the bucket.
        version: Version of the configuration that the limit is from.
        opened_at: Time of the first request.
        at: Time up to which units have flowed in.
        used_at: Time of the latest request that used or needed units.
        announced_at: Time of the latest announcement.
        level: Units in the bucket, those lent included.
        reserved: Units lent.
        entries: Highest number of entries that the shares' entries know.
        shares: Shares by entry, the one that was silent for longest first.
        parked: Lines that wait for other entries to lend their shares, by entry.
    """

    limit: QuotaLimit
    version: int
    opened_at: Seconds
    at: Seconds
    used_at: Seconds
    announced_at: Seconds = float("-inf")
    level: float = 0.0
    reserved: float = 0.0
    entries: int = 1
    shares: dict[str, _Share] = field(default_factory=dict)
    parked: dict[str, QuotaLine] = field(default_factory=dict)

    @property
    def fraction(self) -> float:
        """Fraction of the quota that is lent to this holder."""
        return len(self.shares) / max(self.entries, len(self.shares), 1)

    @property
    def rate(self) -> float:
        """Units per second that flow in."""
        return self.limit.rate * self.fraction

    @property
    def free(self) -> float:
        """Units that are not lent; below 0 after a share has left."""
        return self.level - self.reserved

    @property
    def is_full(self) -> bool:
        """Whether no unit is lent and no more flow in."""
        capacity = self.limit.capacity * self.fraction
        return self.reserved <= _EPSILON and self.level >= capacity - _EPSILON

    def advance(self, now: Seconds) -> None:
        """Lets units flow in and removes the shares of silent entries."""
        while self.shares:
            name, share = next(iter(self.shares.items()))
            lapse = share.heard_at + LEASE
            if lapse > now:
                break
            self._refill(lapse)
            self.remove(name)
        self._refill(now)

    def _refill(self, now: Seconds) -> None:
        fraction = self.fraction
        inflow = self.limit.rate * fraction * max(0.0, now - self.at)
        self.level = min(self.limit.capacity * fraction, self.level + inflow)
        self.at = max(self.at, now)

    def record(self, entry: str, *, entries: int, sent_at: int, now: Seconds) -> _Share:
        """Records a request of an entry that lends a share."""
        share = self.shares.pop(entry, None) or _Share(now, entries, sent_at)
        was_highest = share.entries >= self.entries
        share.heard_at, share.entries, share.sent_at = now, entries, sent_at
        self.shares[entry] = share
        if entries >= self.entries:
            self.entries = entries
        elif was_highest:
            self._count_entries()
        return share

    def _count_entries(self) -> None:
        self.entries = max((item.entries for item in self.shares.values()), default=1)

    def remove(self, entry: str) -> None:
        """Removes an entry's share; its units count as used, as it may use them."""
        share = self.shares.pop(entry, None)
        if share is None:
            return
        self.parked.pop(entry, None)
        if share.entries >= self.entries:
            self._count_entries()
        self.reserved -= share.reserved
        self.level -= share.reserved
        self.level = min(self.level, self.limit.capacity * self.fraction)


class QuotaHolder:
    """Buckets of the accounts that entries have chosen this holder for."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    @property
    def accounts(self) -> tuple[str, ...]:
        """Names of the accounts with an open bucket."""
        return tuple(self._buckets)

    @property
    def has_parked(self) -> bool:
        """Whether a request waits for other entries to lend their shares."""
        return any(bucket.parked for bucket in self._buckets.values())

    def state(self, account: str) -> tuple[float, float, int]:
        """Returns the state of an open account.

        Returns:
            Units in the bucket, units lent, and number of shares.
        """
        bucket = self._buckets[account]
        return bucket.level, bucket.reserved, len(bucket.shares)

    def handle(
        self,
        entry: str,
        lines: Iterable[QuotaLine],
        *,
        sent_at: int,
        entries: int,
        version: int,
        now: Seconds,
    ) -> list[Grant]:
        """Handles a request of an entry.

        Args:
            entry: Name of the entry.
            lines: The request, by account.
            sent_at: Time of the request by the entry's clock, for the answer.
            entries: Number of entries that the entry knows.
            version: Version of the configuration that the limits are from.
            now: Current time.

        Returns:
            Answers to this entry, and to others whose requests waited for its share.
        """
        grants = []
        for line in lines:
            bucket = self._open(line, version, now)
            is_new = entry not in bucket.shares
            share = bucket.record(entry, entries=entries, sent_at=sent_at, now=now)
            if is_new:
                capacity = bucket.limit.capacity * bucket.fraction
                bucket.level = min(capacity, bucket.level + max(0.0, line.credit))
            self._settle(bucket, share, line, now)
            grants += self._serve(bucket, entry, line, now)
            for name, parked in list(bucket.parked.items()):
                if name != entry:
                    grants += self._serve(bucket, name, parked, now)
        return grants

    def leave(self, entry: str, accounts: Iterable[str], now: Seconds) -> None:
        """Removes the shares that an entry no longer lends to this holder."""
        for account in accounts:
            bucket = self._buckets.get(account)
            if bucket is not None:
                bucket.advance(now)
                bucket.remove(entry)

    def disconnect(self, entry: str, now: Seconds) -> None:
        """Removes all shares of an entry whose connection was closed."""
        self.leave(entry, self.accounts, now)

    def poll(self, now: Seconds) -> list[Grant]:
        """Returns the answers to requests that have waited long enough."""
        grants = []
        for account, bucket in list(self._buckets.items()):
            bucket.advance(now)
            if not bucket.shares:
                del self._buckets[account]
                continue
            for name, line in list(bucket.parked.items()):
                grants += self._serve(bucket, name, line, now)
        return grants

    def due_announcements(self, now: Seconds) -> list[tuple[str, frozenset[str]]]:
        """Returns the accounts to announce, with the entries that need none."""
        due = []
        for account, bucket in self._buckets.items():
            if now - bucket.announced_at >= ANNOUNCE_INTERVAL:
                bucket.announced_at = now
                due.append((account, frozenset(bucket.shares)))
        return due

    def close_idle(self, now: Seconds) -> list[tuple[str, frozenset[str]]]:
        """Closes unused accounts; returns them with the entries that lent shares.

        Each entry gets its share back, filled.
        """
        closed = []
        for account, bucket in list(self._buckets.items()):
            if now - bucket.used_at >= CLOSE_DELAY and bucket.is_full:
                closed.append((account, frozenset(bucket.shares)))
                del self._buckets[account]
        return closed

    def _open(self, line: QuotaLine, version: int, now: Seconds) -> _Bucket:
        bucket = self._buckets.get(line.account)
        if bucket is not None:
            bucket.advance(now)
        if bucket is None or not bucket.shares:
            # The previous holder may have spent the burst.
            bucket = _Bucket(line.limit, version, now, now, now)
            self._buckets[line.account] = bucket
        elif version >= bucket.version:
            bucket.limit, bucket.version = line.limit, version
        return bucket

    def _settle(
        self, bucket: _Bucket, share: _Share, line: QuotaLine, now: Seconds
    ) -> None:
        """Books what an entry did with its units."""
        # Units that had expired here were booked as used then.
        used = min(max(0.0, line.used), share.reserved)
        returned = min(max(0.0, line.returned), share.reserved - used)
        share.reserved -= used + returned
        bucket.reserved -= used + returned
        bucket.level -= used
        if line.refunded > 0:
            capacity = bucket.limit.capacity * bucket.fraction
            bucket.level = min(capacity, bucket.level + line.refunded)
        if line.used > 0 or line.needed > 0:
            bucket.used_at = now

    def _serve(
        self,
        bucket: _Bucket,
        entry: str,
        line: QuotaLine,
        now: Seconds,
    ) -> list[Grant]:
        """Lends units; returns no answer if other entries may still lend shares."""
        share = bucket.shares[entry]
        free = max(0.0, bucket.free)
        granted = min(line.needed, free)
        is_short = granted < line.needed - _EPSILON
        is_opening = now - bucket.opened_at < OPENING_TIME - _EPSILON
        if is_short and is_opening and bucket.fraction < 1:
            bucket.parked[entry] = line
            return []
        bucket.parked.pop(entry, None)
        headroom = bucket.limit.headroom * bucket.fraction - bucket.reserved - granted
        # Half of what is left, so that entries that ask later get some too.
        ahead = min(line.wanted, max(0.0, headroom) / 2, (free - granted) / 2)
        lent = granted + max(0.0, ahead)
        share.reserved += lent
        bucket.reserved += lent
        answer = GrantLine(
            line.account, lent, is_short, max(0.0, -bucket.free), bucket.rate
        )
        return [Grant(entry, share.sent_at, answer)]
