"""Connections of an entry to the engine agents."""

import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from fighitch.core.gateway.adapter_cache import OUTDATED_VERSION_GRACE
from fighitch.core.gateway.backend_choice import EngineView
from fighitch.core.gateway.model import AdapterName, BackendServer, EngineSpec
from fighitch.core.gateway.settings import Address
from fighitch.gateway.peer_connection import PeerConnection
from fighitch.gateway.peer_messages import (
    CRASH_REPORT_VERSION,
    PROTOCOL_VERSION,
    QUOTA_VERSION,
    AdapterVersions,
    AdmissionRequest,
    CrashReport,
    Decline,
    Deny,
    Done,
    FirstEvent,
    Grant,
    Heartbeat,
    HeldAdapters,
    Hello,
    Message,
    QuotaGrant,
    Status,
)
from fighitch.observability.bounded_log import BoundedLog
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.sockets import open_stream, start_connecting
from fighitch.types import Seconds

_MS_PER_SECOND = 1_000
_NS_PER_SECOND = 1_000_000_000
_HEARTBEAT_INTERVAL: Seconds = 0.5
# Agents send their status every 0.25 s.
_AGENT_TIMEOUT: Seconds = 0.9
_CONNECT_TIMEOUT: Seconds = 0.7
# After a power failure, agents start within about a second of the entries. Until then
# the instance list still contains engine incarnations that no longer exist.
_AGENT_START_TIMEOUT: Seconds = 1.5
_INITIAL_RETRY_DELAY: Seconds = 0.1
_MAX_RETRY_DELAY: Seconds = 0.8
# Agents that receive a crash report; each passes it on to all entries and keeps it
# for those that restart.
_CRASH_REPORT_RELAYS = 3

OnGrant = Callable[[Grant], None]
OnDecline = Callable[[Decline], None]
OnDeny = Callable[[Deny | None], None]


@dataclass(frozen=True, slots=True)
class AdmissionCallbacks:
    """Callbacks for the response of an agent to an admission request.

    Attributes:
        on_grant: Called when the request may be sent to the engine.
        on_decline: Called when the request would miss its latency target on this engine
            and other engines should be asked.
        on_deny: Called when the request is rejected, or with None if the connection to
            the agent was lost.
    """

    on_grant: OnGrant
    on_decline: OnDecline
    on_deny: OnDeny


@dataclass(slots=True)
class AgentLink:
    """Connection to one agent and the engine state that it last reported.

    Attributes:
        server: The engine, from the instance list.
        spec: Limits of the engine, as sent to the agent.
        view: State of the engine.
        peer: Connection to the agent; None while there is none.
        pending_requests: Callbacks of admission requests without a response, by number.
        retry_delay: Delay before the next attempt to connect.
        removed: Whether the engine was removed from the known engines.
        was_connected: Whether the agent has ever sent a status.
        added_at: Time at which the engine became known.
        protocol: Version of the messages that the agent understands.
        has_all_crashes: Whether the agent was sent all known crashes.
    """

    server: BackendServer
    spec: EngineSpec
    view: EngineView
    peer: PeerConnection | None = None
    pending_requests: dict[int, AdmissionCallbacks] = field(default_factory=dict)
    retry_delay: Seconds = _INITIAL_RETRY_DELAY
    removed: bool = False
    was_connected: bool = False
    added_at: Seconds = 0.0
    protocol: int = 0
    has_all_crashes: bool = False


class AgentLinks:
    """Maintains a connection to the agent of each engine."""

    def __init__(
        self,
        loop: EventLoop,
        *,
        entry: str,
        peer_port: int,
        log: BoundedLog,
        on_draining: Callable[[str], None],
        on_down: Callable[[BackendServer], None],
        on_serving: Callable[[BackendServer, bool], None],
        on_crash_report: Callable[[CrashReport], None],
        all_crashes: Callable[[], CrashReport | None],
        named_limit: Callable[[BackendServer], float | None],
        store_epoch: Callable[[], int | None] = lambda: None,
        is_leaving: Callable[[BackendServer], bool],
        pause_left: Callable[[BackendServer], Seconds],
    ) -> None:
        """Starts the heartbeats.

        Args:
            loop: Event loop that runs the connections and timers.
            entry: Name of this instance.
            peer_port: Port on which all agents listen.
            log: Log for connected and lost agents.
            on_draining: Called with the instance id of an engine that is draining.
            on_down: Called with an engine that its agent can't reach any more, or that
                has restarted.
            on_serving: Called with an engine that responds to its agent, and with
                whether the agent had reported on this connection that it did not.
            on_crash_report: Called with a crash report of another entry.
            all_crashes: Returns all known crashes, for an agent that has connected.
            named_limit: Returns the limit that an engine has named, in requests per
                second; None for no limit.
            store_epoch: Returns the epoch of the platform's store; None if unknown.
            is_leaving: Returns whether an engine has said that it leaves.
            pause_left: Returns the time for which an engine wants no request.
        """
        self._loop = loop
        self._entry = entry
        self._peer_port = peer_port
        self._log = log
        self._on_draining = on_draining
        self._on_down = on_down
        self._on_serving = on_serving
        self._on_crash_report = on_crash_report
        self._all_crashes = all_crashes
        self._named_limit = named_limit
        self._store_epoch = store_epoch
        self._is_leaving = is_leaving
        self._pause_left = pause_left
        self._links: dict[str, AgentLink] = {}
        # Numbers of admission requests on all links: one of a link that was removed
        # must not be taken for another one on the link that replaces it.
        self._numbers = itertools.count(1)
        self._versions: dict[AdapterName, int] = {}
        # Versions before which an older one may still serve, the oldest first.
        self._recent_versions: deque[tuple[Seconds, AdapterName, int]] = deque()
        self._required_versions: dict[AdapterName, int] = {}
        # Highest fencing token reported for the engine at each address. It outlives the
        # agent, which may restart without the store and with its clock set back.
        self._tokens: dict[Address, int] = {}
        self.views: dict[str, EngineView] = {}
        # Connections to the agents that understand quotas, by instance id.
        self.quota_peers: dict[str, PeerConnection] = {}
        self.on_quota_agent: Callable[[str], None] = lambda _engine: None
        self.on_quota_agent_lost: Callable[[str, str], None] = lambda *_lost: None
        self.on_quota_grant: Callable[[str, QuotaGrant], None] = lambda *_grant: None
        loop.call_every(_HEARTBEAT_INTERVAL, self._send_heartbeats)

    @property
    def entries(self) -> int:
        """Number of entries that share the engines, as reported by the agents."""
        return max((view.entries for view in self.views.values()), default=1)

    def update(self, engines: dict[str, tuple[BackendServer, EngineSpec]]) -> None:
        """Adds, updates and removes connections to match the known engines."""
        for instance_id in [name for name in self._links if name not in engines]:
            self._remove(instance_id)
        for instance_id, (server, spec) in engines.items():
            link = self._links.get(instance_id)
            if link is None:
                self._add(instance_id, server, spec)
                continue
            has_changed = link.spec != spec
            link.server, link.spec = server, spec
            if has_changed and link.peer is not None:
                link.peer.send(self._hello_message(link))

    def announce_version(self, adapter: AdapterName, version: int) -> None:
        """Announces a version of an adapter to all agents unless it is outdated."""
        if version <= self._versions.get(adapter, 0):
            return
        self._versions[adapter] = version
        self._recent_versions.append((self._loop.now(), adapter, version))
        message = AdapterVersions([(adapter.model, adapter.adapter, version)])
        for link in self._links.values():
            if link.peer is not None:
                link.peer.send(message)

    def required_version(self, adapter: AdapterName | None) -> int:
        """Returns the oldest version of an adapter that may serve a request.

        Older ones had a grace period in which to be replaced.

        Returns:
            The version; 0 if any may.
        """
        grace_began = self._loop.now() - OUTDATED_VERSION_GRACE
        while self._recent_versions and self._recent_versions[0][0] <= grace_began:
            _, outdated, version = self._recent_versions.popleft()
            self._required_versions[outdated] = version
        return 0 if adapter is None else self._required_versions.get(adapter, 0)

    def expected_version(self, adapter: AdapterName | None) -> int:
        """Returns the version that an engine without an agent must hold.

        Engines compare for equality, so that it is the newest one even if that is in
        its grace period.

        Returns:
            The version; 0 if any may serve a request.
        """
        if adapter is None or not self.required_version(adapter):
            return 0
        return self._versions[adapter]

    def is_connected(self, instance_id: str) -> bool:
        """Returns whether the agent of an engine can receive admission requests."""
        view = self.views.get(instance_id)
        return view is not None and view.connected

    def may_connect_soon(self, instance_id: str) -> bool:
        """Returns whether an agent that has not connected yet may still be starting."""
        link = self._links.get(instance_id)
        if link is None or link.was_connected:
            return False
        return self._loop.now() - link.added_at < _AGENT_START_TIMEOUT

    def request_admission(
        self,
        instance_id: str,
        admission_request: AdmissionRequest,
        callbacks: AdmissionCallbacks,
    ) -> int:
        """Requests admission to an engine from its agent.

        Args:
            instance_id: Instance id of the engine.
            admission_request: Admission request; its number is replaced.
            callbacks: Called with the response of the agent.

        Returns:
            Number of the request on the connection.
        """
        link = self._links[instance_id]
        number = next(self._numbers)
        link.pending_requests[number] = callbacks
        link.view.pending_prefill += (
            admission_request.prompt_tokens * link.view.seconds_per_token
        )
        if link.peer is not None:
            link.peer.send(msgspec.structs.replace(admission_request, number=number))
        return number

    def report_first_event(self, instance_id: str, number: int) -> None:
        """Reports the first event of a request to the agent, and the engine's limit."""
        link = self._links.get(instance_id)
        limit = None if link is None else self._named_limit(link.server)
        self._send(instance_id, FirstEvent(number, limit))

    def report_done(self, instance_id: str, number: int) -> None:
        """Reports to the agent that a request ended or was cancelled."""
        link = self._links.get(instance_id)
        if link is None:
            return
        link.pending_requests.pop(number, None)
        pause_ms = int(self._pause_left(link.server) * _MS_PER_SECOND)
        self._send(instance_id, Done(number, self._named_limit(link.server), pause_ms))

    def report_leaving(self, instance_id: str) -> None:
        """Reports to the agent of an engine that the engine says that it leaves."""
        link = self._links.get(instance_id)
        if link is not None and link.peer is not None:
            link.peer.send(self._hello_message(link))

    def spread(self, report: CrashReport) -> None:
        """Sends a crash report to some agents, which pass it on to other entries."""
        links = [
            link
            for link in self._links.values()
            if link.view.connected and link.protocol >= CRASH_REPORT_VERSION
        ]
        for link in random.sample(links, min(_CRASH_REPORT_RELAYS, len(links))):
            if link.peer is not None:
                link.peer.send(report)

    def _send(self, instance_id: str, message: Message) -> None:
        link = self._links.get(instance_id)
        if link is not None and link.peer is not None:
            link.peer.send(message)

    def _add(self, instance_id: str, server: BackendServer, spec: EngineSpec) -> None:
        view = EngineView(instance_id, adapters=dict(server.adapters))
        self.views[instance_id] = view
        link = AgentLink(server, spec, view, added_at=self._loop.now())
        self._links[instance_id] = link
        self._connect(link)

    def _remove(self, instance_id: str) -> None:
        link = self._links.pop(instance_id)
        self.views.pop(instance_id, None)
        link.removed = True
        if link.peer is not None:
            link.peer.close("engine_removed")

    def _connect(self, link: AgentLink) -> None:
        if link.removed or link.peer is not None:
            return
        try:
            sock = open_stream()
        except OSError:
            # No file descriptor is free.
            self._schedule_reconnect(link)
            return
        try:
            start_connecting(sock, link.server.host, self._peer_port)
        except OSError:
            sock.close()
            self._schedule_reconnect(link)
            return
        link.peer = PeerConnection(
            self._loop,
            sock,
            on_message=lambda _peer, message: self._on_message(link, message),
            on_closed=lambda _peer, reason: self._on_closed(link, reason),
            connected=False,
        )
        link.peer.send(self._hello_message(link))
        versions = [
            (name.model, name.adapter, version)
            for name, version in self._versions.items()
        ]
        if versions:
            link.peer.send(AdapterVersions(versions))

    def _hello_message(self, link: AgentLink) -> Hello:
        spec = msgspec.json.encode(link.spec)
        server = link.server
        return Hello(
            self._entry,
            server.instance_id,
            server.start_time_ms,
            spec,
            PROTOCOL_VERSION,
            self._named_limit(server),
            self._is_leaving(server),
            self._tokens.get(_engine_address(server), 0),
        )

    def _on_closed(self, link: AgentLink, reason: str) -> None:
        link.peer = None
        if self.quota_peers.pop(link.server.instance_id, None) is not None:
            self.on_quota_agent_lost(link.server.instance_id, reason)
        link.has_all_crashes = False
        was_connected, link.view.connected = link.view.connected, False
        link.view.backlog = link.view.pending_prefill = link.view.pause = 0.0
        link.view.account_backlogs = {}
        if was_connected:
            self._log.event(
                "agent_lost",
                engine=link.server.instance_id,
                reason=reason,
                waiting=len(link.pending_requests),
            )
        pending_requests, link.pending_requests = link.pending_requests, {}
        if not link.removed:
            self._schedule_reconnect(link)
        for callbacks in pending_requests.values():
            callbacks.on_deny(None)

    def _schedule_reconnect(self, link: AgentLink) -> None:
        self._loop.call_later(link.retry_delay, lambda: self._connect(link))
        link.retry_delay = min(_MAX_RETRY_DELAY, 2 * link.retry_delay)

    def _on_message(self, link: AgentLink, message: Message) -> None:
        match message:
            case Grant():
                link.view.backlog = message.backlog_ms / _MS_PER_SECOND
                callbacks = link.pending_requests.pop(message.number, None)
                if callbacks is None:
                    self._send(link.server.instance_id, Done(message.number))
                else:
                    callbacks.on_grant(message)
            case Deny():
                callbacks = link.pending_requests.pop(message.number, None)
                if callbacks is not None:
                    callbacks.on_deny(message)
            case Decline():
                callbacks = link.pending_requests.pop(message.number, None)
                if callbacks is not None:
                    callbacks.on_decline(message)
            case Status():
                self._on_status(link, message)
            case CrashReport():
                self._on_crash_report(message)
            case QuotaGrant():
                self.on_quota_grant(link.server.instance_id, message)
            case HeldAdapters():
                self._on_held_adapters(link, message)
            case _:
                if link.peer is not None:
                    link.peer.close("unexpected_message")

    def _on_status(self, link: AgentLink, status: Status) -> None:
        view = link.view
        was_lost = view.connected and not view.serving
        if not view.connected:
            view.connected = link.was_connected = True
            link.retry_delay = _INITIAL_RETRY_DELAY
            self._log.event("agent_connected", engine=link.server.instance_id)
            link.protocol = status.protocol
            self._send_all_crashes(link)
        view.backlog = status.backlog_ms / _MS_PER_SECOND
        view.account_backlogs = {
            account: backlog_ms / _MS_PER_SECOND
            for account, backlog_ms in status.account_backlogs_ms.items()
        }
        view.pending_prefill = 0.0
        view.reported_at = self._loop.now()
        # The agent may serve a later incarnation than the one in the instance list.
        is_same_incarnation = status.engine_start_time_ms in (
            0,
            link.server.start_time_ms,
        )
        view.serving = status.serving and is_same_incarnation
        if not view.serving and status.engine_start_time_ms:
            self._on_down(link.server)
        if view.serving and status.engine_start_time_ms:
            self._on_serving(link.server, was_lost)
        view.pause = status.pause_ms / _MS_PER_SECOND if is_same_incarnation else 0.0
        view.entries = status.entries
        self._add_quota_peer(link)
        address = _engine_address(link.server)
        self._tokens[address] = max(status.token, self._tokens.get(address, 0))
        view.seconds_per_token = status.token_ns / _NS_PER_SECOND
        view.load_wait = status.load_wait_ms / _MS_PER_SECOND
        if status.draining and is_same_incarnation:
            self._on_draining(link.server.instance_id)

    def _add_quota_peer(self, link: AgentLink) -> None:
        instance_id = link.server.instance_id
        if link.protocol < QUOTA_VERSION or link.peer is None:
            return
        if instance_id not in self.quota_peers:
            self.quota_peers[instance_id] = link.peer
            self.on_quota_agent(instance_id)

    def _send_all_crashes(self, link: AgentLink) -> None:
        """Sends all known crashes to an agent, unless enough agents have them."""
        if link.peer is None or link.protocol < CRASH_REPORT_VERSION:
            return
        holders = sum(item.has_all_crashes for item in self._links.values())
        if holders >= _CRASH_REPORT_RELAYS:
            return
        link.has_all_crashes = True
        report = self._all_crashes()
        if report is not None:
            link.peer.send(report)

    def _on_held_adapters(self, link: AgentLink, message: HeldAdapters) -> None:
        if message.complete:
            link.view.adapters = {}
            link.view.recently_unloaded.clear()
        for model, adapter, version in message.held:
            name = AdapterName(model, adapter)
            link.view.adapters[name] = version
            link.view.recently_unloaded.discard(name)
        for model, adapter in message.dropped:
            name = AdapterName(model, adapter)
            link.view.adapters.pop(name, None)
            link.view.recently_unloaded.add(name)

    def _send_heartbeats(self) -> None:
        polled_at = self._loop.polled_at
        heartbeat = Heartbeat(self._store_epoch())
        for link in list(self._links.values()):
            if link.peer is None:
                continue
            timeout = _AGENT_TIMEOUT if link.view.connected else _CONNECT_TIMEOUT
            if polled_at - link.peer.last_received_at > timeout:
                link.peer.close("silent")
                continue
            link.peer.send(heartbeat)


def _engine_address(server: BackendServer) -> Address:
    return Address(server.host, server.port)
