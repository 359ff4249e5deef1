"""Which calls an engine ran, to check afterwards that none ran twice or wrongly."""

from dataclasses import dataclass, field
from typing import Any

from fighitch.types import RequestId


@dataclass(frozen=True, slots=True)
class CallKey:
    """Identifies one call.

    Attributes:
        number: Unique in the process.
        request_id: Request that it belongs to; empty if not stated.
        is_continuation: Whether it continues an earlier call of the same request.
    """

    number: int
    request_id: RequestId
    is_continuation: bool


@dataclass(slots=True)
class _Record:
    runs: int = 0
    continuations: int = 0
    models: set[str] = field(default_factory=set)


class RunRecords:
    """Runs by request; continuations of a request are counted apart."""

    def __init__(self) -> None:
        self._records: dict[RequestId, _Record] = {}

    def started(self, key: CallKey, model: str) -> None:
        """Records that a call began to run."""
        record = self._records.setdefault(key.request_id, _Record())
        if key.is_continuation:
            record.continuations += 1
        else:
            record.runs += 1
        record.models.add(model)

    def used(self, key: CallKey, model: str) -> None:
        """Records the model that yielded a token of a call that began."""
        self._records[key.request_id].models.add(model)

    def document(self) -> dict[RequestId, dict[str, Any]]:
        """Returns the records as JSON values."""
        return {
            request_id: {
                "runs": record.runs,
                "continuations": record.continuations,
                "models": sorted(record.models),
            }
            for request_id, record in self._records.items()
        }
