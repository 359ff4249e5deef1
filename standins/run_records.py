"""Records of the calls that an engine ran.

Checks use them to find requests that ran twice or on the wrong model.
"""

from dataclasses import dataclass, field
from typing import Any

from fighitch.types import RequestId


@dataclass(frozen=True, slots=True)
class CallKey:
    """Identifies one call.

    Attributes:
        number: Number of the call, unique in the process.
        request_id: Request that the call belongs to; empty if unknown.
        is_continuation: Whether the call continues an earlier one of the same request.
    """

    number: int
    request_id: RequestId
    is_continuation: bool


@dataclass(slots=True)
class _RequestRuns:
    runs: int = 0
    continuations: int = 0
    models: set[str] = field(default_factory=set)


class RunRecords:
    """Runs by request; continuations are counted separately."""

    def __init__(self) -> None:
        self._records: dict[RequestId, _RequestRuns] = {}

    def record_start(self, key: CallKey, model: str) -> None:
        """Records that a call started to run."""
        record = self._records.setdefault(key.request_id, _RequestRuns())
        if key.is_continuation:
            record.continuations += 1
        else:
            record.runs += 1
        record.models.add(model)

    def record_model(self, key: CallKey, model: str) -> None:
        """Records the model that generated a token of a started call."""
        self._records[key.request_id].models.add(model)

    def to_dict(self) -> dict[RequestId, dict[str, Any]]:
        """Returns the records by request id as JSON-compatible values."""
        return {
            request_id: {
                "runs": record.runs,
                "continuations": record.continuations,
                "models": sorted(record.models),
            }
            for request_id, record in self._records.items()
        }
