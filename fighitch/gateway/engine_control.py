"""Reports of and orders to the engine beside an agent."""

import time
from collections.abc import Callable

import msgspec

from fighitch.core.gateway.adapter_cache import EngineReport, Order
from fighitch.core.gateway.holder import HolderRecord, claim_engine
from fighitch.core.gateway.settings import Address, InstanceSettings
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform import store
from fighitch.platform.engine import (
    ORDER_PATH,
    REPORT_PATH,
    decode_report,
    encode_order,
)
from fighitch.platform.requests import encode_call
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_client import NO_ANSWER, SerialClient
from fighitch.types import Seconds

_HOLDERS_KIND = "engine-holders"
_OK = 200
_CREATED = 201
_ACCEPTED = 202
_NOT_FOUND = 404
_CONFLICT = 409
_REPORT_TIMEOUT: Seconds = 0.4
# The engine is on the same machine; a lost answer must not hold up the next order.
_ORDER_TIMEOUT: Seconds = 0.04
_STORE_TIMEOUT: Seconds = 0.6
_STORE_RETRY: Seconds = 0.2
# After this time a holder that can't reach the store takes its token from the clock.
_CLAIM_PATIENCE: Seconds = 1.5
_MS_PER_SECOND = 1_000


class _Record(msgspec.Struct):
    holder: str
    token: int


class EngineHolder:
    """Claims the engine in the store before the first order."""

    def __init__(
        self,
        loop: EventLoop,
        settings: InstanceSettings,
        engine: Address,
        log: BoundedLog,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._log = log
        self._client = SerialClient(loop, settings.store)
        self._name = str(engine).replace(":", "-")
        self._began = loop.now()
        self._token = 0
        self._orders_from: Seconds = float("inf")

    @property
    def token(self) -> int:
        """Fencing token; 0 before the claim."""
        return self._token

    def may_order(self) -> bool:
        """Whether orders may be given."""
        return self._token > 0 and self._loop.now() >= self._orders_from

    def start(self) -> None:
        """Reads the previous claim and writes the new one."""
        self._call(
            "GET", store.object_target(_HOLDERS_KIND, self._name), b"", self._read
        )

    def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        on_answer: Callable[[int, bytes], None],
    ) -> None:
        request = encode_call(method, target, str(self._settings.store), body)
        self._client.call(request, on_answer, timeout=_STORE_TIMEOUT)

    def _read(self, status: int, body: bytes) -> None:
        if status == _NOT_FOUND:
            self._write(None, None)
            return
        if status != _OK:
            self._again(status)
            return
        try:
            stored = store.decode_object(body)
            record = msgspec.json.decode(stored.content, type=_Record)
        except msgspec.DecodeError as error:
            self._log.event("holder_record_unreadable", detail=error)
            self._again(status)
            return
        self._write(HolderRecord(record.holder, record.token), stored.revision)

    def _write(self, previous: HolderRecord | None, revision: int | None) -> None:
        wall_ms = round(time.time() * _MS_PER_SECOND)
        claim = claim_engine(
            previous, self._settings.instance, wall_ms, self._settings.lease
        )
        content = {"holder": claim.record.holder, "token": claim.record.token}
        body = store.encode_object(self._name, content, revision=revision)
        method, target = "POST", store.list_target(_HOLDERS_KIND)
        if revision is not None:
            method, target = "PUT", store.object_target(_HOLDERS_KIND, self._name)

        def written(status: int, _body: bytes) -> None:
            if status not in (_OK, _CREATED):
                self._again(status)
                return
            self._take(claim.record.token, claim.wait, "store")

        self._call(method, target, body, written)

    def _again(self, status: int) -> None:
        if self._loop.now() - self._began < _CLAIM_PATIENCE:
            self._loop.call_later(_STORE_RETRY, self.start)
            return
        self._log.event("holder_store_lost", status=status)
        self._take(round(time.time() * _MS_PER_SECOND), 0.0, "clock")

    def _take(self, token: int, wait: Seconds, source: str) -> None:
        self._token = token
        self._orders_from = self._loop.now() + wait
        self._log.event("engine_claimed", token=token, source=source, wait=wait)


class EngineControl:
    """Asks the engine for reports and gives it orders, one call at a time."""

    def __init__(
        self,
        loop: EventLoop,
        engine: Address,
        *,
        on_report: Callable[[EngineReport | None], None],
    ) -> None:
        """Prepares.

        Args:
            loop: Calls back.
            engine: Address of the engine.
            on_report: Called with each report; None if the engine does not answer.
        """
        self._client = SerialClient(loop, engine)
        self._on_report = on_report
        self._busy = False

    @property
    def busy(self) -> bool:
        """Whether a call is under way."""
        return self._busy

    def ask_report(self) -> None:
        """Asks for a report unless a call is under way."""
        if self._busy:
            return
        self._busy = True
        request = encode_call("GET", REPORT_PATH, str(self._client.address))
        self._client.call(request, self._reported, timeout=_REPORT_TIMEOUT)

    def give(
        self,
        order: Order,
        *,
        sequence: int,
        holder: str,
        token: int,
        instance_id: str,
        on_end: Callable[[int], None],
    ) -> None:
        """Gives an order and asks for a report afterwards.

        Args:
            order: What the engine is to do.
            sequence: Number of orders that it accepted so far.
            holder: Who gives the order.
            token: Fencing token of the holder.
            instance_id: Id that the engine must have; empty for any.
            on_end: Called with the status; ``NO_ANSWER`` if the order may still be
                carried out.
        """
        self._busy = True
        body = encode_order(
            order, sequence=sequence, holder=holder, fencing_token=token
        )
        request = encode_call(
            "POST", ORDER_PATH, str(self._client.address), body, instance_id=instance_id
        )

        def ended(status: int, _body: bytes) -> None:
            self._busy = False
            on_end(status)
            self.ask_report()

        self._client.call(request, ended, timeout=_ORDER_TIMEOUT)

    def _reported(self, status: int, body: bytes) -> None:
        self._busy = False
        if status != _OK:
            self._on_report(None)
            return
        try:
            report = decode_report(body)
        except msgspec.DecodeError:
            # Garbled bytes count as no answer; the next report follows soon.
            self._on_report(None)
            return
        self._on_report(report)


def order_outcome(status: int) -> str:
    """Returns the word for an order's status in the log."""
    if status == NO_ANSWER:
        return "no_answer"
    if status == _ACCEPTED:
        return "accepted"
    if status == _OK:
        return "done"
    if status == _CONFLICT:
        return "conflict"
    return f"refused_{status}"
