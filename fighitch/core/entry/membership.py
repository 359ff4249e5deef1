"""Membership and liveness of sidecars, as observed by one entry.

Liveness is inferred from traffic. The instance list of the platform lags behind, so it
only provides hints and never changes a member's state to alive or dead.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from fighitch.core.entry.settings import EntrySettings
from fighitch.core.messages import Heartbeat, LoadReport
from fighitch.core.resources import Resource
from fighitch.types import Incarnation, InstanceName, Seconds


class MemberState(Enum):
    """Liveness of a sidecar.

    The backend server of an impaired sidecar does not respond. Without this state, its
    empty queue would attract requests.
    """

    UNKNOWN = "unknown"
    ALIVE = "alive"
    IMPAIRED = "impaired"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


ROUTABLE_STATES = frozenset({MemberState.UNKNOWN, MemberState.ALIVE})


@dataclass(slots=True)
class Member:
    """One sidecar; it has the name of its backend server.

    Attributes:
        server: Configuration of the backend server.
        state: Liveness of the sidecar.
        incarnation: Last known incarnation; None before the first connection.
        ticket_epoch: Epoch for new tickets; None until the first heartbeat.
        report: Last load report.
        in_flight: Number of this entry's requests that are bound to the sidecar.
        in_flight_at_report: Value of ``in_flight`` when the last report arrived.
        suspect_since: Time at which the state became suspect.
        is_silent: Whether a timeout made it suspect, as opposed to a closed or refused
            connection.
        is_listed_leaving: Whether the instance list shows the instance as leaving.
        failures: Number of consecutive failed connection attempts.
        next_connect_at: Earliest time of the next connection attempt.
        refused_until: Time until which the sidecar rejects requests, by rank.
    """

    server: Resource
    state: MemberState = MemberState.UNKNOWN
    incarnation: Incarnation | None = None
    ticket_epoch: int | None = None
    report: LoadReport | None = None
    in_flight: int = 0
    in_flight_at_report: int = 0
    suspect_since: Seconds = 0.0
    is_silent: bool = False
    is_listed_leaving: bool = False
    failures: int = 0
    next_connect_at: Seconds = 0.0
    refused_until: dict[int, Seconds] = field(default_factory=dict)

    @property
    def name(self) -> InstanceName:
        """Name of the backend server and its sidecar."""
        return self.server.name

    @property
    def address(self) -> str:
        """``ip:port`` of the sidecar."""
        return self.server.spec.address

    @property
    def availability_zone(self) -> str:
        """Availability zone of the sidecar."""
        return self.server.spec.availability_zone

    @property
    def batch_size(self) -> int:
        """Number of requests that the backend server runs concurrently."""
        reported = self.report.batch_size if self.report else 0
        return max(1, reported or self.server.spec.batch_size)

    def load(self, rank: int) -> int:
        """Returns the number of requests that run or are queued ahead of a rank.

        The last report is corrected by the requests that this entry has sent and
        finished since.
        """
        if self.report is None:
            return self.in_flight
        reported = sum(self.report.running) + sum(self.report.queued[: rank + 1])
        return max(self.in_flight, reported + self.in_flight - self.in_flight_at_report)

    def utilisation(self, rank: int) -> float:
        """Returns the load relative to the batch size."""
        return self.load(rank) / self.batch_size

    def is_resident(self, adapter_version: str) -> bool:
        """Returns whether the adapter version was loaded at the last report."""
        return self.report is not None and adapter_version in self.report.resident


@dataclass(frozen=True, slots=True)
class ZoneCut:
    """Start or end of a suspected network partition from an availability zone.

    Attributes:
        availability_zone: Zone whose members are silent.
        silent: Number of silent members.
        members: Number of members with known state, other than dead ones.
        is_cut: Whether the zone is now cut off; False if it returned.
    """

    availability_zone: str
    silent: int
    members: int
    is_cut: bool


@dataclass(frozen=True, slots=True)
class MemberDied:
    """A suspect member was declared dead."""

    name: InstanceName


MemberEvent = ZoneCut | MemberDied


class Members:
    """Sidecars of the configured backend servers."""

    def __init__(self, *, settings: EntrySettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._members: dict[InstanceName, Member] = {}
        self._by_address: dict[str, Member] = {}
        self._suspects: set[InstanceName] = set()
        self._cut_zones: set[str] = set()

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    @property
    def cut_zones(self) -> frozenset[str]:
        """Availability zones that are considered partitioned from this entry."""
        return frozenset(self._cut_zones)

    def get(self, name: InstanceName) -> Member | None:
        """Returns the member with that name, or None."""
        return self._members.get(name)

    def at_address(self, address: str) -> Member | None:
        """Returns the member with that address, or None."""
        return self._by_address.get(address)

    def sync(self, servers: Iterable[Resource]) -> None:
        """Applies the configured backend servers.

        A member keeps its state unless its address changed.
        """
        known = self._members
        self._members = {}
        for server in servers:
            member = known.get(server.name) or Member(server)
            if member.address != server.spec.address:
                member = Member(server)
            member.server = server
            self._members[server.name] = member
        self._by_address = {member.address: member for member in self}
        self._suspects &= self._members.keys()

    def on_opened(self, member: Member, incarnation: Incarnation) -> bool:
        """Records an authenticated connection.

        Returns:
            Whether the sidecar restarted since the last connection.
        """
        restarted = member.incarnation not in (None, incarnation)
        if member.incarnation != incarnation:
            member.ticket_epoch = None
            member.report = None
            member.in_flight_at_report = 0
            member.refused_until.clear()
        member.incarnation = incarnation
        member.state = MemberState.ALIVE
        member.failures = 0
        member.is_silent = False
        self._suspects.discard(member.name)
        return restarted

    def apply_heartbeat(self, member: Member, heartbeat: Heartbeat) -> None:
        """Applies a heartbeat of the sidecar."""
        member.ticket_epoch = heartbeat.ticket_epoch
        member.state = _state_from_heartbeat(heartbeat)
        if heartbeat.load is not None:
            member.report = heartbeat.load
            member.in_flight_at_report = member.in_flight

    def mark_leaving(self, member: Member) -> None:
        """Records that the sidecar accepts no new requests."""
        member.state = MemberState.LEAVING

    def on_idle_close(self, member: Member) -> None:
        """Records that this entry closed an idle connection."""
        if member.state is MemberState.ALIVE:
            member.state = MemberState.UNKNOWN

    def on_lost(self, member: Member, now: Seconds, *, silent: bool) -> None:
        """Records that a connection timed out, was closed or could not be opened."""
        if member.state not in (MemberState.SUSPECT, MemberState.DEAD):
            member.state = MemberState.SUSPECT
            member.suspect_since = now
            self._suspects.add(member.name)
        member.is_silent = silent
        member.next_connect_at = now + self._reconnect_delay(member)

    def on_connect_failed(self, member: Member, now: Seconds, *, silent: bool) -> None:
        """Records a failed connection attempt."""
        member.failures += 1
        self.on_lost(member, now, silent=silent)

    def apply_instance_list(
        self,
        *,
        live: frozenset[InstanceName],
        leaving: frozenset[InstanceName],
        now: Seconds,
    ) -> None:
        """Applies hints of the instance list.

        The back-off of a dead member that is listed as live is reset, and a member that
        is listed as leaving is selected last.
        """
        for member in self:
            member.is_listed_leaving = member.name in leaving
            if member.name in live and member.state is MemberState.DEAD:
                member.failures = 0
                member.next_connect_at = now + self._reconnect_delay(member)

    def has_ended(self, name: InstanceName, incarnation: Incarnation) -> bool:
        """Returns whether an incarnation is known to have ended."""
        member = self._members.get(name)
        if member is None:
            return True
        return member.incarnation not in (None, incarnation)

    def detect_failures(self, now: Seconds) -> list[MemberEvent]:
        """Detects zone cuts and declares members dead after the suspicion timeout.

        Silent members of a cut zone stay suspect.
        """
        if not self._suspects and not self._cut_zones:
            return []
        events: list[MemberEvent] = list(self._find_zone_cuts())
        for name in sorted(self._suspects):
            member = self._members[name]
            if member.availability_zone in self._cut_zones and member.is_silent:
                continue
            if now - member.suspect_since >= self._settings.suspicion_timeout:
                member.state = MemberState.DEAD
                self._suspects.discard(name)
                events.append(MemberDied(name))
        return events

    def _find_zone_cuts(self) -> Iterator[ZoneCut]:
        zones = {self._members[name].availability_zone for name in self._suspects}
        for zone in sorted(zones | self._cut_zones):
            in_contact = [
                member
                for member in self
                if member.availability_zone == zone
                and member.state is not MemberState.UNKNOWN
                and member.state is not MemberState.DEAD
            ]
            silent = sum(
                member.state is MemberState.SUSPECT and member.is_silent
                for member in in_contact
            )
            is_cut = (
                silent >= self._settings.zone_cut_min_members
                and silent >= self._settings.zone_cut_fraction * len(in_contact)
            )
            if is_cut == (zone in self._cut_zones):
                continue
            self._cut_zones.symmetric_difference_update({zone})
            yield ZoneCut(zone, silent, len(in_contact), is_cut)

    def _reconnect_delay(self, member: Member) -> Seconds:
        """Returns an exponential back-off delay with full jitter.

        The jitter prevents many entries from connecting at once.
        """
        # The bound of the exponent prevents an overflow; the cap is reached earlier.
        base = self._settings.reconnect_delay_base * 2 ** min(member.failures, 16)
        return self._rng.uniform(0, min(self._settings.reconnect_delay_cap, base))


def _state_from_heartbeat(heartbeat: Heartbeat) -> MemberState:
    if heartbeat.draining:
        return MemberState.LEAVING
    return MemberState.IMPAIRED if heartbeat.unreachable else MemberState.ALIVE
