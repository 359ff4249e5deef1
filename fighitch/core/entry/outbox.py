"""Effects of one input, collected in order."""

from fighitch.core.audit import AuditLog
from fighitch.core.effects import EntryEffect, LogEvent
from fighitch.types import RequestId, Seconds


class Outbox:
    """Collects effects and records decisions both in the audit log and as events."""

    def __init__(self, audit: AuditLog) -> None:
        self._audit = audit
        self._effects: list[EntryEffect] = []

    def add(self, effect: EntryEffect) -> None:
        """Adds an effect."""
        self._effects.append(effect)

    def log(
        self,
        event: str,
        *,
        now: Seconds,
        cause: str,
        request_id: RequestId = "",
        **fields: str | int | float,
    ) -> None:
        """Records a decision.

        Args:
            event: Event name in snake case, from a fixed set.
            now: Time of the decision.
            cause: Why it was taken.
            request_id: Request that it concerns; empty if none.
            **fields: Further values.
        """
        extra = tuple(fields.items())
        record = self._audit.append(
            event, at=now, request_id=request_id, cause=cause, fields=extra
        )
        named = (("request_id", request_id),) if request_id else ()
        self.add(
            LogEvent(
                event,
                (*named, ("cause", cause), *extra, ("record", str(record.record_id))),
            )
        )

    def drain(self) -> list[EntryEffect]:
        """Returns the effects so far and starts over."""
        effects, self._effects = self._effects, []
        return effects
