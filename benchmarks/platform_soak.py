"""Random faults against the programs of the platform path, run as real processes.

Callers send requests of every kind while instances are killed, paused and stopped, the
store goes away or forgets its history, servers leave and restart, and answers and
orders are lost. What callers and servers saw is checked against the users' promises.
"""

import argparse
import itertools
import random
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from standins.platform_fleet import Answer, FleetProcess, PlatformFleet
from standins.platform_runner import PlatformRunner, RunnerFaults

_ROUTES = ("stream", "resume", "order", "lookup")
_SINGLE_RUN_ROUTES = frozenset(("stream", "order"))
_REFUSALS = frozenset((408, 421, 429, 503))
_ADAPTERS = 12
_CALLERS = 12
_PAUSE = 0.03
# Longer than any answer may take, so that late runs are counted too.
_SETTLE = 5.0
_LEAST_SERVED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Sent:
    """A request and what its caller got.

    Attributes:
        request_id: Its id.
        route: Name of its route.
        at: Seconds since the start of the run.
        answer: What the caller got.
    """

    request_id: str
    route: str
    at: float
    answer: Answer


@dataclass(slots=True)
class SoakResult:
    """Outcome of a run.

    Attributes:
        sent: All requests.
        faults: Faults in order, with their times.
        violations: Broken promises.
    """

    sent: list[Sent] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


class PlatformSoak:
    """One run with a seed."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._fleet = PlatformFleet(engines=3)
        self._faults = RunnerFaults()
        self._result = SoakResult()
        self._ids = itertools.count()
        self._lock = threading.Lock()
        self._began = 0.0
        self._incarnations = itertools.count(1)
        self._stopped: set[int] = set()

    def run(self) -> SoakResult:
        """Plays the run and checks it."""
        for server in (*self._fleet.plain, *self._fleet.engines):
            server.faults = self._faults
        try:
            self._fleet.start()
            self._began = time.monotonic()
            self._play()
            time.sleep(_SETTLE)
            self._check()
        finally:
            self._fleet.stop()
        return self._result

    def _play(self) -> None:
        ending = threading.Event()
        seeds = [self._random.random() for _ in range(_CALLERS)]
        with ThreadPoolExecutor(_CALLERS) as pool:
            for seed in seeds:
                pool.submit(self._call_until, ending, random.Random(seed))
            try:
                while time.monotonic() - self._began < self._seconds:
                    self._strike()
                    time.sleep(self._random.uniform(0.2, 1.5))
                self._heal()
                time.sleep(4.0)
                self._note("healed")
                time.sleep(2.0)
            finally:
                ending.set()

    def _call_until(self, ending: threading.Event, rng: random.Random) -> None:
        while not ending.is_set():
            route = rng.choice(_ROUTES)
            request_id = f"r{next(self._ids)}"
            adapter = ""
            if route in ("stream", "resume"):
                adapter = f"a{min(rng.randrange(_ADAPTERS), rng.randrange(_ADAPTERS))}"
            at = time.monotonic() - self._began
            timeout = 8.0 if rng.random() < 0.9 else rng.uniform(0.005, 0.05)
            answer = self._fleet.ask(
                route,
                request_id,
                entry=rng.randrange(2),
                adapter=adapter,
                timeout=timeout,
            )
            with self._lock:
                self._result.sent.append(Sent(request_id, route, at, answer))
            time.sleep(rng.uniform(0, _PAUSE))

    # Faults.

    def _strike(self) -> None:
        faults: list[Callable[[], None]] = [
            self._kill,
            self._pause,
            self._stop_entry,
            self._store_outage,
            self._forget_history,
            self._lose_answers,
            self._lose_orders,
            self._restart_engine,
            self._drain_plain,
            self._change_configuration,
        ]
        self._random.choice(faults)()

    def _note(self, what: str) -> None:
        self._result.faults.append(f"{time.monotonic() - self._began:.2f} {what}")

    def _any_process(self) -> FleetProcess:
        return self._random.choice((*self._fleet.entries, *self._fleet.agents))

    def _kill(self) -> None:
        process = self._any_process()
        self._note(f"kill {process.settings['NodeName']}")
        process.kill_and_restart()

    def _pause(self) -> None:
        process = self._any_process()
        length = self._random.uniform(0.2, 2.5)
        self._note(f"pause {process.settings['NodeName']} {length:.1f}")
        process.signal(signal.SIGSTOP)
        time.sleep(length)
        process.signal(signal.SIGCONT)

    def _stop_entry(self) -> None:
        entry = self._random.choice(self._fleet.entries)
        self._note(f"terminate {entry.settings['NodeName']}")
        entry.terminate_and_restart()

    def _store_outage(self) -> None:
        length = self._random.uniform(0.3, 3.0)
        self._note(f"store down {length:.1f}")
        self._fleet.store.down = True
        time.sleep(length)
        self._fleet.store.down = False

    def _forget_history(self) -> None:
        self._note("store forgets its history")
        self._fleet.store.forget_history()

    def _lose_answers(self) -> None:
        self._note("answers lost, errors, rejections, second answers, cut streams")
        for name in ("reset", "errors", "shed", "second_answers", "cut_streams"):
            setattr(self._faults, name, self._random.randrange(4))

    def _lose_orders(self) -> None:
        self._note("orders lost")
        self._faults.lost_orders = self._random.randrange(1, 6)

    def _restart_engine(self) -> None:
        engine = self._random.choice(self._fleet.engines)
        name = f"{engine.instance_id.partition('+')[0]}+{next(self._incarnations)}"
        self._note(f"restart {engine.instance_id} as {name}")
        old = engine.instance_id
        engine.call(lambda: engine.restart(name))
        self._fleet.beat(engine)
        self._fleet.store.remove("servers", old)

    def _drain_plain(self) -> None:
        server: PlatformRunner = self._random.choice(self._fleet.plain)
        others = [item for item in self._fleet.plain if item is not server]
        if any(item.state != "ready" for item in others):
            return
        self._note(f"{server.instance_id} changes state")
        server.state = "draining" if server.state == "ready" else "ready"
        server.born_ms += 1
        self._fleet.beat(server)

    def _change_configuration(self) -> None:
        self._note("configuration")
        self._fleet.put_configuration()

    def _heal(self) -> None:
        self._note("heal")
        self._fleet.store.down = False
        for name in ("reset", "errors", "shed", "second_answers", "cut_streams"):
            setattr(self._faults, name, 0)
        self._faults.lost_orders = 0

    # Checks.

    def _check(self) -> None:
        servers: Sequence[PlatformRunner] = (*self._fleet.plain, *self._fleet.engines)
        runs = Counter(run.request_id for server in servers for run in server.runs)
        known = {sent.request_id: sent for sent in self._result.sent}
        for sent in self._result.sent:
            self._check_request(sent, runs[sent.request_id])
        for request_id in runs:
            if request_id not in known:
                self._violation(f"{request_id}: run though no caller sent it")
        self._check_engines()
        self._check_recovery()

    def _check_request(self, sent: Sent, runs: int) -> None:
        answer = sent.answer
        if sent.route in _SINGLE_RUN_ROUTES and runs > 1:
            self._violation(f"{sent.request_id} ({sent.route}): ran {runs} times")
        if answer.status in _REFUSALS and runs and sent.route in _SINGLE_RUN_ROUTES:
            self._violation(f"{sent.request_id}: refused {answer.status} but ran")
        if answer.status != 200:
            return
        if "response-signature" not in answer.headers or not runs:
            self._violation(f"{sent.request_id}: success that no server gave")
        if not answer.complete:
            return
        if sent.request_id.encode() not in answer.body.replace(b"\n", b" ").split():
            self._violation(f"{sent.request_id}: answer of another request")
        if sent.route in ("stream", "resume"):
            numbers = [
                line.removeprefix(b"id: ")
                for line in answer.body.split(b"\n")
                if line.startswith(b"id: ")
            ]
            if numbers != [b"1", b"2", b"3", b"4"]:
                self._violation(f"{sent.request_id}: events {numbers}")

    def _check_engines(self) -> None:
        for engine in self._fleet.engines:
            if engine.overfull > 0:
                self._violation(f"{engine.instance_id}: {engine.overfull} too many")
            tokens = [order.fields["FencingToken"] for order in engine.orders]
            if tokens != sorted(tokens):
                self._violation(f"{engine.instance_id}: a fencing token fell")

    def _check_recovery(self) -> None:
        healed = float(self._result.faults[-1].split()[0])
        late = [sent for sent in self._result.sent if sent.at >= healed]
        served = sum(sent.answer.status == 200 for sent in late)
        if not late or served < _LEAST_SERVED_SHARE * len(late):
            self._violation(f"after the faults {served} of {len(late)} served")

    def _violation(self, text: str) -> None:
        self._result.violations.append(text)


def main() -> int:
    """Runs the soak.

    Returns:
        0 if no promise was broken, else 1.
    """
    parser = argparse.ArgumentParser(prog="python -m benchmarks.platform_soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds in a row")
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        result = PlatformSoak(seed, options.seconds).run()
        outcomes = Counter(sent.answer.status for sent in result.sent)
        print(f"seed {seed}: {len(result.sent)} requests {dict(outcomes)}", flush=True)
        for violation in result.violations:
            print(f"  VIOLATION {violation}", flush=True)
        if result.violations:
            print("  " + "\n  ".join(result.faults), flush=True)
        failed += bool(result.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
