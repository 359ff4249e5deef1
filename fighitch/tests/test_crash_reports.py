"""Tests of ``fighitch.gateway.crash_reports``."""

import unittest
from unittest import mock

from fighitch.core.gateway.crash_evidence import Crash, CrashEvidence
from fighitch.core.gateway.model import Incarnation
from fighitch.gateway.crash_reports import (
    CrashReportRelay,
    build_report,
    merge_report,
)
from fighitch.gateway.peer_messages import (
    CrashReport,
    Hello,
    MessageReader,
    Status,
    encode,
)

ENGINE = Incarnation("e1", 7)


def report(*parts: str, engine: Incarnation = ENGINE) -> CrashReport:
    return build_report([Crash(engine, 1.0, frozenset(parts))], {}, now=1.5)


class MergeReportTests(unittest.TestCase):
    def test_times_are_relative_to_the_clock_of_each_instance(self):
        evidence = CrashEvidence()
        sent = build_report(
            [Crash(ENGINE, 1.0, frozenset({"a"}))], {"b": 1.25}, now=1.5
        )
        (received,) = MessageReader().feed(encode(sent))
        merge_report(evidence, received, now=100.0)
        (crash,) = evidence.crashes
        self.assertEqual(crash, Crash(ENGINE, 99.5, frozenset({"a"})))
        self.assertEqual(evidence.answered_at("b"), 99.75)

    def test_only_news_are_returned(self):
        # Agents would pass on the whole evidence of each entry that connects.
        evidence = CrashEvidence()
        self.assertEqual(merge_report(evidence, report("a"), 2.0), report("a"))
        self.assertIsNone(merge_report(evidence, report("a"), 2.0))
        self.assertIsNotNone(merge_report(evidence, report("b"), 2.0))

    def test_answer_shortly_after_a_known_one_still_clears_a_crash_between_them(self):
        # The answer was dropped as too close to the known one, and its sender reports
        # it only once, so that the crash went on to count against a sound part.
        evidence = CrashEvidence()
        evidence.record_answered(("a",), 10.0)
        evidence.record_crash(Crash(ENGINE, 10.1, frozenset({"a"})))
        sent = CrashReport([], [("a", 800)])
        self.assertEqual(merge_report(evidence, sent, 11.0), sent)
        self.assertAlmostEqual(evidence.answered_at("a"), 10.2)

    def test_answer_that_clears_no_further_crash_is_not_passed_on(self):
        evidence = CrashEvidence()
        evidence.record_crash(Crash(ENGINE, 10.1, frozenset({"a"})))
        evidence.record_answered(("a",), 10.2)
        self.assertIsNone(merge_report(evidence, CrashReport([], [("a", 500)]), 11.0))
        self.assertAlmostEqual(evidence.answered_at("a"), 10.5)

    def test_nothing_is_no_report(self):
        self.assertIsNone(build_report([], {}, 1.0))


class CrashReportRelayTests(unittest.TestCase):
    def setUp(self):
        self.relay = CrashReportRelay()
        self.first, self.second = mock.Mock(), mock.Mock()
        self.relay.add_peer(self.first, 0.0)
        self.relay.add_peer(self.second, 0.0)

    def test_report_goes_to_all_other_entries_once(self):
        for _ in range(2):
            self.relay.on_report(self.first, report("a"), 2.0)
        self.first.send.assert_not_called()
        self.second.send.assert_called_once_with(report("a"))

    def test_entry_that_connects_later_gets_all_evidence(self):
        self.relay.on_report(self.first, report("a"), 2.0)
        late = mock.Mock()
        self.relay.add_peer(late, 2.5)
        (sent,) = late.send.call_args.args
        self.assertEqual(sent.crashes, [("e1", 7, 1_000, ["a"])])

    def test_closed_connection_gets_nothing(self):
        self.relay.remove_peer(self.second)
        self.relay.on_report(self.first, report("a"), 2.0)
        self.second.send.assert_not_called()


class ProtocolVersionTests(unittest.TestCase):
    """Peers of an earlier build send shorter messages and understand no reports."""

    def test_missing_version_is_zero(self):
        hello = Hello("front-1", "e1", 7, b"{}")
        status = Status(1, True, False, 0, 0, 0, 1)
        for message in (hello, status):
            self.assertEqual(message.protocol, 0)
            (received,) = MessageReader().feed(encode(message))
            self.assertEqual(received, message)


if __name__ == "__main__":
    unittest.main()
