"""Measures membership in one availability zone on a simulated network.

The members are the real cores, and every message is encoded and decoded. The network
models TCP: a lost segment is retransmitted after a timeout that doubles with every
attempt, and later data of the connection is delivered after it (head-of-line blocking).
A killed member does not close its connections.
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
# Ethernet, IP and TCP headers of a data segment; acknowledgements are not counted.
HEADER_BYTES = 66
_ENTRY_FRACTION = 0.1
_TICK: Seconds = 0.05
_LATENCY: Seconds = 0.000_5
_RETRANSMIT_TIMEOUT: Seconds = 0.2
_MAX_RETRANSMITS = 8
_WARM_UP: Seconds = 3.0
_MEASURED_TIME: Seconds = 6.0
_DETECTION_TIMEOUT: Seconds = 15.0
_CHANGE_COUNT = 3
_WORKERS = 3


@dataclass(frozen=True)
class MembershipResult:
    """Result of one run.

    Attributes:
        members: Number of members.
        entries: Number of entries among them.
        loss: Fraction of segments that are lost.
        entry_messages: Messages per second that an entry sends and receives.
        entry_bytes: Bytes per second of these messages, including headers.
        sidecar_messages: Messages per second that a sidecar sends and receives.
        sidecar_bytes: Bytes per second of these messages, including headers.
        death_detection: Time until no entry routes to a killed sidecar.
        drain_detection: Time until no entry routes to a draining sidecar.
        propagation_time: Longest time until a configuration change is in force on every
            live member.
        false_suspicions: Connections to live members that were closed as silent.
    """

    members: int
    entries: int
    loss: float
    entry_messages: float
    entry_bytes: float
    sidecar_messages: float
    sidecar_bytes: float
    death_detection: Seconds
    drain_detection: Seconds
    propagation_time: Seconds
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
class _ConnectionEnd:
    """One end of a connection.

    ``last_delivery_at`` is the delivery time of the latest message that this end sent;
    no later message is delivered before it.
    """

    number: int
    node: _Node
    other: "_ConnectionEnd | None" = None
    last_delivery_at: Seconds = 0.0
    is_open: bool = True


class Zone:
    """Entries and sidecars of one availability zone on a simulated network."""

    def __init__(self, members: int, loss: float, *, seed: int = 1) -> None:
        """Creates the members and gives each of them the same configuration."""
        self.now: Seconds = 0.0
        self.false_suspicions = 0
        self._rng = random.Random(seed)
        self._loss = loss
        self._events: list[tuple[Seconds, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._connection_numbers = itertools.count(1)
        self._ends: dict[tuple[str, int], _ConnectionEnd] = {}
        entries = math.ceil(members * _ENTRY_FRACTION)
        self.sidecars = [_build_sidecar(n) for n in range(members - entries)]
        self.entries = [_build_entry(n) for n in range(entries)]
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
        """Advances the simulation until the time is over or ``until`` holds.

        ``until`` is evaluated once per tick.

        Returns:
            The simulated time that passed.
        """
        started_at = self.now
        while self._events and self.now < started_at + seconds:
            at, _, action = heapq.heappop(self._events)
            has_ticked = int(at / _TICK) > int(self.now / _TICK)
            self.now = at
            action()
            if until is not None and has_ticked and until():
                return self.now - started_at
        return self.now - started_at

    def deliver_input(self, node: _Node, event: Any) -> None:
        """Passes an input to the core of a live member and performs its effects."""
        if node.is_alive:
            for effect in node.core.handle(event, now=self.now):
                self._perform(node, effect)

    def kill(self, node: _Node) -> None:
        """Stops a member without closing its connections."""
        node.is_alive = False

    def is_routable(self, name: str) -> bool:
        """Returns whether any entry still routes new requests to a sidecar."""
        return any(
            member.state in ("alive", "unknown")
            for entry in self.entries
            for member in entry.core.status(now=self.now).backend_servers
            if member.name == name
        )

    def is_in_force(self, revision: int) -> bool:
        """Returns whether every live member has reached a configuration revision."""
        stores = (
            node.core.store if node.peer.role is Role.ENTRY else node.core.configuration
            for node in self.nodes
            if node.is_alive
        )
        return all(store.revision >= revision for store in stores)

    def _start(self) -> None:
        resident = [AdapterVersion(f"adapter-{n:05d}", "v1") for n in range(RESIDENT)]
        for node in self.nodes:
            self.deliver_input(node, ConfigurationReceived(tuple(self.resources), 1))
            if node.peer.role is Role.SIDECAR:
                self.deliver_input(node, EngineReported("boot", frozenset(resident)))
                for version in resident:
                    self.deliver_input(node, AdapterLoaded(version, "boot"))
            self._call_at(
                self.now + self._rng.uniform(0, _TICK), partial(self._tick, node)
            )

    def _tick(self, node: _Node) -> None:
        if node.is_alive:
            self.deliver_input(node, Tick())
            self._call_at(self.now + _TICK, lambda: self._tick(node))

    def _call_at(self, when: Seconds, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._event_numbers), action))

    def _perform(self, node: _Node, effect: Any) -> None:
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
            # The connect attempt is never answered and ends by the entry's timeout.
            return
        entry_end, sidecar_end = (
            _ConnectionEnd(next(self._connection_numbers), item)
            for item in (node, target)
        )
        entry_end.other, sidecar_end.other = sidecar_end, entry_end
        self._ends[node.name, entry_end.number] = entry_end
        self._ends[target.name, sidecar_end.number] = sidecar_end
        opened_at = self.now + 3 * self._delay()

        def deliver() -> None:
            self.deliver_input(target, ConnectionOpened(sidecar_end.number, node.peer))
            self.deliver_input(
                node, ConnectionOpened(entry_end.number, target.peer, address)
            )

        entry_end.last_delivery_at = sidecar_end.last_delivery_at = opened_at
        self._call_at(opened_at, deliver)

    def _send(self, end: _ConnectionEnd, message: Message) -> None:
        data = frame(encode(message))
        end.node.messages += 1
        end.node.bytes += len(data) + HEADER_BYTES
        end.last_delivery_at = max(end.last_delivery_at, self.now + self._delay())
        self._call_at(end.last_delivery_at, lambda: self._deliver(end, data))

    def _deliver(self, end: _ConnectionEnd, data: bytes) -> None:
        other = end.other
        if other is None or not (end.is_open and other.is_open):
            return
        if not other.node.is_alive:
            return
        other.node.messages += 1
        other.node.bytes += len(data) + HEADER_BYTES
        message = decode(data[4:])
        assert not isinstance(message, Hello | Proof)
        self.deliver_input(other.node, MessageReceived(other.number, message))

    def _close(self, end: _ConnectionEnd | None, reason: str) -> None:
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
                self.deliver_input(other.node, ConnectionClosed(other.number, reason))

        self._call_at(max(end.last_delivery_at, self.now + self._delay()), deliver)

    def _delay(self) -> Seconds:
        """Returns the delivery delay of a segment, including retransmissions."""
        delay = _LATENCY
        for attempt in range(_MAX_RETRANSMITS):
            if self._rng.random() >= self._loss:
                break
            delay += _RETRANSMIT_TIMEOUT * 2**attempt
        return delay


def _build_entry(number: int) -> _Node:
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


def _build_sidecar(number: int) -> _Node:
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


def run_one(members: int, loss: float) -> MembershipResult:
    """Runs one number of members at one loss rate."""
    zone = Zone(members, loss)
    zone.run(_WARM_UP)
    for node in zone.nodes:
        node.messages = node.bytes = 0
    zone.run(_MEASURED_TIME)
    entry_messages, entry_bytes = _per_second(zone.entries)
    sidecar_messages, sidecar_bytes = _per_second(zone.sidecars)
    propagation_time = max(
        _measure_change(zone, 2 + number) for number in range(_CHANGE_COUNT)
    )
    first, second, *_ = zone.sidecars
    false_suspicions = zone.false_suspicions
    zone.deliver_input(first, DrainRequested())
    drain_detection = zone.run(
        _DETECTION_TIMEOUT, lambda: not zone.is_routable(first.name)
    )
    zone.kill(second)
    death_detection = zone.run(
        _DETECTION_TIMEOUT, lambda: not zone.is_routable(second.name)
    )
    return MembershipResult(
        members,
        len(zone.entries),
        loss,
        entry_messages,
        entry_bytes,
        sidecar_messages,
        sidecar_bytes,
        death_detection,
        drain_detection,
        propagation_time,
        false_suspicions,
    )


def _per_second(nodes: Sequence[_Node]) -> tuple[float, float]:
    total = len(nodes) * _MEASURED_TIME
    return (
        sum(node.messages for node in nodes) / total,
        sum(node.bytes for node in nodes) / total,
    )


def _measure_change(zone: Zone, revision: int) -> Seconds:
    changed = adapters(1, revision=revision)
    event = ConfigurationReceived(tuple(changed), revision, base=revision - 1)
    zone.deliver_input(zone.entries[0], event)
    return zone.run(_DETECTION_TIMEOUT, lambda: zone.is_in_force(revision))


def measure() -> list[MembershipResult]:
    """Runs every number of members at every loss rate."""
    runs = [(members, loss) for members in reversed(SIZES) for loss in LOSSES]
    with ProcessPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(run_one, *zip(*runs, strict=True)))
    return sorted(results, key=lambda item: (item.loss, item.members))


def slopes(results: Sequence[MembershipResult]) -> list[Slope]:
    """Returns the traffic of an idle entry by number of connections, without loss."""
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


def table(results: Sequence[MembershipResult]) -> str:
    """Returns the results as a Markdown table."""
    rows = [
        "| members (entries) | loss | messages/s entry | bytes/s entry | messages/s "
        "sidecar | bytes/s sidecar | death known | leaving known | change in force | "
        "false suspicions |",
        "|---|---|---|---|---|---|---|---|---|---|",
        *_table_rows(results),
    ]
    return "\n".join(rows)


def _table_rows(results: Sequence[MembershipResult]) -> Iterator[str]:
    for item in results:
        yield (
            f"| {item.members} ({item.entries}) | {item.loss:.0%} | "
            f"{item.entry_messages:.0f} | {item.entry_bytes:,.0f} | "
            f"{item.sidecar_messages:.1f} | {item.sidecar_bytes:,.0f} | "
            f"{_format_time(item.death_detection)} | "
            f"{_format_time(item.drain_detection)} | "
            f"{_format_time(item.propagation_time)} | "
            f"{item.false_suspicions} |"
        )


def _format_time(seconds: Seconds) -> str:
    return (
        f"over {_DETECTION_TIMEOUT:.0f} s"
        if seconds >= _DETECTION_TIMEOUT
        else f"{seconds:.2f} s"
    )
