"""Engine agent: admits requests to its engine and is the only sender of its orders."""

import socket

import msgspec

from fighitch.core.gateway.accounts import bounded_weight
from fighitch.core.gateway.adapter_cache import AdapterCache, EngineReport
from fighitch.core.gateway.engine_queue import EngineQueue, EngineRequest, Rejection
from fighitch.core.gateway.left_incarnations import LeftIncarnations
from fighitch.core.gateway.model import (
    AdapterName,
    EngineSpec,
    Incarnation,
    RequestSize,
)
from fighitch.core.gateway.server_limits import ServerLimits
from fighitch.core.gateway.server_pauses import ServerPauses
from fighitch.core.gateway.settings import Address, InstanceSettings
from fighitch.gateway.caller_bounds import create_caller_memory, make_peer_room
from fighitch.gateway.crash_reports import CrashReportRelay
from fighitch.gateway.engine_control import EngineClaim, EngineControl, order_outcome
from fighitch.gateway.metrics import AgentMetrics
from fighitch.gateway.peer_connection import PeerConnection
from fighitch.gateway.peer_messages import (
    CRASH_REPORT_VERSION,
    PROTOCOL_VERSION,
    AdapterVersions,
    AdmissionRequest,
    CrashReport,
    Decline,
    Deny,
    Done,
    FirstEvent,
    Grant,
    Heartbeat,
    HeldAdapters,
    Hello,
    Message,
    QuotaRequest,
    Status,
)
from fighitch.gateway.quota_lender import QuotaLender
from fighitch.observability.bounded_log import BoundedLog
from fighitch.runtime.event_loop import READ, EventLoop
from fighitch.runtime.sockets import accept_pending, listen
from fighitch.types import Seconds

_MS_PER_SECOND = 1_000
_NS_PER_SECOND = 1_000_000_000
_TICK_INTERVAL: Seconds = 0.05
_IDLE_REPORT_INTERVAL: Seconds = 0.2
_LOADING_REPORT_INTERVAL: Seconds = 0.03
_STATUS_INTERVAL: Seconds = 0.25
_MIN_STATUS_CHANGE: Seconds = 0.03
# Entries send heartbeats every 0.5 s.
_ENTRY_TIMEOUT: Seconds = 2.0
# The engine counts as lost after this many failed reports in a row; a single failure
# may be transient.
_FAILED_REPORT_LIMIT = 2
_ORDER_RETRY_DELAY: Seconds = 0.05
# Starts of the engine whose instance ids are known; the list of instances keeps few.
_MAX_INCARNATIONS = 64
# No engine ever has an adapter with such a name.
_LONG_NAME_RETRY_AFTER: Seconds = 3.0
# The queue may take this part of the budget for peers, beside it: some 12,000 requests
# on the smallest machines.
_QUEUE_PARTS_OF_BUDGET = 4


class EngineAgent:
    """Manages the request queue and the adapter cache of one engine."""

    def __init__(
        self,
        loop: EventLoop,
        settings: InstanceSettings,
        engine: Address,
        log: BoundedLog,
        metrics: AgentMetrics,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._log = log
        self._metrics = metrics
        self._queue = EngineQueue()
        self._adapter_cache = AdapterCache()
        self._spec: EngineSpec | None = None
        # Instance ids of the engine by its start time in Unix ms. There can be several,
        # as the instance list keeps earlier incarnations for a while.
        self._instance_ids: dict[int, str] = {}
        self._peers: dict[int, PeerConnection] = {}
        # Names of the connected entries, by number of the connection.
        self._entry_names: dict[int, str] = {}
        self._next_peer_number = 1
        self._memory = create_caller_memory(loop, settings, log, metrics.memory)
        self._queue.max_memory = self._memory.budget.limit // _QUEUE_PARTS_OF_BUDGET
        self._crash_reports = CrashReportRelay()
        self._quotas = QuotaLender(loop, log, metrics)
        self._failed_reports = 0
        self._serving = False
        self._draining = False
        self._leaving = LeftIncarnations()
        self._last_report_at: Seconds = float("-inf")
        self._order_not_before: Seconds = 0.0
        self._last_status: Status | None = None
        self._last_status_at: Seconds = float("-inf")
        self._limits = ServerLimits()
        self._pauses = ServerPauses()
        self._announced_adapters: dict[AdapterName, int] = {}
        self._claim = EngineClaim(loop, settings, engine, log)
        self._engine_control = EngineControl(loop, engine, on_report=self._on_report)
        self._listener = listen(settings.host, settings.peer_port)

    def start(self) -> None:
        """Starts to accept entries, claim the engine and poll its reports."""
        self._loop.watch(self._listener, READ, self._accept)
        self._claim.start()
        self._engine_control.request_report()
        self._loop.call_every(_TICK_INTERVAL, self._tick)

    def stop(self) -> None:
        """Stops immediately; admitted requests continue without the agent."""
        for peer in list(self._peers.values()):
            peer.close("stopping")
        self._loop.forget(self._listener)
        self._listener.close()
        self._loop.stop()

    # Connections and messages of entries.

    def _accept(self, _events: int) -> None:
        accept_pending(self._listener, self._add_peer, self._log.accept_failed)

    def _add_peer(self, sock: socket.socket) -> None:
        if not make_peer_room(self._peers.values(), self._settings.descriptor_limit):
            self._log.event("peer_refused", peers=len(self._peers))
            sock.close()
            return
        peer = PeerConnection(
            self._loop,
            sock,
            on_message=self._on_message,
            on_closed=self._on_closed,
            memory=self._memory,
        )
        peer.number = self._next_peer_number
        self._next_peer_number += 1
        self._peers[peer.number] = peer
        now = self._loop.now()
        peer.send(self._with_account_backlogs(self._build_status(now), now))
        peer.send(self._all_adapters_message())

    def _on_closed(self, peer: PeerConnection, reason: str) -> None:
        self._peers.pop(peer.number, None)
        self._entry_names.pop(peer.number, None)
        self._crash_reports.remove_peer(peer)
        self._quotas.remove_peer(peer)
        admitted = self._queue.drop_connection(peer.number)
        for request in admitted:
            self._adapter_cache.record_end(request.adapter, self._loop.now())
        self._log.event(
            "entry_lost", peer=peer.number, reason=reason, running=len(admitted)
        )
        self._process_queue()

    def _on_message(self, peer: PeerConnection, message: Message) -> None:
        match message:
            case AdmissionRequest():
                self._on_admission_request(peer, message)
            case FirstEvent():
                self._on_first_event(peer, message)
            case Done():
                self._on_done(peer, message)
            case Hello():
                self._on_hello(peer, message)
            case AdapterVersions():
                now = self._loop.now()
                for model, adapter, version in message.versions:
                    self._adapter_cache.record_version(
                        AdapterName(model, adapter), version, now
                    )
                self._process_queue()
            case CrashReport():
                self._crash_reports.on_report(peer, message, self._loop.now())
            case QuotaRequest():
                self._quotas.on_request(peer, message)
            case Heartbeat():
                self._claim.record_store_epoch(message.store_epoch)
            case _:
                peer.close("unexpected_message")

    def _on_hello(self, peer: PeerConnection, hello: Hello) -> None:
        spec = msgspec.json.decode(hello.engine_spec, type=EngineSpec)
        self._instance_ids[hello.engine_start_time_ms] = hello.engine_id
        if len(self._instance_ids) > _MAX_INCARNATIONS:
            del self._instance_ids[next(iter(self._instance_ids))]
        self._entry_names[peer.number] = hello.entry
        if hello.protocol >= CRASH_REPORT_VERSION:
            self._crash_reports.add_peer(peer, self._loop.now())
        self._quotas.add_peer(peer, hello)
        if hello.limit is not None:
            start_time_ms = hello.engine_start_time_ms
            self._record_limit(hello.limit, start_time_ms, sent_at=self._loop.now())
        self._claim.record_known_token(hello.token)
        if hello.leaving:
            self._record_leaving(hello.engine_start_time_ms, source=hello.entry)
        self._log.event("entry_connected", peer=peer.number, entry=hello.entry)
        if spec != self._spec:
            self._log.event("engine_spec", entry=hello.entry, spec=spec)
        self._spec = spec
        self._queue.configure(spec)
        self._adapter_cache.configure(spec)
        self._process_queue()

    def _on_admission_request(
        self, peer: PeerConnection, admission_request: AdmissionRequest
    ) -> None:
        now = self._loop.now()
        adapter = AdapterName(admission_request.model, admission_request.adapter)
        request = EngineRequest(
            key=(peer.number, admission_request.number),
            adapter=adapter,
            version=admission_request.version,
            rank=admission_request.rank,
            size=RequestSize(
                admission_request.prompt_tokens, admission_request.output_tokens
            ),
            arrived=now,
            target_time=now + admission_request.target_ms / _MS_PER_SECOND,
            deadline=now + admission_request.deadline_ms / _MS_PER_SECOND,
            request_id=admission_request.request_id,
            gap_target=admission_request.gap_ms / _MS_PER_SECOND or float("inf"),
            account=admission_request.account,
            weight=bounded_weight(admission_request.weight),
        )
        if adapter.is_too_long:
            # The name is not kept, as it would be in an estimate of its demand.
            self._deny(Rejection(request, _LONG_NAME_RETRY_AFTER, "name_too_long"))
            return
        if self._draining or not self._serving:
            reason = "draining" if self._draining else "engine_not_answering"
            self._deny(Rejection(request, self._queue.retry_after(now), reason))
            return
        loads_ahead = self._count_missing_adapters(
            now, request.account, weight=request.weight
        )
        load_wait = self._adapter_cache.load_wait(adapter, loads_ahead, now)
        if admission_request.may_decline:
            first_event = self._queue.expected_first_event_delay(request, load_wait)
            if now + first_event > request.target_time:
                self._decline(
                    peer,
                    admission_request,
                    first_event=first_event,
                    load_wait=load_wait,
                )
                return
        self._adapter_cache.record_demand(
            adapter, now, request.account, weight=request.weight
        )
        rejection = self._queue.enqueue(request, load_wait)
        if rejection is not None:
            self._deny(rejection)
            return
        self._process_queue()

    def _on_first_event(self, peer: PeerConnection, message: FirstEvent) -> None:
        now = self._loop.now()
        key = (peer.number, message.number)
        admitted_at = self._queue.admitted_at(key)
        if admitted_at is not None:
            start_time_ms = self._engine_start_time_ms()
            self._record_limit(message.limit, start_time_ms, sent_at=admitted_at)
        self._queue.record_first_event(key, now)
        self._process_queue()

    def _record_limit(
        self, rate: float | None, start_time_ms: int, *, sent_at: Seconds
    ) -> None:
        """Records the limit in a response of the engine, if it named one."""
        now = self._loop.now()
        # There is one engine, so that the start time alone identifies its incarnations.
        engine = Incarnation("", start_time_ms)
        if self._limits.record_response(engine, rate, sent_at=sent_at, now=now):
            self._log.event("engine_limit", limit="none" if rate is None else rate)
            if self._engine_start_time_ms() in (0, start_time_ms):
                self._apply_limit(start_time_ms)

    def _apply_limit(self, start_time_ms: int) -> None:
        """Applies the limit that an incarnation of the engine has named, if any."""
        rate = self._limits.rate(Incarnation("", start_time_ms))
        self._queue.set_rate_limit(rate, self._loop.now())

    def _on_done(self, peer: PeerConnection, done: Done) -> None:
        key = (peer.number, done.number)
        if done.limit is not None and self._queue.awaits_event(key):
            start_time_ms = self._engine_start_time_ms()
            self._record_limit(done.limit, start_time_ms, sent_at=self._loop.now())
        if done.pause_ms > 0:
            self._record_pause(done.pause_ms / _MS_PER_SECOND)
        request = self._queue.request(key)
        if self._queue.record_end(key) and request is not None:
            self._adapter_cache.record_end(request.adapter, self._loop.now())
        self._process_queue()

    def _record_pause(self, pause: Seconds) -> None:
        """Records that the engine wants no request of one entry, for the others.

        They prefer other engines meanwhile. The engine asked only the one entry, so
        that it still gets the requests that no other engine can run.
        """
        now = self._loop.now()
        engine = Incarnation("", self._engine_start_time_ms())
        if self._pauses.record(engine, pause, now):
            self._log.event("engine_asks_pause", seconds=f"{pause:.3f}")
            self._publish_current_status(now)

    def _decline(
        self,
        peer: PeerConnection,
        admission_request: AdmissionRequest,
        *,
        first_event: Seconds,
        load_wait: Seconds,
    ) -> None:
        self._metrics.count_declined()
        self._log.event(
            "work_declined",
            request=admission_request.request_id,
            peer=peer.number,
            adapter=AdapterName(admission_request.model, admission_request.adapter),
            rank=admission_request.rank,
            aim_ms=admission_request.target_ms,
            first_event=f"{first_event:.3f}",
            load_wait=f"{load_wait:.3f}",
            waiting=self._queue.waiting,
            **_account_field(admission_request.account),
        )
        peer.send(
            Decline(admission_request.number, round(first_event * _MS_PER_SECOND))
        )

    def _deny(self, rejection: Rejection) -> None:
        connection, number = rejection.request.key
        peer = self._peers.get(connection)
        self._metrics.count_denied(rejection.reason)
        self._log.event(
            "work_denied",
            request=rejection.request.request_id,
            peer=connection,
            adapter=rejection.request.adapter,
            rank=rejection.request.rank,
            reason=rejection.reason,
            backlog=f"{self._queue.backlog(self._loop.now()):.3f}",
            waiting=self._queue.waiting,
            **_account_field(rejection.request.account),
        )
        if peer is not None:
            peer.send(
                Deny(
                    number,
                    round(rejection.retry_after * _MS_PER_SECOND),
                    rejection.reason,
                )
            )

    # Scheduling.

    def _process_queue(self) -> None:
        now = self._loop.now()
        if self._serving:
            for request in self._queue.admit_ready(now, self._adapter_cache):
                self._grant(request, now)
        self._send_next_order(now)

    def _grant(self, request: EngineRequest, now: Seconds) -> None:
        self._adapter_cache.record_admission(request.adapter, now)
        connection, number = request.key
        self._metrics.observe_admission(
            now - request.arrived, request.account, request.tokens
        )
        peer = self._peers.get(connection)
        backlog = self._queue.backlog(now)
        self._log.event(
            "work_granted",
            request=request.request_id,
            peer=connection,
            adapter=request.adapter,
            waited=f"{now - request.arrived:.3f}",
            backlog=f"{backlog:.3f}",
            running=self._queue.running,
            late=int(now > request.target_time),
            **_account_field(request.account),
        )
        if peer is not None:
            peer.send(
                Grant(
                    number, round(backlog * _MS_PER_SECOND), now > request.target_time
                )
            )

    def _send_next_order(self, now: Seconds) -> None:
        report = self._adapter_cache.report
        if (
            self._engine_control.busy
            or report is None
            or not self._claim.may_send_orders()
        ):
            return
        if now < self._order_not_before or not self._serving:
            return
        waiting = self._queue.adapter_demands(now)
        order = self._adapter_cache.next_order(waiting, now)
        if order is None:
            return
        if self._last_status is None or self._last_status.token != self._claim.token:
            # Entries must know the token if this process ends after the order.
            self._publish_current_status(now)

        def on_order_end(status: int) -> None:
            if status >= 400:
                # After NO_RESPONSE (0), the order is repeated without delay. The engine
                # accepts at most one of the two, as they carry the same expected
                # sequence number.
                self._order_not_before = self._loop.now() + _ORDER_RETRY_DELAY
            outcome = order_outcome(status)
            self._metrics.count_order(type(order).__name__, outcome)
            self._log.event(
                "order",
                order=order,
                sequence=report.sequence,
                token=self._claim.token,
                waiting=len(waiting),
                outcome=outcome,
            )

        self._engine_control.send_order(
            order,
            sequence=report.sequence,
            holder=self._settings.instance,
            token=self._claim.token,
            instance_id=self._instance_ids.get(report.start_time_ms, ""),
            on_end=on_order_end,
        )

    def _count_missing_adapters(
        self, now: Seconds, account: str | None = None, *, weight: float = 1.0
    ) -> int:
        return self._queue.count_missing_adapters(
            self._adapter_cache, now, account, weight=weight
        )

    # Engine reports.

    def _on_report(self, report: EngineReport | None) -> None:
        now = self._loop.now()
        self._last_report_at = now
        if report is None:
            self._failed_reports += 1
            if self._failed_reports >= _FAILED_REPORT_LIMIT and self._serving:
                self._serving = False
                self._log.event("engine_lost", lost_reports=self._failed_reports)
                self._deny_waiting("engine_not_answering")
                self._publish_current_status(now)
            return
        self._failed_reports = 0
        if not self._serving:
            self._serving = True
            self._log.event(
                "engine_answers", born=report.start_time_ms, sequence=report.sequence
            )
        if report.leaving:
            self._record_leaving(report.start_time_ms, source="report")
        if report.start_time_ms != self._engine_start_time_ms():
            self._apply_limit(report.start_time_ms)
        self._adapter_cache.record_report(report, now)
        self._update_draining()
        self._queue.record_events(report.events, now)
        self._publish_adapters()
        self._process_queue()

    def _record_leaving(self, start_time_ms: int, *, source: str) -> None:
        """Records that an incarnation of the engine says that it leaves."""
        # There is one engine, so that the start time alone identifies its incarnations.
        if self._leaving.add(Incarnation("", start_time_ms)):
            self._log.event("engine_leaving", born=start_time_ms, source=source)
            self._update_draining()

    def _update_draining(self) -> None:
        """Rejects waiting requests and tells the entries once the engine is leaving."""
        report = self._adapter_cache.report
        if report is None:
            return
        engine = Incarnation("", report.start_time_ms)
        is_draining = report.draining or engine in self._leaving
        if is_draining == self._draining:
            return
        self._draining = is_draining
        if is_draining:
            self._log.event("engine_draining", remaining=report.time_left)
            self._deny_waiting("draining")
        self._publish_current_status(self._loop.now())

    def _deny_waiting(self, reason: str) -> None:
        now = self._loop.now()
        for request in self._queue.waiting_requests:
            self._queue.record_end(request.key)
            self._deny(Rejection(request, self._queue.retry_after(now), reason))

    # Timers and status updates.

    def _tick(self) -> None:
        now = self._loop.now()
        interval = (
            _LOADING_REPORT_INTERVAL
            if self._adapter_cache.has_pending_loads
            else _IDLE_REPORT_INTERVAL
        )
        if now - self._last_report_at >= interval:
            self._engine_control.request_report()
        for rejection in self._queue.reject_overdue(now, self._adapter_cache):
            self._deny(rejection)
        for peer in list(self._peers.values()):
            if self._loop.deferrable_polled_at - peer.last_received_at > _ENTRY_TIMEOUT:
                peer.close("silent")
        self._process_queue()
        self._publish_status_if_due(now)

    def _publish_status_if_due(self, now: Seconds) -> None:
        status, last = self._build_status(now), self._last_status
        if last is not None and now - self._last_status_at < _STATUS_INTERVAL:
            backlog_change = abs(status.backlog_ms - last.backlog_ms)
            load_wait_change = abs(status.load_wait_ms - last.load_wait_ms)
            has_changed = (
                max(backlog_change, load_wait_change)
                >= _MIN_STATUS_CHANGE * _MS_PER_SECOND
            )
            if not has_changed and status.serving == last.serving:
                return
        self._publish_status(status, now)

    def _publish_current_status(self, now: Seconds) -> None:
        self._publish_status(self._build_status(now), now)

    def _publish_status(self, status: Status, now: Seconds) -> None:
        self._last_status, self._last_status_at = status, now
        self._metrics.set_state(
            self._queue.running, self._queue.waiting, status.backlog_ms / _MS_PER_SECOND
        )
        self._metrics.set_account_waiting(self._queue.waiting_by_account)
        self._broadcast(self._with_account_backlogs(status, now))

    def _with_account_backlogs(self, status: Status, now: Seconds) -> Status:
        """Returns a status that also has the backlogs of accounts.

        They take longer to estimate than the rest, which is compared in each tick with
        the status that was published last.
        """
        backlogs = self._queue.account_backlogs(now)
        if not backlogs:
            return status
        return msgspec.structs.replace(
            status,
            account_backlogs_ms={
                account: round(backlog * _MS_PER_SECOND)
                for account, backlog in backlogs.items()
            },
        )

    @property
    def _entry_count(self) -> int:
        """Number of entries; one that connected again counts once."""
        names = self._entry_names
        return len({names.get(number, number) for number in self._peers})

    def _build_status(self, now: Seconds) -> Status:
        """Returns the status without the backlogs of accounts."""
        return Status(
            engine_start_time_ms=self._engine_start_time_ms(),
            serving=self._serving,
            draining=self._draining,
            backlog_ms=round(self._queue.backlog(now) * _MS_PER_SECOND),
            token_ns=round(
                self._queue.prefill_speed.seconds_per_token * _NS_PER_SECOND
            ),
            load_wait_ms=round(self._estimate_load_wait(now) * _MS_PER_SECOND),
            entries=self._entry_count,
            protocol=PROTOCOL_VERSION,
            pause_ms=round(self._pause_left(now) * _MS_PER_SECOND),
            token=self._claim.token,
        )

    def _pause_left(self, now: Seconds) -> Seconds:
        engine = Incarnation("", self._engine_start_time_ms())
        return self._pauses.time_left(engine, now)

    def _engine_start_time_ms(self) -> int:
        return (
            0
            if self._adapter_cache.report is None
            else self._adapter_cache.report.start_time_ms
        )

    def _estimate_load_wait(self, now: Seconds) -> Seconds:
        return self._adapter_cache.load_queue_delay(self._count_missing_adapters(now))

    def _all_adapters_message(self) -> HeldAdapters:
        held = [
            (name.model, name.adapter, version)
            for name, version in self._announced_adapters.items()
        ]
        recent = [
            (name.model, name.adapter) for name in self._adapter_cache.recently_unloaded
        ]
        return HeldAdapters(True, held, recent)

    def _publish_adapters(self) -> None:
        report = self._adapter_cache.report
        if report is None:
            return
        held = dict(report.adapters)
        held.update((AdapterName(model), 0) for model in report.models)
        if held == self._announced_adapters:
            return
        added = [
            (name.model, name.adapter, version)
            for name, version in held.items()
            if self._announced_adapters.get(name) != version
        ]
        dropped = [
            (name.model, name.adapter)
            for name in self._announced_adapters
            if name not in held
        ]
        self._announced_adapters = held
        self._broadcast(HeldAdapters(False, added, dropped))

    def _broadcast(self, message: Message) -> None:
        for peer in list(self._peers.values()):
            peer.send(message)


def _account_field(account: str) -> dict[str, str]:
    """Returns the log field for a client account; empty for none."""
    return {"account": account} if account else {}
