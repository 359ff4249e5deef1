"""The sidecar daemon: queue, adapter slots and ledger of one backend server."""

import random
import threading
import time
from functools import singledispatchmethod
from typing import Any

from fighitch.core.audit import AuditLog, AuditRecord
from fighitch.core.configuration import ConfigurationStore
from fighitch.core.effects import (
    CallBackend,
    CancelBackend,
    LoadAdapter,
    LogEvent,
    UnloadAdapter,
)
from fighitch.core.messages import Role
from fighitch.core.resources import BackendServerSpec
from fighitch.core.sidecar import SidecarCore, SidecarSettings as SidecarConstants
from fighitch.core.tickets import TicketSigner
from fighitch.daemons.backend_calls import BackendCalls
from fighitch.daemons.base import Daemon, run_daemon
from fighitch.runtime.core_loop import CoreLoop
from fighitch.runtime.transfers import Transfers
from fighitch.settings import SidecarSettings
from fighitch.types import Seconds

# Limits how late a cold restart of the engine is detected if no call fails.
STATUS_INTERVAL: Seconds = 0.25
AUDIT_RECORDS = 10_000
# Time in which entries detect that a drained sidecar is leaving. Requests that they
# sent before are rejected as "not run"; if the connection closed, their outcome would
# be unknown.
DRAIN_NOTICE: Seconds = 1.0


class SidecarDaemon(Daemon[SidecarSettings]):
    """The process that queues requests for one backend server."""

    role = Role.SIDECAR
    settings_type = SidecarSettings

    def __init__(self, settings_path: str, settings: SidecarSettings) -> None:
        self._transfers = Transfers()
        self._stopping = threading.Event()
        super().__init__(settings_path, settings)
        self._audit = AuditLog(
            settings.instance, self.incarnation, capacity=AUDIT_RECORDS
        )
        self._calls = BackendCalls(
            self._transfers,
            backend_type=settings.backend.type,
            url=settings.backend.url,
            post=self.loop.post,
            traces=self.traces,
        )

    def store(self, core: SidecarCore) -> ConfigurationStore:
        """Returns the core's copy of the configuration."""
        return core.configuration

    def records(self, request_id: str) -> tuple[AuditRecord, ...]:
        """Returns the audit records of a request."""
        return self._audit.explain(request_id)

    def create_loop(self, signer: TicketSigner) -> CoreLoop:
        """Creates the core and its loop."""
        backend = self.settings.backend
        core = SidecarCore(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            spec=BackendServerSpec(
                type=backend.type,
                address=self.settings.peer_address,
                availability_zone=self.settings.availability_zone,
                region=self.settings.region,
                model=backend.model,
                service=backend.service,
                adapter_slots=backend.adapter_slots,
                batch_size=backend.batch_size,
                checks_fencing=backend.checks_fencing,
            ),
            signer=signer,
            settings=SidecarConstants(epoch=self.settings.ticket_epoch_seconds),
            rng=random.Random(),
        )
        return CoreLoop(
            core,
            self.identity,
            self.keys,
            on_effect=self._apply,
            listen_address=self.settings.peer_address,
        )

    def start_tasks(self) -> None:
        """Starts the transfer thread and the status poll."""
        threading.Thread(
            target=self._transfers.run, name="transfers", daemon=True
        ).start()
        threading.Thread(target=self._poll_status, name="status", daemon=True).start()

    def stop_tasks(self) -> None:
        """Stops the tasks after the time in which entries stop sending requests."""
        self._stopping.wait(DRAIN_NOTICE)
        self._stopping.set()
        self._transfers.stop()

    @singledispatchmethod
    def _apply(self, effect: Any) -> None:
        raise TypeError(f"{type(effect).__name__} is not an effect of a sidecar")

    @_apply.register
    def _(self, effect: LogEvent) -> None:
        self.record(effect)
        fields = dict(effect.fields)
        self._audit.append(
            effect.name,
            at=time.monotonic(),
            request_id=str(fields.pop("request_id", "")),
            cause=str(fields.pop("cause", "")),
            fields=tuple(fields.items()),
        )

    @_apply.register
    def _(self, effect: CallBackend) -> None:
        self._calls.call(effect)

    @_apply.register
    def _(self, effect: CancelBackend) -> None:
        self._calls.cancel(effect.call)

    @_apply.register
    def _(self, effect: LoadAdapter) -> None:
        self._calls.load(effect)

    @_apply.register
    def _(self, effect: UnloadAdapter) -> None:
        self._calls.unload(effect)

    def _poll_status(self) -> None:
        is_idle = threading.Event()
        is_idle.set()
        while not self._stopping.wait(STATUS_INTERVAL):
            # Only one status call at a time, so that calls do not pile up at a backend
            # server that does not respond.
            if is_idle.is_set():
                is_idle.clear()
                self._calls.request_status(is_idle.set)


def run(settings_path: str) -> int:
    """Runs a sidecar until a planned stop is complete."""
    return run_daemon(SidecarDaemon, settings_path)
