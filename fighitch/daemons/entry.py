"""The entry daemon: callers' HTTP server, router and links to sidecars."""

import queue
import random
import threading
from functools import singledispatchmethod
from typing import Any

from expression import Error, Ok, Result

from fighitch.clients.http_client import HttpClient
from fighitch.clients.instance_list import list_instances
from fighitch.core.audit import AuditRecord, RequestIds
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
from fighitch.daemons.callers_app import AnswerEvent, CallersApp
from fighitch.daemons.claims import Claims
from fighitch.daemons.configuration_watch import ConfigurationWatch
from fighitch.runtime.core_loop import CoreLoop
from fighitch.runtime.http_server import HttpServer
from fighitch.settings import EntrySettings
from fighitch.types import RequestId, Seconds

INSTANCE_LIST_INTERVAL: Seconds = 1.0
# The list only gives hints; a long one is asked for less often, so that it takes less
# than 5 KB/s at names of up to about 20 bytes.
INSTANCE_NAMES_PER_SECOND = 250


class EntryDaemon(Daemon[EntrySettings]):
    """A thin instance behind the balancer."""

    role = Role.ENTRY
    settings_type = EntrySettings

    def __init__(self, settings_path: str, settings: EntrySettings) -> None:
        self._rng = random.Random()
        self._waiting: dict[RequestId, queue.SimpleQueue[AnswerEvent]] = {}
        self._stopping = threading.Event()
        super().__init__(settings_path, settings)
        self._request_ids = RequestIds(settings.instance, self.incarnation)
        self._claims = Claims(settings.object_api, on_answer=self.loop.post)
        self._callers = HttpServer(
            settings.http_address,
            CallersApp(
                self,
                metrics=self.metrics,
                traces=self.traces,
                max_body_bytes=lambda: self.settings.max_body_bytes,
            ),
            workers=settings.http_workers,
            name="callers",
            on_rejected=self.refused_http,
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
        """Starts the callers' server and the tasks that follow the platform."""
        self._callers.start()
        self.log.event("serving", callers=self._callers.address)
        self._watch: ConfigurationWatch | None = None
        if self.settings.watch and self.settings.object_api:
            self._watch = ConfigurationWatch(
                self.settings.object_api,
                on_change=self._take_change,
                on_fresh=self.confirm_fresh,
                on_failure=self._watch_failed,
                rng=self._rng,
            )
            self._watch.start()
        if self.settings.instance_list:
            threading.Thread(
                target=self._poll_instances, name="instances", daemon=True
            ).start()

    def begin_drain(self) -> None:
        """Serves on until the balancer has noticed, then drains."""
        self._stopping.wait(self.settings.drain_notice_seconds)
        super().begin_drain()

    def stop_tasks(self) -> None:
        """Ends the tasks; the callers' server first sends what it still holds."""
        self._stopping.set()
        if self._watch is not None:
            self._watch.stop()
        self._claims.stop()
        self._callers.stop()

    # --- The link of the callers' application ---

    def open_request(self) -> tuple[RequestId, "queue.SimpleQueue[AnswerEvent]"]:
        """Returns a new request id and the queue that its answer comes through."""
        request_id = self._request_ids.new()
        events: queue.SimpleQueue[AnswerEvent] = queue.SimpleQueue()
        self._waiting[request_id] = events
        return request_id, events

    def close_request(self, request_id: RequestId) -> None:
        """Forgets the queue of a request."""
        self._waiting.pop(request_id, None)

    def post(self, message: Any) -> None:
        """Hands an input to the core."""
        self.loop.post(message)

    def models(self, key_digest: str) -> Result[list[dict[str, Any]], Failure]:
        """Returns the models that a caller may ask for."""
        return self.run_on_core(lambda core: _models(core, key_digest))

    def is_stopped(self) -> bool:
        """Returns whether the core has stopped and answers no more."""
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
    def _(self, effect: AnswerEvent) -> None:
        events = self._waiting.get(effect.request_id)
        if events is not None:
            events.put(effect)

    @_apply.register(CreateClaim)
    @_apply.register(ReadClaim)
    def _(self, effect: CreateClaim | ReadClaim) -> None:
        self._claims.submit(effect)

    # --- Tasks ---

    def _take_change(self, change: ConfigurationReceived) -> None:
        self.loop.post(change)
        self.metrics.configuration_revision.set(change.revision)

    def _watch_failed(self, detail: str) -> None:
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
    """Returns the time between two calls of the instance list.

    Args:
        names: Length of the list.
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
