"""The matrix of request steps and faults, and the reasons for excluded cells."""

from dataclasses import dataclass
from enum import Enum


class CaseKind(Enum):
    """Kind of request or change that a case exercises."""

    STREAMED = "streamed"
    WHOLE = "whole"
    LOOKUP = "lookup"
    ISSUED = "issued"
    CHOSEN = "chosen"
    CONFIGURATION = "config"

    @property
    def is_order(self) -> bool:
        """Whether the request must run at most once."""
        return self in (CaseKind.ISSUED, CaseKind.CHOSEN)

    @property
    def has_adapter(self) -> bool:
        """Whether the request runs on an adapter."""
        return self in (CaseKind.STREAMED, CaseKind.WHOLE)


class Step(Enum):
    """The moment at which a fault is injected."""

    BEFORE_CONNECT = "before-connect"
    CLAIMING = "claiming"
    QUEUED = "queued"
    WAITING_LOAD = "waiting-load"
    RUNNING = "running"
    HALF_WAY = "half-way"
    ANSWERING = "answering"
    ANSWERED = "answered"
    BEFORE_WRITE = "before-write"
    AFTER_WRITE = "after-write"
    AFTER_ANSWER = "after-answer"
    SPREADING = "spreading"
    NEW_INSTANCE = "new-instance"


REQUEST_STEPS = (
    Step.BEFORE_CONNECT,
    Step.CLAIMING,
    Step.QUEUED,
    Step.WAITING_LOAD,
    Step.RUNNING,
    Step.HALF_WAY,
    Step.ANSWERING,
    Step.ANSWERED,
)
CONFIGURATION_STEPS = (
    Step.BEFORE_WRITE,
    Step.AFTER_WRITE,
    Step.AFTER_ANSWER,
    Step.SPREADING,
    Step.NEW_INSTANCE,
)


class Fault(Enum):
    """A fault; its value names the column and the case on the command line."""

    KILL_ENTRY = "kill-entry"
    KILL_SIDECAR = "kill-sidecar"
    KILL_BACKEND = "kill-backend"
    FREEZE_ENTRY = "freeze-entry"
    FREEZE_SIDECAR_SHORT = "freeze-sidecar-1s"
    FREEZE_SIDECAR = "freeze-sidecar"
    FREEZE_BACKEND = "freeze-backend"
    CUT_PEER = "cut-peer"
    SILENT_PEER = "silent-peer"
    SILENT_TO_SIDECAR = "silent-to-sidecar"
    SILENT_TO_ENTRY = "silent-to-entry"
    PARTITION_PEER = "partition-peer"
    SLOW_PEER = "slow-peer"
    CUT_BACKEND = "cut-backend"
    SILENT_BACKEND = "silent-backend"
    SLOW_BACKEND = "slow-backend"
    LOST_ANSWER = "lost-answer"
    DUPLICATES = "duplicates"
    LATE = "late-messages"
    REORDERED = "reordered"
    API_DOWN = "api-down"
    API_SLOW = "api-slow"
    API_CUT = "api-cut"
    API_LOST_ANSWER = "api-lost-answer"
    STORE_FAILS = "store-fails"
    ENGINE_RESTART = "engine-restart"
    OPERATOR_RACE = "operator-race"
    CLOCK_STEP = "clock-step"
    STOP_ENTRY = "stop-entry"
    STOP_SIDECAR = "stop-sidecar"


BACKEND_FAULTS = frozenset(
    {
        Fault.KILL_BACKEND,
        Fault.FREEZE_BACKEND,
        Fault.CUT_BACKEND,
        Fault.SILENT_BACKEND,
        Fault.SLOW_BACKEND,
        Fault.LOST_ANSWER,
        Fault.STORE_FAILS,
        Fault.ENGINE_RESTART,
    }
)
EXCLUSION_REASONS = {
    "a": "no adapter is involved",
    "b": "the response is relayed in one piece",
    "c": "no claim is made",
    "d": "a configuration change does not pass through a backend server",
    "f": "the response has left the backend server, so it cannot be lost there",
}


@dataclass(frozen=True, order=True)
class Cell:
    """One cell of the matrix."""

    kind: str
    step: str
    fault: str

    @property
    def name(self) -> str:
        """Name of the cell on the command line."""
        return f"{self.kind}/{self.step}/{self.fault}"


def matrix_rows() -> list[tuple[CaseKind, Step]]:
    """Returns the rows of the matrix."""
    requests = [
        (kind, step)
        for kind in CaseKind
        if kind is not CaseKind.CONFIGURATION
        for step in REQUEST_STEPS
        if step is not Step.CLAIMING or kind is CaseKind.CHOSEN
    ]
    return [
        *requests,
        *((CaseKind.CONFIGURATION, step) for step in CONFIGURATION_STEPS),
    ]


def matrix_cells() -> list[Cell]:
    """Returns every cell, including excluded ones."""
    return [
        Cell(kind.value, step.value, fault.value)
        for kind, step in matrix_rows()
        for fault in Fault
    ]


def exclusion_reason(cell: Cell) -> str:
    """Returns the key in ``EXCLUSION_REASONS`` if a cell is excluded, else empty."""
    kind, step, fault = CaseKind(cell.kind), Step(cell.step), Fault(cell.fault)
    if kind is CaseKind.CONFIGURATION:
        return "d" if fault in BACKEND_FAULTS else ""
    if step is Step.HALF_WAY and not kind.has_adapter:
        return "b"
    needs_adapter = step is Step.WAITING_LOAD or fault in (
        Fault.STORE_FAILS,
        Fault.ENGINE_RESTART,
    )
    if needs_adapter and not kind.has_adapter:
        return "a"
    if fault is Fault.API_LOST_ANSWER and kind is not CaseKind.CHOSEN:
        return "c"
    if fault is Fault.LOST_ANSWER and step in (Step.ANSWERING, Step.ANSWERED):
        return "f"
    return ""
