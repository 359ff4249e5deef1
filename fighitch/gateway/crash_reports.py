"""Crash evidence in the messages between entries and agents."""

from collections.abc import Iterable, Mapping

from fighitch.core.gateway.crash_evidence import Crash, CrashEvidence
from fighitch.core.gateway.model import Incarnation
from fighitch.gateway.peer_connection import PeerConnection
from fighitch.gateway.peer_messages import CrashReport
from fighitch.types import Seconds

_MS_PER_SECOND = 1_000


def build_report(
    crashes: Iterable[Crash], answered: Mapping[str, Seconds], now: Seconds
) -> CrashReport | None:
    """Returns the message with crashes and answered parts; None if there are none."""
    report = CrashReport(
        [
            (
                crash.engine.instance_id,
                crash.engine.start_time_ms,
                round((now - crash.at) * _MS_PER_SECOND),
                sorted(crash.parts),
            )
            for crash in crashes
        ],
        [(part, round((now - at) * _MS_PER_SECOND)) for part, at in answered.items()],
    )
    return report if report.crashes or report.answered else None


def merge_report(
    evidence: CrashEvidence, report: CrashReport, now: Seconds
) -> CrashReport | None:
    """Adds the content of a message to the evidence.

    Returns:
        The part of the message that was new; None if nothing was.
    """
    crashes = []
    for item in report.crashes:
        instance_id, start_time_ms, age_ms, parts = item
        engine = Incarnation(instance_id, start_time_ms)
        at = now - age_ms / _MS_PER_SECOND
        if evidence.record_crash(Crash(engine, at, frozenset(parts))):
            crashes.append(item)
    answered = []
    for part, age_ms in report.answered:
        at = now - age_ms / _MS_PER_SECOND
        evidence.mark_shared({part: at})
        if evidence.is_new_answer(part, at):
            answered.append((part, age_ms))
        evidence.record_answered((part,), at)
    return CrashReport(crashes, answered) if crashes or answered else None


class CrashReportRelay:
    """Passes crash reports of one entry on to the others, and to those that connect.

    Entries do not know each other. Each agent is connected to all of them, and keeps
    what it has passed on for entries that restart.
    """

    def __init__(self) -> None:
        self._evidence = CrashEvidence()
        self._peers: set[PeerConnection] = set()

    def add_peer(self, peer: PeerConnection, now: Seconds) -> None:
        """Adds an entry that understands crash reports, and sends it all evidence."""
        if peer in self._peers:
            return
        self._peers.add(peer)
        self._evidence.expire(now)
        report = build_report(
            self._evidence.crashes, self._evidence.answered_suspects(), now
        )
        if report is not None:
            peer.send(report)

    def remove_peer(self, peer: PeerConnection) -> None:
        """Removes an entry whose connection is closed."""
        self._peers.discard(peer)

    def on_report(
        self, sender: PeerConnection, report: CrashReport, now: Seconds
    ) -> None:
        """Keeps a report and passes on what is new in it to all other entries."""
        news = merge_report(self._evidence, report, now)
        if news is None:
            return
        for peer in list(self._peers):
            if peer is not sender:
                peer.send(news)
