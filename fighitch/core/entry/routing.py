"""Choice of the backend server for a request.

The replicas of an adapter are the first usable backend servers in rendezvous order, so
that all entries agree on them and an adapter is loaded no more often than needed. Of
the replicas, those in the own availability zone are asked first.
"""

import math
import random
from collections.abc import Callable, Iterable, Iterator, Sequence, Set
from dataclasses import dataclass
from itertools import islice

from expression import Error, Ok, Result

from fighitch.core.configuration import cached_selector
from fighitch.core.entry.indexes import Indexes, Target
from fighitch.core.entry.membership import ROUTABLE_STATES, Member, Members, MemberState
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.rendezvous import RankedPartitions
from fighitch.core.resources import Resource
from fighitch.types import InstanceName, Labels, Seconds

DEFAULT_MIN_REPLICAS = 1
DEFAULT_MAX_REPLICAS = 4
# Mean utilisation needs every member, so it is recomputed only as often as sidecars
# report.
_MEAN_INTERVAL = 0.5
# Adapters with more than the fewest replicas; the oldest entry is dropped beyond it.
_MAX_REPLICATED = 10_000
# Any server of a service can take any of its requests, so a random sample is enough to
# find a lightly loaded one in a large fleet.
_MAX_SERVICE_CANDIDATES = 64
_SUSPECT_STATES = frozenset({MemberState.SUSPECT})


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen backend server.

    Attributes:
        name: Backend server.
        is_resident: Whether the adapter version is loaded there, as last reported.
        replicas: Number of replicas that were considered.
        has_grown: Whether a replica was added for this request.
        cause: Why it was chosen.
    """

    name: InstanceName
    is_resident: bool
    replicas: int
    has_grown: bool
    cause: str


@dataclass(frozen=True, slots=True)
class _Rules:
    """The placement rules that cover a target, combined."""

    names: tuple[str, ...] = ()
    selectors: tuple[str, ...] = ()
    min_replicas: int = DEFAULT_MIN_REPLICAS
    max_replicas: int = DEFAULT_MAX_REPLICAS

    def allow(self, labels: Labels) -> bool:
        return all(cached_selector(text).matches(labels) for text in self.selectors)


@dataclass(slots=True)
class _Replicas:
    count: int
    changed_at: Seconds
    overloaded_at: Seconds


class Router:
    """Chooses backend servers by placement, rendezvous hashing and load."""

    def __init__(
        self,
        *,
        availability_zone: str,
        region: str,
        members: Members,
        indexes: Indexes,
        settings: EntrySettings,
        rng: random.Random,
    ) -> None:
        """Takes the entry's place and what it knows.

        Args:
            availability_zone: Zone of the entry; its members are preferred.
            region: Region of the entry; others are used when it has no member left.
            members: Sidecars and their load.
            indexes: Configuration.
            settings: Constants.
            rng: Breaks ties between equally loaded servers of a service.
        """
        self._availability_zone = availability_zone
        self._region = region
        self._members = members
        self._indexes = indexes
        self._settings = settings
        self._rng = rng
        self._pools: dict[tuple[str, _Rules, bool], RankedPartitions] = {}
        self._rules_generation = -1
        self._pool_generation = -1
        self._placements: tuple[Resource, ...] = ()
        self._rules: dict[str, _Rules] = {}
        self._replicas: dict[str, _Replicas] = {}
        self._means: dict[tuple[str, int], tuple[Seconds, float]] = {}

    def choose(
        self,
        target: Target,
        *,
        rank: int,
        now: Seconds,
        excluded: Set[InstanceName] = frozenset(),
        is_allowed: Callable[[Member], bool] | None = None,
    ) -> Result[Choice, Failure]:
        """Chooses a backend server.

        Args:
            target: Adapter version or service.
            rank: Rank of the work.
            now: Current time.
            excluded: Backend servers that this request has tried.
            is_allowed: Further condition, such as a live connection.

        Returns:
            The choice, or a failure of kind ``NO_BACKEND_SERVER`` or ``OVERLOADED``
            that says "not run" for this attempt.
        """
        self._drop_stale_caches()
        rules = self._rules_for(target)
        window = self._window(target, rules)
        if not window:
            return Error(_no_backend_server(target, rules))
        open_members = [
            member for member in window if member.refused_until.get(rank, 0.0) <= now
        ]
        if not open_members:
            return Error(_overloaded(window, rank, now))
        usable = [
            member
            for member in open_members
            if member.name not in excluded
            and (is_allowed is None or is_allowed(member))
        ]
        if not usable:
            return Error(_no_backend_server(target, rules))
        if target.adapter_version is None:
            return Ok(self._choose_server(usable, rank))
        return Ok(self._choose_replica(target, rules, usable, rank, now))

    def refused(
        self, member: Member, *, rank: int, now: Seconds, retry_after: Seconds
    ) -> None:
        """Remembers that a sidecar asked not to be sent work of a rank for a while."""
        member.refused_until[rank] = now + retry_after

    def replicas(self, target: Target) -> int:
        """Returns the number of replicas that the target has now."""
        known = self._replicas.get(target.key)
        return known.count if known else self._rules_for(target).min_replicas

    def _choose_server(self, usable: Sequence[Member], rank: int) -> Choice:
        bound = self._bound(usable, rank)
        near = [
            member
            for member in usable
            if member.availability_zone == self._availability_zone
            and member.utilisation(rank) <= bound
        ]
        chosen = min(
            near or usable,
            key=lambda item: (
                item.is_listed_leaving,
                item.utilisation(rank),
                self._rng.random(),
            ),
        )
        cause = "own zone" if near else "least loaded"
        return Choice(chosen.name, False, len(usable), False, cause)

    def _choose_replica(
        self,
        target: Target,
        rules: _Rules,
        usable: Sequence[Member],
        rank: int,
        now: Seconds,
    ) -> Choice:
        count, has_grown = self._resize(target, rules, usable, rank, now)
        replicas = sorted(
            usable[:count],
            key=lambda item: (
                item.is_listed_leaving,
                item.availability_zone != self._availability_zone,
            ),
        )
        bound = self._bound(replicas, rank)
        within = [item for item in replicas if item.utilisation(rank) <= bound]
        name = str(target.adapter_version)
        resident = next((item for item in within if item.is_resident(name)), None)
        if resident is not None:
            return Choice(resident.name, True, count, has_grown, "resident")
        if within:
            return Choice(within[0].name, False, count, has_grown, "first within bound")
        chosen = min(replicas, key=lambda item: item.utilisation(rank))
        is_resident = chosen.is_resident(name)
        return Choice(chosen.name, is_resident, count, has_grown, "least loaded")

    def _bound(self, candidates: Sequence[Member], rank: int) -> float:
        mean = sum(item.utilisation(rank) for item in candidates) / len(candidates)
        return max(self._settings.load_bound * mean, self._settings.free_utilisation)

    def _resize(
        self,
        target: Target,
        rules: _Rules,
        usable: Sequence[Member],
        rank: int,
        now: Seconds,
    ) -> tuple[int, bool]:
        """Returns the number of replicas and whether one was added."""
        known = self._replicas.get(target.key)
        count = max(known.count if known else 0, rules.min_replicas)
        lowest = min(item.utilisation(rank) for item in usable[:count])
        limit = self._settings.load_bound * self._mean_utilisation(target, rank, now)
        is_overloaded = lowest > max(limit, self._settings.busy_utilisation)
        if is_overloaded:
            return self._grow(target, rules, known, count, now)
        if known is None:
            return count, False
        half_life = self._settings.replica_half_life
        if now - max(known.changed_at, known.overloaded_at) >= half_life:
            known.count = max(rules.min_replicas, known.count - 1)
            known.changed_at = now
            if known.count == rules.min_replicas:
                del self._replicas[target.key]
        return max(known.count, rules.min_replicas), False

    def _grow(
        self,
        target: Target,
        rules: _Rules,
        known: _Replicas | None,
        count: int,
        now: Seconds,
    ) -> tuple[int, bool]:
        if known is None:
            if len(self._replicas) >= _MAX_REPLICATED:
                del self._replicas[next(iter(self._replicas))]
            known = _Replicas(count, -math.inf, now)
            self._replicas[target.key] = known
        known.overloaded_at = now
        is_settled = now - known.changed_at >= self._settings.replica_step
        if not is_settled or count >= rules.max_replicas:
            return count, False
        known.count = count + 1
        known.changed_at = now
        return known.count, True

    def _mean_utilisation(self, target: Target, rank: int, now: Seconds) -> float:
        computed_at, mean = self._means.get((target.model, rank), (-math.inf, 0.0))
        if now - computed_at < _MEAN_INTERVAL:
            return mean
        utilisations = [
            member.utilisation(rank)
            for member in self._members
            if member.state is MemberState.ALIVE
            and member.server.spec.model == target.model
        ]
        mean = sum(utilisations) / len(utilisations) if utilisations else 0.0
        self._means[target.model, rank] = (now, mean)
        return mean

    def _window(self, target: Target, rules: _Rules) -> list[Member]:
        """Returns the usable members that may serve the target, in rendezvous order.

        For an adapter they are limited to the most replicas allowed, so that refusals
        do not spread its loads over the whole fleet. A suspect member may still answer;
        a dead or leaving one may not.
        """
        size = None if target.adapter_version is None else rules.max_replicas
        for states in (ROUTABLE_STATES, _SUSPECT_STATES):
            for in_region in (True, False):
                names = self._names(target, rules, in_region=in_region)
                found = list(islice(self._in_states(names, states), size))
                if found:
                    return found
        return []

    def _in_states(
        self, names: Iterable[InstanceName], states: Set[MemberState]
    ) -> Iterator[Member]:
        for name in names:
            member = self._members.get(name)
            if member is not None and member.state in states:
                yield member

    def _names(
        self, target: Target, rules: _Rules, *, in_region: bool
    ) -> Sequence[InstanceName]:
        pool = self._pool(target, rules, in_region=in_region)
        if target.adapter_version is not None:
            return pool.ranked(target.key)
        if len(pool) <= _MAX_SERVICE_CANDIDATES:
            return pool.names
        return self._rng.sample(pool.names, _MAX_SERVICE_CANDIDATES)

    def _pool(
        self, target: Target, rules: _Rules, *, in_region: bool
    ) -> RankedPartitions:
        key = (target.model or f"service/{target.service}", rules, in_region)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = RankedPartitions({})
            self._fill(pool, key)
        return pool

    def _fill(self, pool: RankedPartitions, key: tuple[str, _Rules, bool]) -> None:
        wanted, rules, in_region = key
        pool.update(
            {
                server.name: float(max(1, server.spec.batch_size))
                for server in self._indexes.servers
                if (server.spec.model or f"service/{server.spec.service}") == wanted
                and (not in_region or self._is_in_region(server))
                and rules.allow(server.labels)
            }
        )

    def _is_in_region(self, server: Resource) -> bool:
        return not self._region or server.spec.region in ("", self._region)

    def _rules_for(self, target: Target) -> _Rules:
        name = target.adapter_version.adapter if target.adapter_version else ""
        cache_key = f"{name}/{target.service}"
        rules = self._rules.get(cache_key)
        if rules is None:
            rules = self._rules[cache_key] = self._combine_rules(target)
        return rules

    def _combine_rules(self, target: Target) -> _Rules:
        covering = [
            placement
            for placement in self._indexes.placements
            if any(
                cached_selector(placement.spec.target_selector).matches(labels)
                for labels in target.labels
            )
        ]
        if not covering:
            return _Rules()
        fewest = max(1, *(item.spec.min_replicas for item in covering))
        most = min(item.spec.max_replicas for item in covering)
        return _Rules(
            names=tuple(item.name for item in covering),
            selectors=tuple(item.spec.backend_server_selector for item in covering),
            min_replicas=fewest,
            max_replicas=max(fewest, most),
        )

    def _drop_stale_caches(self) -> None:
        if self._rules_generation == self._indexes.generation:
            return
        self._rules_generation = self._indexes.generation
        self._rules.clear()
        if self._pool_generation == self._indexes.server_generation:
            return
        self._pool_generation = self._indexes.server_generation
        if self._placements != self._indexes.placements:
            self._placements = self._indexes.placements
            self._pools.clear()
        for key, pool in self._pools.items():
            self._fill(pool, key)


def _no_backend_server(target: Target, rules: _Rules) -> Failure:
    return Failure(
        ErrorKind.NO_BACKEND_SERVER,
        f"no reachable backend server for {target.key!r}; placement rules: "
        f"{list(rules.names)}; see 'status' for the backend servers' states",
        RunState.NOT_RUN,
    )


def _overloaded(window: Sequence[Member], rank: int, now: Seconds) -> Failure:
    earliest = min(member.refused_until[rank] for member in window)
    return Failure(
        ErrorKind.OVERLOADED,
        f"all {len(window)} candidates refuse rank {rank} for now; "
        "repeat after the time in Retry-After",
        RunState.NOT_RUN,
        retry_after=max(0.0, earliest - now),
    )
