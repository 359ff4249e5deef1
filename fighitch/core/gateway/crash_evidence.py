"""Finds the prompt parts that crash engines.

Load pattern: requests of many callers share a prompt part that crashes each engine that
begins to answer it. The engine loses all its requests and is back after seconds, and
the next request with the part crashes the next engine.

The evidence is a set of crashes, each with the parts of the requests that were lost
before their answer was under way, and the time at which a request with a part was last
answered. Both only grow, so that instances can merge them in any order. Only the crash
of an engine that turns out to run is removed; each instance sees that for itself.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from fighitch.core.gateway.model import Incarnation
from fighitch.types import Seconds

# A part that no request survived is held responsible after this many crashes, at two
# moments or more: a failure that ends several engines at once proves little.
_MIN_CRASHES = 3
_MIN_MOMENTS = 2
# Enough crashes under one part even if they all come at the same moment.
_ENOUGH_CRASHES = 5
# A part that requests survived before needs more: at an outage of all engines, no
# request with the most common part is answered either.
_MIN_MOMENTS_IF_ANSWERED = 3
# Crashes that are closer together count as one moment.
_MOMENT_GAP: Seconds = 0.25
# Evidence is dropped after this time, so that a part gets another chance after a repair
# of the engines.
EVIDENCE_LIFETIME: Seconds = 3_600.0
_MAX_CRASHES = 256
_MAX_PARTS_PER_CRASH = 64
# Parts whose latest answer is remembered; the longest unused are dropped.
_MAX_ANSWERED_PARTS = 16_384

# Parts that are only harmful together, as far as the evidence shows.
PartGroup = frozenset[str]


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of an engine.

    Attributes:
        engine: Incarnation that crashed.
        at: Time of the crash.
        parts: Shared prompt parts of the requests that were lost before their answers
            were under way.
    """

    engine: Incarnation
    at: Seconds
    parts: frozenset[str]


class CrashEvidence:
    """Crashes of engines and answered parts, as known to one instance."""

    def __init__(self) -> None:
        self._crashes: dict[Incarnation, Crash] = {}
        # Latest crash in which a part was involved.
        self._suspects: dict[str, Seconds] = {}
        self._answered: OrderedDict[str, Seconds] = OrderedDict()
        # Answers that the other instances know.
        self._shared_answers: dict[str, Seconds] = {}
        self._groups: tuple[PartGroup, ...] = ()
        # Latest time at which engines are known to run that were taken for crashed.
        self._refuted: dict[Incarnation, Seconds] = {}

    @property
    def crashes(self) -> Collection[Crash]:
        """All known crashes."""
        return self._crashes.values()

    @property
    def involved_parts(self) -> Collection[str]:
        """Parts of the requests that were lost in the known crashes."""
        return self._suspects.keys()

    @property
    def groups(self) -> tuple[PartGroup, ...]:
        """Groups of parts that crash engines."""
        return self._groups

    def record_crash(self, crash: Crash) -> bool:
        """Records a crash, or further parts of a known crash.

        Returns:
            Whether this was new.
        """
        if crash.at <= self._refuted.get(crash.engine, float("-inf")):
            return False
        known = self._crashes.get(crash.engine)
        parts = crash.parts if known is None else known.parts | crash.parts
        if len(parts) > _MAX_PARTS_PER_CRASH:
            # Parts of requests that were answered before are the least suspect.
            parts = frozenset(
                sorted(parts, key=lambda part: (part in self._answered, part))[
                    :_MAX_PARTS_PER_CRASH
                ]
            )
        if known is not None and parts == known.parts:
            return False
        self._crashes[crash.engine] = replace(known or crash, parts=parts)
        if len(self._crashes) > _MAX_CRASHES:
            oldest = min(self._crashes.values(), key=lambda item: item.at)
            del self._crashes[oldest.engine]
        self._update()
        return True

    def refute_crash(self, engine: Incarnation, at: Seconds) -> bool:
        """Removes the crash of an incarnation that was seen to run after it.

        An engine that is silent for a while loses requests to other engines and counts
        as down, like one that has crashed, but goes on as the same incarnation.

        Args:
            engine: Incarnation that runs.
            at: Time at which it ran.

        Returns:
            Whether a crash was removed.
        """
        crash = self._crashes.get(engine)
        if crash is None or crash.at > at:
            return False
        del self._crashes[engine]
        # Other instances may still report it.
        self._refuted[engine] = at
        self._update()
        return True

    def record_answered(self, parts: Iterable[str], at: Seconds) -> None:
        """Records that a request with these parts was answered without a crash."""
        releases = False
        for part in parts:
            if at > self._answered.get(part, float("-inf")):
                self._answered[part] = at
                # An answer to a part that is in no group changes no group.
                releases = releases or any(part in group for group in self._groups)
            self._answered.move_to_end(part)
        while len(self._answered) > _MAX_ANSWERED_PARTS:
            self._answered.popitem(last=False)
        if releases:
            self._update()

    def answered_at(self, part: str) -> Seconds | None:
        """Returns when a request with a part was last answered, if this is known."""
        return self._answered.get(part)

    def is_new_answer(self, part: str, at: Seconds) -> bool:
        """Returns whether an answer clears a part of more crashes than known ones do.

        An answer to a part without a known crash may clear one that is not known yet.
        """
        known_at = self._answered.get(part)
        if known_at is None:
            return True
        crashed_at = self._suspects.get(part)
        if crashed_at is None:
            return at > known_at
        return known_at < crashed_at < at

    def answered_suspects(self) -> dict[str, Seconds]:
        """Returns the latest answer of each part that was involved in a crash."""
        return {
            part: self._answered[part]
            for part in self._suspects
            if part in self._answered
        }

    def unshared_answers(self) -> dict[str, Seconds]:
        """Returns the answers that other instances need to judge the known crashes.

        For each part these are its first known answer and the first one after its
        latest crash; any further answer would change nothing.
        """
        answers = {}
        for part, at in self.answered_suspects().items():
            shared_at = self._shared_answers.get(part)
            if shared_at is None or shared_at < self._suspects[part] < at:
                answers[part] = at
        return answers

    def mark_shared(self, answers: Mapping[str, Seconds]) -> None:
        """Records answers that the other instances know."""
        for part, at in answers.items():
            if at > self._shared_answers.get(part, float("-inf")):
                self._shared_answers[part] = at

    def blocks(self, parts: Collection[str]) -> bool:
        """Returns whether a request with these parts would crash an engine."""
        return any(group.issubset(parts) for group in self._groups)

    def is_suspect(self, parts: Iterable[str]) -> bool:
        """Returns whether a part was involved in a crash and never answered."""
        return any(
            part in self._suspects and part not in self._answered for part in parts
        )

    def expire(self, now: Seconds) -> None:
        """Drops evidence older than its lifetime."""
        oldest = now - EVIDENCE_LIFETIME
        self._refuted = {
            engine: at for engine, at in self._refuted.items() if at >= oldest
        }
        expired = [item.engine for item in self._crashes.values() if item.at < oldest]
        if not expired:
            return
        for engine in expired:
            del self._crashes[engine]
        self._update()

    def _update(self) -> None:
        self._suspects = {}
        for item in self.crashes:
            for part in item.parts:
                latest = self._suspects.get(part, item.at)
                self._suspects[part] = max(latest, item.at)
        self._shared_answers = {
            part: at
            for part, at in self._shared_answers.items()
            if part in self._suspects
        }
        self._groups = find_crashing_parts(self.crashes, self._answered)


def find_crashing_parts(
    crashes: Iterable[Crash], answered: Mapping[str, Seconds]
) -> tuple[PartGroup, ...]:
    """Returns the smallest number of groups of parts that explain repeated crashes.

    Parts with the same evidence form a group, and a request is harmful only if it has
    all of them: a request with some of them then shows which one it is. A part that
    comes with a harmful one in other requests is explained by that one.

    Args:
        crashes: Known crashes.
        answered: Time at which a request with a part was last answered, by part.
    """
    crash_times: dict[str, dict[Incarnation, Seconds]] = {}
    for crash in crashes:
        for part in crash.parts:
            if crash.at > answered.get(part, float("-inf")):
                crash_times.setdefault(part, {})[crash.engine] = crash.at
    # Parts by whether they were ever answered and by the crashes since then.
    candidates: dict[tuple[bool, frozenset[Incarnation]], set[str]] = {}
    for part, times in crash_times.items():
        candidates.setdefault((part in answered, frozenset(times)), set()).add(part)
    last_answers = {
        engines: max(answered[part] for part in parts)
        for (was_answered, engines), parts in candidates.items()
        if was_answered
    }
    explained: set[Incarnation] = set()
    groups = []
    for (was_answered, engines), parts in sorted(
        candidates.items(), key=lambda item: (item[0][0], -len(item[0][1]))
    ):
        times = crash_times[next(iter(parts))]
        unexplained = [times[engine] for engine in engines - explained]
        if not _is_conclusive(unexplained, was_answered=was_answered):
            continue
        if not (was_answered and _has_narrower_cause(engines, times, last_answers)):
            groups.append(frozenset(parts))
            explained |= engines
    return tuple(groups)


def _has_narrower_cause(
    engines: frozenset[Incarnation],
    times: Mapping[Incarnation, Seconds],
    last_answers: Mapping[frozenset[Incarnation], Seconds],
) -> bool:
    """Returns whether a less common part explains the crashes of an answered part.

    The most common part is in each crash, also in one with another reason. A part that
    turned harmful was last answered before it.

    Args:
        engines: Engines that crashed since the last answer of the part.
        times: Times of these crashes.
        last_answers: Last answers of all parts that were answered, by the engines that
            crashed since then.
    """
    return any(
        other < engines
        and last_answers[other] < last_answers[engines]
        and _is_conclusive([times[engine] for engine in other], was_answered=True)
        and not _is_conclusive(
            [times[engine] for engine in engines - other], was_answered=True
        )
        for other in last_answers
    )


def _is_conclusive(times: Collection[Seconds], *, was_answered: bool) -> bool:
    moments = _count_moments(times)
    if was_answered:
        return len(times) >= _ENOUGH_CRASHES and moments >= _MIN_MOMENTS_IF_ANSWERED
    if len(times) >= _ENOUGH_CRASHES:
        return True
    return len(times) >= _MIN_CRASHES and moments >= _MIN_MOMENTS


def _count_moments(times: Iterable[Seconds]) -> int:
    moments, latest = 0, float("-inf")
    for at in sorted(times):
        if at - latest > _MOMENT_GAP:
            moments += 1
        latest = at
    return moments
