"""Quotas of client accounts at an agent: lends units to the entries."""

from collections.abc import Iterable

from fighitch.core.gateway.quota_holder import (
    OPENING_TIME,
    Grant,
    QuotaHolder,
    QuotaLimit,
    QuotaLine,
)
from fighitch.gateway.metrics import AgentMetrics
from fighitch.gateway.peer_connection import PeerConnection
from fighitch.gateway.peer_messages import (
    QUOTA_VERSION,
    Hello,
    QuotaGrant,
    QuotaRequest,
)
from fighitch.gateway.quota_metrics import HolderMetrics
from fighitch.observability.bounded_log import BoundedLog
from fighitch.runtime.event_loop import EventLoop
from fighitch.types import Seconds

_POLL_INTERVAL: Seconds = 0.25
# Names of the entries are reported to each of them; only their absence for minutes
# matters.
_NAMES_INTERVAL: Seconds = 60.0


class QuotaLender:
    """Answers the entries' requests for units."""

    def __init__(self, loop: EventLoop, log: BoundedLog, metrics: AgentMetrics) -> None:
        self._loop = loop
        self._log = log
        self._metrics = HolderMetrics(metrics.registry)
        self._holder = QuotaHolder()
        self._peers: dict[str, PeerConnection] = {}
        self._named_at: dict[str, Seconds] = {}
        self._known: set[str] = set()
        self._is_polling = False
        self._is_answer_due = False

    def add_peer(self, peer: PeerConnection, hello: Hello) -> None:
        """Adds an entry, and tells it the accounts with traffic."""
        if hello.protocol < QUOTA_VERSION or self._peers.get(hello.entry) is peer:
            return
        if hello.entry in self._peers:
            self._holder.disconnect(hello.entry, self._loop.now())
        self._peers[hello.entry] = peer
        if self._holder.accounts:
            peer.send(QuotaGrant(0, [], opened=list(self._holder.accounts)))

    def remove_peer(self, peer: PeerConnection) -> None:
        """Removes an entry whose connection is closed."""
        for entry in [name for name, item in self._peers.items() if item is peer]:
            del self._peers[entry]
            self._named_at.pop(entry, None)
            self._holder.disconnect(entry, self._loop.now())

    def on_request(self, peer: PeerConnection, request: QuotaRequest) -> None:
        """Answers a request of an entry."""
        if self._peers.get(request.entry) is not peer:
            return
        now = self._loop.now()
        self._holder.leave(request.entry, request.left, now)
        grants = self._holder.handle(
            request.entry,
            [
                QuotaLine(name, QuotaLimit(rate, capacity, headroom), *units)
                for name, rate, capacity, headroom, *units in request.lines
            ],
            sent_at=request.sent_at_us,
            entries=request.entries,
            version=request.version,
            now=now,
        )
        self._send(grants)
        self._announce(now)
        self._report_entries(request.entry, now)
        if not self._is_polling and self._holder.accounts:
            self._is_polling = True
            self._loop.call_later(_POLL_INTERVAL, self._poll)
        if not self._is_answer_due and self._holder.has_parked:
            self._is_answer_due = True
            self._loop.call_later(OPENING_TIME, self._answer_parked)

    def _report_entries(self, entry: str, now: Seconds) -> None:
        if now - self._named_at.get(entry, float("-inf")) >= _NAMES_INTERVAL:
            self._named_at[entry] = now
            self._peers[entry].send(QuotaGrant(0, [], entries=sorted(self._peers)))

    def _answer_parked(self) -> None:
        self._is_answer_due = False
        self._send(self._holder.poll(self._loop.now()))

    def _send(self, grants: Iterable[Grant]) -> None:
        """Sends answers, those to one request in one message."""
        messages: dict[tuple[str, int], QuotaGrant] = {}
        for grant in grants:
            key = grant.entry, grant.sent_at
            message = messages.setdefault(key, QuotaGrant(grant.sent_at, []))
            line = grant.line
            message.lines.append(
                (line.account, line.granted, line.is_short, line.debt, line.rate)
            )
        for (entry, _sent_at), message in messages.items():
            peer = self._peers.get(entry)
            if peer is not None:
                peer.send(message)

    def _announce(self, now: Seconds) -> None:
        by_entry: dict[str, list[str]] = {}
        for account, known in self._holder.due_announcements(now):
            if account not in self._known:
                self._known.add(account)
                self._log.event("quota_opened", account=account)
            for entry in self._peers.keys() - known:
                by_entry.setdefault(entry, []).append(account)
        for entry, accounts in by_entry.items():
            self._peers[entry].send(QuotaGrant(0, [], opened=accounts))

    def _poll(self) -> None:
        now = self._loop.now()
        self._send(self._holder.poll(now))
        self._announce(now)
        self._close_idle(now)
        for account in self._known - set(self._holder.accounts):
            self._known.discard(account)
            self._metrics.forget(account)
            self._log.event("quota_closed", account=account)
        for account in self._holder.accounts:
            self._metrics.set_state(account, *self._holder.state(account))
        self._is_polling = bool(self._holder.accounts)
        if self._is_polling:
            self._loop.call_later(_POLL_INTERVAL, self._poll)

    def _close_idle(self, now: Seconds) -> None:
        for account, entries in self._holder.close_idle(now):
            for entry in entries & self._peers.keys():
                self._peers[entry].send(QuotaGrant(0, [], closed=[account]))
