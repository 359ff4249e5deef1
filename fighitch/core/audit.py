"""Audit log of decisions, each linked to the decisions that caused it."""

import itertools
import re
from collections import OrderedDict, deque
from dataclasses import dataclass

from fighitch.types import Incarnation, InstanceName, RequestId, Seconds

_REQUEST_ID = re.compile(r"^(?P<instance>.+)\.(?P<incarnation>[0-9a-f]+)\.(\d+)$")


@dataclass(frozen=True, slots=True)
class RecordId:
    """Unique identifier of a record across all processes and their restarts."""

    instance: InstanceName
    incarnation: Incarnation
    counter: int

    def __str__(self) -> str:
        return f"{self.instance}.{self.incarnation:x}.{self.counter}"


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """Record of one decision.

    Attributes:
        record_id: Identifier of the record.
        at: Time of the decision on the clock of this process.
        event: Event name in snake case.
        request_id: Request that the decision concerns; empty if none.
        cause: Reason for the decision.
        predecessors: Immediate causes: the previous record of the request and, if
            known, the peer's record that caused this one.
        fields: Additional key-value pairs.
    """

    record_id: RecordId
    at: Seconds
    event: str
    request_id: RequestId
    cause: str
    predecessors: tuple[RecordId, ...] = ()
    fields: tuple[tuple[str, str | int | float], ...] = ()


class AuditLog:
    """Bounded log of records that evicts the oldest ones first."""

    def __init__(
        self, instance: InstanceName, incarnation: Incarnation, *, capacity: int
    ) -> None:
        """Creates an empty log.

        Args:
            instance: Name of this instance.
            incarnation: Incarnation of this process.
            capacity: Maximum number of records.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._capacity = capacity
        self._counters = itertools.count(1)
        self._records: OrderedDict[int, AuditRecord] = OrderedDict()
        self._last_record_ids: dict[RequestId, RecordId] = {}

    def __len__(self) -> int:
        return len(self._records)

    def append(
        self,
        event: str,
        *,
        at: Seconds,
        request_id: RequestId = "",
        cause: str = "",
        peer_record: RecordId | None = None,
        fields: tuple[tuple[str, str | int | float], ...] = (),
    ) -> AuditRecord:
        """Adds a record and links it to the previous record of the same request."""
        previous = self._last_record_ids.get(request_id) if request_id else None
        record = AuditRecord(
            RecordId(self._instance, self._incarnation, next(self._counters)),
            at,
            event,
            request_id,
            cause,
            tuple(item for item in (previous, peer_record) if item is not None),
            fields,
        )
        self._records[record.record_id.counter] = record
        if request_id:
            self._last_record_ids[request_id] = record.record_id
        if len(self._records) > self._capacity:
            self._evict_oldest()
        return record

    def explain(self, request_id: RequestId) -> tuple[AuditRecord, ...]:
        """Returns the causal history of a request's last record, oldest first."""
        last = self._last_record_ids.get(request_id)
        pending = deque(() if last is None else (last,))
        found: dict[RecordId, AuditRecord] = {}
        while pending:
            record_id = pending.popleft()
            record = self._records.get(record_id.counter)
            # A peer's record can have the same counter as a local one.
            if record is None or record.record_id != record_id or record_id in found:
                continue
            found[record_id] = record
            pending.extend(record.predecessors)
        return tuple(sorted(found.values(), key=lambda item: item.record_id.counter))

    def _evict_oldest(self) -> None:
        _, record = self._records.popitem(last=False)
        if self._last_record_ids.get(record.request_id) is record.record_id:
            del self._last_record_ids[record.request_id]


class RequestIdGenerator:
    """Generates request ids that name the entry holding the request's records."""

    def __init__(self, instance: InstanceName, incarnation: Incarnation) -> None:
        self._prefix = f"{instance}.{incarnation:x}"
        self._counters = itertools.count(1)

    def new(self) -> RequestId:
        """Returns a new request id.

        Thread-safe, because ``next`` on ``itertools.count`` is atomic in CPython.
        """
        return f"{self._prefix}.{next(self._counters)}"


def entry_from_request_id(
    request_id: RequestId,
) -> tuple[InstanceName, Incarnation] | None:
    """Returns the entry that generated a request id; None if the id is malformed."""
    match = _REQUEST_ID.match(request_id)
    if match is None:
        return None
    return match["instance"], int(match["incarnation"], 16)
