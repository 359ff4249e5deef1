"""Quotas of client accounts at an entry: takes the units of each request."""

from collections.abc import Callable
from functools import partial

from fighitch.core.gateway.entry_count import EntryCount
from fighitch.core.gateway.failures import FailureKind
from fighitch.core.gateway.model import Configuration
from fighitch.core.gateway.quota_allowances import (
    QuotaAllowances,
    Refusal,
    RefusalReason,
    Waiter,
)
from fighitch.core.gateway.quota_holder import GrantLine
from fighitch.core.gateway.settings import InstanceSettings
from fighitch.core.rendezvous import RankedPartitions
from fighitch.gateway.agent_links import AgentLinks
from fighitch.gateway.metrics import EntryMetrics
from fighitch.gateway.peer_messages import QuotaGrant, QuotaRequest
from fighitch.gateway.quota_metrics import EntryQuotaMetrics
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform.requests import RequestMetadata
from fighitch.runtime.event_loop import EventLoop
from fighitch.types import Seconds

_US_PER_SECOND = 1_000_000
# A quarter of the longest wait for units, so that waits end close to it.
_POLL_INTERVAL: Seconds = 0.025
# Delay of repeated requests to a holder while requests wait for units.
_FLUSH_DELAY: Seconds = 0.02
_REPORT_INTERVAL: Seconds = 1.0
# Time after its start in which an entry waits for its first agent. Connections take a
# few ms once the list of servers is known.
_CONNECT_TIME: Seconds = 1.5

_FAILURE_KINDS = {
    RefusalReason.EXCEEDED: FailureKind.QUOTA_EXCEEDED,
    RefusalReason.NO_ANSWER: FailureKind.QUOTA_UNKNOWN,
}


class Quotas:
    """Takes units for requests and exchanges messages with the agents that lend them.

    Without any account that has a quota it does nothing.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: InstanceSettings,
        links: AgentLinks,
        log: BoundedLog,
        metrics: EntryMetrics,
    ) -> None:
        self._loop = loop
        self._entry = settings.instance
        self._links = links
        self._log = log
        self._metrics = metrics
        self._quota_metrics: EntryQuotaMetrics | None = None
        self._allowances = QuotaAllowances(settings.quota_window, loop.now())
        self._ranking = RankedPartitions({})
        self._started_at = loop.now()
        self._is_polling = False
        self._is_flush_due = False
        # Refused requests by account since their last log line.
        self._refused: dict[str, int] = {}
        self._reported_at: Seconds = float("-inf")
        self._holders: dict[str, str | None] = {}
        # Called with the names of connected entries that an agent reports.
        self.on_reported_entries: Callable[[list[str]], None] = lambda _names: None
        links.on_quota_agent = self._on_agent
        links.on_quota_agent_lost = self._on_agent_lost
        links.on_quota_grant = self._on_grant

    @property
    def is_active(self) -> bool:
        """Whether any account has a quota."""
        return self._allowances.is_active

    @property
    def entries(self) -> EntryCount:
        """Number of entries that share the quotas."""
        return self._allowances.entries

    def configure(self, configuration: Configuration) -> None:
        """Applies the quotas of a configuration."""
        if configuration.accounts is None and not self.is_active:
            return
        accounts = configuration.accounts or ()
        self._allowances.configure(accounts, configuration.version)
        if not self.is_active:
            return
        if self._quota_metrics is None:
            self._quota_metrics = EntryQuotaMetrics(self._metrics.registry)
        self._set_agents()
        if not self._is_polling:
            self._is_polling = True
            self._loop.call_later(_POLL_INTERVAL, self._poll)

    def cost(self, metadata: RequestMetadata) -> float:
        """Returns the units of a request; 0 if its account has no quota."""
        quota = self._allowances.quota(metadata.account)
        if quota is None:
            return 0.0
        size = metadata.size
        tokens = size.prompt_tokens + size.output_tokens
        return quota.cost(tokens=tokens if metadata.states_tokens else None)

    def take(
        self, account: str, cost: float, on_result: Callable[[Refusal | None], None]
    ) -> Waiter | None:
        """Takes the units of a request, at once if they are held.

        Args:
            account: Name of the account; empty for none.
            cost: Units of the request.
            on_result: Called with the refusal, or None if the request is allowed.

        Returns:
            The waiting request, which can be cancelled; None if the result is known.
        """
        if self._allowances.quota(account) is None:
            on_result(None)
            return None
        waiter = self._allowances.take(
            account,
            cost,
            self._loop.now(),
            partial(self._finish, account, cost, on_result),
        )
        if waiter is not None or self._allowances.is_urgent(account, self._loop.now()):
            self._schedule_flush(0.0)
        return waiter

    def take_held(self, account: str, cost: float) -> bool:
        """Takes units without waiting; returns whether they were held."""
        if self._allowances.quota(account) is None:
            return True
        is_allowed = self._allowances.take_held(account, cost, self._loop.now())
        if is_allowed and self._quota_metrics is not None:
            self._quota_metrics.count_allowed(account, cost)
        if not is_allowed:
            self._schedule_flush(0.0)
        return is_allowed

    def give_back(self, account: str, cost: float) -> None:
        """Gives back the units of a request that has not run and never will."""
        if self._allowances.quota(account) is None:
            return
        self._allowances.give_back(account, cost, self._loop.now())
        if self._quota_metrics is not None:
            self._quota_metrics.count_refunded(account, cost)

    def _finish(
        self,
        account: str,
        cost: float,
        on_result: Callable[[Refusal | None], None],
        refusal: Refusal | None,
    ) -> None:
        metrics = self._quota_metrics
        if metrics is not None and refusal is None:
            metrics.count_allowed(account, cost)
        elif metrics is not None and refusal is not None:
            metrics.count_refused(account, refusal.reason.value)
            self._refused[account] = self._refused.get(account, 0) + 1
        on_result(refusal)

    # Agents.

    def _on_agent(self, _engine: str) -> None:
        self._set_agents()

    def _on_agent_lost(self, engine: str, reason: str) -> None:
        # The closing of a silent connection may not reach the agent.
        self._set_agents(released=() if reason == "silent" else (engine,))

    def _set_agents(self, released: tuple[str, ...] = ()) -> None:
        if not self.is_active:
            return
        self._record_entries()
        agents = dict.fromkeys(self._links.quota_peers, 1.0)
        self._ranking.update(agents)
        self._allowances.set_agents(
            agents,
            self._ranking.rank_nodes,
            self._loop.now(),
            released=released,
            may_connect_until=self._started_at + _CONNECT_TIME,
        )
        self._schedule_flush(0.0)

    def _record_entries(self) -> None:
        """Records the number of entries, unless no agent is there to report it.

        The last number counts then, however long it lasts.
        """
        if any(view.connected for view in self._links.views.values()):
            now = self._loop.now()
            self._allowances.entries.record(self._links.entries, now)

    def _on_grant(self, engine: str, message: QuotaGrant) -> None:
        now = self._loop.now()
        if message.entries:
            self.on_reported_entries(message.entries)
        self._allowances.announce(message.opened, now)
        self._allowances.close(engine, message.closed)
        lines = [GrantLine(*line) for line in message.lines]
        self._allowances.handle_grants(engine, message.sent_at_us, lines, now)
        if message.opened or self._allowances.has_waiting:
            self._schedule_flush(0.0)

    def _schedule_flush(self, delay: Seconds) -> None:
        """Sends requests soon; those of one loop iteration share their messages."""
        if not self._is_flush_due:
            self._is_flush_due = True
            self._loop.call_later(delay, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        now = self._loop.now()
        for engine, (lines, left) in self._allowances.requests(now).items():
            peer = self._links.quota_peers.get(engine)
            if peer is None:
                continue
            message = QuotaRequest(
                self._entry,
                int(now * _US_PER_SECOND),
                self._allowances.entries.value,
                self._allowances.version,
                [
                    (
                        line.account,
                        _compact(line.limit.rate),
                        _compact(line.limit.capacity),
                        _compact(line.limit.headroom),
                        _compact(line.used),
                        _compact(line.returned),
                        _compact(line.refunded),
                        _compact(line.needed),
                        _compact(line.wanted),
                        _compact(line.credit),
                    )
                    for line in lines
                ],
                left,
            )
            peer.send(message)
        if self._allowances.has_waiting:
            self._schedule_flush(_FLUSH_DELAY)

    def _poll(self) -> None:
        # An error below must not end the polls: requests would wait, and shares lapse.
        self._is_polling = self.is_active
        if self._is_polling:
            self._loop.call_later(_POLL_INTERVAL, self._poll)
        # Messages that arrived before the latest poll of the sockets were handled, also
        # if this process did not run for a while.
        self._allowances.poll(self._loop.polled_at)
        self._flush()
        self._report()

    def _report(self) -> None:
        """Updates the number of entries, metrics and log, once in a while."""
        now = self._loop.now()
        if now - self._reported_at < _REPORT_INTERVAL or self._quota_metrics is None:
            return
        self._reported_at = now
        self._record_entries()
        held = self._allowances.held()
        for account in self._holders.keys() - held.keys():
            self._quota_metrics.set_held(account, 0.0)
            del self._holders[account]
        for account, units in held.items():
            self._quota_metrics.set_held(account, units)
            holder = self._allowances.holder(account)
            if account not in self._holders or self._holders[account] != holder:
                self._holders[account] = holder
                self._log.event("quota_holder", account=account, holder=holder or "")
        for account, count in self._refused.items():
            self._log.event("quota_refused", account=account, requests=count)
        self._refused.clear()


def _compact(units: float) -> float:
    """Returns whole numbers, most of them 0, in a type that takes fewer bytes."""
    whole = int(units)
    return whole if whole == units else units


class RequestUnits:
    """Units of one request: one set for each send that may run."""

    def __init__(self, quotas: Quotas, metadata: RequestMetadata) -> None:
        """Takes nothing yet.

        Args:
            quotas: Quotas of the entry.
            metadata: Metadata of the request, with its account.
        """
        self._quotas = quotas
        self._account = metadata.account
        self._cost = quotas.cost(metadata) if quotas.is_active else 0.0
        self._waiter: Waiter | None = None
        # Sets taken for sends that have not begun, or turned out not to run.
        self._unused = 0
        self._is_over = False

    def take(
        self,
        *,
        on_taken: Callable[[], None],
        on_refused: Callable[[FailureKind, Seconds], None],
    ) -> None:
        """Takes the units of one send, unless an unused set is left.

        Nothing is called any more after the request has ended.

        Args:
            on_taken: Called if the request may be sent.
            on_refused: Called if not, with the kind of failure and the time until a
                retry.
        """
        if not self._cost or self._unused:
            on_taken()
            return

        def on_result(refusal: Refusal | None) -> None:
            self._waiter = None
            if refusal is None:
                self._unused += 1
                on_taken()
            else:
                on_refused(_FAILURE_KINDS[refusal.reason], refusal.retry_after)

        waiter = self._quotas.take(self._account, self._cost, on_result)
        if waiter is not None:
            # Otherwise a retry within the call may wait already.
            self._waiter = waiter

    def take_held(self) -> bool:
        """Takes the units of one send without waiting; returns whether it may begin."""
        if not self._cost or self._unused:
            return True
        if not self._quotas.take_held(self._account, self._cost):
            return False
        self._unused += 1
        return True

    def record_sent(self) -> None:
        """Records that a send begins."""
        self._unused = max(0, self._unused - 1)

    def record_not_run(self) -> None:
        """Records that the latest send was not run and never will be."""
        self._unused += int(self._cost > 0)

    def end(self) -> None:
        """Gives back what is left once the request has ended."""
        if self._waiter is not None:
            self._waiter.is_cancelled = True
        if not self._is_over and self._cost:
            for _ in range(self._unused):
                self._quotas.give_back(self._account, self._cost)
        self._is_over = True
