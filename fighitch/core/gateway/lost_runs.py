"""Tells requests that were lost in the crash of an engine from other lost requests.

Load pattern: an engine crashes and resets all its connections. A single request may
also lose its connection at a sound engine, so that a lost request counts only if the
engine itself is found to be down at about the same time.
"""

from collections.abc import Iterable

from fighitch.core.gateway.crash_evidence import Crash
from fighitch.core.gateway.model import Incarnation
from fighitch.types import Seconds

# A crash shows within this time: agents report an engine as lost after two failed
# reports, and the next connection to it is refused.
_CONFIRMATION_TIME: Seconds = 2.0


class LostRuns:
    """Lost requests of the last seconds, by engine."""

    def __init__(self) -> None:
        self._lost: dict[Incarnation, list[tuple[Seconds, frozenset[str]]]] = {}
        self._down: dict[Incarnation, Seconds] = {}

    def record_lost(
        self, engine: Incarnation, parts: Iterable[str], now: Seconds
    ) -> Crash | None:
        """Records a request that was lost before its answer was under way.

        Args:
            engine: Engine that received the request.
            parts: Shared prompt parts of the request.
            now: Current time.

        Returns:
            The crash, if the engine is known to be down.
        """
        self._expire(now)
        self._lost.setdefault(engine, []).append((now, frozenset(parts)))
        return self._crash(engine)

    def record_down(self, engine: Incarnation, now: Seconds) -> Crash | None:
        """Records that an engine is down or has restarted.

        Returns:
            The crash, if requests were lost with the engine.
        """
        self._expire(now)
        self._down[engine] = now
        return self._crash(engine)

    def record_recovered(self, engine: Incarnation) -> None:
        """Records that an engine was silent and goes on as the same incarnation."""
        self._lost.pop(engine, None)
        self._down.pop(engine, None)

    def _crash(self, engine: Incarnation) -> Crash | None:
        lost = self._lost.get(engine)
        if not lost or engine not in self._down:
            return None
        parts = frozenset[str]().union(*(item for _, item in lost))
        return Crash(engine, at=lost[0][0], parts=parts)

    def _expire(self, now: Seconds) -> None:
        oldest = now - _CONFIRMATION_TIME
        for engine in [name for name, at in self._down.items() if at < oldest]:
            del self._down[engine]
        for engine, lost in list(self._lost.items()):
            recent = [item for item in lost if item[0] >= oldest]
            if recent:
                self._lost[engine] = recent
            else:
                del self._lost[engine]
