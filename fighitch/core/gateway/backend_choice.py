"""Selects the backend server for a request.

Load pattern: prompts for a few popular adapters, a long tail of rare ones, and bursts.
Requests for an adapter go to the engines that have it loaded until their backlog costs
more than a load on another engine. Rendezvous hashing assigns each rare adapter a home
engine, where the adapter was loaded recently and reloads fast.
"""

from collections.abc import Callable, Container, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from fighitch.core.gateway.model import AdapterName, BackendServer
from fighitch.core.gateway.plain_load import PlainServerLoad, typical_response_time
from fighitch.core.gateway.recent_adapters import RecentAdapters
from fighitch.core.gateway.zone_choice import UNKNOWN_CHARGE, ZoneCharges
from fighitch.core.rendezvous import RankedPartitions
from fighitch.types import Seconds

# Estimated delays and penalties; the cost of a server is the sum of those that apply.
_COLD_LOAD_TIME: Seconds = 0.45
_RELOAD_TIME: Seconds = 0.04
# Penalty per rank of an engine in the adapter's rendezvous ranking: a load on an engine
# other than the home occupies a slot there, and the next load is cold again.
_HOME_RANK_PENALTY: Seconds = 0.06
_MAX_HOME_RANK = 4
# A restarted engine can't serve requests until its model is loaded.
_MODEL_LOAD_TIME: Seconds = 3.0
_PAUSED_PENALTY: Seconds = 5.0
_FAILURE_PENALTY: Seconds = 1.0
_DISCONNECTED_PENALTY: Seconds = 0.5
# Without an agent, nobody orders an engine to replace an outdated adapter.
_OUTDATED_PENALTY: Seconds = 5.0
# Plain servers whose expected response times differ by less than this share are chosen
# at random. Entries that measured the same would otherwise all move to the same server.
_RANDOM_SHARE = 0.2
_DEFAULT_CHARGES = ZoneCharges()
# Maximum number of engines that are asked to admit a request before it is accepted as
# late or rejected.
_MAX_ADMISSION_REQUESTS = 3


@dataclass(slots=True)
class EngineView:
    """State of one engine as known to an entry.

    Attributes:
        instance_id: Instance id of the engine.
        backlog: Time until the prefill of a new request that can meet its latency
            target would start.
        pending_prefill: Prefill time of requests sent since the latest status.
        adapters: Loaded models and adapters, with their versions.
        recently_unloaded: Recently unloaded adapters, which reload fast.
        connected: Whether the engine's agent is reachable.
        serving: Whether the engine responds to its agent.
        entries: Number of entries connected to the agent.
        seconds_per_token: Prefill time of one prompt token.
        load_wait: Time until a load requested now would start.
        pause: Time for which the engine has asked another entry for no request.
        account_backlogs: Backlogs of the client accounts with most waiting work there.
        reported_at: Time of the latest status; infinite if it is not recorded.
    """

    instance_id: str
    backlog: Seconds = 0.0
    pending_prefill: Seconds = 0.0
    adapters: dict[AdapterName, int] = field(default_factory=dict)
    recently_unloaded: RecentAdapters = field(default_factory=RecentAdapters)
    connected: bool = False
    serving: bool = True
    entries: int = 1
    seconds_per_token: Seconds = 5e-5
    load_wait: Seconds = 0.0
    pause: Seconds = 0.0
    account_backlogs: dict[str, Seconds] = field(default_factory=dict)
    reported_at: Seconds = float("inf")

    def backlog_for(self, account: str) -> Seconds:
        """Returns the backlog for a request of a client account."""
        return max(self.backlog, self.account_backlogs.get(account, 0.0))


@dataclass(frozen=True, slots=True)
class Candidate:
    """Backend server that may run a request.

    Attributes:
        server: The server.
        cost: Expected time until the request starts, plus penalties.
    """

    server: BackendServer
    cost: Seconds


def next_server(
    candidates: Sequence[Candidate],
    *,
    admission_requests: int,
    declined: Mapping[str, Seconds],
) -> BackendServer | None:
    """Returns the server to try next for a request.

    Load pattern: many entries act on the same status, so that a new or idle engine
    receives more requests at once than it can start in time. An engine that would miss
    the latency target of a request declines it, and the next engine is asked. If all
    would miss it, the engine that expects the earliest first event gets the request.

    Args:
        candidates: Servers that may run the request, the cheapest first.
        admission_requests: Number of admission requests made for the current attempt.
        declined: Expected time of the first event at the engines that declined, by
            instance id.

    Returns:
        The server; None if no server is left to try.
    """
    servers = [candidate.server for candidate in candidates]
    if admission_requests < _MAX_ADMISSION_REQUESTS:
        for server in servers:
            if server.instance_id not in declined:
                return server
    late = [server for server in servers if server.instance_id in declined]
    return min(late, key=lambda server: declined[server.instance_id], default=None)


class EngineRanker:
    """Ranks engines for a request."""

    def __init__(self, zone: str, rng: Random | None = None) -> None:
        """Starts without servers.

        Args:
            zone: Availability zone of the entry.
            rng: Source of the random part of charges; seeded differently on each entry.
        """
        self._zone = zone
        self._rng = rng or Random()
        self._rendezvous = RankedPartitions({})
        self._servers: Sequence[BackendServer] = ()

    def rank(
        self,
        adapter: AdapterName,
        servers: Sequence[BackendServer],
        views: dict[str, EngineView],
        penalty: Callable[[str], Seconds],
        *,
        required_version: int = 0,
        avoid: Container[str] = (),
        account: str = "",
        charges: ZoneCharges = _DEFAULT_CHARGES,
    ) -> list[Candidate]:
        """Returns the engines that may run a request, the cheapest first.

        Args:
            adapter: Adapter that the request uses.
            servers: Engines that accept new requests. Pass the same object until the
                list changes: the hash ranking is rebuilt for each new object.
            views: Known state of the engines, by instance id.
            penalty: Returns the cost of a server's recent failures.
            required_version: Oldest version of the adapter that may serve the request;
                0 for any.
            avoid: Instance ids to leave out.
            account: Client account of the request; empty for none.
            charges: What engines of other zones are charged.
        """
        home_ranks = self._home_ranks(adapter, servers)
        model = AdapterName(adapter.model)
        candidates = []
        crossings, unlisted = charges.by_zone, charges.unlisted
        # Servers of other zones, with their costs and pending work.
        away: list[tuple[BackendServer, Seconds, Seconds]] = []
        is_held_here = False
        for server in servers:
            if server.instance_id in avoid:
                continue
            view = views.get(server.instance_id) or EngineView(server.instance_id)
            cost = (
                view.backlog_for(account)
                + view.pending_prefill
                + penalty(server.instance_id)
            )
            # The engine may still take requests of this entry.
            cost += view.pause
            if not view.connected:
                cost += _DISCONNECTED_PENALTY
                if view.adapters.get(adapter, required_version) < required_version:
                    cost += _OUTDATED_PENALTY
            if not view.serving:
                cost += _PAUSED_PENALTY
            if model not in view.adapters:
                cost += _MODEL_LOAD_TIME
            is_away = server.zone != self._zone
            if adapter in view.adapters:
                if not is_away and view.connected and view.serving:
                    is_held_here = True
            elif adapter.adapter:
                cost += view.load_wait
                is_recent = adapter in view.recently_unloaded
                cost += _RELOAD_TIME if is_recent else _COLD_LOAD_TIME
                home_rank = home_ranks.get(server.instance_id, _MAX_HOME_RANK)
                cost += _HOME_RANK_PENALTY * min(home_rank, _MAX_HOME_RANK)
            if is_away:
                cost += crossings.get(server.zone, unlisted)
                is_known = view.connected and view.reported_at >= charges.reported_since
                if charges.is_measured and not is_known:
                    cost += UNKNOWN_CHARGE
                away.append((server, cost, view.pending_prefill))
            else:
                candidates.append(Candidate(server, cost))
        self._add_away(candidates, away, charges, is_choice=is_held_here)
        return _sorted_by_cost(candidates, self._zone, charges)

    def _add_away(
        self,
        candidates: list[Candidate],
        away: list[tuple[BackendServer, Seconds, Seconds]],
        charges: ZoneCharges,
        *,
        is_choice: bool,
    ) -> None:
        """Adds the servers of other zones to the candidates.

        Args:
            candidates: Candidates of the own zone.
            away: Servers of other zones, with their costs and the work that the entry
                sent to them since their latest reports.
            charges: What they are charged.
            is_choice: Whether the own zone can run the request without a load. Only
                then do entries that see the same reports crowd the same engines.
        """
        if not is_choice:
            candidates += [Candidate(server, cost) for server, cost, _ in away]
            return
        margins, crowd, spread = charges.margins, charges.crowd, charges.spread
        random = self._rng.random
        for server, cost, pending in away:
            cost += margins.get(server.zone, 0.0) + crowd * pending + spread * random()
            candidates.append(Candidate(server, cost))

    def _home_ranks(
        self, adapter: AdapterName, servers: Sequence[BackendServer]
    ) -> dict[str, int]:
        """Returns the ranks of the servers in the adapter's rendezvous ranking."""
        # The caller passes the same object until the list of servers changes.
        if servers is not self._servers:
            self._servers = servers
            self._rendezvous.update({server.instance_id: 1.0 for server in servers})
        ranking = self._rendezvous.rank_nodes(str(adapter))
        return {name: home_rank for home_rank, name in enumerate(ranking)}


def rank_plain_servers(
    servers: Sequence[BackendServer],
    loads: dict[str, PlainServerLoad],
    zone: str,
    penalty: Callable[[str], Seconds],
    *,
    avoid: Container[str] = (),
    charges: ZoneCharges = _DEFAULT_CHARGES,
    now: Seconds = 0.0,
    rng: Random | None = None,
    probe: str | None = None,
) -> list[Candidate]:
    """Ranks plain servers by expected response time, the shortest first.

    Args:
        servers: Servers that accept new requests.
        loads: Load that the entry puts on each server, by instance id.
        zone: Availability zone of the entry.
        penalty: Returns the cost of a server's recent failures.
        avoid: Instance ids to leave out.
        charges: What servers of other zones are charged.
        now: Current time.
        rng: Chooses between servers that are nearly equal; None for the order of the
            list.
        probe: Instance id of a server that should get the request unless it is paused.
    """
    typical, _ = typical_response_time(servers, loads)
    candidates = []
    for server in servers:
        name = server.instance_id
        if name in avoid:
            continue
        load = loads.get(name) or PlainServerLoad()
        is_measured = load.measured_at is not None
        response_time = load.expected_response_time(now) if is_measured else typical
        penalty_time = penalty(name)
        cost = response_time * (1 + load.running / max(1, server.slots))
        if rng is not None:
            # Lowers the cost in the own zone and raises it elsewhere, so that chance
            # alone makes no request cross.
            factor = _RANDOM_SHARE * rng.random()
            cost *= 1 - factor if server.zone == zone else 1 + factor
        cost += penalty_time + max(0.0, load.refused_until - now)
        if server.zone != zone:
            cost += charges.unlisted + charges.noise
        if name == probe and penalty_time < _PAUSED_PENALTY:
            cost = 0.0
        candidates.append(Candidate(server, cost))
    return _sorted_by_cost(candidates, zone, charges)


def _sorted_by_cost(
    candidates: list[Candidate], zone: str, charges: ZoneCharges
) -> list[Candidate]:
    """Sorts candidates; latency targets take precedence over the price of bytes."""
    candidates.sort(key=lambda candidate: candidate.cost)
    if not charges.price:
        return candidates
    own = (item.cost for item in candidates if item.server.zone == zone)
    if next(own, 0.0) <= charges.price_limit:
        return candidates
    candidates = [
        item
        if item.server.zone == zone
        else Candidate(item.server, item.cost - charges.price)
        for item in candidates
    ]
    candidates.sort(key=lambda candidate: candidate.cost)
    return candidates


def failure_penalty(*, paused: bool, failure_ratio: float) -> Seconds:
    """Returns the cost of a server's recent failures.

    Args:
        paused: Whether the outlier detector has paused the server.
        failure_ratio: Weighted share of failed requests, 0 to 1.
    """
    return (_PAUSED_PENALTY if paused else 0.0) + _FAILURE_PENALTY * failure_ratio**2
