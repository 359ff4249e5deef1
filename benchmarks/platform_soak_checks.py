"""Checks the guarantees for users against the observations of a platform soak run."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from standins.platform_backends import PlatformBackend
from standins.platform_fleet import CallerResponse, PlatformFleet
from standins.platform_pauses import excess_requests

_SINGLE_RUN_ROUTES = frozenset(("stream", "order"))
_STREAM_ROUTES = frozenset(("stream", "resume"))
_REJECTION_STATUSES = frozenset((408, 421, 429, 503))
USUAL_EVENTS = 4
_MIN_SERVED_SHARE = 0.25
_ADDED_ROUTE_PREFIX = "added-"
# Callers, servers and proxies of the soak test share a process. If that process stalls
# for longer than this, overdue responses say nothing about the programs under test:
# with seed 430, run beside a benchmark, it stalled for 6.9 s, and callers with a
# timeout of 8 s gave up.
_MAX_OWN_STALL = 1.0

# Part of a prompt that crashes engines, and how ids of requests with it begin.
CRASHING_PART = "crashing"
CRASHING_PREFIX = "crash-"
# Crashes after which the part counts as known, the time until all entries know it, and
# the requests with it that may reach engines afterwards.
_CRASHES_TO_KNOW = 5
_STABLE_TIME = 3.0
_MAX_KNOWN_RUNS = 3
# A server gets at most half as many requests again as its limit, and five more, in 4 s.
_LIMIT_WINDOW = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
# DrainMs if the settings do not state it, and the longest pause of a process.
_DRAIN_TIME = 2.0
# A connection that ends later after its request was sent crosses no other message.
_LOSS_SLACK = 0.2
# Deadline-Ms of all requests. An entry may end a response this long before its limit.
_DEADLINE = 4.0
_DEADLINE_SLACK = 0.1
# Time in which entries apply a configuration.
_APPLY_TIME = 2.0
_MAX_FREEZE = 3.0


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request and the response that its caller received.

    Attributes:
        request_id: Id of the request.
        route: Name of the route.
        at: Time of the request, in seconds since the start of the run.
        answer: Response that the caller received.
        process: Index of the entry, and its incarnation.
        answered_at: Time at which the caller had the response, like ``at``.
        events: Number of events if it is a stream.
    """

    request_id: str
    route: str
    at: float
    answer: CallerResponse
    process: tuple[int, int]
    answered_at: float = 0.0
    events: int = USUAL_EVENTS


@dataclass(slots=True)
class SoakRecord:
    """Observations and violations of a run.

    Attributes:
        planned: Whether the run has planned operations only.
        started_at: Monotonic time of the start, to which the other times relate.
        recovered_at: Time in seconds since the start from which all requests should
            be served again.
        sent: All requests.
        freezes: Name and time of each process that was paused, in seconds since the
            start.
        disturbances: Monotonic begin and end of each time in which processes or links
            were too slow for the order of requests and responses to be known.
        timeouts: Time of each configuration that changed the timeouts of routes, in
            seconds since the start, and its lowest timeout in seconds.
        faults: Faults in order, with their times.
        violations: Violated guarantees.
        inconclusive: Violations that cannot be attributed to the programs, since the
            process of the soak test itself stalled.
        program_logs: Lines that the programs logged about requests that violate one.
        longest_stall: Longest time in seconds for which a proxy's thread did not run;
            callers and servers in the same process stall at the same time.
    """

    planned: bool = False
    started_at: float = 0.0
    recovered_at: float = 0.0
    sent: list[SentRequest] = field(default_factory=list)
    freezes: list[tuple[str, float]] = field(default_factory=list)
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    timeouts: list[tuple[float, float]] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    inconclusive: list[str] = field(default_factory=list)
    program_logs: list[str] = field(default_factory=list)
    longest_stall: float = 0.0


def check(record: SoakRecord, fleet: PlatformFleet) -> None:
    """Adds the violated guarantees of a run to its record."""
    stalls = (link.longest_stall for link in fleet.links.values())
    record.longest_stall = max(stalls, default=0.0)
    servers: Sequence[PlatformBackend] = (*fleet.plain_servers, *fleet.engines)
    runs = Counter(run.request_id for server in servers for run in server.runs)
    received = (item.request_id for server in servers for item in server.received)
    passed_on = {*received, *runs}
    known = {sent.request_id for sent in record.sent}
    for sent in record.sent:
        record.violations += _request_violations(sent, runs[sent.request_id])
        if record.planned:
            record.violations += _loss_violations(
                sent, sent.request_id in passed_on, record.timeouts
            )
    for request_id in runs.keys() - known:
        record.violations.append(f"{request_id}: ran, but no caller sent it")
    record.violations += _engine_violations(fleet)
    record.violations += _configuration_violations(record.sent)
    record.violations += _crashing_violations(record, fleet)
    record.violations += _limit_violations(record, servers)
    record.violations += _leave_violations(record, servers)
    is_stalled = record.longest_stall > _MAX_OWN_STALL
    overdue = record.inconclusive if is_stalled else record.violations
    overdue += _pause_violations(record, servers)
    overdue += _recovery_violations(record)
    if record.planned:
        overdue += _timeout_violations(record.sent)
        overdue += _unanswered_violations(record.sent, runs)


def _request_violations(sent: SentRequest, runs: int) -> list[str]:
    answer = sent.answer
    found = []
    if sent.route in _SINGLE_RUN_ROUTES and runs > 1:
        found.append(f"{sent.request_id} ({sent.route}): ran {runs} times")
    if (
        answer.status in _REJECTION_STATUSES
        and runs
        and sent.route in _SINGLE_RUN_ROUTES
    ):
        found.append(f"{sent.request_id}: rejected with {answer.status} but ran")
    if answer.status != 200:
        return found
    if "response-signature" not in answer.headers or not runs:
        found.append(f"{sent.request_id}: success that no server returned")
    if answer.complete:
        found += _body_violations(sent)
    elif sent.route in _STREAM_ROUTES:
        found += _partial_stream_violations(sent)
    return found


def _body_violations(sent: SentRequest) -> list[str]:
    body = sent.answer.body
    if sent.request_id.encode() not in body.replace(b"\n", b" ").split():
        return [f"{sent.request_id}: response of another request"]
    if sent.route not in _STREAM_ROUTES:
        return []
    numbers = [
        line.removeprefix(b"id: ")
        for line in body.split(b"\n")
        if line.startswith(b"id: ")
    ]
    if numbers != _expected_event_ids(sent):
        return [f"{sent.request_id}: events {numbers}"]
    if body != _expected_stream(sent):
        return [f"{sent.request_id}: stream with other bytes {body[:200]!r}"]
    return []


def _partial_stream_violations(sent: SentRequest) -> list[str]:
    """Returns a violation if a stream that broke off has more than its first events."""
    body = sent.answer.body
    is_whole = not body or body.endswith(b"\n\n")
    if not is_whole or not _expected_stream(sent).startswith(body):
        return [f"{sent.request_id}: broken stream with other bytes {body[:200]!r}"]
    return []


def _expected_event_ids(sent: SentRequest) -> list[bytes]:
    return [b"%d" % number for number in range(1, sent.events + 1)]


def _expected_stream(sent: SentRequest) -> bytes:
    request_id = sent.request_id.encode()
    return b"".join(
        b"id: %b\ndata: %b %b\n\n" % (number, request_id, number)
        for number in _expected_event_ids(sent)
    )


def _loss_violations(
    sent: SentRequest, is_passed_on: bool, timeouts: Sequence[tuple[float, float]]
) -> list[str]:
    """Returns a violation if a request that reached a server got no whole response.

    A response that ends at its deadline or at the timeout of its route is not lost.
    """
    if sent.answer.complete or sent.answer.timed_out or not is_passed_on:
        # A request sent while its connection is being closed reaches no server.
        return []
    time_limit = min(
        (
            timeout
            for index, (_, timeout) in enumerate(timeouts)
            if _may_be_in_force(timeouts, index, sent)
        ),
        default=_DEADLINE,
    )
    took = sent.answered_at - sent.at
    if took >= min(time_limit, _DEADLINE) - _DEADLINE_SLACK:
        return []
    return [
        f"{sent.request_id} ({sent.route}) at {sent.at:.2f}: passed on, but its "
        f"response was lost after {took:.2f} s"
    ]


def _may_be_in_force(
    timeouts: Sequence[tuple[float, float]], index: int, sent: SentRequest
) -> bool:
    """Returns whether an entry may have used a configuration for a request."""
    since = timeouts[index][0]
    until = float("inf")
    if index + 1 < len(timeouts):
        until = timeouts[index + 1][0] + _APPLY_TIME
    return since <= sent.answered_at and sent.at <= until


def _timeout_violations(sent: list[SentRequest]) -> list[str]:
    """Returns requests that got no response before their caller timed out."""
    return [
        f"{item.request_id} at {item.at:.2f}: no response before its caller timed out"
        for item in sent
        if item.answer.timed_out
    ]


def _unanswered_violations(sent: list[SentRequest], runs: Counter[str]) -> list[str]:
    """Returns requests that waited, never ran and were cut off without a response."""
    return [
        f"{item.request_id} at {item.at:.2f}: cut off without a response after"
        f" {item.answered_at - item.at:.2f} s"
        for item in sent
        if not item.answer.complete
        and not item.answer.timed_out
        and not runs[item.request_id]
        and item.answered_at - item.at > _LOSS_SLACK
    ]


def _engine_violations(fleet: PlatformFleet) -> list[str]:
    found = []
    for engine in fleet.engines:
        if engine.overcommit > 0:
            found.append(f"{engine.instance_id}: {engine.overcommit} adapters too many")
        tokens = [order.fields["FencingToken"] for order in engine.orders]
        if tokens != sorted(tokens):
            found.append(f"{engine.instance_id}: a fencing token decreased")
    return found


def _crashing_violations(record: SoakRecord, fleet: PlatformFleet) -> list[str]:
    """Returns a violation if a known crashing part reached engines after recovery."""
    crashed_at = sorted(at for engine in fleet.engines for at in engine.crashed_at)
    if len(crashed_at) < _CRASHES_TO_KNOW:
        return []
    known_at = crashed_at[_CRASHES_TO_KNOW - 1] + _STABLE_TIME
    since = max(known_at, record.started_at + record.recovered_at)
    late = [
        run.request_id
        for engine in fleet.engines
        for run in engine.runs
        if run.request_id.startswith(CRASHING_PREFIX) and run.at >= since
    ]
    if len(late) <= _MAX_KNOWN_RUNS:
        return []
    return [f"{len(late)} requests with a known crashing part reached engines: {late}"]


def _limit_violations(
    record: SoakRecord, servers: Sequence[PlatformBackend]
) -> list[str]:
    """Returns servers that got more than their limit after recovery."""
    since = record.started_at + record.recovered_at
    found = []
    for server in servers:
        if server.server_limit is None:
            continue
        times = [at for at in server.arrivals if at >= since]
        most = max((_count_in_window(times, start) for start in times), default=0)
        allowed = _LIMIT_FACTOR * server.server_limit * _LIMIT_WINDOW + _LIMIT_SLACK
        if most > allowed:
            found.append(
                f"{server.instance_id} with a limit of {server.server_limit} a second "
                f"got {most} requests in {_LIMIT_WINDOW} s, allowed {allowed:.0f}"
            )
    return found


def _leave_violations(
    record: SoakRecord, servers: Sequence[PlatformBackend]
) -> list[str]:
    """Returns requests to servers after an entry had passed on that they leave.

    A pause of the entry since then excuses it; a cut or a restored list does not. A
    restarted entry is another process.
    """
    received = {
        (request.request_id, request.incarnation[0]): request.incarnation
        for server in servers
        for request in server.received
    }
    passed_on: dict[tuple[tuple[int, int], tuple[str, int]], float] = {}
    for sent in record.sent:
        if "server-leaving" not in sent.answer.headers:
            continue
        name = sent.answer.headers.get("response-signature", "").rpartition(".")[0]
        incarnation = received.get((sent.request_id, name))
        if incarnation is not None:
            key = (sent.process, incarnation)
            passed_on[key] = min(sent.answered_at, passed_on.get(key, sent.answered_at))
    found = []
    sent_by_id = {sent.request_id: sent for sent in record.sent}
    for server in servers:
        for request in server.received:
            late = sent_by_id.get(request.request_id)
            if late is None:
                continue
            since = passed_on.get((late.process, request.incarnation))
            if since is None or late.at <= since + _DRAIN_TIME:
                continue
            frozen = f"front-{late.process[0]}"
            if any(
                name == frozen and at >= since - _MAX_FREEZE
                for name, at in record.freezes
            ):
                continue
            found.append(
                f"{late.request_id} at {late.at:.2f}: reached {request.incarnation[0]} "
                f"through front-{late.process[0]}, which had passed on at {since:.2f} "
                "that it leaves"
            )
    return found


def _pause_violations(
    record: SoakRecord, servers: Sequence[PlatformBackend]
) -> list[str]:
    """Returns pauses in which an entry sent more requests than it may.

    Pauses during a disturbance are left out: requests may arrive late.
    """
    processes = {sent.request_id: sent.process for sent in record.sent}
    return [
        line
        for server in servers
        for line in excess_requests(
            server, processes.get, disturbances=record.disturbances
        )
    ]


def _count_in_window(times: Sequence[float], start: float) -> int:
    return sum(start <= at < start + _LIMIT_WINDOW for at in times)


def _configuration_violations(sent: list[SentRequest]) -> list[str]:
    """Returns requests rejected with 404 by an entry that had served the route.

    Only responses that came before a request was sent show what its entry knew: the
    responses to requests that are under way together come in any order.
    """
    # Routes are numbered in order of addition: an entry that has served one knows all
    # earlier ones.
    served: dict[tuple[int, int], list[tuple[int, float]]] = defaultdict(list)
    added = [item for item in sent if item.route.startswith(_ADDED_ROUTE_PREFIX)]
    for item in added:
        if item.answer.status == 200:
            served[item.process].append((_route_number(item), item.answered_at))
    found = []
    for item in added:
        if item.answer.status != 404:
            continue
        before = [known for known in served[item.process] if known[1] <= item.at]
        newest, served_at = max(before, default=(-1, 0.0))
        if _route_number(item) <= newest:
            found.append(
                f"{item.request_id}: {item.route} became unknown to its entry; sent at "
                f"{item.at:.3f}, added-{newest} was served until {served_at:.3f}"
            )
    return found


def _route_number(item: SentRequest) -> int:
    return int(item.route.removeprefix(_ADDED_ROUTE_PREFIX))


def _recovery_violations(record: SoakRecord) -> list[str]:
    late = [
        sent
        for sent in record.sent
        if sent.at >= record.recovered_at
        and not sent.request_id.startswith(CRASHING_PREFIX)
    ]
    served = sum(sent.answer.status == 200 for sent in late)
    if not late or served < _MIN_SERVED_SHARE * len(late):
        return [f"after the faults {served} of {len(late)} served"]
    return []
