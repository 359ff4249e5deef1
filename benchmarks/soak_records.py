"""What a soak run saw: callers' answers, faults, configuration changes, violations."""

import threading
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from benchmarks.callers import Reply
from fighitch.types import Seconds

CONFIGURATION_BOUND: Seconds = 5.0
# Violations that are printed with their details; the others are only counted.
MAX_PRINTED = 40


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and the time in which it was in force; open while ``ended`` is inf."""

    kind: str
    target: str
    started: Seconds
    ended: Seconds
    is_planned: bool = False


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A configuration change that the operators' client wrote.

    Attributes:
        key: ``Kind/name``.
        submitted: When the client was started.
        accepted: When it said "accepted"; None if it did not.
        revision: Resource version; 0 if the client did not state one.
        value: Default version that the change sets; empty if it sets none.
    """

    key: str
    submitted: Seconds
    accepted: Seconds | None
    revision: int = 0
    value: str = ""


@dataclass(slots=True)
class OrderHistory:
    """One order and every answer that its caller got, in order.

    Attributes:
        key: Idempotency key.
        is_issued: Whether the key was issued by an entry.
        run_states: Run state of each answer; empty text if there was none.
    """

    key: str
    is_issued: bool
    run_states: list[str] = field(default_factory=list)


class Records:
    """Collects what was seen; safe to use from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.started_at = time.monotonic()
        self.violations: list[str] = []
        self.answers: Counter[tuple[str, str, str]] = Counter()
        self.in_time: dict[str, Counter[bool]] = defaultdict(Counter)
        self.faults: list[Fault] = []
        self.changes: dict[str, list[AppliedChange]] = defaultdict(list)
        self.orders: list[OrderHistory] = []
        self.not_run: set[str] = set()
        self.ran_on: dict[str, str] = {}
        self.unclear: list[tuple[str, str, Seconds, Seconds]] = []
        self.notes: Counter[str] = Counter()
        self.requests = 0

    def violation(self, name: str, **fields: Any) -> None:
        """Records that an invariant does not hold."""
        at = time.monotonic() - self.started_at
        values = " ".join(f"{key}={value!r}" for key, value in fields.items())
        with self._lock:
            self.violations.append(f"at={at:.2f}s {name} {values}")
            if len(self.violations) <= MAX_PRINTED:
                print(f"VIOLATION {self.violations[-1]}", flush=True)

    def note(self, name: str) -> None:
        """Counts something that is worth knowing but no violation."""
        with self._lock:
            self.notes[name] += 1

    def answered(self, work: str, reply: Reply) -> None:
        """Counts an answer."""
        kind = reply.error_kind or str(reply.status)
        if reply.status and not reply.is_whole:
            kind = "cut"
        if not reply.status:
            kind = "connection lost" if reply.is_connected else "connection refused"
        with self._lock:
            self.requests += 1
            self.answers[work, kind, reply.run_state or "-"] += 1
            request_id = reply.headers.get("x-request-id", "")
            if request_id and reply.run_state == "not_run":
                self.not_run.add(request_id)
            elif request_id and reply.status == 200 and "x-model" in reply.headers:
                self.ran_on[request_id] = reply.headers["x-model"]

    def timed(self, rank: str, is_in_time: bool) -> None:
        """Counts whether a request was answered within its target."""
        with self._lock:
            self.in_time[rank][is_in_time] += 1

    def unclear_answer(
        self, entry: str, what: str, started: Seconds, ended: Seconds
    ) -> None:
        """Notes an answer that leaves open what happened, to compare with faults."""
        with self._lock:
            self.unclear.append((entry, what, started, ended))

    def fault(self, fault: Fault) -> None:
        """Records a fault that is over."""
        with self._lock:
            self.faults.append(fault)

    def change(self, change: AppliedChange) -> None:
        """Records a configuration change, in the order of submission for each key."""
        with self._lock:
            self.changes[change.key].append(change)

    def settle_change(self, before: AppliedChange, after: AppliedChange) -> None:
        """Replaces a change by what is known after the client has ended."""
        with self._lock:
            items = self.changes[before.key]
            items[items.index(before)] = after

    def order(self, history: OrderHistory) -> None:
        """Records an order that its caller has given up or finished."""
        with self._lock:
            self.orders.append(history)

    def accepted_changes(self) -> list[AppliedChange]:
        """Returns every change that the client reported as accepted."""
        with self._lock:
            return [
                change
                for changes in self.changes.values()
                for change in changes
                if change.accepted is not None and change.revision
            ]

    def allowed_values(
        self, key: str, initial: str, started: Seconds, ended: Seconds
    ) -> set[str]:
        """Returns the values that may have been in force during an interval."""
        with self._lock:
            changes = list(self.changes[key])
        allowed = {initial}
        for change in changes:
            if change.submitted > ended or not change.value:
                continue
            accepted = change.accepted
            if accepted is not None and accepted + CONFIGURATION_BOUND < started:
                allowed.clear()
            allowed.add(change.value)
        return allowed

    def faults_during(
        self, started: Seconds, ended: Seconds, *, target: str = ""
    ) -> Sequence[Fault]:
        """Returns the unplanned faults in force in an interval."""
        return [
            fault
            for fault in self.faults
            if not fault.is_planned
            and fault.started <= ended
            and fault.ended >= started
            and target in ("", fault.target)
        ]
