"""Soak test of the platform path: random faults on real processes.

Callers send requests of every kind on reused and on new connections while overlapping
faults are injected: instances are killed, paused and stopped; proxies delay, reset or
silence connections or cut them in one direction; the store becomes unavailable, loses
its history or is restored from an older copy; servers drain and restart; responses and
orders are lost; streams are cut and continued by engines that answer with something
else; prompts with one part crash engines; servers limit the requests that they take,
say in their answers that they leave, or reject requests and ask for a pause. Sound
servers fall silent for a while, and configurations change limits, timeouts and services
in quick succession. Some requests are long, some callers read slowly or let their
connections rest. The observations of callers and servers are checked against the
guarantees for users. A planned run has planned operations only and must not lose any
response.
"""

import argparse
import heapq
import http.client
import itertools
import random
import re
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from benchmarks.platform_soak_checks import (
    CRASHING_PART,
    CRASHING_PREFIX,
    USUAL_EVENTS,
    SentRequest,
    SoakRecord,
    check,
)
from standins.fault_proxy import FaultProxy
from standins.platform_backends import (
    EVENT_INTERVAL_HEADER,
    EVENTS_HEADER,
    RESPONSE_PAIRS_HEADER,
    RUN_TIME_HEADER,
    BackendFaults,
    PlatformBackend,
    PlatformEngine,
)
from standins.platform_fleet import (
    FleetProcess,
    PlatformFleet,
    send_on_connection,
    wait_until,
)

_ROUTES = ("stream", "resume", "order", "lookup")
_ADAPTERS = 12
_CALLERS = 12
_MAX_PAUSE = 0.03
# Longer than any response may take, so that late runs are counted too.
_SETTLE_TIME = 5.0
_RECOVERY_TIME = 4.0
_LOAD_AFTER_RECOVERY = 2.0
_REUSE_SHARE = 0.7
_DISCONNECT_SHARE = 0.1
# Share of the streams whose prompt has the part that crashes engines.
_CRASHING_SHARE = 0.05
_CALLER_TIMEOUT = 8.0
# Shares of the requests that are long, of the callers that read slowly, and of the
# connections that rest before they are used again.
_LONG_SHARE = 0.08
_SLOW_SHARE = 0.05
_REST_SHARE = 0.03
_MAX_REST = 1.5
_LONG_BODY = b"body " * 60_000
# A sound server may fall silent this long, in seconds, and go on.
_SILENCE = (0.8, 1.5)
_IDLE_TIMEOUTS_MS = (300, 1_000, 3_000, 15_000)
_ROUTE_TIMEOUTS_MS = (3_000, 5_000, 8_000)
_USUAL_TIMEOUT = 5.0
# A leaving engine is asked this often whether it still streams: for longer than any
# stream may take.
_CHECK_INTERVAL = 0.05
_MAX_CHECKS = 120
_RESPONSE_FAULTS = (
    "reset",
    "errors",
    "shed",
    "second_answers",
    "cut_streams",
    "repeated_refusals",
    "unnamed_refusals",
    "invalid_statuses",
)
# Faults end late when the soak test itself is slow.
_DISTURBANCE_MARGIN = 0.5
# A run whose seed is a multiple of this has planned operations only.
PLANNED_EVERY = 5


class PlatformSoak:
    """One soak run with a given seed."""

    def __init__(
        self, seed: int, seconds: float, *, engines: int = 3, entries: int = 2
    ) -> None:
        """Prepares the fleet.

        Args:
            seed: Determines requests and faults.
            seconds: Duration of fault injection.
            engines: Number of engines, each with its agent.
            entries: Number of entries.
        """
        self._random = random.Random(seed)
        self._seconds = seconds
        self._fleet = PlatformFleet(engines=engines, entries=entries, proxied=True)
        self._faults = BackendFaults()
        self._planned = seed % PLANNED_EVERY == 0
        self._record = SoakRecord(planned=self._planned)
        self._ids = itertools.count()
        self._lock = threading.Lock()
        self._started_at = 0.0
        self._incarnations = itertools.count(1)
        # Heap of the actions that end active faults: time, sequence number, action.
        self._pending_clears: list[tuple[float, int, Callable[[], None]]] = []
        self._clear_order = itertools.count()
        self._stop_pool = ThreadPoolExecutor(4)
        self._routes = list(_ROUTES)
        self._has_crashing_prompts = False
        # Time until which each server is silent.
        self._silent_until: dict[PlatformBackend, float] = {}

    def run(self) -> SoakRecord:
        """Runs load and faults and checks the observations."""
        for server in (*self._fleet.plain_servers, *self._fleet.engines):
            server.faults = self._faults
        try:
            self._fleet.start()
            self._started_at = self._record.started_at = time.monotonic()
            self._run_load_and_faults()
            time.sleep(_SETTLE_TIME)
            check(self._record, self._fleet)
            self._keep_logs()
        finally:
            self._stop_pool.shutdown()
            self._fleet.stop()
        return self._record

    def _keep_logs(self) -> None:
        """Keeps what the programs logged about requests that violate a guarantee."""
        text = " ".join(self._record.violations)
        ids = {item.request_id for item in self._record.sent if item.request_id in text}
        for process in (*self._fleet.entries, *self._fleet.agents):
            self._record.program_logs += [
                line
                for line in process.log().splitlines()
                if ids & set(re.split(r"[ =]", line))
            ]

    def _now(self) -> float:
        return time.monotonic() - self._started_at

    def _run_load_and_faults(self) -> None:
        ending = threading.Event()
        seeds = [self._random.random() for _ in range(_CALLERS)]
        with ThreadPoolExecutor(_CALLERS) as pool:
            for seed in seeds:
                pool.submit(self._call_until, ending, random.Random(seed))
            # Planned operations have to meet each other and long requests.
            longest = 0.6 if self._planned else 1.2
            try:
                while self._now() < self._seconds:
                    self._inject_fault()
                    self._wait(self._random.uniform(0.1, longest))
                self._clear_faults()
                time.sleep(_RECOVERY_TIME)
                self._log_fault("healed")
                self._record.recovered_at = self._now()
                time.sleep(_LOAD_AFTER_RECOVERY)
            finally:
                ending.set()

    def _wait(self, length: float) -> None:
        """Waits and meanwhile ends the faults that are due."""
        end = self._now() + length
        while self._pending_clears and self._pending_clears[0][0] <= end:
            due, _, clear = heapq.heappop(self._pending_clears)
            time.sleep(max(0.0, due - self._now()))
            clear()
        time.sleep(max(0.0, end - self._now()))

    def _schedule_clear(self, length: float, clear: Callable[[], None]) -> None:
        heapq.heappush(
            self._pending_clears, (self._now() + length, next(self._clear_order), clear)
        )

    # --- Callers ---

    def _call_until(self, ending: threading.Event, rng: random.Random) -> None:
        connections: dict[int, http.client.HTTPConnection] = {}
        while not ending.is_set():
            entry = rng.randrange(len(self._fleet.entries))
            if rng.random() > _REUSE_SHARE and entry in connections:
                connections.pop(entry).close()
            connection = connections.get(entry)
            if connection is None:
                host, port = self._fleet.front_address(entry)
                connection = http.client.HTTPConnection(host, port)
                connections[entry] = connection
            if not self._call(entry, connection, rng):
                connections.pop(entry).close()
            rests = rng.random() < _REST_SHARE
            time.sleep(rng.uniform(0, _MAX_REST if rests else _MAX_PAUSE))
        for connection in connections.values():
            connection.close()

    def _call(
        self, entry: int, connection: http.client.HTTPConnection, rng: random.Random
    ) -> bool:
        """Sends one request; returns whether the connection can be reused."""
        route = rng.choice(self._routes)
        request_id = f"r{next(self._ids)}"
        adapter = ""
        headers: dict[str, Any] = {}
        if route in ("stream", "resume"):
            adapter = f"a{min(rng.randrange(_ADAPTERS), rng.randrange(_ADAPTERS))}"
            parts = ["first:80", f"of-{adapter}:20"]
            if rng.random() < _CRASHING_SHARE and self._has_crashing_prompts:
                request_id = CRASHING_PREFIX + request_id
                parts.append(f"{CRASHING_PART}:10")
            headers["Prompt_Prefix"] = ",".join([*parts, f"{request_id}:5"])
        events = USUAL_EVENTS
        body = b"body"
        if rng.random() < _LONG_SHARE:
            body = rng.choice((body, _LONG_BODY))
            events = rng.randint(40, 80) if adapter else USUAL_EVENTS
            headers |= {
                EVENTS_HEADER: str(events),
                EVENT_INTERVAL_HEADER: str(rng.randint(10, 30)),
                RUN_TIME_HEADER: str(rng.randint(300, 1_000)),
                RESPONSE_PAIRS_HEADER: str(rng.choice((0, 200_000))),
            }
        is_slow = rng.random() < _SLOW_SHARE
        disconnects = rng.random() < _DISCONNECT_SHARE and not self._planned
        timeout = rng.uniform(0.005, 0.05) if disconnects else _CALLER_TIMEOUT
        connection.timeout = timeout
        if connection.sock is not None:
            connection.sock.settimeout(timeout)
        incarnation = self._fleet.entries[entry].incarnation
        at = self._now()
        answer = send_on_connection(
            connection,
            route,
            request_id,
            adapter=adapter,
            body=body,
            read_pause=rng.uniform(0.01, 0.04) if is_slow else 0.0,
            **headers,
        )
        answered_at = self._now()
        process = (entry, incarnation)
        with self._lock:
            self._record.sent.append(
                SentRequest(request_id, route, at, answer, process, answered_at, events)
            )
        return answer.complete and connection.sock is not None

    # --- Faults ---

    def _inject_fault(self) -> None:
        planned: list[Callable[[], None]] = [
            self._stop_entry,
            self._stop_agent,
            self._fall_silent,
            self._drain_plain,
            self._change_configuration,
            self._change_configuration_often,
            self._reload,
            self._leave,
        ]
        unplanned: list[Callable[[], None]] = [
            self._kill,
            self._pause,
            self._store_outage,
            self._forget_history,
            self._age_copy,
            self._lose_responses,
            self._cut_streams,
            self._lose_orders,
            self._restart_engine,
            self._delay_link,
            self._cut_link,
            self._reset_link,
            self._silence_link,
            self._start_crashing_prompts,
            self._limit_server,
            self._ask_for_pauses,
        ]
        faults = planned if self._planned else planned + unplanned
        self._random.choice(faults)()

    def _log_fault(self, what: str) -> None:
        self._record.faults.append(f"{self._now():.2f} {what}")

    def _choose_process(self) -> FleetProcess:
        return self._random.choice((*self._fleet.entries, *self._fleet.agents))

    def _choose_link(self, what: str) -> FaultProxy:
        name = self._random.choice(list(self._fleet.links))
        self._log_fault(f"{what} {name}")
        return self._fleet.links[name]

    def _kill(self) -> None:
        process = self._choose_process()
        self._log_fault(f"kill {process.settings['NodeName']}")
        process.kill_and_restart()

    def _pause(self) -> None:
        process = self._choose_process()
        length = self._random.uniform(0.2, 2.5)
        self._log_fault(f"pause {process.settings['NodeName']} {length:.1f}")
        self._record.freezes.append((process.settings["NodeName"], self._now()))
        process.signal(signal.SIGSTOP)
        self._schedule_clear(length, lambda: process.signal(signal.SIGCONT))
        self._record_disturbance(length)

    def _reload(self) -> None:
        process = self._choose_process()
        self._log_fault(f"reload {process.settings['NodeName']}")
        process.signal(signal.SIGHUP)

    def _stop_entry(self) -> None:
        entry = self._random.choice(self._fleet.entries)
        others = [item for item in self._fleet.entries if item is not entry]
        if self._planned and not all(map(self._fleet.is_ready, others)):
            return
        self._log_fault(f"terminate {entry.settings['NodeName']}")
        self._stop_pool.submit(entry.terminate_and_restart)

    def _stop_agent(self) -> None:
        agent = self._random.choice(self._fleet.agents)
        self._log_fault(f"terminate {agent.settings['NodeName']}")
        self._stop_pool.submit(agent.terminate_and_restart)

    def _fall_silent(self) -> None:
        """Lets one sound server or several fall silent and go on."""
        now = self._now()
        awake = [
            server
            for server in (*self._fleet.plain_servers, *self._fleet.engines)
            if self._silent_until.get(server, 0.0) < now
        ]
        if not awake:
            return
        count = self._random.choice((1, self._random.randint(1, len(awake))))
        length = self._random.uniform(*_SILENCE)
        chosen = self._random.sample(awake, count)
        names = " ".join(server.instance_id for server in chosen)
        self._log_fault(f"{names} silent for {length:.1f}")
        for server in chosen:
            self._silent_until[server] = now + length + _DISTURBANCE_MARGIN
            server.fall_silent(length)
        self._record_disturbance(length)

    def _store_outage(self) -> None:
        length = self._random.uniform(0.3, 3.0)
        self._log_fault(f"store down {length:.1f}")
        self._fleet.store.down = True
        self._schedule_clear(length, self._end_outage)

    def _end_outage(self) -> None:
        self._fleet.store.down = False

    def _forget_history(self) -> None:
        self._log_fault("store loses its history")
        self._fleet.store.compact_history()

    def _age_copy(self) -> None:
        """Copies the store and goes back to the copy after some seconds."""
        self._log_fault("store is copied")
        self._fleet.store.take_copy()
        self._schedule_clear(self._random.uniform(0.5, 5.0), self._restore_copy)

    def _restore_copy(self) -> None:
        self._log_fault("store is restored")
        self._fleet.store.restore_copy(cut_watches=self._random.random() < 0.5)
        delay = self._random.uniform(0.0, 1.5)
        self._schedule_clear(delay, self._write_again)

    def _write_again(self) -> None:
        """Writes again what the operator and the servers have written."""
        self._log_fault("servers and configuration are written again")
        servers = (*self._fleet.plain_servers, *self._fleet.engines)
        for server in servers:
            self._fleet.publish_heartbeat(server)
        living = {server.instance_id for server in servers}
        for name in self._fleet.store.names("servers"):
            if name not in living:
                self._fleet.store.remove("servers", name)
        self._fleet.put_configuration()

    def _lose_responses(self) -> None:
        self._log_fault(
            "lost responses, errors, rejections, repeated refusals, second responses, "
            "cut streams, invalid statuses"
        )
        for name in _RESPONSE_FAULTS:
            setattr(self._faults, name, self._random.randrange(4))

    def _cut_streams(self) -> None:
        """Cuts streams, some of which get a wrong response as a continuation."""
        self._log_fault("streams cut, wrong continuations")
        self._faults.cut_streams = self._random.randrange(4, 20)
        self._faults.wrong_continuations = self._random.randrange(2, 10)

    def _lose_orders(self) -> None:
        self._log_fault("orders lost")
        self._faults.lost_orders = self._random.randrange(1, 6)

    def _restart_engine(self) -> None:
        engine = self._random.choice(self._fleet.engines)
        name = f"{engine.instance_id.partition('+')[0]}+{next(self._incarnations)}"
        self._log_fault(f"restart {engine.instance_id} as {name}")
        old = engine.instance_id
        engine.call(lambda: engine.restart(name))
        self._fleet.publish_heartbeat(engine)
        self._fleet.store.remove("servers", old)

    def _drain_plain(self) -> None:
        server: PlatformBackend = self._random.choice(self._fleet.plain_servers)
        others = [item for item in self._fleet.plain_servers if item is not server]
        if server.leaving or any(
            item.leaving or item.state != "ready" for item in others
        ):
            return
        self._log_fault(f"{server.instance_id} changes state")
        server.state = "draining" if server.state == "ready" else "ready"
        server.start_time_ms += 1
        self._fleet.publish_heartbeat(server)

    def _change_configuration(self) -> None:
        self._record.timeouts.append((self._now(), _USUAL_TIMEOUT))
        route = self._fleet.add_route()
        self._log_fault(f"configuration with {route}")
        self._routes.append(route)

    def _change_configuration_often(self) -> None:
        """Changes limits, timeouts and services of routes in quick succession."""
        for _ in range(self._random.randint(1, 5)):
            idle_ms = self._random.choice(_IDLE_TIMEOUTS_MS)
            timeout_ms = self._random.choice(_ROUTE_TIMEOUTS_MS)
            slots = self._random.choice((None, 1, 2, 8, 8))
            route: dict[str, Any] = {"TimeoutMs": timeout_ms}
            moved = self._random.choice(("", *_ROUTES))
            changes = dict.fromkeys(_ROUTES, route)
            if moved:
                service = "models" if moved in ("stream", "resume") else "orders"
                weights = {service: self._random.choice((0, 1, 9)), "spare": 1}
                changes[moved] = route | {
                    "WeightedBackends": [
                        {"Service": name, "Weight": weight}
                        for name, weight in weights.items()
                    ]
                }
            self._log_fault(
                f"configuration with idle {idle_ms} timeout {timeout_ms} "
                f"moved {moved or 'none'} slots {slots}"
            )
            self._record.timeouts.append((self._now(), timeout_ms / 1_000))
            self._fleet.put_configuration(
                {"IdleTimeoutMs": idle_ms}, engine_slots=slots, **changes
            )
            self._wait(self._random.uniform(0.0, 0.2))
        if self._random.random() < 0.5:
            self._restore_configuration()

    def _restore_configuration(self) -> None:
        self._log_fault("configuration restored")
        self._record.timeouts.append((self._now(), _USUAL_TIMEOUT))
        self._fleet.put_configuration()

    def _delay_link(self) -> None:
        delay = self._random.uniform(0.02, 0.6)
        link = self._choose_link(f"delay {delay:.2f}")
        link.faults.delay = delay
        length = self._random.uniform(0.5, 3.0)
        self._schedule_clear(length, link.heal)
        self._record_disturbance(length)

    def _cut_link(self) -> None:
        to_server, to_client = self._random.choice(
            ((False, False), (True, False), (False, True))
        )
        link = self._choose_link(f"cut to_server={to_server} to_client={to_client}")
        link.faults.to_server, link.faults.to_client = to_server, to_client
        length = self._random.uniform(0.3, 3.0)
        self._schedule_clear(length, link.heal)
        self._record_disturbance(length)

    def _reset_link(self) -> None:
        self._choose_link("reset").reset_all()

    def _silence_link(self) -> None:
        self._choose_link("silence").silence_all()

    def _start_crashing_prompts(self) -> None:
        """Lets some prompts crash engines until the end of the run."""
        self._log_fault("crashing prompts")
        for engine in self._fleet.engines:
            engine.crashing_part = CRASHING_PART
        self._has_crashing_prompts = True

    def _limit_server(self) -> None:
        """Lets a server limit its requests until the end of the run."""
        server: PlatformBackend = self._random.choice(
            (*self._fleet.plain_servers, *self._fleet.engines)
        )
        limit = round(self._random.uniform(1.0, 8.0), 1)
        self._log_fault(f"{server.instance_id} limits its requests to {limit}")
        server.server_limit = limit

    def _leave(self) -> None:
        """Lets a server say in its answers that it leaves, until its next start.

        The instance list calls it ready all the time, or it is removed there first.
        """
        servers = list[PlatformBackend](self._fleet.plain_servers)
        if self._random.random() < 0.5:
            servers = list(self._fleet.engines)
        if any(item.leaving or item.state != "ready" for item in servers):
            return
        server = self._random.choice(servers)
        is_removed = self._random.random() < 0.5
        removal = ", removed first" if is_removed else ""
        self._log_fault(f"{server.instance_id} leaves{removal}")
        if is_removed:
            self._fleet.store.remove("servers", server.instance_id)
        server.leaving = True
        incarnation = server.incarnation
        length = self._random.uniform(3.0, 6.0)
        self._schedule_clear(length, lambda: self._end_leave(server, incarnation))

    def _end_leave(
        self,
        server: PlatformBackend,
        incarnation: tuple[str, int],
        *,
        checks: int = _MAX_CHECKS,
    ) -> None:
        """Starts the next incarnation unless a crash or restart has done so.

        In a planned run an engine completes its streams first. A stream that it broke
        off itself would count as lost by the programs.
        """
        if server.incarnation != incarnation:
            return
        is_streaming = isinstance(server, PlatformEngine) and server.is_streaming
        if self._planned and is_streaming and checks > 0:
            self._schedule_clear(
                _CHECK_INTERVAL,
                lambda: self._end_leave(server, incarnation, checks=checks - 1),
            )
            return
        old = server.instance_id
        # Engines that restart after a crash are numbered on their own.
        name = f"{old.partition('+')[0]}+left-{next(self._incarnations)}"
        self._log_fault(f"{old} has left, {name} starts")
        server.call(lambda: server.restart(name))
        self._fleet.publish_heartbeat(server)
        self._fleet.store.remove("servers", old)

    def _ask_for_pauses(self) -> None:
        """Lets a third of the servers reject requests and ask for a pause."""
        servers: list[PlatformBackend] = [
            *self._fleet.plain_servers,
            *self._fleet.engines,
        ]
        chosen = self._random.sample(servers, max(1, len(servers) // 3))
        length = self._random.uniform(0.6, 3.0)
        names = " ".join(server.instance_id for server in chosen)
        self._log_fault(f"{names} ask for a pause of {length:.1f}")
        for server in chosen:
            server.pauses_until = time.monotonic() + length

    def _restart_ended_processes(self) -> None:
        """Reports and restarts processes that ended by themselves."""
        for process in (*self._fleet.entries, *self._fleet.agents):
            code = process.ended_with
            if code is None:
                continue
            line = f"{process.settings['NodeName']} ended by itself with {code}"
            self._log_fault(line)
            # A program can't handle SIGHUP before its interpreter has started.
            is_hangup = code == -signal.SIGHUP
            record = self._record
            (record.inconclusive if is_hangup else record.violations).append(line)
            process.kill_and_restart()

    def _record_disturbance(self, length: float) -> None:
        now = time.monotonic()
        self._record.disturbances.append((now, now + length + _DISTURBANCE_MARGIN))

    def _clear_faults(self) -> None:
        self._log_fault("heal")
        while self._pending_clears:
            heapq.heappop(self._pending_clears)[2]()
            time.sleep(_CHECK_INTERVAL)
        for link in self._fleet.links.values():
            link.heal()
        for name in _RESPONSE_FAULTS:
            setattr(self._faults, name, 0)
        self._faults.wrong_continuations = 0
        self._faults.lost_orders = 0
        self._restore_configuration()
        self._restart_ended_processes()
        wait_until(lambda: all(map(self._fleet.is_ready, self._fleet.entries)))


def main() -> int:
    """Runs the soak.

    Returns:
        0 if no guarantee was violated, else 1.
    """
    parser = argparse.ArgumentParser(prog="python -m benchmarks.platform_soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--engines", type=int, default=3, help="at most 20")
    parser.add_argument("--entries", type=int, default=2, help="at most 20")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        record = PlatformSoak(
            seed, options.seconds, engines=options.engines, entries=options.entries
        ).run()
        outcomes = Counter(sent.answer.status for sent in record.sent)
        print(
            f"seed {seed}: {len(record.sent)} requests {dict(outcomes)}, "
            f"own stall {record.longest_stall:.2f} s",
            flush=True,
        )
        for violation in record.violations:
            print(f"  VIOLATION {violation}", flush=True)
        for unknown in record.inconclusive:
            print(f"  inconclusive: {unknown}", flush=True)
        if record.violations:
            print("  " + "\n  ".join(record.faults), flush=True)
            for line in record.program_logs:
                print(f"  {line}", flush=True)
        failed += bool(record.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
