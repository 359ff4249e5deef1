"""Tests of ``fighitch.core.audit``."""

import unittest

from fighitch.core.audit import (
    AuditLog,
    RecordId,
    RequestIdGenerator,
    entry_from_request_id,
)


class AuditLogTests(unittest.TestCase):
    def test_records_link_to_their_immediate_predecessors(self):
        """Guards against an explanation that contains records of other requests."""
        log = AuditLog("entry", 7, capacity=10)
        first = log.append("accepted", at=1.0, request_id="r1")
        log.append("accepted", at=1.1, request_id="r2")
        peer = RecordId("sidecar", 9, 4)
        last = log.append("refused", at=1.2, request_id="r1", peer_record=peer)
        self.assertEqual(last.predecessors, (first.record_id, peer))
        self.assertEqual(log.explain("r1"), (first, last))
        self.assertEqual(log.explain("other"), ())

    def test_memory_is_bounded(self):
        """Guards against memory usage that grows with the uptime."""
        log = AuditLog("entry", 7, capacity=10)
        for number in range(100):
            log.append("accepted", at=1.0, request_id=f"r{number}")
        self.assertEqual(len(log), 10)
        self.assertEqual(log.explain("r0"), ())
        self.assertEqual(len(log.explain("r99")), 1)


class RequestIdTests(unittest.TestCase):
    def test_request_id_identifies_the_entry(self):
        ids = RequestIdGenerator("node-1.zone-a", 0xBEEF)
        self.assertEqual(ids.new(), "node-1.zone-a.beef.1")
        self.assertEqual(entry_from_request_id(ids.new()), ("node-1.zone-a", 0xBEEF))
        self.assertIsNone(entry_from_request_id("not an id"))
