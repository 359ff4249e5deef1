"""A sidecar's share of the weight store's limits, with borrowing between sidecars.

A *permit* is the right to start one load. It counts against two limits: it is occupied
for ``window`` seconds after a start (rate) and until the load ends (in transit). The
whole permits of both limits are split over the configured members; the remainder goes
to the members with the highest rendezvous score, so that every member computes the same
split alone and the sum holds in any partition.

A free permit can be lent for one use. The lender counts it as occupied until the
borrower returns it; the borrower returns it once the load has ended and the window has
passed, or when it has no use for it. Permits carry a serial that grows on each
connection, and a borrower accepts only higher serials than before and returns others
unused: a repeated or late grant is worth nothing, and a lost message loses a permit but
never makes one.

A permit whose return never comes stays lost until ``configure``: neither a closed
connection nor a timeout proves that the engine behind a silent borrower is not still
loading.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from fighitch.core.effects import Send
from fighitch.core.messages import (
    Message,
    PermitGrant,
    PermitRequest,
    PermitReturn,
)
from fighitch.types import ConnectionId, InstanceName, Seconds

MIN_WINDOW_SECONDS = 1.0
# A changed configuration is in force everywhere within 5 s. Waiting twice as long
# before a larger share is used covers members that learn of it late.
SETTLE_SECONDS = 10.0
# After ``configure``, a permit that was not returned counts as free again after this
# time. A sidecar gives up a load after a shorter time than that.
RECLAIM_SECONDS = 60.0
# A request that could not be met at once is kept this long; the borrower asks again.
# A permit granted to a borrower that has died meanwhile is lost, so this is short.
REQUEST_VALID_SECONDS = 0.15
MIN_REQUEST_INTERVAL_SECONDS = 0.1
# A borrowed permit without a use goes back after this time.
UNUSED_SECONDS = 0.5
MAX_PERMITS_PER_GRANT = 16
MAX_PEERS_ASKED = 8


@dataclass(frozen=True, slots=True)
class Share:
    """Whole permits of one member.

    Attributes:
        starts: Starts in any ``window``.
        in_transit: Loads in progress at once.
        window: Length of the rate window, in seconds.
        fair_rate: Starts per second if every member had the same part.
    """

    starts: int = 0
    in_transit: int = 0
    window: Seconds = MIN_WINDOW_SECONDS
    fair_rate: float = 0.0


@dataclass(slots=True)
class _Borrowed:
    connection: ConnectionId
    permit: str
    received_at: Seconds
    started_at: Seconds | None = None
    is_finished: bool = False


def share_of(
    instance: InstanceName,
    members: Iterable[InstanceName],
    loads_per_second: float,
    max_in_transit: int,
) -> Share:
    """Returns a member's share; it is empty for an instance that is no member.

    Args:
        instance: Member in question.
        members: All configured members.
        loads_per_second: Most loads that the fleet may start in a second.
        max_in_transit: Most loads in progress in the whole fleet.
    """
    ranked = sorted(set(members), key=_score, reverse=True)
    if instance not in ranked or loads_per_second <= 0:
        return Share()
    position = ranked.index(instance)
    # Below one start per second a single permit is used once in a longer window.
    window = max(MIN_WINDOW_SECONDS, 1.0 / loads_per_second)
    starts = math.floor(loads_per_second * window + 1e-9)
    return Share(
        starts=_part(starts, position, len(ranked)),
        in_transit=_part(max(0, max_in_transit), position, len(ranked)),
        window=window,
        fair_rate=loads_per_second / len(ranked),
    )


def _score(member: InstanceName) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"load-permits/{member}".encode()), member


def _part(total: int, position: int, count: int) -> int:
    return total // count + (1 if position < total % count else 0)


class LoadBudget:
    """This sidecar's permits: its own, those lent and those borrowed."""

    def __init__(
        self,
        instance: InstanceName,
        members: Iterable[InstanceName],
        loads_per_second: float,
        max_in_transit: int,
    ) -> None:
        """Takes the limits of the whole fleet.

        Args:
            instance: Name of this sidecar.
            members: Names of all configured sidecars of engines; may be empty until
                the first configuration is known.
            loads_per_second: Most loads that the fleet may start in a second.
            max_in_transit: Most loads in progress in the whole fleet.
        """
        self._instance = instance
        members = frozenset(members)
        self._is_configured = bool(members) and loads_per_second > 0
        self._limits = (members, loads_per_second, max_in_transit)
        self._target = share_of(instance, *self._limits)
        self._share = self._next_share = self._target
        self._settled_at: Seconds = 0.0
        # End of the rate window of each start with an own permit.
        self._windows: list[Seconds] = []
        self._own_in_transit = 0
        self._lent: dict[tuple[ConnectionId, str], Seconds] = {}
        self._serial = 0
        self._waiting: dict[ConnectionId, tuple[int, Seconds]] = {}
        self._borrowed: list[_Borrowed] = []
        self._highest_serial: dict[ConnectionId, int] = {}
        self._asked_at: dict[ConnectionId, Seconds] = {}
        self._next_peer = 0
        self._fair_tokens = 1.0
        self._fair_tokens_at: Seconds | None = None
        self._wanted = 0

    @property
    def share(self) -> Share:
        """Share that is in force."""
        return self._share

    @property
    def lent(self) -> int:
        """Permits that are lent and not returned, lost ones included."""
        return len(self._lent)

    def available(self, now: Seconds) -> int:
        """Returns the number of loads that may start now."""
        free = self._free_own(now)
        # With borrowers waiting, starts above the fair rate are left to them, so that
        # a member without a permit of its own is not starved by busy lenders.
        if free and self._has_waiting(now) and self._fair_tokens_now(now) < 1.0:
            free -= 1
        return free + len(self._unused_borrowed())

    def start(self, now: Seconds) -> bool:
        """Starts a load.

        Returns:
            Whether a permit was there; without one the load must not start.
        """
        borrowed = next(iter(self._unused_borrowed()), None)
        if borrowed is not None:
            borrowed.started_at = now
        elif self.available(now) > 0:
            self._windows.append(now + self._share.window)
            self._own_in_transit += 1
        else:
            self._wanted = max(1, self._wanted)
            return False
        self._fair_tokens = max(-1.0, self._fair_tokens_now(now) - 1.0)
        return True

    def finish(self, now: Seconds) -> None:
        """Ends one load, whether it succeeded or not."""
        running = [item for item in self._borrowed if _is_running(item)]
        if running:
            oldest = min(running, key=lambda item: item.started_at or 0.0)
            oldest.is_finished = True
        elif self._own_in_transit > 0:
            self._own_in_transit -= 1

    def configure(
        self,
        members: Iterable[InstanceName],
        loads_per_second: float,
        max_in_transit: int,
        now: Seconds,
    ) -> None:
        """Takes changed members or limits.

        A smaller share is in force at once and a larger one after ``SETTLE_SECONDS``,
        because another member may still use what this one gains. The first
        configuration is in force at once: an engine that starts must be able to load,
        and its members have known of it since before it started.

        Args:
            members: Names of all configured sidecars of engines.
            loads_per_second: Most loads that the fleet may start in a second.
            max_in_transit: Most loads in progress in the whole fleet.
            now: Time in seconds.
        """
        members = frozenset(members)
        limits = (members, loads_per_second, max_in_transit)
        # Ranking 6,400 members takes several milliseconds, and most changes of the
        # configuration concern neither members nor limits.
        if limits != self._limits:
            self._limits = limits
            self._target = share_of(self._instance, *limits)
        target = self._target
        self._settle(now)
        self._lent = {
            key: min(reclaim_at, now + RECLAIM_SECONDS)
            for key, reclaim_at in self._lent.items()
        }
        if not self._is_configured:
            self._is_configured = bool(members) and loads_per_second > 0
            self._share = self._next_share = target
            return
        if target == self._next_share:
            return
        current = self._share
        self._next_share, self._settled_at = target, now + SETTLE_SECONDS
        self._share = Share(
            starts=min(current.starts, target.starts),
            in_transit=min(current.in_transit, target.in_transit),
            window=max(current.window, target.window),
            fair_rate=target.fair_rate,
        )

    def handle(
        self, connection: ConnectionId, message: Message, now: Seconds
    ) -> list[Send]:
        """Handles a permit message of a peer; others are ignored.

        Args:
            connection: Connection that it came on.
            message: The message.
            now: Time in seconds.

        Returns:
            Messages to send.
        """
        if isinstance(message, PermitRequest):
            if message.count > 0:
                self._waiting[connection] = (message.count, now + REQUEST_VALID_SECONDS)
            return self._grant(now)
        if isinstance(message, PermitGrant):
            return self._receive(connection, message.permits, now)
        if isinstance(message, PermitReturn):
            for permit in message.permits:
                self._lent.pop((connection, permit), None)
            return self._grant(now)
        return []

    def request_if_short(
        self, peers: Sequence[ConnectionId], now: Seconds, *, wanted: int = 1
    ) -> list[Send]:
        """Asks peers for permits, and sends grants and returns that are due.

        Call this on every tick and before a plan; ``wanted=0`` only sends what is due.

        Args:
            peers: Connections to other sidecars of engines.
            now: Time in seconds.
            wanted: Loads that this sidecar would start now if it could.

        Returns:
            Messages to send.
        """
        self._wanted = wanted
        sends = self._returns(now) + self._grant(now)
        short = wanted - self.available(now)
        if short <= 0 or not peers:
            return sends
        # A permit that comes too late goes back at once, so asking several lenders for
        # one load costs a round trip and saves the search for one with a free permit.
        for _ in range(min(len(peers), MAX_PEERS_ASKED)):
            connection = peers[self._next_peer % len(peers)]
            self._next_peer += 1
            asked_at = self._asked_at.get(connection)
            if asked_at is None or now - asked_at >= MIN_REQUEST_INTERVAL_SECONDS:
                self._asked_at[connection] = now
                sends.append(Send(connection, PermitRequest(1)))
        return sends

    def connection_closed(self, connection: ConnectionId) -> None:
        """Forgets a closed connection.

        Permits lent over it stay occupied until ``configure``. Unused permits borrowed
        over it are given up; those in use are kept until their load ends.
        """
        self._waiting.pop(connection, None)
        self._asked_at.pop(connection, None)
        self._highest_serial.pop(connection, None)
        self._borrowed = [
            item
            for item in self._borrowed
            if item.connection != connection or _is_running(item)
        ]

    def _free_own(self, now: Seconds) -> int:
        self._settle(now)
        lent = len(self._lent)
        return max(
            0,
            min(
                self._share.starts - len(self._windows) - lent,
                self._share.in_transit - self._own_in_transit - lent,
            ),
        )

    def _settle(self, now: Seconds) -> None:
        self._windows = [end for end in self._windows if end > now]
        if self._share != self._next_share and now >= self._settled_at:
            self._share = self._next_share
        self._lent = {key: at for key, at in self._lent.items() if at > now}

    def _unused_borrowed(self) -> list[_Borrowed]:
        return [item for item in self._borrowed if item.started_at is None]

    def _has_waiting(self, now: Seconds) -> bool:
        return any(valid_until > now for _, valid_until in self._waiting.values())

    def _fair_tokens_now(self, now: Seconds) -> float:
        since = now if self._fair_tokens_at is None else self._fair_tokens_at
        earned = max(0.0, now - since) * self._share.fair_rate
        self._fair_tokens = min(1.0, self._fair_tokens + earned)
        self._fair_tokens_at = now
        return self._fair_tokens

    def _grant(self, now: Seconds) -> list[Send]:
        self._waiting = {
            connection: entry
            for connection, entry in self._waiting.items()
            if entry[1] > now
        }
        sends = []
        for connection, (count, valid_until) in tuple(self._waiting.items()):
            free = self._free_own(now)
            # A lender with work of its own keeps a permit up to its fair rate.
            if self._wanted and self._fair_tokens_now(now) >= 1.0:
                free -= 1
            granted = min(count, free, MAX_PERMITS_PER_GRANT)
            if granted <= 0:
                continue
            sends.append(Send(connection, self._lend(connection, granted)))
            self._waiting.pop(connection)
            if granted < count:
                self._waiting[connection] = (count - granted, valid_until)
        return sends

    def _lend(self, connection: ConnectionId, count: int) -> PermitGrant:
        permits = []
        for _ in range(count):
            self._serial += 1
            permits.append(f"{self._instance}/{self._serial}")
            self._lent[connection, permits[-1]] = math.inf
        return PermitGrant(tuple(permits))

    def _receive(
        self, connection: ConnectionId, permits: tuple[str, ...], now: Seconds
    ) -> list[Send]:
        held = {item.permit for item in self._borrowed if item.connection == connection}
        refused = []
        for permit in permits:
            serial = _serial_of(permit)
            if serial > self._highest_serial.get(connection, 0):
                self._highest_serial[connection] = serial
                self._borrowed.append(_Borrowed(connection, permit, now))
            elif permit not in held:
                refused.append(permit)
        return [Send(connection, PermitReturn(tuple(refused)))] if refused else []

    def _returns(self, now: Seconds) -> list[Send]:
        unused = self._unused_borrowed()
        surplus = unused[min(self._wanted, len(unused)) :]
        due = [
            item
            for item in self._borrowed
            if item in surplus or self._is_due(item, now)
        ]
        self._borrowed = [item for item in self._borrowed if item not in due]
        by_connection: dict[ConnectionId, list[str]] = {}
        for item in due:
            by_connection.setdefault(item.connection, []).append(item.permit)
        return [
            Send(connection, PermitReturn(tuple(permits)))
            for connection, permits in by_connection.items()
        ]

    def _is_due(self, item: _Borrowed, now: Seconds) -> bool:
        if item.started_at is None:
            return now - item.received_at >= UNUSED_SECONDS
        return item.is_finished and now - item.started_at >= self._share.window


def _is_running(item: _Borrowed) -> bool:
    return item.started_at is not None and not item.is_finished


def _serial_of(permit: str) -> int:
    serial = permit.rpartition("/")[2]
    return int(serial) if serial.isdecimal() else 0
