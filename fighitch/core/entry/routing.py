"""Selects the backend server of a request.

The replicas of an adapter are the first usable backend servers in rendezvous order, so
that all entries choose the same ones and an adapter is loaded on no more servers than
needed. Replicas in the availability zone of the entry are preferred.
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
# Time for which a mean utilisation is cached, because computing it visits every member.
# It equals the interval between load reports.
_MEAN_UTILISATION_MAX_AGE_SECONDS = 0.5
# Maximum number of adapters with additional replicas; the oldest is evicted beyond it.
_MAX_REPLICA_STATES = 10_000
# Every server of a service can handle all its requests, so a random sample is enough to
# find a lightly loaded one in a large fleet.
_MAX_SERVICE_CANDIDATES = 64
_SUSPECT_STATES = frozenset({MemberState.SUSPECT, MemberState.IMPAIRED})


@dataclass(frozen=True, slots=True)
class Choice:
    """Result of a routing decision.

    Attributes:
        name: Selected backend server.
        is_resident: Whether the adapter version was loaded there at the last report.
        replicas: Number of replicas that were considered.
        added_replica: Whether a replica was added for this request.
        cause: Reason for the selection.
    """

    name: InstanceName
    is_resident: bool
    replicas: int
    added_replica: bool
    cause: str


@dataclass(frozen=True, slots=True)
class _PlacementRules:
    """Combination of the placement rules that apply to a target."""

    names: tuple[str, ...] = ()
    selectors: tuple[str, ...] = ()
    min_replicas: int = DEFAULT_MIN_REPLICAS
    max_replicas: int = DEFAULT_MAX_REPLICAS

    def allow(self, labels: Labels) -> bool:
        return all(cached_selector(text).matches(labels) for text in self.selectors)


@dataclass(slots=True)
class _ReplicaState:
    """State of an adapter that has had more replicas than the minimum.

    Attributes:
        count: Current number of replicas.
        changed_at: Time of the last change of the number; minus infinity before.
        overloaded_at: Time at which all replicas were last above the load limit.
    """

    count: int
    changed_at: Seconds
    overloaded_at: Seconds


class Router:
    """Selects backend servers by placement rules, rendezvous hashing and load."""

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
        """Creates a router.

        Args:
            availability_zone: Zone of the entry; its members are preferred.
            region: Region of the entry; other regions are used only if it has no usable
                member.
            members: Sidecars and their load.
            indexes: Lookup tables of the configuration.
            settings: Timeouts and limits.
            rng: Random number generator that samples the servers of a service and
                breaks ties between equally loaded ones.
        """
        self._availability_zone = availability_zone
        self._region = region
        self._members = members
        self._indexes = indexes
        self._settings = settings
        self._rng = rng
        self._pools: dict[tuple[str, _PlacementRules, bool], RankedPartitions] = {}
        self._pool_generation = -1
        self._rules_generation = -1
        self._placements: tuple[Resource, ...] = ()
        self._rules: dict[str, _PlacementRules] = {}
        self._replicas: dict[str, _ReplicaState] = {}
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
        """Selects a backend server.

        Args:
            target: Adapter version or service.
            rank: Rank of the request.
            now: Current time.
            excluded: Backend servers on which the request failed already.
            is_allowed: Additional condition, such as an open connection.

        Returns:
            The choice, or a failure of kind ``NO_BACKEND_SERVER`` or ``OVERLOADED``
            with run state ``NOT_RUN``.
        """
        self._drop_stale_caches()
        rules = self._rules_for(target)
        candidates = self._candidates(target, rules)
        if not candidates:
            return Error(_no_backend_server_failure(target, rules))
        accepting = [
            member
            for member in candidates
            if member.refused_until.get(rank, 0.0) <= now
        ]
        if not accepting:
            return Error(_overloaded_failure(candidates, rank, now))
        usable = [
            member
            for member in accepting
            if member.name not in excluded
            and (is_allowed is None or is_allowed(member))
        ]
        if not usable:
            return Error(_no_backend_server_failure(target, rules))
        if target.adapter_version is None:
            return Ok(self._choose_service_server(usable, rank))
        return Ok(self._choose_replica(target, rules, usable, rank, now))

    def record_rejection(
        self, member: Member, *, rank: int, now: Seconds, retry_after: Seconds
    ) -> None:
        """Records that a sidecar rejects requests of a rank until ``retry_after``."""
        member.refused_until[rank] = now + retry_after

    def replicas(self, target: Target) -> int:
        """Returns the current number of replicas of the target."""
        state = self._replicas.get(target.key)
        return state.count if state else self._rules_for(target).min_replicas

    def _choose_service_server(self, usable: Sequence[Member], rank: int) -> Choice:
        load_limit = self._load_limit(usable, rank)
        local = [
            member
            for member in usable
            if member.availability_zone == self._availability_zone
            and member.utilisation(rank) <= load_limit
        ]
        chosen = min(
            local or usable,
            key=lambda item: (
                item.is_listed_leaving,
                item.utilisation(rank),
                self._rng.random(),
            ),
        )
        cause = "own zone" if local else "least loaded"
        return Choice(chosen.name, False, len(usable), False, cause)

    def _choose_replica(
        self,
        target: Target,
        rules: _PlacementRules,
        usable: Sequence[Member],
        rank: int,
        now: Seconds,
    ) -> Choice:
        count, added_replica = self._adjust_replicas(target, rules, usable, rank, now)
        replicas = sorted(
            usable[:count],
            key=lambda item: (
                item.is_listed_leaving,
                item.availability_zone != self._availability_zone,
            ),
        )
        load_limit = self._load_limit(replicas, rank)
        within_limit = [
            item for item in replicas if item.utilisation(rank) <= load_limit
        ]
        name = str(target.adapter_version)
        resident = next((item for item in within_limit if item.is_resident(name)), None)
        if resident is not None:
            return Choice(resident.name, True, count, added_replica, "resident")
        if within_limit:
            return Choice(
                within_limit[0].name, False, count, added_replica, "first within bound"
            )
        chosen = min(replicas, key=lambda item: item.utilisation(rank))
        is_resident = chosen.is_resident(name)
        return Choice(chosen.name, is_resident, count, added_replica, "least loaded")

    def _load_limit(self, candidates: Sequence[Member], rank: int) -> float:
        mean = sum(item.utilisation(rank) for item in candidates) / len(candidates)
        return max(self._settings.load_bound * mean, self._settings.free_utilisation)

    def _adjust_replicas(
        self,
        target: Target,
        rules: _PlacementRules,
        usable: Sequence[Member],
        rank: int,
        now: Seconds,
    ) -> tuple[int, bool]:
        """Returns the number of replicas and whether one was added."""
        state = self._replicas.get(target.key)
        count = max(state.count if state else 0, rules.min_replicas)
        lowest = min(item.utilisation(rank) for item in usable[:count])
        limit = self._settings.load_bound * self._mean_utilisation(target, rank, now)
        is_overloaded = lowest > max(limit, self._settings.busy_utilisation)
        if is_overloaded:
            return self._add_replica(target, rules, state, count, now)
        if state is None:
            return count, False
        removal_delay = self._settings.replica_removal_delay
        if now - max(state.changed_at, state.overloaded_at) >= removal_delay:
            state.count = max(rules.min_replicas, state.count - 1)
            state.changed_at = now
            if state.count == rules.min_replicas:
                del self._replicas[target.key]
        return max(state.count, rules.min_replicas), False

    def _add_replica(
        self,
        target: Target,
        rules: _PlacementRules,
        state: _ReplicaState | None,
        count: int,
        now: Seconds,
    ) -> tuple[int, bool]:
        if state is None:
            if len(self._replicas) >= _MAX_REPLICA_STATES:
                del self._replicas[next(iter(self._replicas))]
            state = _ReplicaState(count, -math.inf, now)
            self._replicas[target.key] = state
        state.overloaded_at = now
        is_settled = now - state.changed_at >= self._settings.replica_add_interval
        if not is_settled or count >= rules.max_replicas:
            return count, False
        state.count = count + 1
        state.changed_at = now
        return state.count, True

    def _mean_utilisation(self, target: Target, rank: int, now: Seconds) -> float:
        computed_at, mean = self._means.get((target.model, rank), (-math.inf, 0.0))
        if now - computed_at < _MEAN_UTILISATION_MAX_AGE_SECONDS:
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

    def _candidates(self, target: Target, rules: _PlacementRules) -> list[Member]:
        """Returns the members that may serve the target, in rendezvous order.

        For an adapter, they are limited to the maximum number of replicas, so that
        rejections do not cause it to be loaded on the whole fleet. Suspect and impaired
        members are used if there is no better one, because they may still respond; dead
        and leaving ones are not.
        """
        size = None if target.adapter_version is None else rules.max_replicas
        for states in (ROUTABLE_STATES, _SUSPECT_STATES):
            for in_region in (True, False):
                names = self._ranked_names(target, rules, in_region=in_region)
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

    def _ranked_names(
        self, target: Target, rules: _PlacementRules, *, in_region: bool
    ) -> Sequence[InstanceName]:
        pool = self._pool(target, rules, in_region=in_region)
        if target.adapter_version is not None:
            return pool.rank_nodes(target.key)
        if len(pool) <= _MAX_SERVICE_CANDIDATES:
            return pool.names
        return self._rng.sample(pool.names, _MAX_SERVICE_CANDIDATES)

    def _pool(
        self, target: Target, rules: _PlacementRules, *, in_region: bool
    ) -> RankedPartitions:
        key = (target.model or f"service/{target.service}", rules, in_region)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = RankedPartitions({})
            self._update_pool(pool, key)
        return pool

    def _update_pool(
        self, pool: RankedPartitions, key: tuple[str, _PlacementRules, bool]
    ) -> None:
        served, rules, in_region = key
        pool.update(
            {
                server.name: float(max(1, server.spec.batch_size))
                for server in self._indexes.servers
                if (server.spec.model or f"service/{server.spec.service}") == served
                and (not in_region or self._is_in_region(server))
                and rules.allow(server.labels)
            }
        )

    def _is_in_region(self, server: Resource) -> bool:
        return not self._region or server.spec.region in ("", self._region)

    def _rules_for(self, target: Target) -> _PlacementRules:
        name = target.adapter_version.adapter if target.adapter_version else ""
        cache_key = f"{name}/{target.service}"
        rules = self._rules.get(cache_key)
        if rules is None:
            rules = self._rules[cache_key] = self._combine_rules(target)
        return rules

    def _combine_rules(self, target: Target) -> _PlacementRules:
        covering = [
            placement
            for placement in self._indexes.placements
            if any(
                cached_selector(placement.spec.target_selector).matches(labels)
                for labels in target.labels
            )
        ]
        if not covering:
            return _PlacementRules()
        min_replicas = max(1, *(item.spec.min_replicas for item in covering))
        max_replicas = min(item.spec.max_replicas for item in covering)
        return _PlacementRules(
            names=tuple(item.name for item in covering),
            selectors=tuple(item.spec.backend_server_selector for item in covering),
            min_replicas=min_replicas,
            max_replicas=max(min_replicas, max_replicas),
        )

    def _drop_stale_caches(self) -> None:
        """Brings the cached rules and pools up to date with the configuration.

        A change of backend servers updates the pools in place, so that their cached
        rankings are kept. A change of placement rules drops them, because the rules are
        part of their keys.
        """
        if self._rules_generation != self._indexes.generation:
            self._rules_generation = self._indexes.generation
            self._rules.clear()
        if self._pool_generation == self._indexes.placement_generation:
            return
        self._pool_generation = self._indexes.placement_generation
        if self._placements != self._indexes.placements:
            self._placements = self._indexes.placements
            self._pools.clear()
        for key, pool in self._pools.items():
            self._update_pool(pool, key)


def _no_backend_server_failure(target: Target, rules: _PlacementRules) -> Failure:
    return Failure(
        ErrorKind.NO_BACKEND_SERVER,
        f"no reachable backend server for {target.key!r}; placement rules: "
        f"{list(rules.names)}; see 'status' for the backend servers' states",
        RunState.NOT_RUN,
    )


def _overloaded_failure(
    candidates: Sequence[Member], rank: int, now: Seconds
) -> Failure:
    earliest = min(member.refused_until[rank] for member in candidates)
    return Failure(
        ErrorKind.OVERLOADED,
        f"all {len(candidates)} candidates reject rank {rank} for now; "
        "repeat after the time in Retry-After",
        RunState.NOT_RUN,
        retry_after=max(0.0, earliest - now),
    )
