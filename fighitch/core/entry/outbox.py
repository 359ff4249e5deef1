"""Collects the effects of one input."""

from fighitch.core.audit import AuditLog
from fighitch.core.effects import EntryEffect, LogEvent
from fighitch.types import RequestId, Seconds


class Outbox:
    """Collects effects in order and records events in the audit log."""

    def __init__(self, audit: AuditLog) -> None:
        self._audit = audit
        self._effects: list[EntryEffect] = []

    def add(self, effect: EntryEffect) -> None:
        """Appends an effect."""
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
        """Records an event in the audit log and emits it as a ``LogEvent``.

        Args:
            event: Event name in snake case, from a fixed set.
            now: Time of the event.
            cause: Cause of the event.
            request_id: Request that the event concerns; empty if none.
            **fields: Additional fields of the event.
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
        """Returns the collected effects and clears them."""
        effects, self._effects = self._effects, []
        return effects
