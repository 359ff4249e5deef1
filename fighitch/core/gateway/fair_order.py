"""Orders the waiting requests of one engine by fair shares of client accounts.

Load pattern: one account sends several times its usual load while the others send
theirs. In order of target times, the requests of all accounts would wait behind the
backlog of this one. Start-time fair queueing gives each account a virtual time that
advances by the cost of its admitted requests divided by the account's weight, and the
account with the lowest one goes next. An account that was idle starts at the virtual
time of the engine, so that its first request does not wait behind a backlog, and the
share of an idle account is lent.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heapreplace
from typing import Any

from fighitch.types import Seconds

# An account that is ahead by less than this much engine time is level with the others,
# and requests of level accounts are served in the order of target times. Exact order by
# virtual time ignores the targets: in the replay of test_account_floods without a
# flood, it made 7% of the requests late instead of 5%.
_TOLERANCE: Seconds = 0.15
# An account that is further behind than this is treated as if it were this far behind.
# Otherwise, an account that waited for an adapter load or behind urgent ranks could
# claim the engine for as long as it waited. Like the other limits, it is a time of the
# engine, so that it does not depend on the weight of the account.
_MAX_LAG: Seconds = 1.0
# A late request goes before requests that are on time once its account is this far
# behind: it is not served before those of accounts that are level with its own.
_LATE_REQUEST_LAG: Seconds = 0.5
# A late request goes before its account's own requests that are on time once they have
# cost this many times as much as the request. Long prompts become late first, and a
# stream of short ones would keep them waiting until their deadlines.
_ON_TIME_COST_PER_LATE_COST = 4.0
# Idle accounts that are remembered because they are ahead of the virtual time.
_MAX_IDLE_ACCOUNTS = 256


# Waiting request, as far as its order is concerned: whether it can no longer meet its
# latency target, priority rank, target time, account, and the time for which it
# occupies the engine. A plain tuple is created and compared faster than a class, and a
# queue orders some hundred for each decision.
Work = tuple[bool, int, Seconds, str, Seconds]

# Rank, target time, cost and index of a request among those of one account.
_Item = tuple[int, Seconds, Seconds, int]

# Rank and level of an account's next request; its position among equals, which is its
# rank, target time, account, cost and index; its index, its virtual start time and the
# sequence that it begins. The positions of two turns are never equal.
_Turn = tuple[int, int, int, Seconds, str, Seconds, int, int, Seconds, Any]


@dataclass(slots=True)
class AccountLoad:
    """Waiting requests of one account, or of several.

    Attributes:
        requests: Number of requests; a part of a request is possible in estimates.
        prompt_tokens: Tokens of their prompts.
        cost: Time for which they occupy the engine.
    """

    requests: float = 0
    prompt_tokens: float = 0
    cost: Seconds = 0.0

    def add(self, prompt_tokens: int, cost: Seconds) -> None:
        """Adds a request."""
        self.requests += 1
        self.prompt_tokens += prompt_tokens
        self.cost += cost

    def add_share(self, load: "AccountLoad", share: float) -> None:
        """Adds a share, from 0 to 1, of the requests of another load."""
        self.requests += share * load.requests
        self.prompt_tokens += share * load.prompt_tokens
        self.cost += share * load.cost


@dataclass(frozen=True, slots=True)
class LevelScale:
    """Steps into which virtual start times are divided.

    Accounts of the same level are served in the order of target times. An account is at
    level 0 until it is ahead by the tolerance, in engine time that it has used. From
    there on, levels have the same length in virtual time for all accounts, so that each
    gets engine time in proportion to its weight; an account of the mean weight uses one
    tolerance of engine time in each.

    Attributes:
        virtual_time: Virtual time of the engine.
        mean_weight: Mean weight of the accounts with waiting requests.
    """

    virtual_time: Seconds
    mean_weight: float

    def offset(self, weight: float) -> float:
        """Returns how much less than one level the tolerance of an account covers."""
        return 1.0 - self.mean_weight / weight

    def level(self, start: Seconds, weight: float) -> int:
        """Returns the level of a virtual start time of an account; 0 is the lowest."""
        levels = (start - self.virtual_time) * self.mean_weight / _TOLERANCE
        return max(0, int(levels + self.offset(weight)))

    def late_lag(self, weight: float) -> Seconds:
        """Returns by how much an account is behind when its late requests may go first.

        An account below the mean weight takes longer to be behind by the same engine
        time. Its late requests wait for as long as those of one of the mean weight:
        otherwise, its long prompts would wait until their deadlines.
        """
        return _LATE_REQUEST_LAG / max(weight, self.mean_weight)

    def begin(self, level: int, weight: float) -> Seconds:
        """Returns by how much engine time an account is ahead where a level begins."""
        width = _TOLERANCE * weight / self.mean_weight
        return (level - self.offset(weight)) * width


@dataclass(slots=True)
class _Sequence:
    """Waiting requests of one account, on time or late, in their order.

    Attributes:
        account: The account.
        weight: Its weight.
        start: Virtual start time of its next request.
        items: Heap of the requests that have no turn yet.
    """

    account: str
    weight: float
    start: Seconds
    items: list[_Item]

    def push(
        self, turns: list[_Turn], scale: LevelScale, *, before: _Item | None = None
    ) -> None:
        """Appends the turn of the first request, if there is one.

        Args:
            turns: Turns of other accounts.
            scale: Scale of the levels.
            before: Request whose position the first one takes.
        """
        if self.items:
            turns.append(self._next_turn(scale, before))

    def advance(self, turns: list[_Turn], scale: LevelScale) -> None:
        """Replaces the first of the turns, which is its own, by the next one."""
        if self.items:
            heapreplace(turns, self._next_turn(scale))
        else:
            heappop(turns)

    def _next_turn(self, scale: LevelScale, before: _Item | None = None) -> _Turn:
        item = heappop(self.items)
        rank, _, cost, index = item
        start = self.start
        self.start = start + cost / self.weight
        level = scale.level(start, self.weight)
        position_rank, target_time, position_cost, position = before or item
        if before is not None:
            position -= 1
        return (
            rank,
            level,
            position_rank,
            target_time,
            self.account,
            position_cost,
            position,
            index,
            start,
            self,
        )


@dataclass(slots=True)
class _AccountState:
    """Service of one account.

    Attributes:
        weight: Its share of the engine relative to those of other accounts.
        virtual_time: Virtual start time of its next request.
        waiting: Number of its waiting requests.
        on_time_cost: Cost of its requests that were admitted on time since its latest
            late one.
    """

    weight: float
    virtual_time: Seconds
    waiting: int = 0
    on_time_cost: Seconds = 0.0


@dataclass(slots=True)
class FairOrder:
    """Virtual times of the accounts whose requests one engine serves."""

    _virtual_time: Seconds = 0.0
    _accounts: dict[str, _AccountState] = field(default_factory=dict)
    _waiting_accounts: set[str] = field(default_factory=set)

    def __len__(self) -> int:
        return len(self._accounts)

    @property
    def waiting(self) -> dict[str, int]:
        """Number of waiting requests by account, of those that have any."""
        return {name: self._accounts[name].waiting for name in self._waiting_accounts}

    @property
    def has_named_accounts(self) -> bool:
        """Whether requests of a named account wait."""
        return len(self._waiting_accounts) > ("" in self._waiting_accounts)

    def add(self, account: str, weight: float = 1.0) -> None:
        """Records that a request of an account waits.

        Args:
            account: Account of the request.
            weight: Weight of the account.
        """
        state = self._accounts.get(account)
        if state is None:
            state = self._accounts[account] = _AccountState(weight, self._virtual_time)
        elif state.weight != weight:
            # What it is ahead or behind remains the same time of the engine.
            lead = (state.virtual_time - self._virtual_time) * state.weight
            state.virtual_time = self._virtual_time + lead / weight
            state.weight = weight
        if not state.waiting:
            state.virtual_time = max(state.virtual_time, self._virtual_time)
            self._waiting_accounts.add(account)
        state.waiting += 1

    def remove(self, account: str) -> None:
        """Records that a request of an account no longer waits."""
        state = self._accounts[account]
        state.waiting -= 1
        if state.waiting:
            return
        self._waiting_accounts.discard(account)
        if state.virtual_time <= self._virtual_time:
            del self._accounts[account]
        elif len(self._accounts) > len(self._waiting_accounts) + _MAX_IDLE_ACCOUNTS:
            self._forget_idle_accounts()

    def charge(self, account: str, cost: Seconds, *, late: bool) -> None:
        """Advances the virtual time of an account by the cost of an admitted request.

        Args:
            account: Account of the request, which still counts as waiting.
            cost: Time for which the request occupies the engine.
            late: Whether it can no longer meet its latency target.
        """
        state = self._accounts[account]
        start = self.virtual_start(account)
        state.virtual_time = start + cost / state.weight
        state.on_time_cost = 0.0 if late else state.on_time_cost + cost
        # Waiting accounts share the engine, so that each is entitled to its part of the
        # time. The second term lends time that the accounts behind can't use.
        entitled = self._virtual_time + cost / self._waiting_weight
        self._virtual_time = max(entitled, start - _TOLERANCE / state.weight)

    def virtual_start(self, account: str | None) -> Seconds:
        """Returns the virtual start time of the next request of an account.

        Args:
            account: The account; None for one without waiting requests.
        """
        state = None if account is None else self._accounts.get(account)
        if state is None:
            return self._virtual_time
        if not state.waiting:
            return max(state.virtual_time, self._virtual_time)
        return max(state.virtual_time, self._virtual_time - _MAX_LAG / state.weight)

    @property
    def level_scale(self) -> "LevelScale":
        """Steps into which the present virtual times are divided."""
        count = len(self._waiting_accounts)
        mean_weight = self._waiting_weight / count if count else 1.0
        return LevelScale(self._virtual_time, mean_weight)

    @property
    def _waiting_weight(self) -> float:
        """Sum of the weights of accounts with waiting requests."""
        return sum(self._accounts[name].weight for name in self._waiting_accounts)

    def weight(self, account: str) -> float:
        """Returns the weight of an account; that of the mean if it is not known."""
        state = self._accounts.get(account)
        return 1.0 if state is None else state.weight

    def arrange(self, work: Iterable[Work]) -> Iterator[int]:
        """Yields the order of admission of waiting requests, as indices.

        Requests that are on time go first, then those of the most urgent rank, then
        those whose account is least ahead of its share, then those with the earliest
        target time. A late request goes before others of its rank that are on time as
        soon as the requests ahead leave its account too far behind.

        The order is that of the virtual times at the first step. Only as much of it is
        computed as the caller takes, which is the head of the queue for an admission.

        Args:
            work: Waiting requests; those that compare equal keep their order.
        """
        scale = self.level_scale
        on_time, late = self._sequences(work, scale)
        virtual_time = scale.virtual_time
        while on_time:
            rank, *_, index, start, sequence = on_time[0]
            while late:
                late_rank, *_, late_index, late_start, late_sequence = late[0]
                lag = virtual_time - late_start
                if late_rank > rank or lag < scale.late_lag(late_sequence.weight):
                    break
                yield late_index
                late_sequence.advance(late, scale)
            yield index
            tolerance = _TOLERANCE / sequence.weight
            virtual_time = max(virtual_time, start - tolerance)
            sequence.advance(on_time, scale)
        while late:
            *_, index, _, sequence = late[0]
            yield index
            sequence.advance(late, scale)

    def _sequences(
        self, work: Iterable[Work], scale: LevelScale
    ) -> tuple[list[_Turn], list[_Turn]]:
        """Returns heaps with the first turns of all accounts, on time and late."""
        on_time: dict[str, list[_Item]] = {}
        late: dict[str, list[_Item]] = {}
        for index, (is_late, rank, target_time, account, cost) in enumerate(work):
            items_by_account = late if is_late else on_time
            items = items_by_account.get(account)
            if items is None:
                items = items_by_account[account] = []
            items.append((rank, target_time, cost, index))
        on_time_turns: list[_Turn] = []
        late_turns: list[_Turn] = []
        for account in {**on_time, **late}:
            weight, start = self.weight(account), self.virtual_start(account)
            items = on_time.get(account, [])
            if account in late:
                items.sort()
                late_items = sorted(late[account])
                late_start = start
                for _, _, cost, _ in items:
                    late_start += cost / weight
                if items and self._is_overtaken(account, late_items[0][2]):
                    # It takes the place of its account's first request.
                    sequence = _Sequence(account, weight, start, late_items[:1])
                    sequence.push(on_time_turns, scale, before=items[0])
                    late_start += late_items[0][2] / weight
                    del late_items[0]
                late_sequence = _Sequence(account, weight, late_start, late_items)
                late_sequence.push(late_turns, scale)
            else:
                heapify(items)
            _Sequence(account, weight, start, items).push(on_time_turns, scale)
        heapify(on_time_turns)
        heapify(late_turns)
        return on_time_turns, late_turns

    def share_ahead(
        self,
        level: int,
        account: str,
        load: AccountLoad,
        *,
        scale: LevelScale,
        earlier: Seconds,
        before: Seconds = 0.0,
    ) -> float:
        """Returns which share of an account's requests precedes one of another account.

        Args:
            level: Level of the request of the other account.
            account: Account of the load.
            load: Waiting requests of this account.
            scale: Scale of the level.
            earlier: Cost of those with an earlier target time than the other request.
            before: Cost of requests that this account has ahead of the load.
        """
        if not load.cost:
            return 1.0
        # Position in the account's sequence at which this level and the next one begin.
        weight = self.weight(account)
        lead = (self.virtual_start(account) - self._virtual_time) * weight + before
        begin = scale.begin(level, weight) - lead if level else 0.0
        end = scale.begin(level + 1, weight) - lead
        ahead = max(begin, min(end, earlier))
        return min(1.0, max(0.0, ahead / load.cost))

    def _is_overtaken(self, account: str, cost: Seconds) -> bool:
        """Returns whether an account's late request goes before those on time."""
        state = self._accounts.get(account)
        return (
            state is not None
            and state.on_time_cost >= _ON_TIME_COST_PER_LATE_COST * cost
        )

    def _forget_idle_accounts(self) -> None:
        """Forgets half of the idle accounts, starting with those least ahead."""
        idle = [name for name, state in self._accounts.items() if not state.waiting]
        idle.sort(key=lambda name: self._accounts[name].virtual_time)
        for position, name in enumerate(idle):
            is_ahead = self._accounts[name].virtual_time > self._virtual_time
            if not is_ahead or position < len(idle) - _MAX_IDLE_ACCOUNTS // 2:
                del self._accounts[name]


class LoadAhead:
    """Estimates the requests that precede a new one, in one pass over the queue.

    The order itself takes two sorts, which is too much for each request for admission.
    """

    def __init__(self, new: Work, weight: float = 1.0) -> None:
        """Initializes the estimate.

        Args:
            new: The new request.
            weight: Weight of its account.
        """
        self._late, self._rank, self._target_time, self._account, _ = new
        self._weight = weight
        self._ahead = AccountLoad()
        self._own_cost: Seconds = 0.0
        # Requests of other accounts ahead in any case, and those that share the engine
        # with the new request.
        self._before: dict[str, Seconds] = {}
        self._sharing: dict[str, AccountLoad] = {}
        self._earlier: dict[str, Seconds] = {}

    def add(self, work: Work, prompt_tokens: int) -> None:
        """Adds a waiting request.

        Args:
            work: The request.
            prompt_tokens: Tokens of its prompt.
        """
        late, rank, target_time, account, cost = work
        if late > self._late or (late == self._late and rank > self._rank):
            return
        if account == self._account:
            is_ahead = (late, rank, target_time) <= (
                self._late,
                self._rank,
                self._target_time,
            )
            if is_ahead:
                self._own_cost += cost
                self._ahead.add(prompt_tokens, cost)
        elif rank < self._rank:
            self._before[account] = self._before.get(account, 0.0) + cost
            self._ahead.add(prompt_tokens, cost)
        else:
            load = self._sharing.get(account)
            if load is None:
                load = self._sharing[account] = AccountLoad()
                self._earlier[account] = 0.0
            load.add(prompt_tokens, cost)
            if late < self._late or target_time <= self._target_time:
                self._earlier[account] += cost

    def total(self, order: FairOrder) -> AccountLoad:
        """Returns the requests ahead under the present virtual times."""
        scale = order.level_scale
        start = order.virtual_start(self._account) + self._own_cost / self._weight
        weight = self._weight
        if self._late:
            # It waits for the virtual time of the engine, whatever its own tolerance.
            start += scale.late_lag(weight)
            weight = scale.mean_weight
        level = scale.level(start, weight)
        for account, load in self._sharing.items():
            share = order.share_ahead(
                level,
                account,
                load,
                scale=scale,
                earlier=self._earlier[account],
                before=self._before.get(account, 0.0),
            )
            self._ahead.add_share(load, share)
        return self._ahead
