"""Tests of ``fighitch.core.gateway.zone_choice`` that replay its load patterns."""

import heapq
import random
import unittest
from collections import Counter
from dataclasses import replace

from fighitch.core.gateway.backend_choice import EngineRanker, EngineView
from fighitch.core.gateway.model import AdapterName, Route, WeightedService, WorkKind
from fighitch.core.gateway.zone_choice import (
    LeaveReason,
    ZoneChoice,
    engine_leave_reason,
    plain_leave_reason,
)
from fighitch.tests.gateway_helpers import A1, MODEL, server

SERVICE = "models"
BASE = AdapterName(MODEL)
WORK = 0.032  # prefill time of a prompt of 646 tokens
TOKENS = 646
REPORT_INTERVAL = 0.25


class Entry:
    """One entry that ranks engines by what it was told of them."""

    def __init__(self, number, zone, servers, *, seconds_per_byte=0.0, target=1.0):
        self.zone = zone
        self.rng = random.Random(f"entry-{number}")
        self.choice = ZoneChoice(zone, seconds_per_byte=seconds_per_byte)
        self.choice.set_routes([route(target)])
        self.ranker = EngineRanker(zone, self.rng)
        self.views = {
            item.instance_id: EngineView(item.instance_id) for item in servers
        }
        self.sent = Counter()

    def choose(self, servers, now, adapter=BASE):
        charges = self.choice.engine_charges(SERVICE, servers, self.views, now)
        ranked = self.ranker.rank(
            adapter, servers, self.views, lambda _: 0.0, charges=charges
        )
        return ranked[0].server


class Fleet:
    """Entries and engines with a virtual clock; engines run one prompt at a time."""

    def __init__(self, zones, *, entries=4, delay=0.0, policy=Entry.choose, **options):
        self.servers = [
            server(f"e{zone}{number}", zone=zone)
            for zone, count in zones.items()
            for number in range(count)
        ]
        self.entries = [
            Entry(f"{zone}{number}", zone, self.servers, **options)
            for zone in zones
            for number in range(entries)
        ]
        self.busy_until = {item.instance_id: 0.0 for item in self.servers}
        self.speed = dict.fromkeys(self.busy_until, 1.0)
        self.held = dict.fromkeys(self.busy_until, (BASE,))
        self.latency = dict.fromkeys(zones, 0.0)  # of connections to a zone
        self.silent = set()  # zones whose reports don't arrive
        self.delay = delay
        self.policy = policy
        self.now = 0.0
        self.rng = random.Random(1)
        self.results = []  # (time, zone of the entry, zone of the engine, wait)
        self.reports = []
        self.next_report = 0.0
        self.heads = []

    def run(self, seconds, rates, adapter=BASE):
        """Sends requests of each zone at a rate per second; returns their results."""
        first = len(self.results)
        begin, end = self.now, self.now + seconds
        arrivals = []
        for zone, rate in rates.items():
            time = begin
            while rate and (time := time + self.rng.expovariate(rate)) < end:
                arrivals.append((time, zone))
        for time, zone in sorted(arrivals):
            self.advance(time)
            entry = self.rng.choice(
                [item for item in self.entries if item.zone == zone]
            )
            self.send(entry, adapter)
        self.advance(end)
        return self.results[first:]

    def advance(self, time):
        while self.next_report <= time:
            self.report(self.next_report)
            self.next_report += REPORT_INTERVAL
        self.now = time
        while self.heads and self.heads[0][0] <= time:
            at, _, entry, zone, elapsed = heapq.heappop(self.heads)
            entry.choice.record_first_byte(SERVICE, zone, elapsed, at)

    def report(self, now):
        backlogs = {
            name: max(0.0, busy - now) for name, busy in self.busy_until.items()
        }
        self.reports.append((now + self.delay, now, backlogs))
        while self.reports and self.reports[0][0] <= now:
            _, at, backlogs = self.reports.pop(0)
            for item in self.servers:
                if item.zone not in self.silent:
                    self.deliver(item.instance_id, backlogs[item.instance_id], at)

    def deliver(self, name, backlog, at):
        for entry in self.entries:
            view = entry.views[name]
            view.connected = True
            view.backlog, view.pending_prefill = backlog, 0.0
            view.reported_at = at + self.delay
            view.entries = len(self.entries)
            view.adapters = dict.fromkeys((BASE, *self.held[name]), 1)
            view.seconds_per_token = WORK / TOKENS * self.speed[name]

    def send(self, entry, adapter):
        chosen = self.policy(entry, self.servers, self.now, adapter)
        name = chosen.instance_id
        start = max(self.now, self.busy_until[name])
        self.busy_until[name] = start + WORK * self.speed[name]
        view = entry.views[name]
        view.pending_prefill += TOKENS * view.seconds_per_token
        crossing = self.latency[chosen.zone] if chosen.zone != entry.zone else 0.0
        wait = self.busy_until[name] - self.now + crossing
        entry.choice.record_request(SERVICE, size=8_000, prompt_tokens=TOKENS)
        key = (self.now + wait, len(self.results))
        heapq.heappush(self.heads, (*key, entry, chosen.zone, wait))
        self.results.append((self.now, entry.zone, chosen.zone, wait))

    def lose(self, zone, keep=0):
        self.servers = [
            item
            for item in self.servers
            if item.zone != zone or int(item.instance_id[-1]) < keep
        ]


def route(target):
    service = (WeightedService(SERVICE, 1.0),)
    return Route("r", "h", "/", WorkKind.STREAMING, 10.0, target, 0, service)


def away(results, zone=None):
    """Returns the share of a zone's requests that left it."""
    own = [item for item in results if zone in (None, item[1])]
    return sum(item[1] != item[2] for item in own) / len(own)


def mean_wait(results):
    return sum(item[3] for item in results) / len(results)


def shares_by_second(results, zone):
    """Returns the share of a zone's requests that left it, for each second."""
    seconds = {}
    for item in results:
        if item[1] == zone:
            seconds.setdefault(int(item[0]), []).append(item)
    return [away(items) for items in seconds.values()]


if __name__ == "__main__":
    unittest.main()
