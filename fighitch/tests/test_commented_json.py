"""Tests of ``fighitch.core.commented_json``."""

import unittest

from fighitch.core.commented_json import line_of, parse_commented_json

TEXT = """// {"a": 9}
{
  "a": [1, {'b': "}, // not a comment",
    c: /* : */ {}}],
  "d":
    2,
}"""


class ParseTests(unittest.TestCase):
    def test_comments_and_trailing_commas(self):
        expected = {"a": [1, {"b": "}, // not a comment", "c": {}}], "d": 2}
        self.assertEqual(parse_commented_json(TEXT).ok, expected)

    def test_duplicate_key_is_rejected_by_both_parsers(self):
        """Guards against silently dropping one of two values."""
        for text in ('{"a": 1,\n"a": 2}', "{a: 1,\na: 2}"):
            with self.subTest(text):
                failure = parse_commented_json(text).error
                self.assertEqual(failure.line, 2)
                self.assertIn('"a"', failure.detail)

    def test_syntax_error_reports_its_line(self):
        self.assertEqual(parse_commented_json('{\n"a": }').error.line, 2)


class LineTests(unittest.TestCase):
    def test_line_of_nested_values(self):
        for path, line in (
            ((), 2),
            (("a", 0), 3),
            (("a", 1, "c"), 4),
            (("d",), 6),
            (("a", 1, "absent"), 3),
        ):
            with self.subTest(path):
                self.assertEqual(line_of(TEXT, path), line)
