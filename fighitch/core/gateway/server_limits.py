"""Rates to which backend servers limit the requests of all entries together.

Load pattern: an overloaded server names a limit in its responses while requests go on
at the rate from before, from entries that each know only their own requests.
"""

from dataclasses import dataclass

from fighitch.core.gateway.model import Incarnation
from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """Limit that a server named.

    Attributes:
        rate: Requests per second that it takes from all entries together.
        named_at: Time of the latest response with a limit.
    """

    rate: float
    named_at: Seconds


class ServerLimits:
    """Limits that the responses of servers name, as known to one entry."""

    def __init__(self) -> None:
        self._limits: dict[Incarnation, NamedLimit] = {}

    def rate(self, server: Incarnation) -> float | None:
        """Returns the limit of a server in requests per second; None for no limit."""
        limit = self._limits.get(server)
        return None if limit is None else limit.rate

    def record_response(
        self, server: Incarnation, rate: float | None, *, sent_at: Seconds, now: Seconds
    ) -> bool:
        """Records whether a response named a limit.

        A response without one ends the limit only if its request was sent after the
        latest response with one had arrived: responses on different connections can
        overtake each other.

        Args:
            server: Incarnation of the server.
            rate: Limit that the response names; None if it names none.
            sent_at: Time at which the request was sent.
            now: Time of the response.

        Returns:
            Whether the limit of the server changed.
        """
        known = self._limits.get(server)
        if rate is not None:
            self._limits[server] = NamedLimit(rate, now)
            return known is None or known.rate != rate
        if known is None or sent_at < known.named_at:
            return False
        del self._limits[server]
        return True

    def forget(self, instance_id: str) -> None:
        """Removes the limits of a server that is gone."""
        for server in [
            item for item in self._limits if item.instance_id == instance_id
        ]:
            del self._limits[server]
