"""Checks of a soak run: the users' promises against what callers and servers saw."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from standins.platform_backends import PlatformBackend
from standins.platform_fleet import CallerResponse, PlatformFleet

_SINGLE_RUN_ROUTES = frozenset(("stream", "order"))
_STREAM_ROUTES = frozenset(("stream", "resume"))
_REFUSALS = frozenset((408, 421, 429, 503))
_EVENTS = [b"1", b"2", b"3", b"4"]
_LEAST_SERVED_SHARE = 0.25
_ADDED_ROUTE = "added-"
# Callers, servers and proxies of the soak share a process. If that stands still for so
# long, answers that are overdue say nothing about the programs: with seed 430 beside a
# bench it stood still for 6.9 s, and callers that wait for 8 s gave up.
_LONGEST_OWN_STALL = 1.0


@dataclass(frozen=True, slots=True)
class Sent:
    """A request and what its caller got.

    Attributes:
        request_id: Its id.
        route: Name of its route.
        at: Seconds since the start of the run.
        answer: What the caller got.
        process: Number of the entry and of its incarnation.
    """

    request_id: str
    route: str
    at: float
    answer: CallerResponse
    process: tuple[int, int]


@dataclass(slots=True)
class SoakRecord:
    """What happened in a run.

    Attributes:
        planned: Whether the run has planned work only.
        healed_at: Seconds from the start until all should work again.
        sent: All requests.
        faults: Faults in order, with their times.
        violations: Broken promises.
        inconclusive: What can't be judged, as the soak's own process stood still.
        longest_stall: Longest time in seconds for which a proxy's thread did not run:
            callers and servers of the soak stand still then, too.
    """

    planned: bool = False
    healed_at: float = 0.0
    sent: list[Sent] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    inconclusive: list[str] = field(default_factory=list)
    longest_stall: float = 0.0


def check(record: SoakRecord, fleet: PlatformFleet) -> None:
    """Adds the broken promises of a run to its record."""
    stalls = (link.longest_stall for link in fleet.links.values())
    record.longest_stall = max(stalls, default=0.0)
    servers: Sequence[PlatformBackend] = (*fleet.plain_servers, *fleet.engines)
    runs = Counter(run.request_id for server in servers for run in server.runs)
    known = {sent.request_id for sent in record.sent}
    for sent in record.sent:
        record.violations += _request_violations(sent, runs[sent.request_id])
        if record.planned:
            record.violations += _loss_violations(sent, runs[sent.request_id])
    for request_id in runs.keys() - known:
        record.violations.append(f"{request_id}: run though no caller sent it")
    record.violations += _engine_violations(fleet)
    record.violations += _configuration_violations(record.sent)
    stood_still = record.longest_stall > _LONGEST_OWN_STALL
    overdue = record.inconclusive if stood_still else record.violations
    overdue += _recovery_violations(record)
    if record.planned:
        overdue += _timeout_violations(record.sent)


def _request_violations(sent: Sent, runs: int) -> list[str]:
    answer = sent.answer
    found = []
    if sent.route in _SINGLE_RUN_ROUTES and runs > 1:
        found.append(f"{sent.request_id} ({sent.route}): ran {runs} times")
    if answer.status in _REFUSALS and runs and sent.route in _SINGLE_RUN_ROUTES:
        found.append(f"{sent.request_id}: refused {answer.status} but ran")
    if answer.status != 200:
        return found
    if "response-signature" not in answer.headers or not runs:
        found.append(f"{sent.request_id}: success that no server gave")
    if answer.complete:
        found += _body_violations(sent)
    return found


def _body_violations(sent: Sent) -> list[str]:
    body = sent.answer.body
    if sent.request_id.encode() not in body.replace(b"\n", b" ").split():
        return [f"{sent.request_id}: answer of another request"]
    if sent.route not in _STREAM_ROUTES:
        return []
    numbers = [
        line.removeprefix(b"id: ")
        for line in body.split(b"\n")
        if line.startswith(b"id: ")
    ]
    if numbers != _EVENTS:
        return [f"{sent.request_id}: events {numbers}"]
    return []


def _loss_violations(sent: Sent, runs: int) -> list[str]:
    """Returns what was lost although nothing but planned work happened."""
    if sent.answer.complete or sent.answer.timed_out or not runs:
        # A request that crosses the close of its connection is lost, but never runs.
        return []
    return [f"{sent.request_id} at {sent.at:.2f}: ran, but its answer was lost"]


def _timeout_violations(sent: list[Sent]) -> list[str]:
    """Returns requests without an answer although their deadline had passed."""
    return [
        f"{item.request_id} at {item.at:.2f}: no answer until its caller gave up"
        for item in sent
        if item.answer.timed_out
    ]


def _engine_violations(fleet: PlatformFleet) -> list[str]:
    found = []
    for engine in fleet.engines:
        if engine.overcommit > 0:
            found.append(f"{engine.instance_id}: {engine.overcommit} adapters too many")
        tokens = [order.fields["FencingToken"] for order in engine.orders]
        if tokens != sorted(tokens):
            found.append(f"{engine.instance_id}: a fencing token fell")
    return found


def _configuration_violations(sent: list[Sent]) -> list[str]:
    """Returns requests that an entry refused as unknown after it knew their route."""
    newest: dict[tuple[int, int], int] = {}
    found = []
    for item in sent:
        if not item.route.startswith(_ADDED_ROUTE):
            continue
        number = int(item.route.removeprefix(_ADDED_ROUTE))
        if item.answer.status == 200:
            newest[item.process] = max(number, newest.get(item.process, -1))
        if item.answer.status == 404 and number <= newest.get(item.process, -1):
            found.append(f"{item.request_id}: {item.route} was known and is not")
    return found


def _recovery_violations(record: SoakRecord) -> list[str]:
    late = [sent for sent in record.sent if sent.at >= record.healed_at]
    served = sum(sent.answer.status == 200 for sent in late)
    if not late or served < _LEAST_SERVED_SHARE * len(late):
        return [f"after the faults {served} of {len(late)} served"]
    return []
