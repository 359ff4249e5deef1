"""Load and speed of backend servers without an agent, as measured by one entry.

Load pattern: several entries share a few plain servers. Some servers run several times
as slow without saying so, refuse requests at once, or leave a part of them without a
response. An entry knows only its own requests, so that a server that answers fast with
refusals would attract all of them, and one that was slow once would never be tried
again.
"""

from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass, field

from fighitch.core.gateway.model import BackendServer
from fighitch.types import Seconds

# Response time of a service before its first response.
_INITIAL_RESPONSE_TIME: Seconds = 0.05
# Weight of a new response time among frequent ones.
_SMOOTHING_FACTOR = 0.1
# Weight of the first response time of a server against the average of its service: one
# sample says little, and a server that it makes look slow gets few further ones.
_FIRST_WEIGHT = 0.3
# Time after which a measurement counts half: a server that is rarely used is judged by
# its latest response.
_HALF_LIFE: Seconds = 5.0
# A server without a response for this long gets one request as a probe.
_PROBE_INTERVAL: Seconds = 5.0
# A server of the own zone is probed after this multiple of its response time, if that
# is shorter. One slow response, such as the first one, otherwise kept all requests away
# from a sound server for seconds.
_PROBE_INTERVAL_FACTOR = 10
# A service sends at most one request in so many as a probe: a probe may be slow, and to
# another zone it may cross for nothing.
_REQUESTS_PER_OWN_PROBE = 10
_REQUESTS_PER_DISTANT_PROBE = 40
# A refusal holds requests back for the time in which the server ends a request, and
# twice as long for each further one, but a recovered server must be found again.
_MAX_HOLD: Seconds = 1.0
_MAX_HOLD_DOUBLINGS = 6
# Requests of a sound server take up to this multiple of the average without notice.
_PATIENCE = 1.5


@dataclass(slots=True)
class PlainServerLoad:
    """Load that one entry puts on one plain server.

    Attributes:
        running: Number of requests in flight.
        response_time: Moving average of the response time.
        deviation: Moving average of the distance of response times from it.
        measured_at: Time of the latest response; None if there was none.
        refused_until: Time until which the server is expected to refuse requests.
        refusals: Number of refusals since the latest response.
        waiting_since: Time of the latest response, or of the first request in flight
            if it was sent later.
    """

    running: int = 0
    response_time: Seconds = _INITIAL_RESPONSE_TIME
    deviation: Seconds = 0.0
    measured_at: Seconds | None = None
    refused_until: Seconds = 0.0
    refusals: int = 0
    waiting_since: Seconds = 0.0

    def record_sent(self, now: Seconds) -> None:
        """Records that a request was sent."""
        if not self.running:
            self.waiting_since = now
        self.running += 1

    def record_ended(self) -> None:
        """Records that a request is no longer in flight."""
        self.running = max(0, self.running - 1)

    def expected_response_time(self, now: Seconds) -> Seconds:
        """Returns the average response time, or more if the server is silent.

        Responses of a server that has become slow arrive too late: with few requests
        of one entry, the average follows only after seconds.
        """
        if not self.running:
            return self.response_time
        return max(self.response_time, (now - self.waiting_since) / _PATIENCE)

    def record_response_time(
        self, elapsed: Seconds, now: Seconds = 0.0, *, expected: Seconds | None = None
    ) -> None:
        """Updates the averages with the response time of a request.

        Args:
            elapsed: The response time.
            now: Current time.
            expected: Average response time of the service; None if it is unknown.
        """
        distance = abs(elapsed - self.response_time)
        weight = self._weight(now)
        if self.measured_at is None and expected is not None:
            weight, self.response_time = _FIRST_WEIGHT, expected
        if self.measured_at is not None:
            self.deviation += weight * (distance - self.deviation)
        self.response_time += weight * (elapsed - self.response_time)
        self.measured_at = self.waiting_since = now
        self.refusals = 0
        self.refused_until = 0.0

    def record_unanswered(self, elapsed: Seconds, now: Seconds) -> None:
        """Updates the average with a request that ended without a response.

        Its response time would have been longer. The deviation stays as it is: it tells
        how much the response times of a sound server differ.
        """
        if elapsed > self.response_time:
            self.response_time += self._weight(now) * (elapsed - self.response_time)
            self.measured_at = now

    def record_refusal(self, now: Seconds) -> None:
        """Records that the server refused a request without running it."""
        hold = self.response_time * 2 ** min(self.refusals, _MAX_HOLD_DOUBLINGS)
        self.refusals += 1
        self.refused_until = now + min(_MAX_HOLD, hold)

    def needs_probe(self, now: Seconds, *, is_near: bool) -> bool:
        """Returns whether a request should be sent to learn the server's speed.

        Args:
            now: Current time.
            is_near: Whether the server is in the zone of the entry.
        """
        if self.running or now < self.refused_until:
            return False
        if self.measured_at is None:
            return True
        interval = _PROBE_INTERVAL
        if is_near:
            interval = min(interval, _PROBE_INTERVAL_FACTOR * self.response_time)
        return now - self.measured_at >= interval

    def _weight(self, now: Seconds) -> float:
        if self.measured_at is None:
            return 1.0
        gap = max(0.0, now - self.measured_at)
        return max(_SMOOTHING_FACTOR, 1 - 0.5 ** (gap / _HALF_LIFE))


_UNKNOWN_LOAD = PlainServerLoad()


@dataclass(slots=True)
class PlainLoads:
    """Loads that one entry puts on all servers, and its probes.

    Attributes:
        zone: Availability zone of the entry.
        by_id: Load of each server that was sent a request, by instance id.
    """

    zone: str
    by_id: dict[str, PlainServerLoad] = field(default_factory=dict)
    # Requests since the latest probe, by service and whether the probe was near.
    _since_probe: dict[tuple[str, bool], int] = field(default_factory=dict)
    # Moving average of the response times of each service.
    _averages: dict[str, Seconds] = field(default_factory=dict)

    def record_sent(self, server: BackendServer, now: Seconds) -> None:
        """Records that a request was sent to a server."""
        is_probe = self.is_probe_due(server, now)
        for is_near in (True, False):
            key = server.service, is_near
            is_this = is_probe and is_near == (server.zone == self.zone)
            self._since_probe[key] = 0 if is_this else self._since_probe.get(key, 0) + 1
        self.by_id.setdefault(server.instance_id, PlainServerLoad()).record_sent(now)

    def record_answered(
        self, service: str, instance_id: str, elapsed: Seconds, now: Seconds
    ) -> None:
        """Records the response time of a request.

        Args:
            service: Service of the server.
            instance_id: Instance id of a server that was sent a request.
            elapsed: The response time.
            now: Current time.
        """
        average = self._averages.get(service)
        load = self.by_id[instance_id]
        load.record_response_time(elapsed, now, expected=average)
        if average is None:
            average = elapsed
        average += _SMOOTHING_FACTOR * (elapsed - average)
        self._averages[service] = average

    def is_probe_due(self, server: BackendServer, now: Seconds) -> bool:
        """Returns whether the next request should probe a server."""
        is_near = server.zone == self.zone
        needed = _REQUESTS_PER_OWN_PROBE if is_near else _REQUESTS_PER_DISTANT_PROBE
        if self._since_probe.get((server.service, is_near), 0) < needed:
            return False
        load = self.by_id.get(server.instance_id, _UNKNOWN_LOAD)
        return load.needs_probe(now, is_near=is_near)

    def find_probe(
        self,
        servers: Sequence[BackendServer],
        now: Seconds,
        avoid: Container[str] = (),
    ) -> str | None:
        """Returns the instance id of a server that the next request should probe.

        Args:
            servers: Servers of one service; those of the own zone are probed first.
            now: Current time.
            avoid: Instance ids to leave out.
        """
        distant = None
        for server in servers:
            name = server.instance_id
            if name in avoid or not self.is_probe_due(server, now):
                continue
            if server.zone == self.zone:
                return name
            distant = distant or name
        return distant

    def keep_services(self, services: Container[str]) -> None:
        """Removes the state of services that are no longer used."""
        for name in [name for name in self._averages if name not in services]:
            del self._averages[name]
        for key in [key for key in self._since_probe if key[0] not in services]:
            del self._since_probe[key]

    def forget(self, instance_id: str) -> None:
        """Removes the state of a server that is gone."""
        self.by_id.pop(instance_id, None)


def typical_response_time(
    servers: Sequence[BackendServer], loads: Mapping[str, PlainServerLoad]
) -> tuple[Seconds, Seconds]:
    """Returns the shortest average response time of a service, and its deviation.

    Servers without a measurement are assumed to be as fast. The deviation is the
    smallest of all, so that one faulty server doesn't hide how fast it is.
    """
    measured = [
        load
        for server in servers
        if (load := loads.get(server.instance_id)) is not None
        and load.measured_at is not None
    ]
    return (
        min((load.response_time for load in measured), default=_INITIAL_RESPONSE_TIME),
        min((load.deviation for load in measured), default=0.0),
    )
