"""Collects the effects of one input and logs the cause of each decision."""

from fighitch.core.effects import LogEvent, Send, SidecarEffect
from fighitch.core.messages import Message
from fighitch.types import ConnectionId, RequestId


class Outbox:
    """Effects in the order in which they must be executed."""

    def __init__(self) -> None:
        self._effects: list[SidecarEffect] = []

    def add(self, *effects: SidecarEffect) -> None:
        """Adds effects."""
        self._effects.extend(effects)

    def send(self, connection: ConnectionId | None, message: Message) -> None:
        """Sends a message; without a connection, ``Resume`` requests it later."""
        if connection is not None:
            self._effects.append(Send(connection, message))

    def log(
        self,
        event: str,
        *,
        request_id: RequestId = "",
        cause: str = "",
        **fields: str | int | float,
    ) -> None:
        """Logs a decision.

        Args:
            event: Event name in snake case.
            request_id: Request that the decision concerns; empty if none.
            cause: Reason for the decision.
            **fields: Additional fields of the event.
        """
        pairs: list[tuple[str, str | int | float]] = []
        if request_id:
            pairs.append(("request_id", request_id))
        if cause:
            pairs.append(("cause", cause))
        self._effects.append(LogEvent(event, (*pairs, *fields.items())))

    def drain(self) -> list[SidecarEffect]:
        """Returns the collected effects and clears them."""
        effects, self._effects = self._effects, []
        return effects
