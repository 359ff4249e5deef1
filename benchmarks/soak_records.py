"""Observations of a soak run: responses, faults, configuration changes, violations."""

import threading
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from benchmarks.callers import Reply
from fighitch.types import Seconds

# Invariant 8: every daemon has an accepted change within this time.
CONFIGURATION_BOUND: Seconds = 5.0
# Number of violations printed in detail; further ones are only counted.
MAX_PRINTED = 40


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault or planned change and its interval; ``ended`` is inf while it lasts."""

    kind: str
    target: str
    started: Seconds
    ended: Seconds
    is_planned: bool = False


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A configuration change submitted with the command-line client.

    Attributes:
        key: ``Kind/name``.
        submitted: Time at which the client was started.
        accepted: Time at which the client reported success; None if it has not.
        revision: Resource version of the written object; 0 if unknown.
        value: Default version that the change sets; empty if it sets none.
    """

    key: str
    submitted: Seconds
    accepted: Seconds | None
    revision: int = 0
    value: str = ""


@dataclass(slots=True)
class OrderHistory:
    """One order and the run states that its caller received, in order.

    Attributes:
        key: Idempotency key.
        is_issued: Whether the key was issued by an entry.
        run_states: Run state of each response; empty if there was no response.
    """

    key: str
    is_issued: bool
    run_states: list[str] = field(default_factory=list)


class Records:
    """Collects the observations of a run; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.started_at = time.monotonic()
        self.violations: list[str] = []
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        self.in_time: dict[str, Counter[bool]] = defaultdict(Counter)
        self.faults: list[Fault] = []
        self.changes: dict[str, list[AppliedChange]] = defaultdict(list)
        self.orders: list[OrderHistory] = []
        self.not_run: set[str] = set()
        self.served_models: dict[str, str] = {}
        self.unclear_replies: list[tuple[str, str, Seconds, Seconds]] = []
        self.notes: Counter[str] = Counter()
        self.requests = 0

    def record_violation(self, name: str, **fields: Any) -> None:
        """Records and prints the violation of an invariant."""
        at = time.monotonic() - self.started_at
        values = " ".join(f"{key}={value!r}" for key, value in fields.items())
        with self._lock:
            self.violations.append(f"at={at:.2f}s {name} {values}")
            if len(self.violations) <= MAX_PRINTED:
                print(f"VIOLATION {self.violations[-1]}", flush=True)

    def count_note(self, name: str) -> None:
        """Counts a noteworthy event that is no violation."""
        with self._lock:
            self.notes[name] += 1

    def count_reply(self, request_kind: str, reply: Reply) -> None:
        """Counts a reply by its outcome and run state."""
        kind = reply.error_kind or str(reply.status)
        if reply.status and not reply.is_whole:
            kind = "cut"
        if not reply.status:
            kind = "connection lost" if reply.is_connected else "connection refused"
        with self._lock:
            self.requests += 1
            self.outcomes[request_kind, kind, reply.run_state or "-"] += 1
            request_id = reply.headers.get("x-request-id", "")
            if request_id and reply.run_state == "not_run":
                self.not_run.add(request_id)
            elif request_id and reply.status == 200 and "x-model" in reply.headers:
                self.served_models[request_id] = reply.headers["x-model"]

    def count_timeliness(self, rank: str, is_in_time: bool) -> None:
        """Counts whether a request succeeded within its latency target."""
        with self._lock:
            self.in_time[rank][is_in_time] += 1

    def record_unclear_reply(
        self, entry: str, what: str, started: Seconds, ended: Seconds
    ) -> None:
        """Records a reply whose outcome is unclear, for comparison with the faults."""
        with self._lock:
            self.unclear_replies.append((entry, what, started, ended))

    def record_fault(self, fault: Fault) -> None:
        """Records a fault that has ended."""
        with self._lock:
            self.faults.append(fault)

    def record_change(self, change: AppliedChange) -> None:
        """Records a configuration change; those of one key in order of submission."""
        with self._lock:
            self.changes[change.key].append(change)

    def replace_change(self, before: AppliedChange, after: AppliedChange) -> None:
        """Replaces a change by its state after the client has exited."""
        with self._lock:
            items = self.changes[before.key]
            items[items.index(before)] = after

    def record_order(self, history: OrderHistory) -> None:
        """Records an order that its caller has completed or abandoned."""
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
        """Returns the default versions that may have been in force in an interval."""
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
        """Returns the unplanned faults in an interval, of one target or of all."""
        return [
            fault
            for fault in self.faults
            if not fault.is_planned
            and fault.started <= ended
            and fault.ended >= started
            and target in ("", fault.target)
        ]
