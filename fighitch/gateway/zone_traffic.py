"""Ranks backend servers for an entry, and records what leaves its zone and why."""

from collections import Counter
from collections.abc import Callable, Container, Iterable, Mapping, Sequence
from random import Random

from fighitch.core.gateway.backend_choice import (
    Candidate,
    EngineRanker,
    EngineView,
    rank_plain_servers,
)
from fighitch.core.gateway.model import AdapterName, BackendServer, Route
from fighitch.core.gateway.plain_load import PlainLoads
from fighitch.core.gateway.settings import (
    DEFAULT_CROSS_ZONE_SECONDS_PER_BYTE,
    InstanceSettings,
)
from fighitch.core.gateway.zone_choice import (
    LeaveReason,
    ZoneCharges,
    ZoneChoice,
    engine_leave_reason,
    plain_leave_reason,
)
from fighitch.gateway.agent_links import AgentLinks
from fighitch.gateway.metrics import EntryMetrics
from fighitch.observability.bounded_log import BoundedLog
from fighitch.runtime.event_loop import EventLoop
from fighitch.types import Seconds

# Reason in metrics and log lines of requests that stayed in their zone.
_OWN_ZONE = "own_zone"
_LOG_INTERVAL: Seconds = 10.0
_FIRST_NON_SUCCESS = 300
# Penalty of a server for a failure among its latest four outcomes. A request that may
# not run twice is not sent there as a probe: if that fails, its caller gets an error.
_SUSPECT_PENALTY: Seconds = 0.01
# Outcomes of attempts, as named by relays.
_ANSWERED = "answered"
_WITHDRAWN = "withdrawn"
_REJECTED_PREFIX = "rejected_"
_SILENT_OUTCOMES = frozenset(("deadline", "slow", "stands_still", "timeout"))

# Charges of engines unless the settings ask for measured ones: agents decline work that
# would be late, so that entries need not hold it back.
_FIXED_CHARGES = ZoneCharges()


class ZoneTraffic:
    """Decides which servers get the requests of an entry, by zone and load."""

    def __init__(
        self,
        loop: EventLoop,
        settings: InstanceSettings,
        log: BoundedLog,
        metrics: EntryMetrics,
        *,
        is_usable: Callable[[BackendServer], bool],
    ) -> None:
        """Starts the summaries in the log.

        Args:
            loop: Event loop of the entry.
            settings: Settings of the entry.
            log: Log for the summaries.
            metrics: Metrics of the entry.
            is_usable: Returns whether a server is neither paused nor asked for a pause.
        """
        self._loop = loop
        self._zone = settings.zone
        self._log = log
        self._metrics = metrics
        self._is_usable = is_usable
        # Differs between entries, so that they don't make the same random choices.
        self._rng = Random(settings.instance)
        self._choice = ZoneChoice(settings.zone, seconds_per_byte=_price(settings))
        self._weighs_engines = settings.cross_zone_seconds_per_byte is not None
        self._engine_ranker = EngineRanker(settings.zone, self._rng)
        self._plain = PlainLoads(settings.zone)
        # Attempts since the latest summary, by service, zone and reason.
        self._attempts: Counter[tuple[str, str, str]] = Counter()
        loop.call_every(_LOG_INTERVAL, self._log_summary)

    def apply_settings(self, settings: InstanceSettings) -> None:
        """Applies a changed price of bytes across zones."""
        self._choice.set_price(_price(settings))
        self._weighs_engines = settings.cross_zone_seconds_per_byte is not None

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Sets the routes of the configuration, for targets and services in use."""
        routes = list(routes)
        self._choice.set_routes(routes)
        self._plain.keep_services(
            {item.service for route in routes for item in route.services}
        )

    def rank(
        self,
        service: str,
        adapter: AdapterName | None,
        servers: Sequence[BackendServer],
        links: AgentLinks,
        penalty: Callable[[str], Seconds],
        *,
        avoid: Container[str],
        account: str = "",
        may_probe: bool,
        delays: Mapping[str, Seconds],
    ) -> list[Candidate]:
        """Returns the servers that may run a request, the cheapest first.

        Args:
            service: Name of the service.
            adapter: Adapter that the request uses; None for a plain service.
            servers: Its servers that accept new requests.
            links: Connections to the agents.
            penalty: Returns the cost of a server's recent failures.
            avoid: Instance ids to leave out.
            account: Client account of the request; empty for none.
            may_probe: Whether the request may be sent to a server that has failed, to
                learn whether it has recovered.
            delays: Times until servers that limit requests take one, by instance id.
        """
        now = self._loop.now()

        def cost(instance_id: str) -> Seconds:
            return penalty(instance_id) + delays.get(instance_id, 0.0)

        if adapter is None:
            # A probe must neither wait nor be refused while another server has room.
            probed = [
                item
                for item in servers
                if not delays.get(item.instance_id)
                and (may_probe or penalty(item.instance_id) < _SUSPECT_PENALTY)
            ]
            probe = self._plain.find_probe(probed, now, avoid)
            return self._rank_plain(service, servers, cost, avoid, now, probe=probe)
        return self._engine_ranker.rank(
            adapter,
            servers,
            links.views,
            cost,
            required_version=links.required_version(adapter),
            avoid=avoid,
            account=account,
            charges=(
                self._choice.engine_charges(service, servers, links.views, now)
                if self._weighs_engines
                else _FIXED_CHARGES
            ),
        )

    def _rank_plain(
        self,
        service: str,
        servers: Sequence[BackendServer],
        penalty: Callable[[str], Seconds],
        avoid: Container[str],
        now: Seconds,
        *,
        probe: str | None,
    ) -> list[Candidate]:
        loads = self._plain.by_id
        return rank_plain_servers(
            servers,
            loads,
            self._zone,
            penalty,
            avoid=avoid,
            charges=self._choice.plain_charges(service, servers, loads),
            now=now,
            rng=self._rng,
            probe=probe,
        )

    def record_sent(
        self,
        server: BackendServer,
        adapter: AdapterName | None,
        ready: Iterable[BackendServer],
        views: dict[str, EngineView],
        avoid: Container[str],
    ) -> str:
        """Records that a request was sent to a server.

        Args:
            server: The server.
            adapter: Adapter that the request uses.
            ready: Servers of the service that accept new requests.
            views: Known state of the engines, by instance id.
            avoid: Instance ids of servers that already refused or failed the request.

        Returns:
            Why the request left its zone; empty if it did not.
        """
        reason = ""
        if server.zone != self._zone:
            reason = self._leave_reason(server, adapter, ready, views, avoid).value
        self._plain.record_sent(server, self._loop.now())
        zone_reason = reason or _OWN_ZONE
        self._attempts[server.service, server.zone, zone_reason] += 1
        self._metrics.count_zone_attempt(server.service, server.zone, zone_reason)
        return reason

    def _leave_reason(
        self,
        server: BackendServer,
        adapter: AdapterName | None,
        ready: Iterable[BackendServer],
        views: dict[str, EngineView],
        avoid: Container[str],
    ) -> LeaveReason:
        home = [
            item for item in ready if item.zone == self._zone and self._is_usable(item)
        ]
        untried = [item for item in home if item.instance_id not in avoid]
        if home and not untried:
            return LeaveReason.RETRY
        if server.instance_id in views:
            return engine_leave_reason(adapter, server, untried, views)
        now = self._loop.now()
        is_probe = self._plain.is_probe_due(server, now)
        return plain_leave_reason(server, untried, self._plain.by_id, is_probe=is_probe)

    def record_head(
        self, server: BackendServer, status: int, *, sent_at: Seconds
    ) -> None:
        """Records the time to the head of a response; refusals say nothing of it."""
        if status < _FIRST_NON_SUCCESS:
            now = self._loop.now()
            elapsed = now - sent_at
            self._choice.record_first_byte(server.service, server.zone, elapsed, now)

    def record_outcome(
        self,
        server: BackendServer,
        *,
        unreachable: bool,
        outcome: str,
        elapsed: Seconds,
        answered: bool,
    ) -> None:
        """Records the end of an attempt.

        Args:
            server: Server that received the request.
            unreachable: Whether the server did not receive the request.
            outcome: Outcome of the attempt, as named by the relay.
            elapsed: Time since the request was sent.
            answered: Whether the answer was under way.
        """
        now = self._loop.now()
        if outcome in _SILENT_OUTCOMES and not answered and not unreachable:
            self._choice.record_unanswered(server.service, server.zone, elapsed, now)
        load = self._plain.by_id.get(server.instance_id)
        if load is None:
            return
        load.record_ended()
        if unreachable or outcome == _WITHDRAWN:
            return
        if outcome.startswith(_REJECTED_PREFIX):
            load.record_refusal(now)
        elif outcome == _ANSWERED:
            self._plain.record_answered(
                server.service, server.instance_id, elapsed, now
            )
        else:
            load.record_unanswered(elapsed, now)

    def record_end(self, service: str, *, size: int, prompt_tokens: int) -> None:
        """Records the bytes and the prompt tokens of a request that ended."""
        self._choice.record_request(service, size=size, prompt_tokens=prompt_tokens)

    def forget(self, instance_id: str) -> None:
        """Removes the state of a server that is gone."""
        self._plain.forget(instance_id)

    def _log_summary(self) -> None:
        """Logs how much work left the zone and why, if any did."""
        attempts, self._attempts = self._attempts, Counter()
        totals: Counter[str] = Counter()
        for (service, _, _), count in attempts.items():
            totals[service] += count
        for (service, zone, reason), count in sorted(attempts.items()):
            if reason != _OWN_ZONE:
                self._log.event(
                    "zone_left",
                    service=service,
                    zone=zone,
                    reason=reason,
                    attempts=count,
                    share=f"{count / totals[service]:.3f}",
                )


def _price(settings: InstanceSettings) -> Seconds:
    price = settings.cross_zone_seconds_per_byte
    return DEFAULT_CROSS_ZONE_SECONDS_PER_BYTE if price is None else price
