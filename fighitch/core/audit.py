"""Records of decisions, linked to the decisions that led to them."""

import itertools
import re
from collections import OrderedDict, deque
from dataclasses import dataclass

from fighitch.types import Incarnation, InstanceName, RequestId, Seconds

_REQUEST_ID = re.compile(r"^(?P<instance>.+)\.(?P<incarnation>[0-9a-f]+)\.(\d+)$")


@dataclass(frozen=True, slots=True)
class RecordId:
    """Identifies a record across all processes and their restarts."""

    instance: InstanceName
    incarnation: Incarnation
    counter: int

    def __str__(self) -> str:
        return f"{self.instance}.{self.incarnation:x}.{self.counter}"


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One decision.

    Attributes:
        record_id: Identifier of the record.
        at: Time of the decision.
        event: Event name in snake case.
        request_id: Request that it concerns; empty if none.
        cause: Why the decision was taken.
        predecessors: Immediate predecessors: the request's previous record and, if
            known, the record of the peer that caused this one.
        fields: Further key and value pairs.
    """

    record_id: RecordId
    at: Seconds
    event: str
    request_id: RequestId
    cause: str
    predecessors: tuple[RecordId, ...] = ()
    fields: tuple[tuple[str, str | int | float], ...] = ()


class AuditLog:
    """A bounded ring of records; the oldest are dropped first."""

    def __init__(
        self, instance: InstanceName, incarnation: Incarnation, *, capacity: int
    ) -> None:
        """Starts empty.

        Args:
            instance: Name of this instance.
            incarnation: This start of the process.
            capacity: Most records kept.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._capacity = capacity
        self._counters = itertools.count(1)
        self._records: OrderedDict[int, AuditRecord] = OrderedDict()
        self._last: dict[RequestId, RecordId] = {}

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
        """Adds a record after the request's previous one."""
        previous = self._last.get(request_id) if request_id else None
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
            self._last[request_id] = record.record_id
        if len(self._records) > self._capacity:
            self._drop_oldest()
        return record

    def explain(self, request_id: RequestId) -> tuple[AuditRecord, ...]:
        """Returns the records that led to the request's last one, oldest first."""
        last = self._last.get(request_id)
        pending = deque(() if last is None else (last,))
        found: dict[RecordId, AuditRecord] = {}
        while pending:
            record_id = pending.popleft()
            record = self._records.get(record_id.counter)
            # The record of a peer may have the same counter.
            if record is None or record.record_id != record_id or record_id in found:
                continue
            found[record_id] = record
            pending.extend(record.predecessors)
        return tuple(sorted(found.values(), key=lambda item: item.record_id.counter))

    def _drop_oldest(self) -> None:
        _, record = self._records.popitem(last=False)
        if self._last.get(record.request_id) is record.record_id:
            del self._last[record.request_id]


class RequestIdGenerator:
    """Makes request ids that name the entry which holds the request's records."""

    def __init__(self, instance: InstanceName, incarnation: Incarnation) -> None:
        self._prefix = f"{instance}.{incarnation:x}"
        self._counters = itertools.count(1)

    def new(self) -> RequestId:
        """Returns the next request id; safe to call from several threads."""
        return f"{self._prefix}.{next(self._counters)}"


def entry_of(request_id: RequestId) -> tuple[InstanceName, Incarnation] | None:
    """Returns the entry that made a request id, or None if it has another form."""
    found = _REQUEST_ID.match(request_id)
    if found is None:
        return None
    return found["instance"], int(found["incarnation"], 16)
