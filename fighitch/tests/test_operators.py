"""Tests of ``fighitch.core.operators``."""

import unittest

from fighitch.core.operators import (
    is_signed,
    missing_objects,
    missing_predecessors,
    parse_audit_records,
    sign_body,
    topologically_sorted,
)
from fighitch.core.tickets import SharedKey
from fighitch.tests.fake_http import placement

OLD, NEW = SharedKey("old", b"o" * 16), SharedKey("new", b"n" * 16)


class SignatureTests(unittest.TestCase):
    def test_only_valid_keys_and_unchanged_bodies(self):
        """Guards against accepting configuration that is not signed by a shared key."""
        signature = sign_body(b"body", OLD)
        self.assertTrue(is_signed(b"body", signature, [NEW, OLD]))
        self.assertFalse(is_signed(b"Body", signature, [NEW, OLD]))
        self.assertFalse(is_signed(b"body", signature, [NEW]))
        self.assertFalse(is_signed(b"body", signature.replace("old", "new"), [NEW]))
        self.assertFalse(is_signed(b"body", "\u00e9:\u00e9", [NEW, OLD]))


class ConfirmationTests(unittest.TestCase):
    def test_older_version_does_not_confirm(self):
        """Guards against confirming a change that the entry does not hold."""
        document = placement("a", resourceVersion="5")
        for held, missing in (
            ({"resources": {"Placement/a": 5}}, ()),
            ({"resources": {"Placement/a": 6}}, ()),
            ({"resources": {"Placement/a": 4}}, ("Placement/a",)),
            ({}, ("Placement/a",)),
        ):
            with self.subTest(held):
                self.assertEqual(missing_objects(held, [document]), missing)


class ExplainTests(unittest.TestCase):
    def records(self, **links):
        items = [
            {"id": name, "predecessors": list(predecessors), "event": name}
            for name, predecessors in links.items()
        ]
        return parse_audit_records({"records": [*items, "not a record"]})

    def topological_order(self, **links):
        return "".join(item.id for item in topologically_sorted(self.records(**links)))

    def test_each_record_follows_its_predecessors(self):
        self.assertEqual(self.topological_order(d="bc", c="a", b="a", a=""), "abcd")
        self.assertEqual(self.topological_order(b="", a=""), "ba")

    def test_cycle_and_missing_link_omit_no_record(self):
        """Guards against an ordering that never ends or omits records."""
        self.assertEqual(
            sorted(self.topological_order(a="b", b="a", c="x")), ["a", "b", "c"]
        )
        records = self.records(a="xy", b="x")
        self.assertEqual(missing_predecessors(records), ("x", "y"))

    def test_parts_of_an_identifier_are_joined(self):
        (record,) = parse_audit_records({"records": [{"id": ["e1", 7, 3]}]})
        self.assertEqual(record.id, "e1/7/3")
