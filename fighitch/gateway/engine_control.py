"""Control interface of an agent's engine: claim, reports and orders."""

import random
import time
from collections.abc import Callable

import msgspec

from fighitch.core.gateway.adapter_cache import EngineReport, Order
from fighitch.core.gateway.holder import (
    ClaimRepair,
    HolderRecord,
    claim_engine,
    repair_claim,
)
from fighitch.core.gateway.settings import Address, InstanceSettings
from fighitch.gateway.store_calls import StoreCalls
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform import store
from fighitch.platform.decoding import WholeNumber, decode
from fighitch.platform.engine import (
    ORDER_PATH,
    REPORT_PATH,
    decode_report,
    encode_order,
)
from fighitch.platform.requests import encode_call, is_leaving
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_client import NO_RESPONSE, SerialClient
from fighitch.runtime.http_exchange import ResponseHead
from fighitch.types import Seconds

_HOLDERS_KIND = "engine-holders"
_OK = 200
_CREATED = 201
_ACCEPTED = 202
_NOT_FOUND = 404
_CONFLICT = 409
_REPORT_TIMEOUT: Seconds = 0.4
# The engine runs on the same host; a lost response must not delay the next order.
_ORDER_TIMEOUT: Seconds = 0.04
_STORE_TIMEOUT: Seconds = 0.6
_STORE_RETRY_DELAY: Seconds = 0.2
# A holder that can't reach the store for this long uses the clock as its fencing token.
_CLAIM_TIMEOUT: Seconds = 1.5
# Agents check their claims at random times after a restore, to spread their calls.
_MAX_CHECK_DELAY: Seconds = 1.0
_CHECK_RETRY_DELAY: Seconds = 1.0
# A store that stays unreachable is not asked for ever, as each call is billed.
_MAX_CHECK_ATTEMPTS = 20
_MS_PER_SECOND = 1_000


class _StoredRecord(msgspec.Struct):
    """Content of a holder record in the store."""

    holder: str
    token: WholeNumber


class EngineClaim:
    """Claims the engine in the store to obtain a fencing token for its orders."""

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
        self._record_name = str(engine).replace(":", "-")
        self._started_at = loop.now()
        self._calls = StoreCalls(loop, log)
        self._calls.add_listener(self._on_restored)
        self._token = 0
        # Above each token that is known to have been used for the engine.
        self._lowest_token = 0
        # Epoch of the store that has the claim; None if it is unknown.
        self._claim_epoch: int | None = None
        self._check_due = False
        self._checked_epoch: int | None = None
        self._check_attempts = 0
        self._orders_allowed_at: Seconds = float("inf")

    @property
    def token(self) -> int:
        """Fencing token; 0 until the engine is claimed."""
        return self._token

    def may_send_orders(self) -> bool:
        """Returns whether the claim is written and the previous lease is over."""
        return self._token > 0 and self._loop.now() >= self._orders_allowed_at

    def start(self) -> None:
        """Reads the previous holder's record from the store and replaces it."""
        self._call_store(
            "GET",
            store.object_target(_HOLDERS_KIND, self._record_name),
            b"",
            self._on_record,
        )

    def _call_store(
        self,
        method: str,
        target: str,
        body: bytes,
        on_response: Callable[[int, bytes], None],
    ) -> None:
        request = encode_call(method, target, str(self._settings.store), body)
        # A claim that seems written but is not would allow two holders.
        self._calls.call(
            self._client,
            request,
            on_response,
            timeout=_STORE_TIMEOUT,
            subject=_HOLDERS_KIND,
            reuse_connection=False,
        )

    def _on_record(self, status: int, body: bytes) -> None:
        if status == _NOT_FOUND:
            self._write_claim(None, None)
            return
        decoded = self._decode_record(status, body)
        if decoded is None:
            self._retry_claim(status)
            return
        self._write_claim(*decoded)

    def _decode_record(
        self, status: int, body: bytes
    ) -> tuple[HolderRecord, int] | None:
        """Returns the stored record and its revision; None if they can't be read."""
        if status != _OK:
            return None
        try:
            stored = store.decode_object(body)
            record = decode(stored.content, _StoredRecord)
        except msgspec.DecodeError as error:
            self._log.event("holder_record_unreadable", detail=error)
            return None
        return HolderRecord(record.holder, record.token), stored.revision

    def _write_claim(self, previous: HolderRecord | None, revision: int | None) -> None:
        wall_ms = round(time.time() * _MS_PER_SECOND)
        if previous is not None:
            self._lowest_token = max(self._lowest_token, previous.token + 1)
        claim = claim_engine(
            previous,
            self._settings.instance,
            wall_ms,
            self._settings.lease,
            lowest_token=self._lowest_token,
        )

        def on_written(status: int, _body: bytes) -> None:
            if status not in (_OK, _CREATED):
                self._retry_claim(status)
                return
            if claim.record.token < self._lowest_token:
                # An entry knew a higher token.
                self._activate_claim(self._lowest_token, claim.wait, "entry")
                return
            self._activate_claim(claim.record.token, claim.wait, "store")

        self._write_record(claim.record, revision, on_written)

    def _write_record(
        self,
        record: HolderRecord,
        revision: int | None,
        on_written: Callable[[int, bytes], None],
    ) -> None:
        """Creates the record, or replaces the given revision of it."""
        content = {"holder": record.holder, "token": record.token}
        body = store.encode_object(self._record_name, content, revision=revision)
        method, target = "POST", store.list_target(_HOLDERS_KIND)
        if revision is not None:
            method, target = (
                "PUT",
                store.object_target(_HOLDERS_KIND, self._record_name),
            )
        self._call_store(method, target, body, on_written)

    def _retry_claim(self, status: int) -> None:
        if self._loop.now() - self._started_at < _CLAIM_TIMEOUT:
            self._loop.call_later(_STORE_RETRY_DELAY, self.start)
            return
        self._log.event("holder_store_lost", status=status)
        wall_ms = round(time.time() * _MS_PER_SECOND)
        self._activate_claim(max(wall_ms, self._lowest_token), 0.0, "clock")

    def _activate_claim(self, token: int, wait: Seconds, source: str) -> None:
        self._token = token
        self._lowest_token = token + 1
        self._orders_allowed_at = self._loop.now() + wait
        self._log.event("engine_claimed", token=token, source=source, wait=wait)
        self._claim_epoch = self._calls.epoch
        if source != "store":
            # The store has no record of this claim yet.
            self._schedule_check()

    def record_known_token(self, token: int) -> None:
        """Records a fencing token that an agent of the engine has used before.

        Args:
            token: Token that an entry has seen; 0 for none.
        """
        if token == 0 or token < self._lowest_token:
            return
        self._lowest_token = token + 1
        if self._token > 0:
            wait = max(0.0, self._orders_allowed_at - self._loop.now())
            self._activate_claim(self._lowest_token, wait, "entry")

    # Claims that a restore of the store may have lost.

    def record_store_epoch(self, epoch: int | None) -> None:
        """Records the epoch of the store that an entry has seen."""
        if epoch is None or self._claim_epoch is None or epoch <= self._claim_epoch:
            return
        self._claim_epoch = epoch
        self._schedule_check()

    def _on_restored(self) -> None:
        if self._token > 0:
            self.record_store_epoch(self._calls.epoch)

    def _schedule_check(self) -> None:
        self._check_attempts = 0
        if not self._check_due:
            self._check_due = True
            self._loop.call_later(random.uniform(0, _MAX_CHECK_DELAY), self._check)

    def _check(self) -> None:
        if self._token == 0:
            # A call now would end the one that writes the new claim.
            self._loop.call_later(_CHECK_RETRY_DELAY, self._check)
            return
        self._checked_epoch = self._claim_epoch
        target = store.object_target(_HOLDERS_KIND, self._record_name)
        self._call_store("GET", target, b"", self._on_checked_record)

    def _on_checked_record(self, status: int, body: bytes) -> None:
        held = HolderRecord(self._settings.instance, self._token)
        stored: HolderRecord | None = None
        revision: int | None = None
        if status != _NOT_FOUND:
            decoded = self._decode_record(status, body)
            if decoded is None:
                self._retry_check(status)
                return
            stored, revision = decoded
        repair = repair_claim(stored, held)
        if repair is ClaimRepair.WRITE_AGAIN:
            self._write_record(held, revision, self._on_written_again)
            return
        self._end_check(repair)
        if repair is ClaimRepair.CLAIM_AGAIN:
            # No orders until the new claim is written.
            self._token = 0
            self._started_at = self._loop.now()
            self._write_claim(stored, revision)

    def _on_written_again(self, status: int, _body: bytes) -> None:
        if status not in (_OK, _CREATED):
            self._retry_check(status)
            return
        self._end_check(ClaimRepair.WRITE_AGAIN)

    def _retry_check(self, status: int) -> None:
        self._check_attempts += 1
        if self._check_attempts < _MAX_CHECK_ATTEMPTS:
            self._loop.call_later(_CHECK_RETRY_DELAY, self._check)
            return
        self._check_due = False
        self._log.event("claim_not_checked", status=status)

    def _end_check(self, repair: ClaimRepair) -> None:
        self._check_due = False
        if self._claim_epoch != self._checked_epoch:
            # The store was restored once more during the check.
            self._schedule_check()
        elif self._claim_epoch is None:
            self._claim_epoch = self._calls.epoch
        self._log.event(
            "claim_checked",
            repair=repair.value,
            token=self._token,
            epoch=self._claim_epoch,
        )


class EngineControl:
    """Requests reports from the engine and sends it orders, one call at a time."""

    def __init__(
        self,
        loop: EventLoop,
        engine: Address,
        *,
        on_report: Callable[[EngineReport | None], None],
    ) -> None:
        """Initializes the client; makes no call yet.

        Args:
            loop: Event loop that runs the calls.
            engine: Address of the engine.
            on_report: Called with each report, or with None if the engine sent no valid
                report.
        """
        self._client = SerialClient(loop, engine)
        self._on_report = on_report
        self._busy = False
        # Whether the latest report came with a head that says that the engine leaves.
        self._is_leaving = False

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return self._busy

    def request_report(self) -> None:
        """Requests a report unless a call is in progress."""
        if self._busy:
            return
        self._busy = True
        self._is_leaving = False
        request = encode_call("GET", REPORT_PATH, str(self._client.address))
        self._client.call(
            request,
            self._on_report_response,
            timeout=_REPORT_TIMEOUT,
            on_head=self._on_report_head,
        )

    def send_order(
        self,
        order: Order,
        *,
        sequence: int,
        holder: str,
        token: int,
        instance_id: str,
        on_end: Callable[[int], None],
    ) -> None:
        """Sends an order and requests a report afterwards.

        Args:
            order: Order to send.
            sequence: Number of orders that the engine has accepted so far.
            holder: Name of the instance that holds the engine.
            token: Fencing token of the holder.
            instance_id: Instance id that the engine must have; empty for any.
            on_end: Called with the HTTP status, or with ``NO_RESPONSE``, in which case
                the order may still be executed.
        """
        self._busy = True
        body = encode_order(
            order, sequence=sequence, holder=holder, fencing_token=token
        )
        request = encode_call(
            "POST", ORDER_PATH, str(self._client.address), body, instance_id=instance_id
        )

        def on_order_end(status: int, _body: bytes) -> None:
            self._busy = False
            on_end(status)
            self.request_report()

        self._client.call(request, on_order_end, timeout=_ORDER_TIMEOUT)

    def _on_report_head(self, head: ResponseHead) -> None:
        self._is_leaving = is_leaving(head)

    def _on_report_response(self, status: int, body: bytes) -> None:
        self._busy = False
        if status != _OK:
            self._on_report(None)
            return
        try:
            report = decode_report(body, leaving=self._is_leaving)
        except msgspec.DecodeError:
            # An undecodable report counts as no response; the next one follows soon.
            self._on_report(None)
            return
        self._on_report(report)


def order_outcome(status: int) -> str:
    """Returns the outcome of an order for the log and the metrics."""
    if status == NO_RESPONSE:
        return "no_answer"
    if status == _ACCEPTED:
        return "accepted"
    if status == _OK:
        return "done"
    if status == _CONFLICT:
        return "conflict"
    return f"refused_{status}"
