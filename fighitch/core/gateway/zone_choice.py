"""Decides how much of a service's work leaves the availability zone of an entry.

Load pattern: a burst exceeds what the servers of one zone can start in time, or the
zone loses some of them, while other zones have room. Many entries see the same status
of a zone, up to seconds old, and decide at once without talking to each other. A zone
may be slow, cut off or full without reporting it.

Each server of another zone is charged for the crossing, as a time that is added to its
expected wait. The charge has these parts:

* how much longer requests to the zone take than those to the own zone, as measured;
* the price of the bytes that a request and its response carry;
* the work of one request, until the other zone's advantage exceeds it. It is no longer
  charged until the advantage is gone. Without this hysteresis, reports that each show
  one request more or less would move the work back and forth;
* the work of one request for each other entry that sees the same report, times a random
  number. The probability to leave thus grows with the advantage, and all entries
  together send about as much work as evens out the waits;
* a long time if nothing current is known of the zone.

The third and fourth parts only concern work that the own zone could run as well. An
adapter that no engine of the own zone holds goes where it is held, or to its home.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from fighitch.core.gateway.model import AdapterName, BackendServer, Route
from fighitch.core.gateway.plain_load import PlainServerLoad, typical_response_time
from fighitch.types import Seconds

# Smallest charge. It keeps work in its zone while all servers are idle; callers don't
# notice it, as latency targets are tenths of a second.
MIN_CHARGE: Seconds = 0.01
# Charge for a zone of which nothing current is known. It exceeds the wait at which
# engines reject requests, so that such a zone is used only if the own zone has nothing.
UNKNOWN_CHARGE: Seconds = 5.0
# Agents report at least every 0.25 s; three reports are missing.
_MAX_REPORT_AGE: Seconds = 0.75
# The state of the zones is summed up again after this time, not for each request.
# Reports arrive at this interval.
_REFRESH_INTERVAL: Seconds = 0.25
# Largest random part of a charge. It is half the time of an adapter load, so that it
# makes no entry load an adapter that another zone holds.
_MAX_SPREAD: Seconds = 0.22
_SMOOTHING_FACTOR = 0.05
# Time after which the measured excess of a zone that gets no requests counts half.
_EXCESS_HALF_LIFE: Seconds = 5.0
# The rest of the latency target is needed for the prefill and the response.
_MAX_WAIT_SHARE_OF_TARGET = 0.5
# Two standard errors of the difference of two moving averages with weight 0.1, as a
# multiple of the mean deviation of their samples.
_NOISE_FACTOR = 0.8
# Response times that differ by this factor are not explained by different requests.
_SLOW_FACTOR = 1.5
# Share of a new request in the moving averages of sizes.
_SIZE_SMOOTHING_FACTOR = 0.02


class LeaveReason(Enum):
    """Why a request was sent to another zone."""

    NONE_READY = "none_ready"
    ADAPTER = "adapter"
    SLOW = "slow"
    FULL = "full"
    # A server of the own zone has refused or failed the request before.
    RETRY = "retry"
    # The server has not been measured for a while.
    PROBE = "probe"


class EngineState(Protocol):
    """State of an engine as known to an entry."""

    backlog: Seconds
    pending_prefill: Seconds
    pause: Seconds
    connected: bool
    serving: bool
    entries: int
    seconds_per_token: Seconds
    adapters: dict[AdapterName, int]
    reported_at: Seconds


@dataclass(frozen=True, slots=True)
class ZoneCharges:
    """What a server of another zone is charged, in seconds.

    Attributes:
        by_zone: Charges by zone for any request, with the price.
        margins: Advantage by zone that is needed to begin to leave.
        price: Price of the bytes of one request.
        price_limit: Expected wait in the own zone above which the price is not charged.
        spread: Upper bound of a random part.
        crowd: Number of other entries that send as much as this one to an engine, on
            the same reports.
        noise: Difference of two response times that is not significant.
        reported_since: Time of a report before which it is no longer current.
    """

    by_zone: Mapping[str, Seconds] = field(default_factory=dict)
    margins: Mapping[str, Seconds] = field(default_factory=dict)
    price: Seconds = 0.0
    price_limit: Seconds = float("inf")
    spread: Seconds = 0.0
    crowd: float = 0.0
    noise: Seconds = 0.0
    reported_since: Seconds = float("-inf")

    @property
    def is_measured(self) -> bool:
        """Whether the charges follow from reports, and not from a fixed crossing."""
        return self.reported_since > float("-inf")

    @property
    def unlisted(self) -> Seconds:
        """Charge for a zone that is not listed."""
        return MIN_CHARGE + self.price


@dataclass(slots=True)
class _Average:
    """Moving average of the times to the first byte in one zone."""

    value: Seconds = 0.0
    samples: int = 0
    updated_at: Seconds = 0.0

    def record(self, elapsed: Seconds, now: Seconds) -> None:
        self.samples += 1
        weight = max(_SMOOTHING_FACTOR, 1 / self.samples)
        self.value += weight * (elapsed - self.value)
        self.updated_at = now


@dataclass(slots=True)
class _ServiceState:
    """Measurements and the latest decision for one service.

    Attributes:
        first_byte: Times to the first byte, by zone.
        request_bytes: Moving average of the bytes of a request and its response.
        prompt_tokens: Moving average of the prompt tokens of a request.
        target: Shortest latency target of the service's routes.
        away: Zones whose advantage has exceeded the work of a request.
        charges: The latest decision.
        decided_at: Time of the latest decision.
    """

    first_byte: dict[str, _Average] = field(default_factory=dict)
    request_bytes: float = 0.0
    prompt_tokens: float = 0.0
    target: Seconds = float("inf")
    away: set[str] = field(default_factory=set)
    charges: ZoneCharges = ZoneCharges()
    decided_at: Seconds = float("-inf")


@dataclass(slots=True)
class _ZoneLoad:
    """Sums over the engines of one zone with a current report."""

    engines: int = 0
    wait: Seconds = 0.0

    @property
    def mean_wait(self) -> Seconds:
        return self.wait / self.engines if self.engines else float("inf")


class ZoneChoice:
    """Charges of one entry for the servers of other zones."""

    def __init__(self, zone: str, *, seconds_per_byte: Seconds = 0.0) -> None:
        """Starts without measurements.

        Args:
            zone: Availability zone of the entry.
            seconds_per_byte: Waiting time of a client that one byte across zones is
                worth.
        """
        self._zone = zone
        self._seconds_per_byte = seconds_per_byte
        self._services: dict[str, _ServiceState] = {}

    def set_price(self, seconds_per_byte: Seconds) -> None:
        """Sets the waiting time that one byte across zones is worth."""
        self._seconds_per_byte = seconds_per_byte

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Sets the routes, and forgets the services that none of them uses."""
        targets: dict[str, Seconds] = {}
        for route in routes:
            for item in route.services:
                known = targets.get(item.service, float("inf"))
                targets[item.service] = min(known, route.target_latency)
        for name in [name for name in self._services if name not in targets]:
            del self._services[name]
        for name, target in targets.items():
            self._state(name).target = target

    def record_first_byte(
        self, service: str, zone: str, elapsed: Seconds, now: Seconds
    ) -> None:
        """Records the time from sending a request to the head of its response."""
        averages = self._state(service).first_byte
        averages.setdefault(zone, _Average()).record(elapsed, now)

    def record_unanswered(
        self, service: str, zone: str, elapsed: Seconds, now: Seconds
    ) -> None:
        """Records a request that ended without a response after some time."""
        average = self._state(service).first_byte.get(zone)
        if average is None or elapsed > average.value:
            self.record_first_byte(service, zone, elapsed, now)

    def record_request(self, service: str, *, size: int, prompt_tokens: int) -> None:
        """Records the size of a request that ended.

        Args:
            service: Name of its service.
            size: Bytes of its body and of the body of its response.
            prompt_tokens: Tokens of its prompt.
        """
        state = self._state(service)
        if not state.request_bytes:
            state.request_bytes, state.prompt_tokens = size, prompt_tokens
        state.request_bytes += _SIZE_SMOOTHING_FACTOR * (size - state.request_bytes)
        state.prompt_tokens += _SIZE_SMOOTHING_FACTOR * (
            prompt_tokens - state.prompt_tokens
        )

    def engine_charges(
        self,
        service: str,
        servers: Sequence[BackendServer],
        views: Mapping[str, EngineState],
        now: Seconds,
    ) -> ZoneCharges:
        """Returns the charges for the engines of a service.

        Args:
            service: Name of the service.
            servers: Its servers that accept new requests.
            views: Known state of the engines, by instance id.
            now: Current time.
        """
        state = self._state(service)
        if 0 <= now - state.decided_at < _REFRESH_INTERVAL:
            return state.charges
        state.decided_at = now
        loads: dict[str, _ZoneLoad] = {}
        entries, speed = 1, 0.0
        for server in servers:
            load = loads.setdefault(server.zone, _ZoneLoad())
            view = views.get(server.instance_id)
            if view is None or not (view.connected and view.serving):
                continue
            if view.reported_at < now - _MAX_REPORT_AGE:
                continue
            load.engines += 1
            load.wait += view.backlog + view.pending_prefill + view.pause
            entries = max(entries, view.entries)
            speed = max(speed, view.seconds_per_token)
        work = state.prompt_tokens * speed
        # Entries are spread over the zones; those of a zone see the same advantage.
        crowd = max(0.0, entries / max(1, len(loads)) - 1)
        price = self._price(state)
        home = loads.pop(self._zone, _ZoneLoad())
        by_zone = {
            zone: price
            + (self._crossing(state, zone, now) if load.engines else UNKNOWN_CHARGE)
            for zone, load in loads.items()
        }
        for zone, load in loads.items():
            wait = load.mean_wait + by_zone[zone]
            self._update_away(state.away, zone, home.mean_wait, wait, work)
        state.charges = ZoneCharges(
            by_zone,
            {zone: 0.0 if zone in state.away else work for zone in loads},
            price=price,
            price_limit=_MAX_WAIT_SHARE_OF_TARGET * state.target,
            spread=min(_MAX_SPREAD, crowd * work),
            crowd=crowd,
            reported_since=now - _MAX_REPORT_AGE,
        )
        return state.charges

    def plain_charges(
        self,
        service: str,
        servers: Sequence[BackendServer],
        loads: Mapping[str, PlainServerLoad],
    ) -> ZoneCharges:
        """Returns the charges for the servers of a plain service.

        The response times of each server, as measured here, include the crossing.
        """
        state = self._state(service)
        _, deviation = typical_response_time(servers, loads)
        return ZoneCharges(
            price=self._price(state),
            price_limit=_MAX_WAIT_SHARE_OF_TARGET * state.target,
            noise=_NOISE_FACTOR * deviation,
        )

    def _crossing(self, state: _ServiceState, zone: str, now: Seconds) -> Seconds:
        return max(MIN_CHARGE, self._excess(state, zone, now))

    def _update_away(
        self,
        away: set[str],
        zone: str,
        wait_here: Seconds,
        wait_there: Seconds,
        margin: Seconds,
    ) -> None:
        """Decides whether work leaves for a zone, with hysteresis."""
        if wait_there + margin < wait_here:
            away.add(zone)
        elif wait_there >= wait_here:
            away.discard(zone)

    def _excess(self, state: _ServiceState, zone: str, now: Seconds) -> Seconds:
        """Returns how much longer requests to a zone take than those to the own."""
        there = state.first_byte.get(zone)
        here = state.first_byte.get(self._zone)
        if there is None or here is None:
            return 0.0
        # A zone that was slow gets few requests. Its excess is forgotten with time, so
        # that it is tried again.
        age = max(0.0, now - there.updated_at)
        remaining: float = 0.5 ** (age / _EXCESS_HALF_LIFE)
        return max(0.0, there.value - here.value) * remaining

    def _price(self, state: _ServiceState) -> Seconds:
        return self._seconds_per_byte * state.request_bytes

    def _state(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState()
        return state


def engine_leave_reason(
    adapter: AdapterName | None,
    server: BackendServer,
    home: Sequence[BackendServer],
    views: Mapping[str, EngineState],
) -> LeaveReason:
    """Returns why a request left its zone for an engine.

    Args:
        adapter: Adapter that the request uses.
        server: Engine of another zone that gets the request.
        home: Engines of the own zone that could have got it.
        views: Known state of the engines, by instance id.
    """
    known = [view for item in home if (view := views.get(item.instance_id))]
    known = [view for view in known if view.connected and view.serving]
    if not known:
        return LeaveReason.NONE_READY
    if adapter is not None and not any(adapter in view.adapters for view in known):
        return LeaveReason.ADAPTER
    fastest = min(view.seconds_per_token for view in known)
    chosen = views.get(server.instance_id)
    is_slow = chosen is not None and fastest > _SLOW_FACTOR * chosen.seconds_per_token
    return LeaveReason.SLOW if is_slow else LeaveReason.FULL


def plain_leave_reason(
    server: BackendServer,
    home: Sequence[BackendServer],
    loads: Mapping[str, PlainServerLoad],
    *,
    is_probe: bool = False,
) -> LeaveReason:
    """Returns why a request left its zone for a plain server.

    Args:
        server: Server of another zone that gets the request.
        home: Servers of the own zone that could have got it.
        loads: Load that the entry puts on each server, by instance id.
        is_probe: Whether the request measures the speed of the server.
    """
    if not home:
        return LeaveReason.NONE_READY
    if is_probe:
        return LeaveReason.PROBE
    known = [load for item in home if (load := loads.get(item.instance_id))]
    chosen = loads.get(server.instance_id)
    if chosen is None or not known:
        return LeaveReason.FULL
    fastest = min(load.response_time for load in known)
    is_slow = fastest > _SLOW_FACTOR * chosen.response_time
    return LeaveReason.SLOW if is_slow else LeaveReason.FULL
