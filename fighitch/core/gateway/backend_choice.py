"""Choice of the backend server for a request.

Load pattern: prompts on few popular adapters, a long tail of rare ones, and bursts. An
adapter's requests stay with the engines that hold it until their backlog costs more
than loading it elsewhere; rare adapters have a home by rendezvous hashing, where they
were held recently and load fast.
"""

from collections.abc import Callable, Container, Mapping, Sequence
from dataclasses import dataclass, field

from fighitch.core.gateway.model import AdapterName, BackendServer
from fighitch.core.gateway.recent_adapters import RecentAdapters
from fighitch.core.rendezvous import RankedPartitions
from fighitch.types import Seconds

_COLD_LOAD: Seconds = 0.45
_RECENT_LOAD: Seconds = 0.04
# A load away from the home of an adapter costs a place there and is cold next time.
_AWAY_FROM_HOME: Seconds = 0.06
_FURTHEST_RANK = 4
# Tie-breaker between equally loaded servers: traffic between zones is paid for.
_OTHER_ZONE: Seconds = 0.01
# An engine that restarted holds no model until it is loaded.
_MODEL_LOAD: Seconds = 3.0
_PAUSED: Seconds = 5.0
_FAILING: Seconds = 1.0
_UNCONNECTED: Seconds = 0.5
# Engines that are asked for a place before a request is late or refused.
_MAX_ASKS = 3


@dataclass(slots=True)
class EngineView:
    """What an entry knows of one engine.

    Attributes:
        instance_id: Instance id of the engine.
        backlog: Time until the prompt of new work that can be on time is read.
        pending: Reading time of requests that were sent since the last status.
        adapters: Adapters that it holds, with versions.
        recent: Adapters that load fast there.
        connected: Whether its agent answers.
        serving: Whether the engine answers its agent.
        entries: Entries connected to its agent.
        seconds_per_token: Time to read one prompt token.
        load_wait: Time until a load that is asked for now would begin.
    """

    instance_id: str
    backlog: Seconds = 0.0
    pending: Seconds = 0.0
    adapters: dict[AdapterName, int] = field(default_factory=dict)
    recent: RecentAdapters = field(default_factory=RecentAdapters)
    connected: bool = False
    serving: bool = True
    entries: int = 1
    seconds_per_token: Seconds = 5e-5
    load_wait: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A possible backend server.

    Attributes:
        server: The server.
        cost: Expected time to a start, with penalties.
    """

    server: BackendServer
    cost: Seconds


def next_server(
    candidates: Sequence[Candidate], *, asks: int, declined: Mapping[str, Seconds]
) -> BackendServer | None:
    """Returns the server to try next for a request.

    Load pattern: many entries act on the same status, so that a new or idle engine gets
    more work at once than it can start in time. An engine at which a request would be
    late declines it, and the next ones are asked. If all would be late, the one that
    expects the first event soonest takes the request.

    Args:
        candidates: Servers that may run it, the cheapest first.
        asks: Times that an engine was asked for a place already.
        declined: Expected time of the first event at engines that declined, by
            instance id.

    Returns:
        The server; None if no other is worth trying.
    """
    servers = [candidate.server for candidate in candidates]
    if asks < _MAX_ASKS:
        for server in servers:
            if server.instance_id not in declined:
                return server
    late = [server for server in servers if server.instance_id in declined]
    return min(late, key=lambda server: declined[server.instance_id], default=None)


class EngineRanker:
    """Ranks engines for a request."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._homes = RankedPartitions({})
        self._servers: Sequence[BackendServer] = ()

    def rank(
        self,
        adapter: AdapterName,
        servers: Sequence[BackendServer],
        views: dict[str, EngineView],
        penalty: Callable[[str], Seconds],
        *,
        avoid: Container[str] = (),
    ) -> list[Candidate]:
        """Returns the possible engines, the cheapest first.

        Args:
            adapter: Adapter that the request runs on.
            servers: Engines that take work.
            views: What is known of them, by instance id.
            penalty: Returns the cost of recent failures of a server.
            avoid: Instance ids that are left out.
        """
        homes = self._places(adapter, servers)
        model = AdapterName(adapter.model)
        candidates = []
        for server in servers:
            if server.instance_id in avoid:
                continue
            view = views.get(server.instance_id) or EngineView(server.instance_id)
            cost = view.backlog + view.pending + penalty(server.instance_id)
            if not view.connected:
                cost += _UNCONNECTED
            if not view.serving:
                cost += _PAUSED
            if server.zone != self._zone:
                cost += _OTHER_ZONE
            if model not in view.adapters:
                cost += _MODEL_LOAD
            if adapter.adapter and adapter not in view.adapters:
                cost += view.load_wait
                is_recent = adapter in view.recent
                cost += _RECENT_LOAD if is_recent else _COLD_LOAD
                place = homes.get(server.instance_id, _FURTHEST_RANK)
                cost += _AWAY_FROM_HOME * min(place, _FURTHEST_RANK)
            candidates.append(Candidate(server, cost))
        candidates.sort(key=lambda candidate: candidate.cost)
        return candidates

    def _places(
        self, adapter: AdapterName, servers: Sequence[BackendServer]
    ) -> dict[str, int]:
        """Returns the place of each of the best servers in the adapter's ranking."""
        # The list of servers is the same object until it changes.
        if servers is not self._servers:
            self._servers = servers
            self._homes.update({server.instance_id: 1.0 for server in servers})
        ranking = self._homes.ranked(str(adapter))
        return {name: place for place, name in enumerate(ranking)}


@dataclass(slots=True)
class PlainServerLoad:
    """Requests of one entry at one plain server.

    Attributes:
        running: Requests without an answer.
        service_time: Smoothed time of an answer.
    """

    running: int = 0
    service_time: Seconds = 0.05

    def record_response_time(self, elapsed: Seconds) -> None:
        """Takes the time of an answer."""
        self.service_time += 0.1 * (elapsed - self.service_time)


def rank_plain_servers(
    servers: Sequence[BackendServer],
    loads: dict[str, PlainServerLoad],
    zone: str,
    penalty: Callable[[str], Seconds],
    *,
    avoid: Container[str] = (),
) -> list[Candidate]:
    """Ranks plain servers, the one with the shortest expected wait first.

    Args:
        servers: Servers that take work.
        loads: Own requests at each server, by instance id.
        zone: Zone of the entry.
        penalty: Returns the cost of recent failures of a server.
        avoid: Instance ids that are left out.
    """
    candidates = []
    for server in servers:
        if server.instance_id in avoid:
            continue
        load = loads.get(server.instance_id) or PlainServerLoad()
        cost = load.running * load.service_time / max(1, server.slots)
        cost += load.service_time + penalty(server.instance_id)
        if server.zone != zone:
            cost += _OTHER_ZONE
        candidates.append(Candidate(server, cost))
    candidates.sort(key=lambda candidate: candidate.cost)
    return candidates


def failure_penalty(*, paused: bool, failure_ratio: float) -> Seconds:
    """Returns the cost of a server's recent failures."""
    return (_PAUSED if paused else 0.0) + _FAILING * failure_ratio**2
