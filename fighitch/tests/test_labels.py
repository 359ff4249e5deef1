"""Tests of ``fighitch.core.labels``."""

import unittest

from fighitch.core.labels import parse_selector


class SelectorTests(unittest.TestCase):
    LABELS = {"tier": "gold", "zone": "a"}

    def test_matching(self):
        for text, expected in (
            ("", True),
            ("tier=gold", True),
            ("tier==gold,zone=a", True),
            ("tier!=gold", False),
            ("missing!=x", True),
            ("zone in (a, b)", True),
            ("zone notin (a,b)", False),
            ("tier", True),
            ("!tier", False),
            ("!spot", True),
        ):
            with self.subTest(text):
                selector = parse_selector(text).ok
                self.assertEqual(selector.matches(self.LABELS), expected)

    def test_error_names_the_invalid_condition(self):
        """Guards against a selector that silently matches everything."""
        result = parse_selector("tier=gold,zone in a")
        self.assertIn("zone in a", result.error.detail)
