"""Connections of an entry to the agents beside the engines."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from fighitch.core.gateway.backend_choice import EngineView
from fighitch.core.gateway.model import AdapterName, BackendServer, EngineSpec
from fighitch.gateway.peer_connection import PeerConnection
from fighitch.gateway.peer_messages import (
    AdapterVersions,
    Ask,
    Decline,
    Deny,
    Done,
    Grant,
    Heartbeat,
    HeldAdapters,
    Hello,
    Message,
    Started,
    Status,
)
from fighitch.observability.bounded_log import BoundedLog
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.sockets import open_stream
from fighitch.types import Seconds

_MS = 1_000
_NS = 1_000_000_000
_HEARTBEAT: Seconds = 0.5
# An agent sends its status every 0.25 s.
_AGENT_SILENCE: Seconds = 0.9
_CONNECT_TIMEOUT: Seconds = 0.7
# After a loss of power agents start within about a second of entries. Until then the
# list names incarnations that are gone.
_STARTING_AGENT: Seconds = 1.5
_FIRST_RETRY: Seconds = 0.1
_LONGEST_RETRY: Seconds = 0.8

OnGrant = Callable[[Grant], None]
OnDecline = Callable[[Decline], None]
OnDeny = Callable[[Deny | None], None]


@dataclass(frozen=True, slots=True)
class PlaceWaiter:
    """Who waits for the answer of an agent.

    Attributes:
        on_grant: Called when the request may be sent.
        on_decline: Called when it would be late there and others should be asked.
        on_deny: Called when it may not; None if the agent was lost.
    """

    on_grant: OnGrant
    on_decline: OnDecline
    on_deny: OnDeny


@dataclass(slots=True)
class AgentLink:
    """Connection to one agent and what it told of its engine."""

    server: BackendServer
    spec: EngineSpec
    view: EngineView
    peer: PeerConnection | None = None
    waiters: dict[int, PlaceWaiter] = field(default_factory=dict)
    next_number: int = 1
    retry: Seconds = _FIRST_RETRY
    removed: bool = False
    was_connected: bool = False
    known_since: Seconds = 0.0


class AgentLinks:
    """Keeps a connection to the agent of each engine."""

    def __init__(
        self,
        loop: EventLoop,
        *,
        entry: str,
        peer_port: int,
        log: BoundedLog,
        on_draining: Callable[[str], None],
    ) -> None:
        """Starts the heartbeats.

        Args:
            loop: Calls back.
            entry: Name of this instance.
            peer_port: Port of every agent.
            log: Receives lost and regained agents.
            on_draining: Called with the id of an engine that is leaving.
        """
        self._loop = loop
        self._entry = entry
        self._peer_port = peer_port
        self._log = log
        self._on_draining = on_draining
        self._links: dict[str, AgentLink] = {}
        self._versions: dict[AdapterName, int] = {}
        self.views: dict[str, EngineView] = {}
        loop.call_every(_HEARTBEAT, self._beat)

    @property
    def entries(self) -> int:
        """Number of entries that share the fleet, as the agents see it."""
        return max((view.entries for view in self.views.values()), default=1)

    def update(self, engines: dict[str, tuple[BackendServer, EngineSpec]]) -> None:
        """Takes the engines that are known now."""
        for instance_id in [name for name in self._links if name not in engines]:
            self._remove(instance_id)
        for instance_id, (server, spec) in engines.items():
            link = self._links.get(instance_id)
            if link is None:
                self._add(instance_id, server, spec)
                continue
            if link.spec != spec and link.peer is not None:
                link.spec = spec
                link.peer.send(self._hello(link))
            link.server = server

    def announce_version(self, adapter: AdapterName, version: int) -> None:
        """Tells all agents of a version."""
        if version <= self._versions.get(adapter, 0):
            return
        self._versions[adapter] = version
        message = AdapterVersions([(adapter.model, adapter.adapter, version)])
        for link in self._links.values():
            if link.peer is not None:
                link.peer.send(message)

    def version(self, adapter: AdapterName) -> int:
        """Returns the newest announced version of an adapter, 0 if none was."""
        return self._versions.get(adapter, 0)

    def is_connected(self, instance_id: str) -> bool:
        """Whether the agent of an engine can be asked."""
        view = self.views.get(instance_id)
        return view is not None and view.connected

    def may_connect_soon(self, instance_id: str) -> bool:
        """Whether an agent that never answered may just not have started yet."""
        link = self._links.get(instance_id)
        if link is None or link.was_connected:
            return False
        return self._loop.now() - link.known_since < _STARTING_AGENT

    def ask(self, instance_id: str, ask: Ask, waiter: PlaceWaiter) -> int:
        """Asks for a place on an engine.

        Args:
            instance_id: The engine.
            ask: The request; its number is replaced.
            waiter: Called with the answer.

        Returns:
            Number of the request on the connection.
        """
        link = self._links[instance_id]
        number = link.next_number
        link.next_number += 1
        link.waiters[number] = waiter
        link.view.pending += ask.prompt_tokens * link.view.seconds_per_token
        if link.peer is not None:
            link.peer.send(msgspec.structs.replace(ask, number=number))
        return number

    def started(self, instance_id: str, number: int) -> None:
        """Tells of the first event of a request."""
        self._send(instance_id, Started(number))

    def done(self, instance_id: str, number: int) -> None:
        """Tells of the end of a request, or that it is not wanted any more."""
        link = self._links.get(instance_id)
        if link is not None:
            link.waiters.pop(number, None)
        self._send(instance_id, Done(number))

    def _send(self, instance_id: str, message: Message) -> None:
        link = self._links.get(instance_id)
        if link is not None and link.peer is not None:
            link.peer.send(message)

    def _add(self, instance_id: str, server: BackendServer, spec: EngineSpec) -> None:
        view = EngineView(instance_id, adapters=dict(server.adapters))
        self.views[instance_id] = view
        link = AgentLink(server, spec, view, known_since=self._loop.now())
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
        sock = open_stream()
        try:
            sock.connect((link.server.host, self._peer_port))
        except BlockingIOError:
            pass
        except OSError:
            sock.close()
            self._retry(link)
            return
        link.peer = PeerConnection(
            self._loop,
            sock,
            on_message=lambda _peer, message: self._on_message(link, message),
            on_closed=lambda _peer, reason: self._on_closed(link, reason),
            connected=False,
        )
        link.peer.send(self._hello(link))
        versions = [
            (name.model, name.adapter, version)
            for name, version in self._versions.items()
        ]
        if versions:
            link.peer.send(AdapterVersions(versions))

    def _hello(self, link: AgentLink) -> Hello:
        spec = msgspec.json.encode(link.spec)
        server = link.server
        return Hello(self._entry, server.instance_id, server.start_time_ms, spec)

    def _on_closed(self, link: AgentLink, reason: str) -> None:
        link.peer = None
        was_connected, link.view.connected = link.view.connected, False
        link.view.backlog = link.view.pending = 0.0
        if was_connected:
            self._log.event(
                "agent_lost",
                engine=link.server.instance_id,
                reason=reason,
                waiting=len(link.waiters),
            )
        waiters, link.waiters = link.waiters, {}
        if not link.removed:
            self._retry(link)
        for waiter in waiters.values():
            waiter.on_deny(None)

    def _retry(self, link: AgentLink) -> None:
        self._loop.call_later(link.retry, lambda: self._connect(link))
        link.retry = min(_LONGEST_RETRY, 2 * link.retry)

    def _on_message(self, link: AgentLink, message: Message) -> None:
        match message:
            case Grant():
                link.view.backlog = message.backlog_ms / _MS
                waiter = link.waiters.pop(message.number, None)
                if waiter is None:
                    self._send(link.server.instance_id, Done(message.number))
                else:
                    waiter.on_grant(message)
            case Deny():
                waiter = link.waiters.pop(message.number, None)
                if waiter is not None:
                    waiter.on_deny(message)
            case Decline():
                waiter = link.waiters.pop(message.number, None)
                if waiter is not None:
                    waiter.on_decline(message)
            case Status():
                self._on_status(link, message)
            case HeldAdapters():
                self._on_held(link, message)
            case _:
                if link.peer is not None:
                    link.peer.close("unexpected_message")

    def _on_status(self, link: AgentLink, status: Status) -> None:
        view = link.view
        if not view.connected:
            view.connected = link.was_connected = True
            link.retry = _FIRST_RETRY
            self._log.event("agent_connected", engine=link.server.instance_id)
        view.backlog = status.backlog_ms / _MS
        view.pending = 0.0
        # The agent may serve a later incarnation than the list names.
        same = status.engine_born_ms in (0, link.server.start_time_ms)
        view.serving = status.serving and same
        view.entries = status.entries
        view.seconds_per_token = status.token_ns / _NS
        view.load_wait = status.load_wait_ms / _MS
        if status.draining and same:
            self._on_draining(link.server.instance_id)

    def _on_held(self, link: AgentLink, message: HeldAdapters) -> None:
        if message.complete:
            link.view.adapters = {}
            link.view.recent.clear()
        for model, adapter, version in message.held:
            name = AdapterName(model, adapter)
            link.view.adapters[name] = version
            link.view.recent.discard(name)
        for model, adapter in message.dropped:
            name = AdapterName(model, adapter)
            link.view.adapters.pop(name, None)
            link.view.recent.add(name)

    def _beat(self) -> None:
        now = self._loop.now()
        for link in list(self._links.values()):
            if link.peer is None:
                continue
            limit = _AGENT_SILENCE if link.view.connected else _CONNECT_TIMEOUT
            if now - link.peer.last_heard > limit:
                link.peer.close("silent")
                continue
            link.peer.send(Heartbeat())
