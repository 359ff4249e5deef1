"""The entry daemon: HTTP server for callers, routing and connections to sidecars."""

import queue
import random
import threading
from functools import singledispatchmethod
from typing import Any

from expression import Error, Ok, Result

from fighitch.clients.http_client import HttpClient
from fighitch.clients.instance_list import list_instances
from fighitch.core.audit import AuditRecord, RequestIdGenerator
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.effects import (
    AnswerData,
    AnswerEnded,
    AnswerFailed,
    AnswerStarted,
    CreateClaim,
    LogEvent,
    ReadClaim,
    TicketIssued,
)
from fighitch.core.entry import EntryCore
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.inputs import ConfigurationReceived, InstancesListed
from fighitch.core.messages import Role
from fighitch.core.resources import AdapterSpec, Kind
from fighitch.core.tickets import TicketSigner
from fighitch.daemons.base import Daemon, run_daemon
from fighitch.daemons.callers_app import CallersApp, ResponseEvent
from fighitch.daemons.claims import ClaimCalls
from fighitch.daemons.configuration_watch import ConfigurationWatch
from fighitch.runtime.core_loop import CoreLoop
from fighitch.runtime.http_server import HttpServer
from fighitch.settings import EntrySettings
from fighitch.types import RequestId, Seconds

INSTANCE_LIST_INTERVAL: Seconds = 1.0
# The list is only a hint. A longer list is polled less often, so that it takes less
# than 5 KB/s with names of up to about 20 bytes.
INSTANCE_NAMES_PER_SECOND = 250


class EntryDaemon(Daemon[EntrySettings]):
    """An instance behind the load balancer that routes requests to sidecars."""

    role = Role.ENTRY
    settings_type = EntrySettings

    def __init__(self, settings_path: str, settings: EntrySettings) -> None:
        self._rng = random.Random()
        self._event_queues: dict[RequestId, queue.SimpleQueue[ResponseEvent]] = {}
        self._stopping = threading.Event()
        super().__init__(settings_path, settings)
        self._request_ids = RequestIdGenerator(settings.instance, self.incarnation)
        self._claims = ClaimCalls(settings.object_api, on_result=self.loop.post)
        self._callers_server = HttpServer(
            settings.http_address,
            CallersApp(
                self,
                metrics=self.metrics,
                traces=self.traces,
                max_body_bytes=lambda: self.settings.max_body_bytes,
            ),
            workers=settings.http_workers,
            name="callers",
            on_rejected=self.record_rejected_http,
        )

    def store(self, core: EntryCore) -> ConfigurationStore:
        """Returns the core's copy of the configuration."""
        return core.store

    def records(self, request_id: str) -> tuple[AuditRecord, ...]:
        """Returns the audit records of a request."""
        return self.run_on_core(lambda core: core.explain(request_id))

    def create_loop(self, signer: TicketSigner) -> CoreLoop:
        """Creates the core and its loop."""
        core = EntryCore(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            availability_zone=self.settings.availability_zone,
            region=self.settings.region,
            signer=signer,
            rng=self._rng,
            peers=self.settings.peers,
        )
        return CoreLoop(core, self.identity, self.keys, on_effect=self._apply)

    def start_tasks(self) -> None:
        """Starts the HTTP server, the configuration watch and the instance poll."""
        self._callers_server.start()
        self.log.event("serving", callers=self._callers_server.address)
        self._watch: ConfigurationWatch | None = None
        if self.settings.watch and self.settings.object_api:
            self._watch = ConfigurationWatch(
                self.settings.object_api,
                on_change=self._apply_change,
                on_confirmed=self.record_freshness,
                on_failure=self._log_watch_failure,
                rng=self._rng,
            )
            self._watch.start()
        if self.settings.instance_list:
            threading.Thread(
                target=self._poll_instances, name="instances", daemon=True
            ).start()

    def begin_drain(self) -> None:
        """Drains the core once the load balancer had time to detect the drain."""
        self._stopping.wait(self.settings.drain_notice_seconds)
        super().begin_drain()

    def stop_tasks(self) -> None:
        """Stops the tasks; the server for callers completes its requests in flight."""
        self._stopping.set()
        if self._watch is not None:
            self._watch.stop()
        self._claims.stop()
        self._callers_server.stop()

    # --- Interface of the application for callers ---

    def open_request(self) -> tuple[RequestId, "queue.SimpleQueue[ResponseEvent]"]:
        """Returns a new request id and the queue that receives its response events."""
        request_id = self._request_ids.new()
        events: queue.SimpleQueue[ResponseEvent] = queue.SimpleQueue()
        self._event_queues[request_id] = events
        return request_id, events

    def close_request(self, request_id: RequestId) -> None:
        """Discards the queue of a request."""
        self._event_queues.pop(request_id, None)

    def post(self, message: Any) -> None:
        """Queues an input for the core."""
        self.loop.post(message)

    def models(self, key_digest: str) -> Result[list[dict[str, Any]], Failure]:
        """Returns the models that a caller may request."""
        return self.run_on_core(lambda core: _models(core, key_digest))

    def is_stopped(self) -> bool:
        """Returns whether the core has stopped and sends no further responses."""
        return self.loop.is_stopped

    # --- Effects ---

    @singledispatchmethod
    def _apply(self, effect: Any) -> None:
        raise TypeError(f"{type(effect).__name__} is not an effect of an entry")

    @_apply.register
    def _(self, effect: LogEvent) -> None:
        self.record(effect)

    @_apply.register(AnswerStarted)
    @_apply.register(AnswerData)
    @_apply.register(AnswerEnded)
    @_apply.register(AnswerFailed)
    @_apply.register(TicketIssued)
    def _(self, effect: ResponseEvent) -> None:
        events = self._event_queues.get(effect.request_id)
        if events is not None:
            events.put(effect)

    @_apply.register(CreateClaim)
    @_apply.register(ReadClaim)
    def _(self, effect: CreateClaim | ReadClaim) -> None:
        self._claims.submit(effect)

    # --- Tasks ---

    def _apply_change(self, change: ConfigurationReceived) -> None:
        self.loop.post(change)
        self.metrics.configuration_revision.set(change.revision)

    def _log_watch_failure(self, detail: str) -> None:
        self.log.event("configuration_watch_failed", level="warning", detail=detail)

    def _poll_instances(self) -> None:
        client = HttpClient(self.settings.instance_list, timeout=INSTANCE_LIST_INTERVAL)
        interval = INSTANCE_LIST_INTERVAL
        while not self._stopping.wait(interval * self._rng.uniform(0.8, 1.2)):
            listed = list_instances(client)
            if listed is not None:
                interval = instance_list_interval(len(listed.live))
                self.loop.post(
                    InstancesListed(frozenset(listed.live), frozenset(listed.leaving))
                )
        client.close()


def instance_list_interval(names: int) -> Seconds:
    """Returns the interval between two polls of the instance list.

    Args:
        names: Number of names in the list.
    """
    return max(INSTANCE_LIST_INTERVAL, names / INSTANCE_NAMES_PER_SECOND)


def _models(core: EntryCore, key_digest: str) -> Result[list[dict[str, Any]], Failure]:
    callers = core.store.of_kind(Kind.CALLER)
    if not any(key_digest in caller.spec.key_digests for caller in callers):
        detail = "the bearer key is missing or unknown"
        return Error(Failure(ErrorKind.UNAUTHENTICATED, detail))
    models = []
    for adapter in core.store.of_kind(Kind.ADAPTER):
        spec: AdapterSpec = adapter.spec
        for version in spec.versions:
            models.append(
                {
                    "id": f"{adapter.name}@{version.name}",
                    "object": "model",
                    "created": 0,
                    "owned_by": spec.model,
                    "default": version.name == spec.default_version,
                }
            )
    return Ok(models)


def run(settings_path: str) -> int:
    """Runs an entry until a planned stop is complete."""
    return run_daemon(EntryDaemon, settings_path)
