"""Keeps the pauses between the events of running streams within their gap target.

Load pattern: several prompts reach an engine together, or a long one while the engine
is slow for a second. All running streams of the engine pause while the prompts are
prefilled, and a pause above the gap target makes each of these streams late.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from fighitch.types import Seconds

# Share of a gap target that prompts may use on a slow engine. An event holds several
# tokens, so that the prefill of the next prompt can fall into the same pause.
_SLOW_GAP_SHARE = 0.7
# Share that they may use at the usual speed; the rest absorbs errors of the estimate.
_USUAL_GAP_SHARE = 0.9
# Shorter intervals between reports hold too few events to compare speeds.
_MIN_REPORT_INTERVAL: Seconds = 0.03
# The usual pace follows a slower one with this time constant, so that an engine that
# stays slow counts as usual after a few seconds.
_PACE_TIME_CONSTANT: Seconds = 2.0
# Share of the difference by which the usual pace follows a faster one.
_PACE_RECOVERY_FACTOR = 0.3
# Mean number of events that is assumed if streams produced fewer between two reports.
_MIN_EVENTS_PER_REPORT = 0.5
# An engine that is slower than this has stopped rather than slowed down.
_MAX_SLOWDOWN = 3.0
# Assumed until reports show the pace; a lower value could make streams late.
_INITIAL_WORST_SLOWDOWN = _MAX_SLOWDOWN
# The worst slowdown is forgotten with this time constant.
_WORST_TIME_CONSTANT: Seconds = 60.0


@dataclass(slots=True)
class EventPace:
    """Pace at which the streams of an engine produce events, from its reports.

    Attributes:
        worst_slowdown: Longest interval between events of the last minute or so,
            relative to the usual one. Prefill that starts now may be slowed down as
            much, as a slow phase begins without notice.
    """

    worst_slowdown: float = _INITIAL_WORST_SLOWDOWN
    _usual_interval: Seconds = 0.0
    _events: Mapping[str, int] = field(default_factory=dict)
    _reported_at: Seconds = 0.0

    def record_events(
        self, events: Mapping[str, int], now: Seconds, *, is_prefilling: bool
    ) -> None:
        """Updates the pace with a report.

        Args:
            events: Number of events that each running request has produced, by id.
            now: Time of the report.
            is_prefilling: Whether prompts were prefilled since the previous report,
                which delays events at any pace.
        """
        elapsed = now - self._reported_at
        if elapsed < _MIN_REPORT_INTERVAL:
            return
        previous, self._events = self._events, events
        self._reported_at = now
        if is_prefilling or elapsed > _PACE_TIME_CONSTANT:
            return
        produced = [
            events[name] - count
            for name, count in previous.items()
            if count and name in events
        ]
        if not produced:
            return
        events_per_run = sum(produced) / len(produced)
        interval = elapsed / max(events_per_run, _MIN_EVENTS_PER_REPORT)
        self._update_usual_interval(interval, elapsed)
        slowdown = min(_MAX_SLOWDOWN, interval / self._usual_interval)
        decayed = self.worst_slowdown - (self.worst_slowdown - 1) * min(
            1.0, elapsed / _WORST_TIME_CONSTANT
        )
        self.worst_slowdown = max(decayed, slowdown)

    def _update_usual_interval(self, interval: Seconds, elapsed: Seconds) -> None:
        if not self._usual_interval:
            self._usual_interval = interval
            return
        weight = (
            _PACE_RECOVERY_FACTOR
            if interval < self._usual_interval
            else elapsed / _PACE_TIME_CONSTANT
        )
        self._usual_interval += weight * (interval - self._usual_interval)


@dataclass(frozen=True, slots=True)
class GapLimits:
    """Limits on the prompts that an engine prefills between two events of a stream.

    Attributes:
        gap_target: Shortest gap target of the streams.
        event_interval: Time between two events without prefill.
        seconds_per_token: Usual prefill time of one prompt token.
        slowdown: Factor by which prefill may be slowed down.
    """

    gap_target: Seconds
    event_interval: Seconds
    seconds_per_token: Seconds
    slowdown: float

    def allows(self, prompt_tokens: int, pending_tokens: int) -> bool:
        """Returns whether a prompt may be prefilled together with pending ones.

        A prompt that would break the gap target of a slow engine on its own gains
        nothing from waiting for a slow phase, so that only the usual speed counts.

        Args:
            prompt_tokens: Tokens of the prompt.
            pending_tokens: Tokens of the pending prompts.
        """
        joint_tokens = prompt_tokens + pending_tokens
        if self._pause(prompt_tokens, self.slowdown) > self.gap_target:
            return self._pause(joint_tokens, 1.0) <= _USUAL_GAP_SHARE * self.gap_target
        joint_pause = self._pause(joint_tokens, self.slowdown)
        return joint_pause <= _SLOW_GAP_SHARE * self.gap_target

    def _pause(self, tokens: int, slowdown: float) -> Seconds:
        return self.event_interval + tokens * self.seconds_per_token * slowdown
