"""Keeps requests whose prompts crash engines away from them, over the whole fleet."""

import random
import time
from collections.abc import Callable, Iterable

import msgspec

from fighitch.core.gateway.crash_evidence import (
    EVIDENCE_LIFETIME,
    Crash,
    PartGroup,
)
from fighitch.core.gateway.lost_runs import LostRuns
from fighitch.core.gateway.model import BackendServer, Incarnation
from fighitch.core.gateway.quarantine import Quarantine, StoredQuarantine
from fighitch.core.gateway.settings import Address
from fighitch.gateway.crash_reports import build_report, merge_report
from fighitch.gateway.peer_messages import CrashReport
from fighitch.gateway.store_calls import StoreCalls
from fighitch.gateway.unreadable_objects import UnreadableObjects
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform import store
from fighitch.platform.quarantine import (
    QUARANTINE_KIND,
    decode_quarantine,
    encode_quarantine,
    quarantine_name,
)
from fighitch.platform.requests import encode_call
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_client import SerialClient
from fighitch.types import Seconds

_MS_PER_SECOND = 1_000
_WRITTEN_STATUSES = (200, 201)
_DELETED_STATUSES = (200, 404)
_CONFLICT = 409
_STORE_TIMEOUT: Seconds = 0.8
_STORE_RETRY_DELAY: Seconds = 1.0
# Each instance waits for a random time before it writes again what a restore of the
# store has lost, so that mostly one of them does and the others hear of it.
_MIN_REWRITE_DELAY: Seconds = 0.3
_MAX_REWRITE_DELAY: Seconds = 2.0
# Crashes are reported again to other agents, in case the first ones were cut off.
_REPORT_INTERVAL: Seconds = 0.7
_REPORT_TIME: Seconds = 3.0
# Agents may report an engine as serving for this time after its crash: they notice it
# after two lost reports, and their messages can be late.
_SERVING_REPORT_LAG: Seconds = 3.0


class PartQuarantine:
    """Collects the evidence of an entry and shares it with the other entries."""

    def __init__(
        self,
        loop: EventLoop,
        store_address: Address,
        log: BoundedLog,
        *,
        spread: Callable[[CrashReport], None],
        on_change: Callable[[], None],
        calls: StoreCalls | None = None,
    ) -> None:
        """Initializes the quarantine without any evidence.

        Args:
            loop: Event loop that runs the calls and timers.
            store_address: Address of the platform's store.
            log: Log for crashes and quarantined parts.
            spread: Sends a crash report to the other entries.
            on_change: Called when other requests are blocked than before.
            calls: Calls to the store, shared with its other clients; None for calls of
                the quarantine alone.
        """
        self._loop = loop
        self._log = log
        self._spread = spread
        self._on_change = on_change
        self._unreadable = UnreadableObjects(log, "quarantine_unreadable", loop.now)
        self._quarantine = Quarantine()
        self._lost_runs = LostRuns()
        self._client = SerialClient(loop, store_address)
        self._calls = calls or StoreCalls(loop, log)
        self._writing = False
        self._write_not_before: Seconds = 0.0
        self._known_groups: set[PartGroup] = set()
        self._own_crashes: dict[Incarnation, Crash] = {}
        self._reported_at: Seconds = float("-inf")

    def connect(self, store_address: Address, calls: StoreCalls) -> None:
        """Uses another address of the store, which may lack what was stored."""
        self._client.close()
        self._client = SerialClient(self._loop, store_address)
        self._calls = calls
        self._writing = False
        self.on_store_restored()

    def blocks(self, parts: tuple[str, ...]) -> bool:
        """Returns whether a request with these parts must not reach an engine."""
        return bool(parts) and self._quarantine.blocks(parts)

    def is_suspect(self, parts: tuple[str, ...]) -> bool:
        """Returns whether a request with these parts may have crashed an engine."""
        return self._quarantine.evidence.is_suspect(parts)

    # Evidence of this entry.

    def record_lost(self, server: BackendServer, parts: tuple[str, ...]) -> None:
        """Records a request that was lost before its answer was under way."""
        crash = self._lost_runs.record_lost(server.incarnation, parts, self._loop.now())
        self._record_crash(crash)

    def record_down(self, server: BackendServer) -> None:
        """Records that an engine is down or has restarted."""
        self._record_crash(
            self._lost_runs.record_down(server.incarnation, self._loop.now())
        )

    def record_serving(self, server: BackendServer, *, recovered: bool) -> None:
        """Records that an engine responds to its agent.

        Args:
            server: The engine, as an incarnation.
            recovered: Whether the agent has reported before that it did not respond.
        """
        if recovered:
            self._lost_runs.record_recovered(server.incarnation)
        at = self._loop.now() - (0.0 if recovered else _SERVING_REPORT_LAG)
        if not self._quarantine.refute_crash(server.incarnation, at):
            return
        self._own_crashes.pop(server.incarnation, None)
        self._log.event("engine_crash_refuted", server=server.instance_id)
        self._check_groups()

    def record_answered(self, parts: tuple[str, ...]) -> None:
        """Records that a request with these parts was answered without a crash."""
        self._quarantine.evidence.record_answered(parts, self._loop.now())

    def _record_crash(self, crash: Crash | None) -> None:
        if crash is None or not self._quarantine.evidence.record_crash(crash):
            return
        self._quarantine.record_own_parts(crash.parts)
        self._own_crashes[crash.engine] = crash
        self._reported_at = float("-inf")
        self._log.event(
            "engine_crashed",
            server=crash.engine.instance_id,
            parts=",".join(sorted(crash.parts)),
        )
        self.run_housekeeping()

    # Other entries.

    def all_crashes(self) -> CrashReport | None:
        """Returns the report of all evidence, for an agent that has connected."""
        evidence = self._quarantine.evidence
        return build_report(
            evidence.crashes, evidence.answered_suspects(), self._loop.now()
        )

    def on_report(self, report: CrashReport) -> None:
        """Adds the evidence of another entry."""
        merge_report(self._quarantine.evidence, report, self._loop.now())
        self._check_groups()

    def run_housekeeping(self) -> None:
        """Reports new evidence, stores groups and notices changed ones."""
        now = self._loop.now()
        self._quarantine.expire(now, time.time() * _MS_PER_SECOND)
        self._report(now)
        self._check_groups()
        if not self._writing and now >= self._write_not_before:
            self._store_next(now)

    def _report(self, now: Seconds) -> None:
        if now - self._reported_at < _REPORT_INTERVAL:
            return
        self._own_crashes = {
            engine: crash
            for engine, crash in self._own_crashes.items()
            if now - crash.at < _REPORT_TIME
        }
        evidence = self._quarantine.evidence
        answers = evidence.unshared_answers()
        report = build_report(self._own_crashes.values(), answers, now)
        if report is None:
            return
        self._reported_at = now
        evidence.mark_shared(answers)
        self._spread(report)

    def _check_groups(self) -> None:
        groups = self._quarantine.groups
        if groups == self._known_groups:
            return
        for change, changed in (
            ("blocked", groups - self._known_groups),
            ("released", self._known_groups - groups),
        ):
            for parts in changed:
                self._log.event(
                    "prompt_parts", change=change, parts=",".join(sorted(parts))
                )
        self._known_groups = groups
        # Not within the callback of the request whose loss was the evidence.
        self._loop.call_later(0, self._on_change)

    # The store.

    def on_store_restored(self) -> None:
        """Records that the store may lack what was stored."""
        delay = random.uniform(_MIN_REWRITE_DELAY, _MAX_REWRITE_DELAY)
        self._quarantine.record_restored(self._loop.now() + delay)

    def _store_next(self, now: Seconds) -> None:
        for name in self._quarantine.refuted_names[:1]:
            self._delete(name)
            return
        for stored in self._quarantine.lost_to_store(now)[:1]:
            self._log.event("quarantine_restored", parts=",".join(sorted(stored.parts)))
            self._store(stored)
            return
        for parts in self._quarantine.groups_to_store(now)[:1]:
            until = time.time() + EVIDENCE_LIFETIME
            self._store(StoredQuarantine(parts, round(until * _MS_PER_SECOND)))

    def _store(self, stored: StoredQuarantine) -> None:
        self._writing = True
        name = quarantine_name(stored.parts)
        self._write("POST", store.list_target(QUARANTINE_KIND), name, stored)

    def _write(
        self, method: str, target: str, name: str, stored: StoredQuarantine
    ) -> None:
        body = store.encode_object(name, encode_quarantine(stored), revision=None)
        request = encode_call(method, target, str(self._client.address), body)

        def on_response(status: int, _body: bytes) -> None:
            if status == _CONFLICT and method == "POST":
                # It exists, from another entry or with an end that is over.
                replaced = store.object_target(QUARANTINE_KIND, name)
                self._write("PUT", replaced, name, stored)
                return
            self._writing = False
            if status in _WRITTEN_STATUSES:
                self._quarantine.put_stored(name, stored)
                return
            self._write_not_before = self._loop.now() + _STORE_RETRY_DELAY
            self._log.event("quarantine_not_stored", entry=name, status=status)

        self._call_store(request, on_response)

    def _delete(self, name: str) -> None:
        self._writing = True
        target = store.object_target(QUARANTINE_KIND, name)
        request = encode_call("DELETE", target, str(self._client.address))

        def on_response(status: int, _body: bytes) -> None:
            self._writing = False
            if status in _DELETED_STATUSES:
                self._quarantine.release(name, self._loop.now())
                return
            self._write_not_before = self._loop.now() + _STORE_RETRY_DELAY
            self._log.event("quarantine_not_deleted", entry=name, status=status)

        self._call_store(request, on_response)

    def _call_store(
        self, request: bytes, on_response: Callable[[int, bytes], None]
    ) -> None:
        self._calls.call(
            self._client,
            request,
            on_response,
            timeout=_STORE_TIMEOUT,
            subject=QUARANTINE_KIND,
            reuse_connection=False,
        )

    def on_stored_list(self, objects: Iterable[store.StoredObject]) -> None:
        """Applies the list of the stored quarantines."""
        decoded = {item.name: self._decode(item) for item in objects}
        stored = {name: found for name, found in decoded.items() if found is not None}
        self._quarantine.replace_stored(stored, self._loop.now())
        self._check_groups()

    def on_stored_change(self, item: store.StoredObject) -> None:
        """Applies a stored or deleted quarantine."""
        stored = None if item.removed else self._decode(item)
        if stored is None:
            self._quarantine.release(item.name, self._loop.now())
        else:
            self._quarantine.put_stored(item.name, stored)
        self._check_groups()

    def _decode(self, item: store.StoredObject) -> StoredQuarantine | None:
        try:
            return decode_quarantine(item.content)
        except msgspec.DecodeError as error:
            self._unreadable.record(item, error)
            return None
