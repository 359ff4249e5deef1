"""Collects the effects of one input and writes down the reason of each decision."""

from fighitch.core.effects import LogEvent, Send, SidecarEffect
from fighitch.core.messages import Message
from fighitch.types import ConnectionId, RequestId


class Outbox:
    """Effects in the order in which they must be carried out."""

    def __init__(self) -> None:
        self._effects: list[SidecarEffect] = []

    def add(self, *effects: SidecarEffect) -> None:
        """Adds effects."""
        self._effects.extend(effects)

    def send(self, connection: ConnectionId | None, message: Message) -> None:
        """Sends a message; without a connection it waits for a ``Resume``."""
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
        """Writes down a decision.

        Args:
            event: Event name in snake case.
            request_id: Request that it concerns; empty if none.
            cause: Why it was decided so.
            **fields: Further values.
        """
        pairs: list[tuple[str, str | int | float]] = []
        if request_id:
            pairs.append(("request_id", request_id))
        if cause:
            pairs.append(("cause", cause))
        self._effects.append(LogEvent(event, (*pairs, *fields.items())))

    def take(self) -> list[SidecarEffect]:
        """Returns the effects and starts anew."""
        effects, self._effects = self._effects, []
        return effects
