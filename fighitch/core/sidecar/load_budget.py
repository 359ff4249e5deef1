"""A sidecar's share of the weight store's limits, with borrowing between sidecars.

A *permit* is the right to start one load. It counts against two limits: the rate limit,
for ``window`` seconds after the load starts, and the limit of loads in transit, until
the load ends. The whole permits of both limits are split evenly over the configured
members. The remainder goes to the members with the highest rendezvous hash, so that
every member computes the same split without coordination and the limits hold during any
network partition.

A free permit can be lent for one load. The lender counts it as occupied until the
borrower returns it. The borrower returns it once the load has ended and the window has
passed, or when it is not needed. Permits carry a serial number that increases on each
connection. A borrower accepts only serials above the highest seen and returns others
unused. A duplicate or late grant therefore has no effect, and a lost message can lose a
permit but never create one.

A permit that is never returned stays occupied until ``configure``: neither a closed
connection nor a timeout proves that the engine of an unresponsive borrower has stopped
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
# A configuration change takes effect on all members within 5 s. Waiting twice as long
# before using a larger share covers members that receive the change late.
SHARE_INCREASE_DELAY_SECONDS = 10.0
# Time after ``configure`` when a permit that was not returned counts as free again. The
# timeout of a load in a sidecar is shorter than this.
RECLAIM_SECONDS = 60.0
# Time that a permit request stays pending if no permit is free; the borrower repeats
# it. It is short because a permit granted to a borrower that has since died is lost.
REQUEST_VALID_SECONDS = 0.15
MIN_REQUEST_INTERVAL_SECONDS = 0.1
# An unused borrowed permit is returned after this time.
RETURN_UNUSED_SECONDS = 0.5
MAX_PERMITS_PER_GRANT = 16
MAX_PEERS_REQUESTED = 8


@dataclass(frozen=True, slots=True)
class Share:
    """Whole permits of one member.

    Attributes:
        starts: Maximum number of load starts in any ``window``.
        in_transit: Maximum number of concurrent loads.
        window: Length of the rate window, in seconds.
        fair_rate: Starts per second if the rate were split evenly over the members.
    """

    starts: int = 0
    in_transit: int = 0
    window: Seconds = MIN_WINDOW_SECONDS
    fair_rate: float = 0.0


@dataclass(slots=True)
class _Borrowed:
    """A permit that was borrowed over a connection, and the load that uses it."""

    connection: ConnectionId
    permit: str
    received_at: Seconds
    started_at: Seconds | None = None
    is_finished: bool = False


def compute_share(
    instance: InstanceName,
    members: Iterable[InstanceName],
    loads_per_second: float,
    max_in_transit: int,
) -> Share:
    """Computes a member's share; it is empty for an instance that is not a member.

    Args:
        instance: Member to compute the share of.
        members: All configured members.
        loads_per_second: Maximum number of load starts per second in the fleet.
        max_in_transit: Maximum number of concurrent loads in the fleet.
    """
    ranked = sorted(set(members), key=_rendezvous_score, reverse=True)
    if instance not in ranked or loads_per_second <= 0:
        return Share()
    position = ranked.index(instance)
    # Below one start per second, one permit is used once per longer window.
    window = max(MIN_WINDOW_SECONDS, 1.0 / loads_per_second)
    # The tolerance keeps 0.09 * (1 / 0.09), for example, from being rounded down to 0.
    starts = math.floor(loads_per_second * window + 1e-9)
    return Share(
        starts=_split_evenly(starts, position, len(ranked)),
        in_transit=_split_evenly(max(0, max_in_transit), position, len(ranked)),
        window=window,
        fair_rate=loads_per_second / len(ranked),
    )


def _rendezvous_score(member: InstanceName) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"load-permits/{member}".encode()), member


def _split_evenly(total: int, position: int, count: int) -> int:
    return total // count + (1 if position < total % count else 0)


class LoadBudget:
    """Permits of this sidecar: own, lent and borrowed."""

    def __init__(
        self,
        instance: InstanceName,
        members: Iterable[InstanceName],
        loads_per_second: float,
        max_in_transit: int,
    ) -> None:
        """Creates a budget from the limits of the whole fleet.

        Args:
            instance: Name of this sidecar.
            members: Names of all configured sidecars of engines; may be empty until
                the first configuration is known.
            loads_per_second: Maximum number of load starts per second in the fleet.
            max_in_transit: Maximum number of concurrent loads in the fleet.
        """
        self._instance = instance
        members = frozenset(members)
        self._is_configured = bool(members) and loads_per_second > 0
        self._limits = (members, loads_per_second, max_in_transit)
        self._configured_share = compute_share(instance, *self._limits)
        self._share = self._next_share = self._configured_share
        self._next_share_at: Seconds = 0.0
        # Ends of the rate windows of loads started with own permits.
        self._windows: list[Seconds] = []
        self._own_in_transit = 0
        self._lent: dict[tuple[ConnectionId, str], Seconds] = {}
        self._serial = 0
        self._pending_requests: dict[ConnectionId, tuple[int, Seconds]] = {}
        self._borrowed: list[_Borrowed] = []
        self._highest_serial: dict[ConnectionId, int] = {}
        self._requested_at: dict[ConnectionId, Seconds] = {}
        self._next_peer = 0
        self._fair_tokens = 1.0
        self._fair_tokens_updated_at: Seconds | None = None
        self._wanted_loads = 0

    @property
    def share(self) -> Share:
        """Share currently in effect."""
        return self._share

    @property
    def lent(self) -> int:
        """Number of lent permits not yet returned, including lost ones."""
        return len(self._lent)

    def available(self, now: Seconds) -> int:
        """Returns the number of loads that may start now."""
        free = self._free_own_permits(now)
        # While borrowers wait, starts above the fair rate are left to them, so that
        # busy lenders do not starve a member that has no permit of its own.
        if (
            free
            and self._has_pending_requests(now)
            and self._refill_fair_tokens(now) < 1.0
        ):
            free -= 1
        return free + len(self._unused_borrowed())

    def start(self, now: Seconds) -> bool:
        """Takes a permit for a load that starts now.

        Returns:
            Whether a permit was available; without one the load must not start.
        """
        borrowed = next(iter(self._unused_borrowed()), None)
        if borrowed is not None:
            borrowed.started_at = now
        elif self.available(now) > 0:
            self._windows.append(now + self._share.window)
            self._own_in_transit += 1
        else:
            self._wanted_loads = max(1, self._wanted_loads)
            return False
        # Starts above the fair rate overdraw the bucket by one token at most.
        self._fair_tokens = max(-1.0, self._refill_fair_tokens(now) - 1.0)
        return True

    def finish(self, now: Seconds) -> None:
        """Records the end of one load, whether it succeeded or failed."""
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
        """Applies changed members or limits.

        A smaller share takes effect immediately. A larger one takes effect after
        ``SHARE_INCREASE_DELAY_SECONDS``, because another member may still use the
        permits that this one gains. The first configuration takes effect immediately: a
        starting engine must be able to load, and the other members knew of it before it
        started.

        Args:
            members: Names of all configured sidecars of engines.
            loads_per_second: Maximum number of load starts per second in the fleet.
            max_in_transit: Maximum number of concurrent loads in the fleet.
            now: Time in seconds.
        """
        members = frozenset(members)
        limits = (members, loads_per_second, max_in_transit)
        # Ranking 6,400 members takes several milliseconds, and most configuration
        # changes affect neither members nor limits.
        if limits != self._limits:
            self._limits = limits
            self._configured_share = compute_share(self._instance, *limits)
        target = self._configured_share
        self._apply_due_changes(now)
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
        self._next_share, self._next_share_at = (
            target,
            now + SHARE_INCREASE_DELAY_SECONDS,
        )
        self._share = Share(
            starts=min(current.starts, target.starts),
            in_transit=min(current.in_transit, target.in_transit),
            window=max(current.window, target.window),
            fair_rate=target.fair_rate,
        )

    def handle(
        self, connection: ConnectionId, message: Message, now: Seconds
    ) -> list[Send]:
        """Handles a permit message of a peer; ignores other messages.

        Args:
            connection: Connection on which the message arrived.
            message: Message to handle.
            now: Time in seconds.

        Returns:
            Messages to send.
        """
        if isinstance(message, PermitRequest):
            if message.count > 0:
                self._pending_requests[connection] = (
                    message.count,
                    now + REQUEST_VALID_SECONDS,
                )
            return self._grant(now)
        if isinstance(message, PermitGrant):
            return self._accept_grant(connection, message.permits, now)
        if isinstance(message, PermitReturn):
            for permit in message.permits:
                self._lent.pop((connection, permit), None)
            return self._grant(now)
        return []

    def request_permits(
        self, peers: Sequence[ConnectionId], now: Seconds, *, wanted: int = 1
    ) -> list[Send]:
        """Requests permits from peers if short; sends grants and returns that are due.

        Must be called on every tick and before loads are planned. With ``wanted=0`` no
        permits are requested.

        Args:
            peers: Connections to other sidecars of engines.
            now: Time in seconds.
            wanted: Number of loads that this sidecar would start now if it could.

        Returns:
            Messages to send.
        """
        self._wanted_loads = wanted
        sends = self._due_returns(now) + self._grant(now)
        missing = wanted - self.available(now)
        if missing <= 0 or not peers:
            return sends
        # Requests permits for one load from several lenders at the same time. Surplus
        # permits are returned at once, so this costs one round trip and avoids a search
        # for a lender with a free permit.
        for _ in range(min(len(peers), MAX_PEERS_REQUESTED)):
            connection = peers[self._next_peer % len(peers)]
            self._next_peer += 1
            requested_at = self._requested_at.get(connection)
            if (
                requested_at is None
                or now - requested_at >= MIN_REQUEST_INTERVAL_SECONDS
            ):
                self._requested_at[connection] = now
                sends.append(Send(connection, PermitRequest(1)))
        return sends

    def connection_closed(self, connection: ConnectionId) -> None:
        """Drops the state of a closed connection.

        Permits lent over it stay occupied until ``configure``. Unused permits borrowed
        over it are dropped; those in use are kept until their load ends.
        """
        self._pending_requests.pop(connection, None)
        self._requested_at.pop(connection, None)
        self._highest_serial.pop(connection, None)
        self._borrowed = [
            item
            for item in self._borrowed
            if item.connection != connection or _is_running(item)
        ]

    def _free_own_permits(self, now: Seconds) -> int:
        self._apply_due_changes(now)
        lent = len(self._lent)
        return max(
            0,
            min(
                self._share.starts - len(self._windows) - lent,
                self._share.in_transit - self._own_in_transit - lent,
            ),
        )

    def _apply_due_changes(self, now: Seconds) -> None:
        """Frees permits whose window or reclaim time is over; applies a due share."""
        self._windows = [end for end in self._windows if end > now]
        if self._share != self._next_share and now >= self._next_share_at:
            self._share = self._next_share
        self._lent = {
            key: reclaim_at
            for key, reclaim_at in self._lent.items()
            if reclaim_at > now
        }

    def _unused_borrowed(self) -> list[_Borrowed]:
        return [item for item in self._borrowed if item.started_at is None]

    def _has_pending_requests(self, now: Seconds) -> bool:
        return any(
            valid_until > now for _, valid_until in self._pending_requests.values()
        )

    def _refill_fair_tokens(self, now: Seconds) -> float:
        since = (
            now
            if self._fair_tokens_updated_at is None
            else self._fair_tokens_updated_at
        )
        earned = max(0.0, now - since) * self._share.fair_rate
        self._fair_tokens = min(1.0, self._fair_tokens + earned)
        self._fair_tokens_updated_at = now
        return self._fair_tokens

    def _grant(self, now: Seconds) -> list[Send]:
        self._pending_requests = {
            connection: request
            for connection, request in self._pending_requests.items()
            if request[1] > now
        }
        sends = []
        for connection, (count, valid_until) in tuple(self._pending_requests.items()):
            free = self._free_own_permits(now)
            # A lender with loads of its own keeps one permit while it is below its fair
            # rate.
            if self._wanted_loads and self._refill_fair_tokens(now) >= 1.0:
                free -= 1
            granted = min(count, free, MAX_PERMITS_PER_GRANT)
            if granted <= 0:
                continue
            sends.append(Send(connection, self._lend(connection, granted)))
            self._pending_requests.pop(connection)
            if granted < count:
                self._pending_requests[connection] = (count - granted, valid_until)
        return sends

    def _lend(self, connection: ConnectionId, count: int) -> PermitGrant:
        permits = []
        for _ in range(count):
            self._serial += 1
            permits.append(f"{self._instance}/{self._serial}")
            self._lent[connection, permits[-1]] = math.inf
        return PermitGrant(tuple(permits))

    def _accept_grant(
        self, connection: ConnectionId, permits: tuple[str, ...], now: Seconds
    ) -> list[Send]:
        borrowed = {
            item.permit for item in self._borrowed if item.connection == connection
        }
        rejected = []
        for permit in permits:
            serial = _parse_serial(permit)
            if serial > self._highest_serial.get(connection, 0):
                self._highest_serial[connection] = serial
                self._borrowed.append(_Borrowed(connection, permit, now))
            elif permit not in borrowed:
                rejected.append(permit)
        return [Send(connection, PermitReturn(tuple(rejected)))] if rejected else []

    def _due_returns(self, now: Seconds) -> list[Send]:
        unused = self._unused_borrowed()
        surplus = unused[min(self._wanted_loads, len(unused)) :]
        due = [
            item
            for item in self._borrowed
            if item in surplus or self._is_return_due(item, now)
        ]
        self._borrowed = [item for item in self._borrowed if item not in due]
        by_connection: dict[ConnectionId, list[str]] = {}
        for item in due:
            by_connection.setdefault(item.connection, []).append(item.permit)
        return [
            Send(connection, PermitReturn(tuple(permits)))
            for connection, permits in by_connection.items()
        ]

    def _is_return_due(self, item: _Borrowed, now: Seconds) -> bool:
        if item.started_at is None:
            return now - item.received_at >= RETURN_UNUSED_SECONDS
        return item.is_finished and now - item.started_at >= self._share.window


def _is_running(item: _Borrowed) -> bool:
    return item.started_at is not None and not item.is_finished


def _parse_serial(permit: str) -> int:
    serial = permit.rpartition("/")[2]
    return int(serial) if serial.isdecimal() else 0
