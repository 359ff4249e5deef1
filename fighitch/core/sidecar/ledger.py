"""At-most-once execution of orders by one incarnation of a sidecar.

An order is a request that is not idempotent and carries a ticket, its idempotency key.
A record is evicted only when its ticket epoch is so old that the ticket itself is
rejected, so that eviction never permits a second execution. When the memory for records
is exhausted, new orders are rejected as not run.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.invariants import check
from fighitch.core.tickets import Ticket
from fighitch.types import Incarnation, InstanceName

# Number of epochs for which a ticket stays valid after its own. With epochs of 10
# minutes, a key is valid for at least one hour.
MAX_EPOCH_AGE = 6
# A record without its response takes about 700 bytes; rounded up for longer names.
RECORD_BYTES = 1_024


class OrderState(Enum):
    """Processing state of an order."""

    ACCEPTED = "accepted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The complete response to an order.

    Attributes:
        status: HTTP status of the backend server.
        body: Complete body.
        content_type: Media type.
        model: Adapter version that produced the response; empty for a service.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    model: str = ""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The order is new and may be dispatched once."""


@dataclass(frozen=True, slots=True)
class Joined:
    """The order is waiting or running as the request ``number``."""

    number: int


@dataclass(frozen=True, slots=True)
class Replayed:
    """The order was executed; ``outcome`` is its stored response."""

    outcome: Outcome


SubmitResult: TypeAlias = Accepted | Joined | Replayed | Failure


@dataclass(slots=True)
class _Record:
    """State of one order and the memory that is reserved for it."""

    number: int
    body_digest: str
    reserved_bytes: int
    state: OrderState = OrderState.ACCEPTED
    outcome: Outcome | None = None


class OrderLedger:
    """Records of the orders accepted by this incarnation."""

    def __init__(
        self,
        instance: InstanceName,
        incarnation: Incarnation,
        *,
        max_bytes: int,
        max_outcome_bytes: int,
    ) -> None:
        """Creates an empty ledger in epoch 0.

        Args:
            instance: Name of this sidecar.
            incarnation: Incarnation of this sidecar.
            max_bytes: Memory limit for all records and outcomes.
            max_outcome_bytes: Size limit of a stored response.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._max_bytes = max_bytes
        self._max_outcome_bytes = max_outcome_bytes
        self._records: dict[int, dict[Ticket, _Record]] = {}
        self._used_bytes = 0
        self._epoch = 0

    @property
    def epoch(self) -> int:
        """Current epoch; new tickets must carry it."""
        return self._epoch

    @property
    def used_bytes(self) -> int:
        """Number of bytes in use or reserved."""
        return self._used_bytes

    def __len__(self) -> int:
        return sum(map(len, self._records.values()))

    def state(self, ticket: Ticket) -> OrderState | None:
        """Returns the state of an order; None if it has no record."""
        record = self._find(ticket)
        return record.state if record else None

    def can_store(self, size: int) -> bool:
        """Returns whether a response of this size can be stored."""
        return size <= self._max_outcome_bytes

    def is_valid(self, ticket: Ticket) -> bool:
        """Returns whether a ticket belongs to this incarnation and has not expired."""
        return not self._is_expired(ticket)

    def submit(self, ticket: Ticket, *, body_digest: str, number: int) -> SubmitResult:
        """Handles an attempt of an order.

        Args:
            ticket: Verified ticket.
            body_digest: Digest of the order's method, path and body.
            number: Number of the request that executes the order if it is accepted.

        Returns:
            How to proceed, or the reason for the rejection.
        """
        record = self._find(ticket)
        if self._is_expired(ticket):
            return self._expired_failure(ticket)
        if record is None:
            return self._accept(ticket, body_digest, number)
        if record.body_digest != body_digest:
            return Failure(
                ErrorKind.KEY_REUSED,
                "the Idempotency-Key was used with another method, path or body; "
                "request a new key",
            )
        return self._handle_repeat(record)

    def dispatched(self, ticket: Ticket) -> None:
        """Records, before the call, that the order is sent to the backend server."""
        record = self._find(ticket)
        check(
            record is not None and record.state is OrderState.ACCEPTED,
            "at_most_one_dispatch_for_a_ticket",
            nonce=ticket.nonce,
            state=record.state if record else None,
        )
        assert record is not None
        record.state = OrderState.DISPATCHED

    def mark_not_sent(self, ticket: Ticket) -> None:
        """Records that no byte of the call was sent, so it may be repeated."""
        record = self._find(ticket)
        if record is not None and record.state is OrderState.DISPATCHED:
            record.state = OrderState.ACCEPTED

    def discard_not_run(self, ticket: Ticket) -> None:
        """Removes the record of an order that was accepted but never sent."""
        record = self._find(ticket)
        if record is None:
            return
        check(
            record.state is OrderState.ACCEPTED,
            "only_unsent_orders_are_forgotten",
            nonce=ticket.nonce,
            state=record.state,
        )
        self._used_bytes -= record.reserved_bytes
        del self._records[ticket.epoch][ticket]

    def finish(self, ticket: Ticket, outcome: Outcome | None) -> None:
        """Stores the outcome of an order; None if it is too large to be stored."""
        record = self._find(ticket)
        if record is None or record.state is not OrderState.DISPATCHED:
            return
        record.state = OrderState.FINISHED
        if outcome is not None and self.can_store(len(outcome.body)):
            record.outcome = outcome
        size = len(record.outcome.body) if record.outcome else 0
        self._resize(record, RECORD_BYTES + size)

    def mark_unknown(self, ticket: Ticket) -> None:
        """Records that it is unknown whether a dispatched order was executed."""
        record = self._find(ticket)
        if record is None or record.state is not OrderState.DISPATCHED:
            return
        record.state = OrderState.UNKNOWN
        self._resize(record, RECORD_BYTES)

    def advance_epoch(self) -> None:
        """Starts a new epoch and evicts records whose tickets have now expired."""
        self._epoch += 1
        for epoch in [item for item in self._records if self._is_epoch_expired(item)]:
            kept = {
                ticket: record
                for ticket, record in self._records.pop(epoch).items()
                if record.state in (OrderState.ACCEPTED, OrderState.DISPATCHED)
                or self._release_memory(record)
            }
            if kept:
                self._records[epoch] = kept

    def _accept(self, ticket: Ticket, body_digest: str, number: int) -> SubmitResult:
        if ticket.epoch > self._epoch:
            return Failure(
                ErrorKind.BAD_REQUEST,
                f"Idempotency-Key has epoch {ticket.epoch}, this sidecar is at "
                f"{self._epoch}; request a new key",
            )
        reserved_bytes = RECORD_BYTES + self._max_outcome_bytes
        if self._used_bytes + reserved_bytes > self._max_bytes:
            return Failure(
                ErrorKind.OVERLOADED,
                f"{self._used_bytes} of {self._max_bytes} bytes for order records are "
                "in use; request a key for another backend server",
                RunState.NOT_RUN,
            )
        record = _Record(number, body_digest, reserved_bytes)
        self._records.setdefault(ticket.epoch, {})[ticket] = record
        self._used_bytes += reserved_bytes
        return Accepted()

    def _handle_repeat(self, record: _Record) -> SubmitResult:
        if record.state in (OrderState.ACCEPTED, OrderState.DISPATCHED):
            return Joined(record.number)
        if record.outcome is not None:
            return Replayed(record.outcome)
        if record.state is OrderState.FINISHED:
            return Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f"the order was executed, but its response exceeds the limit of "
                f"{self._max_outcome_bytes} bytes for stored responses",
                RunState.RAN,
            )
        return Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            "the call failed after the order was sent; check whether it took effect",
        )

    def _expired_failure(self, ticket: Ticket) -> Failure:
        return Failure(
            ErrorKind.KEY_EXPIRED,
            f"Idempotency-Key of {ticket.instance!r}, incarnation "
            f"{ticket.incarnation}, epoch {ticket.epoch} is not valid at "
            f"{self._instance!r}, incarnation {self._incarnation}, epoch "
            f"{self._epoch}; check whether the order ran and request a new key",
            RunState.UNKNOWN,
        )

    def _is_expired(self, ticket: Ticket) -> bool:
        is_own = (ticket.instance, ticket.incarnation) == (
            self._instance,
            self._incarnation,
        )
        return not is_own or self._is_epoch_expired(ticket.epoch)

    def _is_epoch_expired(self, epoch: int) -> bool:
        return epoch < self._epoch - MAX_EPOCH_AGE

    def _find(self, ticket: Ticket) -> _Record | None:
        return self._records.get(ticket.epoch, {}).get(ticket)

    def _resize(self, record: _Record, size: int) -> None:
        self._used_bytes -= record.reserved_bytes - size
        record.reserved_bytes = size

    def _release_memory(self, record: _Record) -> bool:
        """Frees the memory of an evicted record; the result marks it as not kept."""
        self._used_bytes -= record.reserved_bytes
        return False
