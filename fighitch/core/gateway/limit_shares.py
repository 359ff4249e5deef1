"""An entry's shares of the limits that backend servers name.

Load pattern: several entries send to a server that limits all of them together, and
know nothing of each other's requests. Each takes an equal share, from the number of
entries that the agents report. Engines with an agent need no shares: the agent admits
the requests of all entries.
"""

from fighitch.core.gateway.model import Incarnation
from fighitch.core.gateway.request_pacer import RequestPacer
from fighitch.types import Seconds


class LimitShares:
    """Pacers for the limited servers to which this entry sends on its own."""

    def __init__(self) -> None:
        self._pacers: dict[Incarnation, RequestPacer] = {}
        self._rates: dict[Incarnation, float] = {}

    @property
    def is_active(self) -> bool:
        """Whether any server has a limit."""
        return bool(self._pacers)

    def set_rate(
        self,
        server: Incarnation,
        rate: float | None,
        *,
        entries: int,
        now: Seconds,
        phase: float,
    ) -> None:
        """Applies a changed limit.

        Args:
            server: Incarnation of the server.
            rate: Requests per second for all entries together; None for no limit.
            entries: Number of entries.
            now: Current time.
            phase: Part of the interval before the first request, 0 to 1.
        """
        if rate is None:
            self._pacers.pop(server, None)
            self._rates.pop(server, None)
            return
        self._rates[server] = rate
        pacer = self._pacers.get(server)
        if pacer is None:
            self._pacers[server] = RequestPacer.for_rate(
                rate, now, senders=entries, phase=phase
            )
        else:
            pacer.set_rate(rate, now, senders=entries)

    def set_entries(self, entries: int, now: Seconds) -> None:
        """Applies a changed number of entries."""
        for server, rate in self._rates.items():
            self._pacers[server].set_rate(rate, now, senders=entries)

    def forget(self, instance_id: str) -> None:
        """Removes the limits of a server that is gone."""
        for server in [item for item in self._rates if item.instance_id == instance_id]:
            del self._pacers[server], self._rates[server]

    def delay(self, server: Incarnation, now: Seconds) -> Seconds:
        """Returns the time until a request may be sent to a server."""
        pacer = self._pacers.get(server)
        return 0.0 if pacer is None else pacer.delay(now)

    def take(self, server: Incarnation, now: Seconds) -> Seconds:
        """Takes the place of one request; returns the time until it may be sent."""
        pacer = self._pacers.get(server)
        return 0.0 if pacer is None else pacer.take(now)
