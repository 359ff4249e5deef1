"""Members of one availability zone on an in-memory network with an explicit clock.

The members are the real cores; every message passes the codec. The network behaves as
TCP does: a lost segment is sent again after a timeout that doubles, and what was sent
after it waits. A member that dies closes nothing.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec

from benchmarks.fleet_sample import adapters, rules, servers
from benchmarks.idle_run import with_addresses
from benchmarks.peers import shared_keys
from benchmarks.slopes import Slope
from fighitch.core.effects import Connect, Disconnect, LogEvent, Send, Stop
from fighitch.core.entry import EntryCore
from fighitch.core.inputs import (
    AdapterLoaded,
    ConfigurationReceived,
    ConnectionClosed,
    ConnectionOpened,
    DrainRequested,
    EngineReported,
    MessageReceived,
    Tick,
)
from fighitch.core.messages import AdapterVersion, Message, Peer, Role
from fighitch.core.resources import Resource
from fighitch.core.sidecar import SidecarCore, SidecarSettings
from fighitch.core.tickets import TicketSigner
from fighitch.types import Seconds
from fighitch.wire.codec import Hello, Proof, decode, encode
from fighitch.wire.framing import frame

COMMAND = "python -m benchmarks.capacity --part membership"
SIZES = (25, 50, 100, 200)
LOSSES = (0.0, 0.05, 0.2)
RESIDENT = 8
# Ethernet, IP and TCP headers of a segment, without acknowledgements.
HEADER_BYTES = 66
_ENTRY_SHARE = 0.1
_TICK: Seconds = 0.05
_LATENCY: Seconds = 0.000_5
_RETRANSMIT: Seconds = 0.2
_MAX_RETRANSMITS = 8
_WARM_UP: Seconds = 3.0
_STEADY: Seconds = 6.0
_LIMIT: Seconds = 15.0
_CHANGES = 3
_WORKERS = 3


@dataclass(frozen=True)
class Result:
    """What one run showed.

    Attributes:
        members: Number of members.
        entries: Number of entries among them.
        loss: Share of segments that are lost.
        entry_messages: Messages that an entry sends and receives in a second.
        entry_bytes: Their bytes, headers included.
        sidecar_messages: The same for a sidecar.
        sidecar_bytes: Their bytes, headers included.
        death: Time until no entry routes to a dead sidecar.
        leaving: Time until no entry routes to a leaving sidecar.
        change: Time until a change is in force everywhere.
        false_suspicions: Connections to living members given up as silent.
    """

    members: int
    entries: int
    loss: float
    entry_messages: float
    entry_bytes: float
    sidecar_messages: float
    sidecar_bytes: float
    death: Seconds
    leaving: Seconds
    change: Seconds
    false_suspicions: int


@dataclass(eq=False)
class _Node:
    name: str
    address: str
    peer: Peer
    core: Any
    messages: int = 0
    bytes: int = 0
    is_alive: bool = True


@dataclass(eq=False)
class _End:
    """One end of a connection; ``free_at`` keeps what it sends in order."""

    number: int
    node: _Node
    other: "_End | None" = None
    free_at: Seconds = 0.0
    is_open: bool = True


class Zone:
    """Entries and sidecars, all connected by an in-memory network."""

    def __init__(self, members: int, loss: float, *, seed: int = 1) -> None:
        """Creates the members; they get the same configuration."""
        self.now: Seconds = 0.0
        self.false_suspicions = 0
        self._rng = random.Random(seed)
        self._loss = loss
        self._events: list[tuple[Seconds, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._ends: dict[tuple[str, int], _End] = {}
        entries = math.ceil(members * _ENTRY_SHARE)
        self.sidecars = [_sidecar(n) for n in range(members - entries)]
        self.entries = [_entry(n) for n in range(entries)]
        self.nodes = [*self.entries, *self.sidecars]
        self._by_address = {node.address: node for node in self.sidecars}
        self.resources = [
            *adapters(20),
            *rules(),
            *with_addresses(
                servers(len(self.sidecars)), [node.address for node in self.sidecars]
            ),
        ]
        self._start()

    def run(self, seconds: Seconds, until: Callable[[], bool] | None = None) -> Seconds:
        """Lets time pass; returns the time that it took for ``until`` to hold."""
        began = self.now
        while self._events and self.now < began + seconds:
            at, _, action = heapq.heappop(self._events)
            ticked = int(at / _TICK) > int(self.now / _TICK)
            self.now = at
            action()
            if until is not None and ticked and until():
                return self.now - began
        return self.now - began

    def give(self, node: _Node, event: Any) -> None:
        """Hands an input to a member."""
        if node.is_alive:
            for effect in node.core.handle(event, now=self.now):
                self._apply(node, effect)

    def kill(self, node: _Node) -> None:
        """Ends a member without a word."""
        node.is_alive = False

    def is_routable(self, name: str) -> bool:
        """Returns whether any entry would send new work to a sidecar."""
        return any(
            member.state in ("alive", "unknown")
            for entry in self.entries
            for member in entry.core.status(now=self.now).members
            if member.name == name
        )

    def is_in_force(self, revision: int) -> bool:
        """Returns whether every living member has reached a revision."""
        stores = (
            node.core.store if node.peer.role is Role.ENTRY else node.core.configuration
            for node in self.nodes
            if node.is_alive
        )
        return all(store.revision >= revision for store in stores)

    def _start(self) -> None:
        resident = [AdapterVersion(f"adapter-{n:05d}", "v1") for n in range(RESIDENT)]
        for node in self.nodes:
            self.give(node, ConfigurationReceived(tuple(self.resources), 1))
            if node.peer.role is Role.SIDECAR:
                self.give(node, EngineReported("boot", frozenset(resident)))
                for version in resident:
                    self.give(node, AdapterLoaded(version, "boot"))
            self._at(self.now + self._rng.uniform(0, _TICK), partial(self._tick, node))

    def _tick(self, node: _Node) -> None:
        if node.is_alive:
            self.give(node, Tick())
            self._at(self.now + _TICK, lambda: self._tick(node))

    def _at(self, when: Seconds, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _apply(self, node: _Node, effect: Any) -> None:
        if isinstance(effect, Send):
            end = self._ends.get((node.name, effect.connection))
            if end is not None:
                self._send(end, effect.message)
        elif isinstance(effect, Connect):
            self._connect(node, effect.address)
        elif isinstance(effect, Disconnect):
            self._close(self._ends.get((node.name, effect.connection)), effect.reason)
        elif isinstance(effect, Stop):
            node.is_alive = False
            for end in [item for item in self._ends.values() if item.node is node]:
                self._close(end, "stopped")
        elif isinstance(effect, LogEvent):
            pass

    def _connect(self, node: _Node, address: str) -> None:
        target = self._by_address[address]
        if not target.is_alive:
            # Nobody answers; the entry's own timeout ends the attempt.
            return
        near, far = (_End(next(self._numbers), item) for item in (node, target))
        near.other, far.other = far, near
        self._ends[node.name, near.number] = near
        self._ends[target.name, far.number] = far
        on_opened = self.now + 3 * self._delay()

        def deliver() -> None:
            self.give(target, ConnectionOpened(far.number, node.peer))
            self.give(node, ConnectionOpened(near.number, target.peer, address))

        near.free_at = far.free_at = on_opened
        self._at(on_opened, deliver)

    def _send(self, end: _End, message: Message) -> None:
        data = frame(encode(message))
        end.node.messages += 1
        end.node.bytes += len(data) + HEADER_BYTES
        end.free_at = max(end.free_at, self.now + self._delay())
        self._at(end.free_at, lambda: self._deliver(end, data))

    def _deliver(self, end: _End, data: bytes) -> None:
        other = end.other
        if other is None or not (end.is_open and other.is_open):
            return
        if not other.node.is_alive:
            return
        other.node.messages += 1
        other.node.bytes += len(data) + HEADER_BYTES
        message = decode(data[4:])
        assert not isinstance(message, Hello | Proof)
        self.give(other.node, MessageReceived(other.number, message))

    def _close(self, end: _End | None, reason: str) -> None:
        if end is None or not end.is_open or end.other is None:
            return
        end.is_open = False
        self._ends.pop((end.node.name, end.number), None)
        other = end.other
        if reason == "silent" and other.node.is_alive:
            self.false_suspicions += 1

        def deliver() -> None:
            if other.is_open:
                other.is_open = False
                self._ends.pop((other.node.name, other.number), None)
                self.give(other.node, ConnectionClosed(other.number, reason))

        self._at(max(end.free_at, self.now + self._delay()), deliver)

    def _delay(self) -> Seconds:
        """Returns the time until a segment gets through."""
        delay = _LATENCY
        for attempt in range(_MAX_RETRANSMITS):
            if self._rng.random() >= self._loss:
                break
            delay += _RETRANSMIT * 2**attempt
        return delay


def _entry(number: int) -> _Node:
    name = f"entry-{number}"
    core = EntryCore(
        name,
        number + 1,
        signer=TicketSigner(shared_keys()),
        rng=random.Random(number),
        availability_zone="zone-0",
        region="region-0",
    )
    return _Node(name, "", Peer(Role.ENTRY, name, number + 1, "zone-0"), core)


def _sidecar(number: int) -> _Node:
    resource: Resource = servers(number + 1)[number]
    address = resource.spec.address
    core = SidecarCore(
        resource.name,
        number + 1,
        msgspec.structs.replace(resource.spec, model="base-0"),
        TicketSigner(shared_keys()),
        SidecarSettings(),
        random.Random(number),
    )
    peer = Peer(Role.SIDECAR, resource.name, number + 1, "zone-0")
    return _Node(resource.name, address, peer, core)


def run_one(members: int, loss: float) -> Result:
    """Runs one size at one loss."""
    zone = Zone(members, loss)
    zone.run(_WARM_UP)
    for node in zone.nodes:
        node.messages = node.bytes = 0
    zone.run(_STEADY)
    entry_messages, entry_bytes = _per_second(zone.entries)
    sidecar_messages, sidecar_bytes = _per_second(zone.sidecars)
    change = max(_change(zone, 2 + number) for number in range(_CHANGES))
    first, second, *_ = zone.sidecars
    suspicions = zone.false_suspicions
    zone.give(first, DrainRequested())
    leaving = zone.run(_LIMIT, lambda: not zone.is_routable(first.name))
    zone.kill(second)
    death = zone.run(_LIMIT, lambda: not zone.is_routable(second.name))
    return Result(
        members,
        len(zone.entries),
        loss,
        entry_messages,
        entry_bytes,
        sidecar_messages,
        sidecar_bytes,
        death,
        leaving,
        change,
        suspicions,
    )


def _per_second(nodes: Sequence[_Node]) -> tuple[float, float]:
    total = len(nodes) * _STEADY
    return (
        sum(node.messages for node in nodes) / total,
        sum(node.bytes for node in nodes) / total,
    )


def _change(zone: Zone, revision: int) -> Seconds:
    changed = adapters(1, revision=revision)
    event = ConfigurationReceived(tuple(changed), revision, base=revision - 1)
    zone.give(zone.entries[0], event)
    return zone.run(_LIMIT, lambda: zone.is_in_force(revision))


def measure() -> list[Result]:
    """Runs every size at every loss."""
    runs = [(members, loss) for members in reversed(SIZES) for loss in LOSSES]
    with ProcessPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(run_one, *zip(*runs, strict=True)))
    return sorted(results, key=lambda item: (item.loss, item.members))


def slopes(results: Sequence[Result]) -> list[Slope]:
    """Returns bytes and messages over the connections of a member, without loss."""
    clean = [item for item in results if item.loss == 0]
    connections = [item.members - item.entries for item in clean]
    return [
        Slope(
            f"{unit.removesuffix('/s')} a second of an idle entry",
            "connection",
            unit,
            tuple(zip(connections, values, strict=True)),
            COMMAND,
        )
        for unit, values in (
            ("messages/s", [item.entry_messages for item in clean]),
            ("bytes/s", [item.entry_bytes for item in clean]),
        )
    ]


def table(results: Sequence[Result]) -> str:
    """Returns the results as a Markdown table."""
    rows = [
        "| members (entries) | loss | messages/s entry | bytes/s entry | messages/s "
        "sidecar | bytes/s sidecar | death known | leaving known | change in force | "
        "false suspicions |",
        "|---|---|---|---|---|---|---|---|---|---|",
        *_rows(results),
    ]
    return "\n".join(rows)


def _rows(results: Sequence[Result]) -> Iterator[str]:
    for item in results:
        yield (
            f"| {item.members} ({item.entries}) | {item.loss:.0%} | "
            f"{item.entry_messages:.0f} | {item.entry_bytes:,.0f} | "
            f"{item.sidecar_messages:.1f} | {item.sidecar_bytes:,.0f} | "
            f"{_time(item.death)} | {_time(item.leaving)} | {_time(item.change)} | "
            f"{item.false_suspicions} |"
        )


def _time(seconds: Seconds) -> str:
    return f"over {_LIMIT:.0f} s" if seconds >= _LIMIT else f"{seconds:.2f} s"
